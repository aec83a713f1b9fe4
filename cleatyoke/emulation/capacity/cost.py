"""What a piece of work costs: counted operations, which are the same in every run, and processor time."""

from __future__ import annotations

import gc
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from types import FrameType
from typing import Any

PAGE = resource.getpagesize()


@dataclass(slots=True, frozen=True)
class Cost:
    """``operations``: of the interpreter; ``peak``: bytes that were allocated at once, at the most. What C
    code copies or scans is no operation, but a copy shows in ``peak``.
    """

    operations: int
    peak: int


def count(work: Callable[[], object]) -> Cost:
    """Run it twice, once counted and once measured: each way of looking disturbs the other."""
    return Cost(count_operations(work), peak_bytes(work))


def count_operations(work: Callable[[], object]) -> int:
    """Bytecode operations of this thread until it returns."""
    counted = 0

    def trace(frame: FrameType, event: str, _: Any) -> Callable[..., Any]:
        nonlocal counted
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        counted += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return counted


def peak_bytes(work: Callable[[], object]) -> int:
    """Most bytes that it holds beyond what was held before."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        work()
        return max(0, tracemalloc.get_traced_memory()[1] - before)
    finally:
        tracemalloc.stop()


def processor_seconds(work: Callable[[], object], times: int = 1) -> float:
    """Of this process, for one of so many runs of it."""
    began = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - began) / times


def resident_bytes() -> int:
    """Of this process, after a collection."""
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE
