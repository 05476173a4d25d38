"""The tables of docs/CAPACITY.md (bench/scale): from few records or many, and the page as they give it."""

from __future__ import annotations

import math
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from bench.scale import records, tables
from bench.scale.chains import MULTIPLIED
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
    given = {"factor": 0.0, "seed": 1, "options": {}} | more
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
        **given,  # type: ignore[arg-type]
    )


def control(nodes: int, scoped: bool = True, phase: str = "steady", **figures: Value) -> Record:
    """A run at so many nodes; figures as ROLE__NAME."""
    found = [
        Figure("platform", "nodes", nodes),
        Figure("platform", "scoped_by_service", scoped),
    ]
    for key, value in figures.items():
        role, _, name = key.partition("__")
        found.append(Figure(msgspec.convert(role, Role), name, value, phase=phase))
    period_ms = read_layout().probe_period_ms.get("service" if scoped else "all")
    return record("control", found, factor=nodes / FULL, options={"probe_period_ms": period_ms})


def made_from(*found: Record) -> Sources:
    return Sources(read_layout(), read_size(), list(found))


def judged(of: Sources, table: str, figure: str, phase: str = "steady") -> Judged:
    [found] = [
        one
        for one in of.judged()
        if (one.table.name, one.row.figure, one.phase.name) == (table, figure, phase)
    ]
    return found


def row(text: str, *words: str) -> list[str]:
    """The cells of the one line that has all these."""
    [line] = [line for line in text.splitlines() if all(word in line for word in words)]
    return [cell.strip() for cell in line.strip("|").split("|")]


# ----------------------------------------------------------------------------- the page


def test_the_page_is_as_its_records_give_it() -> None:
    page = PAGE.read_text()
    assert filled(page, sources()) == page, "run python -m bench.scale report --write"


def page_in(folder: Path, records_folder: Path) -> list[str]:
    page = folder / "CAPACITY.md"
    page.write_text(PAGE.read_text())
    return ["--page", str(page), "--folder", str(records_folder)]


def test_check_fails_after_a_figure_was_typed_and_write_mends_it(tmp_path: Path) -> None:
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


def test_a_page_that_lacks_a_table_or_has_an_unknown_one_is_an_error() -> None:
    page = PAGE.read_text()
    with pytest.raises(ValueError, match="lacks the tables chains"):
        filled(page.replace("<!-- table: chains -->", ""), sources())
    with pytest.raises(ValueError, match="no table is named 'chain'"):
        filled(page + "\n<!-- table: chain -->\n<!-- end -->\n", sources())


def test_every_table_is_made_without_any_record() -> None:
    nothing = made_from()
    for name in tables.names(nothing):
        assert tables.render(nothing, name)
    assert "not run" in tables.render(nothing, "node-control")
    assert "No bound was found broken" in tables.render(nothing, "missing")


# ------------------------------------------------------------------------------- slopes


def test_one_size_has_no_slope_and_is_said_to_have_none() -> None:
    found = made_from(control(350, node__cpu_percent_max=0.5))
    cells = row(tables.render(found, "node-control"), "CPU", "ordinary")
    assert "350: 0.5" in cells
    assert "one size, no slope" in cells
    assert judged(found, "node-control", "cpu_percent_max").verdict is Verdict.NOT_RUN


def test_two_sizes_give_a_line_without_a_spread() -> None:
    found = made_from(control(350, node__cpu_percent_max=0.5), control(700, node__cpu_percent_max=0.75))
    line = judged(found, "node-control", "cpu_percent_max").series.line
    assert line is not None
    assert line.at(1400.0).value == pytest.approx(1.25)
    assert line.at(1400.0).error is None
    judgement = judged(found, "node-control", "cpu_percent_max")
    assert judgement.verdict is Verdict.MISSED
    assert judgement.how == "worked out"
    assert "no, worked out" in row(tables.render(found, "node-control"), "CPU", "ordinary")


def test_standard_errors_are_those_of_least_squares() -> None:
    line = fit([Point(1.0, 1.0), Point(2.0, 3.0), Point(3.0, 2.0), Point(4.0, 5.0)])
    assert line is not None
    assert line.slope.value == pytest.approx(1.1)
    assert line.intercept.value == pytest.approx(0.0)
    assert line.slope.error == pytest.approx(math.sqrt(2.7 / 2.0 / 5.0))
    assert line.intercept.error == pytest.approx(math.sqrt(1.35 * (1 / 4 + 2.5**2 / 5.0)))
    assert line.at(2.5).error == pytest.approx(math.sqrt(1.35 / 4))


def test_the_newest_run_of_a_size_and_seed_counts() -> None:
    old = msgspec.structs.replace(control(FULL, node__cpu_percent_max=9.0), started="2026-12-02T04:00:00")
    new = control(FULL, node__cpu_percent_max=0.5)
    other_seed = msgspec.structs.replace(control(FULL, node__cpu_percent_max=0.7), seed=2)
    found = judged(made_from(old, new, other_seed), "node-control", "cpu_percent_max").series
    assert [sample.value for sample in found.samples] == [0.5, 0.7]


def test_runs_with_another_cadence_of_probes_do_not_count() -> None:
    trial = msgspec.structs.replace(
        control(FULL, node__cpu_percent_max=0.1), options={"probe_period_ms": 901.0}
    )
    assert judged(made_from(trial), "node-control", "cpu_percent_max").series.samples == []


def test_figures_by_the_size_of_the_service() -> None:
    given = {f"node__cpu_percent s-n{size} (service of {size})": size / 100.0 for size in (10, 50, 100)}
    found = made_from(control(FULL, **given))
    line = judged(found, "node-by-service", "cpu_percent").series.line
    assert line is not None
    assert line.at(7.0).value == pytest.approx(0.07)


# ------------------------------------------------------------------------------ verdicts


def test_bounds_are_judged_where_they_were_measured() -> None:
    found = made_from(
        control(350, node__bytes_in_max=10_000.0),
        control(700, node__bytes_in_max=20_000.0),
        control(FULL, node__bytes_in_max=28_000.0),
    )
    assert judged(found, "node-control", "bytes_in_max").verdict is Verdict.MET


def test_a_bound_broken_at_a_smaller_size_is_broken_and_one_kept_there_is_open() -> None:
    found = made_from(control(350, node__cpu_percent_max=2.0, node__bytes_in_max=2.0))
    assert judged(found, "node-control", "bytes_in_max").verdict is Verdict.NOT_RUN
    assert judged(found, "node-control", "cpu_percent_max").verdict is Verdict.MISSED
    assert "no, at 350" in row(tables.render(found, "node-control"), "CPU", "ordinary")
    assert "(at 350), bound 1: 2 times" in tables.render(found, "missing")


def test_what_a_smaller_run_did_not_reach_is_broken_whatever_still_smaller_ones_foretell() -> None:
    sizes = ((28, 1.0), (350, 2.0), (700, None))
    found = made_from(*(control(nodes, phase="enrolment", platform__all_enrolled=s) for nodes, s in sizes))
    assert judged(found, "platform", "all_enrolled", "enrolment").verdict is Verdict.MISSED
    assert "not reached (at 700), bound 30" in tables.render(found, "missing")


def test_more_is_allowed_in_the_first_seconds_after_a_zone_is_lost() -> None:
    lost = control(FULL, phase="zone_lost_first", node__cpu_percent_max=2.9)
    found = judged(made_from(lost), "node-control", "cpu_percent_max", "zone_lost_first")
    assert (found.limit, found.verdict) == (3.0, Verdict.MET)


def test_a_predicted_figure_that_is_off_by_over_a_quarter_is_flagged() -> None:
    found = made_from(
        control(350, leader__cpu_percent_max=10.0, leader__bytes_in_max=100.0),
        control(700, leader__cpu_percent_max=20.0, leader__bytes_in_max=200.0),
        control(FULL, leader__cpu_percent_max=60.0, leader__bytes_in_max=410.0),
    )
    text = tables.render(found, "predictions")
    assert row(text, "list-service-leader", "CPU", "ordinary")[-4:] == ["40", "60", "33%", "**yes**"]
    assert row(text, "list-service-leader", "bytes in", "ordinary")[-4:] == ["400", "410", "2%", "no"]


def test_what_is_missing_comes_in_the_order_of_how_far_it_is_over() -> None:
    found = made_from(
        control(
            FULL,
            node__cpu_percent_max=2.0,
            node__bytes_in_max=290_000.0,
            leader__cpu_percent_max=10.0,
            hollow__late=4,
        ),
        control(FULL, phase="enrolment", platform__all_enrolled=None),
    )
    lines = [line for line in tables.render(found, "missing").splitlines() if line[:1].isdigit()]
    assert [line.split(". ")[0] for line in lines] == ["1", "2", "3", "4"]
    assert {"renewals late" in lines[0], "renewals late" in lines[1]} == {True, False}
    assert "not reached" in lines[0] + lines[1]
    assert "bytes in" in lines[2]
    assert "10 times" in lines[2]
    assert "2 times" in lines[3]


def test_a_miss_within_the_noise_is_undecided() -> None:
    def calls(noise: float) -> Record:
        return record(
            "datapath",
            [
                Figure("call", "added_pair_p99_ms", 2.2, "ms", "93/s"),
                Figure("call", "noise_pair_p99_ms", noise, "ms", "93/s"),
            ],
        )

    for noise, verdict in ((0.2, Verdict.MISSED), (0.9, Verdict.UNDECIDED)):
        found = made_from(calls(noise))
        assert judged(found, "node-calls", "added_pair_p99_ms", "").verdict is verdict
        assert (verdict is Verdict.UNDECIDED) == ("undecided" in tables.render(found, "missing"))


def test_the_number_of_observations_stands_beside_a_figure_of_few() -> None:
    figure = Figure("call", "added_undisturbed_p99_ms", 1.69, "ms", "93/s", 106)
    found = made_from(record("datapath", [figure]))
    assert "93: 1.69 (of 106)" in tables.render(found, "node-calls")
    assert "(measured, of 106), bound 1.1" in tables.render(found, "missing")


# -------------------------------------------------------------------------- other tables


def test_one_group_stands_beside_groups_by_service() -> None:
    found = made_from(
        control(350, scoped=False, node__bytes_in_max=60_000.0), control(350, node__bytes_in_max=3_000.0)
    )
    cells = row(tables.render(found, "scopes"), "node-control", "bytes in")
    assert cells[-4:] == ["350", "60,000", "3,000", "0.05"]
    assert judged(found, "node-control", "bytes_in_max").series.points == [Point(350.0, 3_000.0)]


def test_chains_whose_sends_multiply_are_missing_something() -> None:
    def chain(sends: float) -> Record:
        figure = Figure("chain", "worst_tier_sends_per_call_let_in", sends, phase="saturated, depth 8")
        return record("chains", [figure], options={"rate": 100.0, "attempts": 3})

    assert "3.9 sends to one tier" in tables.render(made_from(chain(3.9)), "missing")
    assert "sends to one tier" not in tables.render(made_from(chain(MULTIPLIED)), "missing")
    assert "saturated, depth 8" in tables.render(made_from(chain(3.9)), "chains")


def test_ten_control_machines_stand_in_zones_of_the_platform() -> None:
    size, layout = read_size(), read_layout()
    places = {(region.name, zone) for region in size.regions for zone in region.zones}
    assert len(layout.machines) == size.bounds.control_machines
    assert {(machine.region, machine.zone) for machine in layout.machines} == places
    cells = row(tables.render(made_from(control(FULL, leader__cpu_percent_max=33.0)), "machines"), "leader")
    assert cells[:5] == ["control-1", "east", "east-1", "leader", "33"]


@pytest.mark.parametrize(
    ("value", "text"),
    [(0.0, "0"), (1400.0, "1,400"), (28_999.6, "29,000"), (99.96, "100"), (0.01234, "0.0123"), (2.0, "2")],
)
def test_numbers_have_three_digits_that_count(value: float, text: str) -> None:
    assert number(value) == text
