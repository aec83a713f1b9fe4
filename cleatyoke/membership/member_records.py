"""What a member keeps of each other one, of its probes, and what it counts: records with no decision."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

from cleatyoke.membership.wire import MemberId, MemberState, Update

ACTIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(slots=True)
class MemberRecord:
    """A life as this one knows it."""

    update: Update
    state_since: float  # of its state here
    suspectors: set[str] = field(default_factory=set)
    last_heard: float = -math.inf  # directly, by a datagram or stream of its own
    checksum: int = 0  # what it adds to the sum of those that are there
    notified_at: float = -math.inf  # when it was last told, at once, what is believed of it


@dataclass(slots=True)
class Probe:
    """A ping of our own that has no answer yet."""

    target: MemberId
    indirect_at: float
    deadline: float
    helpers_asked: int = 0  # helpers
    nacks: int = 0


@dataclass(slots=True)
class RelayedPing:
    """A ping for somebody else."""

    requester: str
    requester_sequence: int
    nack_at: float
    deadline: float


@dataclass(slots=True)
class MembershipCounters:
    """Counted from the start of this life."""

    datagrams_out: int = 0
    datagrams_in: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    suspicions: int = 0  # raised here
    deaths: int = 0  # declared here
    refutations: int = 0  # of what was said of this life
    false_deaths: int = 0  # lives believed dead here that came back under the same boot number
    rejected: dict[str, int] = field(default_factory=dict)  # messages not taken, by reason


def precedence(rumour: Update) -> tuple[bool, int, int]:
    """Of two rumours of one life the greater holds. Leaving is by its own word and final; else its own count
    decides, which only it raises, and at one count the graver state.
    """
    return rumour.state is MemberState.LEFT, rumour.incarnation, int(rumour.state)


def member_checksum(rumour: Update) -> int:
    return zlib.crc32(f"{rumour.id.name}:{rumour.id.boot}:{rumour.incarnation}".encode())
