"""The watch on discovery: the list, its changes line by line, and a new start where the watch breaks.

What discovery has and could be reached for counts as told ``TOLD`` seconds later, whatever calls failed
meanwhile (protocol page, Figures, and the operators' letter); what an own agent has counts at once. The
arithmetic of both stands in ``docs/architecture.md``.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Collection
from dataclasses import replace

import aiohttp
import structlog

from cleatyoke.config.addresses import Address
from cleatyoke.discovery.backoff import Backoff
from cleatyoke.discovery.directory import Directory, EndpointList, Instance
from cleatyoke.discovery.listings import (
    AT_ONCE,
    LONG,
    ListTooLongError,
    collection_put_off,
    decode_listing,
    decode_long_listing,
    read_body,
    read_lines,
)
from cleatyoke.http.messages import MessageError
from cleatyoke.process.faults import Faults, run_forever
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import EndpointState, EndpointUpdate, SchedulerEvent, UpdateKind

TOLD = 6.0  # seconds after which a change counts as told (protocol page, Figures)
BEAT = 2.0  # seconds between the empty lines of a watch on which nothing changes (protocol page, Discovery)
SILENCE = BEAT + 0.3  # seconds without a line after which a watch is dead: a beat, and room for a late one
ANSWER = 2.2  # seconds for a dial and the first of an answer: a turn in an overbooked service takes two
SLACK = 0.2  # seconds kept of ``TOLD`` for a loop that runs late
PERIOD = TOLD - ANSWER - SLACK  # seconds between the beginnings of two calls: one that hangs costs no more
AFTER_SILENCE = TOLD - SILENCE - ANSWER - SLACK  # seconds that the first call after a silence may wait
EACH = 0.075  # seconds of an overbooked service that a host's call is given: it answers some ten a second
LEAST = 0.25  # seconds that the waits of a small fleet are spread over, and between looks at an own agent
MOST = 4  # times the first span that waits grow to
LOOKS = 4  # parts of the time that the rule on drains leaves, in which an own agent is looked at once each
SOON = 0.7  # seconds in which an agent of the front's own answers, unless discovery is down (protocol page)
MOST_CALLS = 4  # looks at an own agent that are out at once
SHORT = 8  # looks that fail alike for one that is logged
LAST_WORDS = 0.25  # seconds in which what an agent that was moved from has already sent is still heard
READ_AHEAD = 1 << 18  # bytes that are taken from a connection before they are looked at
log = structlog.get_logger()


class Discovery:
    """Keeps the directory, and through it the policy, told: by one watch, or amid a move by two."""

    def __init__(
        self,
        address: Address,
        directory: Directory,
        tell: Callable[[SchedulerEvent], None],
        hosts: int = 1,
        seed: int = 0,
        faults: Faults | None = None,
        pushed: bool = False,
        grace: float = 1.0,
    ) -> None:
        """``pushed``: lists come from an agent of the front's own, which a call costs nothing, and what it
        has counts as told at once; else calls load a service that all fronts share. ``grace``: seconds after
        a change was told in which a node may still be sent to, by the rule on drains.
        """
        self.pushed = pushed
        self.keep_pace(grace)
        self.address, self.directory, self.tell = address, directory, tell
        self.hosts, self.rng = hosts if hosts > 0 else math.inf, random.Random(seed)
        self.faults = faults or Faults(Metrics())
        self.heard = asyncio.Event()  # something, in this life
        self.watches: list[Watch] = []  # the last one is on the address that counts
        self.retired: set[Watch] = set()  # those that it has replaced, for their last words
        self.down: dict[tuple[str, float], tuple[float, Watch]] = {}  # lives that leave: when told, by whom
        self.withheld: dict[str, Instance] = {}  # what a list said of nodes that another agent had said leave

    def take(self, listing: EndpointList, kind: UpdateKind | None = None, watch: Watch | None = None) -> None:
        """A list goes to the directory and, in the same turn, to the policy."""
        if watch:
            listing = self.compare(listing, watch)
        whole = UpdateKind.SNAPSHOT if listing.whole else UpdateKind.DELTA
        self.tell(EndpointUpdate(kind or whole, self.directory.apply(listing)))

    async def take_long(self, listing: EndpointList, watch: Watch) -> None:
        """A long list, in parts between which the event loop goes on; it is empty afterwards. Who drains or
        is gone comes first, in one turn; nodes of which nothing new is said are passed over. The directory's
        version is the new one only once all is taken.
        """
        directory, latest = self.directory, {box.name: box for box in listing.instances}
        names, version = frozenset(latest), directory.version or 0
        listing.instances.clear()  # given back in parts, as to free them all in one turn takes long
        await asyncio.sleep(0)
        leaving = [box for box in latest.values() if box.state is not EndpointState.LIVE]
        self.take(EndpointList(version, False, leaving + self.not_in(listing, names, watch)), None, watch)
        for box in leaving:
            del latest[box.name]
        while latest:
            await asyncio.sleep(0)
            if watch in self.retired:  # a newer agent's list has come, and holds
                return
            part = [latest.popitem()[1] for _ in range(min(AT_ONCE, len(latest)))]
            if news := [box for box in part if directory.latest(box.name) != box]:
                self.take(EndpointList(version, False, news), None, watch)
        await asyncio.sleep(0)
        # Again, as another watch may have told of more nodes meanwhile.
        self.take(EndpointList(listing.version, False, self.not_in(listing, names, watch)), None, watch)

    def not_in(self, listing: EndpointList, names: Collection[str], watch: Watch) -> list[Instance]:
        """The nodes that a whole list no longer has, as gone; of an agent that was moved from it proves
        nothing that one is missing.
        """
        absent = self.directory.absent(names) if listing.whole and watch not in self.retired else []
        return [replace(box, state=EndpointState.REMOVED) for box in absent]

    def compare(self, listing: EndpointList, watch: Watch) -> EndpointList:
        """Guards nodes that one agent has said leave against another agent's list, which may be older: amid a
        move they go on leaving until the new agent must know better. A node that is started anew is another
        life. Of an agent that was moved from, only what it says of leaving counts.
        """
        now = asyncio.get_running_loop().time()
        self.down = {life: told for life, told in self.down.items() if told[0] > now - TOLD}
        if watch in self.retired:
            leaving = [box for box in listing.instances if box.state is not EndpointState.LIVE]
            listing = EndpointList(self.directory.version or 0, False, leaving)
        taken = []
        for box in listing.instances:
            life = box.name, box.started
            self.withheld.pop(box.name, None)
            if box.state is not EndpointState.LIVE:
                self.down[life] = now, watch
            elif life in self.down and self.down[life][1] is not watch:
                self.withheld[box.name] = box
                asyncio.get_running_loop().call_later(TOLD, self.release, box, watch)
                box = replace(box, state=EndpointState.DRAINING)
            else:
                self.down.pop(life, None)
            taken.append(box)
        return replace(listing, instances=taken)

    def release(self, box: Instance, watch: Watch) -> None:
        """The new agent has stood by its word for as long as any change takes to be told."""
        if self.withheld.get(box.name) is box:
            self.down.pop((box.name, box.started), None)
            self.take(EndpointList(self.directory.version or 0, False, [box]), None, watch)

    def keep_pace(self, grace: float) -> None:
        """Look at an own agent often enough for the rule on drains."""
        self.every = max(LEAST / 5, min(LEAST, grace / LOOKS))

    def start(self) -> None:
        """Watch; an old copy of the list counts, as its versions are this agent's."""
        self.watches.append(Watch(self, self.address, self.directory.version))

    def move(self, address: Address) -> None:
        """Watch another agent. The whole list comes first, as the old one's versions are nothing to it. Until
        it has come the old watch goes on: nothing is missed, and no wait on the old one delays the new.
        """
        self.address = address
        self.watches.append(Watch(self, address, None))

    def settled(self, watch: Watch) -> None:
        """This one has told its whole list: from here on, older ones may only say who leaves, in what they
        have sent by now.
        """
        while self.watches and self.watches[0] is not watch:
            old = self.watches.pop(0)
            self.retired.add(old)
            asyncio.get_running_loop().call_later(LAST_WORDS, self.dismiss, old)

    def dismiss(self, watch: Watch) -> None:
        self.retired.discard(watch)
        watch.task.cancel()

    def stop(self) -> None:
        for watch in [*self.watches, *self.retired]:
            watch.task.cancel()


class Watch:
    """The watch on one agent, kept up for ever. ``version`` is that agent's; None asks for the whole list."""

    def __init__(self, owner: Discovery, address: Address, version: int | None) -> None:
        host = f"[{address.host}]" if ":" in address.host else address.host
        self.url, self.version = f"http://{host}:{address.port}/discovery/hosts", version
        self.pace = Backoff(owner.rng, owner.hosts, EACH, MOST, LEAST, PERIOD)
        self.failed, self.answered, self.began = 0, False, 0.0
        self.refused = False  # the latest list was too long, and the log was told
        self.speaker: asyncio.Task[None] | None = None  # the call that was answered, of those that are out
        self.owner = owner
        self.task = asyncio.create_task(run_forever(owner.faults, "discovery", self.run, self.start_over))

    def start_over(self) -> float:
        """After a fault of our own: what it cut short may have held a change, so the whole list is next."""
        self.version = None
        return self.pace.failed()

    async def run(self) -> None:
        """Where a change may have been missed, the whole list comes first."""
        timeout = aiohttp.ClientTimeout(total=None)  # each wait has its own
        async with aiohttp.ClientSession(
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_AHEAD,
            connector=aiohttp.TCPConnector(limit=0, force_close=self.owner.pushed),
        ) as session:
            while self not in self.owner.retired:
                self.answered, silent = False, False
                try:
                    await (self.look(session) if self.owner.pushed else self.call(session, ANSWER))
                    log.info("discovery_ended", address=self.url)
                except ListTooLongError as error:
                    self.refuse(error)
                except MessageError as error:
                    log.warning("discovery_line_skipped", why=str(error))
                    self.version = None  # the line may have held a change: take the whole list
                except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                    self.lost(error)
                    silent = isinstance(error, TimeoutError)
                await asyncio.sleep(self.wait(silent))

    def wait(self, silent: bool) -> float:
        """Seconds before the next call. An own agent's calls cost nothing, so that only what a loop can do
        bounds them.
        """
        if self.refused:
            return PERIOD  # reading it again costs, whoever sends it
        if self.owner.pushed:
            return self.owner.rng.random() * self.owner.every
        if self.answered:
            return self.pace.broke(AFTER_SILENCE if silent else None)
        return self.pace.failed(asyncio.get_running_loop().time() - self.began)

    def lost(self, error: Exception) -> None:
        if self.failed % SHORT == 0:  # they may be many, and all alike
            why = f"{type(error).__name__}: {error}"
            log.warning("discovery_lost", address=self.url, why=why, failed=self.failed + 1)
        self.failed += 1

    def refuse(self, error: ListTooLongError) -> None:
        """What is known stands, and the log is told once until a list is taken again."""
        if not self.refused:
            log.error("discovery_list_refused", address=self.url, why=str(error))
        self.refused = True

    async def look(self, session: aiohttp.ClientSession) -> None:
        """Call an own agent, which answers at once unless discovery is down, and then not even at its return.
        What it has at that moment counts as told at once, so a call that is not answered soon gets company
        every few moments. The first of them is waited for longest, should the agent only be slow. Whichever
        is answered first is the watch; returns or raises as that ends.
        """
        loop, calls = asyncio.get_running_loop(), list[asyncio.Task[None]]()
        self.speaker = None
        try:
            while self.speaker is None:
                calls.append(asyncio.create_task(self.call(session, SOON if calls else TOLD)))
                calls[-1].add_done_callback(lambda call: call.cancelled() or call.exception())  # is noted
                until = loop.time() + self.owner.every
                while calls and self.speaker is None and (rest := until - loop.time()) > 0:
                    done, _ = await asyncio.wait(calls, timeout=rest, return_when=asyncio.FIRST_COMPLETED)
                    for call in done:
                        calls.remove(call)
                        try:
                            call.result()
                        except TimeoutError as error:
                            self.lost(error)
                if not calls and (rest := until - loop.time()) > 0:
                    await asyncio.sleep(rest)
                if len(calls) > MOST_CALLS:
                    calls.pop(1).cancel()
            for call in calls:
                if call is not self.speaker:
                    call.cancel()
            await self.speaker
        finally:
            for call in calls:
                call.cancel()
            if self.speaker:
                self.speaker.cancel()

    async def call(self, session: aiohttp.ClientSession, within: float) -> None:
        """The whole list where it is needed, then the watch until that ends; an answer has to begin within
        so many seconds.
        """
        self.began = asyncio.get_running_loop().time()
        if self.version is None:
            await self.fetch(session, within)
            if self.owner.pushed:
                within = self.owner.every  # it answers, and this call has no company any more
        self.began = asyncio.get_running_loop().time()
        await self.watch(session, within)

    async def fetch(self, session: aiohttp.ClientSession, within: float) -> None:
        async with asyncio.timeout(within), session.get(self.url, raise_for_status=True) as response:
            body = await read_body(response.content)
        if self.speaks():
            await self.take_text(body, UpdateKind.SNAPSHOT)
            self.owner.settled(self)

    async def watch(self, session: aiohttp.ClientSession, within: float) -> None:
        params = {"watch": "1", "after": str(self.version)}
        loop, limit = asyncio.get_running_loop(), asyncio.timeout(within)  # for the head and the first line
        async with limit, session.get(self.url, params=params, raise_for_status=True) as response:
            async for line in read_lines(response.content):
                limit.reschedule(loop.time() + SILENCE)
                if not self.speaks():
                    return
                self.answered, self.failed = True, 0
                self.owner.heard.set()
                if text := line.strip():
                    limit.reschedule(None)  # a long list takes its time, and is no silence
                    await self.take_text(text)
                    limit.reschedule(loop.time() + SILENCE)

    def speaks(self) -> bool:
        """Whether this call is the one that was answered first: what another one says may be older."""
        if self.owner.pushed and self.speaker is None:
            self.speaker = asyncio.current_task()
        return not self.owner.pushed or self.speaker is asyncio.current_task()

    async def take_text(self, text: bytes, kind: UpdateKind | None = None) -> None:
        """A list as it came, short or long."""
        if len(text) < LONG:
            self.take(decode_listing(text), kind)
        else:
            with collection_put_off():
                await self.take_long(text, kind)
        self.refused = False

    async def take_long(self, text: bytes, kind: UpdateKind | None) -> None:
        listing = await decode_long_listing(text)
        if len(listing.instances) > AT_ONCE:
            await self.owner.take_long(listing, self)
            self.version = listing.version
        else:
            self.take(listing, kind)

    def take(self, listing: EndpointList, kind: UpdateKind | None = None) -> None:
        self.owner.take(listing, kind, self)
        self.version = listing.version
        self.owner.heard.set()
