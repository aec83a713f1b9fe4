"""Synchronizes operators' holds of nodes among fronts and saves the replicated holds to a file.

Connects the file of this front's holds (``process.hold_file``) with their replication
(``coordination.hold_replication``).
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import structlog

from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.process.faults import Faults
from cleatyoke.process.hold_file import HoldFile

if TYPE_CHECKING:
    from cleatyoke.fleet.view import FleetView

# In the state directory: replicated holds of all fronts. ``process.hold_file`` has those applied here.
REPLICATED_HOLDS_FILE = "cleatyoke-fleet-copies"
REPLICATION_POLL_INTERVAL = 0.01  # seconds between checks whether a hold has reached all fronts
log = structlog.get_logger()


class ReplicationProgress(NamedTuple):
    """How many fronts have a hold or its release."""

    confirmed: int  # fronts known to have it, including this one
    front_count: int  # fronts that may be up


def wait_until_replicated(
    view: FleetView, node_name: str, *, is_held: bool, timeout: float
) -> ReplicationProgress:
    """Wait until all fronts and the disk have a hold, or its release, that was made at this front.

    Blocks the calling thread, which must not be the event loop's, for at most ``timeout`` seconds.
    """
    replication = view.hold_replication
    deadline = time.monotonic() + timeout
    while True:
        active = list(view.membership.active_members)
        is_applied = (node_name in replication.holds.held_nodes()) == is_held
        confirmed = 0
        if is_applied:
            confirmed = 1 + sum(not replication.is_behind(member) for member in active)
        is_complete = is_applied and confirmed == len(active) + 1 and view.holds_are_on_disk()
        if is_complete or time.monotonic() >= deadline:
            return ReplicationProgress(confirmed, max(view.conclusion().front_count, len(active) + 1))
        time.sleep(REPLICATION_POLL_INTERVAL)


class HoldSharing:
    """Forwards operators' changes to the replication, and remote changes to this front's hold file.

    The replicated state is also saved to a file, so that a release made while this front is down takes effect
    when it restarts. ``on_local_change`` is called after an operator's change at this front, ``save_state``
    after every change.
    """

    def __init__(  # noqa: PLR0913 - one parameter per connected part
        self,
        replication: HoldReplication,
        hold_file: HoldFile,
        folder: Path,
        faults: Faults,
        *,
        on_local_change: Callable[[], None],
        save_state: Callable[[], None],
    ) -> None:
        self.replication = replication
        self.hold_file = hold_file
        self.path = folder / REPLICATED_HOLDS_FILE
        self.faults = faults
        self.on_local_change = on_local_change
        self.save_state = save_state

    def start(self) -> None:
        """Restore the saved replication state and start to synchronize holds."""
        data = b""
        with contextlib.suppress(OSError):
            data = self.path.read_bytes()
        self.hold_file.poll()  # loads the holds of the previous process
        held = frozenset(self.hold_file.directory.holds.held)
        self.replication.restore(data, held)
        self.replication.on_change = self._apply_remote_change
        self.hold_file.on_local_change = self._apply_local_change
        if unapplied := self.replication.holds.held_nodes() - frozenset(self.hold_file.directory.holds.held):
            self.hold_file.apply_remote(unapplied, frozenset())

    def _apply_remote_change(self, held: frozenset[str], released: frozenset[str]) -> None:
        log.info("fleet_holds", held=sorted(held), released=sorted(released))
        self._save()
        self.hold_file.apply_remote(held, released)

    def _apply_local_change(self, node_name: str, is_held: bool) -> None:  # HoldFile calls it by position
        if is_held:
            self.replication.hold(node_name)
        else:
            self.replication.release(node_name)
        self._save()
        self.on_local_change()

    def _save(self) -> None:
        self.save_state()
        with self.faults.contain("fleet_copies"):
            new_path = self.path.with_suffix(".new")
            new_path.write_bytes(self.replication.dump())
            new_path.replace(self.path)
