"""A process of a8254ac and one of this program talk to each other, by the recorded bytes of the old one."""

from __future__ import annotations

import json
from collections.abc import Iterator

from . import golden_forms
from .golden_forms import GOLDEN


def recorded_session() -> dict[str, list[list[str]]]:
    """Return the recorded session of an old client with old replicas: frames, and how operations ended."""
    session: dict[str, list[list[str]]] = json.loads((GOLDEN / "client-session.json").read_text("utf-8"))
    return session


def test_a_new_replica_answers_the_requests_of_an_old_client() -> None:
    requests = golden_forms.split_frames((GOLDEN / "replica-requests.bin").read_bytes())
    answers = golden_forms.split_frames((GOLDEN / "replica-answers.bin").read_bytes())
    replica = golden_forms.replica("w1")
    assert len(requests) == len(answers) > 25
    for request, answer in zip(requests, answers, strict=True):
        assert golden_forms.answer_of(replica, request) == answer


def test_new_replicas_answer_an_old_client_through_a_change_of_the_quorum() -> None:
    replicas: dict[str, golden_forms.Replica] = {}
    for name, request, answer in recorded_session()["frames"]:
        replica = replicas.setdefault(name, golden_forms.replica(name))
        assert golden_forms.answer_of(replica, bytes.fromhex(request)).hex() == answer
    assert len(replicas) == 4


def test_a_new_client_understands_old_replicas_and_asks_as_the_old_client_did() -> None:
    session = recorded_session()
    frames: Iterator[list[str]] = iter(session["frames"])

    def exchange(name: str, frame: bytes) -> bytes:
        to, request, answer = next(frames)
        assert [name, frame.hex()] == [to, request]
        return bytes.fromhex(answer)

    assert golden_forms.client_session(exchange) == session["ended"]
    assert not list(frames)


def test_a_new_replica_goes_on_with_the_store_of_an_old_one() -> None:
    """It votes as the old one would: nothing below its promise, and what it had accepted is told."""
    stored = (GOLDEN / "replica-store.json").read_bytes()
    assert golden_forms.answers_from_store(stored) == golden_forms.answers_expected_from_store()


def test_old_and_new_clients_change_one_lease() -> None:
    """Each change is made of the value that the program of a8254ac has left."""
    values = [bytes.fromhex(text) for text in json.loads((GOLDEN / "lease-history.json").read_text())]
    changes = golden_forms.lease_changes()
    assert len(values) == len(changes)
    for before, change, after in zip([b"", *values], changes, values, strict=False):
        assert golden_forms.changed(before, change) == after
