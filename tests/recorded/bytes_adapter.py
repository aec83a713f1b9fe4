"""The one module of this recording that knows the program: messages from plain values, and back.

When the program is renamed, only this file follows; the recorded data has words of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

from cleatyoke.scheduling.actions import (
    SchedulerAction,
    CancelAttempt,
    FailRequest,
    Reject,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    ClientDisconnected,
    EndpointState,
    EndpointUpdate,
    SchedulerEvent,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from cleatyoke.scheduling.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    SafetyLimits,
    SchedulerSettings,
    VolumePlan,
)
from cleatyoke import simulator as simhost
from cleatyoke.vrrp import messages as vrrp
from cleatyoke.config.addresses import Address
from cleatyoke.config.deployment import Config
from cleatyoke.config.fronts_file import FleetSettings, SftpSettings, VolumePath
from cleatyoke.config.socket_budget import SocketBudget
from cleatyoke.core import Core, Failed, Rejected, Served
from cleatyoke.discovery.directory import Directory, Instance, EndpointList
from cleatyoke.distribution import contents, records
from cleatyoke.distribution.server import answer_poll as answer_poll
from cleatyoke.distribution.status import SubscriptionStatus as ConfigStatus
from cleatyoke.distribution.store import ChangeStore
from cleatyoke.distribution.subscriber_messages import SendPoll
from cleatyoke.distribution.subscriber import Subscriber
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.coordination import replicated_holds as replicas
from cleatyoke.membership import wire
from cleatyoke.membership.actions import ReplyExchange
from cleatyoke.membership.events import ExchangeRequested, DatagramReceived
from cleatyoke.coordination.staged_start import Evidence, StagedStart, StartStage
from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.process.front_drain import FrontDrain
from cleatyoke.http import answers, messages, requests
from cleatyoke.http.backends import BackendPools
from cleatyoke.discovery.discovery import Discovery
from cleatyoke.fleet.view import FleetView
from cleatyoke.transport.framing import MessageTooLongError, read_message, write_message
from cleatyoke.discovery.errors import InvalidListError
from cleatyoke.discovery.listings import decode_endpoint_list, decode_long_endpoint_list
from cleatyoke.admin.prometheus import MetricsListener
from cleatyoke.admin.control import ControlCommands, ControlListener
from cleatyoke.http.server import HttpServer
from cleatyoke.sftp import codec as sftp_codec
from cleatyoke.sftp import packets as sftp
from cleatyoke.sftp.backends import SftpBackends
from cleatyoke.sftp.server import SftpServer
from tests.recorded.bytes_plain import Plain, blank, pack, unpack

DEPLOYMENT = "recorded"
LOCAL = "127.0.0.1"
PATIENCE = 30.0  # seconds for one exchange; only a fault takes so long

# Messages among fronts

STATES = {
    "alive": wire.MemberState.ALIVE,
    "suspected": wire.MemberState.SUSPECT,
    "dead": wire.MemberState.DEAD,
    "left": wire.MemberState.LEFT,
}


def shard_number(shard: int | None) -> int:
    """Return the recording's number of a shard, where -1 is none."""
    return -1 if shard is None else shard


def life_of(value: Plain) -> wire.MemberId:
    """A life of a front from ``[name, boot number]``."""
    return wire.MemberId(name=value[0], boot=value[1])


def plain_life(life: wire.MemberId) -> Plain:
    """``[name, boot number]``."""
    return [life.name, life.boot]


def rumour_of(value: Plain) -> wire.Update:
    """What is said of a life; absent fields have their defaults."""
    optional = {
        ours: value[plain]
        for plain, ours in (
            ("sole", "owns_address"),
            ("accuser", "suspected_by"),
            ("settings sum", "settings_checksum"),
        )
        if plain in value
    }
    return wire.Update(
        id=life_of(value["life"]),
        address=value["address"],
        state=STATES[value["state"]],
        incarnation=value["count"],
        **optional,
    )


def plain_rumour(rumour: wire.Update) -> Plain:
    """Every field of what is said of a life."""
    return {
        "life": plain_life(rumour.id),
        "address": rumour.address,
        "state": next(word for word, state in STATES.items() if state is rumour.state),
        "count": rumour.incarnation,
        "sole": rumour.owns_address,
        "accuser": rumour.suspected_by,
        "settings sum": rumour.settings_checksum,
    }


def body_of(value: Plain) -> wire.Body:
    """The body of a datagram."""
    match value["type"]:
        case "ping":
            return wire.Ping(
                sequence=value["number"],
                target=life_of(value["target"]),
                membership_checksum=value["members sum"],
            )
        case "ack":
            return wire.Ack(sequence=value["number"])
        case "indirect ping":
            return wire.PingRequest(
                sequence=value["number"], target=life_of(value["target"]), address=value["address"]
            )
        case "nack":
            return wire.Nack(sequence=value["number"])
        case "gossip":
            return wire.Gossip()
        case "loan request":
            return wire.LeaseRequest(resource=value["resource"], number=value["number"], parts=value["parts"])
        case "loan":
            return wire.LeaseGrant(
                resource=value["resource"],
                number=value["number"],
                parts=value["parts"],
                surplus=value["spare"],
            )
    raise KeyError(value["type"])


def plain_body(body: wire.Body) -> Plain:
    """Every field of a datagram's body."""
    match body:
        case wire.Ping():
            target = plain_life(body.target)
            return {
                "type": "ping",
                "number": body.sequence,
                "target": target,
                "members sum": body.membership_checksum,
            }
        case wire.Ack():
            return {"type": "ack", "number": body.sequence}
        case wire.PingRequest():
            target = plain_life(body.target)
            return {
                "type": "indirect ping",
                "number": body.sequence,
                "target": target,
                "address": body.address,
            }
        case wire.Nack():
            return {"type": "nack", "number": body.sequence}
        case wire.Gossip():
            return {"type": "gossip"}
        case wire.LeaseRequest():
            return {
                "type": "loan request",
                "resource": body.resource,
                "number": body.number,
                "parts": body.parts,
            }
        case wire.LeaseGrant():
            return {
                "type": "loan",
                "resource": body.resource,
                "number": body.number,
                "parts": body.parts,
                "spare": body.surplus,
            }


def encode_fleet_datagram(value: Plain) -> bytes:
    """A datagram with the rumours that find room in it."""
    data, _ = wire.encode_datagram(
        value.get("deployment", DEPLOYMENT),
        rumour_of(value["sender"]),
        body_of(value["body"]),
        [rumour_of(one) for one in value["rumours"]],
    )
    return data


def decode_fleet_datagram(data: bytes) -> Plain:
    """The fields of a datagram, or why it is refused."""
    try:
        message = wire.decode_datagram(DEPLOYMENT, data)
    except wire.WireError as refused:
        return {"refused": str(refused)}
    return {
        "deployment": message.deployment,
        "version": message.version,
        "sender": plain_rumour(message.sender),
        "body": plain_body(message.body),
        "rumours": [plain_rumour(one) for one in message.updates],
    }


def encode_fleet_view(value: Plain) -> bytes:
    """A whole view, as it goes by stream."""
    lives = [rumour_of(one) for one in value["lives"]]
    deployment, sender = value.get("deployment", DEPLOYMENT), rumour_of(value["sender"])
    if "copies" in value:
        return wire.encode_full_state(deployment, sender, lives, unpack(value["copies"]))
    return wire.encode_full_state(deployment, sender, lives)


def decode_fleet_view(data: bytes) -> Plain:
    """The fields of a whole view, or why it is refused."""
    try:
        message = wire.decode_full_state(DEPLOYMENT, data)
    except wire.WireError as refused:
        return {"refused": str(refused)}
    return {
        "deployment": message.deployment,
        "version": message.version,
        "sender": plain_rumour(message.sender),
        "lives": [plain_rumour(one) for one in message.members],
        "copies": pack(message.replicas),
    }


def holds_of(value: Plain) -> replicas.HoldSet:
    """Nodes held out of service, each with the ``[name, boot, number]`` of its holds."""
    return replicas.HoldSet(
        clock={wire.MemberId(name=name, boot=boot): number for name, boot, number in value["known"]},
        dots_by_node={
            node: frozenset((wire.MemberId(name=name, boot=boot), number) for name, boot, number in dots)
            for node, dots in value["held"].items()
        },
    )


def encode_holds(value: Plain) -> bytes:
    """The shared holds as they go along with a view."""
    return HoldReplication(self_id=lambda: wire.MemberId(name="n0", boot=1), holds=holds_of(value)).dump()


def decode_holds(data: bytes) -> Plain:
    """The shared holds, sorted, or why they are refused."""
    try:
        copy = replicas.decode("holds", data)
    except ValueError as error:
        return {"refused": str(error)}
    return {
        "known": sorted([life.name, life.boot, number] for life, number in copy.clock.items()),
        "held": {
            node: sorted([life.name, life.boot, number] for life, number in dots)
            for node, dots in sorted(copy.dots_by_node.items())
        },
    }


def encode_latest_words(value: Plain) -> bytes:
    """The latest word of each origin."""
    words = {
        wire.MemberId(name=name, boot=boot): replicas.TimestampedValue(number=number, value=text, at=at)
        for name, boot, number, text, at in value
    }
    return msgspec.msgpack.encode(replicas.LatestValues(values=words))


def decode_latest_words(data: bytes) -> Plain:
    """The latest word of each origin, sorted, or why they are refused."""
    try:
        copy = replicas.decode("latest", data)
    except ValueError as error:
        return {"refused": str(error)}
    return sorted(
        [life.name, life.boot, word.number, word.value, word.at] for life, word in copy.values.items()
    )


def encode_highest_numbers(value: Plain) -> bytes:
    """The highest number of each key."""
    return msgspec.msgpack.encode(replicas.MaximumValues(values=value))


def decode_highest_numbers(data: bytes) -> Plain:
    """The highest number of each key, or why they are refused."""
    try:
        return dict(replicas.decode("highest", data).values)
    except ValueError as error:
        return {"refused": str(error)}


def fleet_peers() -> FleetSettings:
    """A front's part in a fleet, on an address that is never opened."""
    timing = {"period": 0.5, "answer": 0.15, "gossip": 0.1, "sync": 10.0, "departed": 1.0, "join": 1.0}
    address = Address(LOCAL, 7001)
    return FleetSettings(
        deployment=DEPLOYMENT, listen=address, advertise=address, seeds=[], boot=41, timing=timing
    )


async def fleet_view(value: Plain) -> FleetView:
    """A front's view of its fleet after some datagrams, without sockets."""
    view = FleetView(fleet_peers(), "n0", 2, 1, Faults(Metrics()))
    view.membership.step(100.0, [])
    view.membership.step(100.05, [DatagramReceived(unpack(one)) for one in value.get("datagrams", [])])
    for node in value.get("held", []):
        view.hold_replication.hold(node)
    return view


async def capture_sums(value: Plain) -> Plain:
    """Sums that travel among fronts and have to be equal in all versions of the program."""
    view = await fleet_view(value)
    view.announce_settings(all_settings())
    return {
        "settings": view.membership.settings_checksum,
        "members": view.membership.operator_view_checksum(),
        "members and holds in pings": view.membership.membership_checksum(),
        "holds": view.hold_replication.digest(),
    }


async def capture_view_exchange(value: Plain) -> Plain:
    """The answer to a peer's whole view: this front's own."""
    view = await fleet_view(value)
    actions = view.membership.step(100.1, [ExchangeRequested(1, unpack(value["view"]))])
    return [pack(action.data) for action in actions if isinstance(action, ReplyExchange)]


# Distribution


def entry_of(value: Plain) -> records.Entry:
    """``[key, epoch, number, value]``; without a value the key is gone."""
    key, epoch, number, content = value
    version = records.Version(epoch=epoch, number=number)
    return records.Entry(key=key, version=version, value=None if content is None else unpack(content))


def plain_entry(entry: records.Entry) -> Plain:
    """``[key, epoch, number, value]``."""
    content = None if entry.value is None else pack(entry.value)
    return [entry.key, entry.version.epoch, entry.version.number, content]


def encode_poll(value: Plain) -> bytes:
    """A subscriber's poll."""
    positions = [
        records.Position(number=one[0], cursor=one[1]) if one else records.Position()
        for one in value["positions"]
    ]
    optional = {"wants_tombstones": value["with removals"]} if "with removals" in value else {}
    return records.encode(
        records.Poll(
            deployment=value.get("deployment", DEPLOYMENT),
            format_version=value.get("form", 1),
            subscriber=value["subscriber"],
            poll_id=value["number"],
            epoch=value["epoch"],
            positions=positions,
            max_bytes=value["bytes"],
            **optional,
        )
    )


def decode_poll(data: bytes) -> Plain:
    """The fields of a poll, or why it is refused."""
    try:
        poll = records.decode_poll(DEPLOYMENT, data)
    except wire.WireError as refused:
        return {"refused": str(refused)}
    return {
        "deployment": poll.deployment,
        "form": poll.format_version,
        "subscriber": poll.subscriber,
        "number": poll.poll_id,
        "epoch": poll.epoch,
        "positions": [[one.number, one.cursor] for one in poll.positions],
        "bytes": poll.max_bytes,
        "with removals": poll.wants_tombstones,
    }


REFUSALS = {
    "none": records.Rejection.NONE,
    "too many subscribers": records.Rejection.FULL,
    "no whole copy": records.Rejection.NOT_READY,
    "newer epoch known": records.Rejection.OLDER_EPOCH,
    "newer changes known": records.Rejection.BEHIND,
}


def part_of(value: Plain) -> records.LaneChanges:
    """One lane's part of a reply; absent fields have their defaults."""
    optional: dict[str, Any] = {}
    if "changes" in value:
        optional["changes"] = [entry_of(one) for one in value["changes"]]
    if "anew" in value:
        optional["restarts"] = value["anew"]
    if "page" in value:
        optional["page"] = [entry_of(one) for one in value["page"]]
        optional["page_after"], optional["page_to"] = value["page range"]
    return records.LaneChanges(
        since=value["first"], up_to=value["last"], compacted_up_to=value["floor"], **optional
    )


def encode_reply(value: Plain) -> bytes:
    """A relay's reply."""
    optional: dict[str, Any] = {}
    if "refusal" in value:
        optional["rejection"] = REFUSALS[value["refusal"]]
    if "parts" in value:
        optional["lanes"] = [part_of(one) for one in value["parts"]]
    if "more" in value:
        optional["has_more"] = value["more"]
    return records.encode(
        records.Reply(
            deployment=value.get("deployment", DEPLOYMENT),
            format_version=value.get("form", 1),
            poll_id=value["number"],
            source=value["source"],
            epoch=value["epoch"],
            age=value["age"],
            **optional,
        )
    )


def decode_reply(data: bytes) -> Plain:
    """The fields of a reply, or why it is refused."""
    try:
        reply = records.decode_reply(DEPLOYMENT, data)
    except wire.WireError as refused:
        return {"refused": str(refused)}
    return {
        "deployment": reply.deployment,
        "form": reply.format_version,
        "number": reply.poll_id,
        "source": reply.source,
        "epoch": reply.epoch,
        "age": reply.age,
        "refusal": next(word for word, one in REFUSALS.items() if one is reply.rejection),
        "parts": [
            {
                "first": part.since,
                "last": part.up_to,
                "floor": part.compacted_up_to,
                "changes": [plain_entry(one) for one in part.changes],
                "anew": part.restarts,
                "page range": [part.page_after, part.page_to],
                "page": [plain_entry(one) for one in part.page],
            }
            for part in reply.lanes
        ],
        "more": reply.has_more,
    }


def capture_contents(value: Plain) -> Plain:
    """What a front makes of distributed entries: settings over a base, and nodes."""
    entries = [entry_of(one) for one in value["entries"]]
    settings = contents.DistributedSettings().with_entries(contents.settings_entries(entries))
    nodes, unreadable = contents.listed_nodes(entries)
    lanes = {records.Lane.NODES: "nodes", records.Lane.SETTINGS: "settings"}
    try:
        merged: Plain = settings.merged(value["base"])
    except contents.InvalidValueError as error:
        merged = {"refused": str(error)}
    return {
        "settings": merged,
        "version": [settings.version.epoch, settings.version.number],
        "nodes": nodes,
        "unreadable": unreadable,
        "lanes": {one[0]: lanes[contents.lane_of(one[0])] for one in value["entries"]},
    }


def capture_first_poll(value: Plain) -> Plain:
    """The first poll of a subscriber that knows nothing."""
    one = Subscriber(DEPLOYMENT, value["subscriber"], [["192.0.2.1:1"]], random.Random(1))
    one.step(0.0)
    actions = one.step(60.0)
    return [pack(action.data) for action in actions if isinstance(action, SendPoll)]


def capture_answer_to_poll(value: Plain) -> Plain:
    """A relay's answer to a poll, from a store with these entries: each lane has its place in both."""
    store = ChangeStore(value["epoch"])
    for one in value["entries"]:
        store.lanes[contents.lane_of(one[0])].put(0.0, entry_of(one))
    poll = records.decode_poll(DEPLOYMENT, unpack(value["poll"]))
    return pack(records.encode(answer_poll(poll, "source-1", store, 0.25)))


# Messages on a stream


async def capture_framing(value: Plain) -> Plain:
    """A message written to a stream by one side and read from it by the other."""
    data, out = unpack(value["message"]), asyncio.Queue[bytes]()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        out.put_nowait(await reader.read())
        writer.close()

    server = await asyncio.start_server(accept, LOCAL, 0)
    _, writer = await asyncio.open_connection(LOCAL, server.sockets[0].getsockname()[1])
    await write_message(writer, data)
    writer.write_eof()
    sent = await out.get()
    writer.close()
    server.close()
    again = asyncio.StreamReader()
    again.feed_data(sent)
    try:
        read: Plain = pack(await read_message(again, value["most"]))
    except MessageTooLongError as error:
        read = {"refused": str(error)}
    return {"written": pack(sent), "read": read}


# VRRP


def encode_vrrp(value: Plain) -> bytes:
    """An advertisement."""
    return vrrp.encode_advertisement(
        vrrp.Advertisement(
            router=value["router"],
            priority=value["priority"],
            interval=value["interval"],
            addresses=tuple(value["addresses"]),
        )
    )


def decode_vrrp(data: bytes) -> Plain:
    """The fields of an advertisement, or why it is none."""
    try:
        message = vrrp.decode_advertisement(data)
    except vrrp.AdvertisementError as error:
        return {"refused": str(error)}
    return {
        "router": message.router,
        "priority": message.priority,
        "interval": message.interval,
        "addresses": list(message.addresses),
    }


# SFTP packets


def attributes_of(value: Plain) -> sftp.Attrs:
    """File attributes; those that are absent are not stated."""
    return sftp.Attrs(
        size=value.get("size"),
        owner=tuple(value["owner"]) if "owner" in value else None,
        permissions=value.get("permissions"),
        times=tuple(value["times"]) if "times" in value else None,
        extended=[(unpack(name), unpack(content)) for name, content in value.get("extended", [])],
    )


def plain_attributes(attrs: sftp.Attrs) -> Plain:
    """The attributes that are stated."""
    stated = {
        "size": attrs.size,
        "owner": list(attrs.owner) if attrs.owner else None,
        "permissions": attrs.permissions,
        "times": list(attrs.times) if attrs.times else None,
        "extended": [[pack(name), pack(content)] for name, content in attrs.extended] or None,
    }
    return {name: one for name, one in stated.items() if one is not None}


def sftp_packet_of(value: Plain) -> sftp.Packet:
    """A packet of the type that the draft names."""
    number = value["id"]
    match value["type"]:
        case "INIT":
            return sftp.Init(id=number, extensions=unpack(value["extensions"]))
        case "VERSION":
            return sftp.Version(id=number, extensions=unpack(value["extensions"]))
        case "OPEN":
            attrs = attributes_of(value["attributes"])
            return sftp.Open(id=number, path=value["path"], flags=value["flags"], attrs=attrs)
        case "CLOSE":
            return sftp.Close(id=number, handle=unpack(value["handle"]))
        case "READ":
            handle = unpack(value["handle"])
            return sftp.Read(id=number, handle=handle, offset=value["offset"], length=value["length"])
        case "WRITE":
            handle, data = unpack(value["handle"]), unpack(value["data"])
            return sftp.Write(id=number, handle=handle, offset=value["offset"], data=data)
        case "LSTAT":
            return sftp.Lstat(id=number, path=value["path"])
        case "FSTAT":
            return sftp.Fstat(id=number, handle=unpack(value["handle"]))
        case "SETSTAT":
            return sftp.Setstat(id=number, path=value["path"], attrs=attributes_of(value["attributes"]))
        case "OPENDIR":
            return sftp.Opendir(id=number, path=value["path"])
        case "READDIR":
            return sftp.Readdir(id=number, handle=unpack(value["handle"]))
        case "REMOVE":
            return sftp.Remove(id=number, path=value["path"])
        case "MKDIR":
            return sftp.Mkdir(id=number, path=value["path"], attrs=attributes_of(value["attributes"]))
        case "RMDIR":
            return sftp.Rmdir(id=number, path=value["path"])
        case "REALPATH":
            return sftp.Realpath(id=number, path=value["path"])
        case "STAT":
            return sftp.Stat(id=number, path=value["path"])
        case "RENAME":
            return sftp.Rename(id=number, path=value["path"], target=value["target"])
        case "STATUS" if "message" in value:
            return sftp.Status(
                id=number, code=value["code"], message=value["message"], language=value["language"]
            )
        case "STATUS":
            return sftp.Status(id=number, code=value["code"])
        case "HANDLE":
            return sftp.Handle(id=number, handle=unpack(value["handle"]))
        case "DATA":
            return sftp.Data(id=number, data=unpack(value["data"]))
        case "NAME":
            names = [
                sftp.Name(filename=one["name"], longname=one["long"], attrs=attributes_of(one["attributes"]))
                for one in value["names"]
            ]
            return sftp.Names(id=number, names=names)
        case "ATTRS":
            return sftp.AttrsReply(id=number, attrs=attributes_of(value["attributes"]))
    raise KeyError(value["type"])


def plain_sftp_packet(packet: sftp.Packet) -> Plain:
    """Every field of a packet, by the draft's name of its type."""
    out: dict[str, Plain] = {"id": packet.id}
    match packet:
        case sftp.Init():
            return out | {"type": "INIT", "extensions": pack(packet.extensions)}
        case sftp.Version():
            return out | {"type": "VERSION", "extensions": pack(packet.extensions)}
        case sftp.Open():
            attributes = plain_attributes(packet.attrs)
            return out | {
                "type": "OPEN",
                "path": packet.path,
                "flags": int(packet.flags),
                "attributes": attributes,
            }
        case sftp.Close():
            return out | {"type": "CLOSE", "handle": pack(packet.handle)}
        case sftp.Read():
            out |= {"type": "READ", "handle": pack(packet.handle)}
            return out | {"offset": packet.offset, "length": packet.length}
        case sftp.Write():
            out |= {"type": "WRITE", "handle": pack(packet.handle)}
            return out | {"offset": packet.offset, "data": pack(packet.data)}
        case sftp.Lstat():
            return out | {"type": "LSTAT", "path": packet.path}
        case sftp.Fstat():
            return out | {"type": "FSTAT", "handle": pack(packet.handle)}
        case sftp.Setstat():
            return out | {
                "type": "SETSTAT",
                "path": packet.path,
                "attributes": plain_attributes(packet.attrs),
            }
        case sftp.Opendir():
            return out | {"type": "OPENDIR", "path": packet.path}
        case sftp.Readdir():
            return out | {"type": "READDIR", "handle": pack(packet.handle)}
        case sftp.Remove():
            return out | {"type": "REMOVE", "path": packet.path}
        case sftp.Mkdir():
            return out | {"type": "MKDIR", "path": packet.path, "attributes": plain_attributes(packet.attrs)}
        case sftp.Rmdir():
            return out | {"type": "RMDIR", "path": packet.path}
        case sftp.Realpath():
            return out | {"type": "REALPATH", "path": packet.path}
        case sftp.Stat():
            return out | {"type": "STAT", "path": packet.path}
        case sftp.Rename():
            return out | {"type": "RENAME", "path": packet.path, "target": packet.target}
        case sftp.Status():
            out |= {"type": "STATUS", "code": int(packet.code)}
            return out | {"message": packet.message, "language": packet.language}
        case sftp.Handle():
            return out | {"type": "HANDLE", "handle": pack(packet.handle)}
        case sftp.Data():
            return out | {"type": "DATA", "data": pack(packet.data)}
        case sftp.Names():
            names = [
                {"name": one.filename, "long": one.longname, "attributes": plain_attributes(one.attrs)}
                for one in packet.names
            ]
            return out | {"type": "NAME", "names": names}
        case sftp.AttrsReply():
            return out | {"type": "ATTRS", "attributes": plain_attributes(packet.attrs)}
        case sftp.Unsupported():
            return out | {"type": "unsupported"}
    raise TypeError(type(packet))


def encode_sftp_packet(value: Plain) -> bytes:
    """A packet with its length."""
    return sftp_codec.encode(sftp_packet_of(value))


def decode_sftp_packet(data: bytes) -> Plain:
    """The fields of a packet that comes with its length, or why it is none."""
    try:
        return plain_sftp_packet(sftp_codec.decode(data[4:]))
    except sftp.PacketError as error:
        return {"refused": str(error), "id": error.request_id}


# HTTP


def all_settings() -> SchedulerSettings:
    """Settings with a value in every field."""
    safety = SafetyLimits(
        slow_start_initial_fraction=0.2,
        slow_start_duration=10.0,
        overload_multiple=2.0,
        overload_after=1.0,
        poll_interval=0.5,
        ordering_pause=0.1,
        retry_budget_minimum=2.0,
        retry_budget_ratio=0.1,
        retry_budget_window=10.0,
    )
    kinds = [
        (Idempotency.IDEMPOTENT, IdempotencyScope.ALL, False),
        (Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL, False),
        (Idempotency.KEYED, IdempotencyScope.ALL, True),
    ]
    classes = [
        RequestClass(
            latency_objective=0.5,
            priority_weight=2.0,
            late_value=0.2,
            idempotency=repeat,
            idempotency_scope=scope,
            idempotency_window=5.0,
            ordered=ordered,
        )
        for repeat, scope, ordered in kinds
    ]
    plan = VolumePlan(
        priority_weight=1.0,
        base_rate=80.0,
        reserved_rate=80.0,
        fair_share_weight=1.0,
        rate_limit=0.0,
        rate_limit_burst=0.0,
    )
    return SchedulerSettings(
        classes=classes,
        plans=[plan],
        safety=safety,
        seed=1,
        front_count=1,
        watches_endpoints=False,
        max_attempts=4,
        can_cancel=True,
        slow_start_units=8.0,
        max_request_units=6.0,
        mean_request_units=2.0,
        unreserved_value=0.3,
        reports_usage_by_others=True,
        idle_since=12.0,
        initial_quota_share=0.5,
        replaces_process=True,
        max_retry_after=5.0,
        load_by_probes=True,
    )


def front_config() -> Config:
    """A front with three classes: a read, a write, and a write that carries a key."""
    return Config(
        name="n0",
        listen=Address(LOCAL, 0),
        discovery=Address(LOCAL, 1),
        discovery_in_file=Address(LOCAL, 1),
        seed=1,
        socket_budget=SocketBudget.divide(1024, False),
        cached_endpoints={},
        settings=all_settings(),
        classes={"tile-read": 0, "record-write": 1, "keyed-write": 2},
        plans={"public": 0},
        client_timeouts=[20.0, 20.0, 20.0],
        changes_data=[False, True, True],
        body_memory_bytes=36 << 20,
        shard_count=9,
        zones={"basement": 0},
        connect_timeout=PATIENCE,
        idle_timeout=30.0,
        drain_grace=1.0,
    )


def capture_understood_request(value: Plain) -> Plain:
    """What is understood of a client's request, or why it is answered 400."""
    headers = CIMultiDictProxy(CIMultiDict([(name, text) for name, text in value["headers"]]))
    body = [unpack(one) for one in value.get("body", [])]
    try:
        request = requests.decode_request(front_config(), value["method"], value["target"], headers, body)
    except messages.MessageError as error:
        return {"refused": str(error), "for its key": isinstance(error, messages.IdempotencyKeyError)}
    return {
        "trace": request.trace_id,
        "method": request.method,
        "target": request.target,
        "class": request.class_index,
        "plan": request.plan_index,
        "volume": request.volume_id,
        "item": request.item,
        "shard": shard_number(request.shard),
        "units": request.units,
        "hosts": request.front_count,
        "seconds": request.max_wait,
        "body": [pack(one) for one in request.body],
        "key": request.idempotency_key,
    }


def encode_node_request(value: Plain) -> bytes:
    """An attempt as it is written to a node."""
    request = requests.ClientRequest(
        trace_id=value["trace"],
        method=value["method"],
        target=value["target"],
        class_index=0,
        plan_index=0,
        volume_id=1,
        item=1,
        shard=0,
        units=1.0,
        front_count=1,
        max_wait=1.0,
        body=[unpack(one) for one in value["body"]],
        idempotency_key=value.get("key"),
    )
    address = Address(value["node"][0], value["node"][1])
    return b"".join(requests.encode_attempt(request, address, value["seconds"]))


def encode_node_probe(value: Plain) -> bytes:
    """A probe of a node's load as it is written."""
    return requests.encode_load_probe(Address(value["node"][0], value["node"][1]))


OUTCOMES = {
    AttemptOutcome.SERVED: "served",
    AttemptOutcome.ERROR: "failed",
    AttemptOutcome.QUEUE_FULL: "never ran",
}


async def capture_node_answer(value: Plain) -> Plain:
    """What is understood of a node's answer, which comes in pieces; ``closed``: then its connection ends."""
    reader, answer_poll = answers.ResponseReader(), None
    rest: list[Plain] = []
    try:
        for piece in value["pieces"]:
            if answer_poll is None:
                answer_poll = reader.feed(unpack(piece))
            else:
                rest.append(pack(reader.feed_body(unpack(piece))))
        if answer_poll is None and value.get("closed"):
            answer_poll = reader.feed_eof()
    except messages.MalformedResponseError as error:
        return {"spoilt": str(error)}
    if answer_poll is None:
        return {"more is to come": True}
    return {
        "status": answer_poll.status,
        "headers": [[name, text] for name, text in answer_poll.headers.items()],
        "body": pack(answer_poll.body),
        "reusable": answer_poll.connection_reusable,
        "length": answer_poll.length,
        "long": answer_poll.is_streamed,
        "rest": rest,
        "whole": reader.is_complete,
        "means": OUTCOMES[answers.decode_outcome(answer_poll.status, answer_poll.headers)],
        "served by other fronts": answers.decode_served_elsewhere(answer_poll.headers),
        "load in the head": answers.decode_utilization(answer_poll.headers),
        "load in the body": answers.decode_load_probe(answer_poll),
    }


class ScriptedCore(Core):
    """A core without a policy: each request has the next of the scripted fates."""

    fates: list[Plain]

    async def serve(self, arrival: RequestArrived, attempt: Callable[..., Awaitable[Any]]) -> Any:
        """``["refuse", seconds]``, ``["fail"]`` or ``["attempt"]``, which serves what the node answers."""
        fate = self.fates.pop(0)
        if fate[0] == "refuse":
            return Rejected(fate[1])
        if fate[0] == "attempt":
            ending = await attempt(1, lambda: True)
            if ending.outcome is AttemptOutcome.SERVED:
                return Served(ending.value)
        return Failed()


def node_instance(port: int) -> Instance:
    """A live node on loopback."""
    return Instance(
        name="s-a",
        address=Address(LOCAL, port),
        zone="basement",
        shard=0,
        state=EndpointState.LIVE,
        started_at=0.0,
    )


async def read_http(reader: asyncio.StreamReader, passed: asyncio.Event | None = None) -> bytes:
    """A whole message with a length or in chunks, which come joined to one, as their sizes differ from run to
    run; or all up to the end of the stream. ``passed`` is set after the head."""
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        if passed:
            passed.set()
        lower = head.lower()
        if lower.startswith(b"http/1.1 100"):
            return head + await read_http(reader)
        if b"transfer-encoding: chunked" in lower:
            body = b""
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                if await reader.readexactly(2) != b"\r\n":
                    raise ValueError("a chunk does not end where it says")
            end = b"0\r\n" + await reader.readuntil(b"\r\n")
            return head + b"%x\r\n%b\r\n" % (len(body), body) + end
        for line in lower.split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return head + await reader.readexactly(int(line[15:]))
        return head
    except asyncio.IncompleteReadError as error:
        return head + error.partial


Conversation = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def listening(serve_connection: Conversation) -> AsyncIterator[int]:
    """A peer on loopback; yields its port. Its conversations are over at the end."""
    writers: list[asyncio.StreamWriter] = []
    tasks: list[asyncio.Task[Any] | None] = []

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        tasks.append(asyncio.current_task())
        with contextlib.suppress(OSError, EOFError):
            await serve_connection(reader, writer)

    server = await asyncio.start_server(accept, LOCAL, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()
        await asyncio.gather(*[task for task in tasks if task], return_exceptions=True)


@asynccontextmanager
async def scripted_node(
    answers: list[Plain], heard: list[bytes], passed: asyncio.Event | None = None
) -> AsyncIterator[int]:
    """A node on loopback that notes each request and gives the next answer; yields its port. An answer of two
    parts goes on once the client has the head of its own (``passed``)."""

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_http(reader)) and answers:
            heard.append(request)
            match answers.pop(0):
                case [first, second]:
                    writer.write(unpack(first))
                    if passed:
                        await passed.wait()
                    writer.write(unpack(second))
                case whole:
                    writer.write(unpack(whole))

    async with listening(serve_connection) as port:
        yield port


async def capture_http(value: Plain) -> Plain:
    """Clients' requests, each on a connection of its own: what they are answered, and what nodes are sent."""
    heard: list[bytes] = []
    answered: list[Plain] = []
    passed = asyncio.Event()
    async with scripted_node(list(value.get("node answers", [])), heard, passed) as port:
        config = front_config()
        core, directory = ScriptedCore(config.settings), Directory({"basement": 0})
        core.fates = list(value.get("fates", []))
        directory.apply(EndpointList(version=1, is_complete=True, instances=[node_instance(port)]))
        nodes, drain = BackendPools(directory, PATIENCE, 30.0, 32), FrontDrain()
        front = HttpServer(config, core, nodes, lambda: value.get("ready", True), drain)
        if value.get("draining"):
            drain.start()
        front.listen()
        try:
            for request in value["requests"]:
                reader, writer = await asyncio.open_connection(LOCAL, front.address.port)
                writer.write(unpack(request))
                answered.append(blank(await read_http(reader, passed)))
                writer.close()
        finally:
            await front.close()
            nodes.close()
    return {"answers": answered, "to nodes": [blank(one) for one in heard]}


async def capture_probe(value: Plain) -> Plain:
    """A probe over loopback: what the node is sent, and the load that is understood."""
    heard: list[bytes] = []
    async with scripted_node([value["node answer"]], heard) as port:
        directory = Directory({"basement": 0})
        directory.apply(EndpointList(version=1, is_complete=True, instances=[node_instance(port)]))
        nodes = BackendPools(directory, PATIENCE, 30.0, 32)
        load = await nodes.probe_load(1, PATIENCE)
        nodes.close()
    return {"to nodes": [blank(one) for one in heard], "load": load}


# Discovery

NODE_STATES = {
    EndpointState.LIVE: "live",
    EndpointState.DRAINING: "draining",
    EndpointState.REMOVED: "gone",
}


def plain_listing(listing: EndpointList) -> Plain:
    """Every field of a list."""
    return {
        "version": listing.version,
        "whole": listing.is_complete,
        "nodes": [
            {
                "name": one.name,
                "address": [one.address.host, one.address.port],
                "zone": one.zone,
                "shard": shard_number(one.shard),
                "state": NODE_STATES[one.state],
                "started": one.started_at,
            }
            for one in listing.instances
        ],
    }


async def decode_node_list(data: bytes) -> Plain:
    """A list as it is read in one go and in parts, which come to the same, or why it is refused."""
    both: list[Plain] = []
    try:
        both.append(plain_listing(decode_endpoint_list(data)))
    except InvalidListError as error:
        both.append({"refused": str(error)})
    try:
        both.append(plain_listing(await decode_long_endpoint_list(data)))
    except InvalidListError as error:
        both.append({"refused": str(error)})
    return {"in one go": both[0], "in parts": both[1]}


LIST_KINDS = {
    UpdateKind.DELTA: "changes",
    UpdateKind.SNAPSHOT: "whole",
    UpdateKind.CACHED: "old copy",
    UpdateKind.UNAVAILABLE: "lost",
}


async def capture_discovery(value: Plain) -> Plain:
    """The calls of a watch over loopback, each once, and the events that come of the answers. Calls that a
    slow machine makes it repeat are left out."""
    calls: list[Plain] = []
    events: list[Plain] = []
    enough = asyncio.Event()

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while call := await read_http(reader):
            if (one := blank(call)) not in calls:
                calls.append(one)
            writer.write(unpack(value["watch" if b"watch=" in call else "list"]))

    def heard(event: SchedulerEvent) -> None:
        assert isinstance(event, EndpointUpdate)
        entries = [
            [one.node_id, shard_number(one.shard), one.zone, NODE_STATES[one.state], one.started_at]
            for one in event.endpoints
        ]
        events.append({"kind": LIST_KINDS[event.kind], "nodes": entries})
        if len(events) == value["events"]:
            enough.set()

    async with listening(serve_connection) as port:
        directory = Directory({"basement": 0})
        directory.version = value.get("known version")
        watch = Discovery(Address(LOCAL, port), directory, heard, dedicated_agent=value["own agent"])
        watch.start()
        try:
            async with asyncio.timeout(PATIENCE):
                await enough.wait()
        finally:
            watch.stop()
    return {"calls": calls[: value["calls"]], "events": events[: value["events"]]}


# Administration


def counted_figures() -> Metrics:
    """Counters of which each has another value."""
    figures = Metrics()
    for name, status, times in (
        ("tile-read", 200, 5),
        ("tile-read", 503, 3),
        ("tile-read", 429, 1),
        ("record-write", 200, 2),
        ("record-write", 502, 6),
        ("retired", 200, 1),
    ):
        for _ in range(times):
            figures.count_answer(name, status)
    figures.backend_calls, figures.in_flight = 17, 4
    figures.reloads_applied, figures.reloads_rejected, figures.faults = 7, 8, 9
    return figures


def config_status() -> ConfigStatus:
    """What of distributed configuration is in force, with one change that is not valid."""
    one = Subscriber(DEPLOYMENT, "n0", [["192.0.2.1:1"]], random.Random(1))
    one.epoch, one.source_name, one.poll_count, one.bytes_exchanged = 3, "source-1", 11, 4096
    one.current_as_of = 90.0
    one.rejected["unreadable"], one.rejected["older epoch"] = 2, 1
    one.lanes[records.Lane.SETTINGS].position = records.Position(number=25, cursor=None)
    one.lanes[records.Lane.NODES].position = records.Position(number=24, cursor=None)
    status = ConfigStatus(one)
    status.settings_applied(records.Version(epoch=3, number=25), ["settings"])
    status.settings_rejected("settings/Limits", records.Version(epoch=3, number=23), "Limits: want an object")
    return status


def recovery_lines(value: Plain) -> list[str]:
    """``show-recovery`` of a start: at its begin, amid it, and at its end."""
    recovery = StagedStart(100.0, 105.0)
    if value["stage"] != "begin":
        recovery.step(
            100.25, [Evidence(StartStage.DISK, "nothing found"), Evidence(StartStage.PEERS, "a peer")]
        )
    if value["stage"] == "end":
        recovery.step(101.5)
        recovery.step(106.0)
    return recovery.status_lines({"begin": 100.125, "amid": 100.5, "end": 107.0}[value["stage"]])


async def capture_control(value: Plain) -> Plain:
    """Control calls over loopback, each on a connection of its own, and their answers."""
    view = await fleet_view(value)
    view.announce_settings(all_settings())
    figures = counted_figures()

    def stat() -> list[str]:
        lines = figures.stat_lines(["tile-read", "record-write"], 6, 2)
        return [*lines, *(view.metric_lines() if value["fleet"] else []), *config_status().lines(100.0)]

    commands = ControlCommands(
        is_ready=lambda: value.get("ready", True),
        show_stat=stat,
        disable=lambda name: name == "s-a",
        enable=lambda name: name == "s-a",
        drain=lambda: None,
        resume=lambda: None,
        show_fleet=view.status_lines if value["fleet"] else None,
        wait_for_fronts=(lambda name, disable: (2, 3) if disable else (3, 3)) if value["fleet"] else None,
        show_replica=view.replica_lines if value["fleet"] else None,
        show_recovery=(lambda: recovery_lines(value)) if value["fleet"] else None,
        show_config=(lambda: config_status().lines(100.0)) if value["fleet"] else None,
    )
    listener = ControlListener(Address(LOCAL, 0), commands)
    listener.start()
    try:
        return [
            await asyncio.to_thread(control_call, listener.address.port, unpack(call))
            for call in value["calls"]
        ]
    finally:
        await asyncio.to_thread(listener.stop)


def control_call(port: int, call: bytes) -> Plain:
    """One call and its answer, up to the end of the connection."""
    with socket.create_connection((LOCAL, port), timeout=PATIENCE) as connection:
        connection.sendall(call)
        got = b""
        while piece := connection.recv(4096):
            got += piece
    return [pack(call), pack(got)]


async def capture_metrics(value: Plain) -> Plain:
    """Calls to the exporter over loopback, and their answers."""
    gauges = (lambda: config_status().gauges(100.0)) if value["gauges"] else dict
    listener = MetricsListener(Address(LOCAL, 0), counted_figures(), lambda: (6, 2), gauges)
    out = []
    try:
        for call in value["calls"]:
            reader, writer = await asyncio.open_connection(LOCAL, listener.address.port)
            writer.write(unpack(call))
            out.append(blank(await read_http(reader)))
            writer.close()
    finally:
        listener.stop()
        await listener.server.shutdown(0)
    return out


# Files over SFTP


async def capture_sftp(value: Plain) -> Plain:
    """A client's session over loopback: its answers, and what the node is sent on each connection."""
    to_node: list[list[Plain]] = []
    replies = [list(one) for one in value["node connections"]]

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        mine, script = list[Plain](), replies.pop(0)
        to_node.append(mine)
        while True:
            mine.append(pack(await read_sized(reader)))
            if script:
                writer.write(unpack(script.pop(0)))

    async with listening(serve_connection) as port:
        answers = await sftp_answers(value, port)
    return {"to client": answers, "to node": to_node}


async def read_sized(reader: asyncio.StreamReader) -> bytes:
    """A packet with its length."""
    size = await reader.readexactly(4)
    return size + await reader.readexactly(int.from_bytes(size, "big"))


async def sftp_answers(value: Plain, port: int) -> list[Plain]:
    """What a front for files answers its client, where its node is at this port."""
    core, directory = ScriptedCore(all_settings()), Directory({"basement": 0})
    core.fates = list(value["fates"])
    directory.apply(EndpointList(version=1, is_complete=True, instances=[node_instance(port)]))
    nodes = SftpBackends(directory, 0, PATIENCE, 2 * PATIENCE, 32)
    config = SftpSettings(
        listen=Address(LOCAL, 0),
        volumes=[VolumePath("/plats", 7, 0, 0, 1)],
        read_class=0,
        write_class=1,
        backend_port=0,
        max_upload_bytes=65536,
        unit_bytes=8192,
        max_open_files=4,
        idle_timeout=PATIENCE,
        command_timeout=PATIENCE,
    )
    front = SftpServer(config, core, nodes, 32)
    await front.open()
    assert front.listener
    reader, writer = await asyncio.open_connection(LOCAL, front.listener.sockets[0].getsockname()[1])
    answers = []
    try:
        async with asyncio.timeout(PATIENCE):
            for packet in value["client"]:
                writer.write(unpack(packet))
                answers.append(pack(await read_sized(reader)))
    finally:
        writer.close()
        await front.close(1.0)
        nodes.close()
    return answers


# The simulator's wire


def encode_simulator_step(value: Plain) -> bytes:
    """A step as the simulator is sent it."""
    action: SchedulerAction
    match value["step"]:
        case "send":
            action = SendAttempt(request_id=value["request"], node_id=value["node"])
        case "refuse":
            action = Reject(request_id=value["request"], retry_after=value["seconds"])
        case "fail":
            action = FailRequest(request_id=value["request"])
        case "cancel":
            action = CancelAttempt(request_id=value["request"], attempt=value["attempt"])
        case "timer":
            action = SetTimer(delay=value["seconds"], token=value["token"])
        case _:
            action = WatchEndpoints()
    return json.dumps(simhost.write_action(value["instance"], action)).encode()


def plain_event(event: SchedulerEvent) -> Plain:
    """Every field of an event of the simulator's."""
    match event:
        case RequestArrived():
            return {
                "event": "request",
                "request": event.request_id,
                "class": event.class_index,
                "plan": event.plan_index,
                "volume": event.volume_id,
                "item": event.item,
                "shard": shard_number(event.shard),
                "units": event.units,
                "deadline": event.deadline,
                "hosts": event.front_count,
            }
        case AttemptFinished():
            return {
                "event": "end of an attempt",
                "request": event.request_id,
                "attempt": event.attempt,
                "node": event.node_id,
                "outcome": SIMULATED_OUTCOMES[event.outcome],
                "seconds": event.elapsed,
                "settled": event.settled,
                "served by other fronts": event.units_by_others,
            }
        case TimerFired():
            return {"event": "timer", "token": event.token}
        case EndpointUpdate():
            nodes = [
                [one.node_id, shard_number(one.shard), one.zone, NODE_STATES[one.state], one.started_at]
                for one in event.endpoints
            ]
            return {"event": "nodes", "kind": LIST_KINDS[event.kind], "nodes": nodes}
        case ClientDisconnected():
            return {"event": "client left", "request": event.request_id}
    raise TypeError(type(event))


SIMULATED_OUTCOMES = {
    AttemptOutcome.SERVED: "served",
    AttemptOutcome.ERROR: "failed",
    AttemptOutcome.QUEUE_FULL: "never ran",
    AttemptOutcome.TIMEOUT: "out of time",
    AttemptOutcome.CONNECTION_FAILED: "no connection",
    AttemptOutcome.CONNECTION_RESET: "connection broke",
    AttemptOutcome.CANCELLED: "cancelled",
    AttemptOutcome.NOT_SENT: "not sent",
}


def decode_simulator_event(data: bytes) -> Plain:
    """What is understood of an event; the list of slot 0 has three nodes."""
    nodes: list[dict[str, Any]] = [
        {"Shelf": 1, "Pack": 3, "Area": 2, "StageState": "live", "UpSinceS": 4.5},
        {"Shelf": 2, "StageState": "quiescing"},
        {"Shelf": 3, "Pack": None, "Area": None, "StageState": "dead", "UpSinceS": None},
    ]
    value = json.loads(data)
    try:
        event = simhost.read_event(value["type"], value, {0: [simhost.read_entry(one) for one in nodes]})
    except simhost.MalformedBatchError as error:
        return {"refused": str(error)}
    return plain_event(event)


def capture_simulator(value: Plain) -> Plain:
    """A whole conversation with the simulator, line by line."""
    sink = io.StringIO()
    try:
        simhost.serve(io.StringIO("".join(f"{json.dumps(line)}\n" for line in value["lines"])), sink)
    except simhost.MalformedBatchError as error:
        return {"sent": sink.getvalue(), "refused": str(error)}
    return {"sent": sink.getvalue()}


ENCODERS: dict[str, Callable[[Plain], bytes]] = {
    "fleet datagram": encode_fleet_datagram,
    "fleet view": encode_fleet_view,
    "shared holds": encode_holds,
    "latest words": encode_latest_words,
    "highest numbers": encode_highest_numbers,
    "distribution poll": encode_poll,
    "distribution reply": encode_reply,
    "vrrp advertisement": encode_vrrp,
    "sftp packet": encode_sftp_packet,
    "request to a node": encode_node_request,
    "probe of a node": encode_node_probe,
    "simulator step": encode_simulator_step,
}

DECODERS: dict[str, Callable[[bytes], Plain]] = {
    "fleet datagram": decode_fleet_datagram,
    "fleet view": decode_fleet_view,
    "shared holds": decode_holds,
    "latest words": decode_latest_words,
    "highest numbers": decode_highest_numbers,
    "distribution poll": decode_poll,
    "distribution reply": decode_reply,
    "vrrp advertisement": decode_vrrp,
    "sftp packet": decode_sftp_packet,
    "simulator event": decode_simulator_event,
    "node list": lambda data: asyncio.run(decode_node_list(data)),
}

CAPTURES: dict[str, Callable[[Plain], Plain]] = {
    "sums among fronts": lambda given: asyncio.run(capture_sums(given)),
    "answer to a view": lambda given: asyncio.run(capture_view_exchange(given)),
    "distributed contents": capture_contents,
    "first poll": capture_first_poll,
    "answer to a poll": capture_answer_to_poll,
    "framing": lambda given: asyncio.run(capture_framing(given)),
    "understood request": capture_understood_request,
    "node answer": lambda given: asyncio.run(capture_node_answer(given)),
    "http exchange": lambda given: asyncio.run(capture_http(given)),
    "probe exchange": lambda given: asyncio.run(capture_probe(given)),
    "discovery exchange": lambda given: asyncio.run(capture_discovery(given)),
    "control calls": lambda given: asyncio.run(capture_control(given)),
    "metrics": lambda given: asyncio.run(capture_metrics(given)),
    "simulator session": capture_simulator,
    "sftp session": lambda given: asyncio.run(capture_sftp(given)),
}


def encode(kind: str, given: Plain) -> bytes:
    """The bytes of a message of this kind from plain values."""
    return ENCODERS[kind](given)


def decode(kind: str, data: bytes) -> Plain:
    """The plain values of a message of this kind."""
    return DECODERS[kind](data)


def capture(kind: str, given: Plain) -> Plain:
    """What running code sends and understands where it is given this."""
    return CAPTURES[kind](given)
