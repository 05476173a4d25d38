"""Transport of the failure detector: the listener for probes, the calls that carry probes, and the timer of
its ticks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from itertools import count

import tenacity

from loadbalancer.membership import Ack, Action, Changed, FailureDetector, IndirectProbe, Probe, Viewed
from loadbalancer.node.address import Address, parse_address
from loadbalancer.node.control.timers import BackgroundTasks, MembershipClock, RestartableTimer
from loadbalancer.node.http import service_http as web

log = logging.getLogger("loadbalancer")

PROBE_PATH, INDIRECT_PROBE_PATH = "/members/ask", "/members/ask-through"
INDIRECT_TIMEOUT_S = 3.0  # an indirect probe that has no result by then is refused
LISTEN_PAUSE_S = 0.2
MAX_BODY = 64 * 1024  # any peer may come here
MAX_INDIRECT = 128  # indirect probes of other members at once; a further one is refused


class ProbeTransport:
    """Carries out the actions of a failure detector.

    `before_tick(now)` sets what goes out with the next probes; `on_view` and `on_change` receive what comes.
    """

    def __init__(self, core: FailureDetector, clock: MembershipClock, connections: int = 128) -> None:
        """`connections`: accepted at most, whoever the peers are, and as many kept open to members."""
        self.core = core
        self.before_tick: Callable[[float], None] = lambda now: None
        self.on_report: Callable[[Viewed], None] = lambda viewed: None
        self.on_change: Callable[[Changed], None] = lambda changed: None
        self.probes_sent = self.probes_received = 0
        self._clock = clock
        self._alarm = RestartableTimer(self._tick)
        self._tasks = BackgroundTasks()
        self._server: asyncio.Server | None = None
        self._numbers = count(1)
        self._waiting: dict[int, asyncio.Future[bytes | None]] = {}
        self._refused = 0
        self._client = web.Client(connections)
        self._limits = web.Limits(body=MAX_BODY, connections=connections)

    def listen(self, address: Address, then: Callable[[], None]) -> None:
        """Listen there as soon as it can be: in an upgrade the old process of this node has to end first."""
        self._tasks.spawn(self._listen(address, then))

    async def _listen(self, address: Address, then: Callable[[], None]) -> None:
        retrying = tenacity.AsyncRetrying(
            wait=tenacity.wait_fixed(LISTEN_PAUSE_S),
            retry=tenacity.retry_if_exception_type(OSError),
            before_sleep=self._not_yet,
        )
        async for attempt in retrying:
            with attempt:
                self._server = await web.serve(address, self._handle, self._limits)
        self._tick()
        then()

    def _not_yet(self, state: tenacity.RetryCallState) -> None:
        if state.attempt_number == 1 and state.outcome is not None:
            log.warning("members: not enrolled until this can be listened at: %s", state.outcome.exception())

    def close(self) -> None:
        self._alarm.cancel()
        self._tasks.close()
        self._client.close()
        if self._server is not None:
            self._server.close()

    def carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Probe():
                    self._tasks.spawn(self._probe(action, PROBE_PATH))
                case IndirectProbe():
                    self._tasks.spawn(self._probe(action, INDIRECT_PROBE_PATH))
                case Ack():
                    waiting = self._waiting.pop(action.call, None)
                    if waiting is not None and not waiting.done():
                        waiting.set_result(action.payload)
                case Viewed():
                    self.on_report(action)
                case Changed():
                    self.on_change(action)

    def _tick(self) -> None:
        now = self._clock.now_ms()
        self.before_tick(now)
        self.carry_out(self.core.tick(now))
        self._alarm.schedule(self._clock.loop_time(max(now + 1.0, self.core.due or now)))

    async def _probe(self, action: Probe | IndirectProbe, path: str) -> None:
        self.probes_sent += 1
        try:
            address = parse_address(action.address)
            reply = await self._client.call(address, "POST", path, action.payload, action.timeout_ms / 1000.0)
        except (OSError, TimeoutError, ValueError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            self.carry_out(self.core.on_failure(self._clock.now_ms(), action.id, refused))
            return
        if reply.status == 200:
            self.carry_out(self.core.on_ack(self._clock.now_ms(), action.id, reply.body))
        else:
            self.carry_out(self.core.on_failure(self._clock.now_ms(), action.id, refused=False))

    # ------------------------------------------------------------------- being probed

    async def _handle(self, call: web.Call) -> web.Answer:
        """Nothing that comes in here raises or is held for long; what is refused is counted, with a line
        now and then."""
        self.probes_received += 1
        if call.method != "POST" or call.path not in (PROBE_PATH, INDIRECT_PROBE_PATH):
            return self._refuse(404, f"no {call.method[:20]} {call.path[:60]}")
        now = self._clock.now_ms()
        if call.path == PROBE_PATH:
            payload, actions = self.core.on_probe(now, call.body)
            self.carry_out(actions)
            return self._refuse(400, "unreadable probe") if payload is None else web.Answer(200, payload)
        if len(self._waiting) >= MAX_INDIRECT:
            return self._refuse(503, "too many indirect probes")
        return await self._handle_indirect_probe(now, call.body)

    async def _handle_indirect_probe(self, now: float, body: bytes) -> web.Answer:
        number = next(self._numbers)
        waiting = self._waiting[number] = asyncio.get_running_loop().create_future()
        try:
            self.carry_out(self.core.on_indirect_probe(now, number, body))
            async with asyncio.timeout(INDIRECT_TIMEOUT_S):
                payload = await waiting
        except TimeoutError:
            return self._refuse(503, "an indirect probe took too long")
        finally:
            self._waiting.pop(number, None)
        return self._refuse(400, "unreadable probe") if payload is None else web.Answer(200, payload)

    def _refuse(self, status: int, why: str) -> web.Answer:
        self._refused += 1
        if self._refused % 100 == 1:  # one line for the first, then now and then
            log.warning("members: a call refused (%d so far): %s", self._refused, why)
        return web.Answer(status, b"")

    @property
    def rejected_calls(self) -> int:
        return self._refused
