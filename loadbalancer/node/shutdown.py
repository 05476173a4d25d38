"""Graceful shutdown of a node between SIGTERM and SIGKILL (see PROTOCOL, "Figures")."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from http import HTTPStatus

from loadbalancer.node.component import Component
from loadbalancer.node.http.body import MAX_BODY_BYTES
from loadbalancer.node.http.message_limits import MIN_BODY_BYTES_PER_S
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.listener.listener import Listener
from loadbalancer.node.request_registry import RequestRegistry
from loadbalancer.node.upstream.pool import ConnectionPool

log = logging.getLogger("loadbalancer")

MIN_DRAIN_S = 0.6  # clients open new connections for up to 0.4 s after SIGTERM
DRAIN_SLACK_S = 0.6  # after the longest deadline; SIGKILL follows that deadline by 0.7 s at the earliest
MAX_DEADLINE_S = 3.0  # upper bound for the longest deadline
CHECK_INTERVAL_S = 0.01
DELIVERY_CHECK_INTERVAL_S = 0.1
SHARED_SOCKET_DRAIN_S = 1.5  # idle connections stay open this long if a new process accepts on the socket
REJECTION_TIMEOUT_S = 5.0  # for clients to receive the responses to requests that are rejected at the end
# For responses that still make progress: the longest body at the lowest rate that peers are granted.
DELIVERY_TIMEOUT_S = MAX_BODY_BYTES / MIN_BODY_BYTES_PER_S
COMPONENT_STOP_TIMEOUT_S = 1.0  # for all components together


class GracefulShutdown:
    """Drains the listener, rejects the requests that remain at the deadline, and completes the responses.

    Once requests are no longer served, the components stop and `on_requests_ended` is called: another process
    may then take over what requests need, while this one still sends responses.
    """

    def __init__(
        self,
        listener: Listener,
        pool: ConnectionPool,
        request_registry: RequestRegistry,
        components: Sequence[Component],
        longest_timeout_ms: float,
        on_requests_ended: Callable[[], None],
    ) -> None:
        """`longest_timeout_ms` is the longest client timeout of all service classes."""
        self._loop = asyncio.get_running_loop()
        self._listener = listener
        self._pool = pool
        self._request_registry = request_registry
        self._components = components
        self._longest_timeout_s = longest_timeout_ms / 1000.0
        self._on_requests_ended = on_requests_ended

    async def run(self) -> None:
        """Serve requests until no client remains or the deadline passes, complete responses, then stop."""
        await self._drain()
        if not self._listener.has_ended:
            self._reject_remaining()
        deadline = self._loop.time() + REJECTION_TIMEOUT_S
        await asyncio.gather(self._end_requests(deadline), self._complete_responses(deadline))

    async def _drain(self) -> None:
        began = self._loop.time()
        self._begin_drain()
        deadline = began + min(self._longest_timeout_s, MAX_DEADLINE_S) + DRAIN_SLACK_S
        while self._loop.time() < deadline and not self._is_drained(began + MIN_DRAIN_S):
            await asyncio.sleep(CHECK_INTERVAL_S)
        self._listener.stop_accepting()

    def _begin_drain(self) -> None:
        self._listener.resume()  # ends a drain for standby, which has other timeouts
        if self._listener.shares_socket:
            self._listener.stop_accepting()
            self._pool.disable_keep_alive()
            self._listener.drain(close_idle_after_s=SHARED_SOCKET_DRAIN_S)
        else:
            self._listener.drain()

    def _is_drained(self, earliest: float) -> bool:
        """Return whether no client is connected and, from `earliest` (loop time, s) on, none will connect."""
        if self._loop.time() < earliest or not self._listener.has_no_clients:
            return False
        self._listener.stop_accepting()  # accepts the connections that wait in the kernel's queue
        return self._listener.has_ended

    def _reject_remaining(self) -> None:
        """Fail requests in flight, and reject new ones from now on."""
        self._listener.on_request = _reject
        self._listener.resume()
        self._listener.drain(grace_s=0.0, close_idle_after_s=0.0)
        self._listener.reject_partial_requests()
        self._request_registry.fail_all()

    async def _end_requests(self, deadline: float) -> None:
        """Stop accepting connections, by `deadline` (loop time, s) at the latest, and stop the components."""
        while self._listener.is_listening:
            self._listener.stop_accepting()
            if self._loop.time() >= deadline:
                self._listener.stop_listening()
            elif self._listener.is_listening:
                await asyncio.sleep(CHECK_INTERVAL_S)
        await self._stop_components()
        try:
            self._on_requests_ended()
        except Exception:  # it must not end the responses that are in progress
            log.exception("failed to release what requests need")
        log.info(
            "requests have ended, %d responses are still in progress", self._request_registry.in_progress
        )

    async def _complete_responses(self, deadline: float) -> None:
        """Wait until clients have their responses.

        From `deadline` (loop time, s) on only responses that make progress keep their connections, for
        `DELIVERY_TIMEOUT_S` at most: a request that has no complete response when the process exits is lost.
        """
        delivery_deadline = deadline + DELIVERY_TIMEOUT_S
        next_check_at = self._loop.time()
        while not self._listener.has_ended:
            now = self._loop.time()
            if now >= delivery_deadline:
                log.warning("responses still in progress are cut off after %.0f s", DELIVERY_TIMEOUT_S)
                return
            if now >= next_check_at:
                next_check_at = now + DELIVERY_CHECK_INTERVAL_S
                if now < deadline:
                    next_check_at = min(next_check_at, deadline)
                self._check_delivery(now, may_abort=now >= deadline)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check_delivery(self, now: float, may_abort: bool) -> None:
        """Observe the progress of all responses; close the connections that have none if `may_abort`."""
        undelivered = self._listener.undelivered(now)
        if not may_abort or not undelivered:
            return
        log.info(
            "closing %d connections without progress, %d responses continue",
            len(undelivered),
            len(self._listener.connections) - len(undelivered),
        )
        for connection in undelivered:
            connection.abort()

    async def _stop_components(self) -> None:
        """Stop all components concurrently, so that one that hangs or fails doesn't block the others."""
        stops = asyncio.gather(*(component.stop() for component in self._components), return_exceptions=True)
        results: Sequence[BaseException | None]
        try:
            async with asyncio.timeout(COMPONENT_STOP_TIMEOUT_S):
                results = await stops
        except TimeoutError as timeout:
            results = [timeout]
        for error in results:
            if error is not None:
                log.error("a component failed to stop", exc_info=error)


def _reject(request: InboundRequest) -> None:
    request.respond(HTTPStatus.SERVICE_UNAVAILABLE)
