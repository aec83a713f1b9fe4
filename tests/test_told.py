"""By when a front hears what discovery has: every branch of wait, dial and answer, for 200 fronts in virtual
time, where the calls are scripted; and the crossings of a move over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import aiohttp
import pytest

from cleatyoke.config.addresses import Address
from cleatyoke.discovery import watch as module
from cleatyoke.discovery.directory import Directory, EndpointList
from cleatyoke.discovery.watch import Discovery, Watch
from cleatyoke.emulation import clock
from cleatyoke.scheduling.events import EndpointState, SchedulerEvent, UpdateKind
from tests.scripted_peers import ScriptedDiscovery, instance

FRONTS = 200
TOLD = 6.0
DRAINS = EndpointList(2, False, [instance("s-a", 1, EndpointState.DRAINING)])


class Service:
    """Discovery as the calls see it: what ``fails`` until ``back``, and from then on at once what it has."""

    def __init__(self, fails: str, back: float, each: float = 0.0, takes: float = 0.0) -> None:
        self.fails, self.back = fails, back
        self.each, self.takes = each, takes  # seconds that it works for a call, and that every call takes
        self.free = 0.0
        self.calls: list[float] = []
        self.out = self.most_out = 0

    async def answered(self, within: float) -> None:
        self.out += 1
        self.most_out = max(self.most_out, self.out)
        try:
            await self.answer(within)
        finally:
            self.out -= 1

    async def answer(self, within: float) -> None:
        loop = asyncio.get_running_loop()
        self.calls.append(loop.time())
        if loop.time() < self.back:
            if self.fails == "hangs":  # and does not answer that call at its return either
                await asyncio.sleep(within)
                raise TimeoutError
            raise aiohttp.ClientConnectionError(self.fails)
        self.free = max(self.free, loop.time()) + self.each
        if self.free - loop.time() > within:
            await asyncio.sleep(within)
            raise TimeoutError
        await asyncio.sleep(self.free - loop.time() + self.takes)

    async def fetch(self, watch: Watch, session: Any, within: float) -> None:
        await self.answered(within)
        if watch.speaks():
            watch.take(DRAINS, UpdateKind.SNAPSHOT)

    async def watch(self, watch: Watch, session: Any, within: float) -> None:
        """The watch that stands at the beginning breaks at 1 s, or falls silent just after a line then."""
        loop = asyncio.get_running_loop()
        if loop.time() < 0.001:
            watch.speaks()
            watch.answered = True
            await asyncio.sleep(1.0 - loop.time())
            if self.fails == "hangs":
                await asyncio.sleep(module.SILENCE)
                raise TimeoutError
            return
        await self.answered(within)
        if watch.speaks():
            watch.answered = True
            watch.take(DRAINS)
            await asyncio.sleep(3600)


def heard(service: Service, pushed: bool, grace: float = 1.0, whole: bool = False) -> list[float]:
    """When each front hears of the drain. Fronts with agents of their own have nothing to do with each other,
    so that few of them show as much."""
    fronts_in_all = 20 if pushed else FRONTS
    times: dict[int, float] = {}

    async def play() -> None:
        loop, fronts = asyncio.get_running_loop(), []
        for number in range(fronts_in_all):

            def tell(event: SchedulerEvent, number: int = number) -> None:
                times.setdefault(number, loop.time())

            address, directory = Address("127.0.0.1", 1), Directory({})
            front = Discovery(address, directory, tell, FRONTS, number, None, pushed, grace)
            front.directory.version = None if whole else 1
            front.start()
            fronts.append(front)
        while len(times) < fronts_in_all and loop.time() < 120:
            await asyncio.sleep(0.05)
        for front in fronts:
            front.stop()
        await asyncio.sleep(0)

    async def fetch(watch: Watch, session: Any, within: float) -> None:
        await service.fetch(watch, session, within)

    async def one(watch: Watch, session: Any, within: float) -> None:
        await service.watch(watch, session, within)

    with mock.patch.object(Watch, "fetch", fetch), mock.patch.object(Watch, "watch", one):
        clock.run(play())
    assert len(times) == fronts_in_all
    return list(times.values())


@pytest.mark.parametrize("fails", ["hangs", "refuses"])
@pytest.mark.parametrize("whole", [False, True])
def test_a_shared_discovery_is_heard_before_it_counts_as_told_at_200_fronts(fails: str, whole: bool) -> None:
    """Whenever it returns, amid a call or a wait: from 1 s on the watches are broken or silent."""
    for back in (1.0, 2.9, 6.1, 17.0):
        service = Service(fails, back)
        latest = max(heard(service, False, whole=whole))
        assert latest <= max(back, 1.0) + TOLD, (back, latest)


def test_a_watch_that_falls_silent_is_heard_again_in_time_though_its_call_waits_its_turn() -> None:
    assert max(heard(Service("hangs", 0.0, takes=2.0), False)) <= 1.0 + TOLD


def test_a_shared_discovery_that_refuses_is_called_once_a_period_by_each_front() -> None:
    service = Service("refuses", 60.0)
    heard(service, False)
    late = [at for at in service.calls if 30.0 <= at < 60.0]
    assert len(late) <= FRONTS * 30.0 / module.PERIOD + FRONTS
    assert max(sum(1 for at in late if begun <= at < begun + 1.0) for begun in late) <= 90


def test_a_shared_discovery_that_can_answer_every_front_in_time_does() -> None:
    """Fifty a second: all have their turn though they come at once."""
    assert max(heard(Service("refuses", 20.0, each=0.02), False)) <= 20.0 + TOLD


@pytest.mark.parametrize("fails", ["hangs", "refuses"])
@pytest.mark.parametrize("grace", [1.0, 0.25])
def test_an_own_agent_is_heard_within_the_rule_on_drains_at_its_return(fails: str, grace: float) -> None:
    """What it gets then counts as told at once; the calls that it did not answer it never will."""
    for back in (4.0, 5.3, 12.1):
        service = Service(fails, back)
        latest = max(heard(service, True, grace))
        assert latest <= back + grace + 0.05, (back, latest)
        assert service.most_out <= 20 * (module.MOST_CALLS + 1), "each holds a descriptor"


def test_an_own_agent_whose_watch_falls_silent_or_breaks_is_heard_long_before_it_counts() -> None:
    for fails in ("hangs", "refuses"):
        assert max(heard(Service(fails, 0.0), True)) <= 1.0 + module.SILENCE + 0.5


def test_the_arithmetic_of_the_page() -> None:
    assert module.SILENCE > module.BEAT, "a beat in time is no silence"
    assert module.SILENCE + module.AFTER_SILENCE + module.ANSWER <= TOLD - module.SLACK + 1e-9
    assert module.PERIOD + module.ANSWER <= TOLD - module.SLACK + 1e-9
    assert module.ANSWER < module.PERIOD


def line(state: str, started: int = 0, version: int = 8) -> dict[str, Any]:
    box = {
        "instanceId": "s-a",
        "hostPort": "127.0.0.1:9",
        "zone": "basement",
        "machineType": "m",
        "cell": 0,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started,
    }
    return {"generation": version, "reset": False, "instances": [box]}


def whole(state: str, started: int = 0) -> dict[str, Any]:
    return {**line(state, started, 7), "reset": True}


def chunk(value: dict[str, Any]) -> bytes:
    text = json.dumps(value).encode()
    return b"%x\r\n%s\n\r\n" % (len(text) + 1, text)


class MoveStories(unittest.IsolatedAsyncioTestCase):
    async def begin(self) -> None:
        self.old: ScriptedDiscovery = await ScriptedDiscovery(whole("SERVING"), [[b""]]).start()
        self.directory = Directory({})
        self.discovery = Discovery(
            Address("127.0.0.1", self.old.port), self.directory, lambda event: None, pushed=True
        )
        self.discovery.start()
        await self.until(lambda: len(self.old.asked) == 2 and self.directory.serves(1))
        self.addAsyncCleanup(self.end)

    async def end(self) -> None:
        self.discovery.stop()
        self.old.stop()

    async def until(self, true: Callable[[], Any]) -> None:
        async with asyncio.timeout(5):
            while not true():
                await asyncio.sleep(0.005)

    async def move(self, says: dict[str, Any]) -> ScriptedDiscovery:
        new: ScriptedDiscovery = await ScriptedDiscovery(says, [[b""]]).start()
        self.addCleanup(new.stop)
        self.discovery.move(Address("127.0.0.1", new.port))
        await self.until(lambda: len(new.asked) == 2)
        return new

    def write(self, agent: ScriptedDiscovery, value: dict[str, Any]) -> None:
        for writer in agent.writers:
            writer.write(chunk(value))

    async def test_another_agent_s_list_does_not_undo_a_drain_that_was_heard(self) -> None:
        with mock.patch.object(module, "TOLD", 0.5):
            await self.begin()
            self.write(self.old, line("DRAINING"))
            await self.until(lambda: not self.directory.serves(1))
            await self.move(whole("SERVING"))
            assert not self.directory.serves(1)
            await self.until(lambda: self.directory.serves(1))  # the new agent has stood by its word

    async def test_a_node_that_was_started_anew_serves_by_another_agent_s_list_at_once(self) -> None:
        await self.begin()
        self.write(self.old, line("DRAINING"))
        await self.until(lambda: not self.directory.serves(1))
        await self.move(whole("SERVING", started=5_000))
        assert self.directory.serves(1)

    async def test_an_agent_s_own_word_that_a_node_serves_again_counts_at_once(self) -> None:
        await self.begin()
        self.write(self.old, line("DRAINING"))
        await self.until(lambda: not self.directory.serves(1))
        self.write(self.old, line("SERVING", version=9))
        await self.until(lambda: self.directory.serves(1))

    async def test_a_drain_in_the_very_turn_in_which_its_watch_is_replaced_counts(self) -> None:
        await self.begin()
        settled = self.discovery.settled

        def crossing(watch: Watch) -> None:
            self.write(self.old, line("DRAINING"))  # nobody has read it as the old watch is given up
            settled(watch)

        with mock.patch.object(self.discovery, "settled", crossing):
            await self.move(whole("SERVING"))
            await self.until(lambda: not self.directory.serves(1))
        await self.until(lambda: not self.old.open)
        assert len(self.discovery.watches) == 1
        assert not self.discovery.retired

    async def test_what_an_agent_that_was_moved_from_says_last_brings_no_node_back(self) -> None:
        with mock.patch.object(module, "TOLD", 0.4):
            await self.begin()
            settled = self.discovery.settled

            def crossing(watch: Watch) -> None:
                self.write(self.old, line("SERVING", version=9))
                settled(watch)

            with mock.patch.object(self.discovery, "settled", crossing):
                await self.move(whole("DRAINING"))
                await self.until(lambda: not self.old.open)
            await asyncio.sleep(0.5)
        assert not self.directory.serves(1)

    async def test_of_calls_that_are_answered_late_only_the_first_counts(self) -> None:
        """An agent that is slow at first: the call that it answers last may say what is older."""
        asked: list[asyncio.StreamWriter] = []

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            asked.append(writer)
            await asyncio.sleep(60)

        server = await asyncio.start_server(slow, "127.0.0.1", 0)
        directory = Directory({})
        directory.apply(EndpointList(7, True, [instance("s-a", 1)]))
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        discovery = Discovery(address, directory, lambda event: None, pushed=True)
        discovery.start()
        await self.until(lambda: len(asked) == 2)
        head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        asked[1].write(head + chunk(line("DRAINING")))
        asked[0].write(head + chunk(line("SERVING", version=7)))
        await self.until(lambda: not directory.serves(1))
        await asyncio.sleep(0.3)
        assert not directory.serves(1)
        assert len(asked) == 2
        discovery.stop()
        server.close()

    async def answered(self, first: bytes, pushed: bool) -> list[str]:
        """What is asked of an agent whose first watch begins like this and ends, or stands; whose later
        answers are whole. Returns once the drain that it has since is heard."""
        asked: list[str] = []

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
                asked.append(target)
                if "watch" not in target:
                    text = json.dumps(whole("DRAINING"), indent=2).encode()
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                    continue
                head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                writer.write(head + (first if len(asked) == 1 else chunk(line("DRAINING"))))
                if first and len(asked) == 1:
                    writer.close()
                    return
                await reader.read()
                return

        server = await asyncio.start_server(talk, "127.0.0.1", 0)
        directory = Directory({})
        directory.apply(EndpointList(7, True, [instance("s-a", 1)]))
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        discovery = Discovery(address, directory, lambda event: None, 200, pushed=pushed)
        discovery.start()
        async with asyncio.timeout(TOLD):
            while directory.serves(1):
                await asyncio.sleep(0.005)
        discovery.stop()
        server.close()
        return asked

    async def test_half_a_line_and_the_end_is_followed_by_the_whole_list(self) -> None:
        half = chunk(line("DRAINING"))[:60]
        for pushed in (True, False):
            with self.subTest(pushed=pushed):
                await self.answered(half, pushed)
        cut = b"1e\r\n" + json.dumps(line("DRAINING")).encode()[:30] + b"\r\n0\r\n\r\n"  # and in good order
        assert (await self.answered(cut, True))[1] == "/discovery/hosts"

    async def test_a_watch_that_answers_a_head_and_then_nothing_is_asked_again(self) -> None:
        for pushed in (True, False):
            with self.subTest(pushed=pushed):
                assert len(await self.answered(b"", pushed)) >= 2
