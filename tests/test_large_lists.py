"""One change to the list of nodes, and a front at rest, cost alike however many nodes there are; a whole list
of very many is taken in parts, and one that is too long is refused without a loss."""

from __future__ import annotations

import asyncio
import gc
import json
import random
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

import pytest
import structlog

from cleatyoke.config.addresses import Address
from cleatyoke.core import Core
from cleatyoke.discovery import listings
from cleatyoke.discovery.directory import Directory, EndpointList, Instance
from cleatyoke.discovery.listings import AT_ONCE, decode_listing
from cleatyoke.discovery.watch import Discovery, Watch
from cleatyoke.emulation.capacity import cost, nodes
from cleatyoke.http.messages import MessageError
from cleatyoke.scheduling.events import (
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    SchedulerEvent,
    UpdateKind,
)
from cleatyoke.scheduling.load_probes import LoadProber
from cleatyoke.scheduling.node_table import NodeTable
from cleatyoke.scheduling.random_rounds import RandomRounds
from cleatyoke.scheduling.scheduler import Scheduler
from tests.scripted_peers import ScriptedDiscovery

FEW, MANY = 1000, 8000
ALIKE = 1.2  # times as much, at eight times the nodes
NOISE = 2000  # bytes that one run may hold more than another


def costs_alike(few: cost.Cost, many: cost.Cost) -> bool:
    return many.operations <= ALIKE * few.operations and many.peak <= ALIKE * few.peak + NOISE


def test_a_change_a_rest_and_a_request_cost_alike_at_eight_times_the_nodes() -> None:
    few, many = nodes.count_operations(FEW), nodes.count_operations(MANY)
    for name in ("change", "primary", "rest", "request"):
        assert costs_alike(getattr(few, name), getattr(many, name)), (name, few, many)


def change(front: nodes.ListedFront) -> object:
    return front.change(700, EndpointState.DRAINING)


def rest(front: nodes.ListedFront) -> object:
    return front.rest(1)


def scan(target: Any, name: str, wasted: Callable[[Any], object]) -> Any:
    """The method, with work besides that grows with the nodes."""
    real = getattr(target, name)

    def wrong(self: Any, *words: Any) -> Any:
        wasted(self)
        return real(self, *words)

    return mock.patch.object(target, name, wrong)


@pytest.mark.parametrize(
    ("target", "name", "wasted", "work"),
    [
        (Directory, "apply", lambda self: [box for box in self.boxes.values() if box.name == ""], change),
        (Directory, "apply", lambda self: dict(self.boxes), change),
        (
            NodeTable,
            "choose_holders",
            lambda self: [node for node in self.nodes.values() if node.is_live],
            change,
        ),
        (
            Scheduler,
            "forget_idle",
            lambda self: [node for node in self.nodes.values() if not node.is_live],
            rest,
        ),
        (LoadProber, "step", lambda self, now=0: [node for node in self.warm if node < 0], rest),
    ],
)
def test_a_scan_of_all_nodes_is_caught(
    target: Any, name: str, wasted: Callable[[Any], object], work: Callable[[nodes.ListedFront], object]
) -> None:
    fronts = [nodes.ListedFront(count) for count in (FEW, MANY)]
    with scan(target, name, wasted):
        for front in fronts:
            work(front)  # once, so that no first time is counted
        few, many = (cost.count(lambda front=front: work(front)) for front in fronts)  # type: ignore[misc]
    assert not costs_alike(few, many)


def test_an_arrival_under_a_budget_looks_only_at_nodes_with_something_held() -> None:
    policy = Scheduler(nodes.settings(1))
    entries = [Endpoint(node, node, 0, EndpointState.LIVE, 0.0) for node in range(50)]
    policy.step(100.0, [EndpointUpdate(UpdateKind.SNAPSHOT, entries)])
    looked: list[int] = []
    real = policy.placement.choose
    policy.placement.choose = lambda node: (looked.append(node.id), real(node))[1]  # type: ignore[method-assign]
    for number in range(40):  # more than node 7 takes at once, so that some are held there
        policy.step(100.0, [RequestArrived(f"a{number}", 0, 0, 1, None, 7, 1.0, 101.5, 1)])
    looked.clear()
    policy.step(100.01, [RequestArrived("b", 0, 0, 1, None, 3, 1.0, 101.5, 1)])
    assert set(looked) == {3, 7}


def shown(directory: Directory) -> dict[str, tuple[EndpointState, float]]:
    return {box.name: (box.state, box.started) for box in directory.boxes.values()}


class TestLongLists(unittest.IsolatedAsyncioTestCase):
    """``self.news``: what the policy was told, step by step."""

    def setUp(self) -> None:
        self.news: list[EndpointUpdate] = []

    def begin(self, **words: Any) -> Watch:
        self.core = Core(nodes.settings(10))

        def tell(event: SchedulerEvent) -> None:
            assert isinstance(event, EndpointUpdate)
            self.news.append(event)
            self.core.notify(event)

        self.directory = Directory({})
        with mock.patch.object(Watch, "run", asyncio.Event().wait):  # it calls nobody
            self.discovery = Discovery(Address("127.0.0.1", 1), self.directory, tell, 10, **words)
            return self.watch()

    def watch(self) -> Watch:
        watch = Watch(self.discovery, Address("127.0.0.1", 1), None)
        watch.task.cancel()
        self.discovery.watches.append(watch)
        return watch

    async def test_a_long_list_is_taken_in_parts_with_the_same_outcome(self) -> None:
        watch, text = self.begin(), nodes.list_text(4000, version=9, draining=40)
        await watch.take_text(text, UpdateKind.SNAPSHOT)
        await asyncio.sleep(0.01)
        expected = Directory({})
        expected.apply(decode_listing(text))
        assert shown(self.directory) == shown(expected)
        assert (self.directory.version, watch.version) == (9, 9)
        assert self.directory.down() == 40
        assert len(self.core.scheduler.table.holders) == 3960
        assert len(self.news[0].endpoints) == 40, "who drains comes first"
        assert max(len(news.endpoints) for news in self.news) <= AT_ONCE
        assert len(self.news) >= 3960 / AT_ONCE

    async def test_the_loop_goes_on_between_parts(self) -> None:
        watch, turns = self.begin(), 0

        async def count() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        beat = asyncio.create_task(count())
        await watch.take_text(nodes.list_text(4000))
        beat.cancel()
        assert turns >= 2 * 4000 / AT_ONCE, "decoded in parts and applied in parts"

    async def test_the_same_list_again_tells_the_policy_nothing_new(self) -> None:
        watch = self.begin()
        await watch.take_text(nodes.list_text(4000))
        self.news.clear()
        await watch.take_text(nodes.list_text(4000, version=2))
        assert sum(len(news.endpoints) for news in self.news) == 0
        assert self.directory.version == 2

    async def test_nodes_that_a_long_list_no_longer_has_are_gone_first(self) -> None:
        watch = self.begin()
        await watch.take_text(nodes.list_text(4000))
        self.news.clear()
        await watch.take_text(nodes.list_text(3900, version=2))
        await asyncio.sleep(0.01)
        assert {entry.state for entry in self.news[0].endpoints} == {EndpointState.REMOVED}
        assert len(self.news[0].endpoints) == 100
        assert len(self.core.scheduler.table.holders) == 3900

    async def test_one_spoilt_entry_refuses_a_long_list_as_a_whole(self) -> None:
        watch = self.begin()
        self.addCleanup(gc.enable if gc.isenabled() else gc.disable)
        gc.enable()  # importing the daemon leaves it off
        await watch.take_text(nodes.list_text(2000))
        before, self.news[:] = shown(self.directory), []
        value = json.loads(nodes.list_text(3000, version=2, draining=2000))
        for spoilt in ({"lifecycle": "ASLEEP"}, {"hostPort": 5}, {"cell": "x"}):
            value["instances"][2500].update(spoilt)
            with self.subTest(spoilt=spoilt), pytest.raises(MessageError):
                await watch.take_text(json.dumps(value).encode())
        whole = nodes.list_text(3000)
        number = b'{"generation":1,"instances":7' + b" " * 200_000 + b"}"
        for text in (b"[" * 200_000, number, whole[:-2], whole.replace(b'n": 1,', b'n": "1",', 1)):
            with self.subTest(text=text[:40]), pytest.raises(MessageError):
                await watch.take_text(text)
        assert (shown(self.directory), self.news, self.directory.version) == (before, [], 1)
        assert gc.isenabled()

    async def test_a_list_of_an_agent_that_was_moved_from_ends_where_a_newer_one_came(self) -> None:
        old = self.begin()
        await old.take_text(nodes.list_text(2000))
        new = self.watch()
        late = asyncio.create_task(old.take_text(nodes.list_text(1500, version=2)))
        with mock.patch.object(self.discovery, "dismiss"):
            self.discovery.settled(new)
            only_new = Instance("s-new", Address("10.9.9.9", 1), "z", 9999, EndpointState.LIVE, 5.0)
            new.take(EndpointList(50, False, [only_new]))
            await late
        assert self.directory.latest("s-new")

    async def test_a_long_line_is_no_silence(self) -> None:
        """The time that taking a list takes is none in which nothing came."""
        agent = ScriptedDiscovery(json.loads(nodes.list_text(2)), [[nodes.list_text(3000, version=3)]])
        async with asyncio.timeout(10):
            await agent.start()
            directory, heard = Directory({}), asyncio.Event()
            with (
                mock.patch.object(listings, "AT_ONCE", 100),
                mock.patch("cleatyoke.discovery.watch.AT_ONCE", 100),
                mock.patch("cleatyoke.discovery.watch.SILENCE", 0.05),
                structlog.testing.capture_logs() as logs,
            ):
                real = listings.read_instance

                def slow(entry: Any) -> Instance:
                    if entry["cell"] % 500 == 0:
                        import time

                        time.sleep(0.02)
                    return real(entry)

                with mock.patch.object(listings, "read_instance", slow):
                    address = Address("127.0.0.1", agent.port)
                    discovery = Discovery(address, directory, lambda event: None, pushed=True)
                    discovery.start()
                    while directory.version != 3:
                        assert not [one for one in logs if one["event"] == "discovery_lost"]
                        await asyncio.sleep(0.005)
                discovery.stop()
            heard.set()
            agent.stop()

    async def refused(self, agent: ScriptedDiscovery, until: Callable[[], bool]) -> list[Any]:
        """The log's events of a front that knows node s-known, until something holds."""
        await agent.start()
        self.directory = Directory({})
        known = Instance("s-known", Address("10.0.0.1", 1), "z", 1, EndpointState.LIVE, 5.0)
        self.directory.apply(EndpointList(4, True, [known]))
        with (
            mock.patch.object(listings, "MOST_LIST", 2000),
            mock.patch("cleatyoke.discovery.watch.PERIOD", 0.02),
            structlog.testing.capture_logs() as logs,
        ):
            address = Address("127.0.0.1", agent.port)
            discovery = Discovery(address, self.directory, lambda event: None, pushed=True)
            discovery.start()
            async with asyncio.timeout(10):
                while not until():
                    await asyncio.sleep(0.005)
            discovery.stop()
        agent.stop()
        return [one for one in logs if one["event"] == "discovery_list_refused"]

    async def test_a_list_over_the_bound_is_refused_once_and_loses_nothing(self) -> None:
        long = nodes.list_text(100, version=5)
        small = json.dumps({"generation": 6, "instances": []}).encode()
        agent = ScriptedDiscovery({}, [[long], [long], [long], [small]])
        (event,) = await self.refused(agent, lambda: self.directory.version == 6)
        assert (event["log_level"], "2000 bytes" in event["why"]) == ("error", True)
        assert self.directory.latest("s-known")
        assert len(agent.asked) == 4

    async def test_a_whole_list_over_the_bound_that_was_asked_for_is_refused_too(self) -> None:
        agent = ScriptedDiscovery(json.loads(nodes.list_text(100, version=5)), [[b"spoilt"]])
        events = await self.refused(agent, lambda: len(agent.asked) >= 4)
        assert len(events) == 1
        assert self.directory.latest("s-known")


def test_probes_know_warm_nodes_without_looking_at_all() -> None:
    prober = LoadProber(3, slow_start_duration=10.0, seed=1)
    entries = [Endpoint(node, node, 0, EndpointState.LIVE, 0.0) for node in range(6)]
    cold = replace(entries[5], started_at=100.0)
    prober.on_endpoints(EndpointUpdate(UpdateKind.SNAPSHOT, [*entries[:5], cold]))
    asked = [prober.step(100.0 + 0.7 * number) for number in range(30)]
    assert {node for node in asked[:15] if node is not None} == set(range(5))
    assert asked[16:] == [None] * 14, "none is cold any more"
    prober.on_endpoints(EndpointUpdate(UpdateKind.SNAPSHOT, entries[:2]))
    assert set(prober.warm) == {0, 1}
    assert not prober.warm_at


def test_random_rounds_take_each_item_once_a_round() -> None:
    rounds = RandomRounds(random.Random(4))
    for item in range(20):
        rounds.add(item)
    first, second = ([rounds.take() for _ in range(20)] for _ in range(2))
    assert sorted(first) == sorted(second) == list(range(20))
    assert first != second
    taken = [rounds.take() for _ in range(8)]
    rounds.discard(taken[2])  # it was taken in this round
    left = next(item for item in range(20) if item not in taken)
    rounds.discard(left)
    rounds.add(99)
    rest = [rounds.take() for _ in range(12)]
    assert sorted(rest) == sorted({*range(20), 99} - set(taken) - {left})
    assert sorted(rounds) == sorted({*range(20), 99} - {taken[2], left})
    for item in list(rounds):
        rounds.discard(item)
    with pytest.raises(IndexError):
        rounds.take()


def test_a_new_object_costs_alike_at_eight_times_the_nodes_and_every_node_gets_its_turn() -> None:
    costs = []
    for size in (FEW, MANY):
        front = nodes.ListedFront(size)
        front.serve(0, new=True)
        costs.append(cost.count_operations(lambda front=front: front.serve(1, new=True)))  # type: ignore[misc]
    assert costs[1] <= ALIKE * costs[0], costs
    front = nodes.ListedFront(600)
    tried: set[int] = set()
    for _ in range(6):
        chosen = list(front.policy.table.holders_to_offer(None))
        assert len({node.id for node in chosen}) >= 200
        tried |= {node.id for node in chosen}
    assert len(tried) == 600
    few = nodes.ListedFront(200)
    assert len(list(few.policy.table.holders_to_offer(None))) == 200, "all, where there are not so many"
