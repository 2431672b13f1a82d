"""Stored and wire forms: the program reads the golden files of a8254ac, and writes the same bytes."""

from __future__ import annotations

import pytest

from . import golden_quorum_forms as quorum
from .golden_forms import FORMS
from .golden_support import GOLDEN

READ = [name for name, form in FORMS.items() if form.read is not None]


@pytest.mark.parametrize("name", FORMS)
def test_program_writes_the_golden_bytes(name: str) -> None:
    form = FORMS[name]
    written = form.write(form.value())
    assert form.comparable(written) == form.comparable((GOLDEN / name).read_bytes())


@pytest.mark.parametrize("name", READ)
def test_program_reads_the_golden_file(name: str) -> None:
    form = FORMS[name]
    assert form.read is not None
    assert form.read((GOLDEN / name).read_bytes()) == form.value()


def test_every_file_has_its_form() -> None:
    assert {path.name for path in GOLDEN.iterdir()} == set(FORMS)


def test_every_message_of_the_quorum_has_a_golden_frame() -> None:
    recorded = {int(name[7:9]) for name in FORMS if name[7:9].isdecimal()}
    assert recorded == quorum.tags_of_program()
