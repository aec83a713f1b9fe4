"""During an upgrade, writes of one key run at the same time, and the older one is what remains."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import CaseNotRunError, Record, free_port, has_trouble, run_case  # noqa: E402
from standins.discovery import Discovery  # noqa: E402
from standins.front import Front, lane, small_settings  # noqa: E402
from standins.http import Answer, ChunkServer, HttpClient, Run  # noqa: E402

HOST = "127.0.0.1"
BLOCK = "7f3a9c21e0b4d655"
ACCEPT_FD = 4
UPGRADE_AT = 2.0  # seconds of load before the new process is started
LOAD_AFTER = 1.0  # seconds of load after the old process has ended
KILL_AFTER = 1.5 + 0.7  # seconds from SIGTERM to SIGKILL: the longest deadline and 0.7 more
MARGIN = 0.005  # seconds by which two runs must overlap to count


def work(trace: str) -> float:
    """Return the seconds that a write takes at the chunk server: 20 to 90 ms, by its number."""
    return 0.02 + 0.01 * (int(trace[1:]) * 5 % 8)


class Writers:
    """Clients that all write one block, each one request after the other; the body is a number that rises.

    ``answers``: by number, the answers 200.
    """

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.number = 0
        self.answers: dict[int, Answer] = {}
        self.is_over = False

    async def write(self, client: HttpClient, *, keeps_connection: bool) -> None:
        """Write until the load is over, on one connection or on a new one for each request."""
        fields = {
            "X-Qos": "record-write",
            "X-Plan": "standard",
            "X-Expires-In-Ms": "1500",
            "X-IO": "volume=00000003b4d60021,units=2,shard=0,hosts=1",
        }
        while not self.is_over:
            self.number += 1
            number = self.number
            try:
                answer = await client.put(f"w{number:05d}", BLOCK, b"version %d" % number, fields)
            except OSError:
                client.close()
                await asyncio.sleep(0.05)
                continue
            if answer.status == 200:
                self.answers[number] = answer
            if not keeps_connection:
                client.close()
            await asyncio.sleep(0.01)


def overlaps(runs: list[Run]) -> list[str]:
    """Return the writes of the block that came to the chunk server before an earlier one was answered."""
    breaks = []
    for place, run in enumerate(runs):
        for earlier in runs[max(0, place - 8) : place]:
            ends = earlier.answered_at
            if ends is None or run.came_at < ends - MARGIN:
                until = f"answered at {ends:.3f}" if ends else "never answered"
                breaks.append(
                    f"{run.trace} came at {run.came_at:.3f} while {earlier.trace} was out ({until})"
                )
    return breaks


def overwritten(runs: list[Run], answers: dict[int, Answer]) -> list[str]:
    """Return the writes that were acknowledged, and then overwritten by one taken 10 ms earlier or more."""
    texts = []
    stored = sorted((run for run in runs if run.stored_at), key=lambda run: run.stored_at or 0.0)
    for place, run in enumerate(stored):
        older = answers.get(int(run.trace[1:]))
        for earlier_run in stored[max(0, place - 4) : place]:
            newer = answers.get(int(earlier_run.trace[1:]))
            if older and newer and older.sent_at + 0.01 < newer.sent_at:
                texts.append(
                    f"{earlier_run.trace}, sent {newer.sent_at - older.sent_at:.3f} s after {run.trace} and "
                    f"answered 200, was overwritten by it at {run.stored_at:.3f}"
                )
    return texts


async def upgrade(config: dict[str, Any], old: Front, new: Front, record: Record) -> None:
    """Start the new process beside the old one, then end the old one, as the platform does."""
    variables = {"RELAY_ACCEPT_FD": str(ACCEPT_FD), "RELAY_OPS": f"{HOST}:{free_port(HOST)}"}
    await new.start(config, variables=variables, descriptors=(ACCEPT_FD,))
    deadline = record.now() + 6.0
    while not await says_ready(variables["RELAY_OPS"]):
        if record.now() > deadline:
            msg = "the new process did not say yes within 6 s"
            raise CaseNotRunError(msg)
        await asyncio.sleep(0.05)
    record.write("new: says yes to ready")
    told_at = old.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(max(0.0, told_at + KILL_AFTER - record.now())):
            await old.ended.wait()
    except TimeoutError:
        old.signal(signal.SIGKILL)


async def says_ready(address: str) -> bool:
    """Ask a front's operators' address whether it takes clients."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"ready\n")
        line = await reader.readline()
        writer.close()
    except OSError:
        return False
    return line.startswith(b"SUCCESS")


async def play(record: Record) -> list[str]:
    """Write one block through the front during an upgrade; return what ran at the same time."""
    port = LISTENER.getsockname()[1]
    server = ChunkServer(HOST, record, 2, work)
    discovery = Discovery(HOST, record)
    await server.start()
    await discovery.start()
    discovery.put("s-1", f"{HOST}:{server.port}", 0)
    lanes = [
        lane("tile-read", "repeatable", writes=False),
        lane("record-write", "once", writes=True, ByArrival=True),
    ]
    settings = small_settings(lanes)
    settings["Safety"]["KeyRestS"] = 0.2
    config = {
        "name": "n0",
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{discovery.port}",
        "seed": "3c09",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.listing(),
        "settings": settings,
    }
    writers = Writers(port, record)
    clients = [HttpClient(f"client-{number}", HOST, port, record) for number in range(4)]
    tasks: list[asyncio.Task[None]] = []
    with tempfile.TemporaryDirectory() as folder:
        state = Path(folder) / "tmp"
        old, new = (Front(name, Path(folder) / name, record, state) for name in ("old", "new"))
        try:
            variables = {"RELAY_ACCEPT_FD": str(ACCEPT_FD), "RELAY_OPS": f"{HOST}:{free_port(HOST)}"}
            await old.start(config, variables=variables, descriptors=(ACCEPT_FD,))
            tasks += [
                asyncio.create_task(writers.write(client, keeps_connection=place < 2))
                for place, client in enumerate(clients)
            ]
            await asyncio.sleep(UPGRADE_AT)
            if has_trouble():
                await upgrade(config, old, new, record)
            else:
                await asyncio.sleep(3.0)
            await asyncio.sleep(LOAD_AFTER)
            writers.is_over = True
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await new.stop()
            await old.stop()
            server.stop()
            discovery.stop()
    record.write(f"{len(writers.answers)} of {writers.number} writes were answered 200")
    if len(writers.answers) < 20:
        msg = "the front served too few writes"
        raise CaseNotRunError(msg)
    for text in overwritten(server.runs, writers.answers):
        record.write(f"OLDER DATA REMAINED: {text}")
    return overlaps(server.runs)


# The platform holds the listening socket. It is made first, while descriptor 4 is still free.
LISTENER = socket.create_server((HOST, 0), backlog=256)
os.dup2(LISTENER.fileno(), ACCEPT_FD)
run_case(FOLDER, play)
