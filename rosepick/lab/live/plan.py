"""All requests of a run, drawn ahead: the same ones that a simulated run meets, in each process of a live
one.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..experiment import Experiment
from ..world.requests import Request, Requests

TRAFFIC = ("flash", "surge")


def requests(experiment: Experiment, seed: int) -> list[Request]:
    """The requests in the order in which they are due. ExperimentError if a trace cannot be used."""
    made = Requests(experiment, seed)
    changes = _changes(experiment, made)
    coming, found = iter(made), list[Request]()
    while (request := next(coming, None)) is not None:
        found.append(request)
        # each one is drawn when the one before it comes, as in simulated time
        while changes and changes[0][0] <= request.due:
            changes.pop(0)[1]()
    return found


def _changes(experiment: Experiment, made: Requests) -> list[tuple[float, Callable[[], None]]]:
    """When traffic changes by a trouble, and how."""
    changes = []
    for trouble in experiment.troubles:
        if trouble.kind not in TRAFFIC:
            continue
        value = trouble.share if trouble.kind == "flash" else trouble.by
        on = made.flashes if trouble.kind == "flash" else made.surges
        changes.append((1000.0 * trouble.at, partial(on.append, value)))
        if trouble.last:
            changes.append((1000.0 * (trouble.at + trouble.last), partial(on.remove, value)))
    return sorted(changes, key=lambda change: change[0])


def name_of(request: Request, sendings: int) -> str:
    """The Req-Id of a sending, counted from 1."""
    return f"{request.number}.{sendings}"


def request_of(plan: list[Request], name: str) -> Request | None:
    """The request that a Req-Id stands for; None if the plan did not make it."""
    number, dot, _ = name.partition(".")
    if not dot or not number.isascii() or not number.isdigit() or int(number) >= len(plan):
        return None
    return plan[int(number)]
