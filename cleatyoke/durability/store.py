"""Two SQLite files with the same rows, in WAL mode with ``synchronous=FULL``.

All calls block; only the writer's thread and the offline command make them. A write is durable once one of
the files has it, and data lost from one file is restored from the other. A file that is damaged, foreign or
has a newer schema is renamed and replaced by a new one; nothing is deleted.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from cleatyoke.durability.errors import DurabilityError, UnreadableStoreError
from cleatyoke.durability.records import (
    SCHEMA_VERSION,
    FrontState,
    LoadedState,
    Row,
    StorageProblem,
    decode_state,
    encode_state,
)

APPLICATION_ID = 0x436C5431  # SQLite's application_id: "ClT1"
FILE_NAMES = ("front-a.sqlite", "front-b.sqlite")
LOCK_TIMEOUT = 2.0  # seconds to wait for a lock, e.g. while the previous process of this front exits
MAX_CHECK_REPORT_CHARS = 80  # longer quick_check reports are truncated in messages
SCHEMA = """
CREATE TABLE IF NOT EXISTS rows (
    kind TEXT PRIMARY KEY, form INTEGER NOT NULL, front TEXT NOT NULL, data BLOB NOT NULL, sum INTEGER NOT
    NULL ) """


@contextlib.contextmanager
def open_database(path: Path, *, create: bool) -> Iterator[sqlite3.Connection]:
    """Open and validate a database file, and close it on exit.

    Raises ``UnreadableStoreError`` if the file itself can't be used, and ``sqlite3.Error`` on I/O and lock
    errors.
    """
    if not create and not path.exists():
        msg = "no file"
        raise UnreadableStoreError(msg)
    connection = sqlite3.connect(path, timeout=LOCK_TIMEOUT, isolation_level=None, check_same_thread=False)
    with contextlib.closing(connection):
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = FULL")
        is_new = _check_file(connection)
        if create and is_new:
            connection.execute(f"PRAGMA application_id = {APPLICATION_ID}")
            connection.execute(f"PRAGMA user_version = {SCHEMA_VERSION}")
            connection.execute(SCHEMA)
        yield connection


def _check_file(connection: sqlite3.Connection) -> bool:
    """Validate the file and return whether it is new. Raises ``UnreadableStoreError``."""
    application_id = connection.execute("PRAGMA application_id").fetchone()[0]
    schema_version = connection.execute("PRAGMA user_version").fetchone()[0]
    tables = connection.execute("SELECT count(*) FROM sqlite_schema").fetchone()[0]
    if tables and application_id != APPLICATION_ID:
        msg = "foreign"
        raise UnreadableStoreError(msg)
    if schema_version > SCHEMA_VERSION:
        msg = f"newer form {schema_version}"
        raise UnreadableStoreError(msg)
    report = connection.execute("PRAGMA quick_check").fetchone()[0]
    if report != "ok":
        msg = f"damaged: {str(report)[:MAX_CHECK_REPORT_CHARS]}"
        raise UnreadableStoreError(msg)
    return not tables


def read_rows(path: Path) -> list[tuple[Any, ...]]:
    """Return all rows of a file, unvalidated. Raises ``UnreadableStoreError`` or ``sqlite3.Error``."""
    with open_database(path, create=False) as connection:
        return connection.execute("SELECT kind, form, front, data, sum FROM rows ORDER BY kind").fetchall()


def is_corruption(error: sqlite3.Error) -> bool:
    """Whether the file is corrupt, as opposed to a disk error or a lock held by another process."""
    return not isinstance(error, sqlite3.OperationalError) or "malformed" in str(error)


def quarantine(path: Path) -> Path:
    """Rename a database file and its WAL files to a name that is not read at startup.

    Returns the new path. Raises ``OSError``.
    """
    number = 1
    while (target := path.with_name(f"{path.name}.doubtful-{number}")).exists():
        number += 1
    for suffix in ("-wal", "-shm", ""):
        with contextlib.suppress(FileNotFoundError):
            path.with_name(path.name + suffix).rename(target.with_name(target.name + suffix))
    return target


class StateDatabase:
    """Both files of one front, in a folder used by this front only. ``front``: "DEPLOYMENT/NAME"."""

    def __init__(self, folder: Path, front: str) -> None:
        self.folder = folder
        self.front = front
        self.paths = [folder / name for name in FILE_NAMES]

    def load(self) -> LoadedState:
        """Read and merge both files. Never raises; failures are returned as problems."""
        state = FrontState()
        problems: list[StorageProblem] = []
        for path in self.paths:
            if not path.exists():
                continue
            try:
                loaded = decode_state(read_rows(path), self.front, path.name)
            except (DurabilityError, sqlite3.Error, OSError) as error:
                problems.append(self._handle_unreadable(path, error))
                continue
            state = state.merge(loaded.state)
            problems += loaded.problems
            if any(problem.is_foreign for problem in loaded.problems):
                foreign_file_error = UnreadableStoreError("of another front")
                problems.append(self._handle_unreadable(path, foreign_file_error))
        return LoadedState(state, problems)

    def save(self, state: FrontState) -> list[StorageProblem]:
        """Write the complete state to both files, one after the other, and return the files that failed.

        Rows that were rejected at startup are overwritten along with the valid ones.
        """
        rows = encode_state(state, self.front)
        failed: list[StorageProblem] = []
        for path in self.paths:
            try:
                self.folder.mkdir(parents=True, exist_ok=True)
                self._write_rows(path, rows)
            except (DurabilityError, sqlite3.Error, OSError) as error:
                failed.append(StorageProblem(path.name, _error_text(error)))
        return failed

    @staticmethod
    def _handle_unreadable(path: Path, error: Exception) -> StorageProblem:
        """Quarantine a corrupt or foreign file; keep it in place on a disk error, as it may be intact."""
        reason = _error_text(error)
        if isinstance(error, OSError) or (isinstance(error, sqlite3.Error) and not is_corruption(error)):
            return StorageProblem(path.name, reason)
        try:
            return StorageProblem(path.name, f"{reason}; put aside as {quarantine(path).name}")
        except OSError as rename_error:
            return StorageProblem(path.name, f"{reason}; and not put aside, {rename_error.strerror}")

    @staticmethod
    def _write_rows(path: Path, rows: list[Row]) -> None:
        with open_database(path, create=True) as connection:
            connection.execute("BEGIN IMMEDIATE")
            connection.executemany("INSERT OR REPLACE INTO rows VALUES (?, ?, ?, ?, ?)", rows)
            connection.execute("COMMIT")


def _error_text(error: Exception) -> str:
    return str(error) or type(error).__name__
