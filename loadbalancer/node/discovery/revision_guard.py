"""Decides which revisions of the endpoint list are accepted.

A list with an older revision than one received before would bring removed endpoints back, so it is rejected.
However, a source that was rebuilt from nothing counts its revisions from the start and would be rejected
forever. Its list is accepted once it has returned only complete older lists for long enough. That time
prevents a replica that lags briefly from being mistaken for a rebuilt source.
"""

from __future__ import annotations

from loadbalancer.node.discovery.errors import StaleListError
from loadbalancer.node.discovery.poll_policy import (
    ADDRESS_CHANGE_DEADLINE_S,
    INITIAL_BACKOFF_S,
    PROPAGATION_DEADLINE_S,
    RESPONSE_TIMEOUT_S,
    SCHEDULING_SLACK_S,
)
from loadbalancer.node.discovery.response import DiscoveryResponse

REBUILD_HOLD_S = PROPAGATION_DEADLINE_S - 2.0 * INITIAL_BACKOFF_S - RESPONSE_TIMEOUT_S
# Shorter after a change of address, since revisions that count from a different start are more likely then.
ADDRESS_CHANGE_HOLD_S = ADDRESS_CHANGE_DEADLINE_S - 2.0 * INITIAL_BACKOFF_S - SCHEDULING_SLACK_S


class RevisionGuard:
    """Rejects lists with older revisions from one source until the source is found to have been rebuilt."""

    def __init__(self) -> None:
        self.minimum = 0  # lowest revision accepted; 0 until the source has responded
        # Loop time (s) of the first of consecutive older complete lists.
        self._older_since: float | None = None
        self._hold_s = REBUILD_HOLD_S  # how long the source must return older lists until one is accepted

    def check(self, response: DiscoveryResponse, since: int, now: float) -> bool:
        """Return whether the response shows a rebuilt source; raise StaleListError if it is too old.

        The poll requested the changes after revision `since`; `now` is the event loop's time in s.
        """
        if not response.complete:  # a delta lacks the changes up to `since`
            self.minimum = max(self.minimum, since)
        if response.revision >= self.minimum:
            return False
        if not self._is_rebuilt(response, now):
            raise StaleListError(response.revision, self.minimum)
        return True

    def accept(self, revision: int) -> None:
        """Record that the node has applied a list with this revision."""
        self.minimum = revision
        self._older_since = None
        self._hold_s = REBUILD_HOLD_S

    def reset_for_new_address(self) -> None:
        """Reset for a new source, whose revisions may count from a different start."""
        self.minimum = 0
        self._older_since = None
        self._hold_s = ADDRESS_CHANGE_HOLD_S

    def _is_rebuilt(self, response: DiscoveryResponse, now: float) -> bool:
        if not response.complete:
            return False
        if self._older_since is None:
            self._older_since = now
            return False
        return now - self._older_since >= self._hold_s
