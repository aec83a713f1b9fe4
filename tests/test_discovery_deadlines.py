"""By when a front knows what discovery has: every branch of delay, connect and answer.

200 fronts with the real ``Discovery`` and ``Watch`` in virtual time; only the calls are scripted.
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
MAX_REPORTING_DELAY = 6.0  # seconds, of the protocol page
DRAIN = EndpointList(2, False, [instance("s-a", 1, EndpointState.DRAINING)])


class ScriptedService:
    """Discovery as the calls see it: it ``fails`` until ``back``, then has the drain for whoever calls."""

    def __init__(self, fails: str, back: float, work: float = 0.0, latency: float = 0.0) -> None:
        self.fails, self.back = fails, back
        self.work = work  # seconds that it is busy with a call
        self.latency = latency  # seconds that every call takes besides
        self.free_at = 0.0
        self.calls: list[float] = []
        self.open_calls = self.max_open_calls = 0

    async def respond(self, timeout: float) -> None:  # noqa: ASYNC109 (the timeout is scripted here)
        self.open_calls += 1
        self.max_open_calls = max(self.max_open_calls, self.open_calls)
        try:
            await self.work_on_call(timeout)
        finally:
            self.open_calls -= 1

    async def work_on_call(self, timeout: float) -> None:  # noqa: ASYNC109 (the timeout is scripted here)
        loop = asyncio.get_running_loop()
        self.calls.append(loop.time())
        if loop.time() < self.back:
            if self.fails == "hangs":  # and does not answer that call at its return either
                await asyncio.sleep(timeout)
                raise TimeoutError
            raise aiohttp.ClientConnectionError(self.fails)
        self.free_at = max(self.free_at, loop.time()) + self.work
        if self.free_at - loop.time() > timeout:
            await asyncio.sleep(timeout)
            raise TimeoutError
        await asyncio.sleep(self.free_at - loop.time() + self.latency)

    async def fetch_complete_list(self, watch: Watch, timeout: float) -> None:  # noqa: ASYNC109 (scripted)
        await self.respond(timeout)
        if watch.claim_answer():
            watch.apply(DRAIN, UpdateKind.SNAPSHOT)

    async def stream_changes(self, watch: Watch, timeout: float) -> None:  # noqa: ASYNC109 (scripted)
        """The watch that stands at the beginning breaks at 1 s, or falls silent just after a line then."""
        loop = asyncio.get_running_loop()
        if loop.time() < 0.001:
            watch.claim_answer()
            watch.has_answered = True
            await asyncio.sleep(1.0 - loop.time())
            if self.fails == "hangs":
                await asyncio.sleep(schedule.IDLE_TIMEOUT)
                raise TimeoutError
            return
        await self.respond(timeout)
        if watch.claim_answer():
            watch.has_answered = True
            watch.apply(DRAIN)
            await asyncio.sleep(3600)


def times_of_drain(
    service: ScriptedService, *, own_agent: bool, drain_grace: float = 1.0, needs_complete_list: bool = False
) -> list[float]:
    """When each front learns of the drain.

    Fronts with agents of their own have nothing to do with each other, so that few of them show as much.
    """
    front_count = 20 if own_agent else FRONTS
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
                own_agent=own_agent,
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
def test_changes_at_a_shared_discovery_are_known_in_time_at_200_fronts(
    fails: str, needs_complete_list: bool
) -> None:
    """A shared discovery is down for a while, and returns amid a call or a delay of each front.

    From 1 s on all watches are broken or silent. A front that learns of a drain later than 6 s after it could
    have been told sends requests to a node that no longer takes any.
    """
    for back in (1.0, 2.9, 6.1, 17.0):
        service = ScriptedService(fails, back)
        latest = max(times_of_drain(service, own_agent=False, needs_complete_list=needs_complete_list))
        assert latest <= max(back, 1.0) + MAX_REPORTING_DELAY, (back, latest)


def test_changes_are_known_in_time_when_a_watch_falls_silent_and_the_next_call_is_queued() -> None:
    """The idle timeout uses up a part of the 6 s, and the overloaded service then takes 2 s for the call."""
    service = ScriptedService("hangs", 0.0, latency=2.0)
    assert max(times_of_drain(service, own_agent=False)) <= 1.0 + MAX_REPORTING_DELAY


def test_a_shared_discovery_that_refuses_is_called_once_a_period_by_each_front() -> None:
    """Fronts that call a failed service again and again keep it from coming up."""
    service = ScriptedService("refuses", 60.0)
    times_of_drain(service, own_agent=False)
    late = [at for at in service.calls if 30.0 <= at < 60.0]
    assert len(late) <= FRONTS * 30.0 / schedule.MAX_CALL_INTERVAL + FRONTS
    assert max(sum(1 for at in late if begun <= at < begun + 1.0) for begun in late) <= 90


def test_a_shared_discovery_that_can_answer_every_front_in_time_does() -> None:
    """Fifty a second: all have their turn though they come at once."""
    service = ScriptedService("refuses", 20.0, work=0.02)
    assert max(times_of_drain(service, own_agent=False)) <= 20.0 + MAX_REPORTING_DELAY


@pytest.mark.parametrize("fails", ["hangs", "refuses"])
@pytest.mark.parametrize("drain_grace", [1.0, 0.25])
def test_changes_at_an_own_agent_are_known_within_the_drain_grace_of_its_return(
    fails: str, drain_grace: float
) -> None:
    """An own agent returns, and what it gets then counts as reported at once.

    The calls that it did not answer while discovery was down it never will: a front that waits for one of
    them learns of a drain seconds late.
    """
    for back in (4.0, 5.3, 12.1):
        service = ScriptedService(fails, back)
        latest = max(times_of_drain(service, own_agent=True, drain_grace=drain_grace))
        assert latest <= back + drain_grace + 0.05, (back, latest)
        assert service.max_open_calls <= 20 * (watch.MAX_CONCURRENT_CALLS + 1), "each holds a descriptor"


def test_an_own_agent_whose_watch_falls_silent_or_breaks_is_called_again_at_once() -> None:
    """A watch whose connection is dead without an end shows only by its missing heartbeats."""
    for fails in ("hangs", "refuses"):
        latest = max(times_of_drain(ScriptedService(fails, 0.0), own_agent=True))
        assert latest <= 1.0 + schedule.IDLE_TIMEOUT + 0.5


def test_the_timeouts_add_up_to_less_than_the_reporting_delay() -> None:
    limit = MAX_REPORTING_DELAY - schedule.LOOP_LATENESS + 1e-9
    assert schedule.IDLE_TIMEOUT > schedule.HEARTBEAT_INTERVAL, "a heartbeat in time is no silence"
    assert limit >= schedule.IDLE_TIMEOUT + schedule.MAX_DELAY_AFTER_IDLE + schedule.ANSWER_TIMEOUT
    assert limit >= schedule.MAX_CALL_INTERVAL + schedule.ANSWER_TIMEOUT
    assert schedule.ANSWER_TIMEOUT < schedule.MAX_CALL_INTERVAL
