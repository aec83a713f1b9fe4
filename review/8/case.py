"""A long answer of unknown length whose chunk server hangs for a moment in the middle of it."""

from __future__ import annotations

import asyncio
import secrets
from pathlib import Path

from harness2.discovery import Agent, Registry, entry
from harness2.fronts import Front, Record, run_case, settings, trouble, within

FIRST_PART = 30_000  # bytes of the answer that are written before the chunk server hangs
REST = 90_000  # bytes after it; with the first part more than 64 KiB
HANG = 1.0  # seconds
WAIT_MS = 400  # that the client waits; above 64 KiB the first bytes are timed
READS = 3
PAUSE = 1.0  # seconds between two reads
PATIENCE = 6.0  # seconds that the client reads on


class SlowServer:
    """A chunk server whose answers are chunked, and which may hang within them."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.given: dict[
            str, int
        ] = {}  # bytes of each answer that were written to a connection that was open

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                trace = head.partition("X-Trace-Id: ")[2].partition("\r\n")[0]
                self.record.add(f"s-1: gets and runs {trace}")
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await self._write(writer, trace, FIRST_PART)
                if trouble():
                    await asyncio.sleep(HANG)
                if reader.at_eof() or writer.transport.is_closing():
                    self.record.add(f"s-1: the front has ended the connection of {trace}, it gave on")
                    return
                await self._write(writer, trace, REST)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
                self.record.add(f"s-1: has written all of {trace}")
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _write(self, writer: asyncio.StreamWriter, trace: str, size: int) -> None:
        writer.write(b"%x\r\n%b\r\n" % (size, bytes(size)))
        await writer.drain()
        self.given[trace] = self.given.get(trace, 0) + size


async def read_long(port: int, record: Record) -> str:
    """Send a read, and read its answer to the end; return what is wrong with it."""
    trace = secrets.token_hex(8)
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    writer.write(
        f"GET /api?block={1:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {trace}\r\n"
        f"X-Qos: tile-read\r\nX-Plan: research\r\nX-Expires-In-Ms: {WAIT_MS}\r\n"
        "X-IO: volume=00000000000000a1,units=1,shard=0,hosts=1\r\n\r\n".encode()
    )
    sent_at = record.now()
    received = 0
    try:
        async with asyncio.timeout(PATIENCE):
            head = await reader.readuntil(b"\r\n\r\n")
            status = head[9:12].decode()
            record.add(
                f"client: status {status} of {trace}, {record.now() - sent_at:.2f} s after it was sent"
            )
            if status != "200":
                return ""  # failed or refused in time
            length = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
            if length:  # how an answer is framed is free
                received = len(await reader.readexactly(int(length)))
            else:
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    received += len(await reader.readexactly(size + 2)) - 2
    except (OSError, EOFError, ValueError) as error:
        text = f"the answer to {trace} was cut off after {received} bytes, {record.now() - sent_at:.2f} s on"
        record.add(f"client: {text}, {type(error).__name__}")
        return text
    except TimeoutError:
        return f"the answer to {trace} did not end within {PATIENCE} s"
    finally:
        writer.close()
    record.add(f"client: has all {received} bytes of {trace}")
    return ""


async def play(record: Record, folder: Path) -> list[str]:
    """Read long answers one after the other."""
    server = SlowServer(record)
    await server.start()
    registry = Registry([entry("s-1", server.port, 0)])
    agent = Agent("A", registry, record)
    await agent.start()
    front = Front(record, folder)
    front.write_config(agent.port, registry.whole(), settings())
    try:
        await front.start()
        await within(5.0, lambda: agent.open_watches > 0, "a watch")
        breaks = []
        for _ in range(READS):
            breaks.append(await read_long(front.port, record))
            await asyncio.sleep(PAUSE)
        return [text for text in breaks if text]
    finally:
        await front.kill()


run_case(play)  # writes record.txt, the path that run.sh names
