"""Discovery's lists as typed values, and how they are read from a connection.

A short list is decoded in one go. A longer one is decoded in parts, between which the event loop goes on; it
is taken or refused as a whole all the same.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
from collections.abc import AsyncIterator, Iterator
from typing import Any

from aiohttp import StreamReader

from cleatyoke.config.addresses import read_address
from cleatyoke.config.errors import ConfigError
from cleatyoke.discovery.directory import EndpointList, Instance
from cleatyoke.http.messages import MessageError
from cleatyoke.scheduling.events import EndpointState, decode_shard

MOST_LIST = 16 * 1024 * 1024  # bytes of a list: 25,000 nodes at four times what one takes on the wire
AT_ONCE = 500  # nodes of a list that are decoded or applied in one turn of the event loop
LONG = 128 * 1024  # bytes: a shorter text holds some 900 nodes, which are decoded in 5 ms
STATES = {
    "SERVING": EndpointState.LIVE,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}


class ListTooLongError(ValueError):
    """A list of more than ``MOST_LIST`` bytes, which is not read to its end."""

    def __init__(self) -> None:
        super().__init__(f"a list of more than {MOST_LIST} bytes")


@contextlib.contextmanager
def collection_put_off() -> Iterator[None]:
    """No garbage collection meanwhile, and what is there afterwards is passed over by later ones: at 25,000
    nodes one collection stood for 50 ms. What is frozen is freed by its reference count as ever.
    """
    was_on = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        if was_on:
            gc.enable()


async def read_body(content: StreamReader) -> bytes:
    """A list that is a whole body. Raises ``ListTooLong``."""
    body = bytearray()
    async for chunk in content.iter_any():
        body += chunk
        if len(body) > MOST_LIST:
            raise ListTooLongError
    return bytes(body)


async def read_lines(content: StreamReader) -> AsyncIterator[bytes]:
    """The lines of a watch as they come, the last one also where it has no end. Raises ``ListTooLong``."""
    line = bytearray()
    async for chunk in content.iter_any():
        for piece in chunk.splitlines(keepends=True):  # of bytes: LF, CR and CRLF end a line
            line += piece
            if len(line) > MOST_LIST:
                raise ListTooLongError
            if piece.endswith(b"\n"):
                yield bytes(line)
                line.clear()
    if line:
        yield bytes(line)


async def decode_long_listing(text: bytes) -> EndpointList:
    """As ``decode_listing``, but the event loop goes on between parts of the text."""
    import msgspec  # only for lists longer than the platform's: it takes time to import

    try:
        fields = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        await asyncio.sleep(0)
        entries = msgspec.json.decode(fields.pop("instances", b"null"), type=list[msgspec.Raw])
        value: dict[str, Any] = {name: msgspec.json.decode(raw) for name, raw in fields.items()}
        version, whole = read_head({**value, "instances": []})
        instances: list[Instance] = []
        entries.reverse()
        while entries:  # given back in parts too, as to free them all takes long
            part, entries[-AT_ONCE:] = entries[: -AT_ONCE - 1 : -1], []
            instances += [read_instance(msgspec.json.decode(raw)) for raw in part]
            await asyncio.sleep(0)
    except msgspec.MsgspecError as error:
        raise MessageError(str(error)) from error
    return EndpointList(version, whole, instances)


def decode_listing(text: str | bytes) -> EndpointList:
    try:
        return read_listing(json.loads(text))
    except ValueError as error:
        raise MessageError(str(error)) from error


def read_listing(value: Any) -> EndpointList:
    version, whole = read_head(value)
    return EndpointList(version, whole, [read_instance(entry) for entry in value["instances"]])


def read_head(value: Any) -> tuple[int, bool]:
    """The version, and whether the list is a whole one."""
    if not isinstance(value, dict):
        msg = "want an object"
        raise MessageError(msg)
    version, entries = value.get("generation"), value.get("instances")
    if not isinstance(version, int) or isinstance(version, bool):
        msg = f"generation: want a whole number, found {version!r}"
        raise MessageError(msg)
    if not isinstance(entries, list):
        msg = "instances: want a list"
        raise MessageError(msg)
    return version, value.get("reset") is True


def read_instance(entry: Any) -> Instance:
    if not isinstance(entry, dict):
        msg = "instances: want objects"
        raise MessageError(msg)
    name, state, cell = entry.get("instanceId"), entry.get("lifecycle"), entry.get("cell")
    started = entry.get("startedAtMs") or 0
    if not isinstance(name, str) or not name:
        msg = f"instanceId: want a text, found {name!r}"
        raise MessageError(msg)
    if state not in STATES:
        msg = f"lifecycle: unknown state {state!r}"
        raise MessageError(msg)
    if cell is not None and (isinstance(cell, bool) or not isinstance(cell, int)):
        msg = f"cell: want a whole number, found {cell!r}"
        raise MessageError(msg)
    if isinstance(started, bool) or not isinstance(started, int | float):
        msg = f"startedAtMs: want a number, found {started!r}"
        raise MessageError(msg)
    try:
        address = read_address(str(entry.get("hostPort")), "hostPort")
    except ConfigError as error:
        raise MessageError(str(error)) from error
    shard = None if cell is None else decode_shard(cell)
    return Instance(name, address, str(entry.get("zone")), shard, STATES[state], started / 1000)
