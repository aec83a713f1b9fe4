"""Two processes of one front share every rate limit while both run."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
import unittest
from pathlib import Path

from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.process.sibling_processes import MARKER_PREFIX, TAKEOVER_DELAY, SiblingProcesses
from cleatyoke.scheduling.actions import SendAttempt
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    EndpointUpdate,
    QuotaShareChanged,
    RequestArrived,
    UpdateKind,
)
from cleatyoke.scheduling.quotas import QuotaClock
from cleatyoke.scheduling.scheduler import Scheduler
from tests.driven_front import class_spec, endpoint, plan_spec, settings
from tests.scripted_peers import config


class SharedLimits(unittest.IsolatedAsyncioTestCase):
    async def test_while_another_process_of_the_front_runs_each_has_half_of_every_limit(self) -> None:
        settings = config().settings
        events: list[object] = []
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / f"{MARKER_PREFIX}{2**22 + 7}").write_text("")  # its process is gone
            siblings = SiblingProcesses(Path(folder), settings, Faults(Metrics()), 50.0)
            assert (settings.initial_quota_share, settings.replaces_process) == (1.0, False)
            assert settings.idle_since == 50.0
            other = Path(folder) / f"{MARKER_PREFIX}{os.getppid()}"
            other.write_text("")  # a running one
            siblings.start(events.append)
            assert events == [QuotaShareChanged(0.5)]
            other.unlink()
            await asyncio.sleep(0.12)
            assert events == [QuotaShareChanged(0.5), QuotaShareChanged(1.0)]
            siblings.stop()
            assert not siblings.marker.exists()
            other.write_text("")
            SiblingProcesses(Path(folder), settings, Faults(Metrics()), 50.0).marker.unlink()
            assert (settings.initial_quota_share, settings.replaces_process) == (0.5, True)
            assert (
                settings.idle_since or 0.0
            ) > time.time()  # not before the other process has seen its marker


class Overlap(unittest.TestCase):
    """Two processes of one front during an upgrade, asked for far more than the limit, as a meter sees it."""

    limit, burst, slack = 30.0, 55.0, 8.0

    def scheduler(self, since: float, quota_share: float, *, replaces_process: bool) -> Scheduler:
        plan = plan_spec(
            reserved_rate=0.0, rate_limit=self.limit, rate_limit_burst=self.burst, rate_limit_slack=self.slack
        )
        made = settings(
            [class_spec()],
            [plan],
            front_count=1,
            idle_since=since,
            initial_quota_share=quota_share,
            replaces_process=replaces_process,
            max_attempts=4,
        )
        scheduler = Scheduler(made)
        scheduler.step(since + 0.3, [EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(11, 0)])])
        return scheduler

    def ask(self, scheduler: Scheduler, now: float, units: float) -> float:
        """Units that go out for a request made now, which a node answers at once."""
        self.asked += 1
        arrival = RequestArrived(
            request_id=str(self.asked),
            class_index=0,
            plan_index=0,
            volume_id=1,
            item=self.asked,
            shard=0,
            units=units,
            deadline=now + 1.5,
            front_count=1,
        )
        sent = 0.0
        for action in scheduler.step(now, [arrival]):
            if isinstance(action, SendAttempt):
                sent += units
                scheduler.step(
                    now, [AttemptFinished(action.request_id, 0, 11, AttemptOutcome.SERVED, 0.001, True)]
                )
        return sent

    def run_upgrade(self, overlap: float, lag: float, quiet: float) -> float:
        """Return the lowest level that the meter's token bucket came to.

        The old process sees the new one ``lag`` seconds after its marker; the new one is asked for nothing in
        the first ``quiet`` seconds.
        """
        self.asked = 0
        old = self.scheduler(0.0, 1.0, replaces_process=False)
        started = 10.0  # its marker stands; the imports before do not count
        new = self.scheduler(started + TAKEOVER_DELAY, 0.5, replaces_process=True)
        level, least, now = self.burst, self.burst, 5.0
        told = ended = False
        while now < 25.0:
            now += 0.02
            level = min(self.burst, level + self.limit * 0.02)
            if now >= started + lag and not told:
                told = True
                old.step(now, [QuotaShareChanged(0.5)])
            if now >= started + overlap and not ended:
                ended = True
                new.step(now, [QuotaShareChanged(1.0)])
            if not ended:
                level -= self.ask(old, now, 2.0)
            if now >= started + max(0.5, quiet):
                level -= self.ask(new, now, 2.0)
            least = min(least, level)
        return least

    def test_the_limit_holds_over_an_upgrade_whenever_the_new_process_is_first_asked(self) -> None:
        """Clients ask both processes of an upgrade for more than the volume's rate limit.

        The platform's meter allows ``slack`` units beyond its token bucket. Whenever the new process gets its
        first request, both together must not exceed that.
        """
        for overlap in (1.0, 3.0, 6.0):
            for quiet in (0.0, overlap - 0.1, overlap + 0.1, 12.0):
                least = self.run_upgrade(overlap, 0.1, quiet)
                assert least >= -self.slack, (overlap, quiet)
                assert least < self.burst / 2  # it was asked for more than it could give

    def test_a_share_is_not_counted_for_the_time_before_it_held(self) -> None:
        clock = QuotaClock(0.5, 10.0)
        clock.change(1.0, 14.0)
        assert (clock.time(14.0), clock.time(15.0), clock.time(12.0)) == (2.0, 3.0, 2.0)
