"""Processes of the program under test, from any checkout: instances of the list service, agents, real nodes.

Each counts its traffic (sockets.py) by way of a `sitecustomize` that is put first on its path.
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from bench.scale import sockets
from bench.scale.processes import Watched
from bench.scale.records import Role
from tests.support.node_processes import Node
from tests.support.ports import free_port
from tests.support.registry_processes import Registry, running, until

HERE = Path(__file__).resolve().parent.parent.parent
CUSTOMIZE = "from bench.scale.sockets import install_from_environment\n\ninstall_from_environment()\n"
STOP_S = 10.0


class Program:
    """A checkout whose program is run; what it writes goes under `folder`."""

    def __init__(self, checkout: Path | None, folder: Path) -> None:
        """No checkout: the one that these tests stand in."""
        self.checkout = (checkout or HERE).resolve()
        self.folder = folder
        self._path = folder / "path"
        self._path.mkdir()
        (self._path / "sitecustomize.py").write_text(CUSTOMIZE)
        (self._path / "bench").mkdir()
        (self._path / "bench" / "scale").symlink_to(HERE / "bench" / "scale")
        self.watched: list[Watched] = []

    def environment(self, counts: Path, ports: Mapping[str, int]) -> dict[str, str]:
        """The scale tests of this checkout over the program of the other."""
        return os.environ | {
            "PYTHONPATH": f"{self._path}{os.pathsep}{self.checkout}",
            sockets.COUNTS_FILE: str(counts),
            sockets.COUNTS_PORTS: sockets.format_ports(ports),
        }

    def spawn(
        self, role: Role, name: str, arguments: list[str], ports: Mapping[str, int]
    ) -> subprocess.Popen[bytes]:
        """Start it, count its traffic by these ports, and watch it."""
        counts = self.counts(name)
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                env=self.environment(counts, ports),
                cwd=self.folder,
            )
        self.watch(role, name, process.pid, ports)
        return process

    def counts(self, name: str) -> Path:
        return self.folder / f"{name}.counts"

    def watch(self, role: Role, name: str, pid: int, ports: Mapping[str, int]) -> None:
        """A process of that name that has been watched before is the one that this has replaced."""
        self.watched = [process for process in self.watched if process.name != name]
        self.watched.append(Watched(role, name, pid, self.counts(name), ports))


class Instances(Registry):
    """Three instances of the list service of a program; `relayed` where links between them are to be cut."""

    def __init__(self, program: Program, ttl_ms: int, relayed: bool, groups: bool) -> None:
        """`groups`: whether the program has a group for each service, and is to use it."""
        self._program, self._groups = program, groups
        super().__init__(
            program.folder,
            ttl_ms=600_000,
            relayed=relayed,
            members=lambda index: {"ttl_ms": ttl_ms},
        )

    def config(self, index: int) -> Path:
        path = super().config(index)
        if self._groups:
            path.write_text(path.read_text().replace("[members]\n", "[members]\ngroups = true\n"))
        return path

    def start(self, index: int) -> None:
        name = f"r{index}"
        arguments = ["-m", "loadbalancer.registry", "serve", "--config", str(self.config(index))]
        ports = {"http": self.http[index], "raft": self.raft[index]}
        ports |= {f"raft{other}": port for other, port in enumerate(self.raft) if other != index}
        process = self.processes[index] = self._program.spawn("service", name, arguments, ports)
        log = self.folder / f"{name}.log"
        until(lambda: running(process, log) and self.status(index), what=f"{name} answering")

    def pids(self) -> dict[str, int]:
        return {f"r{at}": process.pid for at, process in enumerate(self.processes) if process is not None}


class RealAgent:
    """An agent process beside one node."""

    def __init__(self, program: Program, name: str, instances: list[int]) -> None:
        self.port = free_port()
        registries = ", ".join(f'"127.0.0.1:{port}"' for port in instances)
        config = program.folder / f"{name}.toml"
        config.write_text(f'[agent]\nlisten = "127.0.0.1:{self.port}"\nregistries = [{registries}]\n')
        arguments = ["-m", "loadbalancer.registry", "agent", "--config", str(config)]
        self.process = program.spawn("agent", name, arguments, {"node": self.port})

    def stop(self) -> None:
        _end(self.process)


class RealNode:
    """A node process without callers; with the fleet's part where `members` are its settings."""

    def __init__(self, program: Program, name: str, agent: RealAgent, members: dict[str, Any] | None) -> None:
        self.name = name
        self._program = program
        row: dict[str, Any] = {"name": name, "settings": {"registryMode": "push"}}
        if members is not None:
            row["members"] = members
        self._node = Node(program.folder, [], agent.port, **row)
        self._ports = {"door": self._node.admin_port, "agent": agent.port}
        if members is not None:
            self._ports["members"] = int(str(members["listen"]).rpartition(":")[2])

    def launch(self) -> None:
        self._node.launch(self._spawn)

    def _spawn(self, arguments: list[str], log: Path, environment: dict[str, str]) -> subprocess.Popen[bytes]:
        program = self._program
        os_environment = program.environment(program.counts(self.name), self._ports) | environment
        with log.open("ab") as out:
            process = subprocess.Popen(
                [sys.executable, *arguments], stdout=out, stderr=out, env=os_environment, cwd=log.parent
            )
        program.watch("node", self.name, process.pid, self._ports)
        return process

    def metric(self, name: str) -> float:
        """One of the node's figures; OSError where it does not answer."""
        return self._node.metric(f"proxy.{name}")

    def stop(self) -> None:
        if self._node.process is not None:
            _end(self._node.process)


def _end(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(STOP_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait(STOP_S)


Closing = list[Callable[[], None]]
