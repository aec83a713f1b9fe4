"""An asyncio event loop with a virtual clock.

The clock advances only when all tasks are waiting, and then jumps to the next timer. asyncio code runs
unchanged, hours of virtual time in seconds. Runs are deterministic: there is no input from outside the
process, so the order of all steps follows from the program and its seeds. Sockets, threads and processes
can't be used.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")
CLOCK_RESOLUTION_S = 1e-7  # timers due within it run now, to allow for rounding in sums of floats


class DeadlockError(RuntimeError):
    """All tasks are waiting and no timer is scheduled, so that none can ever continue."""


class VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual clock where an event loop would wait for its sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            msg = "deadlock: all tasks are waiting and no timer is scheduled"
            raise DeadlockError(msg)
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)
        self._clock_resolution = CLOCK_RESOLUTION_S

    def time(self) -> float:
        return self.virtual_selector.now


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time, starting at 0, and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
