"""The state file across crashes: nodes killed, files torn and flipped, disks full, clocks gone back."""

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
from tests.support.loopback import Discovery, listing, targets
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


def stateful(folder: Path, state: Path, upstream: StubServerPool, **row: Any) -> Node:
    return Node(folder, upstream.known_targets(), state=str(state), **row)


def on_a_full_disk(arguments: list[str], log: Path, env: dict[str, str]) -> subprocess.Popen[bytes]:
    """A full disk, as the process sees one: writes past 64 bytes of a file fail with EFBIG."""

    def cap() -> None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (64, 64))

    environment = {**os.environ, "PYTHONPATH": str(ROOT), **env}
    process = subprocess.Popen(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,  # a pipe, which the limit does not bind, unlike the log's file
        stderr=subprocess.STDOUT,
        env=environment,
        preexec_fn=cap,
    )

    def copy() -> None:
        assert process.stdout is not None
        with log.open("ab", buffering=0) as out:
            for line in process.stdout:
                out.write(line)

    threading.Thread(target=copy, daemon=True).start()
    return process


def served(port: int) -> None:
    """Until one request is answered 200."""

    def one() -> bool:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
        try:
            name = f"probe-{time.monotonic_ns()}"
            connection.request("GET", f"/read/{name}", headers={"Req-Id": name})
            return connection.getresponse().status == 200
        finally:
            connection.close()

    until(one, what="a request served")


def written(
    path: Path, listing: DiscoveryResponse, node: str = "n0", at_ms: float | None = None, **body: Any
) -> None:
    data = snapshot.encode_state(node, time.time() * 1000.0 if at_ms is None else at_ms, LEARNED, {}, listing)
    if body:  # a body of another shape, digested as it should be
        row = msgpack.unpackb(data[frame.FRAME_HEADER.size :]) | body
        raw = msgpack.packb(row)
        data = frame.encode_frame(raw)
    path.write_bytes(data)


def test_kill_9_at_50_seeded_moments_leaves_a_whole_file_and_no_request_twice(
    tmp_path: Path, upstream: StubServerPool
) -> None:
    state = tmp_path / "state" / "n0.state"
    node = stateful(tmp_path, state, upstream, state_every_ms=5)
    rng = Random(20261201)
    for kill in range(50):
        node.start()
        client = Load(node.port, f"k{kill}-")
        if kill == 0:  # a start killed before its first write leaves no file, which is no test of the writes
            until(state.exists, what="the first write")
        time.sleep(rng.uniform(0.0, 0.15))  # a seeded moment, most often while a write is under way
        node.kill()
        client.finish()
        # A call the node sent just before its kill may reach the server later: ids differ in every round.
        assert upstream.max_attempts() <= 1, "a request reached its server twice"
        if state.exists():  # the rename leaves the old file or the new one, never a part
            frame.decode_frame(state.read_bytes())
        assert len(node.lines("state ")) >= kill + 1, "a start that did not say what it made of the file"
    node.start()
    served(node.port)
    node.stop()
    starts = node.lines(f"state {state}:")
    said = Counter(line.split(f"{state}: ")[1].split(",")[0].split(";")[0] for line in starts)
    assert set(said) <= {"missing", "list behind"}, said  # the list given at each start is as new as its own
    assert said["missing"] <= 1, said
    assert sum("learned state yes" in line for line in starts) >= 40, said


def _torn(data: bytes, rng: Random) -> bytes:
    return data[: rng.randrange(len(data))]


def _flipped(data: bytes, rng: Random) -> bytes:
    at = rng.randrange(len(data))
    return data[:at] + bytes([data[at] ^ (1 << rng.randrange(8))]) + data[at + 1 :]


@pytest.mark.parametrize(
    ("change", "rule"),
    [
        (lambda path, listing: path.write_bytes(_torn(path.read_bytes(), Random(1))), "torn"),
        (lambda path, listing: path.write_bytes(_flipped(path.read_bytes(), Random(2))), "digest"),
        (lambda path, listing: written(path, listing, format=0), "format"),
        (lambda path, listing: written(path, listing, node="n9"), "another node"),
        (lambda path, listing: written(path, listing, at_ms=time.time() * 1000.0 + 3.6e6), "future"),
        (lambda path, listing: written(path, listing, at_ms=time.time() * 1000.0 - 6e5), "list old"),
    ],
)
def test_a_bad_file_is_never_trusted_and_the_node_serves(
    tmp_path: Path, upstream: StubServerPool, change: Callable[[Path, DiscoveryResponse], None], rule: str
) -> None:
    state = tmp_path / "n0.state"
    listing = DiscoveryResponse(
        9, True, make_endpoints(1), {"s0": ("127.0.0.1", 9)}
    )  # a server that is not there
    written(state, listing)
    change(state, listing)
    node = stateful(tmp_path, state, upstream)
    node.start()
    try:
        served(node.port)
        [line] = node.lines(f"state {state}:")
        assert f": {rule}, " in line
        if rule not in ("future", "list old"):
            assert "learned state no" in line
    finally:
        node.stop()


def test_a_full_disk_costs_one_line_and_a_counter_and_service_goes_on(
    tmp_path: Path, upstream: StubServerPool
) -> None:
    state = tmp_path / "n0.state"
    node = stateful(tmp_path, state, upstream, state_every_ms=20)
    node.start(on_a_full_disk)
    client = Load(node.port)
    try:
        until(lambda: node.metric("proxy.state_failures") >= 5, what="failed writes counted")
        served(node.port)
    finally:
        outcomes = client.finish()
        node.stop()
    assert len(node.lines("not written, service goes on")) == 1
    assert outcomes[200] == sum(outcomes.values()), outcomes
    assert not state.exists()


def test_of_two_processes_on_one_file_one_writes_and_the_other_takes_over(
    tmp_path: Path, upstream: StubServerPool
) -> None:
    state = tmp_path / "n0.state"
    first = stateful(tmp_path, state, upstream, state_every_ms=20)
    second = stateful(tmp_path, state, upstream, state_every_ms=20)
    first.start()
    until(lambda: first.metric("proxy.state_writes") > 0, what="the first writing")
    second.start()
    try:
        until(lambda: second.lines("another process writes it"), what="the second standing back")
        assert second.metric("proxy.state_writes") == 0
        first.kill()
        until(lambda: second.metric("proxy.state_writes") > 0, what="the second taking over")
        assert second.lines("this process writes it from now on")
        frame.decode_frame(state.read_bytes())
    finally:
        second.stop()


def test_a_restart_while_discovery_is_down_serves_the_restored_list(
    tmp_path: Path, upstream: StubServerPool
) -> None:
    discovery = ThreadedServer(Discovery(listing(5, True, s1=(f"127.0.0.1:{upstream.port()}", "Ready"))))
    state = tmp_path / "n0.state"
    # the platform's list is old: its server has gone
    gone = targets(s0=(f"127.0.0.1:{free_port()}", "Ready"))
    push = {"registryMode": "push"}
    node = Node(tmp_path, gone, discovery.port, state=str(state), state_every_ms=20, settings=push)
    node.start()
    try:
        served(node.port)
        so_far = node.metric("proxy.state_writes")  # the list is in the next but one for sure
        until(lambda: node.metric("proxy.state_writes") > so_far + 1, what="the list written")
    finally:
        node.kill()
        discovery.close()
    node.start()
    try:
        served(node.port)
        [line] = [line for line in node.lines(f"state {state}:")][-1:]
        assert "verified" in line
        assert "1 listed" in line
    finally:
        node.stop()


def test_the_module_trusts_restored_load_figures_only_while_they_are_young() -> None:
    fresh, old = (Balancer(settings(), 1, 0.0) for _ in range(2))
    for balancer, age in ((fresh, 1000.0), (old, RATES_TRUSTED_MS + 1.0)):
        balancer.handle(0.0, EndpointListUpdate(EndpointListKind.FULL, make_endpoints(2)))
        balancer.handle(0.0, StateRestored(LEARNED, age))
    assert fresh.cursor == LEARNED.cursor
    assert fresh.state.peak_completion_rate > 0.9 * LEARNED.peak_completion_rate
    assert old.cursor == 0
    assert old.state.peak_completion_rate < 0.4 * LEARNED.peak_completion_rate
    for balancer, age in ((fresh, 1000.0), (old, RATES_TRUSTED_MS + 1.0)):
        assert (
            balancer.endpoints["s0"].last_outcome_ms == -age
        )  # the verdict fades from when it was last heard
