"""The contents of a pickle as plain JSON, read without importing the classes that it names.

Placeholders replace the program's classes and record the arguments and state that the pickle has for each
object. So a test sees the stored class and field names, independently of the current names.

Lists and dicts with text keys are unchanged. A tuple becomes `{"tuple": [...]}`, a set `{"set": [...]}`
(sorted), any other dict `{"pairs": [[key, value], ...]}`, and an object `{"class": name, "arguments": [...],
"state": ...}` without empty parts.
"""

from __future__ import annotations

import gzip
import io
import pickle
from pathlib import Path
from typing import Any

PROGRAM_PACKAGES = ("orchidledge", "loadbalancer")
PLAIN = (str, int, float, bool, type(None))


class Placeholder:
    """Replaces an object of a class that the pickle names."""

    module = name = ""
    arguments: tuple[Any, ...] = ()
    state: Any = None

    def __new__(cls, *arguments: Any) -> Placeholder:
        instance = super().__new__(cls)
        instance.arguments = arguments
        return instance

    def __init__(self, *arguments: Any) -> None:
        """Accept the arguments, which `__new__` has stored."""

    def __setstate__(self, state: Any) -> None:
        self.state = state


class _Reader(pickle.Unpickler):
    """Loads a pickle with placeholders for the program's classes, and records those classes."""

    def __init__(self, data: bytes) -> None:
        super().__init__(io.BytesIO(data))
        self.classes: dict[tuple[str, str], type[Placeholder]] = {}

    def find_class(self, module: str, name: str) -> Any:
        if module.split(".")[0] not in PROGRAM_PACKAGES:
            return super().find_class(module, name)
        if (module, name) not in self.classes:
            self.classes[module, name] = type(name, (Placeholder,), {"module": module, "name": name})
        return self.classes[module, name]


def contents(data: bytes) -> Any:
    """Return the contents of a pickle as plain JSON."""
    return _plain(_Reader(data).load())


def named_classes(data: bytes) -> set[str]:
    """Return the program's classes that a pickle names, as `module:name`."""
    reader = _Reader(data)
    reader.load()
    return {f"{module}:{name}" for module, name in reader.classes}


def unzipped(path: Path) -> bytes:
    """Return the pickle in a snapshot file."""
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
    if isinstance(value, Placeholder):
        return _plain_object(value)
    raise TypeError(f"{type(value)} in a pickle")


def _plain_dict(value: dict[Any, Any]) -> dict[str, Any]:
    if all(isinstance(key, str) for key in value):
        return {key: _plain(item) for key, item in value.items()}
    return {"pairs": [[_plain(key), _plain(item)] for key, item in value.items()]}


def _plain_object(value: Placeholder) -> dict[str, Any]:
    entry: dict[str, Any] = {"class": value.name}
    if value.arguments:
        entry["arguments"] = [_plain(item) for item in value.arguments]
    if value.state is not None:
        entry["state"] = _plain(value.state)
    return entry
