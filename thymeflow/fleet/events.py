"""The events that the fleet controller decides on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class FleetStarted:
    """The supervisor has adopted the members that run already, and wants `count` members."""

    count: int


@dataclass(frozen=True, slots=True)
class MemberAdopted:
    """A member that runs already was found."""

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
    """A run is over; `reason` completes a sentence that begins with the member's name."""

    run_id: int
    reason: str


class OperationKind(Enum):
    """What an operator may order; the values are those of the control socket."""

    SCALE = "scale"
    RESTART = "restart"
    UPGRADE = "upgrade"
    SHUTDOWN = "down"


@dataclass(frozen=True, slots=True)
class Operation:
    """An operator's order; `count` is the wanted number of members of a SCALE, `id` comes back in its reports."""

    id: int
    kind: OperationKind
    count: int = 0


class EventHandler(Protocol):
    """What the supervisor offers to the objects that it is composed of."""

    def handle_event(self, event: Event) -> None:
        """Decide on an event, and carry out the actions."""

    def fleet_size(self) -> int:
        """Return the size of the fleet that members are notified of."""


Event = Tick | FleetStarted | MemberAdopted | StatusReported | RunEnded | Operation
