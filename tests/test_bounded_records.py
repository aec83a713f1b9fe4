"""Records of nodes, shards and volumes must not grow without bound."""

from __future__ import annotations

import unittest
import unittest.mock
from unittest import mock

from cleatyoke.discovery import directory as directory_module
from cleatyoke.discovery.directory import Directory
from cleatyoke.scheduling.events import (
    EndpointState,
    RequestArrived,
)
from cleatyoke.scheduling.scheduler import Scheduler
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
