"""Copies, damages and inspects samples of stored data without using the project's own code."""

from __future__ import annotations

import os
import shutil
import sqlite3
import subprocess
import sys
from contextlib import closing
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
SAMPLES = Path(__file__).resolve().parent / "data" / "stored"
EXPECTED = SAMPLES / "expected.json"


def copy_of(sample: str, folder: Path) -> Path:
    """Copy a sample's folder, as reading a database may write files next to it."""
    return Path(shutil.copytree(SAMPLES / sample, folder / sample))


def database(path: Path) -> dict[str, Any]:
    """Return a database's header values, schema and rows, read with plain sqlite3."""
    with closing(sqlite3.connect(path)) as connection:

        def one(query: str) -> Any:
            return connection.execute(query).fetchone()[0]

        header = {name: one(f"PRAGMA {name}") for name in ("application_id", "user_version", "journal_mode")}
        schema = connection.execute("SELECT type, name, tbl_name, sql FROM sqlite_schema ORDER BY name")
        schema_rows = [list(row) for row in schema]
        columns = [list(row[1:]) for row in connection.execute("PRAGMA table_info(rows)")]
        rows = [
            [value.hex() if isinstance(value, bytes) else value for value in row]
            for row in connection.execute("SELECT * FROM rows ORDER BY kind")
        ]
    return {**header, "schema": schema_rows, "columns": columns, "rows": rows}


def execute(path: Path, query: str, *rows: tuple[Any, ...]) -> None:
    """Run a query on a database with plain sqlite3."""
    with closing(sqlite3.connect(path)) as connection, connection:
        if rows:
            connection.executemany(query, rows)
        else:
            connection.execute(query)


def spoil(path: Path, how: str) -> None:
    """Damage a database file in one of the ways that the reader tells apart."""
    original = path.read_bytes()
    match how:
        case "newer file":
            execute(path, "PRAGMA user_version = 2")
        case "older file":
            execute(path, "PRAGMA user_version = 0")
        case "another program's":
            execute(path, "PRAGMA application_id = 7")
        case "no database":
            path.write_text("not a file\n" * 99)
        case "empty":
            path.write_bytes(b"")
        case "cut short":
            path.write_bytes(original[:4096])
        case "gone":
            path.unlink()
        case "one bit":
            offset = original.index(b"s-003")
            path.write_bytes(original[:offset] + bytes([original[offset] ^ 1]) + original[offset + 1 :])
        case _:
            raise ValueError(how)


def run_check(module: str, folder: Path, *options: str) -> dict[str, Any]:
    """Run the program that checks a folder; return its exit status and output."""
    process = subprocess.run(
        [sys.executable, "-m", module, "check", str(folder), *options],
        cwd=ROOT,
        env=dict(os.environ),
        capture_output=True,
        text=True,
        timeout=60,
    )
    return {
        "status": process.returncode,
        "output": process.stdout.replace(str(folder), "FOLDER").splitlines(),
        "errors": len(process.stderr.splitlines()),
    }
