"""Network addresses in the form ``HOST:PORT`` that the configuration uses."""

from __future__ import annotations

from dataclasses import dataclass

from cleatyoke.config.errors import ConfigError


@dataclass(slots=True, frozen=True)
class Address:
    """A host name or IP address (IPv6 without brackets), and a port from 0 to 65535."""

    host: str
    port: int

    def __str__(self) -> str:
        """Format the address so that ``read_address`` can parse it."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def read_address(text: str, key: str) -> Address:
    """Parse ``HOST:PORT``; an IPv6 address is in brackets. Raises ``ConfigError``, which names ``key``."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        msg = f"{key}: want HOST:PORT, found {text!r}"
        raise ConfigError(msg)
    return Address(host.strip("[]"), int(port))
