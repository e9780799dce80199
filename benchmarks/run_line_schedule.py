"""The schedule of faults on links and processes of the platform's run line, through two restarts."""

from __future__ import annotations

from thymeflow.testkit.faults.schedule import Direction, FaultAction, FaultStep, Link, Schedule

LIMITER_COUNT = 12
KILL_AT_SECONDS = 15.0  # after the load has started: all limiters
ALL_LIMITERS = tuple(range(LIMITER_COUNT))
RESTARTED_LIMITERS = ALL_LIMITERS[:8]  # once more
PAUSED_LIMITERS = (2, 5)
FIRST_GROUP = (0, 3, 6, 9)
SECOND_GROUP = (1, 4, 7)

STEPS = (
    FaultStep(1.0, FaultAction.PAUSE_LIMITER, PAUSED_LIMITERS),
    FaultStep(4.0, FaultAction.RESUME_LIMITER, PAUSED_LIMITERS),
    FaultStep(2.0, FaultAction.BLACKHOLE_LINK, FIRST_GROUP, Link.COUNTER),
    FaultStep(5.0, FaultAction.HEAL_LINK, FIRST_GROUP, Link.COUNTER),
    FaultStep(3.0, FaultAction.DELAY_LINK, SECOND_GROUP, Link.COUNTER, amount=0.2),
    FaultStep(7.0, FaultAction.HEAL_LINK, SECOND_GROUP, Link.COUNTER),
    FaultStep(6.0, FaultAction.BLACKHOLE_LINK, FIRST_GROUP, Link.COUNTER, Direction.IN),
    FaultStep(8.0, FaultAction.HEAL_LINK, FIRST_GROUP, Link.COUNTER),
    FaultStep(8.5, FaultAction.CUT_LINK, SECOND_GROUP, Link.COUNTER),
    FaultStep(10.0, FaultAction.HEAL_LINK, SECOND_GROUP, Link.COUNTER),
    FaultStep(9.0, FaultAction.STALL_LINK, FIRST_GROUP, Link.COUNTER, amount=200),
    FaultStep(11.0, FaultAction.HEAL_LINK, FIRST_GROUP, Link.COUNTER),
    FaultStep(KILL_AT_SECONDS, FaultAction.KILL_LIMITER, ALL_LIMITERS),
    FaultStep(KILL_AT_SECONDS + 0.05, FaultAction.START_LIMITER, ALL_LIMITERS),
    FaultStep(KILL_AT_SECONDS + 5.0, FaultAction.KILL_LIMITER, RESTARTED_LIMITERS),
    FaultStep(KILL_AT_SECONDS + 6.0, FaultAction.START_LIMITER, RESTARTED_LIMITERS),
)


def run_line_schedule(quota_mode: str) -> Schedule:
    """Return the schedule, with customers that request three times their quotas."""
    return Schedule(
        limiter_count=LIMITER_COUNT,
        backend_count=4,
        load_seconds=KILL_AT_SECONDS + 11.0,
        seed=23,
        demand_fraction=3.0,
        customer_count=16,
        quota_mode=quota_mode,
        steps=STEPS,
    )
