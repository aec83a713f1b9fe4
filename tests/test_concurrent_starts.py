"""Many daemons that start at once."""

from __future__ import annotations

import asyncio
import tempfile
from typing import Any

from tests.http_case import (
    DaemonCase,
    listing_entry,
)


class ConcurrentStartTests(DaemonCase):
    async def test_nine_in_ten_of_those_that_start_together_are_ready_in_time(self) -> None:
        """Fronts start together with an old list, an empty one or none, and discovery says nothing.

        A start that waited for discovery would not be ready in time.
        """
        silent = await asyncio.start_server(lambda _reader, _writer: asyncio.sleep(60), "127.0.0.1", 0)
        discovery = f"127.0.0.1:{silent.sockets[0].getsockname()[1]}"
        empty: dict[str, Any] = {"generation": 1, "reset": True, "instances": []}
        old = {**empty, "instances": [listing_entry("SERVING")]}
        loop, took = asyncio.get_running_loop(), []

        async def one(known: dict[str, Any]) -> None:
            begun = loop.time()
            with tempfile.TemporaryDirectory() as folder:
                daemon = await self.start_daemon(folder, known=known, discovery=discovery)
                line = await self.wait_for_line(daemon, b"event='ready'")
                port = int(line.split(b"port=")[1].split(b")")[0])
                up = b""
                while b" 200 " not in up:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
                    up = await reader.readline()
                    writer.close()
                    await asyncio.sleep(0.02)
                took.append(loop.time() - begun)
                daemon.kill()
                await daemon.wait()

        await asyncio.gather(*(one(known) for known in [old, empty, {}] * 4))
        silent.close()
        assert sorted(took)[int(0.9 * len(took))] < 10.0
