"""The division of a front's memory."""

from __future__ import annotations

import pytest

from cleatyoke.config.socket_budget import SocketBudget
from cleatyoke.limits import memory_budget
from cleatyoke.limits.memory_budget import MAX_UPLOAD_BYTES, MEBIBYTE, MemoryBudget

DESCRIPTORS = (256, 512, 1024)


def sum_of_shares(memory: MemoryBudget, sockets: SocketBudget) -> int:
    connections = sockets.clients * memory_budget._CONNECTION_BYTES
    sessions = sockets.file_sessions * memory_budget._FILE_SESSION_BYTES
    shares = memory.short_bodies + memory.long_bodies + memory.answers + memory.files
    return memory_budget._PROCESS_BYTES + connections + sessions + shares


@pytest.mark.parametrize("descriptors", DESCRIPTORS)
@pytest.mark.parametrize("with_files", [False, True])
@pytest.mark.parametrize("memory_mb", [82, 96, 128, 192])
def test_sum_of_shares_is_within_the_limit(memory_mb: int, with_files: bool, descriptors: int) -> None:
    """What all clients together can make a front hold is bounded by its memory limit."""
    sockets = SocketBudget.divide(descriptors, with_files)
    memory = MemoryBudget.divide(memory_mb, sockets.clients, sockets.file_sessions)
    assert sum_of_shares(memory, sockets) <= memory_mb * MEBIBYTE
    assert memory.max_upload + memory.upload_headroom <= memory.long_bodies


@pytest.mark.parametrize("descriptors", DESCRIPTORS)
@pytest.mark.parametrize("memory_mb", [96, 128, 192])
def test_longest_upload_is_accepted_with_96_megabytes(memory_mb: int, descriptors: int) -> None:
    sockets = SocketBudget.divide(descriptors, with_file_service=False)
    assert MemoryBudget.divide(memory_mb, sockets.clients, 0).max_upload == MAX_UPLOAD_BYTES
