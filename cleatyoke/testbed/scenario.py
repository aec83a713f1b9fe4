"""The description of a scenario: the fleet, its load and its faults.

``scenario_file`` reads it from a TOML file and maps the file's keys to these fields; ``front_settings``
builds the settings with which the fronts are started.
"""

from __future__ import annotations

from dataclasses import dataclass

from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope

# Kinds of faults, as named in scenario files, by what they affect.
BACKEND_FAULTS = ("replace", "drain", "restart", "silence", "stall", "reset", "lose_answers", "spoil", "slow")
FRONT_FAULTS = ("roll", "kill", "reload", "pause", "powercut")
LIST_FAULTS = ("late_lists", "garble_lists", "empty_lists", "silent_lists")
LINK_FAULTS = ("links",)
CALL_FAULTS = ("hold",)
MAX_GRACEFUL_DEADLINE_S = (
    3.0  # longest_deadline request deadline that a front is given time for after SIGTERM
)
KILL_DELAY_S = 0.7  # from that deadline to SIGKILL


@dataclass(slots=True, frozen=True)
class LoadProfile:
    """The requests that clients send; shares are from 0 to 1."""

    rate: float  # requests a second over all fronts
    writes: float  # share of writes among the requests
    volumes: int  # assigned to plans, backends and fronts in rotation
    fronts_per_volume: int  # number of fronts that receive the requests of one volume
    hot_share: float  # of the requests that are for volume 0, whose plan has a rate limit
    min_units: int  # of a request
    max_units: int  # of a request
    new_object_share: float  # of the writes that create an object, which any backend may store
    reread_share: float  # of the reads that are for a recently created object
    skew_share: float  # of the requests for volume 0 that are sent to a single front
    skew_period: float  # seconds after which that front changes
    surge_at: float  # seconds after the start of the load
    surge_duration: float  # seconds
    surge_factor: float  # by which the rate is multiplied during the surge
    retries: int  # by a client whose request was rejected, or whose front was not running
    retry_delay: float  # seconds before each retry, or longer if Retry-After says so


@dataclass(slots=True, frozen=True)
class RequestClassTerms:
    """A request class, as used in the fronts' settings and by the checker."""

    name: str
    share: float  # weight among the requests of all classes
    latency_objective: float  # seconds
    deadline: float  # seconds for which clients wait
    value: float  # of a request that meets its latency objective
    late_value_share: float  # of the value, after the objective and before the deadline
    idempotency: Idempotency
    scope: IdempotencyScope  # which backends drop a duplicate, by its idempotency key
    key_memory: float  # seconds for which they remember the key
    write: bool


@dataclass(slots=True, frozen=True)
class PlanTerms:
    """A plan of volumes; rates are in units a second over all fronts."""

    name: str
    rate: float
    reserve: float
    weight: float
    value_factor: float  # multiplies the value of its requests
    limit: float  # 0: none
    burst: float  # units; size of the rate limit's token bucket
    slack: float  # units by which the bucket may be overdrawn


@dataclass(slots=True, frozen=True)
class DeploymentTerms:
    """The deployment-wide settings."""

    max_attempts: int  # of a request
    drain_grace: float  # seconds after which no attempt may reach a draining or deleted backend
    cancel: bool
    load_report: str  # how backends report their load: answers, probe or none
    probes: bool
    dial_timeout: float  # seconds for a connection to be established
    idle_timeout: float  # seconds after which a backend closes an idle connection
    max_retry_after: float  # seconds; 0: Retry-After is not sent


@dataclass(slots=True, frozen=True)
class BackendCapacity:
    """The capacity of a backend."""

    units_per_second: float  # when warmed up
    max_queue: int  # waiting requests
    initial_share: float  # of its full rate, right after its start
    ramp_duration: float  # seconds until it is warmed up
    overload_factor: float  # of its rate at the time, that it can take while warming up,
    overload_window: float  # within a window of this many seconds


@dataclass(slots=True, frozen=True)
class LinkFault:
    """Faults of the messages between fronts: shares from 0 to 1, times in seconds."""

    to: list[int]  # numbers of the fronts at the other end
    one_way: bool
    cut: bool
    loss: float
    duplicates: float
    corruption: float
    delay: float
    jitter: float


@dataclass(slots=True, frozen=True)
class ViewTerms:
    """Fronts that keep a membership view of one another."""

    probe_period: float  # seconds; the other intervals are multiples of it
    convergence_timeout: float  # seconds after the last fault until all views agree
    seeds: list[int]
    shares_limits: bool  # they lease parts of rate limits to one another
    shares_warm_up: bool  # they lease parts of the capacity of warming backends to one another
    durable: bool  # each front has a folder that survives a loss of power


@dataclass(slots=True, frozen=True)
class FaultEvent:
    """One fault of a scenario."""

    at: float  # seconds after the start of the load
    kind: str
    targets: list[int]  # numbers of backends, or of fronts
    spread: float  # seconds over which its starts at the targets are distributed
    duration: float  # seconds at each target
    share: float  # of requests; of its rate that a slow backend retains; for late_lists: delay in seconds
    held_backend: int = 0  # of "hold"
    links: LinkFault | None = None  # of "links"


@dataclass(slots=True, frozen=True)
class Scenario:
    """One valid scenario; ``scenario_file`` reads it."""

    name: str
    seconds: float
    seed: int
    fronts: int
    backends: int
    zones: list[str]
    request_classes: list[RequestClassTerms]
    plans: list[PlanTerms]  # assigned to the volumes in rotation, by their numbers
    terms: DeploymentTerms
    load: LoadProfile
    backend_capacity: BackendCapacity
    faults: list[FaultEvent]
    view: ViewTerms | None = None

    def zone_of(self, backend: int) -> str:
        """Return the zone of a backend by its number."""
        return self.zones[backend % len(self.zones)]

    def plan_of(self, volume: int) -> PlanTerms:
        """Return the plan of a volume by its number."""
        return self.plans[volume % len(self.plans)]

    def termination_timeout(self) -> float:
        """Return the seconds from SIGTERM to SIGKILL (protocol page, Figures: a planned restart)."""
        longest_deadline = max(request_class.deadline for request_class in self.request_classes)
        return min(MAX_GRACEFUL_DEADLINE_S, longest_deadline) + KILL_DELAY_S
