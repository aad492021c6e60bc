"""Plots of a run as SVG for embedding in a page (matplotlib). The same figures give the same bytes."""

from __future__ import annotations

import io
from collections import defaultdict

import matplotlib
import numpy as np

matplotlib.use("svg")
import matplotlib.pyplot as plt  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from limelatch.lab.figures import Figures, Interval  # noqa: E402

WIDTH = 10.0  # inches
HEIGHT = 2.6  # inches
MAX_TIMELINE_ROWS = 30  # hosts and relays in the timeline
FATE_COLOURS = {
    "delivered": "#4c9f70",
    "refused": "#e0a030",
    "failed": "#c0504d",
    "reset": "#8064a2",
    "garbled": "#7f6000",
    "given up": "#606060",
}
CONDITION_COLOURS = {
    "out": "#c0504d",
    "cold": "#7fb2e5",
    "fallen": "#000000",
    "killed": "#303030",
    "wiped": "#303030",
    "stopping": "#909090",
}
BELIEF_COLOURS = {"sick": "#e07b39", "warming": "#f1d36b"}
plt.rcParams.update(
    {
        "svg.hashsalt": "limelatch",
        "font.size": 9,
        "axes.spines.top": False,
        "axes.spines.right": False,
        "svg.fonttype": "none",
    }
)


def svg(figure: Figure) -> str:
    """Render the figure as one SVG element, and close it."""
    target = io.StringIO()
    figure.savefig(target, format="svg", metadata={"Date": None}, bbox_inches="tight")
    plt.close(figure)
    text = target.getvalue()
    return text[text.index("<svg") :]


def panel(rows: float = 1.0) -> tuple[Figure, Axes]:
    """A figure of the usual width, `rows` times the usual height, with its axes."""
    return plt.subplots(figsize=(WIDTH, HEIGHT * rows))


def shade_faults(axes: Axes, faults: list[Interval]) -> None:
    """Shade the times of the faults in the background of a plot."""
    for each in faults:
        axes.axvspan(each.begin, max(each.end, each.begin + 0.1), color="#d0d0d0", alpha=0.35, lw=0)


def second_axis(figures: Figures) -> np.ndarray:
    """The seconds of a run, as x values."""
    return np.arange(len(figures.seconds))


def revenue(figures: Figures) -> str:
    """Revenue asked and earned, by the second in which the texts were submitted."""
    figure, axes = panel()
    at = second_axis(figures)
    shade_faults(axes, figures.faults)
    axes.step(at, [each.asked for each in figures.seconds], where="post", color="#909090", label="asked")
    axes.step(at, [each.earned for each in figures.seconds], where="post", color="#4c9f70", label="earned")
    axes.set(ylabel="revenue a second", xlabel="s", xlim=(0, len(at)), ylim=(0, None))
    axes.legend(loc="upper right", frameon=False)
    return svg(figure)


def latency(figures: Figures) -> str:
    """Time until delivery, by the second in which the texts were submitted."""
    figure, axes = panel()
    at = second_axis(figures)
    shade_faults(axes, figures.faults)
    for name, colour in (("p50", "#3a6ea5"), ("p99", "#c0504d")):
        values = [getattr(each, name) or np.nan for each in figures.seconds]
        axes.plot(at, values, color=colour, label=name, lw=1.2)
    axes.set(ylabel="ms until delivery", xlabel="s", xlim=(0, len(at)))
    axes.set_yscale("log")
    axes.legend(loc="upper right", frameon=False)
    return svg(figure)


def calls(figures: Figures) -> str:
    """Texts in calls, by their outcome."""
    figure, axes = panel()
    at = second_axis(figures)
    shade_faults(axes, figures.faults)
    names = [name for name in FATE_COLOURS if any(each.fates.get(name) for each in figures.seconds)]
    stack = [[each.fates.get(name, 0) for each in figures.seconds] for name in names]
    if stack:
        axes.stackplot(at, stack, labels=names, colors=[FATE_COLOURS[name] for name in names], lw=0)
        axes.legend(loc="upper right", frameon=False, ncols=3)
    axes.set(ylabel="texts in calls a second", xlabel="s", xlim=(0, len(at)), ylim=(0, None))
    return svg(figure)


def held_texts(figures: Figures) -> str:
    """Texts that the relays hold, with the memory of the largest relay if the run recorded it."""
    figure, axes = panel()
    at = second_axis(figures)
    shade_faults(axes, figures.faults)
    axes.plot(at, [each.held for each in figures.seconds], color="#3a6ea5", label="texts held")
    axes.set(ylabel="texts held", xlabel="s", xlim=(0, len(at)), ylim=(0, None))
    if figures.memory:
        memory_axes = axes.twinx()
        values = [each.memory / 1e6 or np.nan for each in figures.seconds]
        memory_axes.plot(at, values, color="#8064a2", lw=1, label="MB, largest relay")
        memory_axes.set(ylabel="MB", ylim=(0, None))
        memory_axes.legend(loc="lower right", frameon=False)
    axes.legend(loc="upper right", frameon=False)
    return svg(figure)


def timeline(figures: Figures) -> str:
    """The conditions of hosts and relays, and for each what the relays believed of it."""
    conditions: dict[str, list[Interval]] = defaultdict(list)
    for each in figures.conditions:
        conditions[each.subject].append(each)
    beliefs: dict[str, list[Interval]] = defaultdict(list)
    for each in figures.beliefs:
        beliefs[each.subject.partition(" at relay ")[0]].append(each)
    order = sorted(set(conditions) | set(beliefs), key=lambda name: (name not in conditions, name))
    left_out = len(order) - MAX_TIMELINE_ROWS
    order = order[:MAX_TIMELINE_ROWS]
    figure, axes = panel(max(0.6, (len(order) + len(figures.faults)) * 0.09))
    names = [each.subject for each in figures.faults] + order
    for row, each in enumerate(figures.faults):
        axes.barh(row, max(each.end - each.begin, 0.2), left=each.begin, color="#b0b0b0", height=0.5)
    relays = max(1, len({each.subject for each in figures.beliefs}))
    for row, name in enumerate(order, start=len(figures.faults)):
        for each in conditions.get(name, []):
            axes.barh(
                row + 0.2,
                max(each.end - each.begin, 0.1),
                left=each.begin,
                height=0.35,
                color=CONDITION_COLOURS.get(each.what, "#404040"),
            )
        for each in beliefs.get(name, []):
            axes.barh(
                row - 0.2,
                max(each.end - each.begin, 0.1),
                left=each.begin,
                height=0.35,
                lw=0,
                color=BELIEF_COLOURS.get(each.what, "#404040"),
                alpha=max(0.15, min(1.0, 4 / relays)),
            )
    axes.set_yticks(range(len(names)), names, fontsize=7)
    axes.set_ylim(len(names) - 0.4, -0.6)
    axes.set(
        xlabel="s" + (f" ({left_out} more hosts left out)" if left_out > 0 else ""),
        xlim=(0, len(figures.seconds)),
    )
    legend_entries = [
        ("out", CONDITION_COLOURS["out"]),
        ("cold", CONDITION_COLOURS["cold"]),
        ("believed sick", BELIEF_COLOURS["sick"]),
        ("believed warming", BELIEF_COLOURS["warming"]),
    ]
    handles = [plt.Rectangle((0, 0), 1, 1, color=colour) for _, colour in legend_entries]
    axes.legend(
        handles,
        [label for label, _ in legend_entries],
        loc="upper center",
        bbox_to_anchor=(0.5, 1.0),
        ncols=4,
        frameon=False,
        fontsize=7,
    )
    return svg(figure)


def curve(
    label: str,
    values: list[float],
    means: dict[str, list[float]],
    errors: dict[str, list[float]],
    ylabel: str,
) -> str:
    """The plot of a sweep: a figure over a parameter, with one line and its intervals for each subject."""
    figure, axes = panel(1.3)
    for name, mean in means.items():
        axes.errorbar(values, mean, yerr=errors[name], marker="o", ms=3, capsize=2, lw=1.2, label=name)
    axes.set(xlabel=label, ylabel=ylabel)
    axes.legend(frameon=False)
    return svg(figure)


def differences(names: list[str], means: list[float], lows: list[float], highs: list[float]) -> str:
    """The plot of a comparison: the difference of each figure with its interval."""
    figure, axes = panel(max(0.5, 0.16 * len(names)))
    at = np.arange(len(names))
    errors = [np.array(means) - np.array(lows), np.array(highs) - np.array(means)]
    axes.errorbar(means, at, xerr=errors, fmt="o", ms=4, capsize=3, color="#3a6ea5")
    axes.axvline(0, color="#909090", lw=0.8)
    axes.set_yticks(at, names, fontsize=8)
    axes.set_ylim(len(names) - 0.5, -0.5)
    axes.set(xlabel="B less A")
    return svg(figure)
