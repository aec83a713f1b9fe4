"""Injects the faults of a scenario at their scheduled times."""

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

DOWN_S = 0.3  # from a front's exit to its next start
REPLACED_DRAIN_S = 1.5  # during which a replaced backend is listed as draining
REPLACEMENT_SEED_OFFSET = 1000  # added to the model seed of the replaced backend
INCARNATION_FAULTS = ("replace", "drain", "restart", "silence", "stall")
LIST_FAULT_MODES = {"garble_lists": "garble", "empty_lists": "empty", "silent_lists": "silent"}


class FaultInjector:
    """Injects the faults of one run.

    A lock per backend and per front serialises the faults that stop or suspend a process: a process that is
    being restarted cannot be restarted again.
    """

    def __init__(self, run: ScenarioRun) -> None:
        self.run = run
        self._backend_locks: defaultdict[int, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._front_locks: defaultdict[int, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def inject(self, fault: FaultEvent) -> None:
        """Wait for the fault's time, inject it and return once it is over."""
        await asyncio.sleep(fault.at)
        await self._inject_at_targets(fault)
        if fault.kind in (*FRONT_FAULTS, *LINK_FAULTS):
            self.run.view_checker.fault_ends.append((self.run.clock(), fault.kind))

    async def _inject_at_targets(self, fault: FaultEvent) -> None:
        """Start at one target after another over the fault's spread; the faults run concurrently."""
        if fault.links:
            await self._inject_link_fault(fault)
            return
        inject_one = self._handler(fault.kind)
        step = fault.spread / max(1, len(fault.targets))

        async def inject_later(index: int, target: int) -> None:
            await asyncio.sleep(index * step)
            await inject_one(target, fault)

        await asyncio.gather(*(inject_later(index, target) for index, target in enumerate(fault.targets)))

    def _handler(self, kind: str) -> Callable[[int, FaultEvent], Awaitable[None]]:
        if kind in BACKEND_FAULTS:
            return self._inject_backend_fault
        if kind in FRONT_FAULTS:
            return self._inject_front_fault
        if kind in CALL_FAULTS:
            return self._inject_hold
        return self._inject_list_fault

    async def _inject_backend_fault(self, shard: int, fault: FaultEvent) -> None:
        if fault.kind in INCARNATION_FAULTS:
            async with self._backend_locks[shard]:
                await self._inject_incarnation_fault(shard, fault)
            return
        model = self.run.backends[shard].model
        model.faults[fault.kind] = fault.share
        await asyncio.sleep(fault.duration)
        model.faults.pop(fault.kind, None)

    async def _inject_incarnation_fault(self, shard: int, fault: FaultEvent) -> None:
        run = self.run
        backend = run.backends[shard]
        match fault.kind:
            case "replace":
                await self._replace_backend(shard)
            case "drain":  # without a replacement
                await run.list_backend(backend, "DRAINING")
                await asyncio.sleep(fault.duration)
                await run.list_backend(backend)
            case "restart":  # the backend returns under its id and warms up
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
        """A backend with a new id takes over the shard and warms up; the old one is drained and deleted."""
        run = self.run
        backend = run.backends[shard]
        await run.list_backend(backend, "DRAINING")
        seed = run.scenario.seed + shard + REPLACEMENT_SEED_OFFSET
        run.backends[shard] = await run.add_backend(shard, f"{backend.name}+", run.clock(), seed)
        await asyncio.sleep(REPLACED_DRAIN_S)
        await run.list_backend(backend, "DELETED")
        await asyncio.sleep(max(request_class.deadline for request_class in run.scenario.request_classes))
        backend.stop()
        run.retired_backends.append(backend)

    async def _inject_front_fault(self, number: int, fault: FaultEvent) -> None:
        async with self._front_locks[number]:
            await self._inject_process_fault(number, fault)

    async def _inject_process_fault(self, number: int, fault: FaultEvent) -> None:
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
                    front.erase_volatile_files()
                await asyncio.sleep(fault.duration)
                front.write_config()
                await front.start()
            case "reload":
                await self._move_discovery(number, fault.duration)

    async def _move_discovery(self, number: int, seconds: float) -> None:
        """Reload the front with a new discovery agent, and stop the old one after ``seconds``."""
        front = self.run.fronts[number]
        old_agent = self.run.agents[number]
        self.run.agents[number] = await self.run.add_agent(number)
        front.write_config()
        front.reload()
        await asyncio.sleep(seconds)
        old_agent.stop()

    async def _inject_list_fault(self, number: int, fault: FaultEvent) -> None:
        agent = self.run.agents[number]
        if fault.kind == "late_lists":
            agent.delay = fault.share
        else:
            agent.fault = LIST_FAULT_MODES[fault.kind]
        await asyncio.sleep(fault.duration)
        agent.delay = 0.0
        agent.fault = ""

    async def _inject_link_fault(self, event: FaultEvent) -> None:
        assert self.run.relay
        assert event.links
        links = event.links
        network = self.run.relay.network
        sources = frozenset(map(str, event.targets))
        destinations = frozenset(map(str, links.to))
        directions = (
            [(sources, destinations)] if links.one_way else [(sources, destinations), (destinations, sources)]
        )
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
            for source, target in directions
        ]
        network.faults += faults
        await asyncio.sleep(event.duration)
        for fault in faults:
            network.faults.remove(fault)

    async def _inject_hold(self, number: int, fault: FaultEvent) -> None:
        """Hold a backend by a command at one front, and release it by a command at the next front.

        The checker applies the hold to the fronts that have it according to the answer: this one, or all.
        """
        run = self.run
        backend = run.backends[fault.held_backend].name
        answer = " ".join(await run.fronts[number].send_command(f"disable-server {backend}")).split()
        at = run.clock()
        if answer[:1] != ["SUCCESS"]:
            message = f"hold: front {number} answered the command to hold {backend} with {answer}"
            run.checker.violations.append(message)
            return
        is_held_everywhere = answer[2] == answer[4]
        for front in range(run.scenario.fronts) if is_held_everywhere else [number]:
            run.checker.on_hold(front, backend, at)
        run.report.hold_answers.append(" ".join(answer))
        await asyncio.sleep(fault.duration)
        for front in range(run.scenario.fronts):
            run.checker.on_hold(front, backend, None)
        next_front = run.fronts[(number + 1) % len(run.fronts)]
        answer = " ".join(await next_front.send_command(f"enable-server {backend}")).split()
        run.report.hold_answers.append(" ".join(answer))
