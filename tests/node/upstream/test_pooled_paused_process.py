"""A server acts on an idle connection as the next request arrives, with a real node process.

The process is paused meanwhile, so it finds both events in one iteration of its loop.
"""

from __future__ import annotations

import contextlib
import socket
import time

import pytest

from tests.node.test_restarts import connect, paused
from tests.support.loopback import http_response, request
from tests.support.node_processes import Node
from tests.support.pool_environment import PARTIAL_HEAD, SERVER_ACTIONS, close_socket
from tests.support.registry_processes import until

TARGET = {"uid": "s0", "az": "a", "pod_group": 1, "state": "Ready", "boot_ms": 0}


def accept(listener: socket.socket) -> socket.socket:
    connection, _ = listener.accept()
    connection.settimeout(20)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def read_response(client: socket.socket) -> bytes:
    """Return the complete response, which ends with "!"."""
    data = b""
    while not data.endswith(b"!"):
        part = client.recv(1000)
        assert part, data
        data += part
    return data


@pytest.mark.parametrize("action", SERVER_ACTIONS)
@pytest.mark.parametrize("action_first", [True, False])
def test_non_idempotent_request_uses_a_new_connection_after_server_action(tmp_path, action, action_first):
    with socket.create_server(("127.0.0.1", 0)) as listener, contextlib.ExitStack() as stack:
        listener.settimeout(20)
        node = Node(tmp_path, [TARGET | {"endpoint": f"127.0.0.1:{listener.getsockname()[1]}"}])
        node.start()
        stack.callback(node.kill)
        client = stack.enter_context(connect(node))
        client.sendall(request("post", "q1", b"one"))
        first = stack.enter_context(accept(listener))
        assert b"req-id: q1" in first.recv(1000)
        first.sendall(http_response(200, b"one!"))
        assert read_response(client).endswith(b"one!")
        reusable_at = time.monotonic() + 0.1  # past the reuse delay of the connection
        until(lambda: time.monotonic() >= reusable_at)
        with paused(node):
            if not action_first:  # the loop handles both events in this order
                client.sendall(request("post", "q2", b"two"))
            if action in ("close", "reset"):
                close_socket(first, action == "reset")
            else:
                first.sendall(PARTIAL_HEAD if action == "partial response" else http_response(200, b"stray!"))
            if action_first:
                client.sendall(request("post", "q2", b"two"))
        second = stack.enter_context(accept(listener))
        assert b"req-id: q2" in second.recv(1000)
        second.sendall(http_response(200, b"two!"))
        response = read_response(client)
        assert response.startswith(b"HTTP/1.1 200 ")
        assert response.endswith(b"two!")
        if action in ("partial response", "second response"):  # no byte was sent on the first connection
            with contextlib.suppress(ConnectionResetError):
                assert first.recv(1000) == b""
