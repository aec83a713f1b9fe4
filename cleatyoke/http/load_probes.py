"""Sends load probes, one at a time, to the backends that ``LoadProber`` selects.

It makes no decisions itself. It is imported only if, by the settings, load is reported by probes alone.
"""

from __future__ import annotations

import asyncio
import math

from cleatyoke.core import Core
from cleatyoke.http.backends import BackendPools
from cleatyoke.process.faults import Faults, run_forever
from cleatyoke.scheduling.events import UtilizationReported
from cleatyoke.scheduling.load_probes import LoadProber

POLL_INTERVAL = 0.5  # seconds between checks while no probe is due
RESTART_DELAY = 1.0  # seconds until probing restarts after an internal error


class LoadProbeRunner:
    """The load probes of one front. ``timeout``: seconds for one probe, connecting included."""

    def __init__(
        self, core: Core, backends: BackendPools, prober: LoadProber, timeout: float, faults: Faults
    ) -> None:
        self.core = core
        self.backends = backends
        self.prober = prober
        self.timeout = timeout
        self.faults = faults
        self._reported = 1.0  # the utilization last reported to the scheduler
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Subscribe to the endpoint list and start the probing task."""
        self.core.endpoint_listeners.append(self.prober.on_endpoints)
        self._task = asyncio.create_task(run_forever(self.faults, "probes", self._run, lambda: RESTART_DELAY))

    def stop(self) -> None:
        """Stop probing."""
        if self._task:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            now = self.core.now()
            node = self.prober.step(now)
            if node is None:
                until_next = max(0.0, self.prober.next_at(now) - now)
                await asyncio.sleep(min(POLL_INTERVAL, until_next or POLL_INTERVAL))
                continue
            self.prober.on_report(node, now, await self.backends.probe_load(node, self.timeout))
            utilization = self.prober.utilization(self.core.now())
            if not math.isclose(utilization, self._reported):
                self._reported = utilization
                self.core.notify(UtilizationReported(utilization))
