"""The testbed's model of a backend: its power, its queue and its faults."""

from __future__ import annotations

import unittest
from dataclasses import replace

from cleatyoke.testbed.backend_model import BackendModel, RequestOutcome, chance
from cleatyoke.testbed.scenario import BackendCapacity


class BackendModelTests(unittest.TestCase):
    power = BackendCapacity(
        units_per_second=20.0,
        max_queue=2,
        initial_share=0.2,
        ramp_duration=4.0,
        overload_factor=2.0,
        overload_window=1.0,
    )

    def test_a_cold_box_works_slowly_and_a_full_one_turns_away(self) -> None:
        warm, cold = BackendModel(self.power, None), BackendModel(self.power, 10.0)
        self.assertAlmostEqual(warm.accept(10.0, "a", 2.0).ends_at, 10.1)
        self.assertAlmostEqual(cold.accept(10.0, "a", 2.0).ends_at, 10.5)
        self.assertAlmostEqual(cold.rate(12.0), 12.0)
        fates = [warm.accept(10.0, str(number), 2.0).outcome for number in range(4)]
        assert fates == [
            RequestOutcome.ANSWERED,
            RequestOutcome.ANSWERED,
            RequestOutcome.FULL,
            RequestOutcome.FULL,
        ]

    def test_any_order_of_withdrawals_raises_nothing(self) -> None:
        """Guards against a connection of the double that ended with an exception amid a soak."""
        box = BackendModel(replace(self.power, max_queue=24), None)
        tickets = [box.accept(10.0, "a", 2.0) for _ in range(8)]  # 0.1 s each
        assert all(box.withdraw(10.05, ticket) for ticket in tickets[1:4])
        box.accept(10.52, "a", 2.0)
        assert all(box.withdraw(10.53, ticket) for ticket in tickets[6:])

    def test_what_waits_can_be_withdrawn_and_what_works_cannot(self) -> None:
        box = BackendModel(self.power, None)
        first, second = box.accept(10.0, "a", 2.0), box.accept(10.0, "b", 2.0)
        assert not box.withdraw(10.01, first)
        assert box.withdraw(10.01, second)
        self.assertAlmostEqual(box.free_at, 10.1)

    def test_the_same_ids_meet_the_same_troubles_in_every_run(self) -> None:
        box = BackendModel(self.power, None, seed=3)
        box.faults["lose_answers"] = 0.25
        fates = [box.accept(float(number), f"t{number}", 1.0).outcome for number in range(400)]
        assert fates.count(RequestOutcome.LOST) == sum(chance(3, f"t{n}") < 0.25 for n in range(400))
        assert 60 < fates.count(RequestOutcome.LOST) < 140
