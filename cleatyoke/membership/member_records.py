"""What a member keeps of each other one, of its probes, and what it counts: records with no decision."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

from cleatyoke.membership.wire import MemberId, MemberState, Update

HEARD_OF = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(slots=True)
class MemberRecord:
    """A life as this one knows it."""

    rumour: Update
    since: float  # of its state here
    accusers: set[str] = field(default_factory=set)
    heard: float = -math.inf  # directly, by a datagram or stream of its own
    mark: int = 0  # what it adds to the sum of those that are there
    warned: float = -math.inf  # when it was last told, at once, what is believed of it


@dataclass(slots=True)
class Probe:
    """A ping of our own that has no answer yet."""

    target: MemberId
    ask_at: float
    over_at: float
    asked: int = 0  # helpers
    nacks: int = 0


@dataclass(slots=True)
class RelayedPing:
    """A ping for somebody else."""

    address: str
    number: int
    nack_at: float
    over_at: float


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
    refused: dict[str, int] = field(default_factory=dict)  # messages not taken, by reason


def rank(rumour: Update) -> tuple[bool, int, int]:
    """Of two rumours of one life the greater holds. Leaving is by its own word and final; else its own count
    decides, which only it raises, and at one count the graver state.
    """
    return rumour.state is MemberState.LEFT, rumour.count, int(rumour.state)


def mark_of(rumour: Update) -> int:
    return zlib.crc32(f"{rumour.id.name}:{rumour.id.boot}:{rumour.count}".encode())
