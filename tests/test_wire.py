"""Codec and host of the simulator: replies to batches, and one-line messages for malformed input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from rosepick.decisions import api
from rosepick.settings import reader
from rosepick.simulator import host, wire

SETTINGS = {
    "request_classes": [{"deadline": 1000.0, "objective": 300.0, "effect": "retryable", "worth": 2.0}],
    "domain": {"mode": "aside", "origin_kind": 2},
    "limits": {"max_attempts": 3, "probes": True},
    "membership_mode": "subscribe",
    "of_the_future": {"anything": [1, 2]},
}


def record(code: int, fields: bytes) -> bytes:
    return struct.pack(">BI", code, len(fields)) + fields


def batch(*records: bytes, clock: float = 10.0, number: int = 1) -> bytes:
    body = struct.pack(">IdI", len(records), clock, number) + b"".join(records)
    return struct.pack(">I", len(body)) + body


def provision(config: object = SETTINGS, raw: bytes | None = None) -> bytes:
    text = json.dumps(config).encode() if raw is None else raw
    return record(16, struct.pack(">IQI", 3, 7, len(text)) + text)


def pool(slot: int = 0) -> bytes:
    rows = struct.pack(">IfdBHHB", 5, 1.0, 0.0, 1, 0, 0, 0) + struct.pack(">IfdBHHB", 6, 1.0, 0.0, 1, 0, 0, 2)
    return record(26, struct.pack(">HI", slot, 2) + rows)


def members(slot: int = 0, scope: int = 0) -> bytes:
    return record(17, struct.pack(">IHQB", 3, slot, 41, scope))


def work(ref: int = 77) -> bytes:
    return record(18, struct.pack(">IQIdQBHfd", 3, ref, 0, 12.0, 99, 1, 0, 0.0, 900.0))


def serve(data: bytes) -> tuple[int, bytes]:
    sink = io.BytesIO()
    return host.serve(io.BytesIO(data), sink), sink.getvalue()


def replies(data: bytes) -> list[tuple[int, list[int]]]:
    out, at = [], 0
    while at < len(data):
        size, count, number = struct.unpack_from(">III", data, at)
        codes, pos = [], at + 12
        for _ in range(count):
            code, length = struct.unpack_from(">BI", data, pos)
            codes.append(code)
            pos += 5 + length
        at += 4 + size
        assert pos == at
        out.append((number, codes))
    return out


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert serve(batch())[1].hex() == "000000080000000000000001"


def test_a_request_causes_an_attempt() -> None:
    status, out = serve(batch(provision(), pool(), members(), work()))
    assert status == 0
    assert 16 in replies(out)[0][1]


def test_settings_are_read() -> None:
    got = reader.parse_settings(json.dumps(SETTINGS).encode())
    assert got.mode is api.Mode.ASIDE and got.origin_kind == 2 and got.subscribe
    assert got.classes[0].objective_ms == 300.0


def test_shutdown_removes_the_instance() -> None:
    gone = record(25, struct.pack(">I", 3))
    status, out = serve(batch(provision(), gone) + batch(provision(), pool(), members(), work(), number=2))
    assert status == 0
    assert [number for number, _ in replies(out)] == [1, 2]


@pytest.mark.parametrize(
    "data",
    [
        batch()[:-3],
        b"\0\0",
        struct.pack(">I", 4) + b"abcd",
        batch(b"\x12\0\0\0\x50"),
        batch(record(18, b"\0\0")),
        batch(record(26, struct.pack(">HI", 0, 9))),
        batch()[:4] + b"\0\0\0\1" + batch()[8:],
    ],
    ids=["truncated", "no length", "short header", "record cut", "no instance", "short list", "count wrong"],
)
def test_malformed_frames_end_the_host_with_one_line(data: bytes, capfd: pytest.CaptureFixture[str]) -> None:
    status, _ = serve(data)
    err = capfd.readouterr().err
    assert status == 1
    assert err.count("\n") == 1 and err.startswith("rosepick: ")


@pytest.mark.parametrize(
    ("records", "words"),
    [
        ([provision(raw=b"{nope")], "not valid JSON"),
        ([provision(config={})], "request_classes"),
        ([provision(config={"request_classes": [{"worth": 1}]})], "deadline"),
        ([provision(), members(slot=9)], "list 9"),
        ([provision(), record(99, struct.pack(">I", 3))], "unknown record code 99"),
        ([provision(), record(18, struct.pack(">IQ", 3, 1))], "shorter"),
        ([work()], "never started"),
    ],
)
def test_an_error_of_a_known_instance_is_reported_in_a_broken_record(
    records: list[bytes], words: str, capfd: pytest.CaptureFixture[str]
) -> None:
    status, out = serve(batch(*records))
    err = capfd.readouterr().err
    assert status == 1
    assert replies(out)[-1][1][-1] == 25
    assert words.encode() in out and words in err
    assert err.count("\n") == 1


def test_an_exception_of_the_decision_module_is_reported_with_its_source_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(self: object, event: object) -> None:
        raise KeyError("lost")

    monkeypatch.setattr("rosepick.decisions.decide.Router._accept_request", fail)
    status, out = serve(batch(provision(), pool(), members(), work()))
    assert status == 1
    assert b"KeyError" in out and b"lost" in out and b".py:" in out


def test_the_host_runs_as_a_process() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "rosepick.simulator"],
        input=batch(provision(), pool(), members(), work()),
        capture_output=True,
        cwd=Path(__file__).parent.parent,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0 and done.stderr == b""
    assert replies(done.stdout)


def test_every_encoded_action_has_its_stated_length() -> None:
    actions: list[api.Action] = [
        api.Send(1, 2),
        api.Refuse(1),
        api.Fail(1),
        api.Cancel(1, 0),
        api.SetTimer(1, 2.0),
        api.Probe(2),
        api.Watch(True),
        api.Log("line"),
    ]
    for action in actions:
        raw = wire.encode_action(3, action)
        assert len(raw) == 5 + struct.unpack_from(">I", raw, 1)[0]


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"limits": {"max_attempts": 0}}, "max_attempts"),
        ({"limits": {"probes": 3}}, "limits.probes"),
        ({"rules": {"cold_from": 7}}, "cold_from"),
        ({"rules": "no"}, "rules"),
        ({"domain": {"mode": "sideways"}}, "domain.mode"),
        ({"zone": 1.5}, "zone"),
        ({"tenants": [{"share": 4}]}, "tenants[].share"),
        ({"tenants": 4}, "tenants"),
        ({"request_classes": [{"deadline": 10, "effect": "odd"}]}, "effect"),
        ({"request_classes": [{"deadline": -1}]}, "request_classes[0].objective"),
    ],
)
def test_the_message_names_an_invalid_setting(change: dict[str, object], name: str) -> None:
    with pytest.raises(ValueError, match=name.replace("[", r"\[").replace("]", r"\]")):
        reader.parse_settings(json.dumps(SETTINGS | change).encode())
