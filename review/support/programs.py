"""Starts the project's programs as processes, with the deploy file's `run` and the README's commands."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import socket
import subprocess
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from review.support.http_call import LOOPBACK, call
from review.support.record import Record

ROOT = Path(__file__).resolve().parents[2]
REGISTRY = "exec .venv/bin/python -m loadbalancer.registry"
STOP_TIMEOUT_S = 8.0
POLL_S = 0.02
HTTP_OK = 200

# Classes, limits and invariants as on tallinn-shops (BRIEF, WIRE section 5).
SETTINGS: dict[str, Any] = {
    "bounds": {
        "cancel": True,
        "connIdleMs": 10_000.0,
        "connectTimeoutMs": 200.0,
        "maxAttempts": 5,
        "maxOpen": 5_000,
        "mayProbe": False,
        "retryAfter": False,
        "secondCopies": True,
    },
    "categories": [
        {
            "name": "search",
            "aimMs": 1400.0,
            "giveUpMs": 3600.0,
            "credit": 1.0,
            "effect": "free",
            "lateWorth": 0.5,
        },
        {
            "name": "order",
            "aimMs": 2900.0,
            "giveUpMs": 7300.0,
            "credit": 3.0,
            "effect": "single_shot",
            "lateWorth": 0.2,
        },
        {
            "name": "intake",
            "aimMs": 4000.0,
            "giveUpMs": 10_000.0,
            "credit": 2.0,
            "effect": "single_shot",
            "lateWorth": 0.5,
        },
    ],
    "feedback": {"fields": ["depth", "load_share"], "via": "inline"},
    "invariants": {
        "answerSlackMs": 20.0,
        "askWithinMs": 10_000.0,
        "coldFrom": 0.32,
        "coldMs": 8300.0,
        "drainGraceMs": 2000.0,
        "overloadFactor": 3.0,
        "tipAfterMs": 1000.0,
    },
    "locality": "tallinn-ulemiste",
    "zones": ["tallinn-ulemiste", "tartu-ropka"],
    "registryMode": "push",
    "siblings": 2,
    "tier": 0,
    "tiers": ["storefront"],
}


class CaseNotRunError(Exception):
    """The case could not be set up or carried out, so it says nothing about the rule."""


def until(check: Callable[[], Any], within_s: float, what: str) -> Any:  # noqa: ANN401  # the value of the check
    """Poll until `check()` is true and return its value; raise CaseNotRunError after `within_s`."""
    end, last = time.monotonic() + within_s, None
    while time.monotonic() < end:
        with contextlib.suppress(OSError, ValueError, KeyError, http.client.HTTPException):
            last = check()
            if last:
                return last
        time.sleep(POLL_S)
    message = f"{what}: not within {within_s} s, last {last!r}"
    raise CaseNotRunError(message)


class Ports:
    """Free loopback ports, each bound without listening until the end, so that nothing else gets one."""

    def __init__(self) -> None:
        self._reserved: list[socket.socket] = []

    def take(self) -> int:
        """Return a free port."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((LOOPBACK, 0))
        self._reserved.append(reserved)
        return int(reserved.getsockname()[1])

    def close(self) -> None:
        """Release all ports."""
        for reserved in self._reserved:
            reserved.close()


class Program:
    """One process, started by `/bin/sh -c` from the project's root."""

    def __init__(
        self, name: str, command: str, folder: Path, record: Record, environment: dict[str, str]
    ) -> None:
        self.name = name
        self._command, self._record = command, record
        self._log = folder / f"{name}.log"
        self._environment = environment
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", self._command],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **self._environment},
            )
        self._record.write(f"start {self.name}")

    def stop(self) -> None:
        """End the process if it runs."""
        if self._process is None or self._process.poll() is not None:
            return
        self._process.terminate()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait(STOP_TIMEOUT_S)

    def last_lines(self, count: int = 3) -> str:
        """Return the last lines of its log."""
        return " | ".join(self._log.read_text(errors="replace").splitlines()[-count:])


def deploy_command() -> str:
    """Return `run` of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Node:
    """One load balancer: its configuration file, its ports and its process."""

    def __init__(
        self,
        name: str,
        folder: Path,
        ports: Ports,
        record: Record,
        discovery_port: int,
        extra: dict[str, Any] | None = None,
    ) -> None:
        self.port, self.operator_port = ports.take(), ports.take()
        self.name, self._record = name, record
        self.configuration: dict[str, Any] = {
            "name": name,
            "listen": f"{LOOPBACK}:{self.port}",
            "operator": f"{LOOPBACK}:{self.operator_port}",
            "discovery": f"{LOOPBACK}:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": True, "targets": []},
            "settings": SETTINGS,
            **(extra or {}),
        }
        # DEPLOY: $TMPDIR is empty at each start and private.
        temporary = folder / f"{name}-tmp"
        temporary.mkdir()
        path = folder / f"{name}.json"
        path.write_text(json.dumps(self.configuration), encoding="utf-8")
        environment = {"PROXY_CONFIG": str(path), "TMPDIR": str(temporary)}
        self.program = Program(name, deploy_command(), folder, record, environment)

    def start(self, ready_within_s: float = 15.0) -> None:
        """Start the process and wait until `GET /up` answers 200."""
        self.program.start()
        until(self.is_up, ready_within_s, f"{self.name} ready")
        self._record.write(f"{self.name} answers 200 at /up")

    def is_up(self) -> bool:
        """Whether the node says that it takes clients; raise CaseNotRunError if it has ended."""
        if not self.program.running:
            message = f"{self.name} ended with {self.program.exit_code}: {self.program.last_lines()}"
            raise CaseNotRunError(message)
        return call(self.port, "GET", "/up").status == HTTP_OK
