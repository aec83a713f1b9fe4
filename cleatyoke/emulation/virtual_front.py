"""A front of an emulated deployment: production core, endpoint directory and fleet view, without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from cleatyoke.config.fronts_file import DEFAULT_FLEET_TIMING, FleetSettings
from cleatyoke.config.settings import read_settings
from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory, EndpointList, Instance
from cleatyoke.emulation.view import VirtualTransport, VirtualView, address_of
from cleatyoke.emulation.virtual_backend import UNIX_TIME_AT_START
from cleatyoke.process.faults import Faults
from cleatyoke.scheduling.events import EndpointUpdate, UpdateKind
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.testbed.front_settings import settings_of
from cleatyoke.testbed.scenario import Scenario, ViewTerms

CoreFactory = Callable[[SchedulerSettings], Core]


def make_core(settings: SchedulerSettings) -> Core:
    """Create the production core, on the run's virtual wall clock."""
    return Core(settings, UNIX_TIME_AT_START)


class VirtualFront:
    """A front across all its incarnations. ``core`` and ``directory`` are None while it is down."""

    def __init__(self, number: int, scenario: Scenario, transport: VirtualTransport, faults: Faults) -> None:
        self.number = number
        self.core: Core | None = None
        self.directory: Directory | None = None
        self.open_requests: set[asyncio.Task[Any]] = set()
        self._scenario = scenario
        self._transport = transport
        self._faults = faults
        self._boot = 0  # boot number; 1 in the first incarnation
        self._view: VirtualView | None = None

    async def start(self, make: CoreFactory) -> None:
        """Start an incarnation without endpoints; ``notify_snapshot`` delivers the list."""
        scenario = self._scenario
        self._boot += 1
        settings = read_settings(settings_of(scenario), scenario.seed * 1000 + self.number)
        settings.idle_since = UNIX_TIME_AT_START + asyncio.get_running_loop().time()
        self.core = make(settings)
        self.directory = Directory({})
        if scenario.view:
            await self._start_view(scenario.view, self.core, self.directory)

    async def _start_view(self, terms: ViewTerms, core: Core, directory: Directory) -> None:
        scenario = self._scenario
        view = VirtualView(
            self._transport,
            self._fleet_settings(terms),
            f"n{self.number}",
            scenario.fronts,
            scenario.seed,
            self._faults,
        )
        self._view = view
        if terms.shares_limits or terms.shares_warm_up:
            instances = directory.instances
            view.start_leasing(core, lambda node: instances[node].name if node in instances else None)
        await view.start()

    def _fleet_settings(self, terms: ViewTerms) -> FleetSettings:
        scale = terms.probe_period / DEFAULT_FLEET_TIMING["period"]
        return FleetSettings(
            "emulated",
            address_of(self.number),
            address_of(self.number),
            [address_of(seed) for seed in terms.seeds],
            self._boot,
            {name: time * scale for name, time in DEFAULT_FLEET_TIMING.items()},
            terms.shares_limits,
            terms.shares_warm_up,
        )

    def notify_snapshot(self, version: int, instances: Iterable[Instance]) -> None:
        """Deliver the complete endpoint list to a running front."""
        self._notify(UpdateKind.SNAPSHOT, EndpointList(version, True, list(instances)))

    def notify_change(self, version: int, instance: Instance) -> None:
        """Deliver one changed endpoint to a running front."""
        self._notify(UpdateKind.DELTA, EndpointList(version, False, [instance]))

    def _notify(self, kind: UpdateKind, endpoint_list: EndpointList) -> None:
        assert self.core
        assert self.directory
        entries = self.directory.apply(endpoint_list)
        self.core.notify(EndpointUpdate(kind, entries))

    def kill(self) -> None:
        """End the incarnation as SIGKILL would: its clients get no answers and its peers no leave notice."""
        if self._view:
            self._view.kill()
        if self.core and self.core.timer:
            self.core.timer.cancel()
        self.core = None
        self.directory = None
        self._view = None
        for task in self.open_requests:
            task.cancel()
