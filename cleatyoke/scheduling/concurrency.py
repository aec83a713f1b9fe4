"""Slot shares by request class: a control loop sets the part of the nodes' slots that each class may use.

The number of slots of a node is not set here, but by its adaptive limit in ``outlier_detection``.

After Padala et al., "Automated Control of Multiple Virtualized Resources" (EuroSys 2009), run once per front:
the paper's applications are request classes, a class's bound (``slot_shares``) is the fraction of all slots
that it may use, and its performance is its latency objective divided by its mean answer time. Every
``CONTROL_INTERVAL`` each class requests the bound at which it would meet its objective, arbitration grants
bounds that fit, and each class's bound is split over the nodes according to where its requests are.
``docs/design.md`` lists the differences from the paper.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from cleatyoke.scheduling.events import SettingsReloaded
from cleatyoke.scheduling.records import Node, Request
from cleatyoke.scheduling.regression import clamp, fit_slope
from cleatyoke.scheduling.slow_start import SlowStart
from cleatyoke.scheduling.state import CONTROL_INTERVAL, RETENTION, SEND_MARGIN, SchedulerState

FIT_INTERVALS = 5  # control intervals in a slope fit
MAX_BOUND_STEP = 0.05  # maximum change of a normalized bound per interval, as in the paper
MIN_TOTAL_ANSWER_TIME = 1e-6  # seconds, to avoid a division by zero
SLOT_TOLERANCE = 1e-9  # slots; keeps a whole number with a floating-point error from being rounded up
BISECTIONS = 60  # steps of the bisection for the common error
# Seconds added to the averaging time of reserved rates, so that the first seconds after a start weigh little.
RESERVED_EXTRA_SPAN = RETENTION / 16
MAX_ERROR = 1e3  # limit of the common error's absolute value, as a multiple of the largest priority weight


class ConcurrencyController:
    """Bounds of the request classes, adjusted once in each control interval.

    Without it, classes share slots in order of arrival, so a surge of a low-value class takes the slots of
    valuable ones. Bounds that do not fit are reduced until the priority-weighted shortfalls of all classes
    are equal. ``slot_shares`` (granted) and ``requested_shares`` are fractions of all slots, by class.
    """

    def __init__(self, state: SchedulerState, slow_start: SlowStart) -> None:
        self._state = state
        self._slow_start = slow_start
        count = len(state.settings.classes)
        self.slot_shares = [1.0 / count] * count
        self.requested_shares = list(self.slot_shares)
        self.total_answer_time = [0.0] * count  # seconds, over requests closed in this interval
        self.closed_requests = [0] * count
        self.history: list[list[tuple[float, float]]] = [[] for _ in range(count)]  # slots, performance
        self._started_at = self._interval_started_at = math.inf  # no interval ends before the first step

    def start(self) -> None:
        """Start the first interval."""
        self._started_at = self._interval_started_at = self._state.now

    def is_due(self) -> bool:
        """Return whether the control interval is over."""
        return self._state.now >= self._interval_started_at + CONTROL_INTERVAL

    def run_round(self) -> None:
        """Run one control round: fit slopes, request bounds, arbitrate, allocate slots to nodes."""
        state = self._state
        interval_start = self._interval_started_at
        self._interval_started_at = state.now
        for request in state.requests.values():
            self._count_demand(request, interval_start)
        total_slots = max(1.0, state.table.total_concurrency_limit)
        performance = self._update_requested_shares(total_slots)
        slopes = [slope * total_slots if slope else None for slope in map(fit_slope, self.history)]
        self.slot_shares = arbitrate(
            self.slot_shares, self.requested_shares, performance, slopes, state.priority_weights
        )
        nodes = state.table.nodes_in_use()
        for index, bound in enumerate(self.slot_shares):
            self.allocate(index, bound * total_slots, nodes)
        elapsed = state.now - interval_start
        span = max(elapsed, min(RETENTION, state.now - self._started_at), SEND_MARGIN)
        state.table.update_rates(elapsed, span, span + RESERVED_EXTRA_SPAN, self._slow_start.is_warming)
        self.total_answer_time = [0.0] * len(self.slot_shares)
        self.closed_requests = [0] * len(self.slot_shares)

    def _update_requested_shares(self, total_slots: float) -> list[float]:
        """Update the requested bound of each class that had answers; returns the classes' performances."""
        performance = [1.0] * len(self.slot_shares)
        for index, spec in enumerate(self._state.settings.classes):
            closed = self.closed_requests[index]
            if not closed:
                continue
            answer_time = max(self.total_answer_time[index], MIN_TOTAL_ANSWER_TIME)
            performance[index] = spec.latency_objective * closed / answer_time
            bound, history = self.slot_shares[index], self.history[index]
            history.append((bound * total_slots, performance[index]))
            del history[: -FIT_INTERVALS - 1]
            if slope := fit_slope(history):
                target = bound + (1 - performance[index]) / slope / total_slots
                self.requested_shares[index] = clamp(target, bound - MAX_BOUND_STEP, bound + MAX_BOUND_STEP)
        return performance

    def allocate(self, class_index: int, slots: float, nodes: list[Node]) -> None:
        """Split a class's slots over nodes by its mean number of requests there, with at least one each.

        ``nodes``: nodes in use; all others get the same number of slots.
        """
        total = sum(node.class_demand[class_index] for node in nodes)
        even = 1 / max(1, len(self._state.table.holders))
        even_slots = max(1, math.ceil(slots * even - SLOT_TOLERANCE))
        self._state.table.even_slots[class_index] = 1 if total else even_slots
        for node in nodes:
            fraction = node.class_demand[class_index] / total if total else even
            node.class_slots[class_index] = max(1, math.ceil(slots * fraction - SLOT_TOLERANCE))
            node.class_demand[class_index] = 0.0

    def count_closed(self, request: Request) -> None:
        """Count a request that is about to be closed, and the time it took."""
        self._count_demand(request, self._interval_started_at)
        self.total_answer_time[request.class_index] += self._state.now - request.arrived_at
        self.closed_requests[request.class_index] += 1

    def _count_demand(self, request: Request, since: float) -> None:
        holder = self._state.table.holders.get(request.shard)
        if holder and not request.is_closed:
            holder.class_demand[request.class_index] += self._state.now - max(since, request.arrived_at)
            self._state.table.touched_nodes[holder.id] = holder

    def change_classes(self, event: SettingsReloaded) -> None:
        """Give new classes an even share, and take the shares of retired ones.

        Requests in flight keep their class, as each holds a reference to it.
        """
        count = len(event.settings.classes)
        added = count - len(self.slot_shares)
        even = 1.0 / max(1, count - len(event.retired_classes))
        bounds = self.slot_shares + [0.0] * added
        parts = [
            0.0 if index in event.retired_classes else bound or even for index, bound in enumerate(bounds)
        ]
        self.slot_shares = [part / (sum(parts) or 1.0) for part in parts]
        self.requested_shares = list(self.slot_shares)
        self.history = [[] for _ in range(count)]
        self.total_answer_time = self.total_answer_time + [0.0] * added
        self.closed_requests = self.closed_requests + [0] * added


class _ShareRequest(NamedTuple):
    """Inputs of arbitration for one class.

    ``bound``, ``requested``: current and requested fraction of all slots; ``low``, ``high``: range that may
    be granted. ``slope``: change of performance per change of bound, ``None`` if unknown. ``weight``:
    priority weight.
    """

    bound: float
    requested: float
    performance: float
    slope: float | None
    weight: float
    low: float
    high: float

    def granted(self, error: float) -> float:
        """Return the bound at which ``weight * (1 - performance)`` equals ``error``.

        It is ``bound + (1 - performance - error / weight) / slope``, or ``requested`` without a slope.
        """
        if not self.slope:
            return clamp(self.requested, self.low, self.high)
        if not self.weight:  # the shortfall of a class of weight 0 is ignored
            return self.low
        target = self.bound + (1 - self.performance - error / self.weight) / self.slope
        return clamp(target, self.low, self.high)


def arbitrate(
    bounds: list[float],
    requested_shares: list[float],
    performance: list[float],
    slopes: list[float | None],
    weights: list[float],
) -> list[float]:
    """Return the new bounds by class.

    If the requested shares fit, they are granted and the rest is shared by weight. Otherwise
    weight x (1 - performance) is equalized over all classes, as far as bounds may change in one interval.
    ``slopes``: performance by bound. A class of weight 0 gets what the others leave.
    """
    if sum(requested_shares) <= 1:
        left_over = 1 - sum(requested_shares)
        if not sum(weights):  # all weights are 0: share evenly
            weights = [1.0] * len(weights)
        return [
            max(0.0, requested) + left_over * weight / sum(weights)
            for requested, weight in zip(requested_shares, weights)
        ]
    low = [max(0.0, bound - MAX_BOUND_STEP) for bound in bounds]
    high = [bound + MAX_BOUND_STEP for bound in bounds]
    goal = min(1.0, sum(high))
    share_requests = [
        _ShareRequest(*row) for row in zip(bounds, requested_shares, performance, slopes, weights, low, high)
    ]
    error = _common_error(share_requests, goal)
    result = [share_request.granted(error) for share_request in share_requests]
    # Classes without a slope make the sum differ from the goal; distribute that in proportion to headroom.
    remainder = goal - sum(result)
    headroom = [
        top - share if remainder > 0 else share - floor for share, floor, top in zip(result, low, high)
    ]
    return [share + remainder * room / max(sum(headroom), 1e-12) for share, room in zip(result, headroom)]


def _common_error(share_requests: list[_ShareRequest], goal: float) -> float:
    """Find by bisection the smallest error at which the granted bounds add up to no more than the goal."""
    max_weight = max(share_request.weight for share_request in share_requests)
    lower, upper = -MAX_ERROR * max_weight, MAX_ERROR * max_weight
    for _ in range(BISECTIONS):
        middle = (lower + upper) / 2
        if sum(share_request.granted(middle) for share_request in share_requests) > goal:
            lower = middle
        else:
            upper = middle
    return upper
