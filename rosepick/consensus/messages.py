"""What witnesses and their callers say to each other, and what a witness keeps.

Messages are arrays with a tag, so a field can be added at an end only. `number` in a reply repeats that of
its request.
"""

from __future__ import annotations

import msgspec

Ballot = tuple[
    int, int
]  # round, and who asks: no two processes, and no two starts of one, are the same `who`
NO_BALLOT: Ballot = (0, 0)
MAX_KEY_LENGTH = 200  # characters
MAX_VALUE_BYTES = 64 * 1024  # bytes
MAX_REGISTERS = 4096
QUORUM_SIZES = (1, 3, 5, 7)  # how many witnesses a quorum may have
# the register that says which quorum follows this one; a sealed witness keeps but it
SUCCESSOR_KEY = "\0successor"


class QuorumMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """All of them have a number first."""

    request_id: int


class Register(msgspec.Struct, frozen=True, array_like=True):
    """The value of a name, its version (one more at each change), the mark of the change that made it, and
    the mark of the value that it was made of: so a value names its place in the one chain.
    """

    version: int = 0
    change_id: str = ""
    value: bytes = b""
    parent_change_id: str = ""


class RegisterState(msgspec.Struct, frozen=True, array_like=True):
    """What a witness has promised and accepted for one name."""

    promised_ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    register: Register = Register()


class QuorumMember(msgspec.Struct, frozen=True, array_like=True):
    """A witness of a quorum: its name, and the identity of its storage."""

    name: str
    storage_id: str


class Quorum(msgspec.Struct, frozen=True, array_like=True):
    """Who votes. `fleet_id` tells two installations apart; `epoch` is one more at each change of members."""

    fleet_id: str
    epoch: int
    members: tuple[QuorumMember, ...]

    @property
    def majority(self) -> int:
        """How many votes decide."""
        return len(self.members) // 2 + 1

    def has_member(self, name: str, storage_id: str) -> bool:
        """Whether a witness of that name votes with that storage."""
        return QuorumMember(name, storage_id) in self.members


class EpochRequest(QuorumMessage, frozen=True, array_like=True):
    """A request to the witnesses of a quorum."""

    fleet_id: str
    epoch: int


class PrepareRequest(EpochRequest, frozen=True, array_like=True, tag=1):
    """Promise to take nothing under this ballot, and tell what you have accepted."""

    key: str
    ballot: Ballot


class AcceptRequest(EpochRequest, frozen=True, array_like=True, tag=2):
    """Take this value under this ballot."""

    key: str
    ballot: Ballot
    register: Register


class ReadRequest(EpochRequest, frozen=True, array_like=True, tag=3):
    """Tell what you have accepted, without a promise."""

    key: str


class ListKeysRequest(EpochRequest, frozen=True, array_like=True, tag=4):
    """Tell the names of registers that begin so."""

    key_prefix: str


class SealEpochRequest(EpochRequest, frozen=True, array_like=True, tag=5):
    """Take part in nothing of this epoch any more but in the choice of what follows, and tell all you
    keep.
    """


class InstallEpochRequest(QuorumMessage, frozen=True, array_like=True, tag=6):
    """Begin an epoch with these registers."""

    quorum: Quorum
    register_states: dict[str, RegisterState]


class RestartCheckRequest(QuorumMessage, frozen=True, array_like=True, tag=7):
    """A witness tells another how often it has started; `run_id` is drawn anew at each start."""

    fleet_id: str
    storage_id: str
    start_count: int
    run_id: str
    epoch: int


class StatusRequest(QuorumMessage, frozen=True, array_like=True, tag=8):
    """Tell how you are."""


class AcceptorReply(QuorumMessage, frozen=True, array_like=True):
    """Whose vote it is: the identity of the storage behind it."""

    storage_id: str


class PromiseReply(AcceptorReply, frozen=True, array_like=True, tag=21):
    """The promise is kept on the disk."""

    accepted_ballot: Ballot
    register: Register


class AcceptReply(AcceptorReply, frozen=True, array_like=True, tag=22):
    """The value is kept on the disk, or the quorum is installed."""


class ReadReply(AcceptorReply, frozen=True, array_like=True, tag=23):
    """What has been accepted."""

    accepted_ballot: Ballot
    register: Register


class ListKeysReply(AcceptorReply, frozen=True, array_like=True, tag=24):
    """Names of registers."""

    keys: tuple[str, ...]


class SealEpochReply(AcceptorReply, frozen=True, array_like=True, tag=25):
    """All that this witness keeps of the epoch."""

    register_states: dict[str, RegisterState]


class BallotConflictReply(AcceptorReply, frozen=True, array_like=True, tag=26):
    """Another ballot was promised meanwhile: this one."""

    promised_ballot: Ballot


class WrongEpochReply(AcceptorReply, frozen=True, array_like=True, tag=27):
    """Not in this epoch: the witness's own quorum, and whether it is sealed."""

    quorum: Quorum | None
    is_sealed: bool


class RestartCheckReply(AcceptorReply, frozen=True, array_like=True, tag=28):
    """How often the asking witness's storage had been started, as far as this one knew before it was
    asked.
    """

    start_count: int
    run_id: str
    quorum: Quorum | None  # of a later epoch, with its slots, if the asking one has missed it
    register_states: dict[str, RegisterState]


class StatusReply(AcceptorReply, frozen=True, array_like=True, tag=29):
    """How a witness is."""

    name: str
    start_count: int
    is_voting: bool
    is_sealed: bool
    quorum: Quorum | None
    register_count: int
    uptime_s: float  # seconds


class UnavailableReply(AcceptorReply, frozen=True, array_like=True, tag=30):
    """Not taken, and nothing has changed."""

    reason: str


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
