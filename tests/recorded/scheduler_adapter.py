"""The only access of the scheduler recording to the project's types: plain values in, plain values out.

After a rename only this module changes. Its words are those of the recording and stay as they are.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any

from cleatyoke import api, simhost
from cleatyoke.fits import fit, short_mean
from cleatyoke.load.probes import Prober
from cleatyoke.node_table import FadingMeans
from cleatyoke.rules import Policy, arbitrate

Row = list[Any]  # one recorded line: a word, then ids and numbers
Plain = dict[str, Any]

REPEATS = {"free": api.Repeat.FREE, "keyed": api.Repeat.KEYED, "once": api.Repeat.ONCE}
SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}
OUTCOMES = {
    "served": api.Outcome.SERVED,
    "error": api.Outcome.ERROR,
    "full": api.Outcome.FULL,
    "timeout": api.Outcome.TIMEOUT,
    "no connection": api.Outcome.NO_CONNECTION,
    "reset": api.Outcome.RESET,
    "cancelled": api.Outcome.CANCELLED,
    "not sent": api.Outcome.NOT_SENT,
}
NODE_STATES = {
    "live": api.NodeState.LIVE,
    "draining": api.NodeState.DRAINING,
    "gone": api.NodeState.GONE,
}
LIST_KINDS = {
    "changes": api.ListKind.CHANGES,
    "whole": api.ListKind.FULL,
    "old copy": api.ListKind.OLD_COPY,
    "lost": api.ListKind.LOST,
}


def every_member_is_named() -> bool:
    """Whether the words above stand for every member of the project's enumerations."""
    return (
        set(REPEATS.values()) == set(api.Repeat)
        and set(SCOPES.values()) == set(api.Scope)
        and set(OUTCOMES.values()) == set(api.Outcome)
        and set(NODE_STATES.values()) == set(api.NodeState)
        and set(LIST_KINDS.values()) == set(api.ListKind)
    )


def build_settings(plain: Plain) -> api.Settings:
    """Build the scheduler's settings."""
    guards = plain["guards"]
    return api.Settings(
        classes=[
            api.ClassSpec(
                aim=one["target"],
                worth=one["value"],
                late_share=one["late value"],
                repeat=REPEATS[one["repeat"]],
                scope=SCOPES[one["scope"]],
                memory=one["memory"],
                ordered=one["ordered"],
            )
            for one in plain["classes"]
        ],
        plans=[
            api.PlanSpec(
                worth=one["value"],
                rate=one["rate"],
                reserve=one["reserve"],
                weight=one["weight"],
                limit=one["limit"],
                limit_burst=one["burst"],
                limit_slack=one["slack"],
            )
            for one in plain["plans"]
        ],
        safety=api.Safety(
            cold_from=guards["cold from"],
            ramp=guards["ramp"],
            tip_multiple=guards["cold multiple"],
            tip_after=guards["cold span"],
            ask_every=guards["list period"],
            key_rest=guards["key rest"],
            extra_free=guards["extra free"],
            extra_ratio=guards["extra ratio"],
            extra_window=guards["extra window"],
        ),
        seed=plain["seed"],
        hosts=plain["hosts"],
        must_watch=plain["watch"],
        max_attempts=plain["attempts"],
        cancel=plain["cancel"],
        cold_units=plain["cold units"],
        largest=plain["largest"],
        mean=plain["mean"],
        within_share=plain["value beyond reserve"],
        tells_others=plain["nodes report others"],
        quiet_since=plain["quiet since"],
        limit_share=plain["limit part"],
        taken_over=plain["taken over"],
        retry_after=plain["retry after"],
        probes=plain["probes"],
    )


def build_node_list(kind: str, nodes: Sequence[Plain]) -> api.NodeList:
    """Build news of the nodes."""
    entries = [
        api.NodeEntry(
            node=one["node"],
            cell=one["cell"],
            zone=one["zone"],
            state=NODE_STATES[one["state"]],
            up_since=one["since"],
        )
        for one in nodes
    ]
    return api.NodeList(kind=LIST_KINDS[kind], entries=entries)


def build_event(kind: str, plain: Plain) -> api.Event:
    """Build one event of the scheduler."""
    if kind == "nodes":
        return build_node_list(plain["list"], plain["nodes"])
    if kind == "arrival":
        return api.Arrival(
            request=plain["request"],
            class_index=plain["class"],
            plan=plain["plan"],
            volume=plain["volume"],
            item=plain["item"],
            cell=plain["cell"],
            units=plain["units"],
            deadline=plain["deadline"],
            hosts=plain["hosts"],
        )
    if kind == "ended":
        return api.Ended(
            request=plain["request"],
            attempt=plain["attempt"],
            node=plain["node"],
            outcome=OUTCOMES[plain["outcome"]],
            spent=plain["spent"],
            settled=plain["settled"],
            elsewhere=plain["elsewhere"],
            busy=plain["busy"],
        )
    if kind == "busy":
        return api.Busy(part=plain["part"])
    if kind == "withdrawn":
        return api.Withdrawn(request=plain["request"])
    if kind == "timer":
        return api.Woken(token=plain["token"])
    if kind == "limit part":
        return api.Shared(part=plain["part"])
    if kind == "volume part":
        return api.Lent(volume=plain["volume"], part=plain["part"])
    if kind == "node part":
        return api.LentNode(node=plain["node"], part=plain["part"])
    if kind == "settings":
        return api.Retuned(
            settings=build_settings(plain["settings"]), retired=frozenset(plain["retired classes"])
        )
    raise ValueError(f"no such event: {kind}")


def number(value: float) -> float | None:
    """Return the number, or None where it is infinite, as JSON has no such number."""
    return None if math.isinf(value) else value


def describe(now: float, action: api.Action) -> Row:
    """Translate one action of the scheduler."""
    if isinstance(action, api.Send):
        return ["send", now, action.request, action.node, number(action.before)]
    if isinstance(action, api.Refuse):
        return ["reject", now, action.request, number(action.wait)]
    if isinstance(action, api.Fail):
        return ["fail", now, action.request]
    if isinstance(action, api.Cancel):
        return ["cancel", now, action.request, action.attempt]
    if isinstance(action, api.Wake):
        return ["timer", now, action.after, action.token]
    if isinstance(action, api.Watch):
        return ["watch", now]
    raise TypeError("an action that the recording has no word for")


class Scheduler:
    """One scheduler of the project, driven with plain values."""

    def __init__(self, settings: Plain) -> None:
        self.policy = Policy(build_settings(settings))

    def step(self, now: float, events: Sequence[tuple[str, Plain]]) -> list[Row]:
        """Pass one batch of events and return the translated actions."""
        actions = self.policy.step(now, [build_event(kind, plain) for kind, plain in events])
        return [describe(now, action) for action in actions]


class Probes:
    """One state machine of the load probes, driven with plain values."""

    def __init__(self, hosts: int, ramp: float, seed: int) -> None:
        self.prober = Prober(hosts=hosts, ramp=ramp, seed=seed)

    def nodes(self, kind: str, nodes: Sequence[Plain]) -> None:
        """Pass news of the nodes."""
        self.prober.listed(build_node_list(kind, nodes))

    def report(self, node: int, now: float, part: float | None) -> None:
        """Pass what a probe brought."""
        self.prober.told(node, now, part)

    def next_node(self, now: float) -> int | None:
        """Return the node to probe now, if any."""
        return self.prober.step(now)

    def next_time(self, now: float) -> float | None:
        """Return when there is something to do, or None."""
        return number(self.prober.next_at(now))

    def load(self, now: float) -> float:
        """Return the mean load by the reports."""
        return self.prober.busy(now)


class Means:
    """The fading means by cell, driven with plain values."""

    def __init__(self) -> None:
        self.means = FadingMeans()

    def change(self, what: str, cell: int, value: float) -> None:
        """Apply one change: all fade, or one cell is added to, kept or resumed."""
        if what == "fade":
            self.means.fade(value)
        elif what == "add":
            self.means.add(cell, value)
        elif what == "keep":
            self.means.keep(cell)
        else:
            self.means.resume(cell)

    def values(self, cell: int) -> list[float]:
        """Return the cell's mean, the same with the common mean as default, and the common mean."""
        return [self.means.get(cell), self.means.get_or_mean(cell), self.means.mean()]


class Simulated:
    """The simulator's adapter, driven with lines of its wire."""

    def __init__(self) -> None:
        self.gateway = simhost.Gateway()

    def reply(self, line: str) -> Plain | None:
        """Return the reply to one batch, or None where the line is rejected as malformed."""
        try:
            reply: Plain = json.loads(json.dumps(self.gateway.reply(line)))
        except simhost.Malformed:
            return None
        return reply


def fitted_slope(history: list[tuple[float, float]]) -> float | None:
    """Return the slope of performance over bounds."""
    return fit(history)


def running_mean(mean: float, value: float) -> float:
    """Return the mean that follows short answers faster."""
    return short_mean(mean, value)


def divided_bounds(
    bounds: list[float],
    wanted: list[float],
    performance: list[float],
    slopes: list[float | None],
    values: list[float],
) -> list[float]:
    """Return the bounds of the next interval."""
    return arbitrate(bounds, wanted, performance, slopes, values)
