"""The list of known failures has the right format, and each of its tests exists."""

from __future__ import annotations

import pytest

from .known_red import FILE, KnownRedError, load_known_red, read_known_red

LINE = "tests/test_a.py::test_b | a cause | issue 1"


def test_a_line_has_a_test_a_cause_and_an_issue() -> None:
    (entry,) = read_known_red(f"# a comment\n\n{LINE}\n")
    assert (entry.test, entry.cause, entry.issue) == ("tests/test_a.py::test_b", "a cause", "issue 1")


@pytest.mark.parametrize("text", ["tests/test_a.py::test_b", "a | b", "a | | c", "\n".join([LINE] * 4)])
def test_malformed_lists_are_refused(text: str) -> None:
    with pytest.raises(KnownRedError, match=FILE.name):
        read_known_red(text)


def test_each_listed_test_exists() -> None:
    for entry in load_known_red():
        path, _, name = entry.test.partition("::")
        assert f"def {name.rpartition('::')[2]}(" in (FILE.parent / path).read_text("utf-8"), entry.test
