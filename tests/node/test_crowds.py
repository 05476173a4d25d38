"""Crowds of clients at a node process: its memory stays within its limit, and a steady client is served."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.crowds.cell import Cell, measure, measure_plans
from bench.crowds.forms import Form, Plan, State

LEAST_MEMORY_MB = 32  # that the deployment's terms allow
CLIENTS = 330  # a third of 1,024 descriptors
SECONDS = 2.5
LONGEST_WAIT_S = 0.5  # from a request's time to its final response at the latest


@pytest.mark.parametrize("form", list(Form))
def test_unfinished_requests_stay_within_least_memory(form: Form, tmp_path: Path) -> None:
    cell = Cell(form, State.UNFINISHED, False, CLIENTS, LEAST_MEMORY_MB, seconds=SECONDS)
    result = measure(cell, tmp_path)
    assert result.alive
    assert result.peak_mb <= LEAST_MEMORY_MB, result


@pytest.mark.parametrize("state", list(State)[1:])
def test_crowd_stays_within_least_memory(state: State, tmp_path: Path) -> None:
    cell = Cell(Form.FIXED_BODY, state, False, CLIENTS, LEAST_MEMORY_MB, seconds=SECONDS)
    result = measure(cell, tmp_path)
    assert result.alive
    assert result.peak_mb <= LEAST_MEMORY_MB, result


def test_rejected_requests_stay_within_a_small_memory_beside_the_program(tmp_path: Path) -> None:
    """The program itself takes up to 4 MB more on other platforms, so 4 MB less are left to its clients."""
    cell = Cell(Form.FIXED_BODY, State.REJECTED, True, 900, LEAST_MEMORY_MB - 4, seconds=SECONDS)
    result = measure(cell, tmp_path)
    assert result.alive
    assert result.peak_mb <= cell.memory_mb, result


SMALL_REQUESTS = {
    "unknown path": b"GET / HTTP/1.1\r\n\r\n",
    "new id and owner each": b"".join(
        b"GET /read/x HTTP/1.1\r\nReq-Id: n%x\r\nReq-Owner: o%x\r\n\r\n" % (index, index)
        for index in range(2000)
    ),
    "empty lines": b"\r\n",
}


@pytest.mark.parametrize("name", SMALL_REQUESTS)
def test_client_that_sends_small_requests_at_full_speed_does_not_delay_others(
    name: str, tmp_path: Path
) -> None:
    data = SMALL_REQUESTS[name]
    repeated = data * (4_000_000 // len(data))
    cell = Cell(Form.HEAD, State.REJECTED, False, 1, 64, seconds=SECONDS)
    result = measure_plans([Plan(repeated, repeated)], cell, tmp_path)
    assert result.alive
    assert result.longest_wait_s <= LONGEST_WAIT_S, result
    assert result.unanswered == 0, result
    assert result.peak_mb <= cell.memory_mb, result


@pytest.mark.parametrize("form", [Form.TRAILER, Form.CHUNKED_BODY])
def test_client_that_sends_tiny_pieces_in_one_request_does_not_delay_others(
    form: Form, tmp_path: Path
) -> None:
    head = b"POST /post/x HTTP/1.1\r\nReq-Id: t1\r\nTransfer-Encoding: chunked\r\n\r\n"
    piece = b"1\r\nx\r\n" if form is Form.CHUNKED_BODY else b"a:\r\n"
    start = head if form is Form.CHUNKED_BODY else head + b"1\r\nx\r\n0\r\n"
    cell = Cell(form, State.UNFINISHED, False, 1, 64, seconds=SECONDS)
    result = measure_plans([Plan(start + piece * 500_000, piece * 500_000)], cell, tmp_path)
    assert result.longest_wait_s <= LONGEST_WAIT_S, result
    assert result.peak_mb <= cell.memory_mb, result


def test_servers_that_respond_in_tiny_chunks_do_not_delay_others(tmp_path: Path) -> None:
    cell = Cell(Form.HEAD, State.STREAMING, False, 40, 64, seconds=SECONDS)
    request = b"POST /post/chunks HTTP/1.1\r\nReq-Id: c%d\r\nContent-Length: 0\r\n\r\n"
    plans = [Plan(request % index) for index in range(cell.clients)]
    result = measure_plans(plans, cell, tmp_path)
    assert result.longest_wait_s <= LONGEST_WAIT_S, result
    assert result.peak_mb <= cell.memory_mb, result
