"""The platform's side: the record, the discovery agent's stand-in, and nodes started by the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO
from urllib.parse import parse_qs, urlsplit

from review.support_2.wire import HOST, Message, call, read_message, response

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
READY_STATUS = 200
READY_WITHIN_S = 30.0
STOP_WITHIN_S = 5.0
CASE_LIMIT_S = 110.0
MAX_WATCH_MS = 60_000
ACCEPT_FD = 5

SETTINGS: dict[str, Any] = {
    "accounts": [],
    "bounds": {
        "cancel": True,
        "connIdleMs": 10_000.0,
        "connectTimeoutMs": 200.0,
        "maxAttempts": 5,
        "maxOpen": 2000,
        "maxRetryAfterMs": 2000.0,
        "retryAfter": False,
        "secondCopies": False,
        "streamsPerConn": 1,
    },
    "categories": [
        {
            "name": "search",
            "effect": "free",
            "aimMs": 1400.0,
            "giveUpMs": 3600.0,
            "credit": 1.0,
            "lateWorth": 0.5,
        },
        {
            "name": "order",
            "effect": "single_shot",
            "aimMs": 2900.0,
            "giveUpMs": 7300.0,
            "credit": 3.0,
            "lateWorth": 0.2,
        },
    ],
    "feedback": {"fields": [], "via": "off"},
    "invariants": {
        "answerSlackMs": 20.0,
        "askWithinMs": 10_000.0,
        "coldFrom": 0.32,
        "coldMs": 8300.0,
        "drainGraceMs": 2000.0,
        "overloadFactor": 3.0,
        "tipAfterMs": 1000.0,
    },
    "locality": "east",
    "prices": {"crossZone": 0.0},
    "registryMode": "push",
    "siblings": 1,
    "tier": 0,
    "zones": ["east"],
}


def trouble() -> bool:
    """Whether the run has its disruption (TROUBLE=0: not)."""
    return os.environ.get("TROUBLE") != "0"


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the seconds since its start."""

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._began = time.monotonic()

    def note(self, text: str) -> float:
        """Write a line; return the time since the start (s)."""
        at = time.monotonic() - self._began
        print(f"{at:8.3f} {text}", file=self._file, flush=True)
        return at


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.create_server((HOST, 0)) as probe:
        return int(probe.getsockname()[1])


class Discovery:
    """The agent at `$PROXY_DISCOVERY`: whole lists, and watches that wait for the next version.

    `late_s`: how much later than due each answer is written. 0 is an agent as PROTOCOL describes it.
    """

    def __init__(self, late_s: float = 0.0) -> None:
        self.late_s = late_s
        self.revision = 1
        self.port = 0
        self._targets: dict[str, tuple[int, dict[str, Any]]] = {}  # version of the last change, entry
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    def put(self, uid: str, port: int, state: str = "Ready") -> None:
        """List a server under a new version."""
        self.revision += 1
        entry = {"uid": uid, "endpoint": f"{HOST}:{port}", "az": "east", "model": "m", "pod_group": 0}
        entry |= {"state": state, "capacity_hint": 1.0, "boot_ms": 0}
        self._targets[uid] = self.revision, entry
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def page(self, since: int | None) -> dict[str, Any]:
        """Return the whole list, or the entries changed after `since`."""
        entries = [entry for version, entry in self._targets.values() if since is None or version > since]
        if since is None:
            entries = [entry for entry in entries if entry["state"] != "Gone"]
        return {"rev": self.revision, "all": since is None, "targets": entries}

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                page = await self._answer(await read_message(reader))
                if self.late_s:
                    await asyncio.sleep(self.late_s)
                writer.write(response(READY_STATUS, json.dumps(page).encode()))
        except (OSError, EOFError):
            pass  # the node has closed the connection
        finally:
            writer.close()

    async def _answer(self, message: Message) -> dict[str, Any]:
        query = parse_qs(urlsplit(message.target).query)
        if "since" not in query:
            return self.page(None)
        since = int(query["since"][0])
        wait_s = min(MAX_WATCH_MS, int(query.get("timeout_ms", ["0"])[0])) / 1000.0
        if since >= self.revision:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        return self.page(since)


class Node:
    """A node that is started by the deploy file's `run`, from the root, as the platform does it."""

    def __init__(
        self,
        folder: Path,
        discovery: Discovery,
        shared: socket.socket | None = None,
        memory_mb: int = 128,
    ) -> None:
        """`shared`: the clients' listening socket that the platform holds on days with upgrades."""
        self.shared = shared
        self.port = free_port() if shared is None else int(shared.getsockname()[1])
        self.admin_port = free_port()
        self._folder = folder
        self._log = folder / f"node-{self.admin_port}.log"
        self._config = folder / f"config-{self.admin_port}.json"
        document = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "known": discovery.page(None),
            "settings": SETTINGS,
        }
        self._config.write_text(json.dumps(document))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until `GET /status` says yes; raise TimeoutError if it doesn't."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = os.environ | {
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": f"{HOST}:{self.port}",
            "PROXY_CONFIG": str(self._config),
            "PROXY_OPERATOR": f"{HOST}:{self.admin_port}",
            "TMPDIR": str(temporary),
        }
        inherited: tuple[int, ...] = ()
        if self.shared is not None:
            os.dup2(self.shared.fileno(), ACCEPT_FD, inheritable=True)
            environment["PROXY_ACCEPT_FD"] = str(ACCEPT_FD)
            inherited = (ACCEPT_FD,)
        with self._log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log, pass_fds=inherited
            )
        await until(self._is_ready, READY_WITHIN_S)

    async def _is_ready(self) -> bool:
        with contextlib.suppress(OSError, EOFError):
            return (await call(self.admin_port, "GET", "/status")).status == READY_STATUS
        return False

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            async with asyncio.timeout(STOP_WITHIN_S):
                await self.process.wait()


async def until(condition: Callable[[], Awaitable[bool]], limit_s: float) -> None:
    """Wait until the condition holds; raise TimeoutError after `limit_s`."""
    async with asyncio.timeout(limit_s):
        while not await condition():
            await asyncio.sleep(0.02)


Case = Callable[[Record, Path, contextlib.AsyncExitStack], Awaitable[bool]]


async def _run(case: Case, record: Record) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # ends the nodes too
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        async with asyncio.timeout(CASE_LIMIT_S):
            held = await case(record, folder, stack)
    record.note("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


def main(case: Case, record_path: Path) -> None:
    """Run a case, write its record to this path, and exit with its result.

    A case returns whether the rule held. It registers the end of its nodes with the stack that it gets.
    """
    try:
        # Taken before the event loop opens descriptors of its own; a node's shared socket is put there later.
        os.dup2(os.open(os.devnull, os.O_RDONLY), ACCEPT_FD)
        with record_path.open("w") as file:
            code = _run_recorded(case, Record(file))
    except OSError as error:  # the record can't be written
        print(f"could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)


def _run_recorded(case: Case, record: Record) -> int:
    record.note(f"disruption: {'yes' if trouble() else 'no'}")
    try:
        return asyncio.run(_run(case, record))
    except (Exception, asyncio.CancelledError) as error:  # a failure of the case is no verdict on the node
        record.note(f"could not run: {error!r}")
        return NOT_RUN
