"""How clients behave on their answers: the same for those in simulated time and those on sockets, so that
runs of both kinds can be laid side by side.
"""

from __future__ import annotations

from ..experiment import Class, Clients


def end_of(clients: Clients, klass: Class, tries: int, how: str, took: float) -> str | None:
    """The end of a request after so many tries, of which the last one was served, refused or failed, `took`
    milliseconds after the request was due; None if its client comes back.
    """
    if how == "served":
        return "in_time" if took <= 1000.0 * klass.aim else "late"
    harmless = how == "refused" or klass.effect == "retryable"
    return None if harmless and tries <= clients.retries else how


def pause(clients: Clients, told: float, now: float, drawn: float) -> float:
    """How long a client waits before it comes back, in milliseconds: `told` by the router, or by its own
    manner; `drawn` from 0 to 1.
    """
    if clients.manner == "at once":
        return 0.0
    if clients.manner == "in step":
        return 1000.0 - now % 1000.0
    obeys = clients.manner == "obey" and told > 0
    return told if obeys else 1000.0 * clients.pause * (0.5 + drawn)
