"""Plain JSON values for bytes, and the parts of captured messages that differ from run to run."""

from __future__ import annotations

import re
from typing import Any

Plain = Any  # what JSON holds

LONG_RUN = re.compile(r"(.)\1{999,}")
BLANKED: dict[str, str] = {
    r"(?m)^Date: [^\r\n]+": "Date: <date>",
    r"(?m)^Server: [^\r\n]+": "Server: <software>",
    r"(?m)^User-Agent: [^\r\n]+": "User-Agent: <software>",
    r"(?m)^Host: 127\.0\.0\.1:[0-9]+": "Host: 127.0.0.1:<port>",
    r"(?m)^X-Expires-In-Ms: [0-9]+": "X-Expires-In-Ms: <milliseconds>",
}


def pack(data: bytes) -> Plain:
    """Bytes as JSON: a text where they are printable ASCII with line ends, else hex digits. A text with long
    runs of one character is a list of texts and of ``[character, times]``."""
    if not all(byte in b"\r\n\t" or 32 <= byte < 127 for byte in data):
        return {"hex": data.hex()}
    text, parts, end = data.decode("ascii"), list[Plain](), 0
    for run in LONG_RUN.finditer(text):
        parts += [text[end : run.start()], [run[1], len(run[0])]]
        end = run.end()
    return {"text": [*parts, text[end:]] if parts else text}


def unpack(value: Plain) -> bytes:
    """The bytes that ``pack`` was given."""
    if "hex" in value:
        return bytes.fromhex(value["hex"])
    parts = value["text"] if isinstance(value["text"], list) else [value["text"]]
    return "".join(one if isinstance(one, str) else one[0] * one[1] for one in parts).encode("ascii")


def blank(data: bytes) -> Plain:
    """As ``pack``, with the parts of an HTTP head that differ from run to run replaced."""
    text = data.decode("latin-1")
    for pattern, name in BLANKED.items():
        text = re.sub(pattern, name, text)
    return pack(text.encode("latin-1"))
