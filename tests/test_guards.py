"""The seven rules, a guard a test: each fails when its guard is taken out."""

import random

import pytest

from cleatyoke.scheduling.actions import (
    CancelAttempt,
    FailRequest,
    Reject,
    SchedulerAction,
    SendAttempt,
    WatchEndpoints,
)
from cleatyoke.scheduling.events import (
    AttemptOutcome,
    ClientDisconnected,
    EndpointState,
    EndpointUpdate,
    TimerFired,
    UpdateKind,
)
from cleatyoke.scheduling.node_table import DecayingRates
from cleatyoke.scheduling.records import Request
from cleatyoke.scheduling.retries import LOST_ANSWER_FRACTION
from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope, RequestClass
from tests.host import DrivenFront, class_spec, endpoint, plan_spec, settings

ONCE = class_spec(idempotency=Idempotency.NOT_IDEMPOTENT)
ORDERED = class_spec(ordered=True)


def answers(actions: list[SchedulerAction], request: str) -> list[type]:
    finals = (Reject, FailRequest)
    return [type(action) for action in actions if isinstance(action, finals) and action.request_id == request]


# One final answer


def test_hopeless_on_arrival_is_answered_at_once() -> None:
    front = DrivenFront(settings(max_retry_after=0.5), [endpoint(1, 1)])
    assert front.request("no node", shard=9) == [Reject("no node", 0.5)]
    assert answers(front.request("no time", deadline=front.now + 0.001), "no time") == [Reject]
    front.step(*[front.arrival(f"r{number}") for number in range(8)])
    front.scheduler.nodes[1].queue_delay = 0.1
    assert answers(front.request("no slot", deadline=front.now + 0.06), "no slot") == [Reject]
    assert "no time" not in front.sent()


def test_hopeless_later_is_answered_then() -> None:
    front = DrivenFront(settings(front_count=8), [endpoint(1, 1)])
    front.step(front.arrival("a", front_count=8), front.arrival("b", front_count=8))
    late = front.now + 0.5 - front.scheduler.nodes[1].queue_delay
    assert not front.run_until(late - 0.001)
    assert front.run_until(late + 0.02) == [Reject("b")]
    assert not answers(front.run_until(104.0), "b")


def test_still_possible_is_kept_and_sent() -> None:
    front = DrivenFront(settings(front_count=8), [endpoint(1, 1)])
    front.step(front.arrival("a", front_count=8), front.arrival("b", front_count=8))
    assert not front.run_until(front.now + 0.4)
    assert front.finish("a", AttemptOutcome.SERVED) == [SendAttempt("b", 1)]


def test_a_refusal_says_when_the_spare_rate_has_paid_up_to_what_clients_heed() -> None:
    for debt, wait in ((-1.0, 0.5), (-10.0, 0.8)):
        front = DrivenFront(
            settings(plans=[plan_spec(reserved_rate=0.0)], max_retry_after=0.8), [endpoint(1, 1)]
        )
        front.request("a")
        front.finish("a", AttemptOutcome.SERVED)
        front.now += 0.001
        store = front.scheduler.volumes[1].surplus[1]
        store.level, store.filled_at, front.scheduler.nodes[1].surplus_rate = debt, front.now, 2.0
        assert front.request("b", deadline=front.now + 0.03) == [Reject("b", pytest.approx(wait))]


def test_clients_that_heed_no_advice_get_none() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    assert front.request("a", shard=9) == [Reject("a", 0.0)]


def test_timeout_at_the_deadline_is_answered_in_the_same_batch() -> None:
    front = DrivenFront(settings([ONCE]), [endpoint(1, 1)])
    front.request("a")
    front.now += 2.0
    assert answers(front.finish("a", AttemptOutcome.TIMEOUT), "a") == [FailRequest]


def test_a_late_outcome_after_the_client_left_is_not_answered_again() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a")
    assert front.step(ClientDisconnected("a")) == [CancelAttempt("a", 0)]
    assert front.finish("a", AttemptOutcome.CANCELLED, settled=True) == []
    assert front.step(ClientDisconnected("a")) == []


# Attempts that take far too long


def test_an_overdue_attempt_is_called_off_and_its_request_given_up() -> None:
    front = DrivenFront(settings(front_count=8), [endpoint(1, 1)])
    front.request("lost")
    assert front.run_until(front.now + 0.52) == [CancelAttempt("lost", 0)]
    assert front.finish("lost", AttemptOutcome.CANCELLED, elapsed=0.52) == [Reject("lost")]
    assert front.request("next") == [SendAttempt("next", 1)]


@pytest.mark.parametrize(("late", "pace", "until"), [(0.1, 0.5, 1.5), (0.2, 0.5, 3.0), (0.0, 0.2, 0.5)])
def test_a_slow_answer_is_waited_for_by_what_it_earns(late: float, pace: float, until: float) -> None:
    front = DrivenFront(settings([class_spec(late_value=late)], front_count=8), [endpoint(1, 1)])
    front.scheduler.nodes[1].service_time_per_unit = pace
    began = front.now
    front.request("slow", deadline=began + 9.0)
    assert front.run_until(began + until - 0.1) == []
    assert front.run_until(began + until + 0.2) == [CancelAttempt("slow", 0)]


@pytest.mark.parametrize(
    "kind", [ONCE, class_spec(idempotency=Idempotency.KEYED, idempotency_scope=IdempotencyScope.SHARD)]
)
def test_no_attempt_is_called_off_that_could_go_nowhere_else(kind: RequestClass) -> None:
    front = DrivenFront(settings([kind]), [endpoint(1, 1)])
    front.request("a")
    assert front.run_until(front.now + 1.9) == []


def test_service_is_told_from_the_queue_by_class() -> None:
    """Classes whose units take three times the work must not be taken for a queue, nor for late."""
    front = DrivenFront(settings([class_spec(), class_spec()]), [endpoint(1, 1)])
    for number in range(60):
        heavy = number % 2
        front.request(f"r{number}", class_index=heavy, deadline=front.now + 2.0)
        front.now += 0.5
        front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=0.12 if heavy else 0.04)
    node = front.scheduler.nodes[1]
    assert node.queue_delay < 0.01
    light, heavy_one = (
        Request(
            front.arrival("x", class_index=index),
            front.scheduler.settings.classes[index],
            1,
            front.scheduler.volumes[1],
            front.now,
        )
        for index in (0, 1)
    )
    assert front.scheduler.rules.estimates.answer_time(light, node) == pytest.approx(0.04, abs=0.01)
    assert front.scheduler.rules.estimates.answer_time(heavy_one, node) == pytest.approx(0.12, abs=0.02)


# No doubled effect


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECTION_RESET]
)
def test_a_once_request_that_may_have_run_fails(outcome: AttemptOutcome) -> None:
    front = DrivenFront(settings([ONCE]), [endpoint(1, 1)])
    front.request("a")
    assert answers(front.finish("a", outcome), "a") == [FailRequest]
    front.run_until(103.0)
    assert front.sent() == ["a"]


def test_a_once_request_turned_away_unseen_is_tried_again() -> None:
    front = DrivenFront(settings([ONCE]), [endpoint(1, 1)])
    front.request("a")
    front.finish("a", AttemptOutcome.QUEUE_FULL)
    front.run_until(101.0)
    assert front.sent() == ["a", "a"]


def test_a_repeatable_request_is_tried_again_up_to_the_most_attempts() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a", deadline=130.0)
    for _ in range(3):
        assert front.scheduler.requests["a"].in_flight
        last = front.finish("a", AttemptOutcome.ERROR)
    assert answers(last, "a") == [Reject]
    assert front.sent() == ["a"] * 3


def test_a_keyed_request_goes_again_only_while_it_is_remembered() -> None:
    keyed = class_spec(idempotency=Idempotency.KEYED, idempotency_window=0.5)
    front = DrivenFront(settings([keyed]), [endpoint(1, 1)])
    front.request("a")
    front.now += 0.6
    front.finish("a", AttemptOutcome.CONNECTION_RESET, elapsed=0.6)
    front.run_until(101.9)
    assert front.sent() == ["a"]


def test_a_keyed_request_stays_in_its_zone_or_cell() -> None:
    for scope, fresh in ((IdempotencyScope.ZONE, 3), (IdempotencyScope.SHARD, 1)):
        keyed = class_spec(latency_objective=2.0, idempotency=Idempotency.KEYED, idempotency_scope=scope)
        front = DrivenFront(settings([keyed]), [endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)])
        front.scheduler.nodes[1].queue_delay = 0.001
        for node in (2, 3):
            front.scheduler.nodes[node].paused_until = 101.0
        front.request("a", shard=None)
        assert front.log[-1] == SendAttempt("a", 1)
        front.scheduler.nodes[1].paused_until = 110.0 if scope is IdempotencyScope.ZONE else 101.0
        front.finish("a", AttemptOutcome.CONNECTION_RESET)
        front.run_until(101.2)
        assert front.log[-1] == SendAttempt("a", fresh)


def test_never_two_attempts_at_once() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a")
    front.run_until(101.9)
    assert front.sent() == ["a"]


def test_a_node_that_refuses_again_and_again_is_left_alone_longer() -> None:
    front = DrivenFront(settings(max_attempts=99), [endpoint(1, 1)])
    front.request("a", deadline=130.0)
    for _ in range(6):
        front.finish("a", AttemptOutcome.CONNECTION_FAILED)
        front.run_until(front.now + 1.0)
    tries = len(front.sent())
    front.finish("a", AttemptOutcome.CONNECTION_FAILED)
    front.run_until(front.now + 0.45)
    assert len(front.sent()) == tries


# Drains


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_to_a_node_that_drains_or_is_gone(state: EndpointState) -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, state)]))
    front.request("a")
    front.run_until(101.0)
    assert front.sent() == []


def test_nothing_to_a_node_absent_from_a_full_list() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(2, 2)])
    front.step(EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(2, 2)]))
    front.request("a")
    front.run_until(101.0)
    assert front.sent() == []


def test_the_list_is_watched_and_asked_for_again_after_a_loss() -> None:
    front = DrivenFront(settings(watches_endpoints=True, safety={"poll_interval": 8.0}), [endpoint(1, 1)])
    assert front.log == [WatchEndpoints()]
    front.run_until(103.0)
    assert front.log == [WatchEndpoints()]
    front.step(EndpointUpdate(UpdateKind.UNAVAILABLE, []))
    assert not front.run_until(104.9)
    assert front.run_until(105.1) == [WatchEndpoints()]


# Cold nodes


def cold_sends(front: DrivenFront, seconds: float, units: float = 2.0) -> float:
    """Units sent to node 1 while more is always asked than it bears; each is answered at once."""
    start, end = len(front.sent()), front.now + seconds
    while front.now < end:
        front.step(front.arrival(f"at{front.now:.2f}", units=units), at=front.now + 0.02)
        for name in [name for name, held in front.scheduler.requests.items() if held.in_flight]:
            front.finish(name, AttemptOutcome.SERVED, elapsed=0.02)
    return units * (len(front.sent()) - start)


def test_many_hosts_together_give_a_cold_node_no_more_than_the_stated_units() -> None:
    """No front has an even part as large as a request; none knows a rate of its own there."""
    total = 0.0
    for seed in range(60):
        front = DrivenFront(
            settings(front_count=60, seed=seed, slow_start_units=12.0, mean_request_units=2.0),
            [endpoint(1, 1, started_at=99.9)],
        )
        total += cold_sends(front, 1.0)
    assert 0.0 < total <= 24.0  # 12 in a second are borne in any case; chance counts


def test_a_cold_node_gets_a_host_s_own_usual_rate_and_soon_again() -> None:
    front = DrivenFront(settings(safety={"slow_start_duration": 10.0}), [endpoint(1, 1)])
    usual = cold_sends(front, 20.0) / 20
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=front.now)]))
    assert 0.0 < cold_sends(front, 1.0) <= usual * 0.2 * 2.0 + 2.0 * 2
    front.now += 9.0
    assert cold_sends(front, 1.0) > usual * 0.8


def cold_units(busy: float, known: bool = True) -> float:
    """Units that a front sends to a cold node in its first seconds, where nodes report so much in use."""
    front = DrivenFront(settings(safety={"slow_start_duration": 10.0}), [endpoint(1, 1), endpoint(2, 2)])
    for _ in range(20 * 20):  # two units in every 0.05 s, to the other node where this one is to be unknown
        front.now += 0.05
        name = f"warm{front.now:.2f}"
        node = 1 if known else 2
        front.request(name, shard=node, units=2.0)
        if name in front.scheduler.requests:
            front.finish(name, AttemptOutcome.SERVED, node_id=node, elapsed=0.02, utilization=busy)
    if not known:
        front.scheduler.table.usual_rate.known.discard(1)
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=front.now)]))
    return cold_sends(front, 3.0)


def test_load_reports_tell_how_much_more_than_its_usual_part_a_host_may_send_to_a_cold_node() -> None:
    """Guards a fleet against starving a box that came back: all fronts' usual rates are far from its power."""
    full, half = cold_units(1.0), cold_units(0.5)
    assert full * 1.5 <= half <= full * 4
    assert cold_units(0.01) <= half * 1.2, "idle nodes do not free it altogether"


def test_a_host_that_knows_no_rate_at_a_cold_node_takes_its_mean_one() -> None:
    """Guards fronts that were restarted themselves: they know of no cold node from before."""
    assert cold_units(0.5, known=False) >= cold_units(0.5) / 3


def test_a_cold_time_is_no_usual_one() -> None:
    front = DrivenFront(settings(safety={"slow_start_duration": 10.0}), [endpoint(1, 1)])
    cold_sends(front, 10.0)
    usual = front.scheduler.table.usual_rate.get(1)
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=front.now)]))
    front.run_until(front.now + 8.0)
    front.request("a")
    assert front.scheduler.table.usual_rate.get(1) >= usual * 0.9


def test_a_restart_in_the_list_makes_a_node_cold_again() -> None:
    front = DrivenFront(settings(slow_start_units=2.0), [endpoint(1, 1)])
    front.step(EndpointUpdate(UpdateKind.DELTA, [endpoint(1, 1, started_at=99.5)]))
    front.step(front.arrival("a"), front.arrival("b"))
    assert front.sent() == []
    times = []
    for number in range(200):
        front.request(f"r{number}")
        times += [front.now] * len(
            [a for a in front.run_until(front.now + 0.02) if isinstance(a, SendAttempt)]
        )
    assert times[1] - times[0] > 0.8  # a unit each, of one unit a second that grows as the node warms


def test_a_warm_node_is_not_held_back() -> None:
    front = DrivenFront(settings(slow_start_units=2.0), [endpoint(1, 1, started_at=89.0)])
    front.step(front.arrival("a"), front.arrival("b"))
    assert front.sent() == ["a", "b"]


# Order by key


def test_one_key_runs_one_at_a_time_in_order() -> None:
    front = DrivenFront(settings([ORDERED, ORDERED]), [endpoint(1, 1)])
    front.step(
        front.arrival("a", item=5), front.arrival("b", item=5, class_index=1), front.arrival("c", item=6)
    )
    assert sorted(front.sent()) == ["a", "c"]
    front.finish("a", AttemptOutcome.SERVED)
    assert front.sent()[-1] == "b"


def test_a_key_rests_after_an_attempt_that_may_still_run() -> None:
    front = DrivenFront(
        settings([class_spec(ordered=True, idempotency=Idempotency.NOT_IDEMPOTENT)]), [endpoint(1, 1)]
    )
    front.step(front.arrival("a", item=5), front.arrival("b", item=5))
    front.finish("a", AttemptOutcome.TIMEOUT)
    front.run_until(100.08)
    assert front.sent() == ["a"]
    front.run_until(100.2)
    assert front.sent() == ["a", "b"]


def test_a_withdrawn_request_holds_its_key_while_its_attempt_is_out() -> None:
    front = DrivenFront(settings([ORDERED]), [endpoint(1, 1)])
    front.step(front.arrival("a", item=5), front.arrival("b", item=5))
    front.step(ClientDisconnected("a"))
    assert front.sent() == ["a"]
    front.finish("a", AttemptOutcome.CANCELLED, settled=True)
    front.run_until(100.2)
    assert front.sent() == ["a", "b"]


# Attempt budget


def test_extra_attempts_stay_within_the_budget() -> None:
    budget = {"retry_budget_minimum": 1.0, "retry_budget_ratio": 0.0, "retry_budget_window": 1.0}
    front = DrivenFront(settings([class_spec(latency_objective=2.0)], safety=budget), [endpoint(1, 1)])
    front.step(front.arrival("a"), front.arrival("b"))
    front.finish("a", AttemptOutcome.ERROR)
    front.finish("b", AttemptOutcome.ERROR)
    assert front.sent() == ["a", "b", "a"]
    front.run_until(101.05)
    assert front.sent() == ["a", "b", "a", "b"]


def test_the_budget_grows_with_the_requests_taken() -> None:
    budget = {"retry_budget_minimum": 0.0, "retry_budget_ratio": 0.5, "retry_budget_window": 1.0}
    front = DrivenFront(settings([class_spec(latency_objective=2.0)], safety=budget), [endpoint(1, 1)])
    front.request("a")
    front.finish("a", AttemptOutcome.ERROR)
    assert front.sent() == ["a"]
    front.request("b", shard=9)
    assert front.sent() == ["a", "a"]


# Limits


def test_a_limit_is_drawn_from_this_hosts_part_once_a_request() -> None:
    limited = plan_spec(rate_limit=4.0, rate_limit_burst=12.0)
    front = DrivenFront(
        settings([class_spec(latency_objective=2.0), class_spec()], [limited]), [endpoint(1, 1)]
    )
    front.step(front.arrival("a", units=2.0, front_count=2), front.arrival("b", units=2.0, front_count=2))
    assert front.sent() == []
    front.run_until(101.05)
    assert front.sent() == ["a"]
    front.finish("a", AttemptOutcome.QUEUE_FULL)
    front.run_until(101.5)
    assert front.sent() == ["a", "a"]
    front.run_until(102.0)
    assert front.sent() == ["a", "a"]


def test_a_limits_store_fills_from_when_the_process_began() -> None:
    """Guards reserves against an empty store at each start, once for every volume and front of the fleet."""
    limited = plan_spec(rate_limit=4.0, rate_limit_burst=12.0, rate_limit_slack=4.0)
    config = settings([class_spec(latency_objective=2.0), class_spec()], [limited], idle_since=99.0)
    front = DrivenFront(config, [endpoint(1, 1)])
    front.step(front.arrival("a", units=2.0, front_count=2), front.arrival("b", units=2.0, front_count=2))
    assert front.sent() == ["a"], "a second's filling and half of the slack, by two fronts"
    front.run_until(100.55)
    assert front.sent() == ["a", "b"]
    front.run_until(103.0)
    for name, units in (("c", 6.0), ("d", 2.0)):
        front.step(front.arrival(name, units=units, front_count=2, volume_id=2))
    assert front.sent() == ["a", "b", "c"], "a volume that comes later finds its part, and never more"


def test_failures_in_a_row_count_as_time_waited_and_a_lost_answer_does_not() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    node = front.scheduler.nodes[1]
    queued = []
    for number in range(3):
        front.request(f"r{number}")
        front.now += 0.6
        front.finish(f"r{number}", AttemptOutcome.CANCELLED, elapsed=0.6)
        queued.append(node.queue_delay)
    assert queued[0] == front.scheduler.state.queue_delay_target / 2
    assert queued[1] > 2 * queued[0]
    assert queued[2] > queued[1]


def lost_answer_host(repeat: Idempotency) -> DrivenFront:
    """``a`` is out at a node that has answered ``b``, which was sent later."""
    front = DrivenFront(
        settings([class_spec(idempotency=repeat)], [plan_spec(base_rate=80.0, reserved_rate=80.0)]),
        [endpoint(1, 1)],
    )
    front.request("a")
    front.step(at=front.now + 0.01)
    front.request("b")
    front.step(at=front.now + 0.01)
    front.finish("b", AttemptOutcome.SERVED, elapsed=0.01)
    return front


def test_a_read_whose_answer_is_lost_is_called_off_in_time_for_another_attempt() -> None:
    front = lost_answer_host(Idempotency.IDEMPOTENT)
    depth = front.scheduler.nodes[1].concurrency_limit
    assert CancelAttempt("a", 0) in front.step(at=front.now + LOST_ANSWER_FRACTION * 0.5)
    front.finish("a", AttemptOutcome.CANCELLED, elapsed=0.5)
    assert front.scheduler.nodes[1].concurrency_limit == depth, "a lost answer is no failure of its node"
    assert front.log[-1] == SendAttempt("a", 1)


def test_a_write_whose_answer_is_lost_gives_its_slot_back_past_its_aim_and_is_not_sent_again() -> None:
    front = lost_answer_host(Idempotency.NOT_IDEMPOTENT)
    assert front.step(at=front.now + LOST_ANSWER_FRACTION * 0.5) == []
    assert CancelAttempt("a", 0) in front.step(at=front.now + 0.5)
    front.finish("a", AttemptOutcome.CANCELLED, elapsed=0.8)
    assert front.log[-1] == FailRequest("a")


def test_a_host_has_what_the_others_leave_of_a_reserve_as_nodes_tell() -> None:
    def sure(tells: bool, elsewhere: float) -> float:
        """The part of a reserve of 8 units a second that one of two fronts takes for its own in the end."""
        front = DrivenFront(
            settings(plans=[plan_spec(reserved_rate=8.0)], reports_usage_by_others=tells), [endpoint(1, 1)]
        )
        for number in range(40):
            front.request(f"r{number}", front_count=2)
            front.step(at=front.now + 0.1)
            front.finish(f"r{number}", AttemptOutcome.SERVED, elapsed=0.1, units_by_others=elsewhere)
        return front.scheduler.rules.reserves.part_here(1, 8.0, 2)

    assert sure(False, 0.0) == 4.0
    assert 7.5 < sure(True, 0.0) <= 8.0  # the other one is idle
    assert 5.5 < sure(True, 0.2) < 6.5  # it takes two a second
    assert sure(True, 2.0) == 4.0  # it takes more than its part: an even one is this front's


def test_what_could_not_be_answered_in_its_client_s_time_is_refused_unsent() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.scheduler.nodes[1].queue_delay = 0.1
    assert front.request("short", deadline=front.now + 0.1) == [Reject("short")]
    assert front.request("long", deadline=front.now + 0.2) == [SendAttempt("long", 1)]


def fleet_at_a_cold_node(forget: bool = False) -> list[tuple[float, float]]:
    """When and how many units 40 fronts send to a node that came up as they all started anew. Its volumes come
    through 10 of them, ask for their reserves in bunches, and those add up to four fifths of its 50."""
    rng, start, sends = random.Random(7), 100.0, []
    plan = plan_spec(reserved_rate=40.0 / 20, base_rate=2.5)
    figures = {"slow_start_duration": 14.0, "overload_after": 2.0, "slow_start_initial_fraction": 0.16}
    fronts = [
        DrivenFront(
            settings(
                None,
                [plan],
                figures,
                front_count=40,
                seed=seed,
                slow_start_units=16.0,
                mean_request_units=2.0,
            ),
            [endpoint(1, 1, started_at=start)],
            now=start,
        )
        for seed in range(10)
    ]
    asks = sorted(
        (start + rng.random() * 12.0, rng.randrange(20), number) for number in range(240)
    )  # of 20 volumes, two units each: 40 a second
    while fronts[0].now < start + 12.0:
        for front in fronts:
            front.step(TimerFired(0), at=front.now + 0.02)
            if forget:
                front.scheduler.table.reserved_rate = DecayingRates()
        now = fronts[0].now
        while asks and asks[0][0] <= now:
            _, volume, number = asks.pop(0)
            fronts[volume % 10].request(f"r{number}", volume_id=volume, units=2.0, deadline=now + 1.0)
        for front in fronts:
            for name in [name for name, held in front.scheduler.requests.items() if held.in_flight]:
                sends.append((now, 2.0))
                front.finish(name, AttemptOutcome.SERVED, elapsed=0.04)
    return sends


def test_hosts_that_started_anew_together_use_a_cold_node_more_as_it_warms_and_never_push_it_over() -> None:
    """Guards a fleet killed as one: with the stated units alone, its cold boxes stay unused."""
    sends = fleet_at_a_cold_node()
    for at, _ in sends:
        units = sum(one for when, one in sends if at - 2.0 < when <= at)
        power = 50.0 * (0.16 + 0.84 * (at - 100.0) / 14.0)
        assert units <= 2.0 * power * 2.0, at
    late = sum(units for when, units in sends if when > 106.0)
    alone = sum(units for when, units in fleet_at_a_cold_node(forget=True) if when > 106.0)
    assert late > 1.3 * alone > 0
