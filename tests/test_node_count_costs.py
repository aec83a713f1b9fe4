"""The costs of an endpoint update, an idle front and a request do not depend on the number of nodes."""

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
MAX_RATIO = 1.2  # of the costs with MANY nodes to those with FEW
MAX_NOISE = 2000  # bytes by which the peaks of two equal runs may differ


def costs_are_similar(few: cost.Cost, many: cost.Cost) -> bool:
    return many.operations <= MAX_RATIO * few.operations and many.peak <= MAX_RATIO * few.peak + MAX_NOISE


def test_update_idle_step_and_request_cost_the_same_with_eight_times_the_nodes() -> None:
    few, many = nodes.count_operations(FEW), nodes.count_operations(MANY)
    for name in ("change", "primary", "rest", "request"):
        assert costs_are_similar(getattr(few, name), getattr(many, name)), (name, few, many)


def change(front: nodes.ListedFront) -> object:
    return front.change(700, EndpointState.DRAINING)


def rest(front: nodes.ListedFront) -> object:
    return front.rest(1)


def with_scan(target: Any, name: str, scan: Callable[[Any], object]) -> Any:
    """Patch a method so that it does extra work that grows with the number of nodes."""
    original = getattr(target, name)

    def scanning(self: Any, *args: Any) -> Any:
        scan(self)
        return original(self, *args)

    return mock.patch.object(target, name, scanning)


@pytest.mark.parametrize(
    ("target", "name", "scan", "work"),
    [
        (
            Directory,
            "apply",
            lambda self: [item for item in self.instances.values() if item.name == ""],
            change,
        ),
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
def test_scan_of_all_nodes_is_detected(
    target: Any, name: str, scan: Callable[[Any], object], work: Callable[[nodes.ListedFront], object]
) -> None:
    fronts = [nodes.ListedFront(count) for count in (FEW, MANY)]
    with with_scan(target, name, scan):
        for front in fronts:
            work(front)  # warm-up: the first call is not counted
        few, many = (cost.count(lambda front=front: work(front)) for front in fronts)  # type: ignore[misc]
    assert not costs_are_similar(few, many)


def test_arrival_under_retry_budget_examines_only_nodes_with_queued_requests() -> None:
    scheduler = Scheduler(nodes.settings(1))
    entries = [Endpoint(node, node, 0, EndpointState.LIVE, 0.0) for node in range(50)]
    scheduler.step(100.0, [EndpointUpdate(UpdateKind.SNAPSHOT, entries)])
    examined: list[int] = []
    choose = scheduler.placement.choose
    scheduler.placement.choose = lambda node: (examined.append(node.id), choose(node))[1]  # type: ignore[method-assign]
    for number in range(40):  # more than node 7 has slots for, so that some are queued
        scheduler.step(100.0, [RequestArrived(f"a{number}", 0, 0, 1, None, 7, 1.0, 101.5, 1)])
    examined.clear()
    scheduler.step(100.01, [RequestArrived("b", 0, 0, 1, None, 3, 1.0, 101.5, 1)])
    assert set(examined) == {3, 7}


def test_load_prober_tracks_warm_nodes_without_scanning_all() -> None:
    prober = LoadProber(3, slow_start_duration=10.0, seed=1)
    entries = [Endpoint(node, node, 0, EndpointState.LIVE, 0.0) for node in range(6)]
    cold = replace(entries[5], started_at=100.0)
    prober.on_endpoints(EndpointUpdate(UpdateKind.SNAPSHOT, [*entries[:5], cold]))
    probed = [prober.step(100.0 + 0.7 * number) for number in range(30)]
    assert {node for node in probed[:15] if node is not None} == set(range(5))
    assert probed[16:] == [None] * 14, "no node is cold any more"
    prober.on_endpoints(EndpointUpdate(UpdateKind.SNAPSHOT, entries[:2]))
    assert set(prober.warm) == {0, 1}
    assert not prober.warm_at


def test_random_rounds_take_each_item_once_per_round() -> None:
    rounds = RandomRounds(random.Random(4))
    for item in range(20):
        rounds.add(item)
    first, second = ([rounds.take() for _ in range(20)] for _ in range(2))
    assert sorted(first) == sorted(second) == list(range(20))
    assert first != second
    taken = [rounds.take() for _ in range(8)]
    rounds.discard(taken[2])  # already taken in this round
    not_taken = next(item for item in range(20) if item not in taken)
    rounds.discard(not_taken)
    rounds.add(99)
    remaining = [rounds.take() for _ in range(12)]
    assert sorted(remaining) == sorted({*range(20), 99} - set(taken) - {not_taken})
    assert sorted(rounds) == sorted({*range(20), 99} - {taken[2], not_taken})
    for item in list(rounds):
        rounds.discard(item)
    with pytest.raises(IndexError):
        rounds.take()


def test_new_object_costs_the_same_with_eight_times_the_nodes_and_all_nodes_are_offered() -> None:
    costs = []
    for size in (FEW, MANY):
        front = nodes.ListedFront(size)
        front.serve(0, new=True)
        costs.append(cost.count_operations(lambda front=front: front.serve(1, new=True)))  # type: ignore[misc]
    assert costs[1] <= MAX_RATIO * costs[0], costs
    front = nodes.ListedFront(600)
    offered: set[int] = set()
    for _ in range(6):
        candidates = list(front.policy.table.holders_to_offer(None))
        assert len({node.id for node in candidates}) >= 200
        offered |= {node.id for node in candidates}
    assert len(offered) == 600
    few = nodes.ListedFront(200)
    assert len(list(few.policy.table.holders_to_offer(None))) == 200, "all nodes are offered if there are few"
