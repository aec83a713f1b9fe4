"""The interface of the policy in ``rules.py``: settings, events in, actions out.

Times are seconds on the caller's clock, sizes are units, ids are opaque.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """What a second run of a request would do."""

    FREE = "free"
    KEYED = "keyed"
    ONCE = "once"


class Scope(Enum):
    """Which nodes discard the duplicates of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no_connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class NodeState(Enum):
    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a node list relates to the one held: changes to it, a new one, an old copy, or no news."""

    CHANGES = "changes"
    FULL = "full"
    OLD_COPY = "old_copy"
    LOST = "lost"


@dataclass(slots=True)
class ClassSpec:
    aim: float
    worth: float
    late_share: float
    repeat: Repeat
    scope: Scope
    memory: float
    ordered: bool


@dataclass(slots=True)
class PlanSpec:
    """A volume's plan; rates in units a second over all hosts, a limit of 0 means none."""

    worth: float
    rate: float
    reserve: float
    weight: float
    limit: float
    limit_burst: float
    limit_slack: float = 0.0  # how far below nothing the limit's store may go


@dataclass(slots=True)
class Safety:
    """Figures of the rules; None where the deployment sets no such rule."""

    cold_from: float
    ramp: float
    tip_multiple: float
    tip_after: float
    ask_every: float | None
    key_rest: float
    extra_free: float | None
    extra_ratio: float | None
    extra_window: float | None


@dataclass(slots=True)
class Settings:
    classes: list[ClassSpec]
    plans: list[PlanSpec]
    safety: Safety
    seed: int
    hosts: int
    must_watch: bool
    max_attempts: int
    cancel: bool
    cold_units: float
    largest: float
    mean: float
    within_share: float
    tells_others: bool = False  # nodes say what they served a volume through other hosts
    quiet_since: float | None = None  # from then on this host has sent nothing; None: from its first step
    limit_share: float = 1.0  # of each limit that this process may use at its start: see ``Shared``
    taken_over: bool = False  # an older process of this host lives as this one starts: it has the slack
    retry_after: float = 0.0  # longest time that clients heed; 0: they are not told when to come back
    probes: bool = False  # nodes tell their load where they are asked, and nowhere else: see ``load.probes``


@dataclass(slots=True)
class NodeEntry:
    """A node as listed; one with a cell of -1 holds none and can take new objects only."""

    node: int
    cell: int
    zone: int
    state: NodeState
    up_since: float


@dataclass(slots=True)
class NodeList:
    """Event: news of the nodes."""

    kind: ListKind
    entries: list[NodeEntry]


@dataclass(slots=True)
class Arrival:
    """Event: a request now owed one final answer. A cell of -1 marks a new object."""

    request: str
    class_index: int
    plan: int
    volume: int
    item: int | None
    cell: int
    units: float
    deadline: float
    hosts: int


@dataclass(slots=True)
class Ended:
    """Event: an attempt is over; ``settled`` when its request is too. ``elsewhere``: the units that the node
    says it has served the volume through other hosts since its last answer to this one about it; ``busy``:
    the part of the node's power that its load report says is in use, by all hosts."""

    request: str
    attempt: int
    node: int
    outcome: Outcome
    spent: float
    settled: bool
    elsewhere: float = 0.0
    busy: float | None = None


@dataclass(slots=True)
class Busy:
    """Event: the mean part of the nodes' power in use by all hosts, as probes of them tell together."""

    part: float


@dataclass(slots=True)
class Withdrawn:
    """Event: the client has left; no answer is owed."""

    request: str


@dataclass(slots=True)
class Woken:
    """Event: a wake-up that was asked for."""

    token: int


@dataclass(slots=True)
class Shared:
    """Event: from now on this process may use so much of each limit, 1 at the most, as other processes of its
    host live beside it, which use the rest."""

    part: float


@dataclass(slots=True)
class Lent:
    """Event: from now on this host's even part of a volume's limit counts so many times, as hosts have lent
    one another of theirs; the sum over all hosts stays the whole."""

    volume: int
    part: float


@dataclass(slots=True)
class LentNode:
    """Event: from now on this host's even part of what a cold node bears counts so many times, as hosts have
    lent one another of theirs; the sum over all hosts stays the whole."""

    node: int
    part: float


@dataclass(slots=True)
class Retuned:
    """Event: new settings, for requests that come from now on; classes and plans keep their places, new ones
    stand behind them. ``retired``: the places of classes that are gone; what is under way keeps its class."""

    settings: Settings
    retired: frozenset[int] = frozenset()


Event = NodeList | Arrival | Ended | Busy | Withdrawn | Woken | Shared | Lent | LentNode | Retuned


@dataclass(slots=True)
class Send:
    """An attempt at a node. ``before``: when its first byte has to have gone out at the latest, as nodes drop
    the repeat of a keyed request that may have run only for so long; the caller looks directly before it."""

    request: str
    node: int
    before: float = field(default=math.inf, compare=False, repr=False)


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away, trying again is harmless, best after ``wait`` seconds."""

    request: str
    wait: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    request: str


@dataclass(slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(slots=True)
class Wake:
    after: float
    token: int


@dataclass(slots=True)
class Watch:
    """Ask for the list of nodes and its changes."""


Action = Send | Refuse | Fail | Cancel | Wake | Watch
