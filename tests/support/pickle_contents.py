"""The contents of a pickle as plain JSON, read without the classes that it names.

Classes of the program are replaced by stand-ins that keep what the pickle says of an object. So a test sees
the stored class and field names, whatever the present names are.

How a value is written: a list as it is, a tuple as `{"tuple": [...]}`, a set as `{"set": [...]}` (sorted), a
dict whose keys are texts as it is and any other as `{"pairs": [[key, value], ...]}`, an object as
`{"class": name, "arguments": [...], "state": ...}` where parts that are empty are left out.
"""

from __future__ import annotations

import gzip
import io
import pickle
from pathlib import Path
from typing import Any

PROGRAM_PACKAGES = ("orchidledge", "loadbalancer")
PLAIN = (str, int, float, bool, type(None))


class StandIn:
    """An object of a class that the pickle names, however the pickle creates it."""

    module = name = ""
    arguments: tuple[Any, ...] = ()
    state: Any = None

    def __new__(cls, *arguments: Any) -> StandIn:
        made = super().__new__(cls)
        made.arguments = arguments
        return made

    def __init__(self, *arguments: Any) -> None:
        """Takes what `__new__` has kept."""

    def __setstate__(self, state: Any) -> None:
        self.state = state


class _Reader(pickle.Unpickler):
    """Loads a pickle with stand-ins in place of the program's classes, and notes those classes."""

    def __init__(self, data: bytes) -> None:
        super().__init__(io.BytesIO(data))
        self.classes: dict[tuple[str, str], type[StandIn]] = {}

    def find_class(self, module: str, name: str) -> Any:
        if module.split(".")[0] not in PROGRAM_PACKAGES:
            return super().find_class(module, name)
        if (module, name) not in self.classes:
            self.classes[module, name] = type(name, (StandIn,), {"module": module, "name": name})
        return self.classes[module, name]


def contents(data: bytes) -> Any:
    """What a pickle holds, as plain JSON."""
    return _plain(_Reader(data).load())


def named_classes(data: bytes) -> set[str]:
    """The program's classes that a pickle names, as `module:name`."""
    reader = _Reader(data)
    reader.load()
    return {f"{module}:{name}" for module, name in reader.classes}


def unzipped(path: Path) -> bytes:
    """The pickle in a snapshot file."""
    return gzip.decompress(path.read_bytes())


def _plain(value: Any) -> Any:
    if isinstance(value, PLAIN):
        return value
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, list):
        return [_plain(item) for item in value]
    if isinstance(value, tuple):
        return {"tuple": [_plain(item) for item in value]}
    if isinstance(value, set | frozenset):
        return {"set": sorted(_plain(item) for item in value)}
    if isinstance(value, dict):
        return _plain_dict(value)
    if isinstance(value, StandIn):
        return _plain_object(value)
    raise TypeError(f"{type(value)} in a pickle")


def _plain_dict(value: dict[Any, Any]) -> dict[str, Any]:
    if all(isinstance(key, str) for key in value):
        return {key: _plain(item) for key, item in value.items()}
    return {"pairs": [[_plain(key), _plain(item)] for key, item in value.items()]}


def _plain_object(value: StandIn) -> dict[str, Any]:
    row: dict[str, Any] = {"class": value.name}
    if value.arguments:
        row["arguments"] = [_plain(item) for item in value.arguments]
    if value.state is not None:
        row["state"] = _plain(value.state)
    return row
