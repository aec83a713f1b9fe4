"""Division of rate limits between concurrent processes of one front."""

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


class QuotaShareTests(unittest.IsolatedAsyncioTestCase):
    async def test_quota_share_is_half_while_another_process_runs(self) -> None:
        settings = config().settings
        events: list[object] = []
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / f"{MARKER_PREFIX}{2**22 + 7}").write_text("")  # no such process
            siblings = SiblingProcesses(Path(folder), settings, Faults(Metrics()), 50.0)
            assert (settings.initial_quota_share, settings.replaces_process) == (1.0, False)
            assert settings.idle_since == 50.0
            other = Path(folder) / f"{MARKER_PREFIX}{os.getppid()}"
            other.write_text("")  # the parent process, which is running
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
            # Its share begins only after the other process has had time to see its marker.
            assert (settings.idle_since or 0.0) > time.time()


class UpgradeOverlapTests(unittest.TestCase):
    """Two processes of one front during an upgrade, with demand far above the limit, checked by a meter."""

    limit, burst, slack = 30.0, 55.0, 8.0

    def make_scheduler(self, idle_since: float, quota_share: float, *, replaces_process: bool) -> Scheduler:
        plan = plan_spec(
            reserved_rate=0.0, rate_limit=self.limit, rate_limit_burst=self.burst, rate_limit_slack=self.slack
        )
        scheduler_settings = settings(
            [class_spec()],
            [plan],
            front_count=1,
            idle_since=idle_since,
            initial_quota_share=quota_share,
            replaces_process=replaces_process,
            max_attempts=4,
        )
        scheduler = Scheduler(scheduler_settings)
        scheduler.step(idle_since + 0.3, [EndpointUpdate(UpdateKind.SNAPSHOT, [endpoint(11, 0)])])
        return scheduler

    def send_request(self, scheduler: Scheduler, now: float, units: float) -> float:
        """Return the units that the scheduler sends for a request at ``now``; nodes answer immediately."""
        self.requests += 1
        arrival = RequestArrived(
            request_id=str(self.requests),
            class_index=0,
            plan_index=0,
            volume_id=1,
            item=self.requests,
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
        """Return the lowest level of the meter's token bucket.

        The old process sees the new one ``lag`` seconds after its marker; the new one receives no request in
        the first ``quiet`` seconds.
        """
        self.requests = 0
        old = self.make_scheduler(0.0, 1.0, replaces_process=False)
        started = 10.0  # when its marker is written; the imports before that are not included
        new = self.make_scheduler(started + TAKEOVER_DELAY, 0.5, replaces_process=True)
        level, lowest, now = self.burst, self.burst, 5.0
        share_halved = old_exited = False
        while now < 25.0:
            now += 0.02
            level = min(self.burst, level + self.limit * 0.02)
            if now >= started + lag and not share_halved:
                share_halved = True
                old.step(now, [QuotaShareChanged(0.5)])
            if now >= started + overlap and not old_exited:
                old_exited = True
                new.step(now, [QuotaShareChanged(1.0)])
            if not old_exited:
                level -= self.send_request(old, now, 2.0)
            if now >= started + max(0.5, quiet):
                level -= self.send_request(new, now, 2.0)
            lowest = min(lowest, level)
        return lowest

    def test_rate_limit_holds_during_upgrade_whenever_new_process_gets_first_request(self) -> None:
        """Demand on both processes of an upgrade exceeds the volume's rate limit.

        The platform's meter tolerates ``slack`` units beyond its token bucket. Both processes together must
        stay within that, whenever the new process receives its first request.
        """
        for overlap in (1.0, 3.0, 6.0):
            for quiet in (0.0, overlap - 0.1, overlap + 0.1, 12.0):
                lowest = self.run_upgrade(overlap, 0.1, quiet)
                assert lowest >= -self.slack, (overlap, quiet)
                assert lowest < self.burst / 2  # demand exceeded the limit

    def test_quota_clock_applies_a_share_only_from_its_change(self) -> None:
        clock = QuotaClock(0.5, 10.0)
        clock.change(1.0, 14.0)
        assert (clock.time(14.0), clock.time(15.0), clock.time(12.0)) == (2.0, 3.0, 2.0)
