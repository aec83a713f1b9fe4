"""Answers whose length is not told, at the end of their clients' time: long ones and such that never end.

Each test is played with memory to buffer a short answer, and without, where answers are forwarded from their
first byte.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from cleatyoke.limits.memory_budget import KIBIBYTE
from tests.scripted_peers import answer
from tests.slow_response_case import (
    CHUNKED,
    GRACE,
    LAST_CHUNK,
    Part,
    ReceivedAnswer,
    SlowResponseCase,
    chunk,
    in_both_framings,
    play,
    with_length,
)

NEVER = 9.0  # seconds
TOLERANCE = 0.05  # seconds that the protocol page adds to each time limit
PLAYS_AT_ONCE = 4  # each with a front of its own in this process
NO_MEMORY = 72 * KIBIBYTE  # bytes for answers, of which half is left free: no short answer can be buffered


class Stage(SlowResponseCase):
    """A front with a backend of its own, which plays one form."""

    async def play(
        self, form: str, parts: list[Part], wait: float, *, buffers: bool, is_busy: bool
    ) -> ReceivedAnswer:
        """Read the form, beside usual requests if ``is_busy``; ``buffers``: there is memory for it."""

        async def script(trace: str) -> AsyncIterator[bytes]:
            return play(parts if trace == form else [answer()])

        await self.start_front(script)
        if not buffers:
            self.front.answers.total = NO_MEMORY
        usual = asyncio.create_task(self.send_usual_requests()) if is_busy else None
        try:
            return await self.read_answer(form, wait)
        finally:
            if usual:
                assert not usual.done()
                usual.cancel()
                await asyncio.gather(usual, return_exceptions=True)
            await self.stop_front()


@dataclass(frozen=True)
class Played:
    """One play of a form, for the messages of assertions."""

    form: str
    wait: float
    buffers: bool
    attempts: int
    got: ReceivedAnswer


async def play_all(
    forms: dict[str, list[Part]], waits: tuple[float, ...], *, is_busy: bool = True
) -> list[Played]:
    """Play each form with each wait, with memory to buffer it and without, some at once."""
    turn = asyncio.Semaphore(PLAYS_AT_ONCE)

    async def play_one(form: str, wait: float, *, buffers: bool) -> Played:
        stage = Stage()
        async with turn:
            got = await stage.play(form, forms[form], wait, buffers=buffers, is_busy=is_busy)
        return Played(form, wait, buffers, stage.backend.counts[form], got)

    plays = [
        play_one(form, wait, buffers=buffers) for form in forms for wait in waits for buffers in (True, False)
    ]
    return await asyncio.gather(*plays)


class UnknownLengthCase(SlowResponseCase):
    async def expect_whole(
        self, parts: dict[str, list[float | int]], *waits: float, is_busy: bool = True
    ) -> None:
        """Expect each long answer whole, from one attempt, and begun in time."""
        for played in await play_all(forms_of(parts), waits, is_busy=is_busy):
            size = sum(part for part in parts[played.form.rpartition("-")[0]] if isinstance(part, int))
            got = played.got
            assert (got.status, got.size, got.is_whole) == (b"200", size, True), played
            assert got.begun < played.wait + TOLERANCE, played
            assert played.attempts == 1, played

    async def expect_end_in_time(
        self, forms: dict[str, list[Part]], *waits: float, is_busy: bool = True
    ) -> None:
        """Expect a whole error, or an answer whose client can tell that it is not whole, in time."""
        for played in await play_all(forms, waits, is_busy=is_busy):
            assert played.got.is_whole == (played.got.status != b"200"), played
            assert played.got.ended < played.wait + GRACE + TOLERANCE, played


def forms_of(parts: dict[str, list[float | int]]) -> dict[str, list[Part]]:
    """Return each form in both framings, named by both."""
    return {
        f"{form}-{framing}": played
        for form, lumps in parts.items()
        for framing, played in in_both_framings(lumps).items()
    }


class LongAnswerTests(UnknownLengthCase):
    async def test_long_answer_that_pauses_at_the_end_of_its_time_is_not_given_up(self) -> None:
        # A sound stream was closed for a retry or at the end of its time (issue 59).
        lumps: dict[str, list[float | int]] = {
            "lumps-56k": [56_000, 0.58, 56_000, 0.58, 45_000],
            "lumps-45k-late": [0.25, 45_000, 0.5, 45_000, 0.5, 60_000],
            "lumps-20k": [20_000, *[0.45, 20_000] * 5],
            "lumps-8k": [8_000, *[0.2, 8_000] * 11],
            "steady": [*[0.02, 1_500] * 90],
        }
        await self.expect_whole(lumps, 0.4, 0.72, 0.9)

    async def test_long_answer_that_begins_with_little_is_awaited_beyond_its_time(self) -> None:
        little: dict[str, list[float | int]] = {
            "first-2k": [2_000, 0.75, 150_000],
            "first-300b": [300, 0.75, 150_000],
            "head-first": [0.45, 150_000],
        }
        await self.expect_whole(little, 0.4, 0.7)

    async def test_long_answer_of_a_backend_that_hangs_for_a_moment_is_served_whole(self) -> None:
        # Nothing else is answered by this backend meanwhile.
        await self.expect_whole({"hang": [30_000, 1.2, 90_000]}, 0.4, is_busy=False)

    async def test_long_answer_that_pauses_for_long_after_a_steady_start_is_served_whole(self) -> None:
        await self.expect_whole({"steady-then-3s": [*[0.05, 6_000] * 6, 3.0, 120_000]}, 0.4)

    async def test_long_answer_that_begins_with_little_and_then_pauses_for_1_s_is_served_whole(self) -> None:
        await self.expect_whole({"first-2k": [2_000, 1.0, 150_000]}, 0.4)

    async def test_long_answer_is_forwarded_in_a_shutdown_that_lasts_beyond_its_time(self) -> None:
        forms = forms_of({"lumps-56k": [56_000, 0.58, 56_000, 0.3, 45_000]})
        await self.start_playing(lambda trace, _: forms[trace])
        answers = [asyncio.create_task(self.read_answer(form)) for form in forms]
        await asyncio.sleep(0.1)
        self.front.begin_shutdown(3.0)
        for got in await asyncio.gather(*answers):
            assert (got.status, got.size, got.is_whole) == (b"200", 157_000, True), got


class EndlessAnswerTests(UnknownLengthCase):
    async def test_answer_that_stops_for_good_ends_half_a_second_after_its_time(self) -> None:
        endless: dict[str, list[float | int]] = {
            "300b": [300, NEVER, 1],
            "2k": [2_000, NEVER, 1],
            "20k": [20_000, NEVER, 1],
            "56k": [56_000, NEVER, 1],
            "steady-36k": [*[0.05, 6_000] * 6, NEVER, 1],
            "head-only": [NEVER, 1],
        }
        await self.expect_end_in_time(forms_of(endless), 0.4, 0.9)

    async def test_short_answer_that_trickles_ends_half_a_second_after_its_time(self) -> None:
        # Each byte began a new wait of 0.4 s where no memory was left to buffer it.
        trickle: list[Part] = [0.1, bytes(100)] * 90
        forms = forms_of({"trickle": [*[0.1, 100] * 90]}) | {"length": [with_length(9_000), *trickle]}
        await self.expect_end_in_time(forms, 0.4)

    async def test_small_answer_on_a_quiet_backend_ends_half_a_second_after_its_time(self) -> None:
        endless: dict[str, list[float | int]] = {"300b": [300, NEVER, 1], "4k": [4_000, NEVER, 1]}
        await self.expect_end_in_time(forms_of(endless), 0.4, is_busy=False)

    async def test_answer_on_a_quiet_backend_that_stops_for_good_ends_in_time(self) -> None:
        endless: dict[str, list[float | int]] = {"30k": [30_000, NEVER, 1]}
        await self.expect_end_in_time(forms_of(endless), 0.4, is_busy=False)

    async def test_short_answer_of_nearly_64_kib_that_makes_progress_ends_in_time(self) -> None:
        # Nothing tells it from a long one that is written as steadily.
        for played in await play_all(forms_of({"60k": [*[0.12, 6_000] * 10]}), (0.4,)):
            assert played.got.ended < played.wait + GRACE + TOLERANCE, played

    async def test_slow_answer_to_an_upload_ends_half_a_second_after_its_time(self) -> None:
        # The answer came seconds late, as each of its lumps began a new wait (issue 59).
        upload = bytes(200_000)
        for response in ([with_length(6_000), *[0.3, bytes(1_000)] * 6], [CHUNKED, *[0.3, chunk(1_000)] * 9]):
            for buffers in (True, False):
                await self.start_playing(lambda _trace, _, parts=response: [0.2, *parts, 0.3, LAST_CHUNK])
                if not buffers:
                    self.front.answers.total = NO_MEMORY
                head = self.request_head("t", f"Content-Length: {len(upload)}", method="PUT")
                head = head.replace(b"tile-read", b"record-write").replace(b"1500", b"400")
                got = await self.receive_answer(head, upload)
                assert got.ended < 0.4 + GRACE + TOLERANCE, (buffers, got)
                await self.stop_front()
