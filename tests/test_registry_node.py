"""A node process that follows the list service through an agent, while faults hit both."""

from __future__ import annotations

import http.client
import http.server
import signal
import socket
import threading
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest

from tests.fleet import Registry, listed_at, spawn, until
from tests.loopback import config_row
from tests.ports import free_port
from tests.relay import Relay


class Backends:
    """Servers in this process; each counts the requests it answers, by its uid."""

    def __init__(self, count: int) -> None:
        self.hits: Counter[str] = Counter()
        self.servers = [self._start(f"s{index}") for index in range(count)]

    def _start(self, uid: str) -> http.server.ThreadingHTTPServer:
        hits = self.hits

        class Answer(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                hits[uid] += 1
                self.send_response(200)
                self.send_header("Content-Length", "4")
                self.end_headers()
                self.wfile.write(b"done")

            def log_message(self, *_: object) -> None:
                pass

        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Answer)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def port(self, index: int) -> int:
        return int(self.servers[index].server_address[1])

    def close(self) -> None:
        for server in self.servers:
            server.shutdown()
            server.server_close()


class Client:
    """Calls the node one request after another, each with its id, and keeps every answer's status."""

    def __init__(self, port: int, prefix: str = "q") -> None:
        self.port = port
        self.prefix = prefix  # of every id and path, so that clients one after another name none alike
        self.statuses: dict[str, int] = {}
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        number = 0
        while not self.stop.is_set():
            number += 1
            connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
            name = f"{self.prefix}{number}"
            try:
                connection.request("GET", f"/read/{name}", headers={"Req-Id": name})
                self.statuses[name] = connection.getresponse().status
            except OSError:
                self.statuses[name] = 0  # no whole answer: lost
            finally:
                connection.close()

    def finish(self) -> Counter[int]:
        self.stop.set()
        self.thread.join(10)
        return Counter(self.statuses.values())


@pytest.fixture
def backends() -> Iterator[Backends]:
    servers = Backends(3)
    yield servers
    servers.close()


def start_node(
    folder: Path, discovery: tuple[str, int], known_port: int, door: int | None = None, name: str = "node"
) -> tuple[object, int]:
    port = free_port()
    known = [{"uid": "s0", "endpoint": f"127.0.0.1:{known_port}", "az": "a", "state": "Ready", "boot_ms": 0}]
    row = config_row(f"{discovery[0]}:{discovery[1]}", known=known, settings={"registryMode": "push"})
    row["listen"] = f"127.0.0.1:{port}"
    if door is not None:
        row["operator"] = f"127.0.0.1:{door}"
    (folder / f"{name}.json").write_bytes(orjson.dumps(row))
    node = spawn(
        ["-m", "orchidledge"], folder / f"{name}.log", {"PROXY_CONFIG": str(folder / f"{name}.json")}
    )
    until(lambda: socket.create_connection(("127.0.0.1", port), timeout=0.5).close() or True, what="the node")
    return node, port


def test_node_started_without_discovery_follows_the_registry_through_its_faults(
    tmp_path: Path, backends: Backends
) -> None:
    registry = Registry(tmp_path, ttl_ms=60_000)
    agent_port = free_port()
    relay = Relay(("127.0.0.1", agent_port))  # the node's way to its agent, which is not there yet
    node, port = start_node(tmp_path, relay.address, backends.port(0))
    client = Client(port)
    agent = None
    try:
        until(lambda: backends.hits["s0"] > 5, what="service from the known list")
        registry.put("s1", backends.port(1), az="a")
        agent = registry.agent(agent_port, wait_ms=500)
        until(lambda: backends.hits["s1"] > 5, what="the node following the agent")

        registry.kill(registry.leader())
        until(lambda: registry.put("s2", backends.port(2), az="a"), what="a write after the leader died")
        registry.remove("s1")
        until(lambda: backends.hits["s2"] > 5, what="a change committed after the leader died")

        relay.set_silent(True)  # a watch that never answers
        before = backends.hits["s2"]
        until(lambda: backends.hits["s2"] > before + 20, what="service while discovery is silent")
        relay.set_silent(False)
        relay.reset()
        dropped = backends.hits["s0"]
        registry.put("s0", backends.port(0), az="a")
        registry.remove("s2")
        until(lambda: backends.hits["s0"] > dropped + 5, what="the node following again after the silence")
        settled = backends.hits["s2"]
        until(lambda: backends.hits["s0"] > dropped + 50, what="service after the change")
        assert backends.hits["s2"] - settled <= 1, "a server gone still draws new calls"
    finally:
        outcomes = client.finish()
        node.send_signal(signal.SIGTERM)  # type: ignore[attr-defined]
        node.wait(10)  # type: ignore[attr-defined]
        if agent is not None:
            agent.stop()
        relay.close()
        registry.stop()
    assert outcomes[0] == 0, f"requests lost: {outcomes}"
    assert outcomes[200] == sum(outcomes.values()), f"not all served: {outcomes}"


def test_two_nodes_list_what_the_registry_lists_through_leader_loss_and_a_reset(
    tmp_path: Path, backends: Backends
) -> None:
    registry = Registry(tmp_path, ttl_ms=60_000)
    agents = [registry.agent(), registry.agent()]
    relay = Relay(("127.0.0.1", agents[1].port))  # the second node's way to its agent
    doors = [free_port(), free_port()]
    nodes = [
        start_node(tmp_path, ("127.0.0.1", agents[0].port), backends.port(0), doors[0], "node-a")[0],
        start_node(tmp_path, relay.address, backends.port(0), doors[1], "node-b")[0],
    ]
    try:
        for number in range(5):
            registry.put(f"s{number}", backends.port(number % 3), az="a")
        for door in doors:
            until(lambda door=door: listed_at(door) == 5, within_s=6, what="five servers at a node")
        registry.kill(registry.leader())
        relay.reset()
        until(lambda: registry.remove("s1") > 0, what="a removal after the leader died")
        for number in range(5, 8):
            registry.put(f"s{number}", backends.port(number % 3), az="a")
        live = len(registry.listed(registry.live()[0]))
        assert live == 7
        for door in doors:  # within PROTOCOL's 6 s of the last write
            until(
                lambda door=door: listed_at(door) == live, within_s=6, what="a node's list after the faults"
            )
    finally:
        for node in nodes:
            node.send_signal(signal.SIGTERM)  # type: ignore[attr-defined]
            node.wait(10)  # type: ignore[attr-defined]
        for agent in agents:
            agent.stop()
        relay.close()
        registry.stop()
