"""The events that the fleet controller handles."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed, so that a deadline may be due."""


@dataclass(frozen=True, slots=True)
class FleetStarted:
    """The supervisor has adopted the members that were already running; the fleet is to have `count` members."""

    count: int


@dataclass(frozen=True, slots=True)
class MemberAdopted:
    """The supervisor has found a member that was already running."""

    number: int
    incarnation: str
    is_serving: bool


@dataclass(frozen=True, slots=True)
class StatusReported:
    """A run has reported its status."""

    run_id: int
    incarnation: str
    is_serving: bool
    is_healthy: bool


@dataclass(frozen=True, slots=True)
class RunEnded:
    """The process of a run has ended; `reason` is a verb phrase about the process, such as "ended with code 1"."""

    run_id: int
    reason: str


class OperationKind(Enum):
    """The kinds of operations that an operator can order; the values are those of `do` on the control socket."""

    SCALE = "scale"
    RESTART = "restart"
    UPGRADE = "upgrade"
    SHUTDOWN = "down"


@dataclass(frozen=True, slots=True)
class OperationOrdered:
    """An operation that an operator orders; `count` is the wanted number of members, for a SCALE only.

    `id` identifies the operation in its progress reports.
    """

    id: int
    kind: OperationKind
    count: int = 0


class SupervisorInterface(Protocol):
    """The methods of the supervisor that its parts call."""

    def handle_event(self, event: Event) -> None:
        """Pass an event to the controller, and carry out the resulting actions."""

    def fleet_size(self) -> int:
        """Return the fleet size that members are notified of."""


Event = Tick | FleetStarted | MemberAdopted | StatusReported | RunEnded | OperationOrdered
