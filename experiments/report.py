"""Writes an HTML file with plots of goodput and latency over time."""

import base64
import io
import json
from html import escape
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - after matplotlib.use

from experiments.figures import Timeline  # noqa: E402

__all__ = ["write_report"]

BUCKETS_PER_POINT = 5
BUCKET_SECONDS = 0.1
PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>flamingosail</title>
<style>body{{font-family:sans-serif}} td,th{{padding:2px 8px;
text-align:right}}</style></head><body>
<h1>Goodput and latency</h1>
<p>The shaded span is the trigger. Points are means of 0.5 s; the dotted line
is the slowest complete response.</p>
{body}
</body></html>
"""


def write_report(
    directory: Path, results_by_scenario: dict[str, dict], timeline: Timeline
) -> Path:
    """Write ``report.html`` and ``results.json``; return the HTML file.

    ``results_by_scenario`` maps a scenario to its ScenarioResult by version.
    """
    directory.mkdir(parents=True, exist_ok=True)
    body = [figures_table(results_by_scenario)]
    for scenario, versions in results_by_scenario.items():
        body.append(f"<h2>{escape(scenario)}</h2>")
        body.append(plot_html(versions, timeline))
    path = directory / "report.html"
    path.write_text(PAGE.format(body="\n".join(body)))
    raw = {
        scenario: {
            version: {"line": result.figures, "results": result.results}
            for version, result in versions.items()
        }
        for scenario, versions in results_by_scenario.items()
    }
    (directory / "results.json").write_text(json.dumps(raw))
    return path


def figures_table(results_by_scenario: dict[str, dict]) -> str:
    """Return the figures of all scenarios and versions as an HTML table."""
    lines = [
        result.figures
        for versions in results_by_scenario.values()
        for result in versions.values()
    ]
    head = "".join(f"<th>{escape(name)}</th>" for name in lines[0])
    rows = "".join(
        "<tr>"
        + "".join(f"<td>{escape(str(v))}</td>" for v in line.values())
        + "</tr>"
        for line in lines
    )
    return f"<table><tr>{head}</tr>{rows}</table>"


def plot_html(versions: dict, timeline: Timeline) -> str:
    """Return an HTML image that plots all versions of one scenario."""
    figure, (goodput, latency) = pyplot.subplots(
        1, 2, figsize=(12, 3.5), layout="constrained"
    )
    for version, result in versions.items():
        results = result.results
        goodput.plot(*request_rates(results["goodput"]), label=version)
        plot_latency(latency, results["latency"], version)
    goodput.plot(
        *request_rates(next(iter(versions.values())).results["offered"]),
        label="offered",
        color="0.7",
    )
    goodput.set_ylabel("complete requests/s")
    latency.set_ylabel("latency in ms")
    latency.set_yscale("log")
    for axes in (goodput, latency):
        axes.axvspan(timeline.before, timeline.trigger_end, color="0.92")
        axes.set_xlabel("seconds")
        axes.legend()
    image = io.BytesIO()
    figure.savefig(image, format="png", dpi=90)
    pyplot.close(figure)
    data = base64.b64encode(image.getvalue()).decode("ascii")
    return f'<img alt="plots" src="data:image/png;base64,{data}">'


def request_rates(series: dict[str, list[int]]) -> tuple[list, list]:
    """Return times in seconds and requests/s of all importance levels."""
    length = max(map(len, series.values()))
    sums = [
        sum(values[i] for values in series.values() if i < len(values))
        for i in range(length)
    ]
    times, rates = [], []
    for i in range(0, length, BUCKETS_PER_POINT):
        part = sums[i : i + BUCKETS_PER_POINT]
        times.append((i + len(part) / 2) * BUCKET_SECONDS)
        rates.append(sum(part) / len(part) / BUCKET_SECONDS)
    return times, rates


def plot_latency(axes, series: list[list[float]], version: str):
    """Plot the mean and the maximum latency in ms over time.

    ``series`` has a bucket of (count, sum, maximum) in seconds each 100 ms.
    """
    times, means, slowest = [], [], []
    for i in range(0, len(series), BUCKETS_PER_POINT):
        part = series[i : i + BUCKETS_PER_POINT]
        count = sum(cell[0] for cell in part)
        if not count:
            continue
        times.append((i + len(part) / 2) * BUCKET_SECONDS)
        means.append(1000 * sum(cell[1] for cell in part) / count)
        slowest.append(1000 * max(cell[2] for cell in part))
    (line,) = axes.plot(times, means, label=version)
    axes.plot(times, slowest, ":", color=line.get_color())
