"""The fronts file of a deployment, ``deploy/fronts.toml``: optional features, each off unless enabled.

This module is the only place that knows the keys of that file.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from cleatyoke.config.addresses import Address, read_address
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.table import TableReader
from cleatyoke.scheduling.events import decode_shard

FRONTS_FILE = Path(__file__).resolve().parent.parent.parent / "deploy" / "fronts.toml"
MAX_WRITE_BYTES = 64 * 1024  # limit for one write of a file service client, and for the body of an upload
MAX_DEPLOYMENT_NAME = 64  # characters
DEFAULT_FLEET_TIMING = {  # seconds; the key in the file has ``_s`` appended
    "period": 0.5,  # probe interval
    "answer": 0.15,  # ack timeout
    "gossip": 0.1,  # gossip interval
    "sync": 10.0,  # anti-entropy interval
    "departed": 1.0,  # probe interval of dead members
    "join": 1.0,  # join retry
}


@dataclass(slots=True, frozen=True)
class VolumePath:
    """A path prefix of the file service, and the volume that files below it belong to."""

    prefix: str
    volume: int  # volume id
    plan: int  # index of the volume's plan
    shard: int | None  # None: for new objects, which have no shard yet
    front_count: int  # fronts that serve this volume


@dataclass(slots=True, frozen=True)
class SftpSettings:
    """Settings of the file service (SFTP)."""

    listen: Address
    volumes: list[VolumePath]  # longest prefix first
    read_class: int  # index of the class for read commands
    write_class: int
    backend_port: int  # 0: use the port from the endpoint list
    max_upload_bytes: int  # limit for one write
    unit_bytes: int  # bytes that count as one unit of work
    max_open_files: int  # per session
    idle_timeout: float  # seconds without a command after which a client's connection is closed
    command_timeout: float  # seconds for one command, as the protocol carries no deadline


@dataclass(slots=True, frozen=True)
class VrrpSettings:
    """Settings of VRRP for the addresses of the file service."""

    listen: Address
    peers: list[Address]
    router_id: int
    priority: int
    advertisement_interval: float  # seconds
    preempt: bool
    addresses: list[str]


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """Settings of the membership protocol among a deployment's fronts (``docs/fleet-view.md``)."""

    deployment: str
    listen: Address  # for datagrams and streams
    advertise: Address  # where other fronts reach this one
    seeds: list[Address]
    boot: int  # boot number of this process; 0: use the durable one, or else Unix time in ms
    timing: dict[str, float]  # seconds; same keys as ``DEFAULT_FLEET_TIMING``
    leases_rate_limits: bool = False  # quotas of rate limits are leased among the fronts
    leases_slow_start: bool = False  # the slow-start capacity of nodes is leased among the fronts
    durable_folder: Path | None = None  # for state that survives a power loss, on a persistent disk


@dataclass(slots=True, frozen=True)
class DistributionSettings:
    """Settings of the client of distributed configuration (``docs/distribution.md``)."""

    deployment: str
    relays: list[Address]  # in this front's region
    other_relays: list[Address]  # in other regions
    watches_nodes: bool  # draining and removed nodes are also learned from the relays
    poll_interval: float  # seconds between polls while nothing changes
    max_bytes_per_second: float  # limit for polls and replies together


class FrontsFile(NamedTuple):
    """The tables of the fronts file; ``None`` for one that is absent or not enabled."""

    sftp: SftpSettings | None = None
    vrrp: VrrpSettings | None = None
    metrics: Address | None = None  # address that Prometheus scrapes
    fleet: FleetSettings | None = None
    distribution: DistributionSettings | None = None


def read_fronts_file(path: Path, classes: Mapping[str, int], plans: Mapping[str, int]) -> FrontsFile:
    """Read the fronts file; a missing file enables nothing. Raises ``ConfigError``.

    ``classes`` and ``plans``: indexes by name, for the classes and plans that the file refers to.
    """
    try:
        values = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return FrontsFile()
    except (OSError, ValueError) as error:
        msg = f"{path.name}: {error}"
        raise ConfigError(msg) from error
    root = TableReader(values, f"{path.name}: ")
    fronts = FrontsFile(
        sftp=_read_sftp(root.table("sftp", {}), classes, plans),
        vrrp=_read_vrrp(root.table("vrrp", {})),
        metrics=_read_metrics(root.table("metrics", {})),
        fleet=_read_fleet(root.table("fleet", {})),
        distribution=_read_distribution(root.table("distribution", {})),
    )
    root.reject_unknown_keys()
    return fronts


def _read_deployment_name(table: TableReader) -> str:
    name = table.text("deployment")
    table.require(
        1 <= len(name) <= MAX_DEPLOYMENT_NAME, "deployment", f"want 1 to 64 letters, found {name!r}"
    )
    return name


def _read_distribution(table: TableReader) -> DistributionSettings | None:
    if not table.boolean("enabled"):
        return None
    deployment = _read_deployment_name(table)
    relays = _read_addresses(table, "relays", table.texts("relays", []))
    other_relays = _read_addresses(table, "others", table.texts("others", []))
    table.require(bool(relays), "relays", "want one at the least")
    poll_interval = table.positive("poll_s", 2.0)
    rate = table.positive("bytes_s", 2300.0)
    table.require(0.1 <= poll_interval <= 60, "poll_s", f"want 0.1 to 60 seconds, found {poll_interval:g}")
    table.require(500 <= rate <= 1e9, "bytes_s", f"want 500 to 1e9, found {rate:g}")
    settings = DistributionSettings(
        deployment=deployment,
        relays=relays,
        other_relays=other_relays,
        watches_nodes=table.boolean("nodes"),
        poll_interval=poll_interval,
        max_bytes_per_second=rate,
    )
    table.reject_unknown_keys()
    return settings


def _read_addresses(table: TableReader, key: str, texts: list[str]) -> list[Address]:
    return [read_address(text, f"{table.path}{key}") for text in texts]


def _read_fleet(table: TableReader) -> FleetSettings | None:
    if not table.boolean("enabled"):
        return None
    deployment = _read_deployment_name(table)
    listen = table.address("listen")
    seeds = table.texts("seeds")
    table.require(bool(listen.port), "listen", "want a port, as others have to find it again")
    timing = _read_fleet_timing(table)
    folder = table.text("durable", "")
    is_absolute_or_empty = not folder or Path(folder).is_absolute()
    table.require(is_absolute_or_empty, "durable", f"want an absolute path, found {folder!r}")
    settings = FleetSettings(
        deployment=deployment,
        listen=listen,
        advertise=table.address("advertise") if "advertise" in table.values else listen,
        seeds=_read_addresses(table, "seeds", seeds),
        boot=table.integer("boot", 0, (1 << 53) - 1, 0),
        timing=timing,
        leases_rate_limits=table.boolean("limits"),
        leases_slow_start=table.boolean("cold"),
        durable_folder=Path(folder) if folder else None,
    )
    table.reject_unknown_keys()
    return settings


def _read_fleet_timing(table: TableReader) -> dict[str, float]:
    timing = {}
    for name, default in DEFAULT_FLEET_TIMING.items():
        key = f"{name}_s"
        seconds = table.positive(key, default)
        table.require(0.01 <= seconds <= 3600, key, f"want 0.01 to 3600 seconds, found {seconds:g}")
        timing[name] = seconds
    for name in ("answer", "gossip"):
        is_shorter = timing[name] < timing["period"]
        table.require(is_shorter, f"{name}_s", f"want less than period_s, found {timing[name]:g}")
    return timing


def _read_metrics(table: TableReader) -> Address | None:
    if not table.boolean("enabled"):
        return None
    listen = table.address("listen")
    table.reject_unknown_keys()
    return listen


def _read_sftp(
    table: TableReader, classes: Mapping[str, int], plans: Mapping[str, int]
) -> SftpSettings | None:
    if not table.boolean("enabled"):
        return None
    volumes = [_read_volume(entry, plans) for entry in table.tables("volume")]
    settings = SftpSettings(
        listen=table.address("listen"),
        volumes=sorted(volumes, key=lambda volume: -len(volume.prefix)),
        read_class=table.one_of("read_class", classes, "tile-read"),
        write_class=table.one_of("write_class", classes, "record-write"),
        backend_port=table.integer("box_port", 0, 65535, 0),
        max_upload_bytes=table.integer("most_upload", 1, MAX_WRITE_BYTES, MAX_WRITE_BYTES),
        unit_bytes=table.integer("unit_bytes", 1, MAX_WRITE_BYTES, 8192),
        max_open_files=table.integer("most_handles", 1, 1024, 16),
        idle_timeout=table.number("idle_s", 60.0),
        command_timeout=table.number("deadline_s", 1.5),
    )
    table.reject_unknown_keys()
    return settings


def _read_volume(entry: TableReader, plans: Mapping[str, int]) -> VolumePath:
    prefix = entry.text("path")
    is_normalized = prefix.startswith("/") and prefix == "/" + prefix.strip("/")
    entry.require(is_normalized, "path", f"want an absolute path without a closing slash, found {prefix!r}")
    hex_digits = entry.text("volume")
    try:
        volume = int(hex_digits, 16)
    except ValueError as error:
        key = "volume"
        raise entry.error(key, f"want hex digits, found {hex_digits!r}") from error
    path = VolumePath(
        prefix=prefix,
        volume=volume,
        plan=entry.one_of("plan", plans),
        shard=decode_shard(entry.integer("shard", -1, 1 << 31)),  # -1 means None
        front_count=entry.integer("hosts", 1, 1 << 16, 1),
    )
    entry.reject_unknown_keys()
    return path


def _read_vrrp(table: TableReader) -> VrrpSettings | None:
    if not table.boolean("enabled"):
        return None
    peers = table.get("peers")
    addresses = table.get("addresses")
    for key, value in (("peers", peers), ("addresses", addresses)):
        is_list = isinstance(value, list) and bool(value) and all(isinstance(text, str) for text in value)
        table.require(is_list, key, "want a list of texts")
    settings = VrrpSettings(
        listen=table.address("listen"),
        peers=_read_addresses(table, "peers", peers),
        router_id=table.integer("router", 1, 255),
        priority=table.integer("priority", 1, 255, 100),
        advertisement_interval=table.integer("interval_cs", 1, 4095, 100) / 100,
        preempt=table.boolean("preempt", True),
        addresses=addresses,
    )
    table.reject_unknown_keys()
    return settings
