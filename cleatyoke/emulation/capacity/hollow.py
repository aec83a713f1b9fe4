"""Hollow fronts: thousands of real ``Membership`` instances in virtual time, without scheduler, sockets and
clients.

A fleet begins settled, with members that all know each other, since emulating a start without any state costs
time with the square of the number of members.
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
IDLE_SECONDS = 10.0
WINDOW = 13.0  # seconds of the windows whose worst byte count is reported
SETTLE = 120.0  # seconds to wait at most until all members agree
STEP = 0.25  # seconds between checks of the agreement
CUT_SECONDS = 40.0  # partition of a region, instead of an hour: by then each side has declared the other dead
ZONE_SHARE = 1 / 20  # of the members, with a zone
REGION_SHARE = 1 / 9  # of the members, in a region


@dataclass(slots=True, frozen=True)
class IdleCosts:
    """Costs per member and second without changes; ``memory``: bytes of a member for each member it knows."""

    bytes: float
    datagrams: float
    cpu: float
    memory: float


@dataclass(slots=True, frozen=True)
class EventCosts:
    """Costs of an event. ``settled``: seconds until all members agree again, infinite if they don't within
    ``SETTLE``; ``mean_bytes`` and ``most_bytes``: bytes sent in the worst ``WINDOW``, by the mean member and
    by the one that sent most; ``cpu``: total processor seconds per member.
    """

    settled: float
    mean_bytes: float
    most_bytes: float
    cpu: float


@contextlib.contextmanager
def garbage_collection_disabled() -> Iterator[None]:
    """Disable garbage collection, which would scan millions of long-lived records again and again."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def settled_fleet(size: int, seed: int) -> Fleet:
    """Return a running fleet in which every member knows all others."""
    fleet = Fleet(size, seed, network=Network(seed, loss=LOSS))
    updates = [
        Update(MemberId(f"front-{front:04d}", 1), fleet.address(front), MemberState.ALIVE, 0, True)
        for front in range(size)
    ]
    checksums = {rumour.id: member_checksum(rumour) for rumour in updates}
    rng = random.Random(f"settled:{size}:{seed}")
    for front in range(size):
        members = make_settled_member(fleet, front, updates, checksums, rng)
        fleet.boot_numbers[front] = 1
        process = fleet.running[fleet.address(front)] = Process(front, members, 0.0)
        process.timer_at = members.next_step_at()
        fleet.schedule(process.timer_at, wake_up(fleet, process))
    return fleet


def wake_up(fleet: Fleet, process: Process) -> Callable[[], None]:
    address, due = process.members.address, process.timer_at
    return lambda: fleet.fire_timer(address, process, due)


def make_settled_member(
    fleet: Fleet, front: int, updates: list[Update], checksums: dict[MemberId, int], rng: random.Random
) -> Membership:
    """Return a member that joined long ago and knows all others."""
    own = updates[front]
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
    members.due_at.exchange = rng.random() * members.timing.exchange_interval * max(1.0, len(updates) / 20)
    for rumour in updates:
        if rumour is not own:
            record = MemberRecord(rumour, 0.0)
            record.checksum = checksums[rumour.id]
            members.records[rumour.id] = record
            members.active_members[rumour.id] = None
            members.active_checksum ^= record.checksum
    members.probe_round = list(members.active_members)
    rng.shuffle(members.probe_round)
    members.transmit_counts.clear()
    members.actions, members.changed_ids = [], []
    members.last_change_at = -math.inf
    return members


def measure_idle(size: int, seed: int, seconds: float = IDLE_SECONDS) -> IdleCosts:
    """Measure a settled fleet without changes."""
    with garbage_collection_disabled():
        before = resident_bytes()
        fleet = settled_fleet(size, seed)
        gc.disable()  # resident_bytes runs a collection; keep it off for the run
        memory = (resident_bytes() - before) / size / (size - 1)
        datagrams, sent = fleet.traffic()
        began = time.process_time()
        fleet.run(seconds)
        cpu = time.process_time() - began
        after = fleet.traffic()
    each = size * seconds
    return IdleCosts((after[1] - sent) / each, (after[0] - datagrams) / each, cpu / each, memory)


def all_agree(fleet: Fleet) -> bool:
    """Return whether all running members have the same view, suspect nobody, and the view is correct."""
    true = 0
    for process in fleet.running.values():
        true ^= member_checksum(process.members.own_update())
    return all(
        process.members.membership_checksum() == true and not process.members.suspected_members
        for process in fleet.running.values()
    )


class CostMonitor:
    """Advances the emulation; measures the bytes of each member per window, and the processor time."""

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
            self.end_window()

    def totals(self) -> dict[MemberId, int]:
        memberships = (process.members for process in self.fleet.running.values())
        return {members.id: members.counters.bytes_out for members in memberships}

    def end_window(self) -> None:
        totals = self.totals()
        growth = [total - self.sent.get(id, 0) for id, total in totals.items()]
        self.mean, self.most = max(self.mean, sum(growth) / len(growth)), max(self.most, *growth)
        self.sent, self.window_ends = totals, self.fleet.now + WINDOW

    def run_until_agreed(self) -> EventCosts:
        elapsed = math.inf
        while self.fleet.now < self.began + SETTLE:
            self.run(self.fleet.now + STEP)
            if all_agree(self.fleet):
                elapsed = self.fleet.now - self.began
                break
        self.end_window()
        return EventCosts(elapsed, self.mean, self.most, self.cpu / self.fleet.size)


def wait_until_all_agree(fleet: Fleet) -> None:
    end = fleet.now + SETTLE
    while fleet.now < end and not all_agree(fleet):
        fleet.run(fleet.now + STEP)


def zone_lost(size: int, seed: int) -> EventCosts:
    """Measure the loss of one of twenty zones at once."""
    with garbage_collection_disabled():
        fleet = settled_fleet(size, seed)
        fleet.run(2.0)
        for front in range(3, 3 + max(1, round(size * ZONE_SHARE))):  # the seeds stay
            fleet.kill(front)
        return CostMonitor(fleet).run_until_agreed()


def zone_back(size: int, seed: int) -> EventCosts:
    """Measure the return of a lost zone at once, as new incarnations that know nobody."""
    with garbage_collection_disabled():
        fleet = settled_fleet(size, seed)
        lost = range(3, 3 + max(1, round(size * ZONE_SHARE)))
        for front in lost:
            fleet.kill(front)
        wait_until_all_agree(fleet)
        watcher = CostMonitor(fleet)
        for front in lost:
            fleet.start(front)
        return watcher.run_until_agreed()


def region_back(size: int, seed: int) -> EventCosts:
    """Measure the end of a partition that cut off one region."""
    with garbage_collection_disabled():
        fleet = settled_fleet(size, seed)
        fleet.cut(range(round(size * REGION_SHARE)))
        fleet.run(CUT_SECONDS)
        fleet.end_cuts()
        return CostMonitor(fleet).run_until_agreed()


def power_loss(size: int, seed: int) -> EventCosts:
    """Measure a start of all members within a second, who know nobody but three seeds."""
    with garbage_collection_disabled():
        fleet = Fleet(size, seed, network=Network(seed, loss=LOSS))
        watcher = CostMonitor(fleet)
        fleet.start_all(over=1.0)
        watcher.run(1.5)
        return watcher.run_until_agreed()
