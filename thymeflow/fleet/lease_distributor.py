"""The supervisor's hands round `budgets.granter`: the table on the disk, what members say, and grants to them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from thymeflow.handover.control_socket import Message
from thymeflow.leases import grant_file
from thymeflow.leases.holder import Allocation, allocation_from_message, message_of
from thymeflow.leases.issuer import LeaseIssuer, State, Write
from thymeflow.leases.resources import BASE, LENT, WHOLE, Resource
from thymeflow.runtime import clock, log

BEAT = 0.25  # s: between divisions


class LeaseDistributor:
    """What the fleet may do, divided among its members by name."""

    def __init__(
        self,
        deadlines: clock.Deadlines,
        path: Path,
        fleet: str,
        send: Callable[[str, Message], None],
        size: Callable[[], int],
    ) -> None:
        self._deadlines, self._path, self._fleet, self._send, self._size = deadlines, path, fleet, send, size
        self._granter = LeaseIssuer(1, clock.monotonic())
        self.fault = ""  # why the last write of the table failed

    def start(self, living: bool) -> None:
        """Go on from the table of the supervisor before; `living`: members of it may run."""
        self._granter, fault = grant_file.read(self._path, self._fleet, clock.monotonic(), living)
        if fault:
            log.note("budgets", f"nothing is granted from the table of before: {fault}")
        log.note(
            "budgets",
            f"era {self._granter.epoch}, {len(self._granter.rows)} members may hold parts",
            era=self._granter.epoch,
        )
        self._beat(0)

    def holders(self) -> list[str]:
        """Members that may hold something."""
        return [name for name, row in self._granter.rows.items() if row.state is not State.ABSENT]

    def _kept(self) -> bool:
        try:
            grant_file.write(self._path, self._granter, self._fleet)
        except OSError as fault:
            if not self.fault:
                log.note("budgets", f"the table is not written, so nothing new is granted: {fault}")
            self.fault = str(fault)
            return False
        self.fault = ""
        return True

    def _beat(self, _: int) -> None:
        granter = self._granter
        granter.resize(self._size())
        for action in granter.tick(clock.monotonic()):
            if not isinstance(action, Write):
                self._send(action.holder, {"do": "part", "part": message_of(action.part)})
            elif self._kept():
                for send in granter.on_written(action.version):
                    self._send(send.holder, {"do": "part", "part": message_of(send.part)})
            else:
                granter.on_write_failed(action.version)
        self._deadlines.at(clock.now() + BEAT, self._beat)

    def on_starting(self, name: str) -> Message:
        """The part that a process of that name is started with."""
        granter = self._granter
        if granter.row(name).state not in (State.ABSENT, State.UNHEARD):
            granter.on_disconnected(name)
        part, _ = granter.on_starting(name, clock.monotonic())
        if not self._kept():
            part = Allocation(part.epoch, part.number)  # it begins with nothing, and is granted later
        return message_of(part)

    def on_report(self, name: str, message: Any) -> None:
        """What a member says of its part; one that claims what cannot be is left with what is known of it."""
        try:
            part = allocation_from_message(message)
            demand = tuple(float(d) for d in message["demand"])
        except (ValueError, TypeError, KeyError) as fault:
            log.say("budgets", f"{name} says of its part what cannot be read: {fault}")
            return
        self._granter.on_report(name, part, demand, clock.monotonic())

    def on_disconnected(self, name: str) -> None:
        """The line to a member has ended."""
        self._granter.on_disconnected(name)

    def on_death(self, name: str) -> None:
        """A member's processes have all ended."""
        self._granter.on_death(name)

    def status(self) -> dict[str, Any]:
        """Whole, parts and ends, as JSON takes it; amounts in points of the whole."""
        granter, now = self._granter, clock.monotonic()
        rows = {}
        for name, row in sorted(granter.rows.items()):
            rows[name] = {
                "state": row.state.value,
                "number": row.number,
                "told": list(row.told),
                "ends_in_s": round(max(0.0, row.end - now), 2),
                "demand": list(row.demand),
                "base": {k.value: granter.base[n].out(name, now) for n, k in enumerate(Resource)},
                "lease": {k.value: granter.lent[n].out(name, now) for n, k in enumerate(Resource)},
            }
        return {
            "whole": WHOLE,
            "base": BASE,
            "pool": LENT,
            "era": granter.epoch,
            "fault": self.fault,
            "free": {
                k.value: {"base": granter.base[n].free(now), "pool": granter.lent[n].free(now)}
                for n, k in enumerate(Resource)
            },
            "members": rows,
        }
