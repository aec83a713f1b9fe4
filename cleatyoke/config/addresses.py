"""Network addresses as the configuration writes them: ``HOST:PORT``."""

from __future__ import annotations

from dataclasses import dataclass

from cleatyoke.config.errors import ConfigError


@dataclass(slots=True, frozen=True)
class Address:
    """A host name or IP address without brackets, and a port from 0 to 65535."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form that ``read_address`` reads."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def read_address(text: str, key: str) -> Address:
    """Read ``HOST:PORT``, with an IPv6 address in brackets. Raises ``ConfigError`` that names ``key``."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        msg = f"{key}: want HOST:PORT, found {text!r}"
        raise ConfigError(msg)
    return Address(host.strip("[]"), int(port))
