"""Faults of the system under a front: calls that fail or do less than asked, and steps of the wall clock.

``shim_environment`` returns the variables with which a front's process installs these faults at its start,
before its first import. Each fault is one that Linux documents and that a process has to endure.
"""

from __future__ import annotations

import errno
import os
import random
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

SEED_VARIABLE = "CLEATYOKE_FAILING_CALLS"
FRONT_ARGUMENTS = ["-m", "cleatyoke"]
FAILURE_FRACTION = 0.03  # of the calls of ``accept`` and ``connect``
SHORT_FRACTION = 0.1  # of the reads and writes that transfer fewer bytes than asked
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)
CLOCK_STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)
FAULT_PERIOD_S = 0.7  # between steps of the clock, and between changes of the disk's state
_SITE_MODULE = "from cleatyoke.testbed.failing_calls import install_in_front\n\ninstall_in_front()\n"


def shim_environment(folder: Path, seed: int, program: Path) -> dict[str, str]:
    """Return the variables for a front's process; ``folder`` receives the module that Python runs first."""
    (folder / "sitecustomize.py").write_text(_SITE_MODULE)
    return {"PYTHONPATH": os.pathsep.join([str(folder), str(program)]), SEED_VARIABLE: str(seed)}


def install_in_front() -> None:
    """Install the faults if this process is a front that is to have them."""
    if SEED_VARIABLE in os.environ and sys.orig_argv[1:3] == FRONT_ARGUMENTS:
        FailingCalls(int(os.environ[SEED_VARIABLE]) + os.getpid()).install()


class FailingCalls:
    """The faults of one process, drawn from ``seed``. The wall clock is stepped after the start only."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._clock = time.time
        self._started_at = time.monotonic()

    def install(self) -> None:
        """Replace the calls of this process."""
        sockets: Any = socket.socket
        sockets.accept = self._failing(sockets.accept, ACCEPT_ERRORS)
        sockets.connect = self._failing(sockets.connect, CONNECT_ERRORS)
        sockets.recv = self._short_read(sockets.recv)
        sockets.send = self._short_write(sockets.send)
        paths: Any = Path
        paths.write_text = self._failing_disk(paths.write_text)
        time.time = self._stepped_time

    def _failing(self, call: Callable[..., Any], errors: tuple[int, ...]) -> Callable[..., Any]:
        def fail_at_times(sock: socket.socket, *arguments: Any) -> Any:
            if self._random.random() < FAILURE_FRACTION:
                raise self._error(errors)
            return call(sock, *arguments)

        return fail_at_times

    def _short_read(self, call: Callable[..., bytes]) -> Callable[..., bytes]:
        def read(sock: socket.socket, size: int, *flags: int) -> bytes:
            if size > 1 and self._random.random() < SHORT_FRACTION:
                size = self._random.randint(1, size)
            return call(sock, size, *flags)

        return read

    def _short_write(self, call: Callable[..., int]) -> Callable[..., int]:
        def write(sock: socket.socket, data: Any, *flags: int) -> int:
            if len(data) > 1 and self._random.random() < SHORT_FRACTION:
                data = bytes(memoryview(data)[: self._random.randint(1, len(data))])
            return call(sock, data, *flags)

        return write

    def _failing_disk(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def write(path: Path, *arguments: Any, **options: Any) -> Any:
            if self._periods() % 2:
                raise self._error(DISK_ERRORS)
            return call(path, *arguments, **options)

        return write

    def _stepped_time(self) -> float:
        periods = self._periods()
        step = CLOCK_STEPS_S[periods % len(CLOCK_STEPS_S)] if periods else 0.0
        return self._clock() + step

    def _periods(self) -> int:
        """Return how many periods have passed; none in the first, so that a start is without faults."""
        return int((time.monotonic() - self._started_at) / FAULT_PERIOD_S)

    def _error(self, errors: tuple[int, ...]) -> OSError:
        number = self._random.choice(errors)
        return OSError(number, os.strerror(number))
