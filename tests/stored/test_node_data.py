"""Files that a node of commit bf594b0 stored are read completely and written with the same bytes.

tests/data/release_bf594b0/README.md describes these files.
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
from tests.support.loopback import config_document
from tests.support.registry_processes import ROOT

DATA = Path(__file__).parents[1] / "data" / "release_bf594b0"
EXPECTED: dict[str, Any] = orjson.loads((DATA / "node-expected.json").read_bytes())
STATE = DATA / "node" / "n0.state"
WRITTEN_MS = EXPECTED["state"]["written_ms"]
OLD_PROCESS, NEW_PROCESS = 41, 42


@pytest.fixture
def node(tmp_path: Path) -> Path:
    """A copy of the node's files, since reading may change them."""
    return shutil.copytree(DATA / "node", tmp_path / "node")


def files(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def test_state_file_is_read_and_written_with_the_same_bytes() -> None:
    stored = read_state(STATE, "n0", WRITTEN_MS + 1_000.0, 0)
    assert (stored.age_ms, stored.violated_rules) == (1_000.0, [])
    assert stored.learned is not None
    assert stored.endpoint_list is not None
    written = encode_state("n0", WRITTEN_MS, stored.learned, stored.ejected_since_ms, stored.endpoint_list)
    assert written == STATE.read_bytes()


def test_state_show_prints_contents_of_state_file() -> None:
    command = [sys.executable, "-m", "loadbalancer", "state", "show", str(STATE), "--node", "n0"]
    process = subprocess.run(command, capture_output=True, cwd=ROOT, check=True)
    body = orjson.loads(process.stdout)
    summary = {key: body.pop(key) for key in ("verdict", "age_ms", "listed")}
    assert (summary["verdict"], summary["listed"]) == ("whole", 2)
    assert body == EXPECTED["state"]
    assert orjson.dumps(body) == orjson.dumps(EXPECTED["state"])


def test_route_versions_are_read_and_written_with_the_same_bytes(node: Path, tmp_path: Path) -> None:
    expected = [(number, text) for number, text in EXPECTED["routes"]]
    store = RouteStore(node / "routes")
    assert store.load_all() == expected
    store.close()
    rewritten = RouteStore(tmp_path / "rewritten")
    for number, text in expected:
        rewritten.write(number, text).result()
    rewritten.close()
    assert files(tmp_path / "rewritten") == files(DATA / "node" / "routes")


def test_ejections_are_read_and_written_with_the_same_bytes(node: Path, tmp_path: Path) -> None:
    expected = EXPECTED["ejections"]
    stored = EjectionStore(node / "ejections")
    assert sorted(stored.read_changes(WRITTEN_MS)) == sorted(expected)
    rewritten = EjectionStore(tmp_path / "rewritten")
    for name, times in expected.items():
        assert stored.get(name) == Ejection(times["out_ms"], times["back_ms"])
        rewritten.eject(name, times["out_ms"])
        if times["back_ms"] is not None:
            rewritten.restore(name, times["back_ms"])
    assert files(tmp_path / "rewritten") == files(DATA / "node" / "ejections")


def test_handover_file_is_read_and_written_with_the_same_bytes(node: Path, tmp_path: Path) -> None:
    learned, in_flight = HandoverFiles(node / "handover", NEW_PROCESS).read_siblings(WRITTEN_MS)
    assert learned is not None
    assert in_flight == EXPECTED["handover"]["held"]
    HandoverFiles(tmp_path / "rewritten", OLD_PROCESS).write(WRITTEN_MS, learned, in_flight)
    assert files(tmp_path / "rewritten") == files(DATA / "node" / "handover")


def test_shared_folders_of_node_processes_keep_their_names(tmp_path: Path) -> None:
    config = parse_config(orjson.dumps(config_document("127.0.0.1:1")), {"TMPDIR": str(tmp_path)})
    assert config.ejections_folder == tmp_path / "orchidledge-maintenance"
    assert config.handover_folder == tmp_path / "orchidledge-handover"
