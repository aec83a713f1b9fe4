"""A validating reader for one table of a JSON or TOML configuration file."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from cleatyoke.config.addresses import Address, read_address
from cleatyoke.config.errors import ConfigError

MAX_AMOUNT = 1e15  # integers up to it are exact as floats
MAX_REPR_LENGTH = 80  # characters of an invalid value in an error message


@dataclass(slots=True)
class TableReader:
    """Reads the keys of one table and checks the type and range of each value.

    ``path`` is prefixed to keys in error messages. Every reading method raises ``ConfigError`` for an invalid
    value, and for a missing key without a default. A JSON null counts as missing.
    """

    values: Mapping[str, Any]
    path: str
    read_keys: set[str] = field(default_factory=set)  # keys that a reading method was called for

    def error(self, key: str, reason: str) -> ConfigError:
        """Return the error for a key of this table."""
        return ConfigError(f"{self.path}{key}: {reason}")

    def require(self, condition: bool, key: str, reason: str) -> None:
        """Raise the error for ``key`` unless the condition is true."""
        if not condition:
            raise self.error(key, reason)

    def get(self, key: str, default: Any = None) -> Any:
        """Return the value unchecked, or the default; a default of ``None`` makes the key mandatory."""
        self.read_keys.add(key)
        value = self.values.get(key)
        if value is None and default is None:
            raise self.error(key, "missing")
        return default if value is None else value

    def number(self, key: str, default: float | None = None) -> float:
        """Read a number that a finite float can represent."""
        value = self.get(key, default)
        if value is not default and not is_finite_number(value):
            raise self.error(key, f"want a number, found {_truncated_repr(value)}")
        return float(value)

    def amount(self, key: str, default: float | None = None) -> float:
        """Read a number from 0 to ``MAX_AMOUNT``: a rate, a time, a size, a weight.

        A negative one would reverse decisions, and sums of greater ones may exceed the range of floats.
        """
        value = self.number(key, default)
        if not 0 <= value <= MAX_AMOUNT:
            found = _truncated_repr(self.values.get(key))
            raise self.error(key, f"want a number from 0 to {MAX_AMOUNT:g}, found {found}")
        return value

    def positive(self, key: str, default: float | None = None) -> float:
        """Read a finite number greater than 0; the default may be infinite ("not stated").

        A deadline of 0, for example, would reject all requests.
        """
        value = self.number(key, default)
        if not value > 0:
            raise self.error(key, f"want a positive number, found {self.values.get(key)!r}")
        return value

    def integer(self, key: str, minimum: int, maximum: int, default: int | None = None) -> int:
        """Read an integer from ``minimum`` to ``maximum``, both inclusive."""
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
        """Read a string that is a key of ``choices`` and return the value of that key."""
        value = self.text(key, default)
        if value not in choices:
            raise self.error(key, f"want one of {', '.join(choices)}, found {value!r}")
        return choices[value]

    def address(self, key: str) -> Address:
        """Read ``HOST:PORT``."""
        return read_address(self.text(key), f"{self.path}{key}")

    def table(self, key: str, default: Mapping[str, Any] | None = None) -> TableReader:
        """Read a nested table."""
        value = self.get(key, default)
        if not isinstance(value, Mapping):
            raise self.error(key, "want a table")
        return TableReader(value, f"{self.path}{key}.")

    def items(self, key: str, default: list[Any] | None = None) -> list[Any]:
        """Read a list, whatever its items are."""
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
        """Read a list of tables; without a default it must not be empty."""
        values = self.get(key, default)
        if not isinstance(values, list) or not all(isinstance(value, Mapping) for value in values):
            raise self.error(key, "want a list of tables")
        if not values and default is None:
            raise self.error(key, "want one at the least")
        return [TableReader(value, f"{self.path}{key}[{index}].") for index, value in enumerate(values)]

    def reject_unknown_keys(self) -> None:
        """Raise ``ConfigError`` for the first key that no reading method was called for."""
        for key in self.values:
            if key not in self.read_keys:
                raise self.error(key, "unknown key")


def is_finite_number(value: Any) -> bool:
    """Whether a value is an integer or float (not a boolean) that a finite float can represent."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:  # an integer with hundreds of digits
        return False


def _truncated_repr(value: Any) -> str:
    """Return the repr of a value for an error message, truncated if it is long."""
    text = repr(value)
    return text if len(text) <= MAX_REPR_LENGTH else f"{text[:MAX_REPR_LENGTH]}..."
