"""The safety rules under random events and node failures, checked against a model of the allowed actions."""

from __future__ import annotations

import random
from collections import defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.scheduling.actions import FailRequest, Reject, SchedulerAction, SendAttempt
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    ClientDisconnected,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    SchedulerEvent,
    TimerFired,
    UpdateKind,
)
from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope, RequestClass
from tests.driven_front import DrivenFront, class_spec, endpoint, plan_spec
from tests.driven_front import settings as scheduler_settings

CLASSES = [
    class_spec(latency_objective=0.3),
    class_spec(idempotency=Idempotency.NOT_IDEMPOTENT, ordered=True),
    class_spec(
        idempotency=Idempotency.KEYED,
        idempotency_scope=IdempotencyScope.SHARD,
        idempotency_window=0.8,
        ordered=True,
    ),
    class_spec(idempotency=Idempotency.KEYED, idempotency_scope=IdempotencyScope.ALL, idempotency_window=0.8),
]
PLANS = [plan_spec(), plan_spec(rate_limit=6.0, rate_limit_burst=24.0)]
SAFETY = {
    "retry_budget_minimum": 2.0,
    "retry_budget_ratio": 0.2,
    "retry_budget_window": 1.0,
    "poll_interval": 10.0,
    "ordering_pause": 0.1,
}
NEVER_EXECUTED_OUTCOMES = (
    AttemptOutcome.QUEUE_FULL,
    AttemptOutcome.CONNECTION_FAILED,
    AttemptOutcome.NOT_SENT,
)
SHARDS = 3


class RuleModel:
    """Simulates clients, nodes and discovery, and tracks independently what the rules allow."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        config = scheduler_settings(CLASSES, PLANS, SAFETY, watches_endpoints=True, front_count=2)
        self.front = DrivenFront(config, [endpoint(shard, shard) for shard in range(SHARDS)], now=50.0)
        self.safety = config.safety
        self.config = config
        self.node_of = {shard: shard for shard in range(SHARDS)}
        self.state = dict.fromkeys(range(SHARDS), EndpointState.LIVE)
        self.started_at = dict.fromkeys(range(SHARDS), 0.0)
        self.arrivals: dict[str, RequestArrived] = {}
        self.unanswered: set[str] = set()
        self.answered: set[str] = set()
        self.in_flight: dict[str, tuple[int, int, float, float]] = {}  # attempt, node, sent at, ends at
        self.attempts: dict[str, int] = defaultdict(int)
        self.may_have_executed: dict[str, tuple[float, int]] = {}
        self.key_queues: dict[int, list[str]] = defaultdict(list)
        self.key_paused_until: dict[int, float] = defaultdict(float)
        self.accepted_at: list[float] = []
        self.retried_at: list[float] = []
        self.sent_to_node: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.rate_limit_draws: dict[int, list[tuple[float, float]]] = defaultdict(list)

    def request_class(self, name: str) -> RequestClass:
        return CLASSES[self.arrivals[name].class_index]

    def new_arrival(self) -> SchedulerEvent:
        now, rng = self.front.now, self.rng
        volume = rng.randrange(6)
        event = self.front.arrival(
            f"q{len(self.arrivals)}",
            class_index=rng.randrange(len(CLASSES)),
            plan_index=volume % 2,
            volume_id=volume,
            item=rng.randrange(4) if rng.random() < 0.8 else None,
            shard=rng.choice([None, 0, 1, 2]),
            units=float(rng.randint(1, 6)),
            deadline=now + rng.choice([0.0, 0.01, 0.5, 2.0]),
            front_count=2,
        )
        self.arrivals[event.request_id] = event
        self.unanswered.add(event.request_id)
        self.accepted_at.append(now)
        if self.request_class(event.request_id).ordered and event.item is not None:
            self.key_queues[event.item].append(event.request_id)
        return event

    def finish(self, name: str, outcome: AttemptOutcome) -> SchedulerEvent:
        attempt, node, sent, _ = self.in_flight.pop(name)
        if outcome not in NEVER_EXECUTED_OUTCOMES and outcome is not AttemptOutcome.SERVED:
            self.may_have_executed.setdefault(name, (sent, node))
        if outcome is AttemptOutcome.SERVED:
            self.unanswered.discard(name)
        item = self.arrivals[name].item
        may_still_execute = outcome in (
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.CONNECTION_RESET,
            AttemptOutcome.CANCELLED,
        )
        if may_still_execute and self.request_class(name).ordered and item is not None:
            self.key_paused_until[item] = self.front.now + self.safety.ordering_pause
        self.leave_key_queue(name)
        return AttemptFinished(
            name, attempt, node, outcome, self.front.now - sent, name not in self.unanswered
        )

    def leave_key_queue(self, name: str) -> None:
        item = self.arrivals[name].item
        is_done = name not in self.unanswered and name not in self.in_flight
        if is_done and item is not None and name in self.key_queues[item]:
            self.key_queues[item].remove(name)

    def change_endpoints(self) -> SchedulerEvent:
        if self.rng.random() < 0.2:
            return EndpointUpdate(UpdateKind.UNAVAILABLE, [])
        shard = self.rng.randrange(SHARDS)
        if self.state[shard] is EndpointState.LIVE:
            self.state[shard] = self.rng.choice([EndpointState.DRAINING, EndpointState.REMOVED])
        else:
            self.state[shard] = EndpointState.LIVE
            self.started_at[shard] = self.front.now - self.rng.choice([0.0, 5.0, 50.0])
            self.sent_to_node[shard].clear()
        changed = endpoint(shard, shard, self.state[shard], self.started_at[shard])
        return EndpointUpdate(UpdateKind.DELTA, [changed])

    def step(self) -> None:
        front, rng = self.front, self.rng
        front.now += rng.choice([0.0, 0.005, 0.02, 0.02])
        events: list[SchedulerEvent] = [TimerFired(0)]
        if rng.random() < 0.05:
            events.append(self.change_endpoints())
        for name, (_, _, _, ends) in list(self.in_flight.items()):
            if front.now >= self.arrivals[name].deadline:
                events.append(self.finish(name, AttemptOutcome.TIMEOUT))
            elif front.now >= ends:
                fails = rng.random() < 0.4
                events.append(
                    self.finish(name, rng.choice(list(AttemptOutcome)) if fails else AttemptOutcome.SERVED)
                )
        ended = {event.request_id for event in events if isinstance(event, AttemptFinished)}
        if (candidates := sorted(self.unanswered - ended)) and rng.random() < 0.03:
            name = rng.choice(candidates)
            self.unanswered.discard(name)
            self.leave_key_queue(name)
            events.append(ClientDisconnected(name))
        events += [self.new_arrival() for _ in range(rng.choice([0, 0, 1, 3]))]
        for action in front.step(*events):
            self.check(action)
        late = [
            name
            for name in self.unanswered
            if self.arrivals[name].deadline < front.now and name not in self.in_flight
        ]
        assert not late, f"no final answer in time: {late}"

    def check(self, action: SchedulerAction) -> None:
        now = self.front.now
        if isinstance(action, SendAttempt):
            self.check_send(action.request_id, action.node_id, now)
        elif isinstance(action, Reject | FailRequest):
            name = action.request_id
            assert name in self.unanswered, "one final answer"
            assert name not in self.in_flight, "one final answer"
            if isinstance(action, Reject) and name in self.may_have_executed:
                request_class = self.request_class(name)
                assert request_class.idempotency is Idempotency.IDEMPOTENT or (
                    request_class.idempotency is Idempotency.KEYED
                    and request_class.idempotency_scope is IdempotencyScope.ALL
                )
            self.unanswered.discard(name)
            self.leave_key_queue(name)

    def check_send(self, name: str, node: int, now: float) -> None:
        arrival, request_class, safety = self.arrivals[name], self.request_class(name), self.safety
        assert name in self.unanswered, "an attempt of a closed request"
        assert name not in self.in_flight, "two attempts at once"
        assert self.attempts[name] < self.config.max_attempts
        assert arrival.shard in (None, node), "another shard"
        assert self.state[node] is EndpointState.LIVE, "the node is draining"
        if name in self.may_have_executed:
            sent, first_node = self.may_have_executed[name]
            assert request_class.idempotency is not Idempotency.NOT_IDEMPOTENT, "possible second execution"
            if request_class.idempotency is Idempotency.KEYED:
                assert now <= sent + request_class.idempotency_window
                assert request_class.idempotency_scope is IdempotencyScope.ALL or node == first_node
        if request_class.ordered and arrival.item is not None:
            assert self.key_queues[arrival.item][0] == name, "order by key"
            assert now >= self.key_paused_until[arrival.item], "order by key"
        if self.attempts[name]:
            self.retried_at.append(now)
            recent = sum(1 for time in self.accepted_at if time > now - safety.retry_budget_window)
            used = sum(1 for time in self.retried_at if time > now - safety.retry_budget_window)
            assert used <= safety.retry_budget_minimum + safety.retry_budget_ratio * recent, "retry budget"
        elif PLANS[arrival.plan_index].rate_limit:
            plan, draws = PLANS[arrival.plan_index], self.rate_limit_draws[arrival.volume_id]
            draws.append((now, arrival.units))
            for index, (start, _) in enumerate(draws):
                drawn = sum(units for _, units in draws[index:])
                assert drawn <= (plan.rate_limit_burst + plan.rate_limit * (now - start)) / 2 + 1e-6, "limit"
        self.sent_to_node[node].append((now, arrival.units))
        if self.started_at[node] and now - self.started_at[node] < safety.slow_start_duration:
            window = safety.overload_after
            sent = sum(units for time, units in self.sent_to_node[node] if time > now - window)
            scheduler = self.front.scheduler
            rates = {
                shard: scheduler.table.usual_rate.get(shard) for shard in scheduler.table.usual_rate.known
            }
            mean = sum(rates.values()) / max(1, len(rates))
            # The factor for idle nodes is at most 2, and half of that rate may be saved up in addition.
            usual = rates.get(node, mean) * safety.overload_multiple * 3
            growth = (
                (1 - safety.slow_start_initial_fraction)
                / safety.slow_start_initial_fraction
                * (now - self.started_at[node])
                / safety.slow_start_duration
            )
            configured = self.config.slow_start_units / self.config.front_count * (1 + growth)
            reserved = scheduler.table.reserved_rate.get(node)
            allowed = max(configured, usual * window, reserved * window) + self.config.max_request_units
            assert sent <= allowed + 1e-6, "slow start"
        self.in_flight[name] = (
            self.attempts[name],
            node,
            now,
            now + self.rng.choice([0.01, 0.05, 0.2, 1.0, 9.0]),
        )
        self.attempts[name] += 1


@settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(st.integers(min_value=0, max_value=2**32))
def test_safety_rules_hold_under_random_events(seed: int) -> None:
    model = RuleModel(seed)
    for _ in range(400):
        model.step()
    assert model.attempts, "the sequence sent something"


def test_scheduler_is_deterministic() -> None:
    logs = []
    for _ in range(2):
        model = RuleModel(3)
        for _ in range(300):
            model.step()
        logs.append(model.front.log)
    assert logs[0] == logs[1]
