"""The one place where the settings' tests touch the project: reading, in neutral words, and its commands."""

from __future__ import annotations

import math
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope, SchedulerSettings
from cleatyoke.config.addresses import Address
from cleatyoke.config.deployment import Config, read_config
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import (
    DistributionSettings,
    FRONTS_FILE,
    FleetSettings,
    SftpSettings,
    VrrpSettings,
)
from cleatyoke.testbed.front_settings import settings_of
from cleatyoke.testbed.scenario import Scenario
from cleatyoke.testbed.scenario_file import read_scenario

SHIPPED_FRONTS = FRONTS_FILE
MODULES = {
    "daemon": "cleatyoke",
    "test fleet": "cleatyoke.testbed",
    "distribution": "cleatyoke.distribution",
}
RECORDED_PROGRAMS = {"python -m cleatyoke.testbed": "python -m cleatyoke.standin"}
"""Programs renamed since the recording, as the changelog says; all their other texts are compared."""

REPETITION = {
    Idempotency.IDEMPOTENT: "repeatable",
    Idempotency.KEYED: "by key",
    Idempotency.NOT_IDEMPOTENT: "only once",
}
DUPLICATES_DROPPED = {
    IdempotencyScope.ALL: "everywhere",
    IdempotencyScope.ZONE: "in the zone",
    IdempotencyScope.SHARD: "in the cell",
}


def shard_number(shard: int | None) -> int:
    """Return the recording's number of a shard, where -1 is none."""
    return -1 if shard is None else shard


class Refused(Exception):
    """The settings cannot be used; the text is the project's own."""


def read_deployment(environment: Mapping[str, str], fronts: Path) -> dict[str, Any]:
    """All that the daemon reads at its start, in neutral words. Raises ``Refused``."""
    return neutral_deployment(load(environment, fronts))


def reload_deployment(
    environment: Mapping[str, str], fronts: Path, later: Mapping[str, str], later_fronts: Path
) -> dict[str, Any]:
    """Read one environment, reload with another: what was taken, and what holds. Raises ``Refused``."""
    config, new = load(environment, fronts), load(later, later_fronts)
    try:
        taken = config.reload(new)
    except ConfigError as error:
        raise Refused(str(error)) from error
    return {
        "discovery moved": taken.discovery_address_changed,
        "the log names as waiting for a restart": list(taken.needs_restart),
        "classes gone": None if taken.retired_classes is None else sorted(taken.retired_classes),
        "holds": neutral_deployment(config),
    }


def load(environment: Mapping[str, str], fronts: Path) -> Config:
    """The project's own object. Raises ``Refused``."""
    try:
        return read_config(environment, fronts)
    except ConfigError as error:
        raise Refused(str(error)) from error


def read_test_scenario(path: Path) -> tuple[dict[str, Any], dict[str, Any]]:
    """A scenario file in neutral words, and the JSON settings it gives its fronts. Raises ``Refused``."""
    scenario = load_scenario(path)
    return neutral_scenario(scenario), settings_of(scenario)


def load_scenario(path: Path) -> Scenario:
    """The project's own object. Raises ``Refused``."""
    try:
        return read_scenario(path)
    except ConfigError as error:
        raise Refused(str(error)) from error


def number(value: float) -> float | str:
    """Infinity has no place in JSON."""
    return "infinite" if math.isinf(value) else value


def neutral_address(address: Address | None) -> dict[str, Any] | None:
    """A host and a port, and the text of both."""
    if address is None:
        return None
    return {"machine": address.host, "port": address.port, "text": str(address)}


def neutral_deployment(config: Config) -> dict[str, Any]:
    """Each fact that was read."""
    return {
        "front name": config.name,
        "listens at": neutral_address(config.listen),
        "discovery at": neutral_address(config.discovery),
        "discovery in the file": neutral_address(config.discovery_in_file),
        "random seed": config.seed,
        "connections": {
            "clients": config.socket_budget.clients,
            "idle clients": config.socket_budget.max_idle_clients,
            "nodes": config.socket_budget.backends,
            "file sessions": config.socket_budget.file_sessions,
        },
        "old list": config.cached_endpoints,
        "policy": neutral_policy(config.settings),
        "class places": config.classes,
        "plan places": config.plans,
        "deadline of class": [number(seconds) for seconds in config.client_timeouts],
        "bytes for bodies": config.body_memory_bytes,
        "class changes data": config.changes_data,
        "shard count": config.shard_count,
        "zone places": config.zones,
        "connect timeout": config.connect_timeout,
        "idle timeout": config.idle_timeout,
        "drain seconds": config.drain_grace,
        "file front": neutral_file_front(config.sftp),
        "address takeover": neutral_takeover(config.vrrp),
        "peers": neutral_peers(config.fleet),
        "distributed settings": neutral_distribution(config.distribution),
        "metrics at": neutral_address(config.metrics_address),
        "inherited descriptor": config.accept_fd,
        "operators at": neutral_address(config.control_address),
        "shared folder": config.state_dir.as_posix(),
        "keys in the file": sorted(config.keys),
        "notice before a kill": number(config.termination_grace_period()),
    }


def neutral_policy(settings: SchedulerSettings) -> dict[str, Any]:
    """The settings of the decisions."""
    safety = settings.safety
    return {
        "classes": [
            {
                "target seconds": one.latency_objective,
                "value": one.priority_weight,
                "late part": one.late_value,
                "repetition": REPETITION[one.idempotency],
                "duplicates dropped": DUPLICATES_DROPPED[one.idempotency_scope],
                "duplicates remembered": one.idempotency_window,
                "in order": one.ordered,
            }
            for one in settings.classes
        ],
        "plans": [
            {
                "value factor": one.priority_weight,
                "base units a second": one.base_rate,
                "reserved units a second": one.reserved_rate,
                "proportion": one.fair_share_weight,
                "limit": one.rate_limit,
                "limit store": one.rate_limit_burst,
                "limit overdraft": one.rate_limit_slack,
            }
            for one in settings.plans
        ],
        "cold part": safety.slow_start_initial_fraction,
        "warming seconds": safety.slow_start_duration,
        "overload multiple": safety.overload_multiple,
        "overload seconds": safety.overload_after,
        "relist seconds": safety.poll_interval,
        "key pause": safety.ordering_pause,
        "free repeats": safety.retry_budget_minimum,
        "repeat ratio": safety.retry_budget_ratio,
        "repeat window": safety.retry_budget_window,
        "random seed": settings.seed,
        "front count": settings.front_count,
        "subscribes": settings.watches_endpoints,
        "most attempts": settings.max_attempts,
        "cancels": settings.can_cancel,
        "cold units": settings.slow_start_units,
        "largest units": settings.max_request_units,
        "mean units": settings.mean_request_units,
        "part within": settings.unreserved_value,
        "nodes report others": settings.reports_usage_by_others,
        "quiet since": settings.idle_since,
        "part of limits": settings.initial_quota_share,
        "taken over": settings.replaces_process,
        "retry hint seconds": settings.max_retry_after,
        "load by probes": settings.load_by_probes,
    }


def neutral_file_front(front: SftpSettings | None) -> dict[str, Any] | None:
    """The front for files."""
    if front is None:
        return None
    return {
        "listens at": neutral_address(front.listen),
        "volumes": [
            {
                "path": one.prefix,
                "id": one.volume,
                "plan place": one.plan,
                "shard": shard_number(one.shard),
                "fronts": one.front_count,
            }
            for one in front.volumes
        ],
        "class of reads": front.read_class,
        "class of writes": front.write_class,
        "node port": front.backend_port,
        "upload bytes": front.max_upload_bytes,
        "bytes of a unit": front.unit_bytes,
        "open files": front.max_open_files,
        "idle seconds": front.idle_timeout,
        "command seconds": front.command_timeout,
    }


def neutral_takeover(peers: VrrpSettings | None) -> dict[str, Any] | None:
    """The takeover of addresses."""
    if peers is None:
        return None
    return {
        "listens at": neutral_address(peers.listen),
        "peers": [neutral_address(one) for one in peers.peers],
        "router": peers.router_id,
        "priority": peers.priority,
        "interval seconds": peers.advertisement_interval,
        "takes back": peers.preempt,
        "addresses": peers.addresses,
    }


def neutral_peers(peers: FleetSettings | None) -> dict[str, Any] | None:
    """The view that fronts keep of one another."""
    if peers is None:
        return None
    return {
        "deployment": peers.deployment,
        "listens at": neutral_address(peers.listen),
        "reached at": neutral_address(peers.advertise),
        "first contacts": [neutral_address(one) for one in peers.seeds],
        "boot": peers.boot,
        "probe period": peers.timing["period"],
        "probe answer": peers.timing["answer"],
        "rumour period": peers.timing["gossip"],
        "exchange period": peers.timing["sync"],
        "period for the dead": peers.timing["departed"],
        "joining period": peers.timing["join"],
        "lends limits": peers.leases_rate_limits,
        "lends cold parts": peers.leases_slow_start,
        "lasting folder": None if peers.durable_folder is None else peers.durable_folder.as_posix(),
    }


def neutral_distribution(relays: DistributionSettings | None) -> dict[str, Any] | None:
    """Where distributed settings come from."""
    if relays is None:
        return None
    return {
        "deployment": relays.deployment,
        "own region": [neutral_address(one) for one in relays.relays],
        "other regions": [neutral_address(one) for one in relays.other_relays],
        "nodes too": relays.watches_nodes,
        "poll seconds": relays.poll_interval,
        "bytes a second": relays.max_bytes_per_second,
    }


def neutral_scenario(scenario: Scenario) -> dict[str, Any]:
    """Each fact of a scenario."""
    load, power, terms, view = scenario.load, scenario.backend_capacity, scenario.terms, scenario.view
    return {
        "title": scenario.name,
        "duration": scenario.seconds,
        "random seed": scenario.seed,
        "front count": scenario.fronts,
        "node count": scenario.backends,
        "zones": scenario.zones,
        "zone of node 3": scenario.zone_of(3),
        "plan of volume 3": scenario.plan_of(3).name if scenario.plans else None,
        "notice before a kill": scenario.termination_timeout() if scenario.request_classes else None,
        "classes": [
            {
                "title": one.name,
                "part": one.share,
                "target seconds": one.latency_objective,
                "deadline seconds": one.deadline,
                "value": one.value,
                "late part": one.late_value_share,
                "repetition": REPETITION[one.idempotency],
                "duplicates dropped": DUPLICATES_DROPPED[one.scope],
                "duplicates remembered": one.key_memory,
                "changes data": one.write,
            }
            for one in scenario.request_classes
        ],
        "plans": [
            {
                "title": one.name,
                "base units a second": one.rate,
                "reserved units a second": one.reserve,
                "proportion": one.weight,
                "value factor": one.value_factor,
                "limit": one.limit,
                "limit store": one.burst,
                "limit overdraft": one.slack,
            }
            for one in scenario.plans
        ],
        "allowed": {
            "most attempts": terms.max_attempts,
            "drain seconds": terms.drain_grace,
            "cancels": terms.cancel,
            "load report": terms.load_report,
            "probes": terms.probes,
            "connect timeout": terms.dial_timeout,
            "idle timeout": terms.idle_timeout,
            "retry hint seconds": terms.max_retry_after,
        },
        "load": {
            "requests a second": load.rate,
            "part of writes": load.writes,
            "volume count": load.volumes,
            "fronts of a volume": load.fronts_per_volume,
            "part for the first volume": load.hot_share,
            "least units": load.min_units,
            "most units": load.max_units,
            "part of new objects": load.new_object_share,
            "part read again": load.reread_share,
            "uneven part": load.skew_share,
            "uneven seconds": load.skew_period,
            "surge begins": load.surge_at,
            "surge seconds": load.surge_duration,
            "surge factor": load.surge_factor,
            "client retries": load.retries,
            "client retry seconds": load.retry_delay,
        },
        "node": {
            "units a second": power.units_per_second,
            "queue length": power.max_queue,
            "cold part": power.initial_share,
            "warming seconds": power.ramp_duration,
            "overload multiple": power.overload_factor,
            "overload seconds": power.overload_window,
        },
        "troubles": [
            {
                "begins": one.at,
                "sort": one.kind,
                "numbers": one.targets,
                "spread seconds": one.spread,
                "duration": one.duration,
                "part": one.share,
                "node": one.held_backend,
                "links": None
                if one.links is None
                else {
                    "towards": one.links.to,
                    "one direction": one.links.one_way,
                    "broken": one.links.cut,
                    "lost part": one.links.loss,
                    "doubled part": one.links.duplicates,
                    "garbled part": one.links.corruption,
                    "delay seconds": one.links.delay,
                    "jitter seconds": one.links.jitter,
                },
            }
            for one in scenario.faults
        ],
        "view": None
        if view is None
        else {
            "probe period": view.probe_period,
            "settling seconds": view.convergence_timeout,
            "first contacts": view.seeds,
            "lends limits": view.shares_limits,
            "lends cold parts": view.shares_warm_up,
            "lasting folders": view.durable,
        },
    }
