"""At a planned restart, file commands that the front has taken are never answered."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import sftp  # noqa: E402
from standins.case import CaseNotRunError, Record, free_port, has_trouble, run_case  # noqa: E402
from standins.discovery import Discovery  # noqa: E402
from standins.front import Front, lane, small_settings  # noqa: E402

HOST = "127.0.0.1"
CLIENTS = 3
BATCH = 6  # commands that a client sends at once; the next batch follows when all are answered
WORK = 0.08  # seconds that the storage server takes for a change
LOAD_BEFORE = 2.0  # seconds of load before SIGTERM
LOAD = 5.0  # seconds of load in all, unless the front ends the connection
KILL_AFTER = 1.5 + 0.7  # seconds from SIGTERM to SIGKILL: the longest deadline and 0.7 more
CROSSED = 0.1  # a command sent within so many seconds of the connection's end counts as not read
FRONTS_FILE = """
[sftp]
enabled = true
listen = "{listen}"
read_class = "tile-read"
write_class = "record-write"
deadline_s = 1.5

[[sftp.volume]]
path = "/plats"
volume = "00000003b4d60021"
plan = "standard"
shard = 0
hosts = 1
"""


async def work(client: sftp.Client, delay: float, record: Record) -> None:
    """After a delay, make directories, a batch at once, until the load or the connection ends."""
    await asyncio.sleep(delay)
    batch = 0
    while record.now() < LOAD and client.ended_at is None:
        batch += 1
        numbers = []
        for place in range(BATCH):
            path = f"/plats/{client.name}-{batch}-{place}"
            payload = sftp.string(path.encode()) + sftp.NO_ATTRS
            numbers.append(client.send(sftp.MKDIR, payload, f"MKDIR {path}"))
        for number in numbers:
            await client.answer(number)


def lost_commands(client: sftp.Client) -> list[str]:
    """Return the commands that were taken and not answered before the front ended the connection."""
    if client.ended_at is None:
        return []
    return [
        f"{client.name}, command {number} ({client.names[number]}): sent {client.ended_at - sent_at:.3f} s "
        "before the front ended the connection, and never answered"
        for number, sent_at in client.sent.items()
        if number not in client.answered and sent_at < client.ended_at - CROSSED
    ]


async def play(record: Record) -> list[str]:
    """Send SIGTERM under load; return the commands that were never answered."""
    storages = [sftp.Storage(HOST, record, WORK) for _ in range(2)]
    discovery = Discovery(HOST, record)
    await discovery.start()
    for cell, storage in enumerate(storages):
        await storage.start()
        discovery.put(f"s-{cell}", f"{HOST}:{storage.port}", cell)
    lanes = [
        lane("tile-read", "repeatable", writes=False, AimS=0.5),
        lane("record-write", "once", writes=True, AimS=0.5),
    ]
    port = free_port(HOST)
    clients = [sftp.Client(f"client-{number}", record) for number in range(CLIENTS)]
    with tempfile.TemporaryDirectory() as folder:
        front = Front("front", Path(folder) / "front", record, Path(folder) / "tmp")
        config = {
            "name": "n0",
            "listen": f"{HOST}:{free_port(HOST)}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "77a1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.listing(),
            "settings": small_settings(lanes),
        }
        try:
            await front.start(config, FRONTS_FILE.format(listen=f"{HOST}:{port}"))
            for client in clients:
                await client.connect(HOST, port)
            began = record.now()
            tasks = [
                asyncio.create_task(work(client, number * BATCH * WORK / CLIENTS, record))
                for number, client in enumerate(clients)
            ]
            if has_trouble():
                await asyncio.sleep(LOAD_BEFORE)
                told_at = front.signal(signal.SIGTERM)
                await asyncio.sleep(max(0.0, told_at + KILL_AFTER - record.now()))
                if not front.ended.is_set():
                    front.signal(signal.SIGKILL)
            await asyncio.gather(*tasks)
            if not has_trouble():
                for client in clients:
                    client.close()
        finally:
            await front.stop()
            discovery.stop()
            for storage in storages:
                storage.stop()
    answered = sum(code == sftp.OK for client in clients for code in client.codes.values())
    record.write(f"{answered} commands were answered ok in {record.now() - began:.1f} s")
    if answered < 10:
        msg = "the front served too few commands"
        raise CaseNotRunError(msg)
    if not has_trouble():
        return []
    return [text for client in clients for text in lost_commands(client)]


run_case(FOLDER, play)
