"""The policy of one host: which request goes to which node, when, and which is turned away.

Types, events and actions are in ``api.py``, records in ``state.py``. The design is Padala et al.'s controller
with nodes for ports, once for each host; ``docs/design.md`` says what was kept and when exceptions act.
"""

from __future__ import annotations

import math
import random
from collections import deque
from heapq import heapify, heappop, heapreplace

from cleatyoke.scheduling.actions import (
    CancelAttempt,
    FailRequest,
    Reject,
    SchedulerAction,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    ClientDisconnected,
    EndpointState,
    EndpointUpdate,
    QuotaLeaseChanged,
    QuotaShareChanged,
    RequestArrived,
    SchedulerEvent,
    SettingsReloaded,
    SlowStartLeaseChanged,
    TimerFired,
    UpdateKind,
    UtilizationReported,
)
from cleatyoke.scheduling.node_table import NodeTable
from cleatyoke.scheduling.records import (
    Node,
    QuotaClock,
    QuotaLeaseFactors,
    Request,
    TimerQueue,
    TokenBucket,
    Volume,
    forget_before,
)
from cleatyoke.scheduling.regression import GAIN, clamp, fit, short_mean
from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope, SchedulerSettings

INTERVAL = 1.0  # seconds between control rounds; the paper's two seconds trail a surge
FIT = 5  # intervals in a slope fit: the design's
STEP = 0.05  # most a normalized bound moves in an interval: the paper's
NODE_CAP = 8.0  # most slots a node: the design's default for the host's cap
MARGIN = 0.04  # seconds kept clear of a deadline or memory: looks and sends take time, in no setting
IDLE = 60.0  # seconds after which an unused volume is forgotten: reserve and limit have long refilled
QUEUE_SHARE = 0.125  # part of the tightest aim to wait at a node; the rest is for service and the held queue
OVERDUE = 30.0  # times what an answer should take, by the part of the worth that a late one earns: how long
# an attempt may be out, or its aim if longer
LOST = 0.4  # of the aim: the least for which an attempt whose answer seems lost may be out
OTHERS = 1.0  # seconds over which the use of volumes through other hosts is averaged: dues go by seconds
SPARE_MOST = 64.0  # times its start that a node's spare rate may reach: all that a volume asks
ROOM_MOST = 2.0  # times its usual rate that a host may count on at a cold node, however idle the nodes are
SLACK_SHARE = 0.5  # of the settings' slack of a limit, which hosts that start may use at once
Floats = list[float]  # one for each class
NEVER_RAN = (AttemptOutcome.QUEUE_FULL, AttemptOutcome.CONNECTION_FAILED, AttemptOutcome.NOT_SENT)


class Scheduler:
    """One host's state machine: ``step`` takes the time and the events, and returns the actions."""

    def __init__(self, settings: SchedulerSettings) -> None:
        count = len(settings.classes)
        self.tune(settings)
        self.busy = 1.0  # mean part of the nodes' power in use, as they report; at first unknown
        self.paces = [0.0] * count  # by class, seconds of service a unit at any node; 0: none is known yet
        self.requests: dict[str, Request] = {}
        self.held: dict[int, list[Request]] = {}  # cell: requests waiting for it; -1: for any
        self.table = NodeTable(count, settings.seed)
        self.nodes, self.holder = self.table.nodes, self.table.holder
        self.volumes: dict[int, Volume] = {}
        self.lending = QuotaLeaseFactors()
        self.keys: dict[int, list[Request]] = {}  # requests of ordered classes, oldest first
        self.key_rest: dict[int | None, float] = {}
        self.tries: dict[tuple[int, int, int | None], tuple[float, float]] = {}  # unserved: came, ended
        self.taken: deque[float] = deque()
        self.extras: deque[float] = deque()
        self.bounds = [1.0 / count] * count  # normalized
        self.asks = list(self.bounds)
        self.history: list[list[tuple[float, float]]] = [[] for _ in range(count)]  # bound, performance
        self.waited, self.answered = [0.0] * count, [0] * count
        self.agenda = TimerQueue()
        self.touched: dict[int, Node] = {}  # nodes that may have something new to choose
        self.doubtful: list[Request] = []  # if still held after this step, is there any use in waiting?
        self.interval_at = self.born = self.bell_at = math.inf
        self.now, self.seen_hosts, self.rng = 0.0, 1, random.Random(settings.seed)
        self.actions: list[SchedulerAction] = []
        if settings.watches_endpoints:
            self.agenda.add(-math.inf, None)

    def tune(self, settings: SchedulerSettings) -> None:
        """Take the settings, and what only they decide."""
        self.settings, self.safety = settings, settings.safety
        self.hosts = (
            settings.front_count if settings.front_count > 0 else math.inf
        )  # unknown: no part of it is even
        self.worths = [kind.priority_weight for kind in settings.classes]
        self.queue_aim = QUEUE_SHARE * min(kind.latency_objective for kind in settings.classes)
        weights = sum(plan.fair_share_weight for plan in settings.plans) / len(settings.classes) or 1.0
        self.spare = sum(plan.base_rate for plan in settings.plans) / weights or 1.0  # also the least
        self.dearest = (
            max(self.worths)
            * max(plan.priority_weight for plan in settings.plans)
            * settings.unreserved_value
        )

    def step(self, now: float, events: list[SchedulerEvent]) -> list[SchedulerAction]:
        self.now, self.actions = now, []
        if self.born == math.inf:
            self.born = self.interval_at = now
            since = self.settings.idle_since
            self.share = QuotaClock(
                self.settings.initial_quota_share, now if since is None else min(now, since)
            )
        if now >= self.interval_at + INTERVAL:
            self.control()
        for event in events:
            match event:
                case TimerFired():
                    self.bell_at = math.inf
                case EndpointUpdate():
                    self.on_list(event)
                case RequestArrived():
                    self.on_arrival(event)
                case AttemptFinished() if event.request_id in self.requests:
                    self.on_ended(event, self.requests[event.request_id])
                case ClientDisconnected(name) if name in self.requests:
                    self.close(self.requests[name], None)
                case UtilizationReported(part):
                    self.busy = part
                case QuotaShareChanged(part):
                    self.share.change(part, now)
                case QuotaLeaseChanged(volume, part):
                    self.lending.tell(volume, part, self.volumes, self.share.time(now))
                case SlowStartLeaseChanged(name, part) if node := self.nodes.get(name):
                    self.bears_at(node)  # what is paid off until now, by the part before
                    node.lent = part
                case SettingsReloaded():
                    self.on_retuned(event)
        while self.agenda.next_at() <= now:
            self.look(self.agenda.take())
        self.dispatch()
        for request in [one for one in self.doubtful if not one.over and not one.out]:
            self.keep_or_give_up(request)
        self.doubtful = []
        if (due := self.agenda.next_at()) < self.bell_at:  # for nothing else: an idle host sleeps
            self.bell_at = due
            self.actions.append(SetTimer(due - self.now, 0))
        return self.actions

    def look(self, subject: Request | Node | None) -> None:
        if subject is None:
            self.actions.append(WatchEndpoints())
        elif isinstance(subject, Request) and subject.out:
            self.call_off_overdue(subject)
        else:
            self.touch(subject.cell)
            if isinstance(subject, Request):
                self.doubtful.append(subject)

    def touch(self, cell: int) -> None:
        """The holder of this cell, or for a new object holders anywhere, may have something new to choose."""
        self.touched.update({node.id: node for node in self.table.holders_to_try(cell)})

    # Class controllers

    def control(self) -> None:
        """One control round: fit and ask, arbitrate, allocate to nodes."""
        began, self.interval_at = self.interval_at, self.now
        for request in self.requests.values():
            self.count_demand(request, began)
        total = max(1.0, self.table.depth)  # the host's cap
        performance = [1.0] * len(self.bounds)
        for index, kind in enumerate(self.settings.classes):
            if self.answered[index]:
                performance[index] = (
                    kind.latency_objective * self.answered[index] / max(self.waited[index], 1e-6)
                )
                self.history[index].append((self.bounds[index] * total, performance[index]))
                del self.history[index][: -FIT - 1]
                if slope := fit(self.history[index]):
                    wish = self.bounds[index] + (1 - performance[index]) / slope / total
                    self.asks[index] = clamp(wish, self.bounds[index] - STEP, self.bounds[index] + STEP)
        slopes = [slope * total if slope else None for slope in map(fit, self.history)]
        self.bounds = arbitrate(self.bounds, self.asks, performance, slopes, self.worths)
        nodes = self.table.in_use()
        for index, bound in enumerate(self.bounds):
            self.allocate(index, bound * total, nodes)
        passed = self.now - began
        span = max(passed, min(IDLE, self.now - self.born), MARGIN)
        self.table.count_rates(passed, span, span + IDLE / 16, self.is_cold)
        self.waited, self.answered = [0.0] * len(self.bounds), [0] * len(self.bounds)
        self.clean_up()

    def clean_up(self) -> None:
        """Forget what no longer matters, so that a long life does not fill the memory."""
        oldest, idle = (
            self.now - max(kind.latency_objective for kind in self.settings.classes) - 1,
            self.now - IDLE,
        )
        self.volumes = {name: volume for name, volume in self.volumes.items() if volume.reserve.filled > idle}
        gone = self.table.forget_idle(idle)
        for volume in self.volumes.values():
            volume.forget(oldest, gone)
        self.tries = {item: tried for item, tried in self.tries.items() if tried[1] > oldest}
        self.keys = {key: queue for key, queue in self.keys.items() if queue}
        self.key_rest = {key: rest for key, rest in self.key_rest.items() if rest > self.now}

    # Node allocator

    def count_demand(self, request: Request, since: float) -> None:
        holder = self.holder.get(request.cell)
        if holder and not request.over:
            holder.demand[request.index] += self.now - max(since, request.arrived)
            self.table.active[holder.id] = holder

    def allocate(self, index: int, bound: float, nodes: list[Node]) -> None:
        """Split a class's bound over nodes by its mean held-plus-out count there, at least one each.
        ``nodes``: those in use; all others share one split.
        """
        seen, even = sum(node.demand[index] for node in nodes), 1 / max(1, len(self.holder))
        self.table.even_split[index] = 1 if seen else max(1, math.ceil(bound * even - 1e-9))
        for node in nodes:
            part = node.demand[index] / seen if seen else even
            node.split[index] = max(1, math.ceil(bound * part - 1e-9))
            node.demand[index] = 0.0

    # Dispatch

    def dispatch(self) -> None:
        """Nodes choose in order of queue time, so new objects go where they are answered soonest."""
        queue = [(self.queue_time(node), place, node) for place, node in enumerate(self.touched.values())]
        self.touched = {}
        heapify(queue)
        while queue:
            _, place, node = queue[0]
            if request := self.choose(node):
                self.send(request, node)
                heapreplace(queue, (self.queue_time(node), place, node))
            else:
                heappop(queue)

    def choose(self, node: Node) -> Request | None:
        """The held request worth most here; classes within their split go before idle slots are lent."""
        held = self.held.get(node.cell, []) + self.held.get(-1, [])
        if not held or sum(node.out) >= int(node.depth):
            return None
        best, best_rank, again = None, (False, 0.0, 0.0), math.inf
        for request in held:
            in_split = node.out[request.index] < node.split[request.index]
            rank = (in_split, self.worth(request, node), -request.aim_at)
            if best is None or rank > best_rank:
                ready = max(node.hold_until, self.spare_at(request, node), self.may_send_at(request, node))
                if ready <= self.now:
                    best, best_rank = request, rank
                again = min(again, ready)
        if best is None and again < math.inf and not self.now < node.wake_at <= again:
            node.wake_at = again
            self.agenda.add(again, node)
        return best

    def queue_time(self, node: Node) -> float:
        """How long a new object would take here, by this host's own answers and backlog."""
        answer = node.queued + node.pace * self.settings.mean_request_units
        return answer * (sum(node.out) + len(self.held.get(node.cell, [])) + 1) / node.depth

    def worth(self, request: Request, node: Node) -> float:
        """What a unit earns when sent to this node now; the spare rate keeps volumes within their share."""
        full = still_due(request) / request.units
        part = (full + (1 - full) * self.settings.unreserved_value) * self.settings.plans[
            request.ask.plan_index
        ].priority_weight
        return (
            request.kind.priority_weight
            * part
            * (1.0 if self.timely(request, node) else request.kind.late_value)
        )

    def timely(self, request: Request, node: Node) -> bool:
        return self.now + self.answer_time(request, node) <= request.aim_at

    def answer_time(self, request: Request, node: Node) -> float:
        return node.queued + node.pace * request.units * self.heaviness(request.index)

    def heaviness(self, index: int) -> float:
        """Work of a unit of this class, against the lightest one's, by this host's own answers."""
        return self.paces[index] / min(pace for pace in self.paces if pace) if self.paces[index] else 1.0

    def sure(self, request: Request, node: Node) -> bool:
        return still_due(request) >= request.units and self.timely(request, node)

    def spare_at(self, request: Request, node: Node) -> float:
        """When a request that is not both timely and in its reserve has its part of the node's spare rate.

        Guards against many hosts that overfill a node with a slot each: all see its queue and come to like
        rates by weight. A new object, open to every node, has its rate at all of them together and never goes
        late. Should also catch slow nodes. Harms a volume that uses its hosts very unevenly.
        """
        if self.sure(request, node):
            return self.now
        new = request.cell == -1
        places = request.hosts * (len(self.holder) if new else 1)
        wanted = self.worth(request, node) > 0 and (not new or self.timely(request, node))
        rate = node.spare * self.settings.plans[request.ask.plan_index].fair_share_weight / places * wanted
        store = request.volume.shares.setdefault(node.id, TokenBucket(rate, self.now))
        store.fill(rate, rate, self.now)
        return self.now - min(0.0, store.level) / rate if rate else math.inf

    def send(self, request: Request, node: Node) -> None:
        if not self.sure(request, node):
            price = self.dearest / self.worth(request, node) / max(STEP, self.bounds[request.index])
            request.volume.shares[node.id].level -= request.units * price
        request.full = still_due(request)
        request.volume.due[int(request.arrived)] -= request.full
        if not request.sends:
            request.volume.limit.level -= request.units
        elif self.safety.retry_budget_window is not None:
            self.extras.append(self.now)
        self.unhold(request)
        request.out[request.sends] = node, self.now
        self.agenda.add(self.now + self.patience(request, node, -math.inf), request)
        request.sends += 1
        node.out[request.index] += 1
        node.cold.level -= request.units
        self.actions.append(SendAttempt(request.id, node.id, self.forgotten_at(request)))

    def unhold(self, request: Request) -> None:
        self.held[request.cell].remove(request)
        if not self.held[request.cell]:
            del self.held[request.cell]

    # Events

    def on_arrival(self, event: RequestArrived) -> None:
        if self.safety.retry_budget_window is not None:
            self.taken.append(self.now)
            for cell in self.held:  # the budget has grown, so that held repeats may go
                self.touch(cell)
        plan, hosts = self.settings.plans[event.plan_index], int(clamp(event.front_count, 1, self.hosts))
        self.seen_hosts = max(self.seen_hosts, event.front_count)
        part = self.reserve_here(event.volume_id, plan.reserved_rate, hosts)
        ceiling = part + self.settings.max_request_units if part else 0.0
        if event.volume_id not in self.volumes:
            since = max(0.0, self.share.time(self.now) - IDLE / 2)  # since when none is used
            slack = 0.0 if self.settings.replaces_process else plan.rate_limit_slack * SLACK_SHARE
            allowed, early = TokenBucket(slack / hosts, since), self.lending.before(event.volume_id)
            self.volumes[event.volume_id] = Volume(TokenBucket(ceiling, self.now), allowed, early)
        volume = self.volumes[event.volume_id]
        volume.reserve.fill(part, ceiling, self.now)
        request = Request(event, self.settings.classes[event.class_index], hosts, volume, self.now)
        self.requests[request.id] = request
        tried, ended = self.tries.pop(request.item, (self.now, -math.inf))
        if self.now - ended <= request.kind.latency_objective:
            # A repeat belongs to its first try: its aim still runs, its reserve is drawn. Guards against
            # clients that repeat hard. Harms a new request for a piece of data just after a failed one.
            request.arrived = tried
        else:
            due = min(volume.reserve.level, request.units)
            volume.reserve.level -= due
            volume.due[int(self.now)] += due
            self.table.due_units[event.shard] = self.table.due_units.get(event.shard, 0.0) + due
        request.aim_at = min(request.arrived + request.kind.latency_objective, request.deadline)
        if request.key is not None:
            self.keys.setdefault(request.key, []).append(request)
        self.held.setdefault(request.cell, []).append(request)
        self.touch(request.cell)
        self.doubtful.append(request)

    def reserve_here(self, name: int, reserve: float, hosts: int) -> float:
        """This host's part of a reserve: an even one, or more by what the other hosts leave of theirs, as the
        nodes tell. Guards against reserves unmet where a volume uses its hosts unevenly. Harms for a moment
        where the lead changes, as two hosts then spend the same part.
        """
        told = (
            self.volumes[name].others
            if name in self.volumes and self.settings.reports_usage_by_others
            else {}
        )
        even = reserve / hosts
        return max(even, reserve - sum(rate for rate, _ in told.values())) if told else even

    def hear_of_others(self, request: Request, node: Node, units: float) -> None:
        """Until more is known, the others are taken to use all of their parts."""
        plan, told = self.settings.plans[request.ask.plan_index], request.volume.others
        rate, last = told.get(node.cell, (plan.reserved_rate * (1 - 1 / request.hosts), self.now))
        span = self.now - last
        if span > 0 or node.cell not in told:
            seen = 1 - math.exp(-span / OTHERS)
            told[node.cell] = rate + (seen * (units / span - rate) if span > 0 else 0.0), self.now

    def on_ended(self, event: AttemptFinished, request: Request) -> None:
        if event.attempt not in request.out:
            return
        node, sent = request.out.pop(event.attempt)
        node.out[request.index] -= 1
        self.judge_node(node, event, request, sent)
        if event.utilization is not None:
            self.busy += GAIN / 4 * (clamp(event.utilization, 0.0, 1.0) - self.busy)
        if event.outcome is AttemptOutcome.SERVED:
            self.hear_of_others(request, node, event.units_by_others)
        self.touch(node.cell)
        if event.outcome is not AttemptOutcome.SERVED:
            request.volume.due[int(request.arrived)] += request.full
            if event.outcome not in NEVER_RAN:
                request.ran.append((sent, node))
                self.key_rest[request.key] = (
                    self.now + self.safety.ordering_pause if request.kind.ordered else 0.0
                )
        if event.settled:
            self.close(request, None, event.outcome is AttemptOutcome.SERVED)
        elif not request.over and not request.out:
            self.held.setdefault(request.cell, []).append(request)
            self.touch(request.cell)
            once = request.ran and request.kind.idempotency is Idempotency.NOT_IDEMPOTENT
            late = event.outcome is AttemptOutcome.CANCELLED and not self.timely(request, node)
            if once or late or request.sends >= self.settings.max_attempts:
                self.give_up(request)
            self.doubtful.append(request)
        self.forget(request)

    def patience(self, request: Request, node: Node, sent: float) -> float:
        """How long an attempt may be out, by its node's own record: its aim at least, or a part of that where
        one that was sent later is answered already, as nodes take requests in turn. Past its aim it is waited
        for by what a late answer still earns: nothing, and its slot is better used at once.
        """
        least = request.kind.latency_objective * (LOST if node.latest > sent else 1.0)
        return max(least, OVERDUE * request.kind.late_value * self.answer_time(request, node))

    def call_off_overdue(self, request: Request) -> None:
        """An attempt past its patience gives its slot back. Guards against lost answers and hanging nodes.
        Harms where a node turns slow at once. One that must not run again, or only where it ran, fails by
        this: it goes only where its answer seems lost, and past its aim.
        """
        once = request.kind.idempotency is not Idempotency.IDEMPOTENT
        for attempt, (node, sent) in request.out.items() if self.settings.can_cancel else ():
            due = sent + self.patience(request, node, sent)
            if once:
                due = (
                    max(due, sent + request.kind.latency_objective)
                    if node.latest > sent
                    else self.now + request.kind.latency_objective
                )
            if due <= self.now:
                self.actions.append(CancelAttempt(request.id, attempt))
            elif due < request.deadline:
                self.agenda.add(due, request)

    def judge_node(self, node: Node, event: AttemptFinished, request: Request, sent: float) -> None:
        """Bound the node's depth by its own latency: gently up while short, down at once when it fails. Where
        one that was sent later is answered already, an answer was lost, and the node has not failed.
        """
        if event.outcome is AttemptOutcome.SERVED:
            node.latest = max(node.latest, sent)
            gap, node.answered, node.failures = min(1.0, self.now - node.answered), self.now, 0
            self.tell_service_from_queue(node, event.elapsed, request, max(GAIN, gap / 2))
            node.done_units += request.units
            self.table.active[node.id] = node
            if node.queued < self.queue_aim or node.depth <= 1:
                spare = node.spare * clamp(self.queue_aim / max(node.queued, 1e-9), 0.1, 10.0) ** gap
                node.spare = clamp(spare, self.spare, self.spare * SPARE_MOST)
            if node.queued > self.queue_aim:
                self.table.deepen(node, max(1.0, node.depth - 0.5 / node.depth))
            elif sum(node.out) + 1 >= int(node.depth):
                self.table.deepen(node, min(NODE_CAP, node.depth + 1 / node.depth))
        elif event.outcome in (AttemptOutcome.QUEUE_FULL, AttemptOutcome.CONNECTION_FAILED) or (
            event.elapsed >= request.kind.latency_objective and node.latest <= sent
        ):
            self.table.deepen(node, max(1.0, node.depth / 2))
            node.failures += 1
            if node.failures > 1:  # in a row: not a lost answer but a slow or silent node
                served = node.pace * request.units * self.heaviness(request.index)
                waited = max(node.queued, event.elapsed - served)
                node.queued += min(1.0, GAIN * node.failures) * (waited - node.queued)
            if event.outcome in NEVER_RAN:
                # Guards the few attempts: dead nodes still listed, full queues. Harms after chance refusals.
                node.hold_until = self.now + self.queue_aim * min(2**node.failures, 1 / QUEUE_SHARE)

    def tell_service_from_queue(self, node: Node, spent: float, request: Request, gain: float) -> None:
        """Work goes with units and class: a node's short answers by these are its service, the rest its
        queue. Guards against slow nodes and large requests taken for queues. Harms where none is short.
        """
        index, pace = request.index, spent / request.units
        self.paces[index] = short_mean(self.paces[index] or pace, pace)
        work = request.units * self.heaviness(index)
        node.pace = short_mean(node.pace or min(one for one in self.paces if one), spent / work)
        queued = max(0.0, spent - node.pace * work)
        if (
            request.units < self.settings.max_request_units or queued < node.queued
        ):  # may be more than they count
            node.queued += gain * (queued - node.queued)

    def on_retuned(self, event: SettingsReloaded) -> None:
        """Classes come and go at run time: a new one starts with an even part of the bounds, one that is gone
        gives its part back. What is under way keeps its class, as the requests hold it themselves.
        """
        self.tune(event.settings)
        count, fresh = len(event.settings.classes), len(event.settings.classes) - len(self.bounds)
        even = 1.0 / max(1, count - len(event.retired_classes))
        bounds = self.bounds + [0.0] * fresh
        parts = [
            0.0 if index in event.retired_classes else bound or even for index, bound in enumerate(bounds)
        ]
        self.bounds = [part / (sum(parts) or 1.0) for part in parts]
        self.asks = list(self.bounds)
        self.history = [[] for _ in range(count)]
        self.waited, self.answered = self.waited + [0.0] * fresh, self.answered + [0] * fresh
        self.paces += [0.0] * fresh
        self.table.add_classes(fresh)

    def on_list(self, event: EndpointUpdate) -> None:
        if event.kind is UpdateKind.UNAVAILABLE:
            self.agenda.add(self.now + (self.safety.poll_interval or INTERVAL) / 4, None)
            return
        if event.kind is not UpdateKind.DELTA:
            self.table.unlist_all_but({entry.node_id for entry in event.endpoints})
        for entry in event.endpoints:
            if entry.node_id not in self.nodes:
                depth = max(1.0, NODE_CAP / self.hosts)
                self.table.add(Node(entry, len(self.bounds), depth, self.queue_aim / 2, self.spare))
            node = self.nodes[entry.node_id]
            self.table.set_live(node, entry.state is EndpointState.LIVE)
            if entry.started_at > node.up_since:  # in debt by chance, so that many hosts do not send as one
                debt, node.up_since = self.rng.random() * self.settings.mean_request_units, entry.started_at
                node.cold = TokenBucket(-debt, self.now)
        for before in self.table.choose_holders(self.is_cold):
            self.touched.pop(before.id, None)
        for cell in self.held:  # where nothing is held, a new holder has nothing to choose
            self.touch(cell)

    # Guards of the rules

    def may_send_at(self, request: Request, node: Node) -> float:
        """The earliest time at which every rule could allow it; infinite where only an event can, or where an
        answer would come too late for the client: such an attempt would take a slot for nothing.
        """
        answered = self.now + self.answer_time(request, node)
        if answered >= request.deadline - MARGIN or not self.within_group(request, node):
            return math.inf
        allowed = max(self.in_turn_at(request), self.within_budget_at(request), self.within_limit_at(request))
        return max(allowed, self.bears_at(node))

    def in_turn_at(self, request: Request) -> float:
        """Order by key: the oldest of its key, once the key has rested."""
        free = request.key is None or self.keys[request.key][0] is request
        return self.key_rest.get(request.key, 0.0) if free else math.inf

    def within_group(self, request: Request, node: Node) -> bool:
        """No doubled effect: a keyed request that may have run stays where its repeats are dropped."""
        if not request.ran or request.kind.idempotency is Idempotency.IDEMPOTENT:
            return True
        home = request.ran[0][1]
        known = request.kind.idempotency is Idempotency.KEYED and self.now <= self.forgotten_at(request)
        same = {
            IdempotencyScope.ALL: True,
            IdempotencyScope.ZONE: node.zone == home.zone,
            IdempotencyScope.SHARD: node.cell == home.cell,
        }
        return known and same[request.kind.idempotency_scope]

    def forgotten_at(self, request: Request) -> float:
        """When nodes may forget a keyed request that may have run, and so run it anew."""
        known = request.ran and request.kind.idempotency is Idempotency.KEYED
        return request.ran[0][0] + request.kind.idempotency_window - MARGIN if known else math.inf

    def within_budget_at(self, request: Request) -> float:
        """Attempt budget: sends beyond each request's first, within the window."""
        safety = self.safety
        if not request.sends or safety.retry_budget_window is None:
            return self.now
        for times in (self.taken, self.extras):
            forget_before(times, self.now - safety.retry_budget_window)
        allowed = (safety.retry_budget_minimum or 0.0) + (safety.retry_budget_ratio or 0.0) * len(self.taken)
        oldest = self.extras[0] if self.extras else math.inf
        return self.now if len(self.extras) + 1 <= allowed else oldest + safety.retry_budget_window

    def within_limit_at(self, request: Request) -> float:
        """Limit: this host's even part of the store. An earlier life may have used it all, so it starts with
        a part of the slack only, and fills from when this process, and so no other life of it, can send.
        """
        plan = self.settings.plans[request.ask.plan_index]
        if not plan.rate_limit or request.sends:
            return self.now
        store, rate, part = request.volume.limit, plan.rate_limit / request.hosts, self.share.part
        lent, ceiling = request.volume.lent, plan.rate_limit_burst * part / request.hosts
        store.fill(rate, ceiling, lent.time(self.share.time(self.now)))
        return self.now + max(0.0, request.units - store.level) / (rate * part * max(lent.part, 1e-9))

    def bears_at(self, node: Node) -> float:
        """Cold nodes: in debt for each send until this host's part of what the node bears has paid it off:
        an even part of the stated units by the hosts stated or seen, which grow as it warms, or by its usual
        rate there, the mean one where it knows none, or by what comes to it within reserves, as a host just
        started knows no usual rate. All hosts' add up to what a warm node serves, of which load reports tell
        the part of its power; some is saved up, as a host's few requests come in bunches.
        """
        safety, age = self.safety, self.now - node.up_since
        if not self.is_cold(node):
            return self.now
        share = (
            safety.slow_start_initial_fraction
            + (1 - safety.slow_start_initial_fraction)
            * max(0.0, age - safety.overload_after)
            / safety.slow_start_duration
        )
        room, hosts = 1 / max(self.busy, 1 / ROOM_MOST), max(self.hosts, self.seen_hosts)
        usual = self.table.usual.get_or_mean(node.cell) * share * safety.overload_multiple * room
        stated = self.settings.slow_start_units / safety.overload_after / hosts * self.share.part * node.lent
        warmth = share / safety.slow_start_initial_fraction if safety.slow_start_initial_fraction else 1.0
        due = self.table.due_rate.get(node.cell) * share * safety.overload_multiple
        rate = max(usual, stated * warmth, due, 1e-9)
        node.cold.fill(rate, usual * safety.overload_after * (1 - 1 / room), self.now)
        return self.now - node.cold.level / rate

    def is_cold(self, node: Node) -> bool:
        return node.up_since > 0 and self.now - node.up_since < self.safety.slow_start_duration

    def keep_or_give_up(self, request: Request) -> None:
        """A held request is kept while it can be in time; once late it goes at once, or is given up.

        Guards against backlogs that outlive their worth, whatever holds them up: surges, silent, cold or
        unlisted nodes. Harms where answers turn short again just after.
        """
        node, late_at = self.holder.get(request.cell), request.aim_at
        ready_at, hopeless = math.inf, request.cell != -1 or not self.holder
        if node:
            late_at -= self.answer_time(request, node)
            ready_at = max(node.hold_until, self.bears_at(node), self.spare_at(request, node))
            hopeless = ready_at >= request.deadline or not self.within_group(request, node)
        late_at = min(late_at, request.deadline - MARGIN)
        if late_at <= self.now or hopeless:
            self.give_up(request, ready_at - self.now)
        else:
            self.agenda.add(late_at, request)

    def give_up(self, request: Request, wait: float = 0.0) -> None:
        """The final answer, at once: where a repeat is harmless a refusal that says when to come back."""
        safe = {
            Idempotency.IDEMPOTENT: True,
            Idempotency.KEYED: request.kind.idempotency_scope is IdempotencyScope.ALL,
            Idempotency.NOT_IDEMPOTENT: False,
        }
        refusal = Reject(request.id, min(self.settings.max_retry_after, wait))
        self.close(
            request, refusal if not request.ran or safe[request.kind.idempotency] else FailRequest(request.id)
        )

    def close(self, request: Request, answer: SchedulerAction | None, served: bool = False) -> None:
        """The request is over; what is still out for it is called off where that is allowed."""
        if request.over:
            return
        self.count_demand(request, self.interval_at)
        request.over = True
        self.waited[request.index] += self.now - request.arrived
        self.answered[request.index] += 1
        if request in self.held.get(request.cell, ()):
            self.unhold(request)
        self.actions += [answer] if answer else []
        if not served and request.ask.item is not None:
            self.tries[request.item] = request.arrived, self.now
        if self.settings.can_cancel:
            self.actions.extend(CancelAttempt(request.id, attempt) for attempt in request.out)
        self.forget(request)

    def forget(self, request: Request) -> None:
        if request.over and not request.out and request.id in self.requests:
            del self.requests[request.id]
            if request.key is not None:
                self.keys[request.key].remove(request)
                for follower in self.keys[request.key][:1]:
                    self.touch(follower.cell)


def arbitrate(
    bounds: Floats, asks: Floats, performance: Floats, slopes: list[float | None], worths: Floats
) -> Floats:
    """Asks that fit are granted and spare goes by worth; otherwise worth x (1 - performance) is evened."""
    if sum(asks) <= 1:
        spare = 1 - sum(asks)
        return [max(0.0, ask) + spare * worth / sum(worths) for ask, worth in zip(asks, worths)]
    low = [max(0.0, bound - STEP) for bound in bounds]
    high = [bound + STEP for bound in bounds]
    goal = min(1.0, sum(high))
    rows = list(zip(bounds, asks, performance, slopes, worths, low, high))

    def granted(error: float) -> list[float]:
        return [
            clamp(bound + (1 - seen - error / worth) / slope if slope else ask, least, most)
            for bound, ask, seen, slope, worth, least, most in rows
        ]

    small, large = -1e3 * max(worths), 1e3 * max(worths)
    for _ in range(60):
        middle = (small + large) / 2
        small, large = (middle, large) if sum(granted(middle)) > goal else (small, middle)
    result = granted(large)
    rest = goal - sum(result)  # what classes without a slope leave over or must give, by their room
    room = [most - now if rest > 0 else now - least for now, least, most in zip(result, low, high)]
    return [now + rest * space / max(sum(room), 1e-12) for now, space in zip(result, room)]


def still_due(request: Request) -> float:
    return min(request.units, request.volume.due.get(int(request.arrived), 0.0))
