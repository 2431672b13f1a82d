"""Baseline routing policies, which have the interface of the real router and are compared with it."""

from __future__ import annotations

from collections.abc import Callable

from ...core.ports import DecisionModule
from ...decisions import api
from ...decisions.decide import Router
from .base import BaselinePolicy
from .bounded_hash import BoundedHash
from .choices import LeastOutstanding, RandomChoice, RoundRobin, TwoChoices
from .oracle import GroundTruth, Oracle

__all__ = ["POLICIES", "REAL_POLICY", "BaselinePolicy", "GroundTruth", "Oracle", "create_decider"]

REAL_POLICY = "rosepick"
POLICIES: dict[str, Callable[[api.RouterSettings, int], BaselinePolicy]] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
    "hash-bounded": BoundedHash,
    "oracle": Oracle,
}


def create_decider(name: str, settings: api.RouterSettings, seed: int) -> DecisionModule:
    """Create the decision module of a policy by its name.

    Raises:
        ValueError: there is no such policy.
    """
    if name == REAL_POLICY:
        return Router(settings, seed)
    if name not in POLICIES:
        raise ValueError(f"policy {name!r} is not known; known are {', '.join((REAL_POLICY, *POLICIES))}")
    return POLICIES[name](settings, seed)
