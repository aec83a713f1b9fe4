"""The file front against scripted backends that count the executions of each write."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from typing import Any

from cleatyoke.config.addresses import Address
from cleatyoke.config.fronts_file import SftpSettings, VolumePath
from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.scheduling.events import EndpointState
from cleatyoke.scheduling.settings import VolumePlan
from cleatyoke.sftp import codec
from cleatyoke.sftp import packets as p
from cleatyoke.sftp.backends import SftpBackends
from cleatyoke.sftp.server import SftpServer
from tests.driven_front import plan_spec
from tests.scripted_peers import ScriptedFileBackend, instance, listed, two_classes

NONE = p.Attrs()
STORE = p.OpenFlags.WRITE | p.OpenFlags.CREAT | p.OpenFlags.TRUNC
PUBLIC = plan_spec(base_rate=80.0, reserved_rate=80.0)


class Client:
    """A client of the draft: one command at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.last = reader, writer, 0

    async def ask(self, packet: p.Packet) -> Any:
        self.last += 1
        self.writer.write(codec.encode(replace(packet, id=self.last)))
        reply = codec.decode(await codec.read_packet(self.reader))
        assert reply.id == self.last, reply
        return reply

    async def put(self, path: str, content: bytes) -> p.Status:
        """An upload; the status that decides: of CLOSE, or of the WRITE that was rejected."""
        handle = (await self.ask(p.Open(0, path, STORE, NONE))).handle
        for start in range(0, len(content), 32768):
            await self.ask(p.Write(0, handle, start, content[start : start + 32768]))
        return await self.ask(p.Close(0, handle))

    async def list(self, path: str) -> list[str] | p.Status:
        opened = await self.ask(p.Opendir(0, path))
        if isinstance(opened, p.Status):
            return opened
        names = []
        while isinstance(found := await self.ask(p.Readdir(0, opened.handle)), p.Names):
            names += [name.filename for name in found.names]
        await self.ask(p.Close(0, opened.handle))
        return names


class SftpFrontTests(unittest.IsolatedAsyncioTestCase):
    async def begin(self, *boxes: ScriptedFileBackend, plan: VolumePlan = PUBLIC, **changes: Any) -> Client:
        self.core, self.directory = Core(two_classes(plans=[plan])), Directory({})
        front = SftpSettings(
            Address("127.0.0.1", 0), [VolumePath("/plats", 7, 0, 0, 1)], 0, 1, 0, 65536, 8192, 4, 5.0, 1.0
        )
        self.files = SftpBackends(self.directory, 0, 0.25, 30.0, 32)
        self.front = SftpServer(replace(front, **changes), self.core, self.files, 32)
        await self.front.open()
        self.boxes = [await box.start() for box in boxes]
        if boxes:
            self.core.notify(listed(self.directory, instance("s-0", boxes[0].port), whole=True))
        self.clients: list[Client] = []
        self.addAsyncCleanup(self.end)
        client = await self.connect()
        client.writer.write(codec.encode(p.Init(p.VERSION)))
        assert codec.decode(await codec.read_packet(client.reader)) == p.Version(p.VERSION)
        return client

    async def connect(self) -> Client:
        assert self.front.listener
        port = self.front.listener.sockets[0].getsockname()[1]
        self.clients.append(Client(*await asyncio.open_connection("127.0.0.1", port)))
        return self.clients[-1]

    async def end(self) -> None:
        for client in self.clients:
            client.writer.close()
        await self.front.close(1.0)
        self.files.close()
        for box in self.boxes:
            box.stop()

    def failed(self, status: Any, code: p.StatusCode, said: str) -> None:
        assert isinstance(status, p.Status)
        assert status.code == code, status
        assert said in status.message

    async def test_an_upload_is_stored_once_and_read_and_listed_and_renamed(self) -> None:
        client = await self.begin(box := ScriptedFileBackend())
        scan = bytes(range(256)) * 200
        assert (await client.put("/plats/t1", scan)).code == p.StatusCode.SSH_FX_OK
        assert (box.files["/plats/t1"], box.stored["/plats/t1"]) == (scan, 1)
        assert box.commands == ["Open", "Write", "Write", "Close"]
        handle = (await client.ask(p.Open(0, "/plats/../plats/t1", p.OpenFlags.READ, NONE))).handle
        assert (await client.ask(p.Read(0, handle, 250, 10))).data == scan[250:260]
        assert (await client.ask(p.Fstat(0, handle))).attrs.size == len(scan)
        assert await client.list("/plats") == ["/plats/t1"]
        renamed = await client.ask(p.Rename(0, "/plats/t1", "/plats/t2"))
        assert renamed.code == p.StatusCode.SSH_FX_OK
        assert await client.list("/") == ["plats"]
        assert (await client.ask(p.Stat(0, "/"))).attrs.permissions == 16877
        self.failed(
            await client.ask(p.Rename(0, "/plats/t1", "/else")), p.StatusCode.SSH_FX_NO_SUCH_FILE, "volume"
        )
        missing = await client.ask(p.Open(0, "/plats/none", p.OpenFlags.READ, NONE))
        self.failed(missing, p.StatusCode.SSH_FX_NO_SUCH_FILE, "no such file")

    async def test_an_upload_that_may_have_been_stored_is_never_retried(self) -> None:
        """A backend stores an upload, and the connection breaks before its answer.

        A retry could store it twice, so the client is told that the change may have been made.
        """
        client = await self.begin(box := ScriptedFileBackend(breaks=True))
        status = await client.put("/plats/t1", b"scan")
        self.failed(status, p.StatusCode.SSH_FX_FAILURE, "the change may have been made")
        assert (box.stored["/plats/t1"], box.commands.count("Open"), box.accepted) == (1, 1, 1)

    async def test_a_listing_after_a_drain_does_not_reach_the_draining_backend(self) -> None:
        """A backend drains while a connection to it is kept idle.

        The connection must not be used again.
        """
        old, new = ScriptedFileBackend(), ScriptedFileBackend()
        client = await self.begin(old, new)
        old.files["/plats/t1"] = new.files["/plats/t1"] = b"scan"
        assert await client.list("/plats") == ["/plats/t1"]
        before = list(old.commands)
        self.core.notify(
            listed(
                self.directory,
                instance("s-0", old.port, EndpointState.DRAINING),
                instance("s-1", new.port),
            )
        )
        assert await client.list("/plats") == ["/plats/t1"]
        assert (old.commands, new.commands) == (before, before)

    async def test_a_backend_that_drains_while_the_connection_comes_up_is_sent_no_command(self) -> None:
        """A backend begins to drain while versions are exchanged on a new connection.

        Whether it serves is asked again directly before the command's first byte.
        """
        client = await self.begin(box := ScriptedFileBackend())
        real = box.reply

        def reply(packet: p.Packet, handles: Any) -> p.Packet | None:
            if isinstance(packet, p.Init):
                event = listed(self.directory, instance("s-0", box.port, EndpointState.DRAINING))
                self.core.notify(event)
            return real(packet, handles)

        box.reply = reply  # type: ignore[method-assign]
        self.failed(await client.put("/plats/t1", b"scan"), p.StatusCode.SSH_FX_FAILURE, "refused")
        assert box.commands == []

    async def test_without_a_backend_a_command_is_rejected_and_nothing_was_done(self) -> None:
        client = await self.begin()
        self.failed(await client.put("/plats/t1", b"scan"), p.StatusCode.SSH_FX_FAILURE, "nothing was done")

    async def test_a_silent_backend_is_given_up_by_the_deadline(self) -> None:
        """A backend takes an upload and never answers.

        The client is answered by the deadline, and told that the change may have been made.
        """
        client = await self.begin(box := ScriptedFileBackend(silent=True), command_timeout=0.3)
        began = self.core.now()
        status = await client.put("/plats/t1", b"scan")
        self.failed(status, p.StatusCode.SSH_FX_FAILURE, "the change may have been made")
        assert self.core.now() - began < 2.0
        assert box.commands == ["Open"]

    async def test_uploads_beyond_the_plans_rate_limit_are_rejected(self) -> None:
        plan = replace(
            PUBLIC, rate_limit=0.01, rate_limit_burst=8.0
        )  # a host that starts has none of it to spare
        client = await self.begin(box := ScriptedFileBackend(), plan=plan, command_timeout=0.4)
        self.failed(await client.put("/plats/t1", b"scan"), p.StatusCode.SSH_FX_FAILURE, "refused")
        self.core.scheduler.volumes[7].rate_limit.level = 2.0
        codes = [(await client.put(f"/plats/u{n}", b"scan")).code for n in range(4)]
        assert (codes.count(p.StatusCode.SSH_FX_OK), sum(box.stored.values())) == (2, 2)

    async def test_an_upload_beyond_the_bound_is_not_stored_in_part(self) -> None:
        """A client writes more than an upload may hold.

        The write is rejected, and CLOSE must not store the part that came before it.
        """
        client = await self.begin(box := ScriptedFileBackend())
        status = await client.put("/plats/t1", bytes(65537))
        self.failed(status, p.StatusCode.SSH_FX_FAILURE, "not stored")
        assert box.accepted == 0

    async def test_malformed_packets_unknown_handles_and_commands_are_told_apart(self) -> None:
        """Clients send unknown handles, unsupported commands, cut-off packets and garbage.

        Each gets its own error; only a stream that can't be understood ends the session.
        """
        client = await self.begin(ScriptedFileBackend())
        self.failed(await client.ask(p.Close(0, b"99")), p.StatusCode.SSH_FX_FAILURE, "unknown handle")
        self.failed(await client.ask(p.Read(0, b"99", 0, 1)), p.StatusCode.SSH_FX_FAILURE, "unknown handle")
        both = p.Open(0, "/plats/a", p.OpenFlags.READ | p.OpenFlags.WRITE, NONE)
        self.failed(await client.ask(both), p.StatusCode.SSH_FX_OP_UNSUPPORTED, "not both")
        for number in range(4):
            await client.ask(p.Open(0, f"/plats/{number}", STORE, NONE))
        self.failed(
            await client.ask(p.Open(0, "/plats/a", STORE, NONE)), p.StatusCode.SSH_FX_FAILURE, "too many"
        )
        client.writer.write(
            codec.encode_u32(9) + bytes([200]) + codec.encode_u32(77) + codec.encode_u32(0)
        )  # SSH_FXP_EXTENDED
        reply = codec.decode(await codec.read_packet(client.reader))
        assert (reply.id, reply.code) == (77, p.StatusCode.SSH_FX_OP_UNSUPPORTED)  # type: ignore
        client.writer.write(
            codec.encode_u32(9) + bytes([17]) + codec.encode_u32(78) + codec.encode_u32(500)
        )  # a path beyond the packet
        reply = codec.decode(await codec.read_packet(client.reader))
        assert (reply.id, reply.code) == (78, p.StatusCode.SSH_FX_BAD_MESSAGE)  # type: ignore
        client.writer.write(codec.encode_u32(1 << 30))  # a length that no packet has: the stream is lost
        assert await client.reader.read() == b""
        other = await self.connect()
        other.writer.write(codec.encode(p.Stat(5, "/plats")))
        reply = codec.decode(await codec.read_packet(other.reader))
        self.failed(reply, p.StatusCode.SSH_FX_BAD_MESSAGE, "INIT comes first")
        assert await other.reader.read() == b""

    async def test_a_client_that_disconnects_cancels_its_command(self) -> None:
        """A client closes while a backend works on its command.

        The command is cancelled, and nothing of it stays open.
        """
        client = await self.begin(box := ScriptedFileBackend(silent=True))
        client.writer.write(codec.encode(p.Stat(1, "/plats/t1")))
        async with asyncio.timeout(5):
            while not box.commands:
                await asyncio.sleep(0.005)
            client.writer.close()
            while box.open or self.core.pending or self.front.sessions:
                await asyncio.sleep(0.005)
