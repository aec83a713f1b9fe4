"""The fault events of a scenario, applied to an emulated deployment at their virtual times.

Kinds: ``roll``, ``kill`` and ``powercut`` end a front and start it again; ``restart``, ``replace``, ``drain``
and ``silence`` affect a backend's process; ``reset``, ``lose_answers``, ``spoil`` and ``slow`` affect a
fraction of its requests; ``links`` impairs the network among fronts. The keys are those of scenario files.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cleatyoke.config.errors import ConfigError
from cleatyoke.emulation.network import Fault
from cleatyoke.emulation.view import address_of
from cleatyoke.scheduling.events import EndpointState
from cleatyoke.testbed.scenario import FaultEvent, LinkFault

if TYPE_CHECKING:
    from cleatyoke.emulation.traffic import Emulation

DRAINING_LISTED_S = 1.5  # seconds for which a backend being replaced is listed as draining
FRONT_RESTART_S = 0.3  # seconds between the end of a front's process and its next start


class FaultInjector:
    """Applies fault events to the fronts, backends and network of one emulation."""

    def __init__(self, emulation: Emulation) -> None:
        self._emulation = emulation
        self._by_kind = {
            "roll": self._restart_front,
            "kill": self._restart_front,
            "powercut": self._restart_front,
            "restart": self._restart_backend,
            "replace": self._replace_backend,
            "silence": self._silence_backend,
            "reset": self._impair_requests,
            "lose_answers": self._impair_requests,
            "spoil": self._impair_requests,
            "slow": self._impair_requests,
            "drain": self._drain_backend,
        }

    async def inject(self, event: FaultEvent) -> None:
        """Wait until the event is due, apply it to its targets one after the other, and undo it when it ends.

        Raises ConfigError for a kind that needs real processes.
        """
        await asyncio.sleep(event.at)
        if event.links:
            await self._impair_links(event, event.links)
            return
        step = event.spread / max(1, len(event.targets))

        async def inject_one(position: int, target: int) -> None:
            await asyncio.sleep(position * step)
            await self._apply(target, event)

        await asyncio.gather(*(inject_one(position, target) for position, target in enumerate(event.targets)))

    async def _apply(self, target: int, event: FaultEvent) -> None:
        handler = self._by_kind.get(event.kind)
        if handler is None:
            msg = f"trouble.kind: {event.kind} needs real processes and can't be emulated"
            raise ConfigError(msg)
        await handler(target, event)

    async def _restart_front(self, target: int, event: FaultEvent) -> None:
        front = self._emulation.fronts[target]
        self._emulation.kill_front(front)
        await asyncio.sleep(event.duration if event.kind == "powercut" else FRONT_RESTART_S)
        await self._emulation.start_front(front)

    async def _restart_backend(self, target: int, event: FaultEvent) -> None:
        emulation = self._emulation
        backend = emulation.backends[target]
        emulation.end_backend(backend)
        await asyncio.sleep(event.duration)
        successor = emulation.begin_backend(target, backend.name, emulation.loop.time())
        emulation.backends[target] = successor
        emulation.publish(successor)

    async def _replace_backend(self, target: int, _event: FaultEvent) -> None:
        """Start a successor while the old backend drains and finishes its open requests."""
        emulation = self._emulation
        old = emulation.backends[target]
        emulation.publish(old, EndpointState.DRAINING)
        successor = emulation.begin_backend(target, f"{old.name}+", emulation.loop.time())
        emulation.backends[target] = successor
        emulation.backends.append(old)
        emulation.publish(successor)
        await asyncio.sleep(DRAINING_LISTED_S)
        emulation.publish(old, EndpointState.REMOVED)
        await asyncio.sleep(max(kind.deadline for kind in emulation.scenario.request_classes))
        old.is_up = False
        emulation.backends.remove(old)

    async def _silence_backend(self, target: int, event: FaultEvent) -> None:
        backend = self._emulation.backends[target]
        backend.is_silent = True
        await asyncio.sleep(event.duration)
        backend.is_silent = False

    async def _impair_requests(self, target: int, event: FaultEvent) -> None:
        model = self._emulation.backends[target].model
        model.faults[event.kind] = event.share
        await asyncio.sleep(event.duration)
        model.faults.pop(event.kind, None)

    async def _drain_backend(self, target: int, event: FaultEvent) -> None:
        self._emulation.publish(self._emulation.backends[target], EndpointState.DRAINING)
        await asyncio.sleep(event.duration)
        self._emulation.publish(self._emulation.backends[target])

    async def _impair_links(self, event: FaultEvent, links: LinkFault) -> None:
        near = _addresses(event.targets)
        far = _addresses(links.to)
        faults = [_network_fault(near, far, links)]
        if not links.one_way:
            faults.append(_network_fault(far, near, links))
        network = self._emulation.network
        network.faults += faults
        await asyncio.sleep(event.duration)
        for fault in faults:
            network.faults.remove(fault)


def _addresses(fronts: list[int]) -> frozenset[str]:
    return frozenset(f"{address.host}:{address.port}" for address in map(address_of, fronts))


def _network_fault(sources: frozenset[str], targets: frozenset[str], links: LinkFault) -> Fault:
    return Fault(
        sources,
        targets,
        links.cut,
        links.loss,
        links.duplicates,
        links.corruption,
        links.delay,
        links.jitter,
    )
