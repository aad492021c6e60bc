"""Tables of runs and comparisons for the terminal (rich)."""

from __future__ import annotations

from collections.abc import Sequence

from rich.console import Console, Group
from rich.table import Table
from rich.text import Text

from limelatch.lab.figures import Figures
from limelatch.lab.report.compare import BETTER, WORSE, Row, verdict
from limelatch.lab.report.page import rows_of, unusable

STYLES = {BETTER: "green", WORSE: "red"}


def run_summary(figures: Figures) -> Group:
    """The summary of one run: its rules, figures and first breaches."""
    head = f"{figures.scenario}, stage {figures.stage}, {figures.subject}, seed {figures.seed}"
    table = Table(show_header=False, box=None, padding=(0, 2, 0, 0))
    for name, value in rows_of(figures):
        table.add_row(name, value)
    broken = {rule: count for rule, count in figures.breaches.items() if count}
    rules = (
        Text("rules kept", style="green")
        if not broken
        else Text(
            "BROKEN: " + ", ".join(f"{rule} {count} times" for rule, count in broken.items()),
            style="red bold",
        )
    )
    parts = [Text(head, style="bold"), rules, table]
    if not figures.usable:
        parts.append(Text(f"this run can't be used: {unusable(figures)}", style="red bold"))
    parts += [Text(line, style="red") for line in figures.breach_lines[:12]]
    return Group(*parts)


def runs_table(runs: Sequence[Figures]) -> Table:
    """A table with one line for each run."""
    table = Table(box=None, padding=(0, 2, 0, 0))
    for name in ("scenario", "subject", "seed"):
        table.add_column(name)
    for name in ("score", "service", "worst 10 s", "SLA", "p99 ms", "calls a text", "rules"):
        table.add_column(name, justify="right")
    for each in runs:
        broken = sum(each.breaches.values())
        outcome = "unusable" if not each.usable else f"{broken} broken" if broken else "kept"
        table.add_row(
            each.scenario,
            each.subject,
            str(each.seed),
            f"{each.score:.3f}",
            f"{each.service:.3f}",
            f"{each.worst_window:.3f}",
            f"{each.sla_share:.3f}",
            f"{each.latency.get('p99', float('nan')):.0f}",
            f"{each.calls_a_text:.2f}",
            Text(outcome, style="green" if outcome == "kept" else "red"),
        )
    return table


def comparison(rows: Sequence[Row], a: str, b: str) -> Group:
    """The table of a comparison, with the verdict at the end."""
    table = Table(box=None, padding=(0, 2, 0, 0))
    table.add_column("scenario, figure")
    for name in ("A", "B", "B less A", "interval"):
        table.add_column(name, justify="right")
    table.add_column("")
    for row in rows:
        table.add_row(
            row.name,
            f"{row.a:.4g}",
            f"{row.b:.4g}",
            f"{row.mean:+.4g}",
            f"{row.low:+.4g} .. {row.high:+.4g}",
            Text(row.outcome, style=STYLES.get(row.outcome, "dim")),
        )
    return Group(Text(f"A: {a}\nB: {b}", style="dim"), table, Text(verdict(rows), style="bold"))


def console() -> Console:
    """The console for the output; 140 columns wide if standard output is not a terminal."""
    terminal = Console()
    return terminal if terminal.is_terminal else Console(width=140, force_terminal=False)
