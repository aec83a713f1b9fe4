"""What every case needs: a record, a deadline, free ports, and an exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 10, 2  # 10: run.sh makes 1 of it, as a fault of Python itself ends with 1 too
LONGEST_RUN = 110.0  # seconds; a case may take 120
ROOT = Path(__file__).resolve().parent.parent.parent


class CaseNotRunError(Exception):
    """The case could not run: a program did not start, or a step that it depends on did not come about."""


class Record:
    """Writes ``record.txt``: a line for whatever was sent, answered or run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def write(self, text: str) -> float:
        """Write a line; return its time."""
        now = self.now()
        self._file.write(f"{now:9.4f} {text}\n")
        return now


def has_trouble() -> bool:
    """Whether the disruption is to happen: not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str) -> int:
    """Return a port that is free on a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def run_case(path: Path, play: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Play a case, with its record at ``path``, and exit.

    The status is 10 where ``play`` returns what broke the rule, 0 for none, 2 if the case could not run.
    SIGTERM ends the case like any other end, so that no process is left running.
    """
    record = Record(path)

    async def bounded() -> list[str]:
        task = asyncio.current_task()
        assert task
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(LONGEST_RUN):
            return await play(record)

    try:
        breaks = asyncio.run(bounded())
    except BaseException as error:  # noqa: BLE001  whatever ended it, the case has not run
        record.write(f"NOT RUN: {type(error).__name__}: {error}")
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for text in breaks:
        record.write(f"BROKEN: {text}")
        print(f"broken: {text}")
    record.write(f"{len(breaks)} breaks of the rule; trouble: {has_trouble()}")
    sys.exit(BROKEN if breaks else HELD)
