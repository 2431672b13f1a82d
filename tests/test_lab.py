"""Tests of the lab: experiment files, measurements, checks of the rules, and commands."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from rosepick.decisions import api
from rosepick.decisions.api import Status
from rosepick.lab import experiment, experiment_config, results, sim
from rosepick.lab.experiment import ExperimentError
from rosepick.lab.experiment_config import RequirementConfig
from rosepick.lab.live import live_faults
from rosepick.lab.measure import Measure, MeasuredRequest
from rosepick.lab.model import fault_schedule
from rosepick.lab.model.rule_monitor import ClientTry
from rosepick.lab.model.simulation import Simulation
from rosepick.lab.model.workload import Workload

ROOT = Path(__file__).parent.parent
SMALL = """
name = "small"
length = 4
warm_up = 1
zones = ["a", "b"]
fleet = [{count = 4, memory = 100_000}]
keys = {count = 200}
traffic = {rate = 50}
routers = {count = 2}
classes = [{name = "read", work_ms = 5, origin_ms = 10}]
"""


def rosepick(*words: object, code: str = "") -> subprocess.CompletedProcess[str]:
    """Run the command line."""
    begin = [sys.executable, "-c", code] if code else [sys.executable, "-m", "rosepick"]
    return subprocess.run([*begin, *map(str, words)], cwd=ROOT, capture_output=True, text=True, timeout=120)


# -------------------------------------------------------------------------------------- experiment files


def test_bundled_experiments_are_valid() -> None:
    files = sorted((ROOT / "experiments").glob("*.toml"))
    assert len(files) >= 8
    for path in files:
        assert experiment.load_experiment(path).name == path.stem


@pytest.mark.parametrize(
    ("text", "faults"),
    [
        ("name = 1\nlenght = 3\nseed = -1", ["name: ", "seed: ", "lenght: "]),
        ('name = "x"\n[[fleet]]\ncount = 0\nspeed = nan', ["fleet[0].count: ", "fleet[0].speed: "]),
        ('name = "x"\n[[fleet]]\nzone = "mars"\ncores = "two"', ["fleet[0].cores: ", "zone 'mars'"]),
        ('name = "x"\n[[troubles]]\nkind = "flood"\nat = 3', ["troubles[0].kind: "]),
        ('name = "x"\n[[troubles]]\nkind = "cut"\nat = 99', ["troubles[0].at", "troubles[0].zones: "]),
        ('name = "x"\n[[troubles]]\nkind = "slow"\nat = 1\nnodes = 1\npart = 0.5', ["both `nodes`"]),
        ('name = "x"\n[[must]]\nwhat = "p99_ms"', ["must[0]: states neither"]),
        ('name = "x"\n[[must]]\nwhat = "fell"\nmost = 0\nafter = 2', ["must[0].after: there is no"]),
        ('name = "x"\n[traffic]\narrivals = "trace"', ["traffic.trace goes with"]),
        ('name = "x"\nwarm_up = 60', ["warm_up is not shorter"]),
        ('name = "x"\nclasses = [{name = "r"}, {name = "r"}]', ["classes: a name comes twice"]),
        ("name = ", ["f.toml: "]),
    ],
)
def test_all_errors_of_a_file_are_reported_with_their_locations(text: str, faults: list[str]) -> None:
    with pytest.raises(ExperimentError) as raised:
        experiment.parse_experiment(text, "f.toml")
    errors = raised.value.errors
    assert all(line.startswith("f.toml: ") and "\n" not in line for line in errors)
    for fault in faults:
        assert sum(fault in line for line in errors) == 1, (fault, errors)


def test_values_are_set_by_dotted_names() -> None:
    found = experiment.parse_experiment(
        SMALL, "f", {"traffic.rate": 80, "fleet.0.count": 7, "clients.retries": 0}
    )
    assert (found.traffic.rate, found.fleet[0].count, found.clients.retries) == (80, 7, 0)
    for name in ("fleet.9.count", "name.first", "fleet.x.count"):
        with pytest.raises(ExperimentError, match="names nothing that can be set"):
            experiment.parse_experiment(SMALL, "f", {name: 1})


def test_trace_requests_are_read_and_invalid_lines_are_reported(tmp_path: Path) -> None:
    trace = tmp_path / "day.csv"
    trace.write_text("# seconds,class,key\n0.5,read,k1\n0.75,read,k2\n\n0.75,read,k1\n")
    changes = {"traffic.arrivals": "trace", "traffic.trace": str(trace)}
    requests = list(Workload(experiment.parse_experiment(SMALL, "f", changes), 1))
    assert [request.due_ms for request in requests] == [500.0, 750.0, 750.0]
    assert requests[0].key == requests[2].key != requests[1].key
    trace.write_text("0.5,read,k1\n0.1,read,k2\n1,write,k3\nx\n")
    with pytest.raises(ExperimentError) as raised:
        list(Workload(experiment.parse_experiment(SMALL, "f", changes), 1))
    assert [fault.split(":")[0] for fault in raised.value.errors] == [f"day.csv line {n}" for n in (2, 3, 4)]


def test_arrivals_have_the_configured_rate_and_random_streams_are_independent() -> None:
    def dues(**changes: object) -> list[tuple[float, int]]:
        return [
            (request.due_ms, request.key)
            for request in Workload(experiment.parse_experiment(SMALL, "f", {"length": 200.0, **changes}), 3)
        ]

    for arrivals in ("poisson", "bursts", "daily", "regular"):
        count = len(dues(**{"traffic.arrivals": arrivals, "traffic.period": 20.0}))
        assert count == pytest.approx(200 * 50, rel=0.06), arrivals
    assert dues(**{"clients.leave": 0.5}) == dues()


# ------------------------------------------------------------------------------------------ measurements


def test_requests_count_at_their_due_time_and_requirements_over_their_span() -> None:
    given = experiment.parse_experiment(SMALL, "f").model_copy(
        update={
            "must": (
                RequirementConfig(what="served_share", least=0.6, since=2.0),
                RequirementConfig(what="p99_ms", most=50.0),
            )
        }
    )
    measure = Measure(given)
    for n in range(40):
        request = MeasuredRequest(100.0 * n, "read", "", 1.0)
        measure.record_offered(request)
        good = n < 20 or n % 2 == 0
        measure.record_ended(request, "in_time" if good else "refused", 30.0 + n)
    run = measure.build_result(1, "sim", "rosepick", {})
    assert [window.in_time for window in run.windows] == [10, 10, 5, 5]
    assert run.totals["offered"] == 30  # without the warm-up of one second
    assert run.classes["read"].served_share == pytest.approx(20 / 30, abs=1e-6)
    assert [(verdict.value, verdict.held) for verdict in run.must] == [(0.5, False), (68.0, False)]
    assert not run.has_passed()
    line = results.encode_result(run)
    assert json.loads(line)["kind"] == "run"


def test_results_are_read_back_and_a_truncated_line_is_skipped(tmp_path: Path) -> None:
    run, cost = sim.run_simulated(experiment.parse_experiment(SMALL, "f"), 1, "rosepick", {})
    path = tmp_path / "r.jsonl"
    path.write_bytes(
        results.encode_result(run) + results.encode_result(cost) + results.encode_result(run)[:100]
    )
    assert list(results.read_results(path)) == [run, cost]
    path.write_bytes(b"{}\n" + results.encode_result(run))
    with pytest.raises(results.ResultsError, match="r.jsonl line 1: "):
        list(results.read_results(path))


# ------------------------------------------------------------------------------------------------- rules


def test_rule_violations_have_request_node_and_time() -> None:
    given = experiment.parse_experiment(SMALL, "f")
    measure = Measure(given)
    simulation = Simulation(given, 1, measure)
    node = simulation.cache_nodes()[0]
    router = simulation.routers[0]
    assert router is not None
    router.subscription.drain_known_since[node.number] = 0.0
    client_try = ClientTry("7.1", router.engine.settings.classes[0], 1_000.0)
    simulation.kernel.run(749.0)
    simulation.monitor.record_outcome(router.record_send(client_try, node), api.Result.MISS)
    assert measure.violations == []
    simulation.kernel.run(800.0)
    router.record_send(client_try, node)
    router.record_send(client_try, node)
    simulation.monitor.record_answer(client_try, 1_060.0, False, "router-0")
    simulation.monitor.record_answer(client_try, 1_070.0, False, "router-0")
    found = [(broken.rule, broken.request, broken.node, broken.at) for broken in measure.violations]
    assert found[0] == ("drains", "7.1", node.uid, 0.8)
    assert ("effect", "7.1", node.uid, 0.8) in found  # sent while another attempt was in flight
    assert ("answered", "7.1", "router-0", 1.06) in found  # late, and then a second time
    assert sum(rule == "answered" for rule, *_ in found) == 3


def test_unanswered_request_at_the_end_of_a_run_violates_a_rule() -> None:
    given = experiment.parse_experiment(SMALL, "f")
    measure = Measure(given)
    simulation = Simulation(given, 1, measure)
    simulation.start()
    simulation.kernel.run(3_000.0)
    router = simulation.routers[0]
    assert router is not None
    while not router.engine.pending_count:
        simulation.kernel.run(simulation.kernel.time + 1.0)
    unanswered = {payload.client_try.name for payload in router.unfinished_payloads()}
    assert unanswered
    simulation.finish()
    found = {broken.request for broken in measure.violations if broken.node == "router-0"}
    assert found == unanswered
    assert {(broken.rule, broken.text) for broken in measure.violations} == {("answered", "never answered")}


def test_overload_of_a_cold_node_violates_a_rule() -> None:
    text = SMALL + 'troubles = [{kind = "grow", at = 1, nodes = 1}]\npolicy = "random"\n'
    changes = {
        "fleet.0.falls_at": 0.2,
        "fleet.0.warm_after": 60.0,
        "traffic.rate": 400,
        "classes.0.work_ms": 60,
    }
    run, _ = sim.run_simulated(experiment.parse_experiment(text, "f", changes), 1, "random", {})
    assert run.totals["fell"] >= 1
    assert {broken.rule for broken in run.broken} == {"cold"}
    assert not run.has_passed()


def test_every_simulated_fault_kind_is_injected() -> None:
    kinds = [
        kind
        for kind in experiment_config.FaultKind.__args__  # type: ignore[attr-defined]
        if kind not in live_faults.LIVE_FAULT_INJECTORS
    ]
    rows = ", ".join(
        f'{{kind = "{kind}", at = {1.0 + 0.05 * n}, for = 0.5'
        + {"cut": ', zones = ["a", "b"]}', "isolate": ', zone = "a"}'}.get(kind, "}")
        for n, kind in enumerate(kinds)
    )
    run, _ = sim.run_simulated(
        experiment.parse_experiment(f"{SMALL}troubles = [{rows}]", "f"), 2, "rosepick", {}
    )
    assert [span.kind for span in run.troubles] == kinds
    assert all(span.what for span in run.troubles)
    assert run.broken == []
    for kind in live_faults.LIVE_FAULT_INJECTORS:
        given = experiment.parse_experiment(f'{SMALL}troubles = [{{kind = "{kind}", at = 1}}]', "f")
        with pytest.raises(ExperimentError, match=f"kind '{kind}' can be injected with --live only"):
            sim.run_simulated(given, 1, "rosepick", {})


@pytest.mark.parametrize(
    ("given", "text"),
    [
        ("since = 3.5", "from 3.5 to 4 s"),
        ("since = 2\nuntil = 2", "from 2 to 2 s"),
        ("after = 1\nwithin = 3", "from 4 to 4 s"),
    ],
)
def test_requirement_over_an_empty_span_is_an_error(given: str, text: str) -> None:
    rows = f'[[troubles]]\nkind = "slow"\nat = 0.5\nfor = 0.5\n[[must]]\nwhat = "p99_ms"\nmost = 1\n{given}'
    with pytest.raises(ExperimentError, match=f"no whole second {text}"):
        experiment.parse_experiment(SMALL + rows, "f", {"length": 4.0})


def test_second_in_which_a_fault_ends_is_not_counted_as_after_it() -> None:
    measure = Measure(experiment.parse_experiment(SMALL, "f", {"length": 4.0}))
    for second in range(4):
        measure.record_offered(MeasuredRequest(1000.0 * second, "read", "", 1.0))
    assert measure.figures(1.7, 4.0)["offered"] == 2.0
    assert measure.figures(1.0, 2.5)["offered"] == 2.0


def test_each_endpoint_in_a_discovery_call_takes_time() -> None:
    def first_notification(line_ms: float) -> tuple[float, int]:
        """Return when a router without a list is notified, and the number of endpoints in the list."""
        given = experiment.parse_experiment(
            SMALL, "f", {"discovery.line_ms": line_ms, "discovery.call_ms": 1.0}
        )
        simulation = Simulation(given, 1, Measure(given))
        notified_at: list[float] = []
        subscriber = simulation.discovery.subscribe(
            lambda event: notified_at.append(simulation.kernel.time), 0
        )
        subscriber.revision = 0  # the router has no list
        simulation.discovery.set_subscribed(subscriber, True)
        simulation.kernel.run(1_000.0)
        return notified_at[0], len(simulation.discovery._members)

    (quick, _), (slow, endpoints) = first_notification(0.0), first_notification(10.0)
    assert slow - quick == pytest.approx(10.0 * endpoints)


def test_replaced_nodes_are_removed_and_their_replacements_are_used() -> None:
    text = SMALL + 'troubles = [{kind = "replace", at = 1, for = 1, nodes = 2}]'
    given = experiment.parse_experiment(text, "f", {"length": 10.0})
    measure = Measure(given)
    simulation = Simulation(given, 1, measure)
    fault_schedule.schedule_faults(simulation)
    simulation.start()
    simulation.kernel.run(9_000.0)
    states = [node.state for node in simulation.nodes.values() if node is not simulation.origin]
    assert states.count(Status.REMOVED) == 2 and states.count(Status.READY) == 4
    new = [node for node in simulation.cache_nodes() if node.machine.started_at > 0]
    assert len(new) == 2 and all(node.machine.busy_ms > 0 for node in new)
    assert measure.violations == []


# ---------------------------------------------------------------------------------------------- commands


def test_exit_status_of_commands(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text(SMALL + '[[must]]\nwhat = "served_share"\nleast = 0.5\n')
    bad.write_text("nmae = 3\nlength = -1\n")
    checked = rosepick("lab", "check", good, bad)
    assert checked.returncode == 2
    assert checked.stderr.count("rosepick: bad.toml: ") == 3
    out = tmp_path / "out.jsonl"
    for words, status in (((), 0), (("--set", "must.0.least=1.1"), 1), (("--policy", "best"), 2)):
        done = rosepick("lab", "run", good, "--out", out, *words)
        assert done.returncode == status, done.stderr
    assert len(list(results.read_results(out))) == 4
    assert rosepick("lab", "run", good, "--set", "rate").returncode == 2
    shown = rosepick("lab", "diff", out, "--by", "must.0.least")
    assert (shown.returncode, "must.0.least=1.1" in shown.stdout) == (0, True)
    page = tmp_path / "page.html"
    assert rosepick("lab", "report", out, "-o", page).returncode == 0
    assert page.read_text().startswith("<!DOCTYPE html>")


def test_missing_extra_is_reported_in_one_line(tmp_path: Path) -> None:
    code = "import sys; sys.modules['msgspec'] = None; from rosepick.cli.app import app; app()"
    done = rosepick("lab", "report", "x.jsonl", code=code)
    assert done.returncode == 2
    assert done.stderr == (
        "rosepick: msgspec is missing; `pip install 'rosepick[lab]'` brings what this needs\n"
    )


def test_serve_does_not_import_the_lab() -> None:
    code = (
        "import sys; from rosepick.cli.app import app\n"
        "try:\n    app()\nexcept SystemExit:\n    pass\n"
        "assert 'rosepick.net.server' in sys.modules\n"
        "print([m for m in sys.modules if m.startswith(('rosepick.lab', 'rosepick.cli.lab')) or "
        "m.split('.')[0] in "
        "('numpy', 'msgspec', 'hdrh', 'matplotlib', 'jinja2', 'pydantic', 'rich', 'email')])"
    )
    assert rosepick("serve", code=code).stdout == "[]\n"
