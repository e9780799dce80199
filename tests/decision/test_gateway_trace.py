"""Compares the decisions of several gateways with digests of recorded seeded runs.

A run hosts several gateways in one simulator adapter and simulates their environment in virtual time: clients that
retry and disconnect, backends that warm up, drain, fail and disappear, full and incremental endpoint lists, late and
lost gossip between the gateways, and a shared counter that replies, times out or is full. The trace consists of the
replies of the adapter in its text protocol.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import TextIO, cast

import pytest

from tests.decision.trace_environment import SimulatedEnvironment
from tests.decision.trace_settings import build_counter_settings, build_gateway_settings
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
    """Run the adapter with the lines as its standard input."""
    assert simulator.main(cast(TextIO, lines), out) == 0


def create_bounded_gateway(settings: GatewaySettings, seed: int) -> Gateway:
    """Create a gateway with 0.4 of each fleet resource, and limits for counter calls, probes and connections."""
    gateway = Gateway(settings, seed, 0.25)
    gateway.set_fleet_bounds(fixed_bounds(0.4, {"calls": 30.0, "trials": 4.0, "connections": 12.0}))
    return gateway


def create_strict_gateway(settings: GatewaySettings, seed: int) -> Gateway:
    """Create a gateway that reserves units at the counter, as a limiter process does."""
    return create_reserving_gateway(settings, seed, clock_offset=1000.25)


def build_settings_change(settings: GatewaySettings) -> Event:
    """Build the event that puts new settings in force."""
    return SettingsChanged(settings)


def build_body_start(request_id: str) -> Event:
    """Build the event of a request body that is forwarded without being buffered."""
    return RequestBodyStarted(request_id)


def format_exact_line(action: Action) -> str:
    """Return the protocol's line for an action, and add the `start_within` of an attempt, which the protocol omits."""
    line = simulator.format_action(action)
    return f"{line} within={action.start_within:.6f}" if isinstance(action, StartAttempt) else line


class ExactAdapter(simulator.SimulatorAdapter):
    """An adapter whose output includes all fields of attempts."""

    def handle_event(self, event: Event) -> None:
        """Pass an event to the gateway of the current instance."""
        gateway = self.gateways.get(self.instance)
        if gateway is not None:
            self.write([format_exact_line(action) for action in gateway.handle(self.now, event)])


def build_direct_runner(create: Callable[[GatewaySettings, int], Gateway]) -> Callable[[Iterator[str], TextIO], None]:
    """Build a function that runs an adapter with gateways from `create`.

    The function also accepts the lines `body` and `settings_changed`, which the protocol lacks.
    """

    def run(lines: Iterator[str], out: TextIO) -> None:
        adapter = ExactAdapter(out)
        for line in lines:
            kind, _, arguments = line.rstrip("\n").partition(" ")
            if kind == "born":
                fields = simulator.parse_fields(kind, arguments)
                settings = parse_platform_settings(json.loads(fields["settings"]))
                adapter.gateways[adapter.instance] = create(settings, int(fields["salt"]))
            elif kind == "body":
                adapter.handle_event(build_body_start(simulator.parse_fields(kind, arguments)["rid"]))
            elif kind == "settings_changed":
                info = json.loads(simulator.parse_fields(kind, arguments)["settings"])
                adapter.handle_event(build_settings_change(parse_platform_settings(info)))
            else:
                adapter.handle_line(line.rstrip("\n"))

    return run


@pytest.fixture
def gossip_trace() -> TraceDigest:
    """Return the trace of four gateways that report to each other by gossip."""
    return SimulatedEnvironment(11, [build_gateway_settings(n, 4) for n in range(4)], 30.0).run(run_adapter)


def test_actions_match_the_recorded_trace_when_gateways_gossip(gossip_trace: TraceDigest) -> None:
    gossip_trace.check("gateway-gossip")


def test_actions_match_the_recorded_trace_when_a_small_set_has_a_counter() -> None:
    trace = SimulatedEnvironment(12, [build_counter_settings(n, 3) for n in range(3)], 30.0).run(run_adapter)
    trace.check("gateway-counter")


def test_actions_match_the_recorded_trace_when_a_large_set_calls_the_counter_first() -> None:
    environment = SimulatedEnvironment(13, [build_counter_settings(n, 6) for n in range(6)], 60.0)
    environment.add_scarce_customers(8)
    trace = environment.run(run_adapter)
    trace.check("gateway-asking")


def test_actions_match_the_recorded_trace_when_fleet_limits_bound_gateways_and_settings_change() -> None:
    trace = SimulatedEnvironment(14, [build_gateway_settings(n, 4) for n in range(3)], 30.0, has_extra_events=True).run(
        build_direct_runner(create_bounded_gateway)
    )
    trace.check("gateway-bounded")


def test_actions_match_the_recorded_trace_when_units_are_reserved_at_the_counter() -> None:
    gateway_settings = [build_counter_settings(n, 4) for n in range(3)]
    trace = SimulatedEnvironment(15, gateway_settings, 30.0, has_extra_events=True).run(
        build_direct_runner(create_strict_gateway)
    )
    trace.check("gateway-strict")


def test_every_kind_of_event_and_of_action_occurs_when_gateways_gossip(gossip_trace: TraceDigest) -> None:
    assert {"head_received", "attempt_end", "left", "reminder", "probe_done", "message"} <= gossip_trace.events.keys()
    assert {"issue", "bounce", "error", "call_off", "arm", "share", "subscribe"} <= gossip_trace.actions.keys()
