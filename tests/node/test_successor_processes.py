"""A process that still sends a response after SIGTERM, beside the next process of its node."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.support.loopback import request, targets
from tests.support.node_processes import Node
from tests.support.paced_server import PIECE, PacedServer
from tests.support.ports import free_port
from tests.support.registry_processes import ROOT, Registry, until
from tests.support.stub_servers import ThreadedServer

COUNT = 30  # pieces of the long response, half a second apart
CLIENT_TIMEOUT_MS = 300.0
CATEGORIES = [
    {"name": "read", "aimMs": 200.0, "giveUpMs": CLIENT_TIMEOUT_MS, "credit": 1.0, "effect": "free"},
    {"name": "post", "aimMs": 200.0, "giveUpMs": CLIENT_TIMEOUT_MS, "credit": 1.0, "effect": "single_shot"},
]
MEMORY_SLACK_KB = 1024


class Download(threading.Thread):
    """A client that receives the long response of the node."""

    def __init__(self, node: Node) -> None:
        super().__init__(daemon=True)
        self.received = 0
        self._client = socket.create_connection(("127.0.0.1", node.port), timeout=20)
        self._client.sendall(request(name="long"))
        self.received = len(self._client.recv(1 << 16))
        self.start()

    def run(self) -> None:
        with self._client, contextlib.suppress(OSError):
            while self.received < COUNT * len(PIECE) and (piece := self._client.recv(1 << 20)):
                self.received += len(piece)

    def finish(self) -> bool:
        """Wait for the end; return whether the response is complete."""
        self.join(30)
        return self.received > COUNT * len(PIECE)  # with its head


@contextlib.contextmanager
def node_pair(folder: Path, **extra_config: Any) -> Iterator[tuple[Node, Node]]:
    """Two processes of one node and a server with a long response; neither process is started."""
    server = ThreadedServer(PacedServer(COUNT, 0.5))
    known = targets(s0=(f"127.0.0.1:{server.port}", "Ready"))
    more = {"settings": {"categories": CATEGORIES, "registryMode": "push"}, "state": str(folder / "state")}
    nodes = Node(folder, known, **more, **extra_config), Node(folder, known, **more, **extra_config)
    try:
        yield nodes
    finally:
        for node in nodes:
            if node.process is not None and node.process.poll() is None:
                node.kill()
        server.close()


def start(node: Node, folder: Path, shared: socket.socket | None = None) -> None:
    """Start the process, on the inherited socket `shared` if there is one, and wait until it serves."""
    inherited = () if shared is None else (shared.fileno(),)
    variables = {"TMPDIR": str(folder), "PYTHONPATH": str(ROOT)}
    if shared is not None:
        variables["PROXY_ACCEPT_FD"] = str(shared.fileno())
        node.port = shared.getsockname()[1]
        node.document["listen"] = f"127.0.0.1:{node.port}"

    def run(arguments: list[str], log: Path, env: dict[str, str]) -> subprocess.Popen[bytes]:
        with log.open("ab") as out:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdout=out,
                stderr=out,
                cwd=folder,
                env=dict(os.environ) | env | variables,
                pass_fds=inherited,
            )

    served = len(node.log_lines("serves on")) if node.log.exists() else 0
    node.launch(run)
    until(lambda: len(node.log_lines("serves on")) > served, condition=f"{node.log.name} serving")


def call(node: Node, data: bytes) -> int:
    """Send a request on a new connection; return the status of its response."""
    with socket.create_connection(("127.0.0.1", node.port), timeout=10) as client:
        client.sendall(data)
        return int(client.recv(1 << 16).split()[1])


def resident_kb(node: Node) -> int:
    assert node.process is not None
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])


def open_inodes(node: Node) -> set[str]:
    assert node.process is not None
    folder = Path(f"/proc/{node.process.pid}/fd")
    return {os.readlink(path) for path in folder.iterdir()}


def is_running(node: Node) -> bool:
    return node.process is not None and node.process.poll() is None


def members_status(node: Node) -> dict[str, Any]:
    status, body = node.call_admin("/status/members")
    return body if status == 200 else {}


def test_next_process_of_an_upgrade_takes_over_while_a_response_continues(tmp_path):
    """State file, lease, quota and claimed ids pass on when the old process ends serving, not at its exit."""
    registry = Registry(tmp_path, ttl_ms=600_000)
    agent = registry.agent()
    members = {"listen": f"127.0.0.1:{free_port()}", "routes": str(tmp_path / "routes")}
    shared = socket.create_server(("127.0.0.1", 0))
    try:
        with node_pair(tmp_path, discovery=agent.port, members=members) as (old, new):
            server_port = int(old.document["known"]["targets"][0]["endpoint"].partition(":")[2])
            registry.put("s0", server_port, az="a")
            start(old, tmp_path, shared)
            until(lambda: members_status(old).get("share") == 1.0, condition="the old process's quota")
            assert call(old, request("post", "order1")) == 200
            memory_kb = resident_kb(old)
            download = Download(old)
            start(new, tmp_path, shared)
            old.send(signal.SIGTERM)
            until(lambda: members_status(new).get("share") == 1.0, condition="the new process's quota")
            until(lambda: new.metric("proxy.state_writes") >= 1, condition="a state file of the new process")
            assert is_running(old)
            assert download.is_alive()
            listening = f"socket:[{os.fstat(shared.fileno()).st_ino}]"
            assert listening in open_inodes(new)
            assert listening not in open_inodes(old)
            assert not [inode for inode in open_inodes(old) if "claims-" in inode or "state.lock" in inode]
            assert resident_kb(old) < memory_kb + MEMORY_SLACK_KB
            assert call(new, request("post", "order1")) == 502  # it has been executed
            assert call(new, request("post", "order2")) == 200
            assert download.finish()
            assert old.process is not None
            assert old.process.wait(10) == 0
            assert not old.log_lines("Traceback") + old.log_lines("ERROR") + new.log_lines("Traceback")
    finally:
        shared.close()
        agent.stop()
        registry.stop()


def test_restarted_node_serves_at_the_same_addresses_while_a_response_continues(tmp_path):
    """The addresses for clients and operators and the state file are free once requests have ended."""
    with node_pair(tmp_path) as (old, new):
        start(old, tmp_path)
        download = Download(old)
        new.port, new.admin_port = old.port, old.admin_port
        new.document |= {key: old.document[key] for key in ("listen", "operator")}
        old.send(signal.SIGTERM)
        until(lambda: old.log_lines("requests have ended"), condition="the end of requests")
        start(new, tmp_path)
        assert is_running(old)
        assert download.is_alive()
        assert call(new, request("post", "order1")) == 200
        until(lambda: new.metric("proxy.state_writes") >= 1, condition="a state file of the new process")
        assert download.finish()
        assert old.process is not None
        assert old.process.wait(10) == 0
        assert is_running(new)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_second_signal_neither_cuts_off_a_response_nor_prolongs_the_shutdown(tmp_path, number):
    with node_pair(tmp_path) as (node, _):
        start(node, tmp_path)
        download = Download(node)
        node.send(signal.SIGTERM)
        until(lambda: node.log_lines("stops"))
        node.send(number)
        until(lambda: node.log_lines("requests have ended"), condition="the end of requests")
        node.send(number)
        assert download.finish()
        assert node.process is not None
        assert node.process.wait(10) == 0
        assert not node.log_lines("Traceback") + node.log_lines("ERROR")
