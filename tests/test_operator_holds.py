"""Tests for the holds of nodes by operators, and their effect on the directory."""

from __future__ import annotations

from cleatyoke.discovery.directory import Directory
from cleatyoke.discovery.operator_holds import OperatorHolds
from cleatyoke.scheduling.events import EndpointState
from tests.scripted_peers import instance, listed


def test_hold_that_is_repeated_needs_one_release_and_an_unknown_id_is_rejected() -> None:
    holds = OperatorHolds()
    assert not holds.disable("s-x", known=False)
    assert holds.disable("s-a", known=True)
    assert holds.disable("s-a", known=True)
    assert holds.is_held("s-a")
    assert holds.enable("s-a", known=True, now=50.0)
    assert not holds.is_held("s-a")  # one release for two holds
    assert not holds.enable("s-x", known=False, now=51.0)
    assert holds.effective_start("s-a", 0.0) == 50.0  # slow start begins again


def test_merge_of_another_process_holds_applies_changes_and_ignores_malformed_text() -> None:
    writer, reader = OperatorHolds(), OperatorHolds()
    writer.disable("s-a", True)
    writer.disable("s-b", True)
    assert reader.merge(writer.encode(), 10.0) == (["s-a", "s-b"], [])
    writer.enable("s-a", True, 11.0)
    assert reader.merge(writer.encode(), 12.0) == ([], ["s-a"])
    assert reader.effective_start("s-a", 0.0) == 12.0
    assert reader.merge("{", 13.0) == ([], [])
    assert reader.is_held("s-b")


def test_directory_with_a_held_node_drains_it_and_restarts_it_when_released() -> None:
    directory = Directory({})
    entry = listed(directory, instance("s-a", 1), whole=True).endpoints[0]
    assert entry.state == EndpointState.LIVE
    directory.holds.disable("s-a", True)
    assert not directory.is_serving(entry.node_id)
    assert directory.count_unavailable() == 1
    # Discovery still lists the node as live.
    held = listed(directory, instance("s-a", 1), whole=True).endpoints[0]
    assert held.state == EndpointState.DRAINING
    directory.holds.enable("s-a", True, 70.0)
    released = directory.refresh(["s-a"])[0]
    assert (released.state, released.started_at) == (EndpointState.LIVE, 70.0)
    assert directory.is_serving(entry.node_id)
