"""The only place where the recorded fleet cases touch the project's types: plain values in, plain values out.

A rename of the project's modules, classes or fields changes this file and nothing else of the recording.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from cleatyoke.coordination import replicated_holds as replicas
from cleatyoke.coordination.demand import DemandMeters
from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.coordination.lease_accounts import ResourceAccount
from cleatyoke.coordination.lease_events import (
    DemandChanged,
    LeaseEvent,
    LeaseMessageReceived,
    PeersChanged,
    QuotaFractionChanged,
)
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.coordination.rate_limit_leases import RateLimitLeases
from cleatyoke.coordination.slow_start_leases import SlowStartLeases
from cleatyoke.coordination.staged_start import Evidence, StagedStart, StagePassed, StartStage
from cleatyoke.membership.actions import (
    ChangeKind,
    DeliverLeaseMessage,
    MembershipAction,
    MembershipChanged,
    ReplyExchange,
    SendDatagram,
    StartExchange,
)
from cleatyoke.membership.conclusions import Conclusion, ObservedMember, conclude
from cleatyoke.membership.events import (
    BootNumberRecovered,
    DatagramReceived,
    ExchangeAnswered,
    ExchangeRequested,
    LeaveRequested,
    MembershipEvent,
)
from cleatyoke.membership.members import Membership
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import LeaseGrant, LeaseRequest, MemberId, MemberState, Update
from cleatyoke.scheduling.events import (
    Endpoint,
    EndpointState,
    EndpointUpdate,
    QuotaLeaseChanged,
    RequestArrived,
    SchedulerEvent,
    SlowStartLeaseChanged,
    UpdateKind,
)
from cleatyoke.scheduling.settings import SafetyLimits, SchedulerSettings, VolumePlan

Plain = tuple[Any, ...]

STATES = {
    "alive": MemberState.ALIVE,
    "suspect": MemberState.SUSPECT,
    "dead": MemberState.DEAD,
    "left": MemberState.LEFT,
}
CHANGES = {
    ChangeKind.JOINED: "joined",
    ChangeKind.SUSPECTED: "suspected",
    ChangeKind.DEAD: "died",
    ChangeKind.RETURNED: "returned",
    ChangeKind.LEFT: "left",
    ChangeKind.PAUSED: "away",
    ChangeKind.BOOT_NUMBER_RAISED: "renamed",
}
STAGES = {
    "disk": StartStage.DISK,
    "peers": StartStage.PEERS,
    "list": StartStage.ENDPOINT_LIST,
    "lent": StartStage.OLD_LEASES,
    "open": StartStage.OPEN,
}
STAGE_WORDS = {stage: word for word, stage in STAGES.items()}
LISTS = {
    "changes": UpdateKind.DELTA,
    "full": UpdateKind.SNAPSHOT,
    "old copy": UpdateKind.CACHED,
    "lost": UpdateKind.UNAVAILABLE,
}
NODE_STATES = {
    "live": EndpointState.LIVE,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}


def life_id(word: str) -> MemberId:
    """A life from ``name/boot``."""
    name, _, boot = word.rpartition("/")
    return MemberId(name=name, boot=int(boot))


def life_word(life: MemberId) -> str:
    """A life as ``name/boot``."""
    return f"{life.name}/{life.boot}"


def lease_message(plain: Plain) -> LeaseRequest | LeaseGrant:
    """A message on leases from its plain form."""
    if plain[0] == "want":
        return LeaseRequest(resource=plain[1], number=plain[2], parts=plain[3])
    return LeaseGrant(resource=plain[1], number=plain[2], parts=plain[3], surplus=plain[4])


def lease_plain(message: LeaseRequest | LeaseGrant) -> Plain:
    """A message on leases in plain form."""
    if isinstance(message, LeaseRequest):
        return "want", message.resource, message.number, message.parts
    return "grant", message.resource, message.number, message.parts, message.surplus


# Membership


def member_event(plain: Plain) -> MembershipEvent:
    """An event of the membership from its plain form."""
    match plain:
        case ("heard", data):
            return DatagramReceived(data=data)
        case ("asked", token, data):
            return ExchangeRequested(token=token, data=data)
        case ("answered", address, data):
            return ExchangeAnswered(address=address, data=data)
        case ("leave",):
            return LeaveRequested()
        case ("remembered", boot):
            return BootNumberRecovered(boot=boot)
    raise ValueError(plain)


def member_action(action: MembershipAction) -> Plain:
    """An action of the membership in plain form; messages stay bytes."""
    if isinstance(action, SendDatagram):
        return "send", action.address, action.data
    if isinstance(action, StartExchange):
        return "exchange", action.address, action.data
    if isinstance(action, ReplyExchange):
        return "reply", action.token, action.data
    if isinstance(action, MembershipChanged):
        return "change", CHANGES[action.change], life_word(action.id), action.suspected_by
    assert isinstance(action, DeliverLeaseMessage)
    return "deliver", life_word(action.sender), lease_plain(action.message)


def conclusion_plain(conclusion: Conclusion) -> Plain:
    """Who is certainly up, perhaps up and certainly stopped, and the count."""
    return (
        sorted(map(life_word, conclusion.certainly_up)),
        sorted(map(life_word, conclusion.perhaps_up)),
        sorted(map(life_word, conclusion.certainly_stopped)),
        conclusion.front_count,
        100.0 / conclusion.front_count,
    )


def conclude_from(me: Plain, known: Iterable[tuple[Plain, float]], hosts: int, now: float) -> Plain:
    """A conclusion from plain rumours: life, address, state, count, alone; and when each was heard."""

    def rumour(plain: Plain) -> Update:
        life, address, state, count, alone = plain
        return Update(
            id=life_id(life), address=address, state=STATES[state], incarnation=count, owns_address=alone
        )

    lives = [ObservedMember(update=rumour(one), last_heard=heard) for one, heard in known]
    return conclusion_plain(conclude(rumour(me), lives, hosts, now))


class Member:
    """One member of the fleet."""

    def __init__(
        self,
        name: str,
        boot: int,
        address: str,
        seeds: list[str],
        seed: str,
        alone: bool,
        timing: Mapping[str, float] | None = None,
    ) -> None:
        self.inner = Membership(
            deployment="test",
            name=name,
            boot=boot,
            address=address,
            seeds=seeds,
            rng=random.Random(seed),
            timing=timing_of(timing) if timing else None,
            owns_address=alone,
        )

    def step(self, now: float, events: Iterable[Plain]) -> list[Plain]:
        """Run one step."""
        return [member_action(one) for one in self.inner.step(now, [member_event(one) for one in events])]

    def post(self, receiver: str, message: Plain) -> list[Plain]:
        """Send a message on leases to a life."""
        return [
            member_action(one)
            for one in self.inner.send_lease_message(life_id(receiver), lease_message(message))
        ]

    def move(self, address: str, alone: bool) -> None:
        """This member is reached elsewhere from now on."""
        self.inner.change_address(address, owns_address=alone)

    def set_settings(self, number: int) -> None:
        """This member goes by other settings."""
        self.inner.announce_settings(number)

    def share(self, shared: SharedHolds) -> None:
        """Take this copy along with each exchange of views."""
        self.inner.store = shared.inner

    def changed_here(self) -> None:
        """The copy was changed here."""
        self.inner.push_local_change()

    def next_at(self) -> float:
        """When the next step is due."""
        return self.inner.next_step_at()

    def has_left(self) -> bool:
        """Whether it has left, and said so."""
        return self.inner.has_left

    def life(self) -> str:
        """Its own life."""
        return life_word(self.inner.id)

    def other_settings(self) -> list[str]:
        """Members that go by other settings."""
        return self.inner.fronts_with_other_settings()

    def same_view(self, other: Member) -> bool:
        """Whether both believe the same; the number itself is not recorded."""
        return self.inner.operator_view_checksum() == other.inner.operator_view_checksum()

    def conclusion(self, hosts: int, now: float) -> Plain:
        """What may be concluded from its view."""
        known = [ObservedMember(record.update, record.last_heard) for record in self.inner.records.values()]
        return conclusion_plain(conclude(self.inner.own_update(), known, hosts, now))

    def counted(self) -> Plain:
        """What it has counted."""
        figures = self.inner.counters
        return (
            ("datagrams", figures.datagrams_out, figures.datagrams_in),
            ("suspicions", figures.suspicions),
            ("deaths", figures.deaths),
            ("refutations", figures.refutations),
            ("false deaths", figures.false_deaths),
            ("refused", sorted(figures.rejected.items())),
            ("health", self.inner.health_score),
        )


def timing_of(plain: Mapping[str, float]) -> MembershipTiming:
    """Times of the membership that differ from the usual ones."""
    usual = MembershipTiming()
    return MembershipTiming(
        probe_interval=plain.get("period", usual.probe_interval),
        ack_timeout=plain.get("answer", usual.ack_timeout),
        indirect_probes=int(plain.get("helpers", usual.indirect_probes)),
        gossip_interval=plain.get("gossip", usual.gossip_interval),
        gossip_fanout=int(plain.get("fanout", usual.gossip_fanout)),
        exchange_interval=plain.get("sync", usual.exchange_interval),
    )


# Leases


def lease_event(plain: Plain) -> LeaseEvent:
    """An event of the leases from its plain form."""
    match plain:
        case ("came", sender, message):
            return LeaseMessageReceived(sender=life_id(sender), message=lease_message(message))
        case ("need", parts):
            return DemandChanged(demand=dict(parts))
        case ("peers", ids):
            return PeersChanged(peers=tuple(map(life_id, ids)))
        case ("part", part):
            return QuotaFractionChanged(fraction=part)
    raise ValueError(plain)


class Leases:
    """One life's quota leases."""

    def __init__(self, began: float, seed: str) -> None:
        self.inner = QuotaLeases(began=began, rng=random.Random(seed))

    def step(self, now: float, events: Iterable[Plain]) -> list[Plain]:
        """Run one step: the messages to send, each with its receiver."""
        posts = self.inner.step(now, [lease_event(one) for one in events])
        return [(life_word(post.receiver), lease_plain(post.message)) for post in posts]

    def usable(self, resource: str, now: float) -> int:
        """Parts that may be used now."""
        return self.inner.usable_parts(resource, now)

    def next_change(self, now: float) -> float:
        """When that changes next by time alone."""
        unused = ResourceAccount("", self.inner.home_available_at)
        return min(account.next_expiry(now) for account in (unused, *self.inner.accounts.values()))

    def refused(self) -> int:
        """Messages on more resources than are kept account of."""
        return self.inner.refused_resources


class Demand:
    """What is asked for, by key."""

    def __init__(self) -> None:
        self.inner: DemandMeters[str] = DemandMeters()

    def note(self, now: float, key: str, units: float, home: float) -> None:
        """Something was asked for."""
        self.inner.record(now, key, units, home)

    def needs(self, now: float) -> dict[str, float]:
        """Needs by key."""
        return self.inner.demand(now)


def arrival(cell: int, units: float, plan: int = 0, volume: int = 0, hosts: int = 1) -> RequestArrived:
    """A request that came."""
    return RequestArrived(
        request_id="r",
        class_index=0,
        plan_index=plan,
        volume_id=volume,
        item=None,
        shard=cell,
        units=units,
        deadline=0.0,
        front_count=hosts,
    )


def plan(limit: float) -> VolumePlan:
    """A plan with this limit."""
    return VolumePlan(
        priority_weight=1.0,
        base_rate=1.0,
        reserved_rate=0.0,
        fair_share_weight=1.0,
        rate_limit=limit,
        rate_limit_burst=1.0,
    )


def lent(event: SchedulerEvent) -> Plain:
    """What the policy hears of lent parts."""
    if isinstance(event, QuotaLeaseChanged):
        return "volume", event.volume_id, event.multiplier
    assert isinstance(event, SlowStartLeaseChanged)
    return "node", event.node_id, event.multiplier


class VolumeLimits:
    """Limits of volumes by leases. ``limits``: units a second by plan."""

    def __init__(self, leases: Leases, limits: list[float]) -> None:
        self.limits = limits
        self.inner = RateLimitLeases(
            leases=leases.inner, plans=lambda: [plan(limit) for limit in self.limits]
        )

    def heard(self, now: float, arrivals: Iterable[tuple[int, int, float, int]]) -> None:
        """Requests that came: plan, volume, units, hosts."""
        events: list[SchedulerEvent] = [
            arrival(0, units, plan=index, volume=volume, hosts=hosts)
            for index, volume, units, hosts in arrivals
        ]
        self.inner.observe(now, events)

    def needs(self, now: float) -> dict[str, float]:
        """Needs by resource."""
        return self.inner.demand(now)

    def changes(self, now: float) -> list[Plain]:
        """What the policy hears, in order of the volumes."""
        return sorted(lent(one) for one in self.inner.quota_changes(now))


class ColdNodes:
    """Parts of cold nodes by leases. ``names``: by node, None where it is not listed."""

    def __init__(
        self, leases: Leases, names: dict[int, str], hosts: int, cold_units: float, ramp: float, after: float
    ) -> None:
        safety = SafetyLimits(
            slow_start_initial_fraction=0.0,
            slow_start_duration=ramp,
            overload_multiple=1.0,
            overload_after=after,
            poll_interval=None,
            ordering_pause=0.0,
            retry_budget_minimum=None,
            retry_budget_ratio=None,
            retry_budget_window=None,
        )
        settings = SchedulerSettings(
            classes=[],
            plans=[],
            safety=safety,
            seed=0,
            front_count=hosts,
            watches_endpoints=False,
            max_attempts=1,
            can_cancel=False,
            slow_start_units=cold_units,
            max_request_units=1.0,
            mean_request_units=1.0,
            unreserved_value=1.0,
        )
        self.inner = SlowStartLeases(leases=leases.inner, settings=lambda: settings, node_name=names.get)

    def listed(
        self, now: float, unix: float, kind: str, nodes: Iterable[tuple[int, int, str, float]]
    ) -> None:
        """News of nodes: each with its cell, state and start."""
        entries = [
            Endpoint(node_id=node, shard=cell, zone=0, state=NODE_STATES[state], started_at=since)
            for node, cell, state, since in nodes
        ]
        self.inner.observe(now, unix, [EndpointUpdate(kind=LISTS[kind], endpoints=entries)])

    def heard(self, now: float, unix: float, arrivals: Iterable[tuple[int, float]]) -> None:
        """Requests that came: cell, units."""
        self.inner.observe(now, unix, [arrival(cell, units) for cell, units in arrivals])

    def needs(self, now: float) -> dict[str, float]:
        """Needs by resource."""
        return self.inner.demand(now)

    def changes(self, now: float) -> list[Plain]:
        """What the policy hears, in order of the nodes."""
        return sorted(lent(one) for one in self.inner.quota_changes(now))


# Shared holds


class HoldSet:
    """A copy of the holds alone."""

    def __init__(self, inner: replicas.HoldSet | None = None) -> None:
        self.inner = inner if inner is not None else replicas.HoldSet()

    def hold(self, life: str, box: str) -> HoldSet:
        """With this one held."""
        return HoldSet(self.inner.hold(life_id(life), box))

    def release(self, box: str) -> HoldSet:
        """With this one released."""
        return HoldSet(self.inner.release(box))

    def merge(self, other: HoldSet) -> HoldSet:
        """Both in one."""
        return HoldSet(replicas.merge("holds", self.inner, other.inner))

    def includes(self, other: HoldSet) -> bool:
        """Whether all that the other knows is known here."""
        return self.inner.includes(other.inner)

    def forget_actors(self, stopped: Iterable[str], everywhere: Iterable[HoldSet]) -> HoldSet:
        """Without the numbers of lives that are over."""
        return HoldSet(
            self.inner.forget_actors([life_id(one) for one in stopped], [copy.inner for copy in everywhere])
        )

    def state(self) -> Plain:
        """What is known, and what is held."""
        clock = sorted((life_word(life), number) for life, number in self.inner.clock.items())
        held = sorted(
            (box, sorted((life_word(life), number) for life, number in dots))
            for box, dots in self.inner.dots_by_node.items()
        )
        return clock, held, sorted(self.inner.held_nodes())


class Sayings:
    """A copy of the newest words by origin."""

    def __init__(self, inner: replicas.LatestValues | None = None) -> None:
        self.inner = inner if inner is not None else replicas.LatestValues()

    def say(self, life: str, value: str, at: float) -> Sayings:
        """With a new word of this origin."""
        return Sayings(self.inner.assign(life_id(life), value, at))

    def merge(self, other: Sayings) -> Sayings:
        """Both in one."""
        return Sayings(replicas.merge("latest", self.inner, other.inner))

    def state(self) -> Plain:
        """The words by origin."""
        return tuple(
            sorted(
                (life_word(life), word.number, word.value, word.at)
                for life, word in self.inner.values.items()
            )
        )


class Heights:
    """A copy of the greatest number by key."""

    def __init__(self, inner: replicas.MaximumValues | None = None) -> None:
        self.inner = inner if inner is not None else replicas.MaximumValues()

    def raised(self, key: str, number: int) -> Heights:
        """With this number told."""
        return Heights(self.inner.raise_to(key, number))

    def merge(self, other: Heights) -> Heights:
        """Both in one."""
        return Heights(replicas.merge("highest", self.inner, other.inner))

    def state(self) -> Plain:
        """The numbers by key."""
        return tuple(sorted(self.inner.values.items()))


def decoded(kind: str, data: bytes) -> Plain:
    """The state in an encoded copy, or why it is refused."""
    try:
        copy = replicas.decode(kind, data)
    except ValueError as error:
        return "refused", str(error)
    if kind == "holds":
        return HoldSet(copy).state()
    return Sayings(copy).state() if kind == "latest" else Heights(copy).state()


class SharedHolds:
    """The holds that one front keeps and shares. ``heard`` gets what others hold and release."""

    def __init__(self, life: Callable[[], str], heard: Callable[[list[str], list[str]], None]) -> None:
        self.inner = HoldReplication(
            self_id=lambda: life_id(life()),
            on_change=lambda held, released: heard(sorted(held), sorted(released)),
        )

    def hold(self, box: str) -> None:
        """Hold one here."""
        self.inner.hold(box)

    def release(self, box: str) -> None:
        """Release one here."""
        self.inner.release(box)

    def digest(self) -> int:
        """The sum that goes along with each probe."""
        return self.inner.digest()

    def dump(self) -> bytes:
        """The encoded copy; the order in it varies."""
        return self.inner.dump()

    def load(self, sender: str, data: bytes) -> Plain:
        """Merge a copy: whether it brought news, or why it was refused."""
        try:
            return "news", self.inner.load(life_id(sender), data)
        except ValueError as error:
            return "refused", str(error)

    def restore(self, data: bytes, held: Iterable[str]) -> None:
        """Begin with what the life before kept."""
        self.inner.restore(data, frozenset(held))

    def lacks(self, life: str) -> bool:
        """Whether this life is not known to have all of it."""
        return self.inner.is_behind(life_id(life))

    def merged(self) -> int:
        """Copies that differed."""
        return self.inner.merges

    def state(self) -> Plain:
        """What is known, and what is held."""
        return HoldSet(self.inner.holds).state()


# The start after a power loss


class Start:
    """One start, by its stages."""

    def __init__(self, began: float, lent_until: float) -> None:
        self.inner = StagedStart(began=began, old_leases_end=lent_until)

    def step(self, now: float, evidence: Iterable[tuple[str, str]]) -> list[Plain]:
        """Run one step: the stages passed, by what, after how long."""
        events = [Evidence(stage=STAGES[stage], description=what) for stage, what in evidence]
        return [self.passed(one) for one in self.inner.step(now, events)]

    @staticmethod
    def passed(one: StagePassed) -> Plain:
        """A stage that was passed."""
        return STAGE_WORDS[one.stage], one.passed_by, one.waited_seconds

    def state(self) -> Plain:
        """The stage, whether requests are taken, and when the stage ends by itself."""
        return (
            STAGE_WORDS[self.inner.stage],
            self.inner.stage in (StartStage.OLD_LEASES, StartStage.OPEN),
            self.inner.stage_ends_at(),
        )

    def lines(self, now: float) -> list[str]:
        """The lines for operators."""
        return self.inner.status_lines(now)
