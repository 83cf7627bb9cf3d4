"""Draws the plots of a measurement run with matplotlib.

Only this module needs matplotlib. `lavendertide.reports.page` imports it when a page is
rendered, so that the other commands work without matplotlib.
"""

import io
import itertools
from collections.abc import Callable
from typing import Any, Final

import matplotlib as mpl

mpl.use("svg")

from matplotlib import pyplot

from lavendertide.reports.run import LatencyRecord, Run, SecondRecord

WIDTH_IN: Final = 9.0
HEIGHT_IN: Final = 3.4
HEADROOM: Final = 1.2  # factor that leaves space for fault labels above the curves
LATENCY_TICKS: Final = (1.0, 2.0, 5.0)
ROUNDING_TOLERANCE: Final = 1e-9
FAULT_COLOUR: Final = "#888888"
BOUND_COLOUR: Final = "#b00020"
COLOURS: Final = ("#0b6e99", "#d9730d", "#448361", "#9065b0", "#9f6b53", "#c14c8a")
LINE_STYLES: Final = ("-", "--", ":")
SVG_SALT: Final = "lavendertide"  # a fixed salt gives reproducible element ids

mpl.rcParams.update(
    {
        "axes.grid": True,
        "axes.spines.right": False,
        "axes.spines.top": False,
        "font.size": 10,
        "grid.alpha": 0.3,
        "legend.frameon": False,
        "svg.fonttype": "none",
        "svg.hashsalt": SVG_SALT,
    }
)


def draw_distribution(run: Run) -> Any:
    """Draws the share of responses above each latency, one curve per variant."""
    figure, axes = pyplot.subplots(figsize=(WIDTH_IN, HEIGHT_IN), layout="constrained")
    for number, variant in enumerate(run.variants):
        latency = run.latency_of(variant)
        if latency is not None and latency.buckets:
            times_ms, slower = _compute_slower_shares(latency)
            axes.step(
                times_ms, slower, where="post", label=variant, **_line_style(number)
            )
    _mark_bound(run, axes.axvline)
    axes.axhline(0.01, color=FAULT_COLOUR, linewidth=0.8)
    axes.annotate("1 in 100", (0.0, 0.01), (4, 3), **_AXIS_LABEL_STYLE)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("latency in ms")
    axes.set_ylabel("part of the answers\nthat took longer")
    axes.xaxis.set_major_locator(mpl.ticker.LogLocator(subs=LATENCY_TICKS))
    axes.xaxis.set_major_formatter("{x:g}")
    axes.xaxis.set_minor_formatter(mpl.ticker.NullFormatter())
    _place_legend(axes, run)
    return figure


def draw_latency(run: Run) -> Any:
    """Draws median and 99th percentile latency over time, one panel per variant."""
    figure, panels = _create_panels(run)
    for variant, axes in zip(run.variants, panels, strict=True):
        seconds = run.seconds_of(variant)
        times_s = [second.at_s for second in seconds]
        for label, select, number in (("p50", _p50, 0), ("p99", _p99, 1)):
            values = [select(second) for second in seconds]
            axes.plot(times_s, values, label=label, **_line_style(number))
        _mark_faults(run, variant, axes)
        _mark_bound(run, axes.axhline)
        axes.set_ylim(0, axes.get_ylim()[1] * HEADROOM)
        axes.set_title(variant, loc="left", fontsize=10)
        axes.set_ylabel("latency in ms")
    panels[0].legend(loc="lower right", bbox_to_anchor=(1.0, 1.0), ncols=3)
    panels[-1].set_xlabel("seconds since the start")
    return figure


def draw_coverage(run: Run) -> Any:
    """Draws the mean coverage of the responses over time."""
    return _draw_over_time(run, "coverage of the answers", lambda s: s.coverage, 1.0)


def draw_extra_load(run: Run) -> Any:
    """Draws the share of extra sub-requests (hedges and retries) over time."""
    return _draw_over_time(run, "extra sub-requests", lambda s: s.extra_load, None)


def to_svg(figure: Any) -> str:
    """Returns a figure as an `svg` element and frees the figure.

    The XML prologue is left out, and so is the date, so that the same run gives the
    same text.
    """
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    svg = text.getvalue()
    return svg[svg.index("<svg") :]


def _draw_over_time(
    run: Run,
    label: str,
    select: Callable[[SecondRecord], float | None],
    top: float | None,
) -> Any:
    figure, axes = pyplot.subplots(figsize=(WIDTH_IN, HEIGHT_IN), layout="constrained")
    for number, variant in enumerate(run.variants):
        seconds = run.seconds_of(variant)
        values = [_nan_if_none(select(second)) for second in seconds]
        times_s = [second.at_s for second in seconds]
        axes.plot(times_s, values, label=variant, **_line_style(number))
    for variant in run.variants:
        _mark_faults(run, variant, axes)
    if top is not None:
        low = axes.get_ylim()[0]
        low = min(low, top - 0.01)
        axes.set_ylim(low, low + (top - low) * HEADROOM)
        ticks = [
            tick
            for tick in axes.get_yticks()
            if low <= tick <= top + ROUNDING_TOLERANCE
        ]
        axes.set_yticks(ticks)
    else:
        axes.set_ylim(0, axes.get_ylim()[1] * HEADROOM)
    axes.set_ylabel(label)
    axes.set_xlabel("seconds since the start")
    axes.yaxis.set_major_formatter(mpl.ticker.PercentFormatter(1.0))
    _place_legend(axes, run)
    return figure


def _create_panels(run: Run) -> tuple[Any, list[Any]]:
    count = max(1, len(run.variants))
    figure, panels = pyplot.subplots(
        count,
        1,
        figsize=(WIDTH_IN, 1.0 + 2.0 * count),
        layout="constrained",
        sharex=True,
        sharey=True,
        squeeze=False,
    )
    return figure, [row[0] for row in panels]


def _compute_slower_shares(latency: LatencyRecord) -> tuple[list[float], list[float]]:
    buckets = sorted(latency.buckets, key=lambda bucket: bucket.upper_ms)
    total = sum(bucket.count for bucket in buckets) or 1
    cumulative_counts = itertools.accumulate(bucket.count for bucket in buckets)
    slower = [1.0 - count / total for count in cumulative_counts]
    points = [(b.upper_ms, share) for b, share in zip(buckets, slower, strict=True)]
    points = [(upper_ms, share) for upper_ms, share in points if share > 0]
    # A logarithmic axis cannot show 0, so the curve ends at half a response.
    points.append((buckets[-1].upper_ms, 0.5 / total))
    return [upper_ms for upper_ms, _ in points], [share for _, share in points]


def _mark_faults(run: Run, variant: str, axes: Any) -> None:
    drawn_names = {text.get_text() for text in axes.texts}
    for fault in run.faults_of(variant):
        # Variants share one plot in some figures; each fault is drawn once.
        if fault.name in drawn_names:
            continue
        if fault.ends_at_s is not None:
            axes.axvspan(
                fault.starts_at_s, fault.ends_at_s, color=FAULT_COLOUR, alpha=0.15
            )
        axes.axvline(fault.starts_at_s, color=FAULT_COLOUR, linewidth=1.0)
        axes.annotate(
            fault.name, (fault.starts_at_s, 1.0), (3, -12), **_FAULT_LABEL_STYLE
        )


def _mark_bound(run: Run, draw_line: Callable[..., Any]) -> None:
    bound_ms = run.header.latency_bound_ms
    if bound_ms is not None:
        label = f"bound {bound_ms:g} ms"
        draw_line(bound_ms, color=BOUND_COLOUR, linewidth=1.0, ls="-.", label=label)


def _place_legend(axes: Any, run: Run) -> None:
    axes.legend(
        loc="lower left",
        bbox_to_anchor=(0.0, 1.0),
        ncols=min(3, len(run.variants) + 1),
        borderaxespad=0.2,
    )


def _line_style(number: int) -> dict[str, Any]:
    return {
        "color": COLOURS[number % len(COLOURS)],
        "linestyle": LINE_STYLES[number // len(COLOURS) % len(LINE_STYLES)],
        "linewidth": 1.6,
    }


def _p50(second: SecondRecord) -> float:
    return _nan_if_none(second.p50_ms)


def _p99(second: SecondRecord) -> float:
    return _nan_if_none(second.p99_ms)


def _nan_if_none(value: float | None) -> float:
    return float("nan") if value is None else value


_FAULT_LABEL_STYLE: Final[dict[str, Any]] = {
    "xycoords": ("data", "axes fraction"),
    "textcoords": "offset points",
    "fontsize": 9,
    "color": "#555555",
}
_AXIS_LABEL_STYLE: Final[dict[str, Any]] = {
    "xycoords": ("axes fraction", "data"),
    "textcoords": "offset points",
    "fontsize": 9,
    "color": "#555555",
}
