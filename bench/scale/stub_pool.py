"""A pool of stub server processes, in place of the tests' pool on a thread."""

from __future__ import annotations

import socket
import subprocess
import tempfile
from contextlib import suppress
from pathlib import Path

from tests.support.ports import free_port
from tests.support.registry_processes import spawn, until
from tests.support.stub_servers import StubServerPool


class StubPool(StubServerPool):
    """A number of bench.scale.stub_server processes; latency and capacity of the tests' pool don't apply."""

    def __init__(self, count: int, latency_ms: float = 0.0, capacity: int | None = None) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="stub-servers-")
        self.ports = [free_port() for _ in range(count)]
        self._processes: list[subprocess.Popen[bytes]] = []
        try:
            self._processes += [self._spawn(port) for port in self.ports]
            for port in self.ports:
                until(lambda port=port: _accepts(port), what=f"stub server at {port}")  # type: ignore[misc]
        except BaseException:
            self.close()
            raise

    def _spawn(self, port: int) -> subprocess.Popen[bytes]:
        log = Path(self._folder.name) / f"stub-{port}.log"
        return spawn(["-m", "bench.scale.stub_server", str(port)], log)

    @property
    def pids(self) -> list[int]:
        return [process.pid for process in self._processes]

    def port(self, index: int = 0) -> int:
        return self.ports[index]

    def close(self) -> None:
        for process in self._processes:
            process.kill()
            process.wait(10)
        with suppress(OSError):
            self._folder.cleanup()


def _accepts(port: int) -> bool:
    socket.create_connection(("127.0.0.1", port), timeout=0.5).close()
    return True
