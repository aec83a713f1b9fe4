"""Conversion of bytes to JSON values, and replacement of the parts of messages that vary between runs."""

from __future__ import annotations

import re
from typing import Any

Plain = Any  # a JSON value

LONG_RUN = re.compile(r"(.)\1{999,}")
BLANKED: dict[str, str] = {
    r"(?m)^Date: [^\r\n]+": "Date: <date>",
    r"(?m)^Server: [^\r\n]+": "Server: <software>",
    r"(?m)^User-Agent: [^\r\n]+": "User-Agent: <software>",
    r"(?m)^Host: 127\.0\.0\.1:[0-9]+": "Host: 127.0.0.1:<port>",
    r"(?m)^X-Expires-In-Ms: [0-9]+": "X-Expires-In-Ms: <milliseconds>",
}


def pack(data: bytes) -> Plain:
    """Return bytes as a JSON value: text if they are printable ASCII, tabs and line ends, else hex digits.

    Text with runs of 1000 or more equal characters is a list of texts and ``[character, count]`` pairs.
    """
    if not all(byte in b"\r\n\t" or 32 <= byte < 127 for byte in data):
        return {"hex": data.hex()}
    text, parts, end = data.decode("ascii"), list[Plain](), 0
    for run in LONG_RUN.finditer(text):
        parts += [text[end : run.start()], [run[1], len(run[0])]]
        end = run.end()
    return {"text": [*parts, text[end:]] if parts else text}


def unpack(value: Plain) -> bytes:
    """Return the bytes from which ``pack`` made the value."""
    if "hex" in value:
        return bytes.fromhex(value["hex"])
    parts = value["text"] if isinstance(value["text"], list) else [value["text"]]
    return "".join(one if isinstance(one, str) else one[0] * one[1] for one in parts).encode("ascii")


def blank(data: bytes) -> Plain:
    """Like ``pack``, but replace the parts of an HTTP head that vary between runs."""
    text = data.decode("latin-1")
    for pattern, replacement in BLANKED.items():
        text = re.sub(pattern, replacement, text)
    return pack(text.encode("latin-1"))
