"""The only module of the fleet recording that uses the project: converts recorded values to its types.

After a rename in the project only this module changes; the words in the recorded data stay.
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
STAGE_NAMES = {stage: word for word, stage in STAGES.items()}
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


def parse_member_id(word: str) -> MemberId:
    """Parse a member id from ``name/boot``."""
    name, _, boot = word.rpartition("/")
    return MemberId(name=name, boot=int(boot))


def format_member_id(member: MemberId) -> str:
    """Return a member id as ``name/boot``."""
    return f"{member.name}/{member.boot}"


def build_lease_message(neutral: Plain) -> LeaseRequest | LeaseGrant:
    """Build a lease message from its recorded form."""
    if neutral[0] == "want":
        return LeaseRequest(resource=neutral[1], number=neutral[2], parts=neutral[3])
    return LeaseGrant(resource=neutral[1], number=neutral[2], parts=neutral[3], surplus=neutral[4])


def plain_lease_message(message: LeaseRequest | LeaseGrant) -> Plain:
    """Return a lease message in recorded form."""
    if isinstance(message, LeaseRequest):
        return "want", message.resource, message.number, message.parts
    return "grant", message.resource, message.number, message.parts, message.surplus


# Membership


def build_member_event(neutral: Plain) -> MembershipEvent:
    """Build a membership event from its recorded form."""
    match neutral:
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
    raise ValueError(neutral)


def plain_member_action(action: MembershipAction) -> Plain:
    """Return a membership action in recorded form; messages remain bytes."""
    if isinstance(action, SendDatagram):
        return "send", action.address, action.data
    if isinstance(action, StartExchange):
        return "exchange", action.address, action.data
    if isinstance(action, ReplyExchange):
        return "reply", action.token, action.data
    if isinstance(action, MembershipChanged):
        return "change", CHANGES[action.change], format_member_id(action.id), action.suspected_by
    assert isinstance(action, DeliverLeaseMessage)
    return "deliver", format_member_id(action.sender), plain_lease_message(action.message)


def plain_conclusion(conclusion: Conclusion) -> Plain:
    """Return who is certainly up, perhaps up and certainly stopped; the front count; 100 over the count."""
    return (
        sorted(map(format_member_id, conclusion.certainly_up)),
        sorted(map(format_member_id, conclusion.perhaps_up)),
        sorted(map(format_member_id, conclusion.certainly_stopped)),
        conclusion.front_count,
        100.0 / conclusion.front_count,
    )


def conclude_from(me: Plain, known: Iterable[tuple[Plain, float]], hosts: int, now: float) -> Plain:
    """Return the conclusion from updates, each with its reception time.

    An update is (id, address, state, incarnation, whether it owns its address).
    """

    def build_update(neutral: Plain) -> Update:
        member, address, state, count, alone = neutral
        return Update(
            id=parse_member_id(member),
            address=address,
            state=STATES[state],
            incarnation=count,
            owns_address=alone,
        )

    observed = [ObservedMember(update=build_update(one), last_heard=at) for one, at in known]
    return plain_conclusion(conclude(build_update(me), observed, hosts, now))


class Member:
    """One member of the fleet, driven with recorded values."""

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
            timing=build_timing(timing) if timing else None,
            owns_address=alone,
        )

    def step(self, now: float, events: Iterable[Plain]) -> list[Plain]:
        """Run one step and return its actions."""
        return [
            plain_member_action(one)
            for one in self.inner.step(now, [build_member_event(one) for one in events])
        ]

    def post(self, receiver: str, message: Plain) -> list[Plain]:
        """Send a lease message to a member."""
        return [
            plain_member_action(one)
            for one in self.inner.send_lease_message(parse_member_id(receiver), build_lease_message(message))
        ]

    def move(self, address: str, alone: bool) -> None:
        """Change the address of this member."""
        self.inner.change_address(address, owns_address=alone)

    def set_settings(self, number: int) -> None:
        """Announce the checksum of this member's settings."""
        self.inner.announce_settings(number)

    def share(self, shared: SharedHolds) -> None:
        """Include these holds in each exchange of views."""
        self.inner.store = shared.inner

    def changed_here(self) -> None:
        """Report a local change of the shared holds."""
        self.inner.push_local_change()

    def next_at(self) -> float:
        """Return when the next step is due."""
        return self.inner.next_step_at()

    def has_left(self) -> bool:
        """Whether the member has left the fleet."""
        return self.inner.has_left

    def life(self) -> str:
        """Return the member's own id."""
        return format_member_id(self.inner.id)

    def other_settings(self) -> list[str]:
        """Return the members with other settings."""
        return self.inner.fronts_with_other_settings()

    def same_view(self, other: Member) -> bool:
        """Whether both members have the same view; the checksum itself is not recorded."""
        return self.inner.operator_view_checksum() == other.inner.operator_view_checksum()

    def conclusion(self, hosts: int, now: float) -> Plain:
        """Return the conclusion from the member's view."""
        known = [ObservedMember(record.update, record.last_heard) for record in self.inner.records.values()]
        return plain_conclusion(conclude(self.inner.own_update(), known, hosts, now))

    def counted(self) -> Plain:
        """Return the counters."""
        counters = self.inner.counters
        return (
            ("datagrams", counters.datagrams_out, counters.datagrams_in),
            ("suspicions", counters.suspicions),
            ("deaths", counters.deaths),
            ("refutations", counters.refutations),
            ("false deaths", counters.false_deaths),
            ("refused", sorted(counters.rejected.items())),
            ("health", self.inner.health_score),
        )


def build_timing(neutral: Mapping[str, float]) -> MembershipTiming:
    """Build the membership's timing, with defaults for absent values."""
    defaults = MembershipTiming()
    return MembershipTiming(
        probe_interval=neutral.get("period", defaults.probe_interval),
        ack_timeout=neutral.get("answer", defaults.ack_timeout),
        indirect_probes=int(neutral.get("helpers", defaults.indirect_probes)),
        gossip_interval=neutral.get("gossip", defaults.gossip_interval),
        gossip_fanout=int(neutral.get("fanout", defaults.gossip_fanout)),
        exchange_interval=neutral.get("sync", defaults.exchange_interval),
    )


# Leases


def build_lease_event(neutral: Plain) -> LeaseEvent:
    """Build a lease event from its recorded form."""
    match neutral:
        case ("came", sender, message):
            return LeaseMessageReceived(sender=parse_member_id(sender), message=build_lease_message(message))
        case ("need", parts):
            return DemandChanged(demand=dict(parts))
        case ("peers", ids):
            return PeersChanged(peers=tuple(map(parse_member_id, ids)))
        case ("part", part):
            return QuotaFractionChanged(fraction=part)
    raise ValueError(neutral)


class Leases:
    """The quota leases of one member."""

    def __init__(self, began: float, seed: str) -> None:
        self.inner = QuotaLeases(began=began, rng=random.Random(seed))

    def step(self, now: float, events: Iterable[Plain]) -> list[Plain]:
        """Run one step; return the messages to send, each with its receiver."""
        messages = self.inner.step(now, [build_lease_event(one) for one in events])
        return [(format_member_id(one.receiver), plain_lease_message(one.message)) for one in messages]

    def usable(self, resource: str, now: float) -> int:
        """Return the number of parts that may be used now."""
        return self.inner.usable_parts(resource, now)

    def next_change(self, now: float) -> float:
        """Return when the usable parts next change by the passing of time."""
        unused = ResourceAccount("", self.inner.home_available_at)
        return min(account.next_expiry(now) for account in (unused, *self.inner.accounts.values()))

    def refused(self) -> int:
        """Return the number of messages rejected because the number of accounts was at its limit."""
        return self.inner.refused_resources


class Demand:
    """Demand meters by key."""

    def __init__(self) -> None:
        self.inner: DemandMeters[str] = DemandMeters()

    def note(self, now: float, key: str, units: float, home: float) -> None:
        """Record demand for a key."""
        self.inner.record(now, key, units, home)

    def needs(self, now: float) -> dict[str, float]:
        """Return the demand by key."""
        return self.inner.demand(now)


def build_arrival(shard: int, units: float, plan: int = 0, volume: int = 0, hosts: int = 1) -> RequestArrived:
    """Build the arrival of a request."""
    return RequestArrived(
        request_id="r",
        class_index=0,
        plan_index=plan,
        volume_id=volume,
        item=None,
        shard=shard,
        units=units,
        deadline=0.0,
        front_count=hosts,
    )


def build_plan(limit: float) -> VolumePlan:
    """Build a plan with this rate limit."""
    return VolumePlan(
        priority_weight=1.0,
        base_rate=1.0,
        reserved_rate=0.0,
        fair_share_weight=1.0,
        rate_limit=limit,
        rate_limit_burst=1.0,
    )


def plain_lease_change(event: SchedulerEvent) -> Plain:
    """Return a lease change event for the scheduler in recorded form."""
    if isinstance(event, QuotaLeaseChanged):
        return "volume", event.volume_id, event.multiplier
    assert isinstance(event, SlowStartLeaseChanged)
    return "node", event.node_id, event.multiplier


class VolumeRateLimits:
    """Rate limits of volumes by leases. ``limits``: units per second by plan."""

    def __init__(self, leases: Leases, limits: list[float]) -> None:
        self.limits = limits
        self.inner = RateLimitLeases(
            leases=leases.inner, plans=lambda: [build_plan(limit) for limit in self.limits]
        )

    def heard(self, now: float, arrivals: Iterable[tuple[int, int, float, int]]) -> None:
        """Observe arrivals: plan, volume, units, front count."""
        events: list[SchedulerEvent] = [
            build_arrival(0, units, plan=index, volume=volume, hosts=hosts)
            for index, volume, units, hosts in arrivals
        ]
        self.inner.observe(now, events)

    def needs(self, now: float) -> dict[str, float]:
        """Return the demand by resource."""
        return self.inner.demand(now)

    def changes(self, now: float) -> list[Plain]:
        """Return the events for the scheduler, in order of the volumes."""
        return sorted(plain_lease_change(one) for one in self.inner.quota_changes(now))


class SlowStartNodes:
    """Slow-start shares of nodes by leases. ``names``: by node; None for a node that is not listed."""

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
        """Observe an update of nodes, each with its shard, state and start time."""
        entries = [
            Endpoint(node_id=node, shard=shard, zone=0, state=NODE_STATES[state], started_at=since)
            for node, shard, state, since in nodes
        ]
        self.inner.observe(now, unix, [EndpointUpdate(kind=LISTS[kind], endpoints=entries)])

    def heard(self, now: float, unix: float, arrivals: Iterable[tuple[int, float]]) -> None:
        """Observe arrivals: shard, units."""
        self.inner.observe(now, unix, [build_arrival(shard, units) for shard, units in arrivals])

    def needs(self, now: float) -> dict[str, float]:
        """Return the demand by resource."""
        return self.inner.demand(now)

    def changes(self, now: float) -> list[Plain]:
        """Return the events for the scheduler, in order of the nodes."""
        return sorted(plain_lease_change(one) for one in self.inner.quota_changes(now))


# Shared holds


class HoldSet:
    """A replicated set of holds."""

    def __init__(self, inner: replicas.HoldSet | None = None) -> None:
        self.inner = inner if inner is not None else replicas.HoldSet()

    def hold(self, member: str, node: str) -> HoldSet:
        """Return a copy in which the node is held."""
        return HoldSet(self.inner.hold(parse_member_id(member), node))

    def release(self, node: str) -> HoldSet:
        """Return a copy in which the node is released."""
        return HoldSet(self.inner.release(node))

    def merge(self, other: HoldSet) -> HoldSet:
        """Return the merge of both."""
        return HoldSet(replicas.merge("holds", self.inner, other.inner))

    def includes(self, other: HoldSet) -> bool:
        """Whether this set includes all that the other set knows."""
        return self.inner.includes(other.inner)

    def forget_actors(self, stopped: Iterable[str], everywhere: Iterable[HoldSet]) -> HoldSet:
        """Return a copy without the clock entries of stopped members."""
        return HoldSet(
            self.inner.forget_actors(
                [parse_member_id(one) for one in stopped], [copy.inner for copy in everywhere]
            )
        )

    def state(self) -> Plain:
        """Return the clock, the dots by node and the held nodes."""
        clock = sorted((format_member_id(member), number) for member, number in self.inner.clock.items())
        held = sorted(
            (node, sorted((format_member_id(member), number) for member, number in dots))
            for node, dots in self.inner.dots_by_node.items()
        )
        return clock, held, sorted(self.inner.held_nodes())


class LatestValueSet:
    """The replicated latest value of each member."""

    def __init__(self, inner: replicas.LatestValues | None = None) -> None:
        self.inner = inner if inner is not None else replicas.LatestValues()

    def say(self, member: str, value: str, at: float) -> LatestValueSet:
        """Return a copy with a new value of this member."""
        return LatestValueSet(self.inner.assign(parse_member_id(member), value, at))

    def merge(self, other: LatestValueSet) -> LatestValueSet:
        """Return the merge of both."""
        return LatestValueSet(replicas.merge("latest", self.inner, other.inner))

    def state(self) -> Plain:
        """Return the values by member."""
        return tuple(
            sorted(
                (format_member_id(member), latest.number, latest.value, latest.at)
                for member, latest in self.inner.values.items()
            )
        )


class MaximumValueSet:
    """The replicated maximum of each key."""

    def __init__(self, inner: replicas.MaximumValues | None = None) -> None:
        self.inner = inner if inner is not None else replicas.MaximumValues()

    def raised(self, key: str, number: int) -> MaximumValueSet:
        """Return a copy in which the key's value is at least this number."""
        return MaximumValueSet(self.inner.raise_to(key, number))

    def merge(self, other: MaximumValueSet) -> MaximumValueSet:
        """Return the merge of both."""
        return MaximumValueSet(replicas.merge("highest", self.inner, other.inner))

    def state(self) -> Plain:
        """Return the maxima by key."""
        return tuple(sorted(self.inner.values.items()))


def decoded(kind: str, data: bytes) -> Plain:
    """Return the state of an encoded replica, or the reason for its rejection."""
    try:
        copy = replicas.decode(kind, data)
    except ValueError as error:
        return "refused", str(error)
    if kind == "holds":
        return HoldSet(copy).state()
    return LatestValueSet(copy).state() if kind == "latest" else MaximumValueSet(copy).state()


class SharedHolds:
    """The replicated holds of one front. ``on_change`` gets the nodes that others hold and release."""

    def __init__(self, member: Callable[[], str], on_change: Callable[[list[str], list[str]], None]) -> None:
        self.inner = HoldReplication(
            self_id=lambda: parse_member_id(member()),
            on_change=lambda held, released: on_change(sorted(held), sorted(released)),
        )

    def hold(self, node: str) -> None:
        """Hold a node locally."""
        self.inner.hold(node)

    def release(self, node: str) -> None:
        """Release a node locally."""
        self.inner.release(node)

    def digest(self) -> int:
        """Return the checksum that each probe carries."""
        return self.inner.digest()

    def dump(self) -> bytes:
        """Return the encoded replica, whose order of elements varies."""
        return self.inner.dump()

    def load(self, sender: str, data: bytes) -> Plain:
        """Merge a replica; return whether it changed anything, or the reason for its rejection."""
        try:
            return "news", self.inner.load(parse_member_id(sender), data)
        except ValueError as error:
            return "refused", str(error)

    def restore(self, data: bytes, held: Iterable[str]) -> None:
        """Restore the state saved by the previous incarnation."""
        self.inner.restore(data, frozenset(held))

    def lacks(self, member: str) -> bool:
        """Whether this member is not known to have all the holds."""
        return self.inner.is_behind(parse_member_id(member))

    def merged(self) -> int:
        """Return the number of merged replicas that differed."""
        return self.inner.merges

    def state(self) -> Plain:
        """Return the clock, the dots by node and the held nodes."""
        return HoldSet(self.inner.holds).state()


# Staged start after a power loss


class Start:
    """One staged start."""

    def __init__(self, began: float, lent_until: float) -> None:
        self.inner = StagedStart(began=began, old_leases_end=lent_until)

    def step(self, now: float, evidence: Iterable[tuple[str, str]]) -> list[Plain]:
        """Run one step; return the stages passed, by which evidence, after how long."""
        events = [Evidence(stage=STAGES[stage], description=what) for stage, what in evidence]
        return [self.passed(one) for one in self.inner.step(now, events)]

    @staticmethod
    def passed(one: StagePassed) -> Plain:
        """Return a passed stage in recorded form."""
        return STAGE_NAMES[one.stage], one.passed_by, one.waited_seconds

    def state(self) -> Plain:
        """Return the stage, whether requests are accepted, and when the stage times out."""
        return (
            STAGE_NAMES[self.inner.stage],
            self.inner.stage in (StartStage.OLD_LEASES, StartStage.OPEN),
            self.inner.stage_ends_at(),
        )

    def lines(self, now: float) -> list[str]:
        """Return the status lines for operators."""
        return self.inner.status_lines(now)
