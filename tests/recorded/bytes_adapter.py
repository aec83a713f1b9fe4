"""The only module of the bytes recording that uses the project: converts recorded values and messages.

After a rename in the project only this module changes; the words in the recorded data stay.
"""

from __future__ import annotations

import asyncio
import dataclasses
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
from cleatyoke import simulator
from cleatyoke.vrrp import messages as vrrp
from cleatyoke.config.addresses import Address
from cleatyoke.config.deployment import Config
from cleatyoke.config.fronts_file import FleetSettings, SftpSettings, VolumePath
from cleatyoke.limits.socket_budget import SocketBudget
from cleatyoke.limits.memory_budget import MemoryBudget
from cleatyoke.core import Core, Failed, Rejected, Served
from cleatyoke.discovery.directory import Directory, Instance, EndpointList
from cleatyoke.distribution import contents, records
from cleatyoke.distribution.server import answer_poll
from cleatyoke.distribution.status import SubscriptionStatus
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
EXCHANGE_TIMEOUT = 30.0  # seconds; only a faulty exchange takes this long

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


def member_id_of(value: Plain) -> wire.MemberId:
    """Build a member id from ``[name, boot number]``."""
    return wire.MemberId(name=value[0], boot=value[1])


def plain_member_id(member: wire.MemberId) -> Plain:
    """Return a member id as ``[name, boot number]``."""
    return [member.name, member.boot]


def update_of(value: Plain) -> wire.Update:
    """Build a membership update; absent fields have their defaults."""
    optional = {
        field: value[key]
        for key, field in (
            ("sole", "owns_address"),
            ("accuser", "suspected_by"),
            ("settings sum", "settings_checksum"),
        )
        if key in value
    }
    return wire.Update(
        id=member_id_of(value["life"]),
        address=value["address"],
        state=STATES[value["state"]],
        incarnation=value["count"],
        **optional,
    )


def plain_update(update: wire.Update) -> Plain:
    """Return every field of a membership update."""
    return {
        "life": plain_member_id(update.id),
        "address": update.address,
        "state": next(word for word, state in STATES.items() if state is update.state),
        "count": update.incarnation,
        "sole": update.owns_address,
        "accuser": update.suspected_by,
        "settings sum": update.settings_checksum,
    }


def body_of(value: Plain) -> wire.Body:
    """Build the body of a datagram."""
    match value["type"]:
        case "ping":
            return wire.Ping(
                sequence=value["number"],
                target=member_id_of(value["target"]),
                membership_checksum=value["members sum"],
            )
        case "ack":
            return wire.Ack(sequence=value["number"])
        case "indirect ping":
            return wire.PingRequest(
                sequence=value["number"], target=member_id_of(value["target"]), address=value["address"]
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
    """Return every field of a datagram's body."""
    match body:
        case wire.Ping():
            target = plain_member_id(body.target)
            return {
                "type": "ping",
                "number": body.sequence,
                "target": target,
                "members sum": body.membership_checksum,
            }
        case wire.Ack():
            return {"type": "ack", "number": body.sequence}
        case wire.PingRequest():
            target = plain_member_id(body.target)
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
    """Encode a datagram with as many updates as fit into it."""
    data, _ = wire.encode_datagram(
        value.get("deployment", DEPLOYMENT),
        update_of(value["sender"]),
        body_of(value["body"]),
        [update_of(one) for one in value["rumours"]],
    )
    return data


def decode_fleet_datagram(data: bytes) -> Plain:
    """Return the fields of a datagram, or the reason for its rejection."""
    try:
        message = wire.decode_datagram(DEPLOYMENT, data)
    except wire.WireError as error:
        return {"refused": str(error)}
    return {
        "deployment": message.deployment,
        "version": message.version,
        "sender": plain_update(message.sender),
        "body": plain_body(message.body),
        "rumours": [plain_update(one) for one in message.updates],
    }


def encode_fleet_view(value: Plain) -> bytes:
    """Encode a full state, as it is sent by stream."""
    members = [update_of(one) for one in value["lives"]]
    deployment, sender = value.get("deployment", DEPLOYMENT), update_of(value["sender"])
    if "copies" in value:
        return wire.encode_full_state(deployment, sender, members, unpack(value["copies"]))
    return wire.encode_full_state(deployment, sender, members)


def decode_fleet_view(data: bytes) -> Plain:
    """Return the fields of a full state, or the reason for its rejection."""
    try:
        message = wire.decode_full_state(DEPLOYMENT, data)
    except wire.WireError as error:
        return {"refused": str(error)}
    return {
        "deployment": message.deployment,
        "version": message.version,
        "sender": plain_update(message.sender),
        "lives": [plain_update(one) for one in message.members],
        "copies": pack(message.replicas),
    }


def holds_of(value: Plain) -> replicas.HoldSet:
    """Build holds from the clock (``known``) and the ``[name, boot, number]`` dots of each held node."""
    return replicas.HoldSet(
        clock={wire.MemberId(name=name, boot=boot): number for name, boot, number in value["known"]},
        dots_by_node={
            node: frozenset((wire.MemberId(name=name, boot=boot), number) for name, boot, number in dots)
            for node, dots in value["held"].items()
        },
    )


def encode_holds(value: Plain) -> bytes:
    """Encode the shared holds as they are sent with a full state."""
    return HoldReplication(self_id=lambda: wire.MemberId(name="n0", boot=1), holds=holds_of(value)).dump()


def decode_holds(data: bytes) -> Plain:
    """Return the shared holds, sorted, or the reason for their rejection."""
    try:
        copy = replicas.decode("holds", data)
    except ValueError as error:
        return {"refused": str(error)}
    return {
        "known": sorted([member.name, member.boot, number] for member, number in copy.clock.items()),
        "held": {
            node: sorted([member.name, member.boot, number] for member, number in dots)
            for node, dots in sorted(copy.dots_by_node.items())
        },
    }


def encode_latest_values(value: Plain) -> bytes:
    """Encode the latest value of each member."""
    values = {
        wire.MemberId(name=name, boot=boot): replicas.TimestampedValue(number=number, value=text, at=at)
        for name, boot, number, text, at in value
    }
    return msgspec.msgpack.encode(replicas.LatestValues(values=values))


def decode_latest_values(data: bytes) -> Plain:
    """Return the latest value of each member, sorted, or the reason for their rejection."""
    try:
        copy = replicas.decode("latest", data)
    except ValueError as error:
        return {"refused": str(error)}
    return sorted(
        [member.name, member.boot, latest.number, latest.value, latest.at]
        for member, latest in copy.values.items()
    )


def encode_highest_numbers(value: Plain) -> bytes:
    """Encode the highest number of each key."""
    return msgspec.msgpack.encode(replicas.MaximumValues(values=value))


def decode_highest_numbers(data: bytes) -> Plain:
    """Return the highest number of each key, or the reason for their rejection."""
    try:
        return dict(replicas.decode("highest", data).values)
    except ValueError as error:
        return {"refused": str(error)}


def sample_fleet_settings() -> FleetSettings:
    """Return fleet settings with an address on which nothing listens."""
    timing = {"period": 0.5, "answer": 0.15, "gossip": 0.1, "sync": 10.0, "departed": 1.0, "join": 1.0}
    address = Address(LOCAL, 7001)
    return FleetSettings(
        deployment=DEPLOYMENT, listen=address, advertise=address, seeds=[], boot=41, timing=timing
    )


async def fleet_view(value: Plain) -> FleetView:
    """Return a front's fleet view after some datagrams, without sockets."""
    view = FleetView(sample_fleet_settings(), "n0", 2, 1, Faults(Metrics()))
    view.membership.step(100.0, [])
    view.membership.step(100.05, [DatagramReceived(unpack(one)) for one in value.get("datagrams", [])])
    for node in value.get("held", []):
        view.hold_replication.hold(node)
    return view


async def capture_checksums(value: Plain) -> Plain:
    """Return the checksums that fronts exchange, which must be equal in all versions of the program."""
    view = await fleet_view(value)
    view.announce_settings(all_settings())
    return {
        "settings": view.membership.settings_checksum,
        "members": view.membership.operator_view_checksum(),
        "members and holds in pings": view.membership.membership_checksum(),
        "holds": view.hold_replication.digest(),
    }


async def capture_view_exchange(value: Plain) -> Plain:
    """Return the answer to a peer's full state: this front's own."""
    view = await fleet_view(value)
    actions = view.membership.step(100.1, [ExchangeRequested(1, unpack(value["view"]))])
    return [pack(action.data) for action in actions if isinstance(action, ReplyExchange)]


# Distribution


def entry_of(value: Plain) -> records.Entry:
    """Build an entry from ``[key, epoch, number, value]``; value None is a tombstone."""
    key, epoch, number, content = value
    version = records.Version(epoch=epoch, number=number)
    return records.Entry(key=key, version=version, value=None if content is None else unpack(content))


def plain_entry(entry: records.Entry) -> Plain:
    """Return an entry as ``[key, epoch, number, value]``."""
    content = None if entry.value is None else pack(entry.value)
    return [entry.key, entry.version.epoch, entry.version.number, content]


def encode_poll(value: Plain) -> bytes:
    """Encode a subscriber's poll."""
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
    """Return the fields of a poll, or the reason for its rejection."""
    try:
        poll = records.decode_poll(DEPLOYMENT, data)
    except wire.WireError as error:
        return {"refused": str(error)}
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


REJECTIONS = {
    "none": records.Rejection.NONE,
    "too many subscribers": records.Rejection.FULL,
    "no whole copy": records.Rejection.NOT_READY,
    "newer epoch known": records.Rejection.OLDER_EPOCH,
    "newer changes known": records.Rejection.BEHIND,
}


def part_of(value: Plain) -> records.LaneChanges:
    """Build one lane's part of a reply; absent fields have their defaults."""
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
    """Encode a relay's reply."""
    optional: dict[str, Any] = {}
    if "refusal" in value:
        optional["rejection"] = REJECTIONS[value["refusal"]]
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
    """Return the fields of a reply, or the reason for its rejection."""
    try:
        reply = records.decode_reply(DEPLOYMENT, data)
    except wire.WireError as error:
        return {"refused": str(error)}
    return {
        "deployment": reply.deployment,
        "form": reply.format_version,
        "number": reply.poll_id,
        "source": reply.source,
        "epoch": reply.epoch,
        "age": reply.age,
        "refusal": next(word for word, one in REJECTIONS.items() if one is reply.rejection),
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
    """Return what a front derives from distributed entries: merged settings and listed nodes."""
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
    """Return the first poll of a subscriber without any entries."""
    subscriber = Subscriber(DEPLOYMENT, value["subscriber"], [["192.0.2.1:1"]], random.Random(1))
    subscriber.step(0.0)
    actions = subscriber.step(60.0)
    return [pack(action.data) for action in actions if isinstance(action, SendPoll)]


def capture_answer_to_poll(value: Plain) -> Plain:
    """Return a relay's answer to a poll, from a store with the given entries."""
    store = ChangeStore(value["epoch"])
    for one in value["entries"]:
        store.lanes[contents.lane_of(one[0])].put(0.0, entry_of(one))
    poll = records.decode_poll(DEPLOYMENT, unpack(value["poll"]))
    return pack(records.encode(answer_poll(poll, "source-1", store, 0.25)))


# Messages on a stream


async def capture_framing(value: Plain) -> Plain:
    """Write a message to a stream and read it on the other side; return the bytes and the message."""
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
    replayed = asyncio.StreamReader()
    replayed.feed_data(sent)
    try:
        read: Plain = pack(await read_message(replayed, value["most"]))
    except MessageTooLongError as error:
        read = {"refused": str(error)}
    return {"written": pack(sent), "read": read}


# VRRP


def encode_vrrp(value: Plain) -> bytes:
    """Encode an advertisement."""
    return vrrp.encode_advertisement(
        vrrp.Advertisement(
            router=value["router"],
            priority=value["priority"],
            interval=value["interval"],
            addresses=tuple(value["addresses"]),
        )
    )


def decode_vrrp(data: bytes) -> Plain:
    """Return the fields of an advertisement, or the reason for its rejection."""
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
    """Build file attributes; absent ones are left unset."""
    return sftp.Attrs(
        size=value.get("size"),
        owner=tuple(value["owner"]) if "owner" in value else None,
        permissions=value.get("permissions"),
        times=tuple(value["times"]) if "times" in value else None,
        extended=[(unpack(name), unpack(content)) for name, content in value.get("extended", [])],
    )


def plain_attributes(attrs: sftp.Attrs) -> Plain:
    """Return the attributes that are set."""
    attributes = {
        "size": attrs.size,
        "owner": list(attrs.owner) if attrs.owner else None,
        "permissions": attrs.permissions,
        "times": list(attrs.times) if attrs.times else None,
        "extended": [[pack(name), pack(content)] for name, content in attrs.extended] or None,
    }
    return {name: one for name, one in attributes.items() if one is not None}


def sftp_packet_of(value: Plain) -> sftp.Packet:
    """Build a packet from the draft's name of its type."""
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
    """Return every field of a packet, with the draft's name of its type."""
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
    """Encode a packet with its length."""
    return sftp_codec.encode(sftp_packet_of(value))


def decode_sftp_packet(data: bytes) -> Plain:
    """Return the fields of a packet with its length, or the reason for its rejection."""
    try:
        return plain_sftp_packet(sftp_codec.decode(data[4:]))
    except sftp.PacketError as error:
        return {"refused": str(error), "id": error.request_id}


# HTTP


def all_settings() -> SchedulerSettings:
    """Return settings with a value in every field."""
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
    idempotency = [
        (Idempotency.IDEMPOTENT, IdempotencyScope.ALL, False),
        (Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL, False),
        (Idempotency.KEYED, IdempotencyScope.ALL, True),
    ]
    classes = [
        RequestClass(
            latency_objective=0.5,
            priority_weight=2.0,
            late_value=0.2,
            idempotency=kind,
            idempotency_scope=scope,
            idempotency_window=5.0,
            ordered=ordered,
        )
        for kind, scope, ordered in idempotency
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
    """Return a configuration with three classes: a read, a write, and a write that carries a key."""
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
        memory=dataclasses.replace(MemoryBudget.divide(0.0, 484, 32), long_bodies=36 << 20),
        memory_mb=0.0,
        shard_count=9,
        zones={"basement": 0},
        connect_timeout=EXCHANGE_TIMEOUT,
        idle_timeout=30.0,
        drain_grace=1.0,
    )


def capture_client_request(value: Plain) -> Plain:
    """Return the decoded request of a client, or the reason why it is answered 400."""
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
    """Encode an attempt as it is written to a node."""
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
    """Encode a probe of a node's load."""
    return requests.encode_load_probe(Address(value["node"][0], value["node"][1]))


OUTCOMES = {
    AttemptOutcome.SERVED: "served",
    AttemptOutcome.ERROR: "failed",
    AttemptOutcome.QUEUE_FULL: "never ran",
}


async def capture_node_answer(value: Plain) -> Plain:
    """Return the decoded answer of a node from its pieces; ``closed``: the connection ends after them."""
    reader, answer = answers.ResponseReader(), None
    rest: list[Plain] = []
    try:
        for piece in value["pieces"]:
            if answer is None:
                answer = reader.feed(unpack(piece))
            else:
                rest.append(pack(reader.feed_body(unpack(piece))))
        if answer is None and value.get("closed"):
            answer = reader.feed_eof()
    except messages.MalformedResponseError as error:
        return {"spoilt": str(error)}
    if answer is None:
        return {"more is to come": True}
    return {
        "status": answer.status,
        "headers": [[name, text] for name, text in answer.headers.items()],
        "body": pack(answer.body),
        "reusable": answer.connection_reusable,
        "length": answer.length,
        "long": answer.is_streamed,
        "rest": rest,
        "whole": reader.is_complete,
        "means": OUTCOMES[answers.decode_outcome(answer.status, answer.headers)],
        "served by other fronts": answers.decode_served_elsewhere(answer.headers),
        "load in the head": answers.decode_utilization(answer.headers),
        "load in the body": answers.decode_load_probe(answer),
    }


class ScriptedCore(Core):
    """A core without a scheduler: each request gets the next scripted outcome."""

    outcomes: list[Plain]

    async def serve(self, arrival: RequestArrived, attempt: Callable[..., Awaitable[Any]]) -> Any:
        """Apply ``["refuse", seconds]``, ``["fail"]`` or ``["attempt"]``, which serves the node's answer."""
        outcome = self.outcomes.pop(0)
        if outcome[0] == "refuse":
            return Rejected(outcome[1])
        if outcome[0] == "attempt":
            result = await attempt(1, lambda: True)
            if result.outcome is AttemptOutcome.SERVED:
                return Served(result.value)
        return Failed()


def node_instance(port: int) -> Instance:
    """Return a live node on loopback."""
    return Instance(
        name="s-a",
        address=Address(LOCAL, port),
        zone="basement",
        shard=0,
        state=EndpointState.LIVE,
        started_at=0.0,
    )


async def read_http(reader: asyncio.StreamReader, head_read: asyncio.Event | None = None) -> bytes:
    """Read one whole message with a length or in chunks, or everything up to the end of the stream.

    Chunks are joined to one, as their sizes differ from run to run. ``head_read`` is set after the head.
    """
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        if head_read:
            head_read.set()
        lower = head.lower()
        if lower.startswith(b"http/1.1 100"):
            return head + await read_http(reader)
        if b"transfer-encoding: chunked" in lower:
            body = b""
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                if await reader.readexactly(2) != b"\r\n":
                    raise ValueError("the chunk's data is not followed by CRLF")
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
    """Listen on loopback and yield the port; all connections are closed at the end."""
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
    answers: list[Plain], received: list[bytes], head_read: asyncio.Event | None = None
) -> AsyncIterator[int]:
    """Run a node on loopback that records each request and gives the next answer; yield its port.

    The second part of an answer in two parts is sent once the client has read the head (``head_read``).
    """

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_http(reader)) and answers:
            received.append(request)
            match answers.pop(0):
                case [first, second]:
                    writer.write(unpack(first))
                    if head_read:
                        await head_read.wait()
                    writer.write(unpack(second))
                case whole:
                    writer.write(unpack(whole))

    async with listening(serve_connection) as port:
        yield port


async def capture_http(value: Plain) -> Plain:
    """Send requests, each on a connection of its own; return the answers and the requests to nodes."""
    received: list[bytes] = []
    answered: list[Plain] = []
    head_read = asyncio.Event()
    async with scripted_node(list(value.get("node answers", [])), received, head_read) as port:
        config = front_config()
        core, directory = ScriptedCore(config.settings), Directory({"basement": 0})
        core.outcomes = list(value.get("fates", []))
        directory.apply(EndpointList(version=1, is_complete=True, instances=[node_instance(port)]))
        nodes, drain = BackendPools(directory, EXCHANGE_TIMEOUT, 30.0, 32), FrontDrain()
        front = HttpServer(config, core, nodes, lambda: value.get("ready", True), drain)
        if value.get("draining"):
            drain.start()
        front.listen()
        try:
            for request in value["requests"]:
                reader, writer = await asyncio.open_connection(LOCAL, front.address.port)
                writer.write(unpack(request))
                answered.append(blank(await read_http(reader, head_read)))
                writer.close()
        finally:
            await front.close()
            nodes.close()
    return {"answers": answered, "to nodes": [blank(one) for one in received]}


async def capture_probe(value: Plain) -> Plain:
    """Probe a node over loopback; return the request to it and the decoded load."""
    received: list[bytes] = []
    async with scripted_node([value["node answer"]], received) as port:
        directory = Directory({"basement": 0})
        directory.apply(EndpointList(version=1, is_complete=True, instances=[node_instance(port)]))
        nodes = BackendPools(directory, EXCHANGE_TIMEOUT, 30.0, 32)
        load = await nodes.probe_load(1, EXCHANGE_TIMEOUT)
        nodes.close()
    return {"to nodes": [blank(one) for one in received], "load": load}


# Discovery

NODE_STATES = {
    EndpointState.LIVE: "live",
    EndpointState.DRAINING: "draining",
    EndpointState.REMOVED: "gone",
}


def plain_listing(listing: EndpointList) -> Plain:
    """Return every field of a node list."""
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
    """Return a list decoded in one go and in parts, with equal results, or the reasons for its rejection."""
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
    """Return the calls of a watch over loopback and the events that its answers cause.

    Each call is listed once: repetitions, which occur on a slow machine, are left out.
    """
    calls: list[Plain] = []
    events: list[Plain] = []
    all_received = asyncio.Event()

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while call := await read_http(reader):
            if (one := blank(call)) not in calls:
                calls.append(one)
            writer.write(unpack(value["watch" if b"watch=" in call else "list"]))

    def on_event(event: SchedulerEvent) -> None:
        assert isinstance(event, EndpointUpdate)
        entries = [
            [one.node_id, shard_number(one.shard), one.zone, NODE_STATES[one.state], one.started_at]
            for one in event.endpoints
        ]
        events.append({"kind": LIST_KINDS[event.kind], "nodes": entries})
        if len(events) == value["events"]:
            all_received.set()

    async with listening(serve_connection) as port:
        directory = Directory({"basement": 0})
        directory.version = value.get("known version")
        watch = Discovery(Address(LOCAL, port), directory, on_event, dedicated_agent=value["own agent"])
        watch.start()
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT):
                await all_received.wait()
        finally:
            watch.stop()
    return {"calls": calls[: value["calls"]], "events": events[: value["events"]]}


# Administration


def sample_metrics() -> Metrics:
    """Return metrics in which each counter has a different value."""
    metrics = Metrics()
    for name, status, times in (
        ("tile-read", 200, 5),
        ("tile-read", 503, 3),
        ("tile-read", 429, 1),
        ("record-write", 200, 2),
        ("record-write", 502, 6),
        ("retired", 200, 1),
    ):
        for _ in range(times):
            metrics.count_answer(name, status)
    metrics.backend_calls, metrics.in_flight = 17, 4
    metrics.reloads_applied, metrics.reloads_rejected, metrics.faults = 7, 8, 9
    return metrics


def config_status() -> SubscriptionStatus:
    """Return the status of a subscription to distributed configuration, with one invalid change."""
    subscriber = Subscriber(DEPLOYMENT, "n0", [["192.0.2.1:1"]], random.Random(1))
    subscriber.epoch, subscriber.source_name, subscriber.poll_count, subscriber.bytes_exchanged = (
        3,
        "source-1",
        11,
        4096,
    )
    subscriber.current_as_of = 90.0
    subscriber.rejected["unreadable"], subscriber.rejected["older epoch"] = 2, 1
    subscriber.lanes[records.Lane.SETTINGS].position = records.Position(number=25, cursor=None)
    subscriber.lanes[records.Lane.NODES].position = records.Position(number=24, cursor=None)
    status = SubscriptionStatus(subscriber)
    status.settings_applied(records.Version(epoch=3, number=25), ["settings"])
    status.settings_rejected("settings/Limits", records.Version(epoch=3, number=23), "Limits: want an object")
    return status


def recovery_lines(value: Plain) -> list[str]:
    """Return the lines of ``show-recovery`` at the beginning of a start, in the middle and at its end."""
    start = StagedStart(100.0, 105.0)
    if value["stage"] != "begin":
        start.step(100.25, [Evidence(StartStage.DISK, "nothing found"), Evidence(StartStage.PEERS, "a peer")])
    if value["stage"] == "end":
        start.step(101.5)
        start.step(106.0)
    return start.status_lines({"begin": 100.125, "amid": 100.5, "end": 107.0}[value["stage"]])


async def capture_control(value: Plain) -> Plain:
    """Make control calls over loopback, each on a connection of its own; return them with their answers."""
    view = await fleet_view(value)
    view.announce_settings(all_settings())
    metrics = sample_metrics()

    def stat() -> list[str]:
        lines = metrics.stat_lines(["tile-read", "record-write"], 6, 2)
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
    """Make one call and read its answer up to the end of the connection; return both."""
    with socket.create_connection((LOCAL, port), timeout=EXCHANGE_TIMEOUT) as connection:
        connection.sendall(call)
        answer = b""
        while piece := connection.recv(4096):
            answer += piece
    return [pack(call), pack(answer)]


async def capture_metrics(value: Plain) -> Plain:
    """Make calls to the metrics listener over loopback; return their answers."""
    gauges = (lambda: config_status().gauges(100.0)) if value["gauges"] else dict
    listener = MetricsListener(Address(LOCAL, 0), sample_metrics(), lambda: (6, 2), gauges)
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


# SFTP sessions


async def capture_sftp(value: Plain) -> Plain:
    """Run a client's session over loopback; return its answers and the packets to the node by connection."""
    to_node: list[list[Plain]] = []
    replies = [list(one) for one in value["node connections"]]

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        packets, script = list[Plain](), replies.pop(0)
        to_node.append(packets)
        while True:
            packets.append(pack(await read_packet(reader)))
            if script:
                writer.write(unpack(script.pop(0)))

    async with listening(serve_connection) as port:
        answers = await sftp_answers(value, port)
    return {"to client": answers, "to node": to_node}


async def read_packet(reader: asyncio.StreamReader) -> bytes:
    """Read a packet with its length."""
    size = await reader.readexactly(4)
    return size + await reader.readexactly(int.from_bytes(size, "big"))


async def sftp_answers(value: Plain, port: int) -> list[Plain]:
    """Return the SFTP server's answers to its client, with the node at this port."""
    core, directory = ScriptedCore(all_settings()), Directory({"basement": 0})
    core.outcomes = list(value["fates"])
    directory.apply(EndpointList(version=1, is_complete=True, instances=[node_instance(port)]))
    nodes = SftpBackends(directory, 0, EXCHANGE_TIMEOUT, 2 * EXCHANGE_TIMEOUT, 32)
    config = SftpSettings(
        listen=Address(LOCAL, 0),
        volumes=[VolumePath("/plats", 7, 0, 0, 1)],
        read_class=0,
        write_class=1,
        backend_port=0,
        max_upload_bytes=65536,
        unit_bytes=8192,
        max_open_files=4,
        idle_timeout=EXCHANGE_TIMEOUT,
        command_timeout=EXCHANGE_TIMEOUT,
    )
    front = SftpServer(config, core, nodes, 32)
    await front.open()
    assert front.listener
    reader, writer = await asyncio.open_connection(LOCAL, front.listener.sockets[0].getsockname()[1])
    answers = []
    try:
        async with asyncio.timeout(EXCHANGE_TIMEOUT):
            for packet in value["client"]:
                writer.write(unpack(packet))
                answers.append(pack(await read_packet(reader)))
    finally:
        writer.close()
        await front.close(1.0)
        nodes.close()
    return answers


# The simulator's protocol


def encode_simulator_step(value: Plain) -> bytes:
    """Encode an action as it is sent to the simulator."""
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
    return json.dumps(simulator.write_action(value["instance"], action)).encode()


def plain_event(event: SchedulerEvent) -> Plain:
    """Return every field of an event from the simulator."""
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
    """Return a decoded event; the list of slot 0 has three nodes."""
    nodes: list[dict[str, Any]] = [
        {"Shelf": 1, "Pack": 3, "Area": 2, "StageState": "live", "UpSinceS": 4.5},
        {"Shelf": 2, "StageState": "quiescing"},
        {"Shelf": 3, "Pack": None, "Area": None, "StageState": "dead", "UpSinceS": None},
    ]
    value = json.loads(data)
    try:
        event = simulator.read_event(value["type"], value, {0: [simulator.read_entry(one) for one in nodes]})
    except simulator.MalformedBatchError as error:
        return {"refused": str(error)}
    return plain_event(event)


def capture_simulator(value: Plain) -> Plain:
    """Run a whole session with the simulator; return the lines sent."""
    sink = io.StringIO()
    try:
        simulator.serve(io.StringIO("".join(f"{json.dumps(line)}\n" for line in value["lines"])), sink)
    except simulator.MalformedBatchError as error:
        return {"sent": sink.getvalue(), "refused": str(error)}
    return {"sent": sink.getvalue()}


ENCODERS: dict[str, Callable[[Plain], bytes]] = {
    "fleet datagram": encode_fleet_datagram,
    "fleet view": encode_fleet_view,
    "shared holds": encode_holds,
    "latest words": encode_latest_values,
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
    "latest words": decode_latest_values,
    "highest numbers": decode_highest_numbers,
    "distribution poll": decode_poll,
    "distribution reply": decode_reply,
    "vrrp advertisement": decode_vrrp,
    "sftp packet": decode_sftp_packet,
    "simulator event": decode_simulator_event,
    "node list": lambda data: asyncio.run(decode_node_list(data)),
}

CAPTURES: dict[str, Callable[[Plain], Plain]] = {
    "sums among fronts": lambda given: asyncio.run(capture_checksums(given)),
    "answer to a view": lambda given: asyncio.run(capture_view_exchange(given)),
    "distributed contents": capture_contents,
    "first poll": capture_first_poll,
    "answer to a poll": capture_answer_to_poll,
    "framing": lambda given: asyncio.run(capture_framing(given)),
    "understood request": capture_client_request,
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
    """Return the bytes of a message of this kind from recorded values."""
    return ENCODERS[kind](given)


def decode(kind: str, data: bytes) -> Plain:
    """Return the values of a message of this kind in recorded form."""
    return DECODERS[kind](data)


def capture(kind: str, given: Plain) -> Plain:
    """Return what the running code sends and receives for this input."""
    return CAPTURES[kind](given)
