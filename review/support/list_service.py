"""The project's list service: three instances, an agent, and links between instances that can be cut."""

from __future__ import annotations

import json
import select
import socket
import threading
from pathlib import Path
from typing import Any

from review.support.http_call import LOOPBACK, Answer, call
from review.support.programs import REGISTRY, Ports, Program, until
from review.support.record import Record

INSTANCES = 3
LEASE_MS = 10_000
START_S = 20.0
CHUNK_BYTES = 65_536
RAFT_LEADER = 2
LIST_TIMEOUT_S = 1.0


class Link:
    """A proxy of one direction of connections; while it is cut, it passes nothing on and closes nothing."""

    def __init__(self, port: int, to_port: int) -> None:
        self.port, self._to_port = port, to_port
        self._listening = socket.create_server((LOOPBACK, port))
        self._open = threading.Event()
        self._open.set()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Hold back all bytes and all new connections."""
        self._open.clear()

    def heal(self) -> None:
        """Pass on what was held back, and everything after it."""
        self._open.set()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listening.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        self._open.wait()
        if _has_ended(near):  # given up during the cut
            near.close()
            return
        try:
            far = socket.create_connection((LOOPBACK, self._to_port))
        except OSError:
            near.close()
            return
        for source, sink in ((near, far), (far, near)):
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._pass_on, args=(source, sink), daemon=True).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                self._open.wait()
                sink.sendall(data)
        except OSError:
            pass
        for each in (source, sink):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


def _has_ended(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(0))


class ListService:
    """Three instances and their clients' calls. Instance 0 talks to the others through links."""

    def __init__(self, folder: Path, ports: Ports, record: Record) -> None:
        self._folder, self._record = folder, record
        # pysyncobj opens the one connection of a pair from the higher address to the lower one. With ports in
        # this order r1 and r2 connect to r0, each through its link.
        found = sorted([ports.take() for _ in range(2 * INSTANCES - 1)], key=str)
        links, raft = found[: INSTANCES - 1], found[INSTANCES - 1 :]
        self.links = [Link(port, raft[0]) for port in links]
        self.http = [ports.take() for _ in range(INSTANCES)]
        self.instances = []
        for index in range(INSTANCES):
            peers = [self._peer(index, other, raft) for other in range(INSTANCES) if other != index]
            path = folder / f"registry-{index}.toml"
            path.write_text(
                f'[instance]\nname = "r{index}"\nlisten = "{LOOPBACK}:{self.http[index]}"\n'
                f'raft = "{LOOPBACK}:{raft[index]}"\n'
                f"peers = [{', '.join(json.dumps(peer) for peer in peers)}]\n"
                f'data = "{folder}/data-r{index}"\n\n[lease]\nttl_ms = {LEASE_MS}\n',
                encoding="utf-8",
            )
            command = f"{REGISTRY} serve --config {path}"
            self.instances.append(Program(f"r{index}", command, folder, record, {}))

    def _peer(self, index: int, other: int, raft: list[int]) -> str:
        port = self.links[index - 1].port if other == 0 else raft[other]
        return f"{LOOPBACK}:{port}"

    def start(self) -> None:
        """Start the instances, r0 once the others have a leader, and wait until all follow it."""
        for instance in self.instances[1:]:
            instance.start()
        until(lambda: any(self._leads(index) for index in range(1, INSTANCES)), START_S, "a leader")
        self.instances[0].start()
        self.wait_for_leader()

    def wait_for_leader(self) -> None:
        """Wait until all instances know one leader and none is marked stale."""
        until(self._is_healthy, START_S, "one leader, no instance stale")

    def _leads(self, index: int) -> bool:
        try:
            return bool(self.status(index)["raft"] == RAFT_LEADER)
        except OSError:
            return False

    def _is_healthy(self) -> bool:
        states = [self.status(index) for index in range(INSTANCES)]
        leads = sum(state["raft"] == RAFT_LEADER for state in states)
        return leads == 1 and not any(state["stale"] for state in states)

    def status(self, index: int) -> dict[str, Any]:
        """Return `GET /registry/status` of an instance."""
        status: dict[str, Any] = call(self.http[index], "GET", "/registry/status").json()
        return status

    def cut_off_first(self) -> None:
        """Cut instance 0 off from the other two."""
        for link in self.links:
            link.cut()
        self._record.write("r0 is cut off from r1 and r2")

    def heal(self) -> None:
        """End the cut."""
        for link in self.links:
            link.heal()
        self._record.write("the cut of r0 ends")

    def write(self, index: int, method: str, uid: str, body: dict[str, Any] | None = None) -> Answer:
        """Send a server's registration to an instance, record and return the answer."""
        data = None if body is None else json.dumps(body).encode()
        answer = call(self.http[index], method, f"/registry/targets/{uid}", data)
        text = answer.body.decode(errors="replace")
        self._record.write(f"{method} {uid} {body or ''} to r{index}: {answer.status} {text}")
        return answer

    def renew(self, index: int, uids: list[str]) -> list[str]:
        """Renew leases at an instance; return the uids that it does not list."""
        answer = call(self.http[index], "POST", "/registry/renew", json.dumps({"uids": uids}).encode())
        unknown: list[str] = answer.json()["unknown"]
        return unknown

    def stop(self) -> None:
        """End the instances."""
        for instance in self.instances:
            instance.stop()


class Agent:
    """The agent next to a node, which the node knows as discovery."""

    def __init__(self, name: str, folder: Path, service: ListService, ports: Ports, record: Record) -> None:
        self.port = ports.take()
        registries = ", ".join(f'"{LOOPBACK}:{port}"' for port in service.http)
        path = folder / f"{name}.toml"
        path.write_text(
            f'[agent]\nlisten = "{LOOPBACK}:{self.port}"\nregistries = [{registries}]\n', encoding="utf-8"
        )
        self.program = Program(name, f"{REGISTRY} agent --config {path}", folder, record, {})

    def states(self) -> dict[str, str]:
        """Return the state of each listed server, as the agent tells it."""
        answer = call(self.port, "GET", "/discovery/hosts", timeout_s=LIST_TIMEOUT_S)
        return {target["uid"]: target["state"] for target in answer.json()["targets"]}
