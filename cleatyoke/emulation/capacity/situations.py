"""Bytes, processor time and settling time of one front in the situations that the plan names."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from cleatyoke.emulation.capacity import duties
from cleatyoke.emulation.capacity.needs import ENTRIES, ENTRY_HEAD, PROBE_BYTES, entry_bytes
from cleatyoke.emulation.capacity.plan import PLAN, Plan
from cleatyoke.emulation.capacity.results import Results

WINDOW_S = 13.0  # seconds; the costs of the worst such window are reported
LIST_KNOWN_S = 6.0  # seconds until a front knows a change of the list, by the protocol
CONFIG_LACKS = "configuration: no mechanism"
ON_PAPER = "hollow members, paper"  # how the figures were obtained


@dataclass(slots=True, frozen=True)
class Situation:
    """The costs of a situation for one front."""

    name: str
    bytes: float  # in the worst 13 s
    cpu: float  # processor seconds in the worst 13 s
    settles: float  # seconds until all is in force at 3 KB/s
    missing_duty: str  # the part that nothing implements; empty if all is implemented
    kind: str


class EventCost(NamedTuple):
    """The costs of a membership event for one member."""

    bytes: float
    cpu: float  # processor seconds
    settled: float  # seconds until all members agree


class BaseCosts(NamedTuple):
    """Costs that several situations share."""

    quiet: float  # bytes in 13 s without changes
    quiet_cpu: float  # processor seconds of the same
    entry: float  # bytes of a node's entry in the list
    change: float  # processor seconds for a change of one entry
    machine: float  # bytes of the changes for a machine that is replaced
    probes: float  # bytes of load probes in 13 s, while a node is warming up
    whole_list: float  # bytes


def situations(results: Results, plan: Plan = PLAN) -> Iterator[Situation]:
    """Yield each situation, in the order of the page."""
    base = _base_costs(results, plan)
    yield _ordinary(results, plan, base)
    yield Situation(
        "a burst of configuration, 500 in a minute",
        base.quiet,
        base.quiet_cpu,
        math.nan,
        CONFIG_LACKS,
        ON_PAPER,
    )
    yield _machines_lost("one machine", 1, plan, base)
    yield _machines_lost("a rack", plan.rack_nodes, plan, base)
    for name, entries in (("a zone lost", plan.zone_nodes), ("a zone back", 2 * plan.zone_nodes)):
        yield _zone_changed(name, entries, results, plan, base)
    yield _regions_apart(results, plan, base)
    yield Situation(
        "all control machines down for an hour",
        base.quiet,
        base.quiet_cpu,
        0.0,
        "nothing is needed to serve on; a front that restarts meanwhile has its file alone",
        ON_PAPER,
    )
    yield _power_loss(results, plan, base)


def _base_costs(results: Results, plan: Plan) -> BaseCosts:
    entry = entry_bytes(results)
    quiet_cpu = results.at("members, quiet", "cpu") + results.at("node list", "rest")
    return BaseCosts(
        quiet=results.at("members, quiet", "bytes") * WINDOW_S,
        quiet_cpu=quiet_cpu * WINDOW_S,
        entry=entry,
        change=results.at("node list", "change"),
        machine=ENTRIES * (entry + ENTRY_HEAD),
        probes=duties.probes_per_second(plan.fronts, plan.nodes, 1) * PROBE_BYTES * WINDOW_S,
        whole_list=results.at("node list", "list_bytes"),
    )


def _event_cost(results: Results, duty: str) -> EventCost:
    return EventCost(results.at(duty, "mean_bytes"), results.at(duty, "cpu"), results.at(duty, "settled"))


def _ordinary(results: Results, plan: Plan, base: BaseCosts) -> Situation:
    sent = base.quiet + plan.node_rate * base.machine * WINDOW_S
    settles = LIST_KNOWN_S
    missing_duty = CONFIG_LACKS
    usual = [one for one in results.propagation if one.what == "mean rate"]
    if usual:
        sent += usual[0].worst_window
        settles = max(LIST_KNOWN_S, usual[0].worst)
        missing_duty = ""
    return Situation("an ordinary second, times 13", sent, base.quiet_cpu, settles, missing_duty, ON_PAPER)


def _machines_lost(name: str, machines: int, plan: Plan, base: BaseCosts) -> Situation:
    return Situation(
        name,
        base.quiet + machines * base.machine + base.probes,
        base.quiet_cpu + machines * ENTRIES * base.change,
        LIST_KNOWN_S + machines * base.machine / plan.bytes_s,
        "",
        ON_PAPER,
    )


def _zone_changed(name: str, entries: float, results: Results, plan: Plan, base: BaseCosts) -> Situation:
    event = _event_cost(results, f"members, {name}")
    listed = entries * base.entry
    return Situation(
        name,
        event.bytes + listed + base.probes,
        event.cpu + entries * base.change,
        LIST_KNOWN_S + max(event.settled, (event.bytes + listed) / plan.bytes_s),
        "subset of nodes",
        "hollow members, real list",
    )


def _regions_apart(results: Results, plan: Plan, base: BaseCosts) -> Situation:
    event = _event_cost(results, "members, a region back")
    sent = event.bytes + base.whole_list
    return Situation(
        "regions apart for an hour and back",
        sent,
        event.cpu + results.at("node list", "again_cpu"),
        max(event.settled, sent / plan.bytes_s),
        "nodes that were missed come as discovery's whole list",
        "hollow members (40 s apart), real list",
    )


def _power_loss(results: Results, plan: Plan, base: BaseCosts) -> Situation:
    event = _event_cost(results, "members, power loss")
    sent = event.bytes + base.whole_list
    return Situation(
        "the whole fleet from a power loss",
        sent,
        event.cpu + results.at("start of a front", "cpu") + results.at("node list", "take_cpu"),
        max(event.settled, sent / plan.bytes_s),
        "a durable copy of nodes and configuration",
        "hollow members, real list and start",
    )
