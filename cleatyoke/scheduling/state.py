"""What the rules of one scheduler share: the time of the step, its settings, nodes, requests and queues."""

from __future__ import annotations

import math

from cleatyoke.scheduling.actions import SchedulerAction
from cleatyoke.scheduling.node_table import NodeTable, Shard
from cleatyoke.scheduling.quotas import QuotaClock
from cleatyoke.scheduling.records import Node, Request, Volume
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.scheduling.timers import TimerQueue

CONTROL_INTERVAL = 1.0  # seconds between control rounds; the paper's two seconds trail a surge
SEND_MARGIN = 0.04  # seconds kept clear of a deadline or an idempotency window: timers and sends take time
RETENTION = 60.0  # seconds after which an unused volume or node is forgotten: its buckets are long full
# Of the shortest objective to wait at a node; the rest is for service and queueing here.
QUEUE_FRACTION = 0.125
UNKNOWN_FRONT_COUNT = math.inf  # an even share among fronts of unknown number is nothing


class SchedulerState:
    """The state that several rules read; the module of each rule keeps what is the rule's alone.

    ``now``: time of the step, in seconds on the caller's clock. ``queues``: by shard, the requests that wait
    to be sent, in order of arrival (``None``: new objects). ``nodes_to_offer``: nodes that may have something
    new to take in this step. ``to_review``: requests for which waiting may have become useless.
    ``utilization``: mean fraction of the nodes' capacity in use, as they report it; all of it at first.
    ``quota_clock``: by the fraction of the front's quotas that this process may use.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self.now = 0.0
        self.has_started = False
        self.table = NodeTable(len(settings.classes), settings.seed)
        self.requests: dict[str, Request] = {}
        self.queues: dict[Shard, list[Request]] = {}
        self.volumes: dict[int, Volume] = {}
        self.timers = TimerQueue()
        self.nodes_to_offer: dict[int, Node] = {}
        self.to_review: list[Request] = []
        self.actions: list[SchedulerAction] = []
        self.utilization = 1.0
        self.max_front_count = 1  # the most fronts that a volume was said to use
        self.quota_clock = QuotaClock(settings.initial_quota_share, 0.0)
        self.apply_settings(settings)

    def start(self) -> None:
        """Begin with the first step: the quotas' time runs since this front last sent anything."""
        now = self.now
        self.has_started = True
        idle_since = self.settings.idle_since
        since = now if idle_since is None else min(now, idle_since)
        self.quota_clock = QuotaClock(self.settings.initial_quota_share, since)

    def apply_settings(self, settings: SchedulerSettings) -> None:
        """Take the settings, and what only they decide."""
        self.settings = settings
        self.safety = settings.safety
        # The settings write an unknown number of fronts as 0; from here on it is infinite.
        self.front_count = settings.front_count if settings.front_count > 0 else UNKNOWN_FRONT_COUNT
        self.priority_weights = [spec.priority_weight for spec in settings.classes]
        # Seconds that a request should wait in a node's queue at the most.
        self.queue_delay_target = QUEUE_FRACTION * min(spec.latency_objective for spec in settings.classes)
        total_weight = sum(plan.fair_share_weight for plan in settings.plans)
        weight_per_class = total_weight / len(settings.classes) or 1.0
        # Units a second by weight that a volume may send a node beyond its reserve; at first, and at least.
        self.base_surplus_rate = sum(plan.base_rate for plan in settings.plans) / weight_per_class or 1.0
        # Value of the most valuable unit beyond a reserve.
        self.max_value = (
            max(self.priority_weights)
            * max(plan.priority_weight for plan in settings.plans)
            * settings.unreserved_value
        )

    def offer(self, shard: Shard) -> None:
        """Let the nodes that a request of this shard may go to look for something to take, in this step."""
        self.nodes_to_offer.update({node.id: node for node in self.table.holders_to_offer(shard)})

    def offer_all(self) -> None:
        """Let all nodes for which something is queued look for something to take, in this step."""
        for shard in self.queues:
            self.offer(shard)

    def enqueue(self, request: Request) -> None:
        """Queue a request, and let its nodes look."""
        self.queues.setdefault(request.shard, []).append(request)
        self.offer(request.shard)

    def dequeue(self, request: Request) -> None:
        """Remove a queued request from its queue."""
        queue = self.queues[request.shard]
        queue.remove(request)
        if not queue:
            del self.queues[request.shard]

    def forget_idle(self, oldest: float) -> None:
        """Drop what no longer matters, so that a long-running process does not fill the memory.

        ``oldest``: arrival (seconds) of the oldest request that can still matter.
        """
        idle_since = self.now - RETENTION
        self.volumes = {
            volume_id: volume
            for volume_id, volume in self.volumes.items()
            if volume.reserve.filled_at > idle_since
        }
        forgotten = self.table.forget_idle(idle_since)
        for volume in self.volumes.values():
            volume.forget(oldest, forgotten)
