"""Log lines of a router process as a whole: its rules, its counters and changes of the endpoint list."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import asdict

from ..core.endpoint_directory import DirectoryUpdate, EndpointDirectory
from ..core.engine import Engine
from ..core.invariants import violation_counts
from ..core.request_counters import RequestCounters
from ..decisions import api
from ..logs import dropped_line_count, log_event
from .event_loop import EventLoop

# Log lines and their rate limits count as those of the server.
logger = logging.getLogger(f"{__package__}.server")
MAX_LOGGED_UIDS = 8  # maximum number of uids per log field; the others are counted


def log_rules(settings: api.RouterSettings) -> None:
    """Log the rules and limits in force, for the analysis of the log."""
    log_event(
        logger,
        logging.INFO,
        "rules_in_force",
        routers=settings.routers,
        lists_pushed=settings.pushed,
        max_attempts=settings.limits.max_attempts,
        **asdict(settings.rules),
    )


def log_counters(
    engine: Engine,
    loop: EventLoop,
    *,
    open_descriptors: int,
    rejected_requests: int,
    list_age_ms: float,
    discovery_watched: bool,
    admin_clients: int,
) -> None:
    """Log all counters, and begin a new measurement of the loop's longest turn and call.

    Args:
        engine: the engine, with its counts.
        loop: the event loop.
        open_descriptors: the number of descriptors in use.
        rejected_requests: the number of requests that could not be accepted, since the start.
        list_age_ms: the time since the latest list from discovery, in milliseconds.
        discovery_watched: whether a call to discovery is under way.
        admin_clients: the number of connections of the admin listener.
    """
    log_event(
        logger,
        logging.INFO,
        "counters",
        pending_requests=engine.pending_count,
        open_descriptors=open_descriptors,
        rejected_requests=rejected_requests,
        event_loop_faults=loop.fault_count,
        list_age_ms=list_age_ms,
        discovery_watched=discovery_watched,
        longest_turn_ms=loop.load.longest_turn_ms,
        longest_call_ms=loop.load.longest_call_ms,
        long_calls=loop.load.long_call_count,
        violated_invariants=sum(violation_counts.values()),
        dropped_log_lines=dropped_line_count(),
        admin_clients=admin_clients,
        **dict(sorted(engine.totals().items())),
    )
    loop.load.reset()


def log_outcomes(counters: RequestCounters, class_names: dict[int, str], worths: Mapping[int, float]) -> None:
    """Log the outcomes of each request class, by its index in `class_names` and `worths`."""
    for fields in counters.iter_log_fields(class_names, worths):
        log_event(logger, logging.INFO, "request_outcomes", **fields)


def changed_uid_fields(change: DirectoryUpdate, directory: EndpointDirectory) -> dict[str, str]:
    """Return log fields with the uids of endpoints that an update drains or retires, without empty fields."""
    draining = [
        directory.uid_of(entry.endpoint_id) or ""
        for entry in change.event.endpoints
        if entry.status is api.Status.DRAINING
    ]
    fields = {"draining": draining, "retired": list(change.retired_uids)}
    return {name: _join_uids(uids) for name, uids in fields.items() if uids}


def _join_uids(uids: list[str]) -> str:
    """Return the first `MAX_LOGGED_UIDS` uids as one text, and the number of the others."""
    hidden_count = len(uids) - MAX_LOGGED_UIDS
    return ",".join([*uids[:MAX_LOGGED_UIDS], *([f"+{hidden_count}"] if hidden_count > 0 else [])])
