"""Random events, and nodes that fail in every way: the safety rules are checked from outside."""

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
from tests.driven_front import settings as host_settings

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
PROOF = (AttemptOutcome.QUEUE_FULL, AttemptOutcome.CONNECTION_FAILED, AttemptOutcome.NOT_SENT)
SHARDS = 3


class World:
    """Plays clients, nodes and discovery, and keeps its own books of what the rules allow."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        config = host_settings(CLASSES, PLANS, SAFETY, watches_endpoints=True, front_count=2)
        self.front = DrivenFront(config, [endpoint(shard, shard) for shard in range(SHARDS)], now=50.0)
        self.safety = config.safety
        self.config = config
        self.node_of = {shard: shard for shard in range(SHARDS)}
        self.state = dict.fromkeys(range(SHARDS), EndpointState.LIVE)
        self.started_at = dict.fromkeys(range(SHARDS), 0.0)
        self.asked: dict[str, RequestArrived] = {}
        self.owed: set[str] = set()
        self.answered: set[str] = set()
        self.in_flight: dict[str, tuple[int, int, float, float]] = {}  # attempt, node, sent, ends
        self.attempts: dict[str, int] = defaultdict(int)
        self.may_have_executed: dict[str, tuple[float, int]] = {}
        self.line: dict[int, list[str]] = defaultdict(list)
        self.rest: dict[int, float] = defaultdict(float)
        self.taken: list[float] = []
        self.extras: list[float] = []
        self.to_node: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.drawn: dict[int, list[tuple[float, float]]] = defaultdict(list)

    def kind(self, name: str) -> RequestClass:
        return CLASSES[self.asked[name].class_index]

    def arrive(self) -> SchedulerEvent:
        now, rng = self.front.now, self.rng
        volume = rng.randrange(6)
        event = self.front.arrival(
            f"q{len(self.asked)}",
            class_index=rng.randrange(len(CLASSES)),
            plan_index=volume % 2,
            volume_id=volume,
            item=rng.randrange(4) if rng.random() < 0.8 else None,
            shard=rng.choice([None, 0, 1, 2]),
            units=float(rng.randint(1, 6)),
            deadline=now + rng.choice([0.0, 0.01, 0.5, 2.0]),
            front_count=2,
        )
        self.asked[event.request_id] = event
        self.owed.add(event.request_id)
        self.taken.append(now)
        if self.kind(event.request_id).ordered and event.item is not None:
            self.line[event.item].append(event.request_id)
        return event

    def finish(self, name: str, outcome: AttemptOutcome) -> SchedulerEvent:
        attempt, node, sent, _ = self.in_flight.pop(name)
        if outcome not in PROOF and outcome is not AttemptOutcome.SERVED:
            self.may_have_executed.setdefault(name, (sent, node))
        if outcome is AttemptOutcome.SERVED:
            self.owed.discard(name)
        item = self.asked[name].item
        unsure = outcome in (
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.CONNECTION_RESET,
            AttemptOutcome.CANCELLED,
        )
        if unsure and self.kind(name).ordered and item is not None:
            self.rest[item] = self.front.now + self.safety.ordering_pause
        self.leave_line(name)
        return AttemptFinished(name, attempt, node, outcome, self.front.now - sent, name not in self.owed)

    def leave_line(self, name: str) -> None:
        item = self.asked[name].item
        over = name not in self.owed and name not in self.in_flight
        if over and item is not None and name in self.line[item]:
            self.line[item].remove(name)

    def news(self) -> SchedulerEvent:
        if self.rng.random() < 0.2:
            return EndpointUpdate(UpdateKind.UNAVAILABLE, [])
        shard = self.rng.randrange(SHARDS)
        if self.state[shard] is EndpointState.LIVE:
            self.state[shard] = self.rng.choice([EndpointState.DRAINING, EndpointState.REMOVED])
        else:
            self.state[shard] = EndpointState.LIVE
            self.started_at[shard] = self.front.now - self.rng.choice([0.0, 5.0, 50.0])
            self.to_node[shard].clear()
        changed = endpoint(shard, shard, self.state[shard], self.started_at[shard])
        return EndpointUpdate(UpdateKind.DELTA, [changed])

    def step(self) -> None:
        front, rng = self.front, self.rng
        front.now += rng.choice([0.0, 0.005, 0.02, 0.02])
        events: list[SchedulerEvent] = [TimerFired(0)]
        if rng.random() < 0.05:
            events.append(self.news())
        for name, (_, _, _, ends) in list(self.in_flight.items()):
            if front.now >= self.asked[name].deadline:
                events.append(self.finish(name, AttemptOutcome.TIMEOUT))
            elif front.now >= ends:
                bad = rng.random() < 0.4
                events.append(
                    self.finish(name, rng.choice(list(AttemptOutcome)) if bad else AttemptOutcome.SERVED)
                )
        ended = {event.request_id for event in events if isinstance(event, AttemptFinished)}
        if (there := sorted(self.owed - ended)) and rng.random() < 0.03:
            name = rng.choice(there)
            self.owed.discard(name)
            self.leave_line(name)
            events.append(ClientDisconnected(name))
        events += [self.arrive() for _ in range(rng.choice([0, 0, 1, 3]))]
        for action in front.step(*events):
            self.check(action)
        late = [
            name for name in self.owed if self.asked[name].deadline < front.now and name not in self.in_flight
        ]
        assert not late, f"no final answer in time: {late}"

    def check(self, action: SchedulerAction) -> None:
        now = self.front.now
        if isinstance(action, SendAttempt):
            self.check_send(action.request_id, action.node_id, now)
        elif isinstance(action, Reject | FailRequest):
            name = action.request_id
            assert name in self.owed, "one final answer"
            assert name not in self.in_flight, "one final answer"
            if isinstance(action, Reject) and name in self.may_have_executed:
                kind = self.kind(name)
                assert kind.idempotency is Idempotency.IDEMPOTENT or (
                    kind.idempotency is Idempotency.KEYED and kind.idempotency_scope is IdempotencyScope.ALL
                )
            self.owed.discard(name)
            self.leave_line(name)

    def check_send(self, name: str, node: int, now: float) -> None:
        ask, kind, safety = self.asked[name], self.kind(name), self.safety
        assert name in self.owed, "it is over"
        assert name not in self.in_flight, "two attempts at once"
        assert self.attempts[name] < self.config.max_attempts
        assert ask.shard in (None, node), "another shard"
        assert self.state[node] is EndpointState.LIVE, "drains"
        if name in self.may_have_executed:
            sent, home = self.may_have_executed[name]
            assert kind.idempotency is not Idempotency.NOT_IDEMPOTENT, "doubled effect"
            if kind.idempotency is Idempotency.KEYED:
                assert now <= sent + kind.idempotency_window
                assert kind.idempotency_scope is IdempotencyScope.ALL or node == home
        if kind.ordered and ask.item is not None:
            assert self.line[ask.item][0] == name, "order by key"
            assert now >= self.rest[ask.item], "order by key"
        if self.attempts[name]:
            self.extras.append(now)
            recent = sum(1 for time in self.taken if time > now - safety.retry_budget_window)
            used = sum(1 for time in self.extras if time > now - safety.retry_budget_window)
            assert used <= safety.retry_budget_minimum + safety.retry_budget_ratio * recent, "attempt budget"
        elif PLANS[ask.plan_index].rate_limit:
            plan, draws = PLANS[ask.plan_index], self.drawn[ask.volume_id]
            draws.append((now, ask.units))
            for index, (start, _) in enumerate(draws):
                drawn = sum(units for _, units in draws[index:])
                assert drawn <= (plan.rate_limit_burst + plan.rate_limit * (now - start)) / 2 + 1e-6, "limit"
        self.to_node[node].append((now, ask.units))
        if self.started_at[node] and now - self.started_at[node] < safety.slow_start_duration:
            window = safety.overload_after
            sent = sum(units for time, units in self.to_node[node] if time > now - window)
            scheduler = self.front.scheduler
            rates = {
                shard: scheduler.table.usual_rate.get(shard) for shard in scheduler.table.usual_rate.known
            }
            mean = sum(rates.values()) / max(1, len(rates))
            usual = rates.get(node, mean) * safety.overload_multiple * 3  # twice, and half of that saved up
            warmer = (
                (1 - safety.slow_start_initial_fraction)
                / safety.slow_start_initial_fraction
                * (now - self.started_at[node])
                / safety.slow_start_duration
            )
            stated = self.config.slow_start_units / self.config.front_count * (1 + warmer)
            due = scheduler.table.reserved_rate.get(node)
            own = max(stated, usual * window, due * window) + self.config.max_request_units
            assert sent <= own + 1e-6, "warming node"
        self.in_flight[name] = (
            self.attempts[name],
            node,
            now,
            now + self.rng.choice([0.01, 0.05, 0.2, 1.0, 9.0]),
        )
        self.attempts[name] += 1


@settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(st.integers(min_value=0, max_value=2**32))
def test_rules_hold_over_random_events(seed: int) -> None:
    world = World(seed)
    for _ in range(400):
        world.step()
    assert world.attempts, "the sequence sent something"


def test_same_events_same_actions() -> None:
    logs = []
    for _ in range(2):
        world = World(3)
        for _ in range(300):
            world.step()
        logs.append(world.front.log)
    assert logs[0] == logs[1]
