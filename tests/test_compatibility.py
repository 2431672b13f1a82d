"""Processes of this program and of version a8254ac understand each other, by recorded bytes of a8254ac."""

from __future__ import annotations

import json
from collections.abc import Iterator

from rosepick.coordination import artifact_fetch

from . import golden_capture_forms as router
from . import golden_fleet_forms as fleet
from . import golden_quorum_forms as quorum
from .golden_support import GOLDEN


def recorded_session() -> dict[str, list[list[str]]]:
    """Return the recorded session of an old client with old replicas: its frames and operation outcomes."""
    session: dict[str, list[list[str]]] = json.loads((GOLDEN / "client-session.json").read_text("utf-8"))
    return session


def test_a_new_replica_answers_the_requests_of_an_old_client() -> None:
    requests = quorum.split_frames((GOLDEN / "replica-requests.bin").read_bytes())
    replies = quorum.split_frames((GOLDEN / "replica-answers.bin").read_bytes())
    replica = quorum.replica("w1")
    assert len(requests) == len(replies) > 25
    for request, answer in zip(requests, replies, strict=True):
        assert quorum.reply_frame(replica, request) == answer


def test_new_replicas_answer_an_old_client_during_a_reconfiguration() -> None:
    replicas: dict[str, quorum.Replica] = {}
    for name, request, answer in recorded_session()["frames"]:
        replica = replicas.setdefault(name, quorum.replica(name))
        assert quorum.reply_frame(replica, bytes.fromhex(request)).hex() == answer
    assert len(replicas) == 4


def test_a_new_client_understands_old_replicas_and_sends_the_same_requests() -> None:
    session = recorded_session()
    frames: Iterator[list[str]] = iter(session["frames"])

    def exchange(name: str, frame: bytes) -> bytes:
        recipient, request, answer = next(frames)
        assert [name, frame.hex()] == [recipient, request]
        return bytes.fromhex(answer)

    assert quorum.client_session(exchange) == session["ended"]
    assert not list(frames)


def test_a_new_replica_continues_with_the_store_of_an_old_one() -> None:
    """The replica votes as the old one would: it keeps its promise and reports what it had accepted."""
    stored = (GOLDEN / "replica-store.json").read_bytes()
    assert quorum.answers_from_store(stored) == quorum.answers_expected_from_store()


def test_old_and_new_clients_change_the_same_lease() -> None:
    """Each change applies to the value that the program of a8254ac has stored."""
    values = [bytes.fromhex(text) for text in json.loads((GOLDEN / "lease-history.json").read_text())]
    changes = fleet.lease_changes()
    assert len(values) == len(changes)
    for before, change, after in zip([b"", *values], changes, values, strict=False):
        assert fleet.changed(before, change) == after


def test_a_new_router_imports_the_state_of_an_old_one() -> None:
    for name in ("upgrade-document-old-order.bin", "upgrade-document.bin"):
        document = (GOLDEN / name).read_bytes()
        assert router.state_after_import(document) == (50, 5.0, document)
    assert router.upgrade_document() == document


def test_a_new_router_starts_beside_an_old_one() -> None:
    """It finds the files of two old processes, what each contains, and the state document left for it."""
    files: dict[str, str] = json.loads((GOLDEN / "upgrade-seats.json").read_text("utf-8"))
    assert router.read_registry_files(files) == ((300, 70), b"what is known")
    assert router.registry_files() == files


def test_an_old_agent_finds_the_artifact_fetch_of_a_program_that_was_replaced_under_it() -> None:
    """The entry point of a8254ac imports the artifact fetch by the name of its former module."""
    old_entry_point = "from rosepick.net.releasing import main"
    names: dict[str, object] = {}
    exec(old_entry_point, names)
    assert names["main"] is artifact_fetch.main
