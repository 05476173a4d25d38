"""Wrong cores: each replaces one method of a core by one with a mistake, which a search has to find."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

import pytest

from orchidledge.members.enrolment import Enrolment, Standing, Word
from orchidledge.members.ledger import Ledger, Row
from orchidledge.routes.activation import PREPARING, Activations
from orchidledge.routes.follower import Action, Follower, Stage, Store

Mistake = Callable[[pytest.MonkeyPatch], None]


def vote_before_fsync(patch: pytest.MonkeyPatch) -> None:
    right = Follower._bring

    def bring(self: Follower, now: float, number: int, its_digest: str) -> list[Action]:
        actions = right(self, now, number, its_digest)
        if self._asked(number) and any(isinstance(action, Store) for action in actions):
            actions = [*self._vote(number, self.copies[number]), *actions]
        return actions

    patch.setattr(Follower, "_bring", bring)


def moment_without_the_term(patch: pytest.MonkeyPatch) -> None:
    right = Activations.settle

    def settle(self: Activations, log_ms: float, ttl_ms: float, bound_ms: float) -> None:
        right(self, log_ms, 0.0, bound_ms)

    patch.setattr(Activations, "settle", settle)


def answer_omits_the_decision(patch: pytest.MonkeyPatch) -> None:
    right = Activations.answer

    def answer(self: Activations) -> dict[str, Any]:
        told = right(self)
        if told["pending"] is not None:
            told["pending"] |= {"phase": PREPARING, "at": None}
        return told

    patch.setattr(Activations, "answer", answer)


def share_grows_by_hearing(patch: pytest.MonkeyPatch) -> None:
    right = Enrolment.heard

    def heard(self: Enrolment, now: float, words: Mapping[int, Word]) -> None:
        right(self, now, words)
        self._share = 1.0 / (1 + len(words)) if self._share else 0.0

    patch.setattr(Enrolment, "heard", heard)


def incarnation_does_not_rise(patch: pytest.MonkeyPatch) -> None:
    right = Ledger.enrol

    def enrol(self: Ledger, name: str, address: str, zone: str, start: str) -> Row:
        for row in self.by_incarnation.values():
            if row.address == address and row.start != start:
                self.incarnations = row.incarnation - 1
        return right(self, name, address, zone, start)

    patch.setattr(Ledger, "enrol", enrol)


def hold_rests_on_any_word(patch: pytest.MonkeyPatch) -> None:
    right = Enrolment._held_until

    def held_until(self: Enrolment, words: Mapping[int, Word]) -> float:
        return right(
            self, {number: replace(word, standing=Standing.HOLDING) for number, word in words.items()}
        )

    patch.setattr(Enrolment, "_held_until", held_until)


def row_given_away_without_a_majority(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Ledger, "majority", lambda self, support: True)


def late_enrolment_frees_a_share(patch: pytest.MonkeyPatch) -> None:
    """As the ledger was until a search found it: the row of a restarted process began with what was free."""
    right = Ledger.enrol

    def enrol(self: Ledger, name: str, address: str, zone: str, start: str) -> Row:
        known = any(row.start == start for row in self.by_incarnation.values())
        row = right(self, name, address, zone, start)
        if not known:
            row.share = 0.0
            self._grant(row)
        return row

    patch.setattr(Ledger, "enrol", enrol)


def late_follower_knows_the_time_loosely(patch: pytest.MonkeyPatch) -> None:
    """As the follower was until a search found it: one that came after the decision switched whatever it knew
    of service time."""

    def ready(self: Follower, number: int, its_digest: str) -> bool:
        copy = self.copies.get(number)
        return copy is not None and copy.stage is Stage.STORED and copy.digest == its_digest

    patch.setattr(Follower, "_ready", ready)
