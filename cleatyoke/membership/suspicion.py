"""How long a suspicion lasts, and how its subject hears of it in time to refute it.

From Lifeguard (Dadgar, Phillips, Currey 2017): a suspicion is long with one suspector and shortens with each
independent one, and a suspected member is told first.
"""

from __future__ import annotations

import math

from cleatyoke.membership.dissemination import Dissemination
from cleatyoke.membership.member_records import MemberRecord
from cleatyoke.membership.merge_rules import precedence
from cleatyoke.membership.wire import Gossip, MemberState, Update

SUSPECTORS_FOR_SHORTEST = 3  # independent ones by which a suspicion is as short as it gets


class Suspicion(Dissemination):
    """Deadlines of suspicions, and messages to their subjects."""

    @staticmethod
    def is_new_suspector(record: MemberRecord, name: str) -> bool:
        """Whether this is a further independent suspector that shortens the suspicion."""
        return name not in record.suspectors and len(record.suspectors) < SUSPECTORS_FOR_SHORTEST

    def suspicion_deadline(self, record: MemberRecord) -> float:
        """Return when the member is declared dead unless it refutes (Lifeguard's logarithm)."""
        timing, size = self.timing, len(self.records) + 1
        shortest = timing.suspicion_multiplier * timing.probe_interval * max(1.0, math.log10(size))
        longest = shortest * timing.max_suspicion_multiplier
        confirmed = math.log(max(1, len(record.suspectors))) / math.log(SUSPECTORS_FOR_SHORTEST)
        return record.state_since + max(shortest, longest - (longest - shortest) * confirmed)

    def recheck_suspect(self) -> None:
        """Ping one member that has been suspected for a probe interval, at most one a gossip interval.

        Prevents false deaths after a partition has healed: gossip reaches nearly all members and not all, so
        that a few would miss the refutation. The ack carries the suspect's incarnation. No answer suspects
        nobody.
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
        """Tell the sender of a message at once that it is suspected or believed dead, so that it may refute.

        At most once per ack timeout: two members that believe each other dead and of which one cannot refute
        would answer each other without end, and each datagram that a link doubles would begin another such
        exchange.
        """
        if record.update.state is MemberState.ALIVE or precedence(record.update) <= precedence(sender):
            return
        if self.now >= record.notified_at + self.timing.ack_timeout:
            record.notified_at = self.now
            self.send(sender.address, Gossip(), sender.id)
