"""What keeps a fault in one place from ending the process, or from ending a duty without a word.

asyncio loses both: a task that dies is told when it is collected, a timer that raises is not set again, and
either goes to the standard logger. Here each is one counted line of the log, and the duty goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import structlog

from cleatyoke.process.metrics import Metrics

log = structlog.get_logger()


class Faults:
    """Counts and tells the exceptions that nothing foresaw."""

    def __init__(self, figures: Metrics) -> None:
        self.figures = figures

    def told(self, event: str, error: BaseException | None, **facts: Any) -> None:
        self.figures.faults += 1
        log.error(event, exc_info=error, **facts)

    def watch(self, loop: asyncio.AbstractEventLoop) -> None:
        """Take what the loop itself would hand to the standard logger: callbacks, protocols, lost tasks."""

        def handler(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
            subject = context.get("future") or context.get("handle") or context.get("protocol")
            self.told(
                "loop_fault",
                context.get("exception"),
                why=context.get("message", ""),
                subject=type(subject).__name__,
            )

        loop.set_exception_handler(handler)

    @contextlib.contextmanager
    def step(self, name: str) -> Iterator[None]:
        """One step of several that must all be taken: its fault does not keep the next from being taken."""
        try:
            yield
        except Exception as error:
            self.told("step_fault", error, step=name)


class Watchdog:
    """Calls ``act`` every so many seconds on the loop, for good: a call that raises is told and the next one
    comes all the same. asyncio's timers end with their first exception.
    """

    def __init__(self, faults: Faults, name: str, every: float, act: Callable[[], None]) -> None:
        self.faults, self.name, self.every, self.act = faults, name, every, act
        self.bell: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.bell = asyncio.get_running_loop().call_later(self.every, self.start)
        with self.faults.step(self.name):
            self.act()

    def stop(self) -> None:
        if self.bell:
            self.bell.cancel()
            self.bell = None


async def keep_up(
    faults: Faults, name: str, duty: Callable[[], Awaitable[None]], wait: Callable[[], float]
) -> None:
    """Take up ``duty`` again for as long as this is not cancelled, after ``wait()`` seconds each time that it
    ended. Guards the front's knowledge: a watch that died of an exception would leave it serving for ever by
    the last list, drained boxes included.
    """
    while True:
        try:
            await duty()
        except Exception as error:
            faults.told("duty_fault", error, duty=name)
        await asyncio.sleep(wait())
