"""The faults of a scenario, each brought about at its time."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from cleatyoke.emulation.network import Fault
from cleatyoke.testbed.backend_model import BackendModel
from cleatyoke.testbed.scenario import BACKEND_FAULTS, CALL_FAULTS, FRONT_FAULTS, LINK_FAULTS, FaultEvent

if TYPE_CHECKING:
    from cleatyoke.testbed.runner import ScenarioRun

DOWN_S = 0.3  # between a front's exit and its next start
DRAIN_S = 1.5  # for which a backend that is replaced is listed as draining
REPLACEMENT_SEED_OFFSET = 1000  # of a replacement's model, from the backend it replaces
INCARNATION_FAULTS = ("replace", "drain", "restart", "silence", "stall")
LIST_FAULT_MODES = {"garble_lists": "garble", "empty_lists": "empty", "silent_lists": "silent"}


class FaultInjector:
    """Brings about the faults of one run.

    Faults that end or hold up a process meet each backend, and each front, one after the other: a lock each
    keeps a second one waiting, as a process that is being restarted cannot be restarted again.
    """

    def __init__(self, run: ScenarioRun) -> None:
        self.run = run
        self._backend_locks: defaultdict[int, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._front_locks: defaultdict[int, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def inject(self, fault: FaultEvent) -> None:
        """Wait for the fault's time, bring it about and return once it is over."""
        await asyncio.sleep(fault.at)
        await self._inject_everywhere(fault)
        if fault.kind in (*FRONT_FAULTS, *LINK_FAULTS):
            self.run.view_checker.ends.append((self.run.clock(), fault.kind))

    async def _inject_everywhere(self, fault: FaultEvent) -> None:
        """One by one over the fault's spread, from each target's time on side by side."""
        if fault.links:
            await self._disturb_links(fault)
            return
        inject_at = self._handler(fault.kind)
        step = fault.spread / max(1, len(fault.targets))

        async def inject_later(place: int, target: int) -> None:
            await asyncio.sleep(place * step)
            await inject_at(target, fault)

        await asyncio.gather(*(inject_later(place, target) for place, target in enumerate(fault.targets)))

    def _handler(self, kind: str) -> Callable[[int, FaultEvent], Awaitable[None]]:
        if kind in BACKEND_FAULTS:
            return self._disturb_backend
        if kind in FRONT_FAULTS:
            return self._disturb_front
        if kind in CALL_FAULTS:
            return self._hold_backend
        return self._disturb_lists

    async def _disturb_backend(self, shard: int, fault: FaultEvent) -> None:
        if fault.kind in INCARNATION_FAULTS:
            async with self._backend_locks[shard]:
                await self._disturb_incarnation(shard, fault)
            return
        model = self.run.backends[shard].model
        model.faults[fault.kind] = fault.share
        await asyncio.sleep(fault.duration)
        model.faults.pop(fault.kind, None)

    async def _disturb_incarnation(self, shard: int, fault: FaultEvent) -> None:
        run = self.run
        backend = run.backends[shard]
        match fault.kind:
            case "replace":
                await self._replace_backend(shard)
            case "drain":  # with no replacement
                await run.list_backend(backend, "DRAINING")
                await asyncio.sleep(fault.duration)
                await run.list_backend(backend)
            case "restart":  # it is back under its id, and warms up
                backend.stop()
                await asyncio.sleep(fault.duration)
                await backend.start_incarnation(
                    BackendModel(run.scenario.backend_capacity, run.clock(), backend.model.seed)
                )
                await run.list_backend(backend)
            case "silence":
                backend.set_silent(True)
                await asyncio.sleep(fault.duration)
                backend.set_silent(False)
            case "stall":
                await backend.stall(fault.duration)

    async def _replace_backend(self, shard: int) -> None:
        """Another backend with a new id takes over the shard, and warms up; the old one is drained."""
        run = self.run
        backend = run.backends[shard]
        await run.list_backend(backend, "DRAINING")
        seed = run.scenario.seed + shard + REPLACEMENT_SEED_OFFSET
        run.backends[shard] = await run.add_backend(shard, f"{backend.name}+", run.clock(), seed)
        await asyncio.sleep(DRAIN_S)
        await run.list_backend(backend, "DELETED")
        await asyncio.sleep(max(kind.deadline for kind in run.scenario.request_classes))
        backend.stop()
        run.retired_backends.append(backend)

    async def _disturb_front(self, number: int, fault: FaultEvent) -> None:
        async with self._front_locks[number]:
            await self._disturb_process(number, fault)

    async def _disturb_process(self, number: int, fault: FaultEvent) -> None:
        front = self.run.fronts[number]
        match fault.kind:
            case "roll":
                await front.shut_down()
                await asyncio.sleep(DOWN_S)
                front.write_config()
                await front.start()
            case "kill":
                await front.kill()
                await asyncio.sleep(DOWN_S)
                front.write_config()
                await front.start()
            case "pause":
                await front.pause(fault.duration)
            case "powercut":
                await front.kill()
                if self.run.scenario.view and self.run.scenario.view.durable:
                    front.erase_memory()
                await asyncio.sleep(fault.duration)
                front.write_config()
                await front.start()
            case "reload":
                await self._move_discovery(number, fault.duration)

    async def _move_discovery(self, number: int, seconds: float) -> None:
        """The front is reloaded with another agent; the old one stops so many seconds later."""
        front = self.run.fronts[number]
        old = self.run.agents[number]
        self.run.agents[number] = await self.run.add_agent(number)
        front.write_config()
        front.reload()
        await asyncio.sleep(seconds)
        old.stop()

    async def _disturb_lists(self, number: int, fault: FaultEvent) -> None:
        agent = self.run.agents[number]
        if fault.kind == "late_lists":
            agent.delay = fault.share
        else:
            agent.fault = LIST_FAULT_MODES[fault.kind]
        await asyncio.sleep(fault.duration)
        agent.delay = 0.0
        agent.fault = ""

    async def _disturb_links(self, event: FaultEvent) -> None:
        assert self.run.relay
        assert event.links
        links = event.links
        network = self.run.relay.network
        here = frozenset(map(str, event.targets))
        there = frozenset(map(str, links.to))
        ways = [(here, there)] if links.one_way else [(here, there), (there, here)]
        faults = [
            Fault(
                source,
                target,
                links.cut,
                links.loss,
                links.duplicates,
                links.corruption,
                links.delay,
                links.jitter,
            )
            for source, target in ways
        ]
        network.faults += faults
        await asyncio.sleep(event.duration)
        for fault in faults:
            network.faults.remove(fault)

    async def _hold_backend(self, number: int, fault: FaultEvent) -> None:
        """Hold a backend by a command at one front, and release it by one at the next front.

        The checker expects the hold of those fronts that have it by the command's answer: this one, or all.
        """
        run = self.run
        backend = run.backends[fault.held_backend].name
        answer = " ".join(await run.fronts[number].send_command(f"disable-server {backend}")).split()
        at = run.clock()
        if answer[:1] != ["SUCCESS"]:
            message = f"hold: front {number} was asked to hold {backend} and said {answer}"
            run.checker.violations.append(message)
            return
        is_held_everywhere = answer[2] == answer[4]
        for front in range(run.scenario.fronts) if is_held_everywhere else [number]:
            run.checker.on_hold(front, backend, at)
        run.report.hold_answers.append(" ".join(answer))
        await asyncio.sleep(fault.duration)
        for front in range(run.scenario.fronts):
            run.checker.on_hold(front, backend, None)
        other = run.fronts[(number + 1) % len(run.fronts)]
        answer = " ".join(await other.send_command(f"enable-server {backend}")).split()
        run.report.hold_answers.append(" ".join(answer))
