"""Tables of a TOML file, whose keys are checked as they are read; an error names the key and its line."""

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
    """The tables of a file; ConfigError where it can't be read."""

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
        """The table of this name, empty where the file has none; ConfigError where the key is no table."""
        row = self._data.get(name, {})
        if not isinstance(row, dict):
            message = f"{self.path}: [{name}] (line {self.line('', name)}): not a table"
            raise ConfigError(message)
        return TomlTable(self, name, row)

    def line(self, table: str, key: str) -> int:
        """The line of a table's key, from 1; 0 where the table has no such key."""
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

    def __init__(self, file: TomlFile, name: str, row: dict[str, Any]) -> None:
        self._file, self._name, self._row = file, name, row

    def error(self, key: str, problem: object) -> ConfigError:
        """The error to raise for this key."""
        line = self._file.line(self._name, key)
        place = f" (line {line})" if line else ""  # a missing key has no line
        return ConfigError(f"{self._file.path}: {self._name}.{key}{place}: {problem}")

    def text(self, key: str) -> str:
        """A text."""
        return self._value(key, str, None)

    def flag(self, key: str, default: bool) -> bool:
        """True or false."""
        return self._value(key, bool, default)

    def integer(self, key: str, default: int) -> int:
        """An integer of either sign."""
        return self._value(key, int, default)

    def positive(self, key: str, default: int) -> int:
        """An integer above 0."""
        value = self.integer(key, default)
        if value <= 0:
            raise self.error(key=key, problem=f"{value} is not above 0")
        return value

    def address(self, key: str) -> Address:
        """A loopback host:port."""
        try:
            return parse_address(self.text(key))
        except ConfigError:
            raise
        except ValueError as failure:
            raise self.error(key=key, problem=failure) from failure

    def addresses(self, key: str) -> tuple[Address, ...]:
        """A list of loopback host:port."""
        texts = self._value(key, list, None)
        try:
            return tuple(parse_address(text) for text in texts)
        except (ValueError, TypeError, AttributeError) as failure:
            raise self.error(key=key, problem=f"not a list of loopback host:port: {failure}") from failure

    def _value(self, key: str, kind: type[Value], default: Value | None) -> Value:
        value = self._row.get(key, default)
        if value is None:
            raise self.error(key=key, problem="missing")
        # bool is a subclass of int, and true is not a number here
        if not isinstance(value, kind) or isinstance(value, bool) is not (kind is bool):
            raise self.error(key=key, problem=f"{value!r} is not a {kind.__name__}")
        return value
