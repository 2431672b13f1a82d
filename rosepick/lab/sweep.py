"""A grid of runs, played over worker processes. Results come in the order of the grid, whatever the number of
workers. No I/O but that of the processes.
"""

from __future__ import annotations

import math
import os
import re
import signal
import threading
import tomllib
from collections import deque
from collections.abc import Callable, Generator, Iterable, Sequence
from concurrent.futures import BrokenExecutor, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from functools import partial
from itertools import chain, islice, product
from multiprocessing import get_context
from multiprocessing.connection import Connection
from typing import Any, Protocol

from .experiment import Experiment, ExperimentError, parse_experiment
from .results import RunCost, RunResult

MAX_CELLS = 10_000
MAX_ERRORS = 20  # that are named one by one
CELLS_AHEAD = 4  # cells for each worker that may be in work or done beyond the first that is not
PROGRESS_INTERVAL_S = 0.2  # seconds between two looks at how far the workers are

ProgressCallback = Callable[[float], None]
CellResult = tuple[RunResult, RunCost]
CellResults = Generator[CellResult, None, None]

_RANGE = re.compile(r"(-?\d{1,15})\.\.(-?\d{1,15})")
_COMMA = re.compile(r',(?=(?:[^"]*"[^"]*")*[^"]*$)')  # not between double quotes
_NAME = re.compile(r"[^.\s]+(\.[^.\s]+)*")


class RunExperiment(Protocol):
    """Plays one run; `progress` is called with the part done, 0 to 1."""

    def __call__(
        self,
        experiment: Experiment,
        seed: int,
        policy: str,
        changes: dict[str, Any],
        progress: ProgressCallback | None = None,
    ) -> CellResult: ...


class GridError(ValueError):
    """Terms that make no grid; one line a fault."""

    def __init__(self, errors: tuple[str, ...]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


class CellError(Exception):
    """A cell could not be played; one line that names it."""


@dataclass(frozen=True, slots=True)
class GridCell:
    """One run of a grid; the experiment's own policy or seed where it is None."""

    changes: dict[str, Any]
    policy: str | None = None
    seed: int | None = None

    def __str__(self) -> str:
        given = {**self.changes, "policy": self.policy, "seed": self.seed}
        return " ".join(f"{name}={value}" for name, value in given.items() if value is not None)


# ------------------------------------------------------------------------------------------------- the grid


def parse_grid(terms: Iterable[str]) -> list[GridCell]:
    """The cells of terms such as `traffic.rate=100,200`, `policy=rosepick,random` and `seed=1..5`; the last
    one changes fastest. GridError names all bad terms.
    """
    axes: dict[str, list[Any]] = {}
    faults: list[str] = []
    for term in terms:
        try:
            name, values = _parse_term(term)
            if name in axes:
                raise ValueError(f"{name} comes twice")
            axes[name] = values
        except ValueError as problem:
            faults.append(f"{term}: {problem}")
    count = math.prod(len(values) for values in axes.values())
    if count > MAX_CELLS:
        faults.append(f"{count} cells are more than {MAX_CELLS}")
    if faults:
        raise GridError(tuple(faults))
    return [_to_cell(dict(zip(axes, values, strict=True))) for values in product(*axes.values())]


def _parse_term(term: str) -> tuple[str, list[Any]]:
    """Name and values of a term. ValueError if it is a bad one."""
    name, sign, given = (part.strip() for part in term.partition("="))
    if not sign:
        raise ValueError("has no '='")
    if not _NAME.fullmatch(name):
        raise ValueError("has no dotted name before '='")
    texts = [text.strip() for text in _COMMA.split(given)]
    if not all(texts):
        raise ValueError("has an empty value")
    pieces = [_parse_value(text) for text in texts]
    # counted before a range is written out
    if sum(len(piece) for piece in pieces) > MAX_CELLS:
        raise ValueError(f"has more than {MAX_CELLS} values")
    values = list(chain.from_iterable(pieces))
    if name == "policy":
        values = [value if isinstance(value, str) else texts[n] for n, value in enumerate(values)]
    if name == "seed" and not all(type(value) is int and value >= 0 for value in values):
        raise ValueError("a seed is a whole number from 0 on")
    if len({(type(value), value) for value in values}) < len(values):
        raise ValueError("has a value twice")
    return name, values


def _parse_value(text: str) -> Sequence[Any]:
    """A range, or the one value that a text is as TOML, or the text."""
    if found := _RANGE.fullmatch(text):
        first, last = (int(end) for end in found.groups())
        if last < first:
            raise ValueError(f"{text} holds nothing")
        return range(first, last + 1)
    try:
        document = tomllib.loads(f"value = [{text}]")
    except ValueError:
        return [text]
    values = document["value"]
    if len(document) == len(values) == 1 and isinstance(values[0], bool | int | float | str):
        return [values[0]]
    return [text]


def _to_cell(given: dict[str, Any]) -> GridCell:
    policy, seed = given.pop("policy", None), given.pop("seed", None)
    return GridCell(given, policy, seed)


# ------------------------------------------------------------------------------------------------- the runs


@dataclass(frozen=True, slots=True)
class _SweepJob:
    """What a worker needs to know, besides the cell."""

    experiment_text: str
    source_name: str
    run_experiment: RunExperiment

    def run(self, cell: GridCell, progress: ProgressCallback) -> CellResult:
        """The result of a cell. CellFailed if there is none."""
        try:
            found = parse_experiment(self.experiment_text, self.source_name, cell.changes)
            seed = found.seed if cell.seed is None else cell.seed
            policy = found.policy if cell.policy is None else cell.policy
            return self.run_experiment(found, seed, policy, cell.changes, progress)
        except Exception as problem:
            raise CellError(
                f"{_cell_name(self.source_name, cell)}: {type(problem).__name__}: {problem}"
            ) from problem


def run_sweep(
    experiment_text: str,
    source_name: str,
    cells: Sequence[GridCell],
    workers: int,
    run_experiment: RunExperiment,
    on_progress: ProgressCallback,
) -> CellResults:
    """Play cells and yield their results in order, each as soon as it and all before it are done.

    `on_progress` is given the part of the whole that is done, 0 to 1. More than one worker needs a
    `run_experiment` that can be pickled. When the caller stops or is interrupted, the workers end at once.
    ExperimentError before anything starts, if a cell is a faulty experiment; CellFailed at the first cell, in
    order, that could not be played.
    """
    if workers < 1:
        raise ValueError("there must be a worker at least")
    _check(experiment_text, source_name, cells)
    job = _SweepJob(experiment_text, source_name, run_experiment)
    alone = workers == 1 or len(cells) < 2
    return (
        _run_in_process(job, cells, on_progress)
        if alone
        else _run_in_workers(job, cells, workers, on_progress)
    )


def _check(text: str, source_name: str, cells: Sequence[GridCell]) -> None:
    """ExperimentError names the cells that are faulty experiments, with their changes."""
    faults: list[str] = []
    seen: set[str] = set()
    for cell in cells:
        if repr(cell.changes) in seen:
            continue
        seen.add(repr(cell.changes))
        try:
            parse_experiment(text, _cell_name(source_name, GridCell(cell.changes)), cell.changes)
        except ExperimentError as problem:
            faults += problem.errors
    if len(faults) > MAX_ERRORS:
        faults[MAX_ERRORS:] = [f"{source_name}: {len(faults) - MAX_ERRORS} faults more"]
    if faults:
        raise ExperimentError(tuple(faults))


def _cell_name(source_name: str, cell: GridCell) -> str:
    return f"{source_name} with {cell}" if str(cell) else source_name


def _run_in_process(job: _SweepJob, cells: Sequence[GridCell], on_progress: ProgressCallback) -> CellResults:
    """In this process."""
    for number, cell in enumerate(cells):
        result = job.run(cell, partial(_report_progress, on_progress, number, len(cells)))
        on_progress((number + 1) / len(cells))
        yield result


def _report_progress(on_progress: ProgressCallback, number: int, count: int, part: float) -> None:
    on_progress((number + part) / count)


def _run_in_workers(
    job: _SweepJob, cells: Sequence[GridCell], workers: int, on_progress: ProgressCallback
) -> CellResults:
    """Over processes of their own."""
    context = get_context("spawn")
    parts = context.RawArray("d", len(cells))
    theirs, ours = context.Pipe(duplex=False)
    pool = ProcessPoolExecutor(min(workers, len(cells)), context, _init_worker, (job, parts, theirs))
    waiting: deque[Future[CellResult]] = deque()
    rest = iter(enumerate(cells))
    try:
        for _ in cells:
            # a slow cell must not make all that come after it pile up
            for number, cell in islice(rest, workers * CELLS_AHEAD - len(waiting)):
                waiting.append(pool.submit(_run_cell, number, cell))
            # a pool does not see the end of the process that it started last before it is called again
            pool.submit(int)
            first = waiting.popleft()
            while not first.done():
                wait([first], PROGRESS_INTERVAL_S)
                on_progress(math.fsum(parts) / len(cells))
            result = first.result()
            on_progress(math.fsum(parts) / len(cells))
            yield result
    except BrokenExecutor as problem:
        raise CellError(f"{job.source_name}: a worker process ended before its cell was done") from problem
    finally:
        ours.close()
        pool.shutdown(cancel_futures=True)
        theirs.close()


# --------------------------------------------------------------------------------------- in a worker process

_worker_state: tuple[_SweepJob, Any] | None = None


def _init_worker(job: _SweepJob, parts: Any, alive: Connection) -> None:
    """Make a process ready for its cells."""
    global _worker_state
    _worker_state = job, parts
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the sweep's own process says when it is over
    threading.Thread(target=_exit_with_parent, args=(alive,), daemon=True).start()


def _exit_with_parent(alive: Connection) -> None:
    """End this process as soon as the other end of the pipe is closed, which also a kill does."""
    try:
        alive.recv_bytes()
    except (EOFError, OSError):
        os._exit(1)


def _run_cell(number: int, cell: GridCell) -> CellResult:
    assert _worker_state is not None
    job, parts = _worker_state
    result = job.run(cell, partial(parts.__setitem__, number))
    parts[number] = 1.0
    return result
