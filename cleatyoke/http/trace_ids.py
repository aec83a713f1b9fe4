"""Trace ids of open requests, and of those that were sent to a backend before.

The protocol gives each request a unique id, so a request with an id that was seen before is a duplicate,
which a backend would run again. Ids are remembered as long as there is memory for them, at most for
``ID_RETENTION``, also after their clients have left, and by both processes of an upgrade.
"""

from __future__ import annotations

import hashlib
import math
import os
import struct
from pathlib import Path
from typing import Protocol

import structlog

ID_RETENTION = 600.0  # seconds after it was sent for which an id counts as in use
UNSENT_ID_RETENTION = 2.0  # seconds after its answer for which the id of a request counts that was never sent
_ENTRIES = 8  # of a bucket: the oldest gives way to a new one
_FINGERPRINT_BYTES = 8
_ENTRY = struct.Struct("<Qd")  # fingerprint and time
_BUCKET = struct.Struct("<" + "Qd" * _ENTRIES)
_FILE_NAME = "cleatyoke-trace-ids"  # in $TMPDIR
log = structlog.get_logger()


class Store(Protocol):
    """Bytes that a table is kept in. Errors are ``OSError``."""

    size: int

    def read(self, offset: int, size: int) -> bytes:
        """Return bytes."""

    def write(self, offset: int, data: bytes) -> None:
        """Replace bytes."""


class MemoryStore:
    """A table of one process."""

    def __init__(self, size: int) -> None:
        self.size = size
        self._data = bytearray(size)

    def read(self, offset: int, size: int) -> bytes:
        """Return bytes."""
        return bytes(self._data[offset : offset + size])

    def write(self, offset: int, data: bytes) -> None:
        """Replace bytes."""
        self._data[offset : offset + len(data)] = data


class FileStore:
    """A table in a file that both processes of an upgrade share."""

    def __init__(self, folder: Path, size: int) -> None:
        """Open the file of the other process, or create one of ``size`` bytes. Raises ``OSError``."""
        self._descriptor = os.open(folder / _FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        existing = os.fstat(self._descriptor).st_size // _BUCKET.size * _BUCKET.size
        self.size = existing or size
        if not existing:
            os.pwrite(self._descriptor, bytes(size), 0)

    def read(self, offset: int, size: int) -> bytes:
        """Return bytes; a file that was cut short reads as zeros."""
        return os.pread(self._descriptor, size, offset).ljust(size, b"\0")

    def write(self, offset: int, data: bytes) -> None:
        """Replace bytes."""
        os.pwrite(self._descriptor, data, offset)


class IdTable:
    """Fingerprints with the times at which they were added, in buckets: bounded, the oldest give way.

    Times are of the system's monotonic clock, which all processes share.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._buckets = store.size // _BUCKET.size

    def add(self, fingerprint: int, time: float) -> None:
        """Add a fingerprint, in place of the oldest one of its bucket unless all are newer."""
        offset = self._offset(fingerprint)
        bucket = _BUCKET.unpack(self._store.read(offset, _BUCKET.size))
        known = bucket[::2]
        times = [added if entry else -math.inf for entry, added in zip(known, bucket[1::2])]
        position = known.index(fingerprint) if fingerprint in known else times.index(min(times))
        if times[position] < time:
            self._store.write(offset + position * _ENTRY.size, _ENTRY.pack(fingerprint, time))

    def contains(self, fingerprint: int, now: float) -> bool:
        """Return whether a fingerprint was added in the last ``ID_RETENTION`` seconds."""
        data = self._store.read(self._offset(fingerprint), _BUCKET.size)
        if fingerprint.to_bytes(_FINGERPRINT_BYTES, "little") not in data:
            return False
        bucket = _BUCKET.unpack(data)
        entries = zip(bucket[::2], bucket[1::2])
        return any(known == fingerprint and now - added < ID_RETENTION for known, added in entries)

    def _offset(self, fingerprint: int) -> int:
        return fingerprint % self._buckets * _BUCKET.size


class TraceIds:
    """Detects duplicate requests by their ``X-Trace-Id``.

    ``table_bytes``: memory for the ids of requests that were sent. ``shared_folder``: where the other process
    of an upgrade keeps its table; None: there is no other process. Times are the caller's, in seconds of the
    monotonic clock.
    """

    def __init__(self, table_bytes: int, shared_folder: Path | None = None) -> None:
        self.open: dict[str, int] = {}  # fingerprints by id
        size = max(1, table_bytes // _BUCKET.size) * _BUCKET.size
        self._sent = IdTable(MemoryStore(size))
        self._shared: IdTable | None = None
        if shared_folder:
            try:
                self._shared = IdTable(FileStore(shared_folder, size))
            except OSError as error:
                log.warning("trace_ids_not_shared", reason=str(error))

    def add(self, trace_id: str, now: float) -> bool:
        """Mark an id as in use; return False if it already is, or was."""
        if trace_id in self.open:
            return False
        fingerprint = _fingerprint(trace_id)
        if self._was_sent(fingerprint, now):
            return False
        self.open[trace_id] = fingerprint
        return True

    def mark_sent(self, trace_id: str, now: float) -> None:
        """Remember the id of an open request that is about to be sent to a backend."""
        fingerprint = self.open[trace_id]
        self._sent.add(fingerprint, now)
        if self._shared:
            try:
                self._shared.add(fingerprint, now)
            except OSError as error:
                log.warning("trace_id_not_shared", reason=str(error))

    def release(self, trace_id: str, now: float) -> None:
        """Note that a request has ended; one that was never sent gives way to others first."""
        fingerprint = self.open.pop(trace_id)
        if not self._sent.contains(fingerprint, now):
            self._sent.add(fingerprint, now - ID_RETENTION + UNSENT_ID_RETENTION)

    def _was_sent(self, fingerprint: int, now: float) -> bool:
        if self._sent.contains(fingerprint, now):
            return True
        if self._shared is None:
            return False
        try:
            return self._shared.contains(fingerprint, now)
        except OSError as error:
            log.warning("trace_id_not_shared", reason=str(error))
            return False


def _fingerprint(trace_id: str) -> int:
    """Return 64 bits that differ between ids, and are never 0, which is an empty entry."""
    digest = hashlib.blake2b(
        trace_id.encode("utf-8", "surrogateescape"), digest_size=_FINGERPRINT_BYTES
    ).digest()
    return int.from_bytes(digest) or 1
