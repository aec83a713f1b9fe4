"""What a host keeps in mind: plain records with no decision in them. ``rules.py`` fills and reads them."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from heapq import heappop, heappush

from cleatyoke.scheduling.events import Endpoint, RequestArrived
from cleatyoke.scheduling.settings import RequestClass


class Request:
    """A request that is owed an answer, or has attempts out."""

    def __init__(
        self, event: RequestArrived, kind: RequestClass, hosts: int, volume: Volume, now: float
    ) -> None:
        self.ask, self.id, self.index, self.cell = event, event.request_id, event.class_index, event.shard
        self.hosts, self.volume = hosts, volume  # the volume and how many hosts it uses
        self.kind, self.units, self.deadline = kind, max(event.units, 1e-9), event.deadline
        self.item = (event.volume_id, event.class_index, event.item)  # what a client's repeat has the same
        self.arrived, self.aim_at = now, math.inf  # of the first try that it belongs to
        self.key = event.item if kind.ordered else None
        self.full = 0.0  # units sent on the reserve
        self.sends, self.over = 0, False
        self.out: dict[int, tuple[Node, float]] = {}  # attempt number: where and when it was sent
        self.ran: list[tuple[float, Node]] = []  # attempts that may have run: when sent, where


class Node:
    """A listed node, as this host knows it."""

    __slots__ = (
        "answered",
        "cell",
        "cold",
        "demand",
        "depth",
        "done_units",
        "failures",
        "hold_until",
        "id",
        "latest",
        "lent",
        "live",
        "out",
        "pace",
        "queued",
        "spare",
        "split",
        "up_since",
        "wake_at",
        "zone",
    )

    def __init__(self, entry: Endpoint, classes: int, depth: float, queued: float, spare: float) -> None:
        self.id, self.cell, self.zone = entry.node_id, entry.shard, entry.zone
        self.up_since, self.live = 0.0, True
        self.depth, self.answered = depth, 0.0
        self.queued, self.pace = queued, 0.0  # mean wait there, and seconds of service a unit
        self.spare = spare  # units a second by weight that a volume may send beyond its reserve
        self.out = [0] * classes
        self.split = [1] * classes  # most slots by class; idle nodes share one list
        self.demand = [0.0] * classes
        self.cold = TokenBucket(0.0, 0.0)  # after a start: what this host may send, 0 at most
        self.lent = 1.0  # times its even part of what the node bears then, by which hosts lend one another
        self.hold_until, self.failures = 0.0, 0  # nothing is sent before; ends without an answer in a row
        self.wake_at = math.inf  # the next look that is due
        self.done_units = 0.0
        self.latest = 0.0  # when the last sent of the attempts was sent that are answered

    def add_classes(self, count: int) -> None:
        self.out += [0] * count
        self.split = self.split + [1] * count
        self.demand += [0.0] * count


class TokenBucket:
    """Units that fill up at a rate, to a ceiling at most."""

    __slots__ = ("filled", "level")

    def __init__(self, level: float, now: float) -> None:
        self.level, self.filled = level, now

    def fill(self, rate: float, ceiling: float, now: float) -> None:
        self.level = min(ceiling, self.level + rate * (now - self.filled))
        self.filled = now


class QuotaClock:
    """Time as the limits' stores count it: it runs as fast as the part of each limit that this process may
    use, so that a store that is looked at after a change has filled by each part for as long as it held.
    """

    def __init__(self, part: float, now: float) -> None:
        self.part, self.told, self.at = part, 0.0, now

    def time(self, now: float) -> float:
        return self.told + self.part * max(0.0, now - self.at)

    def change(self, part: float, now: float) -> None:
        self.told, self.at, self.part = self.time(now), max(now, self.at), part


class Volume:
    """This host's part of a volume's reserve and limit."""

    def __init__(self, reserve: TokenBucket, limit: TokenBucket, part: float = 1.0) -> None:
        """``part``: see ``Lending``; the time before counts by it too."""
        self.reserve, self.limit = reserve, limit
        self.lent = QuotaClock(part, limit.filled)  # the limit's time, as its store counts it
        self.lent.told = limit.filled
        self.others: dict[int, tuple[float, float]] = {}  # cell: units a second by other hosts, when told
        self.due: defaultdict[int, float] = defaultdict(float)  # second of arrival: units still due in full
        self.shares: dict[int, TokenBucket] = {}  # node: this volume's part of its spare rate

    def forget(self, oldest: float, gone: list[Node]) -> None:
        """What was due to requests that came before, and the shares at nodes that are gone."""
        self.due = defaultdict(float, {at: due for at, due in self.due.items() if at >= oldest})
        for node in gone:
            self.shares.pop(node.id, None)


class QuotaLeaseFactors:
    """How many times this host's part of a volume's limit counts where hosts lend one another; else 1."""

    def __init__(self) -> None:
        self.parts: dict[int, float] = {}

    def before(self, volume: int) -> float:
        """For the time before a volume is known here: what was lent away may have been used, and what was
        borrowed was not ours then.
        """
        return min(1.0, self.parts.get(volume, 1.0))

    def tell(self, name: int, part: float, volumes: dict[int, Volume], now: float) -> None:
        """``now``: as the limits' stores count time."""
        self.parts[name] = part
        if part == 1.0:
            del self.parts[name]
        if name in volumes:
            volumes[name].lent.change(part, now)


class TimerQueue:
    """What to look at, and when: requests, nodes, or the list of nodes (None), earliest first."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Request | Node | None]] = []
        self.entries = 0  # entries of one time stand in order

    def add(self, at: float, subject: Request | Node | None) -> None:
        self.entries += 1
        heappush(self.heap, (at, self.entries, subject))

    def next_at(self) -> float:
        """When the earliest entry is due; those of requests that are over are dropped."""
        while self.heap and isinstance(self.heap[0][2], Request) and self.heap[0][2].over:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf

    def take(self) -> Request | Node | None:
        return heappop(self.heap)[2]


def forget_before(times: deque[float], oldest: float) -> None:
    while times and times[0] <= oldest:
        times.popleft()
