"""The watch on one discovery agent: gets the complete list, then its changes line by line, and reconnects."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

import aiohttp
import structlog

from cleatyoke.config.addresses import Address
from cleatyoke.discovery.directory import EndpointList
from cleatyoke.discovery.errors import InvalidListError, ListTooLongError
from cleatyoke.discovery.listings import (
    LONG_LIST_BYTES,
    MAX_NODES_PER_TURN,
    decode_endpoint_list,
    decode_long_endpoint_list,
    garbage_collection_paused,
    read_body,
    read_lines,
)
from cleatyoke.discovery.schedule import (
    ANSWER_TIMEOUT,
    IDLE_TIMEOUT,
    MAX_REPORTING_DELAY,
    CallOutcome,
    CallSchedule,
)
from cleatyoke.process.faults import Faults, run_forever
from cleatyoke.scheduling.events import UpdateKind

# Seconds in which a dedicated agent answers unless discovery is down (protocol page).
AGENT_ANSWER_TIMEOUT = 0.7
MAX_CONCURRENT_CALLS = 4  # unanswered calls to a dedicated agent
FAILURES_PER_LOG_LINE = 8  # one in so many is logged, as many may be alike
READ_BUFFER_BYTES = 1 << 18  # bytes read ahead from a connection
log = structlog.get_logger()


class WatchOwner(Protocol):
    """The interface of ``Discovery`` that its watches use."""

    rng: random.Random
    fronts: float
    faults: Faults
    dedicated_agent: bool
    poll_interval: float
    first_answer: asyncio.Event

    def apply(self, endpoint_list: EndpointList, kind: UpdateKind | None, watch: Watch) -> None:
        """Apply a list that the watch has received."""

    async def apply_in_parts(self, endpoint_list: EndpointList, watch: Watch) -> None:
        """Apply a long list, in parts."""

    def complete_list_applied(self, watch: Watch) -> None:
        """Handle that the agent's complete list has been applied."""

    def is_retired(self, watch: Watch) -> bool:
        """Whether the watch was replaced."""


class Watch:
    """The watch on one agent. ``task`` calls the agent again whenever a call ends, until it is cancelled.

    ``version``: version of the agent's latest applied list or change; None if the complete list has to be
    requested first, as at the start and whenever a change may have been missed.
    """

    def __init__(self, owner: WatchOwner, address: Address, version: int | None) -> None:
        host = f"[{address.host}]" if ":" in address.host else address.host
        self.url = f"http://{host}:{address.port}/discovery/hosts"
        self.version = version
        self.owner = owner
        self.schedule = CallSchedule(owner.rng, owner.fronts)
        self.failures = 0  # failed calls since the last received line
        self.has_answered = False  # the current call has received a line
        self.call_started_at = 0.0  # loop time
        self.list_rejected = False  # the latest list was too long, which has been logged
        self.answered_call: asyncio.Task[None] | None = None  # of the concurrent calls to a dedicated agent
        self.task = asyncio.create_task(
            run_forever(owner.faults, "discovery", self.run, self._restart_after_fault)
        )

    def _restart_after_fault(self) -> float:
        """Return the seconds until a restart, with the complete list, as the fault may have lost a change."""
        self.version = None
        return self.schedule.delay_after_fault()

    async def run(self) -> None:
        """Call the agent again and again until the watch is retired."""
        timeout = aiohttp.ClientTimeout(total=None)  # each wait has its own timeout
        async with aiohttp.ClientSession(
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_BUFFER_BYTES,
            connector=aiohttp.TCPConnector(limit=0, force_close=self.owner.dedicated_agent),
        ) as session:
            while not self.owner.is_retired(self):
                timed_out = await self._call_once(session)
                await asyncio.sleep(self._delay(timed_out=timed_out))

    async def _call_once(self, session: aiohttp.ClientSession) -> bool:
        """Call the agent and watch until the call ends. Return whether it ended by a timeout."""
        self.has_answered = False
        try:
            if self.owner.dedicated_agent:
                await self._call_dedicated_agent(session)
            else:
                await self._call(session, ANSWER_TIMEOUT)
            log.info("discovery_ended", address=self.url)
        except ListTooLongError as error:
            self._reject_list(error)
        except InvalidListError as error:
            log.warning("discovery_line_skipped", reason=str(error))
            self.version = None  # the line may have contained a change: request the complete list
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self._record_failure(error)
            return isinstance(error, TimeoutError)
        return False

    def _delay(self, *, timed_out: bool) -> float:
        """Return the seconds until the next call."""
        elapsed = asyncio.get_running_loop().time() - self.call_started_at
        outcome = CallOutcome(self.has_answered, timed_out, elapsed, self.list_rejected)
        return self.schedule.delay_after(
            outcome, self.owner.poll_interval if self.owner.dedicated_agent else None
        )

    def _record_failure(self, error: Exception) -> None:
        if self.failures % FAILURES_PER_LOG_LINE == 0:
            reason = f"{type(error).__name__}: {error}"
            log.warning("discovery_lost", address=self.url, reason=reason, failed=self.failures + 1)
        self.failures += 1

    def _reject_list(self, error: Exception) -> None:
        """Keep the last accepted list; log once until a list is accepted again."""
        if not self.list_rejected:
            log.error("discovery_list_refused", address=self.url, reason=str(error))
        self.list_rejected = True

    # Calls

    async def _call_dedicated_agent(self, session: aiohttp.ClientSession) -> None:
        """Call a dedicated agent until one call is answered; returns or raises when that call ends.

        Such an agent answers at once unless discovery is down. It may never answer a call that arrived while
        discovery was down, and a change that it has when discovery returns counts as reported immediately. A
        front that waits for a single call therefore learns of drains a whole timeout late. So another call is
        started every poll interval, up to ``MAX_CONCURRENT_CALLS``. The first call has the longest timeout,
        in case the agent is only slow. The call that is answered first becomes the watch, and the others are
        cancelled.
        """
        calls: list[asyncio.Task[None]] = []
        self.answered_call = None
        try:
            while self.answered_call is None:
                timeout = AGENT_ANSWER_TIMEOUT if calls else MAX_REPORTING_DELAY
                call = asyncio.create_task(self._call(session, timeout))
                # Marks the exception as retrieved, which asyncio would otherwise log.
                call.add_done_callback(lambda done: done.cancelled() or done.exception())
                calls.append(call)
                await self._wait_for_answer(calls)
                if len(calls) > MAX_CONCURRENT_CALLS:
                    calls.pop(1).cancel()
            for call in calls:
                if call is not self.answered_call:
                    call.cancel()
            await self.answered_call
        finally:
            for call in calls:
                call.cancel()
            if self.answered_call:
                self.answered_call.cancel()

    async def _wait_for_answer(self, calls: list[asyncio.Task[None]]) -> None:
        """Wait until a call is answered, for one poll interval at most. Removes calls that have ended.

        Raises the exception of a failed call, unless it timed out.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.owner.poll_interval
        while calls and self.answered_call is None and (remaining := deadline - loop.time()) > 0:
            done, _ = await asyncio.wait(calls, timeout=remaining, return_when=asyncio.FIRST_COMPLETED)
            for call in done:
                calls.remove(call)
                try:
                    call.result()
                except TimeoutError as error:
                    self._record_failure(error)
        if not calls and (remaining := deadline - loop.time()) > 0:
            await asyncio.sleep(remaining)

    async def _call(self, session: aiohttp.ClientSession, timeout: float) -> None:  # noqa: ASYNC109 (passed on)
        """Get the complete list if needed, then the changes until the stream ends.

        ``timeout``: seconds within which the agent has to answer.
        """
        self.call_started_at = asyncio.get_running_loop().time()
        if self.version is None:
            await self.fetch_complete_list(session, timeout)
            if self.owner.dedicated_agent:
                # The agent answers, and no other call runs any more.
                timeout = self.owner.poll_interval
        self.call_started_at = asyncio.get_running_loop().time()
        await self.stream_changes(session, timeout)

    async def fetch_complete_list(self, session: aiohttp.ClientSession, seconds: float) -> None:
        """Request the complete list, which has to arrive within ``seconds``, and apply it."""
        async with asyncio.timeout(seconds), session.get(self.url, raise_for_status=True) as response:
            body = await read_body(response.content)
        if self.claim_answer():
            await self.apply_text(body, UpdateKind.SNAPSHOT)
            self.owner.complete_list_applied(self)

    async def stream_changes(self, session: aiohttp.ClientSession, seconds: float) -> None:
        """Apply the changes line by line; the first line has to arrive within ``seconds``.

        Returns when the agent ends the stream; raises ``TimeoutError`` after ``IDLE_TIMEOUT`` seconds without
        a line. The time for applying a list does not count.
        """
        params = {"watch": "1", "after": str(self.version)}
        loop, limit = asyncio.get_running_loop(), asyncio.timeout(seconds)
        async with limit, session.get(self.url, params=params, raise_for_status=True) as response:
            async for line in read_lines(response.content):
                limit.reschedule(loop.time() + IDLE_TIMEOUT)
                if not self.claim_answer():
                    return
                self.has_answered = True
                self.failures = 0
                self.owner.first_answer.set()
                if text := line.strip():  # empty lines are heartbeats
                    limit.reschedule(None)
                    await self.apply_text(text)
                    limit.reschedule(loop.time() + IDLE_TIMEOUT)

    def claim_answer(self) -> bool:
        """Make the current call the answered one if there is none yet. Return whether it is the answered one.

        Of concurrent calls only the one that was answered first counts: data from others may be older.
        """
        if not self.owner.dedicated_agent:
            return True
        if self.answered_call is None:
            self.answered_call = asyncio.current_task()
        return self.answered_call is asyncio.current_task()

    # Lists

    async def apply_text(self, text: bytes, kind: UpdateKind | None = None) -> None:
        """Decode and apply a list or change of any length. Raises ``InvalidListError``."""
        if len(text) < LONG_LIST_BYTES:
            self.apply(decode_endpoint_list(text), kind)
        else:
            with garbage_collection_paused():
                await self._apply_long_text(text, kind)
        self.list_rejected = False

    async def _apply_long_text(self, text: bytes, kind: UpdateKind | None) -> None:
        endpoint_list = await decode_long_endpoint_list(text)
        if len(endpoint_list.instances) > MAX_NODES_PER_TURN:
            await self.owner.apply_in_parts(endpoint_list, self)
            self.version = endpoint_list.version
        else:
            self.apply(endpoint_list, kind)

    def apply(self, endpoint_list: EndpointList, kind: UpdateKind | None = None) -> None:
        """Apply a list or change from this watch's agent."""
        self.owner.apply(endpoint_list, kind, self)
        self.version = endpoint_list.version
        self.owner.first_answer.set()
