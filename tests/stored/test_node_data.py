"""What a node of commit bf594b0 left on its disk is read whole, and is written the same way now.

The fixtures are described in tests/data/release_bf594b0/README.md.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from loadbalancer.node.config import parse_config
from loadbalancer.node.control.route_store import RouteStore
from loadbalancer.node.state.ejections import Ejection, EjectionStore
from loadbalancer.node.state.handover import HandoverFiles
from loadbalancer.node.state.restore import read_state
from loadbalancer.node.state.snapshot import encode_state
from tests.support.loopback import config_row
from tests.support.registry_processes import ROOT

DATA = Path(__file__).parents[1] / "data" / "release_bf594b0"
EXPECTED: dict[str, Any] = orjson.loads((DATA / "node-expected.json").read_bytes())
STATE = DATA / "node" / "n0.state"
WRITTEN_MS = EXPECTED["state"]["written_ms"]
OLD_PROCESS, NEW_PROCESS = 41, 42


@pytest.fixture
def node(tmp_path: Path) -> Path:
    """A copy of the node's files, which a reader may change."""
    return shutil.copytree(DATA / "node", tmp_path / "node")


def files(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def test_a_state_file_is_read_whole_and_written_as_the_same_bytes() -> None:
    found = read_state(STATE, "n0", WRITTEN_MS + 1_000.0, 0)
    assert (found.age_ms, found.violated_rules) == (1_000.0, [])
    assert found.learned is not None
    assert found.endpoint_list is not None
    written = encode_state("n0", WRITTEN_MS, found.learned, found.ejected_since_ms, found.endpoint_list)
    assert written == STATE.read_bytes()


def test_a_state_file_is_shown_with_its_contents() -> None:
    command = [sys.executable, "-m", "loadbalancer", "state", "show", str(STATE), "--node", "n0"]
    shown = subprocess.run(command, capture_output=True, cwd=ROOT, check=True)
    row = orjson.loads(shown.stdout)
    summary = {key: row.pop(key) for key in ("verdict", "age_ms", "listed")}
    assert (summary["verdict"], summary["listed"]) == ("whole", 2)
    assert row == EXPECTED["state"]
    assert orjson.dumps(row) == orjson.dumps(EXPECTED["state"])


def test_route_versions_are_read_and_written_as_the_same_bytes(node: Path, tmp_path: Path) -> None:
    expected = [(number, text) for number, text in EXPECTED["routes"]]
    store = RouteStore(node / "routes")
    assert store.load_all() == expected
    store.close()
    again = RouteStore(tmp_path / "again")
    for number, text in expected:
        again.write(number, text).result()
    again.close()
    assert files(tmp_path / "again") == files(DATA / "node" / "routes")


def test_ejections_are_read_and_written_as_the_same_bytes(node: Path, tmp_path: Path) -> None:
    expected = EXPECTED["ejections"]
    found = EjectionStore(node / "ejections")
    assert sorted(found.read_changes(WRITTEN_MS)) == sorted(expected)
    again = EjectionStore(tmp_path / "again")
    for name, row in expected.items():
        assert found.get(name) == Ejection(row["out_ms"], row["back_ms"])
        again.eject(name, row["out_ms"])
        if row["back_ms"] is not None:
            again.restore(name, row["back_ms"])
    assert files(tmp_path / "again") == files(DATA / "node" / "ejections")


def test_what_a_process_hands_over_is_read_and_written_as_the_same_bytes(node: Path, tmp_path: Path) -> None:
    learned, held = HandoverFiles(node / "handover", NEW_PROCESS).read_siblings(WRITTEN_MS)
    assert learned is not None
    assert held == EXPECTED["handover"]["held"]
    HandoverFiles(tmp_path / "again", OLD_PROCESS).write(WRITTEN_MS, learned, held)
    assert files(tmp_path / "again") == files(DATA / "node" / "handover")


def test_two_processes_of_a_node_share_the_folders_that_they_always_shared(tmp_path: Path) -> None:
    config = parse_config(orjson.dumps(config_row("127.0.0.1:1")), {"TMPDIR": str(tmp_path)})
    assert config.ejections_folder == tmp_path / "orchidledge-maintenance"
    assert config.handover_folder == tmp_path / "orchidledge-handover"
