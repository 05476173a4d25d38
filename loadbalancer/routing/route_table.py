"""The table of a route version, as TOML: for each class of requests, the weights of groups of servers.

    [[class.read.group]]
    model = "m2"
    az = "a"
    weight = 3.0

    [[class.default.group]]   # for all classes that are not named
    weight = 1.0              # without model and az: every server that matches no earlier group

A server belongs to the first group that it matches. If a class has no groups and there is no `default`, its
requests are balanced as under version 0. A text of `neutral = true` alone is the table of version 0.
"""

from __future__ import annotations

import tomllib
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated, NamedTuple

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from loadbalancer.endpoints import Endpoint, EndpointStatus, TrafficSplit
from loadbalancer.routing.error_position import Path, find_line
from loadbalancer.routing.errors import RouteTableError, as_one_line

DEFAULT = "default"
TEXT = "text"  # key of errors that concern the complete text
CLASS = "class"  # key of the table of classes
NEUTRAL = "neutral = true\n"
MAX_TEXT_BYTES = 16 * 1024  # about 300 groups; bounds the parsing time
MAX_LINE_CHARS = 400  # tomllib's parsing time is quadratic in the number of parts of a dotted key
MAX_CLASSES = 64
MAX_GROUPS = 64
MAX_WEIGHT = 1e6
MAX_NAME_CHARS = 128

Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]


class _Group(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    model: Name | None = None
    az: Name | None = None
    weight: Annotated[float, Field(ge=0, le=MAX_WEIGHT, allow_inf_nan=False)]


class _Class(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    group: Annotated[list[_Group], Field(min_length=1, max_length=MAX_GROUPS)]


class _Text(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    neutral: bool = False
    classes: Annotated[dict[Name, _Class], Field(alias=CLASS, max_length=MAX_CLASSES)] = {}


@dataclass(slots=True, frozen=True)
class RouteTable:
    """A route version's number and its groups by class, in the order of the text."""

    number: int
    classes: tuple[tuple[str, tuple[TrafficSplit, ...]], ...]

    def splits(self, class_name: str) -> tuple[TrafficSplit, ...]:
        """Return the groups of the class or of `default`; () if it is balanced as under version 0."""
        named = dict(self.classes)
        return named.get(class_name, named.get(DEFAULT, ()))

    def splits_by_class(self, classes: Iterable[str]) -> dict[str, tuple[TrafficSplit, ...]]:
        """Return the groups of each class that has any, in the form of `RouteVersion.classes`."""
        return {name: groups for name in classes if (groups := self.splits(name))}


def parse_table(number: int, text: str | bytes) -> RouteTable:
    """Return the table of version `number`; raise RouteTableError, which names the key and its line."""
    text = _decode_within_limits(text)
    try:
        data = tomllib.loads(text)
    except RecursionError as error:
        raise RouteTableError(TEXT, "nested too deep") from error
    except ValueError as error:
        message = str(error).replace("at end of document", f"at its end, line {len(text.splitlines())}")
        raise RouteTableError(TEXT, message) from error
    try:
        parsed = _Text.model_validate(data)
    except ValidationError as error:
        raise _from_validation(text, error) from error
    if parsed.neutral == bool(parsed.classes):
        raise RouteTableError(CLASS, "a table names classes, or says neutral = true and nothing else")
    return RouteTable(
        number, tuple((name, _groups(text, name, item)) for name, item in parsed.classes.items())
    )


def find_objections(
    table: RouteTable,
    classes: Collection[str],
    endpoints: Iterable[Endpoint],
    unconfident: Collection[str] = (),
) -> list[str]:
    """Return why a node with these classes and endpoints can't apply this version; [] if it can.

    `unconfident` has the names of the endpoints with confidence NONE; a group that has only such endpoints
    can't be served.
    """
    kinds = _ready_kinds(endpoints, unconfident)
    objections = []
    for name, groups in table.classes:
        if name != DEFAULT and name not in classes:
            objections.append(f"class {name!r}: not one of this node's")
        objections += _unservable_groups(name, groups, kinds)
    return [as_one_line(objection) for objection in objections]


class _Kind(NamedTuple):
    """The ready endpoints of one model and zone."""

    example: Endpoint
    has_confident: bool  # whether any of them has a confidence above NONE


def _ready_kinds(endpoints: Iterable[Endpoint], unconfident: Collection[str]) -> list[_Kind]:
    kinds: dict[tuple[str, str], _Kind] = {}
    for endpoint in endpoints:
        if endpoint.state is EndpointStatus.UP:
            key = (endpoint.model, endpoint.zone)
            confident = endpoint.name not in unconfident or (key in kinds and kinds[key].has_confident)
            kinds[key] = _Kind(endpoint, confident)
    return list(kinds.values())


def _unservable_groups(
    class_name: str, groups: tuple[TrafficSplit, ...], kinds: Iterable[_Kind]
) -> Iterator[str]:
    """Yield an objection for each group with a positive weight that no ready endpoint can serve."""
    served: dict[TrafficSplit, bool] = {}
    for kind in kinds:
        group = next((group for group in groups if group.matches(kind.example)), None)
        if group is not None:
            served[group] = kind.has_confident or served.get(group, False)
    for group in groups:
        if group.weight > 0 and not served.get(group):
            problem = "only servers whose route is blind" if group in served else "no ready server"
            model, zone = group.model or "any", group.zone or "any"
            yield f"class {class_name!r}: {problem} of model {model}, az {zone}"


def _decode_within_limits(text: str | bytes) -> str:
    try:
        raw = text if isinstance(text, bytes) else text.encode()
        text = raw.decode()
    except UnicodeError as error:
        raise RouteTableError(TEXT, f"not UTF-8: {error}") from error
    if len(raw) > MAX_TEXT_BYTES:
        raise RouteTableError(TEXT, f"{len(raw)} bytes, over {MAX_TEXT_BYTES}")
    for number, line in enumerate(text.split("\n"), 1):
        if len(line) > MAX_LINE_CHARS:
            raise RouteTableError(TEXT, f"{len(line)} characters, over {MAX_LINE_CHARS}", number)
    return text


def _groups(text: str, name: str, parsed: _Class) -> tuple[TrafficSplit, ...]:
    groups = tuple(TrafficSplit(item.model, item.az, item.weight) for item in parsed.group)
    if not any(group.weight > 0 for group in groups):
        raise _error_at(text, (CLASS, name), "no weight is above 0")
    for index, group in enumerate(groups):
        for earlier_index, earlier in enumerate(groups[:index]):
            if earlier.model in (None, group.model) and earlier.zone in (None, group.zone):
                problem = f"takes no server: group[{earlier_index}] takes all of them"
                raise _error_at(text, (CLASS, name, "group", index), problem)
    return groups


def _from_validation(text: str, error: ValidationError) -> RouteTableError:
    first = error.errors(include_url=False, include_context=False)[0]
    path: Path = tuple(part for part in first["loc"] if part != "[key]")
    if first["type"] == "extra_forbidden":
        return _error_at(text, path, "unknown key")
    if first["type"] == "missing":
        return _error_at(text, path, "missing", path[:-1])
    if first["type"] in ("dict_type", "model_type"):
        return _error_at(text, path, "not a table")
    given = first["input"]
    shown = f", not {given!r}" if isinstance(given, str | int | float) else ""
    return _error_at(text, path, first["msg"] + shown)


def _error_at(text: str, path: Path, problem: str, position: Path | None = None) -> RouteTableError:
    """Return the error for the key at `path`, with the line that defines `position` (default: the key)."""
    key = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path).lstrip(".")
    line = find_line(text, path if position is None else position)
    return RouteTableError(key, problem, line)
