"""Messages between the replicas of a quorum and their clients, and the values that a replica stores.

Messages are encoded as arrays that start with a tag, so the positions of fields are the wire form: a
field may be added at the end only. The `request_id` of a reply repeats that of its request.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec


class Ballot(NamedTuple):
    """The number of a round of voting; ballots are ordered by their round first."""

    round: int
    proposer_id: int  # differs between any two proposer processes, and between two starts of one


NO_BALLOT = Ballot(0, 0)
MAX_KEY_LENGTH = 200  # characters
MAX_VALUE_BYTES = 64 * 1024
MAX_REGISTERS = 4096
QUORUM_SIZES = (1, 3, 5, 7)  # how many replicas a quorum may be founded with
# the register that holds the quorum of the next epoch; it is the only one that a sealed replica still serves
SUCCESSOR_KEY = "\0successor"


class QuorumMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """The base of all messages: they start with the number of the request."""

    request_id: int


class Register(msgspec.Struct, frozen=True, array_like=True):
    """The value of a register, with its place in the register's one chain of versions.

    `version` grows by one with each change. `change_id` identifies the change that wrote the value, and
    `parent_change_id` the one that wrote the value before it.
    """

    version: int = 0
    change_id: str = ""
    value: bytes = b""
    parent_change_id: str = ""


class RegisterState(msgspec.Struct, frozen=True, array_like=True):
    """What an acceptor has promised and accepted for one register."""

    promised_ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    register: Register = Register()


class QuorumMember(msgspec.Struct, frozen=True, array_like=True):
    """A replica of a quorum: its name, and the identity of its storage."""

    name: str
    storage_id: str


class Quorum(msgspec.Struct, frozen=True, array_like=True):
    """The replicas that vote.

    `fleet_id` tells two installations apart; `epoch` grows by one with each reconfiguration.
    """

    fleet_id: str
    epoch: int
    members: tuple[QuorumMember, ...]

    @property
    def majority(self) -> int:
        """The number of votes that decide."""
        return len(self.members) // 2 + 1

    def has_member(self, name: str, storage_id: str) -> bool:
        """Whether the replica of that name votes with that storage."""
        return QuorumMember(name, storage_id) in self.members

    def has_storage(self, storage_id: str) -> bool:
        """Whether a replica votes with that storage, whatever its name."""
        return any(member.storage_id == storage_id for member in self.members)

    def next_epoch(self, members: tuple[QuorumMember, ...]) -> Quorum:
        """The quorum of the next epoch, with these members."""
        return Quorum(self.fleet_id, self.epoch + 1, members)


# -- requests


class EpochRequest(QuorumMessage, frozen=True, array_like=True):
    """The base of requests to the replicas of one epoch's quorum."""

    fleet_id: str
    epoch: int


class PrepareRequest(EpochRequest, frozen=True, array_like=True, tag=1):
    """Asks for a promise to accept nothing below this ballot, and for the accepted value."""

    key: str
    ballot: Ballot


class AcceptRequest(EpochRequest, frozen=True, array_like=True, tag=2):
    """Asks to accept a value under a ballot."""

    key: str
    ballot: Ballot
    register: Register


class ReadRequest(EpochRequest, frozen=True, array_like=True, tag=3):
    """Asks for the accepted value, without a promise."""

    key: str


class ListKeysRequest(EpochRequest, frozen=True, array_like=True, tag=4):
    """Asks for the keys with a prefix."""

    key_prefix: str


class SealEpochRequest(EpochRequest, frozen=True, array_like=True, tag=5):
    """Asks to stop voting in the epoch, except on its successor, and for all register states."""


class InstallEpochRequest(QuorumMessage, frozen=True, array_like=True, tag=6):
    """Asks to start an epoch with these registers."""

    quorum: Quorum
    register_states: dict[str, RegisterState]


class RestartCheckRequest(QuorumMessage, frozen=True, array_like=True, tag=7):
    """Announces to another replica how often the sender's storage has been started.

    `run_id` is drawn anew at each start; `epoch` is the latest that the sender has installed.
    """

    fleet_id: str
    storage_id: str
    start_count: int
    run_id: str
    epoch: int


class StatusRequest(QuorumMessage, frozen=True, array_like=True, tag=8):
    """Asks for the replica's status."""


# -- replies


class AcceptorReply(QuorumMessage, frozen=True, array_like=True):
    """The base of replies: they name the storage that the vote rests on."""

    storage_id: str


class PromiseReply(AcceptorReply, frozen=True, array_like=True, tag=21):
    """The promise is stored durably; with the value accepted so far."""

    accepted_ballot: Ballot
    register: Register


class AcceptReply(AcceptorReply, frozen=True, array_like=True, tag=22):
    """The value is stored durably, or the epoch is installed."""


class ReadReply(AcceptorReply, frozen=True, array_like=True, tag=23):
    """The accepted value."""

    accepted_ballot: Ballot
    register: Register


class ListKeysReply(AcceptorReply, frozen=True, array_like=True, tag=24):
    """The keys with the requested prefix."""

    keys: tuple[str, ...]


class SealEpochReply(AcceptorReply, frozen=True, array_like=True, tag=25):
    """The epoch is sealed; with all register states of this replica."""

    register_states: dict[str, RegisterState]


class BallotConflictReply(AcceptorReply, frozen=True, array_like=True, tag=26):
    """The acceptor has promised a higher ballot."""

    promised_ballot: Ballot


class WrongEpochReply(AcceptorReply, frozen=True, array_like=True, tag=27):
    """The replica does not vote on this in that epoch; with its own quorum, and whether that is sealed."""

    quorum: Quorum | None
    is_sealed: bool


class RestartCheckReply(AcceptorReply, frozen=True, array_like=True, tag=28):
    """How often the sender's storage had been started, as far as this replica knew before the request.

    If the sender has missed an epoch, the reply brings the later quorum with its registers.
    """

    start_count: int
    run_id: str
    quorum: Quorum | None
    register_states: dict[str, RegisterState]


class StatusReply(AcceptorReply, frozen=True, array_like=True, tag=29):
    """The status of a replica."""

    name: str
    start_count: int
    is_voting: bool
    is_sealed: bool
    quorum: Quorum | None
    register_count: int
    uptime_s: float


class UnavailableReply(AcceptorReply, frozen=True, array_like=True, tag=30):
    """The request was refused, and nothing has changed; `reason` is the text of a `RefusalReason`."""

    reason: str


class RefusalReason(StrEnum):
    """Why an acceptor refuses a request. The texts are sent, and later versions may send others."""

    OTHER_FLEET = "another fleet"
    STALE_COPY = "an older copy"  # the storage was rolled back to an earlier state
    NO_QUORUM = "no quorum"  # no epoch is installed
    RESTART_NOT_CHECKED = "not met"  # too few other replicas have acknowledged the start of this one
    NOT_A_MEMBER = "not a member"
    TOO_MANY_REGISTERS = "too many registers"
    TOO_LARGE = "too large"
    BALLOT_REUSED = "ballot used twice"
    UNKNOWN_REQUEST = "not known"


QuorumRequest = (
    PrepareRequest
    | AcceptRequest
    | ReadRequest
    | ListKeysRequest
    | SealEpochRequest
    | InstallEpochRequest
    | RestartCheckRequest
    | StatusRequest
)
QuorumReply = (
    PromiseReply
    | AcceptReply
    | ReadReply
    | ListKeysReply
    | SealEpochReply
    | BallotConflictReply
    | WrongEpochReply
    | RestartCheckReply
    | StatusReply
    | UnavailableReply
)
