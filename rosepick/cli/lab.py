"""Commands of the lab: experiments on a model of the fleet, simulated or on real processes. See docs/lab.md.

Nothing of the lab is imported before one of its commands runs: it needs the extra `lab`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, NoReturn

import typer

from .common import needs_the_extra, stop

if TYPE_CHECKING:
    from ..lab.experiment import Experiment
    from ..lab.results import Cost, Run

lab = typer.Typer(no_args_is_help=True, help="Experiments on a model of the fleet.")

Files = Annotated[list[Path], typer.Argument(help="Experiment files.")]
Out = Annotated[Path | None, typer.Option("--out", help="Append results to this file, as JSON lines.")]
Live = Annotated[bool, typer.Option("--live/--sim", help="Real processes on loopback, or simulated time.")]
Sets = Annotated[list[str] | None, typer.Option("--set", help="name=value: another value for this run.")]
Seeds = Annotated[str, typer.Option(help="A seed, several by commas, or a range as 1..5.")]
Policies = Annotated[str, typer.Option(help="Policies by commas; the first is compared with the others.")]
Workers = Annotated[int, typer.Option(min=1, max=256, help="Processes that play at one time.")]


def _load(files: list[Path], changes: dict[str, Any]) -> list[Experiment]:
    """All experiments; all faults of all files are named, and the end is status 2, before anything starts."""
    from ..lab import experiment

    found, faults = [], list[str]()
    for path in files:
        try:
            found.append(experiment.load(path, changes))
        except experiment.ExperimentError as problem:
            faults += problem.faults
    if faults:
        _stop_all(ValueError("\n".join(faults)))
    return found


def _changes(sets: list[str] | None) -> dict[str, Any]:
    from ..lab.sweep import parse_grid

    try:
        cells = parse_grid(sets or ())
    except ValueError as problem:
        _stop_all(problem)
    if len(cells) > 1 or cells[0].policy is not None or cells[0].seed is not None:
        stop("--set takes one value of a setting; several are for `lab sweep` and `lab compare`", 2)
    return cells[0].changes


def _seeds(text: str, usual: int) -> list[int]:
    from ..lab.sweep import parse_grid

    try:
        cells = parse_grid([f"seed={text}"] if text else ())
    except ValueError as problem:
        _stop_all(problem)
    return [usual if cell.seed is None else cell.seed for cell in cells]


def _stop_all(problem: Exception) -> NoReturn:
    """Each fault is a line, and the end is status 2."""
    stop(str(problem).replace("\n", "\nrosepick: "), 2)


def _player(live: bool) -> Callable[..., tuple[Run, Cost]]:
    if live:
        from ..lab.live.control import HelperFailed
        from ..lab.live.run import play as played

        def play(
            given: Experiment,
            seed: int,
            policy: str,
            changes: dict[str, Any],
            progress: Callable[[float], None] | None = None,
        ) -> tuple[Run, Cost]:
            if policy != "rosepick":
                stop(f"policy {policy!r} is played with --sim only", 2)
            try:
                return played(given, seed, changes, progress)
            except HelperFailed as problem:
                _stop_all(problem)

        return play
    from ..lab.sim import play as simulated

    return simulated


@lab.command()
def check(files: Files) -> None:
    """Name every fault of experiment files, each with its place. Ends with 2 if there is one. Starts
    nothing.
    """
    with needs_the_extra("lab"):
        for path, given in zip(files, _load(files, {}), strict=True):
            print(
                f"ok: {path.name}: {given.name}, {sum(nodes.count for nodes in given.fleet)} cache nodes, "
                f"{given.routers.count} routers, {given.length:g} s, {len(given.troubles)} troubles, "
                f"{len(given.must)} conditions"
            )


@lab.command()
def run(
    files: Files,
    live: Live = False,
    seed: Seeds = "",
    policy: str = "",
    sets: Sets = None,
    out: Out = None,
) -> None:
    """Play experiments and say what came of each.

    Ends with 0 if all that must hold held, with 1 if something did not, a rule was broken or a run is void,
    and with 2 if nothing could be played.
    """
    with needs_the_extra("lab"):
        from ..lab import console, results

        changes = _changes(sets)
        play, good = _player(live), True
        for given in _load(files, changes):
            for one in _seeds(seed, given.seed):
                with console.progress(f"{given.name}, seed {one}") as progress:
                    try:
                        done, cost = play(given, one, policy or given.policy, changes, progress)
                    except ValueError as problem:
                        _stop_all(problem)
                if out is not None:
                    with out.open("ab") as file:
                        file.write(results.write(done) + results.write(cost))
                console.show(done, cost)
                good = good and done.good()
    raise typer.Exit(0 if good else 1)


def _sweep(
    file: Path, terms: list[str], workers: int, play: Callable[..., tuple[Run, Cost]]
) -> Iterator[Run]:
    """Play a grid, telling how far it is; each run as soon as it and all before it are done."""
    from ..lab import console
    from ..lab import sweep as sweeps

    try:
        cells, text = sweeps.parse_grid(terms), file.read_text("utf-8")
        with console.progress(f"{file.name}, {len(cells)} runs") as progress:
            for done, _ in sweeps.sweep(text, file.name, cells, workers, play, progress):
                yield done
    except (OSError, ValueError) as problem:
        _stop_all(problem)
    except sweeps.CellFailed as problem:
        stop(problem, 2)


@lab.command()
def sweep(
    file: Annotated[Path, typer.Argument(help="The experiment file.")],
    grid: Annotated[list[str], typer.Argument(help="name=value,value or name=1..5; also policy= and seed=.")],
    out: Annotated[Path, typer.Option("--out", help="Results go to this file, as JSON lines.")],
    workers: Workers = 1,
) -> None:
    """Play every cell of a grid over processes. The file has the same bytes for any number of workers.

    Interrupted, it leaves what was done. Ends as `lab run` does.
    """
    with needs_the_extra("lab"):
        from ..lab import results
        from ..lab.sim import play

        good, count = True, 0
        try:
            with out.open("wb") as sink:
                for done in _sweep(file, grid, workers, play):
                    sink.write(results.write(done))
                    sink.flush()
                    good, count = good and done.good(), count + 1
        except KeyboardInterrupt:
            stop(f"interrupted; {count} runs are in {out}", 130)
    print(f"{out}: {count} runs")
    raise typer.Exit(0 if good else 1)


@lab.command()
def compare(
    files: Files,
    policies: Policies = "rosepick,hash-bounded,two-choices,oracle",
    seeds: Seeds = "1..3",
    sets: Annotated[
        list[str] | None, typer.Option("--set", help="name=value,value: compare values of a setting.")
    ] = None,
    by: Annotated[str, typer.Option(help="What the arms differ in: policy, or a setting's name.")] = "policy",
    workers: Workers = 1,
    out: Out = None,
) -> None:
    """Put policies, or values of a setting, side by side on the same days: paired differences to the
    first.
    """
    with needs_the_extra("lab"):
        from ..lab import compare as comparing
        from ..lab import console, results
        from ..lab.sim import play

        _load(files, {})
        for path in files:
            runs = list(_sweep(path, [f"policy={policies}", *(sets or ()), f"seed={seeds}"], workers, play))
            if out is not None:
                with out.open("ab") as file:
                    file.writelines(results.write(done) for done in runs)
            for comparison in comparing.compare(runs, by):
                console.table(comparing.table(comparison))


@lab.command()
def diff(
    files: Annotated[list[Path], typer.Argument(help="Results, as JSON lines; the first arm is the base.")],
    by: Annotated[str, typer.Option(help="policy, revision, how, or the name of a setting.")] = "revision",
) -> None:
    """Compare results that were kept: two revisions, simulated and live runs, two values of a setting."""
    with needs_the_extra("lab"):
        from ..lab import compare as comparing
        from ..lab import console

        for comparison in comparing.compare(_runs(files)[0], by):
            console.table(comparing.table(comparison))


def _runs(files: list[Path]) -> tuple[list[Run], list[Cost]]:
    """What results files hold; status 2 if they cannot be read or hold no run."""
    from ..lab import results

    try:
        lines = [line for path in files for line in results.read(path)]
    except results.BadResults as problem:
        stop(problem, 2)
    runs = [line for line in lines if isinstance(line, results.Run)]
    if not runs:
        stop("there is no run in these results", 2)
    return runs, [line for line in lines if isinstance(line, results.Cost)]


@lab.command()
def report(
    files: Annotated[list[Path], typer.Argument(help="Results, as JSON lines.")],
    out: Annotated[Path, typer.Option("--out", "-o", help="The page.")] = Path("report.html"),
    title: str = "Experiments",
) -> None:
    """Make one HTML page with plots of results."""
    with needs_the_extra("lab"):
        from ..lab.report import render

        runs, costs = _runs(files)
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
    with needs_the_extra("lab"):
        from ..lab import console
        from ..lab.account import account as accounting
        from ..lab.account.logs import NoLogs, read
        from ..lab.account.printed import parse
        from ..lab.account.tables import tables

        try:
            told = None if printed is None else parse(printed.read_text("utf-8", "replace"))
            found = accounting.account(read(logs), told)
        except OSError as problem:
            stop(f"{printed}: {problem.strerror or problem}", 2)
        except NoLogs as problem:
            stop(problem, 2)
        for made in tables(found):
            console.table(made)


@lab.command()
def drill(
    file: Annotated[Path, typer.Argument(help="A drill file.")],
    seed: Seeds = "1",
    report: Annotated[
        Path | None, typer.Option("--report", help="Keep histories and logs in this folder.")
    ] = None,
    simulated: Annotated[
        bool, typer.Option("--simulated/--real", help="On a simulated net and clock.")
    ] = False,
    workers: Workers = 1,
) -> None:
    """Play faults between processes and judge what they do. Ends with 1 if a claim is broken."""
    import logging
    import tempfile

    with needs_the_extra("lab"):
        from ..lab.drill import files, play
    logging.getLogger("rosepick").setLevel(logging.ERROR)  # the processes' logs are in files of their own

    try:
        told = files.load(file)
    except files.DrillError as problem:
        stop("\nrosepick: ".join(problem.faults), 2)
    total = play.Sum()
    with tempfile.TemporaryDirectory(prefix="rosepick-drill-") as scratch:
        folder = None if simulated else (report or Path(scratch)).absolute()
        for result in play.many(told, _seeds(seed, 1), folder, workers, report is not None):
            total.add(result)
            if result.broken or result.failed or not simulated:
                print("\n".join(play.said(result)), flush=True)
    print("\n".join(total.lines()))
    if report is not None:
        report.mkdir(parents=True, exist_ok=True)
        (report / "sum.json").write_bytes(total.json())
    raise typer.Exit(1 if total.broken else 2 if total.failed else 0)


@lab.command("leases")
def lease_figures(
    renewals: Annotated[int, typer.Option(min=100, help="For the size of a witness's storage.")] = 100_000,
) -> None:
    """Measure what leases cost on this machine, beside a lock file."""
    with needs_the_extra("lab"):
        import logging

        from ..lab.drill import measure

        logging.getLogger("rosepick").setLevel(logging.ERROR)
        for line in measure.all_of_it(renewals=renewals):
            print(line, flush=True)


@lab.command("drains")
def drain_figures(
    members: Annotated[int, typer.Option(min=10, max=1_000)] = 200,
    beat: Annotated[float, typer.Option(min=0.2, max=60, help="Seconds between reports.")] = 1.5,
    seconds: Annotated[float, typer.Option(min=1)] = 20.0,
) -> None:
    """Measure what drains cost the witnesses, with so many members."""
    with needs_the_extra("lab"):
        import logging

        from ..lab.drill import drain_measure

        logging.getLogger("rosepick").setLevel(logging.ERROR)
        for line in drain_measure.standing(members, 1000.0 * beat, seconds):
            print(line, flush=True)


@lab.command("releases")
def release_figures(
    identical: Annotated[int, typer.Option(min=1, help="Releases of a version that is no worse.")] = 500,
    each: Annotated[int, typer.Option(min=1, help="Releases of each that is.")] = 20,
    workers: Workers = 4,
) -> None:
    """Measure false alarms and what each kind of worse version costs, on a model of 200 routers."""
    with needs_the_extra("lab"):
        from ..lab.drill import release_measure

        for line in release_measure.figures(identical, each, workers):
            print(line, flush=True)


@lab.command("explore")
def explored(
    witnesses: Annotated[int, typer.Option(min=1, max=5)] = 3,
    again: Annotated[int, typer.Option(min=0, help="How often each caller may ask anew.")] = 0,
) -> None:
    """Play two callers and a few witnesses through every order of messages. Ends with 1 if a claim breaks."""
    with needs_the_extra("lab"):
        from ..lab.drill.explore import explore

    found = explore(witnesses, again)
    size = f"{found.states} states, {found.steps} steps, {found.depth} deep"
    print(f"{size}, {found.done} of {found.ends} ends done")
    if found.broken:
        stop(f"broken: {found.broken[0]}")


@lab.command()
def mutations(
    file: Annotated[Path, typer.Argument(help="Planted faults.")] = Path("tests/mutations.toml"),
    only: Annotated[str, typer.Option(help="Only faults with this in their names.")] = "",
    workers: Workers = 4,
) -> None:
    """Put each planted fault into a copy of the program and have a drill find it; 1 if one is not found."""
    with needs_the_extra("lab"):
        from ..lab.drill import mutations as planted

    missed = 0
    try:
        faults = [one for one in planted.load(file) if only in one.name]
        for found in planted.find_all(faults, workers):
            missed += found.seed is None
            how = f"seed {found.seed}: {found.claim}" if found.seed else f"NOT FOUND in {found.seeds} seeds"
            print(f"{found.planted.name}: {how} ({found.seconds:.0f} s)", flush=True)
    except planted.MutationsError as problem:
        stop(problem, 2)
    print(f"{len(faults) - missed} of {len(faults)} planted faults found")
    raise typer.Exit(1 if missed or not faults else 0)


def demo(
    seconds: Annotated[int, typer.Option(min=10, max=600, help="How long traffic lasts.")] = 60,
) -> None:
    """Start a small fleet on this machine, with one router, a slow node and a restart, and show what
    happens.
    """
    with needs_the_extra("lab"):
        from ..lab.demo import demo as show

        raise typer.Exit(show(seconds))


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.add_typer(lab, name="lab")
    app.command()(demo)
