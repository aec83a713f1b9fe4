"""Random event sequences against nodes that fail in every way; all seven rules are checked from outside."""

from __future__ import annotations

import random
from collections import defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.scheduling import api
from cleatyoke.scheduling.api import NodeState, Outcome, Repeat, Scope
from tests.host import Host, class_spec, entry, plan_spec
from tests.host import settings as host_settings

CLASSES = [
    class_spec(aim=0.3),
    class_spec(repeat=Repeat.ONCE, ordered=True),
    class_spec(repeat=Repeat.KEYED, scope=Scope.CELL, memory=0.8, ordered=True),
    class_spec(repeat=Repeat.KEYED, scope=Scope.ALL, memory=0.8),
]
PLANS = [plan_spec(), plan_spec(limit=6.0, limit_burst=24.0)]
SAFETY = {"extra_free": 2.0, "extra_ratio": 0.2, "extra_window": 1.0, "ask_every": 10.0, "key_rest": 0.1}
PROOF = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
CELLS = 3


class World:
    """Plays clients, nodes and discovery, and keeps its own books of what the rules allow."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        config = host_settings(CLASSES, PLANS, SAFETY, must_watch=True, hosts=2)
        self.host = Host(config, [entry(cell, cell) for cell in range(CELLS)], now=50.0)
        self.safety = config.safety
        self.config = config
        self.node_of = {cell: cell for cell in range(CELLS)}
        self.state = dict.fromkeys(range(CELLS), NodeState.LIVE)
        self.up_since = dict.fromkeys(range(CELLS), 0.0)
        self.asked: dict[str, api.Arrival] = {}
        self.owed: set[str] = set()
        self.answered: set[str] = set()
        self.out: dict[str, tuple[int, int, float, float]] = {}  # attempt, node, sent, ends
        self.sends: dict[str, int] = defaultdict(int)
        self.ran: dict[str, tuple[float, int]] = {}
        self.line: dict[int, list[str]] = defaultdict(list)
        self.rest: dict[int, float] = defaultdict(float)
        self.taken: list[float] = []
        self.extras: list[float] = []
        self.to_node: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.drawn: dict[int, list[tuple[float, float]]] = defaultdict(list)

    def kind(self, name: str) -> api.ClassSpec:
        return CLASSES[self.asked[name].class_index]

    def arrive(self) -> api.Event:
        now, rng = self.host.now, self.rng
        volume = rng.randrange(6)
        event = self.host.arrival(
            f"q{len(self.asked)}",
            class_index=rng.randrange(len(CLASSES)),
            plan=volume % 2,
            volume=volume,
            item=rng.randrange(4) if rng.random() < 0.8 else None,
            cell=rng.choice([-1, 0, 1, 2]),
            units=float(rng.randint(1, 6)),
            deadline=now + rng.choice([0.0, 0.01, 0.5, 2.0]),
            hosts=2,
        )
        self.asked[event.request] = event
        self.owed.add(event.request)
        self.taken.append(now)
        if self.kind(event.request).ordered and event.item is not None:
            self.line[event.item].append(event.request)
        return event

    def finish(self, name: str, outcome: Outcome) -> api.Event:
        attempt, node, sent, _ = self.out.pop(name)
        if outcome not in PROOF and outcome is not Outcome.SERVED:
            self.ran.setdefault(name, (sent, node))
        if outcome is Outcome.SERVED:
            self.owed.discard(name)
        item = self.asked[name].item
        unsure = outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
        if unsure and self.kind(name).ordered and item is not None:
            self.rest[item] = self.host.now + self.safety.key_rest
        self.leave_line(name)
        return api.Ended(name, attempt, node, outcome, self.host.now - sent, name not in self.owed)

    def leave_line(self, name: str) -> None:
        item = self.asked[name].item
        over = name not in self.owed and name not in self.out
        if over and item is not None and name in self.line[item]:
            self.line[item].remove(name)

    def news(self) -> api.Event:
        if self.rng.random() < 0.2:
            return api.NodeList(api.ListKind.LOST, [])
        cell = self.rng.randrange(CELLS)
        if self.state[cell] is NodeState.LIVE:
            self.state[cell] = self.rng.choice([NodeState.DRAINING, NodeState.GONE])
        else:
            self.state[cell] = NodeState.LIVE
            self.up_since[cell] = self.host.now - self.rng.choice([0.0, 5.0, 50.0])
            self.to_node[cell].clear()
        changed = entry(cell, cell, self.state[cell], self.up_since[cell])
        return api.NodeList(api.ListKind.CHANGES, [changed])

    def step(self) -> None:
        host, rng = self.host, self.rng
        host.now += rng.choice([0.0, 0.005, 0.02, 0.02])
        events: list[api.Event] = [api.Woken(0)]
        if rng.random() < 0.05:
            events.append(self.news())
        for name, (_, _, _, ends) in list(self.out.items()):
            if host.now >= self.asked[name].deadline:
                events.append(self.finish(name, Outcome.TIMEOUT))
            elif host.now >= ends:
                bad = rng.random() < 0.4
                events.append(self.finish(name, rng.choice(list(Outcome)) if bad else Outcome.SERVED))
        ended = {event.request for event in events if isinstance(event, api.Ended)}
        if (there := sorted(self.owed - ended)) and rng.random() < 0.03:
            name = rng.choice(there)
            self.owed.discard(name)
            self.leave_line(name)
            events.append(api.Withdrawn(name))
        events += [self.arrive() for _ in range(rng.choice([0, 0, 1, 3]))]
        for action in host.step(*events):
            self.check(action)
        late = [name for name in self.owed if self.asked[name].deadline < host.now and name not in self.out]
        assert not late, f"no final answer in time: {late}"

    def check(self, action: api.Action) -> None:
        now = self.host.now
        if isinstance(action, api.Send):
            self.check_send(action.request, action.node, now)
        elif isinstance(action, api.Refuse | api.Fail):
            name = action.request
            assert name in self.owed and name not in self.out, "one final answer"
            if isinstance(action, api.Refuse) and name in self.ran:
                kind = self.kind(name)
                assert kind.repeat is Repeat.FREE or (kind.repeat is Repeat.KEYED and kind.scope is Scope.ALL)
            self.owed.discard(name)
            self.leave_line(name)

    def check_send(self, name: str, node: int, now: float) -> None:
        ask, kind, safety = self.asked[name], self.kind(name), self.safety
        assert name in self.owed and name not in self.out, "over, or two attempts at once"
        assert self.sends[name] < self.config.max_attempts
        assert ask.cell in (-1, node), "another cell"
        assert self.state[node] is NodeState.LIVE, "drains"
        if name in self.ran:
            sent, home = self.ran[name]
            assert kind.repeat is not Repeat.ONCE, "doubled effect"
            if kind.repeat is Repeat.KEYED:
                assert now <= sent + kind.memory and (kind.scope is Scope.ALL or node == home)
        if kind.ordered and ask.item is not None:
            assert self.line[ask.item][0] == name and now >= self.rest[ask.item], "order by key"
        if self.sends[name]:
            self.extras.append(now)
            recent = sum(1 for time in self.taken if time > now - safety.extra_window)
            used = sum(1 for time in self.extras if time > now - safety.extra_window)
            assert used <= safety.extra_free + safety.extra_ratio * recent, "attempt budget"
        elif PLANS[ask.plan].limit:
            plan, draws = PLANS[ask.plan], self.drawn[ask.volume]
            draws.append((now, ask.units))
            for index, (start, _) in enumerate(draws):
                drawn = sum(units for _, units in draws[index:])
                assert drawn <= (plan.limit_burst + plan.limit * (now - start)) / 2 + 1e-6, "limit"
        self.to_node[node].append((now, ask.units))
        if self.up_since[node] and now - self.up_since[node] < safety.ramp:
            window = safety.tip_after
            sent = sum(units for time, units in self.to_node[node] if time > now - window)
            policy = self.host.policy
            rates = {cell: policy.table.usual.get(cell) for cell in policy.table.usual.known}
            mean = sum(rates.values()) / max(1, len(rates))
            usual = rates.get(node, mean) * safety.tip_multiple * 3  # twice, and half of that saved up
            warmer = (1 - safety.cold_from) / safety.cold_from * (now - self.up_since[node]) / safety.ramp
            stated = self.config.cold_units / self.config.hosts * (1 + warmer)
            due = policy.table.due_rate.get(node)
            own = max(stated, usual * window, due * window) + self.config.largest
            assert sent <= own + 1e-6, "cold node"
        self.out[name] = (self.sends[name], node, now, now + self.rng.choice([0.01, 0.05, 0.2, 1.0, 9.0]))
        self.sends[name] += 1


@settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(st.integers(min_value=0, max_value=2**32))
def test_rules_hold_over_random_events(seed: int) -> None:
    world = World(seed)
    for _ in range(400):
        world.step()
    assert world.sends, "the sequence sent something"


def test_same_events_same_actions() -> None:
    logs = []
    for _ in range(2):
        world = World(3)
        for _ in range(300):
            world.step()
        logs.append(world.host.log)
    assert logs[0] == logs[1]
