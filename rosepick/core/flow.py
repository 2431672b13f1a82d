"""A body on its way from one connection to another, through a buffer that is bounded. No I/O.

The giver reads no more from its socket than the flow has room for; the taker takes no more than its socket
writes. All flows of a router share one amount of bytes in even portions, and each has a least portion, so
that none ever waits for another one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

LEAST, MOST = 16 * 1024, 256 * 1024


def _nothing() -> None:
    """Nobody waits."""


class Room:
    """The bytes that all flows may hold together."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.flows = 0
        self.held = 0

    def portion(self) -> int:
        """What one flow may hold."""
        return max(LEAST, min(MOST, self.total // max(1, self.flows)))


class Flow:
    """One body, of a length that is told or not. `more` and `freed` are set by the taker and the giver."""

    def __init__(self, room: Room, length: int | None, tells: bool = True) -> None:
        """`tells`: the taker is told at once; else the giver says when, by `tell`. Guards against a parser
        that is closed by what its own call brought about.
        """
        self.length = length
        self._tells = tells
        self.ended = self.broken = False
        self.touched = False  # something has been taken: the body is not whole here any more
        self.came = 0
        self.held = 0
        self.more: Callable[[], None] = _nothing  # bytes came, or the end, or the break
        self.freed: Callable[[], None] = _nothing  # there is room again
        self._room: Room | None = room
        self.paused = False  # the giver waits; not derived, as portions grow while other flows end
        self._parts: deque[bytes] = deque()
        room.flows += 1

    # ------------------------------------------------------------------------------------ the giver's

    def space(self) -> int:
        """How many bytes may come now."""
        return 0 if self._room is None else max(0, self._room.portion() - self.held)

    def pause(self) -> bool:
        """Whether the giver is to wait until it is told of room."""
        self.paused = not self.space()
        return self.paused

    def put(self, data: bytes) -> None:
        """Some of the body has come."""
        if self._room is None or not data:
            return
        self._parts.append(data)
        self.came += len(data)
        self._hold(len(data))
        if self._tells:
            self.more()

    def tell(self) -> None:
        """Tell the taker of what has come."""
        self.more()

    def end(self) -> None:
        """The body is whole."""
        self.ended, self.freed = True, _nothing
        if self._tells:
            self.more()

    def fail(self) -> None:
        """The rest will not come."""
        if not self.ended and not self.broken:
            self.broken, self.freed = True, _nothing
            if self._tells:
                self.more()

    # ------------------------------------------------------------------------------------ the taker's

    def take(self, most: int) -> list[bytes]:
        """The next bytes, about so many at the most."""
        found: list[bytes] = []
        size = 0
        while self._parts and size < most:
            part = self._parts.popleft()
            if size + len(part) > most:
                self._parts.appendleft(part[most - size :])
                part = part[: most - size]
            found.append(part)
            size += len(part)
        self._hold(-size)
        self.touched = self.touched or size > 0
        if self.paused and self.space() >= LEAST // 2:
            self.paused = False
            self.freed()
        return found

    def over(self) -> bool:
        """Whether all of it has been taken."""
        return self.ended and not self.held

    def cut(self) -> bool:
        """Whether the rest will not come, and all that came has been taken."""
        return self.broken and not self.held

    def close(self) -> None:
        """Nobody takes any more: what is held is let go. Guards against a body that came whole, of which a
        part is let go here, and that then passes for taken: a next hop would be given a shorter one.
        """
        if self.held:
            self.ended, self.broken = False, True
        if self._room is not None:
            self._hold(-self.held)
            self._room.flows -= 1
            self._room = None
        self._parts.clear()
        self.more = self.freed = _nothing  # guards against cycles with both sides

    def _hold(self, change: int) -> None:
        self.held += change
        if self._room is not None:
            self._room.held += change
