"""The supervisor's decisions, without a process: rolls, scales, crashes and what a roll never does."""

from __future__ import annotations

import random
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import Phase
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from thymeflow.fleet import controller
from thymeflow.fleet.controller import MOVES, FleetController, Kind, Member, Move, State
from thymeflow.settings.sections import Fleet

SET = Fleet(
    instances=3, spread=1.0, ready=5.0, settle=0.5, stop=4.0, wait=0.5, longest_wait=8.0, crashes=3, crash_window=30.0
)


class Play:
    """A mind and the processes that it asked for."""

    def __init__(self, count: int = 3, start: bool = True) -> None:
        self.mind, self.now = FleetController(SET, random.Random(1)), 100.0
        self.alive: dict[int, controller.Start] = {}
        self.stopping: set[int] = set()
        self.said: list[controller.Action] = []
        self.size, self.orders = 0, 0
        if start:
            self.tell(controller.FleetStarted(count))
            self.settle()

    def tell(self, event: controller.Event) -> list[controller.Action]:
        actions = self.mind.handle(self.now, event)
        for action in actions:
            if isinstance(action, controller.Start):
                self.alive[action.run] = action
            elif isinstance(action, controller.Stop | controller.Kill) and action.run in self.alive:
                self.stopping.add(action.run)
            elif isinstance(action, controller.Resize):
                self.size = action.gateways
        self.said += actions
        return actions

    def ready(self, run: int, healthy: bool = True) -> None:
        self.tell(controller.StatusReported(run, f"life{run}", True, healthy))

    def end(self, run: int, how: str = "ended with code 0") -> None:
        self.alive.pop(run)
        self.stopping.discard(run)
        self.tell(controller.RunEnded(run, how))

    def pass_time(self, seconds: float) -> None:
        end, ticks = self.now + seconds, 0
        while (due := self.mind.next_due()) <= end:
            self.now = max(self.now, due)
            self.tell(controller.Tick())
            ticks += 1
            assert ticks < 200 or self.mind.next_due() > self.now, f"it spins: {self.mind.members}"
        self.now = end
        self.tell(controller.Tick())

    def settle(self, rounds: int = 60) -> None:
        """Everything goes well: what is asked to end ends, what starts serves."""
        for _ in range(rounds):
            for run in list(self.stopping):
                if run in self.alive:
                    self.end(run)
            for run, start in list(self.alive.items()):
                member = self.mind.members.get(start.number)
                if member and run in (member.run, member.coming):
                    if start.replaces and member.coming == run and member.run in self.alive:
                        old = member.run
                        self.ready(run)
                        self.stopping.add(old)
                    else:
                        self.ready(run)
            self.pass_time(0.3)

    def states(self) -> dict[int, State]:
        return {n: m.state for n, m in self.mind.members.items()}

    def order(self, kind: Kind, count: int = 0) -> int:
        self.orders += 1
        self.tell(controller.Order(self.orders, kind, count))
        return self.orders

    def done(self, order: int) -> controller.ReportProgress:
        (report,) = [a for a in self.said if isinstance(a, controller.ReportProgress) and a.id == order and a.done]
        return report

    def serving(self) -> int:
        return sum(m.state in (State.READY, State.REPLACING) for m in self.mind.members.values())


def test_every_move_that_is_not_in_the_table_raises() -> None:
    for state in State:
        for move in Move:
            member = Member(0, state)
            if (state, move) in MOVES:
                member.move(move)
                assert member.state is MOVES[state, move]
            else:
                with pytest.raises(KeyError):
                    member.move(move)


def test_a_start_is_spread_and_the_size_told_before() -> None:
    play = Play(start=False)
    first = play.tell(controller.FleetStarted(3))
    assert first[0] == controller.Resize(3)
    starts: dict[int, float] = {}
    for _ in range(200):
        play.pass_time(0.01)
        for run in play.alive:
            starts.setdefault(run, play.now)
    times = sorted(starts.values())
    assert len(times) == 3 and times[-1] - times[0] <= SET.spread + 0.02
    assert all(b > a for a, b in pairwise(times))
    assert not any(s.joins for s in play.alive.values())


def test_a_restart_rolls_one_by_one_and_waits_for_health() -> None:
    play = Play()
    order = play.order(Kind.RESTART)
    for number in range(3):
        assert [n for n, s in play.states().items() if s is State.STOPPING] == [number]
        play.end(play.mind.members[number].run)
        play.pass_time(0.01)
        run = play.mind.members[number].run
        play.ready(run, healthy=False)
        play.pass_time(3.0)
        assert play.serving() == 3 and play.mind.working()  # ready is not yet healthy
        play.ready(run)
        play.pass_time(SET.settle + 0.01)
    assert play.done(order).good and play.states() == dict.fromkeys(range(3), State.READY)


def test_an_upgrade_keeps_the_old_until_the_new_serves() -> None:
    play = Play()
    order = play.order(Kind.UPGRADE)
    member = play.mind.members[0]
    old, new = member.run, member.coming
    assert play.alive[new].replaces and old in play.alive and not play.stopping
    play.ready(new)
    assert member.run == new and play.mind.members[1].state is State.READY
    play.end(old)
    assert member.state is State.READY and member.run == new
    play.settle()
    assert play.done(order).good


def test_the_old_one_may_end_before_the_new_ones_word_comes() -> None:
    play = Play()
    order = play.order(Kind.UPGRADE)
    member = play.mind.members[0]
    new = member.coming
    play.end(member.run)
    assert play.states()[0] is State.REPLACING and new in play.alive
    play.ready(new)
    assert play.states()[0] is State.READY and member.run == new
    play.settle()
    assert play.done(order).good


@pytest.mark.parametrize("way", ["ends", "hangs", "both"])
def test_a_broken_program_stops_the_upgrade_and_the_old_ones_serve_on(way: str) -> None:
    play = Play()
    runs = [m.run for m in play.mind.members.values()]
    order = play.order(Kind.UPGRADE)
    member = play.mind.members[0]
    if way == "hangs":
        play.pass_time(SET.ready + 0.1)
        assert member.coming == -1
    else:
        coming = member.coming
        if way == "both":
            play.end(member.run)
        play.end(coming, "ended with code 1")
    report = play.done(order)
    assert not report.good and "member 0" in report.text and "not touched: 1, 2" in report.text
    assert [m.run for m in play.mind.members.values()][1:] == runs[1:]
    if way != "both":
        assert play.states() == dict.fromkeys(range(3), State.READY) and member.run == runs[0]
    else:
        assert member.state is State.WAITING
    play.settle()
    assert play.states() == dict.fromkeys(range(3), State.READY)


def test_a_crash_elsewhere_stops_a_roll() -> None:
    play = Play()
    order = play.order(Kind.RESTART)
    play.end(play.mind.members[2].run, "was ended by SIGKILL")
    assert not play.done(order).good
    play.settle()
    assert play.states() == dict.fromkeys(range(3), State.READY)


def test_waits_grow_and_a_crash_loop_is_a_named_state_until_an_order() -> None:
    play, waits = Play(), []
    for _ in range(SET.crashes):
        member = play.mind.members[1]
        play.end(member.run, "ended with code 1")
        waits.append(member.due - play.now)
        play.pass_time(SET.longest_wait if member.state is State.WAITING else 0.0)
    assert 0.25 <= waits[0] <= 0.5 <= waits[1] <= 1.0
    assert play.states()[1] is State.LOOPING
    play.pass_time(500.0)
    assert play.states()[1] is State.LOOPING and play.mind.next_due() > play.now
    assert not play.done(play.order(Kind.UPGRADE)).good
    order = play.order(Kind.RESTART)
    play.settle()
    assert play.done(order).good and play.states()[1] is State.READY


def test_scaling_tells_the_size_before_it_starts_and_after_it_stopped() -> None:
    play = Play()
    up = play.order(Kind.SCALE, 5)
    assert play.size == 5
    play.pass_time(SET.spread)
    assert sorted(s.number for s in play.alive.values() if s.joins) == [3, 4]
    play.settle()
    assert play.done(up).good and len(play.states()) == 5
    joined = play.mind.members[4]
    play.end(joined.run, "was ended by SIGKILL")
    play.settle()
    assert not play.alive[joined.run].joins  # only the first start is a joining
    down = play.order(Kind.SCALE, 2)
    assert play.size == 5 and {play.alive[r].number for r in play.stopping} == {2, 3, 4}
    play.settle()
    assert play.done(down).good and play.size == 2 and list(play.states()) == [0, 1]


def test_a_successor_adopts_and_starts_only_what_is_missing() -> None:
    play = Play(start=False)
    play.tell(controller.MemberAdopted(0, "a", True))
    play.tell(controller.MemberAdopted(2, "c", False))
    play.tell(controller.FleetStarted(3))
    assert [s.number for s in play.alive.values()] == [1]  # and at once
    play.tell(controller.StatusReported(play.mind.members[2].run, "c", True, True))
    assert play.states()[0] is State.READY and play.states()[2] is State.READY


def test_who_never_ends_or_never_gets_ready_is_killed() -> None:
    play = Play()
    play.order(Kind.SCALE, 2)
    play.stopping.clear()
    play.pass_time(SET.stop + 0.1)
    assert controller.Kill(play.mind.members[2].run) in play.said
    play = Play(start=False)
    play.tell(controller.FleetStarted(1))
    play.pass_time(SET.spread + SET.ready + 0.1)
    assert controller.Kill(play.mind.members[0].run) in play.said


def test_orders_wait_for_each_other_and_going_down_for_nobody() -> None:
    play = Play()
    roll = play.order(Kind.RESTART)
    assert "under way" in play.done(play.order(Kind.SCALE, 9)).text
    down = play.order(Kind.DOWN)
    assert not play.done(roll).good
    play.settle()
    assert play.done(down).good and controller.Exit() in play.said and not play.alive


class Fuzz(RuleBasedStateMachine):
    """Anything at any time, against what must hold always."""

    def __init__(self) -> None:
        super().__init__()
        self.play = Play(start=False)

    @initialize(count=st.integers(1, 4))
    def up(self, count: int) -> None:
        self.play.tell(controller.FleetStarted(count))

    def pick(self, number: int) -> int:
        return sorted(self.play.alive)[number % len(self.play.alive)]

    @precondition(lambda self: self.play.alive)
    @rule(number=st.integers(0, 9), healthy=st.booleans())
    def told(self, number: int, healthy: bool) -> None:
        self.play.ready(self.pick(number), healthy)

    @precondition(lambda self: self.play.alive)
    @rule(number=st.integers(0, 9))
    def ends(self, number: int) -> None:
        self.play.end(self.pick(number), "ended with code 1")

    @rule(seconds=st.sampled_from([0.01, 0.6, 3.0, 9.0]))
    def time(self, seconds: float) -> None:
        self.play.pass_time(seconds)

    @rule(kind=st.sampled_from([Kind.SCALE, Kind.RESTART, Kind.UPGRADE]), count=st.integers(1, 5))
    def order(self, kind: Kind, count: int) -> None:
        self.play.order(kind, count)

    @invariant()
    def one_at_a_time(self) -> None:
        touched = [
            m
            for m in self.play.mind.members.values()
            if m.state is State.REPLACING or (m.state is State.STOPPING and m.again)
        ]
        assert len(touched) <= 1

    @invariant()
    def no_member_has_two_runs_that_count(self) -> None:
        runs: list[Any] = [m.run for m in self.play.mind.members.values() if m.run >= 0]
        runs += [m.coming for m in self.play.mind.members.values() if m.coming >= 0]
        assert len(runs) == len(set(runs))

    @invariant()
    def the_size_covers_every_member(self) -> None:
        assert all(m.number < self.play.mind.size for m in self.play.mind.members.values())

    def teardown(self) -> None:
        """From anywhere, when things go well again, the fleet comes to rest as it was last wanted."""
        play = self.play
        if play.mind.members:
            play.settle(150)
            assert not play.mind.working()
            assert set(play.states().values()) <= {State.READY, State.LOOPING}
            assert sorted(play.states()) == list(range(play.mind.count)) and play.mind.size == play.mind.count


TestFuzz = Fuzz.TestCase
TestFuzz.settings = profile(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True, phases=[Phase.explicit, Phase.generate]
)
