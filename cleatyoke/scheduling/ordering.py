"""Ordering by key: requests of ordered classes that concern one item run one after the other."""

from __future__ import annotations

from cleatyoke.scheduling.records import Request
from cleatyoke.scheduling.state import SchedulerState
from cleatyoke.scheduling.verdict import ALLOWED, NEVER, Rule, Verdict


class KeyOrdering:
    """Send only the oldest open request of a key, and none while the key is paused.

    Symptom without it: two writes to one item overtake each other, and the older one's data stays. Why it
    works: a request keeps its place until it is closed and nothing of it is in flight, and after an
    attempt that may still be executing the key is paused for ``ordering_pause`` seconds. A request that is
    not of an ordered class, or names no item, has no key: it neither waits nor makes others wait.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self.open_requests: dict[int, list[Request]] = {}  # by key, oldest first
        self.paused_until: dict[int, float] = {}

    def add(self, request: Request) -> None:
        """Note a request that arrived."""
        if request.order_key is not None:
            self.open_requests.setdefault(request.order_key, []).append(request)

    def remove(self, request: Request) -> None:
        """Drop a request that is closed, and let the next one of its key go."""
        if request.order_key is None:
            return
        queue = self.open_requests.get(request.order_key, [])
        if request not in queue:  # an exception came before it was added
            return
        queue.remove(request)
        for follower in queue[:1]:
            self._state.offer(follower.shard)

    def pause_key(self, request: Request) -> None:
        """Pause the key: an attempt has ended that may still be executing."""
        if request.order_key is not None:
            self.paused_until[request.order_key] = self._state.now + self._state.safety.ordering_pause

    def check(self, request: Request) -> Verdict:
        """When the request may be sent as far as its key says."""
        key = request.order_key
        if key is None:
            return ALLOWED
        if self.open_requests[key][0] is not request:
            return Verdict(NEVER, Rule.KEY_ORDER)
        paused_until = self.paused_until.get(key, 0.0)
        return ALLOWED if paused_until <= self._state.now else Verdict(paused_until, Rule.KEY_ORDER)

    def forget_idle(self) -> None:
        """Drop keys with no open request, and pauses that are over."""
        self.open_requests = {key: queue for key, queue in self.open_requests.items() if queue}
        now = self._state.now
        self.paused_until = {key: ends_at for key, ends_at in self.paused_until.items() if ends_at > now}
