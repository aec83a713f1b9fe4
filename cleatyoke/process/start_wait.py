"""Waits, before anything large is imported, until the other processes of this front leave room for one more.

A bare interpreter takes a sixth of what the front takes before it serves. In an upgrade the new process
therefore waits here until the old one, which sees its record, has reduced its share of the memory.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Mapping

from cleatyoke.limits.limit_record import LimitRecord
from cleatyoke.limits.start_room import has_room, memory_limit, start_bytes
from cleatyoke.process.limit_files import LimitFiles

POLL_INTERVAL = 0.02  # seconds
MAX_UNREADABLE_TIME = 1.0  # seconds for which a folder is tried again that cannot be read


def wait_for_room(environment: Mapping[str, str]) -> bool:
    """Return once this process may start; tells whether there was another one.

    Without a folder of their own (``$TMPDIR``), the processes of a front cannot know of each other.
    """
    folder = environment.get("TMPDIR")
    if not folder:
        return False
    files = LimitFiles(folder)
    record = files.new_record()
    record.waiting = 1
    is_written = _write(files, record)
    others = _read(files)
    if others and not has_room(record, others):
        others = _wait(files, record, others, is_written=is_written)
    record.waiting = 0
    record.memory_limit = memory_limit(others)
    record.memory = start_bytes(others) if others else 0
    _write(files, record)
    return bool(others)


def _wait(
    files: LimitFiles, record: LimitRecord, others: list[LimitRecord], *, is_written: bool
) -> list[LimitRecord]:
    """Wait for room, and return the other processes as last read. SIGTERM ends the process."""

    def end(_number: int, _frame: object) -> None:
        files.remove()
        sys.exit(0)

    previous = [(number, signal.signal(number, end)) for number in (signal.SIGTERM, signal.SIGINT)]
    began = time.monotonic()
    _log("start_waits", limit=memory_limit(others), need=start_bytes(others), others=len(others))
    while not has_room(record, others):
        time.sleep(POLL_INTERVAL)
        others = _read(files)
        is_written = is_written or _write(files, record)
    _log("start_goes_on", seconds=round(time.monotonic() - began, 3), others=len(others))
    for number, handler in previous:
        signal.signal(number, handler)
    return others


def _read(files: LimitFiles) -> list[LimitRecord]:
    """Return the other processes, none if the folder cannot be read for ``MAX_UNREADABLE_TIME``."""
    began = time.monotonic()
    while True:
        try:
            return files.read_others()
        except OSError as error:
            if time.monotonic() - began >= MAX_UNREADABLE_TIME:
                _log("limit_records_not_read", reason=str(error))
                return []
            time.sleep(POLL_INTERVAL)


def _write(files: LimitFiles, record: LimitRecord) -> bool:
    """Write the record; return whether that succeeded. The daemon tries again where it fails."""
    try:
        files.write(record)
    except OSError as error:
        _log("limit_record_not_written", reason=str(error))
        return False
    return True


def _log(event: str, **fields: object) -> None:
    """Log in the daemon's format, whose library is not imported yet."""
    stamp = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
    text = " ".join(f"{name}={value!r}" for name, value in fields.items())
    os.write(sys.stderr.fileno(), f"timestamp='{stamp}' level='info' event='{event}' {text}\n".encode())
