"""The fleet's status for operators: answers to ``show-fleet`` and ``show-replica``, and metrics.

The texts are public interfaces, documented in ``fleet-view.md``. All functions run on the operators' thread
while the event loop keeps changing the state, so they copy each collection with one call that the interpreter
does not interrupt before they iterate over it.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from cleatyoke.membership.conclusions import Conclusion
from cleatyoke.membership.wire import MemberId, MemberState

if TYPE_CHECKING:
    from cleatyoke.fleet.view import FleetView

MAX_BEHIND_SHOWN = 64  # fronts listed as not known to have all replicated data


def fleet_lines(view: FleetView) -> list[str]:
    """Return the answer to ``show-fleet``: this front, the front count, the digest and each member."""
    membership = view.membership
    conclusion = view.conclusion()
    own = membership.own_update()
    # Terms of the interface: ``me`` is this front, ``life`` a member. ``alone``: this process owns the
    # configured address; ``beside``: another process does.
    address_status = "alone" if own.owns_address else "beside"
    lines = [
        f"fleet.me {own.id.name} {own.id.boot} {own.incarnation} {own.address} {address_status}",
        f"fleet.count {conclusion.front_count}",
        f"fleet.digest {membership.operator_view_checksum():08x}",
    ]
    for record in sorted(membership.records.values(), key=lambda record: record.update.id):
        update = record.update
        certainty = _certainty(conclusion, update.id)
        last_heard = f"{membership.now - record.last_heard:.1f}" if record.last_heard > 0 else "never"
        lines.append(
            f"fleet.life {update.id.name} {update.id.boot} {update.incarnation} {update.address} "
            f"{update.state.name.lower()} {certainty} heard={last_heard}"
        )
    return lines


def _certainty(conclusion: Conclusion, member: MemberId) -> str:
    if member in conclusion.certainly_up:
        return "certainly-up"
    if member in conclusion.certainly_stopped:
        return "certainly-stopped"
    return "perhaps-up"


def replica_lines(view: FleetView) -> list[str]:
    """Return the answer to ``show-replica``.

    Covers the holds, the fronts not known to have them, the number of differing copies that were merged and
    whether all holds are on disk; the settings' checksum; and the quota leases.
    """
    membership = view.membership
    replication = view.hold_replication
    active = list(membership.active_members)
    behind = sorted(member.name for member in active if replication.is_behind(member))
    differing = membership.fronts_with_other_settings()
    accounts = list(view.quota_leases.accounts.items())
    grant_count = sum(len(account.granted) for _, account in accounts)
    return [
        f"replica.holds entries={len(replication.holds.dots_by_node)} numbers={len(replication.holds.clock)} "
        f"lacking={len(behind)} of={len(active)} settled={replication.merges} disk={_disk_state(view)}",
        f"replica.settings {membership.settings_checksum:08x} differ={','.join(differing) or 'none'}",
        *(f"replica.hold {node}" for node in sorted(replication.holds.dots_by_node)),
        *(f"replica.lacks {name}" for name in behind[:MAX_BEHIND_SHOWN]),
        f"replica.rights resources={len(accounts)} loans={grant_count} "
        f"refused={view.quota_leases.refused_resources}",
    ]


def _disk_state(view: FleetView) -> str:
    if view.durable_state is None:
        return "none"
    return "yes" if view.holds_are_on_disk() else "behind"


def metric_lines(view: FleetView) -> list[str]:
    """Return the fleet's metrics as ``fleet.NAME=VALUE``, in a fixed order."""
    membership = view.membership
    counters = membership.counters
    states = Counter(record.update.state for record in list(membership.records.values()))
    metrics = {state.name.lower(): states[state] for state in MemberState}
    metrics["datagrams_out"] = counters.datagrams_out
    metrics["datagrams_in"] = counters.datagrams_in
    metrics["bytes_out"] = counters.bytes_out
    metrics["bytes_in"] = counters.bytes_in
    metrics["suspicions"] = counters.suspicions
    metrics["deaths"] = counters.deaths
    metrics["refutations"] = counters.refutations
    metrics["false_deaths"] = counters.false_deaths
    rejected = dict(counters.rejected)
    metrics |= {f"refused.{reason.replace(' ', '-')}": count for reason, count in rejected.items()}
    metrics |= {f"dropped.{reason}": count for reason, count in dict(view.dropped).items()}
    metrics["holds"] = len(view.hold_replication.holds.dots_by_node)
    metrics["copies_merged"] = view.hold_replication.merges
    accounts = list(view.quota_leases.accounts.values())
    metrics["lent"] = sum(len(account.granted) for account in accounts)
    metrics["borrowed"] = sum(len(account.borrowed) for account in accounts)
    return [
        *(f"fleet.{name}={value}" for name, value in metrics.items()),
        *(view.durable_state.metric_lines() if view.durable_state else []),
        f"fleet.digest={membership.operator_view_checksum():08x}",
    ]
