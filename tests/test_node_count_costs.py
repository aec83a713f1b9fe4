"""One change to the list of nodes, a front at rest and a request cost alike however many nodes there are."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

import pytest

from cleatyoke.discovery.directory import Directory
from cleatyoke.emulation.capacity import cost, nodes
from cleatyoke.scheduling.events import (
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    UpdateKind,
)
from cleatyoke.scheduling.load_probes import LoadProber
from cleatyoke.scheduling.node_table import NodeTable
from cleatyoke.scheduling.random_rounds import RandomRounds
from cleatyoke.scheduling.scheduler import Scheduler

FEW, MANY = 1000, 8000
MAX_RATIO = 1.2  # of the costs, at eight times the nodes
MAX_NOISE = 2000  # bytes that one run may hold more than another


def costs_alike(few: cost.Cost, many: cost.Cost) -> bool:
    return many.operations <= MAX_RATIO * few.operations and many.peak <= MAX_RATIO * few.peak + MAX_NOISE


def test_a_change_a_rest_and_a_request_cost_alike_at_eight_times_the_nodes() -> None:
    few, many = nodes.count_operations(FEW), nodes.count_operations(MANY)
    for name in ("change", "primary", "rest", "request"):
        assert costs_alike(getattr(few, name), getattr(many, name)), (name, few, many)


def change(front: nodes.ListedFront) -> object:
    return front.change(700, EndpointState.DRAINING)


def rest(front: nodes.ListedFront) -> object:
    return front.rest(1)


def with_scan(target: Any, name: str, wasted: Callable[[Any], object]) -> Any:
    """The method, with work besides that grows with the nodes."""
    real = getattr(target, name)

    def wrong(self: Any, *words: Any) -> Any:
        wasted(self)
        return real(self, *words)

    return mock.patch.object(target, name, wrong)


@pytest.mark.parametrize(
    ("target", "name", "wasted", "work"),
    [
        (Directory, "apply", lambda self: [one for one in self.instances.values() if one.name == ""], change),
        (Directory, "apply", lambda self: dict(self.instances), change),
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
        (LoadProber, "step", lambda self: [node for node in self.warm if node < 0], rest),
    ],
)
def test_a_scan_of_all_nodes_is_caught(
    target: Any, name: str, wasted: Callable[[Any], object], work: Callable[[nodes.ListedFront], object]
) -> None:
    fronts = [nodes.ListedFront(count) for count in (FEW, MANY)]
    with with_scan(target, name, wasted):
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
    assert costs[1] <= MAX_RATIO * costs[0], costs
    front = nodes.ListedFront(600)
    tried: set[int] = set()
    for _ in range(6):
        chosen = list(front.policy.table.holders_to_offer(None))
        assert len({node.id for node in chosen}) >= 200
        tried |= {node.id for node in chosen}
    assert len(tried) == 600
    few = nodes.ListedFront(200)
    assert len(list(few.policy.table.holders_to_offer(None))) == 200, "all, where there are not so many"
