"""While slow clients upload long bodies, writes that the front has taken are never answered."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import CaseNotRunError, Record, free_port, has_trouble, run_case  # noqa: E402
from standins.discovery import Discovery  # noqa: E402
from standins.front import Front, lane, small_settings  # noqa: E402
from standins.http import Answer, ChunkServer, HttpClient  # noqa: E402

HOST = "127.0.0.1"
MEMORY_MB = 128  # of the front's limits; the pages give 32 to 192
SLOW_CLIENTS = 48
SLOW_RATE = 64_000  # bytes a second that each of them sends
SLOW_BODY = 32_000_000  # bytes
PIECE = 8_000  # bytes that a slow client writes at once
WRITE_BODY = 128 * 1024  # bytes of a usual write
WAIT = 1.5  # seconds for which a usual client waits
LATE = 0.6  # seconds past that after which a request is lost: half a second, 50 ms of sockets, and 50 more
LOAD = 24.0  # seconds of load
INTERVAL = 0.5  # seconds between two usual writes
FIELDS = {
    "X-Qos": "record-write",
    "X-Plan": "standard",
    "X-Expires-In-Ms": str(round(WAIT * 1000)),
    "X-IO": "volume=00000003b4d60021,units=2,shard=0,hosts=1",
}


async def upload_slowly(number: int, port: int, record: Record) -> None:
    """Send a long body at 64 kB a second, as the pages allow it, until the connection or the case ends."""
    reader, writer = await asyncio.open_connection(HOST, port)
    lines = [f"PUT /api?block={number:016x} HTTP/1.1", "Host: api.internal", f"X-Trace-Id: slow{number:04d}"]
    lines += [f"{name}: {value}" for name, value in FIELDS.items()]
    writer.write("\r\n".join([*lines, f"Content-Length: {SLOW_BODY}", "", ""]).encode())
    record.write(f"slow client {number} begins an upload of {SLOW_BODY} bytes")
    loop = asyncio.get_running_loop()
    began, sent = loop.time(), 0
    answer = asyncio.create_task(reader.read(200))
    try:
        while sent < SLOW_BODY and not answer.done():
            writer.write(bytes(PIECE))
            sent += PIECE
            await writer.drain()
            await asyncio.sleep(max(0.0, began + sent / SLOW_RATE - loop.time()))
        record.write(f"slow client {number} after {sent} bytes: {(await answer)[:60]!r}")
    except OSError as error:
        record.write(f"slow client {number}: {type(error).__name__} after {sent} bytes")
    finally:
        answer.cancel()
        writer.transport.abort()


async def write_once(number: int, port: int, record: Record, answers: dict[int, Answer | None]) -> None:
    """Send one usual write on a new connection; keep its answer, or None where none comes in time.

    The front has not taken a write whose last byte could not be written: such a one is left out.
    """
    client = HttpClient(f"client-{number}", HOST, port, record)
    trace = f"w{number:05d}"
    answer: Answer | None = None
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(WAIT + LATE):
            answer = await client.put(trace, f"{number:016x}", bytes(WRITE_BODY), FIELDS)
    if answer is None:
        record.write(f"client-{number} has waited {WAIT + LATE:.2f} s for the answer to {trace}, and leaves")
    if client.written_at is not None:
        answers[number] = answer
    client.close()


async def play(record: Record) -> list[str]:
    """Play usual writes beside slow uploads; return the writes that were not answered in time."""
    server = ChunkServer(HOST, record, 2, lambda _: 0.02)
    discovery = Discovery(HOST, record)
    await server.start()
    await discovery.start()
    discovery.put("s-1", f"{HOST}:{server.port}", 0)
    lanes = [
        lane("tile-read", "repeatable", writes=False, GiveUpS=WAIT),
        lane("record-write", "once", writes=True, GiveUpS=WAIT),
    ]
    port = free_port(HOST)
    answers: dict[int, Answer | None] = {}
    tasks: list[asyncio.Task[None]] = []
    with tempfile.TemporaryDirectory() as folder:
        front = Front("front", Path(folder) / "front", record, Path(folder) / "tmp")
        config = {
            "name": "n0",
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "61d3",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "known": discovery.listing(),
            "settings": small_settings(lanes),
        }
        try:
            await front.start(config)
            if has_trouble():
                tasks += [
                    asyncio.create_task(upload_slowly(number, port, record)) for number in range(SLOW_CLIENTS)
                ]
            writes = []
            for number in range(round(LOAD / INTERVAL)):
                writes.append(asyncio.create_task(write_once(number, port, record, answers)))
                await asyncio.sleep(INTERVAL)
            await asyncio.gather(*writes)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await front.stop()
            server.stop()
            discovery.stop()
    served = sum(answer is not None and answer.status == 200 for answer in answers.values())
    record.write(f"{served} of {len(answers)} usual writes were served")
    if not served:
        msg = "the front served no write"
        raise CaseNotRunError(msg)
    return [
        f"w{number:05d}: no answer within {WAIT + LATE:.2f} s"
        if answer is None
        else f"w{number:05d}: its connection ended without an answer"
        for number, answer in answers.items()
        if answer is None or answer.status == 0
    ]


run_case(FOLDER / "record.txt", play)
