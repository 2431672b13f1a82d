"""Tests of the model against queueing theory, of its order of events, and of the paper's scenario."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from heapq import heapreplace
from math import exp, inf
from pathlib import Path

import numpy as np
import pytest

from rosepick.core.request_context import UpstreamAttempt
from rosepick.decisions.api import Result
from rosepick.lab import experiment, paper, paper_model, paper_simulation, sim, theory
from rosepick.lab.measure import Measure
from rosepick.lab.model import fault_schedule
from rosepick.lab.model.cache_store import CacheStore
from rosepick.lab.model.kernel import Kernel
from rosepick.lab.model.machine import Machine, MachineConfig
from rosepick.lab.model.random_streams import WorkStream, ZipfStream, create_generator
from rosepick.lab.model.simulated_router import CONNECT_TIMEOUT_MS
from rosepick.lab.model.simulation import Simulation
from rosepick.lab.model.workload import Workload
from rosepick.lab.policies import create_decider
from rosepick.lab.theory import FloatArray

ROOT = Path(__file__).parent.parent
RECURSION_REQUESTS = 1_000_000  # their statistical error is 1 % at load 0.8
UNBOUNDED = 1_000_000_000


def exponential(seed: int, name: str, mean: float, count: int) -> FloatArray:
    """Return exponential draws of the simulation's generator."""
    return mean * create_generator(seed, name).exponential(size=count)


def recursion(gaps: FloatArray, works: FloatArray, cores: int) -> FloatArray:
    """Return the waiting time of each request, first come first served, by recursion without events."""
    if cores == 1:
        total = np.cumsum(np.concatenate(([0.0], works[:-1] - gaps[1:])))
        return np.asarray(total - np.minimum.accumulate(total))
    free, now, waits = [0.0] * cores, 0.0, []
    for gap, work in zip(gaps.tolist(), works.tolist(), strict=True):
        now += gap
        begin = max(now, free[0])
        heapreplace(free, begin + work)
        waits.append(begin - now)
    return np.array(waits)


def served(shape: MachineConfig, seed: int, gap: float, count: int) -> FloatArray:
    """Return the sojourn time of each request at a server; the mean gap is `gap`, the mean work 1."""
    kernel, times = Kernel(), np.zeros(count)
    server = Machine(kernel, shape)
    gaps, works = (WorkStream(seed, name, "exponential", 0.0) for name in ("gaps", "works"))

    def arrive(number: int) -> None:
        came = kernel.time
        assert server.submit(works(), lambda: times.__setitem__(number, kernel.time - came))
        if number + 1 < count:
            kernel.call_after(gap * gaps(), lambda: arrive(number + 1))

    kernel.call_after(gap * gaps(), lambda: arrive(0))
    kernel.run(10.0 * (count + 1_000) * gap)
    return times


# ------------------------------------------------------------------------------------------ closed forms


def test_closed_forms_agree_with_each_other_and_with_tables() -> None:
    assert theory.erlang_c(8.0, 10) == pytest.approx(0.409, abs=5e-4)  # as printed in tables of Erlang's C
    assert theory.erlang_c(0.7, 1) == pytest.approx(0.7)
    assert theory.mm1_wait(0.8, 1.0) == pytest.approx(4.0)
    assert theory.processor_sharing_sojourn(0.8, 1.0) == pytest.approx(theory.mm1_wait(0.8, 1.0) + 1.0)
    # without load the deviation is that of the work
    assert theory.processor_sharing_deviation(1e-9, 2.0) == pytest.approx(2.0)


@pytest.mark.parametrize(
    ("formula", "given"),
    [
        (theory.mm1_wait, (1, 1)),
        (theory.mmc_wait, (4, 1, 4)),
        (theory.processor_sharing_sojourn, (2, 1)),
        (theory.processor_sharing_deviation, (1, 1)),
        (theory.erlang_c, (-1, 2)),
    ],
)
def test_overload_raises_value_error(formula: Callable[..., float], given: tuple[int, ...]) -> None:
    with pytest.raises(ValueError, match="no mean"):
        formula(*given)


def test_che_solves_its_equation() -> None:
    popularity = theory.zipf_popularity(500, 0.9)
    time = theory.che_characteristic_time(popularity, 100)
    assert sum(1.0 - exp(-key_popularity * time) for key_popularity in popularity.tolist()) == pytest.approx(
        100
    )
    grouped = theory.che_hits(np.array([0.3, 0.1]), 3.0, np.array([2.0, 4.0]))
    assert grouped.tolist() == pytest.approx(
        theory.che_hits(np.array([0.3] * 2 + [0.1] * 4), 3.0)[[0, 5]].tolist()
    )
    assert (
        theory.che_characteristic_time(popularity, 500) == inf
        and theory.che_hit_ratio(popularity, 500) == 1.0
    )
    assert theory.che_characteristic_time(popularity, 0) == 0.0 and theory.che_hit_ratio(popularity, 0) == 0.0
    assert theory.che_hits(np.array([0.5, 0.0]), 1).tolist() == [1.0, 0.0]


# ------------------------------------------------------------------------------------- queues and caches


@pytest.mark.parametrize(("load", "cores"), [(0.5, 1), (0.8, 1), (0.7, 4)])
def test_first_come_first_served_waits(load: float, cores: int) -> None:
    """Each wait is that of the recursion, whose long-run mean agrees with theory."""
    gap, short = 1.0 / (load * cores), 10_000
    works = exponential(1, "works", 1.0, RECURSION_REQUESTS)
    waits = recursion(exponential(1, "gaps", gap, RECURSION_REQUESTS), works, cores)
    model = served(MachineConfig(cores=cores, slots=cores, queue=UNBOUNDED), 1, gap, short)
    assert np.allclose(model - works[:short], waits[:short], atol=1e-6)
    assert waits.mean() == pytest.approx(theory.mmc_wait(load * cores, 1.0, cores), rel=0.03)


@pytest.mark.parametrize("load", [0.5, 0.8])
def test_processor_sharing_times(load: float) -> None:
    """The mean sojourn time of processor sharing is that of a first come, first served queue.

    The error of the queue with the same draws is subtracted, to reduce the statistical error.
    """
    count, expected = 30_000, theory.processor_sharing_sojourn(load, 1.0)
    shared = served(MachineConfig(cores=1, slots=UNBOUNDED, queue=0), 2, 1.0 / load, count)
    works = exponential(2, "works", 1.0, count)
    queued = recursion(exponential(2, "gaps", 1.0 / load, count), works, 1) + works
    assert shared.mean() - (queued.mean() - expected) == pytest.approx(expected, rel=0.03)
    assert shared.std() == pytest.approx(theory.processor_sharing_deviation(load, 1.0), rel=0.15)


@pytest.mark.parametrize("part", [0.05, 0.2])
@pytest.mark.parametrize("exponent", [0.8, 1.0])
def test_lru_hit_ratio(exponent: float, part: float) -> None:
    keys, memory, hits = ZipfStream(3, "keys", 2_000, exponent), CacheStore(int(2_000 * part)), 0
    for number in range(-20_000, 150_000):  # numbers below 0 fill the cache
        key = keys()
        if memory.get(key, 0.0):
            hits += number >= 0
        else:
            memory.put(key, 1, 0.0)
    expected = theory.che_hit_ratio(theory.zipf_popularity(2_000, exponent), memory.capacity_bytes)
    assert hits / 150_000 == pytest.approx(expected, rel=0.02)


# ---------------------------------------------------------------------------------------------- machines


def finished(
    shape: MachineConfig, works: list[float], born: float = -inf
) -> tuple[Kernel, Machine, dict[float, float]]:
    """Return a server with works that arrived at time 0, and the completion times by amount of work."""
    kernel, ends = Kernel(), dict[float, float]()
    server = Machine(kernel, shape, born)
    for work in works:
        server.submit(work, lambda work=work: ends.__setitem__(work, kernel.time))  # type: ignore[misc]
    return kernel, server, ends


def test_slowdown_applies_to_running_work() -> None:
    kernel, server, ends = finished(MachineConfig(cores=1, slots=1), [10.0, 5.0])
    kernel.call_at(4.0, lambda: server.set_slowdown(5.0))
    kernel.call_at(14.0, lambda: server.set_slowdown(1.0))
    kernel.run(100.0)
    assert ends == {10.0: pytest.approx(18.0), 5.0: pytest.approx(23.0)}
    assert server.busy_ms == pytest.approx(23.0)


def test_contention_and_sharing() -> None:
    kernel, _, ends = finished(MachineConfig(cores=2, slots=4, contention=0.5), [1.0, 2.0, 3.0])
    kernel.run(100.0)
    # three items on two cores, one beyond the cores: rate 2/3 / 1.5 each; then each has a core of its own
    assert ends == {1.0: pytest.approx(2.25), 2.0: pytest.approx(3.25), 3.0: pytest.approx(4.25)}


@pytest.mark.parametrize("by_work", [False, True])
@pytest.mark.parametrize(
    ("warm", "seconds"),
    [
        (24.0, 12.0),
        (24.0, 24.0),
        (24.0, 30.0),
        (5.0, 5.0),
    ],
)
def test_cold_server_completes_work_by_its_warm_up_ramp(by_work: bool, warm: float, seconds: float) -> None:
    """Work equal to the integral of the capacity up to a time completes at that time."""
    shape = MachineConfig(
        cores=1, slots=1, cold_capacity_share=0.1, warm_up_ms=1000.0 * warm, warm_by_work=by_work
    )
    ramp = min(seconds, warm)
    work = 1000.0 * (0.1 * ramp + 0.9 * ramp**2 / (2.0 * warm) + seconds - ramp)
    kernel, server, ends = finished(shape, [work], 0.0)
    kernel.run(100_000.0)
    assert ends[work] == pytest.approx(1000.0 * seconds, rel=0.01)
    assert server.is_cold(kernel.time) is (by_work and seconds < warm)


def cold(crashed_at: list[float]) -> tuple[Kernel, Machine, list[float]]:
    """Return a server with a constant capacity of 0.25, whose budget of 2250 in 3 s is used up."""
    kernel, ends = Kernel(), list[float]()
    shape = MachineConfig(
        cores=2,
        slots=4,
        cold_capacity_share=0.125,
        warm_up_ms=1e15,
        overload_multiple=3.0,
        overload_window_ms=3_000.0,
    )
    server = Machine(kernel, shape, 0.0)
    server.on_overload = lambda: crashed_at.append(kernel.time)
    for _ in range(3):
        assert server.submit(750.0, lambda: ends.append(kernel.time))
    return kernel, server, ends


def test_cold_server_crashes_beyond_its_budget() -> None:
    crashed_at: list[float] = []
    kernel, server, ends = cold(crashed_at)
    assert server.cold_budget_ms(0.0) == 0.0 and not crashed_at
    kernel.run(2_999.0)
    assert server.submit(0.01, lambda: None) is None
    assert crashed_at == [2_999.0] and not server.up and server.item_count() == 0
    assert server.submit(0.01, lambda: None) is None and crashed_at == [2_999.0]
    kernel.run(100_000.0)
    assert not ends  # all work is lost
    server.start()
    assert server.up and server.cold_budget_ms(kernel.time) == 2_250.0


def test_work_before_the_overload_window_does_not_count() -> None:
    crashed_at: list[float] = []
    kernel, server, _ = cold(crashed_at)
    kernel.run(3_000.1)
    assert server.submit(2_249.0, lambda: None) and not crashed_at
    assert server.submit(2.0, lambda: None) is None and crashed_at


@pytest.mark.parametrize("cancels", [False, True])
def test_cancelled_work(cancels: bool) -> None:
    """Waiting work is always dropped; running work continues unless cancelled work stops."""
    kernel, ends = Kernel(), dict[str, float]()
    server = Machine(kernel, MachineConfig(cores=1, slots=1, queue=2, stops_cancelled_work=cancels))
    jobs = [server.submit(10.0, lambda name=name: ends.__setitem__(name, kernel.time)) for name in "abc"]  # type: ignore[misc]
    assert server.submit(1.0, lambda: None) is None  # a full queue rejects work
    for place in (1, 0):
        job = jobs[place]
        assert job is not None
        kernel.call_at(4.0, lambda job=job: server.cancel(job))  # type: ignore[misc]
    kernel.run(4.0)
    assert server.item_count() == (1 if cancels else 2)
    kernel.run(100.0)
    assert ends == ({"c": 14.0} if cancels else {"a": 10.0, "c": 20.0})
    assert server.busy_ms == pytest.approx(14.0 if cancels else 20.0)


# ----------------------------------------------------------------------------------------- order of events


def test_events_of_the_same_time_run_in_the_order_of_scheduling() -> None:
    kernel, seen = Kernel(), list[str]()

    def more() -> None:
        kernel.call_after(0.0, lambda: seen.append("later"))
        kernel.call_at(1.0, lambda: seen.append("past"))  # its time has passed

    for name in "abc":
        kernel.call_at(5.0, lambda name=name: seen.append(name))  # type: ignore[misc]
    kernel.call_at(5.0, lambda: seen.append("first"), run_first=True)
    kernel.call_at(5.0, more)
    kernel.call_at(5.0, lambda: seen.append("cancelled")).cancel()
    kernel.run(5.0)
    assert seen == ["first", "a", "b", "c", "past", "later"] and kernel.time == 5.0


@pytest.mark.parametrize("before", [True, False])
def test_arrival_at_the_time_of_a_completion(before: bool) -> None:
    """The event that was scheduled first runs first: the slot is still taken, or already free."""
    kernel, got = Kernel(), list[bool]()
    server = Machine(kernel, MachineConfig(cores=1, slots=1, queue=0))
    if before:
        kernel.call_at(10.0, lambda: got.append(server.submit(1.0, lambda: None) is not None))
    server.submit(10.0, lambda: None)
    if not before:
        kernel.call_at(10.0, lambda: got.append(server.submit(1.0, lambda: None) is not None))
    kernel.run(20.0)
    assert got == [not before]


# -------------------------------------------------------------------------------------- whole experiments

ONE_QUEUE = """
name = "one queue"
length = 60
warm_up = 0
fleet = [{count = 1, cores = 1, slots = 1, queue = 100000, handshake_ms = 0, miss_ms = 0, cold_from = 1}]
origin = {handshake_ms = 0}
network = {within_ms = 0, jitter = 0}
keys = {count = 1}
routers = {count = 1}
traffic = {rate = 50}
classes = [{name = "read", work = "exponential", work_ms = 10, origin_ms = 1e-6, aim = 500, deadline = 500}]
"""


def test_waits_of_an_experiment_agree_with_theory(monkeypatch: pytest.MonkeyPatch) -> None:
    measures: list[Measure] = []

    class RecordedMeasure(Measure):
        def __init__(self, given: experiment.Experiment) -> None:
            super().__init__(given)
            measures.append(self)

    monkeypatch.setattr(sim, "Measure", RecordedMeasure)
    given = experiment.parse_experiment(ONE_QUEUE, "one queue")
    run, _ = sim.run_simulated(given, 1, "round-robin", {})
    requests = list(Workload(given, 1))
    works = np.array([0.0, *(request.work_ms for request in requests[1:])])  # the first request misses
    gaps = np.diff([0.0, *(request.due_ms for request in requests)])
    measured = [time_ms for second in measures[0].seconds for time_ms in second.served_times_ms]
    waited, expected = np.mean(measured) - works.mean(), recursion(gaps, works, 1).mean()
    assert len(measured) == len(requests) and run.totals["served_share"] == 1.0 and not run.broken
    assert waited == pytest.approx(expected, rel=1e-4)
    # subtract the statistical error of the recursion in this short run
    long = recursion(
        exponential(4, "gaps", 20.0, RECURSION_REQUESTS), exponential(4, "works", 10.0, RECURSION_REQUESTS), 1
    ).mean()
    assert waited - expected + long == pytest.approx(theory.mm1_wait(0.05, 10.0), rel=0.03)
    assert run.totals["node_load"] == pytest.approx(works.sum() / 60_000.0, abs=0.01)


Ended = tuple[UpstreamAttempt, float, Result]  # attempt, time of its end in milliseconds, and result


def record_outcomes(text: str) -> tuple[Simulation, list[Ended]]:
    """Return a simulation that has not run, and the list to which its first router adds outcomes."""
    given = experiment.parse_experiment(text, "test")
    simulation = Simulation(
        given, 1, Measure(given), lambda given, seed, _: create_decider("round-robin", given, seed)
    )
    fault_schedule.schedule_faults(simulation)
    router = simulation.routers[0]
    assert router is not None
    engine, seen = router.engine, list[Ended]()
    ended = engine.finish_attempt

    def note(attempt: UpstreamAttempt, result: Result, *more: object, **named: object) -> None:
        seen.append((attempt, simulation.kernel.time, result))
        ended(attempt, result, *more, **named)  # type: ignore[arg-type]

    engine.finish_attempt = note  # type: ignore[method-assign]
    simulation.start()
    return simulation, seen


SILENT = """
name = "silent"
length = 3
warm_up = 0
max_attempts = 1
fleet = [{count = 1, handshake_ms = 0}]
keys = {count = 1}
routers = {count = 1}
clients = {retries = 0}
traffic = {rate = 4, arrivals = "regular"}
classes = [{name = "read", work = "fixed", work_ms = 100, aim = 0.6, deadline = 0.6}]
troubles = [{kind = "silent", at = 1.05, for = 9}]
"""


@pytest.mark.parametrize(
    "also",
    [
        "",
        ', {kind = "restart", at = 1.06, down = 0.2}',
    ],
)
def test_silent_node_causes_timeouts_only(also: str) -> None:
    simulation, seen = record_outcomes(SILENT.replace("for = 9}", "for = 9}" + also))
    node = simulation.cache_nodes()[0]
    node.memory.put(simulation.workload.key_by_rank[0], 1, 0.0)
    simulation.kernel.run(6_000.0)
    ends = {attempt.sent_at: (result, at - attempt.sent_at) for attempt, at, result in seen}
    assert {result for sent, (result, _) in ends.items() if sent < 1_000.0} == {Result.OK}
    # in flight when the node became silent: no outcome until the router's timeout, which is the deadline
    assert ends.pop(1_000.0) == (Result.TIMEOUT, 600.0)
    later = [end for sent, end in ends.items() if sent > 1_000.0]
    assert len(later) == 7 and set(later) == {(Result.CONNECT_FAILED, CONNECT_TIMEOUT_MS)}


def test_read_through_routers_do_not_use_the_origin() -> None:
    simulation, seen = record_outcomes(SILENT.split("troubles")[0] + 'mode = "through"')
    simulation.kernel.run(4_000.0)
    assert seen and all(attempt.endpoint_id != simulation.origin.number for attempt, _, _ in seen)


KILLED = """
name = "killed"
length = 3
warm_up = 0
fleet = [{count = 4}]
keys = {count = 50}
routers = {count = 2}
clients = {retries = 1, manner = "at once"}
traffic = {rate = 50}
classes = [{name = "read", work_ms = 200, aim = 5, deadline = 5}]
troubles = [{kind = "router_kill", at = 1, for = 0.2, routers = 2}]
"""


def test_clients_of_a_killed_router_fail_or_retry() -> None:
    simulation, _ = record_outcomes(KILLED)
    simulation.kernel.run(999.999)
    held = sum(router.engine.pending_count for router in simulation.routers if router is not None)
    assert held > 2
    for retries, failed in ((0, held), (1, 0)):
        run, _ = sim.run_simulated(
            experiment.parse_experiment(KILLED, "", {"clients.retries": retries}), 1, "round-robin", {}
        )
        assert sum(window.failed for window in run.windows) == failed and not run.broken
        assert sum(window.in_time + window.failed for window in run.windows) == run.totals["offered"]


def test_killed_router_starts_no_attempts() -> None:
    simulation, _ = record_outcomes(KILLED)
    dead, sent = simulation.routers[0], list[str]()
    assert dead is not None
    simulation.kernel.run(1_000.0)
    dead.count_event = sent.append  # called with "attempts" at each attempt
    simulation.kernel.run(9_000.0)
    assert not dead.alive and not sent


def test_more_routers_than_requests() -> None:
    text = KILLED.split("troubles")[0].replace("rate = 50", "rate = 1").replace("count = 2}", "count = 30}")
    for policy in ("rosepick", "round-robin"):
        run, _ = sim.run_simulated(experiment.parse_experiment(text, ""), 1, policy, {})
        assert 0 < run.totals["offered"] < 30 and run.totals["served_share"] == 1.0 and not run.broken


TROUBLED = """
name = "troubled"
length = 6
warm_up = 1
zones = ["east", "west"]
fleet = [{count = 8, speed_spread = 0.2}]
tenants = [{name = "a"}, {name = "b", share = 2}]
keys = {count = 500, drift = 2}
clients = {retries = 2}
traffic = {rate = 100}
classes = [{name = "read", share = 9}, {name = "write", write = true, effect = "dedup", repeat_window = 1}]
troubles = [
    {kind = "slow", at = 1, for = 2, part = 0.3},
    {kind = "restart", at = 2, nodes = 2, down = 0.5},
    {kind = "shrink", at = 3, for = 2, nodes = 2},
    {kind = "router_kill", at = 4, for = 1},
]
"""
PLAY = """
import sys
from rosepick.lab import experiment, results, sim
given = experiment.parse_experiment(sys.argv[1], "troubled")
for policy in ("rosepick", "two-choices"):
    sys.stdout.buffer.write(results.encode_result(sim.run_simulated(given, 3, policy, {})[0]))
"""


def test_same_seed_gives_the_same_bytes() -> None:
    """Results are the same bytes in processes that hash strings differently."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", PLAY, TROUBLED],
            stdout=subprocess.PIPE,
            cwd=ROOT,
            env={**environment, "PYTHONHASHSEED": seed},
        )
        for seed in ("1", "2")
    ]
    first_lines, second_lines = (process.communicate(timeout=60)[0].splitlines() for process in processes)
    assert (
        first_lines == second_lines
        and len(first_lines) == 2
        and all(b'"router_kill"' in line for line in first_lines)
    )


# --------------------------------------------------------------------------------------- the source paper


def test_formulas_reproduce_the_figures_of_the_paper() -> None:
    lines = list(paper.format_predictions(paper_model.PAPER_SITE))[2:]
    assert len(lines) == len(paper_model.POLICIES)
    for line in lines:
        figures = line[16:].replace("%", "").split()
        for ours, expected in zip(figures[::2], figures[1::2], strict=True):
            assert expected == "-" or float(ours) == pytest.approx(float(expected), rel=0.04), line


def test_simulation_reproduces_the_order_of_the_policies() -> None:
    """The order of the policies is that of the paper, with 1 % of its keys and cache sizes."""
    small = replace(paper_model.PAPER_SITE, keys=100_000, fog_cache=1_000)
    results = list(paper_simulation.run_comparison(1, 6_000, small, (2_000.0,)))
    ranks = paper_model.RankGroups(small)
    assert [row.policy for row in results] == list(paper_model.POLICIES)
    blind, lfu, lru, extra_cost = results
    assert lfu.cost < lru.cost < extra_cost.cost < 0.6 * blind.cost and lru.cost < 1.1 * lfu.cost
    assert lfu.fog_share > lru.fog_share > extra_cost.fog_share > 2.0 * blind.fog_share
    assert extra_cost.hit_share > lru.hit_share > blind.hit_share
    assert extra_cost.over_share < 0.1 * lru.over_share and extra_cost.longest_ms < lru.longest_ms
    for row, line in zip(results, list(paper.format_table(results))[1:], strict=True):
        expected = paper_model.predict(small, ranks, row.rate, row.setting)
        assert expected.time_ms <= small.target_ms and f"{row.cost:.2f}" in line
        assert (row.fog_share, row.cost) == pytest.approx((expected.fog_share, expected.cost), rel=0.06)
