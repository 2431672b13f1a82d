"""All requests of a run, drawn ahead: the same ones that a simulated run meets, in each process of a live
one.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..experiment import Experiment
from ..model.workload import ScheduledRequest, Workload

TRAFFIC_FAULTS = ("flash", "surge")


def schedule_requests(experiment: Experiment, seed: int) -> list[ScheduledRequest]:
    """The requests in the order in which they are due. ExperimentError if a trace cannot be used."""
    made = Workload(experiment, seed)
    changes = _traffic_changes(experiment, made)
    coming, found = iter(made), list[ScheduledRequest]()
    while (request := next(coming, None)) is not None:
        found.append(request)
        # each one is drawn when the one before it comes, as in simulated time
        while changes and changes[0][0] <= request.due_ms:
            changes.pop(0)[1]()
    return found


def _traffic_changes(experiment: Experiment, workload: Workload) -> list[tuple[float, Callable[[], None]]]:
    """When traffic changes by a trouble, and how."""
    changes = []
    for trouble in experiment.troubles:
        if trouble.kind not in TRAFFIC_FAULTS:
            continue
        value = trouble.share if trouble.kind == "flash" else trouble.by
        on = workload.flash_shares if trouble.kind == "flash" else workload.surge_factors
        changes.append((1000.0 * trouble.at, partial(on.append, value)))
        if trouble.last:
            changes.append((1000.0 * (trouble.at + trouble.last), partial(on.remove, value)))
    return sorted(changes, key=lambda change: change[0])


def request_id_of(request: ScheduledRequest, send_count: int) -> str:
    """The Req-Id of a sending, counted from 1."""
    return f"{request.number}.{send_count}"


def find_request(schedule: list[ScheduledRequest], request_id: str) -> ScheduledRequest | None:
    """The request that a Req-Id stands for; None if the plan did not make it."""
    number, dot, _ = request_id.partition(".")
    if not dot or not number.isascii() or not number.isdigit() or int(number) >= len(schedule):
        return None
    return schedule[int(number)]
