"""Operations on the fleet state that an agent asks of the quorum."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..consensus.proposer import RegisterChange


class OperationKind(StrEnum):
    """What an operation on the fleet state is for."""

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
    """A read of the fleet state (`change` is None) or a change of it."""

    action: OperationKind
    change: RegisterChange | None
