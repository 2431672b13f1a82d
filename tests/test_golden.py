"""The program reads the golden files of version a8254ac, stored and sent data, and writes the same bytes."""

from __future__ import annotations

import pytest

from . import golden_quorum_forms as quorum
from .golden_forms import FORMS
from .golden_support import GOLDEN, Form, as_json

READ = [name for name, form in FORMS.items() if form.read is not None]


@pytest.mark.parametrize("name", FORMS)
def test_program_writes_the_golden_bytes(name: str) -> None:
    form = FORMS[name]
    written, recorded = form.write(form.value()), (GOLDEN / name).read_bytes()
    if not form.holds(written, recorded):  # only a failure compares them in full, for its message
        assert form.comparable(written) == form.comparable(recorded), name


@pytest.mark.parametrize("name", READ)
def test_program_reads_the_golden_file(name: str) -> None:
    form = FORMS[name]
    assert form.read is not None
    assert form.read((GOLDEN / name).read_bytes()) == form.value()


def test_every_golden_file_has_a_form() -> None:
    assert {path.name for path in GOLDEN.iterdir()} == set(FORMS)


def test_every_message_of_the_quorum_has_a_golden_frame() -> None:
    recorded = {int(name[7:9]) for name in FORMS if name[7:9].isdecimal()}
    assert recorded == quorum.tags_of_program()


def test_a_document_that_may_grow_must_not_lose_or_change_names() -> None:
    form = Form(dict, as_json, grows=True)
    recorded = as_json({"run": {"options": {"--seed": [1, {"min": 0}]}}})
    grown = {"run": {"options": {"--seed": [1, {"min": 0, "max": 9}], "--new": []}}, "more": {}}
    assert form.holds(as_json(grown), recorded)
    changed_documents: tuple[object, ...] = (
        {},
        {"run": {}},
        {"run": {"options": {"--seed": [1]}}},
        {"run": {"options": {"--seed": [2, {"min": 0}]}}},
    )
    for changed in changed_documents:
        assert not form.holds(as_json(changed), recorded)
