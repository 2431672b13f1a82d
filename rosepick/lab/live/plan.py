"""All requests of a run, drawn ahead: the same ones that a simulated run meets, in each process of a live
one."""

from __future__ import annotations

from ..experiment import Experiment
from ..world.requests import Request, Requests

USUAL = {"flash": 0.0, "surge": 1.0}


def requests(experiment: Experiment, seed: int) -> list[Request]:
    """The requests in the order in which they are due. ExperimentError if a trace cannot be used."""
    made = Requests(experiment, seed)
    changes = _changes(experiment)
    coming, found = iter(made), list[Request]()
    while (request := next(coming, None)) is not None:
        found.append(request)
        # each one is drawn when the one before it comes, as in simulated time
        while changes and changes[0][0] <= request.due:
            _, name, value = changes.pop(0)
            setattr(made, name, value)
    return found


def _changes(experiment: Experiment) -> list[tuple[float, str, float]]:
    """When traffic changes by a trouble, and how."""
    changes = []
    for trouble in experiment.troubles:
        if trouble.kind not in USUAL:
            continue
        value = trouble.share if trouble.kind == "flash" else trouble.by
        changes.append((1000.0 * trouble.at, trouble.kind, value))
        if trouble.last:
            changes.append((1000.0 * (trouble.at + trouble.last), trouble.kind, USUAL[trouble.kind]))
    return sorted(changes, key=lambda change: change[0])


def name_of(request: Request, tries: int) -> str:
    """The Req-Id of a try, counted from 1."""
    return f"{request.number}.{tries}"


def request_of(plan: list[Request], name: str) -> Request | None:
    """The request that a Req-Id stands for; None if the plan did not make it."""
    number, dot, _ = name.partition(".")
    if not dot or not number.isascii() or not number.isdigit() or int(number) >= len(plan):
        return None
    return plan[int(number)]
