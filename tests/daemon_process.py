"""Starts a daemon as a separate process, for tests."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

from tests.scripted_peers import FACTS

ROOT = Path(__file__).resolve().parent.parent


async def start_daemon(
    folder: str, variables: dict[str, str], fds: tuple[int, ...], listen: str = "127.0.0.1:0"
) -> asyncio.subprocess.Process:
    """Start ``python -m cleatyoke`` with a configuration in ``folder`` and these environment variables."""
    path = Path(folder) / "config.json"
    values = {"name": "n0", "listen": listen, "discovery": "127.0.0.1:1", "seed": "ff", "settings": FACTS}
    path.write_text(json.dumps(values))
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cleatyoke",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        pass_fds=fds,
        env={**inherited, **variables, "RELAY_CONFIG": str(path)},
    )
