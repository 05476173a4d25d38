"""Hearing: what a fleet of cores finds on a simulated network, and what a single one makes of bad input."""

from __future__ import annotations

import pickle
import random
from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidledge.members import (
    VERDICTS,
    Ask,
    AskThrough,
    Changed,
    Config,
    Heard,
    Hearing,
    Lease,
    Reply,
    Sibling,
    Stand,
    Standing,
    Verdict,
    stand,
    verdict,
)
from orchidledge.members.payload import (
    PAYLOAD_MOST,
    STATEMENTS_MOST,
    Found,
    Message,
    Rumour,
    Statement,
    Told,
    read,
    write,
)
from tests.hearing_sim import Gone, World

HOSTILE = {"delay": (20.0, 200.0), "loss": 0.02}
MINUTE = 60_000.0


def all_have(world: World, target: int, state: Heard) -> bool:
    return all(seen is state for seen in world.seen(target).values())


def core(siblings: int = 3, **config: float) -> Hearing:
    """Node 1 of a fleet, its siblings 2 and up known at time 0."""
    hearing = Hearing(1, random.Random(1), Config(**config))  # type: ignore[arg-type]
    hearing.know(0.0, [Sibling(number, f"n{number}", f"at-{number}") for number in range(1, siblings + 2)])
    return hearing


def first_ask(hearing: Hearing, now: float = 0.0) -> Ask:
    (ask,) = [action for action in hearing.tick(now) if isinstance(action, Ask)]
    return ask


# ------------------------------------------------------------------ a fleet


def test_no_live_node_goes_unheard_by_loss_slow_links_and_short_stops() -> None:
    world = World(12, seed=4, **HOSTILE)
    for number, every in ((3, 600.0), (4, 700.0), (5, 1300.0)):
        world.stop_every(number, every, lasts=300.0)
    world.run(5 * MINUTE)
    assert world.turned(Heard.SUSPECT), "no suspicion arose, so nothing was refuted"
    assert world.turned(Heard.UNHEARD) == []


def test_without_time_to_refute_the_same_faults_do_end_in_false_verdicts() -> None:
    world = World(12, seed=4, config=Config(suspicion_least_ms=1, suspicion_most_ms=1), **HOSTILE)
    for number in (3, 4, 5):
        world.stop_every(number, 600.0, lasts=300.0)
    world.run(2 * MINUTE)
    assert world.turned(Heard.UNHEARD)


@pytest.mark.parametrize(
    ("gone", "within"), [(Gone.REFUSED, 1500.0), (Gone.RESET, 3000.0), (Gone.SILENT, 4000.0)]
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_killed_node_is_unheard_at_all_others(seed: int, gone: Gone, within: float) -> None:
    world = World(20, seed)
    world.run(3000)
    world.kill(7, gone)
    assert world.run_until(lambda: all_have(world, 7, Heard.UNHEARD), most=within) < within
    assert {of for _, _, of in world.turned(Heard.UNHEARD)} == {7}


@pytest.mark.parametrize("one_way", [False, True])
def test_a_link_that_others_bridge_is_told_from_a_failure(one_way: bool) -> None:
    world = World(10, seed=2, **HOSTILE)
    world.cut = {(3, 7)} if one_way else {(3, 7), (7, 3)}
    ends = world.nodes[3].hearing, world.nodes[7].hearing
    bridged = lambda: (ends[0].states()[7], ends[1].states()[3]) == (Heard.BRIDGED, Heard.BRIDGED)  # noqa: E731
    assert world.run_until(bridged, most=10_000) < 10_000
    world.run(20_000)
    assert bridged()
    assert {(who, of) for _, who, of in world.turned(Heard.BRIDGED)} == {(3, 7), (7, 3)}
    assert world.turned(Heard.UNHEARD) == []
    world.cut.clear()
    heard = lambda: (ends[0].states()[7], ends[1].states()[3]) == (Heard.HEARD, Heard.HEARD)  # noqa: E731
    assert world.run_until(heard, most=5000) < 5000


def test_halves_lose_each_other_and_nobody_else_and_find_each_other_again() -> None:
    world = World(10, seed=3, **HOSTILE)
    world.run(2000)
    left, right = range(1, 6), range(6, 11)
    world.cut_between(left, right)
    world.run(30_000)
    for one, other in product(world.nodes, world.nodes):
        if one != other:
            parted = (one in left) != (other in left)
            assert world.nodes[one].hearing.states()[other] is (Heard.UNHEARD if parted else Heard.HEARD)
    world.cut.clear()
    healed = lambda: all(all_have(world, number, Heard.HEARD) for number in world.nodes)  # noqa: E731
    assert world.run_until(healed, most=10_000) < 10_000


def test_a_node_stopped_for_long_accuses_nobody_for_it_and_is_heard_again() -> None:
    world = World(8, seed=5)
    world.run(2000)
    world.stop(2, lasts=8000)
    world.run(7990)
    assert all_have(world, 2, Heard.UNHEARD)
    assert world.run_until(lambda: all_have(world, 2, Heard.HEARD), most=3000) < 3000
    world.run(10_000)
    assert [change for _, who, change in world.changes if who == 2] == []
    assert world.nodes[2].hearing.counts["refuted"] == 1


def test_calls_of_a_node_do_not_grow_with_the_fleet() -> None:
    rates = []
    for size in (10, 60):
        world = World(size, seed=1)
        world.run(5000)
        rates.append(sum(node.sent for node in world.nodes.values()) / size / 5)
    assert rates[1] == pytest.approx(rates[0], rel=0.02)


def test_nodes_that_are_known_to_be_gone_cost_no_calls_through_others() -> None:
    world = World(9, seed=1)
    for number in (2, 4, 6):
        world.kill(number, Gone.SILENT)
    world.run(10_000)
    before = world.nodes[1].sent
    world.run(10_000)
    assert 95 <= world.nodes[1].sent - before <= 101


def test_standings_and_views_reach_the_whole_fleet() -> None:
    world = World(20, seed=6, **HOSTILE)
    for number, node in world.nodes.items():
        node.hearing.stand(world.clock(node), Standing.HOLDING, 5000.0 + number)
        node.hearing.show(bytes([number]))
    world.run(4000)
    whole = {number: (Standing.HOLDING, 5000.0 + number) for number in world.nodes}
    assert all(node.hearing.standings() == whole for node in world.nodes.values())
    for node in world.nodes.values():
        assert {view.view[0] for view in node.viewed} == set(world.nodes) - {node.incarnation}
        for view in node.viewed:
            real = view.at - world.nodes[view.incarnation].skew + node.skew
            assert (view.sent if view.sent is not None else real) <= real <= view.now


def test_corrupt_payloads_raise_nothing_and_leave_nothing_behind() -> None:
    world = World(8, seed=7)
    rng = random.Random(8)
    for _ in range(400):
        world.run(50)
        sender, to = rng.sample(list(world.nodes.values()), 2)
        payload = bytearray(_accusing_all(sender.incarnation))
        for _ in range(rng.randint(1, 3)):
            payload[rng.randrange(len(payload))] = rng.randrange(256)
        to.hearing.asked(world.clock(to), bytes(payload))
    world.run(5000)
    assert all(all_have(world, number, Heard.HEARD) for number in world.nodes)
    assert sum(node.hearing.counts["malformed ask"] for node in world.nodes.values()) > 50
    assert all(len(pickle.dumps(node.hearing)) < 30_000 for node in world.nodes.values())


def _accusing_all(sender: int) -> bytes:
    rumours = tuple(Rumour(number, 0, Told.SUSPECT, (sender,)) for number in range(1, 9))
    return write(
        Message(sender, 0, 1.0, rumours=rumours, statements=(Statement(sender, Standing.HOLDING, 9.0),))
    )


# ------------------------------------------------------------------ one node


def answer(hearing: Hearing, *rumours: Rumour, sender: int = 2, now: float = 0.0) -> Message:
    payload, _ = hearing.asked(now, write(Message(sender, 0, 0.0, rumours=rumours)))
    assert payload is not None
    message = read(payload)
    assert message is not None
    return message


def test_a_count_rises_past_an_accusation_and_by_nothing_else() -> None:
    hearing = core()
    assert answer(hearing, Rumour(1, 0, Told.SUSPECT, (2,))).count == 1
    assert answer(hearing, Rumour(1, 0, Told.UNHEARD)).count == 1  # already refuted
    assert answer(hearing, Rumour(1, 5, Told.HEARD)).count == 1
    assert answer(hearing, Rumour(1, 2000, Told.UNHEARD)).count == 1  # absurd
    assert answer(hearing, Rumour(1, 9, Told.SUSPECT), sender=77).count == 1  # no such sibling
    assert answer(hearing, Rumour(1, 7, Told.UNHEARD)).count == 8
    assert hearing.counts["absurd count"] == 1


def test_a_leap_of_a_count_is_taken_from_the_sibling_itself_only() -> None:
    hearing = core(siblings=1)
    answer(hearing, Rumour(2, 5000, Told.UNHEARD))
    assert hearing.states()[2] is Heard.HEARD
    ask = first_ask(hearing)
    hearing.answered(1.0, ask.id, write(Message(2, 4999, 0.0)))
    answer(hearing, Rumour(2, 5000, Told.UNHEARD))
    assert hearing.states()[2] is Heard.UNHEARD


def test_a_suspicion_does_not_run_out_while_this_node_does_not_run() -> None:
    hearing = core()
    hearing.tick(0.0)
    answer(hearing, Rumour(3, 0, Told.REFUSED, (2,)))
    hearing.tick(5000.0)
    assert hearing.states()[3] is Heard.SUSPECT
    answer(hearing, Rumour(3, 0, Told.REFUSED, (2, 4)), now=5001.0)
    hearing.tick(5100.0)
    answer(hearing, Rumour(3, 1, Told.HEARD), now=5110.0)
    assert hearing.states()[3] is Heard.HEARD


def test_a_round_asks_each_sibling_once_in_an_order_of_its_own() -> None:
    hearing = core(siblings=9)
    asked = []
    for period in range(27):
        ask = first_ask(hearing, 100.0 * period)
        asked.append(ask.target)
        hearing.answered(100.0 * period + 1, ask.id, write(Message(ask.target, 0, 0.0)))
        hearing.tick(100.0 * period + 50)
    rounds = asked[:9], asked[9:18], asked[18:]
    assert [sorted(order) for order in rounds] == [list(range(2, 11))] * 3
    assert rounds[1] != rounds[2]


def test_the_accused_is_told_first() -> None:
    hearing = core(siblings=40, rumours=2)
    for number in range(3, 30):
        answer(hearing, Rumour(number, 1, Told.HEARD))
    answer(hearing, Rumour(30, 4, Told.SUSPECT, (2,)))
    assert answer(hearing, sender=30).rumours[0] == Rumour(30, 4, Told.SUSPECT, (2,))


def test_a_refusal_confirmed_by_a_helper_leaves_a_short_time_and_silence_a_long_one() -> None:
    for refused, lasts in ((True, 300.0), (False, 1000.0)):
        hearing = core(siblings=4)
        ask = first_ask(hearing)
        through = hearing.failed(1.0, ask.id, refused)
        assert len([action for action in through if isinstance(action, AskThrough)]) == 3
        found = Found.REFUSED if refused else Found.SILENT
        changes = []
        for action in through:
            assert isinstance(action, AskThrough)
            reply = write(Message(action.helper, 0, 0.0, found=found))
            changes += hearing.answered(2.0, action.id, reply)
        assert changes == [Changed(ask.target, Heard.HEARD, Heard.SUSPECT)]
        ended = []
        for now in range(50, 1100, 50):
            hearing.tick(float(now))
            ended += [now] if hearing.states()[ask.target] is Heard.UNHEARD else []
        assert ended[0] - lasts == pytest.approx(2.0, abs=50)


def test_an_answer_by_another_process_at_the_address_is_a_refusal() -> None:
    hearing = core(siblings=1)
    ask = first_ask(hearing)
    hearing.answered(1.0, ask.id, write(Message(99, 0, 0.0)))
    hearing.tick(50.0)
    assert hearing.states()[2] is Heard.SUSPECT
    for now in range(100, 400, 50):
        hearing.tick(float(now))
    assert hearing.states()[2] is Heard.UNHEARD


def test_what_failed_while_this_node_did_not_run_is_no_evidence() -> None:
    hearing = core()
    ask = first_ask(hearing)
    call = write(Message(2, 0, 0.0, target=3))
    (duty,) = hearing.asked_for(10.0, 5, call)
    assert isinstance(duty, Ask)
    assert hearing.failed(400.0, ask.id, refused=False) == []  # no tick for 400 ms
    (reply,) = hearing.failed(400.0, duty.id, refused=False)
    assert isinstance(reply, Reply)
    assert reply.payload is not None
    assert (read(reply.payload) or Message(0, 0, 0)).found is Found.NOTHING
    assert hearing.health == 1


def test_rows_that_are_gone_are_forgotten_and_an_own_incarnation_only_rises() -> None:
    hearing = core()
    hearing.stand(0.0, Standing.ATTACHED, 1000.0)
    said = tuple(Statement(number, Standing.HOLDING, 900.0) for number in (2, 3, 9))
    hearing.asked(0.0, write(Message(2, 0, 0.0, statements=said)))
    assert sorted(hearing.standings()) == [1, 2, 3]
    hearing.know(1.0, [Sibling(1, "n1", "at-1"), Sibling(3, "n3", "at-3")])
    assert sorted(hearing.standings()) == [1, 3]
    hearing.enrolled(8)
    hearing.enrolled(4)
    assert (hearing.incarnation, sorted(hearing.standings())) == (8, [3])


def test_statements_from_the_future_of_this_node_or_before_its_time_is_known_are_not_taken() -> None:
    hearing = core()
    said = (
        Statement(1, Standing.YIELDED, 9e5),
        Statement(2, Standing.HOLDING, 9e5),
        Statement(3, Standing.HOLDING, 5e3),
    )
    hearing.asked(0.0, write(Message(2, 0, 0.0, statements=said)))
    assert hearing.standings() == {}
    hearing.stand(0.0, Standing.ATTACHED, 5000.0)
    hearing.asked(1.0, write(Message(2, 0, 0.0, statements=said)))
    assert hearing.standings() == {1: (Standing.ATTACHED, 5000.0), 3: (Standing.HOLDING, 5000.0)}


def test_a_payload_of_a_vast_fleet_is_bounded() -> None:
    hearing = core(siblings=3000)
    hearing.stand(0.0, Standing.ATTACHED, 1.7e12)
    hearing.show(b"v" * 20_000)
    hearing.show(b"v" * 16_000)
    for start in range(2, 3002, 500):
        said = tuple(Statement(number, Standing.HOLDING, 1.7e12) for number in range(start, start + 500))
        rumours = tuple(Rumour(number, 1, Told.SUSPECT, (2, 3, 4)) for number in range(start, start + 60))
        hearing.asked(0.0, write(Message(2, 0, 0.0, statements=said, rumours=rumours)))
    payload, _ = hearing.asked(0.0, write(Message(2, 0, 0.0)))
    assert payload is not None
    message = read(payload)
    assert message is not None
    assert len(message.statements) == STATEMENTS_MOST
    assert len(payload) < PAYLOAD_MOST / 2
    assert hearing.counts["own view too large"] == 1


def test_calls_that_are_never_ended_or_come_too_many_take_no_more_room() -> None:
    hearing = core(duties=4)
    call = write(Message(2, 0, 0.0, target=3))
    taken = [hearing.asked_for(0.0, number, call)[0] for number in range(6)]
    assert [type(action) for action in taken] == [Ask] * 4 + [Reply] * 2
    for now in range(0, 60_000, 50):
        hearing.tick(float(now))
    assert hearing.counts["ask never ended"] > 4
    assert isinstance(hearing.asked_for(60_000.0, 9, call)[0], Ask)
    assert len(pickle.dumps(hearing)) < 10_000


_small = st.integers(0, 6)
_rumours = st.builds(Rumour, _small, st.integers(0, 3), st.sampled_from(Told), st.tuples(_small, _small))


@given(st.lists(_rumours, max_size=12), st.randoms(use_true_random=False))
def test_rumours_end_the_same_in_any_order(rumours: list[Rumour], rng: random.Random) -> None:
    def merged(order: list[Rumour]) -> tuple[dict[int, Heard], set[tuple[int, int, Told]]]:
        hearing = core(siblings=6)
        answer(hearing, *order)
        return hearing.states(), {(r.incarnation, r.count, r.told) for r in answer(hearing).rumours}

    shuffled = list(rumours)
    rng.shuffle(shuffled)
    assert merged(rumours) == merged(shuffled)


_any = st.recursive(
    st.none() | st.integers(-(1 << 63), 1 << 63) | st.floats() | st.binary(max_size=9) | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=9),
    max_leaves=30,
)
_whole = st.builds(
    Message,
    st.integers(0, 9),
    st.integers(0, 1 << 40),
    st.floats(-1e15, 1e15),
    st.integers(0, 9),
    st.sampled_from(Found),
    st.lists(
        st.builds(Rumour, st.integers(0, 9), st.integers(0, 1 << 40), st.sampled_from(Told)), max_size=9
    ),
    st.lists(
        st.builds(Statement, st.integers(0, 9), st.sampled_from(Standing), st.floats(0, 1e15)), max_size=9
    ),
    st.binary(max_size=9),
)


@settings(max_examples=100)
@given(st.lists(st.binary(max_size=60) | _any.map(write) | _whole.map(write), min_size=1, max_size=6))
def test_nothing_that_a_sibling_sends_raises_or_adds_rows(payloads: list[bytes]) -> None:
    hearing = core()
    hearing.stand(0.0, Standing.ATTACHED, 1000.0)
    for now, payload in enumerate(payloads):
        reply, _ = hearing.asked(float(now), payload)
        assert (reply is None) == (read(payload) is None)
        hearing.asked_for(float(now), now, payload)
        for action in hearing.tick(float(now)):
            if isinstance(action, Ask):
                hearing.answered(float(now), action.id, payload)
        own = read(hearing.asked(float(now), write(Message(2, 0, 0.0)))[0] or b"")
        assert own is not None, "a node's own payload can't be read"
    assert set(hearing.states()) == {2, 3, 4}
    assert set(hearing.standings()) <= {1, 2, 3, 4}
    assert hearing.standings()[1] == (Standing.ATTACHED, 1000.0)


# ------------------------------------------------------------------ verdicts


def test_the_verdict_is_defined_for_every_pair_and_a_sibling_that_answers_never_fails() -> None:
    assert set(VERDICTS) == set(product(Lease, Heard))
    assert {found for (_, heard), found in VERDICTS.items() if heard is Heard.UNHEARD} == {Verdict.FAILED}
    assert {found for (_, heard), found in VERDICTS.items() if heard is Heard.HEARD} == {Verdict.PRESENT}
    assert [pair for pair, found in VERDICTS.items() if found is Verdict.PARTED] == [
        (Lease.LIVE, Heard.BRIDGED)
    ]
    assert verdict(Lease.LAPSED, Heard.SUSPECT) is Verdict.FAILED
    assert verdict(Lease.LAPSED, Heard.SUSPECT, leaving=True) is Verdict.LEAVING
    assert verdict(Lease.LIVE, Heard.UNHEARD, leaving=True) is Verdict.FAILED


@pytest.mark.parametrize(
    ("renewed", "heard", "expected"),
    [
        (8501.0, None, Stand.ATTACHED),
        (8500.0, 9001.0, Stand.ADRIFT),
        (None, 9000.0, Stand.ALONE),
        (None, None, Stand.ALONE),
    ],
)
def test_a_node_knows_its_own_stand(renewed: float | None, heard: float | None, expected: Stand) -> None:
    assert stand(10_000.0, 3000.0, renewed, heard, heard_ms=1000.0) is expected


@pytest.mark.parametrize(
    "bad",
    [
        {"period_ms": 0},
        {"ask_timeout_ms": float("nan")},
        {"suspicion_most_ms": 1},
        {"helpers": 8},
        {"rumours": 0},
    ],
)
def test_settings_that_cannot_work_are_refused(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=r"range|hearing|suspicion"):
        Config(**bad)  # type: ignore[arg-type]
