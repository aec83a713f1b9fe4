"""``python -m cleatyoke.distribution source | relay``: the processes that run on control machines."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import click
import structlog

from cleatyoke.config.addresses import Address, read_address
from cleatyoke.config.errors import ConfigError
from cleatyoke.distribution.contents import lane_of
from cleatyoke.distribution.errors import EpochError
from cleatyoke.distribution.folder import ConfigFolder, next_epoch
from cleatyoke.distribution.network import PollListener, RelayPoller
from cleatyoke.distribution.relay import Relay, Source
from cleatyoke.distribution.subscriber_messages import SubscriberAction
from cleatyoke.process.command_line import run_command
from cleatyoke.process.faults import Faults
from cleatyoke.process.logs import configure_logging
from cleatyoke.process.metrics import Metrics

log = structlog.get_logger()


class AddressType(click.ParamType[Address]):
    """Parameter type of options that take ``HOST:PORT``."""

    name = "address"

    def convert(
        self, value: str | Address, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        """Parse an address; an invalid one is reported as a usage error of the option."""
        if isinstance(value, Address):
            return value
        try:
            return read_address(value, "address")
        except ConfigError as error:
            self.fail(str(error), param, ctx)


LISTEN = click.option("--listen", type=AddressType(), required=True, help="HOST:PORT to listen on.")
DEPLOYMENT = click.option(
    "--deployment", required=True, help="Name of the deployment; polls of others get no reply."
)
MAX_SUBSCRIBERS = click.option("--most", type=click.IntRange(1, 100_000), default=160, show_default=True)


@click.group(help=__doc__)
def commands() -> None:
    """The group of commands; its help is the module's docstring."""


@commands.command()
@LISTEN
@DEPLOYMENT
@MAX_SUBSCRIBERS
@click.option(
    "--folder",
    type=click.Path(path_type=Path),
    required=True,
    help="Directory with a file KEY.json for each key.",
)
@click.option(
    "--epoch",
    type=click.Path(path_type=Path),
    required=True,
    help="File that stores the epoch, on durable storage.",
)
def source(listen: Address, deployment: str, most: int, folder: Path, epoch: Path) -> None:
    """Distribute the keys of a directory; SIGHUP scans it again."""
    if not folder.is_dir():
        msg = f"--folder: {folder} is not a directory"
        raise click.ClickException(msg)
    try:
        number = next_epoch(epoch)
    except (EpochError, OSError) as error:
        msg = f"--epoch: {error}"
        raise click.ClickException(msg) from error
    configure_logging()
    asyncio.run(run_source(Source(deployment, "source", number, most), ConfigFolder(folder), listen))


async def run_source(source: Source, folder: ConfigFolder, listen: Address) -> None:
    """Distribute the folder's values until SIGTERM or SIGINT. Raises ``OSError`` if it can't listen."""
    loop = asyncio.get_running_loop()

    def scan() -> None:
        result = folder.scan()
        for key, value in result.changes.items():
            source.put(loop.time(), lane_of(key), key, value)
        for reason in result.rejected:
            log.error("change_refused", reason=reason)
        log.info(
            "folder_scanned", epoch=source.store.epoch, number=source.last_number, changes=len(result.changes)
        )

    scan()
    listener = PollListener(source)
    address = await listener.start(listen)
    loop.add_signal_handler(signal.SIGHUP, scan)
    log.info("ready", role="source", listen=address, epoch=source.store.epoch)
    await wait_for_shutdown_signal()
    listener.stop()


@commands.command()
@LISTEN
@DEPLOYMENT
@MAX_SUBSCRIBERS
@click.option("--name", required=True, help="Name of this relay, as fronts report it.")
@click.option(
    "--upstream",
    type=AddressType(),
    multiple=True,
    required=True,
    help="The source or another relay; repeatable.",
)
def relay(listen: Address, deployment: str, most: int, name: str, upstream: Sequence[Address]) -> None:
    """Copy the configuration of a source or another relay, and serve it to fronts."""
    tiers = [[str(one) for one in upstream]]
    configure_logging()
    asyncio.run(run_relay(Relay(deployment, name, tiers, random.Random(name), most), listen))


async def run_relay(relay: Relay, listen: Address) -> None:
    """Poll upstream and answer polls until SIGTERM or SIGINT. Raises ``OSError`` if it can't listen."""
    listener = PollListener(relay)
    address = await listener.start(listen)
    poller = RelayPoller(relay, _ignore_action, Faults(Metrics()))
    poller.step()
    log.info("ready", role="relay", name=relay.name, listen=address)
    await wait_for_shutdown_signal()
    poller.stop()
    listener.stop()


def _ignore_action(_: SubscriberAction) -> None:
    """Ignore an action: a relay has handled all but polls and relay changes itself."""


async def wait_for_shutdown_signal() -> None:
    """Return at SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit status.

    2 for an invalid option, after one line on stderr that begins with the option's name.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it would end the process before the event loop handles it
    try:
        return run_command(commands, arguments, "python -m cleatyoke.distribution")
    except OSError as error:
        click.echo(f"--listen: {error}", err=True)
        return 2


if __name__ == "__main__":
    sys.exit(main())
