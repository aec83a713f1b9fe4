"""The records of volumes, bounded in number: clients name the volumes, so there may be any number of them."""

from __future__ import annotations

from collections.abc import Callable

from cleatyoke.scheduling.records import Volume

MAX_CANDIDATES = 16  # of the least recently used, that are looked at for one that may be replaced


class VolumeTable:
    """Records by volume id, the least recently used first.

    If there are ``limit`` of them, a new volume takes the place of one that has not been used for so long
    that a new record of it would allow no more than the old one. If there is none, new volumes share one
    record for each plan: together they get what one of them may have, so no rate limit is exceeded.
    """

    def __init__(self, limit: int) -> None:
        self.by_id: dict[int, Volume] = {}
        self.limit = limit
        self._shared: dict[int, Volume] = {}  # by plan index

    def use(self, volume_id: int, plan_index: int, now: float, make: Callable[[], Volume]) -> Volume:
        """Return the record for a request of the volume; ``make`` creates a new one."""
        volume = self.by_id.pop(volume_id, None)
        if volume is None:
            if len(self.by_id) >= self.limit and not self._replace(now):
                return self._share(plan_index, make)
            volume = make()
        self.by_id[volume_id] = volume
        return volume

    def retain(self, is_needed: Callable[[Volume], bool]) -> None:
        """Keep only the records that are needed."""
        self.by_id = {volume_id: volume for volume_id, volume in self.by_id.items() if is_needed(volume)}
        self._shared = {plan: volume for plan, volume in self._shared.items() if is_needed(volume)}

    def all_records(self) -> list[Volume]:
        """Return all records, shared ones included."""
        return [*self.by_id.values(), *self._shared.values()]

    def _replace(self, now: float) -> bool:
        """Drop one record that may be replaced; return whether there is one."""
        for position, (volume_id, volume) in enumerate(self.by_id.items()):
            if position == MAX_CANDIDATES:
                break
            if not volume.open_requests and volume.replaceable_at <= now:
                del self.by_id[volume_id]
                return True
        return False

    def _share(self, plan_index: int, make: Callable[[], Volume]) -> Volume:
        volume = self._shared.get(plan_index)
        if volume is None:
            volume = self._shared[plan_index] = make()
        return volume
