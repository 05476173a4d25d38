"""Processes of the program under test, from any checkout: list service instances, agents and real nodes.

Each counts its traffic (sockets.py) through a `sitecustomize` module that is first on its PYTHONPATH.
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from bench.scale import sockets
from bench.scale.processes import WatchedProcess
from bench.scale.records import Role
from tests.support.node_processes import Node
from tests.support.ports import free_port
from tests.support.registry_processes import Registry, running, until

CHECKOUT = Path(__file__).resolve().parent.parent.parent
SITECUSTOMIZE = "from bench.scale.sockets import install_from_environment\n\ninstall_from_environment()\n"
STOP_S = 10.0


class Program:
    """The program of a checkout; its processes write their files to `folder`."""

    def __init__(self, checkout: Path | None, folder: Path) -> None:
        """Without a checkout, use the one of this module."""
        self.checkout = (checkout or CHECKOUT).resolve()
        self.folder = folder
        self._path = folder / "path"
        self._path.mkdir()
        (self._path / "sitecustomize.py").write_text(SITECUSTOMIZE)
        (self._path / "bench").mkdir()
        (self._path / "bench" / "scale").symlink_to(CHECKOUT / "bench" / "scale")
        self.watched: list[WatchedProcess] = []

    def environment(self, counts: Path, ports: Mapping[str, int]) -> dict[str, str]:
        """Return an environment with the scale tests of this checkout and the program of the other."""
        return os.environ | {
            "PYTHONPATH": f"{self._path}{os.pathsep}{self.checkout}",
            sockets.COUNTS_FILE: str(counts),
            sockets.COUNTS_PORTS: sockets.format_ports(ports),
        }

    def spawn(
        self, role: Role, name: str, arguments: list[str], ports: Mapping[str, int]
    ) -> subprocess.Popen[bytes]:
        """Start and watch a process that counts its traffic by these ports."""
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
        """Watch a process; it replaces a watched process of the same name."""
        self.watched = [process for process in self.watched if process.name != name]
        self.watched.append(WatchedProcess(role, name, pid, self.counts(name), ports))


class Instances(Registry):
    """Three list service instances of a program; `relayed` puts relays between them for partitions."""

    def __init__(self, program: Program, ttl_ms: int, relayed: bool, groups: bool) -> None:
        """`groups` enables a group for each service, which older programs don't have."""
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
    """The agent process of one node."""

    def __init__(self, program: Program, name: str, instances: list[int]) -> None:
        self.port = free_port()
        registries = ", ".join(f'"127.0.0.1:{port}"' for port in instances)
        config = program.folder / f"{name}.toml"
        config.write_text(f'[agent]\nlisten = "127.0.0.1:{self.port}"\nregistries = [{registries}]\n')
        arguments = ["-m", "loadbalancer.registry", "agent", "--config", str(config)]
        self.process = program.spawn("agent", name, arguments, {"node": self.port})

    def stop(self) -> None:
        _terminate(self.process)


class RealNode:
    """A node process without clients; `members` are its settings of that name, if any."""

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
        """Return one of the node's metrics; raise OSError if it does not respond."""
        return self._node.metric(f"proxy.{name}")

    def stop(self) -> None:
        if self._node.process is not None:
            _terminate(self._node.process)


def _terminate(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(STOP_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait(STOP_S)


Closing = list[Callable[[], None]]
