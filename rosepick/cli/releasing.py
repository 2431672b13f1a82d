"""Commands of releases: `rosepick release` and what is under it. See docs/releases.md.

Nothing of it is imported before one of its commands runs: it needs the extra `fleet`.
"""

from __future__ import annotations

import json
import shlex
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from .common import stop
from .fleet import Group, Why, _who, say_history, show
from .leasing import DEFAULT, NO_QUORUM, REFUSED, FleetPath, Json, asked

if TYPE_CHECKING:
    from ..agreement.operation import Change
    from ..fleet.carrier import Carrier
    from ..fleet.leader import Plan
    from ..fleet.ledger import Ledger
    from ..fleet.release import Record, Thing
    from ..net.kept import Keep
    from ..net.releasing import Versions
    from ..settings.fleet_file import Releases

release = typer.Typer(
    no_args_is_help=True, help="A new version or new settings for all routers, wave by wave."
)


def plan_of(told: Releases) -> Plan:
    """How the file says that releases are led."""
    from ..fleet.leader import Plan

    return Plan(
        watch=1000.0 * told.watch,
        patience=1000.0 * told.patience,
        after=1000.0 * told.after,
        lost_for=1000.0 * told.lost_for,
        pool=1000.0 * told.pool,
        failing=told.failing,
        alarm=told.alarm,
        line=told.line,
        ask=told.unsure == "ask",
        auto_back=told.auto_back,
    )


def carrier_of(
    name: str,
    kept: Keep,
    folder: Path,
    told: Releases,
    given: tuple[Path | None, Path | None, str, list[str]],
) -> tuple[Versions | None, Carrier | None]:
    """A member's part in releases, if it is given a build or a configuration to change. OSError if what it is
    given cannot be read.
    """
    from ..fleet.carrier import Carrier, Terms
    from ..fleet.release import BUILD, SETTINGS
    from ..net.releasing import Versions

    build, config, check, command = given
    if build is None and config is None:
        return None, None
    versions = Versions(kept, folder, build, config, shlex.split(check), command)
    runs = {BUILD: versions.first[0]} if build is not None else {}
    runs |= {SETTINGS: ""} if config is not None else {}
    terms = Terms(1000.0 * told.settle, 1000.0 * told.probation)
    return versions, Carrier(name, kept, versions, terms, runs)


class Releasing(Group):
    """The group's record of releases, as these commands use it."""

    def __init__(self, path: Path) -> None:
        super().__init__(path)
        from ..fleet import release as book

        self._place, self._open = book.key(self.told.drains.group), book.read

    def record(self) -> Record:
        """The record as it is."""
        return self._record_of(asked(self.client, self._place))

    def _record_of(self, outcome: Any) -> Record:
        from ..fleet.document import LedgerError

        try:
            return self._open(outcome.register)
        except LedgerError as problem:
            stop(problem, REFUSED)

    def move(self, make: Change, declined: Callable[[Record], str]) -> Record:
        """Change it; `declined` says why it was not, empty if it was so already."""
        from ..agreement.operation import Kind

        outcome = asked(self.client, self._place, make)
        if outcome.kind is Kind.UNKNOWN:
            stop("the answer was lost: look with `release status`", NO_QUORUM)
        record = self._record_of(outcome)
        why = declined(record) if outcome.kind is Kind.READ else ""
        if why:
            stop(why, REFUSED)
        return record


def _thing(path: Path, name: str) -> Thing:
    from ..fleet.release import Thing
    from ..net.releasing import digest_of

    try:
        return Thing(name or path.name, digest_of(path), str(path.absolute()))
    except OSError as problem:
        stop(f"{path}: {problem.strerror}", 2)


def _waves_said(waves: list[list[str]]) -> list[str]:
    return [
        f"wave {number}: {len(names)}: {', '.join(names[:6])}{' ...' if len(names) > 6 else ''}"
        for number, names in enumerate(waves, 1)
    ]


def _old(record: Record, kind: str, old: Path | None) -> Thing:
    from ..fleet.release import SETTINGS, Thing

    if old is not None:
        return _thing(old, "")
    if kind in record.base:
        return record.base[kind]
    if kind == SETTINGS:
        return Thing("as installed", "", "")
    stop("the first release of a build needs --from: the build that all run now", 2)


@release.command()
def start(
    build: Annotated[
        Path | None, typer.Argument(help="The new build's folder, as each host finds it.")
    ] = None,
    settings: Annotated[
        Path | None, typer.Option(help="New settings (GW_CONFIG's `settings`) in place of a build.")
    ] = None,
    old: Annotated[Path | None, typer.Option("--from", help="The build that all run now.")] = None,
    name: Annotated[str, typer.Option(help="What people call it; else the last part of its path.")] = "",
    why: Why = "",
    plan: Annotated[bool, typer.Option("--plan", "--dry-run", help="Say the waves, and do nothing.")] = False,
    fleet: FleetPath = DEFAULT,
) -> None:
    """Bring a new version to all routers, wave by wave; back by itself if it is worse."""
    if (build is None) == (settings is None):
        stop("name a build, or --settings", 2)
    group = Releasing(fleet)
    from ..fleet import release as book

    kind = book.BUILD if build is not None else book.SETTINGS
    path = build or settings
    assert path is not None
    record, ledger = group.record(), group.read()
    new, before = _thing(path, name), _old(record, kind, old)
    if settings is not None:
        _is_json(settings)
    waves = book.waves(ledger, group.told.releases.waves)
    if not waves:
        stop("no routers belong to the group", REFUSED)
    for line in [
        f"{kind} {new.name} ({new.digest}) for {before.name} ({before.digest or '-'})"
    ] + _waves_said(waves):
        print(line)
    if plan:
        return
    if not why:
        stop("a release needs --why", 2)
    _warn(ledger)
    change = book.start(kind, new, before, waves, _who(), why, time.time())
    told = group.move(change, lambda read: _not_started(read, kind, new, before))
    print(f"release {told.releases} has begun")


def _is_json(path: Path) -> None:
    try:
        json.loads(path.read_text("utf-8"))
    except (OSError, ValueError) as problem:
        stop(f"{path}: {problem}", 2)


def _warn(ledger: Ledger) -> None:
    """What will keep it, said before."""
    out = [name for name, one in ledger.of(0).items() if one.out]
    if out:
        print(f"out at present, and to follow when they are back: {', '.join(out)}")
    if ledger.halt is not None:
        print(f"drains are halted by {ledger.halt.who}: nobody goes before `fleet resume`")


def _not_started(record: Record, kind: str, new: Thing, before: Thing) -> str:
    if record.now is not None:
        return f"release {record.now.number} ({record.now.new.name}) is open: two at a time there are not"
    base = record.base.get(kind, before)
    if new.digest == base.digest:
        return f"{new.name} is what all run already"
    return f"the fleet runs {base.name} ({base.digest}), not {before.name} ({before.digest})"


@release.command()
def status(
    fleet: FleetPath = DEFAULT,
    as_json: Json = False,
    watch: Annotated[bool, typer.Option("--watch", help="Again and again.")] = False,
) -> None:
    """Say where the release stands, who runs what, and what it waits for."""
    group = Releasing(fleet)
    if as_json:
        import msgspec

        print(msgspec.json.encode(msgspec.to_builtins(group.record())).decode())
        return
    show(group.client, lambda: _page(group), watch)


def _page(group: Releasing) -> Any:
    from rich.console import Group as Rows
    from rich.table import Table

    from ..fleet import release as book

    record = group.record()
    now = record.now
    if now is None:
        runs = [f"{kind}: {thing.name} ({thing.digest or '-'})" for kind, thing in record.base.items()]
        return Rows("no release is open", *runs)
    reports = _reports(group, [name for names in now.waves for name in names])
    table = Table(
        "wave", "routers", "run the new one", "lost a request in", "cpu ms a request", "left behind"
    )
    for number, names in enumerate(now.waves):
        here = [reports[name] for name in names if name in reports]
        digest = [one.build if now.kind == book.BUILD else one.settings for one in here]
        asked, lost = sum(one.served for one in here), sum(one.refused + one.failed for one in here)
        cpu = sum(one.cpu for one in here)
        mark = " <" if number == now.wave and now.phase != book.Phase.WATCH else ""
        table.add_row(
            f"{number + 1}{mark}", str(len(names)), str(digest.count(now.new.digest)),
            f"{(asked + lost) / lost:.0f}" if lost else "-", f"{1000 * cpu / asked:.2f}" if asked else "-",
            ", ".join(name for name in names if name in now.left),
        )  # fmt: skip
    lines = [f"release {now.number}: {now.kind} {now.new.name} for {now.old.name}; {book.named(now)}"]
    lines.append(f"watched for {now.watched / 1000:.0f} s")
    if now.held is not None:
        lines.append(f"HELD by {now.held.who}: {now.held.why}")
    lines += [f"{name}: {why}" for name, why in now.left.items()]
    return Rows(table, *lines)


def _reports(group: Releasing, names: list[str]) -> dict[str, Any]:
    from ..fleet import warden

    found: dict[str, Any] = {}
    for name in names:
        report = warden.read(asked(group.client, warden.key(group.told.drains.group, name)).register)
        if report is not None:
            found[name] = report
    return found


def _none(record: Record) -> str:
    return "no release is open" if record.now is None else ""


@release.command()
def halt(why: Why = "", fleet: FleetPath = DEFAULT) -> None:
    """Nobody begins anything, forward or back, until `resume` or `rollback`."""
    _word("halt", why, fleet, "halted")


@release.command()
def resume(why: Why = "", fleet: FleetPath = DEFAULT) -> None:
    """Have a release that is held go on; its wave is looked at anew."""
    _word("resume", why, fleet, "goes on")


@release.command()
def rollback(
    why: Why = "",
    forward: Annotated[
        bool, typer.Option("--forward", help="Have one that goes back go forward again.")
    ] = False,
    fleet: FleetPath = DEFAULT,
) -> None:
    """Take the open release back; one that is held too."""
    _word("forward" if forward else "rollback", why, fleet, "goes forward" if forward else "goes back")


def _word(what: str, why: str, fleet: Path, said: str) -> None:
    if not why:
        stop(f"release {what} needs --why", 2)
    group = Releasing(fleet)
    from ..fleet import release as book

    make = {"halt": book.hold, "resume": book.go_on, "rollback": book.back, "forward": book.forward}[what]
    reason = {"halt": _none, "resume": lambda read: _none(read) or "it is not held"}.get(what, _none)
    if what == "forward":
        reason = lambda read: _none(read) or "it does not go back"  # noqa: E731
    told = group.move(make(_who(), why, time.time()), reason)
    print(f"release {told.releases}: {said}")


@release.command()
def history(fleet: FleetPath = DEFAULT, as_json: Json = False) -> None:
    """What happened last, with who and why."""
    say_history(Releasing(fleet).record().history, as_json)


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.add_typer(release, name="release")
