"""Exit status, log and error output of the daemon."""

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


class ExitStatusTests(unittest.IsolatedAsyncioTestCase):
    """Runs the daemon as a process, and checks its exit status and log."""

    async def run_daemon(self, folder: str, signals: list[int], file_to_block: str = "") -> tuple[int, bytes]:
        """Start the daemon, send the signals once it is ready, and return its exit status and log.

        Before the signals, ``file_to_block`` in TMPDIR is replaced by a directory of the same name.
        """
        process = await start_daemon(folder, {"TMPDIR": folder}, ())
        assert process.stderr
        log = b""
        async with asyncio.timeout(15):
            while b"event='ready'" not in log:
                line = await process.stderr.readline()
                if not line:
                    break
                log += line
            if file_to_block:
                path = Path(folder) / file_to_block.replace("PID", str(process.pid))
                path.unlink(missing_ok=True)
                path.mkdir()
                await asyncio.sleep(0.4)  # the daemon polls it meanwhile
            for number in signals:
                process.send_signal(number)
                await asyncio.sleep(0.1)
            log += await process.stderr.read()
            return await process.wait(), log

    def remove_marker(self, folder: str) -> None:
        """Remove the directory that replaced the marker file."""
        next(Path(folder).glob("cleatyoke-life-*")).rmdir()

    async def test_several_signals_cause_one_shutdown_and_status_0(self) -> None:
        """Operators or the platform may send several signals.

        The shutdown must neither restart nor be cut short, and must end with status 0.
        """
        with tempfile.TemporaryDirectory() as folder:
            status, log = await self.run_daemon(
                folder, [signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGINT]
            )
        assert status == 0, log
        assert (log.count(b"event='leaving'"), log.count(b"event='left'")) == (1, 1), log

    async def test_failed_release_step_is_logged_and_status_is_0(self) -> None:
        """The process's marker in $TMPDIR cannot be removed, as it has become a directory.

        That step of the shutdown fails; the fault is logged, the other steps are carried out, and the exit
        status is 0.
        """
        with tempfile.TemporaryDirectory() as folder:
            status, log = await self.run_daemon(folder, [signal.SIGTERM], file_to_block="cleatyoke-life-PID")
            self.remove_marker(folder)
        assert status == 0, log
        assert b"event='step_fault'" in log
        assert b"event='left'" in log

    async def test_unreadable_hold_file_ends_neither_process_nor_polling(self) -> None:
        """The hold file contains invalid bytes; the front starts, serves and stops as without holds."""
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "cleatyoke-holds.json").write_bytes(b"\xff\xfe\x00")
            status, log = await self.run_daemon(folder, [signal.SIGTERM])
        assert status == 0, log
        assert b"fault'" not in log

    async def test_unforeseen_exception_during_start_is_a_config_error(self) -> None:
        """The listener raises an exception that the start does not expect.

        No client has been accepted, so the start fails with an error that names the exception.
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
                mock.patch.object(daemon.HttpServer, "listen", side_effect=RuntimeError("unexpected")),
                pytest.raises(ConfigError, match="start: RuntimeError: unexpected"),
            ):
                await daemon.run(config)

    def test_malformed_settings_raise_errors_that_name_the_key(self) -> None:
        """Malformed values must not cause an IndexError, TypeError or RecursionError, as these once did."""
        for change, message in (
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
                with pytest.raises(ConfigError, match=message):
                    read_config({"RELAY_CONFIG": str(path)})
