"""The state machine of a VRRP version 3 virtual router (RFC 5798, section 6), without I/O or clock."""

from __future__ import annotations

import ipaddress
from enum import Enum

from cleatyoke.vrrp.messages import Advertisement

OWNER_PRIORITY = 255  # of the router that owns the virtual addresses; it becomes master at startup
STOPPING_PRIORITY = 0  # advertised by a master that is shutting down


class RouterState(Enum):
    """States of RFC 5798, section 6.4."""

    INITIALIZE = "initialize"
    BACKUP = "backup"
    MASTER = "master"


class VirtualRouter:
    """The state of one router of a virtual router. The caller passes the time, in seconds.

    Each event method returns the priorities to advertise now. ``timer_at`` is the time at which to call
    ``on_timer``, or None: in BACKUP it is the master down timer, in MASTER the advertisement timer.

    ==========  ==========================================  =============================================
    State       Event                                       Action
    ==========  ==========================================  =============================================
    INITIALIZE  startup, priority 255                       MASTER, advertise
    INITIALIZE  startup                                     BACKUP, wait for the master down interval
    BACKUP      timer                                       MASTER, advertise
    BACKUP      advertisement of priority 0                 wait for the skew time only
    BACKUP      advertisement, at least own priority        wait for the master down interval
    BACKUP      advertisement, lower, no preemption         wait for the master down interval
    BACKUP      advertisement, lower, preemption            ignored, so that the timer expires
    MASTER      timer                                       advertise
    MASTER      advertisement of priority 0                 advertise at once
    MASTER      advertisement, higher priority, or the      BACKUP, wait for the master down interval
                same from a higher address
    MASTER      any other advertisement                     ignored
    any         shutdown                                    INITIALIZE; a master advertises priority 0
    ==========  ==========================================  =============================================

    ``priority`` is 1 to 255, ``interval`` the seconds between this router's advertisements; ``preempt`` lets
    a backup of higher priority take over from a master of lower priority; ``address`` is the router's own
    primary address, which decides between two masters of one priority.
    """

    def __init__(self, priority: int, interval: float, address: str, *, preempt: bool) -> None:
        self.priority = priority
        self.interval = interval
        self.preempt = preempt
        self.address = ipaddress.ip_address(address)
        self.state = RouterState.INITIALIZE
        self.timer_at: float | None = None
        self.master_interval = interval  # seconds between the current master's advertisements

    @property
    def skew_time(self) -> float:
        """Seconds that are added to the master down interval, more for a lower priority.

        Prevents several backups from taking over at once: the one with the highest priority is first.
        """
        return (256 - self.priority) * self.master_interval / 256

    @property
    def master_down_interval(self) -> float:
        """Seconds without an advertisement after which a backup considers the master failed."""
        return 3 * self.master_interval + self.skew_time

    def startup(self, now: float) -> list[int]:
        """Start, as master or as backup."""
        if self.priority == OWNER_PRIORITY:
            return self._act_as_master(now)
        self.state = RouterState.BACKUP
        self.master_interval = self.interval
        self.timer_at = now + self.master_down_interval
        return []

    def shutdown(self) -> list[int]:
        """Stop; a master advertises this, so that a backup does not wait for the master down interval."""
        was_master = self.state is RouterState.MASTER
        self.state = RouterState.INITIALIZE
        self.timer_at = None
        return [STOPPING_PRIORITY] if was_master else []

    def on_timer(self, now: float) -> list[int]:
        """Take over as master, or advertise as one; a call before ``timer_at`` has no effect."""
        if self.timer_at is None or now < self.timer_at:
            return []
        return self._act_as_master(now)

    def receive(self, advertisement: Advertisement, source: str, now: float) -> list[int]:
        """Process an advertisement that another router sent from its primary address ``source``."""
        if self.state is RouterState.BACKUP:
            self._receive_as_backup(advertisement, now)
            return []
        if self.state is RouterState.MASTER:
            return self._receive_as_master(advertisement, source, now)
        return []

    def _receive_as_backup(self, advertisement: Advertisement, now: float) -> None:
        if advertisement.priority == STOPPING_PRIORITY:
            self.timer_at = now + self.skew_time
        elif not self.preempt or advertisement.priority >= self.priority:
            self._become_backup(advertisement, now)

    def _receive_as_master(self, advertisement: Advertisement, source: str, now: float) -> list[int]:
        if advertisement.priority == STOPPING_PRIORITY:
            return self._act_as_master(now)
        has_higher_address = ipaddress.ip_address(source).packed > self.address.packed
        is_tie = advertisement.priority == self.priority
        if advertisement.priority > self.priority or (is_tie and has_higher_address):
            self._become_backup(advertisement, now)
        return []

    def _act_as_master(self, now: float) -> list[int]:
        """Become or remain master, and advertise."""
        self.state = RouterState.MASTER
        self.timer_at = now + self.interval
        return [self.priority]

    def _become_backup(self, advertisement: Advertisement, now: float) -> None:
        """Become or remain a backup of the router that sent the advertisement."""
        self.state = RouterState.BACKUP
        self.master_interval = advertisement.interval or self.interval
        self.timer_at = now + self.master_down_interval
