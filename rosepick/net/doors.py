"""The operators' settings of connections, in the units that the parts use."""

from __future__ import annotations

from ..connections.policy import Limits
from ..settings.operator_file import OperatorFile
from .listener import DoorSettings


def door_settings(file: OperatorFile) -> DoorSettings:
    """What the operators' file says of the doors."""
    return DoorSettings(
        limits=Limits(
            clients_hold=file.number("clients_hold"),
            silent_for=1000.0 * file.seconds("silent_timeout"),
            idle_for=1000.0 * file.seconds("idle_timeout"),
            fair=file.text("address_shares") == "on",
        ),
        patience=1000.0 * file.seconds("request_timeout"),
        queue=file.whole("accept_queue"),
    )
