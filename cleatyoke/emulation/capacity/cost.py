"""Measures the cost of a function: executed bytecode operations, which are the same in every run, allocated
memory and processor time.
"""

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
    """``operations``: executed bytecode operations; ``peak``: the most bytes allocated at a time. Work in C
    code, such as copying or scanning a list, doesn't count as operations, but a copy shows in ``peak``.
    """

    operations: int
    peak: int


def count(work: Callable[[], object]) -> Cost:
    """Call ``work`` twice, once for each figure, since tracing and memory tracking disturb each other."""
    return Cost(count_operations(work), peak_bytes(work))


def count_operations(work: Callable[[], object]) -> int:
    """Return the bytecode operations that this thread executes in ``work``."""
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
    """Return the peak of the memory allocated in ``work``, beyond what was allocated before."""
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
    """Return the processor time of this process for one call, the mean of ``times`` calls."""
    began = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - began) / times


def resident_bytes() -> int:
    """Return the resident memory of this process after a garbage collection."""
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE
