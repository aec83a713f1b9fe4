"""What a scenario is: the fleet, its load and its faults.

``scenario_file`` reads one from a TOML file, whose keys it maps to the fields here; ``front_settings`` makes
the settings that its fronts are started with.
"""

from __future__ import annotations

from dataclasses import dataclass

from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope

# Kinds of fault as a scenario file names them, by what they meet.
BACKEND_FAULTS = ("replace", "drain", "restart", "silence", "stall", "reset", "lose_answers", "spoil", "slow")
FRONT_FAULTS = ("roll", "kill", "reload", "pause", "powercut")
LIST_FAULTS = ("late_lists", "garble_lists", "empty_lists", "silent_lists")
LINK_FAULTS = ("links",)
CALL_FAULTS = ("hold",)
MAX_GRACEFUL_DEADLINE_S = 3.0  # of requests that a front being terminated is given time for
KILL_DELAY_S = 0.7  # from the longest such deadline after SIGTERM to SIGKILL


@dataclass(slots=True, frozen=True)
class LoadProfile:
    """The requests that clients send; shares are from 0 to 1."""

    rate: float  # requests a second over all fronts
    writes: float  # share of the requests that are writes
    volumes: int  # assigned to plans, backends and fronts in turn
    fronts_per_volume: int  # whom the requests of a volume are sent to
    hot_share: float  # of the requests that ask for volume 0, which has a limit
    min_units: int  # of a request
    max_units: int  # of a request
    new_object_share: float  # of the writes that create an object, on any backend
    reread_share: float  # of the reads that read an object created just before
    skew_share: float  # of the requests for volume 0 that are sent to one front ...
    skew_period: float  # seconds after which it is another front
    surge_at: float  # seconds after the load begins
    surge_duration: float  # seconds
    surge_factor: float  # of the rate, meanwhile
    retries: int  # of a client that was rejected, or whose front was not running
    retry_delay: float  # seconds before each, or longer by Retry-After


@dataclass(slots=True, frozen=True)
class RequestClassTerms:
    """A class of requests, as the fronts' settings and the checker know it."""

    name: str
    share: float  # weight among the requests of all classes
    latency_objective: float  # seconds
    deadline: float  # seconds that clients wait
    value: float  # of a request that meets its latency objective
    late_value_share: float  # of the value, after the objective and before the deadline
    idempotency: Idempotency
    scope: IdempotencyScope  # which backends drop a repeat, with an idempotency key
    key_memory: float  # seconds for which they do
    write: bool


@dataclass(slots=True, frozen=True)
class PlanTerms:
    """A plan of volumes; rates are in units a second over all fronts."""

    name: str
    rate: float
    reserve: float
    weight: float
    value_factor: float  # of the value of its requests
    limit: float  # 0: none
    burst: float  # units, size of the limit's token bucket
    slack: float  # units by which the bucket may be overdrawn


@dataclass(slots=True, frozen=True)
class DeploymentTerms:
    """What the settings of the deployment allow."""

    max_attempts: int  # of a request
    drain_grace: float  # seconds after which nothing more reaches a draining or deleted backend
    cancel: bool
    load_report: str  # how backends report their load: answers, probe or none
    probes: bool
    dial_timeout: float  # seconds for a connection to be established
    idle_timeout: float  # seconds after which a backend closes an idle connection
    max_retry_after: float  # longest Retry-After, seconds; 0: none is sent


@dataclass(slots=True, frozen=True)
class BackendCapacity:
    """What a backend can do."""

    units_per_second: float  # a second, when warm
    max_queue: int  # waiting requests
    initial_share: float  # of its power at its start
    ramp_duration: float  # seconds until it is warmed up
    overload_factor: float  # of its power at the time, that it bears while warming up ...
    overload_window: float  # ... in a window of so many seconds


@dataclass(slots=True, frozen=True)
class LinkFault:
    """Faults of messages among fronts: shares from 0 to 1, times in seconds."""

    to: list[int]  # numbers of fronts
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

    probe_period: float  # seconds; the other intervals follow it
    convergence_timeout: float  # seconds after the last fault until all views agree
    seeds: list[int]
    shares_limits: bool  # lease one another parts of rate limits
    shares_warm_up: bool  # ... and of what warming backends bear
    durable: bool  # each front has a folder that outlives a loss of power


@dataclass(slots=True, frozen=True)
class FaultEvent:
    """One fault of the script."""

    at: float  # seconds after the load begins
    kind: str
    targets: list[int]  # numbers of backends, or of fronts
    spread: float  # seconds over which it reaches its targets one by one
    duration: float  # seconds for each
    share: float  # of the requests; of its power that a slow backend keeps; seconds of late_lists
    held_backend: int = 0  # of "hold"
    links: LinkFault | None = None  # of "links"


@dataclass(slots=True, frozen=True)
class Scenario:
    """One scenario, checked; ``scenario_file`` has the reader."""

    name: str
    seconds: float
    seed: int
    fronts: int
    backends: int
    zones: list[str]
    request_classes: list[RequestClassTerms]
    plans: list[PlanTerms]  # of the volumes in turn, by their numbers
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
        longest = max(request_class.deadline for request_class in self.request_classes)
        return min(MAX_GRACEFUL_DEADLINE_S, longest) + KILL_DELAY_S
