"""An event loop whose time is virtual: it passes only where everything waits, and then at once.

What is written for asyncio runs on it unchanged, hours in seconds, the same way every time: nothing comes
from outside, so the order of all steps follows from the program and its seeds. No sockets, threads or
processes.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")
RESOLUTION = 1e-7  # seconds: what is due within it is due now, whatever is lost in sums of floats


class Idle(RuntimeError):
    """Everything waits, and nothing will ever come."""


class TimePasses(selectors.SelectSelector):
    """Where a loop would wait for its sockets, its clock goes on."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            msg = "everything waits, and nothing is due"
            raise Idle(msg)
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.passes = TimePasses()
        super().__init__(self.passes)
        self._clock_resolution = RESOLUTION

    def time(self) -> float:
        return self.passes.now


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run to its end, in virtual time from 0 on."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
