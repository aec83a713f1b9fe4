"""The distribution on the wire: polls by streams of one message each way, on the framing of the fleet's.

Thin: what is asked, taken and answered is decided in ``cleatyoke.distribution``. Imported only where it is
on. A front opens streams and listens nowhere; ``PollListener`` is for the control machines' own processes.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable
from typing import Protocol

import structlog

from cleatyoke.config.addresses import Address, read_address
from cleatyoke.config.fronts_file import DistributionSettings
from cleatyoke.discovery.directory import EndpointList
from cleatyoke.discovery.listings import read_instance
from cleatyoke.distribution.contents import DistributedSettings, listed_nodes, settings_entries
from cleatyoke.distribution.records import MOST_MESSAGE, Entry, Lane
from cleatyoke.distribution.status import SubscriptionStatus
from cleatyoke.distribution.subscriber import (
    DeliverChanges,
    EpochRestarted,
    PollAnswered,
    RelayChanged,
    SendPoll,
    Subscriber,
    SubscriberAction,
    SubscriberTiming,
)
from cleatyoke.http.messages import MessageError
from cleatyoke.process.faults import Faults, run_forever
from cleatyoke.scheduling.events import EndpointState
from cleatyoke.transport.framing import read_message, write_message

AGAIN = 1.0  # seconds until the duty is taken up again after a fault of our own
MOST_STREAMS = 512  # open at once at a control machine; one more is closed unread
PATIENCE = 1.0  # seconds for a whole exchange
ALIKE = 20  # moves to another relay for one that is logged
log = structlog.get_logger()


class PollingClient(Protocol):
    """A subscriber, or a relay around one."""

    def step(self, now: float, events: Iterable[PollAnswered] = ()) -> Iterable[SubscriberAction]: ...

    def due(self) -> float: ...


class RelayPoller:
    """Drives a machine: a timer, and one stream for each poll. ``act`` is given its other actions."""

    def __init__(
        self, machine: PollingClient, act: Callable[[SubscriberAction], None], faults: Faults
    ) -> None:
        self.machine, self.act, self.faults = machine, act, faults
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.exchanges: set[asyncio.Task[None]] = set()
        self.moves = 0
        self.stopped = False

    def step(self, *events: PollAnswered) -> None:
        if self.stopped:
            return
        after = AGAIN
        try:
            for action in self.machine.step(self.loop.time(), events):
                self.take(action)
            after = max(0.0, self.machine.due() - self.loop.time())
        except Exception as error:  # guards the timer, which a fault would never set again
            self.faults.report("distribution_fault", error)
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(after, self.step)

    def take(self, action: SubscriberAction) -> None:
        match action:
            case SendPoll():
                task = asyncio.create_task(self.exchange(action))
                self.exchanges.add(task)
                task.add_done_callback(self.exchanges.discard)
            case RelayChanged(relay, why):
                if self.moves % ALIKE == 0:
                    log.info("config_relay_changed", relay=relay, why=why, moves=self.moves + 1)
                self.moves += 1
            case _:
                self.act(action)

    async def exchange(self, poll: SendPoll) -> None:
        """One message each way; whatever fails is no answer."""
        data, writer = None, None
        try:
            address = read_address(poll.relay, "relay")
            async with asyncio.timeout(PATIENCE):
                reader, writer = await asyncio.open_connection(address.host, address.port)
                await write_message(writer, poll.data)
                data = await read_message(reader, MOST_MESSAGE)
        except (OSError, EOFError, ValueError, TimeoutError):
            data = None
        finally:
            if writer:
                writer.transport.abort()
        self.step(PollAnswered(poll.number, data))

    def stop(self) -> None:
        self.stopped = True
        if self.timer:
            self.timer.cancel()
        for task in self.exchanges:
            task.cancel()


class Subscription:
    """A front's part. ``settings`` puts settings in force by the path of SIGHUP and returns why not, or
    nothing; ``nodes`` is given nodes that drain or are gone. Serving waits for none of it.
    """

    def __init__(
        self,
        relays: DistributionSettings,
        name: str,
        seed: int,
        faults: Faults,
        settings: Callable[[DistributedSettings], str],
        nodes: Callable[[EndpointList], None],
    ) -> None:
        tiers = [[str(one) for one in tier] for tier in (relays.relays, relays.other_relays) if tier]
        timing = SubscriberTiming(poll=relays.poll_interval, rate=relays.max_bytes_per_second)
        rng = random.Random(f"distribution:{seed}:{name}")
        self.subscriber = Subscriber(relays.deployment, name, tiers, rng, timing)
        self.relays, self.status = relays, SubscriptionStatus(self.subscriber)
        self.put_in_force, self.tell_nodes = settings, nodes
        self.settings = DistributedSettings()
        self.poller = RelayPoller(self.subscriber, self.act, faults)
        self.faults = faults
        self.watch: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.poller.step()
        self.watch = asyncio.create_task(
            run_forever(self.faults, "config_age", self.watch_age, lambda: AGAIN)
        )

    def stop(self) -> None:
        self.poller.stop()
        if self.watch:
            self.watch.cancel()

    def lines(self) -> list[str]:
        """For ``show-config``, from the operators' thread too."""
        return self.status.lines(self.poller.loop.time())

    def gauges(self) -> dict[str, float]:
        return self.status.gauges(self.poller.loop.time())

    async def watch_age(self) -> None:
        while True:
            await asyncio.sleep(AGAIN)
            now = self.poller.loop.time()
            if (old := self.status.became_old(now)) is not None:
                level = log.warning if old else log.info
                in_force = self.status.in_force
                level(
                    "config_old" if old else "config_fresh",
                    epoch=in_force.epoch,
                    number=in_force.number,
                    source=self.subscriber.source,
                )

    def act(self, action: SubscriberAction) -> None:
        match action:
            case DeliverChanges(Lane.SETTINGS, entries):
                self.take_settings(entries)
            case DeliverChanges(Lane.NODES, entries) if self.relays.watches_nodes:
                self.take_nodes(entries)
            case EpochRestarted(lane, epoch):
                log.info("config_restarted", lane=lane.name.lower(), epoch=epoch)

    def take_settings(self, entries: list[Entry]) -> None:
        """All that came together; or where that is not valid, one by one, so that a change that is not valid
        is refused by name and holds up no other.
        """
        ours = settings_entries(entries)
        if not ours or not self.try_settings(ours):
            return
        for entry in ours:
            if why := self.try_settings([entry]):
                version = entry.version
                self.status.turned_down(entry.key, version, why)
                log.error(
                    "config_refused", key=entry.key, epoch=version.epoch, number=version.number, why=why
                )

    def try_settings(self, entries: list[Entry]) -> str:
        """Returns why these entries are not valid, if so."""
        changed = self.settings.with_entries(entries)
        if why := self.put_in_force(changed):
            return why
        self.settings, version = changed, changed.version
        self.status.took(version, [entry.key for entry in entries])
        log.info("config_in_force", epoch=version.epoch, number=version.number, source=self.subscriber.source)
        return ""

    def take_nodes(self, entries: list[Entry]) -> None:
        """Word from here only restricts: whom to send to comes from discovery alone."""
        values, bad = listed_nodes(entries)
        found = []
        for value in values:
            try:
                found.append(read_instance(value))
            except MessageError as error:
                bad.append(str(error))
        if bad:
            log.warning("config_nodes_refused", why=bad[0], count=len(bad))
        if leaving := [box for box in found if box.state is not EndpointState.LIVE]:
            self.tell_nodes(EndpointList(0, False, leaving))


class PollServer(Protocol):
    def answer(self, now: float, data: bytes) -> bytes | None: ...


class PollListener:
    """Answers polls on an address of its own, at a control machine."""

    def __init__(self, answerer: PollServer) -> None:
        self.answerer = answerer
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.open = 0
        self.dropped = 0

    async def start(self, listen: Address) -> Address:
        """Returns where it listens. Raises ``OSError``."""
        self.server = await asyncio.start_server(self.converse, listen.host, listen.port, backlog=512)
        return Address(*self.server.sockets[0].getsockname()[:2])

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        try:
            if self.open > MOST_STREAMS:
                msg = "too many streams"
                raise OSError(msg)
            async with asyncio.timeout(PATIENCE):
                data = await read_message(reader, MOST_MESSAGE)
                if reply := self.answerer.answer(self.loop.time(), data):
                    await write_message(writer, reply)
                    writer.close()
                    await writer.wait_closed()
        except (OSError, EOFError, ValueError, TimeoutError):
            self.dropped += 1
        finally:
            self.open -= 1
            with contextlib.suppress(OSError):
                writer.transport.abort()

    def stop(self) -> None:
        if self.server:
            self.server.close()
