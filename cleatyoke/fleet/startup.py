"""The staged start of a running front, where fronts keep a view of one another.

Between the event loop and ``coordination.staged_start``, which says when a stage is passed. Imported only
where the view is on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from cleatyoke.config.fronts_file import FleetSettings
from cleatyoke.coordination.lease_terms import LeaseTerms
from cleatyoke.coordination.staged_start import PASSED_BY_BOUND, Evidence, StagedStart, StartStage
from cleatyoke.fleet.restore import DurableState
from cleatyoke.fleet.view import FleetView
from cleatyoke.process.faults import Faults

log = structlog.get_logger()


class StagedStartRunner:
    """Wait in each stage of one process's start for its evidence, or until its bound.

    The process opens its listeners after ``wait_for_endpoint_list``. Once ``shutdown_requested`` is set no
    stage is waited for any more, as the process is not going to serve. To be made on the running event loop.
    """

    def __init__(self, shutdown_requested: asyncio.Event | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self.shutdown_requested = shutdown_requested or asyncio.Event()
        now = self.loop.time()
        self.staged_start = StagedStart(now, LeaseTerms().lender_expiry(now))

    async def restore_durable_state(
        self, fleet_settings: FleetSettings, name: str, faults: Faults
    ) -> DurableState | None:
        """Wait for the front's durable state; None where none is kept.

        After the bound it is returned while it is still being read.
        """
        if fleet_settings.durable_folder is None:
            await self._wait_for(StartStage.DISK, asyncio.sleep(0), lambda: "none kept")
            return None
        durable_state = DurableState(
            fleet_settings.durable_folder, f"{fleet_settings.deployment}/{name}", faults
        )
        await self._wait_for(
            StartStage.DISK, durable_state.wait_until_restored(), durable_state.describe_restored
        )
        return durable_state

    async def wait_for_peers(self, view: FleetView) -> None:
        """Wait for a peer's full state."""
        await self._wait_for(StartStage.PEERS, view.wait_for_peer(), view.describe_peer)

    async def wait_for_endpoint_list(self, *, has_cached_list: bool, received: asyncio.Event) -> None:
        """Wait for discovery's first endpoint list, unless there is a cached one. ``received``: it came."""

        def describe() -> str | None:
            if received.is_set():
                return "discovery"
            return "an old list" if has_cached_list else None

        awaited = asyncio.sleep(0) if has_cached_list else received.wait()
        await self._wait_for(StartStage.ENDPOINT_LIST, awaited, describe)

    def status_lines(self) -> list[str]:
        """The answer to ``show-recovery``."""
        return self.staged_start.status_lines(self.loop.time())

    async def _wait_for(
        self, stage: StartStage, awaited: Awaitable[object], describe: Callable[[], str | None]
    ) -> None:
        """Wait until this stage's evidence comes or its bound is reached.

        ``describe`` returns the evidence, or None where it has not come. It is asked at the bound too: where
        the loop runs late, the evidence and the bound come in one turn of it, and the evidence counts.
        """
        waits = [asyncio.ensure_future(awaited), asyncio.ensure_future(self.shutdown_requested.wait())]
        try:
            seconds = max(0.0, self.staged_start.stage_ends_at() - self.loop.time())
            await asyncio.wait(waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        description = describe()
        self._step(*([Evidence(stage, description)] if description is not None else []))
        self._wait_for_old_leases()

    def _wait_for_old_leases(self) -> None:
        """Step when the old leases have ended, and again where a timer fired a clock tick early."""
        self._step()
        if self.staged_start.stage is StartStage.OLD_LEASES:
            self.loop.call_at(self.staged_start.stage_ends_at(), self._wait_for_old_leases)

    def _step(self, *events: Evidence) -> None:
        for passed in self.staged_start.step(self.loop.time(), events):
            write = log.warning if passed.passed_by == PASSED_BY_BOUND else log.info
            write(
                "recovery_stage",
                passed=passed.stage.value,
                by=passed.passed_by,
                waited=round(passed.waited_seconds, 3),
            )
