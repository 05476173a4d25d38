"""`python -m loadbalancer.registry local`: a node with its own list service, all on loopback.

It starts three instances, an agent and a node (`python -m loadbalancer`) as processes in a folder. A few stub
servers run in this process and register and renew their leases as real servers do. This is a quick way to see
the programs work together; Ctrl-C ends every process that it started, by its id.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

import orjson
import structlog

from loadbalancer.node.http.service_client import ReceivedResponse, send_request
from loadbalancer.node.http.service_server import HttpRequest, HttpResponse, serve
from loadbalancer.registry.signals import wait_for_stop

LOOPBACK = "127.0.0.1"
INSTANCE_COUNT = 3
LEASE_MS = 6_000
RENEWALS_PER_LEASE = 3
FAILURES_PER_LOG_LINE = 10
FIRST_LOGGED_FAILURE = 3  # earlier ones are normal while the instances elect their first leader
STOP_TIMEOUT_S = 10.0
MS_PER_S = 1000.0

# The node's settings: two request classes, as in a small service; BRIEF explains the keys.
NODE_SETTINGS: dict[str, Any] = {
    "bounds": {
        "cancel": True,
        "maxAttempts": 3,
        "maxOpen": 1000,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
    },
    "categories": [
        {"name": "read", "aimMs": 200.0, "giveUpMs": 1000.0, "credit": 4.0, "effect": "free"},
        {"name": "post", "aimMs": 400.0, "giveUpMs": 2000.0, "credit": 1.0, "effect": "single_shot"},
    ],
    "feedback": {"fields": ["depth"], "via": "inline"},
    "registryMode": "push",
    "locality": "a",
}


@dataclass(slots=True, frozen=True)
class LocalPorts:
    """The programs' loopback ports."""

    http: Sequence[int]  # one per instance
    raft: Sequence[int]  # one per instance
    agent: int
    node: int


class StubServer:
    """A stub server in this process: it responds with 200, registers itself and renews its lease."""

    def __init__(self, uid: str, registry_ports: Sequence[int], ttl_ms: int) -> None:
        self.uid, self._registry_ports, self._ttl_ms = uid, registry_ports, ttl_ms
        self._port = 0
        self._registered = False

    async def start(self) -> None:
        """Listen on a free port."""

        async def respond(request: HttpRequest) -> HttpResponse:
            return HttpResponse(HTTPStatus.OK, b'{"done":true}', {"depth": "0"})

        server = await serve((LOOPBACK, 0), respond)
        self._port = server.sockets[0].getsockname()[1]

    async def maintain_lease(self, log: structlog.stdlib.BoundLogger) -> None:
        """Register, and renew the lease until cancelled."""
        failures = 0
        while True:
            if await self._renew_with_any():
                failures = 0
            else:
                failures += 1
                if failures % FAILURES_PER_LOG_LINE == FIRST_LOGGED_FAILURE:
                    log.warning("lease_not_renewed", uid=self.uid, failures=failures)
            await asyncio.sleep(self._ttl_ms / MS_PER_S / RENEWALS_PER_LEASE)

    async def _renew_with_any(self) -> bool:
        """Register or renew with the first instance that accepts it; return whether one did."""
        for port in self._registry_ports:
            with contextlib.suppress(OSError, TimeoutError):
                if (await self._renew_with(port)).status == HTTPStatus.OK:
                    return True
        return False

    async def _renew_with(self, port: int) -> ReceivedResponse:
        if self._registered:
            body = orjson.dumps({"uids": [self.uid]})
            response = await send_request((LOOPBACK, port), "POST", "/registry/renew", body)
            self._registered = response.status == HTTPStatus.OK and not orjson.loads(response.body)["unknown"]
        else:
            body = orjson.dumps({"uid": self.uid, "endpoint": f"{LOOPBACK}:{self._port}", "az": "a"})
            response = await send_request((LOOPBACK, port), "PUT", f"/registry/targets/{self.uid}", body)
            self._registered = response.status == HTTPStatus.OK
        return response


async def run_local(folder: Path, servers: int, node_port: int, log: structlog.stdlib.BoundLogger) -> None:
    """Start all programs and run them until SIGTERM or SIGINT.

    `folder` is for their configurations, data and logs; `servers` is the number of stub servers.
    """
    with contextlib.ExitStack() as reservations:
        http = [_reserve_port(reservations) for _ in range(INSTANCE_COUNT)]
        raft = [_reserve_port(reservations) for _ in range(INSTANCE_COUNT)]
        ports = LocalPorts(http, raft, _reserve_port(reservations), node_port)
        folder.mkdir(parents=True, exist_ok=True)
        children = _start_programs(folder, ports)
        stubs = [StubServer(f"local-{number}", http, LEASE_MS) for number in range(servers)]
        for stub in stubs:
            await stub.start()
        leases = [asyncio.create_task(stub.maintain_lease(log)) for stub in stubs]
        log.info(
            "local_started",
            node=f"{LOOPBACK}:{ports.node}",
            agent=f"{LOOPBACK}:{ports.agent}",
            registries=[f"{LOOPBACK}:{port}" for port in http],
            folder=str(folder),
            pids=[child.pid for child in children],
            hint=f"curl -H 'Req-Id: r1' http://{LOOPBACK}:{ports.node}/read/1",
        )
        await wait_for_stop()
        for lease in leases:
            lease.cancel()
        _stop(children)
        log.info("local_stopped")


def _reserve_port(reservations: contextlib.ExitStack) -> int:
    """Return a port for a child process, reserved for it until `reservations` closes.

    The reserving socket stays bound without listening: the system assigns its port to no other process, while
    the child, which also sets SO_REUSEADDR, can bind the port and listen.
    """
    reserved = reservations.enter_context(socket.socket())
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((LOOPBACK, 0))
    return int(reserved.getsockname()[1])


def _start_programs(folder: Path, ports: LocalPorts) -> list[subprocess.Popen[bytes]]:
    registry = [sys.executable, "-m", "loadbalancer.registry"]
    commands = [
        [*registry, "serve", "--config", str(_write_instance_file(folder, ports, index))]
        for index in range(INSTANCE_COUNT)
    ]
    commands.append([*registry, "agent", "--config", str(_write_agent_file(folder, ports))])
    commands.append([sys.executable, "-m", "loadbalancer"])
    environment = _environment(_write_node_file(folder, ports))
    children = []
    for number, command in enumerate(commands):
        with (folder / f"process-{number}.log").open("ab") as out:
            children.append(subprocess.Popen(command, stdout=out, stderr=out, env=environment, cwd=folder))
    return children


def _write_instance_file(folder: Path, ports: LocalPorts, index: int) -> Path:
    raft = ports.raft[index]
    peers = ", ".join(f'"{LOOPBACK}:{port}"' for port in ports.raft if port != raft)
    path = folder / f"registry-{index}.toml"
    path.write_text(
        f'[instance]\nname = "r{index}"\nlisten = "{LOOPBACK}:{ports.http[index]}"\n'
        f'raft = "{LOOPBACK}:{raft}"\npeers = [{peers}]\ndata = "data-r{index}"\n\n'
        f"[lease]\nttl_ms = {LEASE_MS}\n"
    )
    return path


def _write_agent_file(folder: Path, ports: LocalPorts) -> Path:
    registries = ", ".join(f'"{LOOPBACK}:{port}"' for port in ports.http)
    path = folder / "agent.toml"
    path.write_text(f'[agent]\nlisten = "{LOOPBACK}:{ports.agent}"\nregistries = [{registries}]\n')
    return path


def _write_node_file(folder: Path, ports: LocalPorts) -> Path:
    configuration = {
        "name": "local",
        "listen": f"{LOOPBACK}:{ports.node}",
        "discovery": f"{LOOPBACK}:{ports.agent}",
        "seed": "5eed5eed5eed5eed",
        "known": {"rev": 0, "all": True, "targets": []},
        "settings": NODE_SETTINGS,
    }
    path = folder / "node.json"
    path.write_bytes(orjson.dumps(configuration, option=orjson.OPT_INDENT_2))
    return path


def _environment(node_file: Path) -> dict[str, str]:
    """Return the programs' environment; they run in another folder and need the path of this package."""
    root = str(Path(__file__).resolve().parents[2])
    path = os.pathsep.join(part for part in (root, os.environ.get("PYTHONPATH")) if part)
    return {**os.environ, "PROXY_CONFIG": str(node_file), "PYTHONPATH": path}


def _stop(children: list[subprocess.Popen[bytes]]) -> None:
    for child in children:
        child.send_signal(signal.SIGTERM)
    for child in children:
        try:
            child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            child.kill()
