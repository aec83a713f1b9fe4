"""Settings of the scheduler: request classes, volume plans and the limits that keep the backends safe.

Times are seconds, sizes are units of work, and rates are units per second over all fronts unless a field says
otherwise. ``config`` translates the platform's settings (its settings page) into these types.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a second execution of a request would do."""

    # The values are those of older releases; nothing reads them.
    IDEMPOTENT = "free"
    KEYED = "keyed"  # harmless while the nodes remember its idempotency key
    NOT_IDEMPOTENT = "once"


class IdempotencyScope(Enum):
    """Which nodes discard duplicates of a request with an idempotency key."""

    # The values are those of the setting ``DedupScope``, by which ``config.settings`` reads it.
    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


@dataclass(slots=True)
class RequestClass:
    """A class of requests with one objective.

    ``latency_objective``: seconds in which an answer has its full value. ``priority_weight``: value of a
    unit. ``late_value``: fraction of the value that a late answer keeps. ``idempotency_window``: seconds
    for which nodes remember an idempotency key. ``ordered``: requests for one item run in order of
    arrival.
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
    """What the owner of a volume has booked; a ``rate_limit`` of 0 means that there is none.

    ``priority_weight``: factor on the value of its requests. ``base_rate``: rate that the plan is sized
    for. ``reserved_rate``: rate that is served at full value. ``fair_share_weight``: share of what is
    left over. ``rate_limit_burst``: units above the limit that may go at once. ``rate_limit_slack``:
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
    """Limits that keep nodes and discovery from overload; ``None`` where the deployment sets no such rule.

    ``slow_start_initial_fraction``: fraction of its usual load that a node takes directly after its start.
    ``slow_start_duration``: seconds until it takes all of it. ``overload_multiple``: load as a multiple of
    the allowed one at which a warming node fails, if it lasts for ``overload_after`` seconds.
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
    """All that the scheduler is configured with.

    ``front_count``: fronts that share the nodes, 0 where unknown. ``watches_endpoints``: the scheduler
    has to subscribe to endpoint updates itself. ``can_cancel``: attempts may be cancelled.
    ``slow_start_units``: units that a warming node bears within ``overload_after`` from all fronts
    together. ``max_request_units`` and ``mean_request_units``: sizes of requests. ``unreserved_value``:
    fraction of its value that a unit beyond the reserved rate keeps. ``reports_usage_by_others``: nodes
    report what they served a volume through other fronts. ``idle_since``: time since which this front has
    sent nothing; ``None``: its first step. ``initial_quota_share``: fraction of each rate limit that this
    process may use at its start, see ``QuotaShareChanged``. ``replaces_process``: an older process of
    this front still runs as this one starts and uses the limits' slack. ``max_retry_after``: longest
    Retry-After that clients heed, 0 where they are not given one. ``load_by_probes``: nodes report their
    load to probes only, see ``load_probes``.
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
