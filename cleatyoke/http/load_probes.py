"""The probes on the wire: asks the boxes that ``load.probes`` names, one at a time, and tells the policy.

Thin: it decides nothing. Imported only where the settings let load be told by probes alone.
"""

from __future__ import annotations

import asyncio
import math

from cleatyoke.core import Core
from cleatyoke.http.backends import BackendPools
from cleatyoke.process.faults import Faults, keep_up
from cleatyoke.scheduling.events import UtilizationReported
from cleatyoke.scheduling.load_probes import LoadProber

SLEEP = 0.5  # seconds between looks while there is nothing to ask
AGAIN = 1.0  # seconds until the duty is taken up again after a fault of our own


class LoadProbeRunner:
    """The duty of one front. ``within``: seconds for one probe, its connection included."""

    def __init__(
        self, core: Core, boxes: BackendPools, prober: LoadProber, within: float, faults: Faults
    ) -> None:
        self.core, self.backends, self.prober, self.within, self.faults = core, boxes, prober, within, faults
        self.told = 1.0
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.core.listeners.append(self.prober.listed)
        self.task = asyncio.create_task(keep_up(self.faults, "probes", self.run, lambda: AGAIN))

    def stop(self) -> None:
        if self.task:
            self.task.cancel()

    async def run(self) -> None:
        while True:
            now = self.core.now()
            node = self.prober.step(now)
            if node is None:
                await asyncio.sleep(min(SLEEP, max(0.0, self.prober.next_at(now) - now) or SLEEP))
                continue
            self.prober.told(node, now, await self.backends.probe_load(node, self.within))
            busy = self.prober.busy(self.core.now())
            if not math.isclose(busy, self.told):
                self.told = busy
                self.core.tell(UtilizationReported(busy))
