"""The daemon: wiring, signals and the log."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import structlog

from cleatyoke import BEGAN, api
from cleatyoke.config import BadConfig, Config, read_config
from cleatyoke.core import Core
from cleatyoke.directory import Directory
from cleatyoke.figures import Figures
from cleatyoke.net.boxes import Boxes
from cleatyoke.net.discovery import Discovery
from cleatyoke.net.handover import HoldFile, Lives
from cleatyoke.net.messages import BadMessage, read_listing
from cleatyoke.net.ops import Commands, ControlListener
from cleatyoke.net.server import Front
from cleatyoke.net.sockets import NotListening
from cleatyoke.sftp.boxes import FileBoxes
from cleatyoke.sftp.front import FileFront
from cleatyoke.vrrp import Carrier

FIRST_WORD = 1.0  # seconds for discovery's first word where there is no old list to serve by
LINGER = 0.75  # seconds after SIGTERM in which everything is accepted at the least
ANSWERS = 2.0  # times the longest aim: what is kept for what is taken last
EXIT = 0.15  # seconds kept for the exit itself
log = structlog.get_logger()


def set_up_log() -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


class FileService:
    """The front for file commands, where it is on; with VRRP it is open while this instance is master."""

    def __init__(self, front: FileFront | None = None, carrier: Carrier | None = None) -> None:
        self.front, self.carrier = front, carrier

    @classmethod
    async def start(cls, config: Config, core: Core, directory: Directory) -> FileService:
        if config.sftp is None:
            return cls()
        sessions = config.shares.sessions
        boxes = FileBoxes(directory, config.sftp.box_port, config.dial_timeout, config.idle_close, sessions)
        front = FileFront(config.sftp, core, boxes, sessions)
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


async def run(config: Config) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    config.settings.quiet_since = BEGAN
    lives = Lives(config.state_dir, config.settings)  # first: an older process hears of this one at once
    core, directory, figures = Core(config.settings), Directory(config.zones), Figures()
    boxes = Boxes(directory, config.dial_timeout, config.idle_close, config.shares.boxes, figures)
    handed = HoldFile(config.state_dir, directory, core)
    discovery = Discovery(
        config.discovery, directory, core.tell, config.settings.hosts, config.seed
    )
    if config.known:
        try:
            discovery.take(read_listing(config.known), api.ListKind.OLD_COPY)
        except BadMessage as error:
            log.warning("known_list_skipped", why=str(error))
    # With an old list it serves at once. Guards a fleet that is killed as one: while its hosts waited for an
    # overbooked discovery, all that came through them was lost, which no stale entry of a list costs.
    patient_until = loop.time() + (FIRST_WORD if not directory.boxes else 0.0)
    front = Front(
        config, core, boxes, lambda: discovery.heard.is_set() or loop.time() >= patient_until
    )
    discovery.start()

    def reload() -> None:
        """SIGHUP: the file is read again, and kept out as a whole where it has a fault."""
        try:
            moved, waiting = config.reload(read_config(os.environ))
        except BadConfig as error:
            figures.reconfig_failed += 1
            log.error("reload_failed", why=str(error))
            return
        figures.reconfig_ok += 1
        log.info("reloaded", discovery=config.discovery, moved=moved, next_start=waiting)
        if moved:
            discovery.move(config.discovery)

    loop.add_signal_handler(signal.SIGHUP, reload)
    try:
        front.listen()
        files = await FileService.start(config, core, directory)
    except NotListening as error:
        raise BadConfig(f"RELAY_ACCEPT_FD: {error}") from error
    except OSError as error:
        raise BadConfig(f"listen: {error}") from error
    control = None
    if config.ops:
        commands = Commands(
            ready=lambda: bool(front.listener) and not front.closing and front.drain.says_up(front.ready()),
            figures=lambda: figures.lines(
                list(config.classes), len(directory.boxes), directory.down()
            ),
            disable=handed.disable,
            enable=handed.enable,
            drain=front.drained,
            resume=front.drain.resume,
        )
        try:
            control = ControlListener(config.ops, commands)
        except OSError as error:
            raise BadConfig(f"ops: {error}") from error
        control.start()
    handed.start()
    lives.start()
    gc.collect()
    gc.freeze()  # what the start made stays; later collections pass over it
    log.info("ready", name=config.name, listen=front.address, nodes=len(directory.boxes))
    await stop.wait()
    log.info("leaving", open=len(core.calls))
    last = config.notice() - EXIT
    front.leave(last)
    linger = max(LINGER, last - ANSWERS * max(kind.aim for kind in config.settings.classes))

    async def close_files() -> None:
        await asyncio.sleep(LINGER)
        await files.close(last - LINGER)

    async def close_front() -> None:
        await asyncio.sleep(linger)
        await front.close()

    try:
        async with asyncio.timeout(last):
            await asyncio.gather(close_front(), close_files())
    except TimeoutError:
        log.warning("left_unanswered", open=len(core.calls))
    discovery.stop()
    boxes.close()
    handed.stop()
    lives.stop()
    if control:
        control.stop()
    log.info("left", figures=" ".join(figures.lines(list(config.classes), len(directory.boxes), 0)))


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop handles it, it would end the process
    set_up_log()
    try:
        asyncio.run(run(read_config(os.environ)))
    except BadConfig as error:
        print(f"cleatyoke: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
