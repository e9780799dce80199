"""What is handed over from one life of a limiter to the next, as both sides of a hand-over see it."""

from __future__ import annotations

import socket
from typing import Protocol

from thymeflow.handover.control_socket import Message
from thymeflow.limiter.assembly import Limiter
from thymeflow.snapshot.store import SnapshotStore


class RejectedHandoverError(Exception):
    """What was offered cannot be used; the text says why."""


class HandoverParticipant(Protocol):
    """One limiter with what it needs to take over and to be taken over from: the daemon's, or the platform's run."""

    incarnation: str
    limiter: Limiter

    @property
    def snapshots(self) -> SnapshotStore:
        """What is remembered of the limiter."""

    @property
    def step_timeout(self) -> float:
        """Seconds that a step of a hand-over may take."""

    @property
    def rollback_window(self) -> float:
        """Seconds for which the old one, once the new one accepts, stays to come back should that one die."""

    @property
    def requires_same_site(self) -> bool:
        """Whether plans and place in the set have to be equal; else what fits of the state is taken."""

    def descriptors(self) -> list[int]:
        """What goes with the offer, the listening socket first."""

    def adopt_descriptors(self, descriptors: list[int]) -> socket.socket:
        """The listening socket among what came with the offer; Unfit says why it cannot be used."""

    def accept(self, listening: socket.socket) -> str:
        """Accept from now on; the fault, or nothing."""

    def hand_over_allocation(self) -> Message | None:
        """What else goes with the state, and is not ours to use from then on; None where there is nothing."""

    def inherit_allocation(self, message: object) -> None:
        """What went with the state of the life before."""

    def on_taken_back(self, used: bool) -> None:
        """The state is ours again; `used`: by another in between, which may not have ended."""

    def on_resumed(self) -> None:
        """The limiter is ours again."""

    def abandon(self) -> None:
        """Nothing was taken over, and nothing accepted yet."""

    def retreat(self) -> None:
        """The old one's line ended before it gave its last word, and we accept already."""


def held(limiter: Limiter) -> int:
    """How many descriptors a limiter holds, beside a few that every process has."""
    return len(limiter.front.agents) + limiter.upstream.count
