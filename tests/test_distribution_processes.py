"""The distribution as processes: a source, two relays behind links that lose, cut and spoil, eight fronts;
its parts at the edge: the folder, the contents, the status, what operators are told."""

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

import pytest

from cleatyoke.admin.control import ControlCommands, answer
from cleatyoke.config.deployment import Address, ConfigError, DistributionSettings, read_config, read_fronts
from cleatyoke.distribution.__main__ import main
from cleatyoke.distribution.contents import (
    DistributedSettings,
    lane_of,
    listed_nodes,
    settings_entries,
)
from cleatyoke.distribution.errors import (
    EpochError,
    InvalidValueError,
)
from cleatyoke.distribution.folder import (
    ConfigFolder,
    next_epoch,
)
from cleatyoke.distribution.records import MAX_VALUE_BYTES, Entry, Lane, Version
from cleatyoke.distribution.subscriber_messages import (
    DeliverChanges,
)
from cleatyoke.distribution.subscription import Subscription
from cleatyoke.emulation.network import Network
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.testbed.peer import Peer, hold_port
from cleatyoke.testbed.scenario import make_scenario, settings_of
from cleatyoke.transport.framing import MessageTooLongError, read_message

ROOT = Path(__file__).resolve().parent.parent
FRONTS = 8


def facts(worth: float = 3.0) -> dict[str, Any]:
    values = {"fleet": {"fronts": 1, "boxes": 2, "seconds": 5}, "load": {"rate": 10}}
    found = settings_of(make_scenario("d", values))
    found["Lanes"][0]["Worth"] = worth
    return found


class FaultLink(Peer):
    """Between fronts and one relay: of the exchanges some are lost, cut off or spoilt, by their draws."""

    def __init__(self, target: int, network: Network) -> None:
        super().__init__()
        self.target, self.network, self.met = target, network, 0

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        size = await reader.readexactly(4)
        poll = size + await reader.readexactly(int.from_bytes(size, "big"))
        self.met += 1
        passages = self.network.datagram("front", f"relay:{self.target}:{self.met}", poll)
        if not passages:
            return
        await asyncio.sleep(passages[0][0])
        there, back = await asyncio.open_connection("127.0.0.1", self.target)
        back.write(passages[0][1])
        reply = await there.read()
        back.transport.abort()
        for _, came in self.network.datagram(f"relay:{self.target}:{self.met}", "front", reply)[:1]:
            writer.write(came if self.met % 23 else came[: len(came) // 2])
            await writer.drain()
            writer.write_eof()
            await reader.read()


class Process:
    """One of the processes; its log is kept."""

    def __init__(self, words: Iterable[str], env: dict[str, str] | None = None) -> None:
        kept = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        self.log = tempfile.TemporaryFile("a+b")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, "-m", *words],
            cwd=ROOT,
            env={**kept, **(env or {})},
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


def port() -> int:
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return int(held.getsockname()[1])


def call(address: int, line: str) -> list[str]:
    with socket.create_connection(("127.0.0.1", address), 3) as connection:
        connection.sendall(line.encode() + b"\n")
        data = b""
        while more := connection.recv(65536):
            data += more
    return data.decode().splitlines()


class FrontProcess(Process):
    def __init__(self, number: int, folder: Path, relays: list[int], nodes: bool = False) -> None:
        self.number, self.folder, self.ops = number, folder, port()
        folder.mkdir(exist_ok=True)
        texts = json.dumps([f"127.0.0.1:{relay}" for relay in relays])
        (folder / "fronts.toml").write_text(
            f'[distribution]\nenabled = true\ndeployment = "d"\nrelays = {texts}\npoll_s = 0.3\n'
            f"bytes_s = 1e6\nnodes = {str(nodes).lower()}\n"
        )
        config = {
            "name": f"n{number}",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "ops": f"127.0.0.1:{self.ops}",
            "seed": f"{number:x}",
            "known": {"generation": 1, "reset": True, "instances": [node("s-a", "SERVING")]},
            "settings": facts(),
        }
        (folder / "config.json").write_text(json.dumps(config))
        super().__init__(
            ["cleatyoke", "--fronts", str(folder / "fronts.toml")],
            {"RELAY_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)},
        )

    def config(self) -> dict[str, str]:
        with contextlib.suppress(OSError):
            lines = call(self.ops, "show-config")
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


def wait_for(what: Callable[[], Any], seconds: float = 20.0) -> Any:
    """What it returns once that is true."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if found := what():
            return found
        time.sleep(0.05)
    raise AssertionError("it never came")


class Fleet(unittest.TestCase):
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
        spare = path.with_suffix(".new")
        spare.write_text(value if isinstance(value, str) else json.dumps(value))
        spare.replace(path)

    def start_source(self, listen: int) -> Process:
        words = [
            *("cleatyoke.distribution", "source", "--listen", f"127.0.0.1:{listen}", "--deployment", "d"),
            *("--folder", str(self.folder / "keys"), "--epoch", str(self.folder / "epoch")),
        ]
        return self.run_process(Process(words))

    def start_relay(self, number: int, listen: int, source: int) -> Process:
        words = [
            *("cleatyoke.distribution", "relay", "--listen", f"127.0.0.1:{listen}", "--deployment", "d"),
            *("--name", f"relay-{number}", "--upstream", f"127.0.0.1:{source}"),
        ]
        return self.run_process(Process(words))

    def links(self, relays: list[int]) -> list[int]:
        """Ports of fault links before the relays, in a loop of their own."""
        network = Network(7, loss=0.02, garbles=0.02)
        links = [FaultLink(relay, network) for relay in relays]
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

    def test_eight_fronts_two_relays_faults_kills_and_a_change_that_is_not_valid(self) -> None:
        held = [hold_port() for _ in range(3)]
        for one in held:
            self.stack.callback(one.close)
        source_port, *relay_ports = (int(one.getsockname()[1]) for one in held)
        self.write("settings", facts())
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
        self.write("settings/Lanes", facts(worth=7.0)["Lanes"])
        self.write("nodes/s-a", node("s-a", "DRAINING"))
        source.process.send_signal(signal.SIGHUP)
        relays[0].stop()  # amid it
        wait_for(lambda: all(one.config().get("known", "").endswith(".3") for one in fronts))
        wait_for(lambda: all("front.hosts_down=1" in call(one.ops, "show-stat") for one in fronts))

        self.write("settings/PolicyLimits", {**facts()["PolicyLimits"], "SendCap": "many"})
        source.process.send_signal(signal.SIGHUP)
        wait_for(
            lambda: all("SendCap" in one.config().get("refused.settings/PolicyLimits", "") for one in fronts)
        )
        assert all(one.config()["in_force"].endswith(".3") for one in fronts), "it stays"
        self.write("settings/Lanes", facts(worth=8.0)["Lanes"])
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
        lines = call(fronts[1].ops, "show-stat")
        assert any(line.startswith("config.age_s=") for line in lines)
        for one in fronts:
            text = one.text()
            assert "_fault" not in text
            assert "config_in_force" in text
        assert source.stop(signal.SIGTERM) == 0

    def test_a_front_with_no_relay_at_all_starts_and_says_so(self) -> None:
        front = self.run_process(FrontProcess(0, self.folder / "n0", [port()]))
        wait_for(lambda: "event='ready'" in front.text())
        found = front.config()
        assert (found["in_force"], found["age_s"], found["source"]) == ("0.0", "unknown", "none")
        wait_for(lambda: "event='config_old'" in front.text())
        assert front.stop(signal.SIGTERM) == 0

    def test_a_source_begins_each_life_with_a_higher_epoch_and_refuses_files_by_name(self) -> None:
        self.write("settings", facts())
        self.write("settings/broken", "{")
        listen = port()
        first = self.start_source(listen)
        text = wait_for(lambda: "event='ready'" in first.text() and first.text())
        assert "settings/broken: no JSON" in text
        epoch = int((self.folder / "epoch").read_text())
        first.stop(signal.SIGTERM)
        second = self.start_source(listen)
        wait_for(lambda: "event='ready'" in second.text())
        assert int((self.folder / "epoch").read_text()) > epoch


# The edges


def test_a_folder_tells_what_changed_and_keeps_what_it_can_t_take_as_it_was(tmp_path: Path) -> None:
    folder = ConfigFolder(tmp_path)
    (tmp_path / "settings").mkdir()
    (tmp_path / "settings.json").write_text("{}")
    (tmp_path / "settings" / "a.json").write_text("1")
    (tmp_path / "notes.txt").write_text("no key")
    assert folder.scan().changes == {"settings": b"{}", "settings/a": b"1"}
    assert not folder.scan().changes
    (tmp_path / "settings" / "a.json").write_text("{")
    (tmp_path / "large.json").write_text("1" * (MAX_VALUE_BYTES + 1))
    (tmp_path / ("k" * 130 + ".json")).write_text("1")
    found = folder.scan()
    assert not found.changes
    assert [line.partition(":")[0] for line in found.rejected] == [
        "k" * 40,
        "large",
        "settings/a",
    ]
    (tmp_path / "settings" / "a.json").unlink()
    assert folder.scan().changes == {"settings/a": None}


def test_an_epoch_only_rises_and_stands_on_the_disk(tmp_path: Path) -> None:
    path = tmp_path / "epoch"
    assert next_epoch(path, 5.0) == 5000
    assert next_epoch(path, 1.0) == 5001, "whatever the clock did"
    assert path.read_text() == "5001\n"
    path.write_text("soon")
    with pytest.raises(EpochError, match="epoch"):
        next_epoch(path, 9.0)


def entry(key: str, number: int, value: Any) -> Entry:
    return Entry(key, Version(1, number), None if value is None else json.dumps(value).encode())


def test_settings_are_the_whole_with_parts_that_win_and_go() -> None:
    none = DistributedSettings()
    assert none.merged({"a": 1}) == {"a": 1}
    part = none.with_entries([entry("settings/b", 2, 5)])
    assert part.merged({"a": 1}) == {"a": 1, "b": 5}
    assert none.merged({"a": 1}) == {"a": 1}
    whole = part.with_entries([entry("settings", 3, {"b": 1, "c": 2})])
    assert whole.merged({"a": 1}) == {"b": 5, "c": 2}
    assert whole.version == Version(1, 3)
    assert whole.with_entries([entry("settings/b", 4, None)]).merged({}) == {"b": 1, "c": 2}
    with pytest.raises(InvalidValueError, match="settings"):
        whole.with_entries([entry("settings", 5, [1])]).merged({})
    mixed = [entry("settings/x", 9, 1), entry("nodes/a", 8, {}), entry("settings", 7, {})]
    assert [one.key for one in settings_entries(mixed)] == ["settings", "settings/x"]


def test_a_change_that_is_not_valid_holds_up_no_other() -> None:
    taken: list[dict[str, Any]] = []

    def put(settings: DistributedSettings) -> str:
        merged = settings.merged({})
        if merged.get("bad"):
            return "bad: is never valid"
        taken.append(merged)
        return ""

    async def play() -> Subscription:
        relays = DistributionSettings("d", [Address("127.0.0.1", 1)], [], False, 2.0, 2300.0)
        subscription = Subscription(relays, "n", 1, Faults(Metrics()), put, lambda listing: None)
        entries = [entry("settings/bad", 2, 1), entry("settings/a", 1, 1), entry("settings/c", 3, 3)]
        subscription.handle_action(DeliverChanges(Lane.SETTINGS, entries))
        subscription.handle_action(DeliverChanges(Lane.SETTINGS, [entry("settings/a", 4, 2)]))
        return subscription

    status = asyncio.run(play()).status
    assert taken == [{"a": 1}, {"a": 1, "c": 3}, {"a": 2, "c": 3}]
    assert status.in_force == Version(1, 4)
    assert [(key, one.version.number, one.reason) for key, one in status.rejected.items()] == [
        ("settings/bad", 2, "bad: is never valid")
    ]
    assert "config.refused.settings/bad=2 bad: is never valid" in status.lines(0.0)


def test_nodes_are_read_one_by_one_and_those_that_can_t_be_are_named() -> None:
    bad = Entry("nodes/x", Version(1, 1), b"{")
    found, names = listed_nodes([entry("nodes/a", 1, {"x": 1}), bad, entry("nodes/b", 2, None)])
    assert (found, names) == ([{"x": 1}], ["nodes/x"])
    assert lane_of("nodes/a") is Lane.NODES
    assert lane_of("settings/a") is Lane.SETTINGS


def test_a_message_over_the_bound_is_refused_before_it_is_read() -> None:
    async def read() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data((101).to_bytes(4, "big"))
        with pytest.raises(MessageTooLongError):
            await read_message(reader, 100)

    asyncio.run(read())


def test_show_config_without_a_distribution_is_a_failure() -> None:
    commands = ControlCommands(
        ready=bool, figures=list, disable=bool, enable=bool, drain=lambda: None, resume=lambda: None
    )
    assert answer(commands, "show-config")[0].startswith("FAILURE")


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ('relays = ["127.0.0.1:1"]\ndeployment = ""', "deployment"),
        ('relays = []\ndeployment = "d"', "relays"),
        ('relays = ["here"]\ndeployment = "d"', "relays"),
        ('relays = [5]\ndeployment = "d"', "relays"),
        ('relays = ["127.0.0.1:1"]\nothers = ["x"]\ndeployment = "d"', "others"),
        ('relays = ["127.0.0.1:1"]\ndeployment = "d"\npoll_s = 0', "poll_s"),
        ('relays = ["127.0.0.1:1"]\ndeployment = "d"\npoll_s = nan', "poll_s"),
        ('relays = ["127.0.0.1:1"]\ndeployment = "d"\nbytes_s = 10', "bytes_s"),
        ('relays = ["127.0.0.1:1"]\ndeployment = "d"\nodd = 10', "odd"),
    ],
)
def test_a_fault_in_the_fronts_file_names_its_key(tmp_path: Path, line: str, key: str) -> None:
    path = tmp_path / "fronts.toml"
    path.write_text(f"[distribution]\nenabled = true\n{line}\n")
    with pytest.raises(ConfigError, match=key):
        read_fronts(path, {}, {})


def test_settings_that_lack_what_the_file_had_change_nothing(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    values = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": facts()}
    path.write_text(json.dumps(values))
    config = read_config({"RELAY_CONFIG": str(path)}, tmp_path / "none.toml")
    less = {key: value for key, value in facts().items() if key != "Safety"}
    with pytest.raises(ConfigError, match="Safety"):
        config.reload(read_config({"RELAY_CONFIG": str(path)}, tmp_path / "none.toml", lambda own: less))


@pytest.mark.parametrize(
    ("words", "begins"),
    [
        ("source", "--listen"),
        ("relay --listen here --deployment d --name r --upstream 127.0.0.1:1", "--listen"),
        ("relay --listen 127.0.0.1:0 --deployment d --name r", "--upstream"),
        ("relay --listen 127.0.0.1:0 --deployment d --name r --upstream 127.0.0.1:1 --most 0", "--most"),
        ("source --listen 127.0.0.1:0 --deployment d --folder /nowhere --epoch e", "--folder"),
        ("source --listen 127.0.0.1:0 --deployment d --folder . --epoch /nowhere/e", "--epoch"),
    ],
)
def test_a_bad_option_ends_with_one_line_that_begins_with_its_name(
    words: str, begins: str, capsys: pytest.CaptureFixture[str]
) -> None:
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert main(words.split()) == 2
    finally:
        signal.signal(signal.SIGHUP, before)
    told = capsys.readouterr().err.splitlines()
    assert len(told) == 1 and told[0].startswith(begins), told
