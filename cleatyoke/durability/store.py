"""Two sqlite files with the same rows, in WAL mode with full synchronisation.

Everything here blocks: only the writer's thread calls it, and the offline command. A write is complete when
one of the files has it; what one file loses, the other has. A file that is damaged, foreign or of a newer
schema is set aside under a name of its own and begun anew; nothing is deleted.
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

APPLICATION_ID = 0x436C5431  # sqlite's application_id: "ClT1"
FILE_NAMES = ("front-a.sqlite", "front-b.sqlite")
LOCK_TIMEOUT = 2.0  # seconds to wait for a lock, as while an older process of this front ends
MAX_SHOWN_DAMAGE = 80  # characters of sqlite's report that operators see
SCHEMA = """
CREATE TABLE IF NOT EXISTS rows (
    kind TEXT PRIMARY KEY, form INTEGER NOT NULL, front TEXT NOT NULL, data BLOB NOT NULL, sum INTEGER NOT
    NULL ) """


@contextlib.contextmanager
def open_database(path: Path, *, create: bool) -> Iterator[sqlite3.Connection]:
    """Open and check a file; close it at the end.

    Raises ``UnreadableStoreError`` for a file that can't be used, and ``sqlite3.Error`` where the disk does
    not let it be used.
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
    """Whether the file is new. Raises ``UnreadableStoreError``."""
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
        msg = f"damaged: {str(report)[:MAX_SHOWN_DAMAGE]}"
        raise UnreadableStoreError(msg)
    return not tables


def read_rows(path: Path) -> list[tuple[Any, ...]]:
    """All rows of a file, as they are. Raises ``UnreadableStoreError`` or ``sqlite3.Error``."""
    with open_database(path, create=False) as connection:
        return connection.execute("SELECT kind, form, front, data, sum FROM rows ORDER BY kind").fetchall()


def is_damage(error: sqlite3.Error) -> bool:
    """Whether the file is at fault, rather than the disk or a process that holds a lock."""
    return not isinstance(error, sqlite3.OperationalError) or "malformed" in str(error)


def set_aside(path: Path) -> Path:
    """Rename a file, with what sqlite keeps beside it, to a name that a start does not read.

    Returns the new path. Raises ``OSError``.
    """
    number = 1
    while (target := path.with_name(f"{path.name}.doubtful-{number}")).exists():
        number += 1
    for ending in ("-wal", "-shm", ""):
        with contextlib.suppress(FileNotFoundError):
            path.with_name(path.name + ending).rename(target.with_name(target.name + ending))
    return target


class StateDatabase:
    """Both files of one front, in a folder of its own. ``front``: "DEPLOYMENT/NAME"."""

    def __init__(self, folder: Path, front: str) -> None:
        self.folder = folder
        self.front = front
        self.paths = [folder / name for name in FILE_NAMES]

    def load(self) -> LoadedState:
        """Read and merge both files. Raises nothing: what fails is a problem in the answer."""
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
                error_of_file = UnreadableStoreError("of another front")
                problems.append(self._handle_unreadable(path, error_of_file))
        return LoadedState(state, problems)

    def save(self, state: FrontState) -> list[StorageProblem]:
        """Write the whole state to both files, one after the other; the files that failed.

        A row that was not trusted at the start is overwritten, as the rest of its file was.
        """
        rows = encode_state(state, self.front)
        failed: list[StorageProblem] = []
        for path in self.paths:
            try:
                self.folder.mkdir(parents=True, exist_ok=True)
                self._write_rows(path, rows)
            except (DurabilityError, sqlite3.Error, OSError) as error:
                failed.append(StorageProblem(path.name, _reason(error)))
        return failed

    @staticmethod
    def _handle_unreadable(path: Path, error: Exception) -> StorageProblem:
        """Set a file aside where it is at fault; leave it where the disk is, as the file may be good."""
        reason = _reason(error)
        if isinstance(error, OSError) or (isinstance(error, sqlite3.Error) and not is_damage(error)):
            return StorageProblem(path.name, reason)
        try:
            return StorageProblem(path.name, f"{reason}; put aside as {set_aside(path).name}")
        except OSError as failure:
            return StorageProblem(path.name, f"{reason}; and not put aside, {failure.strerror}")

    @staticmethod
    def _write_rows(path: Path, rows: list[Row]) -> None:
        with open_database(path, create=True) as connection:
            connection.execute("BEGIN IMMEDIATE")
            connection.executemany("INSERT OR REPLACE INTO rows VALUES (?, ?, ?, ?, ?)", rows)
            connection.execute("COMMIT")


def _reason(error: Exception) -> str:
    return str(error) or type(error).__name__
