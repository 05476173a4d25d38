"""Planned restarts, on the real program: what crosses SIGTERM, the drain and the process's end.

Crossings are forced: the process is stopped, bytes, ends and signals are put in place, and it goes on, so
that it finds all of them in one turn of its loop.
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
from tests.support.loopback import Message, Peer, reply, request, running, targets
from tests.support.loopback import until as reached
from tests.support.node_processes import Node
from tests.support.registry_processes import ROOT, until
from tests.support.stub_servers import StubServerPool

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
LONGEST_S = 0.3  # deadline of the short-lived class
SHORT = [{"name": "read", "aimMs": 200.0, "giveUpMs": LONGEST_S * 1000.0, "credit": 1.0, "effect": "free"}]
LONG = [{"name": "read", "aimMs": 5000.0, "giveUpMs": 9000.0, "credit": 1.0, "effect": "free"}]


def connect(node: Node) -> socket.socket:
    found = socket.create_connection(("127.0.0.1", node.port), timeout=20)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return found


def status(caller: socket.socket) -> int:
    """Of the next answer on this connection; 0 where the node ended it with no whole one."""
    with caller.makefile("rb") as reader, contextlib.suppress(ConnectionError):
        words, length = reader.readline().split(), -1
        while line := reader.readline().strip():
            if line.startswith(b"Content-Length: "):
                length = int(line[16:])
        if words and len(reader.read(max(0, length))) == length:
            return int(words[1])
    return 0


@contextlib.contextmanager
def frozen(node: Node) -> Iterator[None]:
    """The process sees nothing of this until its end, and then all of it at once."""
    assert node.process is not None
    node.send(signal.SIGSTOP)
    stat = Path(f"/proc/{node.process.pid}/stat")
    until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T", what="the process stopped")
    try:
        yield
    finally:
        node.send(signal.SIGCONT)


@contextlib.contextmanager
def serving(folder: Path, pool: StubServerPool, **row: Any) -> Iterator[Node]:
    """A node that is ready."""
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
    """Whether a new connection is told that it is not welcome."""
    with connect(node) as caller:
        caller.sendall(UP)
        return caller.recv(12) == b"HTTP/1.1 503"


def ended(node: Node) -> int:
    assert node.process is not None
    return node.process.wait(20)


def wait_for(moment: float) -> None:
    """Stay until this time of the clock: what is timed is the program's end, so its clock has to go on."""
    time.sleep(max(0.0, moment - time.monotonic()))


@pytest.mark.parametrize("count", [1, 150])  # of these, more than the loop takes in at one turn
@pytest.mark.parametrize("after_s", [0.7, 1.2])  # past the least time, and past the last moment
def test_what_waits_in_the_accept_queue_as_the_process_ends_is_answered(tmp_path, pool, count, after_s):
    with serving(tmp_path, pool, settings={"categories": SHORT}) as node:
        told = time.monotonic()
        node.send(signal.SIGTERM)
        until(lambda: draining(node))
        with contextlib.ExitStack() as stack, frozen(node):
            callers = [stack.enter_context(connect(node)) for _ in range(count)]
            for at, caller in enumerate(callers):
                caller.sendall(request(name=f"q{at}"))
            wait_for(told + after_s)
            node.send(signal.SIGCONT)
            assert [status(caller) in (200, 503, 504) for caller in callers].count(False) == 0
        assert ended(node) == 0
        assert not node.lines("Traceback")


def test_a_request_that_comes_as_the_process_ends_is_answered_on_a_connection_still_open(tmp_path):
    """Half of it lies in the node as the time ends, the rest comes then; the other is whole and unread."""
    servers = StubServerPool(1)
    servers.set_behaviour(0, "hang")
    try:
        with serving(tmp_path, servers, settings={"categories": SHORT}) as node:
            half, busy = connect(node), connect(node)
            busy.sendall(request(name="held"))
            until(lambda: servers.request_counts["s0"] == 1)
            told = time.monotonic()
            node.send(signal.SIGTERM)
            until(lambda: draining(node))
            half.sendall(request(name="half")[:20])
            with connect(node) as late:
                late.sendall(request(name="late"))
                until(lambda: servers.request_counts["s0"] == 2)  # which have been read by then
                with frozen(node):
                    wait_for(told + 1.1)
                    half.sendall(request(name="half")[20:])
                    node.send(signal.SIGCONT)
                    for caller in (busy, late, half):  # each has its answer, as refused or as failed
                        assert status(caller) in (408, 503, 504)
            assert ended(node) == 0
            half.close()
            busy.close()
    finally:
        servers.close()


# ------------------------------------------------------------------------- hand-over


def start_on(node: Node, raw: socket.socket, folder: Path) -> None:
    """Start this process on the platform's listening socket."""

    def run(arguments: list[str], log: Path, env: dict[str, str]) -> subprocess.Popen[bytes]:
        told = {"PROXY_ACCEPT_FD": str(raw.fileno()), "TMPDIR": str(folder), "PYTHONPATH": str(ROOT)}
        with log.open("ab") as out:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdout=out,
                stderr=out,
                cwd=folder,
                env=dict(os.environ) | env | told,
                pass_fds=[raw.fileno()],
            )

    node.port = raw.getsockname()[1]
    node.row["listen"] = f"127.0.0.1:{node.port}"
    node.launch(run)
    until(lambda: node.lines("serves on"), what=f"{node.log.name} accepting")


def test_a_burst_and_sigterm_in_one_turn_of_a_hand_over_lose_no_request(tmp_path):
    servers = StubServerPool(1)
    raw = socket.create_server(("127.0.0.1", 0))
    old, new = (Node(tmp_path, servers.known_targets(), settings={"categories": LONG}) for _ in range(2))
    try:
        start_on(old, raw, tmp_path)
        servers.set_behaviour(0, "hang")
        with contextlib.ExitStack() as stack:
            held = stack.enter_context(connect(old))
            held.sendall(request(name="held"))
            until(lambda: servers.request_counts["s0"] == 1)
            with frozen(old):
                callers = [stack.enter_context(connect(old)) for _ in range(150)]
                for at, caller in enumerate(callers):
                    caller.sendall(request(name=f"q{at}"))
                old.send(signal.SIGTERM)
            start_on(new, raw, tmp_path)
            servers.set_behaviour(0, "respond")
            assert status(held) == 200
            assert [status(caller) in (200, 503) for caller in callers].count(False) == 0
        assert ended(old) == 0
        assert not old.lines("Traceback") + new.lines("Traceback")
    finally:
        for node in (old, new):
            if node.process is not None and node.process.poll() is None:
                node.kill()
        raw.close()
        servers.close()


# --------------------------------------------------------------------------- signals


@pytest.mark.parametrize("twice", [False, True])
@pytest.mark.parametrize("clients", [0, 1])
def test_an_end_with_or_without_a_resting_client_is_orderly_however_often_it_is_asked_for(
    tmp_path, pool, twice, clients
):
    with serving(tmp_path, pool) as node, contextlib.ExitStack() as stack:
        callers = [stack.enter_context(connect(node)) for _ in range(clients)]
        for caller in callers:
            caller.sendall(UP)
            assert status(caller) == 200
        with frozen(node):
            node.send(signal.SIGTERM)
            node.send(signal.SIGHUP)  # as a new configuration may cross it
        if twice:
            until(lambda: node.lines("stops"))
            node.send(signal.SIGTERM)
            node.send(signal.SIGINT)
        assert [caller.recv(1) for caller in callers] == [b""] * clients  # an end, not a reset
        assert ended(node) == 0
        assert not node.lines("Traceback") + node.lines("ERROR")


def test_sigterm_in_the_instant_of_the_start_is_no_crash_and_loses_nothing(tmp_path, pool):
    """The process is stopped as soon as it listens, which is before it serves."""
    node = Node(tmp_path, pool.known_targets(), settings={"registryMode": "push"})
    try:
        node.launch()
        until(lambda: connected(node), what="listening")
        with frozen(node):
            callers = [connect(node) for _ in range(10)]
            for at, caller in enumerate(callers):
                caller.sendall(request(name=f"early{at}"))
            node.send(signal.SIGTERM)
        assert [status(caller) for caller in callers] == [200] * 10
        assert ended(node) == 0
        assert not node.lines("Traceback")
    finally:
        node.kill()


def connected(node: Node) -> bool:
    connect(node).close()
    return True


def test_clients_that_send_on_every_open_connection_until_its_end_lose_nothing(tmp_path, pool):
    """Through the drain and past it, each on its one connection, the next request with the last answer."""
    with serving(tmp_path, pool) as node:

        def client(at: int) -> list[int]:
            statuses = []
            with connect(node) as caller, caller.makefile("rb") as reader:
                for number in range(100_000):
                    try:
                        caller.sendall(request(name=f"c{at}-{number}"))
                        line = reader.readline()
                    except ConnectionError:
                        return statuses  # it crossed the close between two requests
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
            clients = [threads.submit(client, at) for at in range(8)]
            until(lambda: sum(pool.request_counts.values()) > 50)
            node.send(signal.SIGTERM)
            assert {code for done in clients for code in done.result(20)} <= {200, 503}
        assert ended(node) == 0
        assert not node.lines("Traceback")


# ----------------------------------------------------------------------- slow readers


def test_an_answer_that_a_slow_caller_has_yet_to_read_is_out_before_the_process_ends(tmp_path):
    """It is longer than the sockets between them hold, and its request's time is over meanwhile."""
    body = os.urandom(16 * 1024 * 1024)
    loops = LoopThread()

    async def script(_message: Message) -> bytes:
        return reply(200, body)

    server = Peer(script)
    port = loops.run(server.start()).port
    node = Node(tmp_path, targets(s0=(f"127.0.0.1:{port}", "Ready")), settings={"categories": SHORT})
    try:
        node.start()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.settimeout(20)
            caller.connect(("127.0.0.1", node.port))
            caller.sendall(request())
            assert caller.recv(12, socket.MSG_PEEK | socket.MSG_WAITALL) == b"HTTP/1.1 200"
            told = time.monotonic()
            node.send(signal.SIGTERM)
            wait_for(told + 1.5)  # past the last moment
            with caller.makefile("rb") as reader:
                while reader.readline().strip():
                    pass
                assert reader.read(len(body)) == body
        assert ended(node) == 0
    finally:
        node.kill()
        loops.call(server.stop)
        loops.close()


# -------------------------------------------- what comes on a resting connection meanwhile


def standby(node: Node) -> None:
    """Asked for without waiting for the answer."""
    with socket.create_connection(("127.0.0.1", node.door)) as door:
        door.sendall(b"PUT /standby HTTP/1.1\r\nHost: x\r\n\r\n")
        door.shutdown(socket.SHUT_WR)


def sigterm(node: Node) -> None:
    node.send(signal.SIGTERM)


@pytest.mark.parametrize("leave", [standby, sigterm])
@pytest.mark.parametrize("past_s", [0.0, 0.7])  # the instant itself, or that of the first closes after it
def test_what_crosses_a_drain_on_resting_connections_is_answered(tmp_path, pool, leave, past_s):
    with serving(tmp_path, pool, settings={"categories": LONG}) as node, contextlib.ExitStack() as stack:
        whole, half, end, reset, rest = callers = [stack.enter_context(connect(node)) for _ in range(5)]
        for caller in callers:
            caller.sendall(UP)
            assert status(caller) == 200
        if past_s:
            leave(node)
            until(lambda: draining(node))
        began = time.monotonic()
        with frozen(node):
            if not past_s:
                leave(node)
            whole.sendall(request(name="whole"))
            half.sendall(request(name="half")[:30])
            end.shutdown(socket.SHUT_WR)
            reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            reset.close()
            wait_for(began + past_s)
        assert status(whole) == 200
        half.sendall(request(name="half")[30:])
        assert status(half) == 200
        for caller in (whole, half, end, rest):
            assert caller.recv(1) == b""  # closed in the end, by no reset
        if leave is sigterm:
            assert ended(node) == 0
        else:
            assert node.call_door("/active", "PUT")[0] == 200
            until(lambda: not draining(node))
        assert not node.lines("Traceback")


def test_half_a_request_at_the_last_moment_is_refused_before_its_rest_can_be_lost(tmp_path, pool):
    with serving(tmp_path, pool, settings={"categories": SHORT}) as node, connect(node) as caller:
        with frozen(node):
            caller.sendall(request(name="half")[:30])
            node.send(signal.SIGTERM)
        assert status(caller) == 503
        caller.sendall(request(name="half")[30:])  # which crosses the answer
        assert caller.recv(1) == b""
        caller.close()
        assert ended(node) == 0


def test_a_drain_begun_again_closes_by_one_timer():
    """As standby, active and SIGTERM may follow each other."""

    async def main() -> None:
        async with running(Peer()) as node:
            looks: list[float] = []
            due = node.listener._close_idle
            node.listener._close_idle = lambda grace_s: (looks.append(grace_s), due(grace_s))[1]  # type: ignore
            for grace_s in (1.0, 2.0, 3.0):
                node.listener.resume()
                node.listener.drain(grace_s, close_idle_after_s=0.0)
                seen = len(looks)
                await reached(lambda seen=seen: len(looks) > seen + 3)  # type: ignore[misc]
                assert set(looks[seen:]) == {grace_s}
            node.listener.resume()
            assert node.listener._drain_timer is None

    asyncio.run(main())
