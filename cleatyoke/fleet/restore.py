"""Durable state of a running front: restored at the start, written from then on.

Between the event loop and ``durability.writer``; imported only where durable state is on. What is trusted of
the files is in ``durability.records``, what a start waits for in ``coordination.staged_start``.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from pathlib import Path
from typing import Protocol

import structlog

from cleatyoke.coordination.replicated_holds import HoldSet
from cleatyoke.durability.records import MAX_PEERS, FrontState, StorageProblem
from cleatyoke.durability.store import StateDatabase
from cleatyoke.durability.writer import RestoredState, StateWriter
from cleatyoke.process.faults import Faults, PeriodicCall

SAVE_INTERVAL = 5.0  # seconds between checks whether the state has changed; holds are saved at once
log = structlog.get_logger()


class DurableReplicas(Protocol):
    """Where the state that is stored comes from, and where restored state goes: the fleet's view."""

    durable_state: DurableState | None
    """Set once the files have been read; from then on the view calls ``save`` at each change of holds."""

    def restore_state(self, state: FrontState) -> None:
        """Take restored state, which may come after the start."""
        ...

    def state_to_save(self, before: FrontState) -> FrontState:
        """What is to be stored now. ``before``: what was stored last."""
        ...


class DurableState:
    """The durable state of this process: holds, boot number and the peers it knew.

    To be made on the running event loop; all methods are called there but for ``has_written``. Reading
    begins at once and never blocks the loop.

    ``folder``: on a disk that lasts. ``front``: "DEPLOYMENT/NAME".
    """

    def __init__(self, folder: Path, front: str, faults: Faults) -> None:
        self.loop = asyncio.get_running_loop()
        self.restored: asyncio.Future[RestoredState] = self.loop.create_future()
        self.view: DurableReplicas | None = None
        self.state = FrontState()  # as last restored or submitted
        self.writer = StateWriter(
            StateDatabase(folder, front), time.time, self._on_restored, self._on_problems_changed
        )
        self.save_timer = PeriodicCall(faults, "durable", SAVE_INTERVAL, self.save)
        self.writer.start()

    async def wait_until_restored(self) -> str:
        """Wait until the files have been read; what was found, in a few words for the log.

        A caller that gives up leaves the reading alone: the state counts once it comes.
        """
        restored = await asyncio.shield(self.restored)
        return "found" if restored.was_found else "nothing found"

    def attach(self, view: DurableReplicas) -> None:
        """Give the view the restored state, now or once it comes, and save the view's state from then on."""
        self.view = view
        if self.restored.done():
            view.durable_state = self
            view.restore_state(self.restored.result().state)
            self.save_timer.start()

    def save(self) -> None:
        """Have the view's state written if it has changed. Does not wait for the disk."""
        assert self.view
        state = self.view.state_to_save(self.state)
        state = replace(state, peers=state.peers[:MAX_PEERS])
        if state != self.state:
            self.state = state
            self.writer.submit(state)

    def has_written(self, holds: HoldSet) -> bool:
        """Whether these holds are on the disk. From any thread."""
        submitted = self.writer.submitted
        return self.state.holds == holds and self.writer.is_written(submitted)

    def stop(self) -> None:
        """Save a last time, and end the writer."""
        self.save_timer.stop()
        self.save()
        self.writer.stop()

    def metric_lines(self) -> list[str]:
        """The metrics of durable state as "NAME=VALUE"."""
        writer = self.writer
        values = {
            "writes": writer.writes,
            "failures": writer.failures,
            "behind": writer.submitted - writer.written,
            "failing": len(writer.problems),
        }
        return [f"durable.{name}={value}" for name, value in values.items()]

    def _on_restored(self, restored: RestoredState) -> None:
        """On the writer's thread."""
        self.loop.call_soon_threadsafe(self._apply_restored, restored)

    def _on_problems_changed(self, problems: list[StorageProblem]) -> None:
        """On the writer's thread."""
        self.loop.call_soon_threadsafe(self._log_write_problems, problems)

    def _apply_restored(self, restored: RestoredState) -> None:
        for problem in restored.problems:
            log.warning("durable_state_rejected", source=problem.source, reason=problem.reason)
        if restored.write_problems:
            self._log_write_problems(restored.write_problems)
        self.state = restored.state
        self.restored.set_result(restored)
        if self.view:  # it was attached before the files were read
            self.attach(self.view)

    def _log_write_problems(self, problems: list[StorageProblem]) -> None:
        """Once for each change of the files that fail."""
        if problems:
            reason = "; ".join(f"{problem.source}: {problem.reason}" for problem in problems)
            log.error("durable_write_failing", reason=reason)
        else:
            log.info("durable_write_recovered")
