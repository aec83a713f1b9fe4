"""Data records of the membership: members, outstanding probes and counters."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

from cleatyoke.membership.wire import MemberId, MemberState, Update

ACTIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(slots=True, frozen=True)
class OwnIdentity:
    """Identity of this member at its start. ``address``: host and port at which others reach it.

    ``owns_address``: it listens at the configured address of its name, so no earlier process of it does.
    """

    deployment: str
    name: str
    boot: int
    address: str
    owns_address: bool = False


@dataclass(slots=True)
class MemberRecord:
    """Another member as seen by this one. Times are seconds on the corrected clock (``now``)."""

    update: Update  # the one of highest precedence
    state_since: float
    suspectors: set[str] = field(default_factory=set)  # names of the members that suspect it
    last_heard: float = -math.inf  # when a datagram or stream of its own was last received
    checksum: int = 0  # its contribution to the checksum of all active members
    notified_at: float = -math.inf  # when it was last sent its own state so that it can refute


@dataclass(slots=True)
class Probe:
    """A ping for this member's own failure detection that has not been answered yet."""

    target: MemberId
    indirect_at: float  # when helpers are asked to ping the target
    deadline: float  # when the target becomes suspected
    helpers_asked: int = 0
    nacks: int = 0


@dataclass(slots=True)
class RelayedPing:
    """A ping sent on behalf of another member, the requester."""

    requester: str
    requester_sequence: int
    nack_at: float
    deadline: float


@dataclass(slots=True)
class MembershipCounters:
    """Counts since the start, shown as metrics ``fleet.NAME`` (see ``fleet-view.md``)."""

    datagrams_out: int = 0
    datagrams_in: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    suspicions: int = 0  # raised by this member
    deaths: int = 0  # declared by this member
    refutations: int = 0  # of updates about this member
    false_deaths: int = 0  # members believed dead here that returned under the same boot number
    rejected: dict[str, int] = field(default_factory=dict)  # messages by reason: ``fleet.refused.REASON``


def member_checksum(update: Update) -> int:
    """Return a member's contribution to the checksum of all active members."""
    return zlib.crc32(f"{update.id.name}:{update.id.boot}:{update.incarnation}".encode())


def with_state(update: Update, state: MemberState, suspected_by: str = "") -> Update:
    """Return an update about another member with a new state.

    The settings checksum is left out, as only the member itself reports it.
    """
    return Update(update.id, update.address, state, update.incarnation, update.owns_address, suspected_by)
