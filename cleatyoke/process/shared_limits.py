"""Divides the limits of a front among its concurrent processes, as during an upgrade.

Each process keeps a record of what it may take (``LimitFiles``) and reads those of the others. When another
one appears, this process reduces its share at once; what it holds beyond that it reports until it is free.
When the other one has ended, this process has the whole limits again.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import structlog

from cleatyoke.limits.limit_record import LimitRecord
from cleatyoke.limits.limit_shares import FrontLimits, LimitShare, LimitUse, ProcessBudget, ProcessSize
from cleatyoke.limits.memory_budget import DEFAULT_PROCESS_BYTES, MEBIBYTE, STATE_BYTES
from cleatyoke.process.faults import Faults, PeriodicCall
from cleatyoke.process.limit_files import LimitFiles, is_running
from cleatyoke.process.own_memory import own_memory, release_free_memory

POLL_INTERVAL = 0.05  # seconds
MIN_SHARE_CHANGE = 1 * MEBIBYTE  # smaller changes do not divide the share anew
MIN_SOCKETS_CHANGE = 16  # likewise
MIN_REPORTED_CHANGE = MEBIBYTE // 4  # of what this process may take
# Seconds after its share was reduced, after which a process takes back what bodies have reserved and not
# received: most uploads are complete until then.
RESERVATION_GRACE = 0.5
TRIM_INTERVAL = 0.25  # seconds between returns of freed memory, which take processor time
log = structlog.get_logger()


class SharedLimits:
    """The part of this process in the limits of its front.

    ``folder``: the processes' common one; None if there is none, and so no other process. ``started_with``:
    what the process took before it served; None if that is not known. ``measure`` returns what it takes.
    """

    def __init__(
        self,
        limits: FrontLimits,
        folder: Path | None,
        faults: Faults,
        started_with: ProcessSize | None,
        measure: Callable[[], ProcessSize | None] = own_memory,
    ) -> None:
        self.limits = limits
        self._measure_memory = measure
        self._is_measured = started_with is not None
        self._size = started_with or ProcessSize(DEFAULT_PROCESS_BYTES, 0)
        self._size_alone = self._size  # as last measured without another process
        self._files = LimitFiles(str(folder)) if folder else None
        self._record = self._files.new_record() if self._files else LimitRecord(0)
        self._others: list[LimitRecord] = []  # as last read
        self._has_read = False
        self._logged: set[str] = set()
        self._taken: ProcessSize | None = None  # as last measured beside another process
        self._trimmed_at = -TRIM_INTERVAL  # when freed memory was returned to the system, likewise
        self._reduced_at = 0.0  # when the share was reduced, on the monotonic clock
        self._use: Callable[[], LimitUse] = LimitUse
        self._on_change: Callable[[ProcessBudget], None] = _ignore
        self._limit_reservations: Callable[[], None] = lambda: None
        self.poll_timer = PeriodicCall(faults, "limits", POLL_INTERVAL, self.poll)
        self._read_others()
        self.share = LimitShare.of(limits, self._others, self._size_alone)
        self.budget = self._divide()
        self._report(LimitUse())

    def start(
        self,
        use: Callable[[], LimitUse],
        on_change: Callable[[ProcessBudget], None],
        limit_reservations: Callable[[], None],
    ) -> None:
        """Begin to poll.

        ``use`` returns what the process holds; ``on_change`` is called with each new budget;
        ``limit_reservations`` takes back memory that is reserved and not in use.
        """
        self._use = use
        self._on_change = on_change
        self._limit_reservations = limit_reservations
        if self._files:
            self.poll_timer.start()

    def stop(self) -> None:
        """Stop polling, and remove the record; the others count this process until it has ended."""
        self.poll_timer.stop()
        if self._files:
            self._files.remove()

    def poll(self) -> None:
        """Read the other processes' records, divide the limits anew if need be, and report the own use."""
        self._read_others()
        if self._others:
            self._measure()
        share = LimitShare.of(self.limits, self._others, self._size_alone)
        if self._is_different(share):
            self._change_share(share)
        use = self._use()
        is_late = time.monotonic() - self._reduced_at >= RESERVATION_GRACE
        if self._others and is_late and use.long_bodies > self.budget.memory.long_bodies:
            self._limit_reservations()
            use = self._use()
        self._report(use)

    def _measure(self) -> None:
        """Measure the process; its part of the libraries' pages depends on the other ones that use them."""
        self._taken = self._measure_memory()
        if self._is_measured and self._taken:
            self._size = replace(self._size, shared=self._taken.shared)

    def _is_different(self, share: LimitShare) -> bool:
        return (
            share.processes != self.share.processes
            or abs(self._size.total - self._divided_for.total) >= MIN_SHARE_CHANGE
            or abs(share.sockets - self.share.sockets) >= MIN_SOCKETS_CHANGE
            or abs(share.memory - self.share.memory) >= MIN_SHARE_CHANGE
        )

    def _change_share(self, share: LimitShare) -> None:
        if not self._others:
            self._measure()  # the libraries' pages are its own again
            self._size_alone = self._size
        if share.memory < self.share.memory:
            self._reduced_at = time.monotonic()
        self.share = share
        self.budget = self._divide()
        memory = self.budget.memory
        log.info(
            "limits_divided",
            processes=share.processes,
            memory_mb=round(share.memory / MEBIBYTE, 1),
            sockets=share.sockets,
            clients=memory.clients,
            open_requests=memory.open_requests,
            max_upload=memory.max_upload,
        )
        self._on_change(self.budget)

    def _divide(self) -> ProcessBudget:
        self._divided_for = self._size
        return ProcessBudget.divide(self.limits, self.share, self._size)

    def _report(self, use: LimitUse) -> None:
        """Update the record: alone, this process has all, until it has seen another one."""
        if not self._files:
            return
        memory, sockets = self.limits.memory, self.limits.sockets
        if self._others:
            memory = self._memory_bytes(use)
            sockets = self.budget.socket_count(use)
        record = self._record
        is_same = record.sockets == sockets and abs(record.memory - memory) < MIN_REPORTED_CHANGE
        if is_same and record.process:
            return
        record.memory_limit = self.limits.memory
        record.process = self._size.anonymous + STATE_BYTES
        try:
            record.memory, record.sockets = memory, sockets
            self._files.write(record)
        except OSError as error:
            record.process = 0  # written with the next poll
            self._log_once("limit_record_not_written", error)

    def _memory_bytes(self, use: LimitUse) -> int:
        """Return what the process may take, or takes if that is more."""
        planned = self.budget.memory_bytes(use)
        now = time.monotonic()
        if self._taken and self._taken.total > planned and now - self._trimmed_at >= TRIM_INTERVAL:
            self._trimmed_at = now
            release_free_memory()
            self._taken = self._measure_memory()
        return max(planned, self._taken.total if self._taken else 0)

    def _read_others(self) -> None:
        """Read the records; a process that has removed its record counts until it has ended."""
        if not self._files:
            return
        try:
            records = self._files.read_others()
        except OSError as error:
            self._log_once("limit_records_not_read", error)
            # Not read yet, there may be another process, whose use is not known.
            is_unknown = not self._has_read and self.limits.may_be_upgraded
            records = [LimitRecord(0)] if is_unknown else []
        else:
            self._has_read = True
        pids = {record.pid for record in records}
        records += [record for record in self._others if record.pid not in pids and is_running(record)]
        self._others = records

    def _log_once(self, event: str, error: OSError) -> None:
        """Log an error of the folder: it is used with each poll, so a lasting one would fill the log."""
        if event not in self._logged:
            log.warning(event, reason=str(error))
            self._logged.add(event)

    def log_limits(self) -> None:
        """Log how the memory is divided, and what of the limit cannot be kept."""
        memory = self.budget.memory
        if not self.limits.memory:
            return
        total = memory.total_bytes()
        limit = min(self.limits.memory, max(self.share.memory, 1))
        fields = {
            "limit_mb": round(self.limits.memory / MEBIBYTE, 1),
            "total_mb": round(total / MEBIBYTE, 1),
            "process_mb": round(memory.process / MEBIBYTE, 1),
            "processes": self.share.processes,
            "clients": memory.clients,
            "open_requests": memory.open_requests,
            "max_upload": memory.max_upload,
        }
        if total > limit:
            log.warning("memory_limit_too_low", **fields)
        else:
            log.info("memory_divided", **fields)
        if self.limits.may_be_upgraded and not self._size_alone.fits(self.limits, 2):
            log.warning("memory_limit_too_low_for_upgrade", **fields)


def _ignore(_budget: ProcessBudget) -> None:
    """Stand-in for ``on_change`` before ``start``."""
