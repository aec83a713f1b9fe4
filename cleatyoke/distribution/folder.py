"""The source's folder, with a file ``KEY.json`` for each key, and its epoch file.

A key may contain slashes, which are subfolders. Versions are assigned by the source, not here.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass, field
from pathlib import Path

from cleatyoke.distribution.contents import decode_value
from cleatyoke.distribution.errors import EpochError, InvalidValueError
from cleatyoke.distribution.records import MAX_KEY_LENGTH, MAX_VALUE_BYTES

SUFFIX = ".json"
MAX_EPOCH = 1 << 52


@dataclass(slots=True)
class FolderScan:
    """The result of a scan.

    ``changes``: new values by key, None for removed keys. ``rejected``: the reasons for files that can't be
    distributed; each begins with the key.
    """

    changes: dict[str, bytes | None] = field(default_factory=dict)
    rejected: list[str] = field(default_factory=list)


class ConfigFolder:
    """The folder, and the values that it contained at the last scan."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.known: dict[str, bytes] = {}

    def scan(self) -> FolderScan:
        """Return the changes since the last scan. A file that can't be distributed counts as unchanged."""
        present_keys: set[str] = set()
        scan = FolderScan()
        for path in sorted(self.path.rglob(f"*{SUFFIX}")):
            key = path.relative_to(self.path).as_posix().removesuffix(SUFFIX)
            present_keys.add(key)
            try:
                value = path.read_bytes()
            except OSError as error:
                scan.rejected.append(f"{key}: {error.strerror}")
                continue
            if value == self.known.get(key):
                continue
            if reason := _invalid_reason(key, value):
                scan.rejected.append(reason)
                continue
            self.known[key] = value
            scan.changes[key] = value
        for key in self.known.keys() - present_keys:
            del self.known[key]
            scan.changes[key] = None
        return scan


def _invalid_reason(key: str, value: bytes) -> str | None:
    """Return why the value can't be distributed, beginning with the key; None if it can."""
    if len(key) > MAX_KEY_LENGTH:
        return f"{key[:40]}: want a name of {MAX_KEY_LENGTH} characters at the most"
    if len(value) > MAX_VALUE_BYTES:
        return f"{key}: want {MAX_VALUE_BYTES} bytes at the most, found {len(value)}"
    try:
        decode_value(key, value)
    except InvalidValueError as error:
        return str(error)
    return None


def next_epoch(path: Path, unix: float | None = None) -> int:
    """Return an epoch higher than any that this file has stored, once it is on disk.

    The epoch is the wall clock's time in milliseconds if that is higher than the stored epoch. ``unix``: that
    time in seconds; defaults to the current time. An epoch must not be used twice: subscribers would take a
    restarted source's new change numbers for old ones. Raises ``EpochError`` if the file contains anything
    but an epoch, and ``OSError``.
    """
    unix = time.time() if unix is None else unix
    last = 0
    if path.exists():
        text = path.read_text().strip()
        if not text.isascii() or not text.isdecimal() or int(text) >= MAX_EPOCH:
            msg = f"{path}: want a number, found {text[:40]!r}"
            raise EpochError(msg)
        last = int(text)
    epoch = max(last + 1, int(unix * 1000))
    temporary = path.with_suffix(".new")
    with temporary.open("w") as file:
        file.write(f"{epoch}\n")
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _sync_folder(path.parent)
    return epoch


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
