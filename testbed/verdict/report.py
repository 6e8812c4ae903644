"""What a play looked like: one HTML page with plots, and tables of plays side by side."""

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

from testbed.play.play import RESULT, Result  # noqa: E402
from testbed.verdict.judge import LATENCY_DIGITS, MAX_LATENCY_US, MIN_LATENCY_US  # noqa: E402
from testbed.verdict.records import Event, read  # noqa: E402

STEP_S = 0.5
ENDS = ("served", "refused", "failed", "broken", "unreached", "silent")
COLOURS = dict(zip(ENDS, ("#2a9d4a", "#e9a23b", "#c0392b", "#7d3c98", "#7f8c8d", "#111111"), strict=True))
BANDS = {"starting": "#e9a23b", "up": "#2a9d4a", "stopped": "#7f8c8d", "ending": "#5b8ff9", "down": "#c0392b"}
WIDTH_IN, ROW_IN = 11.0, 2.6
MOST_BANDS = 60  # gateways, or backends, that have a row of their own
POINTS = (50, 75, 90, 95, 99, 99.5, 99.9, 100)


class ReportError(Exception):
    """A folder holds no play that can be shown."""


def load_result(folder: Path) -> Result:
    try:
        return msgspec.json.decode((folder / RESULT).read_bytes(), type=Result)
    except (OSError, msgspec.MsgspecError) as error:
        raise ReportError(f"{folder}: no result of a play: {error}") from error


def compare(named: dict[str, list[Path]]) -> dict[str, list[dict[str, float] | None]]:
    """By figure: the least, the median and the most of each set of plays; None where none has it."""
    sets = [[load_result(folder) for folder in folders] for folders in named.values()]
    figures: dict[str, None] = {}
    for plays in sets:
        for one in plays:
            figures |= dict.fromkeys(one.figures) | {f"lab: {name}": None for name in one.lab}
    rows: dict[str, list[dict[str, float] | None]] = {}
    for name in sorted(figures):
        rows[name] = []
        for plays in sets:
            found = [value for one in plays if (value := figure_of(one, name)) is not None]
            row = {"min": min(found), "median": median(found), "max": max(found)} if found else None
            rows[name].append(row)
    return rows


def figure_of(one: Result, name: str) -> float | None:
    return one.lab.get(name.removeprefix("lab: ")) if name.startswith("lab: ") else one.figures.get(name)


class Story:
    """The events of a play, sorted by what they are drawn for."""

    def __init__(self, events: list[Event]) -> None:
        self.play: Event = {}
        self.answers: dict[str, list[float]] = defaultdict(list)
        self.offered: list[float] = []
        self.refused: dict[str, list[float]] = defaultdict(list)
        self.loads: list[Event] = []
        self.lives: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.faults: list[Event] = []
        self.latency = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS)
        asked: dict[str, Event] = {}
        for event in events:
            match event["e"]:
                case "play":
                    self.play = event
                case "ask":
                    asked[event["id"]] = event
                    self.offered.append(event["t"])
                case "ans":
                    self.answers[event["how"]].append(event["t"])
                    if event["how"] == "served" and event["id"] in asked:
                        took = int((event["t"] - asked[event["id"]]["t"]) * 1e6)
                        self.latency.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, took)))
                    if event["how"] == "refused" and event["id"] in asked:
                        self.refused[asked[event["id"]]["cls"]].append(event["t"])
                case "load":
                    self.loads.append(event)
                case "life":
                    self.lives[event["g"]].append((event["t"], event["what"]))
                case "fault":
                    self.faults.append(event)
        if not self.play:
            raise ReportError("the record does not begin with a play")
        self.until = float(self.play["duration_s"])


def write_report(folder: Path, page: Path) -> Path:
    """Draw the play of a folder; a play that was interrupted is drawn as far as it goes."""
    story = Story(list(read(folder)))
    try:
        result = load_result(folder)
    except ReportError:
        result = None
    pictures = [
        ("Requests each half second: offered, and how they ended", picture(draw_ends, story)),
        ("Refused each half second, by class", picture(draw_refused, story)),
        ("Load against capacity, by zone", picture(draw_zones, story)),
        ("Load against capacity, by backend", picture(draw_backends, story)),
        ("Gateways: their lives and states", picture(draw_lives, story)),
        ("Latency of what was served", picture(draw_latency, story)),
    ]
    name = f"{story.play['scenario']} seed {story.play['seed']}"
    parts = [
        "<!doctype html><meta charset='utf-8'>",
        f"<title>{html.escape(name)}</title>",
        "<style>body{font:15px sans-serif;max-width:1200px;margin:2em auto}"
        "td,th{padding:2px 12px;text-align:left}img{max-width:100%}</style>",
        f"<h1>{html.escape(name)}</h1><p>digest {html.escape(str(story.play['digest']))}</p>",
    ]
    if result is not None:
        parts.append(f"<p>verdict {result.verdict}</p><ul>")
        parts += [f"<li>{html.escape(line)}</li>" for line in result.why]
        parts.append("</ul>")
    parts += [
        f"<h2>{title}</h2><img alt='{title}' src='data:image/png;base64,{data}'>" for title, data in pictures
    ]
    if result is not None:
        rows = [(n, f"{v:g}") for n, v in (result.figures | result.lab).items()]
        parts.append("<h2>Figures</h2>" + html_table(rows))
        found = [(f"{b['at']:.3f} s", b["rule"], b["what"], b["request"]) for b in result.breaches]
        parts.append("<h2>Breaches</h2>" + html_table(found))
    page.write_text("\n".join(parts))
    return page


def html_table(rows: Iterable[tuple[str, ...]]) -> str:
    cells = ("<tr>" + "".join(f"<td>{html.escape(c)}</td>" for c in row) + "</tr>" for row in rows)
    return f"<table>{''.join(cells)}</table>"


def picture(draw: Any, story: Story) -> str:
    """One plot as base64 of a PNG."""
    figure = draw(story)
    held = io.BytesIO()
    figure.savefig(held, format="png", dpi=90, bbox_inches="tight")
    plt.close(figure)
    return base64.b64encode(held.getvalue()).decode()


def edges(story: Story) -> Any:
    return np.arange(0.0, story.until + STEP_S, STEP_S)


def mark_faults(axes: Axes, story: Story) -> None:
    for fault in story.faults:
        if fault["begins"]:
            axes.axvline(fault["t"], color="#c0392b", lw=0.8, ls=":")
            text = f"{fault['kind']} {fault['what']}".strip()
            axes.text(fault["t"], 1.0, text, transform=axes.get_xaxis_transform(), fontsize=7, rotation=30)
    axes.set_xlim(0, story.until)


def draw_ends(story: Story) -> Any:
    figure, axes = plt.subplots(figsize=(WIDTH_IN, ROW_IN * 1.4))
    steps = edges(story)
    offered, _ = np.histogram(story.offered, steps)
    axes.step(steps[:-1], offered, where="post", color="#1f4e9c", lw=1.2, label="offered")
    floor = np.zeros(len(steps) - 1)
    for how in ENDS:
        counts, _ = np.histogram(story.answers.get(how, []), steps)
        if counts.any():
            axes.bar(steps[:-1], counts, STEP_S, bottom=floor, align="edge", color=COLOURS[how], label=how)
            floor = floor + counts
    mark_faults(axes, story)
    axes.legend(fontsize=8, loc="upper right")
    axes.set_xlabel("s")
    return figure


def draw_refused(story: Story) -> Any:
    figure, axes = plt.subplots(figsize=(WIDTH_IN, ROW_IN))
    for name, times in sorted(story.refused.items()):
        counts, _ = np.histogram(times, edges(story))
        axes.step(edges(story)[:-1], counts, where="post", label=name)
    mark_faults(axes, story)
    if story.refused:
        axes.legend(fontsize=8)
    return figure


def loads(story: Story, names: list[str]) -> tuple[Any, Any, Any]:
    """Times, and the work done and the capacity of these backends together, in cores."""
    times = np.array([event["t"] for event in story.loads])
    used = np.array([sum(event["of"][n][0] for n in names) for event in story.loads]) / 1000
    can = np.array([sum(event["of"][n][1] for n in names) for event in story.loads]) / 1000
    return times, used, can


def draw_groups(story: Story, groups: dict[str, list[str]]) -> Any:
    height = ROW_IN * 0.55 * len(groups) + 1
    figure, rows = plt.subplots(len(groups), figsize=(WIDTH_IN, height), sharex=True, squeeze=False)
    for axes, (title, names) in zip(rows[:, 0], groups.items(), strict=True):
        times, used, can = loads(story, names)
        axes.fill_between(times, can, color="#dfe7f3", step="post")
        axes.step(times, used, where="post", color="#1f4e9c", lw=1)
        axes.set_ylabel(title, fontsize=8)
        mark_faults(axes, story)
    return figure


def draw_zones(story: Story) -> Any:
    groups: dict[str, list[str]] = defaultdict(list)
    for name, zone, _ in story.play["backends"]:
        groups[f"zone {zone}"].append(name)
    return draw_groups(story, groups)


def draw_backends(story: Story) -> Any:
    return draw_groups(story, {name: [name] for name, _, _ in story.play["backends"][:MOST_BANDS]})


STATES = {
    "start": "starting",
    "ready": "up",
    "stop": "stopped",
    "cont": "up",
    "term": "ending",
    "kill": "down",
    "power": "down",
    "exit": "down",
}


def draw_lives(story: Story) -> Any:
    names = list(story.play["gateways"])[:MOST_BANDS]
    figure, axes = plt.subplots(figsize=(WIDTH_IN, 0.22 * len(names) + 1.2))
    for row, name in enumerate(names):
        changes = [(t, STATES[what]) for t, what in story.lives.get(name, []) if what in STATES]
        # What came before the load began is drawn as the state at its beginning.
        before = [state for t, state in changes if t <= 0]
        spans = [(0.0, before[-1] if before else "up"), *((t, s) for t, s in changes if 0 < t <= story.until)]
        for (begins, state), (ends, _) in zip(spans, [*spans[1:], (story.until, "")], strict=True):
            axes.broken_barh([(begins, ends - begins)], (row - 0.4, 0.8), facecolors=BANDS[state])
    axes.set_yticks(range(len(names)), names, fontsize=7)
    for state, colour in BANDS.items():
        axes.bar([0], [0], color=colour, label=state)
    axes.legend(fontsize=7, loc="upper right", ncols=len(BANDS))
    mark_faults(axes, story)
    return figure


def draw_latency(story: Story) -> Any:
    figure, axes = plt.subplots(figsize=(WIDTH_IN * 0.6, ROW_IN))
    values = [story.latency.get_value_at_percentile(point) / 1000 for point in POINTS]
    axes.plot(range(len(POINTS)), values, marker="o", color="#1f4e9c")
    axes.set_xticks(range(len(POINTS)), [f"{point:g}%" for point in POINTS])
    axes.set_ylabel("ms")
    return figure
