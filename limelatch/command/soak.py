"""`limelatch lab soak`: random faults on real processes, one run for each seed, judged by the six rules."""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import msgspec

from limelatch.command import CHECK_FAILED, UsageError

INTERRUPTED = 130  # the exit code that shells use for an end by SIGINT
MAX_JOBS = 16  # plays at once
MAX_SEEDS = 1000
END_TIMEOUT = 2.0  # seconds for a play to end after Ctrl-C
MIN_FREE_DISK = 200_000_000  # free bytes for records and logs
DESCRIPTORS_PER_PLAY = 512
MAX_PLAY_FACTOR = 10  # a play that takes so many times its length hangs
VERDICT = "verdict.json"


@click.command()
@click.option("--seeds", default="1-50", show_default=True, metavar="LIST", help="Such as 1-8 or 1,5,9.")
@click.option(
    "--seed", type=int, help="One seed, played in this process; with --keep its record and logs stay."
)
@click.option("--jobs", default=2, show_default=True, type=click.IntRange(1, MAX_JOBS), help="Plays at once.")
@click.option(
    "--seconds",
    default=40.0,
    show_default=True,
    type=click.FloatRange(10, 600),
    help="How long texts are handed in.",
)
@click.option(
    "--keep", type=click.Path(file_okay=False), help="The directory in which records and logs stay."
)
@click.option(
    "--subject",
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="Another checkout, whose relays are run.",
)
def soak(
    seeds: str, seed: int | None, jobs: int, seconds: float, keep: str | None, subject: Path | None
) -> None:
    """Draw faults of relays, partners, clients and the catalog from each seed, run them and judge the rules.

    Exit 1 if a rule was broken.

    \b
    Example:  limelatch lab soak --seeds 1-50 --jobs 2
              limelatch lab soak --seed 17 --keep found/17
    """
    if seed is not None:
        raise SystemExit(play_here(seed, seconds, keep, subject))
    chosen = seeds_of(seeds)
    with directory_for(keep) as folder:
        check_resources(folder, jobs)
        raise SystemExit(Soak(chosen, jobs, seconds, folder, subject).run())


def seeds_of(text: str) -> list[int]:
    """The seeds in a list. Raises UsageError for an invalid list or too long a one."""
    from limelatch.lab.experiments import seeds_of as parse_seeds

    try:
        chosen = parse_seeds(text)
    except ValueError:
        raise UsageError(f"{text!r} is no list of seeds such as 1-8 or 1,5,9") from None
    if not 1 <= len(chosen) <= MAX_SEEDS:
        raise UsageError(f"{text!r} names {len(chosen)} seeds, 1 to {MAX_SEEDS} are wanted")
    return chosen


@contextlib.contextmanager
def directory_for(keep: str | None):
    """The directory to keep, or a temporary one that is removed with the command."""
    if keep is not None:
        try:
            os.makedirs(keep, exist_ok=True)
        except OSError as error:
            raise UsageError(f"{keep}: {error.strerror}") from None
        yield Path(keep)
        return
    temporary = Path(tempfile.mkdtemp(prefix="limelatch-soaks-"))
    try:
        yield temporary
    finally:
        shutil.rmtree(temporary, ignore_errors=True)


def check_resources(folder: Path, jobs: int) -> None:
    """Raise UsageError where the machine has too little disk, descriptors or cores for so many plays."""
    import resource

    if (free := shutil.disk_usage(folder).free) < MIN_FREE_DISK:
        raise UsageError(
            f"{folder}: {free // 1_000_000} MB are free, {MIN_FREE_DISK // 1_000_000} MB are needed"
        )
    max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if max_descriptors != resource.RLIM_INFINITY and max_descriptors < jobs * DESCRIPTORS_PER_PLAY:
        raise UsageError(
            f"{jobs} plays need {jobs * DESCRIPTORS_PER_PLAY} descriptors, "
            f"a process may hold {max_descriptors}"
        )
    if jobs > (cores := os.cpu_count() or 1):
        raise UsageError(f"{jobs} plays at once need as many cores, there are {cores}")


def play_here(seed: int, seconds: float, keep: str | None, subject: Path | None) -> int:
    """Play one seed in this process; returns the exit code."""
    from limelatch.lab.machine.faults import NoCompiler
    from limelatch.lab.soak.run import play_seed
    from limelatch.lab.stages.errors import StageError

    with directory_for(keep) as folder:
        try:
            verdict = play_seed(seed, seconds, folder, subject)
        except KeyboardInterrupt:
            return INTERRUPTED
        except (StageError, NoCompiler, OSError) as error:
            raise UsageError(f"seed {seed} was not played: {error}") from None
        (folder / VERDICT).write_bytes(msgspec.json.encode(verdict))
        show(verdict)
    return 0 if verdict.kept else CHECK_FAILED


def show(verdict) -> None:
    """Print a line for one seed, and the breaches found."""
    from limelatch.lab.soak.run import is_late

    faults = ", ".join(f"{kind} {count}" for kind, count in verdict.faults.items())
    late = f", the stage was late by {verdict.late_ms:.0f} ms" if is_late(verdict) else ""
    click.echo(
        f"seed {verdict.seed}: {verdict.texts} texts, {verdict.calls} calls, {verdict.seconds:.0f} s{late}: "
        f"{len(verdict.found) or 'nothing'} found; {faults}"
    )
    for found in verdict.found:
        for line in found.lines:
            click.echo(f"    {line}")


class Soak:
    """Plays several seeds, each in a process of its own."""

    def __init__(
        self, seeds: list[int], jobs: int, seconds: float, folder: Path, subject: Path | None = None
    ) -> None:
        self.seeds, self.jobs, self.seconds, self.folder, self.subject = seeds, jobs, seconds, folder, subject
        self.running: dict[int, subprocess.Popen] = {}
        self.verdicts: list = []
        self.unplayed: list[str] = []
        self.interrupted = False

    def run(self) -> int:
        """Play all seeds and print a summary; returns the exit code."""
        signal.signal(signal.SIGINT, signal.default_int_handler)
        with ThreadPoolExecutor(self.jobs) as pool:
            try:
                for verdict in pool.map(self.play, self.seeds):
                    if verdict is not None:
                        self.verdicts.append(verdict)
                        show(verdict)
            except KeyboardInterrupt:
                self.end()
        self._sum_up()
        if self.interrupted:
            return INTERRUPTED
        return 0 if not self.unplayed and all(verdict.kept for verdict in self.verdicts) else CHECK_FAILED

    def play(self, seed: int):
        """The verdict on one seed; None where it was not played to its end."""
        from limelatch.lab.soak.run import Verdict

        if self.interrupted:
            return None
        folder = self.folder / str(seed)
        command = [
            sys.executable,
            "-m",
            "limelatch",
            "lab",
            "soak",
            "--seed",
            str(seed),
            "--keep",
            str(folder),
        ]
        command += ["--seconds", str(self.seconds)]
        command += ["--subject", str(self.subject)] if self.subject else []
        process = subprocess.Popen(
            command, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True, start_new_session=True
        )
        self.running[seed] = process
        try:
            stderr_text = process.communicate(timeout=self.seconds * MAX_PLAY_FACTOR)[1]
        except subprocess.TimeoutExpired:
            os.killpg(process.pid, signal.SIGKILL)
            stderr_text = process.communicate()[1]
        finally:
            del self.running[seed]
        path = folder / VERDICT
        if process.returncode in (0, CHECK_FAILED) and path.exists():
            return msgspec.json.decode(path.read_bytes(), type=Verdict)
        if not self.interrupted:
            last = stderr_text.strip().splitlines()[-1:] or [f"exit code {process.returncode}"]
            self.unplayed.append(f"seed {seed}: {last[0]}")
        return None

    def end(self) -> None:
        """Interrupt all plays, so that each ends its processes, and kill those that take too long."""
        self.interrupted = True
        running = list(self.running.values())
        for process in running:
            process.send_signal(signal.SIGINT)
        until = time.monotonic() + END_TIMEOUT
        for process in running:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.0, until - time.monotonic()))
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)

    def _sum_up(self) -> None:
        """Print a summary of all seeds."""
        from limelatch.lab.soak.run import is_late

        kinds: dict[str, int] = {}
        rules: dict[str, list[int]] = {}
        for verdict in self.verdicts:
            for kind, count in verdict.faults.items():
                kinds[kind] = kinds.get(kind, 0) + count
            for found in verdict.found:
                rules.setdefault(found.rule, []).append(verdict.seed)
        texts = sum(verdict.texts for verdict in self.verdicts)
        late = [verdict.seed for verdict in self.verdicts if is_late(verdict)]
        click.echo(f"{len(self.verdicts)} of {len(self.seeds)} seeds played, {texts} texts handed in")
        click.echo("faults: " + ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items())))
        if late:
            click.echo(f"the stage was late in seeds {late}")
        for reason in self.unplayed:
            click.echo(f"not played: {reason}", err=True)
        for rule, found in sorted(rules.items()):
            click.echo(f"broken: {rule}: {len(found)} times, seeds {sorted(set(found))}")
        if not rules:
            click.echo("no rule broken")
