"""The fleet's view on the wire: a datagram socket and a stream listener that drive ``fleet.members``.

Thin: it decides nothing. Imported only where the view is on. A stream holds one message each way, its length
in four bytes before it.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import errno
import random
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

import structlog

from cleatyoke.config.addresses import Address, read_address
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import FleetSettings
from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.coordination.quota_leases import (
    DemandChanged,
    LeaseEvent,
    LeaseMessageReceived,
    PeersChanged,
    QuotaFractionChanged,
    QuotaLeases,
)
from cleatyoke.coordination.rate_limit_leases import RateLimitLeases
from cleatyoke.coordination.settings_digest import settings_digest
from cleatyoke.coordination.slow_start_leases import SlowStartLeases
from cleatyoke.core import Core
from cleatyoke.membership.conclusions import Conclusion, Known, conclude
from cleatyoke.membership.interface import (
    Change,
    DatagramReceived,
    DeliverBody,
    ExchangeAnswered,
    ExchangeRequested,
    IncarnationRemembered,
    LeaveRequested,
    MembershipAction,
    MembershipChanged,
    MembershipEvent,
    MembershipTiming,
    ReplyExchange,
    SendDatagram,
    StartExchange,
)
from cleatyoke.membership.members import Membership
from cleatyoke.membership.wire import MOST_STREAM, MemberState
from cleatyoke.process.faults import Faults, PeriodicCall
from cleatyoke.process.hold_file import HoldFile
from cleatyoke.scheduling.events import EndpointUpdate, QuotaShareChanged, SchedulerEvent
from cleatyoke.scheduling.settings import SchedulerSettings
from cleatyoke.transport.framing import read_message, write_message

if TYPE_CHECKING:
    from cleatyoke.durability.records import FrontState
    from cleatyoke.fleet.restore import DurableState

MOST_HEARD = 2000  # datagrams taken in a second; more are dropped, so that a flood costs no request its time
MOST_STREAMS = 16  # open at once, each way; one more is refused
PATIENCE = 1.0  # seconds for a whole exchange by stream
CLAIM = 1.0  # seconds between tries at the stated address, where an older process of this name holds it
COPIES = "cleatyoke-fleet-copies"  # file in $TMPDIR
TRADE = 0.05  # seconds between looks at what is needed of limits
HINTS = 8  # of the peers that the disk remembers, that are asked beside the seeds
ALIKE = 1.0  # seconds between looks whether all go by the same settings
TRIES = 8  # at a port that both sockets can have
log = structlog.get_logger()


def told(address: Address) -> str:
    return f"{address.host}:{address.port}"


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, view: FleetView) -> None:
        self.view = view

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.view.heard(data)

    def error_received(self, exc: Exception) -> None:
        self.view.dropped["unsendable"] += 1  # nobody listens there


class FleetView:
    """One front's part in the view of its fleet."""

    def __init__(
        self, peers: FleetSettings, name: str, hosts: int, seed: int, faults: Faults, boot: int = 0
    ) -> None:
        """``boot``: of this life, as its disk has it; 0: nothing is known of it."""
        self.peers, self.hosts, self.faults = peers, hosts, faults
        self.loop = asyncio.get_running_loop()
        boot, times = peers.boot or boot or int(time.time() * 1000), peers.timing
        timing = MembershipTiming(
            period=times["period"],
            answer=times["answer"],
            gossip=times["gossip"],
            sync=times["sync"],
            departed=times["departed"],
            join=times["join"],
        )
        self.members = Membership(
            peers.deployment,
            name,
            boot,
            told(peers.advertise),
            [told(one) for one in peers.seeds],
            random.Random(f"{seed}:{name}:{boot}"),
            timing,
            alone=True,
        )
        self.copies = self.members.store = HoldReplication(lambda: self.members.id)
        self.rights = QuotaLeases(self.loop.time(), random.Random(f"rights:{seed}:{name}:{boot}"))
        self.differ: list[str] = []  # fronts of other settings, as the log was told
        self.alike = PeriodicCall(faults, "fleet_settings", ALIKE, self.look_at_settings)
        self.recall: DurableState | None = None
        self.answered = asyncio.Event()  # a peer's whole view has come
        self.core: Core | None = None
        self.limits: RateLimitLeases | None = None
        self.cold: SlowStartLeases | None = None
        self.lending = PeriodicCall(faults, "fleet_limits", TRADE, self.look_at_needs)
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.bell: asyncio.TimerHandle | None = None
        self.claims = PeriodicCall(faults, "fleet_claim", CLAIM, self.claim)
        self.claiming: asyncio.Task[None] | None = None
        self.streams: set[asyncio.Task[None]] = set()
        self.waiting: dict[int, asyncio.Future[bytes]] = {}  # token: who waits for our view
        self.tokens = 0
        self.dropped: Counter[str] = Counter()  # what was not taken in or sent, by reason
        self.span, self.taken = 0.0, 0  # second of the loop's clock, datagrams taken in it

    # Sockets

    async def start(self) -> None:
        """Bind, or where an older process of this name is still there, use another port meanwhile."""
        listen = self.peers.listen
        try:
            self.transport, self.server = await self.bind(listen.port)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            self.transport, self.server = await self.bind(0)
            port = self.transport.get_extra_info("sockname")[1]
            self.members.address, self.members.alone = told(Address(listen.host, port)), False
            log.info("fleet_beside_another", address=self.members.address)
            self.claims.start()
        self.alike.start()
        self.step()

    async def bind(self, port: int) -> tuple[asyncio.DatagramTransport, asyncio.Server]:
        """One port for both. Raises ``OSError``."""
        host = self.peers.listen.host
        for _ in range(TRIES):
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda: Datagrams(self), local_addr=(host, port)
            )
            try:
                chosen = transport.get_extra_info("sockname")[1]
                return transport, await asyncio.start_server(self.accept, host, chosen, backlog=64)
            except OSError as error:
                transport.close()
                if port or error.errno != errno.EADDRINUSE:
                    raise
        raise OSError(errno.EADDRINUSE, "no port free for datagrams and streams")

    def claim(self) -> None:
        if self.claiming is None or self.claiming.done():
            self.claiming = asyncio.create_task(self.try_claim())

    async def try_claim(self) -> None:
        try:
            transport, server = await self.bind(self.peers.listen.port)
        except OSError:
            return  # it is still there
        self.claims.stop()
        self.close_sockets()
        self.transport, self.server = transport, server
        self.members.move(told(self.peers.advertise), alone=True)
        log.info("fleet_alone", address=self.members.address)
        self.step()

    def close_sockets(self) -> None:
        if self.transport:
            self.transport.close()
        if self.server:
            self.server.close()

    def stop(self) -> None:
        """Say that this life is over: it uses nothing more from here on."""
        with self.faults.contain("fleet_leave"):
            self.step(LeaveRequested())
        if self.recall:
            self.recall.stop()
        for bell in (self.bell, self.claims, self.lending, self.alike):
            if bell:
                bell.stop() if isinstance(bell, PeriodicCall) else bell.cancel()
        for task in (*self.streams, *([self.claiming] if self.claiming else [])):
            task.cancel()
        self.close_sockets()

    # Holds

    def share(self, file: HoldFile, folder: Path) -> None:
        """Keep the holds by hand in step with the other fronts'. What is known of them stands in a file too,
        so that a release that this front misses while it is down still counts for it.
        """
        kept = folder / COPIES
        data = b""
        with contextlib.suppress(OSError):
            data = kept.read_bytes()
        file.poll()  # what an earlier life held
        self.copies.restore(data, frozenset(file.directory.holds.held))

        def keep() -> None:
            if self.recall:
                self.recall.keep()
            with self.faults.contain("fleet_copies"):
                spare = kept.with_suffix(".new")
                spare.write_bytes(self.copies.dump())
                spare.replace(kept)

        def changed(held: frozenset[str], released: frozenset[str]) -> None:
            log.info("fleet_holds", held=sorted(held), released=sorted(released))
            keep()
            file.apply_remote(held, released)

        def called(box: str, hold: bool) -> None:
            (self.copies.hold if hold else self.copies.release)(box)
            keep()
            self.members.done_here()
            self.step()

        self.copies.changed, file.on_local_change = changed, called
        if absent := self.copies.holds.boxes() - frozenset(file.directory.holds.held):
            file.apply_remote(absent, frozenset())

    def remember(self, memory: FrontState) -> None:
        """Take what the disk says, which may come after the start. Whom this front knew before is asked
        too, as its seeds may be down.
        """
        self.copies.holds = self.copies.holds.merge(memory.holds)
        known = self.members.seeds
        known += [peer for peer in memory.peers if peer not in known][:HINTS]
        if self.transport:  # it is late
            self.step(IncarnationRemembered(memory.boot))
            self.copies.changed(self.copies.holds.boxes(), frozenset())

    def memory(self, before: FrontState) -> FrontState:
        """What outlives a loss of power, in place of what was kept before."""
        there = sorted(self.members.lives[id].rumour.address for id in self.members.present)
        return dataclasses.replace(
            before, holds=self.copies.holds, boot=self.members.id.boot, peers=tuple(there) or before.peers
        )

    async def met(self) -> str:
        """Once a peer's whole view has come, or there is nobody to ask."""
        if not self.members.other_seeds():
            return "nobody to ask"
        await self.answered.wait()
        return "a peer"

    def held_by(self, box: str, hold: bool, within: float) -> tuple[int, int]:
        """From the operators' thread: how many fronts have a call made here, of how many that may be up;
        waits for them so many seconds at the most, and for the disk.
        """
        until = time.monotonic() + within
        while True:
            members = self.members
            there = list(members.present)
            done = (box in self.copies.holds.boxes()) == hold
            having = sum(not self.copies.lacks(id) for id in there) if done else -1
            if (having == len(there) and done and self.on_disk()) or time.monotonic() >= until:
                return having + 1, max(self.conclusion().count, len(there) + 1)
            time.sleep(0.01)

    def say(self, settings: SchedulerSettings) -> None:
        """Tell the others which settings this front goes by, that fronts of a fleet notice where they differ.
        What is a process's own is left out.
        """
        self.members.goes_by(settings_digest(settings))

    def look_at_settings(self) -> None:
        """Each keeps to its own, and says so."""
        if (differ := self.members.unlike()) != self.differ:
            self.differ = differ
            if differ:
                log.warning("fleet_settings_differ", fronts=differ)
            else:
                log.info("fleet_settings_alike")

    def on_disk(self) -> bool:
        """Whether all holds known here are on the disk, as far as there is one."""
        return self.recall is None or self.recall.has(self.copies.holds)

    # Limits and cold boxes

    def lend(self, core: Core, name: Callable[[int], str | None]) -> None:
        """Lend parts of limits and of what cold boxes bear, and borrow them, from now on. ``name``: of a
        node, the id that all fronts know it by.
        """
        self.core = core
        if self.peers.leases_rate_limits:
            self.limits = RateLimitLeases(self.rights, lambda: core.policy.settings.plans)
        if self.peers.leases_slow_start:
            self.cold = SlowStartLeases(self.rights, lambda: core.policy.settings, name)
        self.rights.part = core.policy.settings.initial_quota_share
        core.before = self.before_step
        self.lending.start()

    def before_step(self, now: float, events: list[SchedulerEvent]) -> list[SchedulerEvent]:
        """Directly before the policy decides: leases that have ended meanwhile count no longer."""
        at = self.loop.time()
        if self.limits:
            self.limits.heard(at, events)
        if self.cold:
            self.cold.heard(at, now, events)
        for event in events:
            if isinstance(event, QuotaShareChanged):
                self.trade(QuotaFractionChanged(event.fraction))
        lists = [event for event in events if isinstance(event, EndpointUpdate)]  # first, as they name nodes
        rest = [event for event in events if not isinstance(event, EndpointUpdate)]
        return [*lists, *self.changes(at), *rest]

    def changes(self, at: float) -> list[SchedulerEvent]:
        return [event for one in (self.limits, self.cold) if one for event in one.changes(at)]

    def trade(self, *events: LeaseEvent) -> None:
        """One step of the rights."""
        now = self.loop.time()
        for post in self.rights.step(now, events):
            for action in self.members.post(post.receiver, post.message):
                self.act(action)
        if self.core:
            for event in self.changes(now):
                self.core.tell(event)

    def look_at_needs(self) -> None:
        now = self.loop.time()
        needs = {key: need for one in (self.limits, self.cold) if one for key, need in one.needs(now).items()}
        if needs or self.rights.accounts:
            alive = [id for id in self.members.present if id not in self.members.doubted]
            self.trade(PeersChanged(tuple(alive)), DemandChanged(needs))

    # Steps

    def heard(self, data: bytes) -> None:
        if self.transport is None:  # its socket is open and its listener not yet: nothing can be answered
            self.dropped["early"] += 1
            return
        now = self.loop.time()
        if now >= self.span + 1:
            self.span, self.taken = now, 0
        self.taken += 1
        if self.taken > MOST_HEARD:
            self.dropped["flood"] += 1
            return
        self.step(DatagramReceived(data))

    def step(self, *events: MembershipEvent) -> None:
        try:
            for action in self.members.step(self.loop.time(), events):
                self.act(action)
        except Exception as error:  # guards the timer, which a fault would never set again
            self.faults.report("fleet_fault", error)
        if self.bell:
            self.bell.cancel()
        if not self.members.left:
            self.bell = self.loop.call_at(self.members.next_at(), self.step)

    def act(self, action: MembershipAction) -> None:
        match action:
            case SendDatagram(address, data):
                assert self.transport
                try:
                    peer = read_address(address, "peer")
                    self.transport.sendto(data, (peer.host, peer.port))
                except (ConfigError, OSError, ValueError):
                    self.dropped["unsendable"] += 1
            case StartExchange(address, data):
                self.open_stream(self.exchange(address, data))
            case ReplyExchange(token, data):
                if (reply := self.waiting.get(token)) and not reply.done():
                    reply.set_result(data)
            case DeliverBody(sender, body):
                if self.core:
                    self.trade(LeaseMessageReceived(sender, body))
            case MembershipChanged(change, id, by):
                if change is Change.RENAMED and self.recall:
                    self.recall.keep()
                log.info("fleet_change", change=change.value, of=id.name, boot=id.boot, by=by)

    # Streams

    def open_stream(self, conversation: Coroutine[Any, Any, None]) -> None:
        if len(self.streams) >= MOST_STREAMS:
            self.dropped["streams"] += 1
            conversation.close()
            return
        task = asyncio.create_task(conversation)
        self.streams.add(task)
        task.add_done_callback(self.streams.discard)

    async def exchange(self, address: str, data: bytes) -> None:
        answer: bytes | None = None
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(PATIENCE):
                peer = read_address(address, "peer")
                reader, writer = await asyncio.open_connection(
                    peer.host, peer.port, local_addr=(self.peers.listen.host, 0)
                )
                await write_message(writer, data)
                answer = await read_message(reader, MOST_STREAM)
        except (ConfigError, OSError, EOFError, ValueError, TimeoutError):
            self.dropped["exchange"] += 1
        finally:
            if writer:
                writer.transport.abort()
        self.step(ExchangeAnswered(address, answer))
        if answer is not None and self.members.joined:
            self.answered.set()

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.transport is None or len(self.streams) >= MOST_STREAMS:
            self.dropped["early" if self.transport is None else "streams"] += 1
            writer.transport.abort()
        else:
            self.open_stream(self.converse(reader, writer))

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tokens += 1
        token = self.tokens
        try:
            async with asyncio.timeout(PATIENCE):
                data = await read_message(reader, MOST_STREAM)
                reply = self.waiting[token] = self.loop.create_future()
                self.step(ExchangeRequested(token, data))
                if not reply.done():
                    return  # what cannot be read gets no answer
                answer = reply.result()
                await write_message(writer, answer)
                writer.close()
                await writer.wait_closed()
        except (OSError, EOFError, ValueError, TimeoutError):
            self.dropped["stream"] += 1
        finally:
            self.waiting.pop(token, None)
            with contextlib.suppress(OSError):
                writer.transport.abort()

    # What is told; called from the operators' thread, so copies first, each in one step of the interpreter

    def conclusion(self) -> Conclusion:
        members = self.members
        known = [Known(life.rumour, life.heard) for life in list(members.lives.values())]
        return conclude(members.me(), known, self.hosts, members.now)

    def lines(self) -> list[str]:
        members, found = self.members, self.conclusion()
        me = members.me()
        place = "alone" if me.alone else "beside"
        out = [
            f"fleet.me {me.id.name} {me.id.boot} {me.count} {me.address} {place}",
            f"fleet.count {found.count}",
            f"fleet.digest {members.digest():08x}",
        ]
        for life in sorted(members.lives.values(), key=lambda life: life.rumour.id):
            one = life.rumour
            sure = (
                "certainly-up"
                if one.id in found.certainly_up
                else "certainly-stopped"
                if one.id in found.certainly_stopped
                else "perhaps-up"
            )
            silent = f"{members.now - life.heard:.1f}" if life.heard > 0 else "never"
            out.append(
                f"fleet.life {one.id.name} {one.id.boot} {one.count} {one.address} "
                f"{one.state.name.lower()} {sure} heard={silent}"
            )
        return out

    def replica_lines(self) -> list[str]:
        """For ``show-replica``: of each kind its entries, who is not known to have them, and copies that
        differed and were settled by the rule.
        """
        members, copies, rights = self.members, self.copies, self.rights
        there = list(members.present)
        lacking = sorted(id.name for id in there if copies.lacks(id))
        accounts = list(rights.accounts.items())
        loans = sum(len(account.loans) for _, account in accounts)
        return [
            f"replica.holds entries={len(copies.holds.held)} numbers={len(copies.holds.clock)} "
            f"lacking={len(lacking)} of={len(there)} settled={copies.merged} disk="
            + ("none" if self.recall is None else "yes" if self.on_disk() else "behind"),
            f"replica.settings {members.settings:08x} differ={','.join(members.unlike()) or 'none'}",
            *(f"replica.hold {box}" for box in sorted(copies.holds.held)),
            *(f"replica.lacks {name}" for name in lacking[:64]),
            f"replica.rights resources={len(accounts)} loans={loans} refused={rights.refused}",
        ]

    def figures(self) -> list[str]:
        members, told = self.members, self.members.figures
        states = Counter(life.rumour.state for life in list(members.lives.values()))
        facts = {state.name.lower(): states[state] for state in MemberState}
        facts |= {name: getattr(told, name) for name in told.__dataclass_fields__ if name != "refused"}
        facts |= {f"refused.{why.replace(' ', '-')}": count for why, count in dict(told.refused).items()}
        facts |= {f"dropped.{why}": count for why, count in dict(self.dropped).items()}
        facts |= {"holds": len(self.copies.holds.held), "copies_merged": self.copies.merged}
        accounts = list(self.rights.accounts.values())
        facts["lent"] = sum(len(account.loans) for account in accounts)
        facts["borrowed"] = sum(len(account.debts) for account in accounts)
        kept = self.recall.figures() if self.recall else []
        digest = f"fleet.digest={members.digest():08x}"
        return [*(f"fleet.{name}={value}" for name, value in facts.items()), *kept, digest]
