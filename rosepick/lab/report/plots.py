"""Plots as SVG that stands in a page: the page's own ink, no identifiers that clash, nothing from outside.

Every line has a colour (Okabe and Ito's, told apart by the colour-blind) and a dash pattern of its own.
"""

from __future__ import annotations

import io
import re
import warnings
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count
from math import log10, nan
from typing import Any, NamedTuple

import matplotlib.style
import numpy as np
import numpy.typing as npt
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import FuncFormatter, LogLocator, MaxNLocator, NullFormatter, NullLocator

from ..results import FaultSpan, Window

Values = npt.NDArray[np.float64]

MAX_POINTS = 600  # of a line; beyond that seconds are put together
MAX_FAULTS_MARKED = 30  # that are marked
MAX_LABEL_LANES = 4  # of labels

# stand-ins for colours that the page decides
INK_PLACEHOLDER, GRID_PLACEHOLDER, SHADE_PLACEHOLDER, WARM_UP_PLACEHOLDER = (
    "#010203",
    "#040506",
    "#070809",
    "#0a0b0c",
)
BLUE = "#0072b2"  # as it is on light paper
PAGE_COLOURS = {
    INK_PLACEHOLDER: "currentColor",
    GRID_PLACEHOLDER: "var(--grid)",
    SHADE_PLACEHOLDER: "var(--shade)",
    WARM_UP_PLACEHOLDER: "var(--early)",
    BLUE: "var(--blue)",
}
COLOURS = (BLUE, "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", INK_PLACEHOLDER)
DASHES = ((), (5, 2), (1.5, 1.5), (7, 2, 1.5, 2), (3, 1.2))
OUTCOME_STYLES = (  # hatched with lines only: dots would take most of the page
    ("in_time", "in time", "#56b4e9", ""),
    ("late", "late", "#e69f00", "///"),
    ("refused", "refused", "#cc79a7", "\\\\\\"),
    ("failed", "failed", "#d55e00", "xxx"),
    ("left", "left", "#999999", "---"),
)

# inches
WIDE_WIDTH_IN, NARROW_WIDTH_IN, PLOT_HEIGHT_IN = 9.75, 4.8, 1.5
(
    LEFT_MARGIN_IN,
    RIGHT_MARGIN_IN,
    BOTTOM_MARGIN_IN,
    TOP_MARGIN_IN,
    LANE_HEIGHT_IN,
    LEGEND_HEIGHT_IN,
    LETTER_WIDTH_IN,
) = 0.5, 0.08, 0.4, 0.06, 0.16, 0.22, 0.072
MATPLOTLIB_STYLE: dict[str, Any] = {
    "svg.fonttype": "none",
    "svg.hashsalt": "rosepick",
    "text.parse_math": False,
    "text.color": INK_PLACEHOLDER,
    "font.sans-serif": ["DejaVu Sans"],
    "font.size": 8.0,
    "axes.edgecolor": INK_PLACEHOLDER,
    "axes.labelcolor": INK_PLACEHOLDER,
    "xtick.color": INK_PLACEHOLDER,
    "ytick.color": INK_PLACEHOLDER,
    "grid.color": GRID_PLACEHOLDER,
    "grid.linewidth": 0.6,
    "axes.grid": True,
    "axes.axisbelow": True,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.linewidth": 0.6,
    "hatch.linewidth": 0.3,
    "legend.frameon": False,
    "legend.fontsize": 8.0,
}


@dataclass(frozen=True, slots=True)
class Style:
    """How a line looks."""

    colour: str
    dash: tuple[float, ...]  # on and off, in widths of the line

    @staticmethod
    def for_index(index: int) -> Style:
        """The n-th; 35 are different."""
        return Style(COLOURS[index % len(COLOURS)], DASHES[index % len(DASHES)])

    def shown(self) -> tuple[str, str]:
        """Colour and dashes in a page's terms, of a line two points wide."""
        return PAGE_COLOURS.get(self.colour, self.colour), " ".join(f"{2 * part:g}" for part in self.dash)

    def matplotlib_options(self) -> dict[str, Any]:
        """In matplotlib's terms."""
        return {"color": self.colour, "linestyle": (0, self.dash) if self.dash else "-"}


@dataclass(frozen=True, slots=True)
class Panel:
    """One figure over time."""

    title: str
    value_of: Callable[[Window], float]  # not a number where there is none
    wide: bool = False
    log: bool = False
    share: bool = False  # the axis ends at 1, and begins where it must
    least_top: float = 0.0  # the axis reaches this at least
    shows_max: bool = False  # seconds that are put together show their most, not their mean


PANELS = (
    Panel("Served in time, share of requests", lambda w: _ratio(w.in_time, w.offered), wide=True, share=True),
    Panel("Latency p50, ms", lambda w: w.p50_ms or nan, log=True),
    Panel("Latency p99, ms", lambda w: w.p99_ms or nan, log=True, shows_max=True),
    Panel("Load of the nodes, mean", lambda w: w.node_load_mean, least_top=1.0),
    Panel("Load of the node with most", lambda w: w.node_load_most, least_top=1.0, shows_max=True),
    Panel("Load of the origin", lambda w: w.origin_load, least_top=1.0, shows_max=True),
    Panel("Attempts at the origin, a second", lambda w: w.origin_attempts),
    Panel("Cold nodes' budget used, most of any", lambda w: w.cold_used, least_top=1.0, shows_max=True),
    Panel("Attempts to another zone, a second", lambda w: w.crossings),
)


class TimelineMark(NamedTuple):
    """A span that is shaded; without a short label it is no trouble."""

    since: float  # seconds
    until: float
    long_label: str
    short_label: str


@dataclass(frozen=True, slots=True)
class RunTimeline:
    """What all plots over time of a run have in common."""

    length: float  # seconds
    warm_up: float
    troubles: Sequence[FaultSpan]  # in the order of their numbers, from 1

    def marks(self) -> list[TimelineMark]:
        """Spans with a long and a short label."""
        early = [TimelineMark(0.0, self.warm_up, "warm-up", "")] if self.warm_up else []
        troubles = enumerate(self.troubles[:MAX_FAULTS_MARKED], 1)
        return early + [
            TimelineMark(one.at, min(one.until, self.length), f"{n} {one.kind}", f"{n}")
            for n, one in troubles
        ]


class Plots:
    """Draws the plots of one page; each has identifiers of its own."""

    def __init__(self) -> None:
        self._identifiers = count(1)

    def over_time(
        self, panel: Panel, lines: Sequence[tuple[Style, Sequence[Window]]], timeline: RunTimeline
    ) -> str:
        """A panel; empty if there is nothing to draw."""
        drawn = [(style, *_series(windows, panel)) for style, windows in lines]
        known = np.concatenate([np.empty(0), *(values[np.isfinite(values)] for _, _, values in drawn)])
        if not known.size or not (panel.share or known.any()):
            return ""
        with _style_context():
            figure, axes = _create_time_axes(WIDE_WIDTH_IN if panel.wide else NARROW_WIDTH_IN, timeline)
            for style, at, values in drawn:
                _draw_line(axes, style, at, values)
            _scale_axis(axes, panel, known)
            return self._svg(figure)

    def outcomes(self, windows: Sequence[Window], timeline: RunTimeline, max_value: float) -> str:
        """How requests ended, stacked up to `max_value` a second; empty if there were none."""
        if not any(window.offered for window in windows):
            return ""
        ends = [_series(windows, Panel("", _window_field(name))) for name, *_ in OUTCOME_STYLES]
        with _style_context():
            figure, axes = _create_time_axes(NARROW_WIDTH_IN, timeline, LEGEND_HEIGHT_IN)
            axes.stackplot(
                ends[0][0],
                [values for _, values in ends],
                labels=[label for _, label, *_ in OUTCOME_STYLES],
                colors=[colour for *_, colour, _ in OUTCOME_STYLES],
                hatch=[hatch for *_, hatch in OUTCOME_STYLES],
                edgecolor=INK_PLACEHOLDER,
                linewidth=0.2,
            )
            axes.set_ylim(0, max_value * 1.05)
            figure.legend(loc="lower center", ncols=len(OUTCOME_STYLES), handlelength=1.4, columnspacing=1.2)
            return self._svg(figure)

    def percentiles(self, lines: Sequence[tuple[Style, Sequence[tuple[float, float]]]]) -> str:
        """Latency by percentile, of one run a line; empty if nothing was served."""
        drawn = [
            (style, [(-log10(1 - q / 100), took, q) for q, took in points if took > 0 and 0 < q < 100])
            for style, points in lines
        ]
        ticks = {x: q for _, points in drawn for x, _, q in points}
        if not ticks:
            return ""
        with _style_context():
            figure, axes = _create_axes(WIDE_WIDTH_IN, PLOT_HEIGHT_IN + 0.5, 0, BOTTOM_MARGIN_IN)
            for style, points in drawn:
                axes.plot(
                    [x for x, _, _ in points],
                    [took for _, took, _ in points],
                    linewidth=1.1,
                    alpha=0.85,
                    marker="o",
                    markersize=2.2,
                    **style.matplotlib_options(),
                )
            axes.set_xticks(list(ticks), [f"{q:g} %" for q in ticks.values()])
            axes.set_xlabel("of the served requests took at most so long", labelpad=2)
            _use_log_scale(axes)
            return self._svg(figure)

    def _svg(self, figure: Figure) -> str:
        """As it stands in a page: no prolog, no style for all of it, identifiers that no other plot has."""
        nothing = dict.fromkeys(("Date", "Creator", "Format", "Type"))
        page = io.StringIO()
        figure.savefig(page, format="svg", transparent=True, metadata=nothing)
        text = page.getvalue()
        text = text[text.index("<svg") :]
        text = re.sub(r' xmlns(:xlink)?="[^"]*"', "", text, count=2)
        text = re.sub(r"<style.*?</style>", "", text, count=1, flags=re.DOTALL)
        text = re.sub(r'<g id="[^"]*">', "<g>", text)
        text = re.sub(r'(id="|href="#|url\(#)(?=\w)', rf"\g<1>plot{next(self._identifiers)}-", text)
        for stand_in, colour in PAGE_COLOURS.items():
            text = text.replace(stand_in, colour)
        return text


def _style_context() -> Any:
    """Matplotlib's own defaults with ours, whatever this machine's are."""
    return matplotlib.style.context(["default", MATPLOTLIB_STYLE])


def _ratio(part: float, whole: float) -> float:
    return part / whole if whole else nan


def _window_field(name: str) -> Callable[[Window], float]:
    return lambda window: float(getattr(window, name))


def _series(windows: Sequence[Window], panel: Panel) -> tuple[Values, Values]:
    """Times in seconds and values, of windows put together where there are too many."""
    together = -(-len(windows) // MAX_POINTS) or 1
    padding = [nan] * (-len(windows) % together)
    at = np.array([window.at + 0.5 for window in windows] + padding, dtype=np.float64)
    values = np.array([panel.value_of(window) for window in windows] + padding, dtype=np.float64)
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", RuntimeWarning)  # where all that is put together is unknown
        pool = np.nanmax if panel.shows_max else np.nanmean
        return np.nanmean(at.reshape(-1, together), axis=1), pool(values.reshape(-1, together), axis=1)


def _draw_line(axes: Axes, style: Style, at: Values, values: Values) -> None:
    axes.plot(at, values, linewidth=1.3, **style.matplotlib_options())
    known = np.concatenate([[False], np.isfinite(values), [False]])
    lone = known[1:-1] & ~known[:-2] & ~known[2:]
    # a line needs two points
    axes.plot(at[lone], values[lone], linestyle="", marker="o", markersize=2.5, color=style.colour)


# ------------------------------------------------------------------------------------------------- the axes


def _create_axes(width: float, high: float, lanes: int, below: float) -> tuple[Figure, Axes]:
    """Axes `high` inches, with room for lanes of labels above and so much below."""
    whole = high + below + TOP_MARGIN_IN + lanes * LANE_HEIGHT_IN
    figure = Figure(figsize=(width, whole))
    axes = figure.add_axes(
        (LEFT_MARGIN_IN / width, below / whole, 1 - (LEFT_MARGIN_IN + RIGHT_MARGIN_IN) / width, high / whole)
    )
    axes.tick_params(length=2, width=0.6, pad=2)
    axes.yaxis.set_major_formatter(FuncFormatter(_format_tick))
    axes.yaxis.set_major_locator(MaxNLocator(5))
    return figure, axes


def _format_tick(value: float, _: int | None = None) -> str:
    return f"{value:,.10g}"


def _create_time_axes(width: float, timeline: RunTimeline, legend: float = 0.0) -> tuple[Figure, Axes]:
    """Axes over the time of a run, with the troubles marked."""
    marks = timeline.marks()
    seconds = (
        timeline.length / (width - LEFT_MARGIN_IN - RIGHT_MARGIN_IN) * LETTER_WIDTH_IN
    )  # that a letter takes
    places = _assign_lanes([(mark.since, mark.long_label) for mark in marks], seconds, timeline.length)
    lanes = 1 + max((lane for lane, _, _ in places), default=-1)
    if lanes > MAX_LABEL_LANES:
        places = _assign_lanes([(mark.since, mark.short_label) for mark in marks], seconds, timeline.length)
        lanes = min(MAX_LABEL_LANES, 1 + max(lane for lane, _, _ in places))
    figure, axes = _create_axes(width, PLOT_HEIGHT_IN, lanes, BOTTOM_MARGIN_IN + legend)
    for since, until, _, short in marks:
        axes.axvspan(
            since,
            until,
            color=SHADE_PLACEHOLDER if short else WARM_UP_PLACEHOLDER,
            alpha=0.2,
            linewidth=0,
            zorder=0,
        )
        if short:
            axes.axvline(since, color=SHADE_PLACEHOLDER, linewidth=0.8, zorder=0.5)
    for lane, x, text in places:
        if lane < lanes:
            high = 1 + (0.03 + lane * LANE_HEIGHT_IN) / PLOT_HEIGHT_IN
            axes.text(x, high, text, transform=axes.get_xaxis_transform(), fontsize=7.5, va="bottom")
    axes.set_xlim(0, timeline.length)
    axes.xaxis.set_major_formatter(FuncFormatter(_format_tick))
    axes.set_xlabel("seconds", labelpad=1)
    return figure, axes


def _assign_lanes(
    labels: Sequence[tuple[float, str]], letter: float, length: float
) -> list[tuple[int, float, str]]:
    """The lane and the place of each label, so that none lies over another; `letter` in seconds."""
    ends: list[float] = []
    places = []
    for since, text in sorted(label for label in labels if label[1]):
        x = max(0.0, min(since, length - len(text) * letter))
        lane = next((n for n, end in enumerate(ends) if end <= x), len(ends))
        ends[lane : lane + 1] = [x + (len(text) + 1) * letter]
        places.append((lane, x, text))
    return places


def _scale_axis(axes: Axes, panel: Panel, values: Values) -> None:
    """The extent of the axis upwards."""
    if panel.log:
        _use_log_scale(axes)
    elif panel.share:
        least = float(values.min())
        axes.set_ylim(0.0 if least < 0.6 else int(least * 10 - 1) / 10, 1.01)
    else:
        axes.set_ylim(0, max(panel.least_top, float(values.max())) * 1.05)


def _use_log_scale(axes: Axes) -> None:
    axes.set_yscale("log")
    low, high = axes.get_ylim()
    steps = (1.0, 2.0, 5.0) if high < 200 * low else (1.0, 3.0) if high < 2000 * low else (1.0,)
    axes.yaxis.set_major_locator(LogLocator(subs=steps))
    axes.yaxis.set_major_formatter(FuncFormatter(_format_tick))
    axes.yaxis.set_minor_locator(NullLocator())
    axes.yaxis.set_minor_formatter(NullFormatter())
