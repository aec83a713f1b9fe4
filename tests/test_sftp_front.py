"""The file front with scripted backends that count how often each write is executed."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from typing import Any

from cleatyoke.config.addresses import Address
from cleatyoke.config.fronts_file import SftpSettings, VolumePath
from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.limits.memory_pool import MemoryPool
from cleatyoke.scheduling.events import EndpointState
from cleatyoke.scheduling.settings import VolumePlan
from cleatyoke.sftp import codec
from cleatyoke.sftp import packets as p
from cleatyoke.sftp.backends import SftpBackends
from cleatyoke.sftp.server import SftpServer
from tests.driven_front import plan_spec
from tests.scripted_peers import ScriptedFileBackend, instance, listed, two_classes

NO_ATTRS = p.Attrs()
CREATE_FLAGS = p.OpenFlags.WRITE | p.OpenFlags.CREAT | p.OpenFlags.TRUNC
PUBLIC_PLAN = plan_spec(base_rate=80.0, reserved_rate=80.0)


class EndlessListing(ScriptedFileBackend):
    """Its listings have no end, and long names."""

    def look_up(self, packet: Any, handles: Any) -> p.Packet:
        if isinstance(packet, p.Opendir):
            return p.Handle(packet.id, b"d")
        if isinstance(packet, p.Readdir):
            return p.Names(packet.id, [p.Name("n" * 30_000, "l" * 30_000, NO_ATTRS)])
        return super().look_up(packet, handles)


class Client:
    """An SFTP client that sends one command at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.last_request_id = reader, writer, 0

    async def request(self, packet: p.Packet) -> Any:
        self.last_request_id += 1
        self.writer.write(codec.encode(replace(packet, id=self.last_request_id)))
        reply = codec.decode(await codec.read_packet(self.reader))
        assert reply.id == self.last_request_id, reply
        return reply

    async def upload(self, path: str, content: bytes) -> p.Status:
        """Upload a file and return the status of CLOSE."""
        handle = (await self.request(p.Open(0, path, CREATE_FLAGS, NO_ATTRS))).handle
        for start in range(0, len(content), 32768):
            await self.request(p.Write(0, handle, start, content[start : start + 32768]))
        return await self.request(p.Close(0, handle))

    async def list_directory(self, path: str) -> list[str] | p.Status:
        opened = await self.request(p.Opendir(0, path))
        if isinstance(opened, p.Status):
            return opened
        names = []
        while isinstance(reply := await self.request(p.Readdir(0, opened.handle)), p.Names):
            names += [name.filename for name in reply.names]
        await self.request(p.Close(0, opened.handle))
        return names


class SftpFrontTests(unittest.IsolatedAsyncioTestCase):
    async def start_front(
        self,
        *backends: ScriptedFileBackend,
        plan: VolumePlan = PUBLIC_PLAN,
        memory: int = 32 << 20,
        **changes: Any,
    ) -> Client:
        self.core, self.directory = Core(two_classes(plans=[plan])), Directory({})
        settings = SftpSettings(
            Address("127.0.0.1", 0), [VolumePath("/plats", 7, 0, 0, 1)], 0, 1, 0, 65536, 8192, 4, 5.0, 1.0
        )
        self.pool = SftpBackends(self.directory, 0, 0.25, 30.0, 32)
        self.server = SftpServer(replace(settings, **changes), self.core, self.pool, 32, MemoryPool(memory))
        await self.server.open()
        self.backends = [await backend.start() for backend in backends]
        if backends:
            self.core.notify(listed(self.directory, instance("s-0", backends[0].port), whole=True))
        self.clients: list[Client] = []
        self.addAsyncCleanup(self.stop_front)
        client = await self.connect()
        client.writer.write(codec.encode(p.Init(p.VERSION)))
        assert codec.decode(await codec.read_packet(client.reader)) == p.Version(p.VERSION)
        return client

    async def connect(self) -> Client:
        assert self.server.listener
        port = self.server.listener.sockets[0].getsockname()[1]
        self.clients.append(Client(*await asyncio.open_connection("127.0.0.1", port)))
        return self.clients[-1]

    async def stop_front(self) -> None:
        for client in self.clients:
            client.writer.close()
        await self.server.close(1.0)
        self.pool.close()
        for backend in self.backends:
            backend.stop()

    def assert_failed(self, status: Any, code: p.StatusCode, message_part: str) -> None:
        assert isinstance(status, p.Status)
        assert status.code == code, status
        assert message_part in status.message

    async def test_uploaded_file_is_stored_once_and_can_be_read_listed_and_renamed(self) -> None:
        client = await self.start_front(backend := ScriptedFileBackend())
        content = bytes(range(256)) * 200
        assert (await client.upload("/plats/t1", content)).code == p.StatusCode.SSH_FX_OK
        assert (backend.files["/plats/t1"], backend.stored["/plats/t1"]) == (content, 1)
        assert backend.commands == ["Open", "Write", "Write", "Close"]
        handle = (await client.request(p.Open(0, "/plats/../plats/t1", p.OpenFlags.READ, NO_ATTRS))).handle
        assert (await client.request(p.Read(0, handle, 250, 10))).data == content[250:260]
        assert (await client.request(p.Fstat(0, handle))).attrs.size == len(content)
        assert await client.list_directory("/plats") == ["/plats/t1"]
        renamed = await client.request(p.Rename(0, "/plats/t1", "/plats/t2"))
        assert renamed.code == p.StatusCode.SSH_FX_OK
        assert await client.list_directory("/") == ["plats"]
        assert (await client.request(p.Stat(0, "/"))).attrs.permissions == 16877
        self.assert_failed(
            await client.request(p.Rename(0, "/plats/t1", "/else")),
            p.StatusCode.SSH_FX_NO_SUCH_FILE,
            "volume",
        )
        missing = await client.request(p.Open(0, "/plats/none", p.OpenFlags.READ, NO_ATTRS))
        self.assert_failed(missing, p.StatusCode.SSH_FX_NO_SUCH_FILE, "no such file")

    async def test_upload_that_may_have_been_stored_is_not_retried(self) -> None:
        """A backend stores an upload, and the connection breaks before its reply.

        A retry could store it twice, so the client gets an error saying that the change may have been made.
        """
        client = await self.start_front(backend := ScriptedFileBackend(breaks=True))
        status = await client.upload("/plats/t1", b"scan")
        self.assert_failed(status, p.StatusCode.SSH_FX_FAILURE, "the change may have been made")
        assert (backend.stored["/plats/t1"], backend.commands.count("Open"), backend.accepted) == (1, 1, 1)

    async def test_idle_connection_to_draining_backend_is_not_reused(self) -> None:
        """A backend starts to drain while an idle connection to it is kept.

        The next command must go to another backend.
        """
        old, new = ScriptedFileBackend(), ScriptedFileBackend()
        client = await self.start_front(old, new)
        old.files["/plats/t1"] = new.files["/plats/t1"] = b"scan"
        assert await client.list_directory("/plats") == ["/plats/t1"]
        commands_before_drain = list(old.commands)
        self.core.notify(
            listed(
                self.directory,
                instance("s-0", old.port, EndpointState.DRAINING),
                instance("s-1", new.port),
            )
        )
        assert await client.list_directory("/plats") == ["/plats/t1"]
        assert (old.commands, new.commands) == (commands_before_drain, commands_before_drain)

    async def test_backend_that_starts_draining_during_connect_receives_no_command(self) -> None:
        """A backend starts to drain while versions are exchanged on a new connection.

        Its state must be checked again directly before the command's first byte.
        """
        client = await self.start_front(backend := ScriptedFileBackend())
        original_reply = backend.reply

        def reply(packet: p.Packet, handles: Any) -> p.Packet | None:
            if isinstance(packet, p.Init):
                event = listed(self.directory, instance("s-0", backend.port, EndpointState.DRAINING))
                self.core.notify(event)
            return original_reply(packet, handles)

        backend.reply = reply  # type: ignore[method-assign]
        self.assert_failed(await client.upload("/plats/t1", b"scan"), p.StatusCode.SSH_FX_FAILURE, "refused")
        assert backend.commands == []

    async def test_command_without_backend_is_rejected_as_not_executed(self) -> None:
        client = await self.start_front()
        self.assert_failed(
            await client.upload("/plats/t1", b"scan"), p.StatusCode.SSH_FX_FAILURE, "nothing was done"
        )

    async def test_silent_backend_is_abandoned_at_deadline(self) -> None:
        """A backend accepts an upload and never replies.

        By the deadline, the client gets an error saying that the change may have been made.
        """
        client = await self.start_front(backend := ScriptedFileBackend(silent=True), command_timeout=0.3)
        started_at = self.core.now()
        status = await client.upload("/plats/t1", b"scan")
        self.assert_failed(status, p.StatusCode.SSH_FX_FAILURE, "the change may have been made")
        assert self.core.now() - started_at < 2.0
        assert backend.commands == ["Open"]

    async def test_uploads_beyond_rate_limit_of_plan_are_rejected(self) -> None:
        # The token bucket is empty at startup, so that the first upload is rejected.
        plan = replace(PUBLIC_PLAN, rate_limit=0.01, rate_limit_burst=8.0)
        client = await self.start_front(backend := ScriptedFileBackend(), plan=plan, command_timeout=0.4)
        self.assert_failed(await client.upload("/plats/t1", b"scan"), p.StatusCode.SSH_FX_FAILURE, "refused")
        self.core.scheduler.volumes[7].rate_limit.level = 2.0
        codes = [(await client.upload(f"/plats/u{n}", b"scan")).code for n in range(4)]
        assert (codes.count(p.StatusCode.SSH_FX_OK), sum(backend.stored.values())) == (2, 2)

    async def test_upload_beyond_size_limit_is_not_stored_partially(self) -> None:
        """A client writes more than the maximum upload size.

        The write is rejected, and CLOSE must not store the data that was written before it.
        """
        client = await self.start_front(backend := ScriptedFileBackend())
        status = await client.upload("/plats/t1", bytes(65537))
        self.assert_failed(status, p.StatusCode.SSH_FX_FAILURE, "not stored")
        assert backend.accepted == 0

    async def test_listing_without_end_takes_no_more_than_the_memory_of_the_file_service(self) -> None:
        """A backend's listing does not end, and its names are long.

        With a limit on the number of names alone, a few such listings exhaust the memory of the front.
        """
        client = await self.start_front(backend := EndlessListing(), memory=2 << 20)
        async with asyncio.timeout(5):
            self.assert_failed(
                await client.list_directory("/plats"), p.StatusCode.SSH_FX_FAILURE, "nothing was done"
            )
        assert backend.commands.count("Readdir") <= 4 * (2 << 20) // 60_000 + 4  # in four attempts
        assert self.server.memory.used == 0

    async def test_uploads_beyond_memory_of_file_service_are_rejected_and_free_it(self) -> None:
        """The open uploads of all sessions exceed the memory that these may hold.

        The WRITE that finds none is rejected, and so is its CLOSE; the others are stored.
        """
        client = await self.start_front(backend := ScriptedFileBackend(), memory=100_000)
        handles = [
            (await client.request(p.Open(0, f"/plats/t{number}", CREATE_FLAGS, NO_ATTRS))).handle
            for number in range(4)
        ]
        written = [await client.request(p.Write(0, handle, 0, bytes(32_000))) for handle in handles]
        assert [status.code == p.StatusCode.SSH_FX_OK for status in written] == [True] * 3 + [False]
        self.assert_failed(
            await client.request(p.Close(0, handles[3])), p.StatusCode.SSH_FX_FAILURE, "not stored"
        )
        assert (await client.request(p.Close(0, handles[0]))).code == p.StatusCode.SSH_FX_OK
        assert backend.stored == {"/plats/t0": 1}
        client.writer.close()
        async with asyncio.timeout(5):
            while self.server.sessions:
                await asyncio.sleep(0.01)
        assert self.server.memory.used == 0

    async def test_malformed_packets_and_unknown_handles_and_commands_get_distinct_errors(self) -> None:
        """Clients send unknown handles, unsupported commands, truncated packets and garbage.

        Each gets its own error; only a malformed stream ends the session.
        """
        client = await self.start_front(ScriptedFileBackend())
        self.assert_failed(
            await client.request(p.Close(0, b"99")), p.StatusCode.SSH_FX_FAILURE, "unknown handle"
        )
        self.assert_failed(
            await client.request(p.Read(0, b"99", 0, 1)), p.StatusCode.SSH_FX_FAILURE, "unknown handle"
        )
        both = p.Open(0, "/plats/a", p.OpenFlags.READ | p.OpenFlags.WRITE, NO_ATTRS)
        self.assert_failed(await client.request(both), p.StatusCode.SSH_FX_OP_UNSUPPORTED, "not both")
        for number in range(4):
            await client.request(p.Open(0, f"/plats/{number}", CREATE_FLAGS, NO_ATTRS))
        self.assert_failed(
            await client.request(p.Open(0, "/plats/a", CREATE_FLAGS, NO_ATTRS)),
            p.StatusCode.SSH_FX_FAILURE,
            "too many",
        )
        # SSH_FXP_EXTENDED, which is unsupported.
        client.writer.write(codec.encode_u32(9) + bytes([200]) + codec.encode_u32(77) + codec.encode_u32(0))
        reply = codec.decode(await codec.read_packet(client.reader))
        assert (reply.id, reply.code) == (77, p.StatusCode.SSH_FX_OP_UNSUPPORTED)  # type: ignore
        # SSH_FXP_STAT with a path that extends beyond the packet.
        client.writer.write(codec.encode_u32(9) + bytes([17]) + codec.encode_u32(78) + codec.encode_u32(500))
        reply = codec.decode(await codec.read_packet(client.reader))
        assert (reply.id, reply.code) == (78, p.StatusCode.SSH_FX_BAD_MESSAGE)  # type: ignore
        # An invalid length, after which the packet boundaries are lost.
        client.writer.write(codec.encode_u32(1 << 30))
        assert await client.reader.read() == b""
        other = await self.connect()
        other.writer.write(codec.encode(p.Stat(5, "/plats")))
        reply = codec.decode(await codec.read_packet(other.reader))
        self.assert_failed(reply, p.StatusCode.SSH_FX_BAD_MESSAGE, "INIT comes first")
        assert await other.reader.read() == b""

    async def test_client_disconnect_cancels_its_command(self) -> None:
        """A client disconnects while a backend runs its command.

        The command must be cancelled, and its connection, request and session closed.
        """
        client = await self.start_front(backend := ScriptedFileBackend(silent=True))
        client.writer.write(codec.encode(p.Stat(1, "/plats/t1")))
        async with asyncio.timeout(5):
            while not backend.commands:
                await asyncio.sleep(0.005)
            client.writer.close()
            while backend.open or self.core.pending or self.server.sessions:
                await asyncio.sleep(0.005)
