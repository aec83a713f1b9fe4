"""The platform's side of one front: its configuration, its process and its signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tomllib
from pathlib import Path
from typing import Any

from standins.case import ROOT, CaseNotRunError, Record

START_TIMEOUT = 20.0  # seconds until a front is ready (the pages allow 30)


def small_settings(lanes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment with these request classes; ``changes`` replace members."""
    settings = {
        "Areas": ["hall"],
        "Clients": {"MarksRetry": False},
        "Contracts": [
            {
                "Name": "standard",
                "BaseRate": 60.0,
                "FloorRate": 48.0,
                "Limit": 0.0,
                "LimitBurst": 0.0,
                "CapSlack": 0.0,
                "Proportion": 1.0,
                "WorthFactor": 1.0,
            }
        ],
        "Discovery": "automatic",
        "Extra": {
            "BeyondShare": 0.1,
            "WithinShare": 0.35,
            "ColdUnits": 20.0,
            "Largest": 8,
            "MeanUnits": 2.0,
            "SaysOthers": False,
            "Shards": 1,
            "ChangesData": [bool(lane.pop("Writes")) for lane in lanes],
        },
        "Kinds": ["node-2c"],
        "Lanes": lanes,
        "Locality": 0,
        "MyNumber": 0,
        "PolicyLimits": {
            "Cancel": True,
            "DialTimeoutS": 0.25,
            "IdleCloseS": 15.0,
            "MaxOpen": 4096,
            "MaxRetryAfterS": 0.5,
            "ParallelTries": False,
            "Peers": False,
            "Probes": False,
            "RetryAfter": True,
            "SendCap": 4,
            "StreamsPerConn": 1,
        },
        "Report": {"Fields": [], "How": "none"},
        "Safety": {
            "ColdFrom": 0.2,
            "GraceToAnswerS": 0.008,
            "RampTimeS": 10.0,
            "StopSendingWithinS": 1.0,
            "TipAfterS": 2.0,
            "TipMultiple": 2.0,
        },
        "Siblings": 1,
        "Tier": 0,
        "Tiers": ["store"],
        "WeightSource": "none",
    }
    return {**settings, **changes}


def lane(name: str, repeat: str, *, writes: bool, **changes: Any) -> dict[str, Any]:
    """Return one request class of the settings."""
    values = {
        "Name": name,
        "AimS": 0.5,
        "GiveUpS": 1.5,
        "Worth": 3.0,
        "LateShare": 0.2,
        "Repeat": repeat,
        "DedupScope": "all",
        "MemorySpanS": 2.5,
        "Streamed": False,
        "Writes": writes,
    }
    return {**values, **changes}


class Front:
    """One process of a front, started with the deploy file's ``run``, as the platform starts it.

    ``state``: the folder that is its ``$TMPDIR``.
    """

    def __init__(self, label: str, folder: Path, record: Record, state: Path) -> None:
        self.label = label
        self.folder = folder
        self.record = record
        self.state = state
        self.process: asyncio.subprocess.Process | None = None
        self.ready = asyncio.Event()
        self.ended = asyncio.Event()
        self.ended_at = 0.0
        self._log_task: asyncio.Task[None] | None = None

    async def start(
        self,
        config: dict[str, Any],
        fronts_file: str = "",
        variables: dict[str, str] | None = None,
        descriptors: tuple[int, ...] = (),
    ) -> None:
        """Write the configuration, start the process and wait until its log says ``ready``."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.state.mkdir(parents=True, exist_ok=True)
        config_path = self.write_config(config)
        command = str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])
        if fronts_file:
            fronts_path = self.folder / "fronts.toml"
            fronts_path.write_text(fronts_file)
            command = f"{command} --fronts {fronts_path}"
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=descriptors,
            env={
                **inherited,
                **(variables or {}),
                "RELAY_CONFIG": str(config_path),
                "TMPDIR": str(self.state),
            },
        )
        self.record.write(f"{self.label}: started as process {self.process.pid}")
        self._log_task = asyncio.create_task(self._read_log(self.process))
        waiting = [asyncio.create_task(event.wait()) for event in (self.ready, self.ended)]
        await asyncio.wait(waiting, timeout=START_TIMEOUT, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.cancel()
        if not self.ready.is_set():
            msg = f"{self.label} did not become ready"
            raise CaseNotRunError(msg)

    def write_config(self, config: dict[str, Any]) -> Path:
        """Put the configuration file in place of the one before; return its path."""
        new_path, path = self.folder / "config.new", self.folder / "config.json"
        new_path.write_text(json.dumps(config))
        new_path.replace(path)
        return path

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        while line := (await process.stderr.readline()).decode(errors="replace").rstrip():
            self.record.write(f"{self.label} log: {line[:300]}")
            if "event='ready'" in line or '"ready"' in line or " ready" in line:
                self.ready.set()
        status = await process.wait()
        self.ended_at = self.record.write(f"{self.label}: ended with status {status}")
        self.ended.set()

    def signal(self, number: signal.Signals) -> float:
        """Send a signal; return its time."""
        assert self.process
        now = self.record.write(f"{self.label}: {number.name}")
        if self.process.returncode is None:
            self.process.send_signal(number)
        return now

    async def stop(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        if self._log_task:
            await self._log_task
