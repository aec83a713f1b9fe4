"""Reads endpoint lists from the discovery service's HTTP responses and decodes them.

The JSON keys are those of the platform's discovery protocol. A short list is decoded at once. A long one is
decoded in parts, between which the event loop runs, but is still accepted or rejected as a whole.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
from collections.abc import AsyncIterator, Iterator
from typing import Any, NamedTuple

from aiohttp import StreamReader

from cleatyoke.config.addresses import read_address
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.table import is_finite_number
from cleatyoke.discovery.directory import EndpointList, Instance
from cleatyoke.discovery.errors import InvalidListError, ListTooLongError
from cleatyoke.scheduling.events import EndpointState, decode_shard

MAX_LIST_BYTES = 16 * 1024 * 1024  # 25,000 nodes, at four times the usual size of an entry
MAX_NODES_PER_TURN = 500  # nodes that are decoded or applied in one event loop iteration
LONG_LIST_BYTES = 128 * 1024  # a shorter list has at most some 900 nodes, which are decoded in 5 ms
STATES = {  # by the value of "lifecycle"
    "SERVING": EndpointState.LIVE,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}


class ListHeader(NamedTuple):
    """The fields of a list other than its nodes."""

    version: int
    is_complete: bool


@contextlib.contextmanager
def garbage_collection_paused() -> Iterator[None]:
    """Pause garbage collection, then exclude all objects that exist at the end from later collections.

    Otherwise, with 25,000 nodes, one collection blocks the event loop for 50 ms. Excluded ("frozen") objects
    are still freed by reference counting.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        if was_enabled:
            gc.enable()


async def read_body(content: StreamReader) -> bytes:
    """Read a list that is a whole response body. Raises ``ListTooLongError``."""
    body = bytearray()
    async for chunk in content.iter_any():
        body += chunk
        if len(body) > MAX_LIST_BYTES:
            raise ListTooLongError(MAX_LIST_BYTES)
    return bytes(body)


async def read_lines(content: StreamReader) -> AsyncIterator[bytes]:
    """Yield the lines of a watch as they arrive, including an unterminated last one.

    Raises ``ListTooLongError``.
    """
    line = bytearray()
    async for chunk in content.iter_any():
        for piece in chunk.splitlines(keepends=True):  # splits bytes at LF, CR and CRLF
            line += piece
            if len(line) > MAX_LIST_BYTES:
                raise ListTooLongError(MAX_LIST_BYTES)
            if piece.endswith(b"\n"):
                yield bytes(line)
                line.clear()
    if line:
        yield bytes(line)


async def decode_long_endpoint_list(text: bytes) -> EndpointList:
    """Decode a list as ``decode_endpoint_list`` does, in parts between which the event loop runs."""
    import msgspec  # slow to import, and needed only for lists longer than the platform's usual ones

    try:
        fields = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        await asyncio.sleep(0)
        entries = msgspec.json.decode(fields.pop("instances", b"null"), type=list[msgspec.Raw])
        value: dict[str, Any] = {name: msgspec.json.decode(raw) for name, raw in fields.items()}
        header = _read_header({**value, "instances": []})
        instances: list[Instance] = []
        entries.reverse()
        while entries:  # freed in parts too, as freeing all at once would block the event loop
            part = entries[: -MAX_NODES_PER_TURN - 1 : -1]
            entries[-MAX_NODES_PER_TURN:] = []
            instances += [read_instance(msgspec.json.decode(raw)) for raw in part]
            await asyncio.sleep(0)
    except msgspec.MsgspecError as error:
        raise InvalidListError(str(error)) from error
    return EndpointList(header.version, header.is_complete, instances)


def decode_endpoint_list(text: str | bytes) -> EndpointList:
    """Decode a list from JSON. Raises ``InvalidListError``, whose message begins with the invalid key."""
    try:
        return read_endpoint_list(json.loads(text))
    except ValueError as error:
        raise InvalidListError(str(error)) from error


def read_endpoint_list(value: Any) -> EndpointList:
    """Convert a decoded JSON value to a list. Raises the same errors as ``decode_endpoint_list``."""
    header = _read_header(value)
    instances = [read_instance(entry) for entry in value["instances"]]
    return EndpointList(header.version, header.is_complete, instances)


def _read_header(value: Any) -> ListHeader:
    if not isinstance(value, dict):
        msg = "want an object"
        raise InvalidListError(msg)
    version, entries = value.get("generation"), value.get("instances")
    if not isinstance(version, int) or isinstance(version, bool):
        msg = f"generation: want a whole number, found {version!r}"
        raise InvalidListError(msg)
    if not isinstance(entries, list):
        msg = "instances: want a list"
        raise InvalidListError(msg)
    return ListHeader(version, value.get("reset") is True)


def read_instance(entry: Any) -> Instance:
    """Convert one decoded entry of a list to a node.

    Raises ``InvalidListError``, whose message begins with the invalid key.
    """
    if not isinstance(entry, dict):
        msg = "instances: want objects"
        raise InvalidListError(msg)
    name, state, shard_number = entry.get("instanceId"), entry.get("lifecycle"), entry.get("cell")
    started = entry.get("startedAtMs") or 0
    if not isinstance(name, str) or not name:
        msg = f"instanceId: want a text, found {name!r}"
        raise InvalidListError(msg)
    if state not in STATES:
        msg = f"lifecycle: unknown state {state!r}"
        raise InvalidListError(msg)
    if shard_number is not None and (isinstance(shard_number, bool) or not isinstance(shard_number, int)):
        msg = f"cell: want a whole number, found {shard_number!r}"
        raise InvalidListError(msg)
    if not is_finite_number(started):
        msg = f"startedAtMs: want a number, found {started!r}"
        raise InvalidListError(msg)
    try:
        address = read_address(str(entry.get("hostPort")), "hostPort")
    except ConfigError as error:
        raise InvalidListError(str(error)) from error
    shard = None if shard_number is None else decode_shard(shard_number)
    return Instance(name, address, str(entry.get("zone")), shard, STATES[state], started / 1000)
