"""The daemon's command: arguments, configuration, run."""

from __future__ import annotations

from cleatyoke.process import fast_import  # noqa: F401  must precede every import of asyncio

# isort: split
import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NoReturn

from cleatyoke import PROCESS_STARTED_AT
from cleatyoke.config.deployment import read_config
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import FRONTS_FILE
from cleatyoke.process.daemon import run
from cleatyoke.process.lifecycle import ExitStatus
from cleatyoke.process.logs import configure_logging
from cleatyoke.process.own_memory import own_memory


def main(arguments: Sequence[str] = (), process_started_at: float = PROCESS_STARTED_AT) -> int:
    """Run the daemon and return its exit status (``docs/exits.md``).

    ``process_started_at``: the Unix time from which this process may use the rate limits.
    """
    configure_logging()
    try:
        fronts_file = read_arguments(arguments)
        memory = own_memory()
        config = read_config(os.environ, fronts_file, process_bytes=memory.total if memory else None)
        status = asyncio.run(run(config, fronts_file, memory, process_started_at))
    except ConfigError as error:
        print(f"cleatyoke: {error}", file=sys.stderr)
        status = ExitStatus.START_FAILED
    return status.value


def read_arguments(arguments: Sequence[str]) -> Path:
    """Return the fronts file: that of ``--fronts`` or the one in ``deploy/``. Raises ``ConfigError``."""
    if not arguments:
        return FRONTS_FILE
    if len(arguments) != 2 or arguments[0] != "--fronts":
        msg = f"arguments: want none or --fronts FILE, found {' '.join(arguments)}"
        raise ConfigError(msg)
    return Path(arguments[1])


def exit_immediately(status: int) -> NoReturn:
    """Exit the process without finalizing the interpreter.

    All resources are already released. Finalizing modules and objects takes longest on a busy machine, where
    the process is most likely to run into SIGKILL.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
