"""Where an admitted call goes: the best-ranked ready server within its share, cold ones paced."""

from __future__ import annotations

import math

from loadbalancer.balancing import cursor_table as table
from loadbalancer.balancing import fleet_control as fleet
from loadbalancer.balancing import load_estimate as load
from loadbalancer.balancing.state import Job, Peer, State
from loadbalancer.service_settings import DeduplicationScope, Effect, ServiceClass

FORGET_MS = 8000.0  # an unheard server drifts back to the mean at this pace
STALE_MS = 500.0  # a reported queue is believed for about this long
JITTER = 0.1  # width of the draw that parts equal ranks
ZONE_WEIGHT = 64.0  # calls in the queue that a crossing of zones counts as, per unit of its price
SPREAD = 1.25  # of its share of T1: what a server may hold from here, as calls and servers differ
REPEAT_MARGIN_MS = 10.0  # before a key may be forgotten: what the bytes of a repeat need to arrive
COLD_SHARE = 0.4  # of the overload factor: what a cold server may get of its present capacity


def pick(state: State, now: float, job: Job) -> Peer | None:
    """The server for the next attempt; None where none may take it."""
    open_to = _open_to(state, now, job)
    if state.marks:
        open_to = fleet.lit(state, open_to)
    tries = (_best(state, now, group) for group in fleet.groups(state, job, open_to))
    return next((peer for peer in tries if peer is not None), None)


def _best(state: State, now: float, open_to: list[Peer]) -> Peer | None:
    """The best-ranked of these servers that may take one more call."""
    # Guard: many balancers that each put a second or third call on the server ranked best held more there
    # together than it bears. One that has nothing out may always find out, each at another server.
    share = SPREAD * table.first_entry(state, len(state.ready)) / max(1, len(state.ready))
    within = [peer for peer in open_to if peer.held + 1.0 <= share + peer.part]
    if not within and not any([peer.held for peer in state.ready]):
        by_part = sorted(open_to, key=lambda peer: -peer.part)
        return next((peer for peer in by_part if paced(state, now, peer)), None)
    best, best_rank = None, math.inf
    for peer in within:
        back = state.returns.get(peer.info.address)
        # Guard: a node with few calls sends them to the few servers ranked best, and one brought back
        # stayed unused. Its first call goes before all others, paced as any to a cold server.
        rank = 0.0 if back is not None and not back.tried else _rank(state, now, peer)
        if rank < best_rank and paced(state, now, peer):
            best, best_rank = peer, rank
    return best


def _open_to(state: State, now: float, job: Job) -> list[Peer]:
    """The ready servers at which another attempt cannot have a second effect."""
    ran, effect = job.may_have_run(), job.kind.effect
    if now >= repeat_before(job) or (ran and effect is Effect.NON_IDEMPOTENT):
        return []
    bound = _group(job.kind, ran[0].peer) if ran and effect is Effect.IDEMPOTENCY_KEY else None
    tried = [item.peer for item in job.tries]
    return [
        peer
        for peer in state.ready
        if peer not in tried and (bound is None or bound == _group(job.kind, peer))
    ]


def repeat_before(job: Job) -> float:
    """Until when another attempt may be written: at any time, unless the key of one that may have run is
    forgotten some day."""
    ran = job.may_have_run()
    if not ran or job.kind.effect is not Effect.IDEMPOTENCY_KEY:
        return math.inf
    return ran[0].sent_ms + job.kind.deduplication_window_ms - REPEAT_MARGIN_MS


def _group(kind: ServiceClass, peer: Peer) -> tuple[str, int]:
    """The servers among which a repeat of this keyed class is dropped."""
    zone = "" if kind.deduplication_scope is DeduplicationScope.ALL else peer.info.zone
    return zone, peer.info.cell if kind.deduplication_scope is DeduplicationScope.CELL else 0


def _rank(state: State, now: float, peer: Peer) -> float:
    """Smoothed latency x (queue + 1); a silent server drifts to the mean of the others, which is 1."""
    slow = 1.0
    if peer.slow is not None:
        slow += (peer.slow - 1.0) * math.exp((peer.heard_ms - now) / FORGET_MS) * fleet.known(state, peer)
    if peer.out:
        # Guard: a server that hangs shows in its oldest unanswered attempt long before a time-out.
        (name, _), sent_ms = next(iter(peer.out.items()))
        mean = state.class_ms.get(state.jobs[name].kind.name) if peer.heard_ms <= sent_ms else None
        slow = max(slow, (now - sent_ms) / mean) if mean else slow
    failing = 1.0 - min(0.9, peer.errs)
    queue = peer.queue * math.exp((peer.told_ms - now) / STALE_MS) if peer.queue else 0.0
    far = ZONE_WEIGHT * state.cfg.cross_zone_price if peer.info.zone != state.cfg.zone else 0.0
    return slow * (peer.held + queue + 1.0 + far) / failing * (1.0 + JITTER * (state.rng.random() - 0.5))


def paced(state: State, now: float, peer: Peer) -> bool:
    """Guard: all balancers together must not push a cold server over. A call may go to it with the chance
    of its present share (from `cold_from`, even over `cold_ms`) of a server's ordinary calls: a draw for
    each call, not a count, so that the sum keeps to the share however many balancers there are."""
    cfg = state.cfg
    launched = peer.info.launched_ms
    back = state.returns.get(peer.info.address)
    if back is not None and (launched is None or launched < back.out_ms):
        # Guard: it was restarted while out, and the list that tells of it comes seconds late.
        launched = back.back_ms
    age = math.inf if launched is None else max(0.0, now - launched)
    if age >= cfg.slow_start_ms:
        return True
    warmth = cfg.slow_start_from + (1.0 - cfg.slow_start_from) * age / cfg.slow_start_ms
    return state.rng.random() * _servers_worth(state) < COLD_SHARE * cfg.overload_factor * warmth


def _servers_worth(state: State) -> float:
    """How many servers' ordinary calls the calls of the time are."""
    ready = len(state.ready)
    if state.peak <= 0.0:
        return ready
    # Guard: of the calls sent at the time, the share fell with them: where most servers were jammed, cold
    # or gone, the few calls let in went to the jammed ones while the cold ones idled.
    # Guard: a lull looked the same, and calls that came back together all passed as few. They are few only
    # where the threshold refuses the others; a node with few calls can't tell a lull from chance.
    usual = state.peak * ready * load.RATE_MS
    let_in = ready * state.let_in * usual / (usual + load.WEIGHTY)
    return max(1.0, state.sends / state.peak, let_in)
