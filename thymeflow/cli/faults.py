"""`thymeflow lab`: fault injection between real processes, while invariant checkers observe them."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path

import click

from thymeflow.cli.output import BAD_SETTINGS, exit_with_error

# The modes in thymeflow.testkit.faults.fault_modes. That module is not imported here, because it loads all modules of
# the limiter.
FAULT_MODES = (
    "ignore-endpoint-updates",
    "drop-responses",
    "duplicate-attempts",
    "exit-with-failure",
    "overspend-quotas",
)


@click.group("lab")
def faults() -> None:
    """Inject faults between real limiters on loopback and fakes of their peers."""


@faults.command("play")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--broken",
    type=click.Choice(FAULT_MODES),
    default=None,
    help="Run limiters with a deliberate program fault, which an invariant checker must report.",
)
def run_schedule(file: str, broken: str | None) -> None:
    """Run the schedule in FILE once; exit code 1 if an invariant checker reports a violation."""
    from thymeflow.testkit.faults import runner
    from thymeflow.testkit.faults.schedule import ScheduleError
    from thymeflow.testkit.faults.schedule_file import parse

    try:
        schedule = parse(Path(file).read_text())
    except ScheduleError as error:
        for reason in error.errors:
            click.echo(f"thymeflow: {file}: {reason}", err=True)
        sys.exit(BAD_SETTINGS)
    except (OSError, UnicodeDecodeError) as error:
        exit_with_error(f"{file}: {error}", BAD_SETTINGS)
    sys.exit(runner.run_schedule(schedule, click.echo, broken or ""))


@faults.command("draw")
@click.option("--seed", type=click.IntRange(0, 2**48), default=1, show_default=True)
@click.option("--faults", type=click.IntRange(0, 500), default=12, show_default=True)
@click.option("--limiters", type=click.IntRange(1, 64), default=3, show_default=True)
@click.option("--servers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--seconds", type=click.FloatRange(0.5, 600.0), default=6.0, show_default=True)
@click.option("--line", type=click.Choice(["run", "serve"]), default="run", show_default=True)
@click.option("--units", type=click.Choice(["demand", "tickets"]), default="demand", show_default=True)
def generate_schedule(
    seed: int, faults: int, limiters: int, servers: int, seconds: float, line: str, units: str
) -> None:
    """Print a schedule for `play`, generated from a seed."""
    from thymeflow.testkit.faults.schedule import Schedule
    from thymeflow.testkit.faults.schedule_file import text_of
    from thymeflow.testkit.faults.schedule_generator import generate

    cluster = replace(
        Schedule(),
        seed=seed,
        limiter_count=limiters,
        backend_count=servers,
        load_seconds=seconds,
        command=line,
        quota_mode=units,
    )
    click.echo(text_of(generate(cluster, faults)), nl=False)
