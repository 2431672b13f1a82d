"""Plays a soak plan on real processes, and judges it: the four rules, and what routers say of themselves."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ...logs import parse_log_fields
from ..live.live_run import LiveRun, open_live_run
from ..live.process_start import ProcessStart
from ..results import RunResult
from . import process_faults
from .soak_plan import MAX_HOLD_UP_S, SoakPlan

# log lines by which a router says that something is wrong with itself
FAULT_EVENTS = frozenset(
    {"invariant_violated", "engine_fault", "event_loop_fault", "attempt_fault", "response_fault"}
)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What came of one seed."""

    seed: int
    run: RunResult
    violations: tuple[str, ...]

    def line(self) -> str:
        """Return the seed's figures as one line."""
        share = self.run.totals["served_share"]
        void = f", void: {self.run.void}" if self.run.void else ""
        return f"seed {self.seed}: served {share:.3f}, {len(self.violations)} violations{void}"


def play_soak(plan: SoakPlan) -> SoakResult:
    """Play a plan.

    Raises:
        HelperProcessError: stand-ins, clients or a router fail to start or to end.
    """
    with open_live_run(plan.experiment, plan.seed) as live:
        live.process_starts = [
            ProcessStart(process_faults.__name__, faults.environment()) for faults in plan.process_faults
        ]
        live.held_up_ms = 1000.0 * MAX_HOLD_UP_S
        live.set_up()
        live.run_to_end(lambda _share: None)
        run = live.result({})
        faults = tuple(_faults_in_logs(live))
    broken = tuple(
        f"{one.rule} at {one.at:.2f} s, {one.request or one.node}: {one.text}" for one in run[0].broken
    )
    return SoakResult(plan.seed, run[0], broken + faults)


def _faults_in_logs(live: LiveRun) -> Iterator[str]:
    """Yield the lines in which routers report faults of their own."""
    for router in live.routers:
        for line in router.log_file.read_text("utf-8", "replace").splitlines():
            if parse_log_fields(line).get("event") in FAULT_EVENTS:
                yield f"{router.name}: {line}"
