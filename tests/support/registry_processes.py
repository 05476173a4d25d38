"""Processes of the list service on loopback for multi-process tests: instances, agents, calls.

Every port is reserved for its program (tests/support/ports.py). Every wait polls a condition for a limited
time, and its failure message contains the last value.
"""

from __future__ import annotations

import contextlib
import http.client
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import orjson

from tests.support.ports import free_port
from tests.support.relay import Relay

ROOT = Path(__file__).resolve().parents[2]


def until(check: Callable[[], Any], within_s: float = 20.0, what: str = "condition") -> Any:
    """Poll until check() is truthy and return its value; raise AssertionError after within_s."""
    deadline = time.monotonic() + within_s
    last: Any = None
    while time.monotonic() < deadline:
        try:
            last = check()
        except (OSError, ValueError, http.client.HTTPException) as error:
            last = error
        else:
            if last:
                return last
        time.sleep(0.02)
    raise AssertionError(f"{what} not reached in {within_s} s; last value {last!r}")


def http_request(
    port: int, method: str, target: str, body: Any = None, timeout: float = 3.0
) -> tuple[int, dict[str, str], Any]:
    """Return a response's status, headers and decoded JSON; encode `body` as JSON unless it is bytes."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, bytes) else orjson.dumps(body)
        connection.request(method, target, body=data)
        response = connection.getresponse()
        raw = response.read()
        return (
            response.status,
            {name.lower(): value for name, value in response.getheaders()},
            orjson.loads(raw) if raw else None,
        )
    finally:
        connection.close()


def spawn(arguments: list[str], log: Path, env: dict[str, str] | None = None) -> subprocess.Popen[bytes]:
    environment = {**os.environ, "PYTHONPATH": str(ROOT), **(env or {})}
    with log.open("ab") as out:
        return subprocess.Popen(
            [sys.executable, *arguments], stdout=out, stderr=out, env=environment, cwd=log.parent
        )


def running(process: subprocess.Popen[bytes], log: Path) -> bool:
    """Return True; raise AssertionError with the log's last lines if the process has ended."""
    if process.poll() is None:
        return True
    last_lines = log.read_text(errors="replace").splitlines()[-3:]
    raise AssertionError(f"{log.name}: ended with {process.returncode}: {last_lines}")


def read_metric(operator_port: int, name: str) -> float:
    """Read one of a node's metrics from its admin server."""
    connection = http.client.HTTPConnection("127.0.0.1", operator_port, timeout=2)
    try:
        connection.request("GET", "/status/metrics")
        text = connection.getresponse().read().decode()
    finally:
        connection.close()
    return float(text.split(f"{name}=")[1].split()[0])


class Registry:
    """Three (or more) instances of the list service in one folder."""

    def __init__(
        self,
        folder: Path,
        count: int = 3,
        ttl_ms: int = 10_000,
        relayed: bool = False,
        members: Callable[[int], dict[str, int | str]] = lambda index: {},
        raft: dict[str, int] | None = None,
    ) -> None:
        """Start the instances and wait for a leader.

        `members` and `raft` are the keys of an instance's TOML tables of these names, with values as in TOML
        (`true`). If `relayed`, each pair of instances talks through a relay, so that `partition` can separate
        them.
        """
        self.folder = folder
        self.members = members
        self.raft_keys = raft or {}
        self.http = [free_port() for _ in range(count)]
        self.ttl_ms = ttl_ms
        # pysyncobj has one connection per pair, opened by the higher address to the lower one. Relayed
        # instances listen on 127.0.0.2 and up and relays on 127.0.0.1, so the instance with the higher
        # address connects to the relay.
        self.hosts = [f"127.0.0.{2 + index}" if relayed else "127.0.0.1" for index in range(count)]
        self.raft = [free_port(host) for host in self.hosts]
        self.links: dict[tuple[int, int], Relay] = {}
        if relayed:
            for high in range(count):
                for low in range(high):
                    self.links[high, low] = Relay((self.hosts[low], self.raft[low]))
        self.processes: list[subprocess.Popen[bytes] | None] = [None] * count
        for index in range(count):
            self.start(index)
        self.leader()

    def config(self, index: int) -> Path:
        path = self.folder / f"r{index}.toml"
        peers = ", ".join(
            f'"{self.peer_address(index, other)}"' for other in range(len(self.raft)) if other != index
        )
        tables: dict[str, Mapping[str, int | str]] = {"raft": self.raft_keys, "members": self.members(index)}
        path.write_text(
            f'[instance]\nname = "r{index}"\nlisten = "127.0.0.1:{self.http[index]}"\n'
            f'raft = "{self.hosts[index]}:{self.raft[index]}"\npeers = [{peers}]\ndata = "data-r{index}"\n'
            f"[lease]\nttl_ms = {self.ttl_ms}\n"
            + "".join(_toml_table(name, keys) for name, keys in tables.items() if keys)
        )
        return path

    def peer_address(self, index: int, other: int) -> str:
        link = self.links.get((index, other))
        return "{}:{}".format(*link.address) if link else f"{self.hosts[other]}:{self.raft[other]}"

    def partition(self, index: int, silent: bool = True) -> None:
        """Silence an instance's links, as with a cut cable; heal the partition if not `silent`."""
        for pair, link in self.links.items():
            if index in pair:
                link.set_blocked(silent)

    def start(self, index: int) -> None:
        arguments = ["-m", "loadbalancer.registry", "serve", "--config", str(self.config(index))]
        log = self.folder / f"r{index}.log"
        process = self.processes[index] = spawn(arguments, log)
        until(lambda: running(process, log) and self.status(index), what=f"a response of r{index}")

    def kill(self, index: int, signal_number: int = signal.SIGKILL) -> None:
        process = self.processes[index]
        assert process is not None
        os.kill(process.pid, signal_number)
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            process.wait(10)
            self.processes[index] = None

    def delete_data(self, index: int) -> None:
        shutil.rmtree(self.folder / f"data-r{index}", ignore_errors=True)

    def status(self, index: int) -> dict[str, Any]:
        return http_request(self.http[index], "GET", "/registry/status", timeout=1.0)[2]  # type: ignore[no-any-return]

    def leader(self, within_s: float = 20.0) -> int:
        def find() -> int | None:
            for index, process in enumerate(self.processes):
                if (
                    process is not None
                    and self.status(index)["raft"] == 2
                    and not self.status(index)["stale"]
                ):
                    return index
            return None

        return int(until(lambda: (found := find()) is not None and str(found), within_s, "a leader"))

    def put(self, uid: str, port: int = 9, avoid: int | None = None, **fields: Any) -> int:
        """Register through any live instance and return the committed revision.

        Retries for 20 s, then raises AssertionError; repeating the same body is one change.
        """
        return self._write("PUT", uid, {"uid": uid, "endpoint": f"127.0.0.1:{port}", **fields}, avoid)

    def remove(self, uid: str) -> int:
        return self._write("DELETE", uid, None, None)

    def _write(self, method: str, uid: str, body: Any, avoid: int | None) -> int:
        def attempt() -> list[int] | None:
            for index in self.live(avoid):
                with contextlib.suppress(OSError):
                    status, _, response = http_request(
                        self.http[index], method, f"/registry/targets/{uid}", body
                    )
                    if status == 200:
                        return [int(response["rev"])]
            return None

        [revision] = until(attempt, what=f"a commit of {method} {uid}")
        return int(revision)

    def live(self, avoid: int | None = None) -> list[int]:
        return [
            index for index, process in enumerate(self.processes) if process is not None and index != avoid
        ]

    def listed(self, index: int) -> dict[str, str]:
        return {
            target["uid"]: target["state"]
            for target in http_request(self.http[index], "GET", "/discovery/hosts")[2]["targets"]
        }

    def agent(self, port: int | None = None, **keys: Any) -> Agent:
        return Agent(self.folder, [f"127.0.0.1:{port}" for port in self.http], port or free_port(), **keys)

    def stop(self) -> None:
        for index, process in enumerate(self.processes):
            if process is not None:
                process.kill()
                process.wait(10)
                self.processes[index] = None
        for link in self.links.values():
            link.close()


def _toml_table(name: str, keys: Mapping[str, int | str]) -> str:
    return f"[{name}]\n" + "".join(f"{key} = {value}\n" for key, value in keys.items())


class Agent:
    def __init__(self, folder: Path, registries: list[str], port: int, **keys: Any) -> None:
        self.port = port
        path = folder / f"agent-{self.port}.toml"
        quoted = ", ".join(f'"{address}"' for address in registries)
        extra = "".join(f"{key} = {value}\n" for key, value in keys.items())
        path.write_text(f'[agent]\nlisten = "127.0.0.1:{self.port}"\nregistries = [{quoted}]\n{extra}')
        self.process = spawn(
            ["-m", "loadbalancer.registry", "agent", "--config", str(path)], folder / f"{path.stem}.log"
        )

    def page(self, since: int | None = None, wait_ms: int = 0) -> dict[str, Any]:
        target = (
            "/discovery/hosts" if since is None else f"/discovery/hosts?since={since}&timeout_ms={wait_ms}"
        )
        return http_request(self.port, "GET", target, timeout=wait_ms / 1000 + 2)[2]  # type: ignore[no-any-return]

    def listed(self) -> dict[str, str]:
        return {target["uid"]: target["state"] for target in self.page()["targets"]}

    def stop(self) -> None:
        self.process.kill()
        self.process.wait(10)
