"""Rules by which clients retry requests and classify their outcomes.

Simulated clients and clients on sockets share these rules, so that runs of both kinds can be compared.
"""

from __future__ import annotations

from enum import StrEnum

from ..experiment_config import ClientsConfig, RequestClassConfig

SECOND_MS = 1000.0


class TryOutcome(StrEnum):
    """The outcome of one try of a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class ClientOutcome(StrEnum):
    """The outcome of a request for its client, after all tries. The values are names in results."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


CLIENT_OUTCOME_BY_TRY_OUTCOME = {
    TryOutcome.REFUSED: ClientOutcome.REFUSED,
    TryOutcome.FAILED: ClientOutcome.FAILED,
}
"""Maps the outcome of the last try to that of the request, if the last try was not served."""


def final_outcome(
    clients: ClientsConfig,
    request_class: RequestClassConfig,
    tries: int,
    last_outcome: TryOutcome,
    elapsed_ms: float,
) -> ClientOutcome | None:
    """Return the outcome of a request after a try, or None if its client retries.

    `tries` counts the tries so far, `last_outcome` is the outcome of the last one, and `elapsed_ms` is the
    time since the request was due, in milliseconds.
    """
    if last_outcome is TryOutcome.SERVED:
        in_time = elapsed_ms <= SECOND_MS * request_class.aim
        return ClientOutcome.IN_TIME if in_time else ClientOutcome.LATE
    may_retry = last_outcome is TryOutcome.REFUSED or request_class.effect == "retryable"
    if may_retry and tries <= clients.retries:
        return None
    return CLIENT_OUTCOME_BY_TRY_OUTCOME[last_outcome]


def retry_pause_ms(clients: ClientsConfig, retry_after_ms: float, now: float, draw: float) -> float:
    """Return the delay before a client retries, in milliseconds.

    `retry_after_ms` is the delay that the router requested, 0 if it requested none; `now` is the time in
    milliseconds; `draw` is a random number from 0 to 1.
    """
    if clients.manner == "at once":
        return 0.0
    if clients.manner == "in step":
        return SECOND_MS - now % SECOND_MS
    obeys = clients.manner == "obey" and retry_after_ms > 0
    return retry_after_ms if obeys else SECOND_MS * clients.pause * (0.5 + draw)
