"""Defines the messages between the replicas of a quorum and their clients, and the values replicas store.

A message is encoded as an array that starts with its tag. Fields are identified by position, so a field may
be added only at the end. A reply has the `request_id` of its request.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec


class Ballot(NamedTuple):
    """Identifies a round of voting; ballots are ordered by `round`, then by `proposer_id`."""

    round: int
    proposer_id: int  # unique to one run of one proposer process


NO_BALLOT = Ballot(0, 0)
MAX_KEY_LENGTH = 200  # characters
MAX_VALUE_BYTES = 64 * 1024
MAX_REGISTERS = 4096
QUORUM_SIZES = (1, 3, 5, 7)  # allowed numbers of replicas when a quorum is founded
# Key of the register that holds the quorum of the next epoch. A sealed replica serves only this register.
SUCCESSOR_KEY = "\0successor"


class QuorumMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """Is the base of all messages, which start with the id of the request."""

    request_id: int


class Register(msgspec.Struct, frozen=True, array_like=True):
    """Holds the value of a register and its place in the register's linear history.

    `version` grows by one with each change. `change_id` identifies the change that wrote the value, and
    `parent_change_id` identifies the change that wrote the previous value.
    """

    version: int = 0
    change_id: str = ""
    value: bytes = b""
    parent_change_id: str = ""


class RegisterState(msgspec.Struct, frozen=True, array_like=True):
    """Holds the ballots that an acceptor has promised and accepted for a register, and its value."""

    promised_ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    register: Register = Register()


class QuorumMember(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a replica of a quorum by its name and by the identity of its storage."""

    name: str
    storage_id: str


class Quorum(msgspec.Struct, frozen=True, array_like=True):
    """Lists the replicas that vote in one epoch.

    `fleet_id` identifies the installation; `epoch` grows by one with each reconfiguration.
    """

    fleet_id: str
    epoch: int
    members: tuple[QuorumMember, ...]

    @property
    def majority(self) -> int:
        """Return the number of votes that make a majority."""
        return len(self.members) // 2 + 1

    def has_member(self, name: str, storage_id: str) -> bool:
        """Return whether the replica `name` votes with the storage `storage_id`."""
        return QuorumMember(name, storage_id) in self.members

    def has_storage(self, storage_id: str) -> bool:
        """Return whether any replica votes with the storage `storage_id`."""
        return any(member.storage_id == storage_id for member in self.members)

    def next_epoch(self, members: tuple[QuorumMember, ...]) -> Quorum:
        """Return the quorum of the next epoch, with these members."""
        return Quorum(self.fleet_id, self.epoch + 1, members)


# -- requests


class EpochRequest(QuorumMessage, frozen=True, array_like=True):
    """Is the base of requests that only the quorum of one epoch may answer."""

    fleet_id: str
    epoch: int


class PrepareRequest(EpochRequest, frozen=True, array_like=True, tag=1):
    """Asks for a promise to accept no ballot below this one, and for the accepted value."""

    key: str
    ballot: Ballot


class AcceptRequest(EpochRequest, frozen=True, array_like=True, tag=2):
    """Asks to accept a value under a ballot."""

    key: str
    ballot: Ballot
    register: Register


class ReadRequest(EpochRequest, frozen=True, array_like=True, tag=3):
    """Asks for the accepted value without a promise."""

    key: str


class ListKeysRequest(EpochRequest, frozen=True, array_like=True, tag=4):
    """Asks for all keys that start with a prefix."""

    key_prefix: str


class SealEpochRequest(EpochRequest, frozen=True, array_like=True, tag=5):
    """Asks to stop voting in the epoch, except on the successor quorum, and for all register states."""


class InstallEpochRequest(QuorumMessage, frozen=True, array_like=True, tag=6):
    """Asks to start an epoch with the given quorum and registers."""

    quorum: Quorum
    register_states: dict[str, RegisterState]


class RestartCheckRequest(QuorumMessage, frozen=True, array_like=True, tag=7):
    """Announces the start count of the sender's storage to another replica.

    `run_id` is drawn at random at each start; `epoch` is the latest epoch that the sender has installed.
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
    """Is the base of replies, which identify the storage of the replica that votes."""

    storage_id: str


class PromiseReply(AcceptorReply, frozen=True, array_like=True, tag=21):
    """Confirms that the promise is stored durably, and returns the value accepted so far."""

    accepted_ballot: Ballot
    register: Register


class AcceptReply(AcceptorReply, frozen=True, array_like=True, tag=22):
    """Confirms that the value is stored durably or the epoch is installed."""


class ReadReply(AcceptorReply, frozen=True, array_like=True, tag=23):
    """Returns the accepted value and its ballot."""

    accepted_ballot: Ballot
    register: Register


class ListKeysReply(AcceptorReply, frozen=True, array_like=True, tag=24):
    """Returns the keys that start with the requested prefix."""

    keys: tuple[str, ...]


class SealEpochReply(AcceptorReply, frozen=True, array_like=True, tag=25):
    """Confirms that the epoch is sealed, and returns all register states of the replica."""

    register_states: dict[str, RegisterState]


class BallotConflictReply(AcceptorReply, frozen=True, array_like=True, tag=26):
    """Rejects a ballot because the acceptor has promised a higher one."""

    promised_ballot: Ballot


class WrongEpochReply(AcceptorReply, frozen=True, array_like=True, tag=27):
    """Rejects a request of another epoch or seal state, and returns the quorum that the replica has."""

    quorum: Quorum | None
    is_sealed: bool


class RestartCheckReply(AcceptorReply, frozen=True, array_like=True, tag=28):
    """Returns the latest start of the sender's storage that this replica knew before the request.

    If the sender has missed an epoch, the reply contains the later quorum and its registers.
    """

    start_count: int
    run_id: str
    quorum: Quorum | None
    register_states: dict[str, RegisterState]


class StatusReply(AcceptorReply, frozen=True, array_like=True, tag=29):
    """Returns the status of a replica."""

    name: str
    start_count: int
    is_voting: bool
    is_sealed: bool
    quorum: Quorum | None
    register_count: int
    uptime_s: float


class UnavailableReply(AcceptorReply, frozen=True, array_like=True, tag=30):
    """Refuses a request without any change; `reason` is the value of a `RefusalReason`."""

    reason: str


class RefusalReason(StrEnum):
    """Says why an acceptor refuses a request; the values are sent, and later versions may send others."""

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
