"""Settings of the scheduler: request classes, volume plans and the limits that keep the backends safe.

Times are in seconds, sizes in units of work, and rates in units per second over all fronts, unless a field
says otherwise. ``config`` translates the platform's settings into these types.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a second execution of a request is safe."""

    # The values are kept from older releases; no code reads them.
    IDEMPOTENT = "free"
    KEYED = "keyed"  # safe while the nodes remember the request's idempotency key
    NOT_IDEMPOTENT = "once"


class IdempotencyScope(Enum):
    """Which nodes discard duplicates of a request with an idempotency key."""

    # The values are those of the setting ``DedupScope``; ``config.settings`` looks members up by them.
    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


@dataclass(slots=True)
class RequestClass:
    """A class of requests with a common latency objective.

    ``latency_objective``: seconds within which an answer has its full value. ``priority_weight``: value of a
    unit. ``late_value``: fraction of the value that a late answer keeps. ``idempotency_window``: seconds
    for which nodes remember an idempotency key. ``ordered``: requests for the same item are executed in order
    of arrival.
    """

    latency_objective: float
    priority_weight: float
    late_value: float
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    idempotency_window: float
    ordered: bool


@dataclass(slots=True)
class VolumePlan:
    """The service plan of a volume; a ``rate_limit`` of 0 means that there is none.

    ``priority_weight``: factor on the value of its requests. ``base_rate``: rate that the plan is sized
    for. ``reserved_rate``: rate that is served at full value. ``fair_share_weight``: share of the surplus
    capacity. ``rate_limit_burst``: units above the limit that may be sent in a burst. ``rate_limit_slack``:
    units by which the platform tolerates that the limit is exceeded.
    """

    priority_weight: float
    base_rate: float
    reserved_rate: float
    fair_share_weight: float
    rate_limit: float
    rate_limit_burst: float
    rate_limit_slack: float = 0.0


@dataclass(slots=True)
class SafetyLimits:
    """Limits that protect nodes and discovery from overload; ``None`` if the deployment sets no such limit.

    ``slow_start_initial_fraction``: fraction of its usual load that a node can take right after its start.
    ``slow_start_duration``: seconds until it can take all of it. ``overload_multiple``: multiple of the
    allowed load at which a warming node fails, if that load lasts for ``overload_after`` seconds.
    ``poll_interval``: seconds between polls of discovery. ``ordering_pause``: seconds for which an item is
    paused after an attempt that may still be executing. The retry budget allows ``retry_budget_minimum``
    retries plus ``retry_budget_ratio`` retries per accepted request, within ``retry_budget_window`` seconds.
    """

    slow_start_initial_fraction: float
    slow_start_duration: float
    overload_multiple: float
    overload_after: float
    poll_interval: float | None
    ordering_pause: float
    retry_budget_minimum: float | None
    retry_budget_ratio: float | None
    retry_budget_window: float | None


@dataclass(slots=True)
class SchedulerSettings:
    """The complete configuration of the scheduler.

    ``front_count``: number of fronts that share the nodes, 0 if unknown. ``watches_endpoints``: the scheduler
    has to subscribe to endpoint updates itself. ``can_cancel``: attempts may be cancelled.
    ``slow_start_units``: units that a warming node can take within ``overload_after`` from all fronts
    together. ``max_request_units`` and ``mean_request_units``: sizes of requests. ``unreserved_value``:
    fraction of its value that a unit beyond the reserved rate keeps. ``reports_usage_by_others``: nodes
    report what they served a volume through other fronts. ``idle_since``: time since which this front has
    sent nothing; ``None``: since its first step. ``initial_quota_share``: fraction of each rate limit that
    this process may use at its start, see ``QuotaShareChanged``. ``replaces_process``: an older process of
    this front is still running when this one starts, and uses the limits' slack. ``max_retry_after``: longest
    Retry-After that clients respect, 0 if none is sent. ``load_by_probes``: nodes report their load only to
    probes, see ``load_probes``. ``max_volumes``: volumes of which records are kept at once.
    """

    classes: list[RequestClass]
    plans: list[VolumePlan]
    safety: SafetyLimits
    seed: int
    front_count: int
    watches_endpoints: bool
    max_attempts: int
    can_cancel: bool
    slow_start_units: float
    max_request_units: float
    mean_request_units: float
    unreserved_value: float
    reports_usage_by_others: bool = False
    idle_since: float | None = None
    initial_quota_share: float = 1.0
    replaces_process: bool = False
    max_retry_after: float = 0.0
    load_by_probes: bool = False
    max_volumes: int = 16_384
