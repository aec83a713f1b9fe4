"""The watch on discovery: the list, its changes line by line, and a new start where the watch breaks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import aiohttp
import structlog

from cleatyoke import api
from cleatyoke.config import Address
from cleatyoke.directory import Directory, Listing
from cleatyoke.faults import Faults, keep_up
from cleatyoke.figures import Figures
from cleatyoke.net.messages import BadMessage, decode_listing
from cleatyoke.recovery import Backoff

SILENCE = 5.0  # seconds without a line, where an empty one comes every two: the watch is dead
EACH = 0.075  # seconds of an overbooked service that a host's call is given: it answers some ten a second
LEAST = 0.25  # seconds that the waits of a small fleet are spread over
MOST = 4  # times the first span that waits grow to
DIAL = 1.0  # seconds for a connection
FETCH = 4.0  # seconds for the whole list: a call that waits its turn for two must not be asked again
SOON = 0.7  # seconds in which an agent of the front's own answers, unless discovery is down (protocol page)
SHORT = 8  # looks in a row that wait only so long; one in so many waits for as long as ever
MOST_LINE = 1 << 20
log = structlog.get_logger()


class Discovery:
    """Keeps the directory, and through it the policy, told: by one watch, or amid a move by two."""

    def __init__(
        self, address: Address, directory: Directory, tell: Callable[[api.Event], None],
        hosts: int = 1, seed: int = 0, faults: Faults | None = None, pushed: bool = False,
    ) -> None:  # fmt: skip
        """``pushed``: lists come from an agent of the front's own, which a call costs nothing, and what it
        has counts as told at once; else calls load a service that all fronts share."""
        self.pushed = pushed
        self.address, self.directory, self.tell = address, directory, tell
        self.hosts, self.dice = hosts, random.Random(seed)
        self.faults = faults or Faults(Figures())
        self.heard = asyncio.Event()  # something, in this life
        self.watches: list[Watch] = []  # the last one is on the address that counts

    def take(self, listing: Listing, kind: api.ListKind | None = None) -> None:
        """A list goes to the directory and, in the same turn, to the policy."""
        whole = api.ListKind.FULL if listing.whole else api.ListKind.CHANGES
        self.tell(api.NodeList(kind or whole, self.directory.apply(listing)))

    def start(self) -> None:
        """Watch; an old copy of the list counts, as its versions are this agent's."""
        self.watches.append(Watch(self, self.address, self.directory.version))

    def move(self, address: Address) -> None:
        """Watch another agent. The whole list comes first, as the old one's versions are nothing to it. Until
        it has come the old watch goes on: nothing is missed, and no wait on the old one delays the new."""
        self.address = address
        self.watches.append(Watch(self, address, None))

    def settled(self, watch: Watch) -> None:
        """This one has told its whole list: from here on, what an older one says could only undo that."""
        while self.watches and self.watches[0] is not watch:
            self.watches.pop(0).task.cancel()

    def stop(self) -> None:
        for watch in self.watches:
            watch.task.cancel()


class Watch:
    """The watch on one agent, kept up for ever. ``version`` is that agent's; None asks for the whole list."""

    def __init__(self, owner: Discovery, address: Address, version: int | None) -> None:
        host = f"[{address.host}]" if ":" in address.host else address.host
        self.url, self.version = f"http://{host}:{address.port}/discovery/hosts", version
        self.backoff = Backoff(owner.dice, owner.hosts, EACH, MOST, LEAST)
        self.failed, self.answered = 0, False
        self.silences = 0  # in a row, since anything was heard
        self.owner = owner
        self.task = asyncio.create_task(keep_up(owner.faults, "discovery", self.run, self.start_over))

    def start_over(self) -> float:
        """After a fault of our own: what it cut short may have held a change, so the whole list is next."""
        self.version = None
        return self.backoff.failed()

    async def run(self) -> None:
        """Where a change may have been missed, the whole list comes first."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=DIAL, sock_read=SILENCE)
        async with aiohttp.ClientSession(
            timeout=timeout, cookie_jar=aiohttp.DummyCookieJar(), read_bufsize=MOST_LINE
        ) as session:
            while True:
                self.answered = False
                try:
                    if self.version is None:
                        await self.fetch(session)
                    await self.watch(session)
                    log.info("discovery_ended", address=self.url)
                except BadMessage as error:
                    log.warning("discovery_line_skipped", why=str(error))
                    self.version = None  # the line may have held a change: take the whole list
                except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                    why = f"{type(error).__name__}: {error}"
                    self.failed += 1
                    silent = isinstance(error, TimeoutError)
                    if not silent or self.silences % SHORT == 0:  # the short looks are many, and all alike
                        log.warning("discovery_lost", address=self.url, why=why, failed=self.failed)
                    if silent and self.owner.pushed:
                        self.silences += 1
                        await asyncio.sleep(self.owner.dice.random() * LEAST)
                        continue
                await asyncio.sleep(self.backoff.broke() if self.answered else self.backoff.failed())

    def patience(self) -> float:
        """Seconds for an answer to begin. Guards against drains that are told while a silent watch, or the
        wait after one, still runs: an own agent that was silent is asked again and again, as what it gets at
        discovery's return counts as told at once. One look in some is long, should it only be slow."""
        return SOON if self.silences % SHORT else SILENCE

    async def fetch(self, session: aiohttp.ClientSession) -> None:
        within = min(FETCH, self.patience())
        async with asyncio.timeout(within), session.get(self.url, raise_for_status=True) as response:
            listing = decode_listing(await response.read())
        self.take(listing, api.ListKind.FULL)
        self.owner.settled(self)

    async def watch(self, session: aiohttp.ClientSession) -> None:
        params = {"watch": "1", "after": str(self.version)}
        within = asyncio.timeout(self.patience())  # for the head, and the first line, which comes with it
        async with within, session.get(self.url, params=params, raise_for_status=True) as response:
            self.answered, self.failed = True, 0
            while line := await response.content.readline():
                within.reschedule(None)
                self.silences = 0
                self.owner.heard.set()
                if text := line.strip():
                    self.take(decode_listing(text))

    def take(self, listing: Listing, kind: api.ListKind | None = None) -> None:
        self.owner.take(listing, kind)
        self.version = listing.version
        self.owner.heard.set()
