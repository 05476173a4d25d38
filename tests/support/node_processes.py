"""Node processes (`python -m loadbalancer`) for tests: a single one, or several with a list service."""

from __future__ import annotations

import http.client
import signal
import socket
import subprocess
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson

from tests.support.loopback import config_document
from tests.support.ports import free_port
from tests.support.registry_processes import Agent, Registry, read_metric, running, spawn, until

Spawn = Callable[[list[str], Path, dict[str, str]], "subprocess.Popen[bytes]"]


class Node:
    """One node process. After `kill`, `start` runs it again with the same name, ports and files.

    `row` has the arguments of loopback's config_document: `settings` and `bounds` are merged into the
    defaults, any other key is added to the configuration.
    """

    def __init__(
        self, folder: Path, known: list[dict[str, Any]], discovery: int | None = None, **row: Any
    ) -> None:
        self.port, self.admin_port = free_port(), free_port()
        # Named by port, because the two processes of an upgrade have one name and may share the folder.
        self.config, self.log = folder / f"node-{self.port}.json", folder / f"node-{self.port}.log"
        address = f"127.0.0.1:{free_port() if discovery is None else discovery}"
        ports = {"listen": f"127.0.0.1:{self.port}", "operator": f"127.0.0.1:{self.admin_port}"}
        self.row = config_document(address, known=known, **row) | ports
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, run: Spawn = spawn) -> None:
        self.launch(run)
        self.wait_up()

    def launch(self, run: Spawn = spawn) -> None:
        """Start the process without waiting, so that several can start concurrently."""
        self.config.write_bytes(orjson.dumps(self.row))
        self.process = run(["-m", "loadbalancer"], self.log, {"PROXY_CONFIG": str(self.config)})

    def wait_up(self) -> None:
        """Wait until it accepts connections; raise AssertionError with the end of its log if it exits."""

        def up() -> bool:
            assert self.process is not None
            running(self.process, self.log)
            socket.create_connection(("127.0.0.1", self.port), timeout=0.5).close()
            return True

        until(up, what=f"{self.log.name} accepting connections")

    def send(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        assert self.process is not None
        self.process.kill()
        self.process.wait(10)

    def stop(self) -> None:
        """Send SIGTERM and wait for the exit; do nothing if it isn't running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            self.process.wait(10)

    def log_lines(self, text: str) -> list[str]:
        return [line for line in self.log.read_text().splitlines() if text in line]

    def metric(self, name: str) -> float:
        return read_metric(self.admin_port, name)

    def endpoint_count(self) -> int:
        return int(self.metric("proxy.targets"))

    def call_admin(self, target: str, method: str = "GET", body: Any = None) -> tuple[int, Any]:
        """Call the admin API; return the status and the body, decoded if it is JSON and as text otherwise.

        A `body` of bytes is sent as it is, any other as JSON. Raise OSError without a response in 3 s.
        """
        connection = http.client.HTTPConnection("127.0.0.1", self.admin_port, timeout=3)
        try:
            data = body if body is None or isinstance(body, bytes) else orjson.dumps(body)
            connection.request(method, target, body=data)
            response = connection.getresponse()
            raw = response.read()
        finally:
            connection.close()
        try:
            return response.status, orjson.loads(raw)
        except orjson.JSONDecodeError:
            return response.status, raw.decode()


class Nodes:
    """`count` nodes named n0, n1 and so on, which follow `registry` through an agent each or a shared agent.

    `row(index)` gives a node's additional configuration, as Node takes it. It is called before any node
    starts; a test that needs the ports of all nodes in a configuration updates `node.row` before `start`.
    """

    def __init__(
        self,
        folder: Path,
        registry: Registry,
        count: int,
        known: list[dict[str, Any]],
        row: Callable[[int], dict[str, Any]] = lambda index: {},
        shared_agent: bool = False,
    ) -> None:
        self.agents: list[Agent] = [registry.agent() for _ in range(1 if shared_agent else count)]
        self._nodes = [
            Node(folder, known, self.agents[index % len(self.agents)].port, **_named(index, row(index)))
            for index in range(count)
        ]

    def __getitem__(self, index: int) -> Node:
        return self._nodes[index]

    def __iter__(self) -> Iterator[Node]:
        return iter(self._nodes)

    def __len__(self) -> int:
        return len(self._nodes)

    @property
    def ports(self) -> list[int]:
        return [node.port for node in self._nodes]

    def start(self, *chosen: int) -> None:
        """Start the chosen nodes, or all, concurrently; return when each accepts connections."""
        nodes = [self._nodes[index] for index in chosen] if chosen else self._nodes
        for node in nodes:
            node.launch()
        for node in nodes:
            node.wait_up()

    def stop(self, index: int) -> None:
        self._nodes[index].stop()

    def kill(self, index: int) -> None:
        self._nodes[index].kill()

    def pause(self, index: int) -> None:
        self._nodes[index].send(signal.SIGSTOP)

    def resume(self, index: int) -> None:
        self._nodes[index].send(signal.SIGCONT)

    def restart(self, index: int) -> None:
        """Stop the node if it runs, and start it with the present contents of its `row`."""
        self._nodes[index].stop()
        self._nodes[index].start()

    def call_admin(self, index: int, target: str, method: str = "GET", body: Any = None) -> tuple[int, Any]:
        return self._nodes[index].call_admin(target, method, body)

    def close(self) -> None:
        """Kill all nodes, paused ones too, and stop the agents."""
        for node in self._nodes:
            if node.process is not None and node.process.poll() is None:
                node.kill()
        for agent in self.agents:
            agent.stop()


def _named(index: int, row: dict[str, Any]) -> dict[str, Any]:
    base = {"name": f"n{index}", "settings": {"registryMode": "push"} | row.get("settings", {})}
    return row | base
