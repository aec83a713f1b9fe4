"""Concurrent processes of one front, as during an upgrade, and the division of rate limits among them."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from cleatyoke.process.faults import Faults, PeriodicCall
from cleatyoke.process.limit_files import MARKER_PREFIX, LimitFiles
from cleatyoke.scheduling.events import QuotaShareChanged, SchedulerEvent
from cleatyoke.scheduling.settings import SchedulerSettings

# Seconds from its marker until a new process uses its share: the others have seen the marker by then.
TAKEOVER_DELAY = 0.15
SIBLING_POLL_INTERVAL = 0.05  # seconds; a process could exhaust the slack of a rate limit in 0.3 s
log = structlog.get_logger()


class SiblingProcesses:
    """Counts the running processes of this front by their marker files, and divides rate limits among them.

    Otherwise two processes of an upgrade would each use the whole of every limit. The marker of a process
    that no longer runs is ignored. A marker that could not be written is written with a later poll, and the
    last count holds while the markers cannot be read.

    The constructor sets, in the scheduler's settings, which share of the limits this process may use and from
    when. If an older process runs, the slack is left to that process, and this one gets no quota until the
    older one has seen its marker.
    """

    def __init__(
        self, folder: Path, settings: SchedulerSettings, faults: Faults, process_started_at: float
    ) -> None:
        self.folder = folder
        self._files = LimitFiles(str(folder))
        self.marker = folder / f"{MARKER_PREFIX}{os.getpid()}"
        self.poll_timer = PeriodicCall(faults, "lives", SIBLING_POLL_INTERVAL, self.poll)
        self._notify: Callable[[SchedulerEvent], None] = _ignore
        self._logged: set[str] = set()
        self._is_marked = False
        self._others = 0  # as last counted
        self._write_marker()
        others = self._count_others()
        self.quota_share = 1.0 / (1 + others)  # the fraction of every rate limit that this process may use
        settings.initial_quota_share = self.quota_share
        settings.replaces_process = others > 0
        settings.idle_since = time.time() + TAKEOVER_DELAY if others else process_started_at

    def start(self, notify: Callable[[SchedulerEvent], None]) -> None:
        """Begin to poll; ``notify`` receives a ``QuotaShareChanged`` whenever the share changes."""
        self._notify = notify
        self.poll_timer.start()

    def stop(self) -> None:
        """Stop polling, and remove this process's marker."""
        self.poll_timer.stop()
        self.marker.unlink(missing_ok=True)

    def poll(self) -> None:
        """Count the running processes, and update the share."""
        if not self._is_marked:
            self._write_marker()
        quota_share = 1.0 / (1 + self._count_others())
        if quota_share != self.quota_share:
            self.quota_share = quota_share
            log.info("quota_share_changed", share=quota_share)
            self._notify(QuotaShareChanged(quota_share))

    def _count_others(self) -> int:
        try:
            records = self._files.read_others()
        except OSError as error:
            self._log_once("process_markers_not_read", error)
        else:
            self._others = sum(record.is_marked for record in records)
        return self._others

    def _write_marker(self) -> None:
        try:
            self.marker.write_text("")
        except OSError as error:
            self._log_once("process_marker_not_written", error)
        else:
            self._is_marked = True

    def _log_once(self, event: str, error: OSError) -> None:
        """Log an error of the folder: it is used with each poll, so a lasting one would fill the log."""
        if event not in self._logged:
            log.warning(event, reason=str(error))
            self._logged.add(event)


def _ignore(_event: SchedulerEvent) -> None:
    """Stand-in for ``notify`` before ``start``."""
