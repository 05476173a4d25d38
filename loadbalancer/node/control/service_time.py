"""What this node knows of service time, from the four times of its calls to the list service."""

from __future__ import annotations

import math
from typing import Final

from loadbalancer.membership.messages import LeaseResponse
from loadbalancer.staleness import ClockOffsets
from loadbalancer.staleness.clock_offsets import Interval

REGISTRY_PEER: Final = "service"  # the list service among the peers of the clock offsets


class ServiceTimeEstimate:
    """The estimate of service time, which is by the clock of the list service's leader.

    Times are ms, `now` and `sent_at` by this node's clock. Samples of one leader's clock say nothing of
    another's, so each leader's first answer begins the estimate anew.
    """

    def __init__(self, clock_offsets: ClockOffsets) -> None:
        """`clock_offsets`: where the samples are held, under REGISTRY_PEER."""
        self._clock_offsets = clock_offsets
        self._term = 0  # of the leader that the samples are of
        self._answered_ms = -math.inf  # service time of the last answer
        self._sampled_at = 0.0

    def interval_ms(self, now: float) -> Interval | None:
        """Service time now, as an interval; None where nothing is known of it."""
        return self._clock_offsets.to_peer(REGISTRY_PEER, now, now)

    def best_ms(self, now: float) -> float | None:
        """The middle of the interval."""
        interval = self.interval_ms(now)
        return None if interval is None else sum(interval) / 2

    def is_older(self, answer: LeaseResponse) -> bool:
        """Whether this answer was given before the last one, and so to an earlier call."""
        if answer.term != self._term:
            return answer.term < self._term
        return answer.received_ms < self._answered_ms

    def add_answer(self, sent_at: float, now: float, answer: LeaseResponse) -> None:
        """Use the times of a call that was sent at `sent_at` and whose answer has arrived now."""
        if answer.term != self._term:
            self.discard()
        self._term, self._answered_ms = answer.term, answer.responded_ms
        self._clock_offsets.add_sample(REGISTRY_PEER, sent_at, answer.received_ms, answer.responded_ms, now)
        self._sampled_at = now

    def discard(self) -> None:
        """Drop the estimate: the list service contradicts it, or another leader's clock counts."""
        self._clock_offsets.forget(REGISTRY_PEER)
        self._term, self._answered_ms = 0, -math.inf

    def describe(self, now: float) -> str:
        """The estimate in words, for a log line."""
        interval = self.interval_ms(now)
        if interval is None:
            return "service time is not known"
        age_ms = now - self._sampled_at
        return (
            f"service time is taken to be {interval[0]:.1f} to {interval[1]:.1f}, sampled {age_ms:.0f} ms ago"
        )
