"""Keeps the directory and the scheduler up to date by watching one or more discovery agents."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Collection
from dataclasses import replace

from cleatyoke.config.addresses import Address
from cleatyoke.discovery.directory import Directory, EndpointList, Instance
from cleatyoke.discovery.drain_guard import DrainGuard
from cleatyoke.discovery.listings import MAX_NODES_PER_TURN
from cleatyoke.discovery.schedule import MAX_REPORTING_DELAY, poll_interval
from cleatyoke.discovery.watch import Watch
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import EndpointState, EndpointUpdate, SchedulerEvent, UpdateKind

RETIRED_WATCH_LINGER = 0.25  # seconds for reading data that an agent sent before a migration


class Discovery:
    """Owns the watches: one, or two and more during a migration to another agent.

    ``notify`` receives each update for the scheduler, in the same event loop iteration in which the directory
    changes. ``fronts``: number of fronts that use the same service, 0 or less if unknown.
    ``dedicated_agent``: the agent serves this front alone, so calls cost nothing, and a change that the agent
    has counts as reported immediately; otherwise calls load a service that all fronts share. ``drain_grace``:
    seconds after a reported drain in which requests may still be sent to the node. ``first_answer`` is set
    once anything has been received from an agent.
    """

    def __init__(  # noqa: PLR0913 (dependencies, and keyword-only options)
        self,
        address: Address,
        directory: Directory,
        notify: Callable[[SchedulerEvent], None],
        fronts: int = 1,
        seed: int = 0,
        faults: Faults | None = None,
        *,
        dedicated_agent: bool = False,
        drain_grace: float = 1.0,
    ) -> None:
        self.address = address
        self.directory = directory
        self.notify = notify
        self.fronts = fronts if fronts > 0 else math.inf
        self.rng = random.Random(seed)
        self.faults = faults or Faults(Metrics())
        self.dedicated_agent = dedicated_agent
        self.poll_interval = poll_interval(drain_grace)
        self.first_answer = asyncio.Event()
        self.watches: list[Watch] = []  # the last one is for ``address``
        self.retired: set[Watch] = set()  # replaced watches whose remaining data is still read
        self.guard = DrainGuard(MAX_REPORTING_DELAY)

    def start(self) -> None:
        """Start the watch, from the version of a cached list if one was applied: it is this agent's."""
        self.watches.append(Watch(self, self.address, self.directory.version))

    def stop(self) -> None:
        """Stop all watches."""
        for watch in [*self.watches, *self.retired]:
            watch.task.cancel()

    def set_drain_grace(self, drain_grace: float) -> None:
        """Update the poll interval for an unresponsive dedicated agent, after a reload of the settings."""
        self.poll_interval = poll_interval(drain_grace)

    def migrate(self, address: Address) -> None:
        """Start to watch another agent.

        The new watch requests the complete list first, as versions are specific to an agent. The old watch
        continues until that list has been applied, so no change is missed, even if the new agent does not
        answer.
        """
        self.address = address
        self.watches.append(Watch(self, address, None))

    # Called by watches

    def is_retired(self, watch: Watch) -> bool:
        """Whether this watch was replaced by one on a newer agent."""
        return watch in self.retired

    def complete_list_applied(self, watch: Watch) -> None:
        """Retire the watches older than this one, as this one's complete list has been applied.

        Data that older agents have already sent is still read, but only drains and removals are applied.
        """
        while self.watches and self.watches[0] is not watch:
            old = self.watches.pop(0)
            self.retired.add(old)
            asyncio.get_running_loop().call_later(RETIRED_WATCH_LINGER, self.end_retired, old)

    def end_retired(self, watch: Watch) -> None:
        """Stop a retired watch."""
        self.retired.discard(watch)
        watch.task.cancel()

    def apply(
        self, endpoint_list: EndpointList, kind: UpdateKind | None = None, watch: Watch | None = None
    ) -> None:
        """Apply a list to the directory and notify the scheduler, in one event loop iteration.

        ``kind``: by default a snapshot for a complete list, else a delta. ``watch``: the one that received
        the list; None if it is not from an agent, and is applied without reconciliation.
        """
        if watch:
            endpoint_list = self._reconcile(endpoint_list, watch)
        if kind is None:
            kind = UpdateKind.SNAPSHOT if endpoint_list.is_complete else UpdateKind.DELTA
        self.notify(EndpointUpdate(kind, self.directory.apply(endpoint_list)))

    async def apply_in_parts(self, endpoint_list: EndpointList, watch: Watch) -> None:
        """Apply a long list in parts, between which the event loop runs; empties ``endpoint_list``.

        Applied at once, a list of 25,000 nodes would block the event loop for longer than clients may wait.

        Draining and removed nodes are applied first, all in one iteration, so that no drain is delayed by the
        length of the list. Unchanged nodes are skipped. The directory gets the new version only when the
        whole list is applied. If a newer agent's complete list is applied meanwhile, the rest of this one is
        discarded.
        """
        latest = {instance.name: instance for instance in endpoint_list.instances}
        names, version = frozenset(latest), self.directory.version or 0
        endpoint_list.instances.clear()  # freed in parts, as freeing all at once would block the event loop
        await asyncio.sleep(0)
        not_live = [instance for instance in latest.values() if instance.state is not EndpointState.LIVE]
        removed = self._removed_by(endpoint_list, names, watch)
        self.apply(EndpointList(version, is_complete=False, instances=not_live + removed), None, watch)
        for instance in not_live:
            del latest[instance.name]
        while latest:
            await asyncio.sleep(0)
            if watch in self.retired:
                return
            part = [latest.popitem()[1] for _ in range(min(MAX_NODES_PER_TURN, len(latest)))]
            changed = [instance for instance in part if self.directory.find(instance.name) != instance]
            if changed:
                self.apply(EndpointList(version, is_complete=False, instances=changed), None, watch)
        await asyncio.sleep(0)
        # Again, as another watch may have added nodes meanwhile.
        removed = self._removed_by(endpoint_list, names, watch)
        self.apply(EndpointList(endpoint_list.version, is_complete=False, instances=removed), None, watch)

    # Helpers

    def _removed_by(
        self, endpoint_list: EndpointList, names: Collection[str], watch: Watch
    ) -> list[Instance]:
        """Return the nodes that are missing from a complete list, in the removed state.

        Nothing follows from a node's absence from the list of a retired watch.
        """
        if not endpoint_list.is_complete or watch in self.retired:
            return []
        missing = self.directory.listed_except(names)
        return [replace(instance, state=EndpointState.REMOVED) for instance in missing]

    def _reconcile(self, endpoint_list: EndpointList, watch: Watch) -> EndpointList:
        """Return an agent's list, adjusted to what other agents have reported."""
        loop = asyncio.get_running_loop()
        if watch in self.retired:  # only drains and removals are applied
            not_live = [
                instance for instance in endpoint_list.instances if instance.state is not EndpointState.LIVE
            ]
            endpoint_list = EndpointList(self.directory.version or 0, is_complete=False, instances=not_live)
        guarded = self.guard.filter(endpoint_list, watch, loop.time())
        for instance in guarded.withheld:
            loop.call_later(self.guard.max_reporting_delay, self._release, instance, watch)
        return guarded.endpoint_list

    def _release(self, instance: Instance, watch: Watch) -> None:
        """Apply a withheld entry, unless a later list has replaced it meanwhile."""
        if self.guard.release(instance):
            self.apply(
                EndpointList(self.directory.version or 0, is_complete=False, instances=[instance]),
                None,
                watch,
            )
