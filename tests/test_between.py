"""The rig between processes: schedules as data, faults over real limiters, and every judge seen catching something."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.limiter import ROOT
from thymeflow.testkit.faults.schedule import Do, Link, Schedule, ScheduleError, Step, drawn, parse, text_of


def played(folder: Path, schedule: Schedule, *words: str) -> tuple[int, dict[str, int], str]:
    """Play it in a process of its own; exit code, the figures of the last line, and all that was said."""
    file = folder / "schedule.toml"
    file.write_text(text_of(schedule))
    done = subprocess.run(
        [sys.executable, "-m", "thymeflow", "lab", "play", str(file), *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    last = done.stdout.rstrip().rpartition("\n")[2]
    assert last.startswith("lab play: "), done.stdout + done.stderr
    figures = dict(pair.split("=") for pair in last.split()[2:])
    return done.returncode, {name: int(value) for name, value in figures.items()}, done.stdout


@given(st.integers(0, 2**48), st.integers(0, 30))
def test_a_drawn_schedule_is_the_same_again_and_reads_back_as_it_was_written(seed: int, faults: int) -> None:
    world = replace(Schedule(), seed=seed)
    assert drawn(world, faults) == drawn(world, faults) == parse(text_of(drawn(world, faults)))


@pytest.mark.parametrize(
    ("text", "said"),
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
def test_a_schedule_that_cannot_be_played_says_what_and_where(text: str, said: str) -> None:
    with pytest.raises(ScheduleError) as found:
        parse(text)
    assert any(said in fault for fault in found.value.faults), found.value.faults


def test_ten_limiters_killed_and_started_together_three_times_lose_nothing(tmp_path: Path) -> None:
    # Under load, discovery silent for the first two seconds of each life, the counter turning everyone away.
    all_of, steps = tuple(range(10)), list[Step]()
    for at in (0.5, 3.0, 5.5):
        steps += [
            Step(at, Do.KILL, all_of),
            Step(at, Do.COUNTER_FULL),
            Step(at, Do.SILENCE, all_of, Link.DISCOVERY),
            Step(at + 0.01, Do.START, all_of),
            Step(at + 2.0, Do.HEAL, all_of, Link.DISCOVERY),
            Step(at + 2.0, Do.SERVER_DRAINS, (0,)),
            Step(at + 2.0, Do.COUNTER_WELL),
        ]
    world = Schedule(limiters=10, seconds=8.0, seed=5, demand=0.3, customers=24, steps=tuple(steps))
    code, figures, said = played(tmp_path, world)
    assert code == 0, said
    assert figures["served"] > 0 and figures["steps"] >= len(steps)


def test_drawn_faults_on_every_link_break_no_rule(tmp_path: Path) -> None:
    code, figures, said = played(tmp_path, drawn(Schedule(limiters=4, seconds=5.0, seed=11, demand=0.4), 12))
    assert code == 0 and figures["served"] > 0, said


@pytest.mark.parametrize("line", ["run", "serve"])
def test_units_by_tickets_keep_to_the_quotas_through_faults_on_every_link_and_a_counter_that_forgets(
    tmp_path: Path, line: str
) -> None:
    world = Schedule(limiters=4, seconds=8.0, seed=21, demand=3.0, customers=8, line=line, units="tickets")
    faults = drawn(world, 10)
    steps = (*faults.steps, Step(3.0, Do.COUNTER_FORGETS))
    code, figures, said = played(tmp_path, replace(faults, steps=tuple(sorted(steps, key=lambda s: s.at))))
    assert code == 0 and figures["served"] > 0, said


@pytest.mark.parametrize(
    ("broken", "judge"),
    [("deaf", "drains"), ("mute", "answers"), ("double", "effects"), ("sulky", "ends"), ("free", "quotas")],
)
def test_each_judge_catches_a_limiter_that_is_broken_on_purpose(tmp_path: Path, broken: str, judge: str) -> None:
    # With three servers draining, what still goes to them a second later is seen.
    steps = (Step(0.2, Do.SERVER_DRAINS, (1, 2, 3)),) if broken == "deaf" else ()
    world = Schedule(limiters=2, seconds=3.0, seed=2, demand=0.8, work=0.1, steps=steps)
    if broken == "free":
        world = Schedule(limiters=4, seconds=8.0, seed=2, demand=3.0, customers=4, units="tickets")
    code, figures, said = played(tmp_path, world, "--broken", broken)
    assert code == 1 and figures[judge] > 0, said
    assert parse(said[said.index("limiters =") : said.rindex("lab play:")]) == world
