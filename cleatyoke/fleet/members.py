"""Who is there: membership in the SWIM family, as one life's state machine.

``step(now, events) -> actions``, with time, randomness and messages passed in. From SWIM (Das, Gupta,
Motivala 2002): the probe of one member a period, the indirect probe, suspicion and its refutation by a
count that only its subject raises, rumours on the back of what is sent anyway. From Lifeguard (Dadgar,
Phillips, Currey 2017): local health, by which one that misses answers itself waits longer, suspicion that
shortens with independent accusers, and telling a suspect first. Besides, it probes the departed, so that
a cut heals with no operator, and notices when it was stopped.

What one life says of another is a ``Rumour``; of two about the same life the greater one by ``rank``
holds, so that rumours merge in any order and any number of times to one view.
"""

from __future__ import annotations

import itertools
import math
import random
import zlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from cleatyoke.fleet.wire import (
    Ack,
    Ask,
    Body,
    Datagram,
    Gossip,
    Grant,
    Id,
    Nack,
    Ping,
    Refused,
    Rumour,
    State,
    Want,
    decode_datagram,
    decode_view,
    encode_datagram,
    encode_view,
)

ACCUSERS = 3  # independent ones by which a suspicion is as short as it gets
UNHEALTHY = 8  # most that local health counts
HEALS = 3  # of the departed that are probed at once where one has returned
FAREWELL = 8  # members that hear at once of one that leaves
QUIET = 4  # periods without news, after which views that differ are exchanged
SMALL = 20  # members up to which whole views are exchanged at the stated interval; beyond, as much rarer
NOTED = 32  # rumours at the most that are looked at for one datagram
HEARD_OF = (State.ALIVE, State.SUSPECT)


@dataclass(slots=True, frozen=True)
class Timing:
    """Seconds, or times them."""

    period: float = 0.5  # between two probes by one life
    answer: float = 0.15  # until others are asked to probe too
    helpers: int = 3  # how many of them
    gossip: float = 0.1  # between two rounds of rumours, while there are any
    fanout: int = 3  # to how many they go in a round
    spread: float = 4.0  # times the logarithm (to 10) of the members: how often a rumour is told
    suspicion: float = 4.0  # periods, times that logarithm: the least that a suspicion lasts
    doubt: float = 6.0  # times that, with one accuser alone
    sync: float = 10.0  # between two exchanges of whole views with somebody
    departed: float = 1.0  # between two probes of somebody departed
    join: float = 1.0  # between two tries at a seed
    away: float = 1.5  # late by so much, a step finds that this process was stopped
    forget: float = 3600.0  # after which one that left is forgotten


# Events


@dataclass(slots=True, frozen=True)
class Heard:
    """A datagram came."""

    data: bytes


@dataclass(slots=True, frozen=True)
class Asked:
    """A peer has sent its whole view by stream, and waits for ours; ``token`` names the stream."""

    token: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Answered:
    """What came of an ``Exchange``: the peer's view, or None."""

    address: str
    data: bytes | None


@dataclass(slots=True, frozen=True)
class Leave:
    """This life is to end in order, and uses nothing more: others may count it as stopped by this word."""


@dataclass(slots=True, frozen=True)
class Remembered:
    """A boot number of our name that a life before used, as the disk told once this one had begun."""

    boot: int


Event = Heard | Asked | Answered | Leave | Remembered


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    address: str
    data: bytes


@dataclass(slots=True, frozen=True)
class Exchange:
    """Send this by stream, and bring back what is answered."""

    address: str
    data: bytes


@dataclass(slots=True, frozen=True)
class Reply:
    token: int
    data: bytes


class Change(Enum):
    """What the log is told, once for each."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    DIED = "died"
    RETURNED = "returned"  # it was believed dead, or suspected, and is not
    LEFT = "left"
    AWAY = "away"  # this process itself was stopped, and knows it
    RENAMED = "renamed"  # this life gave way upward to a higher boot number of its name


@dataclass(slots=True, frozen=True)
class Told:
    change: Change
    id: Id
    by: str = ""


@dataclass(slots=True, frozen=True)
class Deliver:
    """A message that is not for the view: of this life, which sent it under this id."""

    sender: Id
    body: Want | Grant


Action = Send | Exchange | Reply | Told | Deliver


@dataclass(slots=True)
class Life:
    """A life as this one knows it."""

    rumour: Rumour
    since: float  # of its state here
    accusers: set[str] = field(default_factory=set)
    heard: float = -math.inf  # directly, by a datagram or stream of its own
    mark: int = 0  # what it adds to the sum of those that are there
    warned: float = -math.inf  # when it was last told, at once, what is believed of it


@dataclass(slots=True)
class Probe:
    """A ping of our own that has no answer yet."""

    target: Id
    ask_at: float
    over_at: float
    asked: int = 0  # helpers
    nacks: int = 0


@dataclass(slots=True)
class Favour:
    """A ping for somebody else."""

    address: str
    number: int
    nack_at: float
    over_at: float


@dataclass(slots=True)
class Figures:
    """Counted from the start of this life."""

    datagrams_out: int = 0
    datagrams_in: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    suspicions: int = 0  # raised here
    deaths: int = 0  # declared here
    refutations: int = 0  # of what was said of this life
    false_deaths: int = 0  # lives believed dead here that came back under the same boot number
    refused: dict[str, int] = field(default_factory=dict)  # messages not taken, by reason


def rank(rumour: Rumour) -> tuple[bool, int, int]:
    """Of two rumours of one life the greater holds. Leaving is by its own word and final; else its own count
    decides, which only it raises, and at one count the graver state."""
    return rumour.state is State.LEFT, rumour.count, int(rumour.state)


def mark_of(rumour: Rumour) -> int:
    return zlib.crc32(f"{rumour.id.name}:{rumour.id.boot}:{rumour.count}".encode())


class Store(Protocol):
    """What goes along with every exchange of views."""

    def digest(self) -> int: ...

    def dump(self) -> bytes: ...

    def load(self, sender: Id, data: bytes) -> bool: ...

    def lacks(self, life: Id) -> bool: ...


class Members:
    """One life's view of the fleet."""

    def __init__(
        self,
        deployment: str,
        name: str,
        boot: int,
        address: str,
        seeds: Sequence[str],
        dice: random.Random,
        timing: Timing | None = None,
        alone: bool = False,
    ) -> None:
        self.deployment, self.address, self.alone = deployment, address, alone
        self.seeds = list(seeds)
        self.dice, self.timing = dice, timing or Timing()
        self.id = Id(name, boot)
        self.count = self.settings = 0
        self.lives: dict[Id, Life] = {}  # of others
        self.present: dict[Id, None] = {}  # of these, those that are alive or suspected ...
        self.doubted: dict[Id, Life] = {}  # ... those that are suspected ...
        self.looks: dict[Id, float] = {}  # ... when each of these is pinged once more, by who suspects it ...
        self.departed: dict[Id, None] = {}  # ... those believed dead ...
        self.over: dict[Id, None] = {}  # ... and those that left, the first to leave first
        self.store: Store | None = None
        self.push_until = -math.inf  # until when those are sought that lack what was done here
        self.sum = 0  # of the marks of those that are there: the same where the same ones are
        self.news_at = -math.inf  # when something new was heard of anybody
        self.news: list[Id] = []  # of whom this step has brought something new
        self.queue: dict[Id, int] = {}  # whose latest rumours are still told, and how often they were
        self.round: list[Id] = []  # whom to probe in this round, the next one last
        self.probes: dict[int, Probe] = {}
        self.favours: dict[int, Favour] = {}
        self.number = 0
        self.health = 0  # 0: well; more, and this life doubts itself rather than others
        self.joined = False
        self.leaving = self.left = False
        self.figures = Figures()
        self.now = self.due = -math.inf
        self.shift = 0.0  # seconds by which the clock that we are given went back
        self.next: dict[str, float] = {}
        self.actions: list[Action] = []

    # The step

    def step(self, now: float, events: Iterable[Event] = ()) -> list[Action]:
        """Take in events and whatever is due. Times are of a monotonic clock; should one jump back, it
        goes on here from where it was."""
        self.actions, self.news = [], []
        self.shift = max(self.shift, self.now - now)
        now += self.shift
        if not self.next:
            self.begin(now)
        elif now > self.due + self.timing.away:
            self.wake(now, now - self.due)
        self.now = now
        for event in events:
            self.take(event)
        if not self.left:
            self.work()
        self.due = self.next_at() + self.shift
        return self.actions

    def next_at(self) -> float:
        """When the next step is due even if nothing comes."""
        if self.left:
            return math.inf
        idle = {"swap", "look"} if self.queue or self.leaving else {"swap", "look", "gossip"}
        if self.now >= self.push_until:
            idle.add("push")
        due = min(at for name, at in self.next.items() if name not in idle)
        for probe in self.probes.values():
            due = min(due, probe.over_at if probe.asked else probe.ask_at)
        for favour in self.favours.values():
            due = min(due, favour.nack_at)
        for at in itertools.islice(self.looks.values(), 1):
            due = min(due, max(at, self.next["look"]))
        ends = map(self.suspicion_ends, self.doubted.values())
        return max(self.now, min(due, min(ends, default=math.inf))) - self.shift

    def begin(self, now: float) -> None:
        """Spread the first rounds, so that a fleet that starts as one does not go on as one."""
        timing, self.now = self.timing, now
        for name, every in (
            ("probe", timing.period),
            ("gossip", timing.gossip),
            ("sync", timing.sync),
            ("departed", timing.departed),
        ):
            self.next[name] = now + self.dice.random() * every
        self.next["swap"] = self.next["look"] = self.next["push"] = now  # not before
        self.joined = not self.other_seeds()
        self.next["join"] = math.inf if self.joined else now

    def wake(self, now: float, gap: float) -> None:
        """This process stood still: what it did not hear proves nothing of others, and they may have given it
        up. It says at once, under a new count, that it is there."""
        self.probes.clear()
        self.favours.clear()
        for life in self.doubted.values():
            life.since += gap
        self.next = {name: max(at, now) for name, at in self.next.items()}
        self.health = UNHEALTHY
        self.now = now
        self.count += 1
        self.queue[self.id] = 0
        self.actions.append(Told(Change.AWAY, self.id))
        self.next["gossip"] = self.next["sync"] = now

    def work(self) -> None:
        now, timing = self.now, self.timing
        for number, probe in list(self.probes.items()):
            self.look_at_probe(number, probe)
        for number, favour in list(self.favours.items()):
            if now >= favour.over_at:
                del self.favours[number]
            elif now >= favour.nack_at:
                favour.nack_at = favour.over_at
                self.send(favour.address, Nack(favour.number))
        for id, life in list(self.doubted.items()):
            if now >= self.suspicion_ends(life):
                self.figures.deaths += 1
                old = life.rumour
                self.believe(Rumour(id, old.address, State.DEAD, old.count, old.alone))
        while self.over and now >= self.lives[first := next(iter(self.over))].since + timing.forget:
            del self.over[first], self.lives[first]
            self.queue.pop(first, None)
        if now >= self.next["join"]:
            self.join()
        if now >= self.next["probe"]:
            self.next["probe"] = now + timing.period * (1 + self.health)
            self.probe_next()
        if now >= self.next["look"]:
            self.look_again()
        if now < self.push_until and now >= self.next["push"]:
            self.push()
        if now >= self.next["departed"]:
            self.next["departed"] = now + timing.departed
            self.probe_departed()
        if now >= self.next["sync"]:
            every = timing.sync * max(1.0, len(self.lives) / SMALL)
            self.next["sync"] = now + every * (0.75 + self.dice.random() / 2)
            if there := self.there():
                self.exchange(self.lives[self.dice.choice(there)].rumour.address)
        if now >= self.next["gossip"] and (self.queue or self.leaving):
            self.next["gossip"] = now + timing.gossip
            self.gossip()

    # Coming and going

    def join(self) -> None:
        """Ask a seed that is in no life's place here. Goes on for ever, if slowly: two groups that formed
        around two seeds, which were down when the other's first member asked, would else never meet."""
        there, seeds = {self.lives[id].rumour.address for id in self.present}, self.other_seeds()
        strange = [seed for seed in seeds if seed not in there]
        lone = not self.joined or not there
        every = self.timing.join if lone else self.timing.sync
        self.next["join"] = self.now + every * (0.5 + self.dice.random())
        if strange or (lone and seeds):
            self.exchange(self.dice.choice(strange or seeds))

    def other_seeds(self) -> list[str]:
        return [seed for seed in self.seeds if seed != self.address]

    def rise(self, boot: int) -> None:
        """Another life of our name has this boot number or a higher one: ours is an old one that came back.
        Give it up, by our own word, and go beyond."""
        self.keep(Life(Rumour(self.id, self.address, State.LEFT, self.count, self.alone), self.now))
        self.id, self.count = Id(self.id.name, boot + 1), 0
        self.queue[self.id] = 0
        self.actions.append(Told(Change.RENAMED, self.id))

    def leave(self) -> None:
        """Tell several at once, as the process may end directly after; then as rumours are told."""
        self.leaving = True
        self.queue = {self.id: 0}
        self.next["gossip"] = self.now
        there = self.there()
        for id in self.dice.sample(there, min(FAREWELL, len(there))):
            self.send(self.lives[id].rumour.address, Gossip())
        self.queue = {self.id: 0}

    def move(self, address: str, alone: bool) -> None:
        """Others reach this life elsewhere from now on."""
        self.address, self.alone = address, alone
        self.count += 1
        self.queue[self.id] = 0
        self.next["gossip"] = self.now

    def goes_by(self, settings: int) -> None:
        """This life's settings, as a sum; they themselves never travel."""
        changed, self.settings = settings != self.settings, settings
        if changed and self.next:  # it has begun, so that others may have heard other ones
            self.count += 1
            self.queue[self.id] = 0
            self.next["gossip"] = self.now

    def unlike(self) -> list[str]:
        """Fronts that go by other settings than this one."""
        known = [self.lives[id].rumour for id in list(self.present) if id in self.lives]
        return sorted({one.id.name for one in known if one.settings not in (0, self.settings)})

    # Probes

    def there(self) -> list[Id]:
        return list(self.present)

    def probe_next(self) -> None:
        """One member a period, each once in a round whose order is drawn anew."""
        while self.round:
            id = self.round.pop()
            life = self.lives.get(id)
            if life and life.rumour.state in HEARD_OF:
                return self.probe(id)
        self.round = self.there()
        self.dice.shuffle(self.round)
        if self.round:
            self.probe(self.round.pop())

    def probe(self, id: Id) -> None:
        self.number += 1
        slack = 1 + self.health
        self.probes[self.number] = Probe(
            id, self.now + self.timing.answer * slack, self.now + self.timing.period * slack
        )
        self.send(self.lives[id].rumour.address, Ping(self.number, id, self.there_sum()), id)

    def look_at_probe(self, number: int, probe: Probe) -> None:
        life = self.lives.get(probe.target)
        if life is None or life.rumour.state not in HEARD_OF:
            del self.probes[number]
        elif self.now >= probe.over_at:
            del self.probes[number]
            missed = probe.asked - probe.nacks  # helpers whom we do not hear either: the fault may be ours
            self.health = min(UNHEALTHY, self.health + (missed if probe.asked else 1))
            self.figures.suspicions += 1
            old = life.rumour
            self.believe(Rumour(old.id, old.address, State.SUSPECT, old.count, old.alone, self.id.name))
        elif self.now >= probe.ask_at and not probe.asked:
            self.ask_others(number, probe, life.rumour.address)

    def ask_others(self, number: int, probe: Probe, address: str) -> None:
        helpers = [id for id in self.there() if id != probe.target]
        chosen = self.dice.sample(helpers, min(self.timing.helpers, len(helpers)))
        for id in chosen:
            self.send(self.lives[id].rumour.address, Ask(number, probe.target, address))
        probe.asked = len(chosen)
        if not chosen:
            probe.ask_at = probe.over_at

    def probe_departed(self) -> None:
        """One of those believed dead: were it a cut that parted us, it heals by this. Or one that left and
        has no successor at its address: it may be back, and its seeds be gone. The rate is one life's,
        however many there are."""
        there = {self.lives[id].rumour.address for id in self.present} if self.over else set()
        left = [id for id in self.over if self.lives[id].rumour.address not in {*there, self.address}]
        choices = [choice for choice in (list(self.departed), left) if choice]
        if choices:
            id = self.dice.choice(self.dice.choice(choices))
            self.number += 1
            self.send(self.lives[id].rumour.address, Ping(self.number, id, self.there_sum()), id)

    def look_again(self) -> None:
        """Ping one that has been suspected for a period. Its answer has its count, should its refutation not
        have come by others, as rumours reach nearly all and not all; no answer accuses nobody."""
        for id, at in self.looks.items():
            if self.now >= at:
                del self.looks[id]
                self.next["look"] = self.now + self.timing.gossip
                self.number += 1
                self.send(self.lives[id].rumour.address, Ping(self.number, id, self.there_sum()), id)
            return

    def suspicion_ends(self, life: Life) -> float:
        """Long with one accuser, shorter with each further one (Lifeguard's logarithm)."""
        timing, size = self.timing, len(self.lives) + 1
        least = timing.suspicion * timing.period * max(1.0, math.log10(size))
        most = least * timing.doubt
        sure = math.log(max(1, len(life.accusers))) / math.log(ACCUSERS)
        return life.since + max(least, most - (most - least) * sure)

    # Messages

    def take(self, event: Event) -> None:
        try:
            match event:
                case Heard(data):
                    self.figures.datagrams_in += 1
                    self.figures.bytes_in += len(data)
                    self.hear(decode_datagram(self.deployment, data))
                case Asked(token, data):
                    self.figures.bytes_in += len(data)
                    view = decode_view(self.deployment, data)
                    self.merge(view.sender, view.lives, not self.joined)
                    self.load(view.sender.id, view.copies)
                    answer = self.view()
                    self.actions.append(Reply(token, answer))
                    self.figures.bytes_out += len(answer)
                case Answered(_, data) if data is not None:
                    self.figures.bytes_in += len(data)
                    view = decode_view(self.deployment, data)
                    first, self.joined = not self.joined, True
                    self.merge(view.sender, view.lives, first)
                    self.load(view.sender.id, view.copies)
                case Leave():
                    self.leave()
                case Remembered(boot):
                    if boot >= self.id.boot:
                        self.rise(boot)
        except Refused as refused:
            reason = str(refused)
            self.figures.refused[reason] = self.figures.refused.get(reason, 0) + 1

    def hear(self, message: Datagram) -> None:
        sender, body = message.sender, message.body
        if sender.id == self.id:
            return
        returned, before = sender.id in self.departed, self.count
        self.believe(sender)
        life = self.lives.get(sender.id)
        if life is None:
            return
        life.heard = self.now
        if returned and sender.id in self.present:  # a cut has healed: there may be more beyond it
            for _ in range(HEALS):
                self.probe_departed()
            self.swap(sender.address)
        for rumour in message.rumours:
            self.believe(rumour)
        if self.count > before:  # it, or one it believes, held us for gone: our word brings us back
            self.send(sender.address, Gossip(), sender.id)
        match body:
            case Ping(number, target, there):
                if target == self.id:
                    self.send(sender.address, Ack(number), sender.id)
                    self.compare(there, sender.address)
                else:  # it took us for an earlier life: now it knows better
                    self.send(sender.address, Gossip(), sender.id)
            case Ask(number, target, address):
                self.number += 1
                self.favours[self.number] = Favour(
                    sender.address, number, self.now + self.timing.answer, self.now + self.timing.period
                )
                self.send(address, Ping(self.number, target, self.there_sum()))
            case Nack(number) if number in self.probes:
                self.probes[number].nacks += 1
            case Ack(number):
                self.acked(number)
            case Want() | Grant():
                self.actions.append(Deliver(sender.id, body))
        self.warn(life, sender)

    def swap(self, address: str) -> None:
        """Exchange whole views with one from beyond a cut: what each side held for dead is suspected on the
        other, where it can refute. Once in a while only, as all meet somebody at once."""
        if self.now >= self.next["swap"]:
            self.next["swap"] = self.now + self.timing.departed
            self.exchange(address)

    def load(self, sender: Id, copies: bytes) -> None:
        """What came along with a view; news are passed on at once, to a few."""
        if self.store is None or not copies or sender == self.id:
            return
        try:
            news = self.store.load(sender, copies)
        except ValueError as error:
            raise Refused(f"copies {error}") from error
        if news:
            self.news_at = self.now
            there = self.there()
            for id in self.dice.sample(there, min(self.timing.fanout, len(there))):
                if self.store.lacks(id):
                    self.exchange(self.lives[id].rumour.address)

    def done_here(self) -> None:
        """The copies were changed by a call here: take them to all that are there, some at a time."""
        self.push_until, self.news_at = self.now + self.timing.sync, self.now
        self.next["push"] = self.now

    def push(self) -> None:
        assert self.store
        lacking = [id for id in self.present if self.store.lacks(id)]
        if not lacking:
            self.push_until = -math.inf
            return
        self.next["push"] = self.now + self.timing.answer
        for id in self.dice.sample(lacking, min(FAREWELL, len(lacking))):
            self.exchange(self.lives[id].rumour.address)

    def there_sum(self) -> int:
        copies = self.store.digest() if self.store else 0
        return self.sum ^ mark_of(self.me()) ^ copies

    def compare(self, there: int, address: str) -> None:
        """Where the other has others there than we, though nothing new has come for a while, rumours have
        left something out: exchange views. Whole views go by this, and hardly by the clock, so that what a
        member sends doesn't grow with the fleet."""
        if there != self.there_sum() and self.now >= self.news_at + QUIET * self.timing.period:
            self.swap(address)

    def warn(self, life: Life, sender: Rumour) -> None:
        """Tell it first what is believed of it, that it may refute; once in a while only: two that believe
        each other dead, of which one cannot refute, would answer each other without end, and each datagram
        that a link doubles would start another such exchange."""
        doubted = life.rumour.state is not State.ALIVE and rank(life.rumour) > rank(sender)
        if doubted and self.now >= life.warned + self.timing.answer:
            life.warned = self.now
            self.send(sender.address, Gossip(), sender.id)

    def acked(self, number: int) -> None:
        if number in self.probes:
            del self.probes[number]
            self.health = max(0, self.health - 1)
        elif number in self.favours:
            favour = self.favours.pop(number)
            self.send(favour.address, Ack(favour.number))

    def merge(self, sender: Rumour, lives: list[Rumour], first: bool) -> None:
        """A whole view. Who is dead in it may be so for its sender alone, as after a cut: it is suspected
        here, and may refute. ``first``: nobody has told us anything before, so that a higher boot number of
        our name is not our successor's in an upgrade, but says that ours is an old one that came back."""
        if sender.id != self.id:
            self.believe(sender)
            if sender.id in self.lives:
                self.lives[sender.id].heard = self.now
        highest = max((one.id.boot for one in [sender, *lives] if one.id.name == self.id.name), default=-1)
        if first and highest > self.id.boot:
            self.rise(highest)
        for one in lives:
            if one.state is State.DEAD and one.id in self.present:
                one = Rumour(one.id, one.address, State.SUSPECT, one.count, one.alone, sender.id.name)
            self.believe(one)

    def believe(self, rumour: Rumour) -> None:
        """Merge one rumour, and tell it on where it is news."""
        if rumour.id == self.id:
            return self.refute(rumour)
        life = self.lives.get(rumour.id)
        if life is None:
            life = Life(rumour, self.now)
            self.keep(life)
            if rumour.state is State.SUSPECT:
                life.accusers.add(rumour.by)
            if rumour.state in HEARD_OF:
                self.actions.append(Told(Change.JOINED, rumour.id, rumour.by))
                place = self.dice.randrange(len(self.round) + 1)
                self.round.insert(place, rumour.id)
            return
        old = life.rumour
        if rumour.count < old.count and rumour.state is not State.LEFT:
            return  # the most frequent case by far: old news
        if rank(rumour) > rank(old):
            self.changed(life, old, rumour)
        elif rank(rumour) == rank(old) and rumour.state is State.SUSPECT and self.accuses(life, rumour.by):
            life.accusers.add(rumour.by)  # told on, as it shortens the suspicion
            life.rumour = rumour
            self.keep(life)

    @staticmethod
    def accuses(life: Life, by: str) -> bool:
        """Whether this accuser is a further one that counts."""
        return by not in life.accusers and len(life.accusers) < ACCUSERS

    def keep(self, life: Life) -> None:
        """Its rumour is new: told on from now, and found by its state."""
        id, state = life.rumour.id, life.rumour.state
        self.lives[id] = life
        self.queue[id] = 0
        self.news.append(id)
        self.news_at = self.now
        mark = mark_of(life.rumour) if state in HEARD_OF else 0
        self.sum ^= life.mark ^ mark
        life.mark = mark
        for kept, states in (
            (self.present, HEARD_OF),
            (self.departed, (State.DEAD,)),
            (self.over, (State.LEFT,)),
        ):
            if state in states:
                kept.setdefault(id)
            else:
                kept.pop(id, None)
        if state is State.SUSPECT:
            if id not in self.doubted:
                self.looks[id] = self.now + self.timing.period
            self.doubted[id] = life
        else:
            self.doubted.pop(id, None)
            self.looks.pop(id, None)

    def changed(self, life: Life, old: Rumour, rumour: Rumour) -> None:
        life.rumour = rumour
        self.keep(life)
        if rumour.state is State.SUSPECT and old.state is State.SUSPECT:
            life.accusers, life.since = {rumour.by}, self.now
            return
        if rumour.state is old.state:
            return
        life.since, life.accusers = self.now, {rumour.by} if rumour.state is State.SUSPECT else set()
        change = {
            State.ALIVE: Change.RETURNED,
            State.SUSPECT: Change.SUSPECTED,
            State.DEAD: Change.DIED,
            State.LEFT: Change.LEFT,
        }[rumour.state]
        if old.state is State.DEAD and rumour.state in HEARD_OF:
            self.figures.false_deaths += 1
        if rumour.state in HEARD_OF and old.state not in HEARD_OF:
            self.round.insert(self.dice.randrange(len(self.round) + 1), rumour.id)
        self.actions.append(Told(change, rumour.id, rumour.by))

    def refute(self, rumour: Rumour) -> None:
        """Somebody doubts us: go beyond its count. What is said of us with a count that we never gave comes
        from a life whose memory we lost: beyond that too."""
        if self.leaving or (rumour.state is State.ALIVE and rumour.count <= self.count):
            return
        if rumour.state is State.LEFT:  # not by our word: what left never returns under its number
            self.rise(self.id.boot)
            return
        if rumour.count >= self.count:
            self.count = rumour.count + 1
            self.queue[self.id] = 0
            self.figures.refutations += 1
            self.health = min(UNHEALTHY, self.health + 1)

    # Telling

    def me(self) -> Rumour:
        state = State.LEFT if self.leaving else State.ALIVE
        return Rumour(self.id, self.address, state, self.count, self.alone, "", self.settings)

    def rumour_of(self, id: Id) -> Rumour:
        return self.me() if id == self.id else self.lives[id].rumour

    def to_tell(self, first: Id | None) -> Iterator[Id]:
        """Whose rumours go with a datagram: its receiver's own if it is in doubt, then those told least."""
        if first in self.lives and self.lives[first].rumour.state is not State.ALIVE:
            yield first
        first_in = itertools.islice(self.queue, 4 * NOTED)
        waiting = sorted(first_in, key=self.queue.__getitem__)[:NOTED]
        yield from (id for id in waiting if id != first and (id in self.lives or id == self.id))

    def send(self, address: str, body: Body, receiver: Id | None = None) -> None:
        chosen = list(self.to_tell(receiver))
        rumours = [self.rumour_of(id) for id in chosen]
        data, used = encode_datagram(self.deployment, self.me(), body, rumours)
        most = math.ceil(self.timing.spread * math.log10(len(self.lives) + 2))
        for id in chosen[:used]:
            if id in self.queue:
                self.queue[id] += 1
                if self.queue[id] >= most:
                    del self.queue[id]
        self.figures.datagrams_out += 1
        self.figures.bytes_out += len(data)
        self.actions.append(Send(address, data))

    def post(self, receiver: Id, body: Want | Grant) -> list[Action]:
        """Send to a life what is not for the view; nothing where it is not there."""
        self.actions = []
        if receiver in self.present and not self.left:
            self.send(self.lives[receiver].rumour.address, body)
        return self.actions

    def gossip(self) -> None:
        there = self.there()
        for id in self.dice.sample(there, min(self.timing.fanout, len(there))):
            if not self.queue:
                break
            self.send(self.lives[id].rumour.address, Gossip())
        if self.leaving and (not self.queue or not there):
            self.left = True
        elif not there:
            self.queue.pop(self.id, None)

    def exchange(self, address: str) -> None:
        data = self.view()
        self.figures.bytes_out += len(data)
        self.actions.append(Exchange(address, data))

    def view(self) -> bytes:
        copies = self.store.dump() if self.store else b""
        return encode_view(self.deployment, self.me(), [life.rumour for life in self.lives.values()], copies)

    def digest(self) -> int:
        """The same number wherever the same is believed of every life."""
        every = [life.rumour for life in list(self.lives.values())]  # a copy: other threads may ask
        rows = sorted((one.id, int(one.state), one.count) for one in (*every, self.me()))
        return zlib.crc32(repr(rows).encode())
