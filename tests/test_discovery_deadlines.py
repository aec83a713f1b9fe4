"""Tests for how soon fronts learn of changes at discovery, in every combination of delays and timeouts.

200 fronts run the real ``Discovery`` and ``Watch`` in virtual time; only the calls are scripted.
"""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import aiohttp
import pytest

from cleatyoke.config.addresses import Address
from cleatyoke.discovery import schedule, watch
from cleatyoke.discovery.directory import Directory, EndpointList
from cleatyoke.discovery.discovery import Discovery
from cleatyoke.discovery.watch import Watch
from cleatyoke.emulation import clock
from cleatyoke.scheduling.events import EndpointState, SchedulerEvent, UpdateKind
from tests.scripted_peers import instance

FRONTS = 200
MAX_REPORTING_DELAY = 6.0  # seconds; from the protocol page
DRAIN = EndpointList(2, False, [instance("s-a", 1, EndpointState.DRAINING)])


class ScriptedService:
    """A scripted discovery service: it ``fails`` until ``recovers_at``, then reports the drain to callers."""

    def __init__(
        self, fails: str, recovers_at: float, service_time: float = 0.0, latency: float = 0.0
    ) -> None:
        self.fails, self.recovers_at = fails, recovers_at
        self.service_time = service_time  # seconds for which a call occupies the service
        self.latency = latency  # additional seconds that each call takes
        self.idle_from = 0.0
        self.calls: list[float] = []
        self.open_calls = self.max_open_calls = 0

    async def handle_call(self, timeout: float) -> None:  # noqa: ASYNC109 (the timeout is scripted here)
        self.open_calls += 1
        self.max_open_calls = max(self.max_open_calls, self.open_calls)
        try:
            await self.process_call(timeout)
        finally:
            self.open_calls -= 1

    async def process_call(self, timeout: float) -> None:  # noqa: ASYNC109 (the timeout is scripted here)
        loop = asyncio.get_running_loop()
        self.calls.append(loop.time())
        if loop.time() < self.recovers_at:
            if self.fails == "hangs":  # this call is not answered after the recovery either
                await asyncio.sleep(timeout)
                raise TimeoutError
            raise aiohttp.ClientConnectionError(self.fails)
        self.idle_from = max(self.idle_from, loop.time()) + self.service_time
        if self.idle_from - loop.time() > timeout:
            await asyncio.sleep(timeout)
            raise TimeoutError
        await asyncio.sleep(self.idle_from - loop.time() + self.latency)

    async def fetch_complete_list(self, watch: Watch, timeout: float) -> None:  # noqa: ASYNC109 (scripted)
        await self.handle_call(timeout)
        if watch.claim_answer():
            watch.apply(DRAIN, UpdateKind.SNAPSHOT)

    async def stream_changes(self, watch: Watch, timeout: float) -> None:  # noqa: ASYNC109 (scripted)
        """The initial watch ends at 1 s or, if ``fails`` is "hangs", receives nothing more from then on."""
        loop = asyncio.get_running_loop()
        if loop.time() < 0.001:
            watch.claim_answer()
            watch.has_answered = True
            await asyncio.sleep(1.0 - loop.time())
            if self.fails == "hangs":
                await asyncio.sleep(schedule.IDLE_TIMEOUT)
                raise TimeoutError
            return
        await self.handle_call(timeout)
        if watch.claim_answer():
            watch.has_answered = True
            watch.apply(DRAIN)
            await asyncio.sleep(3600)


def times_of_drain(
    service: ScriptedService,
    *,
    dedicated_agent: bool,
    drain_grace: float = 1.0,
    needs_complete_list: bool = False,
) -> list[float]:
    """Return the times at which the fronts learn of the drain.

    Fronts with dedicated agents are independent of each other, so fewer of them are run.
    """
    front_count = 20 if dedicated_agent else FRONTS
    times: dict[int, float] = {}

    async def run_fronts() -> None:
        loop, fronts = asyncio.get_running_loop(), []
        for number in range(front_count):

            def notify(_: SchedulerEvent, number: int = number) -> None:
                times.setdefault(number, loop.time())

            front = Discovery(
                Address("127.0.0.1", 1),
                Directory({}),
                notify,
                FRONTS,
                number,
                dedicated_agent=dedicated_agent,
                drain_grace=drain_grace,
            )
            front.directory.version = None if needs_complete_list else 1
            front.start()
            fronts.append(front)
        while len(times) < front_count and loop.time() < 120:  # noqa: ASYNC110 (virtual time)
            await asyncio.sleep(0.05)
        for front in fronts:
            front.stop()
        await asyncio.sleep(0)

    async def fetch(watch: Watch, _: Any, seconds: float) -> None:
        await service.fetch_complete_list(watch, seconds)

    async def stream(watch: Watch, _: Any, seconds: float) -> None:
        await service.stream_changes(watch, seconds)

    with (
        mock.patch.object(Watch, "fetch_complete_list", fetch),
        mock.patch.object(Watch, "stream_changes", stream),
    ):
        clock.run(run_fronts())
    assert len(times) == front_count
    return list(times.values())


@pytest.mark.parametrize("fails", ["hangs", "refuses"])
@pytest.mark.parametrize("needs_complete_list", [False, True])
def test_shared_discovery_after_an_outage_reports_changes_in_time_to_200_fronts(
    fails: str, needs_complete_list: bool
) -> None:
    """A shared discovery is down for a while, and recovers during a call or a delay of each front.

    From 1 s on all watches have ended or are silent. A front that learns of a drain later than 6 s after the
    recovery sends requests to a node that no longer accepts any.
    """
    for recovers_at in (1.0, 2.9, 6.1, 17.0):
        service = ScriptedService(fails, recovers_at)
        latest = max(times_of_drain(service, dedicated_agent=False, needs_complete_list=needs_complete_list))
        assert latest <= max(recovers_at, 1.0) + MAX_REPORTING_DELAY, (recovers_at, latest)


def test_shared_discovery_with_a_silent_watch_and_a_queued_call_reports_changes_in_time() -> None:
    """The idle timeout uses up part of the 6 s, and the overloaded service then takes 2 s for the call."""
    service = ScriptedService("hangs", 0.0, latency=2.0)
    assert max(times_of_drain(service, dedicated_agent=False)) <= 1.0 + MAX_REPORTING_DELAY


def test_shared_discovery_that_refuses_gets_one_call_per_front_and_period() -> None:
    """Too frequent calls from all fronts would prevent a failed service from recovering."""
    service = ScriptedService("refuses", 60.0)
    times_of_drain(service, dedicated_agent=False)
    late_calls = [time for time in service.calls if 30.0 <= time < 60.0]
    assert len(late_calls) <= FRONTS * 30.0 / schedule.MAX_CALL_INTERVAL + FRONTS
    assert max(sum(1 for time in late_calls if start <= time < start + 1.0) for start in late_calls) <= 90


def test_shared_discovery_with_enough_capacity_answers_every_front_in_time() -> None:
    """At fifty calls a second, all fronts are answered though they may call at the same time."""
    service = ScriptedService("refuses", 20.0, service_time=0.02)
    assert max(times_of_drain(service, dedicated_agent=False)) <= 20.0 + MAX_REPORTING_DELAY


@pytest.mark.parametrize("fails", ["hangs", "refuses"])
@pytest.mark.parametrize("drain_grace", [1.0, 0.25])
def test_dedicated_agent_after_an_outage_reports_changes_within_the_drain_grace(
    fails: str, drain_grace: float
) -> None:
    """A change that a dedicated agent gets when it recovers counts as reported immediately.

    The agent never answers calls that arrived while discovery was down: a front that waits for one of them
    learns of a drain seconds late.
    """
    for recovers_at in (4.0, 5.3, 12.1):
        service = ScriptedService(fails, recovers_at)
        latest = max(times_of_drain(service, dedicated_agent=True, drain_grace=drain_grace))
        assert latest <= recovers_at + drain_grace + 0.05, (recovers_at, latest)
        assert service.max_open_calls <= 20 * (watch.MAX_CONCURRENT_CALLS + 1), "each uses a file descriptor"


def test_dedicated_agent_whose_watch_ends_or_falls_silent_is_called_again_at_once() -> None:
    """A connection that is dead but not closed can only be detected by its missing heartbeats."""
    for fails in ("hangs", "refuses"):
        latest = max(times_of_drain(ScriptedService(fails, 0.0), dedicated_agent=True))
        assert latest <= 1.0 + schedule.IDLE_TIMEOUT + 0.5


def test_schedule_timeouts_add_up_to_less_than_the_reporting_delay() -> None:
    limit = MAX_REPORTING_DELAY - schedule.EVENT_LOOP_MARGIN + 1e-9
    assert schedule.IDLE_TIMEOUT > schedule.HEARTBEAT_INTERVAL, (
        "a punctual heartbeat must prevent the idle timeout"
    )
    assert limit >= schedule.IDLE_TIMEOUT + schedule.MAX_DELAY_AFTER_IDLE + schedule.ANSWER_TIMEOUT
    assert limit >= schedule.MAX_CALL_INTERVAL + schedule.ANSWER_TIMEOUT
    assert schedule.ANSWER_TIMEOUT < schedule.MAX_CALL_INTERVAL
