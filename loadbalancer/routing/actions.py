"""Actions returned by a route participant, which its owner executes in order."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.endpoints import RouteVersion


@dataclass(slots=True, frozen=True)
class Fetch:
    """Fetch the version's text from the list service, then call `on_fetched`."""

    number: int


@dataclass(slots=True, frozen=True)
class Store:
    """Write the text to disk and sync it, then call `on_stored`.

    Writes and deletions of one number are executed in the order in which they are requested.
    """

    number: int
    text: str


@dataclass(slots=True, frozen=True)
class CastVote:
    """Send the vote; call `on_vote_acknowledged` when the list service has responded.

    A lost vote is requested again after a later lease response.
    """

    incarnation: int
    number: int
    yes: bool
    reason: str  # why the node votes no; empty if it votes yes


@dataclass(slots=True, frozen=True)
class Delete:
    """Delete the version's text from disk."""

    number: int


@dataclass(slots=True, frozen=True)
class Apply:
    """Route requests by this version from now on."""

    event: RouteVersion
    due_ms: float  # when the switch was due, on the local clock


Action = Fetch | Store | CastVote | Delete | Apply
