"""Schedules of faults: what goes wrong, when and where. The values of the enums are those of schedule files."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from thymeflow.errors import ThymeflowError


class FaultAction(Enum):
    """What a step does. Its targets are limiters, and for a link the limiters at whose end the link is."""

    KILL_LIMITER = "kill"  # SIGKILL
    TERMINATE_LIMITER = "end"  # SIGTERM
    START_LIMITER = "start"  # again, with what it left on disk
    PAUSE_LIMITER = "stop"  # SIGSTOP
    RESUME_LIMITER = "go on"  # SIGCONT
    CUT_LINK = "cut"  # connections are reset, and refused from then on
    BLACKHOLE_LINK = "silence"  # no bytes pass, and no side is notified; the direction is a setting of the step
    DELAY_LINK = "delay"  # by `amount` seconds
    STALL_LINK = "stall"  # after `amount` bytes more, in the middle of whatever that is
    HEAL_LINK = "heal"
    KILL_BACKEND = "server dies"  # the targets of this action and the next ones are backends
    RESTART_BACKEND = "server back"
    DRAIN_BACKEND = "server drains"  # it stays in the endpoint list
    REMOVE_BACKEND = "server gone"
    FAIL_BACKEND = "server bad"  # `amount`: fraction of responses that are errors
    KILL_COUNTER = "counter dies"
    RESTART_COUNTER = "counter back"
    CLEAR_COUNTER = "counter forgets"
    SATURATE_COUNTER = "counter full"  # it rejects every call
    RELIEVE_COUNTER = "counter well"


class Link(Enum):
    """From a limiter to what it talks to; clients open theirs to the limiter."""

    CLIENTS = "agents"
    BACKENDS = "servers"
    COUNTER = "counter"
    DISCOVERY = "discovery"


class Direction(Enum):
    """A direction over a link, as the limiter sees it."""

    BOTH = "both"
    OUT = "out"
    IN = "in"


LINK_ACTIONS = (
    FaultAction.CUT_LINK,
    FaultAction.BLACKHOLE_LINK,
    FaultAction.DELAY_LINK,
    FaultAction.STALL_LINK,
    FaultAction.HEAL_LINK,
)
BACKEND_ACTIONS = (
    FaultAction.KILL_BACKEND,
    FaultAction.RESTART_BACKEND,
    FaultAction.DRAIN_BACKEND,
    FaultAction.REMOVE_BACKEND,
    FaultAction.FAIL_BACKEND,
)
COUNTER_ACTIONS = (
    FaultAction.KILL_COUNTER,
    FaultAction.RESTART_COUNTER,
    FaultAction.CLEAR_COUNTER,
    FaultAction.SATURATE_COUNTER,
    FaultAction.RELIEVE_COUNTER,
)
ACTIONS_WITH_AMOUNT = (FaultAction.DELAY_LINK, FaultAction.STALL_LINK)

RUN_COMMAND = "run"  # the platform's run line
SERVE_COMMAND = "serve"  # the daemon
COMMANDS = (RUN_COMMAND, SERVE_COMMAND)

DEMAND_QUOTAS = "demand"  # limiters divide a customer's quota by demand
RESERVED_QUOTAS = "tickets"  # limiters reserve units of a customer's quota
QUOTA_MODES = (DEMAND_QUOTAS, RESERVED_QUOTAS)


class ScheduleError(ThymeflowError):
    """The schedule cannot be run; `errors` has a line for each reason, with its place."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


@dataclass(frozen=True, slots=True)
class FaultStep:
    """One fault, or the end of one."""

    at: float  # s after the load has started
    action: FaultAction
    targets: tuple[int, ...] = ()
    link: Link | None = None
    direction: Direction = Direction.BOTH
    amount: float = 0.0


@dataclass(frozen=True, slots=True)
class Schedule:
    """A test cluster and what goes wrong in it."""

    limiter_count: int = 3
    backend_count: int = 4
    load_seconds: float = 6.0
    seed: int = 1
    command: str = RUN_COMMAND
    quota_mode: str = DEMAND_QUOTAS
    demand_fraction: float = 0.6  # of each customer's quota
    customer_count: int = 12
    mean_work_seconds: float = 0.02  # of a request at a backend
    steps: tuple[FaultStep, ...] = ()


def in_order(steps: list[FaultStep]) -> tuple[FaultStep, ...]:
    """Return the steps by their times."""
    return tuple(sorted(steps, key=lambda step: step.at))
