"""Ordering by key: requests of ordered classes for the same item run one at a time, in order of arrival."""

from __future__ import annotations

from cleatyoke.scheduling.records import Request
from cleatyoke.scheduling.state import SchedulerState
from cleatyoke.scheduling.verdict import ALLOWED, NEVER, Rule, Verdict


class KeyOrdering:
    """Send only the oldest open request of a key, and none while the key is paused.

    Without it, a write may overtake an older one to the same item, and the older data remains. A request
    stays in its key's queue until it is closed and has no attempt in flight. After an attempt that may still
    be executing, the key is paused for ``ordering_pause`` seconds. Requests that are not of an ordered class,
    or name no item, have no key and are not ordered.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self.open_requests: dict[int, list[Request]] = {}  # by key, oldest first
        self.paused_until: dict[int, float] = {}

    def add(self, request: Request) -> None:
        """Add an arriving request to its key's queue."""
        if request.order_key is not None:
            self.open_requests.setdefault(request.order_key, []).append(request)

    def remove(self, request: Request) -> None:
        """Remove a closed request, and offer the next one of its key to its nodes."""
        if request.order_key is None:
            return
        queue = self.open_requests.get(request.order_key, [])
        if request not in queue:  # an exception was raised before it was added
            return
        queue.remove(request)
        if not queue:
            del self.open_requests[request.order_key]
        for follower in queue[:1]:
            self._state.offer(follower.shard)

    def pause_key(self, request: Request) -> None:
        """Pause the key of a request whose attempt has ended but may still be executing."""
        if request.order_key is not None:
            self.paused_until[request.order_key] = self._state.now + self._state.safety.ordering_pause

    def check(self, request: Request) -> Verdict:
        """Return when the order of its key allows the request to be sent."""
        key = request.order_key
        if key is None:
            return ALLOWED
        if self.open_requests[key][0] is not request:
            return Verdict(NEVER, Rule.KEY_ORDER)
        paused_until = self.paused_until.get(key, 0.0)
        return ALLOWED if paused_until <= self._state.now else Verdict(paused_until, Rule.KEY_ORDER)

    def forget_idle(self) -> None:
        """Drop expired pauses."""
        now = self._state.now
        self.paused_until = {key: ends_at for key, ends_at in self.paused_until.items() if ends_at > now}
