"""Many fronts' memberships in one process, in virtual time, and what must hold of them at each step.

Each front is the real ``membership.members.Membership``; datagrams and exchanges pass a ``Network``.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from cleatyoke.emulation.event_queue import EventQueue
from cleatyoke.emulation.network import Network
from cleatyoke.membership.actions import (
    ChangeKind,
    MembershipAction,
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

EXCHANGE_TIMEOUT_S = 1.0  # seconds after which an exchange without an answer is given up
Make = Callable[..., Membership]


@dataclass(slots=True)
class Process:
    """One incarnation of a front, running or ended."""

    front: int
    members: Membership
    began: float
    stopped_until: float = -math.inf  # seconds; by SIGSTOP
    inbox: list[MembershipEvent] = field(default_factory=list)  # what arrived meanwhile
    timer_at: float = math.inf
    precedences: dict[MemberId, tuple[bool, int, int]] = field(default_factory=dict)


class DeclaredDeath(NamedTuple):
    """A member's belief that another has failed."""

    at: float  # seconds
    by: str  # name of the member that believes it
    of: MemberId
    is_true: bool  # no such incarnation ran any more


@dataclass(slots=True)
class ViewJournal:
    """What a run measures of its fronts' beliefs."""

    deaths: list[DeclaredDeath] = field(default_factory=list)
    suspected: dict[MemberId, float] = field(default_factory=dict)  # when somebody first suspected it


class Fleet(EventQueue):
    """``size`` fronts, started with ``start``. Each fault is a method; ``run`` lets time pass.

    ``running``: the processes by address. ``broken``: a line for each rule that did not hold, beginning with
    its name. ``seeds``: how many of the first fronts the others know at their start.
    """

    def __init__(  # noqa: PLR0913 (what a run is made of; all but the size have defaults)
        self,
        size: int,
        seed: int = 0,
        timing: MembershipTiming | None = None,
        network: Network | None = None,
        make: Make = Membership,
        seeds: int = 3,
    ) -> None:
        super().__init__()
        self.size = size
        self.seed = seed
        self.timing = timing or MembershipTiming()
        self.make = make
        self.network = network or Network(seed)
        self.running: dict[str, Process] = {}  # by address
        self.boot_numbers: dict[int, int] = {}
        self.seeds = [self.address(front) for front in range(min(seeds, size))]
        self.streams: dict[int, tuple[str, str]] = {}  # token: who asked whom
        self.tokens = 0
        self.journal = ViewJournal()
        self.broken: list[str] = []

    def address(self, front: int) -> str:
        """Return the address at which a front listens, in all its incarnations."""
        return f"10.0.{front // 250}.{front % 250}:7946"

    # Faults

    def start(self, front: int, boot: int | None = None) -> None:
        """Begin an incarnation of a front. ``boot``: its boot number; by default one more than before."""
        address = self.address(front)
        self.kill(front)
        self.boot_numbers[front] = boot if boot is not None else self.boot_numbers.get(front, 0) + 1
        rng = random.Random(f"{self.seed}:{front}:{self.boot_numbers[front]}:{self.now}")
        members = self.make(
            "test",
            f"front-{front:04d}",
            self.boot_numbers[front],
            address,
            self.seeds,
            rng,
            self.timing,
            owns_address=True,
        )
        self.running[address] = Process(front, members, self.now)
        self.step(address)

    def start_all(self, over: float = 1.0) -> None:
        """Start all fronts one after the other within so many seconds."""
        for front in range(self.size):
            self.schedule(self.now + over * front / self.size, lambda front=front: self.start(front))  # type: ignore[misc]

    def kill(self, front: int) -> None:
        """End a front as SIGKILL would."""
        self.running.pop(self.address(front), None)

    def stop(self, front: int, seconds: float) -> None:
        """Stop a front as SIGSTOP would, and resume it so many seconds later."""
        if process := self.running.get(self.address(front)):
            process.stopped_until = max(process.stopped_until, self.now + seconds)
            address = self.address(front)
            self.schedule(process.stopped_until, lambda: self._resume(address, process))

    def leave(self, front: int) -> None:
        """Have a front leave, as at a graceful shutdown."""
        self.step(self.address(front), LeaveRequested())

    def cut(self, *sides: Iterable[int]) -> None:
        """Cut these groups off from each other and from the rest."""
        self.network.sides = {
            self.address(front): number for number, side in enumerate(sides, 1) for front in side
        }

    def end_cuts(self) -> None:
        """End all cuts of the network."""
        self.network.sides = {}
        self.network.cut_one_way = set()

    # Time

    def _resume(self, address: str, process: Process) -> None:
        if self.running.get(address) is process and self.now >= process.stopped_until:
            inbox, process.inbox = process.inbox, []
            self.step(address, *inbox)

    def step(self, address: str, *events: MembershipEvent) -> None:
        """Have the front at this address handle events, and do what it wants done.

        Nothing happens where none runs; a stopped one handles the events when it resumes.
        """
        process = self.running.get(address)
        if process is None:
            return
        if self.now < process.stopped_until:
            process.inbox += [event for event in events if not isinstance(event, LeaveRequested)]
            return
        for action in process.members.step(self.now, events):
            self._perform(address, process, action)
        self._check_precedence(process)
        if process.members.has_left:
            self.running.pop(address, None)
            return
        self._set_timer(address, process)

    def _perform(self, address: str, process: Process, action: MembershipAction) -> None:
        match action:
            case SendDatagram(target, data):
                for after, arrived in self.network.datagram(address, target, data):
                    self._deliver(after, target, DatagramReceived(arrived))
            case StartExchange(target, data):
                self._begin_exchange(address, target, data)
            case ReplyExchange(token, data):
                source, _ = self.streams.pop(token)
                back = self.network.stream(address, source, data)
                if back is not None:
                    self._deliver(back, source, ExchangeAnswered(address, data))
            case MembershipChanged():
                self._record_change(process, action)

    def _set_timer(self, address: str, process: Process) -> None:
        due = process.members.next_step_at()
        if due < process.timer_at or process.timer_at <= self.now:
            process.timer_at = due
            self.schedule(due, lambda: self.fire_timer(address, process, due))

    def fire_timer(self, address: str, process: Process, due: float) -> None:
        """Step a front whose timer was set for ``due``, unless it was set anew or its process ended."""
        if self.running.get(address) is process and process.timer_at == due:
            process.timer_at = math.inf
            self.step(address)

    def _deliver(self, after: float, target: str, event: MembershipEvent) -> None:
        self.schedule(self.now + after, lambda: self.step(target, event))

    def _begin_exchange(self, source: str, target: str, data: bytes) -> None:
        reached = self.network.stream(source, target, data)
        if reached is None or target not in self.running:
            self._deliver(EXCHANGE_TIMEOUT_S, source, ExchangeAnswered(target, None))
            return
        self.tokens += 1
        self.streams[self.tokens] = source, target
        self._deliver(reached, target, ExchangeRequested(self.tokens, data))

    # What must hold, and what is measured

    def _record_change(self, process: Process, change: MembershipChanged) -> None:
        if change.change in (ChangeKind.SUSPECTED, ChangeKind.DEAD):
            self.journal.suspected.setdefault(change.id, self.now)
        if change.change is ChangeKind.DEAD:
            true = all(other.members.id != change.id for other in self.running.values())
            self.journal.deaths.append(DeclaredDeath(self.now, process.members.id.name, change.id, true))

    def _check_precedence(self, process: Process) -> None:
        """Check that what an incarnation believes of another never goes back."""
        for id in process.members.changed_ids:
            life = process.members.records.get(id)
            if life is None:
                continue
            was = process.precedences.get(id)
            if was is not None and precedence(life.update) < was:
                self.broken.append(f"back: {process.members.id} of {id} at {self.now:.3f}")
            process.precedences[id] = precedence(life.update)

    def conclusion(self, process: Process, front_count: int) -> Conclusion:
        """Return what a process may conclude now, configured for this number of fronts."""
        members = process.members
        known = [ObservedMember(life.update, life.last_heard) for life in members.records.values()]
        return conclude(members.own_update(), known, front_count, self.now)

    def check_counts(self) -> None:
        """Check that no front counts fewer fronts than run, nor calls a running one stopped.

        Both hold on each side of any cut.
        """
        true = {one.members.id for one in self.running.values() if not one.members.is_leaving}
        for process in self.running.values():
            conclusion = self.conclusion(process, self.size)
            if conclusion.front_count < len({id.name for id in true}):
                self.broken.append(
                    f"count: {process.members.id} counts {conclusion.front_count} at {self.now:.3f}"
                )
            if wrong := conclusion.certainly_stopped & true:
                self.broken.append(f"stopped: {process.members.id} says so of {min(wrong)} at {self.now:.3f}")

    def has_one_view(self) -> bool:
        """Return whether all running fronts believe the same, and believe alive just those that run."""
        true = {process.members.id for process in self.running.values()}
        digests = set()
        for process in self.running.values():
            members = process.members
            there = {id for id, life in members.records.items() if life.update.state is MemberState.ALIVE}
            if there | {members.id} != true:
                return False
            digests.add(members.operator_view_checksum())
        return len(digests) <= 1

    def settle(self, within: float, step: float = 0.1) -> float | None:
        """Run until there is one view; return the seconds it took, or None after ``within``."""
        began = self.now
        while self.now < began + within:
            self.run(self.now + step)
            if self.has_one_view():
                return self.now - began
        return None

    def fraction_knowing_dead(self, id: MemberId) -> float:
        """Return the fraction of running fronts that know this incarnation as dead or gone."""
        lives = [process.members.records.get(id) for process in self.running.values()]
        gone = sum(life is not None and life.update.state not in ACTIVE_STATES for life in lives)
        return gone / max(1, len(lives))

    def traffic(self) -> tuple[int, int]:
        """Return the datagrams and bytes that the running fronts have sent."""
        figures = [process.members.counters for process in self.running.values()]
        return sum(one.datagrams_out for one in figures), sum(one.bytes_out for one in figures)
