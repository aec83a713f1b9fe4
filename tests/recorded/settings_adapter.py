"""The only module of the settings recording that uses the project: reads settings into recorded words.

After a rename in the project only this module changes; the words in the recorded data stay.
"""

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
"""Programs renamed since the recording, with their recorded names, which replace them in compared texts."""

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


class InvalidSettingsError(Exception):
    """The project rejected the settings; the text is that of its own error."""


def read_deployment(environment: Mapping[str, str], fronts: Path) -> dict[str, Any]:
    """Return everything the daemon reads at startup. Raises ``InvalidSettingsError``."""
    return neutral_deployment(load(environment, fronts))


def reload_deployment(
    environment: Mapping[str, str], fronts: Path, later: Mapping[str, str], later_fronts: Path
) -> dict[str, Any]:
    """Read one environment, reload with another, and return the outcome. Raises ``InvalidSettingsError``."""
    config, new = load(environment, fronts), load(later, later_fronts)
    try:
        changes = config.reload(new)
    except ConfigError as error:
        raise InvalidSettingsError(str(error)) from error
    return {
        "discovery moved": changes.discovery_address_changed,
        "the log names as waiting for a restart": list(changes.needs_restart),
        "classes gone": None if changes.retired_classes is None else sorted(changes.retired_classes),
        "holds": neutral_deployment(config),
    }


def load(environment: Mapping[str, str], fronts: Path) -> Config:
    """Return the project's own object. Raises ``InvalidSettingsError``."""
    try:
        return read_config(environment, fronts)
    except ConfigError as error:
        raise InvalidSettingsError(str(error)) from error


def read_test_scenario(path: Path) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return a scenario and the JSON settings generated from it. Raises ``InvalidSettingsError``."""
    scenario = load_scenario(path)
    return neutral_scenario(scenario), settings_of(scenario)


def load_scenario(path: Path) -> Scenario:
    """Return the project's own object. Raises ``InvalidSettingsError``."""
    try:
        return read_scenario(path)
    except ConfigError as error:
        raise InvalidSettingsError(str(error)) from error


def number(value: float) -> float | str:
    """Return the number, or ``infinite``, as JSON has no infinity."""
    return "infinite" if math.isinf(value) else value


def neutral_address(address: Address | None) -> dict[str, Any] | None:
    """Return the host, the port and the text of an address."""
    if address is None:
        return None
    return {"machine": address.host, "port": address.port, "text": str(address)}


def neutral_deployment(config: Config) -> dict[str, Any]:
    """Return every value that was read."""
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
        "bytes for bodies": config.memory.long_bodies,
        "class changes data": config.changes_data,
        "shard count": config.shard_count,
        "zone places": config.zones,
        "connect timeout": config.connect_timeout,
        "idle timeout": config.idle_timeout,
        "drain seconds": config.drain_grace,
        "file front": neutral_sftp(config.sftp),
        "address takeover": neutral_vrrp(config.vrrp),
        "peers": neutral_fleet(config.fleet),
        "distributed settings": neutral_distribution(config.distribution),
        "metrics at": neutral_address(config.metrics_address),
        "inherited descriptor": config.accept_fd,
        "operators at": neutral_address(config.control_address),
        "shared folder": config.state_dir.as_posix(),
        "keys in the file": sorted(config.keys),
        "notice before a kill": number(config.termination_grace_period()),
    }


def neutral_policy(settings: SchedulerSettings) -> dict[str, Any]:
    """Return the scheduler's settings."""
    safety = settings.safety
    return {
        "classes": [
            {
                "target seconds": request_class.latency_objective,
                "value": request_class.priority_weight,
                "late part": request_class.late_value,
                "repetition": REPETITION[request_class.idempotency],
                "duplicates dropped": DUPLICATES_DROPPED[request_class.idempotency_scope],
                "duplicates remembered": request_class.idempotency_window,
                "in order": request_class.ordered,
            }
            for request_class in settings.classes
        ],
        "plans": [
            {
                "value factor": plan.priority_weight,
                "base units a second": plan.base_rate,
                "reserved units a second": plan.reserved_rate,
                "proportion": plan.fair_share_weight,
                "limit": plan.rate_limit,
                "limit store": plan.rate_limit_burst,
                "limit overdraft": plan.rate_limit_slack,
            }
            for plan in settings.plans
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


def neutral_sftp(front: SftpSettings | None) -> dict[str, Any] | None:
    """Return the settings of the SFTP server."""
    if front is None:
        return None
    return {
        "listens at": neutral_address(front.listen),
        "volumes": [
            {
                "path": volume.prefix,
                "id": volume.volume,
                "plan place": volume.plan,
                "shard": shard_number(volume.shard),
                "fronts": volume.front_count,
            }
            for volume in front.volumes
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


def neutral_vrrp(peers: VrrpSettings | None) -> dict[str, Any] | None:
    """Return the settings of VRRP."""
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


def neutral_fleet(peers: FleetSettings | None) -> dict[str, Any] | None:
    """Return the settings of fleet membership."""
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
    """Return the settings of the subscription to distributed configuration."""
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
    """Return every value of a scenario."""
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
                "title": request_class.name,
                "part": request_class.share,
                "target seconds": request_class.latency_objective,
                "deadline seconds": request_class.deadline,
                "value": request_class.value,
                "late part": request_class.late_value_share,
                "repetition": REPETITION[request_class.idempotency],
                "duplicates dropped": DUPLICATES_DROPPED[request_class.scope],
                "duplicates remembered": request_class.key_memory,
                "changes data": request_class.write,
            }
            for request_class in scenario.request_classes
        ],
        "plans": [
            {
                "title": plan.name,
                "base units a second": plan.rate,
                "reserved units a second": plan.reserve,
                "proportion": plan.weight,
                "value factor": plan.value_factor,
                "limit": plan.limit,
                "limit store": plan.burst,
                "limit overdraft": plan.slack,
            }
            for plan in scenario.plans
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
                "begins": fault.at,
                "sort": fault.kind,
                "numbers": fault.targets,
                "spread seconds": fault.spread,
                "duration": fault.duration,
                "part": fault.share,
                "node": fault.held_backend,
                "links": None
                if fault.links is None
                else {
                    "towards": fault.links.to,
                    "one direction": fault.links.one_way,
                    "broken": fault.links.cut,
                    "lost part": fault.links.loss,
                    "doubled part": fault.links.duplicates,
                    "garbled part": fault.links.corruption,
                    "delay seconds": fault.links.delay,
                    "jitter seconds": fault.links.jitter,
                },
            }
            for fault in scenario.faults
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
