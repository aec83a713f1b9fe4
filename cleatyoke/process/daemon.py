"""One process of a front: how its parts are put together, started, run and shut down."""

from __future__ import annotations

import asyncio
import gc
import signal
from pathlib import Path
from typing import TYPE_CHECKING

import structlog

from cleatyoke import PROCESS_STARTED_AT
from cleatyoke.admin.control import ControlListener
from cleatyoke.config.deployment import Config, ReloadResult
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import FRONTS_FILE
from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.discovery.discovery import Discovery
from cleatyoke.discovery.errors import InvalidListError
from cleatyoke.discovery.listings import read_endpoint_list
from cleatyoke.http.backends import BackendPools
from cleatyoke.http.server import HttpServer
from cleatyoke.process import optional_parts
from cleatyoke.process.faults import Faults
from cleatyoke.process.file_service import FileService
from cleatyoke.process.hold_file import HoldFile
from cleatyoke.process.lifecycle import ExitStatus, Lifecycle, ShutdownDeadlines, ShutdownStep, Stage
from cleatyoke.process.metrics import Metrics, NodeCounts
from cleatyoke.process.operator_commands import operator_commands
from cleatyoke.process.reloading import Reloader
from cleatyoke.process.sibling_processes import SiblingProcesses
from cleatyoke.scheduling.events import SettingsReloaded, UpdateKind
from cleatyoke.transport.listener import NotListeningError

if TYPE_CHECKING:
    from cleatyoke.admin.prometheus import MetricsListener
    from cleatyoke.distribution.subscription import Subscription
    from cleatyoke.fleet.startup import StagedStartRunner
    from cleatyoke.fleet.view import FleetView
    from cleatyoke.http.load_probes import LoadProbeRunner

FIRST_LIST_TIMEOUT = 1.0  # seconds for discovery's first list where no cached one is configured
DRAIN_POLL_INTERVAL = 0.02  # seconds between checks of what is still open during a shutdown
log = structlog.get_logger()


class Daemon:
    """The parts of one process. Made on the running loop, whose signal handlers it sets."""

    def __init__(self, config: Config, fronts_file: Path) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.lifecycle = Lifecycle(self.shutdown_deadlines())
        self.shutdown_requested = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.request_shutdown)
        self.metrics = Metrics()
        self.faults = Faults(self.metrics)
        self.faults.watch_loop(self.loop)
        # First, so that an older process of this front sees this one as early as possible.
        self.siblings = SiblingProcesses(config.state_dir, config.settings, self.faults, PROCESS_STARTED_AT)
        self.core = Core(config.settings)
        self.directory = Directory(config.zones)
        self.backends = BackendPools(
            self.directory,
            config.connect_timeout,
            config.idle_timeout,
            config.socket_budget.backends,
            self.metrics,
        )
        self.hold_file = HoldFile(config.state_dir, self.directory, self.core, self.faults)
        self.discovery = Discovery(
            config.discovery,
            self.directory,
            self.core.notify,
            config.settings.front_count,
            config.seed,
            self.faults,
            # Without a watch, an agent that serves this front alone is polled.
            own_agent=not config.settings.watches_endpoints,
            drain_grace=config.drain_grace,
        )
        self.reloader = Reloader(config, fronts_file, self.metrics, self._on_reloaded)
        self.file_service = FileService()
        self.control: ControlListener | None = None
        self.metrics_listener: MetricsListener | None = None
        self.probes: LoadProbeRunner | None = None
        self.fleet: FleetView | None = None
        self.staged_start: StagedStartRunner | None = None
        self.subscription: Subscription | None = None
        self._file_service_closing: asyncio.Task[None] | None = None

    def request_shutdown(self) -> None:
        """SIGTERM or SIGINT came."""
        if self.lifecycle.request_shutdown(self.loop.time()):
            self.shutdown_requested.set()

    def node_counts(self) -> NodeCounts:
        """Return how many nodes are listed and how many receive nothing."""
        return NodeCounts(len(self.directory.instances), self.directory.count_unavailable())

    def shutdown_deadlines(self) -> ShutdownDeadlines:
        """Return the deadlines of a shutdown by the present settings."""
        classes = self.config.settings.classes
        return ShutdownDeadlines.from_grace_period(
            self.config.termination_grace_period(),
            [classes[index].latency_objective for index in self.config.classes.values()],
        )

    # Start

    async def start(self) -> None:
        """Do all that can fail before the first client is accepted. Raises ``ConfigError``.

        Where a shutdown is requested while the start waits for the fleet, it ends without a listener.
        """
        config = self.config
        if config.settings.load_by_probes:
            self.probes = optional_parts.start_load_probes(self)
        self._apply_cached_endpoints()
        self._make_http_server()
        self.discovery.start()
        if config.distribution:
            self.subscription = optional_parts.subscribe(self, config.distribution)
        self.loop.add_signal_handler(signal.SIGHUP, self.reloader.reload)
        if config.fleet:
            self._open_control()  # early, so that operators can ask what the start waits for
            await optional_parts.start_fleet_view(self, config.fleet)
            if self.shutdown_requested.is_set():  # it may have waited for long, and nothing is owed yet
                self.lifecycle.abandon_start()
                return
        await self._listen()
        if not self.control:
            self._open_control()
        if config.metrics_address:
            self.metrics_listener = optional_parts.open_metrics_listener(self, config.metrics_address)
        self.hold_file.start()
        self.siblings.start(self.core.notify)

    def _apply_cached_endpoints(self) -> None:
        if not self.config.cached_endpoints:
            return
        try:
            listing = read_endpoint_list(self.config.cached_endpoints)
            self.discovery.apply(listing, UpdateKind.CACHED)
        except InvalidListError as error:
            log.warning("known_list_skipped", why=str(error))

    def _make_http_server(self) -> None:
        """Make the server, which is ready at once where there is a cached endpoint list.

        A fleet whose fronts all restart at once would otherwise wait for an overloaded discovery, and all
        requests meanwhile would be lost, which costs more than stale entries of the list.
        """
        timeout = 0.0 if self.directory.instances else FIRST_LIST_TIMEOUT
        ready_at = self.loop.time() + timeout
        self.http_server = HttpServer(
            self.config,
            self.core,
            self.backends,
            lambda: self.discovery.first_answer.is_set() or self.loop.time() >= ready_at,
        )

    async def _listen(self) -> None:
        try:
            self.http_server.listen()
            self.file_service = await FileService.start(self.config, self.core, self.directory)
        except NotListeningError as error:
            msg = f"RELAY_ACCEPT_FD: {error}"
            raise ConfigError(msg) from error
        except OSError as error:
            msg = f"listen: {error}"
            raise ConfigError(msg) from error

    def _open_control(self) -> None:
        if not self.config.control_address:
            return
        try:
            self.control = ControlListener(self.config.control_address, operator_commands(self))
        except OSError as error:
            msg = f"ops: {error}"
            raise ConfigError(msg) from error
        self.control.start()

    def _on_reloaded(self, result: ReloadResult) -> None:
        settings = self.config.settings
        if result.retired_classes is not None:
            self.core.notify(SettingsReloaded(settings, result.retired_classes))
            self.lifecycle.set_deadlines(self.shutdown_deadlines())
            if self.fleet:
                self.fleet.announce_settings(settings)
        self.discovery.set_drain_grace(self.config.drain_grace)
        if result.discovery_moved:
            self.discovery.migrate(self.config.discovery)

    # Service and shutdown

    async def serve(self) -> None:
        """Serve until a shutdown is requested, and return when it is complete."""
        if self.lifecycle.stage is Stage.CLOSING:
            log.info("leaving", open=0)
            self._carry_out(ShutdownStep.RELEASE_RESOURCES)
            self._finish()
            return
        self.lifecycle.start_serving()
        gc.collect()
        gc.enable()  # ``fast_import`` left it off
        gc.freeze()  # objects made by the start are not collected; later collections skip them
        log.info(
            "ready",
            name=self.config.name,
            listen=self.http_server.address,
            nodes=len(self.directory.instances),
        )
        await self.shutdown_requested.wait()
        log.info("leaving", open=len(self.core.pending))
        self.http_server.begin_shutdown(self._seconds_until_answers_due())
        if self.fleet:
            self.fleet.save_state()  # now, so that a slow disk does not hold up the exit
        await self._shut_down()
        self._finish()

    def _finish(self) -> None:
        """Log the last line; the process may exit."""
        # ``down`` is not counted at the exit: it is always 0 in this line.
        stat_lines = self.metrics.stat_lines(list(self.config.classes), len(self.directory.instances), 0)
        log.info(
            "left",
            faults=self.metrics.faults,
            seconds_left=round(self._seconds_until_answers_due(), 3),
            figures=" ".join(stat_lines),
        )
        self.lifecycle.finish()

    def _seconds_until_answers_due(self) -> float:
        return self.lifecycle.answers_due_at() - self.loop.time()

    async def _shut_down(self) -> None:
        """Carry out each step of the lifecycle when it is due, whatever fault another step had."""
        while True:
            is_closing = self._file_service_is_closing()
            steps = self.lifecycle.step(
                self.loop.time(), self.http_server.open_connections(), file_service_is_closing=is_closing
            )
            for step in steps:
                seconds_left = round(self._seconds_until_answers_due(), 3)
                log.info("shutdown_step", step=step.value, seconds_left=seconds_left)
                with self.faults.contain(step.value):
                    self._carry_out(step)
            if self.lifecycle.stage is Stage.CLOSING:
                return
            seconds = max(0.0, self.lifecycle.next_step_at() - self.loop.time())
            await asyncio.sleep(min(DRAIN_POLL_INTERVAL, seconds))

    def _file_service_is_closing(self) -> bool:
        return self._file_service_closing is not None and not self._file_service_closing.done()

    def _carry_out(self, step: ShutdownStep) -> None:
        match step:
            case ShutdownStep.CLOSE_FILE_SERVICE:
                closing = self.file_service.close(self._seconds_until_answers_due())
                self._file_service_closing = asyncio.create_task(closing)
            case ShutdownStep.STOP_ACCEPTING:
                self.http_server.stop_accepting()
            case ShutdownStep.REPORT_UNANSWERED:
                if self.core.pending:  # otherwise only connections that their clients have not closed yet
                    log.warning("left_unanswered", open=len(self.core.pending))
            case ShutdownStep.RELEASE_RESOURCES:
                self._release()

    def _release(self) -> None:
        """Release each resource by itself: one that fails must not keep the others, nor fail the exit."""
        steps = {  # by the name that a fault of the step has in the log
            "discovery": self.discovery.stop,
            "fleet": self._stop_fleet if self.fleet else None,
            "distribution": self.subscription.stop if self.subscription else None,
            "probes": self.probes.stop if self.probes else None,
            "boxes": self.backends.close,
            "holds": self.hold_file.stop,
            "lives": self.siblings.stop,
            "ops": self.control.stop if self.control else None,
            "metrics": self.metrics_listener.stop if self.metrics_listener else None,
        }
        for name, release in steps.items():
            if release:
                with self.faults.contain(name):
                    release()

    def _stop_fleet(self) -> None:
        """Leave the fleet, and wait for the disk no longer than the exit has time for."""
        assert self.fleet
        self.fleet.stop(self.lifecycle.flush_due_at() - self.loop.time())


async def run(config: Config, fronts_file: Path = FRONTS_FILE) -> ExitStatus:
    """Run one process from its start to its end.

    A fault at the start is a ``ConfigError``; a later one is reported and ends the process with status FAULT.
    """
    daemon = Daemon(config, fronts_file)
    try:
        await daemon.start()
    except ConfigError:
        raise
    except Exception as error:
        daemon.faults.report("start_fault", error)
        msg = f"start: {type(error).__name__}: {error}"
        raise ConfigError(msg) from error
    try:
        await daemon.serve()
    except Exception as error:  # noqa: BLE001  reported; the exit status says the rest
        daemon.faults.report("serve_fault", error, stage=daemon.lifecycle.stage.value)
    return daemon.lifecycle.status
