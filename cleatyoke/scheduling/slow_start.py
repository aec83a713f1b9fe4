"""Slow start: limits the load of a node that has just started, while it warms up."""

from __future__ import annotations

from cleatyoke.scheduling.events import SlowStartLeaseChanged
from cleatyoke.scheduling.quotas import TokenBucket
from cleatyoke.scheduling.records import Node
from cleatyoke.scheduling.state import SchedulerState
from cleatyoke.scheduling.verdict import ALLOWED, Rule, Verdict

# Maximum factor on a front's usual rate to a warming node when the nodes are idle.
MAX_IDLE_MULTIPLE = 2.0
MIN_RATE = 1e-9  # units a second, to avoid a division by zero


class SlowStart:
    """Keep the load of a warming node below the load at which it fails.

    Without it, a node that comes back gets its usual load at once, is overloaded while its caches are empty,
    and goes down again. Each send adds its units to this front's debt at the node, and nothing is sent until
    the debt is paid off at this front's share of the node's capacity. The share, in units a second, is the
    largest of

    - ``slow_start_units / overload_after / fronts * quota fraction * lease multiplier * growth``, where
      growth is ``fraction / slow_start_initial_fraction``;
    - ``usual rate * fraction * overload_multiple / utilization`` (utilization: a half at least); the mean of
      all shards' rates where the shard's usual rate is not known;
    - ``reserved rate * fraction * overload_multiple``, as a front that has just started knows no usual rate.

    ``fraction`` grows from ``slow_start_initial_fraction`` with the node's age. The usual rates of all fronts
    add up to what a warm node serves, and load reports tell which fraction of its capacity that is. Part of
    an unused share is saved up, as the few requests of a front come in bursts.

    Safety limits: ``slow_start_initial_fraction``, ``slow_start_duration`` (seconds), ``overload_multiple``
    and ``overload_after`` (seconds). Setting: ``slow_start_units`` (units within ``overload_after``).
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def is_warming(self, node: Node) -> bool:
        """Return whether the node started too recently to be sent its usual load."""
        duration = self._state.safety.slow_start_duration
        age = self._state.now - node.started_at
        return duration > 0 and node.started_at > 0 and age < duration

    def on_lease_changed(self, event: SlowStartLeaseChanged) -> None:
        """Set the lease multiplier on this front's even share of the node's configured rate."""
        if node := self._state.table.nodes.get(event.node_id):
            self.check(node)  # pays off the debt up to now at the previous multiplier
            node.slow_start_multiplier = event.multiplier

    def begin(self, node: Node, debt: float) -> None:
        """Begin the slow start of a node. ``debt``: units that are counted as already sent by this front."""
        node.slow_start = TokenBucket(-debt, self._state.now)

    def check(self, node: Node) -> Verdict:
        """Return when this front may send the node a request."""
        if not self.is_warming(node):
            return ALLOWED
        rate = self._fill(node)
        level = node.slow_start.level
        if level >= 0:
            return ALLOWED
        return Verdict(self._state.now - level / rate, Rule.SLOW_START)

    def _configured_rate(self) -> float:
        """Return the configured rate of a node that starts, over all fronts, in units a second; 0 if none."""
        window = self._state.safety.overload_after
        return self._state.settings.slow_start_units / window if window else 0.0

    def _fill(self, node: Node) -> float:
        """Pay off the debt up to now; returns the rate, in units a second."""
        state, safety = self._state, self._state.safety
        initial = safety.slow_start_initial_fraction
        age = state.now - node.started_at
        fraction = (
            initial + (1 - initial) * max(0.0, age - safety.overload_after) / safety.slow_start_duration
        )
        idle_multiple = 1 / max(state.utilization, 1 / MAX_IDLE_MULTIPLE)
        fronts = max(state.front_count, state.max_front_count)
        multiple = safety.overload_multiple
        usual = state.table.usual_rate.get_or_mean(node.shard) * fraction * multiple * idle_multiple
        configured = (
            self._configured_rate() / fronts * state.quota_clock.fraction * node.slow_start_multiplier
        )
        growth = fraction / initial if initial else 1.0
        reserved = state.table.reserved_rate.get(node.shard) * fraction * multiple
        rate = max(usual, configured * growth, reserved, MIN_RATE)
        saved_up = usual * safety.overload_after * (1 - 1 / idle_multiple)
        node.slow_start.fill(rate, saved_up, state.now)
        return rate
