"""Idempotency keys over HTTP: forwarded unchanged, and requests without a required valid key are refused."""

from __future__ import annotations

from structlog.testing import capture_logs

from cleatyoke.scheduling.settings import Idempotency, IdempotencyScope
from tests.driven_front import class_spec
from tests.http_case import FrontCase
from tests.scripted_peers import answer


class IdempotencyKeyTest(FrontCase):
    async def start_with_keyed_class(self, failures: int = 0) -> None:
        self.attempts_seen = 0

        async def script(_trace: str) -> bytes | None:
            self.attempts_seen += 1
            return None if self.attempts_seen <= failures else answer()

        await self.start_front(script)
        keyed = class_spec(
            idempotency=Idempotency.KEYED,
            idempotency_scope=IdempotencyScope.SHARD,
            idempotency_window=2.5,
            priority_weight=2.0,
        )
        for settings in (self.front.config.settings, self.core.scheduler.settings):
            settings.classes[1] = keyed

    async def test_key_is_forwarded_unchanged_with_every_attempt(self) -> None:
        await self.start_with_keyed_class(failures=1)
        status, _ = await self.send_request("t1", "PUT", b"scan", Idempotency_Key='visit/7,"a";=~')
        assert status == 200
        assert len(self.backend.heads) == 2  # within its window a keyed write may be retried
        for head in self.backend.heads:
            assert head.count('\r\nIdempotency-Key: visit/7,"a";=~\r\n') == 1, head

    async def test_key_is_forwarded_for_a_class_that_needs_none(self) -> None:
        await self.start_with_keyed_class()
        assert (await self.send_request("t1", Idempotency_Key="k" * 256))[0] == 200
        assert (await self.send_request("t2"))[0] == 200
        assert f"\r\nIdempotency-Key: {'k' * 256}\r\n" in self.backend.heads[0]
        assert "Idempotency-Key" not in self.backend.heads[1]

    async def test_request_without_a_valid_key_is_refused_before_any_attempt(self) -> None:
        """No attempt is made: nodes could interpret two keys, or a key with a blank, differently."""
        await self.start_with_keyed_class()
        invalid = {
            "missing": [],
            "empty": [b""],
            "long": [b"k" * 257],
            "twice": [b"a", b"a"],
            "blank": [b"a b"],
            "foreign": [b"caf\xc3\xa9"],
        }
        for name, keys in invalid.items():
            line = b"".join(b"Idempotency-Key: %s\r\n" % key for key in keys)
            head = self.request_head(name, "Content-Length: 4", method="PUT")[:-2]
            head = head.replace(b"tile-read", b"record-write")
            with self.subTest(name), capture_logs() as logs:
                reader, writer = await self.connect(head, line, b"\r\nscan")
                assert b" 400 " in await reader.readline()
                writer.close()
                assert [entry["event"] for entry in logs] == ["key_refused"]
        assert self.backend.heads == []
