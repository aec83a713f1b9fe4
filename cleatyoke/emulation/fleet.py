"""Many lives of many fronts in one process and one virtual clock, and what must hold of them at each step."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cleatyoke.emulation.network import Network
from cleatyoke.membership.actions import (
    ChangeKind,
    MembershipChanged,
    ReplyExchange,
    SendDatagram,
    StartExchange,
)
from cleatyoke.membership.conclusions import Conclusion, ObservedMember, conclude
from cleatyoke.membership.events import (
    DatagramReceived,
    ExchangeAnswered,
    ExchangeRequested,
    LeaveRequested,
    MembershipEvent,
)
from cleatyoke.membership.member_records import ACTIVE_STATES
from cleatyoke.membership.members import Membership
from cleatyoke.membership.merge_rules import precedence
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import MemberId, MemberState

PATIENCE = 1.0  # seconds after which an exchange without an answer is given up
Make = Callable[..., Membership]


@dataclass(slots=True)
class Process:
    """One life that runs, or ran."""

    front: int
    members: Membership
    began: float
    stopped_until: float = -math.inf  # by SIGSTOP
    inbox: list[MembershipEvent] = field(default_factory=list)  # what came meanwhile
    alarm: float = math.inf
    ranks: dict[MemberId, tuple[bool, int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class ViewJournal:
    """What is measured."""

    deaths: list[tuple[float, str, MemberId, bool]] = field(
        default_factory=list
    )  # when, by whom, of whom, true
    suspected: dict[MemberId, float] = field(default_factory=dict)  # life: when somebody first suspected it
    told: int = 0


class Fleet:
    """``size`` fronts, started with ``start``. Each fault is a method; ``run`` lets time pass."""

    def __init__(
        self,
        size: int,
        seed: int = 0,
        timing: MembershipTiming | None = None,
        network: Network | None = None,
        make: Make = Membership,
        seeds: int = 3,
    ) -> None:
        self.size, self.seed, self.timing, self.make = size, seed, timing or MembershipTiming(), make
        self.network = network or Network(seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.entries = 0
        self.running: dict[str, Process] = {}  # by address
        self.boots: dict[int, int] = {}
        self.seeds = [self.address(front) for front in range(min(seeds, size))]
        self.streams: dict[int, tuple[str, str]] = {}  # token: who asked whom
        self.tokens = 0
        self.journal = ViewJournal()
        self.broken: list[str] = []

    def address(self, front: int) -> str:
        return f"10.0.{front // 250}.{front % 250}:7946"

    def at(self, when: float, act: Callable[[], None]) -> None:
        self.entries += 1
        heapq.heappush(self.heap, (when, self.entries, act))

    # Faults

    def start(self, front: int, boot: int | None = None) -> None:
        """A new life, at the address of its name. ``boot``: as it remembers; usually one more than before."""
        address = self.address(front)
        self.kill(front)
        self.boots[front] = boot if boot is not None else self.boots.get(front, 0) + 1
        rng = random.Random(f"{self.seed}:{front}:{self.boots[front]}:{self.now}")
        members = self.make(
            "test",
            f"front-{front:04d}",
            self.boots[front],
            address,
            self.seeds,
            rng,
            self.timing,
            owns_address=True,
        )
        self.running[address] = Process(front, members, self.now)
        self.step(address)

    def start_all(self, over: float = 1.0) -> None:
        for front in range(self.size):
            self.at(self.now + over * front / self.size, lambda front=front: self.start(front))  # type: ignore[misc]

    def kill(self, front: int) -> None:
        self.running.pop(self.address(front), None)

    def stop(self, front: int, seconds: float) -> None:
        """SIGSTOP, and SIGCONT so much later."""
        if process := self.running.get(self.address(front)):
            process.stopped_until = max(process.stopped_until, self.now + seconds)
            address = self.address(front)
            self.at(process.stopped_until, lambda: self.wake(address, process))

    def leave(self, front: int) -> None:
        self.step(self.address(front), LeaveRequested())

    def cut(self, *sides: Iterable[int]) -> None:
        """Part these groups from each other and from the rest."""
        self.network.sides = {
            self.address(front): number for number, side in enumerate(sides, 1) for front in side
        }

    def heal(self) -> None:
        self.network.sides, self.network.cut_one_way = {}, set()

    # Time

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self.heap)
            act()
        self.now = until

    def wake(self, address: str, process: Process) -> None:
        if self.running.get(address) is process and self.now >= process.stopped_until:
            inbox, process.inbox = process.inbox, []
            self.step(address, *inbox)

    def step(self, address: str, *events: MembershipEvent) -> None:
        process = self.running.get(address)
        if process is None:
            return
        if self.now < process.stopped_until:
            process.inbox += [event for event in events if not isinstance(event, LeaveRequested)]
            return
        actions = process.members.step(self.now, events)
        for action in actions:
            match action:
                case SendDatagram(target, data):
                    for after, came in self.network.datagram(address, target, data):
                        self.deliver(after, target, DatagramReceived(came))
                case StartExchange(target, data):
                    self.exchange(address, target, data)
                case ReplyExchange(token, data):
                    source, _ = self.streams.pop(token)
                    back = self.network.stream(address, source, data)
                    if back is not None:
                        self.deliver(back, source, ExchangeAnswered(address, data))
                case MembershipChanged():
                    self.told(process, action)
        self.check_ranks(process)
        if process.members.has_left:
            self.running.pop(address, None)
            return
        due = process.members.next_step_at()
        if due < process.alarm or process.alarm <= self.now:
            process.alarm = due
            self.at(due, lambda: self.rung(address, process, due))

    def rung(self, address: str, process: Process, due: float) -> None:
        if self.running.get(address) is process and process.alarm == due:
            process.alarm = math.inf
            self.step(address)

    def deliver(self, after: float, target: str, event: MembershipEvent) -> None:
        self.at(self.now + after, lambda: self.step(target, event))

    def exchange(self, source: str, target: str, data: bytes) -> None:
        reached = self.network.stream(source, target, data)
        if reached is None or target not in self.running:
            self.deliver(PATIENCE, source, ExchangeAnswered(target, None))
            return
        self.tokens += 1
        self.streams[self.tokens] = source, target
        self.deliver(reached, target, ExchangeRequested(self.tokens, data))

    # What must hold, and what is measured

    def told(self, process: Process, told: MembershipChanged) -> None:
        self.journal.told += 1
        if told.change in (ChangeKind.SUSPECTED, ChangeKind.DIED):
            self.journal.suspected.setdefault(told.id, self.now)
        if told.change is ChangeKind.DIED:
            true = all(other.members.id != told.id for other in self.running.values())
            self.journal.deaths.append((self.now, process.members.id.name, told.id, true))

    def check_ranks(self, process: Process) -> None:
        """What a life holds of another never goes back."""
        for id in process.members.changed_ids:
            life = process.members.records.get(id)
            if life is None:
                continue
            was = process.ranks.get(id)
            if was is not None and precedence(life.update) < was:
                self.broken.append(f"back: {process.members.id} of {id} at {self.now:.3f}")
            process.ranks[id] = precedence(life.update)

    def conclusion(self, process: Process, hosts: int) -> Conclusion:
        members = process.members
        known = [ObservedMember(life.update, life.last_heard) for life in members.records.values()]
        return conclude(members.own_update(), known, hosts, self.now)

    def check_counts(self) -> None:
        """Nobody counts fewer fronts than run, nor calls one that runs stopped, on any side of any cut."""
        true = {one.members.id for one in self.running.values() if not one.members.is_leaving}
        for process in self.running.values():
            told = self.conclusion(process, self.size)
            if told.front_count < len({id.name for id in true}):
                self.broken.append(f"count: {process.members.id} counts {told.front_count} at {self.now:.3f}")
            if wrong := told.certainly_stopped & true:
                self.broken.append(f"stopped: {process.members.id} says so of {min(wrong)} at {self.now:.3f}")

    def one_view(self) -> bool:
        """Everybody who runs believes the same, and that all who run do run, and nobody else."""
        true = {process.members.id for process in self.running.values()}
        digests = set()
        for process in self.running.values():
            members = process.members
            there = {id for id, life in members.records.items() if life.update.state is MemberState.ALIVE}
            if there | {members.id} != true:
                return False
            digests.add(members.digest())
        return len(digests) <= 1

    def settle(self, within: float, step: float = 0.1) -> float | None:
        """Seconds until there is one view, or None if there is none within so many."""
        began = self.now
        while self.now < began + within:
            self.run(self.now + step)
            if self.one_view():
                return self.now - began
        return None

    def knows_dead(self, id: MemberId) -> float:
        """Part of those who run that no longer count on this life."""
        lives = [process.members.records.get(id) for process in self.running.values()]
        gone = sum(life is not None and life.update.state not in ACTIVE_STATES for life in lives)
        return gone / max(1, len(lives))

    def traffic(self) -> tuple[int, int]:
        """Datagrams and bytes that those who run have sent."""
        figures = [process.members.counters for process in self.running.values()]
        return sum(one.datagrams_out for one in figures), sum(one.bytes_out for one in figures)
