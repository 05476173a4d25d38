"""Transport of the failure detector: the listener for probes, outgoing probes and the tick timer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from http import HTTPStatus
from itertools import count
from typing import Final

import tenacity

from loadbalancer.membership import (
    Ack,
    Action,
    FailureDetector,
    IndirectProbe,
    Probe,
    ReachabilityChanged,
    ViewReceived,
)
from loadbalancer.node.address import Address, parse_address
from loadbalancer.node.control.background_tasks import BackgroundTasks
from loadbalancer.node.control.clock import MembershipClock
from loadbalancer.node.control.rejection_log import RejectionLog
from loadbalancer.node.control.timers import RestartableTimer
from loadbalancer.node.http.service_client import HttpClient
from loadbalancer.node.http.service_server import HttpRequest, HttpResponse, HttpServer, ServerLimits, serve
from loadbalancer.node.memory_budget import MemoryPool

log = logging.getLogger("loadbalancer")

PROBE_PATH: Final = "/members/ask"
INDIRECT_PROBE_PATH: Final = "/members/ask-through"
INDIRECT_TIMEOUT_S: Final = 3.0  # an indirect probe without an ack by then is rejected
LISTEN_RETRY_S: Final = 0.2
MAX_BODY_BYTES: Final = 64 * 1024
MAX_INDIRECT_PROBES: Final = 128  # limit of those in flight for other members; more are rejected
MAX_CONNECTIONS: Final = 128
MIN_TICK_MS: Final = 1.0  # minimum time between two ticks
MAX_LOGGED_METHOD_CHARS: Final = 20
MAX_LOGGED_PATH_CHARS: Final = 60
_MS_PER_S: Final = 1000.0


class ProbeTransport:
    """Executes the actions of a failure detector.

    `before_tick(now)` is called before each tick to set the content of the next probes, `on_report` with each
    report of a sibling, and `on_change` with each change of a sibling's reachability. Malformed input raises
    no exception; it is counted, and logged at a limited rate.
    """

    def __init__(
        self,
        detector: FailureDetector,
        clock: MembershipClock,
        max_connections: int = MAX_CONNECTIONS,
        memory: MemoryPool | None = None,
    ) -> None:
        """`max_connections`: limit of accepted connections, and also of idle connections to members.

        `memory` limits what their requests hold.
        """
        self.detector = detector
        self.before_tick: Callable[[float], None] = lambda now: None
        self.on_report: Callable[[ViewReceived], None] = lambda report: None
        self.on_change: Callable[[ReachabilityChanged], None] = lambda changed: None
        self.probes_sent = self.probes_received = 0
        self._clock = clock
        self._timer = RestartableTimer(self._tick)
        self._tasks = BackgroundTasks()
        self._server: HttpServer | None = None
        self._call_numbers = count(1)
        self._pending_indirect: dict[int, asyncio.Future[bytes | None]] = {}  # acks awaited, by call number
        self._rejections = RejectionLog("members: call rejected (%d so far): %s")
        self._client = HttpClient(max_connections)
        self._limits = ServerLimits(body=MAX_BODY_BYTES, connections=max_connections, memory=memory)

    @property
    def rejected_calls(self) -> int:
        """Number of calls to this node that were rejected since the start."""
        return self._rejections.count

    def listen(self, address: Address, on_listening: Callable[[], None]) -> None:
        """Listen as soon as the address is free; in an upgrade this node's old process frees it first."""
        self._tasks.spawn(self._listen(address, on_listening))

    def close(self) -> None:
        """Close the listener and all connections immediately."""
        self._timer.cancel()
        self._tasks.close()
        self._client.close()
        if self._server is not None:
            self._server.close()
            self._server.abort_connections()

    def execute(self, actions: Sequence[Action]) -> None:
        """Execute the failure detector's actions in order."""
        for action in actions:
            match action:
                case Probe():
                    self._tasks.spawn(self._probe(action, PROBE_PATH))
                case IndirectProbe():
                    self._tasks.spawn(self._probe(action, INDIRECT_PROBE_PATH))
                case Ack():
                    ack = self._pending_indirect.pop(action.call, None)
                    if ack is not None and not ack.done():
                        ack.set_result(action.payload)
                case ViewReceived():
                    self.on_report(action)
                case ReachabilityChanged():
                    self.on_change(action)

    # --------------------------------------------------------------- probing

    def _tick(self) -> None:
        now = self._clock.now_ms()
        self.before_tick(now)
        self.execute(self.detector.tick(now))
        self._timer.schedule(self._clock.to_loop_time(max(now + MIN_TICK_MS, self.detector.due or now)))

    async def _probe(self, action: Probe | IndirectProbe, path: str) -> None:
        self.probes_sent += 1
        try:
            address = parse_address(action.address)
            timeout_s = action.timeout_ms / _MS_PER_S
            response = await self._client.send(address, "POST", path, action.payload, timeout_s)
        except (OSError, TimeoutError, ValueError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            self.execute(self.detector.on_failure(self._clock.now_ms(), action.id, refused))
            return
        if response.status == HTTPStatus.OK:
            self.execute(self.detector.on_ack(self._clock.now_ms(), action.id, response.body))
        else:
            self.execute(self.detector.on_failure(self._clock.now_ms(), action.id, refused=False))

    # ------------------------------------------------------- incoming probes

    async def _listen(self, address: Address, on_listening: Callable[[], None]) -> None:
        retrying = tenacity.AsyncRetrying(
            wait=tenacity.wait_fixed(LISTEN_RETRY_S),
            retry=tenacity.retry_if_exception_type(OSError),
            before_sleep=self._log_first_failure,
        )
        async for attempt in retrying:
            with attempt:
                self._server = await serve(address, self._handle, self._limits)
        self._tick()
        on_listening()

    def _log_first_failure(self, state: tenacity.RetryCallState) -> None:
        if state.attempt_number == 1 and state.outcome is not None:
            log.warning(
                "members: not enrolled until the listen address is free: %s", state.outcome.exception()
            )

    async def _handle(self, call: HttpRequest) -> HttpResponse:
        """Respond to another member's call within INDIRECT_TIMEOUT_S; malformed input raises no exception."""
        self.probes_received += 1
        if call.method != "POST" or call.path not in (PROBE_PATH, INDIRECT_PROBE_PATH):
            return self._reject(
                HTTPStatus.NOT_FOUND,
                f"unknown call {call.method[:MAX_LOGGED_METHOD_CHARS]} {call.path[:MAX_LOGGED_PATH_CHARS]}",
            )
        now = self._clock.now_ms()
        if call.path == PROBE_PATH:
            payload, actions = self.detector.on_probe(now, call.body)
            self.execute(actions)
            return self._respond(payload)
        if len(self._pending_indirect) >= MAX_INDIRECT_PROBES:
            return self._reject(HTTPStatus.SERVICE_UNAVAILABLE, "too many indirect probes")
        return await self._handle_indirect_probe(now, call.body)

    async def _handle_indirect_probe(self, now: float, body: bytes) -> HttpResponse:
        number = next(self._call_numbers)
        ack = self._pending_indirect[number] = asyncio.get_running_loop().create_future()
        try:
            self.execute(self.detector.on_indirect_probe(now, number, body))
            async with asyncio.timeout(INDIRECT_TIMEOUT_S):
                payload = await ack
        except TimeoutError:
            return self._reject(HTTPStatus.SERVICE_UNAVAILABLE, "indirect probe timed out")
        finally:
            self._pending_indirect.pop(number, None)
        return self._respond(payload)

    def _respond(self, payload: bytes | None) -> HttpResponse:
        """Return the ack, or a rejection if `payload` is None as the detector could not decode the probe."""
        if payload is None:
            return self._reject(HTTPStatus.BAD_REQUEST, "malformed probe")
        return HttpResponse(HTTPStatus.OK, payload)

    def _reject(self, status: HTTPStatus, reason: str) -> HttpResponse:
        self._rejections.add(reason)
        return HttpResponse(status, b"")
