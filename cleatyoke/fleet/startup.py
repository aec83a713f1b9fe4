"""A process's start where fronts keep a view of one another: what ``fleet.recovery`` waits for, towards the
loop. Thin; imported only where the view is on.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable

import structlog

from cleatyoke.config.deployment import FleetSettings
from cleatyoke.coordination.lease_terms import LeaseTerms
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
        self.staged_start = StagedStart(now, LeaseTerms().lender_expiry(now))

    async def restore_durable_state(
        self, peers: FleetSettings, name: str, faults: Faults
    ) -> DurableState | None:
        """The own memory; None where none is kept."""
        if peers.durable is None:
            await self._wait_for(StartStage.DISK, at_once("none kept"))
            return None
        recall = DurableState(peers.durable, f"{peers.deployment}/{name}", faults)
        await self._wait_for(StartStage.DISK, recall.wait_until_restored())
        return recall

    async def wait_for_peers(self, view: FleetView) -> None:
        await self._wait_for(StartStage.PEERS, view.met())

    async def wait_for_endpoint_list(self, known: bool, heard: asyncio.Event) -> None:
        """``known``: there is an old list."""
        word = at_once("an old list") if known and not heard.is_set() else once(heard, "discovery")
        await self._wait_for(StartStage.ENDPOINT_LIST, word)

    async def _wait_for(self, stage: StartStage, evidence: Awaitable[str]) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self.staged_start.stage_ends_at()):
                self._step(Evidence(stage, await evidence))
        self._step()
        if self.staged_start.stage is StartStage.OLD_LEASES:
            self.loop.call_at(self.staged_start.stage_ends_at(), self._step)

    def _step(self, *events: Evidence) -> None:
        for one in self.staged_start.step(self.loop.time(), events):
            tell = log.warning if one.passed_by == "bound" else log.info
            tell(
                "recovery_stage",
                passed=one.stage.value,
                by=one.passed_by,
                waited=round(one.waited_seconds, 3),
            )

    def status_lines(self) -> list[str]:
        return self.staged_start.status_lines(self.loop.time())
