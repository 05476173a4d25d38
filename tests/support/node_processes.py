"""Node processes (`python -m loadbalancer`) for tests: one on its own, or many beside the list service."""

from __future__ import annotations

import http.client
import signal
import socket
import subprocess
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson

from tests.support.loopback import config_row
from tests.support.ports import free_port
from tests.support.registry_processes import Agent, Registry, read_metric, running, spawn, until

Spawn = Callable[[list[str], Path, dict[str, str]], "subprocess.Popen[bytes]"]


class Node:
    """One node process; `start` again after a kill, under the same name, ports and files.

    `row` is what loopback's config_row takes: settings and bounds merged in, any other key added.
    """

    def __init__(
        self, folder: Path, known: list[dict[str, Any]], discovery: int | None = None, **row: Any
    ) -> None:
        self.port, self.door = free_port(), free_port()
        # by its port: two processes of one name, as an upgrade has, may share the folder
        self.config, self.log = folder / f"node-{self.port}.json", folder / f"node-{self.port}.log"
        address = f"127.0.0.1:{free_port() if discovery is None else discovery}"
        ports = {"listen": f"127.0.0.1:{self.port}", "operator": f"127.0.0.1:{self.door}"}
        self.row = config_row(address, known=known, **row) | ports
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, run: Spawn = spawn) -> None:
        self.launch(run)
        self.wait_up()

    def launch(self, run: Spawn = spawn) -> None:
        """Start it without waiting, so that many come up at once."""
        self.config.write_bytes(orjson.dumps(self.row))
        self.process = run(["-m", "loadbalancer"], self.log, {"PROXY_CONFIG": str(self.config)})

    def wait_up(self) -> None:
        """Until it takes connections; AssertionError with its log's end where it ended instead."""

        def up() -> bool:
            assert self.process is not None
            running(self.process, self.log)
            socket.create_connection(("127.0.0.1", self.port), timeout=0.5).close()
            return True

        until(up, what=f"{self.log.name} taking connections")

    def send(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        assert self.process is not None
        self.process.kill()
        self.process.wait(10)

    def stop(self) -> None:
        """SIGTERM, and its end awaited; nothing where it is not running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            self.process.wait(10)

    def lines(self, text: str) -> list[str]:
        return [line for line in self.log.read_text().splitlines() if text in line]

    def metric(self, name: str) -> float:
        return read_metric(self.door, name)

    def listed(self) -> int:
        return int(self.metric("proxy.targets"))

    def call_door(self, target: str, method: str = "GET", body: Any = None) -> tuple[int, Any]:
        """The door's status and its answer: JSON read where it is JSON, text otherwise.

        bytes go as they are, any other body as JSON; OSError where it can't be had in 3 s.
        """
        connection = http.client.HTTPConnection("127.0.0.1", self.door, timeout=3)
        try:
            data = body if body is None or isinstance(body, bytes) else orjson.dumps(body)
            connection.request(method, target, body=data)
            answer = connection.getresponse()
            raw = answer.read()
        finally:
            connection.close()
        try:
            return answer.status, orjson.loads(raw)
        except orjson.JSONDecodeError:
            return answer.status, raw.decode()


class Nodes:
    """So many nodes named n0, n1 and so on, following `registry` through an agent each, or a shared one.

    `row` gives each node's part of its configuration by its index, as Node takes it; it is asked once, before
    any is started, so a caller that needs all ports (addresses of peers) updates `node.row` before `start`.
    """

    def __init__(
        self,
        folder: Path,
        registry: Registry,
        count: int,
        known: list[dict[str, Any]],
        row: Callable[[int], dict[str, Any]] = lambda at: {},
        shared_agent: bool = False,
    ) -> None:
        self.agents: list[Agent] = [registry.agent() for _ in range(1 if shared_agent else count)]
        self._nodes = [
            Node(folder, known, self.agents[at % len(self.agents)].port, **_named(at, row(at)))
            for at in range(count)
        ]

    def __getitem__(self, at: int) -> Node:
        return self._nodes[at]

    def __iter__(self) -> Iterator[Node]:
        return iter(self._nodes)

    def __len__(self) -> int:
        return len(self._nodes)

    @property
    def ports(self) -> list[int]:
        return [node.port for node in self._nodes]

    def start(self, *chosen: int) -> None:
        """These, or all, at once; returns when each takes connections."""
        nodes = [self._nodes[at] for at in chosen] if chosen else self._nodes
        for node in nodes:
            node.launch()
        for node in nodes:
            node.wait_up()

    def stop(self, at: int) -> None:
        self._nodes[at].stop()

    def kill(self, at: int) -> None:
        self._nodes[at].kill()

    def freeze(self, at: int) -> None:
        self._nodes[at].send(signal.SIGSTOP)

    def thaw(self, at: int) -> None:
        self._nodes[at].send(signal.SIGCONT)

    def restart(self, at: int) -> None:
        """Stop it, where it runs, and start it on what its row says now."""
        self._nodes[at].stop()
        self._nodes[at].start()

    def door(self, at: int, target: str, method: str = "GET", body: Any = None) -> tuple[int, Any]:
        return self._nodes[at].call_door(target, method, body)

    def close(self) -> None:
        """End all, frozen ones too, and the agents."""
        for node in self._nodes:
            if node.process is not None and node.process.poll() is None:
                node.kill()
        for agent in self.agents:
            agent.stop()


def _named(at: int, row: dict[str, Any]) -> dict[str, Any]:
    base = {"name": f"n{at}", "settings": {"registryMode": "push"} | row.get("settings", {})}
    return row | base
