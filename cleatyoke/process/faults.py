"""Containment of unforeseen exceptions: each is counted and logged, and the process continues.

asyncio alone is not enough: a task that fails is reported only when it is garbage collected, a timer whose
callback raises is not rescheduled, and both are reported to the standard logger, which does not count them.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import structlog

from cleatyoke.process.metrics import Metrics

# Of asyncio's own listeners, for lack of descriptors or memory of the system.
_ACCEPT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
log = structlog.get_logger()


class Faults:
    """Counts and logs unforeseen exceptions."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def report(self, event: str, error: BaseException | None, **fields: Any) -> None:
        """Count one fault, and log it under this event name with its traceback."""
        self.metrics.faults += 1
        log.error(event, exc_info=error, **fields)

    def watch_loop(self, loop: asyncio.AbstractEventLoop) -> None:
        """Report failures of callbacks, protocols and unawaited tasks, which the loop would only log."""
        loop.set_exception_handler(self._report_from_loop)

    def _report_from_loop(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if isinstance(error, OSError) and error.errno in _ACCEPT_ERRORS:  # asyncio accepts again after 1 s
            log.warning("accept_failed", reason=str(error))
            return
        subject = context.get("future") or context.get("handle") or context.get("protocol")
        self.report(
            "loop_fault",
            error,
            reason=context.get("message", ""),
            subject=type(subject).__name__,
        )

    @contextlib.contextmanager
    def contain(self, name: str) -> Iterator[None]:
        """Run one of several steps that must all run: an exception is reported and ends this step only."""
        try:
            yield
        except Exception as error:  # noqa: BLE001  contains every exception by design
            self.report("step_fault", error, step=name)


class PeriodicCall:
    """Calls ``action`` on the event loop immediately and then every ``interval`` seconds until stopped.

    A call that raises is reported and does not prevent the next one. With a plain timer, which is not
    rescheduled after an exception, a task such as polling the other process's holds would stop silently.
    """

    def __init__(self, faults: Faults, name: str, interval: float, action: Callable[[], None]) -> None:
        self.faults = faults
        self.name = name
        self.interval = interval
        self.action = action
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Call the action now, and schedule the next call."""
        self.timer = asyncio.get_running_loop().call_later(self.interval, self.start)
        with self.faults.contain(self.name):
            self.action()

    def stop(self) -> None:
        """Cancel all further calls."""
        if self.timer:
            self.timer.cancel()
            self.timer = None


async def run_forever(
    faults: Faults, name: str, action: Callable[[], Awaitable[None]], delay: Callable[[], float]
) -> None:
    """Run ``action`` repeatedly, ``delay()`` seconds after each run has ended, until cancelled.

    An exception is reported and does not prevent the next run. Otherwise a discovery watch that failed would
    leave the front using the last endpoint list for ever, drained nodes included.
    """
    while True:
        try:
            await action()
        except Exception as error:  # noqa: BLE001  contains every exception by design
            faults.report("duty_fault", error, task=name)
        await asyncio.sleep(delay())
