"""The daemon within ``limits.memory_mb``, whatever its clients do. Memory is the process's PSS, in MiB."""

from __future__ import annotations

import asyncio
import re
import socket
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from tests.http_case import DaemonCase, listing_entry, request_bytes
from tests.scripted_peers import FACTS, ScriptedHttpBackend

MEMORY_MB = 64
SOCKETS = 256
CLIENTS = SOCKETS // 3  # what clients hold at most (deployment page)
LONG_ANSWER = 8 << 20  # bytes, more than the kernel buffers
PIECE = bytes(64 << 10)
FAST_PLANS = [{**plan, "BaseRate": 999.0, "FloorRate": 999.0} for plan in FACTS["Contracts"]]


def memory_mb(pid: int) -> float:
    text = Path(f"/proc/{pid}/smaps_rollup").read_text()
    match = re.search(r"^Pss:\s+(\d+) kB", text, re.MULTILINE)
    assert match
    return int(match[1]) / 1024


async def long_answer(_trace: str) -> AsyncIterator[bytes]:
    async def pieces() -> AsyncIterator[bytes]:
        yield b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER
        for _ in range(LONG_ANSWER // len(PIECE)):
            yield PIECE

    return pieces()


class MemoryLimitTests(DaemonCase):
    async def start_limited_front(self, folder: str, backend: ScriptedHttpBackend) -> tuple[Any, int]:
        known = {"generation": 1, "reset": True, "instances": [listing_entry("SERVING", backend.port)]}
        daemon = await self.start_daemon(
            folder,
            known=known,
            limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS},
            settings={**FACTS, "Contracts": FAST_PLANS},
        )
        line = await self.wait_for_line(daemon, b"event='ready'")
        return daemon, int(line.split(b"port=")[1].split(b")")[0])

    async def test_slowly_read_answers_stay_within_memory_limit(self) -> None:
        """Every client that may connect reads a long answer slowly.

        Without a bound on what all answers hold together, the front would exceed its limit and be killed.
        """
        backend: ScriptedHttpBackend = await ScriptedHttpBackend(long_answer).start()
        loop = asyncio.get_running_loop()
        clients: list[socket.socket] = []
        most = 0.0
        with tempfile.TemporaryDirectory() as folder:
            daemon, port = await self.start_limited_front(folder, backend)
            for number in range(CLIENTS):
                client = socket.socket()
                client.setblocking(False)
                clients.append(client)
                await loop.sock_connect(client, ("127.0.0.1", port))
                await loop.sock_sendall(client, request_bytes(f"t{number}"))
                async with asyncio.timeout(5):
                    assert (await loop.sock_recv(client, 12)).endswith(b" 200")
                most = max(most, memory_mb(daemon.pid))
            for _ in range(20):
                await asyncio.sleep(0.05)
                most = max(most, memory_mb(daemon.pid))
            daemon.kill()
            await daemon.wait()
        for client in clients:
            client.close()
        backend.stop()
        assert most < MEMORY_MB
