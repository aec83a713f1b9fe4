"""Keep the directory, and through it the scheduler, current by watches on one or two discovery agents."""

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

RETIRED_WATCH_LINGER = 0.25  # seconds in which data is still read that an agent had sent before a migration


class Discovery:
    """Owner of the watches: one, or during a migration to another agent two or more.

    ``notify`` is given each update for the scheduler, in the same turn of the event loop in which the
    directory changes. ``fronts``: number of fronts that use the same service, 0 or less if unknown.
    ``own_agent``: lists come from an agent that serves this front alone, so that a call costs nothing and
    what the agent has counts as reported at once; otherwise calls load a service that all fronts share.
    ``drain_grace``: seconds after a reported change in which a node may still be sent to, by the rule on
    drains. ``first_answer`` is set once anything has arrived from an agent.
    """

    def __init__(  # noqa: PLR0913 (collaborators and options of the one owner; options are keywords)
        self,
        address: Address,
        directory: Directory,
        notify: Callable[[SchedulerEvent], None],
        fronts: int = 1,
        seed: int = 0,
        faults: Faults | None = None,
        *,
        own_agent: bool = False,
        drain_grace: float = 1.0,
    ) -> None:
        self.address = address
        self.directory = directory
        self.notify = notify
        self.fronts = fronts if fronts > 0 else math.inf
        self.rng = random.Random(seed)
        self.faults = faults or Faults(Metrics())
        self.own_agent = own_agent
        self.poll_interval = poll_interval(drain_grace)
        self.first_answer = asyncio.Event()
        self.watches: list[Watch] = []  # the last one is on ``address``
        self.retired: set[Watch] = set()  # replaced watches, while what their agents have sent is still read
        self.guard = DrainGuard(MAX_REPORTING_DELAY)

    def start(self) -> None:
        """Begin to watch. If an old copy of the list was applied, it continues: versions are this agent's."""
        self.watches.append(Watch(self, self.address, self.directory.version))

    def stop(self) -> None:
        """End all watches."""
        for watch in [*self.watches, *self.retired]:
            watch.task.cancel()

    def set_drain_grace(self, drain_grace: float) -> None:
        """Change how often an own agent that does not answer is called, after a reload of the settings."""
        self.poll_interval = poll_interval(drain_grace)

    def migrate(self, address: Address) -> None:
        """Watch another agent from now on.

        The new agent's complete list comes first, as versions mean nothing to another agent. Until it has
        arrived the old watch continues: no change is missed, and an agent that doesn't answer does no harm.
        """
        self.address = address
        self.watches.append(Watch(self, address, None))

    # What watches call

    def is_retired(self, watch: Watch) -> bool:
        """Whether a newer agent's complete list has replaced this watch."""
        return watch in self.retired

    def complete_list_applied(self, watch: Watch) -> None:
        """Retire the watches that are older than this one, whose agent has sent its complete list.

        What an older agent has sent by now is still read, but only drains and removals in it count.
        """
        while self.watches and self.watches[0] is not watch:
            old = self.watches.pop(0)
            self.retired.add(old)
            asyncio.get_running_loop().call_later(RETIRED_WATCH_LINGER, self.end_retired, old)

    def end_retired(self, watch: Watch) -> None:
        """End a retired watch for good."""
        self.retired.discard(watch)
        watch.task.cancel()

    def apply(
        self, endpoint_list: EndpointList, kind: UpdateKind | None = None, watch: Watch | None = None
    ) -> None:
        """Apply a list to the directory and, in the same turn, notify the scheduler.

        ``kind``: by default a snapshot for a complete list, else a delta. ``watch``: whose agent sent the
        list; None if no agent did, and then it counts as it is.
        """
        if watch:
            endpoint_list = self._reconcile(endpoint_list, watch)
        if kind is None:
            kind = UpdateKind.SNAPSHOT if endpoint_list.is_complete else UpdateKind.DELTA
        self.notify(EndpointUpdate(kind, self.directory.apply(endpoint_list)))

    async def apply_in_parts(self, endpoint_list: EndpointList, watch: Watch) -> None:
        """Apply a long list in parts, between which the event loop runs; empties ``endpoint_list``.

        Symptom without it: a list of 25,000 nodes stops the event loop for longer than clients may wait.

        Why it holds: nodes that drain or are gone come first, all in one turn, so that no drain is delayed by
        the size of the list; nodes whose entries are unchanged are passed over. The directory has the new
        version only once the whole list is applied. If a newer agent's list arrives meanwhile, that one
        holds.
        """
        latest = {instance.name: instance for instance in endpoint_list.instances}
        names, version = frozenset(latest), self.directory.version or 0
        endpoint_list.instances.clear()  # freed in parts, as freeing them all in one turn takes long
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
        # Once more, as another watch may have listed more nodes meanwhile.
        removed = self._removed_by(endpoint_list, names, watch)
        self.apply(EndpointList(endpoint_list.version, is_complete=False, instances=removed), None, watch)

    # Helpers

    def _removed_by(
        self, endpoint_list: EndpointList, names: Collection[str], watch: Watch
    ) -> list[Instance]:
        """Return, as removed, the nodes that a complete list no longer has.

        That a retired watch's agent does not list a node proves nothing.
        """
        if not endpoint_list.is_complete or watch in self.retired:
            return []
        missing = self.directory.listed_except(names)
        return [replace(instance, state=EndpointState.REMOVED) for instance in missing]

    def _reconcile(self, endpoint_list: EndpointList, watch: Watch) -> EndpointList:
        """Return what of an agent's list may be applied beside what other agents have reported."""
        loop = asyncio.get_running_loop()
        if watch in self.retired:  # only drains and removals count
            not_live = [one for one in endpoint_list.instances if one.state is not EndpointState.LIVE]
            endpoint_list = EndpointList(self.directory.version or 0, is_complete=False, instances=not_live)
        guarded = self.guard.filter(endpoint_list, watch, loop.time())
        for instance in guarded.withheld:
            loop.call_later(self.guard.max_reporting_delay, self._release, instance, watch)
        return guarded.endpoint_list

    def _release(self, instance: Instance, watch: Watch) -> None:
        """Apply an entry that was withheld, if its agent has not said something else meanwhile."""
        if self.guard.release(instance):
            self.apply(
                EndpointList(self.directory.version or 0, is_complete=False, instances=[instance]),
                None,
                watch,
            )
