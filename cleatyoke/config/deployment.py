"""The configuration of one front, read from the environment, the JSON file and the fronts file.

Every error is a ``ConfigError`` whose message begins with the invalid key. Values are checked in a fixed
order, so that a configuration with several errors always reports the same one.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NamedTuple

from cleatyoke.config.addresses import Address, read_address
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import (
    FRONTS_FILE,
    DistributionSettings,
    FleetSettings,
    SftpSettings,
    VrrpSettings,
    read_fronts_file,
)
from cleatyoke.config.reload import (
    IndexAllocator,
    first_missing_key,
    key_paths,
    merge_changes_data,
    merge_settings,
)
from cleatyoke.config.settings import read_front_settings, read_indexes, read_settings
from cleatyoke.config.table import TableReader
from cleatyoke.limits.limit_shares import FrontLimits
from cleatyoke.limits.memory_budget import DEFAULT_PROCESS_BYTES, MEBIBYTE, MemoryBudget
from cleatyoke.limits.socket_budget import (
    DEFAULT_SOCKETS,
    RESERVED_SOCKETS,
    SocketBudget,
)
from cleatyoke.scheduling.settings import SchedulerSettings

MAX_COUNTED_CLIENT_TIMEOUT = 3.0  # seconds; longer client timeouts do not extend the grace period
GRACE_PERIOD_MARGIN = 0.7  # seconds between SIGTERM and SIGKILL beyond the longest client timeout
# Settings that take effect only after a restart. Maps the name that the log's ``next_start`` shows operators
# (docs/oncall.md) to the attribute of ``Config``, in the order in which the log lists them.
_FIXED_UNTIL_RESTART = {
    "name": "name",
    "listen": "listen",
    "accept_fd": "accept_fd",
    "ops": "control_address",
    "state_dir": "state_dir",
    "shares": "socket_budget",
    "dial_timeout": "connect_timeout",
    "idle_close": "idle_timeout",
    "sftp": "sftp",
    "vrrp": "vrrp",
    "fleet": "fleet",
    "distribution": "distribution",
    "metrics": "metrics_address",
}


@dataclass(slots=True, frozen=True)
class ReloadResult:
    """The outcome of a reload."""

    discovery_address_changed: bool  # the address of discovery was changed
    needs_restart: list[str]  # names, as logged, of changed settings that need a restart
    retired_classes: frozenset[int] | None  # indexes of removed classes; None: no reloadable setting changed


class _Reloadable(NamedTuple):
    """The scheduler-related part of ``Config``, which a reload replaces while requests are in flight."""

    settings: SchedulerSettings
    classes: dict[str, int]
    plans: dict[str, int]
    shard_count: int
    client_timeouts: list[float]
    changes_data: list[bool | None]


@dataclass(slots=True)
class Config:
    """The complete configuration of one front."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    socket_budget: SocketBudget
    cached_endpoints: Any  # the last known endpoint list in discovery's format, not decoded yet
    settings: SchedulerSettings
    classes: dict[str, int]  # index by name
    plans: dict[str, int]  # index by name
    client_timeouts: list[float]  # by class: maximum seconds that its clients wait; infinite: not stated
    memory: MemoryBudget
    memory_mb: float  # limit of the process, 0 if unknown
    changes_data: list[bool | None]  # by class, None: unknown; empty: the settings do not state it
    shard_count: int  # shards are numbered from 0; 0: the settings do not state it
    zones: dict[str, int]  # index by name
    connect_timeout: float  # seconds
    idle_timeout: float  # seconds without a request after which a connection is closed
    drain_grace: float  # seconds after a drain is reported in which requests may still be sent to the node
    discovery_in_file: Address  # the file's value, even where RELAY_DISCOVERY overrides it
    sftp: SftpSettings | None = None
    vrrp: VrrpSettings | None = None
    fleet: FleetSettings | None = None
    distribution: DistributionSettings | None = None
    metrics_address: Address | None = None  # of the listener that Prometheus scrapes
    accept_fd: int | None = None  # a listening socket inherited from the platform, instead of ``listen``
    control_address: Address | None = None  # of the operators' control listener
    state_dir: Path = Path("/tmp")  # $TMPDIR: for files shared by the old and new process of an upgrade
    # The same; None without $TMPDIR, as other fronts then use ``state_dir`` too.
    shared_folder: Path | None = None
    keys: frozenset[str] = frozenset()  # paths of all keys in the JSON file
    class_indexes: IndexAllocator | None = None  # set by the first reload that changes settings
    plan_indexes: IndexAllocator | None = None  # likewise

    def termination_grace_period(self) -> float:
        """Return the seconds between SIGTERM and SIGKILL (protocol page, Figures: a planned restart)."""
        longest = max(self.client_timeouts[index] for index in self.classes.values())
        return min(MAX_COUNTED_CLIENT_TIMEOUT, longest) + GRACE_PERIOD_MARGIN

    def front_limits(self) -> FrontLimits:
        """Return the limits that all processes of this front share."""
        return FrontLimits(
            memory=int(self.memory_mb * MEBIBYTE),
            sockets=self.socket_budget.total,
            with_file_service=self.sftp is not None,
            may_be_upgraded=self.accept_fd is not None,
        )

    def reload(self, new: Config) -> ReloadResult:
        """Apply the settings that may change at run time, or raise ``ConfigError`` and change nothing.

        These are the scheduler's settings, ``classes``, ``plans``, ``client_timeouts``, ``changes_data``,
        ``shard_count``, ``drain_grace``, and the address of discovery if it changed in the file. A changed
        address overrides RELAY_DISCOVERY, because the environment of a running process cannot be changed.
        ``cached_endpoints``, ``seed``, ``zones``, ``memory`` and ``memory_mb`` are used at startup only, and
        the log's ``next_start`` does not list them. A file that lacks a key of the previous file is rejected,
        as it may be incompletely written.
        """
        if missing_key := first_missing_key(self.keys, new.keys):
            msg = f"{missing_key}: missing, and the file had it before"
            raise ConfigError(msg)
        needs_restart = [
            logged_name
            for logged_name, attribute in _FIXED_UNTIL_RESTART.items()
            if getattr(self, attribute) != getattr(new, attribute)
        ]
        self.keys = new.keys
        retired_classes = self._apply_settings(new)
        discovery_address_changed = new.discovery_in_file != self.discovery_in_file
        self.discovery_in_file = new.discovery_in_file
        self.drain_grace = new.drain_grace
        if discovery_address_changed:
            self.discovery = new.discovery_in_file
        return ReloadResult(discovery_address_changed, needs_restart, retired_classes)

    def _apply_settings(self, new: Config) -> frozenset[int] | None:
        """Apply the reloadable settings; return the indexes of removed classes, or None if nothing changed.

        A class or plan keeps its index for the lifetime of the process, as requests in flight refer to it.
        """
        class_indexes = self.class_indexes or IndexAllocator.for_names(list(self.classes))
        class_indexes = class_indexes.with_names(list(new.classes))
        plan_indexes = self.plan_indexes or IndexAllocator.for_names(list(self.plans))
        plan_indexes = plan_indexes.with_names(list(new.plans))
        merged = _Reloadable(
            settings=merge_settings(self.settings, new.settings, class_indexes, plan_indexes),
            classes=class_indexes.indexes,
            plans=plan_indexes.indexes,
            shard_count=new.shard_count,
            client_timeouts=class_indexes.arrange(self.client_timeouts, new.client_timeouts),
            changes_data=merge_changes_data(self.changes_data, self.classes, class_indexes, new.changes_data),
        )
        if merged == self._reloadable():
            return None
        self.class_indexes = class_indexes
        self.plan_indexes = plan_indexes
        for attribute, value in merged._asdict().items():
            setattr(self, attribute, value)
        return class_indexes.retired_indexes()

    def _reloadable(self) -> _Reloadable:
        return _Reloadable(
            settings=self.settings,
            classes=self.classes,
            plans=self.plans,
            shard_count=self.shard_count,
            client_timeouts=self.client_timeouts,
            changes_data=self.changes_data,
        )


def use_file_settings(settings: Any) -> Any:
    """Return the file's settings unchanged."""
    return settings


def read_config(
    environment: Mapping[str, str],
    fronts_file: Path = FRONTS_FILE,
    override_settings: Callable[[Any], Any] = use_file_settings,
    process_bytes: int | None = None,
) -> Config:
    """Read the whole configuration. Raises ``ConfigError``.

    RELAY_* environment variables override the corresponding keys of the JSON file that RELAY_CONFIG names.
    ``override_settings`` maps the file's settings to those in force, which may be distributed ones.
    ``process_bytes``: the memory that the process takes before it serves, None if it is not known.
    """
    values = _read_json_file(environment.get("RELAY_CONFIG", ""))
    values = {**values, "settings": override_settings(values.get("settings"))}
    root = TableReader(values, "")
    seed = _read_seed(root)
    settings_table = root.table("settings")
    class_and_plan_indexes = read_indexes(settings_table)
    fronts = read_fronts_file(fronts_file, class_and_plan_indexes.classes, class_and_plan_indexes.plans)
    sockets = root.table("limits", {}).integer("sockets", 2 * RESERVED_SOCKETS, 1 << 20, DEFAULT_SOCKETS)
    name = environment.get("RELAY_NAME") or root.text("name")
    listen = _read_address(root, environment, "RELAY_LISTEN", "listen")
    discovery = _read_address(root, environment, "RELAY_DISCOVERY", "discovery")
    # Without an address in the file, use one that no file can contain, so that a later one counts as changed.
    discovery_in_file = root.address("discovery") if "discovery" in values else Address("", 0)
    cached_endpoints = root.get("known", {})  # {}: no cached list
    scheduler_settings = read_settings(settings_table.values, seed)
    socket_budget = SocketBudget.divide(sockets, fronts.sftp is not None)
    memory_mb = root.table("limits", {}).number("memory_mb", 0.0)
    front_settings = read_front_settings(settings_table)
    memory = MemoryBudget.divide(
        memory_mb,
        socket_budget.clients,
        socket_budget.file_sessions,
        process_bytes or DEFAULT_PROCESS_BYTES,
    )
    return Config(
        name=name,
        listen=listen,
        discovery=discovery,
        discovery_in_file=discovery_in_file,
        seed=seed,
        socket_budget=socket_budget,
        cached_endpoints=cached_endpoints,
        settings=replace(scheduler_settings, max_volumes=memory.volumes),
        classes=class_and_plan_indexes.classes,
        plans=class_and_plan_indexes.plans,
        client_timeouts=front_settings.client_timeouts,
        memory=memory,
        memory_mb=memory_mb,
        changes_data=front_settings.changes_data,
        shard_count=front_settings.shard_count,
        zones=front_settings.zones,
        connect_timeout=front_settings.connect_timeout,
        idle_timeout=front_settings.idle_timeout,
        drain_grace=front_settings.drain_grace,
        sftp=fronts.sftp,
        vrrp=fronts.vrrp,
        fleet=fronts.fleet,
        distribution=fronts.distribution,
        metrics_address=fronts.metrics,
        accept_fd=_read_descriptor(environment.get("RELAY_ACCEPT_FD")),
        control_address=_read_control_address(root, environment),
        state_dir=Path(environment.get("TMPDIR") or "/tmp"),
        shared_folder=Path(environment["TMPDIR"]) if environment.get("TMPDIR") else None,
        keys=key_paths({key: value for key, value in values.items() if key not in ("known", "seed")}),
    )


def _read_json_file(path: str) -> dict[str, Any]:
    if not path:
        msg = "RELAY_CONFIG: missing"
        raise ConfigError(msg)
    try:
        values = json.loads(Path(path).read_bytes())
    except OSError as error:
        msg = f"RELAY_CONFIG: cannot read {path}: {error.strerror}"
        raise ConfigError(msg) from error
    except (ValueError, RecursionError) as error:
        msg = f"RELAY_CONFIG: {path} is no JSON: {error}"
        raise ConfigError(msg) from error
    if not isinstance(values, dict):
        msg = f"RELAY_CONFIG: {path} holds no object"
        raise ConfigError(msg)
    return values


def _read_seed(root: TableReader) -> int:
    text = root.text("seed", "0")
    try:
        return int(text, 16)
    except ValueError as error:
        msg = f"seed: want hex digits, found {text!r}"
        raise ConfigError(msg) from error


def _read_address(root: TableReader, environment: Mapping[str, str], variable: str, key: str) -> Address:
    if text := environment.get(variable):
        return read_address(text, variable)
    return root.address(key)


def _read_control_address(root: TableReader, environment: Mapping[str, str]) -> Address | None:
    if environment.get("RELAY_OPS") or "ops" in root.values:
        return _read_address(root, environment, "RELAY_OPS", "ops")
    return None


def _read_descriptor(text: str | None) -> int | None:
    if text is None or text == "":
        return None
    if not text.isascii() or not text.isdecimal() or not 0 <= int(text) < 1 << 20:
        msg = f"RELAY_ACCEPT_FD: want a descriptor number, found {text!r}"
        raise ConfigError(msg)
    return int(text)
