"""Hollow fronts: the real ``Members`` by the thousand in virtual time, with no policy, socket or client.

A fleet begins settled, each knowing all others, as a start from nothing costs by the square of the members.
"""

from __future__ import annotations

import contextlib
import gc
import math
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from cleatyoke.emulation.capacity.cost import resident_bytes
from cleatyoke.emulation.fleet import Fleet, Process
from cleatyoke.emulation.network import Network
from cleatyoke.membership.member_records import MemberRecord, member_checksum
from cleatyoke.membership.members import Membership
from cleatyoke.membership.wire import MemberId, MemberState, Update

LOSS = 0.01
QUIET_SECONDS = 10.0
WINDOW = 13.0  # seconds of the worst figure of bytes
SETTLE = 120.0  # seconds that are waited for one view
STEP = 0.25  # seconds between looks
CUT_SECONDS = 40.0  # of a region, in place of an hour: by then each side believes the other dead
LOST_SHARE = 1 / 20  # of the members, with a zone
CUT_SHARE = 1 / 9  # of the members, in a region


@dataclass(slots=True, frozen=True)
class QuietCosts:
    """A member's, a second; ``memory``: of one member for each that it knows."""

    bytes: float
    datagrams: float
    cpu: float
    memory: float


@dataclass(slots=True, frozen=True)
class EventCosts:
    """After an event: seconds until all have one view again (infinite: not within the time), the most bytes
    that a member sent in ``WINDOW``, in the mean and at the one that sent most, and a member's processor
    seconds in all.
    """

    settled: float
    mean_bytes: float
    most_bytes: float
    cpu: float


@contextlib.contextmanager
def no_collection() -> Iterator[None]:
    """Millions of records that stay are looked through by no garbage collection."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def settled_fleet(size: int, seed: int) -> Fleet:
    fleet = Fleet(size, seed, network=Network(seed, loss=LOSS))
    rumours = [
        Update(MemberId(f"front-{front:04d}", 1), fleet.address(front), MemberState.ALIVE, 0, True)
        for front in range(size)
    ]
    marks = {rumour.id: member_checksum(rumour) for rumour in rumours}
    rng = random.Random(f"settled:{size}:{seed}")
    for front in range(size):
        members = settled_members(fleet, front, rumours, marks, rng)
        fleet.boot_numbers[front] = 1
        process = fleet.running[fleet.address(front)] = Process(front, members, 0.0)
        process.timer_at = members.next_step_at()
        fleet.schedule(process.timer_at, wake_up(fleet, process))
    return fleet


def wake_up(fleet: Fleet, process: Process) -> Callable[[], None]:
    address, due = process.members.address, process.timer_at
    return lambda: fleet.fire_timer(address, process, due)


def settled_members(
    fleet: Fleet, front: int, rumours: list[Update], marks: dict[MemberId, int], rng: random.Random
) -> Membership:
    """One that has been there for long, and knows all."""
    own = rumours[front]
    members = Membership(
        "test",
        own.id.name,
        own.id.boot,
        own.address,
        fleet.seeds,
        random.Random(rng.random()),
        owns_address=True,
    )
    members.step(0.0)
    members.has_joined = True
    members.due_at.join = members.timing.exchange_interval * (0.5 + rng.random())
    members.due_at.exchange = rng.random() * members.timing.exchange_interval * max(1.0, len(rumours) / 20)
    for rumour in rumours:
        if rumour is not own:
            life = MemberRecord(rumour, 0.0)
            life.checksum = marks[rumour.id]
            members.records[rumour.id] = life
            members.active_members[rumour.id] = None
            members.active_checksum ^= life.checksum
    members.probe_round = list(members.active_members)
    rng.shuffle(members.probe_round)
    members.transmit_counts.clear()
    members.actions, members.changed_ids = [], []
    members.last_change_at = -math.inf
    return members


def quiet(size: int, seed: int, seconds: float = QUIET_SECONDS) -> QuietCosts:
    with no_collection():
        before = resident_bytes()
        fleet = settled_fleet(size, seed)
        gc.disable()  # measuring the memory has collected
        memory = (resident_bytes() - before) / size / (size - 1)
        datagrams, sent = fleet.traffic()
        began = time.process_time()
        fleet.run(seconds)
        cpu = time.process_time() - began
        after = fleet.traffic()
    each = size * seconds
    return QuietCosts((after[1] - sent) / each, (after[0] - datagrams) / each, cpu / each, memory)


def agreed(fleet: Fleet) -> bool:
    """Whether all who run believe the same, doubt nobody, and believe what is true."""
    true = 0
    for process in fleet.running.values():
        true ^= member_checksum(process.members.own_update())
    return all(
        process.members.membership_checksum() == true and not process.members.suspected_members
        for process in fleet.running.values()
    )


class Watcher:
    """Lets time pass, and measures what each member sends in windows and what that costs."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.began = fleet, fleet.now
        self.cpu = 0.0
        self.sent = self.totals()
        self.window_ends = fleet.now + WINDOW
        self.mean = self.most = 0.0

    def run(self, until: float) -> None:
        began = time.process_time()
        self.fleet.run(until)
        self.cpu += time.process_time() - began
        if self.fleet.now >= self.window_ends:
            self.close_window()

    def totals(self) -> dict[MemberId, int]:
        lives = (process.members for process in self.fleet.running.values())
        return {members.id: members.counters.bytes_out for members in lives}

    def close_window(self) -> None:
        totals = self.totals()
        grew = [total - self.sent.get(id, 0) for id, total in totals.items()]
        self.mean, self.most = max(self.mean, sum(grew) / len(grew)), max(self.most, *grew)
        self.sent, self.window_ends = totals, self.fleet.now + WINDOW

    def until_agreed(self) -> EventCosts:
        took = math.inf
        while self.fleet.now < self.began + SETTLE:
            self.run(self.fleet.now + STEP)
            if agreed(self.fleet):
                took = self.fleet.now - self.began
                break
        self.close_window()
        return EventCosts(took, self.mean, self.most, self.cpu / self.fleet.size)


def wait_until_agreed(fleet: Fleet) -> None:
    end = fleet.now + SETTLE
    while fleet.now < end and not agreed(fleet):
        fleet.run(fleet.now + STEP)


def zone_lost(size: int, seed: int) -> EventCosts:
    """One of twenty zones goes in one moment."""
    with no_collection():
        fleet = settled_fleet(size, seed)
        fleet.run(2.0)
        for front in range(3, 3 + max(1, round(size * LOST_SHARE))):  # the seeds stay
            fleet.kill(front)
        return Watcher(fleet).until_agreed()


def zone_back(size: int, seed: int) -> EventCosts:
    """The zone comes back in one moment, under new lives that know nobody."""
    with no_collection():
        fleet = settled_fleet(size, seed)
        lost = range(3, 3 + max(1, round(size * LOST_SHARE)))
        for front in lost:
            fleet.kill(front)
        wait_until_agreed(fleet)
        watcher = Watcher(fleet)
        for front in lost:
            fleet.start(front)
        return watcher.until_agreed()


def region_back(size: int, seed: int) -> EventCosts:
    """A region that was cut off is back."""
    with no_collection():
        fleet = settled_fleet(size, seed)
        fleet.cut(range(round(size * CUT_SHARE)))
        fleet.run(CUT_SECONDS)
        fleet.end_cuts()
        return Watcher(fleet).until_agreed()


def power_loss(size: int, seed: int) -> EventCosts:
    """All begin within a second and know nobody but three seeds."""
    with no_collection():
        fleet = Fleet(size, seed, network=Network(seed, loss=LOSS))
        watcher = Watcher(fleet)
        fleet.start_all(over=1.0)
        watcher.run(1.5)
        return watcher.until_agreed()
