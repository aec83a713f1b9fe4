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
from cleatyoke.durability.records import MOST_PEERS, FrontState, RestoreDoubt
from cleatyoke.durability.store import StateDatabase
from cleatyoke.durability.writer import RestoredState, StateWriter
from cleatyoke.process.faults import Faults, PeriodicCall

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
        self.first: asyncio.Future[RestoredState] = self.loop.create_future()
        self.view: DurableReplicas | None = None
        self.last = FrontState()
        self.writer = StateWriter(StateDatabase(folder, front), time.time, self.recalled, self.heard)
        self.beat = PeriodicCall(faults, "durable", SETTLE, self.keep)
        self.writer.start()

    async def read(self) -> str:
        """Once the disk has said what it has: what that is, in a few words."""
        recalled = await asyncio.shield(self.first)
        return "found" if recalled.found else "nothing found"

    def recalled(self, recalled: RestoredState) -> None:
        """From the writer's thread."""
        self.loop.call_soon_threadsafe(self.take, recalled)

    def take(self, recalled: RestoredState) -> None:
        for doubt in recalled.doubts:
            log.warning("durable_doubtful", of=doubt.where, why=doubt.why)
        if recalled.failed:
            self.tell(recalled.failed)
        self.last = recalled.memory
        self.first.set_result(recalled)
        if self.view:  # it began without
            self.serve(self.view)

    def heard(self, doubts: list[RestoreDoubt]) -> None:
        self.loop.call_soon_threadsafe(self.tell, doubts)

    def tell(self, doubts: list[RestoreDoubt]) -> None:
        """Once for each change: writes fail, or do no longer."""
        if doubts:
            log.error("durable_failing", why="; ".join(f"{one.where}: {one.why}" for one in doubts))
        else:
            log.info("durable_well")

    def serve(self, view: DurableReplicas) -> None:
        """Give the view what the disk said, now or once it does, and keep what the view knows from then
        on.
        """
        self.view = view
        if self.first.done():
            view.recall = self
            view.remember(self.first.result().memory)
            self.beat.start()

    def keep(self) -> None:
        """Write what is new."""
        assert self.view
        memory = self.view.memory(self.last)
        memory = replace(memory, peers=memory.peers[:MOST_PEERS])
        if memory != self.last:
            self.last = memory
            self.writer.write(memory)

    def has(self, holds: HoldSet) -> bool:
        """From any thread: whether these are on the disk."""
        given = self.writer.given
        return self.last.holds == holds and self.writer.keeps(given)

    def stop(self) -> None:
        self.beat.stop()
        self.keep()
        self.writer.stop()

    def figures(self) -> list[str]:
        writer = self.writer
        facts = {
            "writes": writer.writes,
            "failures": writer.failures,
            "behind": writer.given - writer.kept,
            "failing": len(writer.doubts),
        }
        return [f"durable.{name}={value}" for name, value in facts.items()]
