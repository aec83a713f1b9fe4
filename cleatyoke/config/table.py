"""The checked reader of one table of a configuration file, JSON or TOML."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from cleatyoke.config.addresses import Address, read_address
from cleatyoke.config.errors import ConfigError

MAX_AMOUNT = 1e15  # a whole number up to it is exact as a float
MAX_SHOWN = 80  # characters of a wrong value in an error


@dataclass(slots=True)
class TableReader:
    """Reads the keys of one table and checks the type and range of each value.

    ``path`` stands before each key in error texts. Every reading method raises ``ConfigError`` for a value
    that does not fit, and for a missing key without a default. A JSON null counts as missing.
    """

    values: Mapping[str, Any]
    path: str
    used: set[str] = field(default_factory=set)  # keys that were asked for

    def error(self, key: str, reason: str) -> ConfigError:
        """Return the error for a key of this table."""
        return ConfigError(f"{self.path}{key}: {reason}")

    def require(self, holds: bool, key: str, reason: str) -> None:  # a condition, as in an assertion
        """Raise the error for ``key`` unless the condition holds."""
        if not holds:
            raise self.error(key, reason)

    def get(self, key: str, default: Any = None) -> Any:
        """Return the value as it is, or the default; a default of ``None`` makes the key mandatory."""
        self.used.add(key)
        value = self.values.get(key)
        if value is None and default is None:
            raise self.error(key, "missing")
        return default if value is None else value

    def number(self, key: str, default: float | None = None) -> float:
        """Read a number that a float can hold."""
        value = self.get(key, default)
        if value is not default and not is_finite_number(value):
            raise self.error(key, f"want a number, found {_shown(value)}")
        return float(value)

    def amount(self, key: str, default: float | None = None) -> float:
        """Read a number from 0 to ``MAX_AMOUNT``: a rate, a time, a size, a weight.

        A negative one would turn decisions round, and sums of greater ones leave what floats can hold.
        """
        value = self.number(key, default)
        if not 0 <= value <= MAX_AMOUNT:
            found = _shown(self.values.get(key))
            raise self.error(key, f"want a number from 0 to {MAX_AMOUNT:g}, found {found}")
        return value

    def positive(self, key: str, default: float | None = None) -> float:
        """Read a finite number above 0; the default may be infinite ("not stated").

        A deadline of 0, say, would reject all requests.
        """
        value = self.number(key, default)
        if not value > 0:
            raise self.error(key, f"want a positive number, found {self.values.get(key)!r}")
        return value

    def integer(self, key: str, minimum: int, maximum: int, default: int | None = None) -> int:
        """Read an integer within both bounds, which are allowed values themselves."""
        value = self.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            raise self.error(key, f"want a whole number from {minimum} to {maximum}, found {value!r}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """Read a string."""
        value = self.get(key, default)
        if not isinstance(value, str):
            raise self.error(key, f"want a text, found {value!r}")
        return value

    def boolean(self, key: str, default: bool = False) -> bool:
        """Read true or false."""
        value = self.get(key, default)
        if not isinstance(value, bool):
            raise self.error(key, f"want true or false, found {value!r}")
        return value

    def one_of(self, key: str, choices: Mapping[str, Any], default: str | None = None) -> Any:
        """Read one of the keys of ``choices`` and return what it stands for."""
        value = self.text(key, default)
        if value not in choices:
            raise self.error(key, f"want one of {', '.join(choices)}, found {value!r}")
        return choices[value]

    def address(self, key: str) -> Address:
        """Read ``HOST:PORT``."""
        return read_address(self.text(key), f"{self.path}{key}")

    def table(self, key: str, default: Mapping[str, Any] | None = None) -> TableReader:
        """Read a table inside this one."""
        value = self.get(key, default)
        if not isinstance(value, Mapping):
            raise self.error(key, "want a table")
        return TableReader(value, f"{self.path}{key}.")

    def items(self, key: str, default: list[Any] | None = None) -> list[Any]:
        """Read a list of anything."""
        value = self.get(key, default)
        if not isinstance(value, list):
            raise self.error(key, "want a list")
        return value

    def texts(self, key: str, default: list[str] | None = None) -> list[str]:
        """Read a list of strings."""
        values = self.items(key, default)
        if not all(isinstance(value, str) for value in values):
            raise self.error(key, "want a list of texts")
        return values

    def tables(self, key: str, default: list[Any] | None = None) -> list[TableReader]:
        """Read a list of tables; without a default it holds one at least."""
        values = self.get(key, default)
        if not isinstance(values, list) or not all(isinstance(value, Mapping) for value in values):
            raise self.error(key, "want a list of tables")
        if not values and default is None:
            raise self.error(key, "want one at the least")
        return [TableReader(value, f"{self.path}{key}[{index}].") for index, value in enumerate(values)]

    def reject_unknown_keys(self) -> None:
        """Raise ``ConfigError`` for the first key that no reading method asked for."""
        for key in self.values:
            if key not in self.used:
                raise self.error(key, "unknown key")


def is_finite_number(value: Any) -> bool:
    """Return whether a value is an integer or float, but no boolean, that a finite float can hold."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:  # an integer of hundreds of digits
        return False


def _shown(value: Any) -> str:
    """Return a value as an error shows it, cut where it is long."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."
