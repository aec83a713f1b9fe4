"""Admission control by volume: rate limits, reserved rates, and rates beyond the reserve (surplus)."""

from __future__ import annotations

import math

from cleatyoke.scheduling.concurrency import MAX_BOUND_STEP, ConcurrencyController
from cleatyoke.scheduling.events import QuotaLeaseChanged, RequestArrived
from cleatyoke.scheduling.quotas import QuotaLeaseMultipliers, TokenBucket
from cleatyoke.scheduling.records import Node, RateByOthers, Request, Volume, reserved_units_left
from cleatyoke.scheduling.service_estimates import ServiceEstimates
from cleatyoke.scheduling.settings import VolumePlan
from cleatyoke.scheduling.state import RETENTION, SchedulerState
from cleatyoke.scheduling.verdict import ALLOWED, NEVER, Rule, Verdict

USAGE_TIME_CONSTANT = 1.0  # seconds; time constant of the mean of a volume's use through other fronts
SLACK_FRACTION = 0.5  # part of a limit's configured slack that fronts may use directly after their start
MIN_MULTIPLIER = 1e-9  # lower bound of a lease multiplier, to avoid a division by zero
RESERVE_FILL_TIME = 2.0  # seconds in which an emptied reserve is nearly full: it holds a second's rate
ASSUMED_IDLE_TIME = RETENTION / 2  # seconds for which a volume is assumed idle before its first use here


class RateLimits:
    """Enforce each volume's rate limit over all fronts together.

    Without it, a surge of one volume takes the nodes' capacity, and its owner is served more than was booked.
    Each front has an even share of the limit, adjusted by what fronts lease to each other. Another process of
    this front may have used all of the share just before, so a bucket starts with only a part of the slack,
    and fills from the time at which this process alone can send for this front.

    Settings, by plan: ``rate_limit`` (units a second), ``rate_limit_burst`` and ``rate_limit_slack`` (units).
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self._multipliers = QuotaLeaseMultipliers()

    def on_lease_changed(self, event: QuotaLeaseChanged) -> None:
        """Set the lease multiplier on this front's even share of a volume's limit.

        If it has grown, requests that wait for the limit may be sent before their nodes' next check, so they
        are offered again.
        """
        state = self._state
        volume = state.volumes.get(event.volume_id)
        has_grown = volume is not None and event.multiplier > volume.lease_clock.fraction
        now = state.quota_clock.time(state.now)
        self._multipliers.change(event.volume_id, event.multiplier, state.volumes, now)
        if has_grown:
            for shard, queue in state.queues.items():
                if any(request.volume is volume for request in queue):
                    state.offer(shard)

    def new_volume(self, volume_id: int, plan: VolumePlan, front_count: int, reserve: TokenBucket) -> Volume:
        """Return the record of a volume for its first use, with the token bucket of its rate limit."""
        state = self._state
        filled_at = max(0.0, state.quota_clock.time(state.now) - ASSUMED_IDLE_TIME)
        slack = 0.0 if state.settings.replaces_process else plan.rate_limit_slack * SLACK_FRACTION
        bucket = TokenBucket(slack / front_count, filled_at)
        return Volume(reserve, bucket, self._multipliers.initial_multiplier(volume_id))

    def draw(self, request: Request) -> None:
        """Take the units of a request from the bucket when it is first sent."""
        if request.attempts:
            return
        volume = request.volume
        volume.rate_limit.level -= request.units
        volume.replaceable_at = max(volume.replaceable_at, self._full_at(request))

    def _full_at(self, request: Request) -> float:
        """Return when the bucket of the request's volume will be full if nothing more is sent."""
        state, volume = self._state, request.volume
        plan = state.settings.plans[request.arrival.plan_index]
        if not plan.rate_limit:
            return state.now
        fraction = state.quota_clock.fraction * min(1.0, volume.lease_clock.fraction)
        rate = plan.rate_limit / request.front_count * max(fraction, MIN_MULTIPLIER)
        missing = plan.rate_limit_burst / request.front_count - volume.rate_limit.level
        return state.now + max(0.0, missing) / rate

    def check(self, request: Request) -> Verdict:
        """Return when the limit allows the request's first attempt; retries are not counted."""
        state = self._state
        plan = state.settings.plans[request.arrival.plan_index]
        if not plan.rate_limit or request.attempts:
            return ALLOWED
        fraction = state.quota_clock.fraction
        bucket = request.volume.rate_limit
        lease_clock = request.volume.lease_clock
        rate = plan.rate_limit / request.front_count
        ceiling = plan.rate_limit_burst * fraction / request.front_count
        front_time = state.quota_clock.time(state.now)
        lease_time = lease_clock.time(front_time)
        bucket.fill(rate, ceiling, lease_time)
        missing = request.units - bucket.level
        if missing <= 0:
            return ALLOWED
        fill_rate = rate * fraction * max(lease_clock.fraction, MIN_MULTIPLIER)
        if not fill_rate:  # this process has no share of the front's quotas at present
            return Verdict(NEVER, Rule.RATE_LIMIT)
        return Verdict(state.now + missing / fill_rate, Rule.RATE_LIMIT)


class ReservedRates:
    """Serve each volume at full value up to its reserved rate, over all fronts together.

    This front's share = max(reserve / fronts, reserve - rates through the other fronts as reported by nodes).
    Without the reports, a volume that uses its fronts unevenly does not get its reserve. Limitation: when the
    most used front of a volume changes, two fronts spend the same share for a moment.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def local_share(self, volume_id: int, reserved_rate: float, front_count: int) -> float:
        """Return the part of a volume's reserved rate that this front may spend, in units a second."""
        even_share = reserved_rate / front_count
        if volume_id not in self._state.volumes or not self._state.settings.reports_usage_by_others:
            return even_share
        reported = self._state.volumes[volume_id].used_by_others
        if not reported:
            return even_share
        return max(even_share, reserved_rate - sum(others.rate for others in reported.values()))

    def fill(self, event: RequestArrived, front_count: int, limits: RateLimits) -> Volume:
        """Fill the reserve of the arriving request's volume up to now; returns the volume."""
        state = self._state
        plan = state.settings.plans[event.plan_index]
        rate = self.local_share(event.volume_id, plan.reserved_rate, front_count)
        ceiling = rate + state.settings.max_request_units if rate else 0.0

        def make() -> Volume:
            return limits.new_volume(event.volume_id, plan, front_count, TokenBucket(ceiling, state.now))

        volume = state.volume_table.use(event.volume_id, event.plan_index, state.now, make)
        volume.reserve.fill(rate, ceiling, state.now)
        return volume

    def draw(self, request: Request) -> None:
        """Reserve units for an arriving request, as far as the volume has any left."""
        state, volume = self._state, request.volume
        units = min(volume.reserve.level, request.units)
        volume.reserve.level -= units
        volume.replaceable_at = max(volume.replaceable_at, state.now + RESERVE_FILL_TIME)
        volume.reserved_left[int(state.now)] += units
        counted = state.table.reserved_units
        counted[request.shard] = counted.get(request.shard, 0.0) + units

    def on_sent(self, request: Request) -> None:
        """Record the reserved units that the attempt uses."""
        request.reserved_units = reserved_units_left(request)
        request.volume.reserved_left[int(request.arrived_at)] -= request.reserved_units

    def on_not_served(self, request: Request) -> None:
        """Return the reserved units of an attempt that was not served."""
        request.volume.reserved_left[int(request.arrived_at)] += request.reserved_units

    def on_usage_by_others(self, request: Request, node: Node, units: float) -> None:
        """Update a volume's rate through other fronts.

        ``units``: units that the node served the volume through other fronts since its last answer to this
        one. Until reports arrive, the other fronts are assumed to use their full shares.
        """
        now, reported = self._state.now, request.volume.used_by_others
        plan = self._state.settings.plans[request.arrival.plan_index]
        assumed = RateByOthers(plan.reserved_rate * (1 - 1 / request.front_count), now)
        rate, reported_at = reported.get(node.shard, assumed)
        span = now - reported_at
        if span > 0:
            weight = 1 - math.exp(-span / USAGE_TIME_CONSTANT)
            reported[node.shard] = RateByOthers(rate + weight * (units / span - rate), now)
        elif node.shard not in reported:
            reported[node.shard] = assumed


class SurplusRates:
    """Share a node's surplus capacity among volumes by weight, for requests beyond the reserve or late.

    Without it, fronts that each see a free slot overload a node together, and a volume with many requests
    starves the others. All fronts observe the same node's queue, and so arrive at similar rates by weight. A
    new object, which any node can take, has one rate over all nodes together and is never sent late.
    Limitation: a volume that uses its fronts very unevenly gets less than its share.
    """

    def __init__(
        self, state: SchedulerState, estimates: ServiceEstimates, concurrency: ConcurrencyController
    ) -> None:
        self._state = state
        self._estimates = estimates
        self._concurrency = concurrency

    def value(self, request: Request, node: Node) -> float:
        """Return the value of a unit of the request if it is sent to this node now."""
        settings, spec = self._state.settings, request.request_class
        reserved = reserved_units_left(request) / request.units
        fraction = reserved + (1 - reserved) * settings.unreserved_value
        weight = fraction * settings.plans[request.arrival.plan_index].priority_weight
        in_time = 1.0 if self._estimates.meets_objective(request, node) else spec.late_value
        return spec.priority_weight * weight * in_time

    def is_within_reserve(self, request: Request, node: Node) -> bool:
        """Return whether the whole request is within the reserve and expected to be answered in time."""
        return reserved_units_left(request) >= request.units and self._estimates.meets_objective(
            request, node
        )

    def check(self, request: Request, node: Node) -> Verdict:
        """Return when the volume's share of the node's surplus rate allows the request."""
        if self.is_within_reserve(request, node):
            return ALLOWED
        now = self._state.now
        is_new_object = request.shard is None
        share_count = request.front_count * (max(1, len(self._state.table.holders)) if is_new_object else 1)
        is_eligible = self.value(request, node) > 0 and (
            not is_new_object or self._estimates.meets_objective(request, node)
        )
        weight = self._state.settings.plans[request.arrival.plan_index].fair_share_weight
        rate = node.surplus_rate * weight / share_count
        if not is_eligible:
            rate = 0.0  # the bucket's fill time is still advanced
        bucket = request.volume.surplus.get(node.id)
        if bucket is None:
            bucket = request.volume.surplus[node.id] = TokenBucket(rate, now)
        bucket.fill(rate, rate, now)
        if not rate:
            return Verdict(NEVER, Rule.SURPLUS_RATE)
        if bucket.level >= 0:
            return ALLOWED
        return Verdict(now - bucket.level / rate, Rule.SURPLUS_RATE)

    def charge(self, request: Request, node: Node) -> None:
        """Charge an attempt: the lower its value and its class's share of slots, the higher the price."""
        if self.is_within_reserve(request, node):
            return
        bound = max(MAX_BOUND_STEP, self._concurrency.slot_shares[request.class_index])
        price = self._state.max_value / self.value(request, node) / bound
        request.volume.surplus[node.id].level -= request.units * price
