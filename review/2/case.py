"""While clients read long answers slowly, the front goes over its memory limit and is killed."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import CaseNotRunError, Record, free_port, has_trouble, run_case  # noqa: E402
from standins.discovery import Discovery  # noqa: E402
from standins.front import Front, lane, small_settings  # noqa: E402
from standins.http import read_head  # noqa: E402

HOST = "127.0.0.1"
MEMORY_MB = 128  # of the front's limits; the pages give 32 to 192
SOCKETS = 512  # descriptors; the pages give 256 to 1,024, of which clients hold a third at most
CLIENTS = 120
SLOW_RATE = 64_000  # bytes a second that a slow client reads
LONG_ANSWER = 20_000_000  # bytes
PIECE = 16_000  # bytes that a server writes, and a client reads, at once
START_INTERVAL = 0.05  # seconds between two clients
SLOW_LOAD = 10.0  # seconds for which the clients read slowly, once the last one has begun
MEMORY_POLL = 0.1  # seconds between two looks at the front's memory


class LongServer:
    """A chunk server whose answers are long; ``served`` counts those that were written whole."""

    def __init__(self) -> None:
        self.port = 0
        self.served = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener."""
        if self._server:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await read_head(reader)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER)
                for _ in range(LONG_ANSWER // PIECE):
                    writer.write(bytes(PIECE))
                    await writer.drain()
                self.served += 1
        writer.transport.abort()


class Readers:
    """Clients that each ask for one long answer; ``began`` and ``whole`` count the answers."""

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.began = 0
        self.whole = 0

    async def read(self, number: int) -> None:
        """Ask for an answer and read it, slowly where there is to be trouble."""
        reader, writer = await asyncio.open_connection(HOST, self.port, limit=PIECE)
        lines = [
            f"GET /api?block={number:016x} HTTP/1.1",
            "Host: api.internal",
            f"X-Trace-Id: r{number:05d}",
            "X-Qos: tile-read",
            "X-Plan: standard",
            "X-Expires-In-Ms: 1500",
            f"X-IO: volume={number % 8:016x},units=2,shard=0,hosts=1",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        received = 0
        try:
            first, _ = await read_head(reader)
            self.began += " 200 " in first
            self.record.write(f"client {number}: {first}")
            while received < LONG_ANSWER and (data := await reader.read(PIECE)):
                received += len(data)
                if has_trouble():
                    await asyncio.sleep(len(data) / SLOW_RATE)
            self.whole += received == LONG_ANSWER
            self.record.write(f"client {number}: {received} bytes of {LONG_ANSWER}")
        except (asyncio.IncompleteReadError, OSError) as error:
            self.record.write(f"client {number}: {type(error).__name__} after {received} bytes")
        finally:
            writer.transport.abort()


def memory_mb(pid: int) -> float:
    """Return the memory of a process in MB; of pages that it shares, only its part is counted (PSS)."""
    text = Path(f"/proc/{pid}/smaps_rollup").read_text()
    match = re.search(r"^Pss:\s+(\d+) kB", text, re.MULTILINE)
    if match is None:
        msg = "the memory of the front is not told"
        raise CaseNotRunError(msg)
    return int(match[1]) / 1024


async def enforce_limit(front: Front, record: Record) -> float:
    """Kill the front where it goes over its limit, as the platform does; return the most it used, in MB."""
    most, told = 0.0, 0.0
    assert front.process
    while not front.ended.is_set():
        with contextlib.suppress(OSError):
            most = max(most, memory_mb(front.process.pid))
        if most > told + 5:
            told = most
            record.write(f"the front uses {most:.1f} MB of {MEMORY_MB} MB")
        if most > MEMORY_MB:
            front.signal(signal.SIGKILL)
            break
        await asyncio.sleep(MEMORY_POLL)
    return most


async def play(record: Record) -> list[str]:
    """Ask for long answers and watch the front's memory; return where it went over the limit."""
    server = LongServer()
    discovery = Discovery(HOST, record)
    await server.start()
    await discovery.start()
    discovery.put("s-1", f"{HOST}:{server.port}", 0)
    port = free_port(HOST)
    readers = Readers(port, record)
    tasks: list[asyncio.Task[None]] = []
    with tempfile.TemporaryDirectory() as folder:
        front = Front("front", Path(folder) / "front", record, Path(folder) / "tmp")
        config = {
            "name": "n0",
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "0b7e",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": discovery.listing(),
            "settings": small_settings(
                [
                    lane("tile-read", "repeatable", writes=False),
                    lane("record-write", "once", writes=True),
                ]
            ),
        }
        try:
            await front.start(config)
            watch = asyncio.create_task(enforce_limit(front, record))
            for number in range(CLIENTS):
                if front.ended.is_set() or watch.done():
                    break
                tasks.append(asyncio.create_task(readers.read(number)))
                await asyncio.sleep(START_INTERVAL)
            if has_trouble():
                await asyncio.wait([watch], timeout=SLOW_LOAD)
            else:
                await asyncio.gather(*tasks)
            watch_ended = watch.done()
            await front.stop()
            most = await watch
        finally:
            await front.stop()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            server.stop()
            discovery.stop()
    record.write(
        f"{readers.began} answers began, {readers.whole} came whole; the front used {most:.1f} MB at the most"
    )
    if readers.began < CLIENTS / 4:
        msg = "the front served too few answers"
        raise CaseNotRunError(msg)
    if most <= MEMORY_MB:
        return []
    text = f"the front used {most:.1f} MB of its {MEMORY_MB} MB and was killed"
    return [f"{text}, with {readers.began - readers.whole} answers under way" if watch_ended else text]


run_case(FOLDER / "record.txt", play)
