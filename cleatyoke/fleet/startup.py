"""The staged start of a running front in a fleet.

Connects the event loop with ``coordination.staged_start``, which decides when a stage is passed. Imported
only if the fleet view is enabled.
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
    """Waits in each stage of the process's start for the stage's evidence or time limit.

    The process opens its listeners after ``wait_for_endpoint_list``. Once ``shutdown_requested`` is set, all
    waits end, because the process is not going to serve. Must be created on the running event loop.
    """

    def __init__(self, shutdown_requested: asyncio.Event | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self.shutdown_requested = shutdown_requested or asyncio.Event()
        now = self.loop.time()
        self.staged_start = StagedStart(now, LeaseTerms().lender_expiry(now))

    async def restore_durable_state(
        self, fleet_settings: FleetSettings, name: str, faults: Faults
    ) -> DurableState | None:
        """Wait for the front's durable state and return it, or None if durable state is disabled.

        If the time limit is reached first, the state is returned while its files are still being read.
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
        """Wait for the full state of any peer."""
        await self._wait_for(StartStage.PEERS, view.wait_for_peer(), view.describe_peer)

    async def wait_for_endpoint_list(self, *, has_cached_list: bool, received: asyncio.Event) -> None:
        """Wait for discovery's first endpoint list, which sets ``received``, unless there is a cached one."""

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
        """Wait for this stage's evidence until the stage's time limit.

        ``describe`` returns a description of the evidence, or None if there is none yet. It is called after a
        timeout too: on a delayed event loop the evidence and the timeout can arrive in the same iteration,
        and then the evidence takes precedence.
        """
        waits = [asyncio.ensure_future(awaited), asyncio.ensure_future(self.shutdown_requested.wait())]
        try:
            timeout = max(0.0, self.staged_start.stage_ends_at() - self.loop.time())
            await asyncio.wait(waits, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        description = describe()
        self._step(*([Evidence(stage, description)] if description is not None else []))
        self._wait_for_old_leases()

    def _wait_for_old_leases(self) -> None:
        """Step when the old leases have expired, and again if the timer fired a clock tick early."""
        self._step()
        if self.staged_start.stage is StartStage.OLD_LEASES:
            self.loop.call_at(self.staged_start.stage_ends_at(), self._wait_for_old_leases)

    def _step(self, *events: Evidence) -> None:
        for passed in self.staged_start.step(self.loop.time(), events):
            write_log = log.warning if passed.passed_by == PASSED_BY_BOUND else log.info
            write_log(
                "recovery_stage",
                passed=passed.stage.value,
                by=passed.passed_by,
                waited=round(passed.waited_seconds, 3),
            )
