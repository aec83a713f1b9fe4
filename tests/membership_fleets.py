"""Helpers of the membership's tests: updates, fleets in virtual time, and members with one rule left out."""

from __future__ import annotations

import random

from cleatyoke.emulation.fleet import Fleet
from cleatyoke.emulation.network import Network
from cleatyoke.membership.member_records import MemberRecord, Probe
from cleatyoke.membership.members import Membership
from cleatyoke.membership.wire import MemberId, MemberState, Update

SIZE = 12  # fronts of a fleet
HEAL_SECONDS = 3.0  # until there is one view again
SETTLE_SECONDS = 20.0


class NeverRefutes(Membership):
    """Leaves suspicions of itself unanswered."""

    def refute(self, update: Update) -> None:
        pass


class NeverProbesDeadMembers(Membership):
    """Lets members that are believed dead rest."""

    def probe_dead_member(self) -> None:
        pass


class NeverProbesIndirectly(Membership):
    """Asks no helpers."""

    def request_indirect_probes(self, sequence: int, probe: Probe, address: str) -> None:  # noqa: ARG002
        probe.indirect_at = probe.deadline


class ForgetsBoot(Membership):
    """Starts with boot number 1 each time, and never takes a higher one."""

    def __init__(self, deployment: str, name: str, boot: int, *rest: object, **more: object) -> None:  # noqa: ARG002
        super().__init__(deployment, name, 1, *rest, **more)  # type: ignore[arg-type]

    def adopt_higher_boot(self, boot: int) -> None:
        pass


class NotifiesWithoutBound(Membership):
    """Tells a suspect what is believed of it at each of its messages."""

    def notify_suspect(self, record: MemberRecord, sender: Update) -> None:
        record.notified_at = float("-inf")
        super().notify_suspect(record, sender)


def started_fleet(
    size: int = SIZE, make: type[Membership] = Membership, seed: int = 1, **network: float
) -> Fleet:
    """Return a fleet that has run for 12 s. ``network``: faults of all links."""
    fleet = Fleet(size, seed, network=Network(seed, **network), make=make)  # type: ignore[arg-type]
    fleet.start_all()
    fleet.run(12.0)
    return fleet


def membership_of(fleet: Fleet, front: int) -> Membership:
    """Return the membership of a front that runs."""
    return fleet.running[fleet.address(front)].members


def count_false_deaths(fleet: Fleet) -> int:
    """Return how often a member that ran was declared dead."""
    return sum(not true for _, _, _, true in fleet.journal.deaths)


def single_member() -> Membership:
    """Return a member that knows nobody."""
    return Membership("test", "a", 1, "a:1", (), random.Random(1))


def update_of(
    name: str = "a",
    boot: int = 1,
    state: MemberState = MemberState.ALIVE,
    incarnation: int = 0,
    suspected_by: str = "",
) -> Update:
    """Return an update of a member that owns the address of its name."""
    return Update(MemberId(name, boot), f"{name}:1", state, incarnation, True, suspected_by)
