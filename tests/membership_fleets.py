"""Helpers of the membership tests: updates, fleets in virtual time, and members that lack one rule."""

from __future__ import annotations

import random

from cleatyoke.emulation.fleet import Fleet
from cleatyoke.emulation.network import Network
from cleatyoke.membership.member_records import MemberRecord, Probe
from cleatyoke.membership.members import Membership
from cleatyoke.membership.wire import MemberId, MemberState, Update

SIZE = 12  # fronts in a fleet
HEAL_SECONDS = 3.0  # limit for the views to agree again after a fault has ended
SETTLE_SECONDS = 20.0  # limit where members have to be declared dead or found first


class NeverRefutes(Membership):
    """Doesn't refute suspicions of itself."""

    def refute(self, update: Update) -> None:
        pass


class NeverProbesDeadMembers(Membership):
    """Doesn't probe members that are believed dead."""

    def probe_dead_member(self) -> None:
        pass


class NeverProbesIndirectly(Membership):
    """Asks no helpers for indirect probes."""

    def request_indirect_probes(self, sequence: int, probe: Probe, address: str) -> None:  # noqa: ARG002
        probe.indirect_at = probe.deadline


class ForgetsBoot(Membership):
    """Starts with boot number 1 every time, and never takes a higher one."""

    def __init__(self, deployment: str, name: str, boot: int, *args: object, **kwargs: object) -> None:  # noqa: ARG002
        super().__init__(deployment, name, 1, *args, **kwargs)  # type: ignore[arg-type]

    def adopt_higher_boot(self, boot: int) -> None:
        pass


class NotifiesWithoutBound(Membership):
    """Notifies a suspected member at each of its messages, without a minimum interval."""

    def notify_suspect(self, record: MemberRecord, sender: Update) -> None:
        record.notified_at = float("-inf")
        super().notify_suspect(record, sender)


def started_fleet(
    size: int = SIZE, membership_class: type[Membership] = Membership, seed: int = 1, **link_faults: float
) -> Fleet:
    """Return a fleet that has run for 12 s. ``link_faults``: fault rates of all links."""
    fleet = Fleet(size, seed, network=Network(seed, **link_faults), make=membership_class)  # type: ignore[arg-type]
    fleet.start_all()
    fleet.run(12.0)
    return fleet


def membership_of(fleet: Fleet, front: int) -> Membership:
    """Return the membership of a running front."""
    return fleet.running[fleet.address(front)].members


def count_false_deaths(fleet: Fleet) -> int:
    """Return how often a running member was declared dead."""
    return sum(not is_true for _, _, _, is_true in fleet.journal.deaths)


def single_member() -> Membership:
    """Return a member without seeds that knows no other member."""
    return Membership("test", "a", 1, "a:1", (), random.Random(1))


def update_of(
    name: str = "a",
    boot: int = 1,
    state: MemberState = MemberState.ALIVE,
    incarnation: int = 0,
    suspected_by: str = "",
) -> Update:
    """Return an update about a member that owns the address of its name."""
    return Update(MemberId(name, boot), f"{name}:1", state, incarnation, True, suspected_by)
