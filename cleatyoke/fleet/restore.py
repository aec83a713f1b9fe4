"""A front's memory on its disk, towards the loop: read at the start, written from then on. Thin; imported
only where it is on. What is believed is in ``durable.records``, what is waited for in
``fleet.recovery``.
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
from cleatyoke.process.faults import Faults, Watchdog

SETTLE = 5.0  # seconds between looks whether the peers to ask at a next start have changed
log = structlog.get_logger()


class DurableReplicas(Protocol):
    """What is kept on the disk comes from here, and what the disk said goes here."""

    recall: DurableState | None

    def remember(self, memory: FrontState) -> None: ...

    def memory(self, before: FrontState) -> FrontState:
        """What is worth keeping now; ``before``: what was kept last."""
        ...


class DurableState:
    """What a life of this front keeps: the holds that its view knows, its boot number, and whom it knew."""

    def __init__(self, folder: Path, front: str, faults: Faults) -> None:
        self.loop = asyncio.get_running_loop()
        self.restored: asyncio.Future[RestoredState] = self.loop.create_future()
        self.view: DurableReplicas | None = None
        self.state = FrontState()
        self.writer = StateWriter(
            StateDatabase(folder, front), time.time, self._on_restored, self._on_problems_changed
        )
        self.watchdog = Watchdog(faults, "durable", SETTLE, self.save)
        self.writer.start()

    async def wait_until_restored(self) -> str:
        """Once the disk has said what it has: what that is, in a few words."""
        recalled = await asyncio.shield(self.restored)
        return "found" if recalled.was_found else "nothing found"

    def _on_restored(self, recalled: RestoredState) -> None:
        """From the writer's thread."""
        self.loop.call_soon_threadsafe(self._apply_restored, recalled)

    def _apply_restored(self, recalled: RestoredState) -> None:
        for doubt in recalled.problems:
            log.warning("durable_doubtful", of=doubt.source, why=doubt.reason)
        if recalled.write_problems:
            self._log_problems(recalled.write_problems)
        self.state = recalled.state
        self.restored.set_result(recalled)
        if self.view:  # it began without
            self.attach(self.view)

    def _on_problems_changed(self, doubts: list[StorageProblem]) -> None:
        self.loop.call_soon_threadsafe(self._log_problems, doubts)

    def _log_problems(self, doubts: list[StorageProblem]) -> None:
        """Once for each change: writes fail, or do no longer."""
        if doubts:
            log.error("durable_failing", why="; ".join(f"{one.source}: {one.reason}" for one in doubts))
        else:
            log.info("durable_well")

    def attach(self, view: DurableReplicas) -> None:
        """Give the view what the disk said, now or once it does, and keep what the view knows from then
        on.
        """
        self.view = view
        if self.restored.done():
            view.recall = self
            view.remember(self.restored.result().state)
            self.watchdog.start()

    def save(self) -> None:
        """Write what is new."""
        assert self.view
        memory = self.view.memory(self.state)
        memory = replace(memory, peers=memory.peers[:MAX_PEERS])
        if memory != self.state:
            self.state = memory
            self.writer.submit(memory)

    def has_written(self, holds: HoldSet) -> bool:
        """From any thread: whether these are on the disk."""
        given = self.writer.submitted
        return self.state.holds == holds and self.writer.is_written(given)

    def stop(self) -> None:
        self.watchdog.stop()
        self.save()
        self.writer.stop()

    def metric_lines(self) -> list[str]:
        writer = self.writer
        facts = {
            "writes": writer.writes,
            "failures": writer.failures,
            "behind": writer.submitted - writer.written,
            "failing": len(writer.problems),
        }
        return [f"durable.{name}={value}" for name, value in facts.items()]
