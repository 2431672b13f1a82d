"""Counts the findings that are left to clean up in each package, as a table for docs/readability.md.

    python -m tests.readability                  prints the table of this checkout
    python -m tests.readability ../old           prints that of another checkout, by the rules of this one
    python -m tests.readability --list           prints each finding with its file and line

The lint rules are those of pyproject.toml, without the exceptions for packages that are still to be
rewritten. The exceptions for tests apply.
"""

from __future__ import annotations

import argparse
import ast
import io
import json
import re
import subprocess
import sys
import tokenize
import tomllib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MAX_FUNCTION_LINES = 40
MAX_FILE_LINES = 400
SOURCE_FOLDERS = ("rosepick", "tests")

# Words that docs/glossary.md replaced by terms of the field, as parts of identifiers.
OLD_IDENTIFIER_WORDS = frozenset(
    """
    blame contender contenders crowd crowded deed deeds door doors envelope envelopes errand heard
    hop hops judge kept ledger ledgers lonely manners owed said saying sender spoilt strike strikes
    tells tended told trouble troubles warden who why wish witness witnesses
    """.split()
)
# Full names of classes and functions that were renamed and that have no other meaning.
OLD_DEFINITIONS = frozenset(
    """
    Asked Ask Beaten Carrier Ceiling Came Conn Decider Declined Dials Do Elsewhere Eye Eyes Flow
    Guest Habits Holders Job Keep Keeping Kept MapSource Met Moved Named NextHops NotNow Opinion
    Ordered Own Portion Pressure Promised Ran Remembered Saved Seen Sight Standing Stood Thing Times
    Told Unreadable Waiting Watched Where Yes _again _learn _overdue _pick _to_origin give_back
    give_way go_on gone let_in proven stand_in_line take_on teach want_in want_out went_to write_off
    """.split()
)
# Replaced words in docstrings and comments, without those of the words above that are ordinary English.
OLD_PHRASES = re.compile(
    r"\b(sender sides?|next hops?|envelopes?|delivery attempts?|transport maps?|told|tells|spoilt|owed"
    r"|crowd(?:ed)?|doors?|errands?|ledgers?|wardens?|contenders?|witness(?:es)?|troubles?|signs? of life"
    r"|way back|wide slots)\b",
    re.IGNORECASE,
)
# Commands, their options and keys of files keep their names.
STORED_PHRASES = re.compile(
    r"`[^`]*`|\brosepick witness\b|\bwitness (?:run|found|status|replace|remove)\b|\bwitness\.sqlite3\b"
    r"|\[(?:witnesses|troubles)\]|\bdoors_part\b"
)


@dataclass(frozen=True, slots=True)
class StoredName:
    """An identifier that keeps an old word because it names an option, a command or a stored key."""

    path: str
    name: str


STORED_NAMES = frozenset(
    {
        StoredName("rosepick/cli/fleet.py", "door"),  # option `--door`
        StoredName("rosepick/cli/lease.py", "witness"),  # command `rosepick witness`
        StoredName("rosepick/cli/leasing.py", "witness"),  # the same command, in the file's former name
        StoredName("rosepick/settings/fleet_file.py", "lonely"),  # key of [drains]
        StoredName("rosepick/settings/fleet_file.py", "witnesses"),  # [witnesses]
        StoredName("rosepick/lab/experiment.py", "troubles"),  # [[troubles]]
    }
)


class FindingKind(Enum):
    """Kinds of findings; the value is the title of its column."""

    UNFORMATTED = "unformatted files"
    LINT = "lint findings"
    LONG_FUNCTION = f"functions over {MAX_FUNCTION_LINES} lines"
    UNDOCUMENTED = "undocumented public items"
    LONG_FILE = f"files over {MAX_FILE_LINES} lines"
    OLD_WORD = "old words"


@dataclass(frozen=True, slots=True)
class Finding:
    """One place to clean up; `path` is relative to the tree."""

    kind: FindingKind
    path: str
    line: int
    text: str

    @property
    def package(self) -> str:
        """Folder of the file, whose row of the table counts the finding."""
        return package_of(self.path)


@dataclass(frozen=True, slots=True)
class LintRules:
    """Lint rules of pyproject.toml that apply to a package without exceptions."""

    select: tuple[str, ...]
    ignore: tuple[str, ...]
    tests_ignore: tuple[str, ...]
    line_length: int
    target_version: str
    docstring_convention: str
    max_complexity: int

    @property
    def format_options(self) -> list[str]:
        """Command line options for `ruff format`."""
        return [f"--line-length={self.line_length}", f"--target-version={self.target_version}"]

    @property
    def check_options(self) -> list[str]:
        """Command line options for `ruff check`."""
        return [
            *self.format_options,
            f"--select={','.join(self.select)}",
            f"--ignore={','.join(self.ignore)}",
            "--per-file-ignores=" + ",".join(f"tests/*:{code}" for code in self.tests_ignore),
            f'--config=lint.pydocstyle.convention="{self.docstring_convention}"',
            f"--config=lint.mccabe.max-complexity={self.max_complexity}",
        ]


def read_lint_rules(pyproject: Path) -> LintRules:
    """Read the rules of a pyproject.toml, without the exceptions of single packages."""
    ruff: dict[str, Any] = tomllib.loads(pyproject.read_text("utf-8"))["tool"]["ruff"]
    lint = ruff["lint"]
    return LintRules(
        select=tuple(lint["select"]),
        ignore=tuple(lint["ignore"]),
        tests_ignore=tuple(lint["per-file-ignores"]["tests/*"]),
        line_length=ruff["line-length"],
        target_version=ruff["target-version"],
        docstring_convention=lint["pydocstyle"]["convention"],
        max_complexity=lint["mccabe"]["max-complexity"],
    )


def package_of(path: str) -> str:
    """Return the row of a file in the table: its folder, or `tests` for all tests."""
    folder = path.rpartition("/")[0]
    return "tests" if folder.split("/")[0] == "tests" else folder


def source_files(tree: Path) -> list[Path]:
    """Return the Python files of the program and its tests, sorted by path."""
    return sorted(path for folder in SOURCE_FOLDERS for path in (tree / folder).rglob("*.py"))


def find_unformatted(tree: Path, rules: LintRules) -> Iterator[Finding]:
    """Yield the files that `ruff format` would change."""
    output = _run_ruff(tree, ["format", "--check", *rules.format_options])
    for path in re.findall(r"^Would reformat: (.+)$", output, re.M):
        yield Finding(FindingKind.UNFORMATTED, Path(path).as_posix(), 1, "not formatted")


def find_lint(tree: Path, rules: LintRules) -> Iterator[Finding]:
    """Yield the findings of `ruff check`."""
    output = _run_ruff(tree, ["check", "--output-format=json", *rules.check_options])
    for entry in json.loads(output):
        path = Path(entry["filename"]).relative_to(tree.resolve()).as_posix()
        text = f"{entry['code']} {entry['message']}"
        yield Finding(FindingKind.LINT, path, entry["location"]["row"], text)


def _run_ruff(tree: Path, arguments: Sequence[str]) -> str:
    """Run ruff on the source folders of a tree and return its standard output.

    Raises:
        RuntimeError: ruff could not run. Findings are not an error.
    """
    folders = [name for name in SOURCE_FOLDERS if (tree / name).is_dir()]
    command = [
        sys.executable,
        "-m",
        "ruff",
        arguments[0],
        "--isolated",
        "--no-cache",
        *arguments[1:],
        *folders,
    ]
    completed = subprocess.run(command, cwd=tree, capture_output=True, text=True, check=False)
    if completed.returncode not in (0, 1):
        raise RuntimeError(
            f"ruff ended with status {completed.returncode} in {tree}: {completed.stderr.strip()}"
        )
    return completed.stdout


def find_in_source(path: str, source: str) -> Iterator[Finding]:
    """Yield the findings of one file that need no other file."""
    module = ast.parse(source)
    line_count = len(source.splitlines())
    if line_count > MAX_FILE_LINES:
        yield Finding(FindingKind.LONG_FILE, path, 1, f"{line_count} lines")
    yield from _find_long_functions(path, module)
    if package_of(path) != "tests":  # tests are described by their names
        yield from _find_undocumented(path, module, "")
    yield from _find_old_identifiers(path, module)
    yield from _find_old_phrases(path, source, module)


def _find_long_functions(path: str, module: ast.Module) -> Iterator[Finding]:
    for node in ast.walk(module):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            length = (node.end_lineno or node.lineno) - node.lineno + 1
            if length > MAX_FUNCTION_LINES:
                yield Finding(FindingKind.LONG_FUNCTION, path, node.lineno, f"{node.name} has {length} lines")


def _find_undocumented(path: str, node: ast.Module | ast.ClassDef, prefix: str) -> Iterator[Finding]:
    if ast.get_docstring(node) is None:
        name = prefix.rstrip(".") or "module"
        line = node.lineno if isinstance(node, ast.ClassDef) else 1
        yield Finding(FindingKind.UNDOCUMENTED, path, line, name)
    for child in node.body:
        if isinstance(child, ast.ClassDef) and not child.name.startswith("_"):
            yield from _find_undocumented(path, child, f"{prefix}{child.name}.")
        elif (
            isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef)
            and not child.name.startswith("_")
            and ast.get_docstring(child) is None
        ):
            yield Finding(FindingKind.UNDOCUMENTED, path, child.lineno, prefix + child.name)


def _find_old_identifiers(path: str, module: ast.Module) -> Iterator[Finding]:
    """Yield each binding (definition, parameter, assignment, import alias) of a name with an old word."""
    for node in ast.walk(module):
        name = _bound_name(node)
        if name is None or StoredName(path, name) in STORED_NAMES:
            continue
        is_definition = isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
        is_old_definition = is_definition and name in OLD_DEFINITIONS
        if is_old_definition or OLD_IDENTIFIER_WORDS.intersection(identifier_words(name)):
            yield Finding(FindingKind.OLD_WORD, path, getattr(node, "lineno", 1), name)


def _bound_name(node: ast.AST) -> str | None:
    match node:
        case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name) | ast.ClassDef(name=name):
            return name
        case ast.arg(arg=name) | ast.alias(asname=str(name)):
            return name
        case ast.Name(id=name, ctx=ast.Store()) | ast.Attribute(attr=name, ctx=ast.Store()):
            return name
        case ast.MatchAs(name=str(name)) | ast.ExceptHandler(name=str(name)):
            return name
    return None


def identifier_words(name: str) -> list[str]:
    """Split `snake_case`, `CamelCase` and `CONSTANT_CASE` into lower-case words."""
    return [word.lower() for word in re.findall(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+", name)]


def _find_old_phrases(path: str, source: str, module: ast.Module) -> Iterator[Finding]:
    for line, text in [*_docstrings(module), *_comments(source)]:
        for phrase in OLD_PHRASES.findall(STORED_PHRASES.sub("", text)):
            yield Finding(FindingKind.OLD_WORD, path, line, f'"{phrase.lower()}"')


def _docstrings(module: ast.Module) -> Iterator[tuple[int, str]]:
    """Yield the line and the text of each docstring, including those of attributes."""
    for node in ast.walk(module):
        match node:
            case ast.Expr(value=ast.Constant(value=str(text))):
                yield node.lineno, text


def _comments(source: str) -> Iterator[tuple[int, str]]:
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.COMMENT:
            yield token.start[0], token.string


def find_all(tree: Path, rules: LintRules) -> list[Finding]:
    """Return every finding of a tree."""
    findings = [*find_unformatted(tree, rules), *find_lint(tree, rules)]
    for path in source_files(tree):
        findings += find_in_source(path.relative_to(tree).as_posix(), path.read_text("utf-8"))
    return findings


def format_table(packages: Sequence[str], findings: Sequence[Finding]) -> str:
    """Return a Markdown table with a row for each package and a row of sums."""
    header = ["package", *(kind.value for kind in FindingKind)]
    rows = [
        header,
        ["---"] * len(header),
        *(
            [f"`{name}`", *_counts([finding for finding in findings if finding.package == name])]
            for name in packages
        ),
        ["all", *_counts(findings)],
    ]
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


def _counts(findings: Sequence[Finding]) -> list[str]:
    return [str(sum(finding.kind is kind for finding in findings)) for kind in FindingKind]


def main(arguments: Sequence[str]) -> None:
    """Print the table or the list of findings of a tree."""
    parser = argparse.ArgumentParser(prog="python -m tests.readability", description=__doc__.splitlines()[0])
    parser.add_argument("tree", nargs="?", type=Path, default=ROOT, help="a checkout; else this one")
    parser.add_argument("--list", action="store_true", help="each finding in place of the table")
    options = parser.parse_args(arguments)
    findings = find_all(options.tree, read_lint_rules(ROOT / "pyproject.toml"))
    if options.list:
        for finding in sorted(findings, key=lambda each: (each.path, each.line, each.kind.value)):
            print(f"{finding.path}:{finding.line}: {finding.kind.value}: {finding.text}")
        return
    files = [path.relative_to(options.tree).as_posix() for path in source_files(options.tree)]
    print(format_table(sorted({package_of(path) for path in files}), findings))


if __name__ == "__main__":
    main(sys.argv[1:])
