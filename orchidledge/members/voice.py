"""What a node tells with each call, and what it takes from one."""

from __future__ import annotations

import random

from .actions import Viewed
from .own import Own
from .payload import VIEW_MOST, Found, Message, Rumour, Told, write
from .roll import Roll
from .standings import Standings


class Voice:
    """Writes every payload and merges every message that was read."""

    def __init__(self, own: Own, roll: Roll, rng: random.Random) -> None:
        self.standings = Standings(own)
        self._own = own
        self._roll = roll
        self._rng = rng
        self._view = b""

    def show(self, view: bytes) -> None:
        if len(view) > VIEW_MOST:
            self._own.counts["own view too large"] += 1
            view = b""
        self._view = view

    def payload(self, now: float, to: int, target: int = 0, found: Found = Found.NOTHING) -> bytes:
        """For a call to the incarnation `to`; `target` is whom it is to ask, `found` what asking showed."""
        rumours = self._roll.to_tell(target or to)
        statements = self.standings.to_tell(self._rng)
        own = self._own
        return write(Message(own.incarnation, own.count, now, target, found, rumours, statements, self._view))

    def take(self, now: float, message: Message, sent: float | None = None) -> list[Viewed]:
        """Merge a message; nothing is taken from a sender that the list service has not named.

        `sent` is this node's time of asking if the message is an answer, which shows where it came from.
        """
        if message.sender not in self._roll.peers:
            self._own.counts["message of an unknown incarnation"] += 1
            return []
        header = Rumour(message.sender, message.count, Told.HEARD)
        self._roll.hear(now, header, sure=sent is not None)
        for rumour in message.rumours:
            if rumour.incarnation == self._own.incarnation:
                self._own.refute(rumour)
            else:
                self._roll.hear(now, rumour)
        self.standings.merge(now, message.statements, self._roll.peers)
        return [Viewed(message.sender, message.view, message.at, sent, now)] if message.view else []
