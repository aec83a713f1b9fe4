"""The processes of one front that run at the same time, as in an upgrade, and their shares of each limit."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from cleatyoke.process.faults import Faults, PeriodicCall
from cleatyoke.scheduling.events import QuotaShareChanged, SchedulerEvent
from cleatyoke.scheduling.settings import SchedulerSettings

# Then the process id; the file is empty and stands in $TMPDIR. Older releases look for this name too.
MARKER_PREFIX = "cleatyoke-life-"  # "life" and "lives", here and in the log: processes
TAKEOVER_DELAY = (
    0.15  # seconds after its marker from which a new process uses its share: the others saw it by then
)
SIBLING_POLL_INTERVAL = 0.05  # seconds; a process could use up the slack of a rate limit in 0.3 s
log = structlog.get_logger()


class SiblingProcesses:
    """Counts the running processes of this front by their marker files, and divides the limits among them.

    Without it, two processes of an upgrade would use each limit twice. A marker whose process is gone does
    not count.

    Made at the start, it tells the scheduler's settings what this process may use and from when: where an
    older process runs, none of the slack, which that one has, and nothing until that one has seen the marker.
    """

    def __init__(self, folder: Path, settings: SchedulerSettings, faults: Faults, began: float) -> None:
        self.folder = folder
        self.marker = folder / f"{MARKER_PREFIX}{os.getpid()}"
        self.poll_timer = PeriodicCall(faults, "lives", SIBLING_POLL_INTERVAL, self.poll)
        self._notify: Callable[[SchedulerEvent], None] = _ignore
        try:
            self.marker.write_text("")
        except OSError as error:
            log.warning("life_not_marked", why=str(error))
        others = self._count_others()
        self.quota_share = 1.0 / (1 + others)  # of every rate limit
        settings.initial_quota_share = self.quota_share
        settings.replaces_process = others > 0
        settings.idle_since = time.time() + TAKEOVER_DELAY if others else began

    def start(self, notify: Callable[[SchedulerEvent], None]) -> None:
        """Count from now on; ``notify`` takes a ``QuotaShareChanged`` whenever the share changes."""
        self._notify = notify
        self.poll_timer.start()

    def stop(self) -> None:
        """Count no more, and remove this process's marker."""
        self.poll_timer.stop()
        self.marker.unlink(missing_ok=True)

    def poll(self) -> None:
        """Count the processes once."""
        quota_share = 1.0 / (1 + self._count_others())
        if quota_share != self.quota_share:
            self.quota_share = quota_share
            log.info("limits_shared", share=quota_share)
            self._notify(QuotaShareChanged(quota_share))

    def _count_others(self) -> int:
        pids = [path.name.removeprefix(MARKER_PREFIX) for path in self.folder.glob(f"{MARKER_PREFIX}*")]
        return sum(1 for pid in pids if pid.isdecimal() and int(pid) != os.getpid() and _is_running(int(pid)))


def _is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except OSError:
        return True  # it runs under another user
    return True


def _ignore(_event: SchedulerEvent) -> None:
    """Nothing is notified before ``start``."""
