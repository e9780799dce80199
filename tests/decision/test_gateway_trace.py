"""The quota decisions of several gateways, compared with digests of seeded runs over the simulator adapter's text wire.

A run hosts a few gateways in one adapter and plays their surroundings in virtual time: clients that retry and leave,
backends that warm up, drain, fail and go, endpoint lists that come complete and as deltas, gossip between the gateways
that is late or lost, and a shared counter that answers, times out or is full. The adapter's replies are the trace."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import TextIO, cast

import pytest

from tests.decision.trace_sites import site, site_with_counter
from tests.decision.trace_surroundings import Surroundings
from tests.fleet_bounds import fixed_bounds
from tests.trace_digest import TraceDigest
from thymeflow import simulator
from thymeflow.decision.actions import Action, StartAttempt
from thymeflow.decision.events import Event, RequestBodyStarted, SettingsChanged
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.reserved_admission import create_reserving_gateway
from thymeflow.decision.settings import GatewaySettings
from thymeflow.platform.settings import parse_platform_settings


def run_adapter(lines: Iterator[str], out: TextIO) -> None:
    """Feed lines to the adapter as its standard input."""
    assert simulator.main(cast(TextIO, lines), out) == 0


def plain_gateway(settings: GatewaySettings, seed: int) -> Gateway:
    """A gateway whose retries, concurrency, calls, probes and connections are bounded over the set."""
    gateway = Gateway(settings, seed, 0.25)
    gateway.set_fleet_bounds(fixed_bounds(0.4, {"calls": 30.0, "trials": 4.0, "connections": 12.0}))
    return gateway


def strict_gateway(settings: GatewaySettings, seed: int) -> Gateway:
    """A gateway of the strict form, as the run line creates it for units by reservation."""
    return create_reserving_gateway(settings, seed, clock_offset=1000.25)


def changed_settings(settings: GatewaySettings) -> Event:
    """The event that puts other settings in force."""
    return SettingsChanged(settings)


def body_begun(rid: str) -> Event:
    """The event of a request body that is forwarded without being buffered."""
    return RequestBodyStarted(rid)


def exact_line(action: Action) -> str:
    """The wire's line, with what it leaves out of an attempt: within how many seconds it may begin."""
    line = simulator.format_action(action)
    return f"{line} within={action.start_within:.6f}" if isinstance(action, StartAttempt) else line


class ExactAdapter(simulator.SimulatorAdapter):
    """An adapter that writes down attempts with all of their terms."""

    def handle_event(self, event: Event) -> None:
        """Hand an event to its instance."""
        gateway = self.gateways.get(self.instance)
        if gateway is not None:
            self.write([exact_line(action) for action in gateway.handle(self.now, event)])


def run_directly(make: Callable[[GatewaySettings, int], Gateway]) -> Callable[[Iterator[str], TextIO], None]:
    """Feed lines to an adapter whose gateways are made here; two events that its wire lacks are handed in as well."""

    def run(lines: Iterator[str], out: TextIO) -> None:
        adapter = ExactAdapter(out)
        for line in lines:
            kind, _, rest = line.rstrip("\n").partition(" ")
            if kind == "born":
                fields = simulator.parse_fields(kind, rest)
                settings = parse_platform_settings(json.loads(fields["settings"]))
                adapter.gateways[adapter.instance] = make(settings, int(fields["salt"]))
            elif kind == "body":
                adapter.handle_event(body_begun(simulator.parse_fields(kind, rest)["rid"]))
            elif kind == "settings_changed":
                info = json.loads(simulator.parse_fields(kind, rest)["settings"])
                adapter.handle_event(changed_settings(parse_platform_settings(info)))
            else:
                adapter.handle_line(line.rstrip("\n"))

    return run


@pytest.fixture
def gossiping() -> TraceDigest:
    """Four gateways that report to each other by gossip."""
    return Surroundings(11, [site(n, 4) for n in range(4)], 30.0).run(run_adapter)


def test_actions_match_the_recorded_trace_when_gateways_gossip(gossiping: TraceDigest) -> None:
    gossiping.check("gateway-gossip")


def test_actions_match_the_recorded_trace_when_a_small_set_has_a_counter() -> None:
    trace = Surroundings(12, [site_with_counter(n, 3) for n in range(3)], 30.0).run(run_adapter)
    trace.check("gateway-counter")


def test_actions_match_the_recorded_trace_when_a_large_set_calls_the_counter_first() -> None:
    surroundings = Surroundings(13, [site_with_counter(n, 6) for n in range(6)], 60.0)
    surroundings.add_scarce_customers(8)
    trace = surroundings.run(run_adapter)
    trace.check("gateway-asking")


def test_actions_match_the_recorded_trace_when_fleet_limits_bound_gateways_and_settings_change() -> None:
    trace = Surroundings(14, [site(n, 4) for n in range(3)], 30.0, direct=True).run(run_directly(plain_gateway))
    trace.check("gateway-bounded")


def test_actions_match_the_recorded_trace_when_units_are_reserved_at_the_counter() -> None:
    instances = [site_with_counter(n, 4) for n in range(3)]
    trace = Surroundings(15, instances, 30.0, direct=True).run(run_directly(strict_gateway))
    trace.check("gateway-strict")


def test_every_kind_of_event_and_of_action_occurs_when_gateways_gossip(gossiping: TraceDigest) -> None:
    assert {"head_received", "attempt_end", "left", "reminder", "probe_done", "message"} <= gossiping.events.keys()
    assert {"issue", "bounce", "error", "call_off", "arm", "share", "subscribe"} <= gossiping.actions.keys()
