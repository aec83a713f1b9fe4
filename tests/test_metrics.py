"""The counters, as ``show-stat`` prints them."""

from __future__ import annotations

from cleatyoke.process.metrics import Metrics


def test_stat_lines_list_each_class_per_outcome_and_count_rejections_as_busy() -> None:
    metrics = Metrics()
    for status in (200, 200, 503, 429, 502, 400):
        metrics.count_answer("tile-read", status)
    lines = metrics.stat_lines(["tile-read", "record-write"], 3, 1)
    for line in (
        "front.success.tile-read=2",
        "front.busy.tile-read=2",
        "front.failure.tile-read=2",
        "front.success.record-write=0",
        "front.hosts_down=1",
    ):
        assert line in lines
