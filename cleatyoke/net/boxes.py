"""Attempts over HTTP: a pool of connections for each box, and what each ending proves."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from contextvars import ContextVar
from dataclasses import dataclass

import aiohttp
from aiohttp.connector import Connection
from yarl import URL

from cleatyoke.api import Outcome
from cleatyoke.directory import Directory
from cleatyoke.net.messages import MOST_BODY, Ask, decode_outcome, encode_attempt

MOST_CONNECTIONS = 16  # to one box; the policy has at most eight attempts out at a node
IDLE_SHARE = 0.5  # of the boxes' idle limit, after which a pooled connection is dropped
PLAIN = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")  # headers that aiohttp would add


class NotServing(Exception):
    """The box began to drain, or went, before the request was written: it is not."""


class NeverWritten(Exception):
    """The connection had ended before the first byte was written."""


class Broken(aiohttp.ClientError):
    """The connection ended after the request was written."""


@dataclass(slots=True)
class Trial:
    """What the request class leaves for the attempt that it was sent for."""

    pool: Pool
    transport: asyncio.Transport | None = None


trial_now: ContextVar[Trial] = ContextVar("trial_now")


class GuardedRequest(aiohttp.ClientRequest):
    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """The last look before the first byte: discovery may have spoken while the connection came up."""
        trial = trial_now.get()
        if trial.pool.retired:
            raise NotServing
        if conn.transport is None or conn.transport.is_closing():
            raise NeverWritten
        assert isinstance(conn.transport, asyncio.Transport)
        trial.transport = conn.transport
        return await super().send(conn)


async def never_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """aiohttp sends a GET or PUT once more by itself where a pooled connection breaks, as if nothing had run.

    Guards the rule against second runs: it knows a break by two errors, which are made another one here."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise  # it never came up; aiohttp does not resend after this one
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise Broken(str(error)) from error


class Pool:
    """The connections to one life of one box. Retired, it ends with the last attempt that is out."""

    def __init__(self, base: str, dial_timeout: float, idle_close: float) -> None:
        self.base, self.out, self.retired = base, 0, False
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=MOST_CONNECTIONS, keepalive_timeout=idle_close * IDLE_SHARE, use_dns_cache=False
            ),
            request_class=GuardedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=dial_timeout),
            auto_decompress=False,
            skip_auto_headers=PLAIN,
            middlewares=(never_resend,),
        )

    async def retire(self) -> None:
        self.retired = True
        if not self.out:
            await self.session.close()


class Boxes:
    """Attempts at the boxes of the directory."""

    def __init__(self, directory: Directory, dial_timeout: float, idle_close: float) -> None:
        self.directory, self.dial_timeout, self.idle_close = directory, dial_timeout, idle_close
        self.pools: dict[int, Pool] = {}
        self.closing: set[asyncio.Task[None]] = set()
        directory.watchers.append(self.changed)

    def changed(self, node: int) -> None:
        """The box drains, went or started anew: no connection to the old one is used again."""
        if pool := self.pools.pop(node, None):
            task = asyncio.create_task(pool.retire())
            pool.retired = True
            self.closing.add(task)
            task.add_done_callback(self.closing.discard)

    def pool(self, node: int) -> Pool | None:
        if not self.directory.serves(node):
            return None
        if node not in self.pools:
            address = self.directory.boxes[node].address
            host = f"[{address.host}]" if ":" in address.host else address.host
            self.pools[node] = Pool(f"http://{host}:{address.port}", self.dial_timeout, self.idle_close)
        return self.pools[node]

    async def attempt(self, node: int, ask: Ask, wait: float) -> tuple[Outcome, bytes | None]:
        """Send the request to the box, once; any ending that is not proven harmless may have run."""
        pool = self.pool(node)
        if pool is None:
            return Outcome.NOT_SENT, None
        trial = Trial(pool)
        trial_now.set(trial)  # a request's task makes one attempt at a time
        pool.out += 1
        whole = False
        try:
            async with pool.session.request(
                ask.method,
                URL(pool.base + ask.target, encoded=True),
                data=ask.body or None,
                headers=encode_attempt(ask, wait),
                allow_redirects=False,
            ) as response:
                body = await read_bounded(response.content)
                whole = True
                return self.judge(response.status, response.headers, body)
        except NotServing:
            return Outcome.NOT_SENT, None
        except (NeverWritten, aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Outcome.NO_CONNECTION, None
        except (aiohttp.ClientError, OSError, ValueError):
            return Outcome.RESET if trial.transport else Outcome.NO_CONNECTION, None
        finally:
            if not whole and trial.transport:
                trial.transport.abort()  # at once: close() would first write what is still buffered
            pool.out -= 1
            if pool.retired and not pool.out:
                await pool.session.close()

    def judge(self, status: int, headers: Mapping[str, str], body: bytes) -> tuple[Outcome, bytes | None]:
        outcome = decode_outcome(status, headers)
        return outcome, body if outcome is Outcome.SERVED else None

    async def close(self) -> None:
        await asyncio.gather(*[pool.session.close() for pool in self.pools.values()], *self.closing)


async def read_bounded(content: aiohttp.StreamReader) -> bytes:
    """A whole body; one that is larger than the protocol allows ends the connection."""
    parts, size = [], 0
    async for part in content.iter_any():
        size += len(part)
        if size > MOST_BODY:
            raise ValueError("too large an answer")
        parts.append(part)
    return b"".join(parts)
