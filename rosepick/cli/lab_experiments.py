"""Commands of the lab that run experiments: check, run, sweep and compare. See docs/lab.md."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .common import exit_with_error, require_extra
from .lab_options import (
    ExperimentsArgument,
    OutOption,
    SeedsOption,
    WorkersOption,
    exit_with_faults,
    parse_seeds,
)
from .lab_results import print_comparisons

if TYPE_CHECKING:
    from ..lab.experiment import Experiment
    from ..lab.results import RunCost, RunResult

LiveOption = Annotated[
    bool, typer.Option("--live/--sim", help="Real processes on loopback, or simulated time.")
]
SetOption = Annotated[
    list[str] | None, typer.Option("--set", help="name=value: override a setting of the file.")
]
PoliciesOption = Annotated[str, typer.Option(help="Comma-separated policies; the first is the baseline.")]
Player = Callable[..., tuple["RunResult", "RunCost"]]
LIVE_POLICY = "rosepick"  # the only policy that real processes implement
EXIT_INTERRUPTED = 130


def check(files: ExperimentsArgument) -> None:
    """Report every fault in experiment files with its location, without running them.

    Exits with 2 if there is a fault.
    """
    with require_extra("lab"):
        for path, experiment in zip(files, _load_experiments(files, {}), strict=True):
            print(
                f"ok: {path.name}: {experiment.name}, "
                f"{sum(nodes.count for nodes in experiment.fleet)} cache nodes, "
                f"{experiment.routers.count} routers, {experiment.length:g} s, "
                f"{len(experiment.troubles)} troubles, {len(experiment.must)} conditions"
            )


def run(
    files: ExperimentsArgument,
    live: LiveOption = False,
    seed: SeedsOption = "",
    policy: str = "",
    sets: SetOption = None,
    out: OutOption = None,
) -> None:
    """Run experiments and print the result of each.

    Exits with 0 if all conditions hold, with 1 if a condition fails, a rule is violated or a run is void, and
    with 2 if no experiment can run.
    """
    with require_extra("lab"):
        from ..lab import console, results

        changes = _parse_changes(sets)
        play = _select_player(live)
        all_good = True
        for experiment in _load_experiments(files, changes):
            for run_seed in parse_seeds(seed, experiment.seed):
                with console.progress_bar(f"{experiment.name}, seed {run_seed}") as progress:
                    try:
                        result, cost = play(
                            experiment, run_seed, policy or experiment.policy, changes, progress
                        )
                    except ValueError as error:
                        exit_with_faults(error)
                if out is not None:
                    with out.open("ab") as file:
                        file.write(results.encode_result(result) + results.encode_result(cost))
                console.print_run(result, cost)
                all_good = all_good and result.has_passed()
    raise typer.Exit(0 if all_good else 1)


def sweep(
    file: Annotated[Path, typer.Argument(help="The experiment file.")],
    grid: Annotated[list[str], typer.Argument(help="name=value,value or name=1..5; also policy= and seed=.")],
    out: Annotated[Path, typer.Option("--out", help="Write results to this file, as JSON lines.")],
    workers: WorkersOption = 1,
) -> None:
    """Run every cell of a grid in worker processes. The results do not depend on the number of workers.

    An interrupted sweep keeps the results so far. The exit statuses are those of `lab run`.
    """
    with require_extra("lab"):
        from ..lab import results
        from ..lab.sim import run_simulated

        all_good = True
        count = 0
        try:
            with out.open("wb") as output:
                for result in _play_grid(file, grid, workers, run_simulated):
                    output.write(results.encode_result(result))
                    output.flush()
                    all_good = all_good and result.has_passed()
                    count += 1
        except KeyboardInterrupt:
            exit_with_error(f"interrupted; {count} runs are in {out}", EXIT_INTERRUPTED)
    print(f"{out}: {count} runs")
    raise typer.Exit(0 if all_good else 1)


def compare(
    files: ExperimentsArgument,
    policies: PoliciesOption = "rosepick,hash-bounded,two-choices,oracle",
    seeds: SeedsOption = "1..3",
    sets: Annotated[
        list[str] | None, typer.Option("--set", help="name=value,value: compare values of a setting.")
    ] = None,
    by: Annotated[str, typer.Option(help="What to compare: policy, or the name of a setting.")] = "policy",
    workers: WorkersOption = 1,
    out: OutOption = None,
) -> None:
    """Compare policies, or values of a setting, on the same experiments and seeds.

    Prints the paired differences to the first one.
    """
    with require_extra("lab"):
        from ..lab import results
        from ..lab.sim import run_simulated

        _load_experiments(files, {})
        terms = [f"policy={policies}", *(sets or ()), f"seed={seeds}"]
        for path in files:
            runs = list(_play_grid(path, terms, workers, run_simulated))
            if out is not None:
                with out.open("ab") as file:
                    file.writelines(results.encode_result(result) for result in runs)
            print_comparisons(runs, by)


def _load_experiments(files: list[Path], changes: dict[str, Any]) -> list[Experiment]:
    """Return the experiments of all files; if any has faults, report them all and exit with status 2."""
    from ..lab import experiment

    experiments: list[Experiment] = []
    faults: list[str] = []
    for path in files:
        try:
            experiments.append(experiment.load_experiment(path, changes))
        except experiment.ExperimentError as error:
            faults += error.errors
    if faults:
        exit_with_faults(ValueError("\n".join(faults)))
    return experiments


def _parse_changes(sets: list[str] | None) -> dict[str, Any]:
    """Return the settings that `--set` changes; exit with an error if one has several values."""
    from ..lab.grid import parse_grid

    try:
        cells = parse_grid(sets or ())
    except ValueError as error:
        exit_with_faults(error)
    if len(cells) > 1 or cells[0].policy is not None or cells[0].seed is not None:
        exit_with_error(
            "--set takes one value of a setting; several are for `lab sweep` and `lab compare`", 2
        )
    return cells[0].changes


def _select_player(live: bool) -> Player:
    """Return the function that runs an experiment, simulated or on real processes."""
    if not live:
        from ..lab.sim import run_simulated

        return run_simulated
    from ..lab.live.helper_process import HelperProcessError
    from ..lab.live.live_run import run_live

    def play(
        experiment: Experiment,
        seed: int,
        policy: str,
        changes: dict[str, Any],
        progress: Callable[[float], None] | None = None,
    ) -> tuple[RunResult, RunCost]:
        if policy != LIVE_POLICY:
            exit_with_error(f"policy {policy!r} is played with --sim only", 2)
        try:
            return run_live(experiment, seed, changes, progress)
        except HelperProcessError as error:
            exit_with_faults(error)

    return play


def _play_grid(file: Path, terms: list[str], workers: int, play: Player) -> Iterator[RunResult]:
    """Run a grid, show its progress, and yield the results in the order of the grid."""
    from ..lab import console
    from ..lab.grid import parse_grid
    from ..lab.sweep import CellError, SweepJob, run_sweep

    try:
        cells = parse_grid(terms)
        text = file.read_text("utf-8")
        job = SweepJob(text, file.name, play)
        with console.progress_bar(f"{file.name}, {len(cells)} runs") as progress:
            for result, _ in run_sweep(job, cells, workers, progress):
                yield result
    except (OSError, ValueError) as error:
        exit_with_faults(error)
    except CellError as error:
        exit_with_error(error, 2)


def add(lab: typer.Typer) -> None:
    """Add the commands of this module to those of the lab."""
    for command in (check, run, sweep, compare):
        lab.command()(command)
