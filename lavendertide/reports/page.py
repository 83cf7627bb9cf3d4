"""Renders a measurement run as one self-contained HTML page."""

import html
import importlib.util
import statistics
from typing import Any, Final

from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.reports.run import Run

_STYLE: Final = """
body { font-family: sans-serif; max-width: 60rem; margin: 2rem auto; color: #222; }
svg { max-width: 100%; height: auto; }
table { border-collapse: collapse; }
th, td { padding: 0.2rem 0.8rem; border-bottom: 1px solid #ddd; text-align: right; }
th:first-child, td:first-child { text-align: left; }
"""


def render_page(run: Run) -> Result[str, Refusal]:
    """Returns the HTML text, or a refusal if matplotlib is not installed."""
    if importlib.util.find_spec("matplotlib") is None:
        return Failure(_matplotlib_missing())
    from lavendertide.reports import plots

    sections = [
        ("How long answers take", plots.draw_distribution(run)),
        ("Latency over time", plots.draw_latency(run)),
        ("Coverage over time", plots.draw_coverage(run)),
    ]
    if any(second.extra_load is not None for second in run.seconds):
        sections.append(("Extra load over time", plots.draw_extra_load(run)))
    plots_html = "".join(
        f"<h2>{html.escape(title)}</h2>\n{plots.to_svg(figure)}\n"
        for title, figure in sections
    )
    return Success(_format_page(run, plots_html))


def _format_page(run: Run, plots_html: str) -> str:
    header = run.header
    title = html.escape(header.title)
    notes = "".join(f"<li>{html.escape(note)}</li>" for note in header.notes)
    return (
        f'<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{title}</title><style>{_STYLE}</style></head>\n<body>\n"
        f"<h1>{title}</h1>\n"
        f"<p>Commit {html.escape(header.commit)}, seed {header.seed}, started "
        f"{html.escape(header.started_at)}.</p>\n"
        f"<ul>{notes}</ul>\n{_format_table(run)}\n{plots_html}</body></html>\n"
    )


def _format_table(run: Run) -> str:
    rows = "".join(_format_row(run, variant) for variant in run.variants)
    header_cells = "".join(
        f"<th>{head}</th>"
        for head in (
            "variant",
            "queries",
            "failed",
            "worst second's p99 ms",
            "mean coverage",
            "mean extra load",
        )
    )
    return f"<table><tr>{header_cells}</tr>{rows}</table>"


def _format_row(run: Run, variant: str) -> str:
    seconds = run.seconds_of(variant)
    p99s = [second.p99_ms for second in seconds if second.p99_ms is not None]
    cells: list[Any] = [
        html.escape(variant),
        sum(second.queries for second in seconds),
        sum(second.failed for second in seconds),
        f"{max(p99s):.1f}" if p99s else "",
        _format_mean_percent([s.coverage for s in seconds]),
        _format_mean_percent([s.extra_load for s in seconds]),
    ]
    return "<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def _format_mean_percent(values: list[float | None]) -> str:
    known = [value for value in values if value is not None]
    return f"{statistics.fmean(known):.2%}" if known else ""


def _matplotlib_missing() -> Refusal:
    return Refusal(
        RefusalKind.LIBRARY_MISSING,
        "Reports need matplotlib, which is not installed.",
        "Install it with 'pip install lavendertide[dev]'.",
        Fault.CALLER,
    )
