"""The table of a route version: for each class, weights of groups of servers, written as TOML.

    [[class.read.group]]
    model = "m2"
    az = "a"
    weight = 3.0

    [[class.default.group]]   # the classes that are not named
    weight = 1.0              # without model and az: every server that no earlier group takes

A server belongs to the first group that takes it. A class without groups, where there is no `default`, is
ranked as under version 0. `neutral = true`, alone, is version 0's table.
"""

from __future__ import annotations

import tomllib
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from loadbalancer.endpoints import Endpoint, EndpointStatus, TrafficSplit

DEFAULT = "default"
NEUTRAL = "neutral = true\n"
MAX_TEXT_BYTES = 16 * 1024  # bytes: some 300 groups; a parse takes 20 ms at most
MAX_LINE_CHARS = 400  # Guard: tomllib is quadratic in the parts of a dotted key, 6 s for one of 32 KB
MAX_CLASSES = 64
MAX_GROUPS = 64
MAX_WEIGHT = 1e6
MAX_PARSES = 40  # to find an error's line
MAX_ERROR_CHARS = 300

Path = tuple[str | int, ...]
Name = Annotated[str, Field(min_length=1, max_length=128)]


class _Row(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    model: Name | None = None
    az: Name | None = None
    weight: Annotated[float, Field(ge=0, le=MAX_WEIGHT, allow_inf_nan=False)]


class _Class(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    group: Annotated[list[_Row], Field(min_length=1, max_length=MAX_GROUPS)]


class _Text(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    neutral: bool = False
    classes: Annotated[dict[Name, _Class], Field(alias="class", max_length=MAX_CLASSES)] = {}


@dataclass(slots=True, frozen=True)
class RouteTable:
    """A route version's number and its groups by class, in the text's order."""

    number: int
    classes: tuple[tuple[str, tuple[TrafficSplit, ...]], ...]

    def splits(self, class_name: str) -> tuple[TrafficSplit, ...]:
        """The class's groups, else those of `default`; () where it is ranked as under version 0."""
        named = dict(self.classes)
        return named.get(class_name, named.get(DEFAULT, ()))

    def splits_by_class(self, classes: Iterable[str]) -> dict[str, tuple[TrafficSplit, ...]]:
        """The groups of those of these classes that have any: what the event RouteVersion carries."""
        return {name: groups for name in classes if (groups := self.splits(name))}


def parse_table(number: int, text: str | bytes) -> RouteTable:
    """The table of version `number`; ValueError, in one line, names the key and its line."""
    text = _bounded(text)
    try:
        data = tomllib.loads(text)
    except RecursionError as error:
        raise ValueError("text: nested too deep") from error
    except ValueError as error:
        said = str(error).replace("at end of document", f"at its end, line {len(text.splitlines())}")
        raise ValueError(_one_line(f"text: {said}")) from error
    try:
        parsed = _Text.model_validate(data)
    except ValidationError as error:
        raise _as_line(text, error) from error
    if parsed.neutral == bool(parsed.classes):
        raise ValueError("class: a table names classes, or says neutral = true and nothing else")
    return RouteTable(number, tuple((name, _groups(text, name, row)) for name, row in parsed.classes.items()))


def find_objections(
    table: RouteTable,
    classes: Collection[str],
    endpoints: Iterable[Endpoint],
    unconfident: Collection[str] = (),
) -> list[str]:
    """Why a node with these classes and servers can't take this version; [] when it can.

    `blind` are the addresses of servers whose route is marked blind: a group of such servers alone is no
    group to send calls to.
    """
    kinds: dict[
        tuple[str, str], tuple[Endpoint, bool]
    ] = {}  # by model and zone: one of its ready servers, any seen
    for server in endpoints:
        if server.state is EndpointStatus.UP:
            kind = (server.model, server.zone)
            seen = server.name not in unconfident or (kind in kinds and kinds[kind][1])
            kinds[kind] = (server, seen)
    why = []
    for name, groups in table.classes:
        if name != DEFAULT and name not in classes:
            why.append(f"class {name!r}: not one of this node's")
        found: dict[TrafficSplit, bool] = {}
        for server, seen in kinds.values():
            group = next((group for group in groups if group.matches(server)), None)
            if group is not None:
                found[group] = seen or found.get(group, False)
        for group in groups:
            if group.weight > 0 and not found.get(group):
                lack = "only servers whose route is blind" if group in found else "no ready server"
                why.append(
                    f"class {name!r}: {lack} of model {group.model or 'any'}, az {group.zone or 'any'}"
                )
    return [_one_line(reason) for reason in why]


def _bounded(text: str | bytes) -> str:
    try:
        raw = text if isinstance(text, bytes) else text.encode()
        text = raw.decode()
    except UnicodeError as error:
        raise ValueError(_one_line(f"text: not UTF-8: {error}")) from error
    if len(raw) > MAX_TEXT_BYTES:
        raise ValueError(f"text: {len(raw)} bytes, over {MAX_TEXT_BYTES}")
    for at, line in enumerate(text.split("\n"), 1):
        if len(line) > MAX_LINE_CHARS:
            raise ValueError(f"text (line {at}): {len(line)} characters, over {MAX_LINE_CHARS}")
    return text


def _groups(text: str, name: str, row: _Class) -> tuple[TrafficSplit, ...]:
    groups = tuple(TrafficSplit(item.model, item.az, item.weight) for item in row.group)
    if not any(group.weight > 0 for group in groups):
        raise _fail(text, ("class", name), "no weight is above 0")
    for at, group in enumerate(groups):
        for before, earlier in enumerate(groups[:at]):
            if earlier.model in (None, group.model) and earlier.zone in (None, group.zone):
                said = f"takes no server: group[{before}] takes all of them"
                raise _fail(text, ("class", name, "group", at), said)
    return groups


def _as_line(text: str, error: ValidationError) -> ValueError:
    first = error.errors(include_url=False, include_context=False)[0]
    path: Path = tuple(part for part in first["loc"] if part != "[key]")
    if first["type"] == "extra_forbidden":
        return _fail(text, path, "unknown key")
    if first["type"] == "missing":
        return _fail(text, path, "missing", path[:-1])
    if first["type"] in ("dict_type", "model_type"):
        return _fail(text, path, "not a table")
    given = first["input"]
    shown = f", not {given!r}" if isinstance(given, str | int | float) else ""
    return _fail(text, path, first["msg"] + shown)


def _fail(text: str, path: Path, said: str, place: Path | None = None) -> ValueError:
    """The error of the key at `path`, with the line where `place` (the key itself by default) first
    stands."""
    key = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path).lstrip(".")
    return ValueError(_one_line(f"{key} (line {_line(text, path if place is None else place)}): {said}"))


def _one_line(said: str) -> str:
    return "".join(char if char.isprintable() else " " for char in said)[:MAX_ERROR_CHARS]


def _line(text: str, path: Path) -> int:
    """The first line of the statement that brings `path`. tomllib tells no places, so the least run of
    first lines that parses and has the path is sought by halving, and the longest without it ends one line
    before."""
    lines = text.split("\n")
    low, top = 0, len(lines)
    tries = iter(range(MAX_PARSES))
    while top - low > 1:
        middle = (low + top) // 2
        whole = _next_whole(lines, middle, top, tries)
        if whole is None:
            top = middle  # no run from there to the old top parses
        elif _has(whole[1], path):
            top = whole[0]
        else:
            low = whole[0]
    return low + 1


def _next_whole(lines: list[str], start: int, stop: int, tries: Iterator[int]) -> tuple[int, Any] | None:
    """The first run of lines, from `start` to below `stop` of them, that parses."""
    for end in range(start, stop):
        if next(tries, None) is None:
            return None
        try:
            return end, tomllib.loads("\n".join(lines[:end]))
        except ValueError:
            continue  # a value of several lines is cut
    return None


def _has(data: Any, path: Path) -> bool:
    for part in path:
        if isinstance(part, int):
            if not isinstance(data, list) or part >= len(data):
                return False
        elif not isinstance(data, dict) or part not in data:
            return False
        data = data[part]
    return True
