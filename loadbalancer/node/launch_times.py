"""Start times of endpoints' processes, in the time of the node's clock.

Discovery gives them in Unix time, by a wall clock that may step. The node's clock doesn't step.
A time that is given after a step is shifted by as much as the wall clock has moved.
"""

from __future__ import annotations

import dataclasses

from loadbalancer.endpoints import Endpoint
from loadbalancer.node.clock import Clock

MIN_STEP_MS = 1000.0  # a smaller difference between the clocks is slewing


class LaunchTimes:
    """Converts start times; the same time of an endpoint is always converted to the same result."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._converted: dict[str, tuple[float, float]] = {}  # given and converted time, by endpoint name

    def convert(self, endpoints: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """Return the endpoints with their start times in the time of the node's clock (ms)."""
        step_ms = self._clock.step_ms()
        shift_ms = step_ms if abs(step_ms) >= MIN_STEP_MS else 0.0
        return tuple(self._convert_one(endpoint, shift_ms) for endpoint in endpoints)

    def retain(self, names: set[str]) -> None:
        """Forget all endpoints but these."""
        for name in self._converted.keys() - names:
            del self._converted[name]

    def _convert_one(self, endpoint: Endpoint, shift_ms: float) -> Endpoint:
        given_ms = endpoint.launched_ms
        if given_ms is None:
            return endpoint
        known = self._converted.get(endpoint.name)
        if known is None or known[0] != given_ms:
            known = self._converted[endpoint.name] = given_ms, given_ms - shift_ms
        if known[1] == given_ms:
            return endpoint
        return dataclasses.replace(endpoint, launched_ms=known[1])
