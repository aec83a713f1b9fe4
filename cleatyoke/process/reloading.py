"""Configuration reload in the running process, on SIGHUP or when distributed settings arrive."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import structlog

from cleatyoke.config.deployment import Config, ReloadResult, read_config, use_file_settings
from cleatyoke.process.metrics import Metrics

if TYPE_CHECKING:
    from cleatyoke.distribution.contents import DistributedSettings

log = structlog.get_logger()


class Reloader:
    """Re-reads the configuration and applies it atomically: not at all if any part is invalid.

    ``on_reloaded`` is called after each reload that was applied. Distributed settings take precedence over
    those of the file, also at every later SIGHUP.
    """

    def __init__(
        self, config: Config, fronts_file: Path, metrics: Metrics, on_reloaded: Callable[[ReloadResult], None]
    ) -> None:
        self.config = config
        self.fronts_file = fronts_file
        self.metrics = metrics
        self.on_reloaded = on_reloaded
        self._settings_in_force: Callable[[Any], Any] = use_file_settings  # called with the file's settings

    def reload(self) -> None:
        """Handle SIGHUP: re-read the configuration file."""
        if reason := self._apply(self._settings_in_force):
            log.error("reload_failed", reason=reason)

    def apply_distributed(self, settings: DistributedSettings) -> str:
        """Apply distributed settings; return why they were rejected, or an empty string."""
        reason = self._apply(settings.merged)
        if not reason:
            self._settings_in_force = settings.merged
        return reason

    def _apply(self, override_settings: Callable[[Any], Any]) -> str:
        try:
            result = self.config.reload(read_config(os.environ, self.fronts_file, override_settings))
        except Exception as error:  # noqa: BLE001  no content of the file may end the process
            self.metrics.reloads_rejected += 1
            return str(error) or type(error).__name__
        self.metrics.reloads_applied += 1
        log.info(
            "reloaded",
            discovery=self.config.discovery,
            moved=result.discovery_address_changed,
            next_start=result.needs_restart,
            retuned=result.retired_classes is not None,
            classes=list(self.config.classes),
        )
        self.on_reloaded(result)
        return ""
