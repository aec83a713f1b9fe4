"""SIGTERM during the start, a reload and a shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from cleatyoke.config.deployment import read_config
from cleatyoke.config.fronts_file import FRONTS_FILE
from cleatyoke.http.server import HttpServer
from cleatyoke.process import reloading
from cleatyoke.process.daemon import Daemon
from cleatyoke.process.lifecycle import ExitStatus
from tests.http_case import (
    answer_at_once,
    listing_entry,
    request_bytes,
)
from tests.scripted_peers import FACTS, ScriptedHttpBackend


class SignalTests(unittest.IsolatedAsyncioTestCase):
    """Signals as the loop's handlers take them, on a daemon in this process."""

    async def asyncSetUp(self) -> None:
        self.box: ScriptedHttpBackend = await ScriptedHttpBackend(answer_at_once).start()
        self.addCleanup(self.box.stop)
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(self.folder) / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:1",
                    "seed": "ff",
                    "settings": FACTS,
                    "known": {
                        "generation": 1,
                        "reset": True,
                        "instances": [listing_entry("SERVING", self.box.port)],
                    },
                }
            )
        )
        variables = {"RELAY_CONFIG": str(path), "TMPDIR": self.folder}
        self.enterContext(mock.patch.dict(os.environ, variables))
        self.daemon = Daemon(read_config(os.environ), FRONTS_FILE)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(asyncio.get_running_loop().remove_signal_handler, number)

    async def served(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.daemon.http_server.address.port)
        writer.write(request_bytes("t"))
        async with asyncio.timeout(5):
            assert b" 200 " in await reader.readline()
        writer.close()

    async def leave(self) -> float:
        """Seconds from its start to its end."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        serving = asyncio.create_task(self.daemon.serve())
        await asyncio.sleep(0)
        await self.served()
        async with asyncio.timeout(10):
            await serving
        assert self.daemon.lifecycle.status is ExitStatus.STOPPED
        assert self.daemon.metrics.faults == 0
        return loop.time() - begun

    async def test_sigterm_during_the_start(self) -> None:
        listen = HttpServer.listen

        def crossing(front: HttpServer) -> None:
            os.kill(os.getpid(), signal.SIGTERM)
            listen(front)

        with mock.patch.object(HttpServer, "listen", crossing):
            await self.daemon.start()
        await asyncio.sleep(0.01)
        assert self.daemon.shutdown_requested.is_set()
        assert await self.leave() > 0.7

    async def test_sigterm_during_a_reload(self) -> None:
        await self.daemon.start()

        def crossing(*words: Any) -> Any:
            os.kill(os.getpid(), signal.SIGTERM)
            return read_config(*words)

        with mock.patch.object(reloading, "read_config", crossing):
            self.daemon.reloader.reload()
        assert self.daemon.metrics.reloads_applied == 1
        assert await self.leave() > 0.7

    async def test_further_signals_during_a_shutdown(self) -> None:
        await self.daemon.start()
        self.daemon.request_shutdown()
        due = self.daemon.lifecycle.answers_due_at()
        loop = asyncio.get_running_loop()
        for place, number in enumerate((signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)):
            loop.call_later(0.1 * place, os.kill, os.getpid(), number)
        assert await self.leave() > 0.7
        assert self.daemon.lifecycle.answers_due_at() == due, "the first one counts"
        assert self.daemon.metrics.reloads_applied == 1
