"""Idempotency keys on the wire: a key is forwarded unchanged, and nothing is forwarded without a good one."""

from __future__ import annotations

from structlog.testing import capture_logs

from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope
from tests.driven_front import class_spec
from tests.http_case import FrontCase
from tests.scripted_peers import answer


class IdempotencyKeyTest(FrontCase):
    async def begin_keyed(self, fails: int = 0) -> None:
        self.tried = 0

        async def script(_trace: str) -> bytes | None:
            self.tried += 1
            return None if self.tried <= fails else answer()

        await self.start_front(script)
        keyed = class_spec(
            idempotency=Idempotency.KEYED,
            idempotency_scope=IdempotencyScope.SHARD,
            idempotency_window=2.5,
            priority_weight=2.0,
        )
        for settings in (self.front.config.settings, self.core.scheduler.settings):
            settings.classes[1] = keyed

    async def test_the_key_is_forwarded_unchanged_with_every_attempt(self) -> None:
        await self.begin_keyed(fails=1)
        status, _ = await self.send_request("t1", "PUT", b"scan", Idempotency_Key='visit/7,"a";=~')
        assert status == 200
        assert len(self.backend.heads) == 2  # within its window a keyed write may go again
        for head in self.backend.heads:
            assert head.count('\r\nIdempotency-Key: visit/7,"a";=~\r\n') == 1, head

    async def test_a_key_is_forwarded_for_a_class_that_needs_none(self) -> None:
        await self.begin_keyed()
        assert (await self.send_request("t1", Idempotency_Key="k" * 256))[0] == 200
        assert (await self.send_request("t2"))[0] == 200
        assert f"\r\nIdempotency-Key: {'k' * 256}\r\n" in self.backend.heads[0]
        assert "Idempotency-Key" not in self.backend.heads[1]

    async def test_a_request_without_a_good_key_is_an_error_before_any_attempt(self) -> None:
        """Two keys, or one with a blank, could be read differently by a node: no attempt is made."""
        await self.begin_keyed()
        bad = {
            "missing": [],
            "empty": [b""],
            "long": [b"k" * 257],
            "twice": [b"a", b"a"],
            "blank": [b"a b"],
            "foreign": [b"caf\xc3\xa9"],
        }
        for name, keys in bad.items():
            line = b"".join(b"Idempotency-Key: %s\r\n" % key for key in keys)
            head = self.request_head(name, "Content-Length: 4", method="PUT")[:-2]
            head = head.replace(b"tile-read", b"record-write")
            with self.subTest(name), capture_logs() as logs:
                reader, writer = await self.connect(head, line, b"\r\nscan")
                assert b" 400 " in await reader.readline()
                writer.close()
                assert [one["event"] for one in logs] == ["key_refused"]
        assert self.backend.heads == []
