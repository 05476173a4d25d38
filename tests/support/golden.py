"""Messages of the programs, recorded and compared byte for byte but for figures that vary from run to run.

A script is a list of steps, as it stands in tests/data/golden/: a request, and the whole answer with its
varying figures masked. `play` sends the requests and returns the steps with the answers given now. Programs
run as processes, so that a script says nothing of the names inside of them.
"""

from __future__ import annotations

import contextlib
import os
import re
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgpack
import orjson

from tests.support.ports import free_port
from tests.support.registry_processes import ROOT, spawn, until

Step = dict[str, Any]
Names = Mapping[str, str]  # what varies, such as a port, and what stands for it

NO_HEADERS: Names = MappingProxyType({})
ANSWER_S = 10.0


def _named_kind(metric: re.Match[str]) -> str:
    return f"{metric[1]}={'<float>' if '.' in metric[2] else '<int>'}"


MASKS = (
    (r'"(t2|t3|at|deadline|log_ms|now_ms|lease_ms|sent|least_ms|most_ms)":-?\d+\.\d+', r'"\1":<float>'),
    (r'"service_ms":\[-?\d+\.\d+,-?\d+\.\d+\]', r'"service_ms":[<float>,<float>]'),
    (r'"change":"[0-9a-f]{12}"', r'"change":"<change>"'),
    (r'"start":"[0-9a-f]{16}"', r'"start":"<start>"'),
    (r'"(term|commit|applied|health)":\d+', r'"\1":<int>'),
    (r'"rev":\d{16}\b', '"rev":<revision>'),  # an agent's: its start in microseconds
    (r"req-deadline-ms: \d+", "req-deadline-ms: <int>"),
    (r"sent -?\d+ ms ago", "sent <int> ms ago"),
)
LENGTH = (r"Content-Length: \d+", "Content-Length: <length>")
METRIC = (r"(proxy\.[\w.]+)=(-?\d+\.\d+|-?\d+)", _named_kind)


@dataclass(frozen=True)
class Release:
    """Where a release's package lies, and the modules of its programs."""

    root: Path
    registry: str
    node: str
    simulator: str

    def start(self, arguments: list[str], log: Path, **environment: str) -> subprocess.Popen[bytes]:
        return spawn(arguments, log, {"PYTHONPATH": str(self.root), **environment})


PRESENT = Release(ROOT, "loadbalancer.registry", "loadbalancer", "loadbalancer.simulator_adapter")


def masked(message: bytes, names: Names) -> str:
    """The message as text, with a word in place of each figure that varies."""
    text = whole = message.decode()
    for varying, word in names.items():
        text = text.replace(varying, word)
    for pattern, word in MASKS:
        text = re.sub(pattern, word, text)
    return text if text == whole else re.sub(*LENGTH, text)


def masked_metrics(answer: str) -> str:
    """Metrics with the kind of each number in place of it: their names and order are what is compared."""
    return re.sub(*LENGTH, re.sub(*METRIC, answer))


def masked_floats(value: Any) -> Any:
    """Decoded MessagePack with a word for each float; of an entry within it only its number of fields."""
    if isinstance(value, float):
        return "<float>"
    if isinstance(value, bytes):
        return {"fields": len(msgpack.unpackb(value)) if value else 0}
    if isinstance(value, list):
        return [masked_floats(item) for item in value]
    return value


# ------------------------------------------------------------------ HTTP


def request_bytes(method: str, target: str, body: bytes = b"", headers: Names = NO_HEADERS) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"{method} {target} HTTP/1.1\r\nHost: golden\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def read_message(file: Any) -> bytes:
    """One whole request or answer; empty where the connection has ended."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = file.readline()
        if not line:
            return b""
        head += line
    length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
    body = file.read(int(length[1]) if length else 0)
    return head + bytes(body)


def exchange(port: int, message: bytes) -> bytes:
    """The raw answer to a raw request on a connection of its own."""
    with socket.create_connection(("127.0.0.1", port), timeout=ANSWER_S) as connection:
        connection.sendall(message)
        with connection.makefile("rb") as file:
            return read_message(file)


def play(port: int, script: list[Step], names: Names) -> list[Step]:
    """Send the requests in turn; one with `until` is said again until its answer has that text."""
    return [step | {"answer": _answer(port, step, names)} for step in script]


def _answer(port: int, step: Step, names: Names) -> str:
    body = step.get("body", "")
    data = body.encode() if isinstance(body, str) else orjson.dumps(body)
    message = request_bytes(step["method"], step["target"], data, step.get("headers", NO_HEADERS))
    sought = step.get("until", "")

    def answered() -> str:
        answer = masked(exchange(port, message), names)
        if sought not in answer:
            raise ValueError(answer)
        return answer

    return str(until(answered, what=f"{step['method']} {step['target']}"))


class StandIn:
    """An HTTP server that answers as told and keeps the first request to each method and path."""

    def __init__(self, answer: Callable[[str, str], bytes]) -> None:
        """`answer(path, body)` gives a body; it may wait."""
        self._answer = answer
        self.first: dict[str, bytes] = {}
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def saw(self, call: str) -> bool:
        return call in self.first

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, connection.makefile("rb") as file, contextlib.suppress(OSError):
            while message := read_message(file):
                head, _, body = message.partition(b"\r\n\r\n")
                method, target, _ = head.split(b"\r\n")[0].decode().split(" ")
                path = target.partition("?")[0]
                self.first.setdefault(f"{method} {path}", message)
                said = self._answer(path, body.decode("latin-1"))
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(said) + said)


# ------------------------------------------------------------------ programs


@contextlib.contextmanager
def ended(process: subprocess.Popen[bytes]) -> Iterator[None]:
    try:
        yield
    finally:
        process.kill()
        process.wait(10)


def _accepts(port: int) -> bool:
    socket.create_connection(("127.0.0.1", port), timeout=1.0).close()
    return True


@contextlib.contextmanager
def instance(
    release: Release, folder: Path, members: str = "", peers: int = 0
) -> Iterator[tuple[int, dict[str, str]]]:
    """A list-service instance on its own, with peers that are not there: its HTTP port and what varies."""
    http, raft = free_port(), free_port()
    others = ", ".join(f'"127.0.0.1:{free_port()}"' for _ in range(peers))
    config = folder / "instance.toml"
    config.write_text(
        f'[instance]\nname = "r0"\nlisten = "127.0.0.1:{http}"\nraft = "127.0.0.1:{raft}"\n'
        f'peers = [{others}]\ndata = "data"\n[raft]\nelection_min_ms = 100\nelection_max_ms = 200\n'
        f"[members]\n{members}"
    )
    process = release.start(
        ["-m", release.registry, "serve", "--config", str(config)], folder / "instance.log"
    )
    with ended(process):
        until(lambda: _accepts(http), what="an instance answering")
        yield http, {f"127.0.0.1:{raft}": "<raft>", f"127.0.0.1:{http}": "<http>"}


@contextlib.contextmanager
def agent(release: Release, folder: Path, registry: int) -> Iterator[tuple[int, dict[str, str]]]:
    """An agent that follows the instance at this port."""
    port, config = free_port(), folder / "agent.toml"
    config.write_text(f'[agent]\nlisten = "127.0.0.1:{port}"\nregistries = ["127.0.0.1:{registry}"]\n')
    process = release.start(["-m", release.registry, "agent", "--config", str(config)], folder / "agent.log")
    with ended(process):
        until(lambda: _accepts(port), what="an agent answering")
        yield port, {f"127.0.0.1:{registry}": "<registry>"}


@contextlib.contextmanager
def node(release: Release, folder: Path, config: str) -> Iterator[None]:
    """A node with this configuration; it leaves service in order at the end."""
    path = folder / "node.json"
    path.write_text(config)
    process = release.start(
        ["-m", release.node], folder / "node.log", PROXY_CONFIG=str(path), TMPDIR=str(folder)
    )
    with ended(process):
        yield
        process.terminate()
        process.wait(10)


def simulate(release: Release, transcript: bytes) -> bytes:
    """What the simulator's adapter replies to batches."""
    done = subprocess.run(
        [sys.executable, "-m", release.simulator],
        input=transcript,
        capture_output=True,
        env={**os.environ, "PYTHONPATH": str(release.root)},
        cwd=release.root,
        check=True,
    )
    return done.stdout


def now_ms() -> float:
    return time.monotonic() * 1000.0
