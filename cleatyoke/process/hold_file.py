"""Operators' holds on nodes, stored in a file that both processes of an upgrade share."""

from __future__ import annotations

import fcntl
import threading
from collections.abc import Callable, Iterable
from pathlib import Path

import structlog

from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.process.faults import Faults, PeriodicCall
from cleatyoke.scheduling.events import EndpointUpdate, UpdateKind

HOLD_FILE_NAME = "cleatyoke-holds.json"  # in $TMPDIR; the format is that of ``OperatorHolds.encode``
HOLD_POLL_INTERVAL = 0.25  # seconds
log = structlog.get_logger()


class HoldFile:
    """Applies holds and releases in this process, and exchanges them with the other process of this front.

    An operator's change in this process is made under a lock on a second file: the other process's changes
    are read first, then the change is applied, and the whole set is rewritten. ``apply_remote`` only rewrites
    the whole set, without that lock. The event loop polls the file for changes by the other process. If the
    file cannot be read or written, that is logged, the change applies to this process, and reading and
    writing are tried again with each poll.
    """

    def __init__(self, folder: Path, directory: Directory, core: Core, faults: Faults) -> None:
        self.path = folder / HOLD_FILE_NAME
        self.lock_path = folder / f"{HOLD_FILE_NAME}.lock"
        self.directory = directory
        self.core = core
        self.loop = core.loop
        # Called after an operator's command to this process has changed a hold.
        self.on_local_change: Callable[[str, bool], None] | None = None
        self.poll_timer = PeriodicCall(faults, "holds", HOLD_POLL_INTERVAL, self.poll)
        self._mutex = threading.Lock()  # the control thread also changes holds
        self._last_stamp: tuple[int, int] | None = None  # of the file when it was last read or written
        self._is_write_due = False  # the last one failed

    def start(self) -> None:
        """Read the file now, and begin to poll it."""
        self.poll_timer.start()

    def stop(self) -> None:
        """Stop polling; the file remains for the other process."""
        self.poll_timer.stop()

    def disable(self, name: str) -> bool:
        """Hold a node, from the control thread; return whether the node is known.

        New attempts to the node stop immediately; the scheduler is notified in the next turn of the loop.
        """
        return self._change(name, True)

    def enable(self, name: str) -> bool:
        """Release a node, from the control thread; return whether the node is known."""
        return self._change(name, False)

    def poll(self) -> None:
        """On the event loop: apply the changes that the other process has made."""
        with self._mutex:
            changed = self._read_changes()
            if self._is_write_due:
                self._try_to_write()
        self._notify(changed)

    def apply_remote(self, held: frozenset[str], released: frozenset[str]) -> None:
        """On the event loop: apply the holds and releases of other fronts."""
        with self._mutex:
            now = self.core.now()
            for name in held:
                self.directory.holds.disable(name, known=True)
            for name in released:
                self.directory.holds.enable(name, True, now)
            self._try_to_write()
        self._notify([*held, *released])

    def _change(self, name: str, disable: bool) -> bool:
        with self._mutex:
            try:
                with self.lock_path.open("a") as lock:
                    fcntl.flock(lock, fcntl.LOCK_EX)
                    changed = self._read_changes()
                    is_known = self._apply(name, disable)
                    self._write()
            except OSError as error:
                log.warning("hold_file_error", reason=str(error))
                self._is_write_due = True
                changed = []
                is_known = self._apply(name, disable)
        self.loop.call_soon_threadsafe(self._notify, [*changed, name])
        if is_known and self.on_local_change:
            self.loop.call_soon_threadsafe(self.on_local_change, name, disable)
        return is_known

    def _apply(self, name: str, disable: bool) -> bool:
        holds = self.directory.holds
        known = self.directory.has_seen(name)
        return holds.disable(name, known) if disable else holds.enable(name, known, self.core.now())

    def _notify(self, names: Iterable[str]) -> None:
        """On the event loop: report nodes whose hold has changed to the scheduler and the backend pools."""
        if entries := self.directory.refresh(list(names)):
            self.core.notify(EndpointUpdate(UpdateKind.DELTA, entries))

    def _read_changes(self) -> list[str]:
        """Return the nodes whose hold the other process has changed since the last read."""
        stamp = self._file_stamp()
        if stamp is None or stamp == self._last_stamp:
            return []
        try:
            text = self.path.read_text()
        except OSError:  # removed since ``_file_stamp``, or the disk fails: tried again with the next poll
            return []
        except ValueError:  # not valid text
            text = ""
        self._last_stamp = stamp
        changes = self.directory.holds.merge(text, self.core.now())
        return changes.held + changes.released

    def _try_to_write(self) -> None:
        try:
            self._write()
        except OSError as error:
            if not self._is_write_due:
                log.warning("hold_file_error", reason=str(error))
            self._is_write_due = True

    def _write(self) -> None:
        new_path = self.path.with_suffix(".new")
        new_path.write_text(self.directory.holds.encode())
        new_path.replace(self.path)
        self._last_stamp = self._file_stamp()
        self._is_write_due = False

    def _file_stamp(self) -> tuple[int, int] | None:
        try:
            status = self.path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
