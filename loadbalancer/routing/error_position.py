"""Finds the line of a TOML text in which a key is first defined.

tomllib reports no positions. As a prefix of the text grows, a key appears in the parsed table once and stays
there, so bisection over the length of the prefix finds the statement.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from typing import Any, NamedTuple

MAX_PARSES = 40  # prefixes parsed per search

Path = tuple[str | int, ...]  # keys and, in arrays, indices


class _Prefix(NamedTuple):
    """Leading lines of the text that parse on their own."""

    line_count: int
    table: dict[str, Any]


def find_line(text: str, path: Path) -> int:
    """Return the number (from 1) of the first line of the statement that defines `path`."""
    lines = text.split("\n")
    low, high = 0, len(lines)
    attempts = iter(range(MAX_PARSES))
    while high - low > 1:
        middle = (low + high) // 2
        prefix = _next_prefix(lines, middle, high, attempts)
        if prefix is None:
            high = middle  # no prefix of `middle` up to `high` - 1 lines parses
        elif _has(prefix.table, path):
            high = prefix.line_count
        else:
            low = prefix.line_count
    return low + 1


def _next_prefix(lines: list[str], start: int, stop: int, attempts: Iterator[int]) -> _Prefix | None:
    """Return the shortest prefix of at least `start` and fewer than `stop` lines that parses, if any."""
    for line_count in range(start, stop):
        if next(attempts, None) is None:
            return None
        try:
            return _Prefix(line_count, tomllib.loads("\n".join(lines[:line_count])))
        except ValueError:
            continue  # the prefix ends within a multi-line value
    return None


def _has(table: object, path: Path) -> bool:
    for part in path:
        if isinstance(part, int):
            if not isinstance(table, list) or part >= len(table):
                return False
            table = table[part]
        else:
            if not isinstance(table, dict) or part not in table:
                return False
            table = table[part]
    return True
