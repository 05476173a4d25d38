"""The state file across crashes: nodes killed, files torn and flipped, disks full, clocks gone back."""

from __future__ import annotations

import http.client
import http.server
import os
import resource
import signal
import socket
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
import orjson
import pytest

from orchidledge import interface as api
from orchidledge.decide import Balancer
from orchidledge.decide.learning import TRUST_MS
from orchidledge.net import snapshot
from orchidledge.net.discovery import Listing
from tests.fleet import ROOT, free_port, metric_at, spawn, until
from tests.helpers import servers, settings
from tests.loopback import config_row
from tests.test_registry_node import Client

LEARNED = api.Learned(0.2, 0.3, 7, 0.01, 0.02, 0.02, 100.0, {"read": 20.0}, {"s0": 3.0})


class Counted:
    """A server that counts each path it is asked for (a request that reached it twice shows as 2) and answers
    `body`; as discovery, with `rev`, a watch since that rev waits a while, as nothing is newer."""

    def __init__(self, body: bytes = b"done", rev: int | None = None) -> None:
        self.paths: Counter[str] = Counter()
        paths = self.paths

        class Answer(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                paths[self.path] += 1
                if f"since={rev}&" in self.path:
                    time.sleep(0.5)
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Answer)
        self.port = int(self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


@pytest.fixture
def upstream() -> Iterator[Counted]:
    server = Counted()
    yield server
    server.close()


def target(uid: str, port: int) -> dict[str, Any]:
    return {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "a", "state": "Ready", "boot_ms": 0}


class Node:
    """One node process on a state file; `start` again after a kill, under the same name and file."""

    def __init__(self, folder: Path, state: Path, known: list[dict[str, Any]], **more: Any) -> None:
        self.folder, self.port = folder, free_port()
        self.door = free_port()
        row = config_row(f"127.0.0.1:{more.pop('discovery', free_port())}", known=known, **more)
        row |= {"listen": f"127.0.0.1:{self.port}", "operator": f"127.0.0.1:{self.door}", "state": str(state)}
        self.config = folder / f"node-{self.port}.json"
        self.config.write_bytes(orjson.dumps(row))
        self.log = folder / f"node-{self.port}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, limit_bytes: int | None = None) -> None:
        env = {"PROXY_CONFIG": str(self.config)}
        if limit_bytes is None:
            self.process = spawn(["-m", "orchidledge"], self.log, env)
        else:  # a full disk, as the process sees one: writes past this size fail with EFBIG
            self.process = _limited(self.log, env, limit_bytes)
        until(lambda: socket.create_connection(("127.0.0.1", self.port), timeout=0.5).close() or True)

    def kill(self) -> None:
        assert self.process is not None
        self.process.kill()
        self.process.wait(10)

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            self.process.wait(10)

    def lines(self, text: str) -> list[str]:
        return [line for line in self.log.read_text().splitlines() if text in line]

    def metric(self, name: str) -> float:
        return metric_at(self.door, name)


def _limited(log: Path, env: dict[str, str], limit: int) -> subprocess.Popen[bytes]:
    def cap() -> None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (limit, limit))

    environment = {**os.environ, "PYTHONPATH": str(ROOT), **env}
    process = subprocess.Popen(
        [sys.executable, "-m", "orchidledge"],
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


def served(port: int, within_s: float = 5.0) -> None:
    """Until one request is answered 200."""

    def one() -> bool:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
        try:
            name = f"probe-{time.monotonic_ns()}"
            connection.request("GET", f"/read/{name}", headers={"Req-Id": name})
            return connection.getresponse().status == 200
        finally:
            connection.close()

    until(one, within_s, "a request served")


def written(path: Path, listing: Listing, node: str = "n0", at_ms: float | None = None, **body: Any) -> None:
    data = snapshot.encode(node, time.time() * 1000.0 if at_ms is None else at_ms, LEARNED, {}, listing)
    if body:  # a body of another shape, digested as it should be
        row = msgpack.unpackb(data[snapshot.HEADER.size :]) | body
        raw = msgpack.packb(row)
        data = snapshot.frame(raw)
    path.write_bytes(data)


def test_kill_9_at_50_seeded_moments_leaves_a_whole_file_and_no_request_twice(
    tmp_path: Path, upstream: Counted
) -> None:
    state = tmp_path / "state" / "n0.state"
    node = Node(tmp_path, state, [target("s0", upstream.port)], state_every_ms=5)
    rng = Random(20261201)
    for kill in range(50):
        node.start()
        client = Client(node.port, f"k{kill}-")
        if kill == 0:  # a start killed before its first write leaves no file, which is no test of the writes
            until(state.exists, what="the first write")
        time.sleep(rng.uniform(0.0, 0.15))  # a seeded moment, most often while a write is under way
        node.kill()
        client.finish()
        # A call the node sent just before its kill may reach the server later: ids differ in every round.
        assert max(upstream.paths.values(), default=1) == 1, "a request reached its server twice"
        if state.exists():  # the rename leaves the old file or the new one, never a part
            snapshot.decode(state.read_bytes())
        assert len(node.lines("state ")) >= kill + 1, "a start that did not say what it made of the file"
    node.start()
    served(node.port)
    node.stop()
    starts = node.lines(f"state {state}:")
    said = Counter(line.split(f"{state}: ")[1].split(",")[0].split(";")[0] for line in starts)
    assert set(said) <= {"missing", "list behind"}, said  # the list given at each start is as new as its own
    assert said["missing"] <= 1, said
    assert sum("figures yes" in line for line in starts) >= 40, said


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
    tmp_path: Path, upstream: Counted, change: Callable[[Path, Listing], None], rule: str
) -> None:
    state = tmp_path / "n0.state"
    listing = Listing(9, True, servers(1), {"s0": ("127.0.0.1", 9)})  # a server that is not there
    written(state, listing)
    change(state, listing)
    node = Node(tmp_path, state, [target("s0", upstream.port)])
    node.start()
    try:
        served(node.port)
        [line] = node.lines(f"state {state}:")
        assert f": {rule}, " in line
        if rule not in ("future", "list old"):
            assert "figures no" in line
    finally:
        node.stop()


def test_a_full_disk_costs_one_line_and_a_counter_and_service_goes_on(
    tmp_path: Path, upstream: Counted
) -> None:
    state = tmp_path / "n0.state"
    node = Node(tmp_path, state, [target("s0", upstream.port)], state_every_ms=20)
    node.start(limit_bytes=64)
    client = Client(node.port)
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
    tmp_path: Path, upstream: Counted
) -> None:
    state = tmp_path / "n0.state"
    first = Node(tmp_path, state, [target("s0", upstream.port)], state_every_ms=20)
    second = Node(tmp_path, state, [target("s0", upstream.port)], state_every_ms=20)
    first.start()
    until(lambda: first.metric("proxy.state_writes") > 0, what="the first writing")
    second.start()
    try:
        until(lambda: second.lines("another process writes it"), what="the second standing back")
        assert second.metric("proxy.state_writes") == 0
        first.kill()
        until(lambda: second.metric("proxy.state_writes") > 0, what="the second taking over")
        assert second.lines("this process writes it from now on")
        snapshot.decode(state.read_bytes())
    finally:
        second.stop()


def test_a_restart_while_discovery_is_down_serves_the_restored_list(
    tmp_path: Path, upstream: Counted
) -> None:
    discovery = Counted(orjson.dumps({"rev": 5, "all": True, "targets": [target("s1", upstream.port)]}), 5)
    state = tmp_path / "n0.state"
    gone = [target("s0", free_port())]  # the list the platform hands over is old: its server has gone
    node = Node(
        tmp_path, state, gone, discovery=discovery.port, state_every_ms=20, settings={"registryMode": "push"}
    )
    node.start()
    try:
        served(node.port)
        until(lambda: node.metric("proxy.state_writes") > 2, what="the list written")
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
    for balancer, age in ((fresh, 1000.0), (old, TRUST_MS + 1.0)):
        balancer.handle(0.0, api.Membership(api.ListForm.FULL, servers(2)))
        balancer.handle(0.0, api.Restored(LEARNED, age))
    assert fresh.cursor == LEARNED.cursor
    assert fresh.state.peak > 0.9 * LEARNED.peak
    assert old.cursor == 0
    assert old.state.peak < 0.4 * LEARNED.peak
    for balancer, age in ((fresh, 1000.0), (old, TRUST_MS + 1.0)):
        assert balancer.peers["s0"].heard_ms == -age  # the verdict fades from when it was last heard
