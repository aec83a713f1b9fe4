"""Signals during the start, a reload and a shutdown."""

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
    """Signals to a daemon in the test process, handled by the event loop's handlers."""

    async def asyncSetUp(self) -> None:
        self.backend: ScriptedHttpBackend = await ScriptedHttpBackend(answer_at_once).start()
        self.addCleanup(self.backend.stop)
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
                        "instances": [listing_entry("SERVING", self.backend.port)],
                    },
                }
            )
        )
        variables = {"RELAY_CONFIG": str(path), "TMPDIR": self.folder}
        self.enterContext(mock.patch.dict(os.environ, variables))
        self.daemon = Daemon(read_config(os.environ), FRONTS_FILE)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(asyncio.get_running_loop().remove_signal_handler, number)

    async def send_request(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.daemon.http_server.address.port)
        writer.write(request_bytes("t"))
        async with asyncio.timeout(5):
            assert b" 200 " in await reader.readline()
        writer.close()

    async def run_until_exit(self) -> float:
        """Serve one request and the shutdown; return how many seconds this took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        serving = asyncio.create_task(self.daemon.serve())
        await asyncio.sleep(0)
        await self.send_request()
        async with asyncio.timeout(10):
            await serving
        assert self.daemon.lifecycle.status is ExitStatus.STOPPED
        assert self.daemon.metrics.faults == 0
        return loop.time() - started_at

    async def test_sigterm_during_start_is_a_full_shutdown(self) -> None:
        listen = HttpServer.listen

        def listen_after_sigterm(front: HttpServer) -> None:
            os.kill(os.getpid(), signal.SIGTERM)
            listen(front)

        with mock.patch.object(HttpServer, "listen", listen_after_sigterm):
            await self.daemon.start()
        await asyncio.sleep(0.01)
        assert self.daemon.shutdown_requested.is_set()
        assert await self.run_until_exit() > 0.7

    async def test_sigterm_during_reload_completes_reload_and_shutdown(self) -> None:
        await self.daemon.start()

        def read_after_sigterm(*arguments: Any) -> Any:
            os.kill(os.getpid(), signal.SIGTERM)
            return read_config(*arguments)

        with mock.patch.object(reloading, "read_config", read_after_sigterm):
            self.daemon.reloader.reload()
        assert self.daemon.metrics.reloads_applied == 1
        assert await self.run_until_exit() > 0.7

    async def test_further_signals_during_shutdown_change_no_deadline(self) -> None:
        await self.daemon.start()
        self.daemon.request_shutdown()
        due = self.daemon.lifecycle.answers_due_at()
        loop = asyncio.get_running_loop()
        for index, number in enumerate((signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)):
            loop.call_later(0.1 * index, os.kill, os.getpid(), number)
        assert await self.run_until_exit() > 0.7
        assert self.daemon.lifecycle.answers_due_at() == due, "only the first signal sets the deadlines"
        assert self.daemon.metrics.reloads_applied == 1
