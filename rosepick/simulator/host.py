"""Hosts router instances on the simulator's wire: standard input in, standard output out.

No decisions are made here. Bad input ends the process with one plain line: as BROKEN where the instance
is known, else on standard error; the exit status is then 1.
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


class InstanceError(Exception):
    """An instance cannot go on; carries the records to send."""

    def __init__(self, instance_id: int, line: str) -> None:
        super().__init__(line)
        self.instance_id = instance_id


class SimulatorHost:
    """All instances of one process."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}
        self.endpoint_lists: dict[int, tuple[api.Endpoint, ...]] = {}

    def handle_batch(self, body: bytes) -> bytes:
        """Answer one batch."""
        count, now, number = wire.decode_batch_header(body)
        out: list[bytes] = []
        try:
            for code, fields in wire.split_records(body, count):
                self.handle_record(now, code, fields, out)
        except InstanceError as problem:
            out.append(wire.encode_text(25, problem.instance_id, str(problem)))
            raise HostStoppedError(str(problem), wire.encode_reply(number, out)) from None
        return wire.encode_reply(number, out)

    def handle_record(self, now: float, code: int, fields: bytes, replies: list[bytes]) -> None:
        """Hand one record to the instance it concerns."""
        if code == wire.ENDPOINT_LIST:
            number, members = wire.decode_endpoint_list(fields)
            self.endpoint_lists[number] = members
            return
        who = wire.decode_instance_id(fields)
        try:
            if code == wire.PROVISION:
                seed, env = wire.decode_provision(fields)
                self.routers[who] = Router(reader.parse_settings(env), seed)
                return
            if code == wire.SHUTDOWN:
                self.routers.pop(who, None)
                return
            happened = wire.decode_event(code, fields, self.endpoint_lists)
        except (wire.WireError, ValueError) as problem:
            raise InstanceError(who, str(problem)) from None
        router = self.routers.get(who)
        if router is None:
            raise InstanceError(who, f"record with code {code} for an instance that was never started")
        try:
            actions = router.handle(now, happened)
        except Exception as problem:
            last = traceback.extract_tb(problem.__traceback__)[-1]
            place = f"{last.filename.rsplit('/', 1)[-1]}:{last.lineno}"
            raise InstanceError(who, f"{type(problem).__name__}: {problem} at {place}") from None
        replies.extend([wire.encode_action(who, act) for act in actions])


class HostStoppedError(Exception):
    """The process must end after a last reply."""

    def __init__(self, line: str, last_reply: bytes) -> None:
        super().__init__(line)
        self.last_reply = last_reply


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """Read so many bytes, or fewer at the end of input."""
    parts = bytearray()
    while len(parts) < size:
        part = source.read(size - len(parts))
        if not part:
            break
        parts += part
    return bytes(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the end of input; the exit status."""
    host = SimulatorHost()
    try:
        while head := read_exactly(source, 4):
            if len(head) < 4:
                raise wire.WireError("input ends within the length of a batch")
            (size,) = struct.unpack(">I", head)
            if size < 16:
                raise wire.WireError(f"batch of {size} bytes is shorter than its header")
            body = read_exactly(source, size)
            if len(body) < size:
                raise wire.WireError("input ends within a batch")
            sink.write(host.handle_batch(body))
            sink.flush()
    except HostStoppedError as stop:
        sink.write(stop.last_reply)
        sink.flush()
        print(f"rosepick: {stop}", file=sys.stderr)
        return 1
    except wire.WireError as problem:
        print(f"rosepick: {problem}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0
