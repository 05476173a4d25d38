"""Hearing: a node asks its siblings, in turn and through others, and tells on the same calls what it finds.

As published for SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2017), with two
changes: a helper that found the target silent counts as an accuser at once, since it has its own evidence;
and a refused connection that no helper gets past leaves only a short time to refute.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable

from .actions import Action, Config, Reply, Sibling
from .asking import Asking
from .own import Own
from .payload import Standing, read
from .roll import Roll
from .verdict import Heard
from .voice import Voice


class Hearing:
    """One node's hearing. All times in ms on its own clock, which never goes back.

    Facts go in through `know`, `tick`, `answered`, `failed`, `asked` and `asked_for`; each returns the
    actions that follow. The caller calls `tick` no later than `due`, and ends every Ask and AskThrough with
    `answered` or `failed`. Nothing that a sibling sends raises; `counts` tells what was ignored, by reason.
    """

    def __init__(self, incarnation: int, rng: random.Random, config: Config | None = None) -> None:
        self._config = config or Config()
        self._own = Own(self._config, incarnation)
        self._roll = Roll(self._own)
        self._voice = Voice(self._own, self._roll, rng)
        self._asking = Asking(self._own, self._roll, self._voice, rng)
        self._period_at: float | None = None
        self.last_heard: float | None = None  # when any sibling last answered

    # -------------------------------------------------------------- facts

    def enrolled(self, incarnation: int) -> None:
        """This process was given a new incarnation; a lower or equal one is ignored."""
        if incarnation > self._own.incarnation:
            self._own.incarnation, self._own.count = incarnation, 0
            self._voice.standings.disown()
            self._roll.know([peer.sibling for peer in self._roll.peers.values()])

    def know(self, now: float, siblings: Iterable[Sibling]) -> list[Action]:
        """The whole list of members; this node's own row is left out, and those not in it are forgotten."""
        self._wake(now)
        self._asking.rounds.add(self._roll.know(siblings))
        self._voice.standings.forget(self._roll.peers)
        return [*self._roll.changes()]

    def stand(self, now: float, standing: Standing, s_ms: float) -> None:
        """What this node says of its own share, at this service time."""
        self._voice.standings.stand(now, standing, s_ms)

    def show(self, view: bytes) -> None:
        """The opaque entry that goes with every payload from now on; one over 16 KiB is not sent."""
        self._voice.show(view)

    def tick(self, now: float) -> list[Action]:
        """End suspicions that are due, and each period ask the next sibling."""
        self._wake(now)
        self._roll.expire(now)
        actions: list[Action] = []
        period_at = now if self._period_at is None else self._period_at
        if now >= period_at:
            # Periods missed are not made up for.
            period_at = max(period_at, now - self._config.period_ms) + self._config.period_ms * self._own.slow
            self._asking.drop_lost(now)
            actions.extend(self._asking.next(now))
        self._period_at = period_at
        self._own.due = min(now + self._config.pulse_ms, period_at, max(now + 1.0, self._roll.next_end()))
        return [*actions, *self._roll.changes()]

    def answered(self, now: float, ask_id: int, payload: bytes) -> list[Action]:
        """The answer to an Ask or AskThrough. One that can't be read counts as none."""
        self._wake(now)
        call = self._asking.end(ask_id)
        if call is None:
            return []
        message = read(payload)
        if message is None:
            self.counts["malformed answer"] += 1
            return [*self._asking.failed(now, call, refused=False), *self._roll.changes()]
        if message.sender != call.asked:
            # Another process answers at this address, so the one that was asked for has ended.
            self.counts["answer by another"] += 1
            return [*self._asking.failed(now, call, refused=True), *self._roll.changes()]
        self.last_heard = now
        self._roll.answered(now, call.asked)
        viewed = self._voice.take(now, message, call.sent)
        return [*viewed, *self._asking.answered(now, call, message.found), *self._roll.changes()]

    def failed(self, now: float, ask_id: int, refused: bool) -> list[Action]:
        """An Ask or AskThrough had no answer; `refused` only if the machine refused the connection."""
        self._wake(now)
        call = self._asking.end(ask_id)
        if call is None:
            return []
        return [*self._asking.failed(now, call, refused), *self._roll.changes()]

    def asked(self, now: float, payload: bytes) -> tuple[bytes | None, list[Action]]:
        """A sibling's direct ask: the answer's payload, or None to refuse a malformed ask."""
        self._wake(now)
        message = read(payload)
        if message is None:
            self.counts["malformed ask"] += 1
            return None, []
        viewed = self._voice.take(now, message)
        return self._voice.payload(now, message.sender), [*viewed, *self._roll.changes()]

    def asked_for(self, now: float, call: int, payload: bytes) -> list[Action]:
        """A sibling asks this node to ask another; one Reply to `call` comes, now or when that has ended."""
        self._wake(now)
        message = read(payload)
        if message is None:
            self.counts["malformed ask"] += 1
            return [Reply(call, None)]
        viewed = self._voice.take(now, message)
        return [*viewed, self._asking.for_another(now, call, message), *self._roll.changes()]

    # -------------------------------------------------------------- what is known

    @property
    def due(self) -> float | None:
        """When the next tick should come; None before the first."""
        return self._own.due

    @property
    def incarnation(self) -> int:
        return self._own.incarnation

    @property
    def health(self) -> int:
        """Lifeguard's local health: 0 is well, up to `max_health`."""
        return self._own.health

    @property
    def counts(self) -> Counter[str]:
        """What was ignored or odd, by reason."""
        return self._own.counts

    def states(self) -> dict[int, Heard]:
        """What hearing shows of each sibling, by incarnation."""
        after = self._config.bridged_after
        return {incarnation: peer.state(after) for incarnation, peer in self._roll.peers.items()}

    def heard_at(self, incarnation: int) -> float | None:
        """When this sibling last answered directly; None if never, or it is not known."""
        peer = self._roll.peers.get(incarnation)
        return None if peer is None else peer.heard_at

    def standings(self) -> dict[int, tuple[Standing, float]]:
        """The newest known statement of each node, this one included: (standing, its service time)."""
        return self._voice.standings.table()

    def _wake(self, now: float) -> None:
        late = self._own.wake(now)
        if late:
            self._roll.postpone(now, late)
