"""The list of nodes at one front: the real ``Directory``, ``Policy`` and ``Discovery`` at many nodes."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, replace
from unittest import mock

from cleatyoke.config.addresses import Address
from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory, EndpointList
from cleatyoke.discovery.discovery import Discovery
from cleatyoke.discovery.listings import decode_endpoint_list
from cleatyoke.discovery.watch import Watch
from cleatyoke.emulation.capacity.cost import Cost, count, processor_seconds, resident_bytes
from cleatyoke.scheduling.actions import SendAttempt
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    UpdateKind,
)
from cleatyoke.scheduling.load_probes import LoadProber
from cleatyoke.scheduling.scheduler import Scheduler
from cleatyoke.scheduling.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    SafetyLimits,
    SchedulerSettings,
    VolumePlan,
)

NOW = 1.8e9  # Unix time at which a measurement begins
CHANGES = 50  # that a mean is taken over
IDLE_SECONDS = 200  # of a front at rest


def settings(hosts: int) -> SchedulerSettings:
    """Plain ones with an attempt budget, as both deployments have one."""
    kind = RequestClass(0.5, 2.0, 0.2, Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 5.0, False)
    plan = VolumePlan(1.0, 8.0, 4.0, 1.0, 0.0, 0.0)
    safety = SafetyLimits(0.2, 10.0, 2.0, 1.0, None, 0.1, 10.0, 0.1, 10.0)
    return SchedulerSettings([kind], [plan], safety, 1, hosts, False, 3, True, 8.0, 6.0, 2.0, 0.3)


def list_text(count: int, version: int = 1, draining: int = 0) -> bytes:
    """A whole list as the platform's discovery sends it; the first ``draining`` nodes drain."""
    nodes = [
        {
            "instanceId": f"s-{node:06d}",
            "hostPort": f"10.{node // 62500}.{node // 250 % 250}.{node % 250 + 1}:8080",
            "zone": f"zone-{node % 20:02d}",
            "cell": node,
            "lifecycle": "DRAINING" if node < draining else "SERVING",
            "startedAtMs": 1_700_000_000_000 + node,
        }
        for node in range(count)
    ]
    return json.dumps({"generation": version, "reset": True, "instances": nodes}).encode()


class ListedFront:
    """A front's directory, policy and prober that know so many nodes."""

    def __init__(self, nodes: int, hosts: int = 3100) -> None:
        self.listing = decode_endpoint_list(list_text(nodes))
        self.directory, self.policy = Directory({}), Scheduler(settings(hosts))
        self.prober = LoadProber(hosts, 10.0, 1)
        self.now = NOW
        self.take(self.listing, UpdateKind.SNAPSHOT)
        self.rest(3)

    def take(self, listing: EndpointList, kind: UpdateKind = UpdateKind.DELTA) -> None:
        news = EndpointUpdate(kind, self.directory.apply(listing))
        self.policy.step(self.now, [news])
        self.prober.on_endpoints(news)

    def change(self, number: int, state: EndpointState) -> None:
        """One node has another state, a moment later."""
        self.now += 0.01
        box = self.listing.instances[number % len(self.listing.instances)]
        self.take(EndpointList(2, False, [replace(box, state=state)]))

    def replace_node(self, number: int) -> None:
        """One node went, and another one holds its cell: as a primary that moves."""
        self.now += 0.01
        box = self.listing.instances[number % len(self.listing.instances)]
        successor = replace(box, name=f"{box.name}-{self.now:.2f}", started_at=self.now)
        self.take(EndpointList(2, False, [replace(box, state=EndpointState.REMOVED), successor]))

    def rest(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += 1.0
            self.policy.step(self.now, [])
            self.prober.step(self.now)

    def serve(self, number: int, new: bool = False) -> None:
        """One request from its arrival to its end; a new object may go to any node."""
        self.now += 0.001
        cell = None if new else number % len(self.listing.instances)
        arrival = RequestArrived(f"r{number}", 0, 0, number % 50, None, cell, 2.0, self.now + 1.5, 10)
        for action in self.policy.step(self.now, [arrival]):
            if isinstance(action, SendAttempt):
                ended = AttemptFinished(
                    action.request_id, 0, action.node_id, AttemptOutcome.SERVED, 0.01, True
                )
                self.policy.step(self.now + 0.01, [ended])


@dataclass(slots=True, frozen=True)
class NodeCosts:
    """Seconds of processor time, or bytes, at one front that knows ``nodes``."""

    nodes: int
    list_bytes: int
    decode: float
    take_cpu: float  # of a whole list, first known
    again_cpu: float  # of the same list once more, as after a watch was lost
    longest_turn: float  # of the event loop meanwhile, in processor time
    longest_turn_again: float
    change: float
    primary: float  # two entries: one went, one holds its cell
    rest: float  # in a second
    request: float
    new_object: float  # a request that every node could take
    memory: int


@dataclass(slots=True, frozen=True)
class NodeOperations:
    """Counted, for the verdict that is the same in every run."""

    change: Cost
    primary: Cost
    rest: Cost
    request: Cost


def count_operations(nodes: int) -> NodeOperations:
    front = ListedFront(nodes)
    for number in range(8):  # so that no first time is counted
        front.change(number, EndpointState.DRAINING)
        front.serve(number)
    numbers = iter(range(100, 200))
    front.rest(2)
    return NodeOperations(
        count(lambda: front.change(next(numbers), EndpointState.DRAINING)),
        count(lambda: front.replace_node(next(numbers))),
        count(lambda: front.rest(1)),
        count(lambda: front.serve(next(numbers))),
    )


def measure(nodes: int, seed: int = 1) -> NodeCosts:
    """Processor times of one front; ``seed`` draws where its changes fall."""
    text = list_text(nodes)
    decode = processor_seconds(lambda: decode_endpoint_list(text))
    took, turn, again, turn_again = asyncio.run(take_whole(text))
    before = resident_bytes()
    front = ListedFront(nodes)
    memory = resident_bytes() - before
    places = iter(range(seed * 7919, 10**9, 37))
    drain = processor_seconds(lambda: front.change(next(places), EndpointState.DRAINING), CHANGES)
    primary = processor_seconds(lambda: front.replace_node(next(places)), CHANGES)
    front.rest(3)
    rest = processor_seconds(lambda: front.rest(1), IDLE_SECONDS)
    request = processor_seconds(lambda: front.serve(next(places)), 1000)
    new_object = processor_seconds(lambda: front.serve(next(places), new=True), 10)
    return NodeCosts(
        nodes=nodes,
        list_bytes=len(text),
        decode=decode,
        take_cpu=took,
        again_cpu=again,
        longest_turn=turn,
        longest_turn_again=turn_again,
        change=drain,
        primary=primary,
        rest=rest,
        request=request,
        new_object=new_object,
        memory=memory,
    )


async def take_whole(text: bytes) -> tuple[float, float, float, float]:
    """The real path from the list's text into the policy: processor time in all and of the longest turn of
    the loop, for the first time and for the same list once more.
    """
    core, directory = Core(settings(3100)), Directory({})
    with mock.patch.object(Watch, "run", asyncio.Event().wait):  # it calls nobody
        address = Address("127.0.0.1", 1)
        watch = Watch(Discovery(address, directory, core.notify, 3100), address, None)
        turns: list[float] = []
        beat = asyncio.create_task(measure_turns(turns))
        out: list[float] = []
        for _ in range(2):
            await asyncio.sleep(0)
            turns.clear()
            began = time.process_time()
            await watch.apply_text(text, UpdateKind.SNAPSHOT)
            for _ in range(3):  # until the policy has stepped
                await asyncio.sleep(0)
            out += [time.process_time() - began, max(turns)]
        beat.cancel()
        watch.task.cancel()
    return out[0], out[1], out[2], out[3]


async def measure_turns(turns: list[float]) -> None:
    last = time.process_time()
    while True:
        await asyncio.sleep(0)
        now = time.process_time()
        turns.append(now - last)
        last = now
