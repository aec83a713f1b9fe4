"""The only module of the control recording that uses the project: converts recorded values to its types.

After a rename in the project only this module changes; the words in the recorded data stay.
"""

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
from cleatyoke.process.lifecycle import ExitStatus, Lifecycle, ShutdownDeadlines, ShutdownStep, Stage
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
LANE_NAMES = {lane: word for word, lane in LANES.items()}
REJECTIONS = {
    "": Rejection.NONE,
    "full": Rejection.FULL,
    "not ready": Rejection.NOT_READY,
    "older epoch": Rejection.OLDER_EPOCH,
    "behind": Rejection.BEHIND,
}
REJECTION_NAMES = {refusal: word for word, refusal in REJECTIONS.items()}


def shard_number(shard: int | None) -> int:
    """Return the recording's number of a shard, where -1 is none."""
    return -1 if shard is None else shard


def number(value: float) -> str:
    """Return a float as text at full precision."""
    return repr(float(value))


def digest(data: bytes) -> str:
    """Return the SHA-256 of bytes as hex digits."""
    return hashlib.sha256(data).hexdigest()


def plain_value(value: bytes | None) -> Neutral:
    """Return a value as hex digits if it is short, otherwise its length and digest."""
    if value is None:
        return None
    return value.hex() if len(value) <= 48 else f"{len(value)}:{digest(value)}"


def plain_entry(entry: Entry) -> Neutral:
    """Return the key, version and value of an entry."""
    return [entry.key, entry.version.epoch, entry.version.number, plain_value(entry.value)]


def portable_error_text(text: str) -> str:
    """Return an error's text without the message of Python's JSON reader, which differs between versions."""
    head, separator, _ = text.partition("no JSON")
    return head + separator


def build_entry(key: str, epoch: int, count: int, value: bytes | None) -> Entry:
    """Build an entry."""
    return Entry(key=key, version=Version(epoch=epoch, number=count), value=value)


# Distribution


def plain_reply(deployment: str, data: bytes) -> Neutral:
    """Return the fields of an encoded reply, or the reason for its rejection."""
    try:
        reply = decode_reply(deployment, data)
    except WireError as error:
        return ["refused", str(error)]
    parts = [
        [
            part.since,
            part.up_to,
            part.compacted_up_to,
            [plain_entry(entry) for entry in part.changes],
            part.restarts,
            part.page_after,
            part.page_to,
            [plain_entry(entry) for entry in part.page],
        ]
        for part in reply.lanes
    ]
    head = [reply.poll_id, reply.source, reply.epoch, number(reply.age), REJECTION_NAMES[reply.rejection]]
    return [*head, reply.has_more, parts]


def plain_poll(deployment: str, data: bytes) -> Neutral:
    """Return the fields of an encoded poll, or the reason for its rejection."""
    try:
        poll = decode_poll(deployment, data)
    except WireError as error:
        return ["refused", str(error)]
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
    """Return an encoded poll; ``form`` is added to the format version."""
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
    """Return an encoded reply; ``form`` is added to the format version."""
    lanes = [
        LaneChanges(
            since=part["first"],
            up_to=part["last"],
            compacted_up_to=part["floor"],
            changes=[build_entry(*one) for one in part["changes"]],
            restarts=part["restart"],
            page_after=part["page_after"],
            page_to=part["page_to"],
            page=[build_entry(*one) for one in part["page"]],
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
        rejection=REJECTIONS[refusal],
        lanes=lanes,
        has_more=more,
    )
    return encode(reply)


def plain_action(action: Any) -> Neutral:
    """Return an output of a subscriber or relay in recorded form."""
    match action:
        case SendPoll():
            return ["poll", action.relay, action.poll_id, action.data.hex()]
        case LaneRestarted():
            return ["anew", LANE_NAMES[action.lane], action.epoch]
        case DeliverChanges():
            return ["entries", LANE_NAMES[action.lane], [plain_entry(entry) for entry in action.entries]]
        case LaneComplete():
            return ["whole", LANE_NAMES[action.lane], action.number, action.compacted_up_to]
        case RelayChanged():
            return ["other relay", action.relay, action.reason]
    raise TypeError(f"unknown output {action}")


def build_timing(values: Mapping[str, float]) -> SubscriberTiming:
    """Build timing, with defaults for absent values."""
    defaults = SubscriberTiming()
    return SubscriberTiming(
        poll_interval=values.get("poll", defaults.poll_interval),
        answer_timeout=values.get("answer", defaults.answer_timeout),
        jitter=values.get("jitter", defaults.jitter),
        bytes_per_second=values.get("rate", defaults.bytes_per_second),
        burst_bytes=values.get("burst", defaults.burst_bytes),
        own_region_interval=values.get("home", defaults.own_region_interval),
        retry_spread=defaults.retry_spread,
        avoid_duration=defaults.avoid_duration,
        failover_spread=defaults.failover_spread,
        max_failover_spread=defaults.max_failover_spread,
        overhead_bytes=defaults.overhead_bytes,
    )


class Sender:
    """The polling side of a subscriber, or of a relay with its own subscription."""

    def __init__(self, machine: Subscriber | Relay, subscriber: Subscriber) -> None:
        self.machine, self.subscriber = machine, subscriber

    def step(self, now: float, answers: Sequence[tuple[int, bytes | None]]) -> list[Neutral]:
        """Run one step and return its outputs."""
        events = [PollAnswered(poll_id=count, data=data) for count, data in answers]
        return [plain_action(action) for action in self.machine.step(now, events)]

    def due(self) -> float:
        """Return when the next step is due."""
        return self.machine.due()

    def summary(self, now: float) -> Neutral:
        """Return the age, counters and positions."""
        subscriber = self.subscriber
        lanes = [
            [lane.position.number, lane.position.cursor, lane.compacted_up_to]
            for lane in subscriber.lanes.values()
        ]
        rejected = [[reason, count] for reason, count in sorted(subscriber.rejected.items())]
        return [
            number(subscriber.age(now)),
            subscriber.source_name,
            subscriber.epoch,
            subscriber.poll_count,
            subscriber.bytes_exchanged,
            lanes,
            rejected,
        ]


class PlainSubscriber(Sender):
    """A subscriber and its status for operators."""

    def __init__(
        self,
        deployment: str,
        name: str,
        tiers: Sequence[Sequence[str]],
        seed: int,
        timing: Mapping[str, float],
        whole: bool = False,
    ) -> None:
        subscriber = Subscriber(
            deployment=deployment,
            name=name,
            tiers=tiers,
            rng=random.Random(seed),
            timing=build_timing(timing),
            wants_tombstones=whole,
        )
        super().__init__(subscriber, subscriber)
        self.status = SubscriptionStatus(subscriber=subscriber)

    def took(self, epoch: int, count: int, keys: Sequence[str]) -> None:
        """Report that the settings of these keys were applied."""
        self.status.settings_applied(version=Version(epoch=epoch, number=count), keys=keys)

    def turned_down(self, key: str, epoch: int, count: int, why: str) -> None:
        """Report that this change was rejected as invalid."""
        self.status.settings_rejected(key=key, version=Version(epoch=epoch, number=count), reason=why)

    def shown(self, now: float) -> Neutral:
        """Return whether the age newly exceeded its limit, the status lines and the gauges."""
        became_stale = self.status.check_staleness(now)
        gauges = [[name, number(value)] for name, value in sorted(self.status.gauges(now).items())]
        return [became_stale, self.status.lines(now), gauges]


class Answering:
    """The answering side of a source or a relay."""

    def __init__(self, server: ChangeServer) -> None:
        self.server = server

    def answer(self, now: float, data: bytes) -> bytes | None:
        """Return the encoded reply."""
        return self.server.answer(now, data)

    def counts(self) -> Neutral:
        """Return the bytes sent, and the rejected messages by reason."""
        rejected = [[reason, count] for reason, count in sorted(self.server.rejected.items())]
        return [self.server.bytes_out, rejected]


class PlainSource(Answering):
    """A source, driven with recorded values."""

    def __init__(self, deployment: str, name: str, epoch: int, most: int | None) -> None:
        if most is None:
            self.source = Source(deployment=deployment, name=name, epoch=epoch)
        else:
            self.source = Source(deployment=deployment, name=name, epoch=epoch, max_subscribers=most)
        super().__init__(self.source)

    def put(self, now: float, lane: str, key: str, value: bytes | None) -> Neutral:
        """Return a change's version, or the reason for its rejection."""
        try:
            version = self.source.put(now, LANES[lane], key, value)
        except InvalidChangeError as error:
            return ["bad", str(error)]
        return [version.epoch, version.number]


class PlainRelay(Answering, Sender):
    """A relay, driven with recorded values."""

    def __init__(
        self, deployment: str, name: str, upstream: Sequence[Sequence[str]], seed: int, most: int | None
    ) -> None:
        rng = random.Random(seed)
        if most is None:
            relay = Relay(deployment=deployment, name=name, upstream=upstream, rng=rng)
        else:
            relay = Relay(deployment=deployment, name=name, upstream=upstream, rng=rng, max_subscribers=most)
        Answering.__init__(self, relay)
        Sender.__init__(self, relay, relay.subscriber)
        self.relay = relay

    def served(self, now: float) -> Neutral:
        """Return the age and content of the served copy."""
        store = self.relay.store
        if store is None:
            return [number(self.relay.age(now)), None]
        lanes = [
            [lane.last_number, lane.compacted_up_to, [plain_entry(lane.entries[key]) for key in lane.keys]]
            for lane in store.lanes.values()
        ]
        return [number(self.relay.age(now)), store.epoch, lanes]


class PlainStore:
    """The store of one lane, driven with recorded values."""

    def __init__(self) -> None:
        self.store = LaneStore()

    def put(self, now: float, key: str, epoch: int, count: int, value: bytes | None) -> bool:
        """Store an entry and return whether it was newer."""
        return self.store.put(now, build_entry(key, epoch, count, value))

    def load(
        self, now: float, entries: Sequence[tuple[str, int, int, bytes | None]], last: int, floor: int
    ) -> None:
        """Replace the content with a complete copy."""
        self.store.load(now, [build_entry(*one) for one in entries], last_number=last, compacted_up_to=floor)

    def changes(self, since: int, most: int) -> Neutral:
        """Return the changes after a number, and the last number covered."""
        entries, last = self.store.changes_since(since, most)
        return [[plain_entry(one) for one in entries], last]

    def page(self, after: str, most: int, removals: bool) -> Neutral:
        """Return a page of entries, and its last key."""
        entries, end = self.store.page_after(after, most, with_tombstones=removals)
        return [[plain_entry(one) for one in entries], end]

    def state(self) -> Neutral:
        """Return the numbers that bound the store, and its sizes."""
        return [
            self.store.last_number,
            self.store.compacted_up_to,
            len(self.store.entries),
            len(self.store.keys),
        ]


def plain_distributed_settings(
    base: dict[str, Any], batches: Sequence[Sequence[tuple[str, int, int, bytes | None]]]
) -> list[Neutral]:
    """Return for each batch of entries the merged settings or their error, their version, and the nodes."""
    settings, out = contents.DistributedSettings(), []
    for batch in batches:
        entries = [build_entry(*one) for one in batch]
        settings_entries = contents.settings_entries(entries)
        settings = settings.with_entries(settings_entries)
        try:
            merged: Neutral = json.dumps(settings.merged(base), sort_keys=True)
        except contents.InvalidValueError as error:
            merged = ["bad", portable_error_text(str(error))]
        nodes, unreadable = contents.listed_nodes(entries)
        lanes = [LANE_NAMES[contents.lane_of(one.key)] for one in entries]
        version = [settings.version.epoch, settings.version.number]
        out.append(
            [
                [one.key for one in settings_entries],
                version,
                merged,
                json.dumps(nodes, sort_keys=True),
                unreadable,
                lanes,
            ]
        )
    return out


class PlainFolder:
    """A source's folder of configuration files."""

    def __init__(self, path: Path) -> None:
        self.folder = folder.ConfigFolder(path)

    def look(self) -> Neutral:
        """Scan the folder; return the changes since the previous scan, and the rejected files."""
        scan = self.folder.scan()
        changes = [[key, plain_value(value)] for key, value in sorted(scan.changes.items())]
        return [changes, [portable_error_text(text) for text in scan.rejected]]


def next_epoch(path: Path, unix: float) -> Neutral:
    """Return the next epoch of a file, or the reason why the file is invalid."""
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
    """Return an encoded advertisement."""
    advertisement = Advertisement(
        router=router, priority=priority, interval=interval, addresses=tuple(addresses)
    )
    return encode_advertisement(advertisement)


def plain_advertisement(data: bytes) -> Neutral:
    """Return the fields of an advertisement, or the reason for its rejection."""
    try:
        advertisement = decode_advertisement(data)
    except AdvertisementError as error:
        return ["bad", str(error)]
    return [
        advertisement.router,
        advertisement.priority,
        number(advertisement.interval),
        list(advertisement.addresses),
    ]


class PlainRouter:
    """A virtual router's state machine, driven with recorded values."""

    def __init__(self, priority: int, interval: float, preempt: bool, address: str) -> None:
        self.router = VirtualRouter(priority=priority, interval=interval, preempt=preempt, address=address)

    def startup(self, now: float) -> list[int]:
        """Return the priorities to advertise."""
        return self.router.startup(now)

    def shutdown(self) -> list[int]:
        """Return the priorities to advertise."""
        return self.router.shutdown()

    def timer(self, now: float) -> list[int]:
        """Return the priorities to advertise."""
        return self.router.on_timer(now)

    def received(self, data: bytes, source: str, now: float) -> list[int]:
        """Return the priorities to advertise after a message."""
        try:
            advertisement = decode_advertisement(data)
        except AdvertisementError:
            return []
        return self.router.receive(advertisement, source, now)

    def due(self) -> float:
        """Return when the timer is due."""
        return math.inf if self.router.timer_at is None else self.router.timer_at

    def state(self) -> Neutral:
        """Return the state, the due time and the intervals derived from the master's."""
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
SHUTDOWN_STEPS = {
    ShutdownStep.CLOSE_FILE_SERVICE: "end file front",
    ShutdownStep.STOP_ACCEPTING: "end accepting",
    ShutdownStep.REPORT_UNANSWERED: "give up open ones",
    ShutdownStep.RELEASE_RESOURCES: "give back",
}
EXIT_CODES = {ExitStatus.STOPPED: 0, ExitStatus.FAULT: 1, ExitStatus.START_FAILED: 2}


def build_deadlines(seconds: float, latency_objectives: Sequence[float]) -> ShutdownDeadlines:
    """Build the deadlines that follow SIGTERM."""
    return ShutdownDeadlines.from_grace_period(seconds, latency_objectives)


class PlainLifecycle:
    """The process's lifecycle, driven with recorded values."""

    def __init__(self, seconds: float, latency_objectives: Sequence[float]) -> None:
        self.lifecycle = Lifecycle(deadlines=build_deadlines(seconds, latency_objectives))

    def serves(self) -> None:
        """Report that the startup is complete."""
        self.lifecycle.start_serving()

    def signal(self, now: float) -> bool:
        """Report SIGTERM."""
        return self.lifecycle.request_shutdown(now)

    def retime(self, seconds: float, latency_objectives: Sequence[float]) -> None:
        """Change the deadlines after a change of settings."""
        self.lifecycle.set_deadlines(build_deadlines(seconds, latency_objectives))

    def step(self, now: float, connections: int, files: int) -> Neutral:
        """Run one step and return the shutdown steps to take."""
        return [
            SHUTDOWN_STEPS[step]
            for step in self.lifecycle.step(now, connections, file_service_is_closing=bool(files))
        ]

    def released(self) -> None:
        """Report that all resources are released."""
        self.lifecycle.finish()

    def next_at(self) -> float:
        """Return when the next step is due."""
        return self.lifecycle.next_step_at()

    def state(self) -> Neutral:
        """Return the stage, exit code, due times and deadlines."""
        lifecycle, deadlines = self.lifecycle, self.lifecycle.deadlines
        assert int(lifecycle.status.value) == EXIT_CODES[lifecycle.status]
        times = [
            lifecycle.next_step_at(),
            lifecycle.answers_due_at(),
            deadlines.file_service_closes,
            deadlines.accepting_ends,
            deadlines.answers_due,
        ]
        return [STAGES[lifecycle.stage], EXIT_CODES[lifecycle.status], *(number(value) for value in times)]


# Backoff


class PlainBackoff:
    """Delays before calls to a shared service."""

    def __init__(self, seed: int, hosts: float, each: float, most: int, least: float, period: float) -> None:
        rng = random.Random(seed)
        self.backoff = Backoff(
            rng=rng,
            clients=hosts,
            seconds_per_call=each,
            max_growth=most,
            min_span=least,
            max_call_interval=period,
        )

    def failed(self, spent: float | None) -> str:
        """Return the delay after a failure."""
        return number(
            self.backoff.delay_after_failure()
            if spent is None
            else self.backoff.delay_after_failure(elapsed=spent)
        )

    def ended(self, within: float | None) -> str:
        """Return the delay after a streamed answer ended."""
        return number(
            self.backoff.delay_after_disconnect()
            if within is None
            else self.backoff.delay_after_disconnect(max_delay=within)
        )


# Reloaded settings

IDEMPOTENCY = {"free": Idempotency.IDEMPOTENT, "keyed": Idempotency.KEYED, "once": Idempotency.NOT_IDEMPOTENT}
IDEMPOTENCY_NAMES = {repeat: word for word, repeat in IDEMPOTENCY.items()}
SCOPES = {"all": IdempotencyScope.ALL, "zone": IdempotencyScope.ZONE, "cell": IdempotencyScope.SHARD}
SCOPE_NAMES = {scope: word for word, scope in SCOPES.items()}


def build_settings(plain: Mapping[str, Any]) -> SchedulerSettings:
    """Build the scheduler's settings."""
    classes = [
        RequestClass(
            latency_objective=latency_objective,
            priority_weight=weight,
            late_value=late,
            idempotency=IDEMPOTENCY[repeat],
            idempotency_scope=SCOPES[scope],
            idempotency_window=window,
            ordered=ordered,
        )
        for latency_objective, weight, late, repeat, scope, window, ordered in plain["classes"]
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


def plain_settings(settings: SchedulerSettings) -> Neutral:
    """Return the scheduler's settings in recorded form."""
    classes = [
        [
            number(request_class.latency_objective),
            number(request_class.priority_weight),
            number(request_class.late_value),
            IDEMPOTENCY_NAMES[request_class.idempotency],
            SCOPE_NAMES[request_class.idempotency_scope],
            number(request_class.idempotency_window),
            request_class.ordered,
        ]
        for request_class in settings.classes
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
        for plan in settings.plans
    ]
    idle_since = None if settings.idle_since is None else number(settings.idle_since)
    counts = [settings.seed, settings.front_count, settings.max_attempts]
    flags = [
        settings.watches_endpoints,
        settings.can_cancel,
        settings.reports_usage_by_others,
        settings.replaces_process,
        settings.load_by_probes,
    ]
    sizes = [
        settings.slow_start_units,
        settings.max_request_units,
        settings.mean_request_units,
        settings.unreserved_value,
        settings.initial_quota_share,
        settings.max_retry_after,
    ]
    safety = [settings.safety.slow_start_initial_fraction, settings.safety.slow_start_duration]
    floats = [number(value) for value in [*sizes, *safety]]
    return [classes, plans, counts, flags, floats, idle_since]


class PlainSettingsReload:
    """The settings in force, and the indexes of class and plan names."""

    def __init__(
        self, plain: Mapping[str, Any], class_names: Sequence[str], plan_names: Sequence[str]
    ) -> None:
        self.settings = build_settings(plain)
        self.classes, self.plans = IndexAllocator.for_names(class_names), IndexAllocator.for_names(plan_names)
        self.writes: list[bool | None] = []

    def change(
        self,
        plain: Mapping[str, Any],
        class_names: Sequence[str],
        plan_names: Sequence[str],
        writes: Sequence[bool | None],
    ) -> Neutral:
        """Reload the settings; return those in force, the indexes by name and the retired indexes."""
        old_indexes = self.classes.indexes
        self.classes, self.plans = self.classes.with_names(class_names), self.plans.with_names(plan_names)
        self.settings = merge_settings(
            old=self.settings,
            new=build_settings(plain),
            classes=self.classes,
            plans=self.plans,
        )
        self.writes = merge_changes_data(
            old=self.writes, old_indexes=old_indexes, classes=self.classes, new=writes
        )
        classes = [[name, index] for name, index in self.classes.indexes.items()]
        plans = [[name, index] for name, index in self.plans.indexes.items()]
        retired = [sorted(self.classes.retired_indexes()), sorted(self.plans.retired_indexes())]
        return [plain_settings(self.settings), list(self.writes), classes, plans, retired]


def plain_key_paths(value: Any) -> Neutral:
    """Return the sorted paths of a file's keys."""
    return sorted(key_paths(value))


def plain_missing_key(old: Any, new: Any) -> Neutral:
    """Return the first key that the new file lacks."""
    return first_missing_key(key_paths(old), key_paths(new))


# Directory and holds

NODE_STATES = {
    "live": EndpointState.LIVE,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}
NODE_STATE_NAMES = {state: word for word, state in NODE_STATES.items()}


class PlainDirectory:
    """The directory of nodes, driven with recorded values."""

    def __init__(self, zones: Mapping[str, int]) -> None:
        self.directory = Directory(zones=dict(zones))
        self.changed_nodes: list[int] = []
        self.directory.listeners.append(self.changed_nodes.append)

    def entries(self, endpoints: Sequence[Endpoint]) -> Neutral:
        """Return node updates in recorded form, and the nodes reported as changed since the last call."""
        entries = [
            [
                one.node_id,
                shard_number(one.shard),
                one.zone,
                NODE_STATE_NAMES[one.state],
                number(one.started_at),
            ]
            for one in endpoints
        ]
        changed = list(self.changed_nodes)
        self.changed_nodes.clear()
        return [entries, changed]

    def apply(
        self, version: int, whole: bool, rows: Sequence[tuple[str, str, int, str, int, str, float]]
    ) -> Neutral:
        """Apply a complete list or changes; return the node updates."""
        instances = [
            Instance(
                name=name,
                address=Address(host=host, port=port),
                zone=zone,
                shard=shard,
                state=NODE_STATES[state],
                started_at=started,
            )
            for name, host, port, zone, shard, state, started in rows
        ]
        listing = EndpointList(version=version, is_complete=whole, instances=instances)
        return self.entries(self.directory.apply(listing))

    def hold(self, name: str) -> Neutral:
        """Hold a node as an operator."""
        succeeded = self.directory.holds.disable(name, self.directory.has_seen(name))
        return [succeeded, *self.entries(self.directory.refresh([name]))]

    def release(self, name: str, now: float) -> Neutral:
        """Release a node as an operator."""
        succeeded = self.directory.holds.enable(name, self.directory.has_seen(name), now)
        return [succeeded, *self.entries(self.directory.refresh([name]))]

    def seen(self, names: Sequence[str]) -> Neutral:
        """Return what the directory knows of these names."""
        directory, out = self.directory, []
        for name in names:
            latest = directory.find(name)
            node = directory.node_ids.get(name)
            location = (
                None if latest is None else [str(latest.address), latest.zone, NODE_STATE_NAMES[latest.state]]
            )
            served = node is not None and directory.is_serving(node)
            out.append([name, directory.has_seen(name), node, served, location])
        return [
            directory.version,
            directory.count_unavailable(),
            [[*zone] for zone in directory.zones.items()],
            out,
        ]


class PlainHolds:
    """Operators' holds of nodes, and the drain of a front."""

    def __init__(self) -> None:
        self.holds, self.front = OperatorHolds(), FrontDrain()

    def hold(self, name: str, known: bool) -> bool:
        """Return whether the call succeeds."""
        return self.holds.disable(name, known)

    def release(self, name: str, known: bool, now: float) -> bool:
        """Return whether the call succeeds."""
        return self.holds.enable(name, known, now)

    def adopt(self, text: str, now: float) -> Neutral:
        """Merge the holds of another process; return the nodes newly held and released."""
        held, released = self.holds.merge(text, now)
        return [held, released]

    def encode(self) -> str:
        """Return the text of the hold file."""
        return self.holds.encode()

    def state(self, names: Sequence[str], started: float) -> Neutral:
        """Return for each name whether it is held, and its effective start time."""
        return [
            [self.holds.is_held(name), number(self.holds.effective_start(name, started))] for name in names
        ]

    def drain(self, begins: bool) -> Neutral:
        """Drain or resume; return the health of the front while it is ready and while it is not."""
        if begins:
            self.front.start()
        else:
            self.front.resume()
        return [self.front.is_up(True), self.front.is_up(False)]


# Request bodies


class PlainBodyMemory:
    """The memory shared by request bodies."""

    def __init__(self, total: int, most: int | None) -> None:
        self.memory = BodyMemory(total=total) if most is None else BodyMemory(total=total, max_body=most)

    def take(self, body: str, size: int) -> bool:
        """Reserve bytes for a body; return whether they are granted."""
        return self.memory.reserve(body, size)

    def leave(self, body: str) -> None:
        """Release the body's memory."""
        self.memory.release(body)

    def state(self) -> Neutral:
        """Return the reservations and the waiting bodies."""
        return [[[body, size] for body, size in self.memory.reserved.items()], list(self.memory.waiting)]


def plain_body_timeout(size: int, grace: float | None) -> str:
    """Return the time limit for a body of this size."""
    return number(body_timeout(size) if grace is None else body_timeout(size, grace=grace))
