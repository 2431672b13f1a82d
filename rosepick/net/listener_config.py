"""The operators' settings of connections, in the units that the parts use."""

from __future__ import annotations

from ..connections.headroom import ConnectionLimits
from ..settings.operator_file import OperatorFile
from .listener import ListenerConfig


def listener_config(file: OperatorFile) -> ListenerConfig:
    """What the operators' file says of the doors."""
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
