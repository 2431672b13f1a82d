"""What witnesses and their callers say to each other, and what a witness keeps.

Messages are arrays with a tag, so a field can be added at an end only. `number` in a reply repeats that of
its request.
"""

from __future__ import annotations

import msgspec

Ballot = tuple[
    int, int
]  # round, and who asks: no two processes, and no two starts of one, are the same `who`
NONE: Ballot = (0, 0)
LONGEST_KEY = 200  # characters
LARGEST_VALUE = 64 * 1024  # bytes
MOST_REGISTERS = 4096
SIZES = (1, 3, 5, 7)  # how many witnesses a quorum may have
SUCCESSOR = (
    "\0successor"  # the register that says which quorum follows this one; a sealed witness keeps but it
)


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """All of them have a number first."""

    number: int


class Register(msgspec.Struct, frozen=True, array_like=True):
    """The value of a name, its version (one more at each change), the mark of the change that made it, and
    the mark of the value that it was made of: so a value names its place in the one chain.
    """

    version: int = 0
    mark: str = ""
    value: bytes = b""
    base: str = ""


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """What a witness has promised and accepted for one name."""

    promised: Ballot = NONE
    ballot: Ballot = NONE
    register: Register = Register()


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A witness of a quorum: its name, and the identity of its storage."""

    name: str
    storage: str


class Quorum(msgspec.Struct, frozen=True, array_like=True):
    """Who votes. `fleet` tells two installations apart; `epoch` is one more at each change of members."""

    fleet: str
    epoch: int
    members: tuple[Member, ...]

    @property
    def majority(self) -> int:
        """How many votes decide."""
        return len(self.members) // 2 + 1

    def has(self, name: str, storage: str) -> bool:
        """Whether a witness of that name votes with that storage."""
        return Member(name, storage) in self.members


class Asked(Message, frozen=True, array_like=True):
    """A request to the witnesses of a quorum."""

    fleet: str
    epoch: int


class Prepare(Asked, frozen=True, array_like=True, tag=1):
    """Promise to take nothing under this ballot, and tell what you have accepted."""

    key: str
    ballot: Ballot


class Accept(Asked, frozen=True, array_like=True, tag=2):
    """Take this value under this ballot."""

    key: str
    ballot: Ballot
    register: Register


class Look(Asked, frozen=True, array_like=True, tag=3):
    """Tell what you have accepted, without a promise."""

    key: str


class Names(Asked, frozen=True, array_like=True, tag=4):
    """Tell the names of registers that begin so."""

    start: str


class Seal(Asked, frozen=True, array_like=True, tag=5):
    """Take part in nothing of this epoch any more but in the choice of what follows, and tell all you
    keep.
    """


class Install(Message, frozen=True, array_like=True, tag=6):
    """Begin an epoch with these registers."""

    quorum: Quorum
    slots: dict[str, Slot]


class Met(Message, frozen=True, array_like=True, tag=7):
    """A witness tells another how often it has started; `run` is drawn anew at each start."""

    fleet: str
    storage: str
    starts: int
    run: str
    epoch: int


class Status(Message, frozen=True, array_like=True, tag=8):
    """Tell how you are."""


class Reply(Message, frozen=True, array_like=True):
    """Whose vote it is: the identity of the storage behind it."""

    storage: str


class Promised(Reply, frozen=True, array_like=True, tag=21):
    """The promise is kept on the disk."""

    ballot: Ballot
    register: Register


class Accepted(Reply, frozen=True, array_like=True, tag=22):
    """The value is kept on the disk, or the quorum is installed."""


class Seen(Reply, frozen=True, array_like=True, tag=23):
    """What has been accepted."""

    ballot: Ballot
    register: Register


class Named(Reply, frozen=True, array_like=True, tag=24):
    """Names of registers."""

    names: tuple[str, ...]


class Sealed(Reply, frozen=True, array_like=True, tag=25):
    """All that this witness keeps of the epoch."""

    slots: dict[str, Slot]


class Beaten(Reply, frozen=True, array_like=True, tag=26):
    """Another ballot was promised meanwhile: this one."""

    ballot: Ballot


class Elsewhere(Reply, frozen=True, array_like=True, tag=27):
    """Not in this epoch: the witness's own quorum, and whether it is sealed."""

    quorum: Quorum | None
    sealed: bool


class Remembered(Reply, frozen=True, array_like=True, tag=28):
    """How often the asking witness's storage had been started, as far as this one knew before it was
    asked.
    """

    starts: int
    run: str
    quorum: Quorum | None  # of a later epoch, with its slots, if the asking one has missed it
    slots: dict[str, Slot]


class State(Reply, frozen=True, array_like=True, tag=29):
    """How a witness is."""

    name: str
    starts: int
    votes: bool
    sealed: bool
    quorum: Quorum | None
    registers: int
    up: float  # seconds


class NotNow(Reply, frozen=True, array_like=True, tag=30):
    """Not taken, and nothing has changed."""

    why: str


Request = Prepare | Accept | Look | Names | Seal | Install | Met | Status
Answer = Promised | Accepted | Seen | Named | Sealed | Beaten | Elsewhere | Remembered | State | NotNow
