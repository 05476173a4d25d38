"""Planned restarts of the real program: races of requests and disconnects with SIGTERM, drain and exit.

Races are forced: SIGSTOP pauses the process, the test sends bytes, closes connections and sends signals, and
SIGCONT resumes the process, which finds all of them in one iteration of its event loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from tests.support.faults import LoopThread
from tests.support.loopback import Message, StubServer, http_response, loopback_node, request, targets
from tests.support.loopback import wait_until as wait_until_async
from tests.support.node_processes import Node
from tests.support.registry_processes import ROOT, until
from tests.support.stub_servers import StubServerPool

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
CLIENT_TIMEOUT_S = 0.3  # of the class with short deadlines
SHORT = [
    {"name": "read", "aimMs": 200.0, "giveUpMs": CLIENT_TIMEOUT_S * 1000.0, "credit": 1.0, "effect": "free"}
]
LONG = [{"name": "read", "aimMs": 5000.0, "giveUpMs": 9000.0, "credit": 1.0, "effect": "free"}]


def connect(node: Node) -> socket.socket:
    connection = socket.create_connection(("127.0.0.1", node.port), timeout=20)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def read_status(client: socket.socket) -> int:
    """Return the status of the next response; 0 if the node closes the connection before its end."""
    with client.makefile("rb") as reader, contextlib.suppress(ConnectionError):
        words, length = reader.readline().split(), -1
        while line := reader.readline().strip():
            if line.startswith(b"Content-Length: "):
                length = int(line[16:])
        if words and len(reader.read(max(0, length))) == length:
            return int(words[1])
    return 0


@contextlib.contextmanager
def paused(node: Node) -> Iterator[None]:
    """Pause the process during the block, so that it sees all its effects at once afterwards."""
    assert node.process is not None
    node.send(signal.SIGSTOP)
    stat = Path(f"/proc/{node.process.pid}/stat")
    until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T", what="the paused process")
    try:
        yield
    finally:
        node.send(signal.SIGCONT)


@contextlib.contextmanager
def running_process(folder: Path, pool: StubServerPool, **row: Any) -> Iterator[Node]:
    """Run a node that serves."""
    node = Node(folder, pool.known_targets(), **row)
    node.start()
    try:
        yield node
    finally:
        assert node.process is not None
        node.send(signal.SIGCONT)
        node.kill()


@pytest.fixture(scope="module")
def pool() -> Iterator[StubServerPool]:
    servers = StubServerPool(2)
    yield servers
    servers.close()


def draining(node: Node) -> bool:
    """Return whether the node rejects a new connection with 503."""
    with connect(node) as client:
        client.sendall(UP)
        return client.recv(12) == b"HTTP/1.1 503"


def exit_code(node: Node) -> int:
    assert node.process is not None
    return node.process.wait(20)


def sleep_until(moment_s: float) -> None:
    """Sleep until this monotonic time: the process under test runs on real time."""
    time.sleep(max(0.0, moment_s - time.monotonic()))


@pytest.mark.parametrize("count", [1, 150])  # 150 is more than the event loop accepts in one iteration
@pytest.mark.parametrize("after_s", [0.7, 1.2])  # after MIN_DRAIN_S, and after the drain's deadline
def test_requests_in_accept_queue_at_exit_get_responses(tmp_path, pool, count, after_s):
    with running_process(tmp_path, pool, settings={"categories": SHORT}) as node:
        sigterm_at = time.monotonic()
        node.send(signal.SIGTERM)
        until(lambda: draining(node))
        with contextlib.ExitStack() as stack, paused(node):
            clients = [stack.enter_context(connect(node)) for _ in range(count)]
            for at, client in enumerate(clients):
                client.sendall(request(name=f"q{at}"))
            sleep_until(sigterm_at + after_s)
            node.send(signal.SIGCONT)
            assert [read_status(client) in (200, 503, 504) for client in clients].count(False) == 0
        assert exit_code(node) == 0
        assert not node.log_lines("Traceback")


def test_request_received_at_drain_deadline_gets_response(tmp_path):
    """At the deadline two requests wait for a hung server, and the rest of a third, half-read one arrives."""
    servers = StubServerPool(1)
    servers.set_behaviour(0, "hang")
    try:
        with running_process(tmp_path, servers, settings={"categories": SHORT}) as node:
            half, busy = connect(node), connect(node)
            busy.sendall(request(name="busy"))
            until(lambda: servers.request_counts["s0"] == 1)
            sigterm_at = time.monotonic()
            node.send(signal.SIGTERM)
            until(lambda: draining(node))
            half.sendall(request(name="half")[:20])
            with connect(node) as late:
                late.sendall(request(name="late"))
                until(lambda: servers.request_counts["s0"] == 2)  # both have been read by now
                with paused(node):
                    sleep_until(sigterm_at + 1.1)
                    half.sendall(request(name="half")[20:])
                    node.send(signal.SIGCONT)
                    for client in (busy, late, half):  # each is rejected or fails, with a response
                        assert read_status(client) in (408, 503, 504)
            assert exit_code(node) == 0
            half.close()
            busy.close()
    finally:
        servers.close()


# ------------------------------------------------------------------------- handover


def start_on(node: Node, raw: socket.socket, folder: Path) -> None:
    """Start this process on the inherited listening socket `raw`, which two processes share in an upgrade."""

    def run(arguments: list[str], log: Path, env: dict[str, str]) -> subprocess.Popen[bytes]:
        variables = {"PROXY_ACCEPT_FD": str(raw.fileno()), "TMPDIR": str(folder), "PYTHONPATH": str(ROOT)}
        with log.open("ab") as out:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdout=out,
                stderr=out,
                cwd=folder,
                env=dict(os.environ) | env | variables,
                pass_fds=[raw.fileno()],
            )

    node.port = raw.getsockname()[1]
    node.row["listen"] = f"127.0.0.1:{node.port}"
    node.launch(run)
    until(lambda: node.log_lines("serves on"), what=f"{node.log.name} accepting connections")


def test_handover_loses_no_request_of_burst_that_races_sigterm(tmp_path):
    servers = StubServerPool(1)
    raw = socket.create_server(("127.0.0.1", 0))
    old, new = (Node(tmp_path, servers.known_targets(), settings={"categories": LONG}) for _ in range(2))
    try:
        start_on(old, raw, tmp_path)
        servers.set_behaviour(0, "hang")
        with contextlib.ExitStack() as stack:
            in_flight = stack.enter_context(connect(old))
            in_flight.sendall(request(name="in-flight"))
            until(lambda: servers.request_counts["s0"] == 1)
            with paused(old):
                clients = [stack.enter_context(connect(old)) for _ in range(150)]
                for at, client in enumerate(clients):
                    client.sendall(request(name=f"q{at}"))
                old.send(signal.SIGTERM)
            start_on(new, raw, tmp_path)
            servers.set_behaviour(0, "respond")
            assert read_status(in_flight) == 200
            assert [read_status(client) in (200, 503) for client in clients].count(False) == 0
        assert exit_code(old) == 0
        assert not old.log_lines("Traceback") + new.log_lines("Traceback")
    finally:
        for node in (old, new):
            if node.process is not None and node.process.poll() is None:
                node.kill()
        raw.close()
        servers.close()


# --------------------------------------------------------------------------- signals


@pytest.mark.parametrize("twice", [False, True])
@pytest.mark.parametrize("client_count", [0, 1])
def test_shutdown_is_clean_with_repeated_signals_and_idle_client(tmp_path, pool, twice, client_count):
    with running_process(tmp_path, pool) as node, contextlib.ExitStack() as stack:
        clients = [stack.enter_context(connect(node)) for _ in range(client_count)]
        for client in clients:
            client.sendall(UP)
            assert read_status(client) == 200
        with paused(node):
            node.send(signal.SIGTERM)
            node.send(signal.SIGHUP)  # a reload may race SIGTERM
        if twice:
            until(lambda: node.log_lines("stops"))
            node.send(signal.SIGTERM)
            node.send(signal.SIGINT)
        assert [client.recv(1) for client in clients] == [b""] * client_count  # closed, not reset
        assert exit_code(node) == 0
        assert not node.log_lines("Traceback") + node.log_lines("ERROR")


def test_sigterm_during_start_neither_crashes_nor_loses_requests(tmp_path, pool):
    """The process is paused as soon as it listens, which is before it serves."""
    node = Node(tmp_path, pool.known_targets(), settings={"registryMode": "push"})
    try:
        node.launch()
        until(lambda: can_connect(node), what="listening")
        with paused(node):
            clients = [connect(node) for _ in range(10)]
            for at, client in enumerate(clients):
                client.sendall(request(name=f"early{at}"))
            node.send(signal.SIGTERM)
        assert [read_status(client) for client in clients] == [200] * 10
        assert exit_code(node) == 0
        assert not node.log_lines("Traceback")
    finally:
        node.kill()


def can_connect(node: Node) -> bool:
    connect(node).close()
    return True


def test_busy_persistent_connections_lose_no_request_in_drain(tmp_path, pool):
    """Each client sends the next request after each response, until the node closes its connection."""
    with running_process(tmp_path, pool) as node:

        def send_until_closed(index: int) -> list[int]:
            statuses = []
            with connect(node) as client, client.makefile("rb") as reader:
                for number in range(100_000):
                    try:
                        client.sendall(request(name=f"c{index}-{number}"))
                        line = reader.readline()
                    except ConnectionError:
                        return statuses  # it raced the close between two requests
                    if not line:
                        return statuses
                    statuses.append(int(line.split()[1]))
                    fields = dict(field.strip().split(b": ") for field in iter(reader.readline, b"\r\n"))
                    body = reader.read(int(fields[b"Content-Length"]))
                    assert len(body) == int(fields[b"Content-Length"])
                    if fields.get(b"Connection") == b"close":
                        return statuses
            return statuses

        with ThreadPoolExecutor(8) as threads:
            clients = [threads.submit(send_until_closed, index) for index in range(8)]
            until(lambda: sum(pool.request_counts.values()) > 50)
            node.send(signal.SIGTERM)
            assert {code for client in clients for code in client.result(20)} <= {200, 503}
        assert exit_code(node) == 0
        assert not node.log_lines("Traceback")


# ----------------------------------------------------------------------- slow readers


def test_slow_client_receives_complete_response_before_exit(tmp_path):
    """The response exceeds the socket buffers, and the client reads it only after the request's deadline."""
    body = os.urandom(16 * 1024 * 1024)
    loops = LoopThread()

    async def script(_message: Message) -> bytes:
        return http_response(200, body)

    server = StubServer(script)
    port = loops.run(server.start()).port
    node = Node(tmp_path, targets(s0=(f"127.0.0.1:{port}", "Ready")), settings={"categories": SHORT})
    try:
        node.start()
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.settimeout(20)
            client.connect(("127.0.0.1", node.port))
            client.sendall(request())
            assert client.recv(12, socket.MSG_PEEK | socket.MSG_WAITALL) == b"HTTP/1.1 200"
            sigterm_at = time.monotonic()
            node.send(signal.SIGTERM)
            sleep_until(sigterm_at + 1.5)  # after the drain's deadline
            with client.makefile("rb") as reader:
                while reader.readline().strip():
                    pass
                assert reader.read(len(body)) == body
        assert exit_code(node) == 0
    finally:
        node.kill()
        loops.call(server.stop)
        loops.close()


# -------------------------------------------- idle connections in a drain


def standby(node: Node) -> None:
    """Send the request without waiting for the response."""
    with socket.create_connection(("127.0.0.1", node.admin_port)) as connection:
        connection.sendall(b"PUT /standby HTTP/1.1\r\nHost: x\r\n\r\n")
        connection.shutdown(socket.SHUT_WR)


def sigterm(node: Node) -> None:
    node.send(signal.SIGTERM)


@pytest.mark.parametrize("begin_drain", [standby, sigterm])
@pytest.mark.parametrize("delay_s", [0.0, 0.7])  # as the drain begins, or as it closes the first connections
def test_requests_on_idle_connections_that_race_a_drain_get_responses(tmp_path, pool, begin_drain, delay_s):
    with (
        running_process(tmp_path, pool, settings={"categories": LONG}) as node,
        contextlib.ExitStack() as stack,
    ):
        complete, half, closed, reset, idle = clients = [stack.enter_context(connect(node)) for _ in range(5)]
        for client in clients:
            client.sendall(UP)
            assert read_status(client) == 200
        if delay_s:
            begin_drain(node)
            until(lambda: draining(node))
        drain_at = time.monotonic()
        with paused(node):
            if not delay_s:
                begin_drain(node)
            complete.sendall(request(name="complete"))
            half.sendall(request(name="half")[:30])
            closed.shutdown(socket.SHUT_WR)
            reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            reset.close()
            sleep_until(drain_at + delay_s)
        assert read_status(complete) == 200
        half.sendall(request(name="half")[30:])
        assert read_status(half) == 200
        for client in (complete, half, closed, idle):
            assert client.recv(1) == b""  # closed, not reset
        if begin_drain is sigterm:
            assert exit_code(node) == 0
        else:
            assert node.call_admin("/active", "PUT")[0] == 200
            until(lambda: not draining(node))
        assert not node.log_lines("Traceback")


def test_partial_request_at_last_moment_is_rejected(tmp_path, pool):
    with running_process(tmp_path, pool, settings={"categories": SHORT}) as node, connect(node) as client:
        with paused(node):
            client.sendall(request(name="half")[:30])
            node.send(signal.SIGTERM)
        assert read_status(client) == 503
        client.sendall(request(name="half")[30:])  # races the response
        assert client.recv(1) == b""
        client.close()
        assert exit_code(node) == 0


def test_repeated_drain_runs_a_single_timer():
    """A drain begins again if standby, active and SIGTERM follow each other."""

    async def main() -> None:
        async with loopback_node(StubServer()) as node:
            checks: list[float] = []
            close_idle = node.listener._close_idle
            node.listener._close_idle = lambda grace_s: (checks.append(grace_s), close_idle(grace_s))[1]  # type: ignore
            for grace_s in (1.0, 2.0, 3.0):
                node.listener.resume()
                node.listener.drain(grace_s, close_idle_after_s=0.0)
                seen = len(checks)
                await wait_until_async(lambda seen=seen: len(checks) > seen + 3)  # type: ignore[misc]
                assert set(checks[seen:]) == {grace_s}
            node.listener.resume()
            assert node.listener._drain_timer is None

    asyncio.run(main())
