"""Nodes that operators hold out of service, and what the directory makes of it."""

from __future__ import annotations

from cleatyoke.discovery.directory import Directory
from cleatyoke.discovery.operator_holds import OperatorHolds
from cleatyoke.scheduling.events import EndpointState
from tests.scripted_peers import instance, listed


def test_a_hold_is_not_counted_and_an_unknown_id_is_rejected() -> None:
    holds = OperatorHolds()
    assert not holds.disable("s-x", known=False)
    assert holds.disable("s-a", known=True)
    assert holds.disable("s-a", known=True)
    assert holds.is_held("s-a")
    assert holds.enable("s-a", known=True, now=50.0)
    assert not holds.is_held("s-a")  # one release for two holds
    assert not holds.enable("s-x", known=False, now=51.0)
    assert holds.effective_start("s-a", 0.0) == 50.0  # it warms up again


def test_holds_written_by_another_process_are_merged_and_garbage_changes_nothing() -> None:
    one, two = OperatorHolds(), OperatorHolds()
    one.disable("s-a", True)
    one.disable("s-b", True)
    assert two.merge(one.encode(), 10.0) == (["s-a", "s-b"], [])
    one.enable("s-a", True, 11.0)
    assert two.merge(one.encode(), 12.0) == ([], ["s-a"])
    assert two.effective_start("s-a", 0.0) == 12.0
    assert two.merge("{", 13.0) == ([], [])
    assert two.is_held("s-b")


def test_a_held_node_drains_for_the_scheduler_and_a_released_one_is_new() -> None:
    directory = Directory({})
    entry = listed(directory, instance("s-a", 1), whole=True).endpoints[0]
    assert entry.state == EndpointState.LIVE
    directory.holds.disable("s-a", True)
    assert not directory.is_serving(entry.node_id)
    assert directory.count_unavailable() == 1
    held = listed(directory, instance("s-a", 1), whole=True).endpoints[0]  # whatever discovery says
    assert held.state == EndpointState.DRAINING
    directory.holds.enable("s-a", True, 70.0)
    back = directory.refresh(["s-a"])[0]
    assert (back.state, back.started_at) == (EndpointState.LIVE, 70.0)
    assert directory.is_serving(entry.node_id)
