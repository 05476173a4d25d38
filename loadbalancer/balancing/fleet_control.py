"""What siblings and the list service settle for this balancer: its share, how sure its routes are, the
route version.

Each is an event, and without it the balancer acts by its settings alone. A mark is advice: no call is
refused for it.
"""

from __future__ import annotations

import math

from loadbalancer.balancing.events import ConfidenceUpdate, QuotaGrant
from loadbalancer.balancing.state import Job, Peer, Shared, State
from loadbalancer.endpoints import Confidence, RouteVersion, TrafficSplit

# How much of a server's measured latency counts by its route's mark; the rest is the others' mean, as for
# one unheard.
KNOWN = {Confidence.LOW: 0.5, Confidence.NONE: 0.0}
DIM = (Confidence.LOW, Confidence.NONE)


def shared(state: State, event: QuotaGrant) -> None:
    parts = 1.0 / event.quota if event.quota > 0.0 else math.inf
    state.shared = Shared(parts, max(1, event.holders), event.expires_ms)


def marked(state: State, event: ConfidenceUpdate) -> None:
    """Take marks that have changed; those of servers that are not listed are dropped."""
    state.marks = {
        name: mark for name, mark in (state.marks | event.confidence).items() if name in state.peers
    }


def switched(state: State, event: RouteVersion) -> None:
    """Admit under this version from now on. One that requests were admitted under stays until their end."""
    kept = {job.version for job in state.jobs.values()} | {event.number}
    if event.number:
        state.versions[event.number] = event.classes
    state.versions = {number: classes for number, classes in state.versions.items() if number in kept}
    state.version = event.number


def known(state: State, peer: Peer) -> float:
    """The share of a server's measured latency that counts."""
    return KNOWN.get(state.marks[peer.info.address], 1.0) if peer.info.address in state.marks else 1.0


def lit(state: State, peers: list[Peer]) -> list[Peer]:
    """Without the blind routes that a call from here is already finding out about; all of them where none is
    better than weak, as the marks then tell nothing of one against another."""
    marks = [state.marks.get(peer.info.address) for peer in peers]
    if all(mark in DIM for mark in marks):
        return peers
    return [
        peer
        for peer, mark in zip(peers, marks, strict=True)
        if mark is not Confidence.NONE or peer.held < 1.0
    ]


def groups(state: State, job: Job, peers: list[Peer]) -> list[list[Peer]]:
    """These servers by the groups of the request's version, in the order in which they are tried: a
    weighted draw without return (Efraimidis, Spirakis 2006). A server belongs to the first group of the
    table that takes it; under version 0 there is one group of all."""
    table = state.versions.get(job.version, {}).get(job.kind.name)
    if table is None:
        return [peers]
    drawn: list[tuple[float, list[Peer]]] = []
    left = peers
    for group in table:
        inside = [peer for peer in left if _in(group, peer)]
        left = [peer for peer in left if not _in(group, peer)]
        if inside and group.weight > 0.0:
            drawn.append((state.rng.random() ** (1.0 / group.weight), inside))
    return [inside for _, inside in sorted(drawn, key=lambda item: -item[0])]


def _in(group: TrafficSplit, peer: Peer) -> bool:
    info = peer.info
    return group.model in (None, info.model) and group.zone in (None, info.zone)
