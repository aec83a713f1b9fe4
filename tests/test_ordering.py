"""Ordering by key: requests of ordered classes for the same item."""

from cleatyoke.scheduling.events import (
    AttemptOutcome,
    ClientDisconnected,
)
from cleatyoke.scheduling.settings import Idempotency
from tests.driven_front import DrivenFront, class_spec, endpoint, settings

ORDERED = class_spec(ordered=True)


def test_ordering_requests_of_a_key_run_one_at_a_time_in_order() -> None:
    front = DrivenFront(settings([ORDERED, ORDERED]), [endpoint(1, 1)])
    front.step(
        front.arrival("a", item=5), front.arrival("b", item=5, class_index=1), front.arrival("c", item=6)
    )
    assert sorted(front.sent()) == ["a", "c"]
    front.finish("a", AttemptOutcome.SERVED)
    assert front.sent()[-1] == "b"


def test_ordering_key_is_paused_after_an_attempt_that_may_still_execute() -> None:
    """A write times out while its node may still be applying it. The next write must not overtake it."""
    front = DrivenFront(
        settings([class_spec(ordered=True, idempotency=Idempotency.NOT_IDEMPOTENT)]), [endpoint(1, 1)]
    )
    front.step(front.arrival("a", item=5), front.arrival("b", item=5))
    front.finish("a", AttemptOutcome.TIMEOUT)
    front.run_until(100.08)
    assert front.sent() == ["a"]
    front.run_until(100.2)
    assert front.sent() == ["a", "b"]


def test_ordering_disconnected_request_blocks_its_key_while_in_flight() -> None:
    """A client disconnects while its write is in flight.

    The write may still be applied, so the next write to the item must wait until its attempt has ended.
    """
    front = DrivenFront(settings([ORDERED]), [endpoint(1, 1)])
    front.step(front.arrival("a", item=5), front.arrival("b", item=5))
    front.step(ClientDisconnected("a"))
    assert front.sent() == ["a"]
    front.finish("a", AttemptOutcome.CANCELLED, settled=True)
    front.run_until(100.2)
    assert front.sent() == ["a", "b"]
