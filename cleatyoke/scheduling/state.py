"""State shared by the rules of one scheduler: time of the step, settings, nodes, requests and queues."""

from __future__ import annotations

import math

from cleatyoke.scheduling.actions import SchedulerAction
from cleatyoke.scheduling.node_table import NodeTable, Shard
from cleatyoke.scheduling.quotas import QuotaClock
from cleatyoke.scheduling.records import Node, Request, Volume
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.scheduling.timers import TimerQueue
from cleatyoke.scheduling.volume_table import VolumeTable

CONTROL_INTERVAL = 1.0  # seconds between control rounds; the paper's two seconds lag behind a surge
SEND_MARGIN = 0.04  # seconds left before a deadline or the end of an idempotency window, for timers and sends
RETENTION = 60.0  # seconds until an unused volume or node is dropped: its buckets are full long before
# Fraction of the shortest objective for waiting at a node; the rest is for service and queueing here.
QUEUE_DELAY_FRACTION = 0.125
UNKNOWN_FRONT_COUNT = math.inf  # an even share among an unknown number of fronts is 0


class SchedulerState:
    """State that several rules use; state of a single rule is kept in the rule's module.

    ``now``: time of the step, in seconds on the caller's clock. ``queues``: by shard, the requests that wait
    to be sent, in order of arrival (``None``: new objects). ``nodes_to_offer``: nodes to which dispatch
    offers queued requests in this step. ``to_review``: requests for which waiting may have become useless.
    ``utilization``: mean fraction of the nodes' capacity in use, as they report it; 1 until the first report.
    ``quota_clock``: runs at the fraction of the front's quotas that this process may use.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self.now = 0.0
        self.has_started = False
        self.table = NodeTable(len(settings.classes), settings.seed)
        self.requests: dict[str, Request] = {}
        self.queues: dict[Shard, list[Request]] = {}
        self.volume_table = VolumeTable(settings.max_volumes)
        self.timers = TimerQueue()
        self.nodes_to_offer: dict[int, Node] = {}
        self.to_review: list[Request] = []
        self.actions: list[SchedulerAction] = []
        self.utilization = 1.0
        self.max_front_count = 1  # largest number of fronts stated for any volume
        self.quota_clock = QuotaClock(settings.initial_quota_share, 0.0)
        self.apply_settings(settings)

    @property
    def volumes(self) -> dict[int, Volume]:
        """Recently used volumes by id."""
        return self.volume_table.by_id

    def start(self) -> None:
        """Start with the first step; quotas have accrued since this front last sent anything."""
        now = self.now
        self.has_started = True
        idle_since = self.settings.idle_since
        since = now if idle_since is None else min(now, idle_since)
        self.quota_clock = QuotaClock(self.settings.initial_quota_share, since)

    def apply_settings(self, settings: SchedulerSettings) -> None:
        """Apply the settings, and derive the values that depend only on them."""
        self.settings = settings
        self.safety = settings.safety
        # The settings denote an unknown number of fronts by 0; the rules use infinity.
        self.front_count = settings.front_count if settings.front_count > 0 else UNKNOWN_FRONT_COUNT
        self.priority_weights = [spec.priority_weight for spec in settings.classes]
        # Longest time in seconds that a request should wait in a node's queue.
        self.queue_delay_target = QUEUE_DELAY_FRACTION * min(
            spec.latency_objective for spec in settings.classes
        )
        total_weight = sum(plan.fair_share_weight for plan in settings.plans)
        weight_per_class = total_weight / len(settings.classes) or 1.0
        # Initial and lowest surplus rate of a node: units per second, per weight, beyond a volume's reserve.
        self.base_surplus_rate = sum(plan.base_rate for plan in settings.plans) / weight_per_class or 1.0
        # Highest value of a unit beyond a reserve.
        self.max_value = (
            max(self.priority_weights)
            * max(plan.priority_weight for plan in settings.plans)
            * settings.unreserved_value
        )

    def offer(self, shard: Shard) -> None:
        """Have dispatch offer queued requests to the candidate nodes of this shard in this step."""
        self.nodes_to_offer.update({node.id: node for node in self.table.holders_to_offer(shard)})

    def offer_all(self) -> None:
        """Have dispatch offer all queued requests to their candidate nodes in this step."""
        for shard in self.queues:
            self.offer(shard)

    def enqueue(self, request: Request) -> None:
        """Queue a request, and offer it to its candidate nodes."""
        self.queues.setdefault(request.shard, []).append(request)
        self.offer(request.shard)

    def dequeue(self, request: Request) -> None:
        """Remove a queued request from its queue."""
        queue = self.queues[request.shard]
        queue.remove(request)
        if not queue:
            del self.queues[request.shard]

    def forget_idle(self, oldest: float) -> None:
        """Drop records that no longer matter, to bound the memory of a long-running process.

        ``oldest``: arrival time (seconds) of the oldest request that can still matter.
        """
        idle_since = self.now - RETENTION
        self.volume_table.retain(lambda volume: volume.reserve.filled_at > idle_since)
        forgotten = self.table.forget_idle(idle_since)
        for volume in self.volume_table.all_records():
            volume.forget(oldest, forgotten)
