"""Plain routing policies that speak the interface of the real router, to be compared with it."""

from __future__ import annotations

from collections.abc import Callable

from ...core.engine import Decider
from ...decisions import api
from ...decisions.decide import Router
from .base import Plain
from .choices import LeastOutstanding, RandomChoice, RoundRobin, TwoChoices
from .hashed import HashBounded
from .oracle import Oracle, Truth

__all__ = ["POLICIES", "REAL", "Oracle", "Plain", "Truth", "decider"]

REAL = "rosepick"
POLICIES: dict[str, Callable[[api.Settings, int], Plain]] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
    "hash-bounded": HashBounded,
    "oracle": Oracle,
}


def decider(name: str, settings: api.Settings, seed: int) -> Decider:
    """A router instance by the name of its policy. ValueError if there is no such policy."""
    if name == REAL:
        return Router(settings, seed)
    if name not in POLICIES:
        raise ValueError(f"policy {name!r} is not known; known are {', '.join((REAL, *POLICIES))}")
    return POLICIES[name](settings, seed)
