"""The memberships of many fronts in one process and in virtual time, with invariants checked at each step.

Each front runs the production ``membership.members.Membership``; datagrams and exchanges pass through an
emulated ``Network``.
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

EXCHANGE_TIMEOUT_S = 1.0  # seconds after which an unanswered exchange fails
MembershipFactory = Callable[..., Membership]


@dataclass(slots=True)
class Process:
    """One incarnation of a front, running or ended."""

    front: int
    members: Membership
    began: float
    stopped_until: float = -math.inf  # seconds; when a process stopped by SIGSTOP resumes
    inbox: list[MembershipEvent] = field(default_factory=list)  # events received while stopped
    timer_at: float = math.inf
    precedences: dict[MemberId, tuple[bool, int, int]] = field(default_factory=dict)  # as last checked


class DeclaredDeath(NamedTuple):
    """A member's declaration that another has failed."""

    at: float  # seconds
    by: str  # name of the declaring member
    of: MemberId
    is_correct: bool  # that incarnation no longer ran


@dataclass(slots=True)
class ViewJournal:
    """Deaths and suspicions recorded over a run."""

    deaths: list[DeclaredDeath] = field(default_factory=list)
    suspected: dict[MemberId, float] = field(default_factory=dict)  # when any member first suspected it


class Fleet(EventQueue):
    """``size`` fronts, started with ``start``. Each fault is a method; ``run`` advances the virtual time.

    ``running``: the processes by address. ``broken``: a line for each violation of a rule, beginning with the
    rule's name. ``seeds``: the number of fronts, from the first, that serve as the seeds of all.
    """

    def __init__(  # noqa: PLR0913 (parameters of a run; all but the size have defaults)
        self,
        size: int,
        seed: int = 0,
        timing: MembershipTiming | None = None,
        network: Network | None = None,
        make: MembershipFactory = Membership,
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
        self.streams: dict[int, tuple[str, str]] = {}  # token of an open exchange: requester, responder
        self.tokens = 0
        self.journal = ViewJournal()
        self.broken: list[str] = []

    def address(self, front: int) -> str:
        """Return the address at which all incarnations of a front listen."""
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
        """Start all fronts one after the other, evenly spread over this many seconds."""
        for front in range(self.size):
            self.schedule(self.now + over * front / self.size, lambda front=front: self.start(front))  # type: ignore[misc]

    def kill(self, front: int) -> None:
        """End a front as SIGKILL would."""
        self.running.pop(self.address(front), None)

    def stop(self, front: int, seconds: float) -> None:
        """Stop a front as SIGSTOP would, and resume it after this many seconds."""
        if process := self.running.get(self.address(front)):
            process.stopped_until = max(process.stopped_until, self.now + seconds)
            address = self.address(front)
            self.schedule(process.stopped_until, lambda: self._resume(address, process))

    def leave(self, front: int) -> None:
        """Let a front leave the fleet, as at a graceful shutdown."""
        self.step(self.address(front), LeaveRequested())

    def cut(self, *sides: Iterable[int]) -> None:
        """Partition the network: these groups are cut off from each other and from the rest."""
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
        """Pass events to the front at this address and perform its actions.

        Does nothing if no front runs there. A stopped front handles the events when it resumes.
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
        """Step a front whose timer was set for ``due``, unless the timer was reset or the process ended."""
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

    # Invariants and measurements

    def _record_change(self, process: Process, change: MembershipChanged) -> None:
        if change.change in (ChangeKind.SUSPECTED, ChangeKind.DEAD):
            self.journal.suspected.setdefault(change.id, self.now)
        if change.change is ChangeKind.DEAD:
            is_correct = all(other.members.id != change.id for other in self.running.values())
            self.journal.deaths.append(
                DeclaredDeath(self.now, process.members.id.name, change.id, is_correct)
            )

    def _check_precedence(self, process: Process) -> None:
        """Check that the precedence of what a process knows of each member never decreases."""
        for id in process.members.changed_ids:
            record = process.members.records.get(id)
            if record is None:
                continue
            previous = process.precedences.get(id)
            if previous is not None and precedence(record.update) < previous:
                self.broken.append(
                    f"back: {process.members.id} lowered the precedence of {id} at {self.now:.3f}"
                )
            process.precedences[id] = precedence(record.update)

    def conclusion(self, process: Process, front_count: int) -> Conclusion:
        """Return the conclusions of a process now if it is configured for this number of fronts."""
        members = process.members
        known = [ObservedMember(record.update, record.last_heard) for record in members.records.values()]
        return conclude(members.own_update(), known, front_count, self.now)

    def check_counts(self) -> None:
        """Check that no front counts fewer fronts than run, or concludes that a running one has stopped.

        Both must hold on each side of any partition.
        """
        running_ids = {
            process.members.id for process in self.running.values() if not process.members.is_leaving
        }
        for process in self.running.values():
            conclusion = self.conclusion(process, self.size)
            if conclusion.front_count < len({id.name for id in running_ids}):
                self.broken.append(
                    f"count: {process.members.id} counts only {conclusion.front_count} at {self.now:.3f}"
                )
            if wrong := conclusion.certainly_stopped & running_ids:
                self.broken.append(
                    f"stopped: {process.members.id} counts running {min(wrong)} as stopped at {self.now:.3f}"
                )

    def has_one_view(self) -> bool:
        """Return whether all running fronts agree on one view, with exactly the running ones alive."""
        running_ids = {process.members.id for process in self.running.values()}
        digests = set()
        for process in self.running.values():
            members = process.members
            alive = {id for id, record in members.records.items() if record.update.state is MemberState.ALIVE}
            if alive | {members.id} != running_ids:
                return False
            digests.add(members.operator_view_checksum())
        return len(digests) <= 1

    def settle(self, within: float, step: float = 0.1) -> float | None:
        """Run until there is one view; return the seconds it took, or None after ``within`` seconds."""
        began = self.now
        while self.now < began + within:
            self.run(self.now + step)
            if self.has_one_view():
                return self.now - began
        return None

    def fraction_knowing_dead(self, id: MemberId) -> float:
        """Return the fraction of running fronts that know this incarnation as dead or departed."""
        records = [process.members.records.get(id) for process in self.running.values()]
        inactive = sum(record is not None and record.update.state not in ACTIVE_STATES for record in records)
        return inactive / max(1, len(records))

    def traffic(self) -> tuple[int, int]:
        """Return the datagrams and bytes that the running fronts have sent."""
        all_counters = [process.members.counters for process in self.running.values()]
        return sum(counters.datagrams_out for counters in all_counters), sum(
            counters.bytes_out for counters in all_counters
        )
