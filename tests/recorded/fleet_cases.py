"""Drawn sequences through the fleet's decisions, each from a fixed seed, and their outputs in plain words."""

from __future__ import annotations

import functools
import hashlib
import heapq
import json
import math
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from tests.recorded.fleet_adapter import (
    Demand,
    HoldSet,
    LatestValueSet,
    Leases,
    MaximumValueSet,
    Member,
    Plain,
    SharedHolds,
    SlowStartNodes,
    Start,
    VolumeRateLimits,
    conclude_from,
    decoded,
)

BLOCK = 25  # entries to one short sum, by which a difference is found in a case kept as sums only
VERSION = 2  # of the wire protocol
FAULTS = (
    *("start", "start", "kill", "kill", "leave", "stop", "cut", "cut", "heal", "heal", "deaf"),
    *("post", "hold", "release", "settings", "remembered", "garbage", "move", "back"),
)  # and what a front does by itself


def plain(value: Any) -> Any:
    """The value as JSON can hold it: floats by their full digits, bytes as the message in them."""
    if isinstance(value, float):
        return repr(value)
    if isinstance(value, bytes):
        return readable(value)
    if isinstance(value, dict):
        return [[plain(key), plain(value[key])] for key in sorted(value)]
    if isinstance(value, list | tuple):
        return [plain(one) for one in value]
    assert value is None or isinstance(value, str | int | bool), type(value)
    return value


def readable(data: bytes) -> Any:
    """A datagram or a view of the fleet's protocol, with its checksum. Copies of holds in a view come in no
    fixed order; they are sorted here, and their view's checksum is left out.
    """
    body = msgspec.msgpack.decode(data[:-4])
    sound = zlib.crc32(data[:-4]) == int.from_bytes(data[-4:], "big")
    if isinstance(body[4], bytes):
        copies, body[4] = body[4], ""
        if copies:
            return ["view", plain(body), copy_plain(copies), len(data), sound]
    return ["message", plain(body), data[-4:].hex(), sound]


def copy_plain(data: bytes) -> Any:
    """An encoded copy of holds, in a fixed order."""
    copy = msgspec.msgpack.decode(data)
    clock = sorted((list(life), number) for life, number in copy["clock"].items())
    held = sorted(
        (box, sorted((list(life), number) for life, number in dots)) for box, dots in copy["held"].items()
    )
    return plain([clock, held, len(data)])


@dataclass
class Record:
    """What one case gives: its entries, and which kinds of input and output occurred."""

    entries: list[Any] = field(default_factory=list)
    kinds: dict[str, int] = field(default_factory=dict)

    def add(self, now: float, *what: Any) -> None:
        """Note an output."""
        self.entries.append(plain([now, *what]))

    def saw(self, area: str, kind: str) -> None:
        """Count an input or output by its kind."""
        name = f"{area} {kind}"
        self.kinds[name] = self.kinds.get(name, 0) + 1

    def digest(self) -> str:
        """One sum of all entries."""
        return hashlib.sha256(json.dumps(self.entries).encode()).hexdigest()

    def blocks(self) -> list[str]:
        """Short sums, one for each run of entries."""
        runs = [self.entries[at : at + BLOCK] for at in range(0, len(self.entries), BLOCK)]
        return [hashlib.sha256(json.dumps(run).encode()).hexdigest()[:8] for run in runs]


# Membership


@dataclass
class Process:
    """A member that runs in the virtual network."""

    front: int
    member: Member
    holds: SharedHolds | None
    offset: float = 0.0  # of its clock
    stopped_until: float = -math.inf
    inbox: list[Plain] = field(default_factory=list)
    alarm: int = 0


class Network:
    """Members in virtual time, and messages among them that are lost, late or doubled."""

    def __init__(
        self,
        record: Record,
        seed: str,
        size: int,
        loss: float = 0.0,
        doubles: float = 0.0,
        late: float = 0.0,
        shares: bool = False,
        timing: dict[str, float] | None = None,
        alone: bool = True,
    ) -> None:
        self.record, self.seed, self.size, self.timing, self.alone = record, seed, size, timing, alone
        self.loss, self.doubles, self.late, self.shares = loss, doubles, late, shares
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.entries = 0
        self.running: dict[str, Process] = {}
        self.boots: dict[int, int] = {}
        self.sides: dict[str, int] = {}
        self.deaf: set[tuple[str, str]] = set()
        self.streams: dict[int, str] = {}
        self.tokens = 0
        self.sums_only = False

    @staticmethod
    def address(front: int) -> str:
        """Where a front is reached."""
        return f"10.0.0.{front}:7946"

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Do something later."""
        self.entries += 1
        heapq.heappush(self.heap, (when, self.entries, act))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self.heap)
            act()
        self.now = until

    def start(self, front: int, boot: int | None = None, offset: float = 0.0) -> None:
        """A new life of a front."""
        address = self.address(front)
        self.kill(front)
        self.boots[front] = boot if boot is not None else self.boots.get(front, 0) + 1
        seeds = [self.address(one) for one in range(min(2, self.size))]
        seed = f"{self.seed}:{front}:{self.boots[front]}"
        member = Member(f"f{front}", self.boots[front], address, seeds, seed, self.alone, self.timing)
        holds = None
        if self.shares:
            holds = SharedHolds(member.life, lambda held, gone: self.shared(front, held, gone))
            member.share(holds)
        self.running[address] = Process(front, member, holds, offset)
        self.step(address)

    def shared(self, front: int, held: list[str], gone: list[str]) -> None:
        """Others hold and release."""
        self.record.add(self.now, front, "holds", held, gone)

    def kill(self, front: int) -> None:
        """End a front without a word."""
        self.running.pop(self.address(front), None)

    def stop(self, front: int, seconds: float) -> None:
        """Let a front stand still for a while."""
        address = self.address(front)
        if process := self.running.get(address):
            process.stopped_until = self.now + seconds

            def wake() -> None:
                if self.running.get(address) is process:
                    inbox, process.inbox = process.inbox, []
                    self.step(address, *inbox)

            self.at(process.stopped_until, wake)

    def process(self, front: int) -> Process | None:
        """What runs of a front, where it does not stand still."""
        process = self.running.get(self.address(front))
        return process if process and self.now >= process.stopped_until else None

    def step(self, address: str, *events: Plain) -> None:
        """Take events to a member, and its actions to the network."""
        process = self.running.get(address)
        if process is None:
            return
        if self.now < process.stopped_until:
            process.inbox += [event for event in events if event[0] != "leave"]
            return
        for event in events:
            self.record.saw("membership event", event[0])
        self.carry(address, process, process.member.step(self.now + process.offset, events))
        if process.member.has_left():
            self.record.add(self.now, process.front, "over", process.member.counted())
            self.running.pop(address, None)
            return
        process.alarm += 1
        alarm, due = process.alarm, process.member.next_at() - process.offset
        if not self.sums_only:
            self.record.add(self.now, process.front, "next", due)

        def ring() -> None:
            if self.running.get(address) is process and process.alarm == alarm:
                self.step(address)

        self.at(max(due, self.now + 1e-6), ring)  # with an offset, rounding may place it just before

    def carry(self, address: str, process: Process, actions: list[Plain]) -> None:
        """Do what a member wants done."""
        for action in actions:
            self.record.saw("membership action", action[0])
            if action[0] == "change":
                self.record.saw("membership change", action[1])
            if action[0] == "send":
                self.record.saw("membership message", readable(action[2])[1][3][0])
            self.record.add(self.now, process.front, *action)
            match action:
                case ("send", target, data):
                    self.datagram(address, target, data)
                case ("exchange", target, data):
                    self.exchange(address, target, data)
                case ("reply", token, data):
                    source = self.streams.pop(token)
                    if not self.parted(address, source):
                        self.deliver(self.delay(), source, ("answered", address, data))

    def parted(self, source: str, target: str) -> bool:
        """Whether nothing gets from one to the other."""
        return (source, target) in self.deaf or self.sides.get(source, 0) != self.sides.get(target, 0)

    def delay(self) -> float:
        """How long a message takes."""
        if self.rng.random() < self.late:
            return 0.1 + 0.9 * self.rng.random()
        return 0.002 + 0.02 * self.rng.random()

    def deliver(self, after: float, target: str, event: Plain) -> None:
        """An event for a member, later."""
        self.at(self.now + after, lambda: self.step(target, event))

    def datagram(self, source: str, target: str, data: bytes) -> None:
        """A datagram on its way."""
        if self.parted(source, target) or self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.doubles else 1):
            self.deliver(self.delay(), target, ("heard", data))

    def exchange(self, source: str, target: str, data: bytes) -> None:
        """A view on its way, to be answered."""
        if self.parted(source, target) or self.parted(target, source) or target not in self.running:
            self.deliver(1.0, source, ("answered", target, None))
            return
        self.tokens += 1
        self.streams[self.tokens] = source
        self.deliver(self.delay(), target, ("asked", self.tokens, data))

    def survey(self) -> None:
        """What each member concludes, and which of them agree."""
        views: list[Member] = []
        for process in self.running.values():
            member = process.member
            alike = [one.life() for one in views if one.same_view(member)]
            views.append(member)
            conclusion = member.conclusion(self.size, self.now + process.offset)
            self.record.add(
                self.now,
                process.front,
                "concludes",
                conclusion,
                alike,
                member.other_settings(),
                member.counted(),
            )
            if process.holds:
                lacks = [
                    one.member.life()
                    for one in self.running.values()
                    if process.holds.lacks(one.member.life())
                ]
                self.record.add(
                    self.now, process.front, "copy", process.holds.state(), process.holds.digest(), lacks
                )

    def fault(self) -> None:
        """One drawn fault, or something that a front does."""
        rng, front = self.rng, self.rng.randrange(self.size)
        address, process = self.address(front), self.process(front)
        what = rng.choice(FAULTS)
        self.record.add(self.now, front, "fault", what)
        if what == "start":
            self.start(front, offset=rng.choice((0.0, 1000.0)))
        elif what == "kill":
            self.kill(front)
        elif what == "leave":
            self.step(address, ("leave",))
        elif what == "stop":
            self.stop(front, rng.choice((0.8, 2.0, 5.0)))
        elif what == "cut":
            self.sides = {self.address(one): rng.randrange(2) for one in range(self.size)}
        elif what == "heal":
            self.sides, self.deaf = {}, set()
        elif what == "deaf":
            self.deaf.add((address, self.address(rng.randrange(self.size))))
        elif process is None:
            return
        elif what == "post":
            message = rng.choice((("want", "limit:1", 7, 250), ("grant", "limit:1", 8, 200, 50)))
            other = rng.randrange(self.size)
            receiver = f"f{other}/{self.boots.get(other, 1)}"
            self.carry(address, process, process.member.post(receiver, message))
        elif what in ("hold", "release") and process.holds:
            box = f"box-{rng.randrange(4)}"
            process.holds.hold(box) if what == "hold" else process.holds.release(box)
            process.member.changed_here()
            self.step(address)
        elif what == "settings":
            process.member.set_settings(rng.choice((11, 22)))
            self.step(address)
        elif what == "remembered":
            self.step(address, ("remembered", self.boots[front] + rng.choice((-1, 0, 2))))
        elif what == "garbage":
            self.step(address, ("heard", rng.choice((b"", b"\xc1\xc1\xc1\xc1\xc1", foreign()))))
        elif what == "move":
            process.member.move(address, rng.choice((True, False)))
            self.step(address)
        elif what == "back":
            process.offset -= 3.0
            self.step(address)


def sealed(body: Any) -> bytes:
    """A message of the fleet's protocol."""
    data = msgspec.msgpack.encode(body)
    return data + zlib.crc32(data).to_bytes(4, "big")


def rumour(life: str, address: str, state: int = 0, count: int = 0, by: str = "") -> list[Any]:
    """What is said of a life, in the protocol's form."""
    name, boot = life.split("/")
    return [[name, int(boot)], address, state, count, True, by, 0]


def said(sender: str, address: str, body: list[Any], *rumours: list[Any], count: int = 0) -> Plain:
    """A datagram from a member that is not run here."""
    return (
        "heard",
        sealed(["test", VERSION, rumour(sender, address, count=count), body, list(rumours)]),
    )


def seen(sender: str, address: str, *rumours: list[Any], copies: bytes = b"") -> Plain:
    """The view of a member that is not run here."""
    return (
        "answered",
        address,
        sealed(["test", VERSION, rumour(sender, address), list(rumours), copies]),
    )


def foreign() -> bytes:
    """A datagram of another deployment."""
    return sealed(["other", VERSION, rumour("x/1", "10.9.9.9:1"), ["gossip"], []])


def drawn_network(record: Record, seed: str, number: int) -> None:
    """Several members, with faults at drawn times."""
    rng = random.Random(f"faults:{seed}")
    network = Network(
        record,
        seed,
        size=(3, 5, 4, 6)[number % 4],
        loss=(0.0, 0.1, 0.3)[number % 3],
        doubles=(0.0, 0.1)[number % 2],
        late=(0.0, 0.05, 0.2)[number // 2 % 3],
        shares=number % 3 == 1,
        timing={"period": 0.3, "gossip": 0.05, "helpers": 2} if number % 5 == 4 else None,
        alone=number % 4 != 3,
    )
    for front in range(network.size):
        network.at(0.3 * front, functools.partial(network.start, front, None, 1000.0 * (front % 2)))
    now = 1.5
    while now < 24.0:
        network.at(now, network.fault)
        now += 0.2 + 2.0 * rng.random()
    for look in range(60):
        network.at(0.5 * look + 0.25, network.survey)
    network.run(30.0)


def quiet_network(record: Record, seed: str, number: int) -> None:
    """A small fleet of which one is killed and one leaves; the readable case."""
    network = Network(record, seed, size=3, loss=0.05, shares=True)
    for front in range(3):
        network.at(0.2 * front, functools.partial(network.start, front))
    network.at(2.0, functools.partial(network.kill, 1))
    network.at(16.0, functools.partial(network.start, 1))
    network.at(17.0, functools.partial(network.step, network.address(2), ("leave",)))
    for look in range(10):
        network.at(2.0 * look + 0.25, network.survey)
    network.run(20.0)


def large_network(record: Record, seed: str, number: int) -> None:
    """More members than hear at once of one that leaves, or of a hold."""
    network = Network(record, seed, size=14, loss=0.02, shares=True)
    for front in range(14):
        network.at(0.05 * front, functools.partial(network.start, front))

    def hold() -> None:
        process = network.process(3)
        assert process and process.holds
        process.holds.hold("box-1")
        process.member.changed_here()
        network.step(network.address(3))

    network.at(4.0, hold)
    network.at(6.0, functools.partial(network.step, network.address(5), ("leave",)))
    network.at(6.5, functools.partial(network.kill, 7))
    for look in (3.9, 4.2, 5.0, 6.2, 9.0):
        network.at(look, network.survey)
    network.run(9.0)


def cut_in_halves(record: Record, seed: str, number: int) -> None:
    """A cut that lasts until each side holds the other for dead, and heals."""
    network = Network(record, seed, size=8, loss=0.05)
    for front in range(8):
        network.at(0.1 * front, functools.partial(network.start, front))

    def cut() -> None:
        network.sides = {network.address(one): one % 2 for one in range(8)}

    network.at(3.0, cut)

    def heal() -> None:
        network.sides = {}

    network.at(24.0, heal)
    for look in range(15):
        network.at(2.0 * look + 0.25, network.survey)
    network.run(30.0)


def one_member(record: Record, seed: str, number: int) -> Callable[..., Member]:
    """A member by itself, for scripts."""

    def make(boot: int = 1, seeds: tuple[str, ...] = ("s0", "s1")) -> Member:
        return Member("me", boot, "here", list(seeds), f"{seed}:{boot}", True)

    return make


def crowd(record: Record, seed: str, number: int) -> None:
    """One member that hears of very many at once: what it tells first, and how rarely whole views go."""
    rng, member = random.Random(seed), one_member(record, seed, number)()
    many = [rumour(f"m{one}/1", f"a{one}") for one in range(40 + 130 * (number % 2))]
    now = 0.0
    script_step(record, member, now)
    script_step(record, member, 0.1, seen("s0/1", "s0", *many))
    while now < (12.0 if number < 2 else 90.0):
        now = max(now + 0.001, member.next_at())
        events = []
        if rng.random() < 0.5:
            who = rng.randrange(40)
            events = [said(f"m{who}/1", f"a{who}", ["ping", 5, ["me", 1], 77])]
        script_step(record, member, now, *events)
    record.add(now, "me", "concludes", member.conclusion(3, now), member.counted())


def script_step(record: Record, member: Member, now: float, *events: Plain) -> list[Plain]:
    """A step of a member by itself."""
    for event in events:
        record.saw("membership event", event[0])
    actions = member.step(now, events)
    for action in actions:
        record.saw("membership action", action[0])
        if action[0] == "change":
            record.saw("membership change", action[1])
        if action[0] == "send":
            record.saw("membership message", readable(action[2])[1][3][0])
        record.add(now, "me", *action)
    record.add(now, "me", "next", member.next_at(), member.life())
    return actions


def accusers(record: Record, seed: str, number: int) -> None:
    """How long a suspicion lasts with one accuser and with more, in fleets of several sizes."""
    for size in (3, 20, 60):
        for count in range(1, 6):
            member = one_member(record, f"{seed}:{size}:{count}", number)(seeds=())
            script_step(record, member, 0.0)
            many = [rumour(f"m{one}/1", f"a{one}") for one in range(size)]
            script_step(record, member, 0.1, seen("s0/1", "s0", *many))
            for one in range(count):
                script_step(
                    record,
                    member,
                    0.2 + 0.01 * one,
                    said("m0/1", "a0", ["gossip"], rumour("m1/1", "a1", 1, 0, f"m{one + 2}")),
                )
            # All the others answer, so that this suspicion alone runs out.
            now = 0.3
            while now < 30.0:
                now = max(now + 0.001, member.next_at())
                actions = member.step(now, ())
                for action in actions:
                    if action[0] == "send":
                        body = readable(action[2])[1][3]
                        if body[0] == "ping" and body[2][0] != "m1":
                            member.step(now, [said(body[2][0] + "/1", action[1], ["ack", body[1]])])
                    elif action[0] == "change":
                        record.saw("membership change", action[1])
                        record.add(now, size, count, *action)
                if any(action[:2] == ("change", "died") for action in actions):
                    break


def forgotten(record: Record, seed: str, number: int) -> None:
    """One that left is forgotten after an hour, and its word is news again then."""
    for seconds in (3590.0, 3599.5, 3600.6, 3700.0):
        member = one_member(record, seed, number)(seeds=())
        script_step(record, member, 0.0)
        script_step(record, member, 0.5, said("m1/1", "a1", ["gossip"], rumour("m2/1", "a2", 3, 1)))
        script_step(record, member, seconds)
        record.add(seconds, "me", "concludes", member.conclusion(1, seconds))
        for now in (seconds + 0.3, seconds + 0.7, seconds + 1.5):
            script_step(record, member, now)


def stood_still(record: Record, seed: str, number: int) -> None:
    """Steps that come late, up to where a member takes itself for stopped."""
    for late in (1.0, 1.45, 1.499, 1.501, 1.55, 1.65, 3.0):
        member = one_member(record, seed, number)()
        script_step(record, member, 0.0)
        script_step(record, member, 0.1, seen("m1/1", "s0", rumour("m2/1", "a2", 1, 0, "m1")))
        now = member.next_at() + late
        script_step(record, member, now)
        record.add(now, late, member.counted())


def settings_heard(record: Record, seed: str, number: int) -> None:
    """Which members go by other settings, as they say themselves."""
    member = one_member(record, seed, number)()
    script_step(record, member, 0.0)
    for own in (0, 11, 22):
        member.set_settings(own)
        for one, other in enumerate((0, 11, 22)):
            sender = [*rumour(f"m{one}/1", f"a{one}", count=own)[:-1], other]
            data = sealed(["test", VERSION, sender, ["gossip"], []])
            script_step(record, member, 0.2, ("heard", data))
            record.add(0.2, own, other, member.other_settings())


def own_words(record: Record, seed: str, number: int) -> None:
    """What a member does about what is said of itself, and of its name."""
    make = one_member(record, seed, number)
    member = make(boot=5)
    script_step(record, member, 0.0)
    script_step(record, member, 0.2, seen("m1/1", "s0", rumour("me/9", "here"), rumour("me/4", "here")))
    boot = int(member.life().rpartition("/")[2])
    now = 0.5
    for one in range(12):  # refuted each time, and less and less sure of itself
        now += 0.05
        doubt = rumour(f"me/{boot}", "here", 1 + one % 2, one, "m1")
        script_step(record, member, now, said("m1/1", "s0", ["gossip"], doubt))
        record.add(now, "me", member.counted())
    script_step(record, member, 1.2, said("m1/1", "s0", ["ping", 3, [member.life().split("/")[0], 2], 1]))
    script_step(record, member, 1.3, said("m1/1", "s0", ["ask", 4, ["m2", 1], "a2"]))
    script_step(record, member, 1.46)
    script_step(record, member, 1.5, said("m2/1", "a2", ["ack", 10**6]), said("m2/1", "a2", ["nack", 10**6]))
    script_step(record, member, 1.6, said("m1/1", "s0", ["gossip"], rumour(member.life(), "here", 3, 99)))
    script_step(record, member, 1.7, ("remembered", 3), ("remembered", 40))
    script_step(record, member, 1.75, said("m1/1", "s0", ["want", "limit:2", 4, 10]))
    script_step(record, member, 1.8, said("m1/1", "s0", ["grant", "limit:2", 4, 10, 3]))
    for boot in (1, 2):  # one that died, and one that gave its address to a later life
        script_step(record, member, 1.9, said(f"m3/{boot}", "a3", ["gossip"], rumour("m4/1", "a4", 2, 7)))
    now = 2.0
    while now < 30.0:  # nobody answers: health, suspicions, deaths, the departed
        now = max(now + 0.001, member.next_at())
        script_step(record, member, now)
        if now < 12.0 and int(now * 100) % 7 == 0:
            back = said("m1/1", "s0", ["nack", int(now)], rumour("m4/1", "a4", 0, int(now)), count=int(now))
            script_step(record, member, now, back)
        record.add(now, "me", member.counted(), member.conclusion(2, now))
    script_step(record, member, now, ("leave",))
    while not member.has_left():
        now = max(now + 0.001, member.next_at())
        script_step(record, member, now)


def bad_messages(record: Record, seed: str, number: int) -> None:
    """Messages that are refused, by reason."""
    member = one_member(record, seed, number)()
    member.share(SharedHolds(member.life, lambda held, gone: None))
    script_step(record, member, 0.0)
    good = said("m1/1", "a1", ["gossip"])[1]
    old = sealed(["test", VERSION + 1, rumour("m1/1", "a1"), ["gossip"], []])
    for data in (b"", good[:-1], good + b"x", bytes(1300), sealed(["test"]), sealed(5), foreign(), old):
        script_step(record, member, 0.1, ("heard", data), ("asked", 4, data), ("answered", "a1", data))
        record.add(0.1, "me", member.counted())
    script_step(record, member, 0.2, seen("m1/1", "a1", copies=b"\x00"))
    script_step(record, member, 0.2, seen("m1/1", "a1", copies=msgspec.msgpack.encode({"clock": {}})))
    script_step(record, member, 0.3, ("answered", "a1", None), said("m1/1", "a1", ["gossip"]))
    record.add(0.3, "me", member.counted())


def conclusions(record: Record, seed: str, number: int) -> None:
    """Conclusions from drawn views, by themselves."""
    rng = random.Random(seed)
    for _ in range(60):
        lives = [
            (
                (
                    f"f{rng.randrange(4)}/{rng.randrange(1, 4)}",
                    f"a{rng.randrange(4)}",
                    rng.choice(("alive", "alive", "suspect", "dead", "left")),
                    rng.randrange(3),
                    rng.random() < 0.7,
                ),
                rng.choice((10.0, 9.0, 8.01, 8.0, 7.99, 5.0, -math.inf)),
            )
            for _ in range(rng.randrange(6))
        ]
        me = ("f0/2", "a0", "alive", 1, rng.random() < 0.5)
        record.add(10.0, conclude_from(me, lives, rng.randrange(1, 5), 10.0))


# Leases


@dataclass
class Holder:
    """A front of the market: its leases, and its limits or cold nodes where the case has them."""

    life: str
    leases: Leases
    pace: float
    limits: VolumeRateLimits | None = None
    cold: SlowStartNodes | None = None
    stopped_until: float = -math.inf
    last: dict[str, int] = field(default_factory=dict)

    def clock(self, now: float) -> float:
        """Its own time."""
        return now * self.pace + 100.0


class Market:
    """Fronts that lend one another, with lost and late messages, restarts and stops."""

    def __init__(
        self, record: Record, seed: str, size: int, loss: float, jitter: float, kind: str, seconds: float
    ) -> None:
        self.record, self.seed, self.size, self.kind = record, seed, size, kind
        self.loss, self.jitter, self.seconds = loss, jitter, seconds
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.entries = 0
        self.holders: dict[int, Holder] = {}
        self.away: set[int] = set()
        self.resources = [f"limit:{one}" for one in range(3)]
        self.needs = {front: dict.fromkeys(self.resources, 0.0) for front in range(size)}
        for front in range(size):
            self.start(front, began=-3600.0)
            self.at(0.05 * self.rng.random(), functools.partial(self.tick, front))
        now = 0.3
        while now < seconds:
            self.at(now, self.turn)
            now += 0.1 + 0.9 * self.rng.random()

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Do something later."""
        self.entries += 1
        heapq.heappush(self.heap, (when, self.entries, act))

    def run(self) -> None:
        """Let time pass."""
        while self.heap and self.heap[0][0] <= self.seconds:
            self.now, _, act = heapq.heappop(self.heap)
            act()

    def start(self, front: int, began: float | None = None) -> None:
        """A new life."""
        boot = 1 + int(self.holders[front].life.partition("/")[2]) if front in self.holders else 1
        pace = 1 + self.rng.uniform(-0.0005, 0.0005)
        since = (self.now if began is None else began) * pace + 100.0
        leases = Leases(since, f"{self.seed}:{front}:{boot}")
        holder = self.holders[front] = Holder(f"f{front}/{boot}", leases, pace)
        if self.kind == "limits":
            holder.limits = VolumeRateLimits(leases, [0.0, 40.0, 100.0])
        elif self.kind == "cold":
            names = {node: f"n-{node}" for node in range(5)}
            holder.cold = SlowStartNodes(leases, names, self.size, cold_units=8.0, ramp=20.0, after=0.5)
        self.meet()

    def meet(self) -> None:
        """All hear who can be asked."""
        for front, holder in self.holders.items():
            others = [
                one.life for other, one in self.holders.items() if other != front and other not in self.away
            ]
            self.send(front, holder, [("peers", others)])

    def turn(self) -> None:
        """Something changes."""
        rng, front = self.rng, self.rng.randrange(self.size)
        holder = self.holders[front]
        what = rng.choice(["need"] * 6 + ["restart", "stop", "away", "part"])
        self.record.add(self.now, front, "turn", what)
        if what == "need":
            resource = rng.choice(self.resources)
            self.needs[front][resource] = rng.choice((0.0, 600.0, 1500.0, 3000.0, 5000.0)) * rng.random()
            if rng.random() < 0.15:
                self.needs[front].pop(resource)
        elif what == "restart":
            self.start(front)
        elif what == "stop":
            holder.stopped_until = self.now + 2.0 * rng.random()
        elif what == "away":
            self.away ^= {front}
            self.meet()
        else:
            self.send(front, holder, [("part", rng.choice((0.5, 1.0, 1.0, 1.0)))])

    def tick(self, front: int) -> None:
        """What a front does each time."""
        self.at(self.now + 0.1, functools.partial(self.tick, front))
        holder, rng = self.holders[front], self.rng
        if self.now < holder.stopped_until:
            return
        clock = holder.clock(self.now)
        if holder.limits:
            needs = self.needs[front]
            arrivals = [
                (rng.randrange(3), volume, 1.0 + rng.random(), 3)
                for volume in range(3)
                if f"limit:{volume}" in needs
                for _ in range(rng.randrange(1 + int(needs[f"limit:{volume}"] / 300)))
            ]
            holder.limits.heard(clock, arrivals)
            self.send(front, holder, [("need", holder.limits.needs(clock))])
            self.note(front, "policy", holder.limits.changes(clock))
        elif holder.cold:
            unix = 1000.0 + self.now
            if rng.random() < 0.03:
                kind = rng.choice(("full", "old copy", "changes", "changes", "lost"))
                state = ("live", "live", "live", "draining", "gone")
                nodes = [
                    (node, node, rng.choice(state), 1000.0 + rng.choice((-30.0, -15.0, 0.0, 4.25, -1000.0)))
                    for node in rng.sample(range(6), rng.randrange(5))
                ]
                holder.cold.listed(clock, unix, kind, nodes)
            to_cells = [(rng.randrange(6), 4.0 * rng.random()) for _ in range(rng.randrange(4) * (front % 2))]
            holder.cold.heard(clock, unix, to_cells)
            self.send(front, holder, [("need", holder.cold.needs(clock))])
            self.note(front, "policy", holder.cold.changes(clock))
        else:
            self.send(front, holder, [("need", self.needs[front])])

    def note(self, front: int, what: str, changes: list[Plain]) -> None:
        """What the policy hears."""
        for change in changes:
            self.record.saw("lease change", change[0])
            self.record.add(self.now, front, what, *change)

    def send(self, front: int, holder: Holder, events: list[Plain]) -> None:
        """A step of one front."""
        if self.holders.get(front) is not holder:
            return
        if self.now < holder.stopped_until:
            self.at(holder.stopped_until, functools.partial(self.send, front, holder, events))
            return
        for event in events:
            self.record.saw("lease event", event[0])
        if self.kind != "plain" and events[0][0] == "need" and self.rng.random() < 0.1:
            self.record.add(self.now, front, "need", events[0][1])
        clock = holder.clock(self.now)
        for receiver, message in holder.leases.step(clock, events):
            self.record.saw("lease message", message[0])
            self.record.add(self.now, front, "post", receiver, message)
            target = int(receiver[1:].partition("/")[0])
            if self.rng.random() < self.loss:
                continue
            for _ in range(2 if self.rng.random() < 0.05 else 1):
                after = 0.001 + self.jitter * self.rng.random() ** 3
                self.at(
                    self.now + after,
                    functools.partial(self.come, target, receiver, ("came", holder.life, message)),
                )
        if self.kind == "plain":
            usable = {one: holder.leases.usable(one, clock) for one in self.resources}
            if usable != holder.last:
                holder.last = usable
                change = holder.leases.next_change(clock)
                self.record.add(self.now, front, "usable", list(usable.values()), change)

    def come(self, front: int, receiver: str, event: Plain) -> None:
        """A message arrives, if its receiver still lives."""
        holder = self.holders[front]
        if holder.life == receiver:
            self.send(front, holder, [event])


def drawn_market(kind: str) -> Callable[[Record, str, int], None]:
    """Fronts that lend and borrow, with drawn needs and faults."""

    def run(record: Record, seed: str, number: int) -> None:
        Market(
            record,
            seed,
            size=(3, 5, 4)[number % 3],
            loss=(0.0, 0.1, 0.3)[number // 2 % 3],
            jitter=(0.01, 0.2, 1.0, 3.0)[number % 4],
            kind=kind,
            seconds=40.0,
        ).run()

    return run


def small_market(record: Record, seed: str, number: int) -> None:
    """Two fronts for a short while; the readable case."""
    Market(record, seed, size=2, loss=0.1, jitter=0.2, kind="plain", seconds=20.0).run()


def lease_edges(record: Record, seed: str, number: int) -> None:
    """Single messages at and beside each bound of the leases."""

    def step(leases: Leases, now: float, *events: Plain) -> list[Plain]:
        for event in events:
            record.saw("lease event", event[0])
        posts = leases.step(now, events)
        for receiver, message in posts:
            record.saw("lease message", message[0])
            record.add(now, receiver, message)
        return posts

    def usable(leases: Leases, now: float) -> None:
        record.add(now, "usable", leases.usable("r", now), leases.next_change(now), leases.refused())

    for need in (0.0, 100.0, 227.0, 228.0, 500.0, 880.0, 890.0, 891.0, 909.0, 910.0, 1000.0):  # lent
        for wanted in (0, 1, 19, 20, 21, 300, 749, 750, 751, 1200):
            leases = Leases(-100.0, "lend")
            step(leases, 0.0, ("need", {"r": need}), ("peers", ["b/1", "c/1"]))
            step(leases, 0.1, ("came", "b/1", ("want", "r", 5, wanted)))
            step(leases, 0.2, ("came", "b/1", ("want", "r", 5, wanted)))
            step(leases, 0.3, ("came", "b/1", ("want", "r", 4, 100)), ("came", "c/1", ("want", "r", 1, 100)))
            step(leases, 0.4, ("came", "b/1", ("want", "r", 6, 40)), ("came", "b/1", ("want", "q", 7, 40)))
            usable(leases, 0.4)
            step(leases, 0.5, ("came", "b/1", ("want", "r", 8, 0)))
            usable(leases, 0.5)
    for began in (0.0, 10.0):  # the wait of a new life, to the last digit
        leases = Leases(began, "new")
        step(leases, began, ("need", {"r": 0.0}), ("peers", ["b/1"]))
        for after in (0.0, 1.0, 1.99, 2.0, 2.04, 2.051, 2.0519999, 2.052, 2.0521, 2.06, 3.0):
            usable(leases, began + after)
            step(leases, began + after, ("came", "b/1", ("want", "r", int(1e6 * after) + 1, 50)))
    for need in (900.0, 909.0, 910.0, 950.0, 954.0, 955.0, 999.0, 1001.0, 1200.0, 2500.0, 5000.0):  # borrowed
        for given in (0, 10, 500, 750, 1000):
            leases = Leases(-100.0, f"borrow:{need}")
            posts = step(leases, 0.0, ("need", {"r": need}), ("peers", ["b/1", "c/1", "d/1"]))
            for receiver, message in posts[:1]:
                step(leases, 0.05, ("came", receiver, ("grant", "r", message[2] + 1, 10, 0)))
                step(leases, 0.06, ("came", receiver, ("grant", "r", message[2], given, 0)))
                usable(leases, 0.06)
            for tenth in range(1, 30):
                step(leases, 0.1 * tenth, ("need", {"r": need if tenth < 13 else 0.9 * need - 100.0}))
                if tenth % 3 == 0:
                    usable(leases, 0.1 * tenth + 0.03)
    for lowered in range(940, 1001, 5):  # what is given back, and when not
        leases = Leases(-100.0, "back")
        posts = step(leases, 0.0, ("need", {"r": 1100.0}), ("peers", ["b/1"]))
        receiver, message = posts[0]
        step(leases, 0.01, ("came", receiver, ("grant", "r", message[2], message[3], 0)))
        step(leases, 0.1, ("need", {"r": float(lowered)}))
        step(leases, 0.94, ("need", {"r": float(lowered)}))
        step(leases, 0.96, ("need", {"r": float(lowered)}))
        usable(leases, 0.97)
        for after in (1.9, 1.94, 1.947, 1.948, 1.949, 1.95, 1.96, 2.0):
            usable(leases, after)
    many = {f"m{one}": 3000.0 for one in range(40)}
    leases = Leases(-100.0, "many")
    for tenth in range(8):
        step(leases, 0.1 * tenth, ("need", many), ("peers", ["b/1", "c/1"]))
    for part in (0.5, 1.0):
        step(leases, 1.0, ("part", part), ("came", "b/1", ("want", "m1", 900, 10)))
    leases = Leases(-100.0, "most")
    leases.step(0.0, [("need", {f"m{one}": 0.0 for one in range(4100)})])
    usable(leases, 0.0)
    for one in (0, 4094, 4095, 4096, 4097):
        step(leases, 0.0, ("came", "b/1", ("want", f"m{one}", 1, 100)))
    leases.step(0.0, [("need", {"r": 0.0})])
    usable(leases, 0.0)


def demand(record: Record, seed: str, number: int) -> None:
    """What is asked for, summed up over spans."""
    rng, meters, now = random.Random(seed), Demand(), 50.0 * (number % 2)
    for _ in range(250):
        now += rng.choice((0.01, 0.05, 0.1, 0.125, 0.25, 0.3, 1.0)) * rng.random()
        if rng.random() < 0.01:
            now += rng.choice((28.0, 29.0, 31.0))
        for _ in range(rng.choice((0, 1, 1, 3, 12))):
            meters.note(now, f"k{rng.randrange(4)}", rng.choice((0.5, 1.0, 8.0)), rng.choice((10.0, 40.0)))
        record.add(now, "needs", meters.needs(now))
    if number % 2:
        for one in range(4100):
            meters.note(now, f"x{one}", 1.0, 1.0)
        record.add(now, "kept", len(meters.needs(now + 1.0)))


def limit_edges(record: Record, seed: str, number: int) -> None:
    """What is asked for of a limit, by the number of hosts that it is shared among, and with no limit."""
    for hosts in (0, 1, 2, 3):
        limits = VolumeRateLimits(Leases(-100.0, seed), [0.0, 40.0])
        for quarter in range(6):
            limits.heard(0.25 * quarter, [(0, 5, 1.0, hosts), (1, 6, 2.0, hosts), (1, 300, 0.5, hosts)])
            record.add(0.25 * quarter, hosts, limits.needs(0.25 * quarter), limits.changes(0.25 * quarter))


def cold_edges(record: Record, seed: str, number: int) -> None:
    """Which nodes are cold, at and beside the end of their time, and what a home is there."""
    for hosts, units in ((1, 8.0), (4, 8.0), (0, 2.0), (3, 0.0)):
        leases = Leases(-100.0, "cold")
        names = {node: f"n-{node}" for node in range(6)}
        cold = SlowStartNodes(leases, names, hosts, units, ramp=10.0, after=0.5)
        nodes = [
            (0, 0, "live", 100.0),
            (1, 1, "live", 100.0004),
            (2, 2, "draining", 100.0),
            (3, 3, "live", 0.0),
            (4, 4, "live", 91.0),
            (5, 0, "live", 90.5),
            (9, 0, "live", 99.0),
        ]
        cold.listed(0.0, 101.0, "full", nodes)
        for quarter in range(40):
            now, unix = 0.25 * quarter, 101.0 + 0.25 * quarter
            cold.heard(now, unix, [(quarter % 3, 5.0), (4, 0.5)])
            record.add(now, cold.needs(now))
            record.saw("lease event", "need")
            for receiver, message in leases.step(now, [("need", cold.needs(now)), ("peers", ["b/1"])]):
                record.add(now, receiver, message)
                grant = ("grant", message[1], message[2], message[3], 0)
                leases.step(now, [("came", receiver, grant)])
            record.add(now, cold.changes(now))
        cold.listed(11.0, 109.0, "changes", [(0, 0, "gone", 100.0), (1, 3, "live", 105.0)])
        record.add(11.0, cold.needs(11.0), cold.changes(11.0))
        cold.listed(11.0, 109.0, "lost", [])
        record.add(11.0, cold.needs(11.0), cold.changes(11.0))
        cold.listed(11.0, 109.0, "old copy", [(2, 2, "live", 108.0)])
        record.add(11.0, cold.needs(11.0), cold.changes(11.0))


# Shared holds


def drawn_copies(record: Record, seed: str, number: int) -> None:
    """Copies that are changed, sent late and out of order, and merged."""
    rng, size = random.Random(seed), 2 + number % 4
    lives = [f"f{one}/1" for one in range(size)]
    holds = [HoldSet() for _ in lives]
    words = [LatestValueSet() for _ in lives]
    heights = [MaximumValueSet() for _ in lives]
    sent: list[tuple[HoldSet, LatestValueSet, MaximumValueSet]] = []
    for turn in range(60 if number else 25):
        one, box = rng.randrange(size), f"b{rng.randrange(5)}"
        what = rng.choice(
            ("hold", "hold", "release", "say", "raise", "send", "merge", "merge", "forget", "new")
        )
        record.saw("holds", what)
        if what == "hold":
            holds[one] = holds[one].hold(lives[one], box)
        elif what == "release":
            holds[one] = holds[one].release(box)
        elif what == "say":
            words[one] = words[one].say(lives[one], f"w{rng.randrange(9)}", 10.0 * rng.random())
        elif what == "raise":
            heights[one] = heights[one].raised(f"k{rng.randrange(3)}", rng.randrange(20))
        elif what == "send":
            sent.append((holds[one], words[one], heights[one]))
        elif what == "merge" and sent:
            mine = rng.choice(sent)
            record.add(turn, "has", holds[one].includes(mine[0]), mine[0].includes(holds[one]))
            holds[one] = holds[one].merge(mine[0])
            words[one] = words[one].merge(mine[1])
            heights[one] = heights[one].merge(mine[2])
        elif what == "forget":
            stopped = [f"f{other}/{boot}" for other in range(size) for boot in (1, 2) if rng.random() < 0.5]
            holds[one] = holds[one].forget_actors(stopped, [*holds, *(copy[0] for copy in sent[-2:])])
        elif what == "new":
            name, _, boot = lives[one].partition("/")
            lives[one] = f"{name}/{int(boot) + 1}"
        record.add(turn, one, what, holds[one].state(), words[one].state(), heights[one].state())
    for one in range(size):
        for other in range(size):
            both = holds[one].merge(holds[other])
            record.add(60, one, other, both.state(), both.includes(holds[one]), holds[one].includes(both))


def drawn_sharing(record: Record, seed: str, number: int) -> None:
    """Fronts that share holds by encoded copies, restart, and get some that cannot be read."""
    rng, size = random.Random(seed), 2 + number % 3
    lives = [f"f{one}/1" for one in range(size)]
    turn = 0

    def make(one: int) -> SharedHolds:
        return SharedHolds(
            lambda: lives[one], lambda held, gone: record.add(turn, one, "changed", held, gone)
        )

    fronts = [make(one) for one in range(size)]
    sent: list[tuple[str, bytes]] = []
    for turn in range(80):
        one, box = rng.randrange(size), f"b{rng.randrange(4)}"
        what = rng.choice(("hold", "release", "dump", "load", "load", "restore", "garbage"))
        record.saw("sharing", what)
        front, result = fronts[one], None
        if what == "hold":
            front.hold(box)
        elif what == "release":
            front.release(box)
        elif what == "dump":
            sent.append((lives[one], front.dump()))
            result = copy_plain(sent[-1][1])
        elif what == "load" and sent:
            result = front.load(*rng.choice(sent))
        elif what == "restore":
            kept = front.dump() if rng.random() < 0.7 else b"\x01"
            name, _, boot = lives[one].partition("/")
            lives[one] = f"{name}/{int(boot) + 1}"
            fronts[one] = front = make(one)
            front.restore(kept, [rng.choice(("b1", "c0", "c1"))])  # of several, the order would vary
        elif what == "garbage":
            result = front.load("f9/1", rng.choice((b"", b"\x00", b"\x81\xa1x\x00", odd_copy())))
        lacks = [life for life in lives if front.lacks(life)]
        record.add(turn, one, what, result, front.digest(), front.merged(), front.state(), lacks)


def odd_copy() -> bytes:
    """A copy that holds by a number that it does not know of."""
    return msgspec.msgpack.encode({"clock": {}, "held": {"b0": [[["f0", 1], 1]]}})


def copy_edges(record: Record, seed: str, number: int) -> None:
    """Encoded copies at and beside their bounds."""

    def held(boxes: int, actors: int) -> bytes:
        dots = {f"b{one}": [[["f0", 1], 1]] for one in range(boxes)}
        return msgspec.msgpack.encode(
            {"clock": {("f" + str(one), 1): 1 for one in range(actors)}, "held": dots}
        )

    def summary(result: Plain) -> Plain:
        if result[:1] == ("refused",):
            return result
        return (hashlib.sha256(json.dumps(plain(result)).encode()).hexdigest(),)

    for boxes, actors in ((0, 0), (1, 1), (4096, 1), (4097, 1), (1, 4096), (1, 4097)):
        record.add(0, boxes, actors, summary(decoded("holds", held(boxes, actors))))
    for size in (0, 1, 1023, 1024, 1025):
        for count in (-1, 0, 2**53 - 1, 2**53):
            words = msgspec.msgpack.encode({"words": {("f0", 1): [count, "x" * size, 1.5]}})
            record.add(0, size, count, summary(decoded("latest", words)))
    for keys in (1, 4096, 4097):
        data = msgspec.msgpack.encode({"numbers": {f"k{one}": one for one in range(keys)}})
        record.add(0, keys, summary(decoded("highest", data)))
    for origins in (4096, 4097):
        data = msgspec.msgpack.encode({"words": {(f"f{one}", 1): [1, "w", 0.0] for one in range(origins)}})
        record.add(0, origins, summary(decoded("latest", data)))
    strange = msgspec.msgpack.encode({"words": {}, "more": 1})
    for kind in ("holds", "latest", "highest", "unheard-of"):
        for data in (b"", b"\x80", b"\xc1", odd_copy(), strange, b"\x91" * 5000):
            record.add(0, kind, summary(decoded(kind, data)))
    one, other = LatestValueSet().say("f0/1", "a", 1.0), LatestValueSet().say("f0/1", "b", 0.5)
    record.add(0, one.merge(other).state(), other.merge(one).state())
    later = LatestValueSet().say("f0/1", "b", 0.75)
    record.add(0, later.merge(other).state(), other.merge(later).state())


def restored(record: Record, seed: str, number: int) -> None:
    """Several held by hand at a start: the order of their numbers varies, so that it is left out."""
    for kept in (b"", odd_copy(), msgspec.msgpack.encode({"clock": {("f0", 1): 4}, "held": {}})):
        front = SharedHolds(lambda: "f0/2", lambda held, gone: None)
        front.hold("b7")
        front.restore(kept, ["b7", "b8", "b9"])
        clock, _, boxes = front.state()
        record.add(0, clock, boxes, front.merged())


def restored_beside(record: Record, seed: str, number: int) -> None:
    """What is held already at a start stays beside what the life before kept."""
    before = SharedHolds(lambda: "f0/1", lambda held, gone: None)
    before.hold("b1")
    for held in ([], ["b8"]):
        front = SharedHolds(lambda: "f0/2", lambda held, gone: None)
        front.hold("b7")
        front.restore(before.dump(), held)
        record.add(0, front.state(), front.digest(), front.merged())


def many_peers(record: Record, seed: str, number: int) -> None:
    """As many peers as are remembered, and one more."""
    front = SharedHolds(lambda: "f0/1", lambda held, gone: None)
    front.hold("b0")
    same = front.dump()
    for one in range(1, 4099):
        front.load(f"f{one}/1", same)
        if one > 4094:
            record.add(one, [front.lacks(f"f{other}/1") for other in (1, 2, 3, 4, one, one + 1)])


# The start after a power loss


def drawn_start(record: Record, seed: str, number: int) -> None:
    """Starts with evidence in drawn order, early, late or never."""
    rng = random.Random(seed)
    for _ in range(1 if number == 0 else 12):
        began = 100.0 * rng.random()
        start = Start(began, began + rng.choice((0.3, 2.052, 4.0, -1.0)))
        evidence = [
            (began + 3.0 * rng.random(), stage, f"{stage} {word}")
            for stage in ("disk", "peers", "list", "lent", "open")
            for word in ("one", "two")
            if rng.random() < 0.5
        ]
        looks = sorted(
            [began + 5.0 * rng.random() for _ in range(30)]
            + [began + 0.5, began + 1.5, began + 2.5, began + 6.0]
        )
        after = -math.inf
        for now in looks:
            news = [(stage, what) for at, stage, what in sorted(evidence) if after < at <= now]
            after = now
            for stage, _ in news:
                record.saw("start event", stage)
            for passed in start.step(now, news):
                record.saw("start passed", passed[0])
                record.saw("start passed by", passed[1].split()[0])
                record.add(now, "passed", *passed)
            record.add(now, *start.state(), start.lines(now))


def start_edges(record: Record, seed: str, number: int) -> None:
    """Each bound from just before to just after it."""
    begins = (0.0, 7.25)
    for began in begins:
        start = Start(began, began + 4.0)
        for bound in (0.5, 1.5, 2.5, 4.0):
            for beside in (-0.001, -1e-9, 0.0, 1e-9):
                now = began + bound + beside
                record.add(now, start.step(now, ()), *start.state(), start.lines(now))
        start = Start(began, began + 0.1)
        record.add(began, start.step(began + 50.0, ()), start.lines(began + 50.0))


CASES: dict[str, tuple[Callable[[Record, str, int], None], int]] = {}


def register() -> None:
    """All cases, by name."""
    for kind, run, count in (
        ("membership-quiet", quiet_network, 1),
        ("membership-drawn", drawn_network, 12),
        ("membership-large", large_network, 1),
        ("membership-cut", cut_in_halves, 1),
        ("membership-crowd", crowd, 3),
        ("membership-accusers", accusers, 1),
        ("membership-forgotten", forgotten, 1),
        ("membership-stood-still", stood_still, 1),
        ("membership-settings-heard", settings_heard, 1),
        ("membership-own-words", own_words, 1),
        ("membership-bad-messages", bad_messages, 1),
        ("membership-conclusions", conclusions, 3),
        ("leases-small", small_market, 1),
        ("leases-drawn", drawn_market("plain"), 10),
        ("leases-limits", drawn_market("limits"), 6),
        ("leases-cold", drawn_market("cold"), 6),
        ("leases-demand", demand, 4),
        ("leases-edges", lease_edges, 1),
        ("leases-limit-edges", limit_edges, 1),
        ("leases-cold-edges", cold_edges, 1),
        ("holds-copies", drawn_copies, 10),
        ("holds-sharing", drawn_sharing, 10),
        ("holds-edges", copy_edges, 1),
        ("holds-many-peers", many_peers, 1),
        ("holds-restored-beside", restored_beside, 1),
        ("holds-restored", restored, 1),
        ("start-drawn", drawn_start, 10),
        ("start-edges", start_edges, 1),
    ):
        for number in range(count):
            CASES[f"{kind}-{number}"] = run, number


register()

READABLE = (
    "membership-quiet-0",
    "membership-conclusions-0",
    "membership-own-words-0",
    "membership-bad-messages-0",
    "leases-small-0",
    "leases-limits-0",
    "leases-cold-0",
    "holds-copies-0",
    "holds-sharing-0",
    "start-drawn-0",
    "start-edges-0",
)


@functools.cache
def run_case(name: str) -> Record:
    """The record of one case."""
    run, number = CASES[name]
    record = Record()
    run(record, f"{name}", number)
    return record
