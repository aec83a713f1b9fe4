"""A play: fronts as real processes, the stand-ins around them, the troubles in their time, and the report."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cleatyoke.emulation.network import Fault
from cleatyoke.emulation.value import RequestTemplate
from cleatyoke.testbed.backend import TestBackend
from cleatyoke.testbed.backend_model import BackendModel
from cleatyoke.testbed.checker import RuleChecker
from cleatyoke.testbed.clients import FrontAddress, TestClients
from cleatyoke.testbed.discovery_agent import DiscoveryAgent, Registry
from cleatyoke.testbed.fault_relay import FaultRelay
from cleatyoke.testbed.peer import hold_port
from cleatyoke.testbed.scenario import (
    BACKEND_FAULTS,
    CALL_FAULTS,
    FRONT_FAULTS,
    LINK_FAULTS,
    FaultEvent,
    Scenario,
    settings_of,
)
from cleatyoke.testbed.view_checks import MembershipChecker, MembershipView, read_view

ROOT = Path(__file__).resolve().parent.parent.parent
START = 15.0  # seconds for a front to be ready
OPEN = 0.3  # seconds after SIGTERM in which new connections keep coming (protocol page: 0.2 to 0.4 s)
DOWN = 0.3  # seconds between a front's end and its next start
WAKES = 0.5  # seconds in which a process that was stopped comes to itself
ANSWER = 1.0  # seconds for an operator's call
LOOK = 0.2  # seconds between two looks at what all fronts say of their fleet
DRAIN = 1.5  # seconds for which a box that is replaced is listed as draining
LIFE_TROUBLES = ("replace", "drain", "restart", "silence", "stall")
SPOILS = {"garble_lists": "garble", "empty_lists": "empty", "silent_lists": "silent"}


@dataclass(slots=True)
class RunReport:
    """What came of a play. ``broken`` is empty where every rule was kept and no front exited unasked."""

    scenario: str
    seconds: float
    requests: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    served: float = 0.0  # part of the requests whose front was there
    attempts: int = 0
    executions: int = 0
    most_runs_of_a_write: int = 0
    probes: int = 0
    most_cold: float = 0.0  # at any cold box in a window, as a part of what it bears
    starts: int = 0
    fates: Counter[str] = field(default_factory=Counter)  # what became of the requests at the boxes
    broken: list[str] = field(default_factory=list)
    log: Counter[str] = field(default_factory=Counter)  # event: lines, over all fronts
    faults: list[str] = field(default_factory=list)  # the log's lines of faults that nothing foresaw
    began: float = 0.0  # of the load, on the clock of ...
    wishes: list[RequestTemplate] = field(
        default_factory=list
    )  # ... what clients wanted, and when they got it
    held: list[str] = field(default_factory=list)  # what calls to hold and release boxes were told
    views: list[tuple[str, float | None]] = field(default_factory=list)  # trouble; seconds to one view after

    def lines(self) -> list[str]:
        answers = " ".join(f"{name}={count}" for name, count in sorted(self.answers.items()))
        events = " ".join(f"{name}={count}" for name, count in sorted(self.log.items()))
        return [
            f"{self.scenario}: {self.requests} requests in {self.seconds:g} s, {answers}",
            f"served {self.served:.3f} of those whose front was there; attempts {self.attempts}, "
            f"executions {self.executions}, most of one write {self.most_runs_of_a_write}; "
            f"front starts {self.starts}; most at a cold box {self.most_cold:.2f} of what it bears",
            "at the boxes: " + " ".join(f"{name}={count}" for name, count in sorted(self.fates.items())),
            f"log lines: {events}",
            *(
                f"one view {f'{took:.1f} s' if took is not None else 'never'} after {kind}"
                for kind, took in self.views
            ),
            *([f"holds: {', '.join(self.held)}"] if self.held else []),
            *(f"fault: {one}" for one in self.faults[:20]),
            *(f"BROKEN {one}" for one in self.broken[:20]),
            f"rules {'kept' if not self.broken else f'broken {len(self.broken)} times'}",
        ]


class FrontProcess:
    """One front as a process under its name: started, signalled, waited for; its log is read by the line."""

    def __init__(self, number: int, folder: Path, port: int, run: ScenarioRun) -> None:
        self.number, self.folder, self.run = number, folder, run
        self.door = FrontAddress(number, port)
        self.process: asyncio.subprocess.Process | None = None
        self.asked = False  # to end
        self.known: dict[str, Any] = {}  # the list in its file
        self.ready = asyncio.Event()
        self.watching: asyncio.Task[None] | None = None

    def write(self, **changes: Any) -> None:
        scenario, run = self.run.scenario, self.run
        known = run.registry.listing()
        values = {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.door.port}",
            "discovery": f"127.0.0.1:{run.agents[self.number].port}",
            "seed": f"{scenario.seed * 1000 + self.number:x}",
            "known": known,
            "settings": settings_of(scenario),
            **changes,
        }
        if run.relay:
            values["ops"] = f"{run.relay.host(self.number)}:{run.ops_port}"
            (self.folder / "fronts.toml").write_text(run.fronts_file(self.number))
        spare = self.folder / "config.new"
        spare.write_text(json.dumps(values))
        os.replace(spare, self.folder / "config.json")
        self.known = known

    async def start(self) -> None:
        self.run.report.starts += 1
        self.asked = False
        self.run.agents[self.number].tell(self.known)  # the old list that it starts with tells it too
        self.ready.clear()
        kept = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        words = ["--fronts", str(self.folder / "fronts.toml")] if self.run.relay else []
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cleatyoke",
            *words,
            cwd=self.run.program,
            stderr=asyncio.subprocess.PIPE,
            env={**kept, "RELAY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)},
        )
        self.watching = asyncio.create_task(self.watch(self.process))
        async with asyncio.timeout(START):
            await self.ready.wait()
        self.door.open = True

    async def watch(self, process: asyncio.subprocess.Process) -> None:
        """Read its log to the end, and judge its exit."""
        assert process.stderr
        last = ""
        while line := (await process.stderr.readline()).decode(errors="replace"):
            if "event='" in line:
                event = line.partition("event='")[2].partition("'")[0]
                self.run.report.log[event] += 1
                if event.endswith("_fault"):
                    self.run.report.faults.append(f"front {self.number}: {line.strip()}")
                if event == "ready":
                    self.ready.set()
            last = line.strip()
        status = await process.wait()
        self.door.open = False
        if not self.asked or status not in (0, -signal.SIGKILL):
            self.run.judge.faults.append(f"exit: front {self.number} with status {status}: {last[-200:]}")
        self.ready.set()

    async def leave(self) -> None:
        """A planned restart's first half: SIGTERM, and SIGKILL where it does not end in its time."""
        assert self.process and self.watching
        self.asked = True
        self.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(OPEN)
        self.door.open = False
        try:
            async with asyncio.timeout(self.run.scenario.notice() - OPEN):
                await asyncio.shield(self.watching)
        except TimeoutError:
            self.run.judge.faults.append(f"exit: front {self.number} was not gone before its kill")
            self.process.kill()
            await self.watching
        self.door.forget()

    async def kill(self) -> None:
        assert self.process and self.watching
        self.asked, self.door.open = True, False
        self.run.judge.killed(self.number, self.run.clock())
        self.process.kill()
        await self.watching
        self.run.judge.killed(self.number, self.run.clock())  # and what it took until it was gone
        self.door.forget()

    def forget(self) -> None:
        """What stood in memory, $TMPDIR too, is gone with the power; the disk that lasts is not."""
        for path in self.folder.glob("cleatyoke-*"):
            path.unlink()

    async def pause(self, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after so long."""
        assert self.process
        process, began = self.process, self.run.clock()
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            process.send_signal(signal.SIGCONT)
            self.run.judge.paused(self.number, began, self.run.clock() + WAKES)

    async def show_fleet(self) -> MembershipView | None:
        lines = await self.call("show-fleet")
        return read_view(lines) if lines else None

    async def call(self, line: str) -> list[str]:
        """An operator's call; no lines where it got no answer."""
        relay = self.run.relay
        assert relay
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(ANSWER):
                reader, writer = await asyncio.open_connection(relay.host(self.number), self.run.ops_port)
                writer.write(f"{line}\n".encode())
                return (await reader.read()).decode().splitlines()
        except (OSError, TimeoutError):
            return []
        finally:
            if writer:
                writer.transport.abort()


class ScenarioRun:
    """One play of a scenario."""

    def __init__(self, scenario: Scenario, folder: Path, program: Path = ROOT) -> None:
        self.scenario, self.folder, self.program = scenario, folder, program
        self.clock = asyncio.get_running_loop().time
        self.unix = time.time() - self.clock()
        self.report = RunReport(scenario.name, scenario.seconds)
        self.judge = RuleChecker(scenario.plans, scenario.terms, max(4.0, float(scenario.load.units_most)))
        self.registry = Registry()
        self.boxes: list[TestBackend] = []
        self.retired: list[TestBackend] = []
        self.agents: list[DiscoveryAgent] = []
        self.fronts: list[FrontProcess] = []
        self.held: list[socket.socket] = []  # the fronts' ports
        # Troubles that end a life, or hold one up, meet a box or a front one after the other.
        self.box_turn: defaultdict[int, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.front_turn: defaultdict[int, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.cells: dict[str, int] = {}  # box: the shard that it holds
        self.tasks: list[asyncio.Task[None]] = []
        self.relay = FaultRelay(scenario.fronts, scenario.seed) if scenario.view else None
        self.views = MembershipChecker()
        self.ops_port = 0

    def fronts_file(self, front: int) -> str:
        """The fronts file of one that keeps a view of the others, whom it reaches through the relay."""
        assert self.relay and self.scenario.view
        view, relay = self.scenario.view, self.relay
        times = {"period": 1.0, "answer": 0.3, "gossip": 0.2, "sync": 20.0, "departed": 2.0, "join": 2.0}
        return "\n".join(
            [
                "[fleet]",
                "enabled = true",
                'deployment = "standin"',
                f'listen = "{relay.home(front)}"',
                f'advertise = "{relay.known(front)}"',
                f"seeds = {[relay.known(one) for one in view.seeds]}",
                f"limits = {str(view.limits).lower()}",
                f"cold = {str(view.cold).lower()}",
                f'durable = "{self.folder / f"n{front}" / "durable" if view.durable else ""}"',
                *(f"{name}_s = {view.period * share:g}" for name, share in times.items()),
                "",
            ]
        )

    # Boxes

    async def add_box(self, cell: int, name: str, born: float | None, model_seed: int) -> TestBackend:
        box = TestBackend(name, cell, self.scenario.zone_of(cell), self.judge, self.clock)
        await box.live(BackendModel(self.scenario.power, born, model_seed))
        self.cells[name] = cell
        await self.list_box(box)
        return box

    async def list_box(self, box: TestBackend, lifecycle: str = "SERVING") -> None:
        born = box.model.born
        started = 0 if born is None else int((born + self.unix) * 1000)
        await self.registry.set(
            box.name,
            hostPort=f"127.0.0.1:{box.port}",
            zone=box.zone,
            machineType="m1",
            cell=box.cell,
            lifecycle=lifecycle,
            weight=1.0,
            startedAtMs=started,
        )

    async def trouble_box(self, cell: int, trouble: FaultEvent) -> None:
        if trouble.kind not in LIFE_TROUBLES:
            model = self.boxes[cell].model
            model.ailing[trouble.kind] = trouble.share
            await asyncio.sleep(trouble.lasts)
            model.ailing.pop(trouble.kind, None)
            return
        async with self.box_turn[cell]:
            await self.trouble_life(cell, trouble)

    async def trouble_life(self, cell: int, trouble: FaultEvent) -> None:
        box = self.boxes[cell]
        match trouble.kind:
            case "replace":  # by one with a new id, cold, that holds the same
                await self.list_box(box, "DRAINING")
                self.boxes[cell] = await self.add_box(
                    cell, f"{box.name}+", self.clock(), self.scenario.seed + cell + 1000
                )
                await asyncio.sleep(DRAIN)
                await self.list_box(box, "DELETED")
                await asyncio.sleep(max(kind.deadline for kind in self.scenario.kinds))
                box.stop()
                self.retired.append(box)
            case "drain":  # with nobody in its place, for a while
                await self.list_box(box, "DRAINING")
                await asyncio.sleep(trouble.lasts)
                await self.list_box(box)
            case "restart":  # it dies, is back after a while under its id, and is cold
                box.stop()
                await asyncio.sleep(trouble.lasts)
                await box.live(BackendModel(self.scenario.power, self.clock(), box.model.seed))
                await self.list_box(box)
            case "silence":
                box.silence(True)
                await asyncio.sleep(trouble.lasts)
                box.silence(False)
            case "stall":
                await box.stall(trouble.lasts)

    # Fronts and lists

    async def trouble_front(self, number: int, trouble: FaultEvent) -> None:
        async with self.front_turn[number]:
            await self.trouble_process(number, trouble)

    async def trouble_process(self, number: int, trouble: FaultEvent) -> None:
        front = self.fronts[number]
        match trouble.kind:
            case "roll" | "kill":
                await (front.leave() if trouble.kind == "roll" else front.kill())
                await asyncio.sleep(DOWN)
                front.write()
                await front.start()
            case "pause":
                await front.pause(trouble.lasts)
            case "powercut":
                await front.kill()
                if self.scenario.view and self.scenario.view.durable:
                    front.forget()
                await asyncio.sleep(trouble.lasts)
                front.write()
                await front.start()
            case "reload":  # discovery moves to another agent
                old = self.agents[number]
                self.agents[number] = await self.add_agent(number)
                front.write()
                if front.process and front.process.returncode is None and front.ready.is_set():
                    front.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(trouble.lasts)
                old.stop()

    async def add_agent(self, front: int) -> DiscoveryAgent:
        agent = DiscoveryAgent(front, self.registry, self.judge, self.clock)
        await agent.start()
        return agent

    async def trouble_lists(self, number: int, trouble: FaultEvent) -> None:
        agent = self.agents[number]
        if trouble.kind == "late_lists":
            agent.late = trouble.share
        else:
            agent.spoils = SPOILS[trouble.kind]
        await asyncio.sleep(trouble.lasts)
        agent.late, agent.spoils = 0.0, ""

    async def trouble_links(self, trouble: FaultEvent) -> None:
        assert self.relay and trouble.links
        links, network = trouble.links, self.relay.network
        here, there = (frozenset(map(str, numbers)) for numbers in (trouble.of, links.to))
        ways = [(here, there)] if links.one_way else [(here, there), (there, here)]
        faults = [
            Fault(one, other, links.cut, links.loss, links.doubles, links.garbles, links.delay, links.jitter)
            for one, other in ways
        ]
        network.faults += faults
        await asyncio.sleep(trouble.lasts)
        for fault in faults:
            network.faults.remove(fault)

    async def trouble_hold(self, number: int, trouble: FaultEvent) -> None:
        """A box is held by a call at one front, and released by one at the next. The judge holds those fronts
        to it of which the answer says that they have it: this one, or all.
        """
        box = self.boxes[trouble.box].name
        told = " ".join(await self.fronts[number].call(f"disable-server {box}")).split()
        at = self.clock()
        if told[:1] != ["SUCCESS"]:
            self.judge.faults.append(f"hold: front {number} was asked to hold {box} and said {told}")
            return
        everywhere = told[2] == told[4]
        for front in range(self.scenario.fronts) if everywhere else [number]:
            self.judge.holds(front, box, at)
        self.report.held.append(" ".join(told))
        await asyncio.sleep(trouble.lasts)
        for front in range(self.scenario.fronts):
            self.judge.holds(front, box, None)
        other = self.fronts[(number + 1) % len(self.fronts)]
        told = " ".join(await other.call(f"enable-server {box}")).split()
        self.report.held.append(" ".join(told))

    async def trouble(self, trouble: FaultEvent) -> None:
        await asyncio.sleep(trouble.at)
        await self.trouble_all(trouble)
        if trouble.kind in (*FRONT_FAULTS, *LINK_FAULTS):
            self.views.ends.append((self.clock(), trouble.kind))

    async def trouble_all(self, trouble: FaultEvent) -> None:
        if trouble.links:
            await self.trouble_links(trouble)
            return
        act: Callable[[int, FaultEvent], Awaitable[None]] = self.trouble_lists
        if trouble.kind in BACKEND_FAULTS:
            act = self.trouble_box
        elif trouble.kind in FRONT_FAULTS:
            act = self.trouble_front
        elif trouble.kind in CALL_FAULTS:
            act = self.trouble_hold
        step = trouble.over / max(1, len(trouble.of))

        async def one(place: int, subject: int) -> None:
            await asyncio.sleep(place * step)
            await act(subject, trouble)

        await asyncio.gather(*(one(place, subject) for place, subject in enumerate(trouble.of)))

    # The play

    async def watch_views(self) -> None:
        """Ask all fronts again and again what they say of their fleet."""
        while True:
            before = {front.number: front.process for front in self.fronts if front.door.open}
            asked = [self.fronts[number] for number in before]
            views = await asyncio.gather(*(front.show_fleet() for front in asked))
            still = {
                front.number: view
                for front, view in zip(asked, views)
                if front.door.open and front.process is before[front.number]
            }
            self.views.seen(self.clock(), still)
            await asyncio.sleep(LOOK)

    async def settle(self, began: float) -> None:
        """The play goes on until there is one view, or the time for it is over."""
        assert self.scenario.view
        self.views.ends.append((began, "start"))
        until = self.clock() + self.scenario.view.settles
        while self.clock() < until and not self.views.settled():
            await asyncio.sleep(LOOK / 2)

    async def run(self) -> RunReport:
        scenario = self.scenario
        if self.relay:
            await self.relay.start()
            self.held.append(hold_port())
            self.ops_port = int(self.held[-1].getsockname()[1])
        for cell in range(scenario.boxes):
            self.boxes.append(await self.add_box(cell, f"s-{cell:03d}", None, scenario.seed + cell))
        for number in range(scenario.fronts):
            self.agents.append(await self.add_agent(number))
            home = self.folder / f"n{number}"
            home.mkdir()
            held = hold_port()
            self.held.append(held)
            self.fronts.append(FrontProcess(number, home, int(held.getsockname()[1]), self))
            self.fronts[-1].write()
        try:
            await asyncio.gather(*(front.start() for front in self.fronts))
            clients = TestClients(scenario, self.judge, [front.door for front in self.fronts], self.clock)
            clients.cells = self.cells
            began = self.report.began = self.clock()
            watcher = asyncio.create_task(self.watch_views()) if self.relay else None
            await asyncio.gather(clients.run(), *(self.trouble(one) for one in scenario.troubles))
            if watcher:
                await self.settle(began)
                watcher.cancel()
            await asyncio.gather(*(front.leave() for front in self.fronts))
        finally:
            for front in self.fronts:
                if front.process and front.process.returncode is None:
                    front.asked = True
                    front.process.kill()
                    await front.process.wait()
            for peer in (*self.boxes, *self.retired, *self.agents):
                peer.stop()
            for held in self.held:
                held.close()
            if self.relay:
                self.relay.stop()
        return self.sum_up(clients)

    def sum_up(self, clients: TestClients) -> RunReport:
        report, asked = self.report, self.judge.asked
        report.wishes = clients.wishes
        report.requests = len(asked)
        for one in asked.values():
            name = "unsent" if one.excused else "none" if one.status is None else str(one.status)
            report.answers[name] += 1
        there = report.requests - report.answers["unsent"]
        report.served = report.answers["200"] / max(1, there)
        report.attempts = sum(len(one.attempts) for one in asked.values())
        report.executions = sum(made.ran for one in asked.values() for made in one.attempts)
        report.most_runs_of_a_write = max(
            (sum(made.ran for made in one.attempts) for one in asked.values() if one.kind.write), default=0
        )
        report.probes = self.judge.probes
        for box in (*self.boxes, *self.retired):
            report.fates.update(box.fates)
        report.most_cold = self.judge.most_cold(self.scenario.power.tip_after)
        report.broken = self.judge.broken(self.scenario.power.tip_after)
        if self.scenario.view:
            report.views = self.views.took()
            report.broken += self.views.broken(self.scenario.view.settles)
        return report


async def run_scenario(scenario: Scenario, program: Path = ROOT) -> RunReport:
    """Play a scenario from its start to the exit of every front. ``program``: the folder of their package."""
    with tempfile.TemporaryDirectory() as folder:
        return await ScenarioRun(scenario, Path(folder), program).run()
