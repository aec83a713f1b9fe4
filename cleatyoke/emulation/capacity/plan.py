"""The planned size of a deployment, and the budget of a front for control duties at that size."""

from __future__ import annotations

from dataclasses import dataclass

DAY = 86_400.0  # seconds
HOUR = 3_600.0


@dataclass(slots=True, frozen=True)
class Plan:
    """Counts, rates per second unless a name says otherwise, times in seconds, sizes in bytes."""

    fronts: int = 3_100
    nodes: int = 25_000
    zones: int = 20
    regions: int = 9
    control_machines: int = 30
    connections: int = 30_000_000
    statements: float = 15e6
    primary_changes_a_day: int = 44
    primary_within: float = 20.0
    config_changes_a_day: int = 44_000
    config_within: float = 13.0
    burst_changes: int = 500  # of configuration, within ``burst_seconds``
    burst_seconds: float = 60.0
    failures_a_day: int = 100
    restarts_a_day: int = 2_400
    rack_nodes: int = 30
    core: float = 0.041  # processor seconds a second
    memory: float = 128e6
    bytes_s: float = 3_000.0

    @property
    def front_statements(self) -> float:
        return self.statements / self.fronts

    @property
    def front_connections(self) -> float:
        return self.connections / self.fronts

    @property
    def zone_nodes(self) -> float:
        return self.nodes / self.zones

    @property
    def config_rate(self) -> float:
        return self.config_changes_a_day / DAY

    @property
    def machine_rate(self) -> float:
        """Return the rate at which machines of fronts and nodes fail, are restarted or replaced."""
        return (self.failures_a_day + self.restarts_a_day) / DAY

    @property
    def node_rate(self) -> float:
        """Return the part of ``machine_rate`` that falls to nodes."""
        return self.machine_rate * self.nodes / (self.nodes + self.fronts)

    @property
    def front_restarts_a_day(self) -> float:
        return (self.failures_a_day + self.restarts_a_day) * self.fronts / (self.nodes + self.fronts)


PLAN = Plan()
