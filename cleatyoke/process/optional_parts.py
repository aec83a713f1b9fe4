"""Optional components of the daemon, each imported only where the configuration enables it.

Imports lengthen the start, and thereby the wait of a restarted front's clients; some components are optional
extras. A component that cannot be imported or bound raises a ``ConfigError`` that names its table.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleatyoke.config.addresses import Address
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import DistributionSettings, FleetSettings

if TYPE_CHECKING:
    from cleatyoke.admin.prometheus import MetricsListener
    from cleatyoke.distribution.subscription import Subscription
    from cleatyoke.http.load_probes import LoadProbeRunner
    from cleatyoke.process.daemon import Daemon


def start_load_probes(daemon: Daemon) -> LoadProbeRunner:
    """Start load probes, for nodes that report their load only to probes."""
    from cleatyoke.http.load_probes import LoadProbeRunner
    from cleatyoke.scheduling.load_probes import LoadProber

    config = daemon.config
    settings = config.settings
    prober = LoadProber(settings.front_count, settings.safety.slow_start_duration, config.seed)
    probes = LoadProbeRunner(daemon.core, daemon.backends, prober, config.connect_timeout, daemon.faults)
    probes.start()
    return probes


def subscribe(daemon: Daemon, distribution_settings: DistributionSettings) -> Subscription:
    """Start receiving distributed configuration; the front serves without waiting for it."""
    try:
        from cleatyoke.distribution.subscription import Subscription
    except ImportError as error:
        msg = f"distribution: {error}"
        raise ConfigError(msg) from error
    config = daemon.config
    subscription = Subscription(
        distribution_settings,
        config.name,
        config.seed,
        daemon.faults,
        daemon.reloader.apply_distributed,
        daemon.discovery.apply,
    )
    subscription.start()
    return subscription


def open_metrics_listener(daemon: Daemon, address: Address) -> MetricsListener:
    """Start the metrics endpoint for Prometheus."""
    try:
        from cleatyoke.admin.prometheus import MetricsListener

        return MetricsListener(
            address,
            daemon.metrics,
            daemon.node_counts,
            lambda: daemon.subscription.gauges() if daemon.subscription else {},
        )
    except (ImportError, OSError) as error:
        msg = f"metrics: {error}"
        raise ConfigError(msg) from error


async def start_fleet_view(daemon: Daemon, fleet_settings: FleetSettings) -> None:
    """Run the staged start of a front of a fleet; each stage has a time limit.

    Before it accepts clients, the front waits for its own durable state, for the view of its peers and for
    the endpoint list (``coordination.staged_start``). Sets the daemon's ``staged_start`` first, and ``fleet``
    once the view has started, so that operators can query the progress.
    """
    try:
        from cleatyoke.fleet.startup import StagedStartRunner
        from cleatyoke.fleet.view import FleetView

        config = daemon.config
        nodes = daemon.directory.instances
        staged_start = StagedStartRunner(daemon.shutdown_requested)
        daemon.staged_start = staged_start
        state = await staged_start.restore_durable_state(fleet_settings, config.name, daemon.faults)
        boot = state.state.boot_number if state else 0
        view = FleetView(
            fleet_settings, config.name, config.settings.front_count, config.seed, daemon.faults, boot
        )
        if state:
            state.attach(view)
        view.replicate_holds(daemon.hold_file, config.state_dir)
        if fleet_settings.leases_rate_limits or fleet_settings.leases_slow_start:
            view.start_leasing(daemon.core, lambda node: nodes[node].name if node in nodes else None)
        view.announce_settings(config.settings)
        await view.start()
    except (ImportError, OSError) as error:
        msg = f"fleet: {error}"
        raise ConfigError(msg) from error
    daemon.fleet = view
    await staged_start.wait_for_peers(view)
    await staged_start.wait_for_endpoint_list(
        has_cached_list=bool(nodes), received=daemon.discovery.first_answer
    )
