"""Prints the source paper's scenario by formulas and by simulation, next to the paper's figures.

In the scenario a policy decides which requests stay at the Fog: at random, by popularity, or by an LRU list.
Source: M. Enguehard, G. Carofiglio, D. Rossi, "A popularity-based approach for effective Cloud offload in Fog
deployments", 2018. `docs/lab-theory.md` has the results.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace

from .paper_model import (
    EXTRA_COST_LRU_POLICY,
    LFU_POLICY,
    LRU_POLICY,
    PAPER_SITE,
    RANDOM_POLICY,
    PaperSite,
    RankGroups,
    predict,
    tune_setting,
)
from .paper_simulation import REQUEST_RATES, PolicyResult, run_comparison


@dataclass(frozen=True, slots=True)
class PaperFigures:
    """Figures of the paper for a policy, at 2000 requests per second."""

    setting: str
    cost: str
    fog_share: str = "-"
    by_rate: str = "-"  # dollars per hour for one more request per second
    over_share: str = "-"
    longest: str = "-"


PAPER_FIGURES = {
    RANDOM_POLICY: PaperFigures("0.42", "3.4", "42%", "0.0030"),
    LFU_POLICY: PaperFigures("610000", "0.95", "84.4%", "0.00079"),
    LRU_POLICY: PaperFigures("1300000", "0.97", "84.0%", "0.00095", "4%", "several s"),
    EXTRA_COST_LRU_POLICY: PaperFigures("730000", "1.21", over_share="0.02%", longest="0.5 s"),
}


def format_predictions(site: PaperSite) -> Iterator[str]:
    """Yield the lines of a table of each policy's best setting, next to the paper's figures."""
    ranks = RankGroups(site)
    _, usual_rate, high_rate = REQUEST_RATES
    yield f"Formulas, exponent {site.skew:g}; each figure with the paper's own after it"
    yield (
        f"{'policy':16}{'setting':>10}{'paper':>10}{'Fog share':>11}{'paper':>7}{'$/h':>6}{'paper':>7}"
        f"{'$/h a 1/s':>11}{'paper':>9}"
    )
    for policy, printed in PAPER_FIGURES.items():
        setting = tune_setting(site, ranks, usual_rate, policy)
        high_setting = tune_setting(site, ranks, high_rate, policy)
        predicted = predict(site, ranks, usual_rate, setting)
        high_cost = predict(site, ranks, high_rate, high_setting).cost
        slope = (high_cost - predicted.cost) / (high_rate - usual_rate)
        value = f"{setting.value:.3f}" if policy == RANDOM_POLICY else f"{setting.value:.0f}"
        yield (
            f"{policy:16}{value:>10}{printed.setting:>10}{predicted.fog_share:>11.1%}{printed.fog_share:>7}"
            f"{predicted.cost:>6.2f}{printed.cost:>7}{slope:>11.5f}{printed.by_rate:>9}"
        )


def format_table(results: Iterable[PolicyResult]) -> Iterator[str]:
    """Yield the lines of a table of simulated results, each as soon as its result is available."""
    yield (
        f"{'1/s':>6}  {'policy':16}{'Fog share':>9}{'hits':>7}{'$/h':>7}{'mean ms':>9}{'dev. ms':>9}"
        f"{'too slow':>10}{'paper':>7}{'longest s':>11}{'paper':>11}"
    )
    for row in results:
        printed = PAPER_FIGURES[row.policy] if row.rate == REQUEST_RATES[1] else PaperFigures("", "")
        yield (
            f"{row.rate:>6.0f}  {row.policy:16}{row.fog_share:>9.1%}{row.hit_share:>7.1%}{row.cost:>7.2f}"
            f"{row.mean_ms:>9.1f}{row.deviation_ms:>9.1f}{row.over_share:>10.3%}{printed.over_share:>7}"
            f"{row.longest_ms / 1000.0:>11.2f}{printed.longest:>11}"
        )


def main(arguments: Sequence[str] | None = None) -> None:
    """Print the tables; the simulation takes several minutes."""
    parser = argparse.ArgumentParser(
        prog="python -m rosepick.lab.paper", description="The source paper's scenario, beside its figures."
    )
    parser.add_argument("--requests", type=int, default=300_000, help="measured, for each line")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    for skew in (1.0, PAPER_SITE.skew):
        print("\n".join(format_predictions(replace(PAPER_SITE, skew=skew))), end="\n\n")
    print(
        f"Simulated, exponent {PAPER_SITE.skew:g}, {options.requests} requests a line; "
        "the paper's at 2000 1/s"
    )
    for line in format_table(run_comparison(options.seed, options.requests)):
        print(line, flush=True)


if __name__ == "__main__":
    main()
