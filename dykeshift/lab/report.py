"""A self-contained HTML page of an experiment: plots (SVG), tables, and how to get them again."""

from __future__ import annotations

import io
import math
from html import escape

import matplotlib
from matplotlib.figure import Figure

from dykeshift.model.figures import STEP_S
from dykeshift.lab.plan import Plan
from dykeshift.lab.runs import Row
from dykeshift.lab.stats import Estimate
from dykeshift.lab.tables import Line, means

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "lifttrail"  # the same results make the same file
matplotlib.rcParams["svg.fonttype"] = "none"

STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse;font-size:13px}
td,th{padding:.2rem .6rem;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}
code,pre{background:#f4f4f4;padding:.1rem .3rem}svg{max-width:100%}"""


def page(plan: Plan, rows: list[Row], code: str, command: str) -> str:
    """The whole page; `command` makes the results again."""
    lines = means(rows, plan.show)
    parts = [
        f"<h1>{escape(plan.name)}</h1>",
        f"<p>Subject: {plan.subject}. {len(rows)} runs of code {code}, "
        f"seeds {escape(', '.join(map(str, plan.seed_list())))}. Bars are 95% intervals over seeds.</p>",
        f"<pre>{escape(command)}</pre>",
    ]
    for name in plan.show:
        parts += over_time(plan, rows, name)
        mine = [line for line in lines if line.figure == name and line.value.seeds]
        if mine:
            parts += [
                f"<h2>{escape(name)}</h2>",
                _plot(plan, name, mine),
                f"<p><code>{escape(command)} &amp;&amp; lifttrail experiment compare DIR --figure "
                f"{escape(name)}</code></p>",
                _table(plan, mine),
            ]
    body = "\n".join(parts)
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{escape(plan.name)}</title>"
        f"<style>{STYLE}</style>{body}</html>\n"
    )


def plots(plan: Plan, rows: list[Row]) -> dict[str, str]:
    """The SVG of each figure that the plan shows."""
    lines = [line for line in means(rows, plan.show) if line.value.seeds]
    return {
        name: _plot(plan, name, [line for line in lines if line.figure == name])
        for name in plan.show
        if any(line.figure == name for line in lines)
    }


def over_time(plan: Plan, rows: list[Row], name: str) -> list[str]:
    """A plot for each place of the grid where the figure has a value for each step (or such, by cause)."""
    parts = list[str]()
    for place in dict.fromkeys(tuple(row["labels"].items()) for row in rows):
        lines = dict[str, list[list[float]]]()
        for row in rows:
            found = row["figures"].get(name)
            if tuple(row["labels"].items()) != place or not isinstance(found, list | dict):
                continue
            for cause, steps in (found if isinstance(found, dict) else {"": found}).items():
                if isinstance(steps, list):
                    title = ", ".join(filter(None, (row["policy"], cause)))
                    lines.setdefault(title, []).append(steps)
        if lines:
            if not parts:
                parts.append(f"<h2>{escape(name)}</h2>")
            parts.append(_steps(", ".join(label for _, label in place), lines))
    return parts


def _steps(title: str, lines: dict[str, list[list[float]]]) -> str:
    """Means over seeds; what no seed has a value for is left open."""
    figure = Figure(figsize=(8, 3), layout="constrained")
    axes = figure.subplots()
    for label, seeds in lines.items():
        columns = [[v for v in column if v >= 0] for column in zip(*seeds, strict=False)]
        means = [sum(c) / len(c) if c else math.nan for c in columns]
        axes.plot([n * STEP_S for n in range(len(means))], means, label=label, linewidth=1)
    axes.set(title=title, xlabel="seconds")
    axes.grid(alpha=0.3)
    if len(lines) > 1:
        figure.legend(fontsize=7, loc="outside right upper")
    return _svg(figure)


def _svg(figure: Figure) -> str:
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None})
    return text.getvalue()[text.getvalue().index("<svg") :]


def _series(plan: Plan, lines: list[Line]) -> tuple[list[str], dict[str, dict[str, Estimate]]]:
    """Along the last axis of the plan; a series for each policy and each point of the other axes."""
    if not plan.axis:
        return [""], {line.policy: {"": line.value} for line in lines}
    along = plan.axis[-1].name
    places = [p.label for p in plan.axis[-1].all()]
    series: dict[str, dict[str, Estimate]] = {}
    for line in lines:
        labels = dict(line.place)
        others = [f"{name} {label}" for name, label in labels.items() if name != along]
        title = ", ".join([line.policy] * (len(plan.policies) > 1) + others) or line.policy
        series.setdefault(title, {})[labels[along]] = line.value
    return places, series


def _plot(plan: Plan, name: str, lines: list[Line]) -> str:
    places, series = _series(plan, lines)
    figure = Figure(figsize=(8, 4.2), layout="constrained")
    axes = figure.subplots()
    shift = 0.0 if len(series) < 2 else 0.5 / len(series)
    for n, (title, points) in enumerate(series.items()):
        xs = [places.index(p) + (n - len(series) / 2) * shift for p in points]
        values = list(points.values())
        bars = [[max(0.0, v.mean - v.low) for v in values], [max(0.0, v.high - v.mean) for v in values]]
        axes.errorbar(xs, [v.mean for v in values], yerr=bars, marker="o", capsize=2, label=title)
    axes.set_xticks(range(len(places)), places)
    axes.set_xlabel(plan.axis[-1].name if plan.axis else "")
    axes.set_ylabel(name)
    axes.grid(alpha=0.3)
    if len(series) > 1:
        figure.legend(fontsize=7, loc="outside right upper")
    return _svg(figure)


def _table(plan: Plan, lines: list[Line]) -> str:
    heads = "".join(
        f"<th>{escape(t)}</th>"
        for t in (*(a.name for a in plan.axis), "policy", "mean", "from", "to", "seeds")
    )
    rows = "".join(
        "<tr>"
        + "".join(f"<td>{escape(label)}</td>" for _, label in line.place)
        + f"<td>{escape(line.policy)}</td>"
        + "".join(f"<td>{number(v)}</td>" for v in line.value[:3])
        + f"<td>{line.value.seeds}</td></tr>"
        for line in lines
    )
    return f"<table><tr>{heads}</tr>{rows}</table>"


def number(value: float) -> str:
    """Four digits, as people write them."""
    return "-" if math.isnan(value) else f"{value:.4g}"
