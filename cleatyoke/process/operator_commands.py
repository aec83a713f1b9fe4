"""The implementation of the operators' commands in a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleatyoke.admin.control import ControlCommands, FrontConfirmations

if TYPE_CHECKING:
    from cleatyoke.process.daemon import Daemon

HOLD_REPORT_TIMEOUT = 0.5  # seconds that a command waits for the hold to reach the other fronts


def operator_commands(daemon: Daemon) -> ControlCommands:
    """Return the commands for a daemon; they can be used while it is still starting."""
    server = daemon.http_server
    commands = ControlCommands(
        is_ready=lambda: (
            bool(server.listener) and not server.is_closing and server.drain.is_up(server.is_ready())
        ),
        show_stat=lambda: _stat_lines(daemon),
        disable=daemon.hold_file.disable,
        enable=daemon.hold_file.enable,
        drain=server.begin_drain,
        resume=server.drain.resume,
    )
    if daemon.config.fleet:
        commands.wait_for_fronts = lambda node, hold: _wait_for_fronts(daemon, node, hold)
        commands.show_fleet = lambda: daemon.fleet.status_lines() if daemon.fleet else []
        commands.show_replica = lambda: daemon.fleet.replica_lines() if daemon.fleet else []
        commands.show_recovery = lambda: daemon.staged_start.status_lines() if daemon.staged_start else []
    if daemon.config.distribution:
        commands.show_config = lambda: _config_lines(daemon)
    return commands


def _stat_lines(daemon: Daemon) -> list[str]:
    counts = daemon.node_counts()
    lines = daemon.metrics.stat_lines(list(daemon.config.classes), counts.listed, counts.down)
    fleet_lines = daemon.fleet.metric_lines() if daemon.fleet else []
    return lines + fleet_lines + _config_lines(daemon)


def _config_lines(daemon: Daemon) -> list[str]:
    return daemon.subscription.lines() if daemon.subscription else []


def _wait_for_fronts(daemon: Daemon, node: str, hold: bool) -> FrontConfirmations:
    if daemon.fleet:
        return FrontConfirmations(*daemon.fleet.wait_until_replicated(node, hold, HOLD_REPORT_TIMEOUT))
    return FrontConfirmations(1, daemon.config.settings.front_count)  # the fleet view is still starting
