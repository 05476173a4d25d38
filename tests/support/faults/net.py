"""A net of relays, one for each way that one of N programs dials another, all on one loop and thread."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from tests.support.faults.link import Address, Link
from tests.support.faults.loops import LoopThread

Group = int | Iterable[int]


def _group(given: Group) -> list[int]:
    return [given] if isinstance(given, int) else list(given)


class Net:
    """Programs are named by their index in `targets`; program i dials `address(i, j)` to reach program j.

    A fault from a to b befalls all that a sends b: what a asks on connections it dialled, and what it
    answers on those b dialled.
    """

    def __init__(self, targets: Sequence[Address], seed: object = 0) -> None:
        self._loops = LoopThread()
        self.links = {
            (dialler, target): Link(targets[target], f"{seed}/{dialler}/{target}")
            for dialler in range(len(targets))
            for target in range(len(targets))
            if dialler != target
        }
        self._each(lambda link: link.accept(True), self.links)

    def address(self, dialler: int, target: int) -> Address:
        return self.links[dialler, target].address

    def cut(self, group_a: Group, group_b: Group) -> None:
        """Nothing passes between the groups, either way, until it is healed."""
        self.cut_one_way(group_a, group_b)
        self.cut_one_way(group_b, group_a)

    def cut_one_way(self, senders: Group, receivers: Group) -> None:
        """Nothing from the senders reaches the receivers, while what these send arrives."""
        there, back = self._pairs(senders, receivers)
        self._each(lambda link: link.silence(True, "there"), there)
        self._each(lambda link: link.silence(True, "back"), back)

    def delay(self, senders: Group, receivers: Group, ms: float, jitter_ms: float = 0.0) -> None:
        there, back = self._pairs(senders, receivers)
        self._each(lambda link: link.delay(ms, jitter_ms, "there"), there)
        self._each(lambda link: link.delay(ms, jitter_ms, "back"), back)

    def lose(self, diallers: Group, targets: Group, chance: float) -> None:
        """Of the calls from now on, lose each with this chance: itself or its answer, at even odds."""
        self._each(lambda link: setattr(link, "loss", chance), self._pairs(diallers, targets)[0])

    def reset(self, group_a: Group, group_b: Group) -> None:
        """End every connection between the groups at once."""
        there, back = self._pairs(group_a, group_b)
        self._each(Link.reset, [*there, *back])

    def accept(self, targets: Group, taking: bool) -> None:
        """Nobody's connections to these are taken, or are again."""
        chosen = _group(targets)
        self._each(lambda link: link.accept(taking), [pair for pair in self.links if pair[1] in chosen])

    def heal(self) -> None:
        """No fault anywhere any more; calls lost stay lost."""
        self._each(Link.heal, self.links)

    def close(self) -> None:
        self._each(Link.close, self.links)
        self._loops.close()

    def _pairs(self, ones: Group, others: Group) -> tuple[list[tuple[int, int]], list[tuple[int, int]]]:
        there = [(one, other) for one in _group(ones) for other in _group(others) if one != other]
        return there, [(other, one) for one, other in there]

    def _each(self, work: Callable[[Link], object], pairs: Iterable[tuple[int, int]]) -> None:
        chosen = [self.links[pair] for pair in pairs]
        self._loops.call(lambda: [work(link) for link in chosen])
