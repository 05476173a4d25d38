"""Golden tests of the programs' messages: compared byte for byte, except values that vary between runs.

A script in tests/data/golden/ is a list of steps, each a request and its complete response with the varying
values masked. `play` sends the requests and returns the steps with the present responses. Programs run as
processes, so that scripts don't depend on names in their code.
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
Names = Mapping[str, str]  # placeholder by varying text, such as an address

NO_HEADERS: Names = MappingProxyType({})
RESPONSE_TIMEOUT_S = 10.0


def _masked_metric(metric: re.Match[str]) -> str:
    return f"{metric[1]}={'<float>' if '.' in metric[2] else '<int>'}"


MASKS = (
    (r'"(t2|t3|at|deadline|log_ms|now_ms|lease_ms|sent|least_ms|most_ms)":-?\d+\.\d+', r'"\1":<float>'),
    (r'"service_ms":\[-?\d+\.\d+,-?\d+\.\d+\]', r'"service_ms":[<float>,<float>]'),
    (r'"change":"[0-9a-f]{12}"', r'"change":"<change>"'),
    (r'"start":"[0-9a-f]{16}"', r'"start":"<start>"'),
    (r'"(term|commit|applied|health)":\d+', r'"\1":<int>'),
    (r'"rev":\d{16}\b', '"rev":<revision>'),  # of an agent: its start time in microseconds
    (r"req-deadline-ms: \d+", "req-deadline-ms: <int>"),
    (r"sent -?\d+ ms ago", "sent <int> ms ago"),
)
LENGTH = (r"Content-Length: \d+", "Content-Length: <length>")
METRIC = (r"(proxy\.[\w.]+)=(-?\d+\.\d+|-?\d+)", _masked_metric)


@dataclass(frozen=True)
class Release:
    """A release: the root folder of its package, and the modules of its programs."""

    root: Path
    registry: str
    node: str
    simulator: str

    def start(self, arguments: list[str], log: Path, **environment: str) -> subprocess.Popen[bytes]:
        return spawn(arguments, log, {"PYTHONPATH": str(self.root), **environment})


PRESENT = Release(ROOT, "loadbalancer.registry", "loadbalancer", "loadbalancer.simulator_adapter")


def masked(message: bytes, names: Names) -> str:
    """Return the message as text with a placeholder for each varying value."""
    text = original = message.decode()
    for varying, placeholder in names.items():
        text = text.replace(varying, placeholder)
    for pattern, placeholder in MASKS:
        text = re.sub(pattern, placeholder, text)
    return text if text == original else re.sub(*LENGTH, text)


def masked_metrics(response: str) -> str:
    """Return metrics with each number replaced by its type, so that only names and order are compared."""
    return re.sub(*LENGTH, re.sub(*METRIC, response))


def masked_floats(value: Any) -> Any:
    """Mask decoded MessagePack: a placeholder for each float, the field count for each nested entry."""
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
    """Read one complete request or response; return b"" at the end of the connection."""
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
    """Send a raw request on a new connection; return the raw response."""
    with socket.create_connection(("127.0.0.1", port), timeout=RESPONSE_TIMEOUT_S) as connection:
        connection.sendall(message)
        with connection.makefile("rb") as file:
            return read_message(file)


def play(port: int, script: list[Step], names: Names) -> list[Step]:
    """Send the requests in order; repeat one with an `until` text until its response contains that text."""
    return [step | {"answer": _response(port, step, names)} for step in script]


def _response(port: int, step: Step, names: Names) -> str:
    body = step.get("body", "")
    data = body.encode() if isinstance(body, str) else orjson.dumps(body)
    message = request_bytes(step["method"], step["target"], data, step.get("headers", NO_HEADERS))
    expected_text = step.get("until", "")

    def response() -> str:
        text = masked(exchange(port, message), names)
        if expected_text not in text:
            raise ValueError(text)
        return text

    return str(until(response, what=f"{step['method']} {step['target']}"))


class RecordingServer:
    """An HTTP server that records the first request of each method and path."""

    def __init__(self, respond: Callable[[str, str], bytes]) -> None:
        """`respond(path, body)` returns the response body; it may block."""
        self._respond = respond
        self.first_requests: dict[str, bytes] = {}
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def saw(self, call: str) -> bool:
        return call in self.first_requests

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
                self.first_requests.setdefault(f"{method} {path}", message)
                response = self._respond(path, body.decode("latin-1"))
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(response) + response
                )


# ------------------------------------------------------------------ programs


@contextlib.contextmanager
def killed_at_end(process: subprocess.Popen[bytes]) -> Iterator[None]:
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
    """Run one list-service instance with `peers` unreachable peers; yield its HTTP port and varying texts."""
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
    with killed_at_end(process):
        until(lambda: _accepts(http), what="an instance accepting connections")
        yield http, {f"127.0.0.1:{raft}": "<raft>", f"127.0.0.1:{http}": "<http>"}


@contextlib.contextmanager
def agent(release: Release, folder: Path, registry: int) -> Iterator[tuple[int, dict[str, str]]]:
    """Run an agent that follows the instance at port `registry`; yield its port and varying texts."""
    port, config = free_port(), folder / "agent.toml"
    config.write_text(f'[agent]\nlisten = "127.0.0.1:{port}"\nregistries = ["127.0.0.1:{registry}"]\n')
    process = release.start(["-m", release.registry, "agent", "--config", str(config)], folder / "agent.log")
    with killed_at_end(process):
        until(lambda: _accepts(port), what="an agent accepting connections")
        yield port, {f"127.0.0.1:{registry}": "<registry>"}


@contextlib.contextmanager
def node(release: Release, folder: Path, config: str) -> Iterator[None]:
    """Run a node with this configuration; at the end it shuts down gracefully."""
    path = folder / "node.json"
    path.write_text(config)
    process = release.start(
        ["-m", release.node], folder / "node.log", PROXY_CONFIG=str(path), TMPDIR=str(folder)
    )
    with killed_at_end(process):
        yield
        process.terminate()
        process.wait(10)


def simulate(release: Release, transcript: bytes) -> bytes:
    """Return the simulator adapter's output for a transcript of its input."""
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
