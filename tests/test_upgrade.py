"""An upgrade: the listening socket is handed down, never bound again, and a bad one stops the start."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp

from cleatyoke.faults import Faults
from cleatyoke.figures import Figures
from cleatyoke.net.sockets import NotListening, take_listening
from tests.wire import FACTS

ROOT = Path(__file__).resolve().parent.parent


async def start(
    folder: str, variables: dict[str, str], fds: tuple[int, ...], listen: str = "127.0.0.1:0"
) -> asyncio.subprocess.Process:
    path = Path(folder) / "config.json"
    values = {"name": "n0", "listen": listen, "discovery": "127.0.0.1:1", "seed": "ff", "settings": FACTS}
    path.write_text(json.dumps(values))
    kept = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cleatyoke", cwd=ROOT, stderr=asyncio.subprocess.PIPE, pass_fds=fds,
        env={**kept, **variables, "RELAY_CONFIG": str(path)},
    )  # fmt: skip


class Inherited(unittest.TestCase):
    def test_only_a_listening_tcp_socket_is_taken_and_nothing_else_is_closed(self) -> None:
        with tempfile.TemporaryFile() as plain, socket.socket() as unbound:
            for descriptor in (plain.fileno(), unbound.fileno()):
                with self.assertRaises(NotListening):
                    take_listening(descriptor)
                os.fstat(descriptor)  # still open
        with self.assertRaises(NotListening):
            take_listening(999)


class Upgrade(unittest.IsolatedAsyncioTestCase):
    async def test_two_processes_serve_from_one_socket_that_neither_binds(self) -> None:
        shared = socket.create_server(("127.0.0.1", 0), backlog=64)
        port = shared.getsockname()[1]
        variables = {"RELAY_ACCEPT_FD": str(shared.fileno())}
        with tempfile.TemporaryDirectory() as folder:
            # RELAY_LISTEN names the port that is taken: a process that bound it would fail to start
            listen = f"127.0.0.1:{port}"
            old = await start(folder, variables, (shared.fileno(),), listen)
            new = await start(folder, variables, (shared.fileno(),), listen)
            try:
                for daemon in (old, new):
                    assert daemon.stderr
                    async with asyncio.timeout(10):
                        while b"event='ready'" not in (line := await daemon.stderr.readline()):
                            self.assertTrue(line, "the daemon ended")
                await asyncio.sleep(1.1)  # without discovery or an old list, /up says yes after 1 s
                async with aiohttp.ClientSession() as client:
                    for _ in range(20):
                        async with client.get(f"http://127.0.0.1:{port}/up") as response:
                            self.assertEqual(response.status, 200)
                old.terminate()
                self.assertEqual(await old.wait(), 0)
                async with aiohttp.ClientSession() as client:
                    for _ in range(20):
                        async with client.get(f"http://127.0.0.1:{port}/up") as response:
                            self.assertEqual(response.status, 200)
            finally:
                for daemon in (old, new):
                    if daemon.returncode is None:
                        daemon.kill()
                        await daemon.wait()
                shared.close()

    async def test_a_descriptor_that_is_no_listening_socket_stops_the_start_by_name(self) -> None:
        with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryFile() as plain:
            for text, fds in (("four", ()), (str(plain.fileno()), (plain.fileno(),))):
                daemon = await start(folder, {"RELAY_ACCEPT_FD": text}, fds)
                assert daemon.stderr
                rest = await daemon.stderr.read()
                self.assertEqual(await daemon.wait(), 2)
                self.assertIn(b"cleatyoke: RELAY_ACCEPT_FD:", rest)


class SharedLimits(unittest.IsolatedAsyncioTestCase):
    async def test_while_another_process_of_the_front_lives_each_has_half_of_every_limit(self) -> None:
        from cleatyoke.net.handover import MARK, Lives
        from tests.wire import config

        settings = config().settings
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / f"{MARK}{2**22 + 7}").write_text("")  # a process that died
            lives = Lives(Path(folder), settings, Faults(Figures()))
            self.assertEqual(settings.limit_share, 1.0)
            (Path(folder) / f"{MARK}{os.getppid()}").write_text("")  # one that lives
            lives.start()
            self.assertEqual(settings.limit_share, 0.5)
            (Path(folder) / f"{MARK}{os.getppid()}").unlink()
            await asyncio.sleep(0.12)
            self.assertEqual(settings.limit_share, 1.0)
            lives.stop()
            self.assertFalse(lives.mark.exists())

    def test_the_policy_passes_half_as_much_on_a_limit_that_is_shared(self) -> None:
        from dataclasses import replace

        from cleatyoke import api
        from cleatyoke.rules import Policy

        def sent(share: float) -> int:
            plan = api.PlanSpec(worth=1.0, rate=6.0, reserve=0.0, weight=1.0, limit=10.0, limit_burst=10.0,
                                limit_slack=2.0)  # fmt: skip
            kind = api.ClassSpec(aim=0.2, worth=3.0, late_share=0.1, repeat=api.Repeat.FREE,
                                 scope=api.Scope.ALL, memory=5.0, ordered=False)  # fmt: skip
            safety = api.Safety(cold_from=0.16, ramp=14.0, tip_multiple=2.0, tip_after=2.0, ask_every=None,
                                key_rest=0.0, extra_free=None, extra_ratio=None,
                                extra_window=None)  # fmt: skip
            settings = api.Settings(classes=[kind], plans=[plan], safety=safety, seed=1, hosts=1,
                                    must_watch=False, max_attempts=4, cancel=True, cold_units=20.0,
                                    largest=8.0, mean=2.0, within_share=0.35, quiet_since=90.0)  # fmt: skip
            policy = Policy(replace(settings, limit_share=share))
            node = api.NodeEntry(node=11, cell=0, zone=0, state=api.NodeState.LIVE, up_since=0.0)
            policy.step(100.0, [api.NodeList(api.ListKind.FULL, [node])])
            count = 0
            for number in range(40):
                now = 100.0 + number * 0.05
                ask = api.Arrival(request=str(number), class_index=0, plan=0, volume=1, item=number, cell=0,
                                  units=1.0, deadline=now + 1.5, hosts=1)  # fmt: skip
                for action in policy.step(now, [ask]):
                    if isinstance(action, api.Send):
                        count += 1
                        policy.step(now, [api.Ended(action.request, 0, 11, api.Outcome.SERVED, 0.001, True)])
            return count

        whole, half = sent(1.0), sent(0.5)
        self.assertGreater(whole, 10)
        self.assertLess(half, whole * 0.7)
