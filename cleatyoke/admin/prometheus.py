"""The Prometheus exporter: the counters of ``show-stat``, where the fronts file enables it.

``prometheus-client`` is an optional extra (``metrics``). Only this module imports it, and this module is
imported only where the exporter is enabled.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import structlog
from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from cleatyoke.config.addresses import Address
from cleatyoke.process.metrics import OUTCOMES, Metrics, NodeCounts
from cleatyoke.transport.listener import Listener

MAX_CONNECTIONS = 8  # open at a time; enough for one or two scrapers
IDLE_TIMEOUT = 5.0  # seconds for which a connection may stay open without a request
PREFIX = "cleatyoke_"
log = structlog.get_logger()


class MetricsCollector:
    """Reads the counters at each scrape and keeps none of its own; defines the names of all metrics."""

    def __init__(
        self,
        metrics: Metrics,
        node_counts: Callable[[], NodeCounts],
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        self.metrics = metrics
        self.node_counts = node_counts
        self.gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield each metric; called by ``prometheus-client`` at each scrape."""
        metrics = self.metrics
        yield self._requests()
        if self.metrics.held_bytes:
            yield self._held_bytes()
        listed, down = self.node_counts()
        # Metric names and help texts are a stable interface with older terms: "boxes" and "hosts" are nodes,
        # "taken" is accepted, "turned down" is rejected.
        for name, text, count in (
            ("backend_calls", "Attempts written whole to boxes", metrics.backend_calls),
            ("reconfig_ok", "Files taken at SIGHUP", metrics.reloads_applied),
            ("reconfig_failed", "Files turned down at SIGHUP", metrics.reloads_rejected),
            ("faults", "Exceptions that nothing foresaw", metrics.faults),
        ):
            yield CounterMetricFamily(f"{PREFIX}{name}", text, value=count)
        for name, text, count in (
            ("inflight", "Requests taken and not yet ended", max(0, metrics.in_flight)),
            ("hosts_listed", "Boxes in the list", listed),
            ("hosts_down", "Listed boxes that nothing is sent to", down),
        ):
            yield GaugeMetricFamily(f"{PREFIX}{name}", text, value=count)
        for name, value in self.gauges().items():
            yield GaugeMetricFamily(f"{PREFIX}{name}", "Distributed configuration", value=value)

    def _held_bytes(self) -> Metric:
        family = GaugeMetricFamily(
            f"{PREFIX}held_bytes", "Bytes that clients make the front hold, by use", labels=["use"]
        )
        for use, count in self.metrics.held_bytes.items():
            family.add_metric([use], count())
        return family

    def _requests(self) -> Metric:
        family = CounterMetricFamily(
            f"{PREFIX}requests", "Requests answered, by class and outcome", labels=["class", "outcome"]
        )
        for outcome in OUTCOMES:
            for class_name, count in list(self.metrics.answers[outcome].items()):
                family.add_metric([class_name, outcome], count)
        return family


class MetricsListener:
    """Serves ``GET /metrics`` in Prometheus text format on its own address; any other path gets 404."""

    def __init__(
        self,
        address: Address,
        metrics: Metrics,
        node_counts: Callable[[], NodeCounts],
        gauges: Callable[[], dict[str, float]] = dict,
    ) -> None:
        """Bind the address and serve; raises ``OSError``."""
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(MetricsCollector(metrics, node_counts, gauges))
        self.server = web.Server(self._handle)
        self.listener = Listener(address.host, address.port, self._has_capacity, self._make_handler)
        self.address = Address(*self.listener.socket.getsockname()[:2])
        log.info("metrics_open", listen=self.address)

    def stop(self) -> None:
        """Stop accepting connections and close the idle ones."""
        self.listener.close()
        self.server.pre_shutdown()

    def _has_capacity(self) -> bool:
        return len(self.server.connections) < MAX_CONNECTIONS

    def _make_handler(self) -> RequestHandler:
        settings: dict[str, Any] = {"keepalive_timeout": IDLE_TIMEOUT, "access_log": None}
        return RequestHandler(self.server, loop=self.listener.loop, **settings)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path != "/metrics":
            return web.Response(status=404)
        if request.method != "GET":
            return web.Response(status=405)
        return web.Response(
            body=generate_latest(self.registry), headers={"Content-Type": CONTENT_TYPE_LATEST}
        )
