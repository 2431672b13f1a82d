"""Plays a soak plan on real processes; checks the four rules and the fault events in the routers' logs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ...logs import parse_log_fields
from ..live.live_run import LiveRun, open_live_run
from ..live.process_start import ProcessStart
from ..results import RunResult
from . import process_faults
from .soak_plan import MAX_PAUSE_S, SoakPlan

# Log events with which a router reports a fault of its own.
FAULT_EVENTS = frozenset(
    {"invariant_violated", "engine_fault", "event_loop_fault", "attempt_fault", "response_fault"}
)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of the run of one seed."""

    seed: int
    run: RunResult
    violations: tuple[str, ...]

    def line(self) -> str:
        """Return the result as one line."""
        share = self.run.totals["served_share"]
        void = f", void: {self.run.void}" if self.run.void else ""
        return f"seed {self.seed}: served {share:.3f}, {len(self.violations)} violations{void}"


def play_soak(plan: SoakPlan) -> SoakResult:
    """Play a plan and return its result.

    Raises:
        HelperProcessError: The stand-ins, the clients or a router fail to start or to end.
    """
    with open_live_run(plan.experiment, plan.seed) as live:
        live.process_starts = [
            ProcessStart(process_faults.__name__, faults.environment()) for faults in plan.process_faults
        ]
        live.max_pause_ms = 1000.0 * MAX_PAUSE_S
        live.set_up()
        live.run_to_end(lambda _share: None)
        run = live.result({})
        faults = tuple(_fault_lines(live))
    violations = tuple(
        f"{violation.rule} at {violation.at:.2f} s, {violation.request or violation.node}: {violation.text}"
        for violation in run[0].broken
    )
    return SoakResult(plan.seed, run[0], violations + faults)


def _fault_lines(live: LiveRun) -> Iterator[str]:
    """Yield the log lines in which routers report faults of their own."""
    for router in live.routers:
        for line in router.log_file.read_text("utf-8", "replace").splitlines():
            if parse_log_fields(line).get("event") in FAULT_EVENTS:
                yield f"{router.name}: {line}"
