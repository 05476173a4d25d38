"""Timing of the polls of discovery: how long a poll waits, when it has failed, and the backoff after that.

PROTOCOL sets the deadlines: the node must have a change within 6 s after discovery has it, and within 4 s
after a SIGHUP that changes the address of discovery.
"""

from __future__ import annotations

from random import Random

PROPAGATION_DEADLINE_S = 6.0  # maximum time until the node has a change in discovery
ADDRESS_CHANGE_DEADLINE_S = 4.0  # maximum time until the node has the list of a changed address
SCHEDULING_SLACK_S = 0.3  # part of a deadline that is reserved for a busy event loop
RESPONSE_TIMEOUT_S = 1.2  # a poll fails if it has no response this long after its wait
CONNECT_TIMEOUT_S = 1.0  # connecting is part of the time that a poll may take
LIVENESS_WAIT_MS = 50  # wait of a poll that checks whether discovery responds at all
LIVENESS_POLL_S = LIVENESS_WAIT_MS / 1000.0 + RESPONSE_TIMEOUT_S  # maximum duration of such a poll
INITIAL_BACKOFF_S = 0.5  # upper bound of the backoff after the first failure
BACKOFF_FACTOR = 2.0  # growth of that bound with each further failure
MAX_BACKOFF_DOUBLINGS = 8  # limits the exponent; MAX_BACKOFF_S is reached earlier
JITTER_RANGE = (0.5, 1.0)  # fraction of the bound that the backoff takes
# A poll that gets no response, its backoff and the next poll fit into the propagation deadline.
MAX_POLL_WAIT_S = (
    PROPAGATION_DEADLINE_S - SCHEDULING_SLACK_S - RESPONSE_TIMEOUT_S - INITIAL_BACKOFF_S - LIVENESS_POLL_S
)
# Discovery may recover just after it has missed a poll: that poll, its backoff and the next poll fit.
MAX_BACKOFF_S = PROPAGATION_DEADLINE_S - SCHEDULING_SLACK_S - 2.0 * LIVENESS_POLL_S


class PollPolicy:
    """Timing of the polls; the same in both registry modes (`push` and `ask`)."""

    def __init__(self, max_wait_s: float, max_backoff_s: float, rng: Random) -> None:
        """`max_wait_s`, `max_backoff_s`: bounds from the node's settings; the policy's own also apply."""
        self._wait_ms = round(min(max_wait_s, MAX_POLL_WAIT_S) * 1000.0)
        self._max_backoff_s = min(max_backoff_s, MAX_BACKOFF_S)
        self._rng = rng
        self.reset()

    def reset(self) -> None:
        """Return to the initial state, at the start and for a new address of discovery."""
        self._responding = False  # whether the last poll got a response
        self._failures = 0  # consecutive failures

    @property
    def wait_ms(self) -> int:
        """How long (ms) the next poll lets discovery wait for a change.

        The wait is short until discovery has responded. A discovery that does not respond is then detected
        within the deadline after the start of the process, the end of an outage or a change of address.
        """
        return self._wait_ms if self._responding else min(LIVENESS_WAIT_MS, self._wait_ms)

    @property
    def timeout_s(self) -> float:
        """How long (s) the next poll may take, including the time to connect."""
        return self.wait_ms / 1000.0 + RESPONSE_TIMEOUT_S

    def record_success(self) -> None:
        """Record that discovery has responded."""
        self._responding, self._failures = True, 0

    def record_failure(self) -> float:
        """Record that a poll has failed; return the backoff in seconds before the next poll.

        The jitter prevents nodes whose polls failed at the same time from polling again at the same time.
        """
        self._responding = False
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        bound_s = min(self._max_backoff_s, INITIAL_BACKOFF_S * BACKOFF_FACTOR**doublings)
        self._failures += 1
        return bound_s * self._rng.uniform(*JITTER_RANGE)
