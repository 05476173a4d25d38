"""The stored form of the replicated state: maps the names in a snapshot to the current ones, both ways.

pysyncobj snapshots are pickles, which name a class by its module path and a field by its attribute name. The
files keep the names in use when the format was first released, so that every release reads the snapshots of
all other releases. Instances are upgraded one at a time and send each other their snapshots. The rules:

- A class that is moved or renamed keeps its entry in `STORED_CLASSES`; only `present` changes.
- A field that is renamed is added to `renamed` of its class's entry, as current name -> stored name.
- A frozen dataclass with slots is stored as the list of its values, so its field *order* is the stored form.
"""

from __future__ import annotations

import copyreg
import operator
import pickle
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum
from gzip import GzipFile
from types import ModuleType
from typing import IO, Any

from loadbalancer.membership.member_record import MemberRecord, MemberState
from loadbalancer.membership.quota_ledger import QuotaLedger
from loadbalancer.registry.fleet_state import FleetState
from loadbalancer.routing.coordinator import ActivationCoordinator
from loadbalancer.routing.version_record import PendingActivation, VersionRecord

PROTOCOL = 2  # the pickle protocol of pysyncobj

Reduced = tuple[Any, ...]  # the result of `object.__reduce__`: a callable, its arguments, often a state
Writer = Callable[[Any], Reduced]
State = tuple[None, dict[str, object]] | dict[str, object]  # for a class with slots, or without


@dataclass(slots=True, frozen=True)
class StoredClass:
    """The stored names of one class of the replicated state."""

    module: str
    name: str
    present: type[Any]  # the current class
    renamed: Mapping[str, str] = field(default_factory=dict)  # current field name -> stored field name


STORED_CLASSES = (
    StoredClass(
        "orchidledge.registry.fleet_state",
        "FleetState",
        FleetState,
        {"leader_address": "http", "clock_bound_ms": "bound_ms", "repeated_enrolments": "repeats"},
    ),
    StoredClass(
        "orchidledge.members.ledger",
        "Ledger",
        QuotaLedger,
        {"last_incarnation": "incarnations", "records_by_incarnation": "by_incarnation"},
    ),
    StoredClass(
        "orchidledge.members.ledger",
        "Row",
        MemberRecord,
        {
            "start_id": "start",
            "enrolled_revision": "enrolled",
            "quota": "share",
            "acknowledged_revision": "acked",
            "renewal_seq": "seq",
        },
    ),
    StoredClass("orchidledge.members.ledger", "State", MemberState),
    StoredClass(
        "orchidledge.routes.activation",
        "Activations",
        ActivationCoordinator,
        {"last_number": "last", "active_number": "in_force"},
    ),
    StoredClass("orchidledge.routes.activation", "Version", VersionRecord),
    StoredClass("orchidledge.routes.activation", "Pending", PendingActivation),
)


class StoredObject:
    """Base of the placeholder classes with the stored names: pickle writes only names that can be imported.

    Writing and reading snapshots here creates no instance of it; a plain `pickle.load` of a snapshot does,
    with the stored constructor arguments and state.
    """

    def __init__(self, *args: object) -> None:
        self.args = args

    def __setstate__(self, state: object) -> None:
        self.state = state


def _register(stored: StoredClass) -> type[StoredObject]:
    """Create and return a placeholder class that can be imported by its stored name."""
    parts = stored.module.split(".")
    for count in range(1, len(parts) + 1):
        path = ".".join(parts[:count])
        sys.modules.setdefault(path, ModuleType(path, "Names of classes in stored snapshots."))
    placeholder = type(stored.name, (StoredObject,), {"__module__": stored.module})
    setattr(sys.modules[stored.module], stored.name, placeholder)
    return placeholder


def _rename(state: object, names: Mapping[str, str]) -> object:
    """Return a pickled state with its fields renamed, for each form of state."""
    if not names:
        return state
    match state:
        case dict():
            return {names.get(name, name): value for name, value in state.items()}
        case (None, dict() as slots):
            return None, {names.get(name, name): value for name, value in slots.items()}
        case _:  # a list of the values, in the order of the fields
            return state


def _reader(stored: StoredClass) -> type[Any]:
    """Return the class with which pickle reads objects of this stored class.

    If fields were renamed, this is a subclass of the current class with the same layout. pickle creates an
    instance and passes it the stored state; the instance then changes its class to the current one, so that
    references to it that pickle has already stored stay valid.
    """
    present = stored.present
    if not stored.renamed:
        return present
    names = {old: new for new, old in stored.renamed.items()}
    set_present_state = getattr(present, "__setstate__", None)

    def set_stored_state(self: object, state: State) -> None:
        object.__setattr__(self, "__class__", present)
        if set_present_state is not None:
            set_present_state(self, _rename(state, names))
            return
        values = state[1] if isinstance(state, tuple) else state
        for name, value in values.items():
            setattr(self, names.get(name, name), value)

    return type(stored.name, (present,), {"__slots__": (), "__setstate__": set_stored_state})


def _writer(stored: StoredClass) -> Writer:
    """Return a function that gives the reduced form of an object of this class, under stored names."""
    placeholder = _register(stored)
    if issubclass(stored.present, Enum):
        return lambda member: (placeholder, (member.value,))
    # `copyreg.__newobj__` would require the object to be an instance of the class that is written. All
    # objects share one tuple of arguments, so that pickle writes it once.
    create: Callable[..., Any] = copyreg._reconstructor  # type: ignore[attr-defined]
    arguments = (placeholder, object, None)
    state_of = _state_getter(stored.present, stored.renamed)
    return lambda instance: (create, arguments, state_of(instance))


def _state_getter(present: type[Any], renamed: Mapping[str, str]) -> Callable[[Any], Any]:
    """Return a function that gives an object's state as pickle would, with its fields renamed."""
    if is_dataclass(present) and present.__getstate__ is object.__getstate__:
        names = [item.name for item in fields(present)]
        stored_names = [renamed.get(name, name) for name in names]
        values = operator.attrgetter(*names)
        return lambda instance: (None, dict(zip(stored_names, values(instance), strict=True)))
    return lambda instance: _rename(instance.__reduce_ex__(PROTOCOL)[2], renamed)


class StoredForm:
    """Writes and reads pickles in which these classes have their stored names."""

    def __init__(self, classes: Iterable[StoredClass]) -> None:
        stored_classes = tuple(classes)
        self._readers = {(stored.module, stored.name): _reader(stored) for stored in stored_classes}
        self._writers = {stored.present: _writer(stored) for stored in stored_classes}

    def dump(self, value: object, file: IO[bytes] | GzipFile) -> None:
        """Write one object."""
        _Pickler(file, self._writers).dump(value)

    def load(self, file: IO[bytes] | GzipFile) -> Any:  # noqa: ANN401  # the type that was written
        """Read one object; raise AttributeError or ImportError if it names an unknown class."""
        return _Unpickler(file, self._readers).load()


class _Pickler(pickle.Pickler):
    def __init__(self, file: IO[bytes] | GzipFile, writers: Mapping[type[Any], Writer]) -> None:
        super().__init__(file, PROTOCOL)
        self._writers = writers

    def reducer_override(self, value: object) -> Any:  # noqa: ANN401  # pickle's signature
        writer = self._writers.get(type(value))
        return NotImplemented if writer is None else writer(value)


class _Unpickler(pickle.Unpickler):
    def __init__(self, file: IO[bytes] | GzipFile, readers: Mapping[tuple[str, str], type[Any]]) -> None:
        super().__init__(file)
        self._readers = readers

    def find_class(self, module: str, name: str) -> Any:  # noqa: ANN401  # pickle's signature
        reader = self._readers.get((module, name))
        return super().find_class(module, name) if reader is None else reader


STORED_FORM = StoredForm(STORED_CLASSES)
