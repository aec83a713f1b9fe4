"""What a front sends and takes, and how long it takes, in the situations that the plan names."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from cleatyoke.emulation.capacity import duties
from cleatyoke.emulation.capacity.needs import ENTRIES, ENTRY_HEAD, PROBE_BYTES, entry_bytes
from cleatyoke.emulation.capacity.plan import PLAN, Plan
from cleatyoke.emulation.capacity.results import Results

WINDOW = 13.0
NONE = "no mechanism"


@dataclass(slots=True, frozen=True)
class Situation:
    """Of one front: bytes in the worst 13 s, processor seconds in the worst 13 s, seconds until all is in
    force at 3 KB/s; and what of it nothing carries.
    """

    name: str
    bytes: float
    cpu: float
    settles: float
    lacks: str
    kind: str


def after_event(results: Results, duty: str) -> tuple[float, float, float]:
    """Bytes, processor seconds and seconds until all members agree."""
    return results.at(duty, "mean_bytes"), results.at(duty, "cpu"), results.at(duty, "settled")


def situations(results: Results, plan: Plan = PLAN) -> Iterator[Situation]:
    entry = entry_bytes(results)
    quiet = results.at("members, quiet", "bytes") * WINDOW
    quiet_cpu = (results.at("members, quiet", "cpu") + results.at("node list", "rest")) * WINDOW
    change = results.at("node list", "change")
    machine = ENTRIES * (entry + ENTRY_HEAD)
    probes = duties.probes_a_second(plan.fronts, plan.nodes, 1) * PROBE_BYTES * WINDOW
    paper = "hollow members, paper"

    ordinary = quiet + plan.node_rate * machine * WINDOW
    usual = [one for one in results.spreads if one.what == "mean rate"]
    ordinary += usual[0].worst_window if usual else 0.0
    settles = max(6.0, usual[0].worst) if usual else 6.0
    lacking = "" if usual else f"configuration: {NONE}"
    yield Situation("an ordinary second, times 13", ordinary, quiet_cpu, settles, lacking, paper)
    yield Situation(
        "a burst of configuration, 500 in a minute",
        quiet,
        quiet_cpu,
        math.nan,
        f"configuration: {NONE}",
        paper,
    )
    one = quiet + machine + probes
    yield Situation("one machine", one, quiet_cpu + ENTRIES * change, 6.0 + machine / plan.bytes_s, "", paper)
    rack = quiet + plan.rack_nodes * machine + probes
    yield Situation(
        "a rack",
        rack,
        quiet_cpu + plan.rack_nodes * ENTRIES * change,
        6.0 + plan.rack_nodes * machine / plan.bytes_s,
        "",
        paper,
    )
    for name, duty, entries in (
        ("a zone lost", "members, a zone lost", plan.zone_nodes),
        ("a zone back", "members, a zone back", 2 * plan.zone_nodes),
    ):
        sent, cpu, settled = after_event(results, duty)
        listed = entries * entry
        yield Situation(
            name,
            sent + listed + probes,
            cpu + entries * change,
            6.0 + max(settled, (sent + listed) / plan.bytes_s),
            "subset of nodes",
            "hollow members, real list",
        )
    sent, cpu, settled = after_event(results, "members, a region back")
    whole = results.at("node list", "list_bytes")
    yield Situation(
        "regions apart for an hour and back",
        sent + whole,
        cpu + results.at("node list", "again_cpu"),
        max(settled, (sent + whole) / plan.bytes_s),
        "nodes that were missed come as discovery's whole list",
        "hollow members (40 s apart), real list",
    )
    yield Situation(
        "all control machines down for an hour",
        quiet,
        quiet_cpu,
        0.0,
        "nothing is needed to serve on; a front that restarts meanwhile has its file alone",
        paper,
    )
    sent, cpu, settled = after_event(results, "members, power loss")
    yield Situation(
        "the whole fleet from a power loss",
        sent + whole,
        cpu + results.at("start of a front", "cpu") + results.at("node list", "take_cpu"),
        max(settled, (sent + whole) / plan.bytes_s),
        "a durable copy of nodes and configuration",
        "hollow members, real list and start",
    )
