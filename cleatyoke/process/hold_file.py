"""The operator's holds on nodes, kept in a file so that both processes of an upgrade have the same ones."""

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

HOLD_FILE_NAME = "cleatyoke-holds.json"  # in $TMPDIR; ``OperatorHolds.encode`` says what it contains
HOLD_POLL_INTERVAL = 0.25  # seconds
log = structlog.get_logger()


class HoldFile:
    """Applies holds and releases here, and exchanges them with the other process of this front.

    A change by an operator here is made under a lock on a second file: the other process's changes are read
    first, then the change is made, and the whole set is written anew. ``apply_remote`` only writes the whole
    set, without that lock. The event loop polls the file for changes by the other process. A file that
    cannot be read or written is logged, and the change holds in this process only.
    """

    def __init__(self, folder: Path, directory: Directory, core: Core, faults: Faults) -> None:
        self.path = folder / HOLD_FILE_NAME
        self.lock_path = folder / f"{HOLD_FILE_NAME}.lock"
        self.directory = directory
        self.core = core
        self.loop = core.loop
        self.on_local_change: Callable[[str, bool], None] | None = None  # of a command that was given here
        self.poll_timer = PeriodicCall(faults, "holds", HOLD_POLL_INTERVAL, self.poll)
        self._mutex = threading.Lock()  # the control thread changes holds as well
        self._last_stamp: tuple[int, int] | None = None  # of the file when it was last read or written

    def start(self) -> None:
        """Read the file now, and poll it from now on."""
        self.poll_timer.start()

    def stop(self) -> None:
        """Poll no more; the file stays for the other process."""
        self.poll_timer.stop()

    def disable(self, name: str) -> bool:
        """Hold a node, from the control thread; return whether the node is known.

        New attempts are kept off the node at once, and the scheduler learns of it in its next turn.
        """
        return self._change(name, True)

    def enable(self, name: str) -> bool:
        """Release a node, from the control thread; return whether the node is known."""
        return self._change(name, False)

    def poll(self) -> None:
        """On the loop: apply what the other process has changed."""
        with self._mutex:
            changed = self._read_changes()
        self._notify(changed)

    def apply_remote(self, held: frozenset[str], released: frozenset[str]) -> None:
        """On the loop: apply what other fronts have held and released."""
        with self._mutex:
            now = self.core.now()
            for name in held:
                self.directory.holds.disable(name, known=True)
            for name in released:
                self.directory.holds.enable(name, True, now)
            try:
                self._write()
            except OSError as error:
                log.warning("holds_not_kept", why=str(error))
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
                log.warning("holds_not_kept", why=str(error))
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
        """On the loop: report nodes whose hold has changed to the scheduler and the backend pools."""
        if entries := self.directory.refresh(list(names)):
            self.core.notify(EndpointUpdate(UpdateKind.DELTA, entries))

    def _read_changes(self) -> list[str]:
        """Return the nodes whose hold the other process has changed since the last call."""
        stamp = self._file_stamp()
        if stamp is None or stamp == self._last_stamp:
            return []
        self._last_stamp = stamp
        try:
            text = self.path.read_text()
        except (OSError, ValueError):  # removed meanwhile, or not text
            return []
        changes = self.directory.holds.merge(text, self.core.now())
        return changes.held + changes.released

    def _write(self) -> None:
        new_path = self.path.with_suffix(".new")
        new_path.write_text(self.directory.holds.encode())
        new_path.replace(self.path)
        self._last_stamp = self._file_stamp()

    def _file_stamp(self) -> tuple[int, int] | None:
        try:
            facts = self.path.stat()
        except OSError:
            return None
        return facts.st_mtime_ns, facts.st_size
