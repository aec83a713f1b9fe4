"""Two processes of one front under one memory limit, as in an upgrade. Memory is PSS, in MiB."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import tempfile
from pathlib import Path

from cleatyoke.limits.memory_budget import MEBIBYTE
from cleatyoke.process.limit_files import RECORD_PREFIX, process_start
from tests.http_case import DaemonCase, listing_entry
from tests.scripted_peers import FACTS, ScriptedHttpBackend, answer
from tests.test_memory_limits import FAST_PLANS, memory_mb, upload_head

ROOM_MB = 16  # that the limit leaves beside two processes
UPLOAD = bytes(2 << 20)
WORK = 0.4  # seconds that the backend takes for an upload
UPLOADERS = 40


async def work(_trace: str) -> bytes:
    await asyncio.sleep(WORK)
    return answer()


class UpgradeMemoryTests(DaemonCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.backend: ScriptedHttpBackend = await ScriptedHttpBackend(work).start()
        self.accept = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.accept.getsockname()[1]
        self.daemons: list[asyncio.subprocess.Process] = []
        self.logs: list[asyncio.Task[bytes]] = []
        self.addAsyncCleanup(self.end_all)

    async def end_all(self) -> None:
        for daemon in self.daemons:
            if daemon.returncode is None:
                daemon.kill()
            await daemon.wait()
        await asyncio.gather(*self.logs)
        self.accept.close()
        self.backend.stop()

    async def start_process(self, folder: str, limit_mb: float) -> asyncio.subprocess.Process:
        known = {"generation": 1, "reset": True, "instances": [listing_entry("SERVING", self.backend.port)]}
        daemon = await self.start_daemon(
            folder,
            {"TMPDIR": folder, "RELAY_ACCEPT_FD": str(self.accept.fileno())},
            (self.accept.fileno(),),
            known=known,
            limits={"memory_mb": limit_mb, "sockets": 1024},
            settings={**FACTS, "Contracts": FAST_PLANS},
        )
        self.daemons.append(daemon)
        return daemon

    async def start_ready(self, folder: str, limit_mb: float) -> asyncio.subprocess.Process:
        daemon = await self.start_process(folder, limit_mb)
        await self.wait_for_line(daemon, b"event='ready'")
        assert daemon.stderr
        self.logs.append(asyncio.create_task(daemon.stderr.read()))  # a full pipe would stop it
        return daemon

    async def measure_process(self, folder: str) -> float:
        daemon = await self.start_ready(folder, 192)
        taken = memory_mb(daemon.pid)
        daemon.kill()
        await daemon.wait()
        return taken

    def memory_together(self) -> float:
        total = 0.0
        for daemon in self.daemons:
            with contextlib.suppress(OSError, AssertionError):
                total += memory_mb(daemon.pid) if daemon.returncode is None else 0.0
        return total

    async def upload(self, number: int) -> None:
        """Upload one body after the other, each on a new connection."""
        while True:
            number += UPLOADERS
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    head = upload_head(f"Content-Length: {len(UPLOAD)}").replace(b"NUMBER", b"%d" % number)
                    writer.write(head + UPLOAD)
                    status = (await reader.readuntil(b"\r\n\r\n"))[9:12]
                    self.statuses[status] = self.statuses.get(status, 0) + 1
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.01)

    async def watch(self, most: list[float]) -> None:
        while True:
            most[0] = max(most[0], self.memory_together())
            await asyncio.sleep(0.02)

    async def test_two_processes_under_long_uploads_stay_within_one_limit(self) -> None:
        # Each process of an upgrade divided the whole limit, and the front was killed with its requests.
        self.statuses: dict[bytes, int] = {}
        with tempfile.TemporaryDirectory() as folder:
            limit_mb = 2 * await self.measure_process(folder) + ROOM_MB
            old = await self.start_ready(folder, limit_mb)
            most = [0.0]
            tasks = [asyncio.create_task(self.upload(number)) for number in range(UPLOADERS)]
            tasks.append(asyncio.create_task(self.watch(most)))
            await asyncio.sleep(1.5)
            served_alone = self.statuses[b"200"]
            new = await self.start_ready(folder, limit_mb)
            await asyncio.sleep(1.0)
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            served_until_then = self.statuses[b"200"]
            await asyncio.sleep(1.5)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert new.returncode is None
        assert most[0] < limit_mb
        assert served_alone > 0
        assert self.statuses[b"200"] > served_until_then  # the new process has the whole limit


class StartWaitTests(DaemonCase):
    """A new process beside a record that leaves no room; the process of that record is the test's parent."""

    def write_record(self, folder: str, memory: int) -> Path:
        path = Path(folder) / f"{RECORD_PREFIX}{os.getppid()}"
        fields = f"started={process_start(os.getppid())} memory_limit={96 * MEBIBYTE}"
        path.write_text(f"{fields} memory={memory} process={20 * MEBIBYTE} sockets=100\n")
        return path

    def records(self, folder: str) -> list[Path]:
        return list(Path(folder).glob(f"{RECORD_PREFIX}*"))

    async def start_waiting(self, folder: str) -> asyncio.subprocess.Process:
        limits = {"memory_mb": 96, "sockets": 1024}
        daemon = await self.start_daemon(folder, {"TMPDIR": folder}, limits=limits)
        await self.wait_for_line(daemon, b"event='start_waits'")
        return daemon

    async def test_process_waits_small_until_there_is_room(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.write_record(folder, 96 * MEBIBYTE)
            daemon = await self.start_waiting(folder)
            await asyncio.sleep(0.3)
            assert memory_mb(daemon.pid) < 12
            daemon.send_signal(signal.SIGHUP)  # must not end it
            self.write_record(folder, 48 * MEBIBYTE)
            await self.wait_for_line(daemon, b"event='ready'")
            daemon.kill()
            await daemon.wait()

    async def test_process_starts_when_the_other_one_has_gone(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = self.write_record(folder, 96 * MEBIBYTE)
            daemon = await self.start_waiting(folder)
            path.unlink()
            await self.wait_for_line(daemon, b"event='ready'")
            daemon.kill()
            await daemon.wait()

    async def test_sigterm_ends_a_waiting_process_and_its_record(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = self.write_record(folder, 96 * MEBIBYTE)
            daemon = await self.start_waiting(folder)
            daemon.send_signal(signal.SIGTERM)
            assert await daemon.wait() == 0
            assert self.records(folder) == [path]
