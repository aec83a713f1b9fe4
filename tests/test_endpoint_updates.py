"""Endpoint updates: nothing goes to nodes that drain or are gone, and a lost watch is renewed."""

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
def test_nothing_goes_to_a_node_that_drains_or_is_gone(state: EndpointState) -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, state)]))
    front.request("a")
    front.run_until(101.0)
    assert front.sent() == []


def test_nothing_goes_to_a_node_that_a_complete_list_does_not_name() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2)])
    front.step(EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(2, 2)]))
    front.request("a")
    front.run_until(101.0)
    assert front.sent() == []


def test_the_endpoint_list_is_watched_and_polled_again_after_a_loss() -> None:
    front = DrivenFront(settings(watches_endpoints=True, safety={"poll_interval": 8.0}), [endpoint(1, 1)])
    assert front.log == [WatchEndpoints()]
    front.run_until(103.0)
    assert front.log == [WatchEndpoints()]
    front.step(EndpointUpdate(UpdateKind.UNAVAILABLE, []))
    assert not front.run_until(104.9)
    assert front.run_until(105.1) == [WatchEndpoints()]
