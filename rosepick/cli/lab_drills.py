"""Commands of the lab for fault injection: drills, their benchmarks, and mutation tests. See docs/lab.md."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import Annotated

import typer

from .common import exit_with_error, require_extra
from .lab_options import SeedsOption, WorkersOption, parse_seeds

MAX_LOST_LINES = 8  # that are printed of one run
SUMMARY_NAME = "sum.json"  # in the folder of a report


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
    import tempfile

    with require_extra("lab"):
        from ..lab.drill import drill_file, runner
    _log_errors_only()  # the processes' logs are in files of their own

    try:
        plan = drill_file.load_drill(file)
    except drill_file.DrillError as error:
        exit_with_error("\nrosepick: ".join(error.errors), 2)
    summary = runner.DrillSummary()
    with tempfile.TemporaryDirectory(prefix="rosepick-drill-") as scratch:
        folder = None if simulated else (report or Path(scratch)).absolute()
        for result in runner.run_seeds(plan, parse_seeds(seed, 1), folder, workers, report is not None):
            summary.add(result)
            if result.violations or result.failure_reason or not simulated:
                print("\n".join(runner.format_result(result)), flush=True)
    print("\n".join(summary.lines()))
    if report is not None:
        report.mkdir(parents=True, exist_ok=True)
        (report / SUMMARY_NAME).write_bytes(summary.json())
    raise typer.Exit(1 if summary.broken else 2 if summary.failed else 0)


def soak(
    seed: SeedsOption = "1",
    routers: Annotated[int, typer.Option(min=1, max=60, help="Router processes.")] = 16,
    process_faults: Annotated[
        bool, typer.Option(help="Wall clocks step and system calls fail inside the routers.")
    ] = True,
) -> None:
    """Play random, overlapping faults on real processes. Ends with 1 if an invariant is broken."""
    with require_extra("lab"):
        from ..lab.soak.soak_plan import draw_plan
        from ..lab.soak.soak_run import play_soak
    _log_errors_only()

    is_broken = False
    for number in parse_seeds(seed, 1):
        result = play_soak(draw_plan(number, routers, process_faults))
        print("\n  ".join([result.line(), *result.violations]), flush=True)
        is_broken = is_broken or bool(result.violations)
    raise typer.Exit(1 if is_broken else 0)


def scale(
    nodes: Annotated[int, typer.Option(min=1, max=10_000, help="Cache nodes in the list.")] = 3_200,
    routers: Annotated[int, typer.Option(min=1, max=60, help="Router processes.")] = 1,
    rate: Annotated[float, typer.Option(min=1, help="Requests a second to each router.")] = 250.0,
    deadline: Annotated[float, typer.Option(min=0.05, help="Seconds that a client waits.")] = 1.2,
    cpu_share: Annotated[
        float, typer.Option(min=0.02, max=1.0, help="Part of the time in which routers may run.")
    ] = 1.0,
    calm: Annotated[bool, typer.Option(help="Neither kills nor changes of the list.")] = False,
    seed: SeedsOption = "1",
) -> None:
    """Play real routers beside many nodes, of which two thirds are replaced; 1 if a request is lost."""
    with require_extra("lab"):
        from ..lab.scale import scale_plan
        from ..lab.scale.scale_run import play_scale

    is_broken = False
    for number in parse_seeds(seed, 1):
        plan = scale_plan.ScalePlan(
            nodes=nodes,
            routers=routers,
            rate=rate,
            seed=number,
            deadline_s=deadline,
            cpu_share=cpu_share,
            replacements=() if calm else scale_plan.two_thirds_replaced(nodes),
            kills=() if calm else (scale_plan.RouterKill(1.0, 1.5, max(1, routers // 2)),),
        )
        result = play_scale(plan)
        print("\n  ".join([f"seed {number}: {result.line()}", *result.lost_lines()]), flush=True)
        is_broken = is_broken or result.is_broken()
    raise typer.Exit(1 if is_broken else 0)


def scale_soak(seed: SeedsOption = "1") -> None:
    """Play a random scale plan of each seed: fleets of all sizes, signals, crowds. 1 if one breaks.

    A run in which the rig itself was late is void, says so, and does not count.
    """
    with require_extra("lab"):
        from ..lab.scale.scale_run import play_scale
        from ..lab.scale.soak_plan import draw_scale_plan

    broken_seeds = []
    for number in parse_seeds(seed, 1):
        plan = draw_scale_plan(number)
        result = play_scale(plan)
        print(f"seed {number}: {plan.summary()}", flush=True)
        print("\n  ".join([f"  {result.line()}", *result.lost_lines()[:MAX_LOST_LINES]]), flush=True)
        if result.is_broken() and not result.void:  # a void run says nothing about the program
            broken_seeds.append(number)
    print(f"broken: {', '.join(map(str, broken_seeds)) or 'none'}")
    raise typer.Exit(1 if broken_seeds else 0)


def measure_leases(
    renewals: Annotated[int, typer.Option(min=100, help="For the size of a witness's storage.")] = 100_000,
) -> None:
    """Measure what leases cost on this machine, beside a lock file."""
    with require_extra("lab"):
        from ..lab.drill import lease_benchmark

        _log_errors_only()
        for line in lease_benchmark.run_benchmarks(renewals=renewals):
            print(line, flush=True)


def measure_drains(
    members: Annotated[int, typer.Option(min=10, max=1_000)] = 200,
    beat: Annotated[float, typer.Option(min=0.2, max=60, help="Seconds between reports.")] = 1.5,
    seconds: Annotated[float, typer.Option(min=1)] = 20.0,
) -> None:
    """Measure what drains cost the witnesses, with so many members."""
    with require_extra("lab"):
        from ..lab.drill import drain_benchmark

        _log_errors_only()
        for line in drain_benchmark.measure_drains(members, 1000.0 * beat, seconds):
            print(line, flush=True)


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


def explore_leases(
    replica_count: Annotated[int, typer.Option("--witnesses", min=1, max=5)] = 3,
    again: Annotated[int, typer.Option(min=0, help="How often each caller may ask anew.")] = 0,
) -> None:
    """Play two callers and a few witnesses through every order of messages. Ends with 1 if a claim breaks."""
    with require_extra("lab"):
        from ..lab.drill.model_checker import explore_register

    result = explore_register(replica_count, again)
    size = f"{result.states} states, {result.steps} steps, {result.depth} deep"
    print(f"{size}, {result.completed_states} of {result.terminal_states} ends done")
    if result.violations:
        exit_with_error(f"broken: {result.violations[0]}")


def mutations(
    file: Annotated[Path, typer.Argument(help="Planted faults.")] = Path("tests/mutations.toml"),
    only: Annotated[str, typer.Option(help="Only faults with this in their names.")] = "",
    workers: WorkersOption = 4,
) -> None:
    """Put each planted fault into a copy of the program and have a drill find it; 1 if one is not found."""
    with require_extra("lab"):
        from ..lab.drill import mutations as mutation_tests

    missed = 0
    try:
        faults = [fault for fault in mutation_tests.load_mutations(file) if only in fault.name]
        for result in mutation_tests.find_all_faults(faults, workers):
            missed += result.seed is None
            if result.seed:
                outcome = f"seed {result.seed}: {result.claim}"
            else:
                outcome = f"NOT FOUND in {result.seeds} seeds"
            print(f"{result.planted.name}: {outcome} ({result.seconds:.0f} s)", flush=True)
    except mutation_tests.MutationsError as error:
        exit_with_error(error, 2)
    print(f"{len(faults) - missed} of {len(faults)} planted faults found")
    raise typer.Exit(1 if missed or not faults else 0)


def _log_errors_only() -> None:
    logging.getLogger("rosepick").setLevel(logging.ERROR)


def add(lab: typer.Typer) -> None:
    """Add these commands to the lab's."""
    lab.command()(drill)
    lab.command()(soak)
    lab.command()(scale)
    lab.command()(scale_soak)
    lab.command("leases")(measure_leases)
    lab.command("drains")(measure_drains)
    lab.command("releases")(measure_releases)
    lab.command("explore")(explore_leases)
    lab.command()(mutations)
