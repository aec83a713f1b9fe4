"""Limits of volumes by rights: what is asked for here, what may be used, and when the policy hears of it.

No input, output or clock. A volume's resource is its number; its home part is a front's even part of the
limit, as the policy has it without this."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cleatyoke import api
from cleatyoke.fleet.rights import Rights
from cleatyoke.fleet.wire import HOME

SPAN = 0.25  # seconds over which what is asked for is summed up
IDLE = 30.0  # seconds without a request after which a volume is no longer kept account of
MOST_VOLUMES = 4096


@dataclass(slots=True)
class Meter:
    """Units asked for of a volume, against what its home part gives in a second."""

    home: float  # units a second
    asked: float = 0.0  # in the span that runs
    need: float = 0.0  # parts of a home, over the last two spans
    last: float = 0.0  # when one was asked for


def resource(volume: int) -> str:
    return f"limit:{volume:x}"


class Limits:
    """``plans``: of the settings that count now. Times are of one clock, the rights' own."""

    def __init__(self, rights: Rights, plans: Callable[[], list[api.PlanSpec]]) -> None:
        self.rights, self.plans = rights, plans
        self.meters: dict[int, Meter] = {}
        self.told: dict[int, int] = {}  # volume: parts that the policy was told of
        self.span_at = 0.0

    def heard(self, now: float, events: Iterable[api.Event]) -> None:
        """Requests that came."""
        for event in events:
            if not isinstance(event, api.Arrival):
                continue
            plan = self.plans()[event.plan]
            if not plan.limit or (event.volume not in self.meters and len(self.meters) >= MOST_VOLUMES):
                continue
            home = plan.limit / max(1, event.hosts)
            meter = self.meters.setdefault(event.volume, Meter(home))
            meter.home, meter.last = home, now
            meter.asked += event.units

    def needs(self, now: float) -> dict[str, float]:
        """What this front could use of each volume that it is asked for."""
        if now >= self.span_at + SPAN:
            spans = max(1.0, (now - self.span_at) / SPAN)
            for meter in self.meters.values():
                latest = meter.asked / (meter.home * SPAN * spans) * HOME
                meter.need, meter.asked = (meter.need + latest) / 2, 0.0
            self.span_at = now
            self.meters = {name: meter for name, meter in self.meters.items() if now < meter.last + IDLE}
        return {resource(volume): meter.need for volume, meter in self.meters.items()}

    def changes(self, now: float) -> list[api.Event]:
        """What the policy has to be told before it decides anything at this moment."""
        out: list[api.Event] = []
        for volume in self.meters.keys() | self.told.keys():
            parts = self.rights.usable(resource(volume), now)
            if parts != self.told.get(volume, HOME):
                self.told[volume] = parts
                if parts == HOME:
                    del self.told[volume]
                out.append(api.Lent(volume, parts / HOME))
        return out
