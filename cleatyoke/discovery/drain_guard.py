"""Preserves reported drains while discovery migrates from one agent to another. No clock and no I/O."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, replace
from typing import NamedTuple

from cleatyoke.discovery.directory import EndpointList, Instance
from cleatyoke.scheduling.events import EndpointState


class NodeRun(NamedTuple):
    """One run of a node's process; a restart begins another one."""

    name: str
    started_at: float


@dataclass(slots=True, frozen=True)
class ReportedDrain:
    """The report by an agent that a node is draining or removed, with its loop time."""

    reported_at: float
    agent: Hashable


@dataclass(slots=True, frozen=True)
class GuardedList:
    """A list that may be applied, and the original entries that were replaced in it for now."""

    endpoint_list: EndpointList
    withheld: list[Instance]


class DrainGuard:
    """Keeps a node draining that one agent reported as draining, even if another agent lists it as live.

    Without this, discovery may migrate to an agent whose list is older than the last change that the previous
    agent sent. The node would be used again, and requests would reach it after its drain counts as reported.

    A list can be outdated by ``max_reporting_delay`` seconds at most. The node is therefore kept draining for
    that long, after which the new agent's entry is applied. An agent may revoke its own report at once, and
    a restarted node is a new run, which the report does not apply to.
    """

    def __init__(self, max_reporting_delay: float) -> None:
        self.max_reporting_delay = max_reporting_delay
        self._drains: dict[NodeRun, ReportedDrain] = {}
        self._withheld: dict[
            str, Instance
        ] = {}  # by name: the entry that is overridden by another agent's report

    def filter(self, endpoint_list: EndpointList, agent: Hashable, now: float) -> GuardedList:
        """Return the list, with entries that are overridden by another agent's report replaced.

        The caller has to call ``release`` for each withheld instance after ``max_reporting_delay`` seconds.
        """
        oldest = now - self.max_reporting_delay
        self._drains = {
            node_run: drain for node_run, drain in self._drains.items() if drain.reported_at > oldest
        }
        accepted: list[Instance] = []
        withheld: list[Instance] = []
        for instance in endpoint_list.instances:
            node_run = NodeRun(instance.name, instance.started_at)
            self._withheld.pop(instance.name, None)
            drain = self._drains.get(node_run)
            if instance.state is not EndpointState.LIVE:
                self._drains[node_run] = ReportedDrain(now, agent)
                accepted.append(instance)
            elif drain is not None and drain.agent is not agent:
                self._withheld[instance.name] = instance
                withheld.append(instance)
                accepted.append(replace(instance, state=EndpointState.DRAINING))
            else:
                self._drains.pop(node_run, None)
                accepted.append(instance)
        return GuardedList(replace(endpoint_list, instances=accepted), withheld)

    def release(self, instance: Instance) -> bool:
        """Drop the report that overrides this entry. Return whether the entry may be applied.

        It may not if a later list has replaced it meanwhile.
        """
        if self._withheld.get(instance.name) is not instance:
            return False
        self._drains.pop(NodeRun(instance.name, instance.started_at), None)
        return True
