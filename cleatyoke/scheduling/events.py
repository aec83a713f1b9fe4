"""Events: everything that the scheduler is notified of. Times are seconds on the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cleatyoke.scheduling.settings import SchedulerSettings


class AttemptOutcome(Enum):
    """How an attempt ended; after ``QUEUE_FULL``, ``CONNECTION_FAILED`` or ``NOT_SENT`` it never executed."""

    SERVED = "served"
    ERROR = "error"
    QUEUE_FULL = "full"
    TIMEOUT = "timeout"
    CONNECTION_FAILED = "no_connection"
    CONNECTION_RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class EndpointState(Enum):
    """State of a node in the endpoint list; only a live one is sent requests."""

    # The values are those of older releases; nothing reads them.
    LIVE = "live"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateKind(Enum):
    """How an endpoint update relates to the list that is known."""

    # The values are those of older releases; nothing reads them.
    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "old_copy"  # a complete list that may be out of date
    UNAVAILABLE = "lost"  # discovery does not answer


def decode_shard(number: int) -> int | None:
    """Shard as the platform writes it (HTTP header, settings): ``-1`` is no shard."""
    return None if number == -1 else number


@dataclass(slots=True)
class Endpoint:
    """A node as discovery lists it. ``shard``: ``None`` where it holds none and takes new objects only."""

    node_id: int
    shard: int | None
    zone: int
    state: EndpointState
    started_at: float


@dataclass(slots=True)
class EndpointUpdate:
    """The endpoint list, or changes to it."""

    kind: UpdateKind
    endpoints: list[Endpoint]


@dataclass(slots=True)
class RequestArrived:
    """A request to which exactly one final answer is now owed.

    ``shard``: where its data lies, ``None`` for a new object that any node can take. ``units``: its size.
    ``item``: the piece of data that it concerns. ``front_count``: fronts through which its volume is used.
    """

    request_id: str
    class_index: int
    plan_index: int
    volume_id: int
    item: int | None
    shard: int | None
    units: float
    deadline: float
    front_count: int


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended after ``elapsed`` seconds.

    ``settled``: the scheduler must not decide on this request any more. ``units_by_others``: units that the
    node says it has served the volume through other fronts since its last answer to this one.
    ``utilization``: fraction of the node's capacity in use by all fronts, from its load report.
    """

    request_id: str
    attempt: int
    node_id: int
    outcome: AttemptOutcome
    elapsed: float
    settled: bool
    units_by_others: float = 0.0
    utilization: float | None = None


@dataclass(slots=True)
class UtilizationReported:
    """Mean fraction of the nodes' capacity in use by all fronts, from load probes."""

    utilization: float


@dataclass(slots=True)
class ClientDisconnected:
    """No answer is owed any more: the client has disconnected, or the core has answered by itself."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that was set has fired."""

    token: int


@dataclass(slots=True)
class QuotaShareChanged:
    """The process may use ``fraction`` (1 at most) of its front's quotas from now on.

    Other processes of the front, which run beside it, use the rest.
    """

    fraction: float


@dataclass(slots=True)
class QuotaLeaseChanged:
    """The front's even share of a volume's rate limit counts ``multiplier`` times from now on.

    Fronts lease quota to each other; the sum over all fronts stays the whole limit.
    """

    volume_id: int
    multiplier: float


@dataclass(slots=True)
class SlowStartLeaseChanged:
    """The front's even share of what a warming node bears counts ``multiplier`` times from now on.

    Fronts lease it to each other; the sum over all fronts stays the whole.
    """

    node_id: int
    multiplier: float


@dataclass(slots=True)
class SettingsReloaded:
    """New settings for requests that arrive from now on.

    Classes and plans keep their indexes; new ones are appended. ``retired_classes``: indexes of removed
    classes, which requests in flight keep.
    """

    settings: SchedulerSettings
    retired_classes: frozenset[int] = frozenset()


SchedulerEvent = (
    EndpointUpdate
    | RequestArrived
    | AttemptFinished
    | UtilizationReported
    | ClientDisconnected
    | TimerFired
    | QuotaShareChanged
    | QuotaLeaseChanged
    | SlowStartLeaseChanged
    | SettingsReloaded
)
