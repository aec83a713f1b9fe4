"""Applies updates of the endpoint list to the scheduler's nodes."""

from __future__ import annotations

import random

from cleatyoke.scheduling.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from cleatyoke.scheduling.records import Node
from cleatyoke.scheduling.rules import Rules
from cleatyoke.scheduling.state import CONTROL_INTERVAL
from cleatyoke.scheduling.timers import Poll

# Polls per poll interval while discovery is unavailable, so that its recovery is noticed early.
POLLS_WHILE_UNAVAILABLE = 4


class EndpointUpdates:
    """Adds, removes and restarts nodes according to the endpoint list."""

    def __init__(self, rules: Rules) -> None:
        self._state = rules.state
        self._rules = rules
        self._rng = random.Random(rules.state.settings.seed)

    def apply(self, event: EndpointUpdate) -> None:
        """Apply an update; while discovery is unavailable, schedule an early poll instead."""
        state, slow_start = self._state, self._rules.slow_start
        if event.kind is UpdateKind.UNAVAILABLE:
            interval = state.safety.poll_interval or CONTROL_INTERVAL
            state.timers.add(state.now + interval / POLLS_WHILE_UNAVAILABLE, Poll.ENDPOINTS)
            return
        if event.kind is not UpdateKind.DELTA:
            state.table.mark_not_live_except({endpoint.node_id for endpoint in event.endpoints})
        for endpoint in event.endpoints:
            self._apply_endpoint(endpoint)
        for previous_holder in state.table.choose_holders(slow_start.is_warming):
            state.nodes_to_offer.pop(previous_holder.id, None)
        state.offer_all()  # covers new holders: one has something to send only if a queue is not empty

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        state, table = self._state, self._state.table
        if endpoint.node_id not in table.nodes:
            limit = self._rules.outliers.initial_concurrency_limit()
            classes = len(self._rules.concurrency.slot_shares)
            queue_delay = state.queue_delay_target / 2
            table.add(Node(endpoint, classes, limit, queue_delay, state.base_surplus_rate))
        node = table.nodes[endpoint.node_id]
        table.set_live(node, live=endpoint.state is EndpointState.LIVE)
        if endpoint.started_at > node.started_at:
            # A random debt, so that the fronts do not all send to the new node at the same moment.
            debt = self._rng.random() * state.settings.mean_request_units
            node.started_at = endpoint.started_at
            self._rules.slow_start.begin(node, debt)
