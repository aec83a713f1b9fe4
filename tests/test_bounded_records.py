"""Records of nodes, shards and volumes must not grow without bound."""

from __future__ import annotations

import unittest
import unittest.mock
from dataclasses import replace
from unittest import mock

from cleatyoke.discovery import directory as directory_module
from cleatyoke.discovery.directory import Directory
from cleatyoke.scheduling.actions import SendAttempt
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    UpdateKind,
)
from cleatyoke.scheduling.scheduler import Scheduler
from tests.driven_front import plan_spec
from tests.scripted_peers import config, instance, listed


class BoundedRecordsTests(unittest.TestCase):
    def test_removed_nodes_are_dropped_and_node_ids_are_never_reused(self) -> None:
        directory = Directory({})
        listed(directory, instance("s-stays", 1))
        with mock.patch.object(directory_module, "MAX_REMOVED_NODES", 3):
            for number in range(9):
                listed(directory, instance(f"s-{number}", 1))
                listed(directory, instance(f"s-{number}", 1, EndpointState.REMOVED))
        assert directory.node_ids == {"s-stays": 1, "s-6": 8, "s-7": 9, "s-8": 10}
        listed(directory, instance("s-6", 1), instance("s-new", 1))
        assert (directory.node_ids["s-6"], directory.node_ids["s-new"]) == (8, 11)

    def test_shards_named_only_by_requests_leave_no_records(self) -> None:
        scheduler = Scheduler(config().settings)
        for shard in range(50):
            scheduler.step(100.0, [RequestArrived(f"r{shard}", 0, 0, shard, shard, shard, 1.0, 101.5, 1)])
        for now in (150.0, 200.0):
            scheduler.step(now, [])
        assert (
            scheduler.state.queues,
            scheduler.volumes,
            scheduler.requests,
            scheduler.lifecycle.recent_failures.by_identity,
        ) == ({}, {}, {}, {})

    def test_volumes_that_clients_name_are_bounded_in_number(self) -> None:
        # One client that named ever new volumes made memory grow without end (issue 50, picture c).
        scheduler = Scheduler(replace(config().settings, max_volumes=50))
        for number in range(500):
            now = 100.0 + number / 1000
            scheduler.step(now, [RequestArrived(f"r{number}", 0, 0, number, number, 0, 1.0, now + 1.5, 1)])
            assert len(scheduler.volumes) <= 50
            assert len(scheduler.lifecycle.recent_failures.by_identity) <= 50

    def test_volume_named_among_many_others_keeps_to_its_rate_limit(self) -> None:
        """A limited volume uses up its burst every half second; in between, many others are named.

        If its record were dropped for theirs, its bucket would be full each time, over its limit.
        """
        rate, burst = 1.0, 20.0
        limited = plan_spec(base_rate=999.0, reserved_rate=999.0, rate_limit=rate, rate_limit_burst=burst)
        base = config().settings
        scheduler = Scheduler(
            replace(base, plans=[limited, *base.plans], max_volumes=16, max_request_units=1.0)
        )
        node = Endpoint(1, 0, 0, EndpointState.LIVE, 0.0)
        scheduler.step(100.0, [EndpointUpdate(UpdateKind.SNAPSHOT, [node])])
        sent = 0
        for number in range(600):
            now = 160.0 + number / 200  # at first, the buckets of new volumes are full
            arrivals = [RequestArrived(f"b{number}", 0, 1, 1000 + number, number, 0, 1.0, now + 0.2, 1)]
            if number % 100 == 0:
                arrivals += [
                    RequestArrived(f"a{number}-{one}", 0, 0, 7, one, 0, 1.0, now + 0.1, 1)
                    for one in range(25)
                ]
            actions = scheduler.step(now, arrivals)
            while actions:
                sends = [action for action in actions if isinstance(action, SendAttempt)]
                sent += sum(action.request_id.startswith("a") for action in sends)
                actions = (
                    scheduler.step(
                        now,
                        [
                            AttemptFinished(
                                action.request_id, 0, 1, AttemptOutcome.SERVED, 0.001, settled=True
                            )
                            for action in sends
                        ],
                    )
                    if sends
                    else []
                )
        assert burst / 2 < sent <= burst + rate * 3.0
