"""The orderly end of a node's service, in the time between SIGTERM and SIGKILL (PROTOCOL, "Figures")."""

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

MIN_DRAIN_S = 0.6  # new connections keep coming for up to 0.4 s after SIGTERM
DRAIN_SLACK_S = 0.6  # past the longest deadline; SIGKILL comes 0.7 s past it at the soonest
MAX_DEADLINE_S = 3.0  # longer deadlines count as this
CHECK_INTERVAL_S = 0.01
SHARED_SOCKET_DRAIN_S = 1.5  # idle connections stay open so long where a new process takes the new ones
REJECTION_TIMEOUT_S = 5.0  # for callers to receive the rejections of what is unanswered at the end
COMPONENT_STOP_TIMEOUT_S = 1.0  # for all components together


class GracefulShutdown:
    """Drains the listener, rejects what is left at the deadline, and stops the node's components."""

    def __init__(
        self,
        listener: Listener,
        pool: ConnectionPool,
        request_registry: RequestRegistry,
        components: Sequence[Component],
        longest_timeout_ms: float,
    ) -> None:
        """`longest_timeout_ms` is the longest client timeout of the classes."""
        self._loop = asyncio.get_running_loop()
        self._listener = listener
        self._pool = pool
        self._request_registry = request_registry
        self._components = components
        self._longest_timeout_s = longest_timeout_ms / 1000.0

    async def run(self) -> None:
        """Serve what still comes and what is in flight; return when all is answered or the time is over."""
        began = self._loop.time()
        self._begin_drain()
        deadline = began + min(self._longest_timeout_s, MAX_DEADLINE_S) + DRAIN_SLACK_S
        while self._loop.time() < deadline and not self._is_drained(began + MIN_DRAIN_S):
            await asyncio.sleep(CHECK_INTERVAL_S)
        self._listener.stop_accepting()
        if not self._listener.has_no_clients:
            await self._reject_remaining()
        await self._stop_components()

    def _begin_drain(self) -> None:
        self._listener.resume()  # a drain for standby has other times
        if self._listener.shares_socket:
            self._listener.stop_accepting()
            self._pool.disable_keep_alive()
            self._listener.drain(close_idle_after_s=SHARED_SOCKET_DRAIN_S)
        else:
            self._listener.drain()

    def _is_drained(self, earliest: float) -> bool:
        """Whether no caller is connected nor will come, as none does from `earliest` (loop time) on."""
        if self._loop.time() < earliest or not self._listener.has_no_clients:
            return False
        self._listener.stop_accepting()  # takes in what the kernel has accepted
        return self._listener.has_no_clients

    async def _reject_remaining(self) -> None:
        """Fail requests in flight and reject new ones until callers have their answers, or time runs out.

        What SIGKILL finds unanswered is lost, just as what the process leaves unanswered when it ends.
        """
        self._listener.on_request = _reject
        self._listener.resume()
        self._listener.drain(grace_s=0.0, close_idle_after_s=0.0)
        self._listener.reject_partial_requests()
        self._request_registry.fail_all()
        deadline = self._loop.time() + REJECTION_TIMEOUT_S
        while not self._listener.has_no_clients and self._loop.time() < deadline:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._listener.stop_accepting()

    async def _stop_components(self) -> None:
        """Stop all components at once, so that one that hangs or fails does not keep the others from it."""
        stops = asyncio.gather(*(component.stop() for component in self._components), return_exceptions=True)
        results: Sequence[BaseException | None]
        try:
            async with asyncio.timeout(COMPONENT_STOP_TIMEOUT_S):
                results = await stops
        except TimeoutError as error:
            results = [error]
        for fault in results:
            if fault is not None:
                log.error("a component failed to stop", exc_info=fault)


def _reject(call: InboundRequest) -> None:
    call.respond(HTTPStatus.SERVICE_UNAVAILABLE)
