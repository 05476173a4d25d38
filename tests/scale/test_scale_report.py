"""Tables of docs/CAPACITY.md (bench/scale), generated from few or many records, and the committed page."""

from __future__ import annotations

import itertools
import math
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from bench.scale import records, tables
from bench.scale.chains import MAX_RETRY_MULTIPLICATION
from bench.scale.fits import Point, fit
from bench.scale.layout import read_layout
from bench.scale.markdown import number
from bench.scale.platform import read_size
from bench.scale.records import Figure, Load, Program, Record, Role, Value
from bench.scale.report import PAGE, app, filled, sources
from bench.scale.sources import Sources
from bench.scale.verdicts import Judged, Verdict

FULL = 1400


def record(kind: str, figures: list[Figure], started: str = "2026-12-02T05:00:00", **more: object) -> Record:
    quiet, program = Load(1.0, 1.0, 1.0), Program("0123456789abcdef", False)
    fields = {"factor": 0.0, "seed": 1, "options": {}} | more
    return Record(
        form=records.FORM,
        kind=kind,
        program=program,
        bench=program,
        started=started,
        seconds=10.0,
        cores=8,
        load_before=quiet,
        load_after=quiet,
        figures=figures,
        **fields,  # type: ignore[arg-type]
    )


def control(nodes: int, scoped: bool = True, phase: str = "steady", **figures: Value) -> Record:
    """Return a control record of a run with `nodes` nodes; figures are named ROLE__NAME."""
    run_figures = [
        Figure("platform", "nodes", nodes),
        Figure("platform", "scoped_by_service", scoped),
    ]
    for key, value in figures.items():
        role, _, name = key.partition("__")
        run_figures.append(Figure(msgspec.convert(role, Role), name, value, phase=phase))
    period_ms = read_layout().probe_period_ms.get("service" if scoped else "all")
    return record("control", run_figures, factor=nodes / FULL, options={"probe_period_ms": period_ms})


def sources_of(*committed: Record) -> Sources:
    return Sources(read_layout(), read_size(), list(committed))


def judged(sources: Sources, table: str, figure: str, phase: str = "steady") -> Judged:
    [selected] = [
        judgement
        for judgement in sources.judged()
        if (judgement.table.name, judgement.row.figure, judgement.phase.name) == (table, figure, phase)
    ]
    return selected


def row(text: str, *words: str) -> list[str]:
    """Return the cells of the only line with all these words."""
    [line] = [line for line in text.splitlines() if all(word in line for word in words)]
    return [cell.strip() for cell in line.strip("|").split("|")]


# ----------------------------------------------------------------------------- the page


def test_page_matches_records() -> None:
    page = PAGE.read_text()
    assert filled(page, sources()) == page, "run python -m bench.scale report --write"


def page_in(folder: Path, records_folder: Path) -> list[str]:
    page = folder / "CAPACITY.md"
    page.write_text(PAGE.read_text())
    return ["--page", str(page), "--folder", str(records_folder)]


def test_check_fails_after_manual_edit_and_write_restores_page(tmp_path: Path) -> None:
    folder = tmp_path / "records"
    records.append(control(FULL, node__cpu_percent_max=0.512), folder)
    arguments = page_in(tmp_path, folder)
    run = CliRunner()
    assert run.invoke(app, ["--write", *arguments]).exit_code == 0
    assert run.invoke(app, ["--check", *arguments]).exit_code == 0
    page = tmp_path / "CAPACITY.md"
    assert "1,400: 0.512" in page.read_text()
    page.write_text(page.read_text().replace("1,400: 0.512", "1,400: 0.211"))
    checked = run.invoke(app, ["--check", *arguments])
    assert checked.exit_code == 1
    assert "0.211" in checked.output


def test_page_with_missing_or_unknown_table_is_rejected() -> None:
    page = PAGE.read_text()
    with pytest.raises(ValueError, match="lacks the tables chains"):
        filled(page.replace("<!-- table: chains -->", ""), sources())
    with pytest.raises(ValueError, match="no table is named 'chain'"):
        filled(page + "\n<!-- table: chain -->\n<!-- end -->\n", sources())


def test_every_table_renders_without_records() -> None:
    nothing = sources_of()
    for name in tables.names(nothing):
        assert tables.render(nothing, name)
    assert "not run" in tables.render(nothing, "node-control")
    assert "No bound was found broken" in tables.render(nothing, "missing")


# ------------------------------------------------------------------------------- slopes


def test_single_size_is_shown_without_slope() -> None:
    sources = sources_of(control(350, node__cpu_percent_max=0.5))
    cells = row(tables.render(sources, "node-control"), "CPU", "ordinary")
    assert "350: 0.5" in cells
    assert "one size, no slope" in cells
    assert judged(sources, "node-control", "cpu_percent_max").verdict is Verdict.NOT_RUN


def test_two_sizes_give_line_without_standard_error() -> None:
    sources = sources_of(control(350, node__cpu_percent_max=0.5), control(700, node__cpu_percent_max=0.75))
    line = judged(sources, "node-control", "cpu_percent_max").series.line
    assert line is not None
    assert line.at(1400.0).value == pytest.approx(1.25)
    assert line.at(1400.0).error is None
    judgement = judged(sources, "node-control", "cpu_percent_max")
    assert judgement.verdict is Verdict.MISSED
    assert judgement.origin == "worked out"
    assert "no, worked out" in row(tables.render(sources, "node-control"), "CPU", "ordinary")


def test_standard_errors_match_least_squares() -> None:
    line = fit([Point(1.0, 1.0), Point(2.0, 3.0), Point(3.0, 2.0), Point(4.0, 5.0)])
    assert line is not None
    assert line.slope.value == pytest.approx(1.1)
    assert line.intercept.value == pytest.approx(0.0)
    assert line.slope.error == pytest.approx(math.sqrt(2.7 / 2.0 / 5.0))
    assert line.intercept.error == pytest.approx(math.sqrt(1.35 * (1 / 4 + 2.5**2 / 5.0)))
    assert line.at(2.5).error == pytest.approx(math.sqrt(1.35 / 4))


def test_fit_has_the_same_bits_on_each_processor_and_in_each_order_of_points() -> None:
    """Regression: two figures of the page differed in their last digit on another processor."""
    points = [
        Point(350.0, 0.1),
        Point(350.0, 0.7),
        Point(1400.0, 2.3),
        Point(1400.0, 1e-9),
        Point(28.0, 1 / 3),
    ]
    expected = fit(points)
    assert expected is not None
    assert expected.slope.value.hex() == "0x1.53e0ff01dfaeap-11"
    assert expected.intercept.value.hex() == "0x1.d5808c4199c9cp-3"
    for order in itertools.permutations(points):
        assert fit(order) == expected


def test_newest_run_of_each_size_and_seed_is_used() -> None:
    old = msgspec.structs.replace(control(FULL, node__cpu_percent_max=9.0), started="2026-12-02T04:00:00")
    new = control(FULL, node__cpu_percent_max=0.5)
    other_seed = msgspec.structs.replace(control(FULL, node__cpu_percent_max=0.7), seed=2)
    series = judged(sources_of(old, new, other_seed), "node-control", "cpu_percent_max").series
    assert [sample.value for sample in series.samples] == [0.5, 0.7]


def test_runs_with_other_probe_period_are_ignored() -> None:
    trial = msgspec.structs.replace(
        control(FULL, node__cpu_percent_max=0.1), options={"probe_period_ms": 901.0}
    )
    assert judged(sources_of(trial), "node-control", "cpu_percent_max").series.samples == []


def test_figures_by_service_size_give_line() -> None:
    figures = {f"node__cpu_percent s-n{size} (service of {size})": size / 100.0 for size in (10, 50, 100)}
    sources = sources_of(control(FULL, **figures))
    line = judged(sources, "node-by-service", "cpu_percent").series.line
    assert line is not None
    assert line.at(7.0).value == pytest.approx(0.07)


# ------------------------------------------------------------------------------ verdicts


def test_bound_is_judged_by_value_measured_at_its_size() -> None:
    sources = sources_of(
        control(350, node__bytes_in_max=10_000.0),
        control(700, node__bytes_in_max=20_000.0),
        control(FULL, node__bytes_in_max=28_000.0),
    )
    assert judged(sources, "node-control", "bytes_in_max").verdict is Verdict.MET


def test_bound_exceeded_at_smaller_size_is_missed_and_met_there_is_not_run() -> None:
    sources = sources_of(control(350, node__cpu_percent_max=2.0, node__bytes_in_max=2.0))
    assert judged(sources, "node-control", "bytes_in_max").verdict is Verdict.NOT_RUN
    assert judged(sources, "node-control", "cpu_percent_max").verdict is Verdict.MISSED
    assert "no, at 350" in row(tables.render(sources, "node-control"), "CPU", "ordinary")
    assert "(at 350), bound 1: 2 times" in tables.render(sources, "missing")


def test_figure_not_reached_at_smaller_size_is_missed_despite_prediction() -> None:
    sizes = ((28, 1.0), (350, 2.0), (700, None))
    sources = sources_of(*(control(nodes, phase="enrolment", platform__all_enrolled=s) for nodes, s in sizes))
    assert judged(sources, "platform", "all_enrolled", "enrolment").verdict is Verdict.MISSED
    assert "not reached (at 700), bound 30" in tables.render(sources, "missing")


def test_bound_is_relaxed_in_first_seconds_after_zone_loss() -> None:
    lost = control(FULL, phase="zone_lost_first", node__cpu_percent_max=2.9)
    judgement = judged(sources_of(lost), "node-control", "cpu_percent_max", "zone_lost_first")
    assert (judgement.limit, judgement.verdict) == (3.0, Verdict.MET)


def test_prediction_off_by_over_a_quarter_is_flagged() -> None:
    sources = sources_of(
        control(350, leader__cpu_percent_max=10.0, leader__bytes_in_max=100.0),
        control(700, leader__cpu_percent_max=20.0, leader__bytes_in_max=200.0),
        control(FULL, leader__cpu_percent_max=60.0, leader__bytes_in_max=410.0),
    )
    text = tables.render(sources, "predictions")
    assert row(text, "list-service-leader", "CPU", "ordinary")[-4:] == ["40", "60", "33%", "**yes**"]
    assert row(text, "list-service-leader", "bytes in", "ordinary")[-4:] == ["400", "410", "2%", "no"]


def test_missed_bounds_are_sorted_by_excess() -> None:
    sources = sources_of(
        control(
            FULL,
            node__cpu_percent_max=2.0,
            node__bytes_in_max=290_000.0,
            leader__cpu_percent_max=10.0,
            hollow__late=4,
        ),
        control(FULL, phase="enrolment", platform__all_enrolled=None),
    )
    lines = [line for line in tables.render(sources, "missing").splitlines() if line[:1].isdigit()]
    assert [line.split(". ")[0] for line in lines] == ["1", "2", "3", "4"]
    assert {"renewals late" in lines[0], "renewals late" in lines[1]} == {True, False}
    assert "not reached" in lines[0] + lines[1]
    assert "bytes in" in lines[2]
    assert "10 times" in lines[2]
    assert "2 times" in lines[3]


def test_miss_within_noise_is_undecided() -> None:
    def calls(noise: float) -> Record:
        return record(
            "datapath",
            [
                Figure("call", "added_pair_p99_ms", 2.2, "ms", "93/s"),
                Figure("call", "noise_pair_p99_ms", noise, "ms", "93/s"),
            ],
        )

    for noise, verdict in ((0.2, Verdict.MISSED), (0.9, Verdict.UNDECIDED)):
        sources = sources_of(calls(noise))
        assert judged(sources, "node-calls", "added_pair_p99_ms", "").verdict is verdict
        assert (verdict is Verdict.UNDECIDED) == ("undecided" in tables.render(sources, "missing"))


def test_counted_figure_shows_number_of_observations() -> None:
    figure = Figure("call", "added_undisturbed_p99_ms", 1.69, "ms", "93/s", 106)
    sources = sources_of(record("datapath", [figure]))
    assert "93: 1.69 (of 106)" in tables.render(sources, "node-calls")
    assert "(measured, of 106), bound 1.1" in tables.render(sources, "missing")


# -------------------------------------------------------------------------- other tables


def test_scopes_table_compares_one_group_with_groups_by_service() -> None:
    sources = sources_of(
        control(350, scoped=False, node__bytes_in_max=60_000.0), control(350, node__bytes_in_max=3_000.0)
    )
    cells = row(tables.render(sources, "scopes"), "node-control", "bytes in")
    assert cells[-4:] == ["350", "60,000", "3,000", "0.05"]
    assert judged(sources, "node-control", "bytes_in_max").series.points == [Point(350.0, 3_000.0)]


def test_chains_with_multiplied_retries_are_listed_as_missing() -> None:
    def chain(sends: float) -> Record:
        figure = Figure("chain", "worst_tier_sends_per_call_let_in", sends, phase="saturated, depth 8")
        return record("chains", [figure], options={"rate": 100.0, "attempts": 3})

    assert "3.9 sends to one tier" in tables.render(sources_of(chain(3.9)), "missing")
    assert "sends to one tier" not in tables.render(sources_of(chain(MAX_RETRY_MULTIPLICATION)), "missing")
    assert "saturated, depth 8" in tables.render(sources_of(chain(3.9)), "chains")


def test_control_machines_are_placed_in_zones_of_the_platform() -> None:
    size, layout = read_size(), read_layout()
    places = {(region.name, zone) for region in size.regions for zone in region.zones}
    assert len(layout.machines) == size.bounds.control_machines
    assert {(machine.region, machine.zone) for machine in layout.machines} == places
    cells = row(tables.render(sources_of(control(FULL, leader__cpu_percent_max=33.0)), "machines"), "leader")
    assert cells[:5] == ["control-1", "east", "east-1", "leader", "33"]


@pytest.mark.parametrize(
    ("value", "text"),
    [(0.0, "0"), (1400.0, "1,400"), (28_999.6, "29,000"), (99.96, "100"), (0.01234, "0.0123"), (2.0, "2")],
)
def test_numbers_have_three_significant_digits(value: float, text: str) -> None:
    assert number(value) == text
