"""How long a poll of discovery waits, when it has failed, and how long to back off after that.

The bound that all of it keeps is PROTOCOL's: what discovery has counts as known to the node 6 s later, and
4 s after the configuration names another address (SIGHUP).
"""

from __future__ import annotations

from random import Random

PROPAGATION_DEADLINE_S = 6.0  # within which the node has to know what discovery has
ADDRESS_CHANGE_DEADLINE_S = 4.0  # the same, from a change of discovery's address on
SCHEDULING_SLACK_S = 0.3  # of a deadline, for a busy event loop
RESPONSE_TIMEOUT_S = 1.2  # a poll without an answer so long after its wait has failed
CONNECT_TIMEOUT_S = 1.0  # of a poll's time
LIVENESS_WAIT_MS = 50  # wait of a poll that is to show whether discovery answers at all
LIVENESS_POLL_S = LIVENESS_WAIT_MS / 1000.0 + RESPONSE_TIMEOUT_S  # the longest such a poll may take
INITIAL_BACKOFF_S = 0.5  # upper bound of the pause after the first failure
BACKOFF_FACTOR = 2.0  # by which that bound grows with each further failure
MAX_BACKOFF_DOUBLINGS = 8  # bounds the exponent; MAX_BACKOFF_S is reached before it
JITTER_RANGE = (0.5, 1.0)  # part of the bound that is slept
# A wait that stays silent, its backoff and the poll after it fit into the propagation deadline.
MAX_POLL_WAIT_S = (
    PROPAGATION_DEADLINE_S - SCHEDULING_SLACK_S - RESPONSE_TIMEOUT_S - INITIAL_BACKOFF_S - LIVENESS_POLL_S
)
# Discovery may return just after a poll that it will not answer: that poll, its backoff and the next one fit.
MAX_BACKOFF_S = PROPAGATION_DEADLINE_S - SCHEDULING_SLACK_S - 2.0 * LIVENESS_POLL_S


class PollPolicy:
    """Timing of the polls, the same for lists that are pushed and lists that are polled for."""

    def __init__(self, max_wait_s: float, max_backoff_s: float, rng: Random) -> None:
        """`max_wait_s` and `max_backoff_s`: upper bounds by the node's settings, below the policy's own."""
        self._wait_ms = round(min(max_wait_s, MAX_POLL_WAIT_S) * 1000.0)
        self._max_backoff_s = min(max_backoff_s, MAX_BACKOFF_S)
        self._rng = rng
        self.reset()

    def reset(self) -> None:
        """Forget what is known of discovery: at the start, and at a new address."""
        self._answers = False  # whether the last poll was answered
        self._failures = 0  # in a row

    @property
    def wait_ms(self) -> int:
        """How long the next poll asks discovery to wait for a change.

        The wait is short until discovery has answered: a silent discovery is detected within the deadline
        from the start of the process, from the end of an outage and from a change of address.
        """
        return self._wait_ms if self._answers else min(LIVENESS_WAIT_MS, self._wait_ms)

    @property
    def timeout_s(self) -> float:
        """How long the next poll may take, with the opening of its connection."""
        return self.wait_ms / 1000.0 + RESPONSE_TIMEOUT_S

    def record_success(self) -> None:
        """Discovery has answered."""
        self._answers, self._failures = True, 0

    def record_failure(self) -> float:
        """A poll has failed; return the seconds to back off before the next one.

        The jitter keeps nodes whose polls failed in the same moment from polling again in step.
        """
        self._answers = False
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        bound_s = min(self._max_backoff_s, INITIAL_BACKOFF_S * BACKOFF_FACTOR**doublings)
        self._failures += 1
        return bound_s * self._rng.uniform(*JITTER_RANGE)
