"""Actions of a route participant, which its owner carries out in order."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.endpoints import RouteVersion


@dataclass(slots=True, frozen=True)
class Fetch:
    """Fetch the version's text from the list service; ends in `on_fetched`."""

    number: int


@dataclass(slots=True, frozen=True)
class Store:
    """Write the text to disk and sync it; ends in `on_stored`.

    Writes and deletions of one number are carried out in the order in which they are requested.
    """

    number: int
    text: str


@dataclass(slots=True, frozen=True)
class CastVote:
    """Send the vote; `on_vote_acknowledged` follows once the service has answered.

    A vote that is lost is requested again after a later lease answer.
    """

    incarnation: int
    number: int
    yes: bool
    reason: str  # of a no


@dataclass(slots=True, frozen=True)
class Delete:
    """Delete the version's text from disk."""

    number: int


@dataclass(slots=True, frozen=True)
class Apply:
    """Balance by this version from now on."""

    event: RouteVersion
    due_ms: float  # when it was due, on the node's own clock


Action = Fetch | Store | CastVote | Delete | Apply
