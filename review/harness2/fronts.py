"""Starts fronts with the deploy file's command, and keeps the record of a case."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT = 30.0  # seconds that the pages give a front to be ready
HELD, BROKEN, NOT_RUN = 0, 1, 2
LISTENING_PORTS = range(12_000, 30_000)  # below the ports of outgoing connections, as Linux has them
# What a front's log says about its course; the rest of the log is not part of the record.
LOGGED = (
    "ready",
    "leaving",
    "left",
    "reload",
    "sftp",
    "vrrp",
    "_fault",
    "discovery",
    "cleatyoke:",
    "shutdown",
)


class CaseError(Exception):
    """The case could not run."""


def trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE") != "0"


class Record:
    """The record of one run: a line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.path = path
        self.path.write_text("")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Add a line with its time."""
        line = f"{self.now():8.3f} {text}"
        with self.path.open("a") as file:
            file.write(line + "\n")


def free_port(host: str = "127.0.0.1") -> int:
    """Return a TCP port that is free now, of those that the system gives to nobody by itself."""
    for port in random.sample(LISTENING_PORTS, len(LISTENING_PORTS)):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port
    msg = "no port is free"
    raise CaseError(msg)


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment, with the given members replaced."""
    values: dict[str, Any] = {
        "Areas": ["basement"],
        "Contracts": [
            {
                "Name": "research",
                "BaseRate": 100.0,
                "FloorRate": 80.0,
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
            "ChangesData": [False, True],
            "ColdUnits": 20.0,
            "Largest": 8,
            "MeanUnits": 2.0,
            "SaysOthers": False,
            "Shards": 2,
            "WithinShare": 0.35,
        },
        "Lanes": [lane("tile-read", "repeatable"), lane("record-write", "once")],
        "PolicyLimits": {
            "Cancel": True,
            "DialTimeoutS": 0.25,
            "IdleCloseS": 30.0,
            "MaxRetryAfterS": 0.5,
            "ParallelTries": False,
            "Probes": False,
            "RetryAfter": True,
            "SendCap": 4,
        },
        "Report": {"Fields": [], "How": "none"},
        "Safety": {
            "ColdFrom": 0.16,
            "RampTimeS": 14.0,
            "StopSendingWithinS": 1.0,
            "TipAfterS": 2.0,
            "TipMultiple": 2.0,
        },
        "Siblings": 1,
    }
    return {**values, **changes}


def lane(name: str, repeat: str, **changes: Any) -> dict[str, Any]:
    """Return a request class."""
    values = {
        "Name": name,
        "AimS": 0.2,
        "GiveUpS": 1.5,
        "LateShare": 0.1,
        "Repeat": repeat,
        "DedupScope": "all",
        "MemorySpanS": 5.0,
        "Worth": 3.0,
    }
    return {**values, **changes}


class Front:
    """One process of a front."""

    def __init__(self, record: Record, folder: Path, name: str = "n1") -> None:
        self.record, self.folder, self.name = record, folder, name
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.ready = asyncio.Event()
        self.log_task: asyncio.Task[None] | None = None
        self.fronts_file = ""
        self.memory_mb = 192

    def write_config(self, discovery: int, known: dict[str, Any], values: dict[str, Any]) -> None:
        """Write the configuration file in one step."""
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024},
            "known": known,
            "settings": values,
        }
        path = self.folder / f"{self.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(path)

    def write_fronts_file(self, text: str) -> None:
        """Write the operators' file and start the front with it."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(text)
        self.fronts_file = f" --fronts {path}"

    async def start(
        self, *, label: str = "", accept: socket.socket | None = None, expect_ready: bool = True
    ) -> None:
        """Start the process with the deploy file's command, and wait until it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / f"tmp-{self.name}"
        temporary.mkdir(exist_ok=True)
        inherited = {key: text for key, text in os.environ.items() if not key.startswith("RELAY_")}
        environment = {
            **inherited,
            "RELAY_CONFIG": str(self.folder / f"{self.name}.json"),
            "TMPDIR": str(temporary),
        }
        fds: tuple[int, ...] = ()
        if accept is not None:
            environment["RELAY_ACCEPT_FD"] = str(accept.fileno())
            fds = (accept.fileno(),)
        label = label or self.name
        self.ready.clear()
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run + self.fronts_file,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=fds,
        )
        self.record.add(f"front {label}: started")
        self.log_task = asyncio.create_task(self._read_log(self.process, label))
        if not expect_ready:
            return
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                await self.ready.wait()
        except TimeoutError as error:
            msg = "the front was not ready in time"
            raise CaseError(msg) from error
        if self.process.returncode is not None:
            msg = "the front ended at its start"
            raise CaseError(msg)

    async def _read_log(self, process: asyncio.subprocess.Process, label: str) -> None:
        assert process.stderr
        while line := (await process.stderr.readline()).decode(errors="replace").strip():
            if any(word in line for word in LOGGED):
                self.record.add(f"front {label} logs: {line[:300]}")
            if "event='ready'" in line:
                self.ready.set()
        status = await process.wait()
        self.record.add(f"front {label}: ended with status {status}")
        self.ready.set()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process
        self.record.add(f"front {self.name}: gets {number.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process if it runs."""
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.log_task:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(5.0):
                    await self.log_task


async def within(seconds: float, condition: Callable[[], bool], what: str) -> None:
    """Wait for a condition; raise ``CaseError`` if it is not met in time."""
    try:
        async with asyncio.timeout(seconds):
            while not condition():  # noqa: ASYNC110  the conditions have no event
                await asyncio.sleep(0.01)
    except TimeoutError as error:
        msg = f"not seen within {seconds} s: {what}"
        raise CaseError(msg) from error


def run_case(play: Callable[[Record, Path], Awaitable[list[str]]]) -> None:
    """Play a case and exit: 1 if it returns what broke the rule, 0 if nothing did, 2 if it could not run.

    The first argument of the process is the path of the record, record.txt in the case's folder.
    """
    record = Record(Path(sys.argv[1]))
    folder = Path(tempfile.mkdtemp(prefix="review-case-"))
    status = NOT_RUN
    try:
        record.add(f"trouble: {trouble()}")
        breaks = asyncio.run(_bounded(play, record, folder))
        for text in breaks:
            record.add(f"BROKEN: {text}")
        status = BROKEN if breaks else HELD
    except Exception as error:  # noqa: BLE001  whatever it is, the case could not run
        record.add(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status]
    record.add(f"verdict: {verdict}")
    sys.stdout.write(record.path.read_text()[-3000:])
    sys.exit(status)


async def _bounded(
    play: Callable[[Record, Path], Awaitable[list[str]]], record: Record, folder: Path
) -> list[str]:
    async with asyncio.timeout(110.0):
        return await play(record, folder)
