"""Retain reported drains while discovery migrates from one agent to another. No clock and no I/O."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, replace
from typing import NamedTuple

from cleatyoke.discovery.directory import EndpointList, Instance
from cleatyoke.scheduling.events import EndpointState


class NodeRun(NamedTuple):
    """One run of a node's process: a node that is started anew is another one."""

    name: str
    started_at: float


@dataclass(slots=True, frozen=True)
class ReportedDrain:
    """When an agent reported that a node drains or is gone, in loop time, and which agent did."""

    reported_at: float
    agent: Hashable


@dataclass(slots=True, frozen=True)
class GuardedList:
    """A list that may be applied, and the instances in it whose true entries are withheld for now."""

    endpoint_list: EndpointList
    withheld: list[Instance]


class DrainGuard:
    """Keep a node draining that one agent reported as such, against another agent's list.

    Symptom without it: discovery migrates to an agent whose list is older than the last change that the
    previous agent sent; the node serves again, and requests reach it after its drain counts as reported.

    Why it holds: an older list can lag by ``max_reporting_delay`` seconds at most, so a node goes on draining
    for that long, after which the new agent knows better and its own entry is released. An agent may revoke
    its own report at once, and a node that was started anew is a new run.
    """

    def __init__(self, max_reporting_delay: float) -> None:
        self.max_reporting_delay = max_reporting_delay
        self._drains: dict[NodeRun, ReportedDrain] = {}
        self._withheld: dict[str, Instance] = {}  # by name: the entry that another agent's report overrides

    def filter(self, endpoint_list: EndpointList, agent: Hashable, now: float) -> GuardedList:
        """Return the list with the entries replaced that another agent's report overrides.

        The caller calls ``release`` for each withheld instance ``max_reporting_delay`` seconds later.
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
        """Drop the report that overrides this entry; whether it may be applied.

        False if a later list has said something else of the node meanwhile.
        """
        if self._withheld.get(instance.name) is not instance:
            return False
        self._drains.pop(NodeRun(instance.name, instance.started_at), None)
        return True
