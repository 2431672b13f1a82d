"""Representative records of the simulator's protocol, and batches with their replies.

The rules of golden_forms apply: only the golden_*_forms modules import names of the program, values are
built by position, and enumerations by value.
"""

from __future__ import annotations

import io
import json
import struct
from unittest import mock

from rosepick.decisions import api
from rosepick.simulator import host, wire

from .golden_support import GOLDEN, Form, as_given, as_json

RESULTS = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss")

SIMULATED = {
    "request_classes": [{"deadline": 1000.0, "objective": 300.0, "effect": "retryable", "worth": 2.0}],
    "domain": {"mode": "aside", "origin_kind": 2},
    "limits": {
        "max_attempts": 3,
        "probes": True,
        "cancelling": True,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after": 500.0,
    },
    "membership_mode": "subscribe",
    "report": {"fields": ["load"]},
    "of_the_future": {"anything": [1, 2]},
}
CODES = {200: 0, 500: 1, 503: 2, 504: 3, 502: 4, 598: 5, 499: 6, 410: 7, 404: 8}


def simulator_events() -> list[tuple[int, bytes, api.Event]]:
    """Return the code, the fields and the decoded event of records of each type."""
    pack = struct.pack
    found: list[tuple[int, bytes, api.Event]] = [
        (
            18,
            pack(">IQIdQBHfd", 3, 77, 1, 12.0, 99, 1, 0, 0.0, 900.0),
            api.RequestArrived(77, 0, 900.0, 99, 1, False, False, 12.0),
        ),
        (
            18,
            pack(">IQIdQBHfd", 3, 78, 0, 0.0, 98, 6, 1, 0.0, 90.5),
            api.RequestArrived(78, 1, 90.5, 98, 0, True, True, None),
        ),
        (22, pack(">IQ", 3, 5), api.TimerFired(5)),
        (
            23,
            pack(">IdHIB2f", 3, 1.5, 200, 6, 2, 0.5, 0.25),
            api.ProbeResult(6, api.Result("ok"), 1.5, (0.5, 0.25)),
        ),
        (21, pack(">IQ", 3, 77), api.ClientDisconnected(77)),
        (19, pack(">IQBId", 3, 77, 1, 5, 2.5), api.FirstByte(77, 1, 5, 2.5)),
        (24, pack(">IIH", 3, 9, 4) + b"peer", api.PeerMessage(9, b"peer")),
        (17, pack(">IHQB", 3, 0, 41, 2), api.EndpointUpdate(api.UpdateScope("delta"), POOL, 41)),
        (17, pack(">IHQB", 3, 0, 41, 4), api.EndpointUpdate(api.UpdateScope("full"), POOL, 41)),
        (17, pack(">IHQB", 3, 0, 41, 0), api.EndpointUpdate(api.UpdateScope("cached"), POOL, 41)),
        (17, pack(">IHQB", 3, 9, 41, 1), api.EndpointUpdate(api.UpdateScope("failed"), (), 41)),
    ]
    for code, place in CODES.items():
        data = pack(">IQIBBBHdB1f", 3, 77, 5, 2, place % 2, 1, code, 3.5, 1, 0.5)
        event = api.AttemptEnded(77, 1, 5, api.Result(RESULTS[place]), place % 2 > 0, 2, 3.5, (0.5,))
        found.append((20, data, event))
    return found


POOL = (
    api.Endpoint(5, api.Status(1)),
    api.Endpoint(6, api.Status(2), 1.5, 1, 2, 2, 0.5),
    api.Endpoint(7, api.Status(0)),
)
POOL_FIELDS = struct.pack(">HI", 0, 3) + b"".join(
    struct.pack(">IfdBHHB", *row)
    for row in ((5, 1.0, 0.0, 1, 0, 0, 0), (6, 0.5, 1.5, 2, 1, 2, 2), (7, 1.0, 0.0, 0, 0, 0, 0))
)


def decoded_events(data: bytes) -> list[object]:
    """Decode the recorded records."""
    number, members = wire.decode_endpoint_list(POOL_FIELDS)
    return [
        wire.decode_event(code, bytes.fromhex(text), {number: members}) for code, text in json.loads(data)
    ]


def record(code: int, fields: bytes) -> bytes:
    """Return one record of a batch."""
    return struct.pack(">BI", code, len(fields)) + fields


def batch(clock: float, number: int, records: list[bytes]) -> bytes:
    """Return one batch."""
    body = struct.pack(">IdI", len(records), clock, number) + b"".join(records)
    return struct.pack(">I", len(body)) + body


def records_of_reply(reply: bytes) -> list[tuple[int, bytes]]:
    """Return the records of a reply."""
    found, at = [], 12
    while at < len(reply):
        code, size = struct.unpack_from(">BI", reply, at)
        found.append((code, reply[at + 5 : at + 5 + size]))
        at += 5 + size
    return found


def work(ref: int, left: float) -> bytes:
    """Return a request record whose deadline is `left` milliseconds away."""
    return record(18, struct.pack(">IQIdQBHfd", 3, ref, 0, 12.0, 99 + ref, 1, 0, 0.0, left))


def answers_to(reply: bytes, turn: int, attempt_numbers: dict[int, int]) -> list[bytes]:
    """Return the records that follow a reply: outcomes of attempts, fired timers and probe results."""
    found = []
    for code, fields in records_of_reply(reply):
        if code == 16:
            _, ref, server, _ = struct.unpack(">IQId", fields)
            attempt_number = attempt_numbers[ref] = attempt_numbers.get(ref, -1) + 1
            outcome = (404, 598, 200, 503, 500, 502, 504)[(ref + turn) % 7]
            found.append(
                record(20, struct.pack(">IQIBBBHdB", 3, ref, server, 0, 1, attempt_number, outcome, 3.5, 0))
            )
        elif code == 20:
            found.append(record(22, fields[:12]))
        elif code == 21:
            found.append(record(23, struct.pack(">IdHIB", 3, 1.5, 200, *struct.unpack(">4xI", fields), 0)))
    return found


def simulator_input() -> bytes:
    """Return batches that start a router and lead to attempts, retries, refusals and failures.

    Each batch has the outcomes of the actions in the reply before it. The last batch addresses an instance
    that was shut down, and ends the host.
    """
    text = json.dumps(SIMULATED).encode()
    rows = struct.pack(">HI", 0, 4) + b"".join(
        struct.pack(">IfdBHHB", server, 1.0, 0.0, 1, 0, 2 * (server == 7), 0) for server in (5, 6, 7, 8)
    )
    opening = [
        [record(16, struct.pack(">IQI", 3, 7, len(text)) + text)],
        [record(26, rows), record(17, struct.pack(">IHQB", 3, 0, 41, 0))],
        [work(ref, 900.0) for ref in range(1, 12)],
        [record(21, struct.pack(">IQ", 3, 5)), work(12, 0.5), work(13, 90.0)],
        [record(17, struct.pack(">IHQB", 3, 9, 0, 1)), work(14, 900.0)],
    ]
    closing = [record(20, struct.pack(">IQIBBBHdB", 3, 99, 5, 0, 1, 0, 200, 3.5, 0)), record(25, b"\0\0\0\3")]
    simulator_host, found, attempt_numbers = host.SimulatorHost(), b"", dict[int, int]()
    waiting: list[bytes] = []
    for turn in range(20):
        records = opening[turn] if turn < len(opening) else waiting
        waiting = [] if turn >= len(opening) else waiting
        made = batch(10.0 + 40.0 * turn, turn, records)
        waiting += answers_to(simulator_host.handle_batch(made[4:]), turn, attempt_numbers)
        found += made
    return found + batch(2000.0, 20, closing) + batch(2001.0, 21, [work(15, 900.0)])


def simulator_output(data: bytes) -> bytes:
    """Return the output of the host, which ends with an error at the last batch."""
    sink = io.BytesIO()
    with mock.patch("sys.stderr", io.StringIO()):
        assert host.serve(io.BytesIO(data), sink) == 1
    return sink.getvalue()


def simulator_actions() -> bytes:
    """Return a reply that contains a record of each action."""
    actions: list[api.Action] = [
        api.Send(77, 5, 1.5),
        api.SetTimer(3, 2.5),
        api.Refuse(77, 250.0),
        api.Fail(77),
        api.Cancel(77, 1),
        api.Probe(5),
        api.Watch(True),
        api.Watch(False),
        api.Log("a line \u00e9"),
    ]
    out = [wire.encode_action(3, action) for action in actions] + [wire.encode_text(25, 3, "broken")]
    return wire.encode_reply(7, out)


SIMULATOR_FORMS: dict[str, Form] = {
    "simulator-events.json": Form(
        lambda: [event for _, _, event in simulator_events()],
        lambda _: as_json([[code, data.hex()] for code, data, _ in simulator_events()]),
        decoded_events,
    ),
    "simulator-input.bin": Form(simulator_input, as_given),
    "simulator-output.bin": Form(
        lambda: simulator_output((GOLDEN / "simulator-input.bin").read_bytes()), as_given
    ),
    "simulator-actions.bin": Form(simulator_actions, as_given),
}
