"""Draws the requests of a live run before it starts, the same in each process and in simulated time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..experiment import Experiment
from ..model.workload import ScheduledRequest, Workload

TRAFFIC_FAULTS = ("flash", "surge")


@dataclass(frozen=True, slots=True)
class _TrafficChange:
    """A change of the traffic at the start or end of a fault."""

    at_ms: float
    apply: Callable[[], None]


def schedule_requests(experiment: Experiment, seed: int) -> list[ScheduledRequest]:
    """Return all requests in the order of their due times.

    Raises:
        ExperimentError: a trace file cannot be used.
    """
    workload = Workload(experiment, seed)
    changes = _traffic_changes(experiment, workload)
    requests: list[ScheduledRequest] = []
    for request in workload:
        requests.append(request)
        # as in simulated time, the next request is drawn when this one is due
        while changes and changes[0].at_ms <= request.due_ms:
            changes.pop(0).apply()
    return requests


def _traffic_changes(experiment: Experiment, workload: Workload) -> list[_TrafficChange]:
    """Return the changes at the start and end of all faults that change the traffic, in order of time."""
    changes: list[_TrafficChange] = []
    for fault in experiment.troubles:
        if fault.kind not in TRAFFIC_FAULTS:
            continue
        value = fault.share if fault.kind == "flash" else fault.by
        active = workload.flash_shares if fault.kind == "flash" else workload.surge_factors
        changes.append(_TrafficChange(1000.0 * fault.at, partial(active.append, value)))
        if fault.last:
            until_ms = 1000.0 * (fault.at + fault.last)
            changes.append(_TrafficChange(until_ms, partial(active.remove, value)))
    return sorted(changes, key=lambda change: change.at_ms)


def request_id_of(request: ScheduledRequest, send_count: int) -> str:
    """Return the Req-Id for the `send_count`-th sending of a request, from 1 on."""
    return f"{request.number}.{send_count}"


def find_request(schedule: list[ScheduledRequest], request_id: str) -> ScheduledRequest | None:
    """Return the request with a Req-Id, or None if the schedule does not contain it."""
    number, dot, _ = request_id.partition(".")
    if not dot or not number.isascii() or not number.isdigit() or int(number) >= len(schedule):
        return None
    return schedule[int(number)]
