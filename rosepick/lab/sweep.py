"""Executes the runs of a grid in worker processes.

Results are in the order of the grid, whatever the number of workers. The module does no I/O except with the
workers.
"""

from __future__ import annotations

import math
import os
import signal
import threading
from collections import deque
from collections.abc import Callable, Generator, Iterator, Sequence
from concurrent.futures import BrokenExecutor, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from functools import partial
from itertools import islice
from multiprocessing import get_context
from multiprocessing.connection import Connection
from typing import Any, Protocol

from .experiment import Experiment, ExperimentError, parse_experiment
from .grid import GridCell
from .results import RunCost, RunResult

MAX_ERRORS = 20  # errors that are listed; the rest is counted
MAX_PENDING_PER_WORKER = 4  # submitted cells per worker, from the first unfinished cell on
PROGRESS_INTERVAL_S = 0.2  # interval between reads of the workers' progress

ProgressCallback = Callable[[float], None]
CellResult = tuple[RunResult, RunCost]
CellResults = Generator[CellResult, None, None]


class RunExperiment(Protocol):
    """A function that executes one run."""

    def __call__(
        self,
        experiment: Experiment,
        seed: int,
        policy: str,
        changes: dict[str, Any],
        progress: ProgressCallback | None = None,
    ) -> CellResult:
        """Return the result and cost of a run; `progress` is called with the completed share, 0 to 1."""
        ...


class CellError(Exception):
    """The run of a cell failed; the message is one line that names the cell."""


@dataclass(frozen=True, slots=True)
class SweepJob:
    """The common input of all cells; `run_experiment` must be picklable for more than one worker."""

    experiment_text: str
    source_name: str
    run_experiment: RunExperiment

    def run(self, cell: GridCell, progress: ProgressCallback) -> CellResult:
        """Run a cell and return its result.

        Raises:
            CellError: the run failed.
        """
        try:
            experiment = parse_experiment(self.experiment_text, self.source_name, cell.changes)
            seed = experiment.seed if cell.seed is None else cell.seed
            policy = experiment.policy if cell.policy is None else cell.policy
            return self.run_experiment(experiment, seed, policy, cell.changes, progress)
        except Exception as error:
            raise CellError(
                f"{_cell_name(self.source_name, cell)}: {type(error).__name__}: {error}"
            ) from error


def run_sweep(
    job: SweepJob, cells: Sequence[GridCell], workers: int, on_progress: ProgressCallback
) -> CellResults:
    """Run cells and yield their results in order, each as soon as it and all previous ones are complete.

    `on_progress` is called with the completed share of all cells, 0 to 1. When the caller stops or is
    interrupted, the workers exit immediately.

    Raises:
        ExperimentError: a cell is an invalid experiment; raised before any cell runs.
        CellError: the run of a cell failed; raised at the first such cell in order.
        ValueError: `workers` is less than 1.
    """
    if workers < 1:
        raise ValueError("there must be a worker at least")
    _check_cells(job, cells)
    if workers == 1 or len(cells) < 2:
        return _run_in_process(job, cells, on_progress)
    return _run_in_workers(job, cells, workers, on_progress)


def _check_cells(job: SweepJob, cells: Sequence[GridCell]) -> None:
    """Validate the experiments of all cells.

    Raises:
        ExperimentError: cells are invalid experiments; the message names them with their changes.
    """
    errors: list[str] = []
    checked: set[str] = set()
    for cell in cells:
        if repr(cell.changes) in checked:
            continue
        checked.add(repr(cell.changes))
        try:
            cell_name = _cell_name(job.source_name, GridCell(cell.changes))
            parse_experiment(job.experiment_text, cell_name, cell.changes)
        except ExperimentError as error:
            errors += error.errors
    if len(errors) > MAX_ERRORS:
        errors[MAX_ERRORS:] = [f"{job.source_name}: {len(errors) - MAX_ERRORS} faults more"]
    if errors:
        raise ExperimentError(tuple(errors))


def _cell_name(source_name: str, cell: GridCell) -> str:
    return f"{source_name} with {cell}" if str(cell) else source_name


def _run_in_process(job: SweepJob, cells: Sequence[GridCell], on_progress: ProgressCallback) -> CellResults:
    """Run all cells in this process."""
    for number, cell in enumerate(cells):
        result = job.run(cell, partial(_report_progress, on_progress, number, len(cells)))
        on_progress((number + 1) / len(cells))
        yield result


def _report_progress(
    on_progress: ProgressCallback, number: int, cell_count: int, cell_progress: float
) -> None:
    on_progress((number + cell_progress) / cell_count)


def _run_in_workers(
    job: SweepJob, cells: Sequence[GridCell], workers: int, on_progress: ProgressCallback
) -> CellResults:
    """Run the cells in worker processes."""
    context = get_context("spawn")
    cell_progress = context.RawArray("d", len(cells))
    worker_end, own_end = context.Pipe(duplex=False)
    pool = ProcessPoolExecutor(
        min(workers, len(cells)), context, _init_worker, (job, cell_progress, worker_end)
    )
    pending: deque[Future[CellResult]] = deque()
    remaining = iter(enumerate(cells))
    try:
        for _ in cells:
            # limited, so that results do not accumulate behind a slow cell
            _submit_cells(pool, pending, remaining, workers * MAX_PENDING_PER_WORKER)
            # only a further call makes a pool notice that the process it started last has exited
            pool.submit(int)
            first = pending.popleft()
            while not first.done():
                wait([first], PROGRESS_INTERVAL_S)
                on_progress(math.fsum(cell_progress) / len(cells))
            result = first.result()
            on_progress(math.fsum(cell_progress) / len(cells))
            yield result
    except BrokenExecutor as error:
        raise CellError(f"{job.source_name}: a worker process ended before its cell was done") from error
    finally:
        own_end.close()
        pool.shutdown(cancel_futures=True)
        worker_end.close()


def _submit_cells(
    pool: ProcessPoolExecutor,
    pending: deque[Future[CellResult]],
    remaining: Iterator[tuple[int, GridCell]],
    max_pending: int,
) -> None:
    """Submit cells until `max_pending` of them are pending or none remains."""
    for number, cell in islice(remaining, max_pending - len(pending)):
        pending.append(pool.submit(_run_cell, number, cell))


# ------------------------------------------------------------------------------------- in a worker process


@dataclass(frozen=True, slots=True)
class _WorkerState:
    """The arguments that a worker process was started with."""

    job: SweepJob
    cell_progress: Any  # shared array: completed share of each cell, 0 to 1


_worker_state: _WorkerState | None = None


def _init_worker(job: SweepJob, cell_progress: Any, parent_pipe: Connection) -> None:
    """Prepare a worker process for its cells."""
    global _worker_state
    _worker_state = _WorkerState(job, cell_progress)
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the sweep's own process decides when to stop
    threading.Thread(target=_exit_with_parent, args=(parent_pipe,), daemon=True).start()


def _exit_with_parent(parent_pipe: Connection) -> None:
    """Exit this process when the other end of the pipe closes, as it also does if the parent is killed."""
    try:
        parent_pipe.recv_bytes()
    except (EOFError, OSError):
        os._exit(1)


def _run_cell(number: int, cell: GridCell) -> CellResult:
    state = _worker_state
    assert state is not None
    result = state.job.run(cell, partial(state.cell_progress.__setitem__, number))
    state.cell_progress[number] = 1.0
    return result
