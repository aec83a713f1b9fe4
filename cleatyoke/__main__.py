"""The daemon's command: ``python -m cleatyoke [--fronts FILE]``."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NoReturn

from cleatyoke.process import fast_import  # noqa: F401  before anything imports aiohttp

# isort: split
from cleatyoke.config.deployment import read_config
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import FRONTS_FILE
from cleatyoke.process.daemon import run
from cleatyoke.process.lifecycle import ExitStatus
from cleatyoke.process.logs import configure_logging


def main(arguments: Sequence[str] = ()) -> int:
    """Run the daemon and return its exit status (``docs/exits.md``)."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop handles it, it would end the process
    configure_logging()
    try:
        fronts_file = read_arguments(arguments)
        status = asyncio.run(run(read_config(os.environ, fronts_file), fronts_file))
    except ConfigError as error:
        print(f"cleatyoke: {error}", file=sys.stderr)
        status = ExitStatus.START_FAILED
    return status.value


def read_arguments(arguments: Sequence[str]) -> Path:
    """Return the fronts file: the one under ``deploy/`` unless another is named. Raises ``ConfigError``."""
    if not arguments:
        return FRONTS_FILE
    if len(arguments) != 2 or arguments[0] != "--fronts":
        msg = f"arguments: want none or --fronts FILE, found {' '.join(arguments)}"
        raise ConfigError(msg)
    return Path(arguments[1])


def exit_at_once(status: int) -> NoReturn:
    """End the process without the end of the interpreter.

    Everything is released by now, and taking all modules and objects apart takes longest when the machine is
    busy, which is when SIGKILL is near.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    exit_at_once(main(sys.argv[1:]))
