"""Faults of an answer's way that only sockets have: resets, half closes, garbage, drops of bytes, doors that
refuse.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, cast

from ...decisions.api import Result
from ..experiment import Trouble
from ..world.fleet import Node
from ..world.troubles import Play, Undo, chosen, met, named, nothing
from ..world.world import World

if TYPE_CHECKING:
    from .nodes import NodeLink, Stand
    from .world import LiveWorld

DRIP_EVERY = 50.0  # milliseconds from one byte of a dripping answer to the next
GARBAGE = (
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(range(64)),
    b"HTTP/1.1 2OO OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 12x\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"\r\n\r\n\x00\x00\x00 no answer at all \r\n",
)
Lose = Callable[["NodeLink", bytes], None]


def reset_before(link: NodeLink, data: bytes) -> None:
    """The connection is reset before anything of the answer went out."""
    link.over(Result.RESET)
    link.reset()


def reset_within(link: NodeLink, data: bytes) -> None:
    """It is reset in the middle of the answer."""
    link.stream.send(data[: len(data) // 2])
    link.over(Result.RESET)
    # later: guards against a reset that takes back what was sent
    link.stand.world.after(1.0, link.reset)


def half_close(link: NodeLink, data: bytes) -> None:
    """Our half is closed without an answer; the other one is read on."""
    link.over(Result.RESET)
    link.stream.end_sending()


def reset_after(link: NodeLink, data: bytes, result: Result) -> None:
    """The whole answer goes out, and then a reset."""
    link.stream.send(data)
    link.over(result)
    link.stand.world.after(1.0, link.reset)


def garbage(link: NodeLink, kind: int) -> None:
    """Bytes go out that are no answer, and then the end."""
    link.stream.send(GARBAGE[kind % len(GARBAGE)])
    link.over(Result.RESET)
    link.stream.end_sending()


def drip(link: NodeLink, data: bytes, result: Result) -> None:
    """The answer goes out a byte now and then."""
    attempt = link.attempt

    def drop(at: int) -> None:
        if not link.stream.open or link.attempt is not attempt:
            return
        link.guarded(lambda: link.stream.send(data[at : at + 1]))
        if at + 1 == len(data):
            link.over(result)
        else:
            link.stand.world.after(DRIP_EVERY, lambda: drop(at + 1))

    drop(0)


LOSSES: tuple[Lose, ...] = (reset_before, reset_within, half_close)  # ways to lose a connection


# ------------------------------------------------------------------------------------------ their troubles


def _refuse(world: World, trouble: Trouble) -> tuple[str, Undo]:
    stands = _stands(world, chosen(world, trouble))

    def turn(by: int) -> None:
        for stand in stands:
            stand.refusals += by
            stand.look()

    turn(1)
    return named([stand.node for stand in stands]), lambda: turn(-1)


def _share(of: Callable[[Stand], list[float]]) -> Play:
    """Such a part of the answers of some nodes, or of all and the origin if none is named."""

    def begin(world: World, trouble: Trouble) -> tuple[str, Undo]:
        stands = _stands(world, met(world, trouble))
        for stand in stands:
            of(stand).append(trouble.share)

        def undo() -> None:
            for stand in stands:
                of(stand).remove(trouble.share)

        return named([stand.node for stand in stands]), undo

    return begin


def _reload(world: World, trouble: Trouble) -> tuple[str, Undo]:
    """Who started the routers tells them."""
    return f"{trouble.routers or 'all'} routers", nothing


def _stands(world: World, nodes: Sequence[Node]) -> list[Stand]:
    return [cast("LiveWorld", world).stands[node.number] for node in nodes]


KINDS: dict[str, Play] = {
    "refuse": _refuse,
    "garbage": _share(lambda stand: stand.garbage_shares),
    "drip": _share(lambda stand: stand.drip_shares),
    "reload": _reload,
}
