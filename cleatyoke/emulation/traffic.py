"""A scenario of the stand-in fleet in virtual time: boxes, lists, clients and troubles around the real core
and policy of each front, by the hundred, with the same judge.

What the sockets do stays out: connections, heads and bodies, a busy processor, signals. A box takes a
request when its last byte has come, ``LATENCY`` after it was sent. Troubles of processes that are stopped,
lists that are spoilt and calls to hold are for real processes only.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import DEFAULT_FLEET_TIMING, FleetSettings
from cleatyoke.config.settings import read_settings
from cleatyoke.core import AttemptResult, Core, Failed, Rejected, Served
from cleatyoke.discovery.directory import Directory, EndpointList, Instance
from cleatyoke.emulation.clock import run
from cleatyoke.emulation.network import Fault, Network
from cleatyoke.emulation.value import RequestTemplate
from cleatyoke.emulation.view import Ether, VirtualView, address_of
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import (
    AttemptOutcome,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    UpdateKind,
)
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.testbed.backend_model import BackendModel, RequestOutcome
from cleatyoke.testbed.checker import ClientRequestRecord, RuleChecker
from cleatyoke.testbed.front_settings import settings_of
from cleatyoke.testbed.scenario import FaultEvent, Scenario
from cleatyoke.testbed.workload import GeneratedRequest, requests

UNIX = 1e9  # Unix time at the loop's 0
LATENCY = 0.001  # seconds to a box, and back
LISTED = 0.2  # seconds until a change of the boxes is known to the fronts
DRAIN = 1.5  # seconds for which a box that is replaced is listed as draining
DOWN = 0.3  # seconds between a front's end and its next start
Make = Callable[[SchedulerSettings], Core]


def core_of(settings: SchedulerSettings) -> Core:
    return Core(settings, UNIX)


@dataclass(slots=True)
class VirtualBackend:
    name: str
    cell: int
    zone: str
    model: BackendModel
    state: EndpointState = EndpointState.LIVE
    up: bool = True
    silent: bool = False
    fell: bool = False

    def listed(self) -> Instance:
        started = 0.0 if self.model.started_at is None else UNIX + self.model.started_at
        return Instance(self.name, address_of(0), self.zone, self.cell, self.state, started)


@dataclass(slots=True)
class VirtualFront:
    """A front over its lives."""

    number: int
    boot: int = 0
    core: Core | None = None
    directory: Directory | None = None
    view: VirtualView | None = None
    open: set[asyncio.Task[Any]] = field(default_factory=set)


class Emulation:
    """``tips``: a cold box that is sent more than it bears falls over and stays down (protocol page)."""

    def __init__(self, scenario: Scenario, make: Make = core_of, tips: bool = True) -> None:
        self.scenario, self.make, self.tips = scenario, make, tips
        self.loop = asyncio.get_running_loop()
        self.judge = RuleChecker(scenario.plans, scenario.terms, max(4.0, float(scenario.load.max_units)))
        self.network = Network(scenario.seed)
        self.ether = Ether(self.network)
        self.faults = Faults(Metrics())
        self.boxes: list[VirtualBackend] = []
        self.retired: list[VirtualBackend] = []
        self.lives: list[tuple[int, float, float | None, float]] = []  # of boxes: cell, from, born, to
        self.fronts = [VirtualFront(number) for number in range(scenario.fronts)]
        self.version = 0
        self.wishes: list[RequestTemplate] = []
        self.refused: list[tuple[float, float]] = []  # when, and the wait that was told

    # Boxes and lists

    def begin_box(self, cell: int, name: str, born: float | None) -> VirtualBackend:
        seed = self.scenario.seed + cell
        box = VirtualBackend(
            name, cell, self.scenario.zone_of(cell), BackendModel(self.scenario.backend_capacity, born, seed)
        )
        self.lives.append((cell, self.loop.time(), born, float("inf")))
        return box

    def end_box(self, box: VirtualBackend) -> None:
        box.up = False
        place = max(place for place, life in enumerate(self.lives) if life[0] == box.cell)
        cell, since, born, _ = self.lives[place]
        self.lives[place] = cell, since, born, self.loop.time()

    def power(self, cell: int, at: float) -> float:
        """Units a second that the boxes of a cell can do then."""
        return sum(
            BackendModel(self.scenario.backend_capacity, born).rate(at)
            for one, since, born, until in self.lives
            if one == cell and since <= at < until
        )

    def tell(self, front: VirtualFront, box: VirtualBackend) -> None:
        if front.core is None or front.directory is None:
            return
        self.version += 1
        serves = box.state is EndpointState.LIVE
        self.judge.on_drain_notice(front.number, box.name, None if serves else self.loop.time())
        entries = front.directory.apply(EndpointList(self.version, False, [box.listed()]))
        front.core.notify(EndpointUpdate(UpdateKind.DELTA, entries))

    def publish(self, box: VirtualBackend, state: EndpointState = EndpointState.LIVE) -> None:
        box.state = state
        for front in self.fronts:
            self.loop.call_later(LISTED, self.tell, front, box)

    # Fronts

    async def start(self, front: VirtualFront) -> None:
        scenario = self.scenario
        front.boot += 1
        settings = read_settings(settings_of(scenario), scenario.seed * 1000 + front.number)
        settings.idle_since = UNIX + self.loop.time()
        front.core, front.directory = self.make(settings), Directory({})
        if scenario.view:
            every = scenario.view.probe_period / DEFAULT_FLEET_TIMING["period"]
            peers = FleetSettings(
                "emulated",
                address_of(front.number),
                address_of(front.number),
                [address_of(one) for one in scenario.view.seeds],
                front.boot,
                {name: time * every for name, time in DEFAULT_FLEET_TIMING.items()},
                scenario.view.shares_limits,
                scenario.view.shares_warm_up,
            )
            front.view = VirtualView(
                self.ether, peers, f"n{front.number}", scenario.fronts, scenario.seed, self.faults
            )
            if scenario.view.shares_limits or scenario.view.shares_warm_up:
                boxes = front.directory.instances
                front.view.start_leasing(front.core, lambda node: boxes[node].name if node in boxes else None)
            await front.view.start()
        self.version += 1
        known = [box.listed() for box in self.boxes]
        entries = front.directory.apply(EndpointList(self.version, True, known))
        for box in self.boxes:
            serves = box.state is EndpointState.LIVE
            self.judge.on_drain_notice(front.number, box.name, None if serves else self.loop.time())
        front.core.notify(EndpointUpdate(UpdateKind.SNAPSHOT, entries))

    def kill(self, front: VirtualFront) -> None:
        self.judge.on_front_killed(front.number, self.loop.time())
        if front.view:
            front.view.kill()
        if front.core and front.core.timer:
            front.core.timer.cancel()
        front.core = front.directory = front.view = None
        for task in front.open:
            task.cancel()

    async def attempt(
        self, front: VirtualFront, node: int, trace: str, asked: ClientRequestRecord
    ) -> AttemptResult[str]:
        """One attempt, as the wire would end it."""
        assert front.directory
        listed = front.directory.instances.get(node)
        box = next((one for one in self.boxes if listed and one.name == listed.name), None)
        await asyncio.sleep(LATENCY)
        if box is None or not box.up or box.fell:
            return AttemptResult(AttemptOutcome.CONNECTION_FAILED)
        if box.silent:
            await asyncio.sleep(3600)
        now = self.loop.time()
        made = self.judge.on_attempt(trace, box.name, now, box.cell, box.zone, asked.content)
        self.count_cold(box, now, asked.units)
        if box.fell:
            made.ended = now
            return AttemptResult(AttemptOutcome.RESET)
        ticket = box.model.accept(now, trace, asked.units)
        try:
            match ticket.outcome:
                case RequestOutcome.FULL:
                    made.rejected = True
                    return AttemptResult(AttemptOutcome.QUEUE_FULL)
                case RequestOutcome.UNREAD:
                    return AttemptResult(AttemptOutcome.CONNECTION_RESET)
            await asyncio.sleep(ticket.ends_at - now)
            if box.fell or not box.up:
                return AttemptResult(AttemptOutcome.RESET)
            made.executed = True
            await asyncio.sleep(LATENCY)
            match ticket.outcome:
                case RequestOutcome.RESET:
                    return AttemptResult(AttemptOutcome.CONNECTION_RESET)
                case RequestOutcome.LOST:
                    await asyncio.sleep(3600)
                case RequestOutcome.SPOILT:
                    return AttemptResult(AttemptOutcome.ERROR)
            busy = (
                box.model.utilization(self.loop.time())
                if self.scenario.terms.load_report == "answers"
                else None
            )
            return AttemptResult(AttemptOutcome.SERVED, box.name, utilization=busy)
        except asyncio.CancelledError:
            if not made.executed:
                made.executed = not box.model.withdraw(self.loop.time(), ticket)
            raise
        finally:
            made.ended_at = self.loop.time()

    def count_cold(self, box: VirtualBackend, now: float, units: float) -> None:
        power, model = self.scenario.backend_capacity, box.model
        if model.started_at is None or now - model.started_at >= power.ramp_duration:
            return
        bears = power.overload_factor * model.rate(now) * power.overload_window
        self.judge.on_warm_up_arrival(box.name, now, units, bears)
        came = [
            (at, one)
            for at, one, _ in self.judge.warm_up_arrivals[box.name][-512:]
            if at >= now - power.overload_window
        ]
        if self.tips and sum(one for _, one in came) > bears + self.judge.warm_up_slack:
            box.fell = True
            self.end_box(box)

    # Clients

    async def ask(self, drawn: GeneratedRequest) -> None:
        """A request, with the tries that its client makes."""
        served, load, first = None, self.scenario.load, self.loop.time()
        for number in range(1 + load.retries):
            status, wait = await self.once(drawn, drawn.trace_of(number))
            if status == 200:
                served = self.loop.time()
            if status not in (None, 503):
                break
            await asyncio.sleep(max(wait, load.retry_delay))
        self.wishes.append(RequestTemplate(first, drawn.volume, drawn.request_class, drawn.units, served))

    async def once(self, drawn: GeneratedRequest, trace: str) -> tuple[int | None, float]:
        """Its status, None where no front was there, and the wait that was told."""
        front, now = self.fronts[drawn.front], self.loop.time()
        core, kind = front.core, drawn.request_class
        asked = ClientRequestRecord(drawn.front, drawn.volume, kind, drawn.units, now, now + kind.deadline)
        self.judge.on_request(trace, asked)
        if core is None:
            asked.excused = True
            return None, 0.0
        plans, kinds = self.scenario.plans, self.scenario.request_classes
        arrival = RequestArrived(
            request_id=core.new_id(),
            class_index=kinds.index(kind),
            plan_index=drawn.volume % len(plans),
            volume_id=drawn.volume,
            item=int(drawn.block, 16),
            shard=drawn.volume % self.scenario.backends,
            units=drawn.units,
            deadline=core.now() + kind.deadline,
            front_count=self.scenario.load.fronts_per_volume,
        )
        task = asyncio.ensure_future(
            core.serve(arrival, lambda node, may: self.attempt(front, node, trace, asked))
        )
        front.open.add(task)
        task.add_done_callback(front.open.discard)
        try:
            ending = await task
        except asyncio.CancelledError:  # its front was killed
            return None, 0.0
        now = self.loop.time()
        match ending:
            case Served(value):
                self.judge.on_answer(trace, 200, f"{trace} {value}".encode(), now)
                return 200, 0.0
            case Rejected(wait):
                self.judge.on_answer(trace, 503, b"", now)
                self.refused.append((now, wait))
                return 503, wait
            case Failed():
                self.judge.on_answer(trace, 502, b"", now)
                return 502, 0.0

    # Troubles

    async def trouble(self, trouble: FaultEvent) -> None:
        await asyncio.sleep(trouble.at)
        if trouble.links:
            return await self.trouble_links(trouble)
        step = trouble.spread / max(1, len(trouble.targets))

        async def one(place: int, subject: int) -> None:
            await asyncio.sleep(place * step)
            await self.act(subject, trouble)

        await asyncio.gather(*(one(place, subject) for place, subject in enumerate(trouble.targets)))

    async def act(self, subject: int, trouble: FaultEvent) -> None:
        match trouble.kind:
            case "roll" | "kill" | "powercut":
                front = self.fronts[subject]
                self.kill(front)
                await asyncio.sleep(trouble.duration if trouble.kind == "powercut" else DOWN)
                await self.start(front)
            case "restart":
                box = self.boxes[subject]
                self.end_box(box)
                await asyncio.sleep(trouble.duration)
                self.boxes[subject] = self.begin_box(subject, box.name, self.loop.time())
                self.publish(self.boxes[subject])
            case "replace":
                box = self.boxes[subject]
                self.publish(box, EndpointState.DRAINING)
                fresh = self.boxes[subject] = self.begin_box(subject, f"{box.name}+", self.loop.time())
                self.boxes.append(box)  # it goes on with what it has
                self.publish(fresh)
                await asyncio.sleep(DRAIN)
                self.publish(box, EndpointState.REMOVED)
                await asyncio.sleep(max(kind.deadline for kind in self.scenario.request_classes))
                box.up = False
                self.boxes.remove(box)
            case "silence":
                box = self.boxes[subject]
                box.silent = True
                await asyncio.sleep(trouble.duration)
                box.silent = False
            case "reset" | "lose_answers" | "spoil" | "slow":
                model = self.boxes[subject].model
                model.faults[trouble.kind] = trouble.share
                await asyncio.sleep(trouble.duration)
                model.faults.pop(trouble.kind, None)
            case "drain":
                self.publish(self.boxes[subject], EndpointState.DRAINING)
                await asyncio.sleep(trouble.duration)
                self.publish(self.boxes[subject])
            case other:
                msg = f"trouble.kind: {other} is for real processes only"
                raise ConfigError(msg)

    async def trouble_links(self, trouble: FaultEvent) -> None:
        links = trouble.links
        assert links
        here, there = (
            frozenset(f"{one.host}:{one.port}" for one in map(address_of, numbers))
            for numbers in (trouble.targets, links.to)
        )
        faults = [
            Fault(
                one,
                other,
                links.cut,
                links.loss,
                links.duplicates,
                links.corruption,
                links.delay,
                links.jitter,
            )
            for one, other in ([(here, there)] if links.one_way else [(here, there), (there, here)])
        ]
        self.network.faults += faults
        await asyncio.sleep(trouble.duration)
        for fault in faults:
            self.network.faults.remove(fault)

    # The play

    async def play(self, warm: float = 5.0) -> Emulation:
        """``warm``: seconds before the load begins, in which the view of the fleet settles."""
        scenario = self.scenario
        self.boxes = [self.begin_box(cell, f"s-{cell:03d}", None) for cell in range(scenario.backends)]
        for front in self.fronts:
            await self.start(front)
        await asyncio.sleep(warm if scenario.view else 0.1)
        began = self.began = self.loop.time()
        tasks = [asyncio.ensure_future(self.trouble(one)) for one in scenario.faults]
        for drawn in requests(scenario):
            await asyncio.sleep(max(0.0, began + drawn.at - self.loop.time()))
            tasks.append(asyncio.ensure_future(self.ask(drawn)))
        await asyncio.gather(*tasks)
        for front in self.fronts:
            self.kill(front)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        return self

    def broken(self) -> list[str]:
        return self.judge.find_violations(self.scenario.backend_capacity.overload_window)


def emulate(scenario: Scenario, make: Make = core_of, tips: bool = True) -> Emulation:
    """Play it in virtual time; what came of it."""

    async def main() -> Emulation:
        return await Emulation(scenario, make, tips).play()

    return run(main())
