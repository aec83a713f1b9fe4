"""Ids of requests that were sent before, in one process and in the two of an upgrade."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from cleatyoke.http.trace_ids import ID_RETENTION, UNSENT_ID_RETENTION, TraceIds

TABLE_BYTES = 16 * 1024


def test_sent_id_is_known_to_the_other_process_of_an_upgrade() -> None:
    # An id that came again at the new process ran a second time (issue 50, picture d).
    with tempfile.TemporaryDirectory() as name:
        old = TraceIds(TABLE_BYTES, Path(name))
        assert old.add("before", 1.0)
        old.mark_sent("before", 1.0)
        new = TraceIds(2 * TABLE_BYTES, Path(name))  # its memory limit may be divided differently
        assert not new.add("before", 2.0)
        assert new.add("after", 2.0)
        new.mark_sent("after", 2.0)
        assert not old.add("after", 3.0)
        assert old.add("other", 3.0)


@given(st.lists(st.tuples(st.text("abcdefgh", min_size=1, max_size=3), st.booleans()), max_size=60))
def test_no_id_is_accepted_twice_once_it_was_sent(requests: list[tuple[str, bool]]) -> None:
    ids, sent = TraceIds(TABLE_BYTES), set()
    for position, (trace_id, is_sent) in enumerate(requests):
        now = position * (UNSENT_ID_RETENTION + 0.1)
        assert ids.add(trace_id, now) == (trace_id not in sent)
        if trace_id in sent:
            continue
        if is_sent:
            ids.mark_sent(trace_id, now)
            sent.add(trace_id)
        ids.release(trace_id, now)


def test_unsent_id_counts_for_a_moment_and_gives_way_to_sent_ones() -> None:
    ids = TraceIds(1)  # one bucket of 8
    assert ids.add("unsent", 1.0)
    ids.release("unsent", 1.0)
    assert not ids.add("unsent", 2.0)
    for number in range(8):
        assert ids.add(f"t{number}", 2.0)
        ids.mark_sent(f"t{number}", 2.0)
        ids.release(f"t{number}", 2.0)
    assert ids.add("unsent", 2.5)
    ids.release("unsent", 2.5)
    assert not any(ids.add(f"t{number}", 3.0) for number in range(8))


def test_ids_are_bounded_in_number_and_the_newest_are_known() -> None:
    ids = TraceIds(TABLE_BYTES)
    for number in range(5000):
        assert ids.add(f"t{number}", number / 1000)
        ids.mark_sent(f"t{number}", number / 1000)
        ids.release(f"t{number}", number / 1000)
    assert not ids.open
    assert not any(ids.add(f"t{number}", 5.0) for number in range(4900, 5000))
    assert ids.add("t4999", 5.0 + ID_RETENTION)


def test_failing_disk_leaves_each_process_its_own_ids() -> None:
    with tempfile.TemporaryDirectory() as name:
        ids = TraceIds(TABLE_BYTES, Path(name))
        with mock.patch.object(os, "pwrite", side_effect=OSError(28, "No space left on device")):
            assert ids.add("t", 1.0)
            ids.mark_sent("t", 1.0)
            assert TraceIds(TABLE_BYTES, Path(name)).add("u", 1.0)
        with mock.patch.object(os, "pread", side_effect=OSError(5, "Input/output error")):
            assert not ids.add("t", 2.0)
            assert ids.add("v", 2.0)
        assert not ids.add("t", 3.0)
    assert TraceIds(TABLE_BYTES, Path(name) / "missing").add("t", 1.0)
