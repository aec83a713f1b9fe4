"""The need of each duty at the design size against its budget, and their ranking."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cleatyoke.coordination.replicated_holds import MAX_ACTORS
from cleatyoke.discovery.listings import MAX_LIST_BYTES
from cleatyoke.discovery.schedule import HEARTBEAT_INTERVAL, SECONDS_PER_CALL
from cleatyoke.emulation.capacity import duties
from cleatyoke.emulation.capacity.measure import Kind
from cleatyoke.emulation.capacity.plan import DAY, PLAN, Plan
from cleatyoke.emulation.capacity.results import PropagationResult, Results
from cleatyoke.limits.socket_budget import SocketBudget
from cleatyoke.membership.wire import MAX_REPLICA_BYTES, MAX_STREAM_BYTES

LOAD = 0.7  # fraction of a core that a process of the data path may use
ENTRIES = 3  # list entries for the replacement of one machine: draining, removed, added
ENTRY_HEAD = 60  # bytes of a line of changes besides its entries
PROBE_BYTES = 400  # of a load probe, its response and their TCP acknowledgements; calculated
SCRAPE_EVERY = 15.0  # seconds between two scrapes of the metrics
LOG_LINE = 160  # bytes of a log line; calculated
IDLE_CLOSE_S = 15.0  # seconds that an idle connection to a node stays open: half of an idle limit of 30 s
CLASSES = 6


@dataclass(slots=True, frozen=True)
class Need:
    """The resource use of one duty at the design size, and its budget.

    ``need`` and ``budget`` are in ``unit``. ``mechanism``: the function and module that implements the duty;
    empty where nothing does.
    """

    duty: str
    need: float
    budget: float
    unit: str
    kind: str
    mechanism: str
    why: str = ""
    asked: str = ""  # the requirement in words, where there is no figure

    @property
    def factor(self) -> float:
        """Return the need as a multiple of the budget; infinite where nothing implements the duty."""
        return self.need / self.budget if self.mechanism else math.inf


def workers(results: Results, plan: Plan = PLAN) -> int:
    """Return how many processes a front needs for its statements."""
    each = results.at("data path", "cpu") / plan.front_statements
    return math.ceil(plan.front_statements * each / LOAD) if math.isfinite(each) else 1


def entry_bytes(results: Results) -> float:
    """Return the bytes of one node in the complete list."""
    return results.at("node list", "list_bytes") / PLAN.nodes


def missing_duties(propagation: Sequence[PropagationResult], plan: Plan = PLAN) -> Iterator[Need]:
    """Yield the duties that nothing implements. ``propagation``: results of the distribution, if measured."""

    def missing_duty(duty: str, asked: str, why: str) -> Need:
        return Need(duty, math.nan, math.nan, "", Kind.PAPER.value, "", why, asked)

    if not propagation:
        yield missing_duty(
            "distribution of configuration",
            f"{plan.config_changes_a_day:,} changes a day, each in force within {plan.config_within:g} s",
            "a file and SIGHUP at each front; no version, no relay, nothing for a front that was away",
        )
    yield missing_duty(
        "durable copy of configuration and nodes at a front",
        "a start with no relay from what was in force",
        "a front that restarts while all relays are down serves by its file",
    )
    yield missing_duty(
        "subset of nodes for a front",
        f"of {plan.nodes:,} nodes what a front uses",
        "every front keeps, and may connect to, all nodes",
    )
    yield missing_duty(
        "workers of a front that share one control part",
        "one member, watch and part of limits a front",
        "each process of a front is all of these by itself",
    )


def list_needs(results: Results, plan: Plan = PLAN) -> Iterator[Need]:
    """Yield the needs of the list of nodes and of the node table."""
    node = "Directory.apply (discovery/directory.py), NodeTable (scheduling/node_table.py)"
    long = "Discovery.apply_in_parts (discovery/discovery.py)"
    whole, entry, real = results.at("node list", "list_bytes"), entry_bytes(results), Kind.REAL.value
    yield Need("list of nodes, whole, at 3 KB/s", whole / plan.bytes_s, plan.config_within, "s", real, long)
    yield Need(
        "list of nodes, whole, size",
        whole,
        MAX_LIST_BYTES,
        "bytes",
        real,
        "read_lines (discovery/listings.py)",
    )
    zone = 2 * plan.zone_nodes * entry
    yield Need("zone of nodes lost and back", zone / plan.bytes_s, plan.primary_within, "s", real, node)
    ordinary = plan.node_rate * ENTRIES * (entry + ENTRY_HEAD)
    yield Need("list of nodes, ordinary changes", ordinary, plan.bytes_s, "bytes/s", real, node)
    change = results.at("node list", "change") + results.at("node list", "primary")
    cpu = plan.node_rate * ENTRIES * change + plan.config_rate * results.at("settings in the policy", "cpu")
    yield Need("changes of nodes and settings, processor", cpu, plan.core, "core", real, node)
    yield Need("list of nodes, at rest", results.at("node list", "rest"), plan.core, "core", real, node)
    turn = max(results.at("node list", "longest_turn"), results.at("node list", "longest_turn_again"))
    yield Need("list of nodes, whole, longest turn of the loop", turn, 0.02, "s", real, long)
    taken = results.at("node list", "take_cpu") / plan.config_within
    yield Need("list of nodes, whole, processor within 13 s", taken, plan.core, "core", real, long)
    memory = results.at("start of a front", "resident")
    yield Need("memory of a front that knows all nodes", memory, plan.memory, "bytes", real, node)
    lost = results.at("node list", "new_object") / results.at("node list", "request")
    yield Need(
        "a new object, against another request",
        *(lost, 2.0, "times", real, "NodeTable.holders_to_offer (scheduling/node_table.py)"),
        "256 holders are offered each; all of them before",
    )


def member_needs(results: Results, plan: Plan = PLAN) -> Iterator[Need]:
    """Yield the needs of membership, at rest and after each event that the plan names."""
    members, hollow, real = "Membership (membership/members.py)", Kind.HOLLOW.value, Kind.REAL.value
    window = 13.0 * plan.bytes_s
    yield Need(
        "membership, at rest", results.at("members, quiet", "bytes"), plan.bytes_s, "bytes/s", hollow, members
    )
    cpu = results.at("members, quiet", "cpu")
    yield Need("membership, at rest, processor", cpu, plan.core, "core", hollow, members)
    memory = results.at("members, quiet", "memory") * plan.fronts
    yield Need("membership, memory", memory, plan.memory, "bytes", hollow, members)
    for duty in ("a zone lost", "a zone back", "a region back", "power loss"):
        name = f"members, {duty}"
        yield Need(
            f"membership, {duty}, bytes in 13 s",
            *(results.at(name, "mean_bytes"), window, "bytes", hollow, members),
        )
        yield Need(
            f"membership, {duty}, at the member that sends most",
            *(results.at(name, "most_bytes"), window, "bytes", hollow, members),
        )
        busy = results.at(name, "cpu") / 13.0
        yield Need(f"membership, {duty}, processor within 13 s", busy, plan.core, "core", hollow, members)
        settled = results.at(name, "settled")
        yield Need(f"membership, {duty}, until all agree", settled, plan.config_within, "s", hollow, members)
    view = results.at("whole view", "bytes")
    yield Need(
        "a whole view, size", view, MAX_STREAM_BYTES, "bytes", real, "encode_full_state (membership/wire.py)"
    )
    all_workers = plan.fronts * workers(results)
    all_workers_view = results.at("whole view", "bytes", all_workers)
    yield Need(
        "a whole view, with each worker a member",
        *(all_workers_view, MAX_STREAM_BYTES, "bytes", real, "encode_full_state (membership/wire.py)"),
        f"{workers(results)} processes a front",
    )


def shared_needs(results: Results, plan: Plan = PLAN) -> Iterator[Need]:
    """Yield the needs of holds, quota leases, slow start leases, load probes, discovery and the disk."""
    real, paper, hold = (
        Kind.REAL.value,
        Kind.PAPER.value,
        "HoldSharing (fleet/hold_sharing.py), HoldSet (coordination/replicated_holds.py)",
    )
    all_workers = plan.fronts * workers(results)
    yield Need("holds, lives that ever placed one", all_workers, MAX_ACTORS, "lives", paper, hold)
    yield Need(
        "holds, one by each front",
        results.at("holds by hand", "bytes"),
        MAX_REPLICA_BYTES,
        "bytes",
        real,
        hold,
    )
    leases = results.at("parts of limits", "cpu")
    yield Need(
        "parts of limits, at rest",
        leases,
        plan.core,
        "core",
        real,
        "QuotaLeases.step (coordination/quota_leases.py)",
    )
    wait = results.at("a limit's part", "wait")
    yield Need(
        "a limit of 8 units/s, one front's part, a request of 2 units",
        *(wait, plan.config_within, "s", paper, "RateLimits.check (scheduling/admission.py)"),
        "borrowing from one front after the other takes thousands of steps",
    )
    cold = results.at("a cold node's part", "wait")
    yield Need(
        "a cold node, one front's part, a request of 2 units",
        *(cold, plan.primary_within, "s", real, "SlowStart.check (scheduling/slow_start.py)"),
    )
    probes = duties.probes_per_second(plan.fronts, plan.nodes, 1)
    prober = "LoadProber (scheduling/load_probes.py)"
    yield Need("probes while a node is cold", probes * PROBE_BYTES, plan.bytes_s, "bytes/s", real, prober)
    pace = "Backoff (discovery/backoff.py)"
    calls = results.at("calls at discovery", "calls")
    yield Need("calls at a shared discovery that is down", calls, 1 / SECONDS_PER_CALL, "calls/s", real, pace)
    heartbeats = all_workers / HEARTBEAT_INTERVAL
    yield Need(
        "beats of a shared discovery's watches",
        *(
            heartbeats,
            plan.control_machines / SECONDS_PER_CALL,
            "lines/s",
            paper,
            "Watch (discovery/watch.py)",
        ),
    )
    rows = results.at("holds by hand", "rows")
    yield Need(
        "durable state, one write", rows, 1 << 20, "bytes", real, "encode_state (durability/records.py)"
    )
    log_bytes = plan.machine_rate * ENTRIES * LOG_LINE
    yield Need("log, of members and nodes", log_bytes, plan.bytes_s, "bytes/s", paper, "log (fleet/view.py)")
    scraped = duties.metrics_bytes(CLASSES) / SCRAPE_EVERY
    yield Need(
        "metrics, a scrape every 15 s",
        scraped,
        plan.bytes_s,
        "bytes/s",
        real,
        "MetricsCollector.collect (admin/prometheus.py)",
    )
    moved = plan.primary_changes_a_day / DAY * 2 * entry_bytes(results)
    yield Need(
        "changes of primary, bytes",
        moved,
        plan.bytes_s,
        "bytes/s",
        real,
        "NodeTable (scheduling/node_table.py)",
    )
    yield Need(
        "a change of primary, until a front has heard",
        *(
            6.0,
            plan.primary_within,
            "s",
            paper,
            "Watch (discovery/watch.py), tests/test_discovery_deadlines.py",
        ),
        "by the rule of 6 s; at 3,100 fronts before one discovery it was not run",
    )


def distribution_needs(propagation: Sequence[PropagationResult], plan: Plan = PLAN) -> Iterator[Need]:
    """Yield the needs of the distribution of settings and primaries, for each measured load."""
    carrier, hollow = "Subscriber, Relay (distribution/)", Kind.HOLLOW.value
    for one in propagation:
        within = plan.config_within if one.lane == "settings" else plan.primary_within
        name = f"distribution, {one.what}, {one.lane}"
        yield Need(f"{name}, until the last front knows", one.worst, within, "s", hollow, carrier)
        window = 13.0 * plan.bytes_s
        yield Need(f"{name}, most bytes in 13 s", one.worst_window, window, "bytes", hollow, carrier)


def data_needs(results: Results, plan: Plan = PLAN) -> Iterator[Need]:
    """Yield the needs of the data path: statements, connections, and the start of a front."""
    real, paper = Kind.REAL.value, Kind.PAPER.value
    server, count = "HttpServer (http/server.py)", workers(results)
    busy = results.at("data path", "cpu")
    yield Need("statements of a front, one process", busy, LOAD, "core", real, server, f"{count} processes")
    held = results.at("client connections", "bytes") * plan.front_connections / count
    yield Need("client connections, memory of a process", held, plan.memory, "bytes", real, server)
    sockets = plan.front_connections / count
    bound = SocketBudget.divide(1024, False).clients
    yield Need("client connections, sockets of a process", sockets, bound, "sockets", paper, server)
    each = plan.front_statements / count / plan.nodes  # requests per second of one process to one node
    open_to_nodes = plan.nodes * (1 - math.exp(-each * IDLE_CLOSE_S))
    backend_sockets = SocketBudget.divide(1024, False).backends
    yield Need(
        "connections to nodes, of a process",
        open_to_nodes,
        backend_sockets,
        "sockets",
        paper,
        "BackendPools (http/backends.py)",
    )
    at_node = plan.fronts * count * (1 - math.exp(-each * IDLE_CLOSE_S))
    yield Need(
        "idle connections at one node",
        *(at_node, 1024.0, "sockets", paper, "BackendPools (http/backends.py)"),
        "against the 1,024 descriptors of a machine on the platform",
    )
    started = results.at("start of a front", "cpu")
    yield Need("start of a front, processor", started, 10.0, "s", real, "Daemon (process/daemon.py)")
    restarts = plan.front_restarts_a_day * results.at("node list", "list_bytes") / DAY / plan.fronts
    yield Need("whole lists of restarted fronts", restarts, plan.bytes_s, "bytes/s", real, server)


def all_needs(results: Results) -> list[Need]:
    """Return the duties that nothing implements, the needs by descending factor, and the unmeasured ones."""
    found = [*missing_duties(results.propagation), *list_needs(results), *member_needs(results)]
    found += [*shared_needs(results), *data_needs(results), *distribution_needs(results.propagation)]
    return sorted(found, key=lambda one: -one.factor if not math.isnan(one.factor) else math.inf)
