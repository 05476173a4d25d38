"""`python -m loadbalancer.registry local`: a node with its own list service, all on loopback.

It starts three instances, an agent and a node (`python -m loadbalancer`) as processes in a
folder of its own, and serves a few stand-in servers from this process that register and
renew their leases as real ones would. It is a way to see the parts work together, and the
operators' first try of them: Ctrl-C ends every process it started, by its id.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import structlog

from loadbalancer.node.http.service_http import HttpRequest, HttpResponse, send_request, serve
from loadbalancer.registry.signals import wait_for_stop

# The node's settings: three classes of worth, as a small shop has; see BRIEF for the keys.
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


def _reserved_port(held: contextlib.ExitStack) -> int:
    """A port for a child to bind, kept for it until `held` closes.

    The socket stays bound, not listening: the system gives its number to nobody else meanwhile, and the
    child, which sets SO_REUSEADDR as this does, can bind it and listen.
    """
    holder = held.enter_context(socket.socket())
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    return int(holder.getsockname()[1])


def _instance_files(folder: Path, http: list[int], raft: list[int], ttl_ms: int) -> list[Path]:
    paths = []
    for index, (listen, own) in enumerate(zip(http, raft, strict=True)):
        peers = ", ".join(f'"127.0.0.1:{port}"' for port in raft if port != own)
        path = folder / f"registry-{index}.toml"
        path.write_text(
            f'[instance]\nname = "r{index}"\nlisten = "127.0.0.1:{listen}"\nraft = "127.0.0.1:{own}"\n'
            f'peers = [{peers}]\ndata = "data-r{index}"\n\n[lease]\nttl_ms = {ttl_ms}\n'
        )
        paths.append(path)
    return paths


class StandInServer:
    """A server of this process: answers 200, registers itself and renews its lease."""

    def __init__(self, uid: str, registries: list[int], ttl_ms: int) -> None:
        self.uid, self.registries, self.ttl_ms = uid, registries, ttl_ms
        self.port = 0

    async def start(self) -> None:
        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(200, b'{"done":true}', {"depth": "0"})

        server = await serve(("127.0.0.1", 0), answer)
        self.port = server.sockets[0].getsockname()[1]

    async def keep_lease(self, log: structlog.stdlib.BoundLogger) -> None:
        body = orjson.dumps({"uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": "a"})
        registered, failures = False, 0
        while True:
            for port in self.registries:
                with contextlib.suppress(OSError, TimeoutError):
                    if not registered:
                        reply = await send_request(
                            ("127.0.0.1", port), "PUT", f"/registry/targets/{self.uid}", body
                        )
                        registered = reply.status == 200
                    else:
                        renew = orjson.dumps({"uids": [self.uid]})
                        reply = await send_request(("127.0.0.1", port), "POST", "/registry/renew", renew)
                        registered = reply.status == 200 and not orjson.loads(reply.body)["unknown"]
                    if reply.status == 200:
                        failures = 0
                        break
            else:
                failures += 1
                if failures % 10 == 3:  # not while the instances elect their first leader
                    log.warning("lease_not_renewed", uid=self.uid, failures=failures)
            await asyncio.sleep(self.ttl_ms / 3000.0)


async def run_local(folder: Path, servers: int, node_port: int, log: structlog.stdlib.BoundLogger) -> None:
    """Start it all and keep it until SIGTERM or SIGINT."""
    with contextlib.ExitStack() as held:
        ports = [_reserved_port(held) for _ in range(7)]
        await _run(folder, servers, node_port, ports, log)


async def _run(
    folder: Path, servers: int, node_port: int, ports: list[int], log: structlog.stdlib.BoundLogger
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    http, raft, agent_port, ttl_ms = ports[:3], ports[3:6], ports[6], 6000
    me = [sys.executable, "-m", "loadbalancer.registry"]
    commands = [[*me, "serve", "--config", str(path)] for path in _instance_files(folder, http, raft, ttl_ms)]
    registries = ", ".join(f'"127.0.0.1:{port}"' for port in http)
    (folder / "agent.toml").write_text(
        f'[agent]\nlisten = "127.0.0.1:{agent_port}"\nregistries = [{registries}]\n'
    )
    commands.append([*me, "agent", "--config", str(folder / "agent.toml")])
    node = {
        "name": "local",
        "listen": f"127.0.0.1:{node_port}",
        "discovery": f"127.0.0.1:{agent_port}",
        "seed": "5eed5eed5eed5eed",
        "known": {"rev": 0, "all": True, "targets": []},
        "settings": NODE_SETTINGS,
    }
    (folder / "node.json").write_bytes(orjson.dumps(node, option=orjson.OPT_INDENT_2))
    root = str(Path(__file__).resolve().parents[2])  # the processes run in the folder, not the checkout
    path = os.pathsep.join(part for part in (root, os.environ.get("PYTHONPATH")) if part)
    environment = {**os.environ, "PROXY_CONFIG": str(folder / "node.json"), "PYTHONPATH": path}
    commands.append([sys.executable, "-m", "loadbalancer"])
    children = []
    for number, command in enumerate(commands):
        with (folder / f"process-{number}.log").open("ab") as out:
            children.append(subprocess.Popen(command, stdout=out, stderr=out, env=environment, cwd=folder))
    stand_ins = [StandInServer(f"local-{number}", http, ttl_ms) for number in range(servers)]
    for stand_in in stand_ins:
        await stand_in.start()
    leases = [asyncio.create_task(stand_in.keep_lease(log)) for stand_in in stand_ins]
    log.info(
        "local_started",
        node=f"127.0.0.1:{node_port}",
        agent=f"127.0.0.1:{agent_port}",
        registries=[f"127.0.0.1:{port}" for port in http],
        folder=str(folder),
        pids=[child.pid for child in children],
        hint=f"curl -H 'Req-Id: r1' http://127.0.0.1:{node_port}/read/1",
    )
    await wait_for_stop()
    for lease in leases:
        lease.cancel()
    for child in children:
        child.send_signal(signal.SIGTERM)
    for child in children:
        try:
            child.wait(10)
        except subprocess.TimeoutExpired:
            child.kill()
    log.info("local_stopped")
