"""A member's part of what the fleet may do: granted over its control socket, used by its gateway, passed on whole.

A limiter without a supervisor has no part, and goes by the even share of the told size of the set.
"""

from __future__ import annotations

from typing import Any

from thymeflow.core.dispatcher import RequestDispatcher
from thymeflow.decision.gateway import Gateway
from thymeflow.handover.control_socket import Message
from thymeflow.leases.holder import Allocation, LeaseHolder, allocation_from_message, message_of
from thymeflow.leases.resources import WHOLE, Resource
from thymeflow.runtime import clock, log

MEMORY = 0.7  # of the demand of before, at each look: looks are half a second apart


class LeaseShare:
    """The part of this process, if it has one."""

    def __init__(self, given: object) -> None:
        self._holder: LeaseHolder | None = None
        self._demand, self._taken, self._at = 0.0, 0, clock.now()
        if given is not None:
            try:
                self._holder = LeaseHolder(allocation_from_message(given))
            except ValueError as fault:
                log.note("budgets", f"the part in the configuration is not used: {fault}; no part until one is granted")
                self._holder = LeaseHolder()

    def serve(self, gateway: Gateway) -> None:
        """Let the gateway ask here for its shares."""
        if self._holder is not None:
            gateway.fraction_of = self.share

    def share(self, kind: str) -> float:
        """Of the whole, what may be used now."""
        assert self._holder is not None
        return self._holder.amount(Resource(kind), clock.monotonic()) / WHOLE

    def told(self, core: RequestDispatcher) -> Message | None:
        """What there is to say to who divides; None where this process has no part to use."""
        if self._holder is None or self._holder.handed_over:
            return None
        now, taken = clock.now(), sum(core.response_counts.values())
        if now > self._at:
            rate = max(0, taken - self._taken) / (now - self._at)
            self._demand += (1.0 - MEMORY) * (rate - self._demand)
            self._taken, self._at = taken, now
        moment = clock.monotonic()
        return {
            **message_of(self._holder.allocation),
            "demand": [round(self._demand, 3)] * len(Resource),
            "in_force": {kind.value: self._holder.amount(kind, moment) for kind in Resource},
        }

    def offered(self, message: Any) -> str:
        """A grant has come; why it is not taken, or nothing."""
        try:
            part = allocation_from_message(message)
        except ValueError as fault:
            log.say("budgets", f"a grant that cannot be read changes nothing: {fault}")
            return str(fault)
        if self._holder is None:
            return "this process goes by the even share: it was started without a part"
        return "" if self._holder.on_grant(part) else "it is not newer than what is held"

    # A hand-over: see `succession.estate`.

    def hand_on(self) -> Message | None:
        """Give the part to the next life: from now on it is not ours to use."""
        return None if self._holder is None else message_of(self._holder.hand_over())

    def inherit(self, message: Any) -> None:
        """The part of the life before, which does not use it any more."""
        if self._holder is not None and not self.offered(message):
            log.note("budgets", "the part was handed on with the state")

    def resumed(self, used: bool) -> None:
        """The next life is gone; `used`: it may have used the part, and may be using it still."""
        if self._holder is None:
            return
        if used:  # what comes next is granted anew, under a number that the other one has not
            held = self._holder.allocation
            self._holder.allocation = Allocation(held.epoch, held.number)
        self._holder.take_back()
