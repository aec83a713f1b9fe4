"""Events that are passed to the scheduler. Times are seconds on the caller's clock."""

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
    """State of a node in the endpoint list; only live nodes are sent requests."""

    # The values are kept from older releases; no code reads them.
    LIVE = "live"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateKind(Enum):
    """How an endpoint update relates to the current list."""

    # The values are kept from older releases; no code reads them.
    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "old_copy"  # a complete list that may be out of date
    UNAVAILABLE = "lost"  # discovery is unavailable


def decode_shard(number: int) -> int | None:
    """Decode a shard number as the platform writes it (HTTP header, settings): ``-1`` means no shard."""
    return None if number == -1 else number


@dataclass(slots=True)
class Endpoint:
    """A node as discovery lists it. ``shard``: ``None`` for a node that takes only new objects."""

    node_id: int
    shard: int | None
    zone: int
    state: EndpointState
    started_at: float


@dataclass(slots=True)
class EndpointUpdate:
    """The endpoint list, changes to it, or the notice that discovery is unavailable."""

    kind: UpdateKind
    endpoints: list[Endpoint]


@dataclass(slots=True)
class RequestArrived:
    """A request has arrived; it must get exactly one final answer.

    ``shard``: where its data is stored, ``None`` for a new object, which any node can take. ``units``: its
    size. ``item``: the data item that it concerns. ``front_count``: fronts through which its volume is used.
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

    ``settled``: the scheduler must not decide on this request any more. ``units_by_others``: units that, by
    the node's report, it has served the volume through other fronts since its last answer to this front.
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
    """The request needs no answer any more: the client has disconnected, or the core has answered it."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that was set has fired."""

    token: int


@dataclass(slots=True)
class QuotaShareChanged:
    """From now on the process may use ``fraction`` (at most 1) of its front's quotas.

    Other processes of the same front, which run at the same time, use the rest.
    """

    fraction: float


@dataclass(slots=True)
class QuotaLeaseChanged:
    """From now on the front's even share of a volume's rate limit is multiplied by ``multiplier``.

    Fronts lease quota to each other; the sum over all fronts stays equal to the limit.
    """

    volume_id: int
    multiplier: float


@dataclass(slots=True)
class SlowStartLeaseChanged:
    """From now on the front's even share of a warming node's load limit is multiplied by ``multiplier``.

    Fronts lease their shares to each other; the sum over all fronts stays equal to the node's limit.
    """

    node_id: int
    multiplier: float


@dataclass(slots=True)
class SettingsReloaded:
    """New settings for requests that arrive from now on.

    Classes and plans keep their indexes; new ones are appended. ``retired_classes``: indexes of removed
    classes, which requests in flight still use.
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
