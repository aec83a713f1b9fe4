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

from cleatyoke.membership.interface import (
    Change,
    DatagramReceived,
    DeliverBody,
    ExchangeAnswered,
    ExchangeRequested,
    IncarnationRemembered,
    LeaveRequested,
    MembershipAction,
    MembershipChanged,
    MembershipEvent,
    MembershipTiming,
    ReplicatedStore,
    ReplyExchange,
    SendDatagram,
    StartExchange,
)
from cleatyoke.membership.member_records import HEARD_OF, MemberRecord, RelayedPing, mark_of, rank
from cleatyoke.membership.probing import UNHEALTHY, Probing
from cleatyoke.membership.wire import (
    Ack,
    Body,
    Datagram,
    Gossip,
    LeaseGrant,
    LeaseRequest,
    MemberId,
    MemberState,
    Nack,
    Ping,
    PingRequest,
    Update,
    WireError,
    decode_datagram,
    decode_view,
    encode_datagram,
    encode_view,
)

HEALS = 3  # of the departed that are probed at once where one has returned
FAREWELL = 8  # members that hear at once of one that leaves
QUIET = 4  # periods without news, after which views that differ are exchanged
SMALL = 20  # members up to which whole views are exchanged at the stated interval; beyond, as much rarer
NOTED = 32  # rumours at the most that are looked at for one datagram


class Membership(Probing):
    """One life's view of the fleet."""

    def __init__(
        self,
        deployment: str,
        name: str,
        boot: int,
        address: str,
        seeds: Sequence[str],
        rng: random.Random,
        timing: MembershipTiming | None = None,
        alone: bool = False,
    ) -> None:
        super().__init__(MemberId(name, boot), address, rng, timing or MembershipTiming())
        self.deployment, self.alone = deployment, alone
        self.seeds = list(seeds)
        self.count = self.settings = 0
        self.store: ReplicatedStore | None = None
        self.push_until = -math.inf  # until when those are sought that lack what was done here
        self.joined = False
        self.leaving = self.left = False
        self.due = -math.inf
        self.shift = 0.0  # seconds by which the clock that we are given went back
        self.actions: list[MembershipAction] = []

    # The step

    def step(self, now: float, events: Iterable[MembershipEvent] = ()) -> list[MembershipAction]:
        """Take in events and whatever is due. Times are of a monotonic clock; should one jump back, it
        goes on here from where it was.
        """
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
        for relayed in self.relayed.values():
            due = min(due, relayed.nack_at)
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
            self.next[name] = now + self.rng.random() * every
        self.next["swap"] = self.next["look"] = self.next["push"] = now  # not before
        self.joined = not self.other_seeds()
        self.next["join"] = math.inf if self.joined else now

    def wake(self, now: float, gap: float) -> None:
        """This process stood still: what it did not hear proves nothing of others, and they may have given it
        up. It says at once, under a new count, that it is there.
        """
        self.probes.clear()
        self.relayed.clear()
        for life in self.doubted.values():
            life.since += gap
        self.next = {name: max(at, now) for name, at in self.next.items()}
        self.health = UNHEALTHY
        self.now = now
        self.count += 1
        self.queue[self.id] = 0
        self.actions.append(MembershipChanged(Change.AWAY, self.id))
        self.next["gossip"] = self.next["sync"] = now

    def work(self) -> None:
        now, timing = self.now, self.timing
        for number, probe in list(self.probes.items()):
            self.look_at_probe(number, probe)
        for number, relayed in list(self.relayed.items()):
            if now >= relayed.over_at:
                del self.relayed[number]
            elif now >= relayed.nack_at:
                relayed.nack_at = relayed.over_at
                self.send(relayed.address, Nack(relayed.number))
        for id, life in list(self.doubted.items()):
            if now >= self.suspicion_ends(life):
                self.figures.deaths += 1
                old = life.rumour
                self.believe(Update(id, old.address, MemberState.DEAD, old.count, old.alone))
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
            self.next["sync"] = now + every * (0.75 + self.rng.random() / 2)
            if there := self.there():
                self.exchange(self.lives[self.rng.choice(there)].rumour.address)
        if now >= self.next["gossip"] and (self.queue or self.leaving):
            self.next["gossip"] = now + timing.gossip
            self.gossip()

    # Coming and going

    def join(self) -> None:
        """Ask a seed that is in no life's place here. Goes on for ever, if slowly: two groups that formed
        around two seeds, which were down when the other's first member asked, would else never meet.
        """
        there, seeds = {self.lives[id].rumour.address for id in self.present}, self.other_seeds()
        strange = [seed for seed in seeds if seed not in there]
        lone = not self.joined or not there
        every = self.timing.join if lone else self.timing.sync
        self.next["join"] = self.now + every * (0.5 + self.rng.random())
        if strange or (lone and seeds):
            self.exchange(self.rng.choice(strange or seeds))

    def other_seeds(self) -> list[str]:
        return [seed for seed in self.seeds if seed != self.address]

    def rise(self, boot: int) -> None:
        """Another life of our name has this boot number or a higher one: ours is an old one that came back.
        Give it up, by our own word, and go beyond.
        """
        self.keep(
            MemberRecord(Update(self.id, self.address, MemberState.LEFT, self.count, self.alone), self.now)
        )
        self.id, self.count = MemberId(self.id.name, boot + 1), 0
        self.queue[self.id] = 0
        self.actions.append(MembershipChanged(Change.RENAMED, self.id))

    def leave(self) -> None:
        """Tell several at once, as the process may end directly after; then as rumours are told."""
        self.leaving = True
        self.queue = {self.id: 0}
        self.next["gossip"] = self.now
        there = self.there()
        for id in self.rng.sample(there, min(FAREWELL, len(there))):
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

    # Messages

    def take(self, event: MembershipEvent) -> None:
        try:
            match event:
                case DatagramReceived(data):
                    self.figures.datagrams_in += 1
                    self.figures.bytes_in += len(data)
                    self.hear(decode_datagram(self.deployment, data))
                case ExchangeRequested(token, data):
                    self.figures.bytes_in += len(data)
                    view = decode_view(self.deployment, data)
                    self.merge(view.sender, view.lives, not self.joined)
                    self.load(view.sender.id, view.copies)
                    answer = self.view()
                    self.actions.append(ReplyExchange(token, answer))
                    self.figures.bytes_out += len(answer)
                case ExchangeAnswered(_, data) if data is not None:
                    self.figures.bytes_in += len(data)
                    view = decode_view(self.deployment, data)
                    first, self.joined = not self.joined, True
                    self.merge(view.sender, view.lives, first)
                    self.load(view.sender.id, view.copies)
                case LeaveRequested():
                    self.leave()
                case IncarnationRemembered(boot):
                    if boot >= self.id.boot:
                        self.rise(boot)
        except WireError as refused:
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
            case PingRequest(number, target, address):
                self.number += 1
                self.relayed[self.number] = RelayedPing(
                    sender.address, number, self.now + self.timing.answer, self.now + self.timing.period
                )
                self.send(address, Ping(self.number, target, self.there_sum()))
            case Nack(number) if number in self.probes:
                self.probes[number].nacks += 1
            case Ack(number):
                self.acked(number)
            case LeaseRequest() | LeaseGrant():
                self.actions.append(DeliverBody(sender.id, body))
        self.warn(life, sender)

    def swap(self, address: str) -> None:
        """Exchange whole views with one from beyond a cut: what each side held for dead is suspected on the
        other, where it can refute. Once in a while only, as all meet somebody at once.
        """
        if self.now >= self.next["swap"]:
            self.next["swap"] = self.now + self.timing.departed
            self.exchange(address)

    def load(self, sender: MemberId, copies: bytes) -> None:
        """What came along with a view; news are passed on at once, to a few."""
        if self.store is None or not copies or sender == self.id:
            return
        try:
            news = self.store.load(sender, copies)
        except ValueError as error:
            msg = f"copies {error}"
            raise WireError(msg) from error
        if news:
            self.news_at = self.now
            there = self.there()
            for id in self.rng.sample(there, min(self.timing.fanout, len(there))):
                if self.store.is_behind(id):
                    self.exchange(self.lives[id].rumour.address)

    def done_here(self) -> None:
        """The copies were changed by a call here: take them to all that are there, some at a time."""
        self.push_until, self.news_at = self.now + self.timing.sync, self.now
        self.next["push"] = self.now

    def push(self) -> None:
        assert self.store
        lacking = [id for id in self.present if self.store.is_behind(id)]
        if not lacking:
            self.push_until = -math.inf
            return
        self.next["push"] = self.now + self.timing.answer
        for id in self.rng.sample(lacking, min(FAREWELL, len(lacking))):
            self.exchange(self.lives[id].rumour.address)

    def there_sum(self) -> int:
        copies = self.store.digest() if self.store else 0
        return self.sum ^ mark_of(self.me()) ^ copies

    def compare(self, there: int, address: str) -> None:
        """Where the other has others there than we, though nothing new has come for a while, rumours have
        left something out: exchange views. Whole views go by this, and hardly by the clock, so that what a
        member sends doesn't grow with the fleet.
        """
        if there != self.there_sum() and self.now >= self.news_at + QUIET * self.timing.period:
            self.swap(address)

    def warn(self, life: MemberRecord, sender: Update) -> None:
        """Tell it first what is believed of it, that it may refute; once in a while only: two that believe
        each other dead, of which one cannot refute, would answer each other without end, and each datagram
        that a link doubles would start another such exchange.
        """
        doubted = life.rumour.state is not MemberState.ALIVE and rank(life.rumour) > rank(sender)
        if doubted and self.now >= life.warned + self.timing.answer:
            life.warned = self.now
            self.send(sender.address, Gossip(), sender.id)

    def merge(self, sender: Update, lives: list[Update], first: bool) -> None:
        """A whole view. Who is dead in it may be so for its sender alone, as after a cut: it is suspected
        here, and may refute. ``first``: nobody has told us anything before, so that a higher boot number of
        our name is not our successor's in an upgrade, but says that ours is an old one that came back.
        """
        if sender.id != self.id:
            self.believe(sender)
            if sender.id in self.lives:
                self.lives[sender.id].heard = self.now
        highest = max((one.id.boot for one in [sender, *lives] if one.id.name == self.id.name), default=-1)
        if first and highest > self.id.boot:
            self.rise(highest)
        for one in lives:
            if one.state is MemberState.DEAD and one.id in self.present:
                one = Update(one.id, one.address, MemberState.SUSPECT, one.count, one.alone, sender.id.name)
            self.believe(one)

    def believe(self, rumour: Update) -> None:
        """Merge one rumour, and tell it on where it is news."""
        if rumour.id == self.id:
            return self.refute(rumour)
        life = self.lives.get(rumour.id)
        if life is None:
            life = MemberRecord(rumour, self.now)
            self.keep(life)
            if rumour.state is MemberState.SUSPECT:
                life.accusers.add(rumour.by)
            if rumour.state in HEARD_OF:
                self.actions.append(MembershipChanged(Change.JOINED, rumour.id, rumour.by))
                place = self.rng.randrange(len(self.round) + 1)
                self.round.insert(place, rumour.id)
            return None
        old = life.rumour
        if rumour.count < old.count and rumour.state is not MemberState.LEFT:
            return None  # the most frequent case by far: old news
        if rank(rumour) > rank(old):
            self.changed(life, old, rumour)
        elif (
            rank(rumour) == rank(old)
            and rumour.state is MemberState.SUSPECT
            and self.accuses(life, rumour.by)
        ):
            life.accusers.add(rumour.by)  # told on, as it shortens the suspicion
            life.rumour = rumour
            self.keep(life)

    def changed(self, life: MemberRecord, old: Update, rumour: Update) -> None:
        life.rumour = rumour
        self.keep(life)
        if rumour.state is MemberState.SUSPECT and old.state is MemberState.SUSPECT:
            life.accusers, life.since = {rumour.by}, self.now
            return
        if rumour.state is old.state:
            return
        life.since, life.accusers = self.now, {rumour.by} if rumour.state is MemberState.SUSPECT else set()
        change = {
            MemberState.ALIVE: Change.RETURNED,
            MemberState.SUSPECT: Change.SUSPECTED,
            MemberState.DEAD: Change.DIED,
            MemberState.LEFT: Change.LEFT,
        }[rumour.state]
        if old.state is MemberState.DEAD and rumour.state in HEARD_OF:
            self.figures.false_deaths += 1
        if rumour.state in HEARD_OF and old.state not in HEARD_OF:
            self.round.insert(self.rng.randrange(len(self.round) + 1), rumour.id)
        self.actions.append(MembershipChanged(change, rumour.id, rumour.by))

    def refute(self, rumour: Update) -> None:
        """Somebody doubts us: go beyond its count. What is said of us with a count that we never gave comes
        from a life whose memory we lost: beyond that too.
        """
        if self.leaving or (rumour.state is MemberState.ALIVE and rumour.count <= self.count):
            return
        if rumour.state is MemberState.LEFT:  # not by our word: what left never returns under its number
            self.rise(self.id.boot)
            return
        if rumour.count >= self.count:
            self.count = rumour.count + 1
            self.queue[self.id] = 0
            self.figures.refutations += 1
            self.health = min(UNHEALTHY, self.health + 1)

    # Telling

    def me(self) -> Update:
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        return Update(self.id, self.address, state, self.count, self.alone, "", self.settings)

    def rumour_of(self, id: MemberId) -> Update:
        return self.me() if id == self.id else self.lives[id].rumour

    def to_tell(self, first: MemberId | None) -> Iterator[MemberId]:
        """Whose rumours go with a datagram: its receiver's own if it is in doubt, then those told least."""
        if first in self.lives and self.lives[first].rumour.state is not MemberState.ALIVE:
            yield first
        first_in = itertools.islice(self.queue, 4 * NOTED)
        waiting = sorted(first_in, key=self.queue.__getitem__)[:NOTED]
        yield from (id for id in waiting if id != first and (id in self.lives or id == self.id))

    def send(self, address: str, body: Body, receiver: MemberId | None = None) -> None:
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
        self.actions.append(SendDatagram(address, data))

    def post(self, receiver: MemberId, body: LeaseRequest | LeaseGrant) -> list[MembershipAction]:
        """Send to a life what is not for the view; nothing where it is not there."""
        self.actions = []
        if receiver in self.present and not self.left:
            self.send(self.lives[receiver].rumour.address, body)
        return self.actions

    def gossip(self) -> None:
        there = self.there()
        for id in self.rng.sample(there, min(self.timing.fanout, len(there))):
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
        self.actions.append(StartExchange(address, data))

    def view(self) -> bytes:
        copies = self.store.dump() if self.store else b""
        return encode_view(self.deployment, self.me(), [life.rumour for life in self.lives.values()], copies)

    def digest(self) -> int:
        """The same number wherever the same is believed of every incarnation.

        Operators compare it between fronts, also of different releases: the text that is summed up has names
        of its own, which don't follow the names of this code.
        """
        every = [life.rumour for life in list(self.lives.values())]  # a copy: other threads may read too
        rows = sorted((one.id, int(one.state), one.count) for one in (*every, self.me()))
        texts = [f"(Id(name={id.name!r}, boot={id.boot!r}), {state}, {count})" for id, state, count in rows]
        return zlib.crc32(f"[{', '.join(texts)}]".encode())
