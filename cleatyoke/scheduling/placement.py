"""Placement: which queued request a node is sent next, and which node a new object goes to."""

from __future__ import annotations

from heapq import heapify, heappop, heapreplace

from cleatyoke.scheduling.actions import SendAttempt
from cleatyoke.scheduling.fault_containment import FaultContainment
from cleatyoke.scheduling.records import Attempt, Node, Request
from cleatyoke.scheduling.rules import Rules
from cleatyoke.scheduling.verdict import NEVER, Rule, Verdict


class Placement:
    """Assign queued requests to nodes with free slots.

    Nodes are considered in order of their expected answer times, so a new object, which any node can take,
    goes where it is answered soonest. Each node gets the queued request of the highest value there. Requests
    of classes within their slots go first; other classes only use slots that would stay idle.
    """

    def __init__(self, rules: Rules, containment: FaultContainment) -> None:
        self._state = rules.state
        self._rules = rules
        self._containment = containment

    def dispatch(self) -> None:
        """Send requests to the nodes that were offered any in this step."""
        offered = self._state.nodes_to_offer
        self._state.nodes_to_offer = {}
        heap = [(self._new_object_time(node), order, node) for order, node in enumerate(offered.values())]
        heapify(heap)
        while heap:
            _, order, node = heap[0]
            if request := self.choose(node):
                try:
                    self._send(request, node)
                except Exception as error:  # noqa: BLE001 - a fault of one request must not affect others
                    self._containment.on_request_failed(request, error)
                heapreplace(heap, (self._new_object_time(node), order, node))
            else:
                heappop(heap)

    def choose(self, node: Node) -> Request | None:
        """Return the queued request to send to the node next, or set a timer if all of them are delayed."""
        state, now = self._state, self._state.now
        queued = state.queues.get(node.shard, []) + state.queues.get(None, [])
        if not queued or not self._rules.outliers.has_free_slot(node):
            return None
        best: Request | None = None
        best_rank: tuple[bool, float, float] | None = None
        earliest = NEVER
        for request in queued:
            index = request.class_index
            is_within_slots = node.in_flight_by_class[index] < node.class_slots[index]
            try:
                rank = is_within_slots, self._rules.surplus.value(request, node), -request.objective_at
                if best_rank is not None and rank <= best_rank:
                    continue
                verdict = request.verdict = self._rules.check(request, node)
            except Exception as error:  # noqa: BLE001 - a fault of one request must not affect others
                self._containment.on_request_failed(request, error)
                continue
            if verdict.allowed_at <= now:
                best = request
                best_rank = rank
            earliest = min(earliest, verdict.allowed_at)
        if best is None and earliest < NEVER:
            has_earlier_timer = now < node.next_check_at <= earliest
            if not has_earlier_timer:
                node.next_check_at = earliest
                state.timers.add(earliest, node)
        return best

    def explain(self, request: Request) -> Verdict:
        """Return the verdict that delays a queued request, as of its latest check."""
        nodes = list(self._state.table.holders_to_offer(request.shard))
        if not nodes:
            return Verdict(NEVER, Rule.NO_NODE)
        if not any(self._rules.outliers.has_free_slot(node) for node in nodes):
            return Verdict(NEVER, Rule.CONCURRENCY_LIMIT)
        return request.verdict

    def _new_object_time(self, node: Node) -> float:
        """Estimate the seconds until a new object of mean size is answered, given this front's backlog."""
        state = self._state
        service_time = node.service_time_per_unit or 0.0
        answer_time = node.queue_delay + service_time * state.settings.mean_request_units
        backlog = sum(node.in_flight_by_class) + len(state.queues.get(node.shard, [])) + 1
        return answer_time * backlog / node.concurrency_limit

    def _send(self, request: Request, node: Node) -> None:
        """Send an attempt, and record it with every rule.

        The rules are updated first, as they may raise: a slot is taken only for an attempt that is sent.
        """
        state, rules = self._state, self._rules
        rules.surplus.charge(request, node)
        rules.reserves.on_sent(request)
        rules.rate_limits.draw(request)
        rules.retry_budget.count_sent(request)
        rules.attempt_timeouts.start(request, node)
        not_after = rules.idempotency.remembered_until(request)
        state.dequeue(request)
        request.in_flight[request.attempts] = Attempt(node, state.now)
        request.attempts += 1
        node.in_flight_by_class[request.class_index] += 1
        node.slow_start.level -= request.units
        state.actions.append(SendAttempt(request.id, node.id, not_after))
