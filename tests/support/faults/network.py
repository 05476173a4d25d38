"""A network of relays between N programs: one for each ordered pair, all on one loop and thread."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from tests.support.faults.link import Address, Link
from tests.support.faults.loops import LoopThread

Group = int | Iterable[int]


def _members(group: Group) -> list[int]:
    return [group] if isinstance(group, int) else list(group)


class RelayNetwork:
    """Programs are identified by their index in `targets`; program i connects to `address(i, j)` to reach j.

    A fault from a to b applies to all that a sends to b: its requests on connections that a opened, and its
    responses on connections that b opened.
    """

    def __init__(self, targets: Sequence[Address], seed: object = 0) -> None:
        self._loops = LoopThread()
        self.links = {
            (client, target): Link(targets[target], f"{seed}/{client}/{target}")
            for client in range(len(targets))
            for target in range(len(targets))
            if client != target
        }
        self._each(lambda link: link.set_accepting(True), self.links)

    def address(self, client: int, target: int) -> Address:
        return self.links[client, target].address

    def partition(self, group_a: Group, group_b: Group) -> None:
        """Block both directions between the groups until healed."""
        self.partition_one_way(group_a, group_b)
        self.partition_one_way(group_b, group_a)

    def partition_one_way(self, senders: Group, receivers: Group) -> None:
        """Block all data from the senders to the receivers; data in the other direction still arrives."""
        opened_by_senders, opened_by_receivers = self._pairs(senders, receivers)
        self._each(lambda link: link.set_blocked(True, "forward"), opened_by_senders)
        self._each(lambda link: link.set_blocked(True, "reverse"), opened_by_receivers)

    def delay(self, senders: Group, receivers: Group, ms: float, jitter_ms: float = 0.0) -> None:
        """Delay each chunk from the senders to the receivers by `ms`, and by up to `jitter_ms` more."""
        opened_by_senders, opened_by_receivers = self._pairs(senders, receivers)
        self._each(lambda link: link.delay(ms, jitter_ms, "forward"), opened_by_senders)
        self._each(lambda link: link.delay(ms, jitter_ms, "reverse"), opened_by_receivers)

    def lose(self, clients: Group, targets: Group, probability: float) -> None:
        """Lose each new call with this probability: the call itself or its response, equally often."""
        self._each(lambda link: setattr(link, "loss", probability), self._pairs(clients, targets)[0])

    def reset(self, group_a: Group, group_b: Group) -> None:
        """Reset every connection between the groups at once."""
        a_to_b, b_to_a = self._pairs(group_a, group_b)
        self._each(Link.reset, [*a_to_b, *b_to_a])

    def set_accepting(self, targets: Group, accepting: bool) -> None:
        """Accept connections to these targets, or stop accepting them."""
        chosen = _members(targets)
        self._each(
            lambda link: link.set_accepting(accepting), [pair for pair in self.links if pair[1] in chosen]
        )

    def heal(self) -> None:
        """Remove all faults; lost calls stay lost."""
        self._each(Link.heal, self.links)

    def close(self) -> None:
        self._each(Link.close, self.links)
        self._loops.close()

    def _pairs(self, group_a: Group, group_b: Group) -> tuple[list[tuple[int, int]], list[tuple[int, int]]]:
        a_to_b = [(a, b) for a in _members(group_a) for b in _members(group_b) if a != b]
        return a_to_b, [(b, a) for a, b in a_to_b]

    def _each(self, work: Callable[[Link], object], pairs: Iterable[tuple[int, int]]) -> None:
        chosen = [self.links[pair] for pair in pairs]
        self._loops.call(lambda: [work(link) for link in chosen])
