"""Tables of a TOML file that check keys when they are read; an error names the key and its line."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

from loadbalancer.node.address import Address
from loadbalancer.registry.addresses import parse_address
from loadbalancer.registry.errors import ConfigError

Value = TypeVar("Value", str, int, bool, list[Any])


class TomlFile:
    """The tables of a file; the constructor raises ConfigError if it can't be read."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self._text = path.read_text()
            self._data = tomllib.loads(self._text)
        except OSError as failure:
            message = f"{path}: {failure.strerror}"
            raise ConfigError(message) from failure
        except tomllib.TOMLDecodeError as failure:
            message = f"{path}: {failure}"
            raise ConfigError(message) from failure

    def table(self, name: str) -> TomlTable:
        """Return a table, empty if the file has none; raise ConfigError if the key is not a table."""
        values = self._data.get(name, {})
        if not isinstance(values, dict):
            message = f"{self.path}: [{name}] (line {self.line('', name)}): not a table"
            raise ConfigError(message)
        return TomlTable(self, name, values)

    def line(self, table: str, key: str) -> int:
        """Return the line number of a table's key, from 1; 0 if the table has no such key."""
        current, pattern = "", re.compile(rf"^\s*{re.escape(key)}\s*=")
        for number, line in enumerate(self._text.splitlines(), 1):
            header = re.match(r"^\s*\[([^\[\]]+)\]", line)
            if header:
                current = header.group(1).strip()
            elif current == table and pattern.match(line):
                return number
        return 0


class TomlTable:
    """Reads the keys of one table. A key without a default is required."""

    def __init__(self, file: TomlFile, name: str, values: dict[str, Any]) -> None:
        self._file, self._name, self._values = file, name, values

    def error(self, key: str, problem: object) -> ConfigError:
        """Return the error to raise for this key."""
        line = self._file.line(self._name, key)
        place = f" (line {line})" if line else ""  # there is no line if the key is missing
        return ConfigError(f"{self._file.path}: {self._name}.{key}{place}: {problem}")

    def text(self, key: str) -> str:
        """Return a text."""
        return self._value(key, str, None)

    def flag(self, key: str, default: bool) -> bool:
        """Return a boolean."""
        return self._value(key, bool, default)

    def integer(self, key: str, default: int) -> int:
        """Return an integer of either sign."""
        return self._value(key, int, default)

    def positive(self, key: str, default: int) -> int:
        """Return an integer above 0."""
        value = self.integer(key, default)
        if value <= 0:
            raise self.error(key=key, problem=f"{value} is not above 0")
        return value

    def address(self, key: str) -> Address:
        """Return a loopback host:port."""
        try:
            return parse_address(self.text(key))
        except ConfigError:
            raise
        except ValueError as failure:
            raise self.error(key=key, problem=failure) from failure

    def addresses(self, key: str) -> tuple[Address, ...]:
        """Return a list of loopback host:port."""
        texts = self._value(key, list, None)
        try:
            return tuple(parse_address(text) for text in texts)
        except (ValueError, TypeError, AttributeError) as failure:
            raise self.error(key=key, problem=f"not a list of loopback host:port: {failure}") from failure

    def _value(self, key: str, kind: type[Value], default: Value | None) -> Value:
        value = self._values.get(key, default)
        if value is None:
            raise self.error(key=key, problem="missing")
        # bool is a subclass of int, but a boolean is no valid number
        if not isinstance(value, kind) or isinstance(value, bool) is not (kind is bool):
            raise self.error(key=key, problem=f"{value!r} is not a {kind.__name__}")
        return value
