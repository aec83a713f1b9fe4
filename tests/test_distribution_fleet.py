"""Tests of trees of a source, relays and subscribers in virtual time, with failures of all kinds."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any
from unittest import mock

from cleatyoke.distribution.records import Lane
from cleatyoke.distribution.relay import ChangeServer, Source
from cleatyoke.emulation.distribution import SOURCE, LatencySamples, Links, Tree
from tests.distribution import (
    NODES,
    SETTINGS,
)


def make_tree(fronts: int = 45, **options: Any) -> Tree:
    tree = Tree(fronts=fronts, relays=6, regions=3, seed=4, **options)
    for number in range(150):
        tree.put(SETTINGS, f"db/{number:04d}", b"x" * 200)
    for number in range(20):
        tree.put(NODES, f"nodes/{number}", b"y" * 150)
    assert tree.settle(300) is not None
    tree.measured = LatencySamples()
    return tree


def max_latency(tree: Tree, lane: Lane) -> float:
    return max(tree.measured.latencies[lane])


def test_tree_delivers_a_burst_within_13_s_and_nodes_before_settings() -> None:
    tree = make_tree()
    keys = [f"db/{number:04d}" for number in range(150)]
    tree.put_at([tree.now + 0.12 * number for number in range(500)], SETTINGS, keys)
    tree.put_at([tree.now + 20.0], NODES, ["nodes/1"])
    before, started_at = tree.bytes(), tree.now
    tree.run(tree.now + 60)
    after = tree.bytes()
    assert tree.settle(30) is not None
    assert max_latency(tree, SETTINGS) < 13
    assert max_latency(tree, NODES) < 10
    assert len(tree.measured.latencies[NODES]) == 45
    assert len(tree.measured.latencies[SETTINGS]) == 45 * 500
    assert max(after[name] - before[name] for name in after) / (tree.now - started_at) < 3000


def test_fronts_fail_over_to_other_regions_while_their_relays_are_down() -> None:
    """Both relays of a region stop just after a change: its fronts must get it from another region.

    Once a relay of the region is back, they must return to it.
    """
    tree = make_tree()
    tree.put(SETTINGS, "db/0001", b"during")
    tree.run(tree.now + 1.0)
    for name in ("relay-00", "relay-03"):  # all of region 0
        tree.kill_relay(name)
    tree.put(SETTINGS, "db/0002", b"after")
    assert tree.settle(40) is not None
    assert max_latency(tree, SETTINGS) < 25
    tree.start_relay("relay-00")
    tree.run(tree.now + 120)
    own_region = [front for name, front in tree.subscribers.items() if tree.regions[name] == 0]
    assert sum(front.relays.current == "relay-00" for front in own_region) >= 5, (
        "fronts return to their own region"
    )


def test_relays_that_all_restart_after_an_hour_are_polled_at_a_bounded_rate() -> None:
    """All relays restart at once after an hour in which every front has tried to poll them."""
    tree = make_tree()
    for name in tree.relay_names:
        tree.kill_relay(name)
    tree.start_front(0, 0)
    tree.put(SETTINGS, "db/0001", b"meanwhile")
    tree.run(tree.now + 3600)
    running = [front for name, front in tree.subscribers.items() if name != "front-0000"]
    assert all(len(front.lanes[SETTINGS].versions) == 150 for front in running), "fronts keep their copies"
    assert tree.subscribers["front-0000"].epoch == 0
    assert all(front.age(tree.now) > 3500 for front in running)
    for name in tree.relay_names:
        tree.start_relay(name)
    counts = Counter[int]()
    original_answer = ChangeServer.answer

    def count_answer(self: ChangeServer, now: float, data: bytes) -> bytes | None:
        if self.name != SOURCE:
            counts[int(now)] += 1
        return original_answer(self, now, data)

    with mock.patch.object(ChangeServer, "answer", count_answer):
        assert tree.settle(120) is not None
    assert max(counts.values()) < 45 * 2, "polls are spread over seconds"


def test_region_reconnected_after_an_hour_gets_only_missing_changes() -> None:
    tree = make_tree(fronts=12)
    tree.cut = {2}
    keys = [f"db/{number:04d}" for number in range(150)]
    tree.put_at([tree.now + 2.0 * number for number in range(1800)], SETTINGS, keys)
    tree.run(tree.now + 3601)
    disconnected = [front for name, front in tree.subscribers.items() if tree.regions[name] == 2]
    assert disconnected[0].age(tree.now) > 3590
    before = {name: front.bytes_exchanged for name, front in tree.subscribers.items()}
    tree.cut = set()
    assert tree.settle(120) is not None
    used = [
        front.bytes_exchanged - before[name]
        for name, front in tree.subscribers.items()
        if front in disconnected
    ]
    assert max(used) < 150 * 260 * 1.6 + 40 * 700, "each key is sent once"


def test_fronts_with_a_new_epoch_reject_the_old_source() -> None:
    """The source is replaced by one with a new epoch, and then the old one returns."""
    tree = make_tree(most_subscribers=200)
    old = tree.source
    new = tree.source = Source("emulated", SOURCE, 2)
    for number in range(100):
        new.put(tree.now, SETTINGS, f"db/{number:04d}", b"z" * 100)
    assert tree.settle(200) is not None
    tree.source = old
    tree.run(tree.now + 30)
    assert all(front.epoch == 2 for front in tree.subscribers.values())
    assert all(len(front.lanes[SETTINGS].versions) == 100 for front in tree.subscribers.values())


def test_tree_runs_with_the_same_seed_are_identical() -> None:
    def run_tree() -> tuple[dict[str, int], float]:
        tree = make_tree(links=Links(loss=0.05))
        tree.put(SETTINGS, "db/0003", b"again")
        tree.run(tree.now + 20)
        return tree.bytes(), max_latency(tree, SETTINGS)

    assert run_tree() == run_tree()
    assert math.isfinite(run_tree()[1])
