"""The state file after kills of the node, file corruption, full disks and clocks that were set back."""

from __future__ import annotations

import http.client
import os
import resource
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any

import msgpack
import pytest

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.events import EndpointListUpdate, LearnedState, StateRestored
from loadbalancer.balancing.learned_state import RATES_TRUSTED_MS
from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.discovery.response import DiscoveryResponse
from loadbalancer.node.state import frame, snapshot
from tests.support.builders import make_endpoints, settings
from tests.support.load import Load
from tests.support.loopback import Discovery, list_response, targets
from tests.support.node_processes import Node
from tests.support.ports import free_port
from tests.support.registry_processes import ROOT, until
from tests.support.stub_servers import StubServerPool, ThreadedServer

LEARNED = LearnedState(0.2, 0.3, 7, 0.01, 0.02, 0.02, 100.0, {"read": 20.0}, {"s0": 3.0})


@pytest.fixture
def upstream() -> Iterator[StubServerPool]:
    servers = StubServerPool(1)
    yield servers
    servers.close()


def node_with_state(folder: Path, state: Path, upstream: StubServerPool, **config: Any) -> Node:
    return Node(folder, upstream.known_targets(), state=str(state), **config)


def start_on_full_disk(arguments: list[str], log: Path, env: dict[str, str]) -> subprocess.Popen[bytes]:
    """Start a process for which the disk appears full: writes beyond 64 bytes of a file fail with EFBIG."""

    def limit_file_size() -> None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (64, 64))

    environment = {**os.environ, "PYTHONPATH": str(ROOT), **env}
    process = subprocess.Popen(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,  # a pipe, to which the limit does not apply, unlike a log file
        stderr=subprocess.STDOUT,
        env=environment,
        preexec_fn=limit_file_size,
    )

    def copy_output() -> None:
        assert process.stdout is not None
        with log.open("ab", buffering=0) as file:
            for line in process.stdout:
                file.write(line)

    threading.Thread(target=copy_output, daemon=True).start()
    return process


def wait_until_served(port: int) -> None:
    """Wait until a request gets a response with status 200."""

    def request_succeeds() -> bool:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
        try:
            name = f"probe-{time.monotonic_ns()}"
            connection.request("GET", f"/read/{name}", headers={"Req-Id": name})
            return connection.getresponse().status == 200
        finally:
            connection.close()

    until(request_succeeds, condition="a request served")


def write_state(
    path: Path, listing: DiscoveryResponse, node: str = "n0", at_ms: float | None = None, **body: Any
) -> None:
    data = snapshot.encode_state(node, time.time() * 1000.0 if at_ms is None else at_ms, LEARNED, {}, listing)
    if body:  # replace or add fields of the body; the digest stays valid
        fields = msgpack.unpackb(data[frame.FRAME_HEADER.size :]) | body
        raw = msgpack.packb(fields)
        data = frame.encode_frame(raw)
    path.write_bytes(data)


def test_kill_9_at_50_random_times_leaves_valid_file_and_no_request_twice(
    tmp_path: Path, upstream: StubServerPool
) -> None:
    state = tmp_path / "state" / "n0.state"
    node = node_with_state(tmp_path, state, upstream, state_every_ms=5)
    rng = Random(20261201)
    for kill in range(50):
        node.start()
        client = Load(node.port, f"k{kill}-")
        if kill == 0:  # a kill before the first write would leave no file and test nothing
            until(state.exists, condition="the first write")
        time.sleep(rng.uniform(0.0, 0.15))  # most often, a write is in progress at that time
        node.kill()
        client.finish()
        # A request sent just before the kill may reach the server later, so ids differ in every round.
        twice = {name: uids for name, uids in upstream.servers_reached.items() if len(uids) > 1}
        assert not twice, f"requests reached their server twice: {twice}; {node.log.read_text()[-2000:]}"
        if state.exists():  # the rename leaves the old file or the new one, never a mix
            frame.decode_frame(state.read_bytes())
        assert len(node.log_lines("state ")) >= kill + 1, "a start did not log what it restored from the file"
    node.start()
    wait_until_served(node.port)
    node.stop()
    starts = node.log_lines(f"state {state}:")
    verdicts = Counter(line.split(f"{state}: ")[1].split(",")[0].split(";")[0] for line in starts)
    # "list behind", since the configured list is as new as the stored one.
    assert set(verdicts) <= {"missing", "list behind"}, verdicts
    assert verdicts["missing"] <= 1, verdicts
    assert sum("learned state yes" in line for line in starts) >= 40, verdicts


def _torn(data: bytes, rng: Random) -> bytes:
    return data[: rng.randrange(len(data))]


def _flipped(data: bytes, rng: Random) -> bytes:
    position = rng.randrange(len(data))
    return data[:position] + bytes([data[position] ^ (1 << rng.randrange(8))]) + data[position + 1 :]


@pytest.mark.parametrize(
    ("change", "rule"),
    [
        (lambda path, listing: path.write_bytes(_torn(path.read_bytes(), Random(1))), "torn"),
        (lambda path, listing: path.write_bytes(_flipped(path.read_bytes(), Random(2))), "digest"),
        (lambda path, listing: write_state(path, listing, format=0), "format"),
        (lambda path, listing: write_state(path, listing, node="n9"), "another node"),
        (lambda path, listing: write_state(path, listing, at_ms=time.time() * 1000.0 + 3.6e6), "future"),
        (lambda path, listing: write_state(path, listing, at_ms=time.time() * 1000.0 - 6e5), "list old"),
    ],
)
def test_invalid_state_file_is_rejected_and_node_serves(
    tmp_path: Path, upstream: StubServerPool, change: Callable[[Path, DiscoveryResponse], None], rule: str
) -> None:
    state = tmp_path / "n0.state"
    listing = DiscoveryResponse(
        9, True, make_endpoints(1), {"s0": ("127.0.0.1", 9)}
    )  # no server listens there
    write_state(state, listing)
    change(state, listing)
    node = node_with_state(tmp_path, state, upstream)
    node.start()
    try:
        wait_until_served(node.port)
        [line] = node.log_lines(f"state {state}:")
        assert f": {rule}, " in line
        if rule not in ("future", "list old"):
            assert "learned state no" in line
    finally:
        node.stop()


def test_full_disk_is_logged_once_and_counted_and_node_serves(
    tmp_path: Path, upstream: StubServerPool
) -> None:
    state = tmp_path / "n0.state"
    node = node_with_state(tmp_path, state, upstream, state_every_ms=20)
    node.start(start_on_full_disk)
    client = Load(node.port)
    try:
        until(lambda: node.metric("proxy.state_failures") >= 5, condition="failed writes counted")
        wait_until_served(node.port)
    finally:
        outcomes = client.finish()
        node.stop()
    assert len(node.log_lines("not written, service goes on")) == 1
    assert outcomes[200] == sum(outcomes.values()), outcomes
    assert not state.exists()


def test_second_process_writes_state_file_only_after_first_ends(
    tmp_path: Path, upstream: StubServerPool
) -> None:
    state = tmp_path / "n0.state"
    first = node_with_state(tmp_path, state, upstream, state_every_ms=20)
    second = node_with_state(tmp_path, state, upstream, state_every_ms=20)
    first.start()
    until(lambda: first.metric("proxy.state_writes") > 0, condition="a write of the first process")
    second.start()
    try:
        until(
            lambda: second.log_lines("another process writes it"), condition="the second process not writing"
        )
        assert second.metric("proxy.state_writes") == 0
        first.kill()
        until(lambda: second.metric("proxy.state_writes") > 0, condition="a write of the second process")
        assert second.log_lines("this process writes it from now on")
        frame.decode_frame(state.read_bytes())
    finally:
        second.stop()


def test_restart_during_discovery_outage_serves_restored_list(
    tmp_path: Path, upstream: StubServerPool
) -> None:
    discovery = ThreadedServer(
        Discovery(list_response(5, True, s1=(f"127.0.0.1:{upstream.port()}", "Ready")))
    )
    state = tmp_path / "n0.state"
    # The list in the node's configuration is outdated: its server has been removed.
    outdated = targets(s0=(f"127.0.0.1:{free_port()}", "Ready"))
    push = {"registryMode": "push"}
    node = Node(tmp_path, outdated, discovery.port, state=str(state), state_every_ms=20, settings=push)
    node.start()
    try:
        wait_until_served(node.port)
        writes = node.metric("proxy.state_writes")  # the second write from now certainly has the list
        until(lambda: node.metric("proxy.state_writes") > writes + 1, condition="the list written")
    finally:
        node.kill()
        discovery.close()
    node.start()
    try:
        wait_until_served(node.port)
        [line] = [line for line in node.log_lines(f"state {state}:")][-1:]
        assert "verified" in line
        assert "1 listed" in line
    finally:
        node.stop()


def test_balancer_applies_restored_rates_only_if_recent() -> None:
    fresh, old = (Balancer(settings(), 1, 0.0) for _ in range(2))
    for balancer, age in ((fresh, 1000.0), (old, RATES_TRUSTED_MS + 1.0)):
        balancer.handle(0.0, EndpointListUpdate(EndpointListKind.FULL, make_endpoints(2)))
        balancer.handle(0.0, StateRestored(LEARNED, age))
    assert fresh.cursor == LEARNED.cursor
    assert fresh.state.peak_completion_rate > 0.9 * LEARNED.peak_completion_rate
    assert old.cursor == 0
    assert old.state.peak_completion_rate < 0.4 * LEARNED.peak_completion_rate
    for balancer, age in ((fresh, 1000.0), (old, RATES_TRUSTED_MS + 1.0)):
        # The endpoint's statistics decay from the time of its last outcome.
        assert balancer.endpoints["s0"].last_outcome_ms == -age
