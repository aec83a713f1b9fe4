"""What a change of the endpoint list means for the scheduler's nodes."""

from __future__ import annotations

import random

from cleatyoke.scheduling.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from cleatyoke.scheduling.records import Node
from cleatyoke.scheduling.rules import Rules
from cleatyoke.scheduling.state import CONTROL_INTERVAL
from cleatyoke.scheduling.timers import Poll

# Polls in a poll interval while discovery does not answer: its return is seen early.
POLLS_WHILE_UNAVAILABLE = 4


class EndpointUpdates:
    """Add, remove and restart nodes as discovery lists them."""

    def __init__(self, rules: Rules) -> None:
        self._state = rules.state
        self._rules = rules
        self._rng = random.Random(rules.state.settings.seed)

    def apply(self, event: EndpointUpdate) -> None:
        """Take in an update; where discovery does not answer, poll it again soon."""
        state, slow_start = self._state, self._rules.slow_start
        if event.kind is UpdateKind.UNAVAILABLE:
            interval = state.safety.poll_interval or CONTROL_INTERVAL
            state.timers.add(state.now + interval / POLLS_WHILE_UNAVAILABLE, Poll.ENDPOINTS)
            return
        if event.kind is not UpdateKind.DELTA:
            state.table.mark_not_live_except({endpoint.node_id for endpoint in event.endpoints})
        for endpoint in event.endpoints:
            self._apply_endpoint(endpoint)
        for before in state.table.choose_holders(slow_start.is_warming):
            state.nodes_to_offer.pop(before.id, None)
        state.offer_all()  # where nothing is queued, a new holder has nothing to take

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
            # In debt by chance, so that many fronts do not send as one.
            debt = self._rng.random() * state.settings.mean_request_units
            node.started_at = endpoint.started_at
            self._rules.slow_start.begin(node, debt)
