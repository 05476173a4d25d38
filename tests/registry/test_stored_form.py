"""Snapshots across releases: the stored names, and the state restored from an earlier release's snapshot."""

from __future__ import annotations

import gzip
import io
import pickle
import pickletools
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
import pytest

from loadbalancer.registry.catalog import TargetCatalog
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.service_clock import ServiceClock
from loadbalancer.registry.snapshot_file import SnapshotFile
from loadbalancer.registry.stored_form import StoredClass, StoredForm

DATA = Path(__file__).parents[1] / "data"

# The stored names of classes, which are the only ones that earlier releases can read.
RELEASED_CLASSES = {
    "orchidledge.members.ledger Ledger",
    "orchidledge.members.ledger Row",
    "orchidledge.members.ledger State",
    "orchidledge.registry.fleet_state FleetState",
    "orchidledge.routes.activation Activations",
    "orchidledge.routes.activation Pending",
    "orchidledge.routes.activation Version",
}
PYTHON_CLASSES = {"__builtin__ frozenset", "__builtin__ object", "__builtin__ set", "copy_reg _reconstructor"}
RELEASED_FIELDS = {
    "FleetState": "ledger routes log_ms term http epoch ttl_ms bound_ms repeats services",
    "Ledger": "revision incarnations by_incarnation",
    "Row": "name address zone start incarnation rank enrolled share acked elector state seq",
    "Activations": "revision last in_force versions pending",
}
RELEASED_ATTRIBUTES = ["revision", "horizon", "live", "changed", "gone", "renewed"], ["state"]


def consumers() -> tuple[TargetCatalog, FleetCatalog]:
    fleet = FleetCatalog(ServiceClock(None), lambda: 0.0, lambda groups: None)
    return TargetCatalog(max_tombstones=3, on_change=lambda revision: None), fleet


def read(path: Path) -> tuple[TargetCatalog, FleetCatalog]:
    targets, fleet = consumers()
    raft = SnapshotFile([targets, fleet]).read(str(path))
    assert raft == (("entry", 12, 7), ("entry", 13, 7), {"127.0.0.1:1"})
    return targets, fleet


def write(path: Path, targets: TargetCatalog, fleet: FleetCatalog) -> bytes:
    SnapshotFile([targets, fleet]).write(str(path), (("entry", 12, 7), ("entry", 13, 7), {"127.0.0.1:1"}))
    return gzip.decompress(path.read_bytes())


def content(targets: TargetCatalog, fleet: FleetCatalog) -> Any:
    """Return all restored state, in the form of tests/data/registry-snapshot.json."""
    state = fleet.state
    pages = [targets.page(since) for since in (5, 9)]
    ledgers = {"": state.ledger, **state.services}
    restored = {
        "page": targets.page(None).targets,
        "count": list(targets.counts()),
        "since_5": [pages[0].complete, pages[0].targets],
        "since_9": [pages[1].complete, pages[1].targets],
        "renewed": targets._serialize()["renewed"],
        "members": fleet.members(),
        "routes": state.routes.status(),
        "texts": [state.routes.text(number) for number in range(4)],
        "ledgers": {
            service: {
                "revision": ledger.revision,
                "incarnations": ledger.last_incarnation,
                "numbers": list(ledger.records_by_incarnation),
            }
            for service, ledger in ledgers.items()
        },
        "leader": {
            "term": state.term,
            "http": state.leader_address,
            "epoch": state.epoch,
            "ttl_ms": state.ttl_ms,
            "bound_ms": state.clock_bound_ms,
            "repeats": state.repeated_enrolments,
        },
        "services": [state.service_of(incarnation) for incarnation in range(1, 8)],
    }
    return orjson.loads(orjson.dumps(restored))


def test_snapshot_of_earlier_release_is_read_and_rewritten_unchanged(
    tmp_path: Path,
) -> None:
    expected = orjson.loads((DATA / "registry-snapshot.json").read_bytes())
    restored = read(DATA / "registry-snapshot.dump")
    assert content(*restored) == expected
    write(tmp_path / "raft.dump", *restored)
    assert content(*read(tmp_path / "raft.dump")) == expected


def test_commands_apply_to_state_restored_from_snapshot(tmp_path: Path) -> None:
    targets, fleet = read(DATA / "registry-snapshot.dump")
    assert targets.remove("s-5", 9, _doApply=True) == 11
    # None, as this instance prepares responses in no term.
    assert fleet.renew_many(2_000.0, 7, [(5, 2, 1, 2, 0.1)], _doApply=True) is None
    assert fleet.state.log_ms == 2_000.0
    assert fleet.leave(2_001.0, 7, 5, _doApply=True) is True
    assert fleet.halt(2_002.0, 7, None, _doApply=True).number == 3
    assert [member["state"] for member in fleet.members("pay")["members"]] == ["left", "live"]


def test_snapshot_has_class_names_of_earlier_releases(tmp_path: Path) -> None:
    data = write(tmp_path / "raft.dump", *read(DATA / "registry-snapshot.dump"))
    named = {argument for opcode, argument, _ in pickletools.genops(data) if opcode.name == "GLOBAL"}
    assert named - PYTHON_CLASSES == RELEASED_CLASSES
    assert {opcode.proto for opcode, _, _ in pickletools.genops(data)} <= {0, 1, 2}


def fields_of(stored: Any) -> list[str]:
    state = stored.state
    return list(state[1] if isinstance(state, tuple) else state)


def test_snapshot_has_field_names_of_earlier_releases(tmp_path: Path) -> None:
    data = write(tmp_path / "raft.dump", *read(DATA / "registry-snapshot.dump"))
    [raft, targets, fleet], *_ = pickle.loads(data)
    assert raft == {}
    assert (list(targets), list(fleet)) == RELEASED_ATTRIBUTES
    state = fleet["state"]
    ledger = state.state[1]["services"]["pay"]
    activations = state.state[1]["routes"]
    record = ledger.state["by_incarnation"][5]
    assert record.state[1]["state"].args == ("live",)
    for stored in (state, ledger, record, activations):
        assert fields_of(stored) == RELEASED_FIELDS[type(stored).__name__].split()
    # Values by position: number, text, digest, phase, of, why, at_ms
    versions = activations.state[1]["versions"]
    assert [version.state[:2] + version.state[3:] for version in versions][2] == [
        *(2, "neutral = true\n# second\n", "aborted", None, "1 said no: disk full", None),
    ]
    # Values by position: number, deadline_ms, asked, needed, yes, at_ms
    pending = activations.state[1]["pending"].state
    assert pending == [3, 9_000.0, frozenset({1, 2, 4, 5, 6, 7}), frozenset({1, 2, 5, 6, 7}), {2}, None]


def test_state_without_groups_is_stored_without_services(tmp_path: Path) -> None:
    targets, fleet = consumers()
    fleet.lead(0.0, 1, "127.0.0.1:1", None, 1_000.0, 50.0, _doApply=True)
    data = write(tmp_path / "raft.dump", targets, fleet)
    state = pickle.loads(data)[0][2]["state"]
    assert fields_of(state) == RELEASED_FIELDS["FleetState"].split()[:-1]
    _, restored = read(tmp_path / "raft.dump")
    assert (restored.state.leader_address, restored.state.services) == ("127.0.0.1:1", {})


@dataclass(slots=True)
class Slotted:
    renamed: int
    unchanged: Any


class Plain:
    def __init__(self, renamed: int) -> None:
        self.renamed = renamed
        self.derived = renamed + 1

    def __getstate__(self) -> dict[str, Any]:
        return {"renamed": self.renamed}

    def __setstate__(self, state: dict[str, Any]) -> None:
        self.__init__(state["renamed"])  # type: ignore[misc]


@pytest.mark.parametrize("make", [lambda: Slotted(1, [2]), lambda: Plain(1)])
def test_renamed_class_and_field_are_stored_under_first_names(make: Any) -> None:
    written = make()
    stored_class = StoredClass("first.release", "First", type(written), {"renamed": "old"})
    form, file = StoredForm([stored_class]), io.BytesIO()
    form.dump([written, written], file)
    data = file.getvalue()
    stored = pickle.loads(data)[0]
    assert (type(stored).__module__, type(stored).__name__) == ("first.release", "First")
    assert fields_of(stored)[0] == "old"
    restored, same = form.load(io.BytesIO(data))
    assert restored is same
    assert type(restored) is type(written)
    names = [name for name in ("renamed", "unchanged", "derived") if hasattr(written, name)]
    assert [getattr(restored, name) for name in names] == [getattr(written, name) for name in names]
