"""Tests of grids, sweeps over several processes, comparisons of runs in pairs, and the report page."""

from __future__ import annotations

import io
import os
import re
import time
from collections.abc import Callable
from multiprocessing import active_children
from pathlib import Path
from typing import Any

import pytest
from rich.console import Console

from rosepick.lab.compare import FigureDifference, compare_runs, comparison_table
from rosepick.lab.experiment import Experiment, ExperimentError
from rosepick.lab.grid import GridError, parse_grid
from rosepick.lab.results import (
    FaultSpan,
    RequirementResult,
    RuleViolation,
    RunCost,
    RunResult,
    Window,
    encode_result,
    read_results,
)
from rosepick.lab.sweep import CellError, SweepJob, run_sweep

TEXT = 'name = "storm"\npolicy = "hashed"\nseed = 3\n'
WINDOWS = [
    Window(
        at=n,
        offered=100,
        in_time=95 - n,
        late=3,
        failed=2 + n,
        p50_ms=10.0,
        p99_ms=80.0 + n,
        crossings=n,
        attempts=110,
        node_load_mean=0.5,
        node_load_most=0.8,
        origin_load=0.2,
        origin_attempts=12,
    )
    for n in range(12)
]


def make_run(policy: str = "rosepick", seed: int = 1, void: str = "", **more: Any) -> RunResult:
    defaults = {
        "experiment": "storm",
        "how": "sim",
        "changes": {},
        "revision": "31bc",
        "versions": {},
        "length": 12.0,
        "warm_up": 2.0,
        "totals": {"served_share": 0.9},
        "classes": {},
        "tenants": {},
        "percentiles": [(50.0, 10.0), (99.9, 300.0)],
        "windows": WINDOWS,
        "troubles": [],
        "must": [],
        "broken": [],
    }
    return RunResult(policy=policy, seed=seed, void=void, **{**defaults, **more})


def play(
    experiment: Experiment,
    seed: int,
    policy: str,
    changes: dict[str, Any],
    progress: Callable[[float], None] | None = None,
) -> tuple[RunResult, RunCost]:
    """Return a run at once, but: seed 1 takes 0.3 s, 90 takes 60 s, 91 raises, and 92 ends its process."""
    time.sleep({1: 0.3, 90: 60.0}.get(seed, 0.0))
    if seed == 91:
        raise ValueError("no such policy")
    if seed == 92:
        os._exit(3)
    assert progress is not None
    progress(0.5)
    rate = experiment.traffic.rate
    return make_run(policy, seed, changes=changes, totals={"served_share": rate}), RunCost(
        1, 2.0, 3.0, 4, 5.0
    )


def sweep_to_file(path: Path, terms: list[str], workers: int, stop_at: int = 99) -> list[float]:
    """Sweep into a file, with an interrupt after `stop_at` lines; return the reported progress."""
    progress: list[float] = []
    written = 0
    for result in run_sweep(SweepJob(TEXT, "s.toml", play), parse_grid(terms), workers, progress.append):
        for line in result:
            with path.open("ab") as file:
                file.write(encode_result(line))
            written += 1
            if written == stop_at:
                raise KeyboardInterrupt
    return progress


# ------------------------------------------------------------------------------------------------- the grid


def test_a_grid_has_every_combination_and_varies_the_last_term_fastest() -> None:
    cells = parse_grid(["traffic.rate=100,2.5", "policy=rosepick,7", "seed=2..3,9"])
    assert [str(cell) for cell in cells[:4]] == [
        "traffic.rate=100 policy=rosepick seed=2",
        "traffic.rate=100 policy=rosepick seed=3",
        "traffic.rate=100 policy=rosepick seed=9",
        "traffic.rate=100 policy=7 seed=2",
    ]
    assert len(cells) == 12 and cells[-1].changes == {"traffic.rate": 2.5} and cells[-1].policy == "7"
    assert [str(cell) for cell in parse_grid([])] == [""]


@pytest.mark.parametrize(
    ("given", "values"),
    [
        ("1,-2,1_000", [1, -2, 1000]),
        ("1e3,.5", [1000.0, ".5"]),
        ("true,True", [True, "True"]),
        ('"a,b",c', ["a,b", "c"]),
        ("-1..1", [-1, 0, 1]),
        ("1..2.5", ["1..2.5"]),
        ("5#6", ["5#6"]),
        ("[1],{}", ["[1]", "{}"]),
        ("1]\nx = [2", ["1]\nx = [2"]),
        ("a=b", ["a=b"]),
    ],
)
def test_values_are_parsed_as_toml_or_kept_as_text(given: str, values: list[Any]) -> None:
    values_found = [cell.changes["x.y"] for cell in parse_grid([f"x.y={given}"])]
    assert list(map(repr, values_found)) == list(map(repr, values))


@pytest.mark.parametrize(
    ("terms", "fault"),
    [
        (["traffic.rate"], "traffic.rate: has no '='"),
        (["=1"], "=1: has no dotted name before '='"),
        (["a..b=1"], "a..b=1: has no dotted name before '='"),
        (["a="], "a=: has an empty value"),
        (["a=1,,2"], "a=1,,2: has an empty value"),
        (["a=1", "a=2"], "a=2: a comes twice"),
        (["a=5..1"], "a=5..1: 5..1 holds nothing"),
        (["a=1..3,2"], "a=1..3,2: has a value twice"),
        (["seed=1.5"], "seed=1.5: a seed is a whole number from 0 on"),
        (["seed=true"], "seed=true: a seed is a whole number from 0 on"),
        (["a=1..999999999999"], "a=1..999999999999: has more than 10000 values"),
        (["a=1..101", "b=1..100"], "10100 cells are more than 10000"),
        (["a", "b=", "c=1"], "a: has no '='\nb=: has an empty value"),
    ],
)
def test_errors_name_the_invalid_terms(terms: list[str], fault: str) -> None:
    with pytest.raises(GridError) as caught:
        parse_grid(terms)
    assert str(caught.value) == fault


# ------------------------------------------------------------------------------------------------ the sweep


def test_results_are_the_same_bytes_with_any_number_of_workers(tmp_path: Path) -> None:
    terms = ["traffic.rate=100,200", "seed=1..6"]
    for workers in (1, 3):
        progress = sweep_to_file(tmp_path / f"{workers}", terms, workers)
        assert progress == sorted(progress) and progress[-1] == 1
    assert (tmp_path / "1").read_bytes() == (tmp_path / "3").read_bytes()
    runs = [line for line in read_results(tmp_path / "3") if isinstance(line, RunResult)]
    assert [(run.totals["served_share"], run.seed) for run in runs] == [
        (rate, seed) for rate in (100, 200) for seed in range(1, 7)
    ]
    assert {run.policy for run in runs} == {"hashed"}


@pytest.mark.parametrize("workers", [1, 2])
def test_finished_cells_are_kept_after_an_interrupt(tmp_path: Path, workers: int) -> None:
    began = time.monotonic()
    with pytest.raises(KeyboardInterrupt):
        sweep_to_file(tmp_path / "runs", ["seed=5,6,90,7"], workers, stop_at=4)
    assert [type(line) for line in read_results(tmp_path / "runs")] == [
        RunResult,
        RunCost,
        RunResult,
        RunCost,
    ]
    assert time.monotonic() - began < 30 and not active_children()


def test_invalid_cells_are_named_before_a_cell_runs(tmp_path: Path) -> None:
    with pytest.raises(ExperimentError) as caught:
        sweep_to_file(tmp_path / "runs", ["traffic.rate=100,0", "policy=a,b", "keys.count=1"], 1)
    assert caught.value.errors == (
        "s.toml with traffic.rate=0 keys.count=1: traffic.rate: Input should be greater than 0",
    )
    with pytest.raises(ExperimentError) as caught:
        sweep_to_file(tmp_path / "runs", ["length=1..4", "warm_up=5..14"], 1)
    assert len(caught.value.errors) == 21 and caught.value.errors[-1] == "s.toml: 20 faults more"
    assert not (tmp_path / "runs").exists()


@pytest.mark.parametrize(
    ("seed", "workers", "message"),
    [
        (91, 1, "s.toml with seed=91: ValueError: no such policy"),
        (91, 2, "s.toml with seed=91: ValueError: no such policy"),
        (92, 2, "s.toml: a worker process ended before its cell was done"),
    ],
)
def test_the_error_names_the_cell_that_failed(tmp_path: Path, seed: int, workers: int, message: str) -> None:
    with pytest.raises(CellError, match=f"^{re.escape(message)}$"):
        sweep_to_file(tmp_path / "runs", [f"seed={seed},90"], workers)
    assert not active_children()


# ------------------------------------------------------------------------------------------- the comparison


def pair(seed: int, first: dict[str, float], other: dict[str, float]) -> list[RunResult]:
    return [make_run("rosepick", seed, totals=first), make_run("random", seed, totals=other)]


def test_a_comparison_agrees_with_a_calculation_by_hand() -> None:
    steps = ((0.90, 0.80, 90.0, 1), (0.92, 0.86, 80.0, 2), (0.94, 0.80, 70.0, 3))
    runs = [
        run
        for served, fewer, p99, seed in steps
        for run in pair(
            seed,
            {"served_share": served, "p99_ms": 100.0, "crossings": 0.5, "fell": 0.0},
            {"served_share": fewer, "p99_ms": p99, "crossings": 0.1 * p99 / 100, "fell": 0.0},
        )
    ]
    (comparison,) = compare_runs(runs)
    assert (comparison.arms, comparison.seeds, comparison.left_out) == (("rosepick", "random"), (1, 2, 3), ())
    figures = {figure.name: figure for figure in comparison.figures}
    # served: -0.10, -0.06, -0.14, with a standard deviation of 0.04; 4.303 * 0.04 / sqrt(3) is 0.09937
    served = figures["served_share"]
    assert served.means == pytest.approx({"rosepick": 0.92, "random": 0.82})
    step = served.differences["random"]
    assert (step.mean, step.error) == pytest.approx((-0.1, 0.0230940))
    assert step.interval == pytest.approx((-0.1993736, -0.0006264), abs=1e-6) and step.word == "worse"
    # p99: -10, -20, -30; 4.303 * 10 / sqrt(3) is 24.84
    assert figures["p99_ms"].differences["random"].interval == pytest.approx((-44.8434, 4.8434), abs=1e-3)
    words = {name: figure.differences["random"].word for name, figure in figures.items()}
    assert words == {
        "served_share": "worse",
        "worth_share": "unknown",
        "p99_ms": "same",
        "origin_share": "unknown",
        "attempts_per_request": "unknown",
        "crossings": "better",
        "broken_rules": "unknown",
        "fell": "same",
    }
    assert comparison.as_dict()["figures"][0]["differences"]["random"]["word"] == "worse"


def test_a_difference_of_one_seed_has_no_interval() -> None:
    (comparison,) = compare_runs(pair(1, {"served_share": 0.75}, {"served_share": 0.5}))
    assert comparison.figures[0].differences["random"] == FigureDifference(-0.25, None, None, "unknown")


def test_runs_without_a_partner_are_left_out_and_listed() -> None:
    runs = [make_run("rosepick", n) for n in (1, 2, 3, 3)] + [make_run("[b]x", 1)]
    runs += [make_run("[b]x", 2, void="it stood still"), make_run("gone", 1, void="why")]
    (comparison,) = compare_runs(runs)
    assert comparison.seeds == (1,) and comparison.arms == ("rosepick", "[b]x")
    assert comparison.left_out == (
        "rosepick, seed 3: comes twice",
        "[b]x, seed 2: void: it stood still",
        "gone, seed 1: void: why",
        "gone: no run that counts",
        "rosepick, seed 2: has no partner",
        "rosepick, seed 3: has no partner",
    )
    shown = io.StringIO()
    Console(file=shown, width=120).print(comparison_table(comparison))
    assert all(text in shown.getvalue() for text in ("[b]x", "left out: gone: no run", "unknown"))
    assert compare_runs([]) == [] and compare_runs([make_run(void="x")])[0].arms == ()


def test_runs_are_compared_by_a_setting_and_separately_for_other_differences() -> None:
    runs = [make_run(policy, 1, changes=changes) for policy in "ab" for changes in ({}, {"traffic.rate": 9})]
    assert [comparison.arms for comparison in compare_runs(runs, "traffic.rate")] == [
        ("traffic.rate as in the file", "traffic.rate=9"),
    ] * 2
    assert [(comparison.of, comparison.arms) for comparison in compare_runs(runs)] == [
        ("storm how=sim revision=31bc", ("a", "b")),
        ("storm how=sim revision=31bc traffic.rate=9", ("a", "b")),
    ]


def test_a_run_without_latency_does_not_count_as_the_fastest() -> None:
    (comparison,) = compare_runs(
        pair(1, {"served_share": 0.9, "p99_ms": 80.0}, {"served_share": 0.0, "p99_ms": 0.0})
    )
    assert {figure.name: figure.pairs for figure in comparison.figures}["p99_ms"] == 0


# ------------------------------------------------------------------------------------------------- the page


def page(runs: list[RunResult], costs: list[RunCost] | None = None) -> str:
    # imported here, as worker processes import this file and do not need the report
    from rosepick.lab.report import render

    return render(runs, costs or [], "Noon <b>")


def test_the_page_escapes_and_lists_all_values_and_refers_to_no_other_file() -> None:
    runs = [
        make_run(
            "rose<b>",
            troubles=[FaultSpan("surge", 3, 6, "traffic <i>"), FaultSpan("slow", 4, 99, "n1")],
            must=[RequirementResult("p99_ms", 432.1, None, 200.0, 2, 12, False)],
            broken=[RuleViolation("cold", f"q{n}.", "n<3>", n, "too much") for n in range(60)],
        ),
        make_run("random", void="stood <still>"),
    ]
    shown = page(runs, [RunCost(9, 1.5, 2.5, 3, 4.0)] * 2)
    for text in (
        "Noon &lt;b&gt;",
        "rose&lt;b&gt;",
        "traffic &lt;i&gt;",
        "stood &lt;still&gt;",
        "n&lt;3&gt;",
        ">1 surge</text>",
        ">2 slow</text>",
        ">warm-up</text>",
        "1 of 2 runs void",
        "60 times",
        "Did not hold: 1 of 1",
        "432.1",
        "The first 50 of 60",
        "q49.",
    ):
        assert text in shown, text
    assert "q50." not in shown and shown.index("runs void") < shown.index("<table>")
    for tag in (
        "<b>r",
        "<i>",
        "<still>",
        "n<3>",
        "<script",
        "<link",
        "<img",
        "@import",
        "http://",
        "https://",
    ):
        assert tag not in shown, tag
    assert all(link.startswith("#") for link in re.findall(r'(?:src|href)="([^"]*)"', shown))
    assert all(link.startswith("#") for link in re.findall(r"url\(([^)]*)\)", shown))
    ids = re.findall(r' id="([^"]*)"', shown)
    assert len(ids) == len(set(ids)) and set(re.findall(r"url\(#([^)]*)\)", shown)) <= set(ids)


def test_the_page_is_the_same_bytes_for_the_same_input(monkeypatch: pytest.MonkeyPatch) -> None:
    from rosepick.lab.report import plots

    monkeypatch.setattr("rosepick.lab.report.page.PANELS", plots.PANELS[:3])
    runs = [make_run(windows=WINDOWS[3:4]), make_run("other")]
    assert page(runs) == page(runs)


def test_the_page_states_that_there_is_nothing_to_draw() -> None:
    empty = make_run("a", windows=[Window(at=n) for n in range(3)], totals={}, percentiles=[(50.0, 0.0)])
    shown = page([empty, make_run("b", windows=[], length=0.5, warm_up=0.0)])
    assert "Nothing to draw, or 0 throughout: Served in time" in shown
    assert "There are no runs" in page([])


def test_long_lists_on_the_page_are_truncated() -> None:
    long = [Window(at=n, offered=5, in_time=5) for n in range(3000)]
    troubles = [FaultSpan("slow", n % 11, n % 11 + 1, f"n{n}") for n in range(40)]
    runs = [make_run(f"p{n}", windows=[], totals={}) for n in range(205)]
    runs += [make_run("last", windows=long, length=3000.0, troubles=troubles, void="x", seed=2)]
    shown = page(runs)
    for text in (
        "6 more runs are not listed",
        "197 more runs of this seed",
        "10 more are not marked",
        "165 more are not drawn",
    ):
        assert text in shown, text
    assert len(shown) < 500_000
