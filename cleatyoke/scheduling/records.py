"""Records of requests, nodes and volumes as this front knows them; decisions are made by the rules."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from cleatyoke.scheduling.events import Endpoint, RequestArrived
from cleatyoke.scheduling.quotas import QuotaClock, TokenBucket
from cleatyoke.scheduling.settings import RequestClass
from cleatyoke.scheduling.verdict import ALLOWED, Verdict

MIN_UNITS = 1e-9  # used for a request of 0 units, because sizes are divisors


class Attempt(NamedTuple):
    """An attempt that was sent; ``sent_at`` in seconds."""

    node: Node
    sent_at: float


class Request:
    """A request that has no final answer yet, or has attempts in flight."""

    __slots__ = (
        "arrival",
        "arrived_at",
        "attempts",
        "class_index",
        "deadline",
        "front_count",
        "id",
        "identity",
        "in_flight",
        "is_closed",
        "may_have_executed",
        "objective_at",
        "order_key",
        "request_class",
        "reserved_units",
        "shard",
        "units",
        "verdict",
        "volume",
    )

    def __init__(
        self,
        arrival: RequestArrived,
        request_class: RequestClass,
        front_count: int,
        volume: Volume,
        now: float,
    ) -> None:
        self.arrival = arrival
        self.id = arrival.request_id
        self.class_index = arrival.class_index
        self.request_class = request_class
        self.shard = arrival.shard
        self.units = max(arrival.units, MIN_UNITS)
        self.deadline = arrival.deadline
        self.volume = volume
        self.front_count = front_count  # fronts through which the volume is used
        self.identity = (arrival.volume_id, arrival.class_index, arrival.item)  # same in a client's retry
        self.arrived_at = now  # for a retry by the client: arrival of its first request
        self.objective_at = math.inf  # until then an answer has its full value
        self.order_key = arrival.item if request_class.ordered else None
        self.reserved_units = 0.0  # units of the latest attempt that were charged to the volume's reserve
        self.attempts = 0  # number sent so far
        self.is_closed = False
        self.in_flight: dict[int, Attempt] = {}  # by attempt number
        self.may_have_executed: list[Attempt] = []
        self.verdict: Verdict = ALLOWED  # from the latest check of the rules


class Node:
    """A node as this front knows it; times in seconds, rates in units per second."""

    __slots__ = (
        "class_demand",
        "class_slots",
        "concurrency_limit",
        "consecutive_failures",
        "id",
        "in_flight_by_class",
        "is_live",
        "last_answer_at",
        "newest_answered_sent_at",
        "next_check_at",
        "paused_until",
        "queue_delay",
        "served_units",
        "service_time_per_unit",
        "shard",
        "slow_start",
        "slow_start_multiplier",
        "started_at",
        "surplus_rate",
        "zone",
    )

    def __init__(
        self,
        endpoint: Endpoint,
        classes: int,
        concurrency_limit: float,
        queue_delay: float,
        surplus_rate: float,
    ) -> None:
        self.id = endpoint.node_id
        self.shard = endpoint.shard
        self.zone = endpoint.zone
        self.started_at = 0.0
        self.is_live = True
        self.concurrency_limit = concurrency_limit
        self.in_flight_by_class = [0] * classes  # attempts by class
        self.class_slots = [1] * classes  # slots by class; idle nodes share one list
        self.class_demand = [0.0] * classes  # seconds of queueing and flight in this interval
        self.queue_delay = queue_delay  # mean wait in the node's queue
        self.service_time_per_unit: float | None = None  # of the lightest class; None: unknown yet
        self.surplus_rate = surplus_rate  # for a volume of weight 1, beyond its reserve
        # Units that may be sent during warm-up; negative: debt. Charged for every node, but read only while
        # the node warms up.
        self.slow_start = TokenBucket(0.0, 0.0)
        self.slow_start_multiplier = 1.0  # from leases between fronts, on this front's even share of it
        self.paused_until = 0.0
        self.consecutive_failures = 0
        self.next_check_at = math.inf  # when its timer fires
        self.served_units = 0.0  # in the current control interval
        self.last_answer_at = 0.0
        self.newest_answered_sent_at = 0.0  # latest send time among answered attempts

    def add_classes(self, count: int) -> None:
        """Append ``count`` request classes."""
        self.in_flight_by_class += [0] * count
        self.class_slots = self.class_slots + [1] * count
        self.class_demand += [0.0] * count


class RateByOthers(NamedTuple):
    """Units per second that a volume is served through other fronts, and when it was reported."""

    rate: float
    reported_at: float


class Volume:
    """The front's share of a volume's reserved rate and rate limit."""

    __slots__ = (
        "lease_clock",
        "open_requests",
        "rate_limit",
        "replaceable_at",
        "reserve",
        "reserved_left",
        "surplus",
        "used_by_others",
    )

    def __init__(self, reserve: TokenBucket, rate_limit: TokenBucket, multiplier: float = 1.0) -> None:
        """``multiplier``: see ``QuotaLeaseMultipliers``; it also applies to the time before the first use."""
        self.reserve = reserve
        self.rate_limit = rate_limit
        self.lease_clock = QuotaClock(multiplier, rate_limit.filled_at)  # fills ``rate_limit``
        self.lease_clock.virtual_time = rate_limit.filled_at
        self.open_requests = 0
        self.replaceable_at = 0.0  # when a new record would allow no more than this one
        self.used_by_others: dict[int | None, RateByOthers] = {}  # by shard
        # By second of arrival: units within the reserve that have not been served yet.
        self.reserved_left: defaultdict[int, float] = defaultdict(float)
        self.surplus: dict[int, TokenBucket] = {}  # by node: this volume's share of the node's surplus rate

    def forget(self, oldest: float, forgotten_nodes: Iterable[Node]) -> None:
        """Drop the reserved units of arrivals before ``oldest``, and the buckets of forgotten nodes."""
        self.reserved_left = defaultdict(
            float, {second: units for second, units in self.reserved_left.items() if second >= oldest}
        )
        for node in forgotten_nodes:
            self.surplus.pop(node.id, None)


def reserved_units_left(request: Request) -> float:
    """Return the request's units that are within its volume's reserve and have not been served yet."""
    return min(request.units, request.volume.reserved_left.get(int(request.arrived_at), 0.0))
