"""The only place where the recorded fleet cases touch the project's types: plain values in, plain values out.

A rename of the project's modules, classes or fields changes this file and nothing else of the recording.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from cleatyoke import api
from cleatyoke.fleet import replicas
from cleatyoke.fleet.cold import ColdShares
from cleatyoke.fleet.conclude import Conclusion, Known, conclude
from cleatyoke.fleet.interface import (
    Action,
    Answered,
    Asked,
    Change,
    Deliver,
    Event,
    Exchange,
    Heard,
    Leave,
    Remembered,
    Reply,
    Send,
    Timing,
    Told,
)
from cleatyoke.fleet.limits import Limits
from cleatyoke.fleet.members import Members
from cleatyoke.fleet.meters import Meters
from cleatyoke.fleet.recovery import Evidence, Passed, Recovery, Stage
from cleatyoke.fleet.rights import Came, Need, Part, Peers, Rights
from cleatyoke.fleet.rights import Event as RightsEvent
from cleatyoke.fleet.sharing import Sharing
from cleatyoke.fleet.wire import Grant, Id, Rumour, State, Want

Plain = tuple[Any, ...]

STATES = {"alive": State.ALIVE, "suspect": State.SUSPECT, "dead": State.DEAD, "left": State.LEFT}
CHANGES = {
    Change.JOINED: "joined",
    Change.SUSPECTED: "suspected",
    Change.DIED: "died",
    Change.RETURNED: "returned",
    Change.LEFT: "left",
    Change.AWAY: "away",
    Change.RENAMED: "renamed",
}
STAGES = {
    "disk": Stage.DISK,
    "peers": Stage.PEERS,
    "list": Stage.LIST,
    "lent": Stage.LENT,
    "open": Stage.OPEN,
}
STAGE_WORDS = {stage: word for word, stage in STAGES.items()}
LISTS = {
    "changes": api.ListKind.CHANGES,
    "full": api.ListKind.FULL,
    "old copy": api.ListKind.OLD_COPY,
    "lost": api.ListKind.LOST,
}
NODE_STATES = {
    "live": api.NodeState.LIVE,
    "draining": api.NodeState.DRAINING,
    "gone": api.NodeState.GONE,
}


def life_id(word: str) -> Id:
    """A life from ``name/boot``."""
    name, _, boot = word.rpartition("/")
    return Id(name=name, boot=int(boot))


def life_word(life: Id) -> str:
    """A life as ``name/boot``."""
    return f"{life.name}/{life.boot}"


def lease_message(plain: Plain) -> Want | Grant:
    """A message on leases from its plain form."""
    if plain[0] == "want":
        return Want(resource=plain[1], number=plain[2], parts=plain[3])
    return Grant(resource=plain[1], number=plain[2], parts=plain[3], spare=plain[4])


def lease_plain(message: Want | Grant) -> Plain:
    """A message on leases in plain form."""
    if isinstance(message, Want):
        return "want", message.resource, message.number, message.parts
    return "grant", message.resource, message.number, message.parts, message.spare


# Membership


def member_event(plain: Plain) -> Event:
    """An event of the membership from its plain form."""
    match plain:
        case ("heard", data):
            return Heard(data=data)
        case ("asked", token, data):
            return Asked(token=token, data=data)
        case ("answered", address, data):
            return Answered(address=address, data=data)
        case ("leave",):
            return Leave()
        case ("remembered", boot):
            return Remembered(boot=boot)
    raise ValueError(plain)


def member_action(action: Action) -> Plain:
    """An action of the membership in plain form; messages stay bytes."""
    if isinstance(action, Send):
        return "send", action.address, action.data
    if isinstance(action, Exchange):
        return "exchange", action.address, action.data
    if isinstance(action, Reply):
        return "reply", action.token, action.data
    if isinstance(action, Told):
        return "change", CHANGES[action.change], life_word(action.id), action.by
    assert isinstance(action, Deliver)
    return "deliver", life_word(action.sender), lease_plain(action.body)


def conclusion_plain(conclusion: Conclusion) -> Plain:
    """Who is certainly up, perhaps up and certainly stopped, and the count."""
    return (
        sorted(map(life_word, conclusion.certainly_up)),
        sorted(map(life_word, conclusion.perhaps_up)),
        sorted(map(life_word, conclusion.certainly_stopped)),
        conclusion.count,
        conclusion.may_use(100.0),
    )


def conclude_from(me: Plain, known: Iterable[tuple[Plain, float]], hosts: int, now: float) -> Plain:
    """A conclusion from plain rumours: life, address, state, count, alone; and when each was heard."""

    def rumour(plain: Plain) -> Rumour:
        life, address, state, count, alone = plain
        return Rumour(id=life_id(life), address=address, state=STATES[state], count=count, alone=alone)

    lives = [Known(rumour=rumour(one), heard=heard) for one, heard in known]
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
        self.inner = Members(
            deployment="test",
            name=name,
            boot=boot,
            address=address,
            seeds=seeds,
            rng=random.Random(seed),
            timing=timing_of(timing) if timing else None,
            alone=alone,
        )

    def step(self, now: float, events: Iterable[Plain]) -> list[Plain]:
        """Run one step."""
        return [member_action(one) for one in self.inner.step(now, [member_event(one) for one in events])]

    def post(self, receiver: str, message: Plain) -> list[Plain]:
        """Send a message on leases to a life."""
        return [member_action(one) for one in self.inner.post(life_id(receiver), lease_message(message))]

    def move(self, address: str, alone: bool) -> None:
        """This member is reached elsewhere from now on."""
        self.inner.move(address, alone)

    def set_settings(self, number: int) -> None:
        """This member goes by other settings."""
        self.inner.goes_by(number)

    def share(self, shared: SharedHolds) -> None:
        """Take this copy along with each exchange of views."""
        self.inner.store = shared.inner

    def changed_here(self) -> None:
        """The copy was changed here."""
        self.inner.done_here()

    def next_at(self) -> float:
        """When the next step is due."""
        return self.inner.next_at()

    def has_left(self) -> bool:
        """Whether it has left, and said so."""
        return self.inner.left

    def life(self) -> str:
        """Its own life."""
        return life_word(self.inner.id)

    def other_settings(self) -> list[str]:
        """Members that go by other settings."""
        return self.inner.unlike()

    def same_view(self, other: Member) -> bool:
        """Whether both believe the same; the number itself is not recorded."""
        return self.inner.digest() == other.inner.digest()

    def conclusion(self, hosts: int, now: float) -> Plain:
        """What may be concluded from its view."""
        known = [Known(rumour=life.rumour, heard=life.heard) for life in self.inner.lives.values()]
        return conclusion_plain(conclude(self.inner.me(), known, hosts, now))

    def counted(self) -> Plain:
        """What it has counted."""
        figures = self.inner.figures
        return (
            ("datagrams", figures.datagrams_out, figures.datagrams_in),
            ("suspicions", figures.suspicions),
            ("deaths", figures.deaths),
            ("refutations", figures.refutations),
            ("false deaths", figures.false_deaths),
            ("refused", sorted(figures.refused.items())),
            ("health", self.inner.health),
        )


def timing_of(plain: Mapping[str, float]) -> Timing:
    """Times of the membership that differ from the usual ones."""
    usual = Timing()
    return Timing(
        period=plain.get("period", usual.period),
        answer=plain.get("answer", usual.answer),
        helpers=int(plain.get("helpers", usual.helpers)),
        gossip=plain.get("gossip", usual.gossip),
        fanout=int(plain.get("fanout", usual.fanout)),
        sync=plain.get("sync", usual.sync),
    )


# Leases


def lease_event(plain: Plain) -> RightsEvent:
    """An event of the leases from its plain form."""
    match plain:
        case ("came", sender, message):
            return Came(sender=life_id(sender), message=lease_message(message))
        case ("need", parts):
            return Need(parts=dict(parts))
        case ("peers", ids):
            return Peers(ids=tuple(map(life_id, ids)))
        case ("part", part):
            return Part(part=part)
    raise ValueError(plain)


class Leases:
    """One life's quota leases."""

    def __init__(self, began: float, seed: str) -> None:
        self.inner = Rights(began=began, rng=random.Random(seed))

    def step(self, now: float, events: Iterable[Plain]) -> list[Plain]:
        """Run one step: the messages to send, each with its receiver."""
        posts = self.inner.step(now, [lease_event(one) for one in events])
        return [(life_word(post.receiver), lease_plain(post.message)) for post in posts]

    def usable(self, resource: str, now: float) -> int:
        """Parts that may be used now."""
        return self.inner.usable(resource, now)

    def next_change(self, now: float) -> float:
        """When that changes next by time alone."""
        return self.inner.next_change(now)

    def refused(self) -> int:
        """Messages on more resources than are kept account of."""
        return self.inner.refused


class Demand:
    """What is asked for, by key."""

    def __init__(self) -> None:
        self.inner: Meters[str] = Meters()

    def note(self, now: float, key: str, units: float, home: float) -> None:
        """Something was asked for."""
        self.inner.asked(now, key, units, home)

    def needs(self, now: float) -> dict[str, float]:
        """Needs by key."""
        return self.inner.needs(now)


def arrival(cell: int, units: float, plan: int = 0, volume: int = 0, hosts: int = 1) -> api.Arrival:
    """A request that came."""
    return api.Arrival(
        request="r",
        class_index=0,
        plan=plan,
        volume=volume,
        item=None,
        cell=cell,
        units=units,
        deadline=0.0,
        hosts=hosts,
    )


def plan(limit: float) -> api.PlanSpec:
    """A plan with this limit."""
    return api.PlanSpec(worth=1.0, rate=1.0, reserve=0.0, weight=1.0, limit=limit, limit_burst=1.0)


def lent(event: api.Event) -> Plain:
    """What the policy hears of lent parts."""
    if isinstance(event, api.Lent):
        return "volume", event.volume, event.part
    assert isinstance(event, api.LentNode)
    return "node", event.node, event.part


class VolumeLimits:
    """Limits of volumes by leases. ``limits``: units a second by plan."""

    def __init__(self, leases: Leases, limits: list[float]) -> None:
        self.limits = limits
        self.inner = Limits(rights=leases.inner, plans=lambda: [plan(limit) for limit in self.limits])

    def heard(self, now: float, arrivals: Iterable[tuple[int, int, float, int]]) -> None:
        """Requests that came: plan, volume, units, hosts."""
        events: list[api.Event] = [
            arrival(0, units, plan=index, volume=volume, hosts=hosts)
            for index, volume, units, hosts in arrivals
        ]
        self.inner.heard(now, events)

    def needs(self, now: float) -> dict[str, float]:
        """Needs by resource."""
        return self.inner.needs(now)

    def changes(self, now: float) -> list[Plain]:
        """What the policy hears, in order of the volumes."""
        return sorted(lent(one) for one in self.inner.changes(now))


class ColdNodes:
    """Parts of cold nodes by leases. ``names``: by node, None where it is not listed."""

    def __init__(
        self, leases: Leases, names: dict[int, str], hosts: int, cold_units: float, ramp: float, after: float
    ) -> None:
        safety = api.Safety(
            cold_from=0.0,
            ramp=ramp,
            tip_multiple=1.0,
            tip_after=after,
            ask_every=None,
            key_rest=0.0,
            extra_free=None,
            extra_ratio=None,
            extra_window=None,
        )
        settings = api.Settings(
            classes=[],
            plans=[],
            safety=safety,
            seed=0,
            hosts=hosts,
            must_watch=False,
            max_attempts=1,
            cancel=False,
            cold_units=cold_units,
            largest=1.0,
            mean=1.0,
            within_share=1.0,
        )
        self.inner = ColdShares(rights=leases.inner, settings=lambda: settings, name=names.get)

    def listed(
        self, now: float, unix: float, kind: str, nodes: Iterable[tuple[int, int, str, float]]
    ) -> None:
        """News of nodes: each with its cell, state and start."""
        entries = [
            api.NodeEntry(node=node, cell=cell, zone=0, state=NODE_STATES[state], up_since=since)
            for node, cell, state, since in nodes
        ]
        self.inner.heard(now, unix, [api.NodeList(kind=LISTS[kind], entries=entries)])

    def heard(self, now: float, unix: float, arrivals: Iterable[tuple[int, float]]) -> None:
        """Requests that came: cell, units."""
        self.inner.heard(now, unix, [arrival(cell, units) for cell, units in arrivals])

    def needs(self, now: float) -> dict[str, float]:
        """Needs by resource."""
        return self.inner.needs(now)

    def changes(self, now: float) -> list[Plain]:
        """What the policy hears, in order of the nodes."""
        return sorted(lent(one) for one in self.inner.changes(now))


# Shared holds


class HoldSet:
    """A copy of the holds alone."""

    def __init__(self, inner: replicas.Holds | None = None) -> None:
        self.inner = inner if inner is not None else replicas.Holds()

    def hold(self, life: str, box: str) -> HoldSet:
        """With this one held."""
        return HoldSet(self.inner.hold(life_id(life), box))

    def release(self, box: str) -> HoldSet:
        """With this one released."""
        return HoldSet(self.inner.release(box))

    def merge(self, other: HoldSet) -> HoldSet:
        """Both in one."""
        return HoldSet(replicas.merge("holds", self.inner, other.inner))

    def has(self, other: HoldSet) -> bool:
        """Whether all that the other knows is known here."""
        return self.inner.has(other.inner)

    def forget(self, stopped: Iterable[str], everywhere: Iterable[HoldSet]) -> HoldSet:
        """Without the numbers of lives that are over."""
        return HoldSet(
            self.inner.forget([life_id(one) for one in stopped], [copy.inner for copy in everywhere])
        )

    def state(self) -> Plain:
        """What is known, and what is held."""
        clock = sorted((life_word(life), number) for life, number in self.inner.clock.items())
        held = sorted(
            (box, sorted((life_word(life), number) for life, number in dots))
            for box, dots in self.inner.held.items()
        )
        return clock, held, sorted(self.inner.boxes())


class Sayings:
    """A copy of the newest words by origin."""

    def __init__(self, inner: replicas.Latest | None = None) -> None:
        self.inner = inner if inner is not None else replicas.Latest()

    def say(self, life: str, value: str, at: float) -> Sayings:
        """With a new word of this origin."""
        return Sayings(self.inner.say(life_id(life), value, at))

    def merge(self, other: Sayings) -> Sayings:
        """Both in one."""
        return Sayings(replicas.merge("latest", self.inner, other.inner))

    def state(self) -> Plain:
        """The words by origin."""
        return tuple(
            sorted(
                (life_word(life), word.number, word.value, word.at) for life, word in self.inner.words.items()
            )
        )


class Heights:
    """A copy of the greatest number by key."""

    def __init__(self, inner: replicas.Highest | None = None) -> None:
        self.inner = inner if inner is not None else replicas.Highest()

    def raised(self, key: str, number: int) -> Heights:
        """With this number told."""
        return Heights(self.inner.raised(key, number))

    def merge(self, other: Heights) -> Heights:
        """Both in one."""
        return Heights(replicas.merge("highest", self.inner, other.inner))

    def state(self) -> Plain:
        """The numbers by key."""
        return tuple(sorted(self.inner.numbers.items()))


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
        self.inner = Sharing(
            me=lambda: life_id(life()),
            changed=lambda held, released: heard(sorted(held), sorted(released)),
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
        return self.inner.lacks(life_id(life))

    def merged(self) -> int:
        """Copies that differed."""
        return self.inner.merged

    def state(self) -> Plain:
        """What is known, and what is held."""
        return HoldSet(self.inner.holds).state()


# The start after a power loss


class Start:
    """One start, by its stages."""

    def __init__(self, began: float, lent_until: float) -> None:
        self.inner = Recovery(began=began, lent_until=lent_until)

    def step(self, now: float, evidence: Iterable[tuple[str, str]]) -> list[Plain]:
        """Run one step: the stages passed, by what, after how long."""
        events = [Evidence(stage=STAGES[stage], what=what) for stage, what in evidence]
        return [self.passed(one) for one in self.inner.step(now, events)]

    @staticmethod
    def passed(one: Passed) -> Plain:
        """A stage that was passed."""
        return STAGE_WORDS[one.stage], one.what, one.waited

    def state(self) -> Plain:
        """The stage, whether requests are taken, and when the stage ends by itself."""
        return STAGE_WORDS[self.inner.stage], self.inner.door_open(), self.inner.ends_at()

    def lines(self, now: float) -> list[str]:
        """The lines for operators."""
        return self.inner.lines(now)
