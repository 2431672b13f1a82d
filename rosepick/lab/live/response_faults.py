"""Faults of an answer's way that only sockets have: resets, half closes, garbage, drops of bytes, doors that
refuse.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, cast

from ...decisions.api import Result
from ..experiment import FaultConfig
from ..model.fault_schedule import (
    InjectFault,
    RevertFault,
    choose_cache_nodes,
    choose_nodes_or_all,
    format_node_names,
    no_revert,
)
from ..model.nodes import SimulatedNode
from ..model.simulation import Simulation

if TYPE_CHECKING:
    from .live_simulation import LiveSimulation
    from .node_server import NodeConnection, NodeServer

DRIP_INTERVAL_MS = 50.0  # milliseconds from one byte of a dripping answer to the next
MALFORMED_RESPONSES = (
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(range(64)),
    b"HTTP/1.1 2OO OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 12x\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"\r\n\r\n\x00\x00\x00 no answer at all \r\n",
)
ConnectionLoss = Callable[["NodeConnection", bytes], None]


def reset_before_response(link: NodeConnection, data: bytes) -> None:
    """The connection is reset before anything of the answer went out."""
    link.finish_attempt(Result.RESET)
    link.reset()


def reset_within_response(link: NodeConnection, data: bytes) -> None:
    """It is reset in the middle of the answer."""
    link.stream.send(data[: len(data) // 2])
    link.finish_attempt(Result.RESET)
    # later: guards against a reset that takes back what was sent
    link.server.simulation.call_after(1.0, link.reset)


def half_close_connection(link: NodeConnection, data: bytes) -> None:
    """Our half is closed without an answer; the other one is read on."""
    link.finish_attempt(Result.RESET)
    link.stream.shutdown_write()


def reset_after_response(link: NodeConnection, data: bytes, result: Result) -> None:
    """The whole answer goes out, and then a reset."""
    link.stream.send(data)
    link.finish_attempt(result)
    link.server.simulation.call_after(1.0, link.reset)


def send_malformed_response(link: NodeConnection, kind: int) -> None:
    """Bytes go out that are no answer, and then the end."""
    link.stream.send(MALFORMED_RESPONSES[kind % len(MALFORMED_RESPONSES)])
    link.finish_attempt(Result.RESET)
    link.stream.shutdown_write()


def drip_response(link: NodeConnection, data: bytes, result: Result) -> None:
    """The answer goes out a byte now and then."""
    attempt = link.attempt

    def drop(at: int) -> None:
        if not link.stream.is_open or link.attempt is not attempt:
            return
        link.run_guarded(lambda: link.stream.send(data[at : at + 1]))
        if at + 1 == len(data):
            link.finish_attempt(result)
        else:
            link.server.simulation.call_after(DRIP_INTERVAL_MS, lambda: drop(at + 1))

    drop(0)


CONNECTION_LOSSES: tuple[ConnectionLoss, ...] = (
    reset_before_response,
    reset_within_response,
    half_close_connection,
)  # ways to lose a connection


# ------------------------------------------------------------------------------------------ their troubles


def _refuse_connections(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    stands = _node_servers_of(simulation, choose_cache_nodes(simulation, fault))

    def turn(by: int) -> None:
        for stand in stands:
            stand.refusal_count += by
            stand.update_listeners()

    turn(1)
    return format_node_names([stand.node for stand in stands]), lambda: turn(-1)


def _response_share_fault(of: Callable[[NodeServer], list[float]]) -> InjectFault:
    """Such a part of the answers of some nodes, or of all and the origin if none is named."""

    def begin(world: Simulation, trouble: FaultConfig) -> tuple[str, RevertFault]:
        stands = _node_servers_of(world, choose_nodes_or_all(world, trouble))
        for stand in stands:
            of(stand).append(trouble.share)

        def undo() -> None:
            for stand in stands:
                of(stand).remove(trouble.share)

        return format_node_names([stand.node for stand in stands]), undo

    return begin


def _reload_routers(simulation: Simulation, fault: FaultConfig) -> tuple[str, RevertFault]:
    """Who started the routers tells them."""
    return f"{fault.routers or 'all'} routers", no_revert


def _node_servers_of(simulation: Simulation, nodes: Sequence[SimulatedNode]) -> list[NodeServer]:
    return [cast("LiveSimulation", simulation).node_servers[node.number] for node in nodes]


LIVE_FAULT_INJECTORS: dict[str, InjectFault] = {
    "refuse": _refuse_connections,
    "garbage": _response_share_fault(lambda stand: stand.garbage_shares),
    "drip": _response_share_fault(lambda stand: stand.drip_shares),
    "reload": _reload_routers,
}
