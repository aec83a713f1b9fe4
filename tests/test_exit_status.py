"""The exit status of the daemon, and what its log and standard error say."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import pytest

from cleatyoke.config.deployment import read_config
from cleatyoke.config.errors import ConfigError
from cleatyoke.process import daemon
from tests.daemon_process import start_daemon
from tests.scripted_peers import FACTS


class ExitStatuses(unittest.IsolatedAsyncioTestCase):
    """The daemon as a process: its exit status and what its log says."""

    async def run_daemon(self, folder: str, signals: list[int], broken: str = "") -> tuple[int, bytes]:
        """Start it, break the named file of TMPDIR once it serves, send the signals; status and log."""
        process = await start_daemon(folder, {"TMPDIR": folder}, ())
        assert process.stderr
        log = b""
        async with asyncio.timeout(15):
            while b"event='ready'" not in log:
                line = await process.stderr.readline()
                if not line:
                    break
                log += line
            if broken:
                path = Path(folder) / broken.replace("PID", str(process.pid))
                path.unlink(missing_ok=True)
                path.mkdir()
                await asyncio.sleep(0.4)  # it is polled meanwhile
            for number in signals:
                process.send_signal(number)
                await asyncio.sleep(0.1)
            log += await process.stderr.read()
            return await process.wait(), log

    def remove_marker(self, folder: str) -> None:
        """Remove the marker that the test has made a directory."""
        next(Path(folder).glob("cleatyoke-life-*")).rmdir()

    async def test_several_signals_cause_one_shutdown_with_status_0(self) -> None:
        """An operator or the platform signals more than once.

        The shutdown must neither begin again nor be cut short, and must end with status 0.
        """
        with tempfile.TemporaryDirectory() as folder:
            status, log = await self.run_daemon(
                folder, [signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGINT]
            )
        assert status == 0, log
        assert (log.count(b"event='leaving'"), log.count(b"event='left'")) == (1, 1), log

    async def test_what_cannot_be_released_is_logged_and_the_status_is_still_0(self) -> None:
        """The process's marker in $TMPDIR cannot be removed, as it has become a directory.

        That step of the shutdown fails; the fault is logged, the other steps are taken, and the status is
        0.
        """
        with tempfile.TemporaryDirectory() as folder:
            status, log = await self.run_daemon(folder, [signal.SIGTERM], broken="cleatyoke-life-PID")
            self.remove_marker(folder)
        assert status == 0, log
        assert b"event='step_fault'" in log
        assert b"event='left'" in log

    async def test_holds_that_cannot_be_read_end_neither_the_process_nor_the_polling(self) -> None:
        """The hold file contains garbage. The front starts, serves and stops as if there were no holds."""
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "cleatyoke-holds.json").write_bytes(b"\xff\xfe\x00")
            status, log = await self.run_daemon(folder, [signal.SIGTERM])
        assert status == 0, log
        assert b"fault'" not in log

    async def test_an_unforeseen_fault_at_the_start_is_status_2_with_one_line(self) -> None:
        """The listener raises something that nobody foresaw.

        No client was accepted yet, so the start fails with an error that names it.
        """
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(
                json.dumps(
                    {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": FACTS}
                )
            )
            config = read_config({"RELAY_CONFIG": str(path), "TMPDIR": folder})
            with (
                mock.patch.object(daemon.HttpServer, "listen", side_effect=RuntimeError("odd")),
                pytest.raises(ConfigError, match="start: RuntimeError: odd"),
            ):
                await daemon.run(config)

    def test_malformed_settings_are_errors_that_name_their_key(self) -> None:
        """Files that the reader once answered with an IndexError, TypeError or RecursionError."""
        for change, word in (
            ({"Lanes": []}, "settings.Lanes: want one"),
            ({"Contracts": []}, "settings.Contracts: want one"),
            ({"Extra": {"ChangesData": 7}}, "settings.Extra.ChangesData: want a list"),
            ({"Areas": 3}, "settings.Areas: want a list"),
            (None, "RELAY_CONFIG: "),
        ):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "config.json"
                values = {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
                path.write_text(
                    "[" * 100_000
                    if change is None
                    else json.dumps({**values, "settings": {**FACTS, **change}})
                )
                with pytest.raises(ConfigError, match=word):
                    read_config({"RELAY_CONFIG": str(path)})
