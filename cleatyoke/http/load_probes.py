"""Load probes on the wire: asks the backends that ``LoadProber`` names, one at a time, for their load.

It decides nothing. It is imported only where the settings let load be told by probes alone.
"""

from __future__ import annotations

import asyncio
import math

from cleatyoke.core import Core
from cleatyoke.http.backends import BackendPools
from cleatyoke.process.faults import Faults, run_forever
from cleatyoke.scheduling.events import UtilizationReported
from cleatyoke.scheduling.load_probes import LoadProber

POLL_INTERVAL = 0.5  # seconds between checks while there is nothing to ask
RESTART_DELAY = 1.0  # seconds until the probes begin again after a fault of the front's own


class LoadProbeRunner:
    """The load probes of one front. ``timeout``: seconds for one probe, its connection included."""

    def __init__(
        self, core: Core, backends: BackendPools, prober: LoadProber, timeout: float, faults: Faults
    ) -> None:
        self.core = core
        self.backends = backends
        self.prober = prober
        self.timeout = timeout
        self.faults = faults
        self._reported = 1.0  # the utilization that the scheduler was told last
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Follow the endpoint list, and probe in a task of its own."""
        self.core.endpoint_listeners.append(self.prober.on_endpoints)
        self._task = asyncio.create_task(run_forever(self.faults, "probes", self._run, lambda: RESTART_DELAY))

    def stop(self) -> None:
        """Probe no more."""
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
