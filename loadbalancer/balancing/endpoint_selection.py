"""Where an admitted call goes: the best-ranked ready server within its share, cold ones paced."""

from __future__ import annotations

import math

from loadbalancer.balancing import cursor_table as table
from loadbalancer.balancing import fleet_control as fleet
from loadbalancer.balancing import load_estimate as load
from loadbalancer.balancing.state import BalancerState, EndpointState, PendingRequest
from loadbalancer.service_settings import DeduplicationScope, Effect, ServiceClass

LATENCY_DECAY_MS = 8000.0  # an unheard server drifts back to the mean at this pace
QUEUE_DECAY_MS = 500.0  # a reported queue is believed for about this long
RANK_JITTER_RATIO = 0.1  # width of the draw that parts equal ranks
CROSS_ZONE_FACTOR = 64.0  # calls in the queue that a crossing of zones counts as, per unit of its price
ENDPOINT_QUOTA_FACTOR = (
    1.25  # of its share of T1: what a server may hold from here, as calls and servers differ
)
RETRY_MARGIN_MS = 10.0  # before a key may be forgotten: what the bytes of a repeat need to arrive
SLOW_START_RATIO = 0.4  # of the overload factor: what a cold server may get of its present capacity


def select_endpoint(state: BalancerState, now: float, job: PendingRequest) -> EndpointState | None:
    """The server for the next attempt; None where none may take it."""
    open_to = _candidates(state, now, job)
    if state.confidence:
        open_to = fleet.usable_endpoints(state, open_to)
    tries = (_best_ranked(state, now, group) for group in fleet.split_by_route(state, job, open_to))
    return next((peer for peer in tries if peer is not None), None)


def _best_ranked(state: BalancerState, now: float, open_to: list[EndpointState]) -> EndpointState | None:
    """The best-ranked of these servers that may take one more call."""
    # Guard: many balancers that each put a second or third call on the server ranked best held more there
    # together than it bears. One that has nothing out may always find out, each at another server.
    share = ENDPOINT_QUOTA_FACTOR * table.first_entry(state, len(state.ready)) / max(1, len(state.ready))
    within = [peer for peer in open_to if peer.total_in_flight + 1.0 <= share + peer.rounding_offset]
    if not within and not any([peer.total_in_flight for peer in state.ready]):
        by_part = sorted(open_to, key=lambda peer: -peer.rounding_offset)
        return next((peer for peer in by_part if slow_start_admits(state, now, peer)), None)
    best, best_rank = None, math.inf
    for peer in within:
        back = state.restored.get(peer.endpoint.name)
        # Guard: a node with few calls sends them to the few servers ranked best, and one brought back
        # stayed unused. Its first call goes before all others, paced as any to a cold server.
        rank = 0.0 if back is not None and not back.attempted else _rank(state, now, peer)
        if rank < best_rank and slow_start_admits(state, now, peer):
            best, best_rank = peer, rank
    return best


def _candidates(state: BalancerState, now: float, job: PendingRequest) -> list[EndpointState]:
    """The ready servers at which another attempt cannot have a second effect."""
    ran, effect = job.possibly_executed(), job.service_class.effect
    if now >= retry_deadline_ms(job) or (ran and effect is Effect.NON_IDEMPOTENT):
        return []
    bound = (
        _deduplication_group(job.service_class, ran[0].endpoint)
        if ran and effect is Effect.IDEMPOTENCY_KEY
        else None
    )
    tried = [item.endpoint for item in job.attempts]
    return [
        peer
        for peer in state.ready
        if peer not in tried and (bound is None or bound == _deduplication_group(job.service_class, peer))
    ]


def retry_deadline_ms(job: PendingRequest) -> float:
    """Until when another attempt may be written: at any time, unless the key of one that may have run is
    forgotten some day."""
    ran = job.possibly_executed()
    if not ran or job.service_class.effect is not Effect.IDEMPOTENCY_KEY:
        return math.inf
    return ran[0].sent_ms + job.service_class.deduplication_window_ms - RETRY_MARGIN_MS


def _deduplication_group(kind: ServiceClass, peer: EndpointState) -> tuple[str, int]:
    """The servers among which a repeat of this keyed class is dropped."""
    zone = "" if kind.deduplication_scope is DeduplicationScope.ALL else peer.endpoint.zone
    return zone, peer.endpoint.cell if kind.deduplication_scope is DeduplicationScope.CELL else 0


def _rank(state: BalancerState, now: float, peer: EndpointState) -> float:
    """Smoothed latency x (queue + 1); a silent server drifts to the mean of the others, which is 1."""
    slow = 1.0
    if peer.latency_ratio is not None:
        slow += (
            (peer.latency_ratio - 1.0)
            * math.exp((peer.last_outcome_ms - now) / LATENCY_DECAY_MS)
            * fleet.confidence_ratio(state, peer)
        )
    if peer.attempts_sent_ms:
        # Guard: a server that hangs shows in its oldest unanswered attempt long before a time-out.
        (name, _), sent_ms = next(iter(peer.attempts_sent_ms.items()))
        mean = (
            state.class_latency_ms.get(state.pending[name].service_class.name)
            if peer.last_outcome_ms <= sent_ms
            else None
        )
        slow = max(slow, (now - sent_ms) / mean) if mean else slow
    failing = 1.0 - min(0.9, peer.error_rate)
    queue = (
        peer.reported_queue * math.exp((peer.reported_at_ms - now) / QUEUE_DECAY_MS)
        if peer.reported_queue
        else 0.0
    )
    far = (
        CROSS_ZONE_FACTOR * state.settings.cross_zone_price
        if peer.endpoint.zone != state.settings.zone
        else 0.0
    )
    return (
        slow
        * (peer.total_in_flight + queue + 1.0 + far)
        / failing
        * (1.0 + RANK_JITTER_RATIO * (state.rng.random() - 0.5))
    )


def slow_start_admits(state: BalancerState, now: float, peer: EndpointState) -> bool:
    """Guard: all balancers together must not push a cold server over. A call may go to it with the chance
    of its present share (from `cold_from`, even over `cold_ms`) of a server's ordinary calls: a draw for
    each call, not a count, so that the sum keeps to the share however many balancers there are."""
    cfg = state.settings
    launched = peer.endpoint.launched_ms
    back = state.restored.get(peer.endpoint.name)
    if back is not None and (launched is None or launched < back.ejected_ms):
        # Guard: it was restarted while out, and the list that tells of it comes seconds late.
        launched = back.restored_ms
    age = math.inf if launched is None else max(0.0, now - launched)
    if age >= cfg.slow_start_ms:
        return True
    warmth = cfg.slow_start_from + (1.0 - cfg.slow_start_from) * age / cfg.slow_start_ms
    return state.rng.random() * _traffic_in_endpoints(state) < SLOW_START_RATIO * cfg.overload_factor * warmth


def _traffic_in_endpoints(state: BalancerState) -> float:
    """How many servers' ordinary calls the calls of the time are."""
    ready = len(state.ready)
    if state.peak_completion_rate <= 0.0:
        return ready
    # Guard: of the calls sent at the time, the share fell with them: where most servers were jammed, cold
    # or gone, the few calls let in went to the jammed ones while the cold ones idled.
    # Guard: a lull looked the same, and calls that came back together all passed as few. They are few only
    # where the threshold refuses the others; a node with few calls can't tell a lull from chance.
    usual = state.peak_completion_rate * ready * load.RATE_SMOOTHING_MS
    let_in = ready * state.admitted_ratio * usual / (usual + load.HALF_WEIGHT_COUNT)
    return max(1.0, state.send_rate / state.peak_completion_rate, let_in)
