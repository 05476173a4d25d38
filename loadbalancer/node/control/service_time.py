"""This node's estimate of service time, from the send and receive times of its calls to the list service."""

from __future__ import annotations

import math
from typing import Final

from loadbalancer.membership.messages import LeaseResponse
from loadbalancer.staleness import ClockOffsets
from loadbalancer.staleness.clock_offsets import Interval

REGISTRY_PEER: Final = "service"  # the list service's key among the peers of `ClockOffsets`


class ServiceTimeEstimate:
    """An interval that contains service time, the clock of the list service's leader.

    All times are in ms; `now` and `sent_at` are by this node's clock. Samples of one leader's clock are
    invalid for another leader, so the first response of each leader restarts the estimate.
    """

    def __init__(self, clock_offsets: ClockOffsets) -> None:
        """`clock_offsets`: stores the samples under the key REGISTRY_PEER."""
        self._clock_offsets = clock_offsets
        self._term = 0  # Raft term of the leader whose clock was sampled
        self._last_response_ms = -math.inf  # service time at which the last response was sent
        self._sampled_at = 0.0

    def interval_ms(self, now: float) -> Interval | None:
        """Return the current service time as an interval, or None if there is no sample."""
        return self._clock_offsets.to_peer(REGISTRY_PEER, now, now)

    def best_ms(self, now: float) -> float | None:
        """Return the middle of the interval, or None if there is no sample."""
        interval = self.interval_ms(now)
        return None if interval is None else sum(interval) / 2

    def is_older(self, response: LeaseResponse) -> bool:
        """Whether this response belongs to an earlier call than the last response that was added."""
        if response.term != self._term:
            return response.term < self._term
        return response.received_ms < self._last_response_ms

    def add_response(self, sent_at: float, now: float, response: LeaseResponse) -> None:
        """Add the times of a call that was sent at `sent_at` and whose response arrived at `now`."""
        if response.term != self._term:
            self.discard()
        self._term, self._last_response_ms = response.term, response.responded_ms
        self._clock_offsets.add_sample(
            REGISTRY_PEER, sent_at, response.received_ms, response.responded_ms, now
        )
        self._sampled_at = now

    def discard(self) -> None:
        """Drop the estimate because the list service contradicts it or another leader's clock applies."""
        self._clock_offsets.forget(REGISTRY_PEER)
        self._term, self._last_response_ms = 0, -math.inf

    def describe(self, now: float) -> str:
        """Return the estimate as text for a log line."""
        interval = self.interval_ms(now)
        if interval is None:
            return "service time is unknown"
        age_ms = now - self._sampled_at
        return (
            f"estimated service time {interval[0]:.1f} to {interval[1]:.1f}, last sampled {age_ms:.0f} ms ago"
        )
