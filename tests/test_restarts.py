"""Planned restarts, on the real program: what crosses SIGTERM, the drain and the process's end.

Crossings are forced: the process is stopped, bytes, ends and signals are put in place, and it goes on, so
that it finds all of them in one turn of its loop.
"""

from __future__ import annotations

import contextlib
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from loopback import request

from tests.fleet import until
from tests.nodes import Node
from tests.servers import ServerPool

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
LONGEST_S = 0.3  # deadline of the short-lived class
SHORT = [{"name": "read", "aimMs": 200.0, "giveUpMs": LONGEST_S * 1000.0, "credit": 1.0, "effect": "free"}]


def connect(node: Node) -> socket.socket:
    found = socket.create_connection(("127.0.0.1", node.port), timeout=20)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return found


def heard(caller: socket.socket) -> bytes:
    """All that the node says until its end; what a reset ends says so."""
    said = bytearray()
    try:
        while data := caller.recv(65536):
            said += data
    except ConnectionError as error:
        said += f"<{type(error).__name__}>".encode()
    return bytes(said)


def status(caller: socket.socket) -> int:
    """Of the one answer on this connection, which the node ends; 0 where it isn't whole."""
    head, found, body = heard(caller).partition(b"\r\n\r\n")
    words, *lines = head.split(b"\r\n")
    length = next((int(line[16:]) for line in lines if line.startswith(b"Content-Length: ")), -1)
    return int(words.split()[1]) if found and len(body) == length else 0


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
def serving(folder: Path, pool: ServerPool, **row: Any) -> Iterator[Node]:
    """A node that is ready."""
    node = Node(folder, pool.known(), **row)
    node.start()
    try:
        yield node
    finally:
        assert node.process is not None
        node.send(signal.SIGCONT)
        node.kill()


@pytest.fixture(scope="module")
def pool() -> Iterator[ServerPool]:
    servers = ServerPool(2)
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
            assert {status(caller) for caller in callers} <= {200, 503, 504}
        assert ended(node) == 0
        assert not node.lines("Traceback")


def test_a_request_that_comes_as_the_process_ends_is_answered_on_a_connection_still_open(tmp_path):
    """Half of it lies in the node as the time ends, the rest comes then; the other is whole and unread."""
    servers = ServerPool(1)
    servers.set(0, "hang")
    try:
        with serving(tmp_path, servers, settings={"categories": SHORT}) as node:
            half, busy = connect(node), connect(node)
            busy.sendall(request(name="held"))
            until(lambda: servers.hits["s0"] == 1)
            told = time.monotonic()
            node.send(signal.SIGTERM)
            until(lambda: draining(node))
            half.sendall(request(name="half")[:20])
            with connect(node) as late:
                late.sendall(request(name="late"))
                until(lambda: servers.hits["s0"] == 2)  # which have been read by then
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
