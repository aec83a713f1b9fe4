"""Tests of the distribution with processes: a source, two relays behind faulty links, and eight fronts."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from cleatyoke.emulation.network import Network
from cleatyoke.testbed.front_settings import settings_of
from cleatyoke.testbed.peer import Peer, hold_port
from cleatyoke.testbed.scenario_file import parse_scenario

ROOT = Path(__file__).resolve().parent.parent
FRONTS = 8


def make_settings(worth: float = 3.0) -> dict[str, Any]:
    values = {"fleet": {"fronts": 1, "boxes": 2, "seconds": 5}, "load": {"rate": 10}}
    found = settings_of(parse_scenario("d", values))
    found["Lanes"][0]["Worth"] = worth
    return found


class FaultyLink(Peer):
    """Proxy between fronts and a relay that drops, truncates or corrupts exchanges at random, by a seed."""

    def __init__(self, target: int, network: Network) -> None:
        super().__init__()
        self.target, self.network, self.exchange_count = target, network, 0

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        size = await reader.readexactly(4)
        poll = size + await reader.readexactly(int.from_bytes(size, "big"))
        self.exchange_count += 1
        deliveries = self.network.datagram("front", f"relay:{self.target}:{self.exchange_count}", poll)
        if not deliveries:
            return
        await asyncio.sleep(deliveries[0][0])
        relay_reader, relay_writer = await asyncio.open_connection("127.0.0.1", self.target)
        relay_writer.write(deliveries[0][1])
        reply = await relay_reader.read()
        relay_writer.transport.abort()
        for _, received in self.network.datagram(
            f"relay:{self.target}:{self.exchange_count}", "front", reply
        )[:1]:
            writer.write(received if self.exchange_count % 23 else received[: len(received) // 2])
            await writer.drain()
            writer.write_eof()
            await reader.read()


class Process:
    """A process of the test, with its output in a file."""

    def __init__(self, arguments: Iterable[str], env: dict[str, str] | None = None) -> None:
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        self.log = tempfile.TemporaryFile("a+b")  # noqa: SIM115 (closed by the test)
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            env={**inherited, **(env or {})},
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def text(self) -> str:
        self.log.seek(0)
        return self.log.read().decode()

    def stop(self, number: signal.Signals = signal.SIGKILL) -> int:
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        return self.process.wait(20)


def free_port() -> int:
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        return int(reserved.getsockname()[1])


def send_command(address: int, line: str) -> list[str]:
    with socket.create_connection(("127.0.0.1", address), 3) as connection:
        connection.sendall(line.encode() + b"\n")
        data = b""
        while more := connection.recv(65536):
            data += more
    return data.decode().splitlines()


class FrontProcess(Process):
    def __init__(self, number: int, folder: Path, relays: list[int], nodes: bool = False) -> None:
        self.number, self.folder, self.ops = number, folder, free_port()
        folder.mkdir(exist_ok=True)
        relay_addresses = json.dumps([f"127.0.0.1:{relay}" for relay in relays])
        (folder / "fronts.toml").write_text(
            f'[distribution]\nenabled = true\ndeployment = "d"\nrelays = {relay_addresses}\npoll_s = 0.3\n'
            f"bytes_s = 1e6\nnodes = {str(nodes).lower()}\n"
        )
        config = {
            "name": f"n{number}",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "ops": f"127.0.0.1:{self.ops}",
            "seed": f"{number:x}",
            "known": {"generation": 1, "reset": True, "instances": [node("s-a", "SERVING")]},
            "settings": make_settings(),
        }
        (folder / "config.json").write_text(json.dumps(config))
        super().__init__(
            ["cleatyoke", "--fronts", str(folder / "fronts.toml")],
            {"RELAY_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)},
        )

    def config(self) -> dict[str, str]:
        with contextlib.suppress(OSError):
            lines = send_command(self.ops, "show-config")
            return dict(line.removeprefix("config.").split("=", 1) for line in lines if "=" in line)
        return {}


def node(name: str, state: str) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": "127.0.0.1:1",
        "zone": "z",
        "cell": 0,
        "lifecycle": state,
        "startedAtMs": 0,
    }


def wait_for(condition: Callable[[], Any], timeout: float = 20.0) -> Any:
    """Poll the condition until its result is true, and return that."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if found := condition():
            return found
        time.sleep(0.05)
    msg = f"condition is not true after {timeout} s"
    raise AssertionError(msg)


class TestProcesses(unittest.TestCase):
    def setUp(self) -> None:
        self.enterContext(contextlib.closing(contextlib.ExitStack()))
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        (self.folder / "keys").mkdir()

    def run_process(self, process: Process) -> Any:
        self.stack.callback(process.log.close)
        self.stack.callback(process.stop)
        return process

    def write(self, key: str, value: Any) -> None:
        path = self.folder / "keys" / f"{key}.json"
        path.parent.mkdir(exist_ok=True)
        temporary = path.with_suffix(".new")
        temporary.write_text(value if isinstance(value, str) else json.dumps(value))
        temporary.replace(path)

    def start_source(self, listen: int) -> Process:
        arguments = [
            *("cleatyoke.distribution", "source", "--listen", f"127.0.0.1:{listen}", "--deployment", "d"),
            *("--folder", str(self.folder / "keys"), "--epoch", str(self.folder / "epoch")),
        ]
        return self.run_process(Process(arguments))

    def start_relay(self, number: int, listen: int, source: int) -> Process:
        arguments = [
            *("cleatyoke.distribution", "relay", "--listen", f"127.0.0.1:{listen}", "--deployment", "d"),
            *("--name", f"relay-{number}", "--upstream", f"127.0.0.1:{source}"),
        ]
        return self.run_process(Process(arguments))

    def links(self, relays: list[int]) -> list[int]:
        """Start a faulty link to each relay, in an event loop of their own; return the ports of the links."""
        network = Network(7, loss=0.02, corruption=0.02)
        links = [FaultyLink(relay, network) for relay in relays]
        loop = asyncio.new_event_loop()
        import threading

        thread = threading.Thread(target=loop.run_forever, daemon=True)
        thread.start()
        for link in links:
            asyncio.run_coroutine_threadsafe(link.start(), loop).result(5)

        def stop() -> None:
            for link in links:
                loop.call_soon_threadsafe(link.stop)
            loop.call_soon_threadsafe(loop.stop)
            thread.join(5)
            loop.close()

        self.stack.callback(stop)
        return [link.port for link in links]

    def test_eight_fronts_converge_despite_faults_kills_and_an_invalid_change(self) -> None:
        """Combines faulty links, relays that are killed during changes, and a change that is not valid.

        Links drop, truncate and corrupt exchanges. All fronts must put the same valid settings in force,
        reject the invalid change by its key, and keep their settings while no relay runs. A front that
        restarts in that time must serve with the settings of its file.
        """
        reserved = [hold_port() for _ in range(3)]
        for one in reserved:
            self.stack.callback(one.close)
        source_port, *relay_ports = (int(one.getsockname()[1]) for one in reserved)
        self.write("settings", make_settings())
        source = self.start_source(source_port)
        relays = [self.start_relay(number, port, source_port) for number, port in enumerate(relay_ports)]
        links = self.links(relay_ports)
        fronts: list[FrontProcess] = [
            self.run_process(FrontProcess(number, self.folder / f"n{number}", links, nodes=True))
            for number in range(FRONTS)
        ]

        def all_in_force(number: int) -> bool:
            return all(one.config().get("in_force", "").endswith(f".{number}") for one in fronts)

        wait_for(lambda: all_in_force(1))
        self.write("settings/Lanes", make_settings(worth=7.0)["Lanes"])
        self.write("nodes/s-a", node("s-a", "DRAINING"))
        source.process.send_signal(signal.SIGHUP)
        relays[0].stop()  # during the change
        wait_for(lambda: all(one.config().get("known", "").endswith(".3") for one in fronts))
        wait_for(lambda: all("front.hosts_down=1" in send_command(one.ops, "show-stat") for one in fronts))

        self.write("settings/PolicyLimits", {**make_settings()["PolicyLimits"], "SendCap": "many"})
        source.process.send_signal(signal.SIGHUP)
        wait_for(
            lambda: all("SendCap" in one.config().get("refused.settings/PolicyLimits", "") for one in fronts)
        )
        assert all(one.config()["in_force"].endswith(".3") for one in fronts), (
            "the previous settings stay in force"
        )
        self.write("settings/Lanes", make_settings(worth=8.0)["Lanes"])
        source.process.send_signal(signal.SIGHUP)
        wait_for(lambda: all_in_force(5))

        relays[1].stop()
        fronts[0].stop(signal.SIGTERM)
        fronts[0] = self.run_process(FrontProcess(0, self.folder / "n0", links))
        wait_for(lambda: "event='ready'" in fronts[0].text())
        assert fronts[0].config()["in_force"] == "0.0"
        assert fronts[1].config()["in_force"].endswith(".5")
        relays += [self.start_relay(number, port, source_port) for number, port in enumerate(relay_ports)]
        wait_for(lambda: all_in_force(5))
        lines = send_command(fronts[1].ops, "show-stat")
        assert any(line.startswith("config.age_s=") for line in lines)
        for one in fronts:
            text = one.text()
            assert "_fault" not in text
            assert "config_in_force" in text
        assert source.stop(signal.SIGTERM) == 0

    def test_front_without_a_reachable_relay_starts_and_reports_it(self) -> None:
        """A control plane that is down must not prevent a front from starting."""
        front = self.run_process(FrontProcess(0, self.folder / "n0", [free_port()]))
        wait_for(lambda: "event='ready'" in front.text())
        found = front.config()
        assert (found["in_force"], found["age_s"], found["source"]) == ("0.0", "unknown", "none")
        wait_for(lambda: "event='config_old'" in front.text())
        assert front.stop(signal.SIGTERM) == 0

    def test_source_restart_raises_the_epoch_and_reports_invalid_files(self) -> None:
        """If a restarted source used the same epoch again, fronts would take its changes for old ones."""
        self.write("settings", make_settings())
        self.write("settings/broken", "{")
        listen = free_port()
        first = self.start_source(listen)
        text = wait_for(lambda: "event='ready'" in first.text() and first.text())
        assert "settings/broken: no JSON" in text
        epoch = int((self.folder / "epoch").read_text())
        first.stop(signal.SIGTERM)
        second = self.start_source(listen)
        wait_for(lambda: "event='ready'" in second.text())
        assert int((self.folder / "epoch").read_text()) > epoch
