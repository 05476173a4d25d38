"""What comes on a resting connection together with the next request, on the real program: the process is
stopped, both are put in place, and it finds them in one turn of its loop."""

from __future__ import annotations

import contextlib
import socket
import time

import pytest

from tests.node.test_restarts import connect, paused
from tests.support.loopback import http_response, request
from tests.support.node_processes import Node
from tests.support.pooled import ACTS, HALF, close
from tests.support.registry_processes import until

KNOWN = {"uid": "s0", "az": "a", "pod_group": 1, "state": "Ready", "boot_ms": 0}


def accept(listener: socket.socket) -> socket.socket:
    peer, _ = listener.accept()
    peer.settimeout(20)
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return peer


def answer_to(caller: socket.socket) -> bytes:
    """The whole answer, as short as these are."""
    data = b""
    while not data.endswith(b"!"):
        more = caller.recv(1000)
        assert more, data
        data += more
    return data


@pytest.mark.parametrize("how", ACTS)
@pytest.mark.parametrize("seen_first", [True, False])
def test_an_unsafe_request_that_meets_it_goes_on_a_new_connection(tmp_path, how, seen_first):
    with socket.create_server(("127.0.0.1", 0)) as listener, contextlib.ExitStack() as stack:
        listener.settimeout(20)
        node = Node(tmp_path, [KNOWN | {"endpoint": f"127.0.0.1:{listener.getsockname()[1]}"}])
        node.start()
        stack.callback(node.kill)
        caller = stack.enter_context(connect(node))
        caller.sendall(request("post", "q1", b"one"))
        first = stack.enter_context(accept(listener))
        assert b"req-id: q1" in first.recv(1000)
        first.sendall(http_response(200, b"one!"))
        assert answer_to(caller).endswith(b"one!")
        rested = time.monotonic() + 0.1  # longer than a connection settles
        until(lambda: time.monotonic() >= rested)
        with paused(node):
            if not seen_first:  # the loop takes them in this order
                caller.sendall(request("post", "q2", b"two"))
            if how in ("end", "reset"):
                close(first, how == "reset")
            else:
                first.sendall(HALF if how == "half" else http_response(200, b"stray!"))
            if seen_first:
                caller.sendall(request("post", "q2", b"two"))
        second = stack.enter_context(accept(listener))
        assert b"req-id: q2" in second.recv(1000)
        second.sendall(http_response(200, b"two!"))
        got = answer_to(caller)
        assert got.startswith(b"HTTP/1.1 200 ")
        assert got.endswith(b"two!")
        if how in ("half", "second"):  # nothing of it was sent on the first
            with contextlib.suppress(ConnectionResetError):
                assert first.recv(1000) == b""
