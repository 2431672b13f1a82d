"""Configuration of the listeners from the operator file, converted to internal units."""

from __future__ import annotations

from dataclasses import dataclass

from ..connections.headroom import ConnectionLimits
from ..settings.operator_file import OperatorFile


@dataclass(frozen=True, slots=True)
class ListenerConfig:
    """Settings of the operator file that apply to all listeners."""

    limits: ConnectionLimits
    request_timeout_ms: float = 2_500.0  # time to receive a request head; see `ClientConnection`
    backlog: int = 1024  # length of the accept queue of each listening socket, in connections


def listener_config(file: OperatorFile) -> ListenerConfig:
    """Return the listener settings of an operator file."""
    return ListenerConfig(
        limits=ConnectionLimits(
            client_connection_limit=file.optional_integer("clients_hold"),
            silent_timeout_ms=1000.0 * file.seconds("silent_timeout"),
            idle_timeout_ms=1000.0 * file.seconds("idle_timeout"),
            enforce_address_quota=file.text("address_shares") == "on",
        ),
        request_timeout_ms=1000.0 * file.seconds("request_timeout"),
        backlog=file.integer("accept_queue"),
    )
