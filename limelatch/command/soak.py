"""`limelatch lab soak`: seeds of composed faults on real processes, each judged by the six rules."""

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

INTERRUPTED = 130
JOBS_MOST = 16
SEEDS_MOST = 1000
END_WAIT = 2.0  # seconds that a play is given to end after Ctrl-C
DISK_LEAST = 200_000_000  # bytes that are free, for records and logs
DESCRIPTORS_EACH = 512  # that a play may need
PLAY_MOST = 10  # times the length of a play, after which it has hung
VERDICT = "verdict.json"


@click.command()
@click.option("--seeds", default="1-50", show_default=True, metavar="LIST", help="Such as 1-8 or 1,5,9.")
@click.option("--seed", type=int, help="One seed, played here; with --keep its record and logs stay.")
@click.option(
    "--jobs", default=2, show_default=True, type=click.IntRange(1, JOBS_MOST), help="Plays at once."
)
@click.option(
    "--seconds", default=40.0, show_default=True, type=click.FloatRange(10, 600), help="For which texts come."
)
@click.option("--keep", type=click.Path(file_okay=False), help="Where records and logs stay.")
@click.option(
    "--subject",
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="Another checkout, whose relays are played.",
)
def soak(
    seeds: str, seed: int | None, jobs: int, seconds: float, keep: str | None, subject: Path | None
) -> None:
    """Draw faults of relays, partners, clients and the catalog from each seed, play them, judge the rules.

    Exit 1 where a rule was broken.

    \b
    Example:  limelatch lab soak --seeds 1-50 --jobs 2
              limelatch lab soak --seed 17 --keep found/17
    """
    if seed is not None:
        raise SystemExit(play_here(seed, seconds, keep, subject))
    chosen = seeds_of(seeds)
    with folder_for(keep) as folder:
        check_room(folder, jobs)
        raise SystemExit(Soak(chosen, jobs, seconds, folder, subject).run())


def seeds_of(words: str) -> list[int]:
    """The seeds that are named; UsageError for what is no list, or too long a one."""
    from limelatch.lab.experiments import seeds_of as read

    try:
        chosen = read(words)
    except ValueError:
        raise UsageError(f"{words!r} is no list of seeds such as 1-8 or 1,5,9") from None
    if not 1 <= len(chosen) <= SEEDS_MOST:
        raise UsageError(f"{words!r} names {len(chosen)} seeds, 1 to {SEEDS_MOST} are wanted")
    return chosen


@contextlib.contextmanager
def folder_for(keep: str | None):
    """The folder that stays, or one that goes with the command."""
    if keep is not None:
        try:
            os.makedirs(keep, exist_ok=True)
        except OSError as error:
            raise UsageError(f"{keep}: {error.strerror}") from None
        yield Path(keep)
        return
    made = Path(tempfile.mkdtemp(prefix="limelatch-soaks-"))
    try:
        yield made
    finally:
        shutil.rmtree(made, ignore_errors=True)


def check_room(folder: Path, jobs: int) -> None:
    """UsageError where the machine can't bear so many plays at once."""
    import resource

    if (free := shutil.disk_usage(folder).free) < DISK_LEAST:
        raise UsageError(
            f"{folder}: {free // 1_000_000} MB are free, {DISK_LEAST // 1_000_000} MB are needed"
        )
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if most != resource.RLIM_INFINITY and most < jobs * DESCRIPTORS_EACH:
        raise UsageError(
            f"{jobs} plays need {jobs * DESCRIPTORS_EACH} descriptors, a process may hold {most}"
        )
    if jobs > (cores := os.cpu_count() or 1):
        raise UsageError(f"{jobs} plays at once want as many cores, there are {cores}")


def play_here(seed: int, seconds: float, keep: str | None, subject: Path | None) -> int:
    """Play one seed in this process; exit code."""
    from limelatch.lab.machine.faults import NoCompiler
    from limelatch.lab.soak.run import play_seed
    from limelatch.lab.stages.errors import StageError

    with folder_for(keep) as folder:
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
    """One seed's line, and what was found."""
    from limelatch.lab.soak.run import is_late

    words = ", ".join(f"{kind} {count}" for kind, count in verdict.faults.items())
    late = f", the stage was late by {verdict.late_ms:.0f} ms" if is_late(verdict) else ""
    click.echo(
        f"seed {verdict.seed}: {verdict.texts} texts, {verdict.calls} calls, {verdict.seconds:.0f} s{late}: "
        f"{len(verdict.found) or 'nothing'} found; {words}"
    )
    for found in verdict.found:
        for line in found.lines:
            click.echo(f"    {line}")


class Soak:
    """Several seeds, each in a process of its own."""

    def __init__(
        self, seeds: list[int], jobs: int, seconds: float, folder: Path, subject: Path | None = None
    ) -> None:
        self.seeds, self.jobs, self.seconds, self.folder, self.subject = seeds, jobs, seconds, folder, subject
        self.running: dict[int, subprocess.Popen] = {}
        self.verdicts: list = []
        self.unplayed: list[str] = []
        self.interrupted = False

    def run(self) -> int:
        """Play them all; exit code."""
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
        """One seed's verdict; None where it was not played to its end."""
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
            said = process.communicate(timeout=self.seconds * PLAY_MOST)[1]
        except subprocess.TimeoutExpired:
            os.killpg(process.pid, signal.SIGKILL)
            said = process.communicate()[1]
        finally:
            del self.running[seed]
        path = folder / VERDICT
        if process.returncode in (0, CHECK_FAILED) and path.exists():
            return msgspec.json.decode(path.read_bytes(), type=Verdict)
        if not self.interrupted:
            last = said.strip().splitlines()[-1:] or [f"exit code {process.returncode}"]
            self.unplayed.append(f"seed {seed}: {last[0]}")
        return None

    def end(self) -> None:
        """Ctrl-C: all plays end what they have started."""
        self.interrupted = True
        running = list(self.running.values())
        for process in running:
            process.send_signal(signal.SIGINT)
        until = time.monotonic() + END_WAIT
        for process in running:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.0, until - time.monotonic()))
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)

    def _sum_up(self) -> None:
        """All seeds in a few lines."""
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
        for words in self.unplayed:
            click.echo(f"not played: {words}", err=True)
        for rule, found in sorted(rules.items()):
            click.echo(f"broken: {rule}: {len(found)} times, seeds {sorted(set(found))}")
        if not rules:
            click.echo("no rule broken")
