"""Commands of the lab for fault injection: drills, benchmarks and mutation tests. See docs/lab.md."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import Annotated

import typer

from .common import exit_with_error, require_extra
from .lab_options import SeedsOption, WorkersOption, parse_seeds

MAX_LOST_LINES = 8  # maximum number of printed lines about lost requests per run
SUMMARY_NAME = "sum.json"  # file in the folder of a report


def drill(
    file: Annotated[Path, typer.Argument(help="A drill file.")],
    seed: SeedsOption = "1",
    report: Annotated[
        Path | None, typer.Option("--report", help="Write histories and logs to this folder.")
    ] = None,
    simulated: Annotated[
        bool, typer.Option("--simulated/--real", help="Use a simulated network and clock.")
    ] = False,
    workers: WorkersOption = 1,
) -> None:
    """Inject faults between processes and check invariants. Exits with 1 if an invariant is violated."""
    import tempfile

    with require_extra("lab"):
        from ..lab.drill import drill_file, runner
    _log_errors_only()  # the processes log to their own files

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
    raise typer.Exit(1 if summary.seeds_with_violations else 2 if summary.seeds_not_run else 0)


def soak(
    seed: SeedsOption = "1",
    routers: Annotated[int, typer.Option(min=1, max=60, help="Router processes.")] = 16,
    process_faults: Annotated[
        bool, typer.Option(help="Step wall clocks and fail system calls in routers.")
    ] = True,
) -> None:
    """Inject random, overlapping faults into real processes. Exits with 1 if an invariant is violated."""
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
    nodes: Annotated[int, typer.Option(min=1, max=10_000, help="Number of cache nodes.")] = 3_200,
    routers: Annotated[int, typer.Option(min=1, max=60, help="Router processes.")] = 1,
    rate: Annotated[float, typer.Option(min=1, help="Requests per second to each router.")] = 250.0,
    deadline: Annotated[float, typer.Option(min=0.05, help="Deadline of a request in seconds.")] = 1.2,
    cpu_share: Annotated[
        float, typer.Option(min=0.02, max=1.0, help="Share of the time in which routers run.")
    ] = 1.0,
    calm: Annotated[bool, typer.Option(help="No kills and no list changes.")] = False,
    seed: SeedsOption = "1",
) -> None:
    """Run routers with many nodes and replace two thirds of them. Exits with 1 if a request is lost."""
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
            replacements=() if calm else scale_plan.replace_two_thirds(nodes),
            kills=() if calm else (scale_plan.RouterKill(1.0, 1.5, max(1, routers // 2)),),
        )
        result = play_scale(plan)
        print("\n  ".join([f"seed {number}: {result.line()}", *result.lost_lines()]), flush=True)
        is_broken = is_broken or result.is_broken()
    raise typer.Exit(1 if is_broken else 0)


def scale_soak(seed: SeedsOption = "1") -> None:
    """Run a random scale plan for each seed: fleet sizes, signals, load peaks. Exits with 1 if one fails.

    A run in which the test rig was too slow is void and does not count; its result line says so.
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
        if result.is_broken() and not result.void:  # a void run gives no result about the program
            broken_seeds.append(number)
    print(f"broken: {', '.join(map(str, broken_seeds)) or 'none'}")
    raise typer.Exit(1 if broken_seeds else 0)


def measure_leases(
    renewals: Annotated[
        int, typer.Option(min=100, help="Renewals to measure a witness's storage.")
    ] = 100_000,
) -> None:
    """Measure the cost of leases on this machine, compared with a lock file."""
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
    """Measure the load that drains of a fleet put on the witnesses."""
    with require_extra("lab"):
        from ..lab.drill import drain_benchmark

        _log_errors_only()
        for line in drain_benchmark.measure_drains(members, 1000.0 * beat, seconds):
            print(line, flush=True)


def measure_releases(
    identical: Annotated[int, typer.Option(min=1, help="Releases of an equal version.")] = 500,
    each: Annotated[int, typer.Option(min=1, help="Releases of each worse version.")] = 20,
    workers: WorkersOption = 4,
) -> None:
    """Measure false alarms and the cost of each kind of worse version, on a model of 200 routers."""
    with require_extra("lab"):
        from ..lab.drill import release_benchmark

        for line in release_benchmark.run_release_benchmark(identical, each, workers):
            print(line, flush=True)


def explore_leases(
    replica_count: Annotated[int, typer.Option("--witnesses", min=1, max=5)] = 3,
    again: Annotated[int, typer.Option(min=0, help="Retries of each client.")] = 0,
) -> None:
    """Explore every message order of two clients and a few witnesses. Exits with 1 on a violation."""
    with require_extra("lab"):
        from ..lab.drill.model_checker import explore_register

    result = explore_register(replica_count, again)
    size = f"{result.states} states, {result.steps} steps, {result.depth} deep"
    print(f"{size}, {result.completed_states} of {result.terminal_states} ends done")
    if result.violations:
        exit_with_error(f"broken: {result.violations[0]}")


def mutations(
    file: Annotated[Path, typer.Argument(help="File of planted faults.")] = Path("tests/mutations.toml"),
    only: Annotated[str, typer.Option(help="Only faults whose names contain this text.")] = "",
    workers: WorkersOption = 4,
) -> None:
    """Run a drill on a copy of the program with each planted fault. Exits with 1 if one is missed."""
    with require_extra("lab"):
        from ..lab.drill import mutations as mutation_tests

    missed = 0
    try:
        faults = [fault for fault in mutation_tests.load_mutations(file) if only in fault.name]
        for result in mutation_tests.find_all_faults(faults, workers):
            missed += result.seed is None
            if result.seed:
                outcome = f"seed {result.seed}: {result.violation}"
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
    """Add the commands of this module to those of the lab."""
    lab.command()(drill)
    lab.command()(soak)
    lab.command()(scale)
    lab.command()(scale_soak)
    lab.command("leases")(measure_leases)
    lab.command("drains")(measure_drains)
    lab.command("releases")(measure_releases)
    lab.command("explore")(explore_leases)
    lab.command()(mutations)
