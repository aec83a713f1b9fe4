"""Tests of the testbed's backend model: its capacity, its queue and its faults."""

from __future__ import annotations

import unittest
from dataclasses import replace

from cleatyoke.testbed.backend_model import BackendModel, RequestOutcome, hash_fraction
from cleatyoke.testbed.scenario import BackendCapacity


class BackendModelTests(unittest.TestCase):
    capacity = BackendCapacity(
        units_per_second=20.0,
        max_queue=2,
        initial_share=0.2,
        ramp_duration=4.0,
        overload_factor=2.0,
        overload_window=1.0,
    )

    def test_warming_backend_is_slower_and_full_queue_rejects(self) -> None:
        warm, cold = BackendModel(self.capacity, None), BackendModel(self.capacity, 10.0)
        self.assertAlmostEqual(warm.accept(10.0, "a", 2.0).ends_at, 10.1)
        self.assertAlmostEqual(cold.accept(10.0, "a", 2.0).ends_at, 10.5)
        self.assertAlmostEqual(cold.rate(12.0), 12.0)
        outcomes = [warm.accept(10.0, str(number), 2.0).outcome for number in range(4)]
        assert outcomes == [
            RequestOutcome.ANSWERED,
            RequestOutcome.ANSWERED,
            RequestOutcome.FULL,
            RequestOutcome.FULL,
        ]

    def test_withdrawals_in_any_order_raise_no_error(self) -> None:
        """Guards against an exception in withdraw() that ended a connection of a backend double in a soak.

        The entries of the withdrawn requests had already been dropped from the queue.
        """
        backend = BackendModel(replace(self.capacity, max_queue=24), None)
        tickets = [backend.accept(10.0, "a", 2.0) for _ in range(8)]  # 0.1 s each
        assert all(backend.withdraw(10.05, ticket) for ticket in tickets[1:4])
        backend.accept(10.52, "a", 2.0)
        assert all(backend.withdraw(10.53, ticket) for ticket in tickets[6:])

    def test_withdraw_queued_request_succeeds_and_executing_request_fails(self) -> None:
        backend = BackendModel(self.capacity, None)
        first, second = backend.accept(10.0, "a", 2.0), backend.accept(10.0, "b", 2.0)
        assert not backend.withdraw(10.01, first)
        assert backend.withdraw(10.01, second)
        self.assertAlmostEqual(backend.free_at, 10.1)

    def test_faults_depend_only_on_seed_and_trace_id(self) -> None:
        backend = BackendModel(self.capacity, None, seed=3)
        backend.faults["lose_answers"] = 0.25
        outcomes = [backend.accept(float(number), f"t{number}", 1.0).outcome for number in range(400)]
        assert outcomes.count(RequestOutcome.LOST) == sum(
            hash_fraction(3, f"t{n}") < 0.25 for n in range(400)
        )
        assert 60 < outcomes.count(RequestOutcome.LOST) < 140
