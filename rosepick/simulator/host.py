"""Hosts router instances on the simulator's protocol, over standard input and standard output.

The host makes no decisions. Malformed input ends the process with exit status 1 and a message of one line on
standard error. If the instance is known, a BROKEN record has the message, too.
"""

from __future__ import annotations

import struct
import sys
import traceback
from typing import BinaryIO

from ..decisions import api
from ..decisions.decide import Router
from ..settings import reader
from . import wire
from .wire import InputCode, OutputCode

_FRAME_LENGTH = struct.Struct(">I")
MIN_BATCH_BYTES = 16  # the header of a batch


class InstanceError(Exception):
    """Signals that an instance cannot continue; the message is the reason, in one line."""

    def __init__(self, instance_id: int, reason: str) -> None:
        super().__init__(reason)
        self.instance_id = instance_id


class HostStoppedError(Exception):
    """Signals that the process has to end after it has sent `last_reply`."""

    def __init__(self, reason: str, last_reply: bytes) -> None:
        super().__init__(reason)
        self.last_reply = last_reply


class SimulatorHost:
    """Holds all router instances of one process, and the endpoint lists that their events refer to."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}
        self.endpoint_lists: dict[int, wire.Endpoints] = {}

    def handle_batch(self, body: bytes) -> bytes:
        """Return the reply to one batch.

        Raises:
            HostStoppedError: an instance cannot continue.
            wire.WireError: the batch is malformed, and the instance is not known.
        """
        header = wire.decode_batch_header(body)
        replies: list[bytes] = []
        try:
            for code, fields in wire.split_records(body, header.record_count):
                self.handle_record(header.clock, code, fields, replies)
        except InstanceError as error:
            replies.append(wire.encode_text(OutputCode.BROKEN, error.instance_id, str(error)))
            last_reply = wire.encode_reply(header.batch_number, replies)
            raise HostStoppedError(str(error), last_reply) from None
        return wire.encode_reply(header.batch_number, replies)

    def handle_record(self, now: float, code: int, fields: bytes, replies: list[bytes]) -> None:
        """Apply one record, and append the resulting records to `replies`.

        Raises:
            InstanceError: the record is invalid for its instance, or the decision module raised an exception.
            wire.WireError: the record is malformed, and its instance is not known.
        """
        if code == InputCode.ENDPOINT_LIST:
            list_number, endpoints = wire.decode_endpoint_list(fields)
            self.endpoint_lists[list_number] = endpoints
            return
        instance_id = wire.decode_instance_id(fields)
        try:
            if code == InputCode.PROVISION:
                seed, settings = wire.decode_provision(fields)
                self.routers[instance_id] = Router(reader.parse_settings(settings), seed)
                return
            if code == InputCode.SHUTDOWN:
                self.routers.pop(instance_id, None)
                return
            event = wire.decode_event(code, fields, self.endpoint_lists)
        except (wire.WireError, ValueError) as error:
            raise InstanceError(instance_id, str(error)) from None
        router = self.routers.get(instance_id)
        if router is None:
            reason = f"record with code {code} for an instance that was never started"
            raise InstanceError(instance_id, reason)
        actions = _decide(instance_id, router, now, event)
        replies.extend([wire.encode_action(instance_id, action) for action in actions])


def _decide(instance_id: int, router: Router, now: float, event: api.Event) -> list[api.Action]:
    """Pass one event to a router; an InstanceError names the source line that raised an exception."""
    try:
        return router.handle(now, event)
    except Exception as error:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        place = f"{frame.filename.rsplit('/', 1)[-1]}:{frame.lineno}"
        raise InstanceError(instance_id, f"{type(error).__name__}: {error} at {place}") from None


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer at the end of input."""
    received = bytearray()
    while len(received) < size:
        part = source.read(size - len(received))
        if not part:
            break
        received += part
    return bytes(received)


def read_batch(source: BinaryIO) -> bytes | None:
    """Read the batch of one frame; return None at the end of input.

    Raises:
        wire.WireError: the input ends within a frame, or the batch is shorter than its header.
    """
    length = read_exactly(source, _FRAME_LENGTH.size)
    if not length:
        return None
    if len(length) < _FRAME_LENGTH.size:
        raise wire.WireError("input ends within the length of a batch")
    (size,) = _FRAME_LENGTH.unpack(length)
    if size < MIN_BATCH_BYTES:
        raise wire.WireError(f"batch of {size} bytes is shorter than its header")
    body = read_exactly(source, size)
    if len(body) < size:
        raise wire.WireError("input ends within a batch")
    return body


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Reply to batches until the end of input, and return the exit status."""
    host = SimulatorHost()
    try:
        while (body := read_batch(source)) is not None:
            sink.write(host.handle_batch(body))
            sink.flush()
    except HostStoppedError as error:
        sink.write(error.last_reply)
        sink.flush()
        print(f"rosepick: {error}", file=sys.stderr)
        return 1
    except wire.WireError as error:
        print(f"rosepick: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0
