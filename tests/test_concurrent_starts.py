"""Many daemons starting at the same time."""

from __future__ import annotations

import asyncio
import tempfile
from typing import Any

from tests.http_case import (
    DaemonCase,
    listing_entry,
)


class ConcurrentStartTests(DaemonCase):
    async def test_concurrent_starts_without_discovery_are_ready_in_time(self) -> None:
        """Fronts start together with a cached, an empty or no endpoint list; discovery does not respond.

        A start that waited for discovery would not be ready in time. Nine in ten must be ready within 10 s.
        """
        silent_agent = await asyncio.start_server(lambda _reader, _writer: asyncio.sleep(60), "127.0.0.1", 0)
        discovery = f"127.0.0.1:{silent_agent.sockets[0].getsockname()[1]}"
        empty: dict[str, Any] = {"generation": 1, "reset": True, "instances": []}
        cached = {**empty, "instances": [listing_entry("SERVING")]}
        loop, start_times = asyncio.get_running_loop(), []

        async def start_one(known: dict[str, Any]) -> None:
            started_at = loop.time()
            with tempfile.TemporaryDirectory() as folder:
                daemon = await self.start_daemon(folder, known=known, discovery=discovery)
                line = await self.wait_for_line(daemon, b"event='ready'")
                port = int(line.split(b"port=")[1].split(b")")[0])
                status_line = b""
                while b" 200 " not in status_line:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
                    status_line = await reader.readline()
                    writer.close()
                    await asyncio.sleep(0.02)
                start_times.append(loop.time() - started_at)
                daemon.kill()
                await daemon.wait()

        await asyncio.gather(*(start_one(known) for known in [cached, empty, {}] * 4))
        silent_agent.close()
        assert sorted(start_times)[int(0.9 * len(start_times))] < 10.0
