"""How clients react to responses.

Clients in simulated time and clients on sockets share it, so that runs of both kinds can be compared.
"""

from __future__ import annotations

from enum import StrEnum

from ..experiment_config import ClientsConfig, RequestClassConfig

SECOND_MS = 1000.0


class TryOutcome(StrEnum):
    """How one try of a request ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class ClientOutcome(StrEnum):
    """How a request ended for its client, after all of its tries. The values are names in results."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


CLIENT_OUTCOME_BY_TRY = {
    TryOutcome.REFUSED: ClientOutcome.REFUSED,
    TryOutcome.FAILED: ClientOutcome.FAILED,
}
"""How a request ends whose last try was not served."""


def final_outcome(
    clients: ClientsConfig,
    request_class: RequestClassConfig,
    tries: int,
    last_outcome: TryOutcome,
    elapsed_ms: float,
) -> ClientOutcome | None:
    """Return how a request ends after its last try, or None if its client tries again.

    `elapsed_ms` is the time since the request was due.
    """
    if last_outcome is TryOutcome.SERVED:
        in_time = elapsed_ms <= SECOND_MS * request_class.aim
        return ClientOutcome.IN_TIME if in_time else ClientOutcome.LATE
    may_retry = last_outcome is TryOutcome.REFUSED or request_class.effect == "retryable"
    if may_retry and tries <= clients.retries:
        return None
    return CLIENT_OUTCOME_BY_TRY[last_outcome]


def retry_pause_ms(clients: ClientsConfig, retry_after_ms: float, now: float, draw: float) -> float:
    """Return how long a client waits before it tries again, in milliseconds.

    `retry_after_ms` is what the router asked for, 0 if nothing; `draw` is a random number from 0 to 1.
    """
    if clients.manner == "at once":
        return 0.0
    if clients.manner == "in step":
        return SECOND_MS - now % SECOND_MS
    obeys = clients.manner == "obey" and retry_after_ms > 0
    return retry_after_ms if obeys else SECOND_MS * clients.pause * (0.5 + draw)
