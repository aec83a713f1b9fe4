"""Two files of rows, by sqlite3 in WAL mode with full synchronisation. Blocking: only a thread of its own
calls it.

A file that cannot be read, is damaged or is of a newer form is put aside under a name that says why, and
begun anew; nothing of it is deleted. What one file lost, the other has: a write is over when both have it,
or the one that works.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from cleatyoke.durability.records import (
    SCHEMA_VERSION,
    FrontState,
    Row,
    StorageProblem,
    decode_state,
    encode_state,
)

APPLICATION_ID = 0x436C5431  # sqlite's application_id: "ClT1"
FILE_NAMES = ("front-a.sqlite", "front-b.sqlite")
LOCK_TIMEOUT = 2.0  # seconds for a lock, as while an older process of this front ends
SCHEMA = """
CREATE TABLE IF NOT EXISTS rows (
    kind TEXT PRIMARY KEY, form INTEGER NOT NULL, front TEXT NOT NULL, data BLOB NOT NULL, sum INTEGER NOT
    NULL ) """


class UnreadableStoreError(Exception):
    """The file as a whole can't be used; the text says why in a few words."""


@contextlib.contextmanager
def open_database(path: Path, make: bool) -> Iterator[sqlite3.Connection]:
    """Raises ``Unreadable``, or ``sqlite3.Error`` where the disk does not let it be used."""
    if not make and not path.exists():
        msg = "no file"
        raise UnreadableStoreError(msg)
    connection = sqlite3.connect(path, timeout=LOCK_TIMEOUT, isolation_level=None, check_same_thread=False)
    try:
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = FULL")
        application, form = (
            connection.execute(f"PRAGMA {name}").fetchone()[0] for name in ("application_id", "user_version")
        )
        tables = connection.execute("SELECT count(*) FROM sqlite_schema").fetchone()[0]
        if tables and application != APPLICATION_ID:
            msg = "foreign"
            raise UnreadableStoreError(msg)
        if form > SCHEMA_VERSION:
            msg = f"newer form {form}"
            raise UnreadableStoreError(msg)
        if (found := connection.execute("PRAGMA quick_check").fetchone()[0]) != "ok":
            msg = f"damaged: {str(found)[:80]}"
            raise UnreadableStoreError(msg)
        if make and not tables:
            connection.execute(f"PRAGMA application_id = {APPLICATION_ID}")
            connection.execute(f"PRAGMA user_version = {SCHEMA_VERSION}")
            connection.execute(SCHEMA)
        yield connection
    finally:
        connection.close()


def read_rows(path: Path) -> list[tuple[Any, ...]]:
    """Raises ``Unreadable`` or ``sqlite3.Error``."""
    with open_database(path, make=False) as connection:
        return connection.execute("SELECT kind, form, front, data, sum FROM rows ORDER BY kind").fetchall()


def is_damage(error: sqlite3.Error) -> bool:
    """Whether the file is at fault, rather than the disk or somebody who holds it."""
    return not isinstance(error, sqlite3.OperationalError) or "malformed" in str(error)


def quarantine(path: Path) -> Path:
    """Rename it, with what sqlite keeps beside it. Raises ``OSError``."""
    number = 1
    while (aside := path.with_name(f"{path.name}.doubtful-{number}")).exists():
        number += 1
    for ending in ("-wal", "-shm", ""):
        with contextlib.suppress(FileNotFoundError):
            path.with_name(path.name + ending).rename(aside.with_name(aside.name + ending))
    return aside


class StateDatabase:
    """Both files of one front in a folder of its own. ``front``: deployment and name."""

    def __init__(self, folder: Path, front: str) -> None:
        self.folder, self.front = folder, front
        self.paths = [folder / name for name in FILE_NAMES]

    def load(self) -> tuple[FrontState, list[StorageProblem]]:
        """What both say together, and what was not believed. Raises nothing."""
        memory, doubts = FrontState(), list[StorageProblem]()
        for path in self.paths:
            if not path.exists():
                continue
            try:
                found, doubtful = decode_state(read_rows(path), self.front, path.name)
                memory = memory.merge(found)
                doubts += doubtful
                if any(doubt.reason.startswith("of another front") for doubt in doubtful):
                    msg = "of another front"
                    raise UnreadableStoreError(msg)
            except (UnreadableStoreError, sqlite3.Error, OSError) as error:
                doubts.append(self._handle_unreadable(path, error))
        return memory, doubts

    def _handle_unreadable(self, path: Path, error: Exception) -> StorageProblem:
        why = str(error) or type(error).__name__
        if isinstance(error, OSError) or (isinstance(error, sqlite3.Error) and not is_damage(error)):
            return StorageProblem(path.name, why)  # the disk's fault: the file may be good
        try:
            return StorageProblem(path.name, f"{why}; put aside as {quarantine(path).name}")
        except OSError as failed:
            return StorageProblem(path.name, f"{why}; and not put aside, {failed.strerror}")

    def save(self, memory: FrontState) -> list[StorageProblem]:
        """Write all to both, one after the other; what failed, by file. A row that is there and cannot be
        believed any more is written over, as its file passed the look at the start.
        """
        rows, failed = encode_state(memory, self.front), []
        for path in self.paths:
            try:
                self.folder.mkdir(parents=True, exist_ok=True)
                self._write_rows(path, rows)
            except (UnreadableStoreError, sqlite3.Error, OSError) as error:
                failed.append(StorageProblem(path.name, str(error) or type(error).__name__))
        return failed

    def _write_rows(self, path: Path, rows: list[Row]) -> None:
        with open_database(path, make=True) as connection:
            connection.execute("BEGIN IMMEDIATE")
            connection.executemany("INSERT OR REPLACE INTO rows VALUES (?, ?, ?, ?, ?)", rows)
            connection.execute("COMMIT")
