"""Adapter: the simulator's wire on standard input and output, one policy an instance. Decides nothing."""

from __future__ import annotations

import json
import math
import sys
from typing import Any, TextIO

from cleatyoke.config.settings import LOAD_FIELDS, read_settings
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
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    SchedulerEvent,
    TimerFired,
    UpdateKind,
    UtilizationReported,
)
from cleatyoke.scheduling.load_probes import LoadProber
from cleatyoke.scheduling.scheduler import Scheduler

OUTCOMES = {
    "completed": AttemptOutcome.SERVED,
    "errored": AttemptOutcome.ERROR,
    "saturated": AttemptOutcome.QUEUE_FULL,
    "overdue": AttemptOutcome.TIMEOUT,
    "refused_conn": AttemptOutcome.CONNECTION_FAILED,
    "severed": AttemptOutcome.CONNECTION_RESET,
    "recalled": AttemptOutcome.CANCELLED,
    "superseded": AttemptOutcome.NOT_SENT,
}
STATES = {"live": EndpointState.LIVE, "quiescing": EndpointState.DRAINING, "dead": EndpointState.REMOVED}
KINDS = {
    "incr": UpdateKind.DELTA,
    "total": UpdateKind.SNAPSHOT,
    "warm_copy": UpdateKind.CACHED,
    "lost": UpdateKind.UNAVAILABLE,
}
UNUSED = {"FIRST", "MAIL"}  # a begun stream is the client's; peers are never told anything
PROBE = 1  # token of the timers for probes; the policy's have 0


class MalformedBatchError(Exception):
    """A line that is not a batch of the wire."""


def read_entry(entry: dict[str, Any]) -> Endpoint:
    cell = entry.get("Pack")
    return Endpoint(
        node_id=entry["Shelf"],
        shard=-1 if cell is None else cell,
        zone=entry.get("Area") or 0,
        state=STATES[entry["StageState"]],
        started_at=entry.get("UpSinceS") or 0.0,
    )


def read_event(kind: str, event: dict[str, Any], lists: dict[int, list[Endpoint]]) -> SchedulerEvent:
    """Translate one event of a living instance."""
    if kind == "REQ":
        return RequestArrived(
            request_id=event["Req"],
            class_index=event["Profile"],
            plan_index=event["Contract"],
            volume_id=event["StoreUser"],
            item=event.get("Item"),
            shard=int(event["Placement"]),
            units=event.get("CostUnits") or 0.0,
            deadline=event["DeadlineS"],
            front_count=int(event.get("NHosts") or 0),
        )
    if kind == "FINISHED":
        return AttemptFinished(
            request_id=event["Req"],
            attempt=event["Shot"],
            node_id=event["Shelf"],
            outcome=OUTCOMES[event["Disposition"]],
            elapsed=event["SpentS"],
            settled=bool(event.get("Settled")),
            units_by_others=float(event.get("OthersGot") or 0.0),
        )
    if kind == "BELL":
        return TimerFired(event["Ref"])
    if kind == "ROSTER_CHANGE":
        mode = KINDS[event["Mode"]]
        return EndpointUpdate(mode, [] if mode is UpdateKind.UNAVAILABLE else lists[event["Slot"]])
    if kind == "ABORTED":
        return ClientDisconnected(event["Req"])
    msg = f"unknown event type {kind!r}"
    raise MalformedBatchError(msg)


def write_action(head: int, action: SchedulerAction) -> dict[str, Any]:
    match action:
        case SendAttempt(request, node):
            return {"type": "ROUTE", "Head": head, "Req": request, "Shelf": node}
        case Reject(request, wait):
            return {"type": "SAY_NO", "Head": head, "Req": request, "WaitS": wait}
        case FailRequest(request):
            return {"type": "SURRENDER", "Head": head, "Req": request}
        case CancelAttempt(request, attempt):
            return {"type": "DROP_ATTEMPT", "Head": head, "Req": request, "Shot": attempt}
        case SetTimer(after, token):
            return {"type": "TIMER", "Head": head, "AfterS": after, "Ref": token}
        case WatchEndpoints():
            return {"type": "WATCH", "Head": head, "On": True}


class SimulatorAdapter:
    """All instances of one adapter process; they share nothing but the lists as they were read."""

    def __init__(self) -> None:
        self.now = 0.0  # the batch's clock
        self.policies: dict[int, Scheduler] = {}
        self.lists: dict[int, list[Endpoint]] = {}
        self.fields: dict[int, list[str]] = {}  # of the load reports that an instance hears
        self.probers: dict[int, LoadProber] = {}  # where load is told by probes only
        self.bells: dict[int, float] = {}  # when the latest timer for a probe is due

    def reply(self, line: str) -> dict[str, Any]:
        """Answer one batch."""
        try:
            batch = json.loads(line)
            now, number, news = float(batch["TsS"]), batch["round"], batch["news"]
            self.now = now
            pending: dict[int, list[SchedulerEvent]] = {}
            steps: list[dict[str, Any]] = []
            for event in news:
                self.read(event, pending)
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            msg = f"malformed batch: {type(error).__name__}: {error}"
            raise MalformedBatchError(msg) from error
        for head, events in pending.items():
            self.run(head, now, events, steps)
        return {"round": number, "steps": steps}

    def read(self, event: dict[str, Any], pending: dict[int, list[SchedulerEvent]]) -> None:
        """Take in one event: translate it for its instance, or start or stop that instance."""
        kind = event["type"]
        if kind == "CATALOG":
            self.lists[event["Slot"]] = [read_entry(entry) for entry in event["Elements"]]
            return
        head = event["Head"]
        if kind == "BORN":
            pending.pop(head, None)
            settings = read_settings(event["Facts"], event["RngSeed"])
            self.policies[head] = Scheduler(settings)
            self.bells.pop(head, None)
            self.probers.pop(head, None)
            if settings.load_by_probes:
                self.probers[head] = LoadProber(
                    settings.front_count, settings.safety.slow_start_duration, settings.seed
                )
            self.fields[head] = (event["Facts"].get("Report") or {}).get("Fields") or []
            pending[head] = []
        elif kind == "SHUTDOWN":
            pending.pop(head, None)
            self.policies.pop(head, None)
            self.probers.pop(head, None)
        elif kind == "HEALTH":
            if head in self.probers:
                told = self.load(head, event) if event["Disposition"] == "completed" else None
                self.probers[head].told(event["Shelf"], self.now, told)
                pending.setdefault(head, []).append(UtilizationReported(self.probers[head].busy(self.now)))
        elif kind == "BELL" and event["Ref"] == PROBE:
            pending.setdefault(head, [])
        elif kind not in UNUSED:
            translated = read_event(kind, event, self.lists)
            if isinstance(translated, AttemptFinished):
                translated.utilization = self.load(head, event)
            if isinstance(translated, EndpointUpdate) and head in self.probers:
                self.probers[head].listed(translated)
            if head in self.policies:
                pending.setdefault(head, []).append(translated)

    def load(self, head: int, event: dict[str, Any]) -> float | None:
        """The part of its power that a node reports in use, by whatever name this site has for it."""
        told = dict(zip(self.fields.get(head, []), event.get("HealthInfo") or []))
        return next((told[name] for name in LOAD_FIELDS if name in told), None)

    def probe(self, head: int, now: float, steps: list[dict[str, Any]]) -> None:
        prober = self.probers[head]
        while (node := prober.step(now)) is not None:
            steps.append({"type": "TOUCH", "Head": head, "Shelf": node})
        due = prober.next_at(now)
        if due < math.inf and not now < self.bells.get(head, -math.inf) <= due:
            self.bells[head] = due
            steps.append({"type": "TIMER", "Head": head, "AfterS": max(0.0, due - now), "Ref": PROBE})

    def run(self, head: int, now: float, events: list[SchedulerEvent], steps: list[dict[str, Any]]) -> None:
        """Let one instance decide on its events of the batch."""
        try:
            actions = self.policies[head].step(now, events)
        except Exception as error:  # a fault of the policy is reported on the wire, whatever it is
            steps.append({"type": "INTERNAL_ERROR", "Head": head, "Msg": f"{type(error).__name__}: {error}"})
            return
        steps.extend(write_action(head, action) for action in actions)
        if head in self.probers:
            self.probe(head, now, steps)


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batch after batch until the input ends."""
    gateway = SimulatorAdapter()
    for line in source:
        json.dump(gateway.reply(line), sink, separators=(",", ":"))
        sink.write("\n")
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedBatchError as error:
        print(f"simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
