"""Fleets of subscribers, relays and a source in virtual time, with failures of all kinds."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any
from unittest import mock

from cleatyoke.distribution.records import Lane
from cleatyoke.distribution.relay import ChangeServer, Source
from cleatyoke.emulation.distribution import SOURCE, Links, Measured, Tree
from tests.distribution import (
    N,
    S,
)


def make_tree(fronts: int = 45, **words: Any) -> Tree:
    tree = Tree(fronts=fronts, relays=6, regions=3, seed=4, **words)
    for number in range(150):
        tree.put(S, f"db/{number:04d}", b"x" * 200)
    for number in range(20):
        tree.put(N, f"nodes/{number}", b"y" * 150)
    assert tree.settle(300) is not None
    tree.measured = Measured()
    return tree


def worst(tree: Tree, lane: Lane) -> float:
    return max(tree.measured.latencies[lane])


def test_a_burst_is_known_everywhere_within_13_s_and_nodes_go_before_settings() -> None:
    tree = make_tree()
    keys = [f"db/{number:04d}" for number in range(150)]
    tree.put_at([tree.now + 0.12 * number for number in range(500)], S, keys)
    tree.put_at([tree.now + 20.0], N, ["nodes/1"])
    before, began = tree.bytes(), tree.now
    tree.run(tree.now + 60)
    after = tree.bytes()
    assert tree.settle(30) is not None
    assert worst(tree, S) < 13
    assert worst(tree, N) < 10
    assert len(tree.measured.latencies[N]) == 45
    assert len(tree.measured.latencies[S]) == 45 * 500
    assert max(after[name] - before[name] for name in after) / (tree.now - began) < 3000


def test_all_relays_of_a_region_killed_amid_a_change() -> None:
    """Both relays of a region die just after a change: its fronts must get it elsewhere."""
    tree = make_tree()
    tree.put(S, "db/0001", b"amid")
    tree.run(tree.now + 1.0)
    for name in ("relay-00", "relay-03"):  # all of region 0
        tree.kill_relay(name)
    tree.put(S, "db/0002", b"after")
    assert tree.settle(40) is not None
    assert worst(tree, S) < 25
    tree.start_relay("relay-00")
    tree.run(tree.now + 120)
    home = [front for name, front in tree.subscribers.items() if tree.regions[name] == 0]
    assert sum(front.relays.current == "relay-00" for front in home) >= 5, "they come home"


def test_all_relays_down_for_an_hour_come_back_without_a_storm() -> None:
    """All relays return at once after an hour, and every front has been trying to poll them."""
    tree = make_tree()
    for name in tree.relay_names:
        tree.kill_relay(name)
    tree.start_front(0, 0)
    tree.put(S, "db/0001", b"meanwhile")
    tree.run(tree.now + 3600)
    kept = [front for name, front in tree.subscribers.items() if name != "front-0000"]
    assert all(len(front.lanes[S].versions) == 150 for front in kept), "they serve on by what they have"
    assert tree.subscribers["front-0000"].epoch == 0
    assert all(front.age(tree.now) > 3500 for front in kept)
    for name in tree.relay_names:
        tree.start_relay(name)
    counts = Counter[int]()
    real = ChangeServer.answer

    def counted(self: ChangeServer, now: float, data: bytes) -> bytes | None:
        if self.name != SOURCE:
            counts[int(now)] += 1
        return real(self, now, data)

    with mock.patch.object(ChangeServer, "answer", counted):
        assert tree.settle(120) is not None
    assert max(counts.values()) < 45 * 2, "spread over seconds"


def test_a_region_cut_off_for_an_hour_gets_only_what_it_lacks() -> None:
    tree = make_tree(fronts=12)
    tree.cut = {2}
    keys = [f"db/{number:04d}" for number in range(150)]
    tree.put_at([tree.now + 2.0 * number for number in range(1800)], S, keys)
    tree.run(tree.now + 3601)
    behind = [front for name, front in tree.subscribers.items() if tree.regions[name] == 2]
    assert behind[0].age(tree.now) > 3590
    before = {name: front.bytes_exchanged for name, front in tree.subscribers.items()}
    tree.cut = set()
    assert tree.settle(120) is not None
    grew = [
        front.bytes_exchanged - before[name] for name, front in tree.subscribers.items() if front in behind
    ]
    assert max(grew) < 150 * 260 * 1.6 + 40 * 700, "each key once"


def test_a_new_epoch_of_the_source_reaches_all_and_the_old_one_never_comes_back() -> None:
    """The source is replaced by one of a new epoch, and then by the old one."""
    tree = make_tree(most_subscribers=200)
    old = tree.source
    new = tree.source = Source("emulated", SOURCE, 2)
    for number in range(100):
        new.put(tree.now, S, f"db/{number:04d}", b"z" * 100)
    assert tree.settle(200) is not None
    tree.source = old
    tree.run(tree.now + 30)
    assert all(front.epoch == 2 for front in tree.subscribers.values())
    assert all(len(front.lanes[S].versions) == 100 for front in tree.subscribers.values())


def test_runs_in_virtual_time_are_repeatable() -> None:
    def run_tree() -> tuple[dict[str, int], float]:
        tree = make_tree(links=Links(loss=0.05))
        tree.put(S, "db/0003", b"again")
        tree.run(tree.now + 20)
        return tree.bytes(), worst(tree, S)

    assert run_tree() == run_tree()
    assert math.isfinite(run_tree()[1])
