"""The front's figures for Prometheus, where the fronts file switches them on: those of ``show-stat``.

``prometheus-client`` is an optional extra (``metrics``) and is imported here only; nothing else imports this.
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

from cleatyoke.config.deployment import Address
from cleatyoke.process.metrics import OUTCOMES, Metrics
from cleatyoke.transport.listener import Listener

MOST = 8  # connections at a time: a scraper or two
IDLE = 5.0  # seconds that one may stand without a request
log = structlog.get_logger()


class MetricsCollector:
    """Reads the one record of figures at each scrape and keeps none of its own."""

    def __init__(
        self, figures: Metrics, hosts: Callable[[], tuple[int, int]], gauges: Callable[[], dict[str, float]]
    ) -> None:
        self.figures, self.hosts, self.gauges = figures, hosts, gauges

    def collect(self) -> Iterator[Metric]:
        figures = self.figures
        ended = CounterMetricFamily(
            "cleatyoke_requests", "Requests answered, by class and outcome", labels=["class", "outcome"]
        )
        for outcome in OUTCOMES:
            for name, count in list(figures.ended[outcome].items()):
                ended.add_metric([name, outcome], count)
        yield ended
        listed, down = self.hosts()
        for name, text, value in (
            ("backend_calls", "Attempts written whole to boxes", figures.backend_calls),
            ("reconfig_ok", "Files taken at SIGHUP", figures.reconfig_ok),
            ("reconfig_failed", "Files turned down at SIGHUP", figures.reconfig_failed),
            ("faults", "Exceptions that nothing foresaw", figures.faults),
        ):
            yield CounterMetricFamily(f"cleatyoke_{name}", text, value=value)
        for name, text, value in (
            ("inflight", "Requests taken and not yet ended", max(0, figures.inflight)),
            ("hosts_listed", "Boxes in the list", listed),
            ("hosts_down", "Listed boxes that nothing is sent to", down),
        ):
            yield GaugeMetricFamily(f"cleatyoke_{name}", text, value=value)
        for name, gauge in self.gauges().items():
            yield GaugeMetricFamily(f"cleatyoke_{name}", "Distributed configuration", value=gauge)


class MetricsListener:
    """``GET /metrics`` in the text format of Prometheus, on an address of its own; anything else is 404."""

    def __init__(
        self,
        address: Address,
        figures: Metrics,
        hosts: Callable[[], tuple[int, int]],
        gauges: Callable[[], dict[str, float]] = dict,
    ) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(MetricsCollector(figures, hosts, gauges))
        self.server = web.Server(self.handle)
        self.listener = Listener(address.host, address.port, self.room, self.make)
        self.address = Address(*self.listener.socket.getsockname()[:2])
        log.info("metrics_open", listen=self.address)

    def room(self) -> bool:
        return len(self.server.connections) < MOST

    def make(self) -> RequestHandler:
        settings: dict[str, Any] = {"keepalive_timeout": IDLE, "access_log": None}
        return RequestHandler(self.server, loop=self.listener.loop, **settings)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        if request.path != "/metrics":
            return web.Response(status=404)
        if request.method != "GET":
            return web.Response(status=405)
        return web.Response(
            body=generate_latest(self.registry), headers={"Content-Type": CONTENT_TYPE_LATEST}
        )

    def stop(self) -> None:
        self.listener.close()
        self.server.pre_shutdown()
