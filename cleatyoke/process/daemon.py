"""One process of a front: assembly, start, service and shutdown of its components."""

from __future__ import annotations

import asyncio
import gc
import signal
from dataclasses import replace
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
from cleatyoke.limits.limit_shares import LimitUse, ProcessBudget, ProcessSize
from cleatyoke.process import optional_parts
from cleatyoke.process.faults import Faults
from cleatyoke.process.file_service import FileService
from cleatyoke.process.hold_file import HoldFile
from cleatyoke.process.lifecycle import ExitStatus, Lifecycle, ShutdownDeadlines, ShutdownStep, Stage
from cleatyoke.process.metrics import Metrics, NodeCounts
from cleatyoke.process.operator_commands import operator_commands
from cleatyoke.process.reloading import Reloader
from cleatyoke.process.shared_limits import SharedLimits
from cleatyoke.process.sibling_processes import SiblingProcesses
from cleatyoke.scheduling.events import SettingsReloaded, UpdateKind
from cleatyoke.transport.listener import NotListeningError

if TYPE_CHECKING:
    from cleatyoke.admin.prometheus import MetricsListener
    from cleatyoke.distribution.subscription import Subscription
    from cleatyoke.fleet.startup import StagedStartRunner
    from cleatyoke.fleet.view import FleetView
    from cleatyoke.http.load_probes import LoadProbeRunner

FIRST_LIST_TIMEOUT = 1.0  # seconds to wait for discovery's first list where no cached list is configured
DRAIN_POLL_INTERVAL = 0.02  # seconds between checks for open connections during a shutdown
log = structlog.get_logger()


class Daemon:
    """The components of one process. Created on the running event loop, whose signal handlers it installs."""

    def __init__(
        self,
        config: Config,
        fronts_file: Path,
        started_with: ProcessSize | None = None,
        process_started_at: float = PROCESS_STARTED_AT,
    ) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.lifecycle = Lifecycle(self.shutdown_deadlines())
        self.shutdown_requested = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.request_shutdown)
        self.metrics = Metrics()
        self.faults = Faults(self.metrics)
        self.faults.watch_loop(self.loop)
        # Created first, so that an older process of this front sees this one's marker as early as possible.
        self.siblings = SiblingProcesses(config.state_dir, config.settings, self.faults, process_started_at)
        self._longest_upload = config.memory.max_upload  # of the whole limits
        self.shared_limits = SharedLimits(
            config.front_limits(), config.shared_folder, self.faults, started_with
        )
        self._use_budget(self.shared_limits.budget)
        self.core = Core(config.settings)
        self.directory = Directory(config.zones)
        self.backends = BackendPools(
            self.directory,
            config.connect_timeout,
            config.idle_timeout,
            self.shared_limits.budget.max_backends,
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
            # Without watches, the discovery agent serves only this front and is polled.
            dedicated_agent=not config.settings.watches_endpoints,
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
        """Handle SIGTERM or SIGINT: begin the shutdown at the first one."""
        if self.lifecycle.request_shutdown(self.loop.time()):
            self.shutdown_requested.set()

    def node_counts(self) -> NodeCounts:
        """Return how many nodes are listed, and how many of them are sent no requests."""
        return NodeCounts(len(self.directory.instances), self.directory.count_unavailable())

    def shutdown_deadlines(self) -> ShutdownDeadlines:
        """Return the shutdown deadlines that follow from the current settings."""
        classes = self.config.settings.classes
        return ShutdownDeadlines.from_grace_period(
            self.config.termination_grace_period(),
            [classes[index].latency_objective for index in self.config.classes.values()],
        )

    # Start

    async def start(self) -> None:
        """Run every step that can fail before the first client is accepted. Raises ``ConfigError``.

        If a shutdown is requested while the start waits for the fleet, returns without opening a listener.
        """
        config = self.config
        self.shared_limits.log_limits()
        if config.settings.load_by_probes:
            self.probes = optional_parts.start_load_probes(self)
        self._apply_cached_endpoints()
        self._create_http_server()
        self.discovery.start()
        if config.distribution:
            self.subscription = optional_parts.subscribe(self, config.distribution)
        self.loop.add_signal_handler(signal.SIGHUP, self.reloader.reload)
        if config.fleet:
            self._open_control()  # opened early, so that operators can query the progress of the start
            await optional_parts.start_fleet_view(self, config.fleet)
            if self.shutdown_requested.is_set():  # the wait may be long, and no client has been accepted
                self.lifecycle.abandon_start()
                return
        await self._listen()
        if not self.control:
            self._open_control()
        if config.metrics_address:
            self.metrics_listener = optional_parts.open_metrics_listener(self, config.metrics_address)
        self.hold_file.start()
        self.siblings.start(self.core.notify)
        self.shared_limits.start(
            self._limit_use, self._resize, self.http_server.body_memory.limit_to_received
        )

    def _use_budget(self, budget: ProcessBudget) -> None:
        """Put the budget into the configuration, from which the parts read it."""
        self.config.memory = budget.memory
        self.config.settings.max_volumes = budget.memory.volumes

    def _resize(self, budget: ProcessBudget) -> None:
        """Apply a new budget to all parts."""
        self._use_budget(budget)
        self.core.scheduler.state.volume_table.limit = budget.memory.volumes
        self.http_server.resize(budget.memory, budget.max_backends)
        self.file_service.resize(budget.memory)

    def _limit_use(self) -> LimitUse:
        sessions, file_bytes = self.file_service.limit_use()
        return replace(
            self.http_server.limit_use(),
            volumes=len(self.core.scheduler.state.volume_table.by_id),
            file_sessions=sessions,
            files=file_bytes,
        )

    def _apply_cached_endpoints(self) -> None:
        if not self.config.cached_endpoints:
            return
        try:
            listing = read_endpoint_list(self.config.cached_endpoints)
            self.discovery.apply(listing, UpdateKind.CACHED)
        except InvalidListError as error:
            log.warning("cached_list_skipped", reason=str(error))

    def _create_http_server(self) -> None:
        """Create the server, which is ready immediately where a cached endpoint list has entries.

        If all fronts of a fleet restart together, they would otherwise wait for an overloaded discovery
        service and lose all requests meanwhile, which costs more than stale list entries.
        """
        timeout = 0.0 if self.directory.instances else FIRST_LIST_TIMEOUT
        ready_at = self.loop.time() + timeout
        self.http_server = HttpServer(
            self.config,
            self.core,
            self.backends,
            lambda: self.discovery.first_answer.is_set() or self.loop.time() >= ready_at,
        )
        self.http_server.body_memory.longest_body = self._longest_upload

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
        if result.discovery_address_changed:
            self.discovery.migrate(self.config.discovery)

    # Service and shutdown

    async def serve(self) -> None:
        """Serve until a shutdown is requested; return when the shutdown is complete."""
        if self.lifecycle.stage is Stage.CLOSING:
            log.info("leaving", open=0)
            self._carry_out(ShutdownStep.RELEASE_RESOURCES)
            self._finish()
            return
        self.lifecycle.start_serving()
        gc.collect()
        gc.enable()  # ``fast_import`` disabled it
        gc.freeze()  # objects created by the start live as long as the process; collections skip them
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
            self.fleet.save_state()  # before draining, so that a slow disk does not delay the exit
        await self._shut_down()
        self._finish()

    def _finish(self) -> None:
        """Log the last event, and complete the lifecycle; the process may then exit."""
        # Unavailable nodes are not counted at the exit: ``front.hosts_down`` is always 0 in this line.
        stat_lines = self.metrics.stat_lines(list(self.config.classes), len(self.directory.instances), 0)
        log.info(
            "left",
            faults=self.metrics.faults,
            seconds_left=round(self._seconds_until_answers_due(), 3),
            counters=" ".join(stat_lines),
        )
        self.lifecycle.finish()

    def _seconds_until_answers_due(self) -> float:
        return self.lifecycle.answers_due_at() - self.loop.time()

    async def _shut_down(self) -> None:
        """Carry out each shutdown step when it is due, even if another step has failed."""
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
                if self.core.pending:  # otherwise only connections that clients have not closed yet are open
                    log.warning("left_unanswered", open=len(self.core.pending))
            case ShutdownStep.RELEASE_RESOURCES:
                self._release()

    def _release(self) -> None:
        """Release each resource separately: a failure must not affect the others or the exit status."""
        steps = {  # by the step name that the log gives for a fault
            "discovery": self.discovery.stop,
            "fleet": self._stop_fleet if self.fleet else None,
            "distribution": self.subscription.stop if self.subscription else None,
            "probes": self.probes.stop if self.probes else None,
            "boxes": self.backends.close,
            "holds": self.hold_file.stop,
            "lives": self.siblings.stop,
            "limits": self.shared_limits.stop,
            "ops": self.control.stop if self.control else None,
            "metrics": self.metrics_listener.stop if self.metrics_listener else None,
        }
        for name, release in steps.items():
            if release:
                with self.faults.contain(name):
                    release()

    def _stop_fleet(self) -> None:
        """Leave the fleet; wait for the last write to the disk only as long as the exit deadline permits."""
        assert self.fleet
        self.fleet.stop(self.lifecycle.flush_due_at() - self.loop.time())


async def run(
    config: Config,
    fronts_file: Path = FRONTS_FILE,
    started_with: ProcessSize | None = None,
    process_started_at: float = PROCESS_STARTED_AT,
) -> ExitStatus:
    """Run one process from start to exit.

    ``started_with``: what it takes before it serves; ``process_started_at``: the Unix time from which it may
    use the rate limits.

    An unforeseen exception during the start is reported and raised as a ``ConfigError``; a later one is
    reported and ends the process with status FAULT.
    """
    daemon = Daemon(config, fronts_file, started_with, process_started_at)
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
    except Exception as error:  # noqa: BLE001  reported here and by the exit status
        daemon.faults.report("serve_fault", error, stage=daemon.lifecycle.stage.value)
    return daemon.lifecycle.status
