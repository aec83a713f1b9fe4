"""Input of the recording of bytes: one or more samples of each kind of message."""

from __future__ import annotations

import json
import struct
import zlib
from typing import Any

from tests.recorded.bytes_plain import Plain, pack

READ_FIELDS = {
    "X-Trace-Id": "00000000deadbeef",
    "X-Qos": "tile-read",
    "X-Plan": "public",
    "X-Expires-In-Ms": "1500",
    "X-IO": "volume=00000003b4d60021,units=2,shard=0,hosts=1",
}
READ = [[name, value] for name, value in READ_FIELDS.items()]
TARGET = "/api?block=7f3a9c21e0b4d655"


def text(value: str) -> Plain:
    """Return text as packed bytes."""
    return pack(value.encode())


def changed(**changes: str | None) -> list[list[str]]:
    """Return the headers of a read with changed values; a header changed to None is left out."""
    new = {name.replace("_", "-"): value for name, value in changes.items()}
    old: dict[str, str | None] = dict(READ_FIELDS)
    return [[name, value] for name, value in (old | new).items() if value is not None]


def http(method: str, target: str, headers: list[list[str]], body: str = "", version: str = "1.1") -> Plain:
    """Return an HTTP request as a client writes it."""
    lines = [f"{method} {target} HTTP/{version}", "Host: front.test"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return text("\r\n".join([*lines, "", ""]) + body)


def answer(status: int, body: str = "", *fields: str, length: bool = True) -> Plain:
    """Return an HTTP answer as a node writes it."""
    lines = [f"HTTP/1.1 {status} X", *([f"Content-Length: {len(body)}"] if length else []), *fields, "", ""]
    return text("\r\n".join(lines) + body)


def fleet() -> dict[str, Plain]:
    """Datagrams and full states of every type, and rejected ones."""
    sender_update = {"life": ["n1", 41], "address": "192.0.2.1:7001", "state": "alive", "count": 3}
    full_update = sender_update | {
        "state": "suspected",
        "sole": True,
        "accuser": "n7",
        "settings sum": 3735928559,
    }
    bodies: dict[str, Plain] = {
        "ping": {"number": 70000, "target": ["n2", 1 << 40], "members sum": 4294967295},
        "ack": {"number": 1},
        "indirect ping": {"number": 200, "target": ["n3", 0], "address": "[2001:db8::1]:7001"},
        "nack": {"number": 3},
        "gossip": {},
        "loan request": {"resource": "volume:3b4d60021", "number": 9, "parts": 1000},
        "loan": {"resource": "volume:3b4d60021", "number": 9, "parts": 250, "spare": 750},
    }
    out: dict[str, Plain] = {}
    for name, body in bodies.items():
        given = {"sender": sender_update, "body": {"type": name} | body, "rumours": []}
        out[f"fleet datagram: {name}"] = {"kind": "fleet datagram", "given": given}
    states = [
        full_update | {"life": [f"n{index}", index], "state": state, "count": index}
        for index, state in enumerate(["alive", "suspected", "dead", "left"])
    ]
    given = {"sender": full_update, "body": {"type": "gossip"}, "rumours": states}
    out["fleet datagram: all states, every field"] = {"kind": "fleet datagram", "given": given}
    many_updates = [sender_update | {"life": [f"front-{index:02}", index]} for index in range(64)]
    given = {"sender": sender_update, "body": {"type": "gossip"}, "rumours": many_updates}
    out["fleet datagram: more rumours than it holds"] = {"kind": "fleet datagram", "given": given}
    given = {"deployment": "other", "sender": sender_update, "body": {"type": "gossip"}, "rumours": []}
    out["fleet datagram: foreign"] = {"kind": "fleet datagram", "given": given}
    copies = {"hex": "82a5636c6f636b80a468656c6480"}
    view: Plain = {"sender": full_update, "lives": [sender_update, *states], "copies": copies}
    out["fleet view: every field"] = {"kind": "fleet view", "given": view}
    out["fleet view: least"] = {"kind": "fleet view", "given": {"sender": sender_update, "lives": []}}
    given = {"deployment": "other", "sender": sender_update, "lives": []}
    out["fleet view: foreign"] = {"kind": "fleet view", "given": given}
    sender = bytes([0x97, 0x92, 0xA2, 0x6E, 0x31, 41, 0xA1, 0x78, 0, 3, 0xC2, 0xA0, 0])
    short = bytes([0x94, 0x92, 0xA2, 0x6E, 0x31, 41, 0xA1, 0x78, 0, 3])
    prefix = b"\xa8recorded"
    for what, data in {
        "another version": b"\x95" + prefix + b"\x03" + sender + b"\x91\xa6gossip\x90",
        "a version before": b"\x95" + prefix + b"\x01" + sender + b"\x91\xa6gossip\x90",
        "sender without optional fields": b"\x95" + prefix + b"\x02" + short + b"\x91\xa6gossip\x90",
        "unknown body": b"\x95" + prefix + b"\x02" + sender + b"\x91\xa6gossup\x90",
        "a field too many": b"\x96" + prefix + b"\x02" + sender + b"\x91\xa6gossip\x90\xc0",
    }.items():
        out[f"fleet datagram: {what}"] = {"kind": "fleet datagram", "bytes": pack(with_checksum(data))}
    out["fleet datagram: corrupt"] = {"kind": "fleet datagram", "bytes": text("no message at all")}
    out["fleet datagram: too long"] = {"kind": "fleet datagram", "bytes": text("x" * 1201)}
    out["fleet view: another version"] = {
        "kind": "fleet view",
        "bytes": pack(with_checksum(b"\x94" + prefix + b"\x03" + sender + b"\x90")),
    }
    return out


def with_checksum(data: bytes) -> bytes:
    """Return a message with its checksum appended."""
    return data + struct.pack(">I", zlib.crc32(data))


def replicas() -> dict[str, Plain]:
    """Replicas that are sent along with full states, and their checksums."""
    holds = {
        "known": [["n1", 41, 3], ["n2", 1 << 40, 7], ["n3", 1, 1]],
        "held": {"s-a": [["n1", 41, 2]], "s-b": [["n2", 1 << 40, 7]]},
    }
    clock = "82a5636c6f636b8292a26e31010292a26e320103"
    two = bytes.fromhex(clock + "a468656c6481a3732d61929292a26e3101029292a26e320103")
    out: dict[str, Plain] = {
        "shared holds: some": {"kind": "shared holds", "given": holds},
        "shared holds: none": {"kind": "shared holds", "given": {"known": [], "held": {}}},
        "shared holds: one node held twice": {"kind": "shared holds", "bytes": pack(two)},
        "shared holds: without numbers": {
            "kind": "shared holds",
            "given": {"known": [], "held": {"s-a": [["n1", 41, 2]]}},
        },
        "shared holds: unreadable": {"kind": "shared holds", "bytes": text("x")},
        "latest words: some": {
            "kind": "latest words",
            "given": [["n1", 41, 2, "3.25", 1700000000.5], ["n2", 7, 1, "", 0.0]],
        },
        "latest words: unreadable": {"kind": "latest words", "bytes": text("x")},
        "highest numbers: some": {"kind": "highest numbers", "given": {"settings": 25, "nodes": 1 << 40}},
        "highest numbers: unreadable": {"kind": "highest numbers", "bytes": text("x")},
    }
    return out


def fleet_exchanges(datagrams: list[Plain], view: Plain) -> dict[str, Plain]:
    """Datagrams and full states received from other fronts."""
    return {
        "sums among fronts: without peers": {"kind": "sums among fronts", "given": {}},
        "sums among fronts: with peers and holds": {
            "kind": "sums among fronts",
            "given": {"datagrams": datagrams, "held": ["s-a", "s-b"]},
        },
        "answer to a view: alone": {"kind": "answer to a view", "given": {"view": view}},
        "answer to a view: with peers and holds": {
            "kind": "answer to a view",
            "given": {"view": view, "datagrams": datagrams, "held": ["s-a"]},
        },
    }


def distribution() -> dict[str, Plain]:
    """Polls, replies, and the settings and nodes that a front derives from entries."""
    poll = {"subscriber": "n1", "number": 7, "epoch": 3, "bytes": 262144}
    full_poll = poll | {"positions": [[24, None], [25, "settings/Limits"]], "with removals": True}
    entries = [
        ["settings", 3, 1, text('{"Lanes": [], "Siblings": 2}')],
        ["settings/Siblings", 3, 9, text("3")],
        ["settings/Limits", 3, 4, text('{"Cancel": true}')],
        ["settings/Gone", 3, 10, None],
        ["nodes/s-a", 3, 5, text('{"instanceId": "s-a", "lifecycle": "DRAINING"}')],
        ["nodes/s-b", 3, 6, text("{")],
        ["nodes/s-c", 3, 7, None],
    ]
    parts = [
        {"first": 20, "last": 24, "floor": 2, "changes": entries[4:5] + entries[6:]},
        {
            "first": 25,
            "last": 25,
            "floor": 1,
            "changes": [],
            "anew": True,
            "page": entries[:3],
            "page range": ["", "settings/Limits"],
        },
    ]
    reply = {"number": 7, "source": "source-1", "epoch": 3, "age": 0.25}
    given: dict[str, Plain] = {
        "distribution poll: every field": full_poll,
        "distribution poll: least": poll | {"positions": [None, None]},
        "distribution poll: foreign": full_poll | {"deployment": "other"},
        "distribution poll: another form": full_poll | {"form": 2},
        "distribution reply: every field": reply | {"refusal": "none", "parts": parts, "more": True},
        "distribution reply: least": reply,
        "distribution reply: foreign": reply | {"deployment": "other"},
        "distribution reply: another form": reply | {"form": 2},
    }
    for label in ("too many subscribers", "no whole copy", "newer epoch known", "newer changes known"):
        given[f"distribution reply: {label}"] = reply | {"refusal": label}
    out: dict[str, Plain] = {
        name: {"kind": name.partition(":")[0], "given": value} for name, value in given.items()
    }
    out["distribution poll: no mark"] = {"kind": "distribution poll", "bytes": text("abcdef")}
    out["distribution reply: corrupt"] = {"kind": "distribution reply", "bytes": {"hex": "c19900000000"}}
    out["distributed contents: over a base"] = {
        "kind": "distributed contents",
        "given": {"base": {"Old": 1}, "entries": entries},
    }
    out["distributed contents: parts alone"] = {
        "kind": "distributed contents",
        "given": {"base": {"Old": 1, "Limits": {}}, "entries": entries[1:]},
    }
    out["distributed contents: unreadable"] = {
        "kind": "distributed contents",
        "given": {"base": {}, "entries": [["settings/Limits", 3, 4, text("{")]]},
    }
    out["distributed contents: no object"] = {
        "kind": "distributed contents",
        "given": {"base": {}, "entries": [["settings", 3, 4, text("[]")]]},
    }
    out["first poll of a subscriber"] = {"kind": "first poll", "given": {"subscriber": "n1"}}
    return out


def poll_answers(full_poll: Plain, minimal_poll: Plain) -> dict[str, Plain]:
    """A relay's answers to recorded polls."""
    entries = [
        ["nodes/s-a", 3, 1, text("{}")],
        ["settings", 3, 2, text("{}")],
        ["settings/Limits", 3, 26, None],
        ["nodes/s-b", 3, 27, text("[]")],
    ]
    given = {"epoch": 3, "entries": entries}
    return {
        f"answer to a poll: {name}": {"kind": "answer to a poll", "given": given | changes}
        for name, changes in {
            "changes": {"poll": full_poll},
            "pages": {"poll": minimal_poll},
            "behind": {"poll": full_poll, "entries": entries[:1]},
            "older epoch": {"poll": full_poll, "epoch": 2},
        }.items()
    }


def streams() -> dict[str, Plain]:
    """Framed messages on a stream, and VRRP advertisements."""
    vrrp = {"router": 7, "priority": 200, "interval": 0.25}
    good = bytes.fromhex("3107c8010019e91e0a000001")
    out: dict[str, Plain] = {
        "framing: a message": {"kind": "framing", "given": {"message": text("hello"), "most": 5}},
        "framing: an empty message": {"kind": "framing", "given": {"message": text(""), "most": 5}},
        "framing: too long": {"kind": "framing", "given": {"message": text("hello"), "most": 4}},
    }
    for name, value in {
        "one address": vrrp | {"addresses": ["10.0.0.1"]},
        "several addresses": vrrp | {"addresses": ["10.0.0.1", "192.0.2.200"]},
        "IPv6": vrrp | {"addresses": ["2001:db8::1"], "interval": 40.95},
        "leaving": vrrp | {"priority": 0, "addresses": ["10.0.0.1"]},
    }.items():
        out[f"vrrp advertisement: {name}"] = {"kind": "vrrp advertisement", "given": value}
    for name, data in {
        "short": good[:8],
        "another version": b"\x21" + good[1:],
        "checksum": good[:-1] + b"\x02",
        "no address": bytes.fromhex("3107c800001906df00000000"),
    }.items():
        out[f"vrrp advertisement: {name}"] = {"kind": "vrrp advertisement", "bytes": pack(data)}
    return out


def sftp_packets() -> dict[str, Plain]:
    """SFTP packets of every type, and malformed ones."""
    attributes = {
        "size": 1 << 40,
        "owner": [1000, 1001],
        "permissions": 0o100644,
        "times": [1700000000, 1700000001],
        "extended": [[text("name@test"), {"hex": "00ff"}]],
    }
    empty, handle = text(""), {"hex": "00017f80"}
    names = [
        {"name": "ä.tif", "long": "-rw-r--r-- ä.tif", "attributes": attributes},
        {"name": "b", "long": "b", "attributes": {}},
    ]
    packets: dict[str, Plain] = {
        "INIT": {"extensions": empty},
        "INIT with extensions": {"extensions": {"hex": "0000000161000000023162"}},
        "VERSION": {"extensions": empty},
        "VERSION with extensions": {"extensions": {"hex": "0000000161000000023162"}},
        "OPEN": {"path": "/plats/ä.tif", "flags": 26, "attributes": attributes},
        "OPEN without attributes": {"path": "/plats/b", "flags": 1, "attributes": {}},
        "CLOSE": {"handle": handle},
        "READ": {"handle": handle, "offset": 1 << 33, "length": 32768},
        "WRITE": {"handle": handle, "offset": 1 << 33, "data": {"hex": "00ff80"}},
        "LSTAT": {"path": "/plats/b"},
        "FSTAT": {"handle": handle},
        "SETSTAT": {"path": "/plats/b", "attributes": {"permissions": 0o600}},
        "SETSTAT of a size": {"path": "/plats/b", "attributes": {"size": 5}},
        "SETSTAT of an owner": {"path": "/plats/b", "attributes": {"owner": [1, 2]}},
        "SETSTAT of times": {"path": "/plats/b", "attributes": {"times": [3, 4]}},
        "OPENDIR": {"path": "/plats"},
        "READDIR": {"handle": handle},
        "REMOVE": {"path": "/plats/b"},
        "MKDIR": {"path": "/plats/d", "attributes": attributes},
        "RMDIR": {"path": "/plats/d"},
        "REALPATH": {"path": "."},
        "STAT": {"path": "/plats/b"},
        "RENAME": {"path": "/plats/b", "target": "/plats/c"},
        "STATUS without a message": {"code": 0},
        "HANDLE": {"handle": handle},
        "DATA": {"data": {"hex": "00ff80"}},
        "NAME": {"names": names},
        "NAME of none": {"names": []},
        "ATTRS": {"attributes": attributes},
        "ATTRS of none": {"attributes": {}},
    }
    for code in range(9):
        packets[f"STATUS {code}"] = {"code": code, "message": f"word {code}", "language": "de"}
    out: dict[str, Plain] = {}
    for number, (name, fields) in enumerate(packets.items(), 3):
        given = {"type": name.partition(" ")[0], "id": number} | fields
        out[f"sftp packet: {name}"] = {"kind": "sftp packet", "given": given}
    for name, data in {
        "of an unknown type": bytes([200]) + u32(9) + b"rest",
        "cut": bytes([4]) + u32(9) + u32(5) + b"abc",
        "bytes behind": bytes([4]) + u32(9) + u32(1) + b"abc",
        "too many names": bytes([104]) + u32(9) + u32(1000),
        "without an id": b"\x04\x00",
    }.items():
        out[f"sftp packet: {name}"] = {"kind": "sftp packet", "bytes": pack(u32(len(data)) + data)}
    return out


def u32(value: int) -> bytes:
    """Return a number as four bytes in network byte order."""
    return struct.pack(">I", value)


def packet(kind: int, number: int, *fields: bytes | int) -> Plain:
    """Return an SFTP packet; byte strings are written with their length, numbers without."""
    body = b"".join(u32(one) if isinstance(one, int) else u32(len(one)) + one for one in fields)
    return pack(u32(5 + len(body)) + bytes([kind]) + u32(number) + body)


def sftp_sessions() -> dict[str, Plain]:
    """Whole SFTP sessions, with the packets of the client and the answers of the node."""
    init, version = packet(1, 3), packet(2, 3)

    def done(number: int) -> Plain:
        return packet(101, number, 0, b"ok", b"en")

    attributes: list[bytes | int] = [1, 0, 5]  # a size of 5
    read = {
        "client": [
            init,
            packet(3, 1, b"/plats/../plats/t1", 1, 0),
            packet(5, 2, b"1", 0, 2, 3),
            packet(8, 3, b"1"),
            packet(4, 4, b"1"),
        ],
        "fates": [["attempt"]] * 3,
        "node connections": [
            [
                version,
                packet(105, 1, *attributes),
                packet(102, 2, b"h"),
                packet(103, 3, b"abc"),
                done(4),
                packet(105, 5, *attributes),
            ]
        ],
    }
    write = {
        "client": [
            init,
            packet(3, 1, b"/plats/t1", 26, 4, 0o644),
            packet(6, 2, b"1", 0, 0, b"hello "),
            packet(6, 3, b"1", 0, 6, b"world"),
            packet(8, 4, b"1"),
            packet(4, 5, b"1"),
        ],
        "fates": [["attempt"]],
        "node connections": [[version, packet(102, 1, b"h"), done(2), done(3)]],
    }
    folder = {
        "client": [
            init,
            packet(11, 1, b"/"),
            packet(12, 2, b"1"),
            packet(12, 3, b"1"),
            packet(4, 4, b"1"),
            packet(11, 5, b"/plats"),
            packet(12, 6, b"2"),
            packet(12, 7, b"2"),
        ],
        "fates": [["attempt"]],
        "node connections": [
            [
                version,
                packet(102, 1, b"d"),
                packet(104, 2, 1, b"t1", b"t1 long", 0),
                packet(101, 3, 1, b"end", b"en"),
                done(4),
            ]
        ],
    }
    names: list[tuple[int, tuple[bytes | int, ...]]] = [
        (13, (b"/plats/t1",)),
        (14, (b"/plats/d", 4, 0o755)),
        (15, (b"/plats/d",)),
        (9, (b"/plats/t1", 4, 0o600)),
        (18, (b"/plats/t1", b"/plats/t2")),
    ]
    changes = {
        "client": [init, *[packet(kind, index, *fields) for index, (kind, fields) in enumerate(names, 1)]],
        "fates": [["attempt"]] * 5,
        "node connections": [[version, done(1)]] * 5,
    }
    local = {
        "client": [
            init,
            packet(16, 1, b"a/../b"),
            packet(17, 2, b"/"),
            packet(7, 3, b"/plats/t1"),
            packet(3, 4, b"/plats/t1", 3, 0),
            packet(17, 5, b"/elsewhere"),
            packet(5, 6, b"9", 0, 0, 1),
            packet(4, 7, b"9"),
            packet(200, 8, b"extended"),
            packet(18, 9, b"/plats/a", b"/elsewhere"),
            packet(17, 10, b"/plats/t1"),
            packet(13, 11, b"/plats/t1"),
            packet(17, 12, b"/plats/t1"),
            packet(4, 13, 70),
        ],
        "fates": [["attempt"], ["refuse", 1.5], ["fail"], ["fail"]],
        "node connections": [[version, packet(101, 1, 2, b"no such file", b"en")]],
    }
    first = {"client": [packet(17, 1, b"/")], "fates": [], "node connections": []}
    return {
        f"sftp session: {name}": {"kind": "sftp session", "given": given}
        for name, given in {
            "read": read,
            "write": write,
            "folder": folder,
            "changes": changes,
            "answers without a node and failures": local,
            "no INIT first": first,
        }.items()
    }


def client_requests() -> dict[str, Plain]:
    """Headers of clients' requests, valid and malformed."""
    read: Plain = {"method": "GET", "target": TARGET, "headers": READ}
    write = {"method": "PUT", "target": TARGET, "headers": changed(X_Qos="record-write")}
    given: dict[str, Plain] = {
        "a read": read,
        "a write": write | {"body": [text("scan "), {"hex": "00ff"}]},
        "a write with a key": write | {"headers": changed(X_Qos="keyed-write", Idempotency_Key="k-1")},
        "a key where none is wanted": read | {"headers": changed(Idempotency_Key="k-1")},
        "absolute form": read | {"target": f"http://front.test{TARGET}&x=1"},
        "a new object": read
        | {"headers": changed(X_IO="volume=ffffffffffffffff, units=6 ,shard=-1,hosts=3")},
        "a longer time than its class has": read | {"headers": changed(X_Expires_In_Ms="600000")},
        "no time": read | {"headers": changed(X_Expires_In_Ms="0")},
        "no trace": read | {"headers": changed(X_Trace_Id=None)},
        "long trace": read | {"headers": changed(X_Trace_Id="x" * 129)},
        "trace with a blank": read | {"headers": changed(X_Trace_Id="a b")},
        "trace twice": read | {"headers": [*READ, ["x-trace-id", "b"]]},
        "target with a blank": read | {"target": "/api?block=7f3a9c21e0b4d655 x"},
        "unknown class": read | {"headers": changed(X_Qos="odd")},
        "no class": read | {"headers": changed(X_Qos=None)},
        "unknown plan": read | {"headers": changed(X_Plan="odd")},
        "no block": read | {"target": "/api"},
        "two blocks": read | {"target": f"{TARGET}&block=0000000000000000"},
        "short block": read | {"target": "/api?block=7f"},
        "block of no digits": read | {"target": "/api?block=7f3a9c21e0b4d65z"},
        "field of X-IO twice": read | {"headers": changed(X_IO="units=1,units=1")},
        "no X-IO": read | {"headers": changed(X_IO=None)},
        "no units": read | {"headers": changed(X_IO="volume=00000003b4d60021,shard=0,hosts=1")},
        "too many units": read | {"headers": changed(X_IO="volume=00000003b4d60021,units=7,shard=0,hosts=1")},
        "unknown shard": read | {"headers": changed(X_IO="volume=00000003b4d60021,units=1,shard=9,hosts=1")},
        "no hosts": read | {"headers": changed(X_IO="volume=00000003b4d60021,units=1,shard=0,hosts=0")},
        "a sign in a number": read | {"headers": changed(X_Expires_In_Ms="+5")},
        "a negative time": read | {"headers": changed(X_Expires_In_Ms="-5")},
        "too long a time": read | {"headers": changed(X_Expires_In_Ms="600001")},
        "a read with a body": read | {"body": [text("x")]},
        "a read by PUT": read | {"method": "PUT"},
        "a write by GET": write | {"method": "GET"},
        "no key": write | {"headers": changed(X_Qos="keyed-write")},
        "two keys": write
        | {"headers": [*changed(X_Qos="keyed-write", Idempotency_Key="a"), ["Idempotency-Key", "b"]]},
        "long key": write | {"headers": changed(X_Qos="keyed-write", Idempotency_Key="k" * 257)},
    }
    return {
        f"understood request: {name}": {"kind": "understood request", "given": value}
        for name, value in given.items()
    }


def node_messages() -> dict[str, Plain]:
    """Requests to nodes, and nodes' answers."""
    read = {"trace": "t1", "method": "GET", "target": TARGET, "body": [], "seconds": 1.2349}
    write = read | {"method": "PUT", "body": [text("scan "), {"hex": "00ff"}]}
    node = {"node": ["192.0.2.9", 8080]}
    out: dict[str, Plain] = {}
    for name, value in {
        "a read": read | node,
        "a read of an IPv6 node": read | {"node": ["2001:db8::9", 8080]},
        "a write with a key": write | node | {"key": "k-1"},
        "a write": write | node,
        "a write without a body": write | node | {"body": []},
        "no time left": read | node | {"seconds": -0.5},
    }.items():
        out[f"request to a node: {name}"] = {"kind": "request to a node", "given": value}
    out["probe of a node: IPv4"] = {"kind": "probe of a node", "given": node}
    out["probe of a node: IPv6"] = {"kind": "probe of a node", "given": {"node": ["2001:db8::9", 8080]}}
    load = "Endpoint-Load-Metrics: TEXT cpu=0.25, named_metrics.util=0.75"
    chunked = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntile\r\n0\r\n\r\n"
    answers: dict[str, Plain] = {
        "with reports": [answer(200, "tile", "X-Served-Elsewhere: 12.5", load)],
        "without reports": [answer(200, "tile")],
        "odd reports": [answer(200, "", "X-Served-Elsewhere: -1", "Endpoint-Load-Metrics: util=much")],
        "load over one": [answer(200, "", "Endpoint-Load-Metrics: util = 1.5")],
        "load in the body": [answer(200, "cpu=0.125\n")],
        "in pieces": [text("HTTP/1.1 200 X\r\nContent-"), text("Length: 4\r\n\r\nti"), text("le")],
        "in chunks": [text(chunked)],
        "without a length": [answer(200, "tile", "Connection: close", length=False)],
        "that closes": [answer(200, "tile", "Connection: close")],
        "with early ones": [text("HTTP/1.1 103 X\r\n\r\n"), answer(200, "tile")],
        "with noise behind": [text("HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ntilenoise")],
        "that never ran, 503": [answer(503, "", "X-Never-Ran: 1")],
        "that never ran, 504": [answer(504, "", "X-Never-Ran: 1")],
        "that may have run": [answer(503)],
        "500 with the word": [answer(500, "", "X-Never-Ran: 1")],
        "error without a length": [answer(500, "", length=False)],
        "that is none": [text("SSH-2.0-x\r\n")],
        "no length": [answer(200, "", length=False)],
        "length too large": [text("HTTP/1.1 200 X\r\nContent-Length: 67108865\r\n\r\n")],
        "bad chunks": [text("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")],
        "head without end": [text("HTTP/1.1 200 X\r\nA: " + "x" * 16384)],
        "unfinished": [text("HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\ntile")],
        "long": [answer(200, "x" * 70000)],
        "long in pieces": [
            text("HTTP/1.1 200 X\r\nContent-Length: 65540\r\n\r\nab"),
            text("x" * 65530),
            text("endnoise"),
        ],
    }
    for name, pieces in answers.items():
        given = {"pieces": pieces, "closed": name == "without a length"}
        out[f"node answer: {name}"] = {"kind": "node answer", "given": given}
    for name, reply in {
        "report": answer(200, "cpu=0.125 util=0.5\n"),
        "no report": answer(404, "util=0.5"),
    }.items():
        out[f"probe exchange: {name}"] = {"kind": "probe exchange", "given": {"node answer": reply}}
    return out


def http_exchanges() -> dict[str, Plain]:
    """HTTP exchanges with clients over loopback."""
    read, slow = http("GET", TARGET, READ), changed(X_Expires_In_Ms="20000")
    put = http("PUT", TARGET, changed(X_Qos="record-write"), "scan")
    continued = [*changed(X_Qos="record-write"), ["Expect", "100-continue"]]
    chunks = http("PUT", TARGET, [*changed(X_Qos="record-write"), ["Transfer-Encoding", "chunked"]])
    chunks = text(chunks["text"] + "2\r\nsc\r\n2\r\nan\r\n0\r\n\r\n")
    long = http("PUT", TARGET, [*changed(X_Qos="record-write"), ["Content-Length", "99999999"]])
    close = http("GET", TARGET, [*READ, ["Connection", "close"]])
    attempt: Plain = {"fates": [["attempt"]]}
    tile = {"node answers": [answer(200, "tile", "X-Node: s-a")]}
    chunked = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + "y" * 70000 + "\r\n"
    parts = [text(chunked), text("3\r\nend\r\n0\r\n\r\n")]
    given: dict[str, Plain] = {
        "served read": attempt | tile | {"requests": [http("GET", TARGET, slow)]},
        "served write": attempt | tile | {"requests": [put]},
        "served write in chunks": attempt | tile | {"requests": [chunks]},
        "served write after 100 Continue": attempt
        | tile
        | {"requests": [http("PUT", TARGET, continued, "scan")]},
        "served write with a key": attempt
        | tile
        | {"requests": [http("PUT", TARGET, changed(X_Qos="keyed-write", Idempotency_Key="k"), "scan")]},
        "served read of HTTP/1.0": attempt | tile | {"requests": [http("GET", TARGET, READ, version="1.0")]},
        "served read, Connection: close": attempt | tile | {"requests": [close]},
        "long answer": attempt | {"requests": [read], "node answers": [answer(200, "x" * 70000)]},
        "long answer in chunks": attempt | {"requests": [read], "node answers": [parts]},
        "node's error": attempt | {"requests": [read], "node answers": [answer(500, "secret")]},
        "refusal": {"fates": [["refuse", 0.0]], "requests": [read]},
        "refusal with Retry-After": {"fates": [["refuse", 1.23456]], "requests": [read]},
        "failure": {"fates": [["fail"]], "requests": [read]},
        "same trace again": {"fates": [["fail"]], "requests": [read, read]},
        "up while ready": {"requests": [http("GET", "/up", []), http("HEAD", "/up", [])]},
        "up while not ready": {"ready": False, "requests": [http("GET", "/up", [])]},
        "while draining": attempt | tile | {"draining": True, "requests": [http("GET", "/up", []), read]},
        "other paths and methods": {
            "requests": [
                http("GET", "/", []),
                http("GET", "/ready", []),
                http("POST", TARGET, READ),
                http("DELETE", TARGET, READ),
            ]
        },
        "bad fields": {
            "requests": [
                http("GET", TARGET, changed(X_Qos="odd")),
                http("GET", TARGET, changed(X_Trace_Id=None)),
                http("GET", TARGET, READ, "body"),
                http("PUT", TARGET, changed(X_Qos="keyed-write"), "scan"),
            ]
        },
        "body too long": {"requests": [long]},
        "unknown expectation": {"requests": [http("GET", TARGET, [*READ, ["Expect", "miracles"]])]},
        "unreadable messages": {
            "requests": [
                text("nonsense\r\n\r\n"),
                http("GET", TARGET, [["X-Long", "x" * 5000]]),
                http("GET", TARGET, [["A B", "x"]]),
            ]
        },
        "two requests at once": {"requests": [text(read["text"] * 2)]},
    }
    return {
        f"http exchange: {name}": {"kind": "http exchange", "given": value} for name, value in given.items()
    }


def discovery() -> dict[str, Plain]:
    """Node lists, and the calls of a watch."""
    node = {
        "instanceId": "s-a",
        "hostPort": "192.0.2.9:8080",
        "zone": "basement",
        "cell": 3,
        "lifecycle": "SERVING",
        "startedAtMs": 1700000000250,
    }
    minimal_node = {"instanceId": "s-b", "hostPort": "[2001:db8::9]:8080", "lifecycle": "DRAINING"}
    removed_node = node | {"instanceId": "s-c", "lifecycle": "DELETED", "cell": 0, "startedAtMs": 12.5}
    complete_list = {"generation": 7, "reset": True, "instances": [node, minimal_node, removed_node]}
    lists: dict[str, Any] = {
        "whole": complete_list,
        "changes": {"generation": 8, "instances": [removed_node], "extra": 1},
        "empty": {"generation": 0, "reset": False, "instances": []},
        "no object": [],
        "no generation": {"instances": []},
        "generation of a wrong type": {"generation": True, "instances": []},
        "no instances": {"generation": 1},
        "instance of a wrong type": {"generation": 1, "instances": [5]},
        "no id": {"generation": 1, "instances": [node | {"instanceId": ""}]},
        "unknown lifecycle": {"generation": 1, "instances": [node | {"lifecycle": "ODD"}]},
        "cell of a wrong type": {"generation": 1, "instances": [node | {"cell": "1"}]},
        "start of a wrong type": {"generation": 1, "instances": [node | {"startedAtMs": "1"}]},
        "bad address": {"generation": 1, "instances": [node | {"hostPort": "here"}]},
    }
    out: dict[str, Plain] = {
        f"node list: {name}": {"kind": "node list", "bytes": text(json.dumps(value))}
        for name, value in lists.items()
    }
    listed = answer(200, json.dumps(complete_list))
    first, second = json.dumps(lists["changes"]), json.dumps(complete_list | {"generation": 9})
    lines = f"{first}\n", "\n", f"{second}\n"
    chunks = "".join(f"{len(one):x}\r\n{one}\r\n" for one in lines)
    watched = text("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)
    calls = {"list": listed, "watch": watched, "calls": 2, "events": 3}
    out["discovery exchange: a shared service"] = {
        "kind": "discovery exchange",
        "given": calls | {"own agent": False},
    }
    out["discovery exchange: an agent of its own"] = {
        "kind": "discovery exchange",
        "given": calls | {"own agent": True},
    }
    out["discovery exchange: with an old list"] = {
        "kind": "discovery exchange",
        "given": {"watch": watched, "calls": 1, "events": 2, "own agent": False, "known version": 6},
    }
    return out


def administration(datagrams: list[Plain]) -> dict[str, Plain]:
    """Calls to the control listener and the metrics listener."""
    commands = [
        "ready",
        "show-stat",
        "disable-server s-a",
        "disable-server s-zz",
        "disable-server",
        "disable-server a b",
        "enable-server s-a",
        "enable-server s-zz",
        "enable-server",
        "drain",
        "resume",
        "show-fleet",
        "show-replica",
        "show-recovery",
        "show-config",
        "show-config now",
        "show-fleet now",
        "show-stat now",
        "ready now",
        "drain now",
        "reboot",
        "",
        " ready ",
    ]
    calls = [text(f"{one}\n") for one in commands]
    invalid_lines = [text("ready\r\n"), pack(b"\xff\xfe\n"), text("x" * 513), text("x" * 511 + "\n")]
    status_calls = [text("show-recovery\n"), text("show-fleet\n"), text("show-replica\n")]
    peers: Plain = {"fleet": True, "datagrams": datagrams, "held": ["s-a", "s-b"]}
    metrics = [http("GET", "/metrics", []), http("POST", "/metrics", []), http("GET", "/", [])]
    return {
        "control calls: with a fleet": {
            "kind": "control calls",
            "given": peers | {"stage": "end", "calls": calls},
        },
        "control calls: without a fleet": {
            "kind": "control calls",
            "given": {"fleet": False, "stage": "end", "calls": calls},
        },
        "control calls: not ready": {
            "kind": "control calls",
            "given": {"fleet": False, "ready": False, "stage": "end", "calls": calls[:1]},
        },
        "control calls: odd lines": {
            "kind": "control calls",
            "given": {"fleet": False, "stage": "end", "calls": invalid_lines},
        },
        "control calls: begin of a start": {
            "kind": "control calls",
            "given": {"fleet": True, "stage": "begin", "calls": status_calls},
        },
        "control calls: amid a start": {
            "kind": "control calls",
            "given": {"fleet": True, "stage": "amid", "calls": status_calls[:1]},
        },
        "metrics: with distributed configuration": {
            "kind": "metrics",
            "given": {"gauges": True, "calls": metrics},
        },
        "metrics: without": {"kind": "metrics", "given": {"gauges": False, "calls": metrics[:1]}},
    }


def simulator() -> dict[str, Plain]:
    """Events and actions of the simulator's protocol, and a short session."""
    steps: dict[str, Plain] = {
        "send": {"request": "r1", "node": 5},
        "refuse": {"request": "r1", "seconds": 1.5},
        "fail": {"request": "r1"},
        "cancel": {"request": "r1", "attempt": 2},
        "timer": {"seconds": 0.25, "token": 7},
        "watch": {},
    }
    request = {
        "type": "REQ",
        "Head": 0,
        "Req": "r1",
        "Contract": 2,
        "Profile": 1,
        "Item": 9,
        "Placement": 3,
        "StoreUser": 4,
        "DeadlineS": 9.0,
        "NHosts": 5,
        "CostUnits": 2,
    }
    ended = {"type": "FINISHED", "Req": "r1", "Shot": 2, "Shelf": 5, "SpentS": 0.5}
    ends = [
        "completed",
        "errored",
        "saturated",
        "overdue",
        "refused_conn",
        "severed",
        "recalled",
        "superseded",
    ]
    events: dict[str, Plain] = {
        "request": request,
        "request without optional fields": {
            name: one for name, one in request.items() if name not in ("Item", "NHosts", "CostUnits")
        },
        "timer": {"type": "BELL", "Ref": 7},
        "client left": {"type": "ABORTED", "Req": "r1"},
        "unknown": {"type": "ODD"},
    }
    for label in ends:
        events[f"end, {label}"] = ended | {"Disposition": label, "Settled": True, "OthersGot": 2.5}
    events["end without optional fields"] = ended | {"Disposition": "completed"}
    for mode in ("incr", "total", "warm_copy", "lost"):
        events[f"nodes, {mode}"] = {"type": "ROSTER_CHANGE", "Slot": 0, "Revision": 1, "Mode": mode}
    out: dict[str, Plain] = {}
    for name, fields in steps.items():
        given = {"step": name, "instance": 3} | fields
        out[f"simulator step: {name}"] = {"kind": "simulator step", "given": given}
    for name, event in events.items():
        out[f"simulator event: {name}"] = {"kind": "simulator event", "bytes": text(json.dumps(event))}
    facts = {
        "Areas": ["basement"],
        "Contracts": [
            {"Name": "public", "BaseRate": 8.0, "FloorRate": 4.0, "Proportion": 1.0, "WorthFactor": 1.0}
        ],
        "Lanes": [{"Name": "tile-read", "AimS": 0.5, "GiveUpS": 1.5, "Repeat": "repeatable", "Worth": 3.0}],
        "PolicyLimits": {"Cancel": True, "SendCap": 4, "DialTimeoutS": 0.25, "IdleCloseS": 30.0},
        "Siblings": 1,
    }
    node = {"Shelf": 1, "Pack": 0, "Area": 0, "StageState": "live"}
    batches: list[list[Plain]] = [
        [
            {"type": "CATALOG", "Slot": 0, "Elements": [node]},
            {"type": "BORN", "Head": 0, "RngSeed": 1, "Facts": facts},
            {"type": "ROSTER_CHANGE", "Head": 0, "Slot": 0, "Revision": 1, "Mode": "total"},
        ],
        [request | {"Contract": 0, "Profile": 0, "Placement": 0, "NHosts": 1}],
        [ended | {"Head": 0, "Shot": 0, "Shelf": 1, "Disposition": "completed", "Settled": True}],
        [{"type": "SHUTDOWN", "Head": 0}],
    ]
    lines: list[Plain] = [
        {"TsS": 5.0 + index, "round": index, "news": one} for index, one in enumerate(batches)
    ]
    for name, value in {"whole": lines, "malformed": [*lines[:1], {"round": 1}]}.items():
        out[f"simulator session: {name}"] = {"kind": "simulator session", "given": {"lines": value}}
    return out
