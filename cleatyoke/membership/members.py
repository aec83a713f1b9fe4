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
    BootNumberRecovered,
    ChangeKind,
    DatagramReceived,
    DeliverLeaseMessage,
    ExchangeAnswered,
    ExchangeRequested,
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
from cleatyoke.membership.member_records import (
    ACTIVE_STATES,
    MemberRecord,
    RelayedPing,
    member_checksum,
    precedence,
)
from cleatyoke.membership.probing import MAX_HEALTH_SCORE, Probing
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
    decode_full_state,
    encode_datagram,
    encode_full_state,
)

REJOIN_PROBES = 3  # of the departed that are probed at once where one has returned
LEAVE_FANOUT = 8  # members that hear at once of one that leaves
QUIET_PERIODS = 4  # periods without news, after which views that differ are exchanged
FIXED_RATE_MEMBERS = (
    20  # members up to which whole views are exchanged at the stated interval; beyond, as much rarer
)
MAX_PIGGYBACKED = 32  # rumours at the most that are looked at for one datagram


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
        owns_address: bool = False,
    ) -> None:
        super().__init__(MemberId(name, boot), address, rng, timing or MembershipTiming())
        self.deployment, self.owns_address = deployment, owns_address
        self.seeds = list(seeds)
        self.incarnation = self.settings_checksum = 0
        self.store: ReplicatedStore | None = None
        self.push_deadline = -math.inf  # until when those are sought that lack what was done here
        self.has_joined = False
        self.is_leaving = self.has_left = False
        self.expected_step_at = -math.inf
        self.clock_correction = 0.0  # seconds by which the clock that we are given went back
        self.actions: list[MembershipAction] = []

    # The step

    def step(self, now: float, events: Iterable[MembershipEvent] = ()) -> list[MembershipAction]:
        """Take in events and whatever is due. Times are of a monotonic clock; should one jump back, it
        goes on here from where it was.
        """
        self.actions, self.changed_ids = [], []
        self.clock_correction = max(self.clock_correction, self.now - now)
        now += self.clock_correction
        if not self.due_at:
            self.start_timers(now)
        elif now > self.expected_step_at + self.timing.pause_threshold:
            self.resume_after_pause(now, now - self.expected_step_at)
        self.now = now
        for event in events:
            self.handle_event(event)
        if not self.has_left:
            self.run_timers()
        self.expected_step_at = self.next_step_at() + self.clock_correction
        return self.actions

    def next_step_at(self) -> float:
        """When the next step is due even if nothing comes."""
        if self.has_left:
            return math.inf
        idle = {"swap", "look"} if self.transmit_counts or self.is_leaving else {"swap", "look", "gossip"}
        if self.now >= self.push_deadline:
            idle.add("push")
        due = min(at for name, at in self.due_at.items() if name not in idle)
        for probe in self.pending_probes.values():
            due = min(due, probe.deadline if probe.helpers_asked else probe.indirect_at)
        for relayed in self.relayed_pings.values():
            due = min(due, relayed.nack_at)
        for at in itertools.islice(self.recheck_at.values(), 1):
            due = min(due, max(at, self.due_at["look"]))
        ends = map(self.suspicion_deadline, self.suspected_members.values())
        return max(self.now, min(due, min(ends, default=math.inf))) - self.clock_correction

    def start_timers(self, now: float) -> None:
        """Spread the first rounds, so that a fleet that starts as one does not go on as one."""
        timing, self.now = self.timing, now
        for name, every in (
            ("probe", timing.probe_interval),
            ("gossip", timing.gossip_interval),
            ("sync", timing.exchange_interval),
            ("departed", timing.failed_probe_interval),
        ):
            self.due_at[name] = now + self.rng.random() * every
        self.due_at["swap"] = self.due_at["look"] = self.due_at["push"] = now  # not before
        self.has_joined = not self.other_seeds()
        self.due_at["join"] = math.inf if self.has_joined else now

    def resume_after_pause(self, now: float, gap: float) -> None:
        """This process stood still: what it did not hear proves nothing of others, and they may have given it
        up. It says at once, under a new count, that it is there.
        """
        self.pending_probes.clear()
        self.relayed_pings.clear()
        for life in self.suspected_members.values():
            life.state_since += gap
        self.due_at = {name: max(at, now) for name, at in self.due_at.items()}
        self.health_score = MAX_HEALTH_SCORE
        self.now = now
        self.incarnation += 1
        self.transmit_counts[self.id] = 0
        self.actions.append(MembershipChanged(ChangeKind.PAUSED, self.id))
        self.due_at["gossip"] = self.due_at["sync"] = now

    def run_timers(self) -> None:
        now, timing = self.now, self.timing
        for number, probe in list(self.pending_probes.items()):
            self.check_probe(number, probe)
        for number, relayed in list(self.relayed_pings.items()):
            if now >= relayed.deadline:
                del self.relayed_pings[number]
            elif now >= relayed.nack_at:
                relayed.nack_at = relayed.deadline
                self.send(relayed.requester, Nack(relayed.requester_sequence))
        for id, life in list(self.suspected_members.items()):
            if now >= self.suspicion_deadline(life):
                self.counters.deaths += 1
                old = life.update
                self.merge_update(
                    Update(id, old.address, MemberState.DEAD, old.incarnation, old.owns_address)
                )
        while (
            self.left_members
            and now
            >= self.records[first := next(iter(self.left_members))].state_since + timing.left_retention
        ):
            del self.left_members[first], self.records[first]
            self.transmit_counts.pop(first, None)
        if now >= self.due_at["join"]:
            self.join()
        if now >= self.due_at["probe"]:
            self.due_at["probe"] = now + timing.probe_interval * (1 + self.health_score)
            self.probe_next_member()
        if now >= self.due_at["look"]:
            self.recheck_suspect()
        if now < self.push_deadline and now >= self.due_at["push"]:
            self.push_replicas()
        if now >= self.due_at["departed"]:
            self.due_at["departed"] = now + timing.failed_probe_interval
            self.probe_failed_member()
        if now >= self.due_at["sync"]:
            every = timing.exchange_interval * max(1.0, len(self.records) / FIXED_RATE_MEMBERS)
            self.due_at["sync"] = now + every * (0.75 + self.rng.random() / 2)
            if there := self.active_ids():
                self.start_exchange(self.records[self.rng.choice(there)].update.address)
        if now >= self.due_at["gossip"] and (self.transmit_counts or self.is_leaving):
            self.due_at["gossip"] = now + timing.gossip_interval
            self.send_gossip()

    # Coming and going

    def join(self) -> None:
        """Ask a seed that is in no life's place here. Goes on for ever, if slowly: two groups that formed
        around two seeds, which were down when the other's first member asked, would else never meet.
        """
        there, seeds = {self.records[id].update.address for id in self.active_members}, self.other_seeds()
        strange = [seed for seed in seeds if seed not in there]
        lone = not self.has_joined or not there
        every = self.timing.join_interval if lone else self.timing.exchange_interval
        self.due_at["join"] = self.now + every * (0.5 + self.rng.random())
        if strange or (lone and seeds):
            self.start_exchange(self.rng.choice(strange or seeds))

    def other_seeds(self) -> list[str]:
        return [seed for seed in self.seeds if seed != self.address]

    def adopt_higher_boot(self, boot: int) -> None:
        """Another life of our name has this boot number or a higher one: ours is an old one that came back.
        Give it up, by our own word, and go beyond.
        """
        self.store_record(
            MemberRecord(
                Update(self.id, self.address, MemberState.LEFT, self.incarnation, self.owns_address), self.now
            )
        )
        self.id, self.incarnation = MemberId(self.id.name, boot + 1), 0
        self.transmit_counts[self.id] = 0
        self.actions.append(MembershipChanged(ChangeKind.RENAMED, self.id))

    def leave(self) -> None:
        """Tell several at once, as the process may end directly after; then as rumours are told."""
        self.is_leaving = True
        self.transmit_counts = {self.id: 0}
        self.due_at["gossip"] = self.now
        there = self.active_ids()
        for id in self.rng.sample(there, min(LEAVE_FANOUT, len(there))):
            self.send(self.records[id].update.address, Gossip())
        self.transmit_counts = {self.id: 0}

    def change_address(self, address: str, owns_address: bool) -> None:
        """Others reach this life elsewhere from now on."""
        self.address, self.owns_address = address, owns_address
        self.incarnation += 1
        self.transmit_counts[self.id] = 0
        self.due_at["gossip"] = self.now

    def announce_settings(self, settings: int) -> None:
        """This life's settings, as a sum; they themselves never travel."""
        changed, self.settings_checksum = settings != self.settings_checksum, settings
        if changed and self.due_at:  # it has begun, so that others may have heard other ones
            self.incarnation += 1
            self.transmit_counts[self.id] = 0
            self.due_at["gossip"] = self.now

    def fronts_with_other_settings(self) -> list[str]:
        """Fronts that go by other settings than this one."""
        known = [self.records[id].update for id in list(self.active_members) if id in self.records]
        return sorted(
            {one.id.name for one in known if one.settings_checksum not in (0, self.settings_checksum)}
        )

    # Messages

    def handle_event(self, event: MembershipEvent) -> None:
        try:
            match event:
                case DatagramReceived(data):
                    self.counters.datagrams_in += 1
                    self.counters.bytes_in += len(data)
                    self.handle_datagram(decode_datagram(self.deployment, data))
                case ExchangeRequested(token, data):
                    self.counters.bytes_in += len(data)
                    view = decode_full_state(self.deployment, data)
                    self.merge_full_state(view.sender, view.members, not self.has_joined)
                    self.load_replicas(view.sender.id, view.replicas)
                    answer = self.encode_state()
                    self.actions.append(ReplyExchange(token, answer))
                    self.counters.bytes_out += len(answer)
                case ExchangeAnswered(_, data) if data is not None:
                    self.counters.bytes_in += len(data)
                    view = decode_full_state(self.deployment, data)
                    first, self.has_joined = not self.has_joined, True
                    self.merge_full_state(view.sender, view.members, first)
                    self.load_replicas(view.sender.id, view.replicas)
                case LeaveRequested():
                    self.leave()
                case BootNumberRecovered(boot):
                    if boot >= self.id.boot:
                        self.adopt_higher_boot(boot)
        except WireError as refused:
            reason = str(refused)
            self.counters.rejected[reason] = self.counters.rejected.get(reason, 0) + 1

    def handle_datagram(self, message: Datagram) -> None:
        sender, body = message.sender, message.body
        if sender.id == self.id:
            return
        returned, before = sender.id in self.failed_members, self.incarnation
        self.merge_update(sender)
        life = self.records.get(sender.id)
        if life is None:
            return
        life.last_heard = self.now
        if returned and sender.id in self.active_members:  # a cut has healed: there may be more beyond it
            for _ in range(REJOIN_PROBES):
                self.probe_failed_member()
            self.exchange_if_allowed(sender.address)
        for rumour in message.updates:
            self.merge_update(rumour)
        if self.incarnation > before:  # it, or one it believes, held us for gone: our word brings us back
            self.send(sender.address, Gossip(), sender.id)
        match body:
            case Ping(number, target, there):
                if target == self.id:
                    self.send(sender.address, Ack(number), sender.id)
                    self.compare_checksums(there, sender.address)
                else:  # it took us for an earlier life: now it knows better
                    self.send(sender.address, Gossip(), sender.id)
            case PingRequest(number, target, address):
                self.sequence += 1
                self.relayed_pings[self.sequence] = RelayedPing(
                    sender.address,
                    number,
                    self.now + self.timing.ack_timeout,
                    self.now + self.timing.probe_interval,
                )
                self.send(address, Ping(self.sequence, target, self.membership_checksum()))
            case Nack(number) if number in self.pending_probes:
                self.pending_probes[number].nacks += 1
            case Ack(number):
                self.handle_ack(number)
            case LeaseRequest() | LeaseGrant():
                self.actions.append(DeliverLeaseMessage(sender.id, body))
        self.notify_suspect(life, sender)

    def exchange_if_allowed(self, address: str) -> None:
        """Exchange whole views with one from beyond a cut: what each side held for dead is suspected on the
        other, where it can refute. Once in a while only, as all meet somebody at once.
        """
        if self.now >= self.due_at["swap"]:
            self.due_at["swap"] = self.now + self.timing.failed_probe_interval
            self.start_exchange(address)

    def load_replicas(self, sender: MemberId, copies: bytes) -> None:
        """What came along with a view; news are passed on at once, to a few."""
        if self.store is None or not copies or sender == self.id:
            return
        try:
            news = self.store.load(sender, copies)
        except ValueError as error:
            msg = f"copies {error}"
            raise WireError(msg) from error
        if news:
            self.last_change_at = self.now
            there = self.active_ids()
            for id in self.rng.sample(there, min(self.timing.gossip_fanout, len(there))):
                if self.store.lacks(id):
                    self.start_exchange(self.records[id].update.address)

    def push_local_change(self) -> None:
        """The copies were changed by a call here: take them to all that are there, some at a time."""
        self.push_deadline, self.last_change_at = self.now + self.timing.exchange_interval, self.now
        self.due_at["push"] = self.now

    def push_replicas(self) -> None:
        assert self.store
        lacking = [id for id in self.active_members if self.store.lacks(id)]
        if not lacking:
            self.push_deadline = -math.inf
            return
        self.due_at["push"] = self.now + self.timing.ack_timeout
        for id in self.rng.sample(lacking, min(LEAVE_FANOUT, len(lacking))):
            self.start_exchange(self.records[id].update.address)

    def membership_checksum(self) -> int:
        copies = self.store.digest() if self.store else 0
        return self.active_checksum ^ member_checksum(self.own_update()) ^ copies

    def compare_checksums(self, there: int, address: str) -> None:
        """Where the other has others there than we, though nothing new has come for a while, rumours have
        left something out: exchange views. Whole views go by this, and hardly by the clock, so that what a
        member sends doesn't grow with the fleet.
        """
        if (
            there != self.membership_checksum()
            and self.now >= self.last_change_at + QUIET_PERIODS * self.timing.probe_interval
        ):
            self.exchange_if_allowed(address)

    def notify_suspect(self, life: MemberRecord, sender: Update) -> None:
        """Tell it first what is believed of it, that it may refute; once in a while only: two that believe
        each other dead, of which one cannot refute, would answer each other without end, and each datagram
        that a link doubles would start another such exchange.
        """
        doubted = life.update.state is not MemberState.ALIVE and precedence(life.update) > precedence(sender)
        if doubted and self.now >= life.notified_at + self.timing.ack_timeout:
            life.notified_at = self.now
            self.send(sender.address, Gossip(), sender.id)

    def merge_full_state(self, sender: Update, lives: list[Update], first: bool) -> None:
        """A whole view. Who is dead in it may be so for its sender alone, as after a cut: it is suspected
        here, and may refute. ``first``: nobody has told us anything before, so that a higher boot number of
        our name is not our successor's in an upgrade, but says that ours is an old one that came back.
        """
        if sender.id != self.id:
            self.merge_update(sender)
            if sender.id in self.records:
                self.records[sender.id].last_heard = self.now
        highest = max((one.id.boot for one in [sender, *lives] if one.id.name == self.id.name), default=-1)
        if first and highest > self.id.boot:
            self.adopt_higher_boot(highest)
        for one in lives:
            if one.state is MemberState.DEAD and one.id in self.active_members:
                one = Update(
                    one.id,
                    one.address,
                    MemberState.SUSPECT,
                    one.incarnation,
                    one.owns_address,
                    sender.id.name,
                )
            self.merge_update(one)

    def merge_update(self, rumour: Update) -> None:
        """Merge one rumour, and tell it on where it is news."""
        if rumour.id == self.id:
            return self.refute(rumour)
        life = self.records.get(rumour.id)
        if life is None:
            life = MemberRecord(rumour, self.now)
            self.store_record(life)
            if rumour.state is MemberState.SUSPECT:
                life.suspectors.add(rumour.suspected_by)
            if rumour.state in ACTIVE_STATES:
                self.actions.append(MembershipChanged(ChangeKind.JOINED, rumour.id, rumour.suspected_by))
                place = self.rng.randrange(len(self.probe_round) + 1)
                self.probe_round.insert(place, rumour.id)
            return None
        old = life.update
        if rumour.incarnation < old.incarnation and rumour.state is not MemberState.LEFT:
            return None  # the most frequent case by far: old news
        if precedence(rumour) > precedence(old):
            self.apply_update(life, old, rumour)
        elif (
            precedence(rumour) == precedence(old)
            and rumour.state is MemberState.SUSPECT
            and self.is_new_suspector(life, rumour.suspected_by)
        ):
            life.suspectors.add(rumour.suspected_by)  # told on, as it shortens the suspicion
            life.update = rumour
            self.store_record(life)

    def apply_update(self, life: MemberRecord, old: Update, rumour: Update) -> None:
        life.update = rumour
        self.store_record(life)
        if rumour.state is MemberState.SUSPECT and old.state is MemberState.SUSPECT:
            life.suspectors, life.state_since = {rumour.suspected_by}, self.now
            return
        if rumour.state is old.state:
            return
        life.state_since, life.suspectors = (
            self.now,
            {rumour.suspected_by} if rumour.state is MemberState.SUSPECT else set(),
        )
        change = {
            MemberState.ALIVE: ChangeKind.RETURNED,
            MemberState.SUSPECT: ChangeKind.SUSPECTED,
            MemberState.DEAD: ChangeKind.DIED,
            MemberState.LEFT: ChangeKind.LEFT,
        }[rumour.state]
        if old.state is MemberState.DEAD and rumour.state in ACTIVE_STATES:
            self.counters.false_deaths += 1
        if rumour.state in ACTIVE_STATES and old.state not in ACTIVE_STATES:
            self.probe_round.insert(self.rng.randrange(len(self.probe_round) + 1), rumour.id)
        self.actions.append(MembershipChanged(change, rumour.id, rumour.suspected_by))

    def refute(self, rumour: Update) -> None:
        """Somebody doubts us: go beyond its count. What is said of us with a count that we never gave comes
        from a life whose memory we lost: beyond that too.
        """
        if self.is_leaving or (rumour.state is MemberState.ALIVE and rumour.incarnation <= self.incarnation):
            return
        if rumour.state is MemberState.LEFT:  # not by our word: what left never returns under its number
            self.adopt_higher_boot(self.id.boot)
            return
        if rumour.incarnation >= self.incarnation:
            self.incarnation = rumour.incarnation + 1
            self.transmit_counts[self.id] = 0
            self.counters.refutations += 1
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)

    # Telling

    def own_update(self) -> Update:
        state = MemberState.LEFT if self.is_leaving else MemberState.ALIVE
        return Update(
            self.id, self.address, state, self.incarnation, self.owns_address, "", self.settings_checksum
        )

    def update_of(self, id: MemberId) -> Update:
        return self.own_update() if id == self.id else self.records[id].update

    def select_updates(self, first: MemberId | None) -> Iterator[MemberId]:
        """Whose rumours go with a datagram: its receiver's own if it is in doubt, then those told least."""
        if first in self.records and self.records[first].update.state is not MemberState.ALIVE:
            yield first
        first_in = itertools.islice(self.transmit_counts, 4 * MAX_PIGGYBACKED)
        waiting = sorted(first_in, key=self.transmit_counts.__getitem__)[:MAX_PIGGYBACKED]
        yield from (id for id in waiting if id != first and (id in self.records or id == self.id))

    def send(self, address: str, body: Body, receiver: MemberId | None = None) -> None:
        chosen = list(self.select_updates(receiver))
        rumours = [self.update_of(id) for id in chosen]
        data, used = encode_datagram(self.deployment, self.own_update(), body, rumours)
        most = math.ceil(self.timing.retransmit_multiplier * math.log10(len(self.records) + 2))
        for id in chosen[:used]:
            if id in self.transmit_counts:
                self.transmit_counts[id] += 1
                if self.transmit_counts[id] >= most:
                    del self.transmit_counts[id]
        self.counters.datagrams_out += 1
        self.counters.bytes_out += len(data)
        self.actions.append(SendDatagram(address, data))

    def send_lease_message(
        self, receiver: MemberId, body: LeaseRequest | LeaseGrant
    ) -> list[MembershipAction]:
        """Send to a life what is not for the view; nothing where it is not there."""
        self.actions = []
        if receiver in self.active_members and not self.has_left:
            self.send(self.records[receiver].update.address, body)
        return self.actions

    def send_gossip(self) -> None:
        there = self.active_ids()
        for id in self.rng.sample(there, min(self.timing.gossip_fanout, len(there))):
            if not self.transmit_counts:
                break
            self.send(self.records[id].update.address, Gossip())
        if self.is_leaving and (not self.transmit_counts or not there):
            self.has_left = True
        elif not there:
            self.transmit_counts.pop(self.id, None)

    def start_exchange(self, address: str) -> None:
        data = self.encode_state()
        self.counters.bytes_out += len(data)
        self.actions.append(StartExchange(address, data))

    def encode_state(self) -> bytes:
        copies = self.store.dump() if self.store else b""
        return encode_full_state(
            self.deployment, self.own_update(), [life.update for life in self.records.values()], copies
        )

    def digest(self) -> int:
        """The same number wherever the same is believed of every incarnation.

        Operators compare it between fronts, also of different releases: the text that is summed up has names
        of its own, which don't follow the names of this code.
        """
        every = [
            record.update for record in list(self.records.values())
        ]  # a copy: other threads may read too
        rows = sorted((one.id, int(one.state), one.incarnation) for one in (*every, self.own_update()))
        texts = [f"(Id(name={id.name!r}, boot={id.boot!r}), {state}, {count})" for id, state, count in rows]
        return zlib.crc32(f"[{', '.join(texts)}]".encode())
