"""Transfers the learned state of a running router to the process that replaces it.

Without the transfer, the new process treats all keys as new ones: hot keys go to other cache nodes, miss
there, and overload the origin. A document is parsed and validated as a whole before any part is applied.
"""

from __future__ import annotations

import json
from array import array
from math import exp

from ..decisions.decide import MIN_TOP_SIZE, READ_SHARE_DECAY_READS, Router
from ..decisions.endpoint_pools import MAX_KEEP_SHARE_READS
from .state_document import STATE_FORMAT_VERSION, StateDocument, parse_state_document

MIN_SHED_LIMIT = 1.0
MIN_WAIT_SHARE = 0.1
MIN_CONCURRENCY_LIMIT = 1.0


def export_state(router: Router, now: float) -> bytes:
    """Return the learned state of a router as a document (see `state_document`).

    `now` is in milliseconds of the system's monotonic clock, which both processes read.
    """
    popularity = router.popularity
    origin = router.origin
    shedder = router.shedder
    header = {
        "version": STATE_FORMAT_VERSION,
        "at": now,
        "limit": popularity.top_limit,
        "reads": popularity.reads,
        "top": len(popularity.top),
        "tail": len(popularity.tail),
        "pools": [router.pools.keep_share, router.pools.keep_reads, router.pools.wide_share],
        "paces": [router.latency_per_request, router.mean_latency, router.deviation],
        "origin": [origin.latency_ewma, origin.best_latency_ms, origin.limit, origin.total],
        "pressure": [shedder.limit, shedder.wait_share],
        "servers": [
            [state.id, state.latency_ewma, state.load_ewma, state.concurrency_limit]
            for state in router.endpoints.states.values()
            if state.latency_ewma
        ],
    }
    entries = [*popularity.top.items(), *popularity.tail.items()]
    keys = array("Q", [key for key, _ in entries])
    endpoint_ids = array("I", [endpoint_id for _, (endpoint_id, _, _) in entries])
    decayed_reads = array(
        "f", [reads * exp((at - popularity.reads) / READ_SHARE_DECAY_READS) for _, (_, reads, at) in entries]
    )
    header_line = json.dumps(header).encode() + b"\n"
    return header_line + keys.tobytes() + endpoint_ids.tobytes() + decayed_reads.tobytes()


def import_state(router: Router, document: bytes, now: float) -> int:
    """Apply a document to a router that has served no request; return the number of keys in the document.

    Args:
        router: the decision module of the new process.
        document: the result of `export_state` in the old process.
        now: the current time in milliseconds of the system's monotonic clock.

    Raises:
        StateDocumentError: a part of the document is malformed; the router was not changed.
    """
    state = parse_state_document(document)
    _apply_popularity(router, state)
    _apply_router_state(router, state)
    _apply_endpoint_states(router, state, now)
    return len(state.columns.keys)


def _apply_popularity(router: Router, state: StateDocument) -> None:
    columns = state.columns
    entries = [
        (key, (endpoint_id, reads, state.reads))
        for key, endpoint_id, reads in zip(
            columns.keys, columns.endpoint_ids, columns.decayed_reads, strict=True
        )
    ]
    popularity = router.popularity
    popularity.top_limit = min(popularity.capacity, max(MIN_TOP_SIZE, state.top_limit))
    popularity.reads = state.reads
    popularity.top.update(entries[: state.top_count])
    popularity.tail.update(entries[state.top_count :])


def _apply_router_state(router: Router, state: StateDocument) -> None:
    router.pools.keep_share = min(1.0, state.pools.keep_share)
    router.pools.keep_reads = min(MAX_KEEP_SHARE_READS, state.pools.keep_reads)
    router.pools.wide_share = min(1.0, state.pools.wide_share)
    router.latency_per_request = state.latencies.latency_per_request
    router.mean_latency = state.latencies.mean_latency
    router.deviation = state.latencies.deviation
    router.origin.latency_ewma = state.origin.latency_ewma
    router.origin.best_latency_ms = state.origin.best
    router.origin.limit = max(router.origin.min_limit, state.origin.limit)
    router.origin.total = state.origin.total
    router.shedder.limit = max(MIN_SHED_LIMIT, state.shedder.limit)
    router.shedder.wait_share = min(1.0, max(MIN_WAIT_SHARE, state.shedder.wait_share))


def _apply_endpoint_states(router: Router, state: StateDocument, now: float) -> None:
    for learned in state.endpoints:
        endpoint = router.endpoints.states.get(learned.endpoint_id)
        if endpoint is not None:
            endpoint.latency_ewma = learned.latency_ewma
            endpoint.load_ewma = learned.load_ewma
            endpoint.concurrency_limit = max(MIN_CONCURRENCY_LIMIT, learned.concurrency_limit)
            endpoint.latency_at = now
