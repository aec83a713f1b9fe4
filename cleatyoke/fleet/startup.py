"""A process's start where fronts keep a view of one another: what ``fleet.recovery`` waits for, towards the
loop. Thin; imported only where the view is on.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable

import structlog

from cleatyoke.config.fronts_file import FleetSettings
from cleatyoke.coordination.quota_leases import LeaseTerms
from cleatyoke.coordination.staged_start import Evidence, StagedStart, StartStage
from cleatyoke.fleet.restore import DurableState
from cleatyoke.fleet.view import FleetView
from cleatyoke.process.faults import Faults

log = structlog.get_logger()


async def at_once(what: str) -> str:
    return what


async def once(heard: asyncio.Event, what: str) -> str:
    await heard.wait()
    return what


class StagedStartRunner:
    """Each stage waits for its evidence, or its bound."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        now = self.loop.time()
        self.recovery = StagedStart(now, LeaseTerms().lender(now))

    async def recall(self, peers: FleetSettings, name: str, faults: Faults) -> DurableState | None:
        """The own memory; None where none is kept."""
        if peers.durable_folder is None:
            await self.wait(StartStage.DISK, at_once("none kept"))
            return None
        recall = DurableState(peers.durable_folder, f"{peers.deployment}/{name}", faults)
        await self.wait(StartStage.DISK, recall.read())
        return recall

    async def meet(self, view: FleetView) -> None:
        await self.wait(StartStage.PEERS, view.met())

    async def hear_of_boxes(self, known: bool, heard: asyncio.Event) -> None:
        """``known``: there is an old list."""
        word = at_once("an old list") if known and not heard.is_set() else once(heard, "discovery")
        await self.wait(StartStage.LIST, word)

    async def wait(self, stage: StartStage, evidence: Awaitable[str]) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self.recovery.ends_at()):
                self.step(Evidence(stage, await evidence))
        self.step()
        if self.recovery.stage is StartStage.LENT:
            self.loop.call_at(self.recovery.ends_at(), self.step)

    def step(self, *events: Evidence) -> None:
        for one in self.recovery.step(self.loop.time(), events):
            tell = log.warning if one.what == "bound" else log.info
            tell("recovery_stage", passed=one.stage.value, by=one.what, waited=round(one.waited, 3))

    def lines(self) -> list[str]:
        return self.recovery.lines(self.loop.time())
