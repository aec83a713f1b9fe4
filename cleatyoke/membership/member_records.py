"""Records of the membership: what is stored per member and per outstanding probe, and what is counted."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

from cleatyoke.membership.wire import MemberId, MemberState, Update

ACTIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(slots=True, frozen=True)
class OwnIdentity:
    """What this member is at its start. ``address``: host and port at which others reach it.

    ``owns_address``: it listens at the stated address of its name, so that no earlier process of it does.
    """

    deployment: str
    name: str
    boot: int
    address: str
    owns_address: bool = False


@dataclass(slots=True)
class MemberRecord:
    """Another member as this one knows it. Times are seconds on the corrected clock (``now``)."""

    update: Update  # the latest by precedence
    state_since: float
    suspectors: set[str] = field(default_factory=set)  # names of those that suspect it
    last_heard: float = -math.inf  # directly, by a datagram or stream of its own
    checksum: int = 0  # its part of the checksum of all active members
    notified_at: float = -math.inf  # when it was last told, at once, what is believed of it


@dataclass(slots=True)
class Probe:
    """A ping of our own that has no answer yet."""

    target: MemberId
    indirect_at: float  # when helpers are asked
    deadline: float  # when the target is suspected
    helpers_asked: int = 0
    nacks: int = 0


@dataclass(slots=True)
class RelayedPing:
    """A ping on behalf of another member, the requester."""

    requester: str
    requester_sequence: int
    nack_at: float
    deadline: float


@dataclass(slots=True)
class MembershipCounters:
    """Counted since the start; shown as metrics ``fleet.NAME`` (page ``fleet-view.md``)."""

    datagrams_out: int = 0
    datagrams_in: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    suspicions: int = 0  # raised here
    deaths: int = 0  # declared here
    refutations: int = 0  # of what was said of this member
    false_deaths: int = 0  # members believed dead here that came back under the same boot number
    rejected: dict[str, int] = field(default_factory=dict)  # messages, by reason: ``fleet.refused.REASON``


def member_checksum(update: Update) -> int:
    """Return what a member adds to the checksum of all active members."""
    return zlib.crc32(f"{update.id.name}:{update.id.boot}:{update.incarnation}".encode())


def with_state(update: Update, state: MemberState, suspected_by: str = "") -> Update:
    """Return what this member says of another by its latest update; only the subject states its settings."""
    return Update(update.id, update.address, state, update.incarnation, update.owns_address, suspected_by)
