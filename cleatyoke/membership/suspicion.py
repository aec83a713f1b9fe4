"""Suspicion timeouts, and notifying suspected members in time for them to refute.

From Lifeguard (Dadgar, Phillips, Currey 2017): the timeout is long with one suspector and gets shorter with
each independent further one, and a suspected member is notified with priority.
"""

from __future__ import annotations

import math

from cleatyoke.membership.dissemination import Dissemination
from cleatyoke.membership.member_records import MemberRecord
from cleatyoke.membership.merge_rules import precedence
from cleatyoke.membership.wire import Gossip, MemberState, Update

SUSPECTORS_FOR_MIN_TIMEOUT = 3  # independent suspectors with which the timeout reaches its minimum


class Suspicion(Dissemination):
    """Computes suspicion deadlines, rechecks suspected members and notifies them."""

    @staticmethod
    def is_new_suspector(record: MemberRecord, name: str) -> bool:
        """Return whether ``name`` is a further independent suspector that shortens the timeout."""
        return name not in record.suspectors and len(record.suspectors) < SUSPECTORS_FOR_MIN_TIMEOUT

    def suspicion_deadline(self, record: MemberRecord) -> float:
        """Return when the member is declared dead unless it refutes (Lifeguard's logarithmic formula)."""
        timing, size = self.timing, len(self.records) + 1
        shortest = timing.suspicion_multiplier * timing.probe_interval * max(1.0, math.log10(size))
        longest = shortest * timing.max_suspicion_multiplier
        confirmation = math.log(max(1, len(record.suspectors))) / math.log(SUSPECTORS_FOR_MIN_TIMEOUT)
        return record.state_since + max(shortest, longest - (longest - shortest) * confirmation)

    def recheck_suspect(self) -> None:
        """Ping one member that has been suspected for a probe interval, at most one per gossip interval.

        Prevents false deaths after a partition has healed: gossip reaches nearly all members but not all, so
        a few would miss the refutation. The ack carries the incarnation of the suspected member. A missing
        answer has no effect.
        """
        if not self.recheck_at:
            return
        member, recheck_at = next(iter(self.recheck_at.items()))
        if self.now < recheck_at:
            return
        del self.recheck_at[member]
        self.due_at.recheck = self.now + self.timing.gossip_interval
        self.send_ping(member)

    def notify_suspect(self, record: MemberRecord, sender: Update) -> None:
        """Notify the sender of a message at once if it is suspected or believed dead, so that it can refute.

        Sent at most once per ack timeout. Otherwise two members that believe each other dead would answer
        each other endlessly if one cannot refute, and each datagram duplicated by a link would start another
        such loop.
        """
        if record.update.state is MemberState.ALIVE or precedence(record.update) <= precedence(sender):
            return
        if self.now >= record.notified_at + self.timing.ack_timeout:
            record.notified_at = self.now
            self.send(sender.address, Gossip(), sender.id)
