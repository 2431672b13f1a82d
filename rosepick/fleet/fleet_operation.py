"""Operations on the fleet state that an agent submits to the quorum."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..consensus.proposer import RegisterChange


class OperationKind(StrEnum):
    """Purpose of an operation on the fleet state."""

    READ = "look"
    JOIN = "join"
    HALT = "halt"
    DEPLOY = "wish"  # request or cancel a drain on behalf of a rollout
    ACQUIRE_PERMIT = "take"
    WITHDRAW_PERMIT = "withdraw"
    BEGIN_DRAIN = "begin"
    MARK_OUT = "gone"
    MARK_REJOINING = "coming"
    MARK_HEALTHY = "proven"


@dataclass(frozen=True, slots=True)
class FleetOperation:
    """An operation on the fleet state: a read if `change` is None, else a change."""

    action: OperationKind
    change: RegisterChange | None
