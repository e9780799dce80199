"""Fault injection: schedules as data, faults between real limiters, and each checker seen to find a fault."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.limiter import ROOT
from thymeflow.cli import faults as cli_faults
from thymeflow.testkit.faults import fault_modes
from thymeflow.testkit.faults.schedule import (
    RESERVED_QUOTAS,
    FaultAction,
    FaultStep,
    Link,
    Schedule,
    ScheduleError,
    in_order,
)
from thymeflow.testkit.faults.schedule_file import parse, text_of
from thymeflow.testkit.faults.schedule_generator import generate

MANY_LIMITERS = tuple(range(10))


class PlayedRun(NamedTuple):
    """A run of `thymeflow lab play`: its exit code, the figures of its last line, and all that it printed."""

    exit_code: int
    figures: dict[str, int]
    output: str


def run_schedule(folder: Path, schedule: Schedule, *arguments: str) -> PlayedRun:
    """Run a schedule in a process of its own."""
    file = folder / "schedule.toml"
    file.write_text(text_of(schedule))
    process = subprocess.run(
        [sys.executable, "-m", "thymeflow", "lab", "play", str(file), *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    last_line = process.stdout.rstrip().rpartition("\n")[2]
    assert last_line.startswith("lab play: "), process.stdout + process.stderr
    figures = dict(pair.split("=") for pair in last_line.split()[2:])
    return PlayedRun(process.returncode, {name: int(value) for name, value in figures.items()}, process.stdout)


@given(st.integers(0, 2**48), st.integers(0, 30))
def test_generated_schedule_is_the_same_again_and_is_read_back_as_it_was_written(seed: int, fault_count: int) -> None:
    cluster = replace(Schedule(), seed=seed)
    schedule = generate(cluster, fault_count)
    assert schedule == generate(cluster, fault_count) == parse(text_of(schedule))


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("limiters = 0", "limiters = 0 is no int from 1 to 64"),
        ("seconds = nan", "seconds = nan is no float"),
        ('line = "walk"', "line = 'walk' is none of run, serve"),
        ("speed = 1", "speed is not known"),
        ("[[step]]\nat = 1.0", "step 1: do is missing"),
        ('[[step]]\nat = 99.0\ndo = "kill"\nwho = [0]', "step 1: at = 99.0 is no time from 0 to 6 s"),
        ('[[step]]\nat = 1.0\ndo = "kil"', "step 1: do = 'kil' is none of kill"),
        ('[[step]]\nat = 1.0\ndo = "kill"\nwho = [3]', "step 1: who = [3] is no list of numbers from 0 to 2"),
        ('[[step]]\nat = 1.0\ndo = "cut"\nwho = [0]', "step 1: 'cut' wants a link"),
        ('[[step]]\nat = 1.0\ndo = "delay"\nlink = "counter"\nwho = [0]', "step 1: amount = None is no amount"),
        ("limiters = [", "Invalid value"),
    ],
)
def test_schedule_is_rejected_with_reason_and_place_when_it_cannot_be_run(text: str, expected_error: str) -> None:
    with pytest.raises(ScheduleError) as raised:
        parse(text)
    assert any(expected_error in error for error in raised.value.errors), raised.value.errors


def restart_of_all(at: float) -> list[FaultStep]:
    """Kill and start all limiters, with discovery silent and the counter rejecting all calls for two seconds."""
    return [
        FaultStep(at, FaultAction.KILL_LIMITER, MANY_LIMITERS),
        FaultStep(at, FaultAction.SATURATE_COUNTER),
        FaultStep(at, FaultAction.BLACKHOLE_LINK, MANY_LIMITERS, Link.DISCOVERY),
        FaultStep(at + 0.01, FaultAction.START_LIMITER, MANY_LIMITERS),
        FaultStep(at + 2.0, FaultAction.HEAL_LINK, MANY_LIMITERS, Link.DISCOVERY),
        FaultStep(at + 2.0, FaultAction.DRAIN_BACKEND, (0,)),
        FaultStep(at + 2.0, FaultAction.RELIEVE_COUNTER),
    ]


def test_nothing_is_lost_when_ten_limiters_are_killed_and_started_together_three_times(tmp_path: Path) -> None:
    steps = [step for at in (0.5, 3.0, 5.5) for step in restart_of_all(at)]
    schedule = Schedule(
        limiter_count=10, load_seconds=8.0, seed=5, demand_fraction=0.3, customer_count=24, steps=tuple(steps)
    )
    run = run_schedule(tmp_path, schedule)
    assert run.exit_code == 0, run.output
    assert run.figures["served"] > 0
    assert run.figures["steps"] >= len(steps)


def test_no_checker_finds_anything_when_generated_faults_hit_every_link(tmp_path: Path) -> None:
    cluster = Schedule(limiter_count=4, load_seconds=5.0, seed=11, demand_fraction=0.4)
    run = run_schedule(tmp_path, generate(cluster, 12))
    assert run.exit_code == 0, run.output
    assert run.figures["served"] > 0, run.output


@pytest.mark.parametrize("command", ["run", "serve"])
def test_reserved_units_stay_within_quotas_when_links_are_faulty_and_the_counter_forgets(
    tmp_path: Path, command: str
) -> None:
    cluster = Schedule(
        limiter_count=4,
        load_seconds=8.0,
        seed=21,
        demand_fraction=3.0,
        customer_count=8,
        command=command,
        quota_mode=RESERVED_QUOTAS,
    )
    schedule = generate(cluster, 10)
    steps = in_order([*schedule.steps, FaultStep(3.0, FaultAction.CLEAR_COUNTER)])
    run = run_schedule(tmp_path, replace(schedule, steps=steps))
    assert run.exit_code == 0, run.output
    assert run.figures["served"] > 0, run.output


def test_command_line_offers_every_fault_mode() -> None:
    assert set(cli_faults.FAULT_MODES) == fault_modes.FAULT_MODES.keys()


DEFAULT_CLUSTER = Schedule(limiter_count=2, load_seconds=3.0, seed=2, demand_fraction=0.8, mean_work_seconds=0.1)
# Three of four backends drain, so that what is still forwarded to them a second later is seen.
DRAINING_CLUSTER = replace(DEFAULT_CLUSTER, steps=(FaultStep(0.2, FaultAction.DRAIN_BACKEND, (1, 2, 3)),))
QUOTA_CLUSTER = Schedule(
    limiter_count=4, load_seconds=8.0, seed=2, demand_fraction=3.0, customer_count=4, quota_mode=RESERVED_QUOTAS
)


@pytest.mark.parametrize(
    ("fault_mode", "checker", "schedule"),
    [
        ("ignore-endpoint-updates", "drains", DRAINING_CLUSTER),
        ("drop-responses", "answers", DEFAULT_CLUSTER),
        ("duplicate-attempts", "effects", DEFAULT_CLUSTER),
        ("exit-with-failure", "ends", DEFAULT_CLUSTER),
        ("overspend-quotas", "quotas", QUOTA_CLUSTER),
    ],
)
def test_checker_finds_the_fault_when_it_is_put_into_the_limiters(
    tmp_path: Path, fault_mode: str, checker: str, schedule: Schedule
) -> None:
    run = run_schedule(tmp_path, schedule, "--broken", fault_mode)
    assert run.exit_code == 1, run.output
    assert run.figures[checker] > 0, run.output
    printed = run.output[run.output.index("limiters =") : run.output.rindex("lab play:")]
    assert parse(printed) == schedule
