"""Which revisions of the endpoint list are accepted.

A list of an older revision than one received would bring removed endpoints back, so it is rejected. A source
that was rebuilt from nothing counts its revisions from the start, though, and would be rejected forever.
Once it has answered with complete older lists for long enough, and with no newer one between, its list is
accepted. The time keeps a replica that lags for a moment from being taken for a rebuilt source.
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
# Shorter after a change of address, where a revision that counts from elsewhere is more likely.
ADDRESS_CHANGE_HOLD_S = ADDRESS_CHANGE_DEADLINE_S - 2.0 * INITIAL_BACKOFF_S - SCHEDULING_SLACK_S


class RevisionGuard:
    """Rejects lists of older revisions from one source, until it proves to have been rebuilt."""

    def __init__(self) -> None:
        self.minimum = 0  # the lowest revision accepted; 0 until the source has answered
        self._older_since: float | None = None  # loop time (s) of the first older complete list in a row
        self._hold_s = REBUILD_HOLD_S  # how long it has to give them until one is accepted

    def check(self, response: DiscoveryResponse, since: int, now: float) -> bool:
        """Return whether the response shows a rebuilt source; raise StaleListError if it is too old.

        `since` is the revision that the poll asked for changes after, `now` the event loop's time in s.
        """
        if not response.complete:  # changes that came before `since` are not in it
            self.minimum = max(self.minimum, since)
        if response.revision >= self.minimum:
            return False
        if not self._is_rebuilt(response, now):
            raise StaleListError(response.revision, self.minimum)
        return True

    def accept(self, revision: int) -> None:
        """The node has taken over a list of this revision."""
        self.minimum = revision
        self._older_since = None
        self._hold_s = REBUILD_HOLD_S

    def reset_for_new_address(self) -> None:
        """Begin with a new source, whose revisions may count from elsewhere."""
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
