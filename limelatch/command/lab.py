"""`limelatch lab`: the test laboratory, which needs the extra `limelatch[lab]`."""

from __future__ import annotations

import os
import sys
import tempfile
from contextlib import contextmanager
from pathlib import Path

import click

from limelatch.command import CHECK_FAILED, USAGE_ERROR, CheckFailed, UsageError
from limelatch.command.membership import membership
from limelatch.command.mutants import mutants
from limelatch.command.scale import scale
from limelatch.command.soak import soak
from limelatch.command.text import Duration, address_of

SCENARIO = click.argument("scenario", metavar="SCENARIO")
STAGE = click.option(
    "--stage",
    type=click.Choice(["fleet", "sockets"]),
    default="fleet",
    show_default=True,
    help="Decision modules in virtual time, or relay processes on loopback.",
)
SEEDS = click.option(
    "--seeds", default="1-4", show_default=True, metavar="LIST", help="Such as 1-8 or 1,5,9."
)
PROCESSES = click.option(
    "--processes",
    type=click.IntRange(1),
    default=os.cpu_count() or 1,
    show_default=True,
    help="Runs at once, on the fleet stage.",
)
FOLDER = click.option("--folder", default="runs", show_default=True, help="The directory for records.")
QUIET = click.option("--quiet", is_flag=True, help="Show no progress.")


@click.group()
def lab() -> None:
    """Run fleets of relays against failing partners, and measure the effect of a change.

    SCENARIO is a file, or a name in the library (`limelatch lab scenarios`).
    """
    try:
        import numpy  # noqa: F401
        import zstandard  # noqa: F401
    except ImportError as error:
        raise UsageError(f"the laboratory is an extra: pip install 'limelatch[lab]' ({error})") from None


def scenario_of(name: str) -> tuple[str, str]:
    """Name and text of a scenario; its errors are printed, and end the command with exit code 2."""
    from limelatch.configuration import ConfigurationError, Form
    from limelatch.configuration.files import error_lines
    from limelatch.lab.scenario.load import parse, text_of

    path = name
    try:
        path, text = text_of(name)
        return parse(path, text).scenario.name, text
    except ConfigurationError as error:
        for line in error_lines(error, path, Form.TOML):
            click.echo(line, err=True)
        raise SystemExit(USAGE_ERROR) from None


def seeds(word: str) -> list[int]:
    """The seeds in a list. Raises UsageError for an invalid list."""
    from limelatch.lab.experiments import seeds_of

    try:
        return seeds_of(word)
    except ValueError:
        raise UsageError(f"{word!r} is no list of seeds such as 1-8 or 1,5,9") from None


@contextmanager
def progress(quiet: bool):
    """A progress bar: a function that takes a label and the share that is done."""
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    if quiet or not sys.stderr.isatty():
        yield lambda label, part: None
        return
    from rich.console import Console

    with Progress(
        TextColumn("{task.description:<40}"),
        BarColumn(),
        TimeElapsedColumn(),
        console=Console(stderr=True),
        transient=True,
    ) as bar:
        task = bar.add_task("", total=1.0)
        yield lambda label, part: bar.update(task, description=label[:40], completed=part)


def play(plans: list, processes: int, quiet: bool) -> list:
    """Run the plans and return their figures. Raises CheckFailed where a run fails."""
    from limelatch.lab.experiments import RunFailed, run_all
    from limelatch.lab.stages.errors import StageError

    try:
        with progress(quiet) as bar:
            return run_all(plans, processes, bar)
    except (RunFailed, StageError) as error:
        raise CheckFailed(str(error)) from None
    except KeyboardInterrupt:
        click.echo("interrupted; the record has the part that was run", err=True)
        raise SystemExit(130) from None


@lab.command()
def scenarios() -> None:
    """List the scenarios of the library, each with its purpose."""
    from limelatch.lab.scenario import library, load

    for name, _ in library():
        click.echo(f"{name:<18} {load(name).scenario.about}")


@lab.command()
@SCENARIO
def show(scenario: str) -> None:
    """Print a scenario's file."""
    click.echo(scenario_of(scenario)[1], nl=False)


@lab.command()
@click.argument("paths", metavar="SCENARIO...", nargs=-1, required=True)
def check(paths: tuple[str, ...]) -> None:
    """Report every error in scenarios, with its line; exit 2 if one can't be run."""
    from limelatch.configuration.files import error_line
    from limelatch.lab.scenario.load import doubts, parse

    any_unusable = False
    for path in paths:
        try:
            name, text = scenario_of(path)
        except SystemExit:
            any_unusable = True
            continue
        for warning in doubts(parse(path, text)):
            click.echo(f"doubt: {error_line(path, warning)}", err=True)
        click.echo(f"{path}: good ({name})")
    if any_unusable:
        raise SystemExit(USAGE_ERROR)


@lab.command()
@SCENARIO
@STAGE
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--subject",
    default="module",
    show_default=True,
    help="On the fleet stage: module, one-try, fixed-retries, or another checkout's path.",
)
@click.option(
    "--record", type=click.Path(dir_okay=False), help="The record's file; by default one in --folder."
)
@FOLDER
@click.option("--report", type=click.Path(dir_okay=False), help="Write a page of HTML too.")
@QUIET
def run(
    scenario: str,
    stage: str,
    seed: int,
    subject: str,
    record: str | None,
    folder: str,
    report: str | None,
    quiet: bool,
) -> None:
    """Run a scenario once, judge it and sum it up; exit 1 if a rule was broken or the run is unusable.

    \b
    Example:  limelatch lab run hang --stage sockets --report hang.html
    """
    from limelatch.lab.experiments import Plan
    from limelatch.lab.report.terminal import console, run_summary

    name, text = scenario_of(scenario)
    plan = Plan(name, text, seed, subject_of(subject), stage, folder)
    (figures,) = play([plan], 1, quiet)
    if record:
        Path(record).parent.mkdir(parents=True, exist_ok=True)
        os.replace(plan.target, record)
    if not quiet:
        console().print(run_summary(figures))
        click.echo(f"record: {record or plan.target}")
    if report:
        write_report(record or str(plan.target), report)
    if not (figures.kept and figures.usable):
        raise SystemExit(CHECK_FAILED)


def subject_of(word: str) -> str:
    """The subject of a name, or a checkout's directory. Raises UsageError for anything else."""
    from limelatch.lab.subjects import SUBJECTS

    if word in SUBJECTS:
        return word
    if not os.path.isdir(os.path.join(word, "limelatch")):
        raise UsageError(f"{word!r} is neither one of {', '.join(SUBJECTS)} nor a checkout of limelatch")
    return os.path.join(word, "")


def judged(path: str):
    """A record's figures, its checker and its reader. Raises UsageError where the file is no record."""
    from limelatch.lab.figures import judge
    from limelatch.lab.record import RecordError, Reader

    try:
        reader = Reader(path)
        figures, checker = judge(reader.head, reader)
    except RecordError as error:
        raise UsageError(str(error)) from None
    return figures, checker, reader


def write_report(path: str, target: str) -> None:
    """Write the HTML report on a record."""
    from limelatch.lab.report.page import run_page

    figures, _, reader = judged(path)
    about = reader.head.scenario["scenario"]["about"]
    Path(target).write_text(run_page(figures, about, reader.head.text), encoding="utf-8")
    click.echo(f"report: {target}")


@lab.command()
@click.argument("records", metavar="RECORD...", nargs=-1, required=True)
def verify(records: tuple[str, ...]) -> None:
    """Judge records by the six rules, and print each breach with its events; exit 1 if a rule is broken."""
    any_broken = False
    for path in records:
        _, checker, reader = judged(path)
        broken = {rule.name.lower(): count for rule, count in checker.counts.items() if count}
        cut = ", cut short" if reader.cut else ""
        click.echo(
            f"{path}: {checker.finished_count} texts judged{cut}, "
            + (", ".join(f"{rule} broken {count} times" for rule, count in broken.items()) or "rules kept")
        )
        for breach in checker.breaches:
            for line in breach.lines():
                click.echo(f"  {line}")
        any_broken = any_broken or bool(broken)
    if any_broken:
        raise SystemExit(CHECK_FAILED)


@lab.command()
@click.argument("record", metavar="RECORD")
@click.option("-o", "--output", default="report.html", show_default=True, help="The page.")
@click.option(
    "--pictures",
    type=click.Path(file_okay=False),
    help="The directory in which each plot is written as SVG too.",
)
def report(record: str, output: str, pictures: str | None) -> None:
    """Write a self-contained HTML page on a record, and print a summary."""
    from limelatch.lab.report.terminal import console, run_summary

    figures, _, _ = judged(record)
    console().print(run_summary(figures))
    write_report(record, output)
    if pictures:
        from limelatch.lab.report import page

        os.makedirs(pictures, exist_ok=True)
        for _, name, plot in page.pictures(figures):
            target = os.path.join(pictures, f"{figures.scenario}-{name}.svg")
            Path(target).write_text(plot, encoding="utf-8")
            click.echo(f"picture: {target}")


@lab.command()
@click.argument("scenarios", metavar="SCENARIO...", nargs=-1, required=True)
@click.option(
    "-a", "first", default="one-try", show_default=True, help="A subject, or another checkout's path."
)
@click.option("-b", "second", default="module", show_default=True, help="The other subject.")
@STAGE
@SEEDS
@PROCESSES
@FOLDER
@click.option("--report", type=click.Path(dir_okay=False), help="Write a page of HTML too.")
@QUIET
def compare(
    scenarios: tuple[str, ...],
    first: str,
    second: str,
    stage: str,
    seeds: str,
    processes: int,
    folder: str,
    report: str | None,
    quiet: bool,
) -> None:
    """Run scenarios with two subjects on the same seeds, and print for each measure whether the second is
    better, worse, or not seen to differ.

    \b
    Example:  limelatch lab compare hang shut -a ../before -b module --seeds 1-8
    """
    from limelatch.lab.experiments import Plan
    from limelatch.lab.report.compare import compare as compared
    from limelatch.lab.report.compare import verdict
    from limelatch.lab.report.terminal import comparison, console

    numbers = globals()["seeds"](seeds)
    sides = subject_of(first), subject_of(second)
    plans = []
    named_texts = [scenario_of(each) for each in scenarios]
    for name, text in named_texts:
        plans += [Plan(name, text, seed, subject, stage, folder) for subject in sides for seed in numbers]
    runs = play(plans, processes, quiet)
    rows = []
    for name, _ in named_texts:
        a, b = (
            [each for each in runs if each.scenario == name and each.subject == subject] for subject in sides
        )
        rows += compared(name, a, b)
    console().print(comparison(rows, first, second))
    if report:
        from limelatch.lab.report import page, plots

        plot = plots.differences(
            [row.name for row in rows],
            [row.mean for row in rows],
            [row.low for row in rows],
            [row.high for row in rows],
        )
        Path(report).write_text(
            page.render(
                page.COMPARISON,
                title="limelatch: A against B",
                verdict=verdict(rows),
                a=first,
                b=second,
                pairs=len(numbers),
                rows=rows,
                plot=plot,
            ),
            encoding="utf-8",
        )


@lab.command()
@SCENARIO
@click.option("--set", "setting", required=True, metavar="KEY=V,V,V", help="Such as clients.rate=40,80,120.")
@click.option("--subject", "subjects", multiple=True, default=["module"], show_default=True)
@STAGE
@SEEDS
@PROCESSES
@FOLDER
@click.option("--report", default="sweep.html", show_default=True, help="The page.")
@QUIET
def sweep(
    scenario: str,
    setting: str,
    subjects: tuple[str, ...],
    stage: str,
    seeds: str,
    processes: int,
    folder: str,
    report: str,
    quiet: bool,
) -> None:
    """Vary one key of a scenario and plot the effect.

    \b
    Example:  limelatch lab sweep deadline-flood --set faults[0].times=2,3,4,5 --subject module --subject
    one-try
    """
    from limelatch.lab.experiments import Plan
    from limelatch.lab.report.sweep import Sweep

    name, text = scenario_of(scenario)
    key, equals, value_list = setting.partition("=")
    values = [word for word in value_list.split(",") if word]
    if not equals or not values:
        raise UsageError(f"{setting!r} is not KEY=V,V,V")
    numbers, chosen = globals()["seeds"](seeds), [subject_of(each) for each in subjects]
    plans = []
    for value in values:
        varied = with_key(text, key, value)
        plans += [
            Plan(f"{name}@{value}".replace("/", "_"), varied, seed, subject, stage, folder)
            for subject in chosen
            for seed in numbers
        ]
    runs = play(plans, processes, quiet)
    found = Sweep(name, key, values, list(subjects))
    for plan, figures in zip(plans, runs, strict=True):
        found.add(plan.name.rpartition("@")[2], subjects[chosen.index(plan.subject)], figures)
    for line in found.lines():
        click.echo(line)
    Path(report).write_text(found.page(load_about(text)), encoding="utf-8")
    click.echo(f"report: {report}")


def load_about(text: str) -> str:
    """A scenario's description."""
    from limelatch.lab.scenario.load import parse

    return parse("scenario", text).scenario.about


def with_key(text: str, key: str, value: str) -> str:
    """The scenario's text with one key set. Raises UsageError where that is invalid."""
    from limelatch.configuration import ConfigurationError
    from limelatch.lab.experiments import with_value
    from limelatch.lab.scenario.load import parse

    try:
        varied = with_value(text, key, value)
        parse("scenario", varied)
        return varied
    except ConfigurationError as error:
        raise UsageError("; ".join(str(each) for each in error.errors)) from None


@lab.command()
@click.argument("address", metavar="HOST:PORT")
@click.option("--product", required=True, help="A product of the relay's configuration.")
@click.option("--dests", default="1", show_default=True, metavar="LIST", help="Destinations, such as 1-8.")
@click.option("--customer", default="")
@click.option(
    "--zipf",
    type=float,
    default=0.0,
    show_default=True,
    help="The exponent of their Zipf distribution; 0: even.",
)
@click.option(
    "--rate",
    type=click.FloatRange(0, min_open=True),
    default=50.0,
    show_default=True,
    help="The first rate, in texts a second.",
)
@click.option("--step", type=click.FloatRange(0), default=0.0, help="The increase from one rate to the next.")
@click.option(
    "--times", type=click.FloatRange(1), default=1.0, help="Or the factor from one rate to the next."
)
@click.option("--most", type=float, default=5000.0, show_default=True, help="The last rate.")
@click.option("--each", type=Duration(), default="10s", show_default=True, help="How long each rate lasts.")
@click.option(
    "--sla",
    type=Duration(),
    default="100ms",
    show_default=True,
    help="The time in which an answer should arrive.",
)
@click.option(
    "--until",
    type=click.FloatRange(0, 1),
    default=0.99,
    show_default=True,
    help="Stop when a smaller share is accepted within it.",
)
@click.option("--size", type=int, default=200, show_default=True, help="Bytes in a body.")
@click.option("--connections", type=click.IntRange(1), default=512, show_default=True)
@QUIET
def load(
    address: str,
    product: str,
    dests: str,
    customer: str,
    zipf: float,
    rate: float,
    step: float,
    times: float,
    most: float,
    each: float,
    sla: float,
    until: float,
    size: int,
    connections: int,
    quiet: bool,
) -> None:
    """Hand in texts to any relay at rising rates, until its answers are too late.

    Latency counts from when a text was due. Exit 1 if even the first rate is too high.

    \b
    Example:  limelatch lab load 127.0.0.1:6379 --product notice --dests 1-4 --rate 100 --times 1.5 --each 5s
    """
    import uvloop

    from limelatch.lab.load import Shape, Step, climb, rates

    host, port = address_of(address)
    shape = Shape(product, tuple(seeds(dests)), zipf, customer, size=size)

    def print_step(done: Step) -> None:
        spread = done.summary.percentiles()
        click.echo(
            f"{done.rate:>8.0f}/s  SLA {done.sla_share:.4f}  p50 {spread[50.0]:.1f}  p99 "
            f"{spread[99.0]:.1f}  "
            f"max {spread[100.0]:.1f} ms  sent late by {done.late_ms:.1f} ms"
            + ("  (the tool itself was late)" if done.late_ms > 20 else "")
        )

    with progress(quiet) as bar:
        found = uvloop.run(
            climb(
                host,
                port,
                shape,
                rates(rate, step, most, times),
                each / 1000,
                sla,
                until,
                connections,
                print_step,
                lambda at, done, count: bar(f"{at:.0f} a second", done / count),
            )
        )
    for line in found[-1].summary.lines():
        click.echo(line)
    if found[0].sla_share < until:
        raise SystemExit(CHECK_FAILED)


@lab.command()
@click.option(
    "--scenario", default="capacity", show_default=True, help="The scenario whose rate is varied, on sockets."
)
@click.option(
    "--share", type=click.FloatRange(0, 1), default=0.99, show_default=True, help="The SLA share to keep."
)
@click.option("--first", type=float, default=200.0, show_default=True, help="The first rate.")
@click.option("--most", type=float, default=10_000.0, show_default=True, help="The highest rate to try.")
@QUIET
def capacity(scenario: str, share: float, first: float, most: float, quiet: bool) -> None:
    """Find the highest rate that one relay sustains at a given SLA share."""
    from limelatch.lab.capacity import search
    from limelatch.lab.experiments import Plan

    name, text = scenario_of(scenario)
    with tempfile.TemporaryDirectory(prefix="limelatch-capacity-") as folder:

        def trial(rate: float):
            plan = Plan(
                f"{name}@{rate:.0f}",
                with_key(text, "clients.rate", f"{rate:.1f}"),
                1,
                "module",
                "sockets",
                folder,
            )
            return play([plan], 1, quiet)[0]

        def print_trial(rate: float, figures) -> None:
            late = "" if figures.usable else "  (the stage itself was late)"
            click.echo(
                f"{rate:>8.0f}/s  SLA {figures.sla_share:.4f}  "
                f"p99 {figures.latency.get('p99', 0):.0f} ms  CPU a text {figures.cpu_a_text:.0f} us  "
                f"{figures.memory / 1e6:.0f} MB{late}"
            )
            for line in figures.breach_lines:
                click.echo(f"          {line}", err=True)

        found = search(trial, share, first, most, print_trial)
    click.echo(f"one relay sustains {found.rate:.0f} texts a second at an SLA share of {share} ({found.why})")
    if not found.rate:
        raise SystemExit(CHECK_FAILED)


@lab.command(hidden=True)
@click.option("--page", is_flag=True)
def keys(page: bool) -> None:
    """Print docs/operators/scenario.md, which is generated from the scenario model."""
    from limelatch.lab.scenario.page import page as scenario_page

    click.echo(scenario_page(), nl=False)


lab.add_command(membership)
lab.add_command(scale)
lab.add_command(soak)
lab.add_command(mutants)
