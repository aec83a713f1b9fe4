"""Adapter for the simulator's protocol on standard input and output, with one scheduler per instance.

It makes no decisions. The names of events, actions and fields in the protocol are the simulator's; they are
translated here and nowhere else.
"""

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
    decode_shard,
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
UPDATE_KINDS = {
    "incr": UpdateKind.DELTA,
    "total": UpdateKind.SNAPSHOT,
    "warm_copy": UpdateKind.CACHED,
    "lost": UpdateKind.UNAVAILABLE,
}
IGNORED_EVENTS = {"FIRST", "MAIL"}  # started streams and peer messages; this adapter uses neither
PROBE_TIMER_TOKEN = 1  # token of timers for load probes; the scheduler's timers have 0


class MalformedBatchError(Exception):
    """Raised for a line that is not a valid batch of the simulator's protocol."""


def read_entry(entry: dict[str, Any]) -> Endpoint:
    """Translate an entry of an endpoint list; a node without a ``Pack`` holds no shard."""
    shard = entry.get("Pack")
    return Endpoint(
        node_id=entry["Shelf"],
        shard=None if shard is None else decode_shard(shard),
        zone=entry.get("Area") or 0,
        state=STATES[entry["StageState"]],
        started_at=entry.get("UpSinceS") or 0.0,
    )


def read_event(kind: str, event: dict[str, Any], endpoint_lists: dict[int, list[Endpoint]]) -> SchedulerEvent:
    """Translate one event of a running instance."""
    if kind == "REQ":
        return RequestArrived(
            request_id=event["Req"],
            class_index=event["Profile"],
            plan_index=event["Contract"],
            volume_id=event["StoreUser"],
            item=event.get("Item"),
            shard=decode_shard(int(event["Placement"])),
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
        update_kind = UPDATE_KINDS[event["Mode"]]
        return EndpointUpdate(
            update_kind, [] if update_kind is UpdateKind.UNAVAILABLE else endpoint_lists[event["Slot"]]
        )
    if kind == "ABORTED":
        return ClientDisconnected(event["Req"])
    msg = f"unknown event type {kind!r}"
    raise MalformedBatchError(msg)


def write_action(instance_id: int, action: SchedulerAction) -> dict[str, Any]:
    """Translate an action of an instance."""
    match action:
        case SendAttempt(request_id, node_id):
            return {"type": "ROUTE", "Head": instance_id, "Req": request_id, "Shelf": node_id}
        case Reject(request_id, retry_after):
            return {"type": "SAY_NO", "Head": instance_id, "Req": request_id, "WaitS": retry_after}
        case FailRequest(request_id):
            return {"type": "SURRENDER", "Head": instance_id, "Req": request_id}
        case CancelAttempt(request_id, attempt):
            return {"type": "DROP_ATTEMPT", "Head": instance_id, "Req": request_id, "Shot": attempt}
        case SetTimer(delay, token):
            return {"type": "TIMER", "Head": instance_id, "AfterS": delay, "Ref": token}
        case WatchEndpoints():
            return {"type": "WATCH", "Head": instance_id, "On": True}


PendingEvents = dict[int, list[SchedulerEvent]]  # by instance, its events of the current batch


class SimulatorAdapter:
    """Runs all instances of one adapter process; they share only the endpoint lists that were received."""

    def __init__(self) -> None:
        self.now = 0.0  # time of the current batch, in seconds
        self.schedulers: dict[int, Scheduler] = {}
        self.endpoint_lists: dict[int, list[Endpoint]] = {}
        self.load_fields: dict[int, list[str]] = {}  # by instance, field names of its load reports
        self.probers: dict[int, LoadProber] = {}  # by instance whose nodes report load only when probed
        self.probe_timers: dict[int, float] = {}  # by instance, expiry of its latest probe timer

    def reply(self, line: str) -> dict[str, Any]:
        """Answer one batch. Raises ``MalformedBatchError``."""
        try:
            batch = json.loads(line)
            now, number, news = float(batch["TsS"]), batch["round"], batch["news"]
            self.now = now
            pending: PendingEvents = {}
            steps: list[dict[str, Any]] = []
            for event in news:
                self._read(event, pending)
        except (KeyError, TypeError, ValueError, OverflowError, IndexError, AttributeError) as error:
            msg = f"malformed batch: {type(error).__name__}: {error}"
            raise MalformedBatchError(msg) from error
        for instance_id, events in pending.items():
            self._step(instance_id, events, steps)
        return {"round": number, "steps": steps}

    def _read(self, event: dict[str, Any], pending: PendingEvents) -> None:
        """Process one event: translate it for its instance, or start or stop that instance."""
        kind = event["type"]
        if kind == "CATALOG":
            self.endpoint_lists[event["Slot"]] = [read_entry(entry) for entry in event["Elements"]]
            return
        instance_id = event["Head"]
        if kind == "BORN":
            self._start(instance_id, event)
            pending[instance_id] = []
        elif kind == "SHUTDOWN":
            pending.pop(instance_id, None)
            self.schedulers.pop(instance_id, None)
            self.probers.pop(instance_id, None)
        elif kind == "HEALTH":
            self._read_probe(instance_id, event, pending)
        elif kind == "BELL" and event["Ref"] == PROBE_TIMER_TOKEN:
            if instance_id in self.schedulers:  # timers of a stopped instance still fire
                pending.setdefault(instance_id, [])
        elif kind not in IGNORED_EVENTS:
            self._read_for_scheduler(instance_id, event, pending)

    def _start(self, instance_id: int, event: dict[str, Any]) -> None:
        settings = read_settings(event["Facts"], event["RngSeed"])
        self.schedulers[instance_id] = Scheduler(settings)
        self.probe_timers.pop(instance_id, None)
        self.probers.pop(instance_id, None)
        if settings.load_by_probes:
            self.probers[instance_id] = LoadProber(
                settings.front_count, settings.safety.slow_start_duration, settings.seed
            )
        self.load_fields[instance_id] = (event["Facts"].get("Report") or {}).get("Fields") or []

    def _read_probe(self, instance_id: int, event: dict[str, Any], pending: PendingEvents) -> None:
        """Process the answer to a load probe."""
        prober = self.probers.get(instance_id)
        if prober is None:
            return
        utilization = self._utilization(instance_id, event) if event["Disposition"] == "completed" else None
        prober.on_report(event["Shelf"], self.now, utilization)
        pending.setdefault(instance_id, []).append(UtilizationReported(prober.utilization(self.now)))

    def _read_for_scheduler(self, instance_id: int, event: dict[str, Any], pending: PendingEvents) -> None:
        translated = read_event(event["type"], event, self.endpoint_lists)
        if isinstance(translated, AttemptFinished):
            translated.utilization = self._utilization(instance_id, event)
        if isinstance(translated, EndpointUpdate) and instance_id in self.probers:
            self.probers[instance_id].on_endpoints(translated)
        if instance_id in self.schedulers:
            pending.setdefault(instance_id, []).append(translated)

    def _utilization(self, instance_id: int, event: dict[str, Any]) -> float | None:
        """Return the fraction of its capacity that a node reports as in use; field names differ by site."""
        report = dict(zip(self.load_fields.get(instance_id, []), event.get("HealthInfo") or []))
        return next((report[name] for name in LOAD_FIELDS if name in report), None)

    def _step(self, instance_id: int, events: list[SchedulerEvent], steps: list[dict[str, Any]]) -> None:
        """Run one instance's scheduler on its events of the batch."""
        try:
            actions = self.schedulers[instance_id].step(self.now, events)
        except Exception as error:  # noqa: BLE001 - any scheduler fault is reported to the simulator
            steps.append(
                {"type": "INTERNAL_ERROR", "Head": instance_id, "Msg": f"{type(error).__name__}: {error}"}
            )
            return
        for fault in self.schedulers[instance_id].take_faults():
            print(f"simhost: {fault.subject}: {type(fault.error).__name__}: {fault.error}", file=sys.stderr)
        steps.extend(write_action(instance_id, action) for action in actions)
        if instance_id in self.probers:
            self._probe(instance_id, steps)

    def _probe(self, instance_id: int, steps: list[dict[str, Any]]) -> None:
        """Send the probes that are due, and set the timer for the next one."""
        prober, now = self.probers[instance_id], self.now
        while (node_id := prober.step(now)) is not None:
            steps.append({"type": "TOUCH", "Head": instance_id, "Shelf": node_id})
        due = prober.next_at(now)
        timer_is_pending = now < self.probe_timers.get(instance_id, -math.inf) <= due
        if due < math.inf and not timer_is_pending:
            self.probe_timers[instance_id] = due
            delay = max(0.0, due - now)
            steps.append({"type": "TIMER", "Head": instance_id, "AfterS": delay, "Ref": PROBE_TIMER_TOKEN})


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends. Raises ``MalformedBatchError``."""
    adapter = SimulatorAdapter()
    for line in source:
        json.dump(adapter.reply(line), sink, separators=(",", ":"))
        sink.write("\n")
        sink.flush()


def main() -> int:
    """Serve standard input; returns the exit status, 2 after a malformed batch."""
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedBatchError as error:
        print(f"simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
