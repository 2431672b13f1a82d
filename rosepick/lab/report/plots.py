"""Draws plots as SVG to embed in a page: in the page's colours, with unique identifiers, without other files.

Lines differ in colour (from Okabe and Ito's palette for colour-blind readers) and dash pattern.
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

MAX_POINTS = 600  # points of a line; longer runs are aggregated
MAX_FAULTS_MARKED = 30
MAX_LABEL_LANES = 4

# placeholder colours, which are replaced by colours that the page defines
INK_PLACEHOLDER = "#010203"
GRID_PLACEHOLDER = "#040506"
SHADE_PLACEHOLDER = "#070809"
WARM_UP_PLACEHOLDER = "#0a0b0c"
BLUE = "#0072b2"  # replaced by the page's blue, as this one is too dark on a dark background
PAGE_COLOURS = {
    INK_PLACEHOLDER: "currentColor",
    GRID_PLACEHOLDER: "var(--grid)",
    SHADE_PLACEHOLDER: "var(--shade)",
    WARM_UP_PLACEHOLDER: "var(--early)",
    BLUE: "var(--blue)",
}
COLOURS = (BLUE, "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", INK_PLACEHOLDER)
DASHES = ((), (5, 2), (1.5, 1.5), (7, 2, 1.5, 2), (3, 1.2))
# hatches consist of lines only, as dots would account for most of the page's size
OUTCOME_STYLES = (
    ("in_time", "in time", "#56b4e9", ""),
    ("late", "late", "#e69f00", "///"),
    ("refused", "refused", "#cc79a7", "\\\\\\"),
    ("failed", "failed", "#d55e00", "xxx"),
    ("left", "left", "#999999", "---"),
)

# sizes in inches
WIDE_WIDTH_IN = 9.75
NARROW_WIDTH_IN = 4.8
PLOT_HEIGHT_IN = 1.5
PERCENTILES_HEIGHT_IN = PLOT_HEIGHT_IN + 0.5
LEFT_MARGIN_IN = 0.5
RIGHT_MARGIN_IN = 0.08
BOTTOM_MARGIN_IN = 0.4
TOP_MARGIN_IN = 0.06
LANE_HEIGHT_IN = 0.16
LABEL_GAP_IN = 0.03
LEGEND_HEIGHT_IN = 0.22
LETTER_WIDTH_IN = 0.072
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
    """The style of a line."""

    colour: str
    dash: tuple[float, ...]  # lengths of dashes and gaps, in line widths

    @staticmethod
    def for_index(index: int) -> Style:
        """Return the style with an index; styles repeat after 35."""
        return Style(COLOURS[index % len(COLOURS)], DASHES[index % len(DASHES)])

    def shown(self) -> tuple[str, str]:
        """Return the CSS colour and the SVG dash pattern for a line two points wide."""
        return PAGE_COLOURS.get(self.colour, self.colour), " ".join(f"{2 * part:g}" for part in self.dash)

    def matplotlib_options(self) -> dict[str, Any]:
        """Return the style as keyword arguments of matplotlib."""
        return {"color": self.colour, "linestyle": (0, self.dash) if self.dash else "-"}


@dataclass(frozen=True, slots=True)
class Panel:
    """A plot of one figure over time."""

    title: str
    value_of: Callable[[Window], float]  # returns nan for a window without a value
    wide: bool = False  # whether the plot takes the whole width of the page
    log: bool = False  # whether the axis is logarithmic
    share: bool = False  # whether the axis ends at 1 and begins below the smallest value
    min_top: float = 0.0  # the smallest upper end of the axis
    shows_max: bool = False  # whether aggregated seconds show their maximum instead of their mean


PANELS = (
    Panel("Served in time, share of requests", lambda w: _ratio(w.in_time, w.offered), wide=True, share=True),
    Panel("Latency p50, ms", lambda w: w.p50_ms or nan, log=True),
    Panel("Latency p99, ms", lambda w: w.p99_ms or nan, log=True, shows_max=True),
    Panel("Mean load of the nodes", lambda w: w.node_load_mean, min_top=1.0),
    Panel("Load of the most loaded node", lambda w: w.node_load_most, min_top=1.0, shows_max=True),
    Panel("Load of the origin", lambda w: w.origin_load, min_top=1.0, shows_max=True),
    Panel("Attempts at the origin per second", lambda w: w.origin_attempts),
    Panel("Cold budget used, highest of all nodes", lambda w: w.cold_used, min_top=1.0, shows_max=True),
    Panel("Attempts to another zone per second", lambda w: w.crossings),
)


class TimelineMark(NamedTuple):
    """A shaded span of time: a fault, or the warm-up, which has an empty short label."""

    since: float  # seconds
    until: float
    long_label: str
    short_label: str


@dataclass(frozen=True, slots=True)
class RunTimeline:
    """The time axis and faults that all plots of a run share."""

    length: float  # seconds
    warm_up: float
    faults: Sequence[FaultSpan]  # in the order of their numbers on the page, which start at 1

    def marks(self) -> list[TimelineMark]:
        """Return the spans to shade."""
        warm_up = [TimelineMark(0.0, self.warm_up, "warm-up", "")] if self.warm_up else []
        numbered_faults = enumerate(self.faults[:MAX_FAULTS_MARKED], 1)
        return warm_up + [
            TimelineMark(fault.at, min(fault.until, self.length), f"{number} {fault.kind}", f"{number}")
            for number, fault in numbered_faults
        ]


class Plots:
    """Draws the plots of one page, with SVG identifiers that are unique in the page."""

    def __init__(self) -> None:
        self._identifiers = count(1)

    def over_time(
        self, panel: Panel, lines: Sequence[tuple[Style, Sequence[Window]]], timeline: RunTimeline
    ) -> str:
        """Return the SVG of a panel; empty without values, and if all are 0 unless the panel is a share."""
        series = [(style, *_series(windows, panel)) for style, windows in lines]
        known = np.concatenate([np.empty(0), *(values[np.isfinite(values)] for _, _, values in series)])
        if not known.size or not (panel.share or known.any()):
            return ""
        with _style_context():
            figure, axes = _create_time_axes(WIDE_WIDTH_IN if panel.wide else NARROW_WIDTH_IN, timeline)
            for style, at, values in series:
                _draw_line(axes, style, at, values)
            _scale_axis(axes, panel, known)
            return self._svg(figure)

    def outcomes(self, windows: Sequence[Window], timeline: RunTimeline, max_value: float) -> str:
        """Return the SVG of stacked outcomes of requests over time; empty if there are no requests.

        The axis reaches `max_value` requests per second.
        """
        if not any(window.offered for window in windows):
            return ""
        outcomes = [_series(windows, Panel("", _window_field(name))) for name, *_ in OUTCOME_STYLES]
        with _style_context():
            figure, axes = _create_time_axes(NARROW_WIDTH_IN, timeline, LEGEND_HEIGHT_IN)
            axes.stackplot(
                outcomes[0][0],
                [values for _, values in outcomes],
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
        """Return the SVG of latency by percentile, with a line for each run; empty if nothing was served."""
        series = [
            (
                style,
                [
                    (-log10(1 - percentile / 100), latency_ms, percentile)
                    for percentile, latency_ms in points
                    if latency_ms > 0 and 0 < percentile < 100
                ],
            )
            for style, points in lines
        ]
        ticks = {x: percentile for _, points in series for x, _, percentile in points}
        if not ticks:
            return ""
        with _style_context():
            figure, axes = _create_axes(WIDE_WIDTH_IN, PERCENTILES_HEIGHT_IN, 0, BOTTOM_MARGIN_IN)
            for style, points in series:
                axes.plot(
                    [x for x, _, _ in points],
                    [latency_ms for _, latency_ms, _ in points],
                    linewidth=1.1,
                    alpha=0.85,
                    marker="o",
                    markersize=2.2,
                    **style.matplotlib_options(),
                )
            axes.set_xticks(list(ticks), [f"{percentile:g} %" for percentile in ticks.values()])
            axes.set_xlabel("percentile of the served requests", labelpad=2)
            _use_log_scale(axes)
            return self._svg(figure)

    def _svg(self, figure: Figure) -> str:
        """Return the SVG of a figure to embed: without prolog and global style, with unique identifiers."""
        no_metadata = dict.fromkeys(("Date", "Creator", "Format", "Type"))
        output = io.StringIO()
        figure.savefig(output, format="svg", transparent=True, metadata=no_metadata)
        text = output.getvalue()
        text = text[text.index("<svg") :]
        text = re.sub(r' xmlns(:xlink)?="[^"]*"', "", text, count=2)
        text = re.sub(r"<style.*?</style>", "", text, count=1, flags=re.DOTALL)
        text = re.sub(r'<g id="[^"]*">', "<g>", text)
        text = re.sub(r'(id="|href="#|url\(#)(?=\w)', rf"\g<1>plot{next(self._identifiers)}-", text)
        for placeholder, colour in PAGE_COLOURS.items():
            text = text.replace(placeholder, colour)
        return text


def _style_context() -> Any:
    """Return a context with matplotlib's defaults and the page's style; settings of the user are ignored."""
    return matplotlib.style.context(["default", MATPLOTLIB_STYLE])


def _ratio(part: float, whole: float) -> float:
    return part / whole if whole else nan


def _window_field(name: str) -> Callable[[Window], float]:
    return lambda window: float(getattr(window, name))


def _series(windows: Sequence[Window], panel: Panel) -> tuple[Values, Values]:
    """Return times in seconds and values, aggregated if there are too many windows."""
    group_size = -(-len(windows) // MAX_POINTS) or 1
    padding = [nan] * (-len(windows) % group_size)
    at = np.array([window.at + 0.5 for window in windows] + padding, dtype=np.float64)
    values = np.array([panel.value_of(window) for window in windows] + padding, dtype=np.float64)
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", RuntimeWarning)  # for a group without any value
        aggregate = np.nanmax if panel.shows_max else np.nanmean
        return np.nanmean(at.reshape(-1, group_size), axis=1), aggregate(
            values.reshape(-1, group_size), axis=1
        )


def _draw_line(axes: Axes, style: Style, at: Values, values: Values) -> None:
    axes.plot(at, values, linewidth=1.3, **style.matplotlib_options())
    known = np.concatenate([[False], np.isfinite(values), [False]])
    # a line needs two points, so that isolated points are drawn as dots
    is_isolated = known[1:-1] & ~known[:-2] & ~known[2:]
    axes.plot(
        at[is_isolated], values[is_isolated], linestyle="", marker="o", markersize=2.5, color=style.colour
    )


# ------------------------------------------------------------------------------------------------- axes


def _create_axes(width: float, height: float, lanes: int, space_below: float) -> tuple[Figure, Axes]:
    """Return axes with `lanes` rows of labels above and space below; sizes are in inches."""
    figure_height = height + space_below + TOP_MARGIN_IN + lanes * LANE_HEIGHT_IN
    figure = Figure(figsize=(width, figure_height))
    axes = figure.add_axes(
        (
            LEFT_MARGIN_IN / width,
            space_below / figure_height,
            1 - (LEFT_MARGIN_IN + RIGHT_MARGIN_IN) / width,
            height / figure_height,
        )
    )
    axes.tick_params(length=2, width=0.6, pad=2)
    axes.yaxis.set_major_formatter(FuncFormatter(_format_tick))
    axes.yaxis.set_major_locator(MaxNLocator(5))
    return figure, axes


def _format_tick(value: float, _: int | None = None) -> str:
    return f"{value:,.10g}"


def _create_time_axes(width: float, timeline: RunTimeline, legend: float = 0.0) -> tuple[Figure, Axes]:
    """Return axes over the time of a run, with the faults marked."""
    marks = timeline.marks()
    letter_width_s = timeline.length / (width - LEFT_MARGIN_IN - RIGHT_MARGIN_IN) * LETTER_WIDTH_IN
    labels = _assign_lanes([(mark.since, mark.long_label) for mark in marks], letter_width_s, timeline.length)
    lanes = 1 + max((lane for lane, _, _ in labels), default=-1)
    if lanes > MAX_LABEL_LANES:
        labels = _assign_lanes(
            [(mark.since, mark.short_label) for mark in marks], letter_width_s, timeline.length
        )
        lanes = min(MAX_LABEL_LANES, 1 + max(lane for lane, _, _ in labels))
    figure, axes = _create_axes(width, PLOT_HEIGHT_IN, lanes, BOTTOM_MARGIN_IN + legend)
    for since, until, _, short_label in marks:
        axes.axvspan(
            since,
            until,
            color=SHADE_PLACEHOLDER if short_label else WARM_UP_PLACEHOLDER,
            alpha=0.2,
            linewidth=0,
            zorder=0,
        )
        if short_label:
            axes.axvline(since, color=SHADE_PLACEHOLDER, linewidth=0.8, zorder=0.5)
    for lane, x, text in labels:
        if lane < lanes:
            y = 1 + (LABEL_GAP_IN + lane * LANE_HEIGHT_IN) / PLOT_HEIGHT_IN
            axes.text(x, y, text, transform=axes.get_xaxis_transform(), fontsize=7.5, va="bottom")
    axes.set_xlim(0, timeline.length)
    axes.xaxis.set_major_formatter(FuncFormatter(_format_tick))
    axes.set_xlabel("seconds", labelpad=1)
    return figure, axes


def _assign_lanes(
    labels: Sequence[tuple[float, str]], letter_width_s: float, length: float
) -> list[tuple[int, float, str]]:
    """Return lane, position and text of each label, without overlaps; a letter is `letter_width_s` wide."""
    ends: list[float] = []
    placed: list[tuple[int, float, str]] = []
    for since, text in sorted(label for label in labels if label[1]):
        x = max(0.0, min(since, length - len(text) * letter_width_s))
        lane = next((n for n, end in enumerate(ends) if end <= x), len(ends))
        ends[lane : lane + 1] = [x + (len(text) + 1) * letter_width_s]
        placed.append((lane, x, text))
    return placed


def _scale_axis(axes: Axes, panel: Panel, values: Values) -> None:
    """Set the extent of the vertical axis."""
    if panel.log:
        _use_log_scale(axes)
    elif panel.share:
        lowest = float(values.min())
        axes.set_ylim(0.0 if lowest < 0.6 else int(lowest * 10 - 1) / 10, 1.01)
    else:
        axes.set_ylim(0, max(panel.min_top, float(values.max())) * 1.05)


def _use_log_scale(axes: Axes) -> None:
    axes.set_yscale("log")
    low, high = axes.get_ylim()
    steps: tuple[float, ...] = (1.0,)
    if high < 200 * low:
        steps = (1.0, 2.0, 5.0)
    elif high < 2000 * low:
        steps = (1.0, 3.0)
    axes.yaxis.set_major_locator(LogLocator(subs=steps))
    axes.yaxis.set_major_formatter(FuncFormatter(_format_tick))
    axes.yaxis.set_minor_locator(NullLocator())
    axes.yaxis.set_minor_formatter(NullFormatter())
