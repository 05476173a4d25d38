"""Graceful shutdown of a node between SIGTERM and SIGKILL (see PROTOCOL, "Figures")."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from http import HTTPStatus

from loadbalancer.node.component import Component
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.listener.listener import Listener
from loadbalancer.node.request_registry import RequestRegistry
from loadbalancer.node.upstream.pool import ConnectionPool

log = logging.getLogger("loadbalancer")

MIN_DRAIN_S = 0.6  # clients open new connections for up to 0.4 s after SIGTERM
DRAIN_SLACK_S = 0.6  # after the longest deadline; SIGKILL follows that deadline by 0.7 s at the earliest
MAX_DEADLINE_S = 3.0  # upper bound for the longest deadline
CHECK_INTERVAL_S = 0.01
SHARED_SOCKET_DRAIN_S = 1.5  # idle connections stay open this long if a new process accepts on the socket
REJECTION_TIMEOUT_S = 5.0  # for clients to receive the responses to requests that are rejected at the end
COMPONENT_STOP_TIMEOUT_S = 1.0  # for all components together


class GracefulShutdown:
    """Drains the listener, rejects the requests that remain at the deadline, and stops the components."""

    def __init__(
        self,
        listener: Listener,
        pool: ConnectionPool,
        request_registry: RequestRegistry,
        components: Sequence[Component],
        longest_timeout_ms: float,
    ) -> None:
        """`longest_timeout_ms` is the longest client timeout of all service classes."""
        self._loop = asyncio.get_running_loop()
        self._listener = listener
        self._pool = pool
        self._request_registry = request_registry
        self._components = components
        self._longest_timeout_s = longest_timeout_ms / 1000.0

    async def run(self) -> None:
        """Serve new and in-flight requests until no client remains or the deadline passes, then stop."""
        began = self._loop.time()
        self._begin_drain()
        deadline = began + min(self._longest_timeout_s, MAX_DEADLINE_S) + DRAIN_SLACK_S
        while self._loop.time() < deadline and not self._is_drained(began + MIN_DRAIN_S):
            await asyncio.sleep(CHECK_INTERVAL_S)
        self._listener.stop_accepting()
        if not self._listener.has_ended:
            await self._reject_remaining()
        await self._stop_components()

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

    async def _reject_remaining(self) -> None:
        """Fail requests in flight and reject new ones until clients have their responses or time runs out.

        A request without a response is lost whether SIGKILL ends the process or it exits by itself, so
        waiting for the responses loses nothing.
        """
        self._listener.on_request = _reject
        self._listener.resume()
        self._listener.drain(grace_s=0.0, close_idle_after_s=0.0)
        self._listener.reject_partial_requests()
        self._request_registry.fail_all()
        deadline = self._loop.time() + REJECTION_TIMEOUT_S
        while not self._listener.has_ended and self._loop.time() < deadline:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._listener.stop_accepting()

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
