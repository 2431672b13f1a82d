"""Optional components of a router, which are imported only if they are configured."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..core.endpoint_directory import EndpointDirectory
from ..logs import log_event
from ..ops.line_protocol import AdminCommands
from ..settings.config import Config
from ..settings.operator_file import OperatorOptions
from .event_loop import EventLoop
from .listener import Listener
from .resource_budget import ResourceBudget

if TYPE_CHECKING:
    from .admin_listener import AdminListener
    from .batch_listener import BatchListener
    from .capture_output import CaptureOutput
    from .process_handover import ProcessHandover
    from .tls import TlsServer

# Log lines and their rate limits count as those of the server.
logger = logging.getLogger(f"{__package__}.server")


def make_handover(loop: EventLoop, config: Config) -> ProcessHandover | None:
    """Create the handover between processes, if the platform holds the listening socket."""
    if config.listen_fd is None:
        return None
    from .process_handover import ProcessHandover

    return ProcessHandover(loop, config.listen)


def make_capture(
    loop: EventLoop, config: Config, options: OperatorOptions, endpoint_directory: EndpointDirectory
) -> CaptureOutput | None:
    """Create the capture, if it is enabled."""
    if not options.capture_enabled:
        return None
    from .capture_output import CaptureOutput

    return CaptureOutput(
        loop,
        options.file,
        config.names,
        config.seed,
        endpoint_directory.unix_offset_ms,
        endpoint_directory.uid_of,
    )


def make_tls(loop: EventLoop, listener: Listener, host: str, options: OperatorOptions) -> TlsServer | None:
    """Listen for clients that use TLS, if a port for them is configured."""
    port = options.file.optional_integer("tls_listen")
    if port is None:
        return None
    from .tls import TlsServer

    tls = TlsServer(loop, options.file)
    listen_socket = listener.add_listen_socket("tls", (host, port), tls.make_stream)
    host, port = listen_socket.sock.getsockname()[:2]
    log_event(
        logger,
        logging.INFO,
        "tls_serving",
        listen=f"{host}:{port}",
        certificate=tls.certificate_fingerprint(),
    )
    return tls


def make_batch_listener(
    loop: EventLoop, budget: ResourceBudget, listener: Listener, options: OperatorOptions
) -> BatchListener | None:
    """Listen for batches, if a port for them is configured."""
    port = options.file.optional_integer("multiget_listen")
    if port is None:
        return None
    from .batch_listener import BatchListener

    batch_listener = BatchListener(
        loop, budget, listener, port, lambda: options.file.integer("multiget_max_keys")
    )
    host, port = batch_listener.listen_socket.sock.getsockname()[:2]
    log_event(logger, logging.INFO, "batch_serving", listen=f"{host}:{port}")
    return batch_listener


def make_admin_listener(loop: EventLoop, config: Config, commands: AdminCommands) -> AdminListener | None:
    """Listen for operators, if an address is configured."""
    if config.ops is None:
        return None
    from .admin_listener import AdminListener

    return AdminListener(loop, config.ops, commands)


def reserved_descriptors(config: Config) -> int:
    """Return how many descriptors are reserved for the admin listener."""
    if config.ops is None:
        return 0
    from .admin_listener import RESERVED_DESCRIPTORS

    return RESERVED_DESCRIPTORS
