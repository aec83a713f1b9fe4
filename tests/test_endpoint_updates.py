"""Endpoint updates: draining and removed nodes are sent nothing, and a lost watch is renewed."""

import pytest

from cleatyoke.scheduling.actions import (
    WatchEndpoints,
)
from cleatyoke.scheduling.events import (
    EndpointState,
    EndpointUpdate,
    UpdateKind,
)
from tests.driven_front import DrivenFront, endpoint, settings


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_draining_or_removed_node_is_sent_nothing(state: EndpointState) -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, state)]))
    front.request("a")
    front.run_until(101.0)
    assert front.sent() == []


def test_node_missing_from_snapshot_is_sent_nothing() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2)])
    front.step(EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(2, 2)]))
    front.request("a")
    front.run_until(101.0)
    assert front.sent() == []


def test_endpoint_list_is_watched_and_polled_again_while_unavailable() -> None:
    front = DrivenFront(settings(watches_endpoints=True, safety={"poll_interval": 8.0}), [endpoint(1, 1)])
    assert front.log == [WatchEndpoints()]
    front.run_until(103.0)
    assert front.log == [WatchEndpoints()]
    front.step(EndpointUpdate(UpdateKind.UNAVAILABLE, []))
    assert not front.run_until(104.9)
    assert front.run_until(105.1) == [WatchEndpoints()]
