"""How clients behave on their answers: the same for those in simulated time and those on sockets, so that
runs of both kinds can be laid side by side.
"""

from __future__ import annotations

from ..experiment import ClientsConfig, RequestClassConfig


def final_outcome(
    clients: ClientsConfig, klass: RequestClassConfig, tries: int, outcome: str, elapsed_ms: float
) -> str | None:
    """The end of a request after so many tries, of which the last one was served, refused or failed,
    `elapsed_ms` milliseconds after the request was due; None if its client comes back.
    """
    if outcome == "served":
        return "in_time" if elapsed_ms <= 1000.0 * klass.aim else "late"
    harmless = outcome == "refused" or klass.effect == "retryable"
    return None if harmless and tries <= clients.retries else outcome


def retry_pause_ms(clients: ClientsConfig, retry_after_ms: float, now: float, draw: float) -> float:
    """How long a client waits before it comes back, in milliseconds: `retry_after_ms` by the router, or by
    its own manner; `draw` from 0 to 1.
    """
    if clients.manner == "at once":
        return 0.0
    if clients.manner == "in step":
        return 1000.0 - now % 1000.0
    obeys = clients.manner == "obey" and retry_after_ms > 0
    return retry_after_ms if obeys else 1000.0 * clients.pause * (0.5 + draw)
