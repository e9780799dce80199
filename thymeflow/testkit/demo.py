"""What a newcomer runs first: fakes, three real limiters, requests of four plans, a live table.

One backend is killed and comes back; the fleet is upgraded once while it serves. Nothing is left behind: the folder is
temporary, the members are shut down gracefully, and what does not end is ended by its process id.
"""

from __future__ import annotations

import contextlib
import shutil
import signal
import tempfile
import time
from pathlib import Path

from rich.console import Console, Group
from rich.live import Live
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from thymeflow.testkit.async_steps import Steps, reactor, sleep
from thymeflow.testkit.demo_view import render
from thymeflow.testkit.fakes import Customer, Environment
from thymeflow.testkit.fakes.site import PLANS, REQUEST_CLASSES
from thymeflow.testkit.fleet_harness import FleetHarness, FleetNotReadyError
from thymeflow.testkit.fleet_status import FleetStatus, MemberStatus

SEED = 11
LIMITER_COUNT = 3
BACKEND_COUNT = 4
DEMAND_FRACTIONS = {
    "kedai": 0.6,
    "biasa": 0.8,
    "rangkaian": 1.0,
    "korporat": 1.6,
}  # of quotas: the last is over its own
CUSTOMERS_PER_PLAN = 3
REFRESH_INTERVAL_SECONDS = 0.25
READY_TIMEOUT_SECONDS = 30.0
UPGRADE_TIMEOUT_SECONDS = 60.0
SHUTDOWN_TIMEOUT_SECONDS = 30.0
KILLED_BACKEND = 1
MAX_SHOWN_VIOLATIONS = 5

# Fractions of the demo's length, one after the other.
BEFORE_KILL_FRACTION = 0.25
BACKEND_DOWN_FRACTION = 0.25
BEFORE_UPGRADE_FRACTION = 0.15
AFTER_UPGRADE_FRACTION = 0.35


class Demo:
    """One run of the demo."""

    def __init__(self, seconds: float, console: Console) -> None:
        self._seconds = seconds
        self._console = console
        self._folder = Path(tempfile.mkdtemp(prefix="thymeflow-demo-"))
        self._environment = Environment(reactor, SEED, backend_count=BACKEND_COUNT)
        self._fleet: FleetHarness | None = None
        self._started_at = time.monotonic()
        self._events: list[str] = []
        self._members: tuple[MemberStatus, ...] = ()
        self._live: Live | None = None
        self._is_interrupted = False
        self._exit_code = 0

    def run(self) -> int:
        """Run on the reactor, and return the exit code."""
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: reactor.callFromThread(self._interrupt))
        reactor.callWhenRunning(lambda: self._show().addErrback(self._on_error).addBoth(lambda _: reactor.stop()))
        LoopingCall(self._refresh).start(REFRESH_INTERVAL_SECONDS, now=False)
        is_terminal = self._console.is_terminal
        live = Live(self._view(), console=self._console, auto_refresh=False) if is_terminal else None
        try:
            with live or contextlib.nullcontext():
                self._live = live
                reactor.run(installSignalHandlers=False)
        finally:
            self._live = None
            self._clean_up()
        self._print_summary()
        return self._exit_code

    def _on_error(self, failure: Failure) -> None:
        self._exit_code = 1
        self._report(f"fault: {failure.getErrorMessage()}")

    def _interrupt(self) -> None:
        """End early."""
        self._is_interrupted = True
        self._report("asked to end")

    def _report(self, text: str) -> None:
        line = f"{time.monotonic() - self._started_at:5.1f} s  {text}"
        self._events.append(line)
        if self._live is None:
            self._console.print(line, highlight=False)

    # What is shown.

    @inlineCallbacks
    def _show(self) -> Steps:
        self._environment.start()
        fleet = FleetHarness(self._environment, self._folder, LIMITER_COUNT)
        self._fleet = fleet
        variables = {
            "THYMEFLOW_FLEET_INSTANCES": str(LIMITER_COUNT),
            "THYMEFLOW_FLEET_SPREAD": "200ms",
            "THYMEFLOW_FLEET_SETTLE": "300ms",
            "THYMEFLOW_LOG_FILE": str(self._folder / "log"),
        }
        fleet.start_supervisor(variables, is_own_session=True)
        yield self._wait_until_ready(fleet)
        self._start_load()
        yield self._kill_and_restart_backend()
        yield self._pause(BEFORE_UPGRADE_FRACTION)
        if not self._is_interrupted:
            self._report("the fleet is upgraded, one limiter after the other, while it serves")
            reply = yield fleet.order(UPGRADE_TIMEOUT_SECONDS, do="upgrade")
            self._report(str(reply.get("why")))
        yield self._pause(AFTER_UPGRADE_FRACTION)
        self._environment.clients.stop()
        while self._environment.clients.pending:
            yield sleep(0.05)
        self._report("no more is asked; the fleet goes down")
        reply = yield fleet.order(SHUTDOWN_TIMEOUT_SECONDS, do="down")
        self._report(str(reply.get("why")))

    @inlineCallbacks
    def _wait_until_ready(self, fleet: FleetHarness) -> Steps:
        try:
            status = yield fleet.wait_until_ready(LIMITER_COUNT, READY_TIMEOUT_SECONDS)
        except FleetNotReadyError:
            text = f"the limiters were not ready within {READY_TIMEOUT_SECONDS:g} s"
            raise FleetNotReadyError(text) from None
        self._members = status.members
        addresses = ", ".join(member.listen for member in status.members)
        self._report(f"{LIMITER_COUNT} limiters serve at {addresses}")

    def _start_load(self) -> None:
        number = 0
        for plan, demand_fraction in DEMAND_FRACTIONS.items():
            for _ in range(CUSTOMERS_PER_PLAN):
                number += 1
                customer = Customer(
                    number,
                    plan,
                    demand_fraction * PLANS[plan].units_per_second,
                    first_limiter=number % LIMITER_COUNT,
                    spread=LIMITER_COUNT,
                    limiter_count=LIMITER_COUNT,
                    first_limiter_fraction=0.4,
                )
                self._environment.clients.start_customer(customer, REQUEST_CLASSES)

    @inlineCallbacks
    def _kill_and_restart_backend(self) -> Steps:
        backend = self._environment.backends[KILLED_BACKEND]
        yield self._pause(BEFORE_KILL_FRACTION)
        if not self._is_interrupted:
            backend.kill()
            self._report(f"server s{KILLED_BACKEND} is killed: its work goes to the others")
        yield self._pause(BACKEND_DOWN_FRACTION)
        backend.start()
        self._report(f"server s{KILLED_BACKEND} is back")

    @inlineCallbacks
    def _pause(self, fraction: float) -> Steps:
        end = time.monotonic() + fraction * self._seconds
        while time.monotonic() < end and not self._is_interrupted:
            yield sleep(0.1)

    # The view and the end.

    def _view(self) -> Group:
        return render(self._environment, self._members, self._events)

    def _refresh(self) -> None:
        if self._fleet is not None:
            self._fleet.status().addCallback(self._on_status)
        if self._live is not None:
            self._live.update(self._view(), refresh=True)

    def _on_status(self, status: FleetStatus | None) -> None:
        if status is not None and status.members:
            self._members = status.members

    def _print_summary(self) -> None:
        if not self._console.is_terminal:
            self._console.print(self._view())
        violations = self._environment.attempt_violations()
        wrong_count = len(self._environment.wrongly_answered()) + len(violations)
        unanswered_count = len(self._environment.unanswered())
        for violation in violations[:MAX_SHOWN_VIOLATIONS]:
            self._console.print(f"sent as the rules forbid: {violation}", highlight=False)
        self._console.print(
            f"{len(self._environment.clients.results)} requests, {unanswered_count} without an answer, "
            f"{wrong_count} answered or sent twice",
            highlight=False,
        )
        self._exit_code = self._exit_code or int(bool(unanswered_count or wrong_count))

    def _clean_up(self) -> None:
        if self._fleet is not None:
            self._fleet.wait_for_supervisor(0.5 if self._exit_code == 0 else 0.0)
            if self._exit_code:
                self._fleet.signal_members(signal.SIGTERM)
            self._fleet.end_supervisor()
        shutil.rmtree(self._folder, ignore_errors=True)


def run_demo(seconds: float) -> int:
    """Run the demo for about so many seconds, and return the exit code."""
    return Demo(seconds, Console()).run()
