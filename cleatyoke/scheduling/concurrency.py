"""Shares of slots by request class: a control loop sets which part of the nodes' slots each class may use.

How many slots a node has is not decided here, but by its adaptive limit in ``outlier_detection``.

After Padala et al., "Automated Control of Multiple Virtualized Resources" (EuroSys 2009), once for each
front: an application is a request class, its bound (``slot_shares``) is the fraction of all slots that it may
use, and its performance is its latency objective over the mean time that its answers took. Every
``CONTROL_INTERVAL`` each class asks for the bound at which it would meet its objective, arbitration grants
the bounds that fit, and each class's bound is split over the nodes by where its requests are.
``docs/design.md`` says what was kept of the paper.
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
MAX_BOUND_STEP = 0.05  # most that a normalized bound moves in an interval: the paper's
MIN_TOTAL_ANSWER_TIME = 1e-6  # seconds: a performance is divided by
SLOT_TOLERANCE = 1e-9  # slots: a whole number that rounding has made a little larger is not rounded up
BISECTIONS = 60  # halvings of the interval in which the common error lies
# Seconds by which the mean of reserved rates is longer: the first seconds after a start then weigh little.
RESERVED_EXTRA_SPAN = RETENTION / 16
MAX_ERROR = 1e3  # bounds of the common error, times the largest priority weight


class ConcurrencyController:
    """Bounds of the request classes, adjusted once in each control interval.

    Symptom without it: classes share slots by arrival, so a surge of a class of little value takes the
    slots of the valuable ones. Why it works: bounds that do not fit are reduced until the classes'
    shortfalls, weighted by priority, are equal. ``slot_shares`` and ``asks`` are fractions of all slots,
    by class.
    """

    def __init__(self, state: SchedulerState, slow_start: SlowStart) -> None:
        self._state = state
        self._slow_start = slow_start
        count = len(state.settings.classes)
        self.slot_shares = [1.0 / count] * count
        self.asks = list(self.slot_shares)
        self.total_answer_time = [0.0] * count  # seconds, of the requests closed in this interval
        self.closed_requests = [0] * count
        self.history: list[list[tuple[float, float]]] = [[] for _ in range(count)]  # slots, performance
        self._started_at = self._interval_began = math.inf  # before the first step no interval is over

    def start(self) -> None:
        """Begin the first interval."""
        self._started_at = self._interval_began = self._state.now

    def is_due(self) -> bool:
        """Whether the control interval is over."""
        return self._state.now >= self._interval_began + CONTROL_INTERVAL

    def run_round(self) -> None:
        """One control round: fit and ask, arbitrate, allocate to nodes."""
        state = self._state
        began = self._interval_began
        self._interval_began = state.now
        for request in state.requests.values():
            self._count_demand(request, began)
        total_slots = max(1.0, state.table.total_concurrency_limit)
        performance = self._ask(total_slots)
        slopes = [slope * total_slots if slope else None for slope in map(fit_slope, self.history)]
        self.slot_shares = arbitrate(self.slot_shares, self.asks, performance, slopes, state.priority_weights)
        nodes = state.table.nodes_in_use()
        for index, bound in enumerate(self.slot_shares):
            self.allocate(index, bound * total_slots, nodes)
        passed = state.now - began
        span = max(passed, min(RETENTION, state.now - self._started_at), SEND_MARGIN)
        state.table.update_rates(passed, span, span + RESERVED_EXTRA_SPAN, self._slow_start.is_warming)
        self.total_answer_time = [0.0] * len(self.slot_shares)
        self.closed_requests = [0] * len(self.slot_shares)

    def _ask(self, total_slots: float) -> list[float]:
        """Let each class that had answers ask for a bound; returns the classes' performances."""
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
                wanted = bound + (1 - performance[index]) / slope / total_slots
                self.asks[index] = clamp(wanted, bound - MAX_BOUND_STEP, bound + MAX_BOUND_STEP)
        return performance

    def allocate(self, class_index: int, slots: float, nodes: list[Node]) -> None:
        """Split a class's slots over nodes by its mean number of requests there, at least one each.

        ``nodes``: those in use; all others share one split.
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
        """Note a request that is about to be closed, and how long it took."""
        self._count_demand(request, self._interval_began)
        self.total_answer_time[request.class_index] += self._state.now - request.arrived_at
        self.closed_requests[request.class_index] += 1

    def _count_demand(self, request: Request, since: float) -> None:
        holder = self._state.table.holders.get(request.shard)
        if holder and not request.is_closed:
            holder.class_demand[request.class_index] += self._state.now - max(since, request.arrived_at)
            self._state.table.touched_nodes[holder.id] = holder

    def change_classes(self, event: SettingsReloaded) -> None:
        """Give new classes an even part of the bounds, and take the part of those that are removed.

        Requests in flight keep their class: each refers to it itself.
        """
        count = len(event.settings.classes)
        added = count - len(self.slot_shares)
        even = 1.0 / max(1, count - len(event.retired_classes))
        bounds = self.slot_shares + [0.0] * added
        parts = [
            0.0 if index in event.retired_classes else bound or even for index, bound in enumerate(bounds)
        ]
        self.slot_shares = [part / (sum(parts) or 1.0) for part in parts]
        self.asks = list(self.slot_shares)
        self.history = [[] for _ in range(count)]
        self.total_answer_time = self.total_answer_time + [0.0] * added
        self.closed_requests = self.closed_requests + [0] * added


class _Bid(NamedTuple):
    """What arbitration knows of a class.

    ``bound``, ``ask``: present and wanted fraction of all slots; ``low`` and ``high``: least and most that it
    may be granted. ``slope``: performance by bound, ``None`` where not known. ``weight``: priority weight.
    """

    bound: float
    ask: float
    performance: float
    slope: float | None
    weight: float
    low: float
    high: float

    def granted(self, error: float) -> float:
        """Bound at which ``weight * (1 - performance)`` is this error: ``ask`` where the slope is not known.

        With the slope it is ``bound + (1 - performance - error / weight) / slope``.
        """
        if not self.slope:
            return clamp(self.ask, self.low, self.high)
        if not self.weight:  # its shortfall counts for nothing
            return self.low
        wanted = self.bound + (1 - self.performance - error / self.weight) / self.slope
        return clamp(wanted, self.low, self.high)


def arbitrate(
    bounds: list[float],
    asks: list[float],
    performance: list[float],
    slopes: list[float | None],
    weights: list[float],
) -> list[float]:
    """Return the new bounds by class.

    Asks that fit are granted, and what is left over is shared by weight; otherwise weight x (1 - performance)
    is made equal for all classes, as far as bounds may move in an interval. ``slopes``: performance by bound.
    A class of weight 0 gets what the others leave.
    """
    if sum(asks) <= 1:
        left_over = 1 - sum(asks)
        if not sum(weights):  # classes that are all worth nothing share alike
            weights = [1.0] * len(weights)
        return [max(0.0, ask) + left_over * weight / sum(weights) for ask, weight in zip(asks, weights)]
    low = [max(0.0, bound - MAX_BOUND_STEP) for bound in bounds]
    high = [bound + MAX_BOUND_STEP for bound in bounds]
    goal = min(1.0, sum(high))
    bids = [_Bid(*row) for row in zip(bounds, asks, performance, slopes, weights, low, high)]
    error = _common_error(bids, goal)
    result = [bid.granted(error) for bid in bids]
    # What classes without a slope leave over or must give, by what they can move.
    remainder = goal - sum(result)
    can_move = [most - now if remainder > 0 else now - least for now, least, most in zip(result, low, high)]
    return [now + remainder * space / max(sum(can_move), 1e-12) for now, space in zip(result, can_move)]


def _common_error(bids: list[_Bid], goal: float) -> float:
    """Error at which the granted bounds add up to no more than the goal, by bisection."""
    limit = max(bid.weight for bid in bids)
    small, large = -MAX_ERROR * limit, MAX_ERROR * limit
    for _ in range(BISECTIONS):
        middle = (small + large) / 2
        if sum(bid.granted(middle) for bid in bids) > goal:
            small = middle
        else:
            large = middle
    return large
