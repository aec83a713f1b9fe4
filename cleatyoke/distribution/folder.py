"""The source's folder: a file ``KEY.json`` for each key, where a key may have slashes. What changed between
two looks at it, and the epoch that the source's life has. Reads and writes files; decides no version.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass, field
from pathlib import Path

from cleatyoke.distribution.contents import InvalidValueError, read_value
from cleatyoke.distribution.records import MOST_VALUE

SUFFIX = ".json"
MOST_KEY = 128


class EpochError(ValueError):
    """An epoch file that can't be used."""


@dataclass(slots=True)
class FolderScan:
    """``changes``: keys with their new values, None for those that are gone; ``bad``: what can't be taken."""

    changes: dict[str, bytes | None] = field(default_factory=dict)
    bad: list[str] = field(default_factory=list)


class ConfigFolder:
    def __init__(self, path: Path) -> None:
        self.path = path
        self.known: dict[str, bytes] = {}

    def look(self) -> FolderScan:
        """What is new since the last look. A file that can't be taken counts as it was before."""
        found, look = set(), FolderScan()
        for path in sorted(self.path.rglob(f"*{SUFFIX}")):
            key = path.relative_to(self.path).as_posix().removesuffix(SUFFIX)
            found.add(key)
            try:
                value = path.read_bytes()
            except OSError as error:
                look.bad.append(f"{key}: {error.strerror}")
                continue
            if value == self.known.get(key):
                continue
            if why := fault(key, value):
                look.bad.append(why)
                continue
            self.known[key] = look.changes[key] = value
        for key in self.known.keys() - found:
            del self.known[key]
            look.changes[key] = None
        return look


def fault(key: str, value: bytes) -> str:
    """Why this can't be distributed, beginning with the key; nothing where it can."""
    if len(key) > MOST_KEY:
        return f"{key[:40]}: want a name of {MOST_KEY} characters at the most"
    if len(value) > MOST_VALUE:
        return f"{key}: want {MOST_VALUE} bytes at the most, found {len(value)}"
    try:
        read_value(key, value)
    except InvalidValueError as error:
        return str(error)
    return ""


def next_epoch(path: Path, unix: float | None = None) -> int:
    """An epoch beyond all that this file has had, on the disk before it is used; by the wall clock, in
    milliseconds, where that is further. Raises ``BadEpoch`` for a file that holds anything else.
    """
    unix = time.time() if unix is None else unix
    last = 0
    if path.exists():
        text = path.read_text().strip()
        if not text.isascii() or not text.isdecimal() or int(text) >= 1 << 52:
            msg = f"{path}: want a number, found {text[:40]!r}"
            raise EpochError(msg)
        last = int(text)
    epoch = max(last + 1, int(unix * 1000))
    spare = path.with_suffix(".new")
    with spare.open("w") as file:
        file.write(f"{epoch}\n")
        file.flush()
        os.fsync(file.fileno())
    spare.replace(path)
    sync_folder(path.parent)
    return epoch


def sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
