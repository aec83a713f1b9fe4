"""The watch on discovery: the list, its changes line by line, and a new start where the watch breaks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp
import structlog

from cleatyoke import api
from cleatyoke.config import Address
from cleatyoke.directory import Directory, Listing
from cleatyoke.net.messages import BadMessage, decode_listing

SILENCE = 5.0  # seconds without a line, where an empty one comes every two: the watch is dead
PAUSE = 0.25  # before the next try
MOST_LINE = 1 << 20
log = structlog.get_logger()


class Discovery:
    """Keeps the directory, and through it the policy, told."""

    def __init__(
        self, address: Address, directory: Directory, tell: Callable[[api.Event], None]
    ) -> None:
        self.base = f"http://{address.host}:{address.port}/discovery/hosts"
        self.directory, self.tell = directory, tell
        self.heard = asyncio.Event()  # something, in this life

    def take(self, listing: Listing, kind: api.ListKind | None = None) -> None:
        """A list goes to the directory and, in the same turn, to the policy."""
        whole = api.ListKind.FULL if listing.whole else api.ListKind.CHANGES
        self.tell(api.NodeList(kind or whole, self.directory.apply(listing)))

    async def run(self) -> None:
        """Watch for ever; where a change may have been missed, the whole list comes first."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2.0, sock_read=SILENCE)
        async with aiohttp.ClientSession(
            timeout=timeout, cookie_jar=aiohttp.DummyCookieJar(), read_bufsize=MOST_LINE
        ) as session:
            while True:
                try:
                    if self.directory.version is None:
                        await self.fetch(session)
                    await self.watch(session)
                    log.info("discovery_ended")
                except BadMessage as error:
                    log.warning("discovery_line_skipped", why=str(error))
                    self.directory.version = None  # the line may have held a change: take the whole list
                except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                    log.warning("discovery_lost", why=f"{type(error).__name__}: {error}")
                await asyncio.sleep(PAUSE)

    async def fetch(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(SILENCE), session.get(self.base, raise_for_status=True) as response:
            listing = decode_listing(await response.read())
            self.take(listing, api.ListKind.FULL)
            self.heard.set()

    async def watch(self, session: aiohttp.ClientSession) -> None:
        params = {"watch": "1", "after": str(self.directory.version)}
        async with session.get(self.base, params=params, raise_for_status=True) as response:
            while line := await response.content.readline():
                self.heard.set()
                if text := line.strip():
                    self.take(decode_listing(text))
