"""Containment of unforeseen exceptions: each is counted and logged, and the process goes on.

asyncio alone does neither: a task that dies is reported when it is garbage collected, a timer that raises is
not set again, and both go to the standard logger, where nobody counts them.
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
    """Counts and logs the exceptions that nothing foresaw."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def report(self, event: str, error: BaseException | None, **fields: Any) -> None:
        """Count one fault and log it under this event name, with its trace."""
        self.metrics.faults += 1
        log.error(event, exc_info=error, **fields)

    def watch_loop(self, loop: asyncio.AbstractEventLoop) -> None:
        """Report what the loop would hand to the standard logger: callbacks, protocols, lost tasks."""
        loop.set_exception_handler(self._report_from_loop)

    def _report_from_loop(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        subject = context.get("future") or context.get("handle") or context.get("protocol")
        self.report(
            "loop_fault",
            context.get("exception"),
            why=context.get("message", ""),
            subject=type(subject).__name__,
        )

    @contextlib.contextmanager
    def contain(self, name: str) -> Iterator[None]:
        """Run one step of several that must all run: an exception is reported and ends only this step."""
        try:
            yield
        except Exception as error:  # noqa: BLE001  containing every exception is its job
            self.report("step_fault", error, step=name)


class PeriodicCall:
    """Calls ``action`` on the event loop at once and then every ``interval`` seconds until it is stopped.

    A call that raises is reported, and the next one comes all the same: a duty such as reading the other
    process's holds never stops silently, as it would with a plain timer that is not set again.
    """

    def __init__(self, faults: Faults, name: str, interval: float, action: Callable[[], None]) -> None:
        self.faults = faults
        self.name = name
        self.interval = interval
        self.action = action
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Call now, and from now on."""
        self.timer = asyncio.get_running_loop().call_later(self.interval, self.start)
        with self.faults.contain(self.name):
            self.action()

    def stop(self) -> None:
        """Call no more."""
        if self.timer:
            self.timer.cancel()
            self.timer = None


async def run_forever(
    faults: Faults, name: str, duty: Callable[[], Awaitable[None]], delay: Callable[[], float]
) -> None:
    """Run ``duty`` again, ``delay()`` seconds after each time it ended, until this is cancelled.

    Without it a watch that died of an exception would leave the front serving for ever by the last endpoint
    list, drained nodes included.
    """
    while True:
        try:
            await duty()
        except Exception as error:  # noqa: BLE001  a duty survives every exception
            faults.report("duty_fault", error, duty=name)
        await asyncio.sleep(delay())
