"""The division of a front's memory."""

from __future__ import annotations

import pytest

from cleatyoke.limits.memory_budget import (
    MAX_UNSTREAMED_BYTES,
    MAX_UPLOAD_BYTES,
    MEBIBYTE,
    MemoryBudget,
)
from cleatyoke.limits.socket_budget import SocketBudget

DESCRIPTORS = (256, 512, 1024)


@pytest.mark.parametrize("descriptors", DESCRIPTORS)
@pytest.mark.parametrize("with_files", [False, True])
@pytest.mark.parametrize("memory_mb", [32, 33, 36, 40, 48, 64, 82, 96, 128, 192])
def test_sum_of_shares_is_within_the_limit(memory_mb: int, with_files: bool, descriptors: int) -> None:
    """What all clients together can make a front hold is bounded by its memory limit."""
    sockets = SocketBudget.divide(descriptors, with_files)
    memory = MemoryBudget.divide(memory_mb, sockets.clients, sockets.file_sessions, 26 * MEBIBYTE)
    assert memory.total_bytes() <= memory_mb * MEBIBYTE
    assert memory.max_upload + memory.upload_headroom <= memory.long_bodies
    assert memory.max_upload >= MAX_UNSTREAMED_BYTES
    assert memory.open_requests <= memory.clients <= sockets.clients
    assert (memory.file_sessions > 0) == with_files


@pytest.mark.parametrize("descriptors", DESCRIPTORS)
@pytest.mark.parametrize("memory_mb", [96, 128, 192])
def test_longest_upload_is_accepted_with_96_megabytes(memory_mb: int, descriptors: int) -> None:
    sockets = SocketBudget.divide(descriptors, with_file_service=False)
    assert MemoryBudget.divide(memory_mb, sockets.clients, 0).max_upload == MAX_UPLOAD_BYTES


def test_process_that_takes_nearly_all_leaves_the_least_shares() -> None:
    memory = MemoryBudget.divide(32, 484, 0, 29 * MEBIBYTE)
    assert memory.total_bytes() <= 32 * MEBIBYTE
    assert (memory.clients, memory.open_requests) >= (64, 16)
    assert MemoryBudget.divide(32, 484, 0, 40 * MEBIBYTE).total_bytes() > 32 * MEBIBYTE
