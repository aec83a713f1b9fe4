"""The only access of the control recordings to the project's types: plain values in, neutral forms out."""

from __future__ import annotations

import hashlib
import json
import math
import random
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from cleatyoke.config.addresses import Address
from cleatyoke.config.reload import (
    IndexAllocator,
    first_missing_key,
    key_paths,
    merge_changes_data,
    merge_settings,
)
from cleatyoke.discovery.backoff import Backoff
from cleatyoke.discovery.directory import Directory, EndpointList, Instance
from cleatyoke.discovery.operator_holds import OperatorHolds
from cleatyoke.distribution import contents, folder
from cleatyoke.distribution.errors import InvalidChangeError
from cleatyoke.distribution.records import (
    FORMAT_VERSION,
    Entry,
    Lane,
    LaneChanges,
    Poll,
    Position,
    Rejection,
    Reply,
    Version,
    decode_poll,
    decode_reply,
    encode,
)
from cleatyoke.distribution.relay import (
    ChangeServer,
    Relay,
    Source,
)
from cleatyoke.distribution.status import SubscriptionStatus
from cleatyoke.distribution.store import LaneStore
from cleatyoke.distribution.subscriber import Subscriber
from cleatyoke.distribution.subscriber_messages import (
    DeliverChanges,
    LaneComplete,
    LaneRestarted,
    PollAnswered,
    RelayChanged,
    SendPoll,
    SubscriberTiming,
)
from cleatyoke.http.body_limits import BodyMemory, body_timeout
from cleatyoke.process.front_drain import FrontDrain
from cleatyoke.process.lifecycle import ExitStatus as ExitStatus
from cleatyoke.process.lifecycle import Lifecycle, ShutdownDeadlines, ShutdownStep, Stage
from cleatyoke.scheduling.events import Endpoint, EndpointState
from cleatyoke.scheduling.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    SafetyLimits,
    SchedulerSettings,
    VolumePlan,
)
from cleatyoke.transport.encoding import WireError
from cleatyoke.vrrp.messages import (
    Advertisement,
    AdvertisementError,
    decode_advertisement,
    encode_advertisement,
)
from cleatyoke.vrrp.virtual_router import RouterState, VirtualRouter

Neutral = Any  # None, bool, int, str, or a list of these
LANES = {"nodes": Lane.NODES, "settings": Lane.SETTINGS}
LANE_WORDS = {lane: word for word, lane in LANES.items()}
REFUSALS = {
    "": Rejection.NONE,
    "full": Rejection.FULL,
    "not ready": Rejection.NOT_READY,
    "older epoch": Rejection.OLDER_EPOCH,
    "behind": Rejection.BEHIND,
}
REFUSAL_WORDS = {refusal: word for word, refusal in REFUSALS.items()}


def shard_number(shard: int | None) -> int:
    """Return the recording's number of a shard, where -1 is none."""
    return -1 if shard is None else shard


def number(value: float) -> str:
    """A float at full precision."""
    return repr(float(value))


def digest(data: bytes) -> str:
    """Bytes as their sha256."""
    return hashlib.sha256(data).hexdigest()


def value_word(value: bytes | None) -> Neutral:
    """A value as hex where it is short, else as its digest."""
    if value is None:
        return None
    return value.hex() if len(value) <= 48 else f"{len(value)}:{digest(value)}"


def entry_word(entry: Entry) -> Neutral:
    """A key, its version and its value."""
    return [entry.key, entry.version.epoch, entry.version.number, value_word(entry.value)]


def fault_text(text: str) -> str:
    """An error's text without what Python's JSON reader says, as that differs between its versions."""
    head, mark, _ = text.partition("no JSON")
    return head + mark


def make_entry(key: str, epoch: int, count: int, value: bytes | None) -> Entry:
    """An entry of plain values."""
    return Entry(key=key, version=Version(epoch=epoch, number=count), value=value)


# Distribution


def reply_word(deployment: str, data: bytes) -> Neutral:
    """The fields of an encoded reply, or why it is refused."""
    try:
        reply = decode_reply(deployment, data)
    except WireError as refused:
        return ["refused", str(refused)]
    parts = [
        [
            part.since,
            part.up_to,
            part.compacted_up_to,
            [entry_word(entry) for entry in part.changes],
            part.restarts,
            part.page_after,
            part.page_to,
            [entry_word(entry) for entry in part.page],
        ]
        for part in reply.lanes
    ]
    head = [reply.poll_id, reply.source, reply.epoch, number(reply.age), REFUSAL_WORDS[reply.rejection]]
    return [*head, reply.has_more, parts]


def poll_word(deployment: str, data: bytes) -> Neutral:
    """The fields of an encoded poll, or why it is refused."""
    try:
        poll = decode_poll(deployment, data)
    except WireError as refused:
        return ["refused", str(refused)]
    positions = [[position.number, position.cursor] for position in poll.positions]
    return [poll.subscriber, poll.poll_id, poll.epoch, positions, poll.max_bytes, poll.wants_tombstones]


def poll_bytes(
    deployment: str,
    form: int,
    subscriber: str,
    count: int,
    epoch: int,
    positions: Sequence[tuple[int, str | None]],
    most: int,
    removals: bool,
) -> bytes:
    """An encoded poll."""
    poll = Poll(
        deployment=deployment,
        format_version=FORMAT_VERSION + form,
        subscriber=subscriber,
        poll_id=count,
        epoch=epoch,
        positions=[Position(number=known, cursor=after) for known, after in positions],
        max_bytes=most,
        wants_tombstones=removals,
    )
    return encode(poll)


def reply_bytes(
    deployment: str,
    form: int,
    count: int,
    source: str,
    epoch: int,
    age: float,
    refusal: str,
    parts: Sequence[Mapping[str, Any]],
    more: bool,
) -> bytes:
    """An encoded reply; ``form`` is added to the usual one."""
    made = [
        LaneChanges(
            since=part["first"],
            up_to=part["last"],
            compacted_up_to=part["floor"],
            changes=[make_entry(*one) for one in part["changes"]],
            restarts=part["restart"],
            page_after=part["page_after"],
            page_to=part["page_to"],
            page=[make_entry(*one) for one in part["page"]],
        )
        for part in parts
    ]
    reply = Reply(
        deployment=deployment,
        format_version=FORMAT_VERSION + form,
        poll_id=count,
        source=source,
        epoch=epoch,
        age=age,
        rejection=REFUSALS[refusal],
        lanes=made,
        has_more=more,
    )
    return encode(reply)


def action_word(action: Any) -> Neutral:
    """An output of a subscriber or relay."""
    match action:
        case SendPoll():
            return ["poll", action.relay, action.poll_id, action.data.hex()]
        case LaneRestarted():
            return ["anew", LANE_WORDS[action.lane], action.epoch]
        case DeliverChanges():
            return ["entries", LANE_WORDS[action.lane], [entry_word(entry) for entry in action.entries]]
        case LaneComplete():
            return ["whole", LANE_WORDS[action.lane], action.number, action.compacted_up_to]
        case RelayChanged():
            return ["other relay", action.relay, action.reason]
    raise TypeError(f"unknown output {action}")


def make_timing(values: Mapping[str, float]) -> SubscriberTiming:
    """Timing with the defaults for what is not given."""
    plain = SubscriberTiming()
    return SubscriberTiming(
        poll_interval=values.get("poll", plain.poll_interval),
        answer_timeout=values.get("answer", plain.answer_timeout),
        jitter=values.get("jitter", plain.jitter),
        bytes_per_second=values.get("rate", plain.bytes_per_second),
        burst_bytes=values.get("burst", plain.burst_bytes),
        own_region_interval=values.get("home", plain.own_region_interval),
        retry_spread=plain.retry_spread,
        avoid_duration=plain.avoid_duration,
        failover_spread=plain.failover_spread,
        max_failover_spread=plain.max_failover_spread,
        overhead_bytes=plain.overhead_bytes,
    )


class Sender:
    """Sends polls: a subscriber, or a relay by its own subscription."""

    def __init__(self, machine: Subscriber | Relay, subscriber: Subscriber) -> None:
        self.machine, self.subscriber = machine, subscriber

    def step(self, now: float, answers: Sequence[tuple[int, bytes | None]]) -> list[Neutral]:
        """One step; its outputs."""
        events = [PollAnswered(poll_id=count, data=data) for count, data in answers]
        return [action_word(action) for action in self.machine.step(now, events)]

    def due(self) -> float:
        """When the next step is due."""
        return self.machine.due()

    def summary(self, now: float) -> Neutral:
        """Age, counts and position."""
        known = self.subscriber
        lanes = [
            [lane.position.number, lane.position.cursor, lane.compacted_up_to]
            for lane in known.lanes.values()
        ]
        turned = [[why, count] for why, count in sorted(known.rejected.items())]
        return [
            number(known.age(now)),
            known.source_name,
            known.epoch,
            known.poll_count,
            known.bytes_exchanged,
            lanes,
            turned,
        ]


class PlainSubscriber(Sender):
    """A subscriber and the status that is shown of it."""

    def __init__(
        self,
        deployment: str,
        name: str,
        tiers: Sequence[Sequence[str]],
        seed: int,
        timing: Mapping[str, float],
        whole: bool = False,
    ) -> None:
        made = Subscriber(
            deployment=deployment,
            name=name,
            tiers=tiers,
            rng=random.Random(seed),
            timing=make_timing(timing),
            wants_tombstones=whole,
        )
        super().__init__(made, made)
        self.status = SubscriptionStatus(subscriber=made)

    def took(self, epoch: int, count: int, keys: Sequence[str]) -> None:
        """These keys are in force."""
        self.status.settings_applied(version=Version(epoch=epoch, number=count), keys=keys)

    def turned_down(self, key: str, epoch: int, count: int, why: str) -> None:
        """This change is not valid."""
        self.status.settings_rejected(key=key, version=Version(epoch=epoch, number=count), reason=why)

    def shown(self, now: float) -> Neutral:
        """The lines and figures that operators see, and whether the age crossed its bound."""
        old = self.status.check_staleness(now)
        figures = [[name, number(value)] for name, value in sorted(self.status.gauges(now).items())]
        return [old, self.status.lines(now), figures]


class Answering:
    """Answers polls: a source or a relay."""

    def __init__(self, server: ChangeServer) -> None:
        self.server = server

    def answer(self, now: float, data: bytes) -> bytes | None:
        """The reply's bytes."""
        return self.server.answer(now, data)

    def counts(self) -> Neutral:
        """Bytes sent and messages that were refused."""
        turned = [[why, count] for why, count in sorted(self.server.rejected.items())]
        return [self.server.bytes_out, turned]


class PlainSource(Answering):
    """A source."""

    def __init__(self, deployment: str, name: str, epoch: int, most: int | None) -> None:
        if most is None:
            self.source = Source(deployment=deployment, name=name, epoch=epoch)
        else:
            self.source = Source(deployment=deployment, name=name, epoch=epoch, max_subscribers=most)
        super().__init__(self.source)

    def put(self, now: float, lane: str, key: str, value: bytes | None) -> Neutral:
        """A change's version, or why it is not taken."""
        try:
            version = self.source.put(now, LANES[lane], key, value)
        except InvalidChangeError as error:
            return ["bad", str(error)]
        return [version.epoch, version.number]


class PlainRelay(Answering, Sender):
    """A relay."""

    def __init__(
        self, deployment: str, name: str, upstream: Sequence[Sequence[str]], seed: int, most: int | None
    ) -> None:
        rng = random.Random(seed)
        if most is None:
            made = Relay(deployment=deployment, name=name, upstream=upstream, rng=rng)
        else:
            made = Relay(deployment=deployment, name=name, upstream=upstream, rng=rng, max_subscribers=most)
        Answering.__init__(self, made)
        Sender.__init__(self, made, made.subscriber)
        self.relay = made

    def served(self, now: float) -> Neutral:
        """Age and content of the copy that is served."""
        store = self.relay.store
        if store is None:
            return [number(self.relay.age(now)), None]
        lanes = [
            [lane.last_number, lane.compacted_up_to, [entry_word(lane.entries[key]) for key in lane.keys]]
            for lane in store.lanes.values()
        ]
        return [number(self.relay.age(now)), store.epoch, lanes]


class PlainStore:
    """The entries of one lane."""

    def __init__(self) -> None:
        self.store = LaneStore()

    def put(self, now: float, key: str, epoch: int, count: int, value: bytes | None) -> bool:
        """Whether the entry was newer."""
        return self.store.put(now, make_entry(key, epoch, count, value))

    def load(
        self, now: float, entries: Sequence[tuple[str, int, int, bytes | None]], last: int, floor: int
    ) -> None:
        """Take a whole copy."""
        self.store.load(now, [make_entry(*one) for one in entries], last_number=last, compacted_up_to=floor)

    def changes(self, since: int, most: int) -> Neutral:
        """What is newer, and up to which number."""
        found, last = self.store.changes_since(since, most)
        return [[entry_word(one) for one in found], last]

    def page(self, after: str, most: int, removals: bool) -> Neutral:
        """A page of keys, and up to which key."""
        found, end = self.store.page_after(after, most, with_tombstones=removals)
        return [[entry_word(one) for one in found], end]

    def state(self) -> Neutral:
        """Bounds and size."""
        return [
            self.store.last_number,
            self.store.compacted_up_to,
            len(self.store.entries),
            len(self.store.keys),
        ]


def settings_word(
    base: dict[str, Any], batches: Sequence[Sequence[tuple[str, int, int, bytes | None]]]
) -> list[Neutral]:
    """For each batch of entries: the merged settings or their fault, the version, and the listed nodes."""
    held, out = contents.DistributedSettings(), []
    for batch in batches:
        made = [make_entry(*one) for one in batch]
        ours = contents.settings_entries(made)
        held = held.with_entries(ours)
        try:
            merged: Neutral = json.dumps(held.merged(base), sort_keys=True)
        except contents.InvalidValueError as error:
            merged = ["bad", fault_text(str(error))]
        nodes, bad = contents.listed_nodes(made)
        lanes = [LANE_WORDS[contents.lane_of(one.key)] for one in made]
        version = [held.version.epoch, held.version.number]
        out.append(
            [[one.key for one in ours], version, merged, json.dumps(nodes, sort_keys=True), bad, lanes]
        )
    return out


class PlainFolder:
    """A source's folder."""

    def __init__(self, path: Path) -> None:
        self.folder = folder.ConfigFolder(path)

    def look(self) -> Neutral:
        """Changes since the last look, and faults."""
        found = self.folder.scan()
        changes = [[key, value_word(value)] for key, value in sorted(found.changes.items())]
        return [changes, [fault_text(text) for text in found.rejected]]


def next_epoch(path: Path, unix: float) -> Neutral:
    """The next epoch of a file, or why it can't be used."""
    try:
        return folder.next_epoch(path, unix)
    except folder.EpochError as error:
        return ["bad", str(error).removeprefix(str(path))]


# VRRP

VRRP_STATES = {
    RouterState.INITIALIZE: "initialize",
    RouterState.BACKUP: "backup",
    RouterState.MASTER: "master",
}


def advertisement_bytes(router: int, priority: int, interval: float, addresses: Sequence[str]) -> bytes:
    """An encoded advertisement."""
    said = Advertisement(router=router, priority=priority, interval=interval, addresses=tuple(addresses))
    return encode_advertisement(said)


def advertisement_word(data: bytes) -> Neutral:
    """The fields of an advertisement, or why it is refused."""
    try:
        heard = decode_advertisement(data)
    except AdvertisementError as error:
        return ["bad", str(error)]
    return [heard.router, heard.priority, number(heard.interval), list(heard.addresses)]


class PlainRouter:
    """A virtual router's state machine."""

    def __init__(self, priority: int, interval: float, preempt: bool, address: str) -> None:
        self.router = VirtualRouter(priority=priority, interval=interval, preempt=preempt, address=address)

    def startup(self, now: float) -> list[int]:
        """Priorities to advertise."""
        return self.router.startup(now)

    def shutdown(self) -> list[int]:
        """Priorities to advertise."""
        return self.router.shutdown()

    def timer(self, now: float) -> list[int]:
        """Priorities to advertise."""
        return self.router.on_timer(now)

    def received(self, data: bytes, source: str, now: float) -> list[int]:
        """Priorities to advertise after a message."""
        try:
            heard = decode_advertisement(data)
        except AdvertisementError:
            return []
        return self.router.receive(heard, source, now)

    def due(self) -> float:
        """When the timer is due."""
        return math.inf if self.router.timer_at is None else self.router.timer_at

    def state(self) -> Neutral:
        """State, due time, and the intervals that follow from it."""
        router = self.router
        times = [self.due(), router.master_interval, router.skew_time, router.master_down_interval]
        return [VRRP_STATES[router.state], *(number(value) for value in times)]


# Lifecycle

STAGES = {
    Stage.STARTING: "starting",
    Stage.SERVING: "serving",
    Stage.ACCEPTING: "leaving, accepts",
    Stage.DRAINING: "leaving, answers",
    Stage.CLOSING: "closing",
    Stage.ENDED: "ended",
}
ORDERS = {
    ShutdownStep.CLOSE_FILE_SERVICE: "end file front",
    ShutdownStep.STOP_ACCEPTING: "end accepting",
    ShutdownStep.REPORT_UNANSWERED: "give up open ones",
    ShutdownStep.RELEASE_RESOURCES: "give back",
}
EXITS = {ExitStatus.STOPPED: 0, ExitStatus.FAULT: 1, ExitStatus.START_FAILED: 2}


def make_notice(seconds: float, aims: Sequence[float]) -> ShutdownDeadlines:
    """The times after SIGTERM."""
    return ShutdownDeadlines.from_grace_period(seconds, aims)


class PlainLife:
    """The life of the process."""

    def __init__(self, seconds: float, aims: Sequence[float]) -> None:
        self.life = Lifecycle(deadlines=make_notice(seconds, aims))

    def serves(self) -> None:
        """The start is over."""
        self.life.start_serving()

    def signal(self, now: float) -> bool:
        """SIGTERM came."""
        return self.life.request_shutdown(now)

    def retime(self, seconds: float, aims: Sequence[float]) -> None:
        """Settings changed."""
        self.life.set_deadlines(make_notice(seconds, aims))

    def step(self, now: float, connections: int, files: int) -> Neutral:
        """What is to be done."""
        return [
            ORDERS[order] for order in self.life.step(now, connections, file_service_is_closing=bool(files))
        ]

    def released(self) -> None:
        """Everything is given back."""
        self.life.finish()

    def next_at(self) -> float:
        """When a step is due."""
        return self.life.next_step_at()

    def state(self) -> Neutral:
        """Stage, exit status, and times."""
        life, notice = self.life, self.life.deadlines
        assert int(life.status.value) == EXITS[life.status]
        times = [
            life.next_step_at(),
            life.answers_due_at(),
            notice.file_service_closes,
            notice.accepting_ends,
            notice.answers_due,
        ]
        return [STAGES[life.stage], EXITS[life.status], *(number(value) for value in times)]


# Backoff


class PlainBackoff:
    """Waits before calls to a shared service."""

    def __init__(self, seed: int, hosts: float, each: float, most: int, least: float, period: float) -> None:
        rng = random.Random(seed)
        self.pace = Backoff(
            rng=rng,
            clients=hosts,
            seconds_per_call=each,
            max_growth=most,
            min_span=least,
            max_call_interval=period,
        )

    def failed(self, spent: float | None) -> str:
        """The wait after a failure."""
        return number(
            self.pace.delay_after_failure() if spent is None else self.pace.delay_after_failure(elapsed=spent)
        )

    def ended(self, within: float | None) -> str:
        """The wait after an answer that came ended."""
        return number(
            self.pace.delay_after_disconnect()
            if within is None
            else self.pace.delay_after_disconnect(max_delay=within)
        )


# Settings that change

REPEATS = {"free": Idempotency.IDEMPOTENT, "keyed": Idempotency.KEYED, "once": Idempotency.NOT_IDEMPOTENT}
REPEAT_WORDS = {repeat: word for word, repeat in REPEATS.items()}
SCOPES = {"all": IdempotencyScope.ALL, "zone": IdempotencyScope.ZONE, "cell": IdempotencyScope.SHARD}
SCOPE_WORDS = {scope: word for word, scope in SCOPES.items()}


def make_settings(plain: Mapping[str, Any]) -> SchedulerSettings:
    """Settings of plain values."""
    classes = [
        RequestClass(
            latency_objective=aim,
            priority_weight=weight,
            late_value=late,
            idempotency=REPEATS[repeat],
            idempotency_scope=SCOPES[scope],
            idempotency_window=memory,
            ordered=ordered,
        )
        for aim, weight, late, repeat, scope, memory, ordered in plain["classes"]
    ]
    plans = [
        VolumePlan(
            priority_weight=weight,
            base_rate=rate,
            reserved_rate=reserve,
            fair_share_weight=share,
            rate_limit=limit,
            rate_limit_burst=burst,
            rate_limit_slack=slack,
        )
        for weight, rate, reserve, share, limit, burst, slack in plain["plans"]
    ]
    safety = SafetyLimits(
        slow_start_initial_fraction=plain["cold_from"],
        slow_start_duration=plain["ramp"],
        overload_multiple=2.0,
        overload_after=0.5,
        poll_interval=None,
        ordering_pause=3.0,
        retry_budget_minimum=None,
        retry_budget_ratio=0.1,
        retry_budget_window=10.0,
    )
    return SchedulerSettings(
        classes=classes,
        plans=plans,
        safety=safety,
        seed=plain["seed"],
        front_count=plain["hosts"],
        watches_endpoints=plain["must_watch"],
        max_attempts=plain["max_attempts"],
        can_cancel=plain["cancel"],
        slow_start_units=plain["cold_units"],
        max_request_units=plain["largest"],
        mean_request_units=plain["mean"],
        unreserved_value=plain["within_share"],
        reports_usage_by_others=plain["tells_others"],
        idle_since=plain["quiet_since"],
        initial_quota_share=plain["limit_share"],
        replaces_process=plain["taken_over"],
        max_retry_after=plain["retry_after"],
        load_by_probes=plain["probes"],
    )


def settings_form(one: SchedulerSettings) -> Neutral:
    """Settings as lists."""
    classes = [
        [
            number(kind.latency_objective),
            number(kind.priority_weight),
            number(kind.late_value),
            REPEAT_WORDS[kind.idempotency],
            SCOPE_WORDS[kind.idempotency_scope],
            number(kind.idempotency_window),
            kind.ordered,
        ]
        for kind in one.classes
    ]
    plans = [
        [
            number(plan.priority_weight),
            number(plan.base_rate),
            number(plan.reserved_rate),
            number(plan.fair_share_weight),
            number(plan.rate_limit),
            number(plan.rate_limit_burst),
            number(plan.rate_limit_slack),
        ]
        for plan in one.plans
    ]
    quiet = None if one.idle_since is None else number(one.idle_since)
    counts = [one.seed, one.front_count, one.max_attempts]
    flags = [
        one.watches_endpoints,
        one.can_cancel,
        one.reports_usage_by_others,
        one.replaces_process,
        one.load_by_probes,
    ]
    sizes = [
        one.slow_start_units,
        one.max_request_units,
        one.mean_request_units,
        one.unreserved_value,
        one.initial_quota_share,
        one.max_retry_after,
    ]
    safety = [one.safety.slow_start_initial_fraction, one.safety.slow_start_duration]
    floats = [number(value) for value in [*sizes, *safety]]
    return [classes, plans, counts, flags, floats, quiet]


class PlainRetune:
    """Settings in force and the places of their names."""

    def __init__(
        self, plain: Mapping[str, Any], class_names: Sequence[str], plan_names: Sequence[str]
    ) -> None:
        self.settings = make_settings(plain)
        self.classes, self.plans = IndexAllocator.for_names(class_names), IndexAllocator.for_names(plan_names)
        self.writes: list[bool | None] = []

    def change(
        self,
        plain: Mapping[str, Any],
        class_names: Sequence[str],
        plan_names: Sequence[str],
        writes: Sequence[bool | None],
    ) -> Neutral:
        """New settings; what holds from now on."""
        had = self.classes.indexes
        self.classes, self.plans = self.classes.with_names(class_names), self.plans.with_names(plan_names)
        self.settings = merge_settings(
            old=self.settings,
            new=make_settings(plain),
            classes=self.classes,
            plans=self.plans,
        )
        self.writes = merge_changes_data(old=self.writes, old_indexes=had, classes=self.classes, new=writes)
        places = [[name, place] for name, place in self.classes.indexes.items()]
        plans = [[name, place] for name, place in self.plans.indexes.items()]
        gone = [sorted(self.classes.retired_indexes()), sorted(self.plans.retired_indexes())]
        return [settings_form(self.settings), list(self.writes), places, plans, gone]


def shape_word(value: Any) -> Neutral:
    """The paths of a file's keys, in order."""
    return sorted(key_paths(value))


def missing_word(old: Any, new: Any) -> Neutral:
    """The first key that the new file lacks."""
    return first_missing_key(key_paths(old), key_paths(new))


# Directory and holds

NODE_STATES = {
    "live": EndpointState.LIVE,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}
NODE_STATE_WORDS = {state: word for word, state in NODE_STATES.items()}


class PlainDirectory:
    """Which nodes there are."""

    def __init__(self, zones: Mapping[str, int]) -> None:
        self.directory = Directory(zones=dict(zones))
        self.heard: list[int] = []
        self.directory.listeners.append(self.heard.append)

    def entries(self, found: Sequence[Endpoint]) -> Neutral:
        """Node events, and who was reported as changed meanwhile."""
        made = [
            [
                one.node_id,
                shard_number(one.shard),
                one.zone,
                NODE_STATE_WORDS[one.state],
                number(one.started_at),
            ]
            for one in found
        ]
        heard = list(self.heard)
        self.heard.clear()
        return [made, heard]

    def apply(
        self, version: int, whole: bool, rows: Sequence[tuple[str, str, int, str, int, str, float]]
    ) -> Neutral:
        """A list, or changes; the node events."""
        instances = [
            Instance(
                name=name,
                address=Address(host=host, port=port),
                zone=zone,
                shard=cell,
                state=NODE_STATES[state],
                started_at=started,
            )
            for name, host, port, zone, cell, state, started in rows
        ]
        listing = EndpointList(version=version, is_complete=whole, instances=instances)
        return self.entries(self.directory.apply(listing))

    def hold(self, name: str) -> Neutral:
        """Hold a node by hand."""
        done = self.directory.holds.disable(name, self.directory.has_seen(name))
        return [done, *self.entries(self.directory.refresh([name]))]

    def release(self, name: str, now: float) -> Neutral:
        """Release a node."""
        done = self.directory.holds.enable(name, self.directory.has_seen(name), now)
        return [done, *self.entries(self.directory.refresh([name]))]

    def seen(self, names: Sequence[str]) -> Neutral:
        """What is known of these names."""
        directory, out = self.directory, []
        for name in names:
            latest = directory.find(name)
            node = directory.node_ids.get(name)
            where = (
                None if latest is None else [str(latest.address), latest.zone, NODE_STATE_WORDS[latest.state]]
            )
            served = node is not None and directory.is_serving(node)
            out.append([name, directory.has_seen(name), node, served, where])
        return [
            directory.version,
            directory.count_unavailable(),
            [[*zone] for zone in directory.zones.items()],
            out,
        ]


class PlainHolds:
    """Nodes held by hand, and a front that drains."""

    def __init__(self) -> None:
        self.holds, self.front = OperatorHolds(), FrontDrain()

    def hold(self, name: str, known: bool) -> bool:
        """Whether the call succeeds."""
        return self.holds.disable(name, known)

    def release(self, name: str, known: bool, now: float) -> bool:
        """Whether the call succeeds."""
        return self.holds.enable(name, known, now)

    def adopt(self, text: str, now: float) -> Neutral:
        """Take the holds of another process."""
        taken, freed = self.holds.merge(text, now)
        return [taken, freed]

    def encode(self) -> str:
        """The file's text."""
        return self.holds.encode()

    def state(self, names: Sequence[str], started: float) -> Neutral:
        """Of each name: whether it is held, and when it counts as started."""
        return [
            [self.holds.is_held(name), number(self.holds.effective_start(name, started))] for name in names
        ]

    def drain(self, begins: bool) -> Neutral:
        """Drain or resume; what is said when ready and when not."""
        if begins:
            self.front.start()
        else:
            self.front.resume()
        return [self.front.is_up(True), self.front.is_up(False)]


# Bodies


class PlainRoom:
    """The memory that bodies share."""

    def __init__(self, total: int, most: int | None) -> None:
        self.room = BodyMemory(total=total) if most is None else BodyMemory(total=total, max_body=most)

    def take(self, body: str, size: int) -> bool:
        """Whether the body may hold so many bytes."""
        return self.room.reserve(body, size)

    def leave(self, body: str) -> None:
        """The body is over."""
        self.room.release(body)

    def state(self) -> Neutral:
        """What is held, and who waits."""
        return [[[body, size] for body, size in self.room.reserved.items()], list(self.room.waiting)]


def body_patience(size: int, grace: float | None) -> str:
    """Seconds for so many bytes."""
    return number(body_timeout(size) if grace is None else body_timeout(size, grace=grace))
