"""`StreamProgress`: the silence after which the server of a streamed response counts as hanging."""

from __future__ import annotations

import pytest

from loadbalancer.node.listener.stream_progress import MAX_SILENCE_S, MIN_SILENCE_S, StreamProgress

START = 100.0


def progress_after(*pauses_s: float) -> tuple[StreamProgress, float]:
    """Return the progress of a stream with data after each pause, and the time of the last data."""
    progress, now = StreamProgress(START), START
    for pause_s in pauses_s:
        now += pause_s
        progress.on_data(now)
    return progress, now


@pytest.mark.parametrize(
    ("pauses_s", "silence_s"),
    [
        ((), MIN_SILENCE_S),
        ((0.0, 0.05, 0.1), MIN_SILENCE_S),
        ((0.4, 0.4), 0.8),
        ((0.1, 0.7, 0.1), 1.4),  # the longest pause counts, not the last
        ((0.9, 1.8), MAX_SILENCE_S),
        ((9.0,), MAX_SILENCE_S),
    ],
)
def test_server_counts_as_hanging_after_a_silence_longer_than_its_pauses(
    pauses_s: tuple[float, ...], silence_s: float
):
    progress, now = progress_after(*pauses_s)
    assert progress.hanging_at == pytest.approx(now + silence_s)


def test_pause_of_the_client_is_not_one_of_the_server():
    progress, now = progress_after(0.1)
    progress.on_client_ready(now + 5.0)
    assert progress.hanging_at == pytest.approx(now + 5.0 + MIN_SILENCE_S)
    progress.on_data(now + 5.3)
    assert progress.hanging_at == pytest.approx(now + 5.3 + 0.6)


def test_silence_stays_below_the_time_after_which_clients_give_up():
    """A client that gets nothing for 2 s has lost its request, so the node ends the response before."""
    assert MIN_SILENCE_S < MAX_SILENCE_S < 2.0
