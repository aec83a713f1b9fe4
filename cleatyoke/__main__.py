"""The daemon: wiring, signals and the log."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import structlog

from cleatyoke.process import fast_import  # noqa: F401  before anything imports aiohttp

# isort: split
from cleatyoke import BEGAN
from cleatyoke.admin.control import ControlCommands, ControlListener
from cleatyoke.config.deployment import (
    FRONTS,
    Address,
    Config,
    ConfigError,
    DistributionSettings,
    FleetSettings,
    read_config,
)
from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.discovery.discovery import Discovery
from cleatyoke.discovery.listings import read_endpoint_list
from cleatyoke.http.backends import BackendPools
from cleatyoke.http.messages import MessageError
from cleatyoke.http.server import HttpServer
from cleatyoke.process.faults import Faults
from cleatyoke.process.handover import HoldFile, SiblingProcesses
from cleatyoke.process.lifecycle import Lifecycle, Notice, Order, Stage, Status
from cleatyoke.process.logs import configure_logging
from cleatyoke.process.metrics import Metrics
from cleatyoke.scheduling.events import SettingsReloaded, UpdateKind
from cleatyoke.transport.sockets import NotListeningError

if TYPE_CHECKING:
    from cleatyoke.admin.prometheus import MetricsListener
    from cleatyoke.distribution.contents import DistributedSettings
    from cleatyoke.distribution.subscription import Subscription
    from cleatyoke.fleet.startup import StagedStartRunner
    from cleatyoke.fleet.view import FleetView
    from cleatyoke.http.load_probes import LoadProbeRunner
    from cleatyoke.sftp.server import SftpServer
    from cleatyoke.vrrp.instance import Carrier

FIRST_WORD = 1.0  # seconds for discovery's first word where there is no old list to serve by
HELD_BY = 0.5  # seconds that an operator's call waits at the most for the other fronts to have it
LOOK = 0.02  # seconds between looks for what is still open while the process leaves
log = structlog.get_logger()


class FileService:
    """The front for file commands, where it is on; with VRRP it is open while this instance is master."""

    def __init__(self, front: SftpServer | None = None, carrier: Carrier | None = None) -> None:
        self.front, self.carrier = front, carrier

    @classmethod
    async def start(cls, config: Config, core: Core, directory: Directory) -> FileService:
        if config.sftp is None:
            return cls()
        from cleatyoke.sftp.backends import (
            SftpBackends,  # imported only where the front is on: a start is dear
        )
        from cleatyoke.sftp.server import SftpServer
        from cleatyoke.vrrp.instance import Carrier

        sessions = config.shares.sessions
        boxes = SftpBackends(
            directory, config.sftp.box_port, config.dial_timeout, config.idle_close, sessions
        )
        front = SftpServer(config.sftp, core, boxes, sessions)
        if config.vrrp is None:
            await front.open()
            return cls(front)

        async def changed(master: bool) -> None:
            await (front.open() if master else front.close(config.sftp.deadline if config.sftp else 0.0))

        carrier = Carrier(config.vrrp, changed)
        await carrier.start()
        return cls(front, carrier)

    async def close(self, patience: float) -> None:
        if self.carrier:
            await self.carrier.stop()
        if self.front:
            await self.front.close(patience)
            self.front.boxes.close()


class Daemon:
    """One process of a front: what the start makes, how it serves, and the steps of its leaving."""

    def __init__(self, config: Config, fronts: Path) -> None:
        self.config, self.fronts, self.loop = config, fronts, asyncio.get_running_loop()
        settings = config.settings
        self.life = Lifecycle(self.notice())
        self.signalled = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.asked)
        self.figures = Metrics()
        self.faults = Faults(self.figures)
        self.faults.watch(self.loop)
        # first: an older process hears of this one at once
        self.lives = SiblingProcesses(config.state_dir, settings, self.faults, BEGAN)
        self.core, self.directory = Core(settings), Directory(config.zones)
        self.boxes = BackendPools(
            self.directory, config.dial_timeout, config.idle_close, config.shares.boxes, self.figures
        )
        self.handed = HoldFile(config.state_dir, self.directory, self.core, self.faults)
        self.discovery = Discovery(
            config.discovery,
            self.directory,
            self.core.tell,
            settings.front_count,
            config.seed,
            self.faults,
            own_agent=not settings.watches_endpoints,
            drain_grace=config.drain_grace,
        )
        self.control: ControlListener | None = None
        self.metrics: MetricsListener | None = None
        self.probes: LoadProbeRunner | None = None
        self.fleet: FleetView | None = None
        self.startup: StagedStartRunner | None = None
        self.subscription: Subscription | None = None
        self.distributed: Callable[[Any], Any] = lambda own: own  # of the file's settings, those in force
        self.files = FileService()

    def asked(self) -> None:
        """SIGTERM or SIGINT."""
        if self.life.asked(self.loop.time()):
            self.signalled.set()

    async def start(self) -> None:
        """All that can fail before anybody is served; a ``BadConfig`` ends the process by its key."""
        config, directory = self.config, self.directory
        if config.settings.load_by_probes:
            self.probes = self.start_probes(config)
        if config.known:
            try:
                self.discovery.apply(read_endpoint_list(config.known), UpdateKind.CACHED)
            except MessageError as error:
                log.warning("known_list_skipped", why=str(error))
        # With an old list it serves at once. Guards a fleet that is killed as one: while its hosts waited for
        # an overbooked discovery, all that came through them was lost, which no stale entry of a list costs.
        patient_until = self.loop.time() + (FIRST_WORD if not directory.instances else 0.0)
        self.front = HttpServer(
            config,
            self.core,
            self.boxes,
            lambda: self.discovery.first_answer.is_set() or self.loop.time() >= patient_until,
        )
        self.discovery.start()
        if config.distribution:
            self.subscription = self.subscribe(config.distribution)
            self.subscription.start()
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if config.fleet:
            self.open_control()  # first, as staff may ask what a start waits for
            await self.recover(config.fleet)
        try:
            self.front.listen()
            self.files = await FileService.start(config, self.core, directory)
        except NotListeningError as error:
            msg = f"RELAY_ACCEPT_FD: {error}"
            raise ConfigError(msg) from error
        except OSError as error:
            msg = f"listen: {error}"
            raise ConfigError(msg) from error
        if not self.control:
            self.open_control()
        if config.metrics:
            self.metrics = self.open_metrics(config.metrics)
        self.handed.start()
        self.lives.start(self.core.tell)

    def open_control(self) -> None:
        if self.config.ops:
            try:
                self.control = ControlListener(self.config.ops, self.commands())
            except OSError as error:
                msg = f"ops: {error}"
                raise ConfigError(msg) from error
            self.control.start()

    def start_probes(self, config: Config) -> LoadProbeRunner:
        from cleatyoke.http.load_probes import LoadProbeRunner
        from cleatyoke.scheduling.load_probes import (
            LoadProber,  # imported only where load is told by probes alone
        )

        settings = config.settings
        prober = LoadProber(settings.front_count, settings.safety.slow_start_duration, config.seed)
        probes = LoadProbeRunner(self.core, self.boxes, prober, config.dial_timeout, self.faults)
        probes.start()
        return probes

    async def recover(self, peers: FleetSettings) -> None:
        """What comes before the door opens where fronts keep a view of one another: the own memory, the
        peers' view, the list; each waited for within a bound (``fleet.recovery``).
        """
        try:
            from cleatyoke.fleet.startup import StagedStartRunner
            from cleatyoke.fleet.view import FleetView  # an optional extra, imported only where it is on

            config, directory, discovery = self.config, self.directory, self.discovery
            self.startup = startup = StagedStartRunner()
            recall = await startup.recall(peers, config.name, self.faults)
            boot = recall.last.boot if recall else 0
            view = FleetView(peers, config.name, config.settings.front_count, config.seed, self.faults, boot)
            if recall:
                recall.serve(view)
            view.share(self.handed, config.state_dir)
            if peers.limits or peers.cold:
                boxes = directory.instances
                view.lend(self.core, lambda node: boxes[node].name if node in boxes else None)
            view.say(config.settings)
            await view.start()
        except (ImportError, OSError) as error:
            msg = f"fleet: {error}"
            raise ConfigError(msg) from error
        self.fleet = view
        await startup.meet(view)
        await startup.hear_of_boxes(bool(directory.instances), discovery.first_answer)

    def subscribe(self, relays: DistributionSettings) -> Subscription:
        """Distributed configuration, from now on. Serving waits for none of it."""
        try:
            from cleatyoke.distribution.subscription import Subscription  # imported only where it is on
        except ImportError as error:
            msg = f"distribution: {error}"
            raise ConfigError(msg) from error
        config = self.config
        return Subscription(
            relays, config.name, config.seed, self.faults, self.put_in_force, self.discovery.apply
        )

    def open_metrics(self, address: Address) -> MetricsListener:
        try:
            from cleatyoke.admin.prometheus import (
                MetricsListener,  # an optional extra, imported only where it is on
            )

            return MetricsListener(
                address,
                self.figures,
                lambda: (len(self.directory.instances), self.directory.count_unavailable()),
                lambda: self.subscription.gauges() if self.subscription else {},
            )
        except (ImportError, OSError) as error:
            msg = f"metrics: {error}"
            raise ConfigError(msg) from error

    def commands(self) -> ControlCommands:
        front, directory = self.front, self.directory

        def figures() -> list[str]:
            lines = self.figures.lines(
                list(self.config.classes), len(directory.instances), directory.count_unavailable()
            )
            return lines + (self.fleet.figures() if self.fleet else []) + config_lines()

        def config_lines() -> list[str]:
            return self.subscription.lines() if self.subscription else []

        def held(box: str, hold: bool) -> tuple[int, int]:
            if self.fleet:
                return self.fleet.held_by(box, hold, HELD_BY)
            return 1, self.config.settings.front_count  # it is still starting

        kept = bool(self.config.fleet)
        return ControlCommands(
            ready=lambda: bool(front.listener) and not front.closing and front.drain.says_up(front.ready()),
            figures=figures,
            disable=self.handed.disable,
            enable=self.handed.enable,
            drain=front.drained,
            resume=front.drain.resume,
            fleet=(lambda: self.fleet.lines() if self.fleet else []) if kept else None,
            shared=held if kept else None,
            replica=(lambda: self.fleet.replica_lines() if self.fleet else []) if kept else None,
            recovery=(lambda: self.startup.lines() if self.startup else []) if kept else None,
            config=config_lines if self.config.distribution else None,
        )

    def reload(self) -> None:
        """SIGHUP: the file is read again, and kept out as a whole where it has a fault of whatever kind."""
        if why := self.take_settings(self.distributed):
            log.error("reload_failed", why=why)

    def put_in_force(self, settings: DistributedSettings) -> str:
        """Distributed settings, by the path of SIGHUP: they win over the file's. Returns why not, if so."""
        why = self.take_settings(settings.merged)
        if not why:
            self.distributed = settings.merged
        return why

    def take_settings(self, chosen: Callable[[Any], Any]) -> str:
        """Read the file again, with these settings in place of its own. Returns why it was kept out."""
        try:
            taken = self.config.reload(read_config(os.environ, self.fronts, chosen))
        except Exception as error:  # a file under way can hold anything: no fault of it ends a front
            self.figures.reconfig_failed += 1
            return str(error) or type(error).__name__
        self.figures.reconfig_ok += 1
        settings = self.config.settings
        log.info(
            "reloaded",
            discovery=self.config.discovery,
            moved=taken.moved,
            next_start=taken.waiting,
            retuned=taken.retired is not None,
            classes=list(self.config.classes),
        )
        if taken.retired is not None:
            self.core.tell(SettingsReloaded(settings, taken.retired))
            self.life.retime(self.notice())
            if self.fleet:
                self.fleet.say(settings)
        self.discovery.set_drain_grace(self.config.drain_grace)
        if taken.moved:
            self.discovery.migrate(self.config.discovery)
        return ""

    def notice(self) -> Notice:
        classes = self.config.settings.classes
        return Notice.of(
            self.config.notice(), [classes[place].latency_objective for place in self.config.classes.values()]
        )

    async def serve(self) -> None:
        """From the first client to the last answer."""
        self.life.serves()
        gc.collect()
        gc.enable()  # `quick` left it off
        gc.freeze()  # what the start made stays; later collections pass over it
        log.info(
            "ready", name=self.config.name, listen=self.front.address, nodes=len(self.directory.instances)
        )
        await self.signalled.wait()
        log.info("leaving", open=len(self.core.calls))
        self.front.leave(self.life.last_answer() - self.loop.time())
        closing: asyncio.Task[None] | None = None
        while True:
            sessions = 0 if closing is None else int(not closing.done())
            for order in self.life.step(self.loop.time(), self.front.open(), sessions):
                with self.faults.step(order.value):
                    match order:
                        case Order.CLOSE_FILES:
                            patience = self.life.last_answer() - self.loop.time()
                            closing = asyncio.create_task(self.files.close(patience))
                        case Order.STOP_ACCEPTING:
                            self.front.stop_accepting()
                        case Order.ABANDON if self.core.calls:  # else only peers that have not closed yet
                            log.warning("left_unanswered", open=len(self.core.calls))
                        case Order.RELEASE:
                            self.release()
            if self.life.stage is Stage.CLOSING:
                break
            await asyncio.sleep(min(LOOK, max(0.0, self.life.next_at() - self.loop.time())))
        listed = len(self.directory.instances)
        log.info(
            "left",
            faults=self.figures.faults,
            figures=" ".join(self.figures.lines(list(self.config.classes), listed, 0)),
        )
        self.life.released()

    def release(self) -> None:
        """Each by itself: one that cannot be given back must not keep the others, nor end the exit by a
        fault.
        """
        steps = {
            "discovery": self.discovery.stop,
            "fleet": self.fleet.stop if self.fleet else lambda: None,
            "distribution": self.subscription.stop if self.subscription else lambda: None,
            "probes": self.probes.stop if self.probes else lambda: None,
            "boxes": self.boxes.close,
            "holds": self.handed.stop,
            "lives": self.lives.stop,
            "ops": self.control.stop if self.control else lambda: None,
            "metrics": self.metrics.stop if self.metrics else lambda: None,
        }
        for name, act in steps.items():
            with self.faults.step(name):
                act()


async def run(config: Config, fronts: Path = FRONTS) -> Status:
    """The whole life. A fault at the start is a ``BadConfig``; a later one is told and ends in status 1."""
    daemon = Daemon(config, fronts)
    try:
        await daemon.start()
    except ConfigError:
        raise
    except Exception as error:
        daemon.faults.told("start_fault", error)
        msg = f"start: {type(error).__name__}: {error}"
        raise ConfigError(msg) from error
    try:
        await daemon.serve()
    except Exception as error:
        daemon.faults.told("serve_fault", error, stage=daemon.life.stage.value)
    return daemon.life.status


def main(words: Sequence[str] = ()) -> int:
    """``--fronts FILE``: another fronts file than the one under ``deploy/``."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop handles it, it would end the process
    configure_logging()
    try:
        fronts = FRONTS
        if words:
            if len(words) != 2 or words[0] != "--fronts":
                msg = f"arguments: want none or --fronts FILE, found {' '.join(words)}"
                raise ConfigError(msg)
            fronts = Path(words[1])
        return asyncio.run(run(read_config(os.environ, fronts), fronts)).value
    except ConfigError as error:
        print(f"cleatyoke: {error}", file=sys.stderr)
        return Status.START.value


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
