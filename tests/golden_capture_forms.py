"""Representative captures, state documents and registry files of router processes.

The rules of golden_forms apply: only the golden_*_forms modules import names of the program, values are
built by position, and enumerations by value.
"""

from __future__ import annotations

import fcntl
import os
from typing import Any

from rosepick.capture import record_format
from rosepick.capture.record_reader import RecordReader
from rosepick.capture.recorder import CaptureConfig, CaptureRecorder
from rosepick.capture.replay import replay
from rosepick.core.request_context import RequestContext, UpstreamAttempt
from rosepick.core.request_counters import RequestOutcome
from rosepick.decisions import api
from rosepick.decisions.decide import Router
from rosepick.net.process_registry import ProcessRegistry
from rosepick.settings import config
from rosepick.settings.config import NameIndexes
from rosepick.upgrade.state_document import exported_at
from rosepick.upgrade.state_transfer import export_state, import_state

from .golden_support import GOLDEN, Form, as_given, as_json, constant, temporary_folder
from .scenario import SETTINGS, target

NAMES = NameIndexes(
    {"read": 0, "set": 1}, {"acme": 0, "beta": 1}, {"east": 0, "west": 1}, {"std": 0, "origin": 1}
)
THIRD = 1000.0 / 3
MEMBERS = (
    (api.Endpoint(3, api.Status(0), THIRD, 1, 2, 3, 0.1), "s-3"),
    (api.Endpoint(4, api.Status(1)), "a%20b"),
    (api.Endpoint(5, api.Status(2), 12.5, 0, 0, 1, 2.0), "origin"),
)


# ------------------------------------------------------------------------------------ captures


def capture_records() -> list[record_format.Record]:
    """Return records of each type in all variants."""
    outcomes = [api.Result(value) for value in RESULTS]
    return [
        record_format.SegmentHeader(1, 2, 2**63, 1.5e12 + 0.1, THIRD, 4, MEMBERS),
        record_format.SegmentHeader(0, 0, 1, 0.0, 0.0, 0),
        *(
            record_format.EndpointListRecord(THIRD, api.UpdateScope(scope), 42, MEMBERS)
            for scope in ("cached", "full", "delta")
        ),
        record_format.EndpointListRecord(THIRD, api.UpdateScope("failed"), 0),
        record_format.ArrivalRecord(
            THIRD, 1, "a", "b", "-", "k", "0.480", THIRD, 2**64 - 1, True, False, 0.1 + 0.2
        ),
        record_format.ArrivalRecord(THIRD, 2, "a", "b", "c", "k", "1", THIRD, 1, False, True, None),
        record_format.ArrivalRecord(THIRD, 3, "a", "b", "c", "k", "1", THIRD, 1, True, True, None),
        record_format.AttemptSentRecord(1, "s-3"),
        *(
            record_format.AttemptOutcomeRecord(THIRD, 1, n, result, n % 4, n % 2 > 0, n % 3 > 0, 1e-9)
            for n, result in enumerate(outcomes)
        ),
        record_format.ClientGoneRecord(THIRD, 9),
        record_format.TimerRecord(THIRD, 3 << 60),
        *(
            record_format.FinalAnswerRecord(1_718_000_000_123, "9b", "read", "acme", "m-1", uid, status)
            for uid, status in FINALS
        ),
        record_format.LostRecord(THIRD),
    ]


RESULTS = (
    "ok",
    "error",
    "full",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "moot",
    "miss",
    "no_place",
    "unfit",
)
FINALS = (("s-3", 200), ("-", 503), ("s-3", 502), ("origin", 504), ("-", 499), ("-", 500))


def write_records(records: list[record_format.Record]) -> bytes:
    """Encode records as lines."""
    return "".join(record.text() for record in records).encode("ascii")


def read_records(data: bytes) -> list[record_format.Record]:
    """Parse the records of a capture that begins with a log line."""
    log_line = b"time=2026-01-01T00:00:00.000Z level=info part=net.server event=serving\n"
    return [record for _, record in RecordReader(log_line + data)]


def reencoded(data: bytes) -> bytes:
    """Parse the records of a capture and encode them again."""
    return write_records(read_records(data))


def capture_words() -> object:
    """Return words of clients with their encoded forms."""
    words = (b"a b", b"a\nC 1", b"%41", b"-", b"", b"\xff\x00", b"#7", b"x" * 500, b"\xff" * 200, b"m-1:2,3")
    return [[data.hex(), record_format.encode_word(data)] for data in words]


def recorded_segments() -> bytes:
    """Record requests with each outcome, and return the segments."""

    def words(payload: object) -> tuple[bytes, bytes, bytes]:
        return b"id %d" % (payload if isinstance(payload, int) else 0), b"key", b"0.500"

    recorder = CaptureRecorder(
        CaptureConfig(3, 2048, 7, 1_700_000_000_000.0), NAMES, words, lambda server: f"s-{server}"
    )
    for number in range(3):
        for scope in ("full", "delta", "failed"):
            recorder.on_event(
                number + THIRD,
                api.EndpointUpdate(api.UpdateScope(scope), tuple(m for m, _ in MEMBERS), number),
                [],
            )
            recorder.on_event(
                number + THIRD,
                api.EndpointUpdate(api.UpdateScope("full"), (api.Endpoint(4), api.Endpoint(5)), 9),
                [],
            )
        for place, end in enumerate(("served", "refused", "failed", "late", "gone", "broke")):
            ref, now = 10 * number + place, 1000.0 * number + THIRD * place
            context = RequestContext(
                place % 2, now + 500.0, 2**40 + ref, place % 2, ref % 2 > 0, False, None, ref, ref
            )
            recorder.on_request(now, context, [api.Send(ref, 4, now + 250.0)])
            if place:
                context.attempts.append(UpstreamAttempt(context, 0, 4 + place % 2, now, now + 250.0, now))
            result = api.Result(RESULTS[place])
            recorder.on_event(
                now, api.AttemptEnded(ref, 0, 4, result, True, 2, 1.5, (), place == 2), [api.Send(ref, 5)]
            )
            recorder.on_event(now, api.TimerFired(3 << 60), [api.SetTimer(1, 2.0)])
            recorder.on_event(now, api.ClientDisconnected(ref), [])
            recorder.on_outcome(now, context, RequestOutcome(end))
    recorder.flush()
    return b"".join(bytes(segment.data[: segment.length]) for segment in recorder.ring.segments)


def replayed(capture: bytes) -> object:
    """Replay a capture with unchanged settings and with one attempt per request; return both reports."""
    found = {}
    for name, limits in (("unchanged", {}), ("one attempt", {"max_attempts": 1})):
        document = router_document({**SETTINGS, "limits": {**SETTINGS["limits"], **limits}})
        router_config = config.read(document)
        found[name] = list(
            replay([RecordReader(capture)], router_config.settings, router_config.names).lines()
        )
    return found


def router_document(settings: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration document of a router."""
    return {
        "name": "n3",
        "listen": "127.0.0.1:5000",
        "discovery": "127.0.0.1:8500",
        "seed": "1f",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": settings,
        "known": {"rev": 41, "all": True, "targets": [target("s1", 5001), target("origin", 5002)]},
    }


# ------------------------------------------------------------------------------------ upgrade


def router(served: int) -> Router:
    """Return a decision module with three endpoints that has served `served` requests, one every 10 ms."""
    made = Router(api.RouterSettings((api.RequestClass(600, 1200),)), 1)
    made.handle(0.0, api.EndpointUpdate(api.UpdateScope("cached"), tuple(api.Endpoint(n) for n in (7, 8, 9))))
    for ref in range(1, served + 1):
        for action in made.handle(10.0 * ref, api.RequestArrived(ref, 0, 1200, 1 + ref % 50)):
            if isinstance(action, api.Send):
                done = api.AttemptEnded(ref, 0, action.endpoint_id, api.Result("ok"), True, 0, 20.0)
                made.handle(10.0 * ref + 5.0, done)
    return made


def upgrade_document() -> bytes:
    """Return the state document of a router that has served requests."""
    return export_state(router(199), 5.0)


def state_after_import(document: bytes) -> tuple[int, float, bytes]:
    """Import a state document; return its number of keys, its time, and the state that is exported again."""
    importer = router(0)
    keys = import_state(importer, document, 9.0)
    return keys, exported_at(document), export_state(importer, 5.0)


def registry_files() -> dict[str, str]:
    """Return the files in which the processes of one router publish their counts and state."""
    with temporary_folder() as folder:
        seats = ProcessRegistry(folder, ("127.0.0.1", 5000))
        seats.publish_descriptor_count(300)
        other = ProcessRegistry(folder, ("127.0.0.1", 5000))
        other.publish_descriptor_count(70)
        other.write_state(b"what is known")
        assert (seats.other_descriptor_counts(), seats.read_state()) == ((70,), b"what is known")
        found = {path.name: path.read_bytes().hex() for path in sorted(folder.iterdir())}
        seats.close()
        other.close()
        return found


def read_registry_files(files: dict[str, str]) -> tuple[tuple[int, ...], bytes | None]:
    """Return the counts and the state that a process reads from the recorded files of another process."""
    with temporary_folder() as folder:
        held = []
        for name, content in files.items():
            path = folder / name
            path.write_bytes(bytes.fromhex(content))
            if name.endswith(".seat"):
                held.append(os.open(path, os.O_RDWR))
                fcntl.flock(held[-1], fcntl.LOCK_EX | fcntl.LOCK_NB)
        seats = ProcessRegistry(folder, ("127.0.0.1", 5000))
        found = seats.other_descriptor_counts(), seats.read_state()
        seats.close()
        for file in held:
            os.close(file)
        return found


def environment_settings() -> object:
    """Return the settings that a router reads from its environment."""
    router_config = config.read(router_document(SETTINGS))
    router_config = config.apply_environment(router_config, {"GW_LISTEN_FD": "7", "GW_OPS": "127.0.0.1:6000"})
    return [router_config.listen_fd, router_config.ops]


def read_state_document(document: bytes) -> object:
    """Return the number of keys and the time of a state document, or the exported state if it differs."""
    keys, when, again = state_after_import(document)
    return (keys, when) if again == document else again


def document_after_import() -> bytes:
    """Return the state exported after the import of a document with the former rendezvous order."""
    return state_after_import((GOLDEN / "upgrade-document-old-order.bin").read_bytes())[2]


def replayed_recording() -> object:
    """Replay a recorded capture with hits, misses, a reset, refusals and a changed endpoint list."""
    return replayed((GOLDEN / "capture-recorded.txt").read_bytes())


CAPTURE_FORMS: dict[str, Form] = {
    "capture-recorded.txt": Form(lambda: (GOLDEN / "capture-recorded.txt").read_bytes(), reencoded),
    "capture-replay.json": Form(replayed_recording, as_json),
    "capture-records.txt": Form(capture_records, write_records, read_records),
    "capture-words.json": Form(capture_words, as_json),
    "capture-recorder.txt": Form(recorded_segments, as_given),
    "upgrade-document.bin": Form(constant((50, 5.0)), lambda _: upgrade_document(), read_state_document),
    "upgrade-document-old-order.bin": Form(
        constant((50, 5.0)), lambda _: document_after_import(), read_state_document
    ),
    "upgrade-seats.json": Form(registry_files, as_json),
    "upgrade-environment.json": Form(environment_settings, as_json),
}
