"""Faults of an answer's way that only sockets have: resets, half closes, garbage, drops of bytes, doors that
refuse."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...decisions.api import Result
from ..experiment import Trouble
from ..results import Span

if TYPE_CHECKING:
    from .nodes import NodeLink, Stand
    from .world import LiveWorld

DRIP_EVERY = 50.0  # milliseconds from one byte of a dripping answer to the next
ONLY_HERE = frozenset({"garbage", "drip", "refuse", "reload"})
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


def set_up(world: LiveWorld, troubles: tuple[Trouble, ...]) -> None:
    """Set the troubles that only sockets have. Routers are told to reload by who started them."""
    for trouble in troubles:
        if trouble.kind in ONLY_HERE:
            world.kernel.at(1000.0 * trouble.at, lambda trouble=trouble: _begin(world, trouble))  # type: ignore[misc]


def _begin(world: LiveWorld, trouble: Trouble) -> None:
    until = trouble.at + trouble.last
    if trouble.kind == "reload":
        whom = f"{trouble.routers or 'all'} routers"
        world.measure.spans.append(Span(trouble.kind, trouble.at, until, whom))
        return
    stands = _met(world, trouble)
    names = ", ".join(stand.node.uid for stand in stands[:8])
    more = f" and {len(stands) - 8} more" if len(stands) > 8 else ""
    world.measure.spans.append(Span(trouble.kind, trouble.at, until, names + more))
    _turn(stands, trouble, True)
    if trouble.last:
        world.kernel.at(1000.0 * until, lambda: _turn(stands, trouble, False))


def _met(world: LiveWorld, trouble: Trouble) -> list[Stand]:
    """The same as in simulated time: some that are drawn, or all where only a share of attempts is meant."""
    if trouble.kind != "refuse" and trouble.nodes is None and trouble.part is None and not trouble.zone:
        return list(world.stands.values())
    nodes = world.choose(world.cache_nodes(trouble.zone), trouble.nodes, trouble.part)
    return [world.stands[node.number] for node in nodes]


def _turn(stands: list[Stand], trouble: Trouble, on: bool) -> None:
    for stand in stands:
        if trouble.kind == "refuse":
            stand.refuses = on
        else:
            setattr(stand, trouble.kind, trouble.share if on else 0.0)
        stand.look()
