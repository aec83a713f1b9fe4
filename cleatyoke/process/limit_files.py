"""The files in which the processes of one front keep their ``LimitRecord``; imports little, see there."""

from __future__ import annotations

import os

from cleatyoke.limits.limit_record import LimitRecord

RECORD_PREFIX = "cleatyoke-limits-"  # of a file's name in $TMPDIR; the process id follows
# Prefix of the name of an empty marker file, which a process has from the end of its imports on. Older
# releases use the same name and have no record, so it must not change. "life" means a process.
MARKER_PREFIX = "cleatyoke-life-"
_STATE_FIELD, _START_FIELD = 0, 19  # of /proc/PID/stat behind the command's name, from 0
_ENDED_STATES = ("Z", "X", "x")  # it holds no memory any more


class LimitFiles:
    """The records of the running processes of one front, in the folder that they share."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._pid = os.getpid()
        self._path = os.path.join(folder, f"{RECORD_PREFIX}{self._pid}")  # noqa: PTH118  pathlib is large

    def new_record(self) -> LimitRecord:
        """Return an empty record of this process."""
        return LimitRecord(self._pid, process_start(self._pid) or 0)

    def write(self, record: LimitRecord) -> None:
        """Write this process's record in one step. Raises ``OSError``."""
        new_path = f"{self._path}.new"
        with open(new_path, "w") as file:  # noqa: PTH123
            file.write(record.encode())
        os.replace(new_path, self._path)  # noqa: PTH105

    def remove(self) -> None:
        """Remove this process's record; the others still count the process until it has ended."""
        for path in (self._path, f"{self._path}.new"):
            try:
                os.unlink(path)  # noqa: PTH108
            except OSError:
                continue

    def read_others(self) -> list[LimitRecord]:
        """Return the records of the other running processes. Raises ``OSError``.

        A process of an older release has only a marker, and so an empty record.
        """
        with os.scandir(self._folder) as entries:
            names = [entry.name for entry in entries]
        marked = _process_ids(names, MARKER_PREFIX)
        records: list[LimitRecord] = []
        for pid in marked | _process_ids(names, RECORD_PREFIX):
            if pid == self._pid:
                continue
            record = self._read(pid)
            record.is_marked = pid in marked
            if is_running(record):
                records.append(record)
        return records

    def _read(self, pid: int) -> LimitRecord:
        path = os.path.join(self._folder, f"{RECORD_PREFIX}{pid}")  # noqa: PTH118
        try:
            with open(path) as file:  # noqa: PTH123
                return LimitRecord.decode(pid, file.read())
        except FileNotFoundError:
            return LimitRecord(pid)


def _process_ids(names: list[str], prefix: str) -> set[int]:
    """Return the process ids in the names of files with this prefix."""
    ids = [name.removeprefix(prefix) for name in names if name.startswith(prefix)]
    return {int(text) for text in ids if text.isascii() and text.isdecimal()}


def is_running(record: LimitRecord) -> bool:
    """Whether the process of a record runs, and is not a later one with the same id."""
    started = process_start(record.pid)
    return started is not None and (not record.started or not started or record.started == started)


def process_start(pid: int) -> int | None:
    """Return when a process was started, 0 if that cannot be read, None if it does not run."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:  # noqa: PTH123
            fields = file.read().rpartition(b")")[2].split()
    except (FileNotFoundError, ProcessLookupError):
        return None
    except OSError:
        return 0
    if len(fields) <= _START_FIELD:
        return 0
    if fields[_STATE_FIELD].decode("ascii", "replace") in _ENDED_STATES:
        return None
    return int(fields[_START_FIELD])
