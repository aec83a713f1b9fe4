"""Costs of the list of nodes at one front: the real ``Directory``, ``Scheduler`` and ``Discovery`` with many
nodes.
"""

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
CHANGES = 50  # changes over which a mean is taken
IDLE_SECONDS = 200  # seconds of virtual time for an idle front


def settings(hosts: int) -> SchedulerSettings:
    """Return simple settings with an attempt budget, as both deployments have one."""
    kind = RequestClass(0.5, 2.0, 0.2, Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 5.0, False)
    plan = VolumePlan(1.0, 8.0, 4.0, 1.0, 0.0, 0.0)
    safety = SafetyLimits(0.2, 10.0, 2.0, 1.0, None, 0.1, 10.0, 0.1, 10.0)
    return SchedulerSettings([kind], [plan], safety, 1, hosts, False, 3, True, 8.0, 6.0, 2.0, 0.3)


def list_text(count: int, version: int = 1, draining: int = 0) -> bytes:
    """Return a complete list as the platform's discovery sends it; the first ``draining`` nodes drain."""
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
    """The directory, scheduler and load prober of a front that knows ``nodes`` nodes."""

    def __init__(self, nodes: int, hosts: int = 3100) -> None:
        self.listing = decode_endpoint_list(list_text(nodes))
        self.directory, self.policy = Directory({}), Scheduler(settings(hosts))
        self.prober = LoadProber(hosts, 10.0, 1)
        self.now = NOW
        self.apply_list(self.listing, UpdateKind.SNAPSHOT)
        self.rest(3)

    def apply_list(self, listing: EndpointList, kind: UpdateKind = UpdateKind.DELTA) -> None:
        update = EndpointUpdate(kind, self.directory.apply(listing))
        self.policy.step(self.now, [update])
        self.prober.on_endpoints(update)

    def change(self, number: int, state: EndpointState) -> None:
        """Apply a change of the state of one node, 0.01 s later."""
        self.now += 0.01
        endpoint = self.listing.instances[number % len(self.listing.instances)]
        self.apply_list(EndpointList(2, False, [replace(endpoint, state=state)]))

    def replace_node(self, number: int) -> None:
        """Remove a node and add another one of the same cell, as when a primary moves."""
        self.now += 0.01
        endpoint = self.listing.instances[number % len(self.listing.instances)]
        successor = replace(endpoint, name=f"{endpoint.name}-{self.now:.2f}", started_at=self.now)
        self.apply_list(EndpointList(2, False, [replace(endpoint, state=EndpointState.REMOVED), successor]))

    def rest(self, seconds: int) -> None:
        """Let time pass without requests and changes."""
        for _ in range(seconds):
            self.now += 1.0
            self.policy.step(self.now, [])
            self.prober.step(self.now)

    def serve(self, number: int, new: bool = False) -> None:
        """Run one request from its arrival to its end; one for a new object may go to any node."""
        self.now += 0.001
        cell = None if new else number % len(self.listing.instances)
        arrival = RequestArrived(f"r{number}", 0, 0, number % 50, None, cell, 2.0, self.now + 1.5, 10)
        for action in self.policy.step(self.now, [arrival]):
            if isinstance(action, SendAttempt):
                finished = AttemptFinished(
                    action.request_id, 0, action.node_id, AttemptOutcome.SERVED, 0.01, True
                )
                self.policy.step(self.now + 0.01, [finished])


@dataclass(slots=True, frozen=True)
class NodeCosts:
    """Seconds of processor time, or bytes, at one front that knows ``nodes``."""

    nodes: int
    list_bytes: int
    decode: float
    take_cpu: float  # to apply the first complete list
    again_cpu: float  # to apply the same list again, as after a lost watch
    longest_turn: float  # of the event loop while the first list is applied, in processor time
    longest_turn_again: float
    change: float
    primary: float  # two entries: a node removed, another one added for its cell
    rest: float  # per second
    request: float
    new_object: float  # a request that may go to any node
    memory: int


@dataclass(slots=True, frozen=True)
class NodeOperations:
    """Operation counts, which are the same in every run."""

    change: Cost
    primary: Cost
    rest: Cost
    request: Cost


def count_operations(nodes: int) -> NodeOperations:
    front = ListedFront(nodes)
    for number in range(8):  # warm up: the first calls cost more
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
    """Measure the processor times of one front; ``seed`` selects the nodes that change."""
    text = list_text(nodes)
    decode = processor_seconds(lambda: decode_endpoint_list(text))
    took, longest_turn_first, again, turn_again = asyncio.run(apply_complete_list(text))
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
        longest_turn=longest_turn_first,
        longest_turn_again=turn_again,
        change=drain,
        primary=primary,
        rest=rest,
        request=request,
        new_object=new_object,
        memory=memory,
    )


async def apply_complete_list(text: bytes) -> tuple[float, float, float, float]:
    """Apply a complete list twice, by the real path from its text to the scheduler.

    Return, for each time, the total processor time and that of the longest turn of the event loop.
    """
    core, directory = Core(settings(3100)), Directory({})
    with mock.patch.object(Watch, "run", asyncio.Event().wait):  # no connection to discovery
        address = Address("127.0.0.1", 1)
        watch = Watch(Discovery(address, directory, core.notify, 3100), address, None)
        turns: list[float] = []
        turn_task = asyncio.create_task(measure_turns(turns))
        out: list[float] = []
        for _ in range(2):
            await asyncio.sleep(0)
            turns.clear()
            began = time.process_time()
            await watch.apply_text(text, UpdateKind.SNAPSHOT)
            for _ in range(3):  # until the scheduler has run its step
                await asyncio.sleep(0)
            out += [time.process_time() - began, max(turns)]
        turn_task.cancel()
        watch.task.cancel()
    return out[0], out[1], out[2], out[3]


async def measure_turns(turns: list[float]) -> None:
    """Append the processor time of each turn of the event loop."""
    last = time.process_time()
    while True:
        await asyncio.sleep(0)
        now = time.process_time()
        turns.append(now - last)
        last = now
