"""The report of a play: one HTML page with plots, and a table that compares sets of plays."""

from __future__ import annotations

import base64
import html
import io
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from statistics import median
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
import msgspec  # noqa: E402
import numpy as np  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402

from testbed.play.play import RESULT_FILE, Result  # noqa: E402
from testbed.verdict.judge import LATENCY_DIGITS, MAX_LATENCY_US, MIN_LATENCY_US  # noqa: E402
from testbed.verdict.records import Event, read  # noqa: E402

# Width of the bins of the plots over time.
BIN_S = 0.5
OUTCOMES = ("served", "refused", "failed", "broken", "unreached", "silent")
OUTCOME_COLOURS = dict(
    zip(OUTCOMES, ("#2a9d4a", "#e9a23b", "#c0392b", "#7d3c98", "#7f8c8d", "#111111"), strict=True)
)
STATE_COLOURS = {
    "starting": "#e9a23b",
    "up": "#2a9d4a",
    "stopped": "#7f8c8d",
    "ending": "#5b8ff9",
    "down": "#c0392b",
}
# Sizes of plots in inches.
WIDTH_IN, ROW_HEIGHT_IN = 11.0, 2.6
# Gateways or backends that are drawn in a row of their own; the rest are left out.
MAX_ROWS = 60
# Percentiles of the latency that are drawn.
PERCENTILES = (50, 75, 90, 95, 99, 99.5, 99.9, 100)


class ReportError(Exception):
    """A folder has no record or result of a play that can be shown."""


def load_result(folder: Path) -> Result:
    """Read the result of the play in a folder. Raises ReportError."""
    try:
        return msgspec.json.decode((folder / RESULT_FILE).read_bytes(), type=Result)
    except (OSError, msgspec.MsgspecError) as error:
        raise ReportError(f"{folder}: no valid result of a play: {error}") from error


def compare(named: dict[str, list[Path]]) -> dict[str, list[dict[str, float] | None]]:
    """By figure: `min`, `median` and `max` of each set of plays.

    The entry of a set is None if none of its plays has the figure. Raises ReportError.
    """
    sets = [[load_result(folder) for folder in folders] for folders in named.values()]
    figures: dict[str, None] = {}
    for plays in sets:
        for result in plays:
            figures |= dict.fromkeys(result.figures) | {f"lab: {name}": None for name in result.lab}
    rows: dict[str, list[dict[str, float] | None]] = {}
    for name in sorted(figures):
        rows[name] = []
        for plays in sets:
            values = [value for result in plays if (value := figure_value(result, name)) is not None]
            row = {"min": min(values), "median": median(values), "max": max(values)} if values else None
            rows[name].append(row)
    return rows


def figure_value(result: Result, name: str) -> float | None:
    """A figure of a play, or with the prefix "lab: " one of the test bed itself; None if it is not there."""
    return (
        result.lab.get(name.removeprefix("lab: ")) if name.startswith("lab: ") else result.figures.get(name)
    )


class PlayEvents:
    """The events of a play, grouped by the plot that shows them. Times: seconds from the start of the load.

    Raises ReportError if the record has no `play` event.
    """

    def __init__(self, events: list[Event]) -> None:
        self.play: Event = {}
        # By outcome.
        self.answers_at_s: dict[str, list[float]] = defaultdict(list)
        self.offered_at_s: list[float] = []
        # By class.
        self.refused_at_s: dict[str, list[float]] = defaultdict(list)
        self.load_events: list[Event] = []
        # By gateway: time and kind of each `life` event.
        self.life_events: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.fault_events: list[Event] = []
        self.latency = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS)
        ask_events: dict[str, Event] = {}
        for event in events:
            match event["e"]:
                case "play":
                    self.play = event
                case "ask":
                    ask_events[event["id"]] = event
                    self.offered_at_s.append(event["t"])
                case "ans":
                    self.answers_at_s[event["how"]].append(event["t"])
                    if event["how"] == "served" and event["id"] in ask_events:
                        latency_us = int((event["t"] - ask_events[event["id"]]["t"]) * 1e6)
                        self.latency.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, latency_us)))
                    if event["how"] == "refused" and event["id"] in ask_events:
                        self.refused_at_s[ask_events[event["id"]]["cls"]].append(event["t"])
                case "load":
                    self.load_events.append(event)
                case "life":
                    self.life_events[event["g"]].append((event["t"], event["what"]))
                case "fault":
                    self.fault_events.append(event)
        if not self.play:
            raise ReportError("the record has no play event: expected it at the beginning")
        self.duration_s = float(self.play["duration_s"])


def write_report(folder: Path, page: Path) -> Path:
    """Write the HTML report of the play in a folder to `page`, and return `page`.

    A play that was interrupted is drawn up to its last event. Raises ReportError or RecordError.
    """
    events = PlayEvents(list(read(folder)))
    try:
        result = load_result(folder)
    except ReportError:
        result = None
    plots = [
        ("Requests each half second: offered, and how they ended", plot_as_png(draw_outcomes, events)),
        ("Refused each half second, by class", plot_as_png(draw_refused, events)),
        ("Load against capacity, by zone", plot_as_png(draw_zones, events)),
        ("Load against capacity, by backend", plot_as_png(draw_backends, events)),
        ("Gateways: their lives and states", plot_as_png(draw_lives, events)),
        ("Latency of what was served", plot_as_png(draw_latency, events)),
    ]
    name = f"{events.play['scenario']} seed {events.play['seed']}"
    parts = [
        "<!doctype html><meta charset='utf-8'>",
        f"<title>{html.escape(name)}</title>",
        "<style>body{font:15px sans-serif;max-width:1200px;margin:2em auto}"
        "td,th{padding:2px 12px;text-align:left}img{max-width:100%}</style>",
        f"<h1>{html.escape(name)}</h1><p>digest {html.escape(str(events.play['digest']))}</p>",
    ]
    if result is not None:
        parts.append(f"<p>verdict {result.verdict}</p><ul>")
        parts += [f"<li>{html.escape(line)}</li>" for line in result.why]
        parts.append("</ul>")
    parts += [
        f"<h2>{title}</h2><img alt='{title}' src='data:image/png;base64,{data}'>" for title, data in plots
    ]
    if result is not None:
        rows = [(n, f"{v:g}") for n, v in (result.figures | result.lab).items()]
        parts.append("<h2>Figures</h2>" + html_table(rows))
        breaches = [(f"{b['at']:.3f} s", b["rule"], b["what"], b["request"]) for b in result.breaches]
        parts.append("<h2>Breaches</h2>" + html_table(breaches))
    page.write_text("\n".join(parts))
    return page


def html_table(rows: Iterable[tuple[str, ...]]) -> str:
    cells = ("<tr>" + "".join(f"<td>{html.escape(c)}</td>" for c in row) + "</tr>" for row in rows)
    return f"<table>{''.join(cells)}</table>"


def plot_as_png(draw: Any, events: PlayEvents) -> str:
    """Draw one plot and return it as a PNG in base64."""
    figure = draw(events)
    image = io.BytesIO()
    figure.savefig(image, format="png", dpi=90, bbox_inches="tight")
    plt.close(figure)
    return base64.b64encode(image.getvalue()).decode()


def bin_edges(events: PlayEvents) -> Any:
    """Edges of the bins over the time of the play, in seconds."""
    return np.arange(0.0, events.duration_s + BIN_S, BIN_S)


def mark_faults(axes: Axes, events: PlayEvents) -> None:
    """Mark the beginning of each fault with a line, and set the time axis to the duration of the play."""
    for fault in events.fault_events:
        if fault["begins"]:
            axes.axvline(fault["t"], color="#c0392b", lw=0.8, ls=":")
            text = f"{fault['kind']} {fault['what']}".strip()
            axes.text(fault["t"], 1.0, text, transform=axes.get_xaxis_transform(), fontsize=7, rotation=30)
    axes.set_xlim(0, events.duration_s)


def draw_outcomes(events: PlayEvents) -> Any:
    """Draw the tries that clients sent, and the answers by outcome, in each bin."""
    figure, axes = plt.subplots(figsize=(WIDTH_IN, ROW_HEIGHT_IN * 1.4))
    edges = bin_edges(events)
    offered, _ = np.histogram(events.offered_at_s, edges)
    axes.step(edges[:-1], offered, where="post", color="#1f4e9c", lw=1.2, label="offered")
    bar_bottom = np.zeros(len(edges) - 1)
    for how in OUTCOMES:
        counts, _ = np.histogram(events.answers_at_s.get(how, []), edges)
        if counts.any():
            axes.bar(
                edges[:-1],
                counts,
                BIN_S,
                bottom=bar_bottom,
                align="edge",
                color=OUTCOME_COLOURS[how],
                label=how,
            )
            bar_bottom = bar_bottom + counts
    mark_faults(axes, events)
    axes.legend(fontsize=8, loc="upper right")
    axes.set_xlabel("s")
    return figure


def draw_refused(events: PlayEvents) -> Any:
    """Draw the refused tries of each class in each bin."""
    figure, axes = plt.subplots(figsize=(WIDTH_IN, ROW_HEIGHT_IN))
    for name, times in sorted(events.refused_at_s.items()):
        counts, _ = np.histogram(times, bin_edges(events))
        axes.step(bin_edges(events)[:-1], counts, where="post", label=name)
    mark_faults(axes, events)
    if events.refused_at_s:
        axes.legend(fontsize=8)
    return figure


def work_and_capacity(events: PlayEvents, names: list[str]) -> tuple[Any, Any, Any]:
    """Times in seconds, and the work done and the capacity of all these backends together, both in cores."""
    times = np.array([event["t"] for event in events.load_events])
    used = np.array([sum(event["of"][n][0] for n in names) for event in events.load_events]) / 1000
    capacity = np.array([sum(event["of"][n][1] for n in names) for event in events.load_events]) / 1000
    return times, used, capacity


def draw_groups(events: PlayEvents, groups: dict[str, list[str]]) -> Any:
    """Draw work and capacity over time, with one plot for each group of backends."""
    height = ROW_HEIGHT_IN * 0.55 * len(groups) + 1
    figure, rows = plt.subplots(len(groups), figsize=(WIDTH_IN, height), sharex=True, squeeze=False)
    for axes, (title, names) in zip(rows[:, 0], groups.items(), strict=True):
        times, used, capacity = work_and_capacity(events, names)
        axes.fill_between(times, capacity, color="#dfe7f3", step="post")
        axes.step(times, used, where="post", color="#1f4e9c", lw=1)
        axes.set_ylabel(title, fontsize=8)
        mark_faults(axes, events)
    return figure


def draw_zones(events: PlayEvents) -> Any:
    groups: dict[str, list[str]] = defaultdict(list)
    for name, zone, _ in events.play["backends"]:
        groups[f"zone {zone}"].append(name)
    return draw_groups(events, groups)


def draw_backends(events: PlayEvents) -> Any:
    return draw_groups(events, {name: [name] for name, _, _ in events.play["backends"][:MAX_ROWS]})


# State of a gateway after each kind of `life` event.
STATE_AFTER_EVENT = {
    "start": "starting",
    "ready": "up",
    "stop": "stopped",
    "cont": "up",
    "term": "ending",
    "kill": "down",
    "power": "down",
    "exit": "down",
}


def draw_lives(events: PlayEvents) -> Any:
    """Draw the state of each gateway over time, as a row of coloured spans."""
    names = list(events.play["gateways"])[:MAX_ROWS]
    figure, axes = plt.subplots(figsize=(WIDTH_IN, 0.22 * len(names) + 1.2))
    for row, name in enumerate(names):
        changes = [
            (t, STATE_AFTER_EVENT[what])
            for t, what in events.life_events.get(name, [])
            if what in STATE_AFTER_EVENT
        ]
        # The last state before the load is drawn as the state at its beginning.
        earlier = [state for t, state in changes if t <= 0]
        spans = [
            (0.0, earlier[-1] if earlier else "up"),
            *((t, s) for t, s in changes if 0 < t <= events.duration_s),
        ]
        for (begins, state), (ends, _) in zip(spans, [*spans[1:], (events.duration_s, "")], strict=True):
            axes.broken_barh([(begins, ends - begins)], (row - 0.4, 0.8), facecolors=STATE_COLOURS[state])
    axes.set_yticks(range(len(names)), names, fontsize=7)
    for state, colour in STATE_COLOURS.items():
        axes.bar([0], [0], color=colour, label=state)
    axes.legend(fontsize=7, loc="upper right", ncols=len(STATE_COLOURS))
    mark_faults(axes, events)
    return figure


def draw_latency(events: PlayEvents) -> Any:
    """Draw percentiles of the latency of served tries, in milliseconds."""
    figure, axes = plt.subplots(figsize=(WIDTH_IN * 0.6, ROW_HEIGHT_IN))
    values = [events.latency.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES]
    axes.plot(range(len(PERCENTILES)), values, marker="o", color="#1f4e9c")
    axes.set_xticks(range(len(PERCENTILES)), [f"{percentile:g}%" for percentile in PERCENTILES])
    axes.set_ylabel("ms")
    return figure
