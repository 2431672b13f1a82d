"""The count of readability findings: each kind is found in a small tree, and clean code has none."""

from __future__ import annotations

from pathlib import Path

import pytest

from .readability import (
    MAX_FILE_LINES,
    MAX_FUNCTION_LINES,
    ROOT,
    Finding,
    FindingKind,
    LintRules,
    find_all,
    find_in_source,
    format_table,
    identifier_words,
    main,
    read_lint_rules,
)

CLEAN = '''\
"""A module."""


def double(value: int) -> int:
    """Return twice the value."""
    return 2 * value
'''


@pytest.fixture
def rules() -> LintRules:
    return read_lint_rules(ROOT / "pyproject.toml")


@pytest.fixture
def tree(tmp_path: Path) -> Path:
    """Create a tree with a clean package and an empty folder of tests."""
    for folder in ("rosepick/core", "tests"):
        (tmp_path / folder).mkdir(parents=True)
        (tmp_path / folder / "__init__.py").write_text('"""A package."""\n')
    (tmp_path / "rosepick" / "core" / "clean.py").write_text(CLEAN)
    return tmp_path


def kinds_and_lines(findings: list[Finding]) -> list[tuple[FindingKind, int]]:
    return [(one.kind, one.line) for one in findings]


def findings_in_source(source: str, path: str = "rosepick/core/part.py") -> list[Finding]:
    return list(find_in_source(path, source))


def test_clean_tree_has_no_findings(tree: Path, rules: LintRules) -> None:
    assert find_all(tree, rules) == []


def test_unformatted_file_is_found(tree: Path, rules: LintRules) -> None:
    (tree / "rosepick" / "core" / "part.py").write_text('"""A module."""\n\nLIMIT_MS = ( 5 )\n')
    assert find_all(tree, rules) == [
        Finding(FindingKind.UNFORMATTED, "rosepick/core/part.py", 1, "not formatted")
    ]


def test_lint_finding_of_a_package_with_an_exception_in_pyproject_is_found(
    tree: Path, rules: LintRules
) -> None:
    folder = tree / "rosepick" / "lab"
    folder.mkdir()
    (folder / "part.py").write_text('"""A module\nwhose summary has two lines.\n"""\n')
    findings = find_all(tree, rules)
    assert kinds_and_lines(findings) == [(FindingKind.LINT, 1)]
    assert findings[0].text.startswith("D205 ")


def test_exceptions_for_tests_apply(tree: Path, rules: LintRules) -> None:
    (tree / "tests" / "test_part.py").write_text("def test_part() -> None:\n    assert True\n")
    assert find_all(tree, rules) == []


@pytest.mark.parametrize(("lines", "count"), [(MAX_FUNCTION_LINES, 0), (MAX_FUNCTION_LINES + 1, 1)])
def test_long_function_is_found(lines: int, count: int) -> None:
    body = "    value = 1\n" * (lines - 2)
    found = findings_in_source(f'"""A module."""\n\n\ndef part() -> None:\n    """Do it."""\n{body}')
    assert kinds_and_lines(found) == [(FindingKind.LONG_FUNCTION, 4)] * count


@pytest.mark.parametrize(("lines", "count"), [(MAX_FILE_LINES, 0), (MAX_FILE_LINES + 1, 1)])
def test_long_file_is_found(lines: int, count: int) -> None:
    found = findings_in_source('"""A module."""\n' + "LIMIT_MS = 5\n" * (lines - 1))
    assert kinds_and_lines(found) == [(FindingKind.LONG_FILE, 1)] * count


def test_undocumented_public_items_are_found_and_private_ones_are_not() -> None:
    source = (
        "class Part:\n"
        "    def run(self) -> None:\n"
        "        def inner() -> None: ...\n"
        "    def _step(self) -> None: ...\n"
        "    def __init__(self) -> None: ...\n"
        "class _Private:\n"
        "    def run(self) -> None: ...\n"
        "async def fetch() -> None: ...\n"
    )
    assert [one.text for one in findings_in_source(source)] == ["module", "Part", "Part.run", "fetch"]
    assert {one.kind for one in findings_in_source(source)} == {FindingKind.UNDOCUMENTED}
    assert findings_in_source(source, "tests/test_part.py") == []


@pytest.mark.parametrize(
    "source",
    [
        "told = 1",
        "import os as door",
        "self.next_hop = 1",
        "def find_witness(): '''Find it.'''",
        "class SenderSide: '''One.'''",
        "class NotNow: '''One.'''",
        "lambda why: 1",
        "[kept for kept in ()]",
        "ENVELOPE_LIMIT = 1",
        "try: pass\nexcept ValueError as told: pass",
        "match 1:\n    case told: pass",
        "value = 1  # the sender side",
    ],
)
def test_old_word_is_found(source: str) -> None:
    found = findings_in_source(f'"""A module."""\n{source}\n')
    assert [one.kind for one in found] == [FindingKind.OLD_WORD]


def test_each_old_word_in_a_docstring_is_found() -> None:
    found = findings_in_source('"""The Sender side is told; a next hop has the witness\'s word."""\n')
    assert [one.text for one in found] == ['"sender side"', '"told"', '"next hop"', '"witness"']


@pytest.mark.parametrize(
    "source",
    [
        '"""`rosepick witness run` keeps it in witness.sqlite3; key [troubles], setting doors_part."""',
        '"""A module."""\nvalue = other.told',
        '"""A module."""\ncall(why="a text")',
        '"""A module."""\nwhole = hopeful = 1',
        '"""A module."""\ntext = "the sender side"',
    ],
)
def test_stored_names_and_uses_of_names_are_not_counted(source: str) -> None:
    assert findings_in_source(source + "\n") == []


def test_name_of_an_option_is_allowed_in_its_own_file_only() -> None:
    source = '"""A module."""\n\n\ndef run(door: str) -> None:\n    """Do it."""\n'
    assert findings_in_source(source, "rosepick/cli/fleet.py") == []
    assert kinds_and_lines(findings_in_source(source, "rosepick/cli/lab.py")) == [(FindingKind.OLD_WORD, 4)]


def test_identifiers_are_split_into_words() -> None:
    assert identifier_words("_next_hopCount") == ["next", "hop", "count"]
    assert identifier_words("HTTPDoor2") == ["http", "door"]
    assert identifier_words("MAX_DOORS_MS") == ["max", "doors", "ms"]


def test_table_has_a_row_for_each_package_and_a_row_of_sums() -> None:
    findings = [
        Finding(FindingKind.LINT, "rosepick/net/a.py", 1, "E501"),
        Finding(FindingKind.LINT, "rosepick/net/b.py", 1, "E501"),
        Finding(FindingKind.OLD_WORD, "tests/golden/a.py", 1, "told"),
    ]
    assert format_table(["rosepick/core", "rosepick/net", "tests"], findings).splitlines()[2:] == [
        "| `rosepick/core` | 0 | 0 | 0 | 0 | 0 | 0 |",
        "| `rosepick/net` | 0 | 2 | 0 | 0 | 0 | 0 |",
        "| `tests` | 0 | 0 | 0 | 0 | 0 | 1 |",
        "| all | 0 | 2 | 0 | 0 | 0 | 1 |",
    ]


def test_ruff_failure_is_an_error(tree: Path, rules: LintRules) -> None:
    broken = LintRules(("NO_SUCH_RULE",), (), (), 110, rules.target_version, "google", 10)
    with pytest.raises(RuntimeError, match="status 2"):
        find_all(tree, broken)


def test_command_prints_the_table_or_the_list(tree: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tree / "rosepick" / "core" / "part.py").write_text('"""A module."""\n\ntold = 1\n')
    main([str(tree)])
    assert "| `rosepick/core` | 0 | 0 | 0 | 0 | 0 | 1 |" in capsys.readouterr().out.splitlines()
    main([str(tree), "--list"])
    assert capsys.readouterr().out == "rosepick/core/part.py:3: old words: told\n"
