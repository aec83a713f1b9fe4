"""Costs of the other duties of a front, by the number of members, nodes or holds, measured on the real
I/O-free state machines.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.coordination.lease_events import DemandChanged, PeersChanged
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.coordination.replicated_holds import HoldSet
from cleatyoke.discovery.backoff import Backoff
from cleatyoke.discovery.schedule import (
    MAX_BACKOFF_GROWTH,
    MAX_CALL_INTERVAL,
    MIN_BACKOFF_SPAN,
    SECONDS_PER_CALL,
)
from cleatyoke.durability.records import FrontState, encode_state
from cleatyoke.emulation.capacity.cost import processor_seconds
from cleatyoke.emulation.capacity.nodes import NOW, ListedFront, settings
from cleatyoke.emulation.capacity.plan import PLAN
from cleatyoke.fleet.lease_trading import LEASE_INTERVAL
from cleatyoke.membership.wire import MemberId, MemberState, Update, decode_full_state, encode_full_state
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import Endpoint, EndpointState, EndpointUpdate, SettingsReloaded, UpdateKind
from cleatyoke.scheduling.load_probes import LoadProber

RESOURCES = 10  # limits and cold nodes of which a front leases a share at a time
OUTAGE = 60.0  # seconds for which discovery is down
RELOADS = 20


@dataclass(slots=True, frozen=True)
class ViewCosts:
    """A full state of the membership: its bytes, and the processor seconds to encode and to decode it."""

    bytes: int
    encode: float
    decode: float


def whole_view(members: int, seed: int) -> ViewCosts:
    rng = random.Random(seed)
    updates = [
        Update(
            MemberId(f"front-{one:05d}", 1_790_000_000_000 + rng.randrange(10**9)),
            address(one),
            MemberState.ALIVE,
            0,
        )
        for one in range(members)
    ]
    data = encode_full_state("capacity", updates[0], updates)
    return ViewCosts(
        len(data),
        processor_seconds(lambda: encode_full_state("capacity", updates[0], updates), 3),
        processor_seconds(lambda: decode_full_state("capacity", data), 3),
    )


def address(number: int) -> str:
    return f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}:7946"


@dataclass(slots=True, frozen=True)
class HoldCosts:
    """Costs of holds that were placed by a different front each.

    ``digest``: processor seconds to compute the digest that every probe carries; ``merge``: to merge two
    sets.
    """

    bytes: int
    digest: float
    merge: float
    rows: int  # bytes of the rows on disk


def holds(count: int, seed: int) -> HoldCosts:
    copies = HoldSet()
    held = {f"s-{box:06d}": frozenset({(MemberId(f"front-{box:05d}", seed), 1)}) for box in range(count)}
    copies = HoldSet({MemberId(f"front-{box:05d}", seed): 1 for box in range(count)}, held)
    sharing = HoldReplication(lambda: MemberId("front-00000", seed), holds=copies)
    rows = sum(len(row.data) for row in encode_state(FrontState(holds=copies), "capacity/front"))
    return HoldCosts(
        len(sharing.dump()),
        processor_seconds(sharing.compute_digest, 5),
        processor_seconds(lambda: copies.merge(copies), 5),
        rows,
    )


def idle_lease_cpu(members: int, seed: int) -> float:
    """Return the processor seconds per second that a front spends on its leases while it needs no more."""
    peers = {MemberId(f"front-{one:05d}", 1): None for one in range(members)}
    suspected: dict[MemberId, None] = {}
    leases = QuotaLeases(0.0, random.Random(seed))
    need = DemandChanged({f"limit:{number}": 100.0 for number in range(RESOURCES)})
    now = 10.0

    def step_leases() -> None:
        nonlocal now
        now += LEASE_INTERVAL
        leases.step(now, [PeersChanged(tuple(one for one in peers if one not in suspected)), need])

    return processor_seconds(step_leases, 100) / LEASE_INTERVAL


def discovery_calls(hosts: int, seed: int) -> float:
    """Return the calls per second of all fronts to a shared discovery that is down, by ``Backoff``."""
    calls = 0
    for host in range(hosts):
        pace = Backoff(
            random.Random(f"{seed}:{host}"),
            hosts,
            SECONDS_PER_CALL,
            MAX_BACKOFF_GROWTH,
            MIN_BACKOFF_SPAN,
            MAX_CALL_INTERVAL,
        )
        at = pace.delay_after_disconnect()
        while at < OUTAGE:
            calls += 1
            at += max(0.01, pace.delay_after_failure())
    return calls / OUTAGE


def probes_per_second(hosts: int, nodes: int, seed: int) -> float:
    """Return the load probes per second of one front while a node is cold, by the real ``LoadProber``."""
    prober = LoadProber(hosts, 1e9, seed)
    entries = [Endpoint(node, node, 0, EndpointState.LIVE, 0.0) for node in range(nodes)]
    entries[0].started_at = NOW
    prober.on_endpoints(EndpointUpdate(UpdateKind.SNAPSHOT, entries))
    probe_count, now = 0, NOW
    for _ in range(20 * 60):
        now += 0.05
        probe_count += prober.step(now) is not None
    return probe_count / 60


def cold_wait(hosts: int, seed: int) -> float:
    """Return the seconds until a front may send the next request to a node that has just started.

    The front has an even share of the node's slow start rate, knows no usual rate of the node and has just
    sent a request of mean size; by ``SlowStart.check``.
    """
    front = ListedFront(8, hosts)
    front.replace_node(seed)
    node = front.policy.nodes[max(front.policy.nodes)]
    node.slow_start.level, node.slow_start.filled_at = -front.policy.settings.mean_request_units, front.now
    front.policy.step(front.now, [])
    return max(0.0, front.policy.rules.slow_start.check(node).allowed_at - front.now)


def limit_wait(hosts: int) -> float:
    """Return the seconds in which a front's even share of a rate limit allows a request of mean size.

    Calculated, from the rate that ``RateLimits.check`` uses; the limit is as large as the archive's.
    """
    plan, terms = settings(hosts).plans[0], settings(hosts)
    return terms.mean_request_units / (plan.base_rate / hosts)


def reload_cpu(nodes: int, seed: int) -> float:
    """Return the processor seconds that the scheduler takes to apply changed settings."""
    front = ListedFront(nodes)
    changed = settings(PLAN.fronts)
    changed.seed = seed
    return processor_seconds(lambda: front.policy.step(front.now, [SettingsReloaded(changed)]), RELOADS)


def metrics_bytes(classes: int) -> int:
    """Return the bytes of the metrics of a front with this many request classes."""
    lines = Metrics().stat_lines([f"class-{number}" for number in range(classes)], PLAN.nodes, 0)
    return len("\n".join(lines))
