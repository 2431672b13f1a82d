"""Commands of the lab: experiments on a model of the fleet, simulated or on real processes. See docs/lab.md.

Nothing of the lab is imported before one of its commands runs: it needs the extra `lab`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, NoReturn

import typer

from .common import exit_with_error, require_extra

if TYPE_CHECKING:
    from ..lab.experiment import Experiment
    from ..lab.results import RunCost, RunResult

lab = typer.Typer(no_args_is_help=True, help="Experiments on a model of the fleet.")

FilesArgument = Annotated[list[Path], typer.Argument(help="Experiment files.")]
OutOption = Annotated[Path | None, typer.Option("--out", help="Append results to this file, as JSON lines.")]
LiveOption = Annotated[
    bool, typer.Option("--live/--sim", help="Real processes on loopback, or simulated time.")
]
SetOption = Annotated[list[str] | None, typer.Option("--set", help="name=value: another value for this run.")]
SeedsOption = Annotated[str, typer.Option(help="A seed, several by commas, or a range as 1..5.")]
PoliciesOption = Annotated[
    str, typer.Option(help="Policies by commas; the first is compared with the others.")
]
WorkersOption = Annotated[int, typer.Option(min=1, max=256, help="Processes that play at one time.")]


def _load_experiments(files: list[Path], changes: dict[str, Any]) -> list[Experiment]:
    """All experiments; all faults of all files are named, and the end is status 2, before anything starts."""
    from ..lab import experiment

    found, faults = [], list[str]()
    for path in files:
        try:
            found.append(experiment.load_experiment(path, changes))
        except experiment.ExperimentError as problem:
            faults += problem.errors
    if faults:
        _exit_with_faults(ValueError("\n".join(faults)))
    return found


def _parse_changes(sets: list[str] | None) -> dict[str, Any]:
    from ..lab.sweep import parse_grid

    try:
        cells = parse_grid(sets or ())
    except ValueError as problem:
        _exit_with_faults(problem)
    if len(cells) > 1 or cells[0].policy is not None or cells[0].seed is not None:
        exit_with_error(
            "--set takes one value of a setting; several are for `lab sweep` and `lab compare`", 2
        )
    return cells[0].changes


def _parse_seeds(text: str, default: int) -> list[int]:
    from ..lab.sweep import parse_grid

    try:
        cells = parse_grid([f"seed={text}"] if text else ())
    except ValueError as problem:
        _exit_with_faults(problem)
    return [default if cell.seed is None else cell.seed for cell in cells]


def _exit_with_faults(problem: Exception) -> NoReturn:
    """Each fault is a line, and the end is status 2."""
    exit_with_error(str(problem).replace("\n", "\nrosepick: "), 2)


def _select_player(live: bool) -> Callable[..., tuple[RunResult, RunCost]]:
    if live:
        from ..lab.live.helper_process import HelperProcessError
        from ..lab.live.live_run import run_live as played

        def play(
            given: Experiment,
            seed: int,
            policy: str,
            changes: dict[str, Any],
            progress: Callable[[float], None] | None = None,
        ) -> tuple[RunResult, RunCost]:
            if policy != "rosepick":
                exit_with_error(f"policy {policy!r} is played with --sim only", 2)
            try:
                return played(given, seed, changes, progress)
            except HelperProcessError as problem:
                _exit_with_faults(problem)

        return play
    from ..lab.sim import run_simulated as simulated

    return simulated


@lab.command()
def check(files: FilesArgument) -> None:
    """Name every fault of experiment files, each with its place. Ends with 2 if there is one. Starts
    nothing.
    """
    with require_extra("lab"):
        for path, given in zip(files, _load_experiments(files, {}), strict=True):
            print(
                f"ok: {path.name}: {given.name}, {sum(nodes.count for nodes in given.fleet)} cache nodes, "
                f"{given.routers.count} routers, {given.length:g} s, {len(given.troubles)} troubles, "
                f"{len(given.must)} conditions"
            )


@lab.command()
def run(
    files: FilesArgument,
    live: LiveOption = False,
    seed: SeedsOption = "",
    policy: str = "",
    sets: SetOption = None,
    out: OutOption = None,
) -> None:
    """Play experiments and say what came of each.

    Ends with 0 if all that must hold held, with 1 if something did not, a rule was broken or a run is void,
    and with 2 if nothing could be played.
    """
    with require_extra("lab"):
        from ..lab import console, results

        changes = _parse_changes(sets)
        play, good = _select_player(live), True
        for given in _load_experiments(files, changes):
            for one in _parse_seeds(seed, given.seed):
                with console.progress_bar(f"{given.name}, seed {one}") as progress:
                    try:
                        done, cost = play(given, one, policy or given.policy, changes, progress)
                    except ValueError as problem:
                        _exit_with_faults(problem)
                if out is not None:
                    with out.open("ab") as file:
                        file.write(results.encode_result(done) + results.encode_result(cost))
                console.print_run(done, cost)
                good = good and done.good()
    raise typer.Exit(0 if good else 1)


def _play_grid(
    file: Path, terms: list[str], workers: int, play: Callable[..., tuple[RunResult, RunCost]]
) -> Iterator[RunResult]:
    """Play a grid, telling how far it is; each run as soon as it and all before it are done."""
    from ..lab import console
    from ..lab import sweep as sweeps

    try:
        cells, text = sweeps.parse_grid(terms), file.read_text("utf-8")
        with console.progress_bar(f"{file.name}, {len(cells)} runs") as progress:
            for done, _ in sweeps.run_sweep(text, file.name, cells, workers, play, progress):
                yield done
    except (OSError, ValueError) as problem:
        _exit_with_faults(problem)
    except sweeps.CellError as problem:
        exit_with_error(problem, 2)


@lab.command()
def sweep(
    file: Annotated[Path, typer.Argument(help="The experiment file.")],
    grid: Annotated[list[str], typer.Argument(help="name=value,value or name=1..5; also policy= and seed=.")],
    out: Annotated[Path, typer.Option("--out", help="Results go to this file, as JSON lines.")],
    workers: WorkersOption = 1,
) -> None:
    """Play every cell of a grid over processes. The file has the same bytes for any number of workers.

    Interrupted, it leaves what was done. Ends as `lab run` does.
    """
    with require_extra("lab"):
        from ..lab import results
        from ..lab.sim import run_simulated

        good, count = True, 0
        try:
            with out.open("wb") as sink:
                for done in _play_grid(file, grid, workers, run_simulated):
                    sink.write(results.encode_result(done))
                    sink.flush()
                    good, count = good and done.good(), count + 1
        except KeyboardInterrupt:
            exit_with_error(f"interrupted; {count} runs are in {out}", 130)
    print(f"{out}: {count} runs")
    raise typer.Exit(0 if good else 1)


@lab.command()
def compare(
    files: FilesArgument,
    policies: PoliciesOption = "rosepick,hash-bounded,two-choices,oracle",
    seeds: SeedsOption = "1..3",
    sets: Annotated[
        list[str] | None, typer.Option("--set", help="name=value,value: compare values of a setting.")
    ] = None,
    by: Annotated[str, typer.Option(help="What the arms differ in: policy, or a setting's name.")] = "policy",
    workers: WorkersOption = 1,
    out: OutOption = None,
) -> None:
    """Put policies, or values of a setting, side by side on the same days: paired differences to the
    first.
    """
    with require_extra("lab"):
        from ..lab import compare as comparing
        from ..lab import console, results
        from ..lab.sim import run_simulated

        _load_experiments(files, {})
        for path in files:
            runs = list(
                _play_grid(
                    path, [f"policy={policies}", *(sets or ()), f"seed={seeds}"], workers, run_simulated
                )
            )
            if out is not None:
                with out.open("ab") as file:
                    file.writelines(results.encode_result(done) for done in runs)
            for comparison in comparing.compare_runs(runs, by):
                console.print_comparison(comparing.comparison_table(comparison))


@lab.command()
def diff(
    files: Annotated[list[Path], typer.Argument(help="Results, as JSON lines; the first arm is the base.")],
    by: Annotated[str, typer.Option(help="policy, revision, how, or the name of a setting.")] = "revision",
) -> None:
    """Compare results that were kept: two revisions, simulated and live runs, two values of a setting."""
    with require_extra("lab"):
        from ..lab import compare as comparing
        from ..lab import console

        for comparison in comparing.compare_runs(_read_runs(files)[0], by):
            console.print_comparison(comparing.comparison_table(comparison))


def _read_runs(files: list[Path]) -> tuple[list[RunResult], list[RunCost]]:
    """What results files hold; status 2 if they cannot be read or hold no run."""
    from ..lab import results

    try:
        lines = [line for path in files for line in results.read_results(path)]
    except results.ResultsError as problem:
        exit_with_error(problem, 2)
    runs = [line for line in lines if isinstance(line, results.RunResult)]
    if not runs:
        exit_with_error("there is no run in these results", 2)
    return runs, [line for line in lines if isinstance(line, results.RunCost)]


@lab.command()
def report(
    files: Annotated[list[Path], typer.Argument(help="Results, as JSON lines.")],
    out: Annotated[Path, typer.Option("--out", "-o", help="The page.")] = Path("report.html"),
    title: str = "Experiments",
) -> None:
    """Make one HTML page with plots of results."""
    with require_extra("lab"):
        from ..lab.report import render

        runs, costs = _read_runs(files)
        out.write_text(render(runs, costs, title), "utf-8")
    print(f"{out}: {len(runs)} runs")


@lab.command()
def account(
    logs: Annotated[list[Path], typer.Argument(help="Routers' logs, or a folder of them (*.log).")],
    printed: Annotated[
        Path | None, typer.Option("--printed", help="What the bench printed of the day.")
    ] = None,
) -> None:
    """Say where a day's worth went: by cause, class, five seconds and router, and what is priced."""
    with require_extra("lab"):
        from ..lab import console
        from ..lab.account import loss_account as accounting
        from ..lab.account.day_report import parse_day_report
        from ..lab.account.log_reader import NoLogsError, read_logs
        from ..lab.account.tables import format_tables

        try:
            told = None if printed is None else parse_day_report(printed.read_text("utf-8", "replace"))
            found = accounting.build_account(read_logs(logs), told)
        except OSError as problem:
            exit_with_error(f"{printed}: {problem.strerror or problem}", 2)
        except NoLogsError as problem:
            exit_with_error(problem, 2)
        for made in format_tables(found):
            console.print_comparison(made)


@lab.command()
def drill(
    file: Annotated[Path, typer.Argument(help="A drill file.")],
    seed: SeedsOption = "1",
    report: Annotated[
        Path | None, typer.Option("--report", help="Keep histories and logs in this folder.")
    ] = None,
    simulated: Annotated[
        bool, typer.Option("--simulated/--real", help="On a simulated net and clock.")
    ] = False,
    workers: WorkersOption = 1,
) -> None:
    """Play faults between processes and judge what they do. Ends with 1 if a claim is broken."""
    import logging
    import tempfile

    with require_extra("lab"):
        from ..lab.drill import drill_file, runner
    logging.getLogger("rosepick").setLevel(logging.ERROR)  # the processes' logs are in files of their own

    try:
        told = drill_file.load_drill(file)
    except drill_file.DrillError as problem:
        exit_with_error("\nrosepick: ".join(problem.errors), 2)
    total = runner.DrillSummary()
    with tempfile.TemporaryDirectory(prefix="rosepick-drill-") as scratch:
        folder = None if simulated else (report or Path(scratch)).absolute()
        for result in runner.run_seeds(told, _parse_seeds(seed, 1), folder, workers, report is not None):
            total.add(result)
            if result.violations or result.failure_reason or not simulated:
                print("\n".join(runner.format_result(result)), flush=True)
    print("\n".join(total.lines()))
    if report is not None:
        report.mkdir(parents=True, exist_ok=True)
        (report / "sum.json").write_bytes(total.json())
    raise typer.Exit(1 if total.broken else 2 if total.failed else 0)


@lab.command("leases")
def measure_leases(
    renewals: Annotated[int, typer.Option(min=100, help="For the size of a witness's storage.")] = 100_000,
) -> None:
    """Measure what leases cost on this machine, beside a lock file."""
    with require_extra("lab"):
        import logging

        from ..lab.drill import lease_benchmark

        logging.getLogger("rosepick").setLevel(logging.ERROR)
        for line in lease_benchmark.run_benchmarks(renewals=renewals):
            print(line, flush=True)


@lab.command("drains")
def measure_drains(
    members: Annotated[int, typer.Option(min=10, max=1_000)] = 200,
    beat: Annotated[float, typer.Option(min=0.2, max=60, help="Seconds between reports.")] = 1.5,
    seconds: Annotated[float, typer.Option(min=1)] = 20.0,
) -> None:
    """Measure what drains cost the witnesses, with so many members."""
    with require_extra("lab"):
        import logging

        from ..lab.drill import drain_benchmark

        logging.getLogger("rosepick").setLevel(logging.ERROR)
        for line in drain_benchmark.measure_drains(members, 1000.0 * beat, seconds):
            print(line, flush=True)


@lab.command("releases")
def measure_releases(
    identical: Annotated[int, typer.Option(min=1, help="Releases of a version that is no worse.")] = 500,
    each: Annotated[int, typer.Option(min=1, help="Releases of each that is.")] = 20,
    workers: WorkersOption = 4,
) -> None:
    """Measure false alarms and what each kind of worse version costs, on a model of 200 routers."""
    with require_extra("lab"):
        from ..lab.drill import release_benchmark

        for line in release_benchmark.run_benchmark(identical, each, workers):
            print(line, flush=True)


@lab.command("explore")
def explore_leases(
    witnesses: Annotated[int, typer.Option(min=1, max=5)] = 3,
    again: Annotated[int, typer.Option(min=0, help="How often each caller may ask anew.")] = 0,
) -> None:
    """Play two callers and a few witnesses through every order of messages. Ends with 1 if a claim breaks."""
    with require_extra("lab"):
        from ..lab.drill.model_checker import explore_register

    found = explore_register(witnesses, again)
    size = f"{found.states} states, {found.steps} steps, {found.depth} deep"
    print(f"{size}, {found.completed_states} of {found.terminal_states} ends done")
    if found.violations:
        exit_with_error(f"broken: {found.violations[0]}")


@lab.command()
def mutations(
    file: Annotated[Path, typer.Argument(help="Planted faults.")] = Path("tests/mutations.toml"),
    only: Annotated[str, typer.Option(help="Only faults with this in their names.")] = "",
    workers: WorkersOption = 4,
) -> None:
    """Put each planted fault into a copy of the program and have a drill find it; 1 if one is not found."""
    with require_extra("lab"):
        from ..lab.drill import mutations as planted

    missed = 0
    try:
        faults = [one for one in planted.load_mutations(file) if only in one.name]
        for found in planted.find_all_faults(faults, workers):
            missed += found.seed is None
            how = f"seed {found.seed}: {found.claim}" if found.seed else f"NOT FOUND in {found.seeds} seeds"
            print(f"{found.planted.name}: {how} ({found.seconds:.0f} s)", flush=True)
    except planted.MutationsError as problem:
        exit_with_error(problem, 2)
    print(f"{len(faults) - missed} of {len(faults)} planted faults found")
    raise typer.Exit(1 if missed or not faults else 0)


def demo(
    seconds: Annotated[int, typer.Option(min=10, max=600, help="How long traffic lasts.")] = 60,
) -> None:
    """Start a small fleet on this machine, with one router, a slow node and a restart, and show what
    happens.
    """
    with require_extra("lab"):
        from ..lab.demo import run_demo as show

        raise typer.Exit(show(seconds))


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.add_typer(lab, name="lab")
    app.command()(demo)
