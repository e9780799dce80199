"""Dispatches events to the decisions (HIP-185): events in, actions out, without I/O and without a clock."""

from __future__ import annotations

from collections.abc import Callable
from math import exp, inf
from typing import Any

from thymeflow.decision.actions import Action, SubscribeEndpoints
from thymeflow.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsChanged,
    Event,
    GossipReceived,
    RequestBodyStarted,
    RequestReceived,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
)
from thymeflow.decision.gateway_state import INITIAL_FILL, TimerKind
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.results import Results
from thymeflow.decision.retries import Retries
from thymeflow.decision.settings import DiscoveryMode, GatewaySettings
from thymeflow.decision.types import BackendState, EndpointListKind
from thymeflow.gossip.aggregation import GossipAggregation
from thymeflow.gossip.publisher import GossipPublisher
from thymeflow.health.backend_stats import BackendStats
from thymeflow.quota.counter_updates import CounterUpdates

TICK_INTERVAL = 0.1  # s: well under the memory of demand
ROUND_INTERVAL = 0.5  # s: between rounds of gossip
IDLE_BUCKET_TTL = 20.0  # s: buckets of idle customers are full again before; over a counter's window
PRESSURE_MEMORY_SECONDS = 6.0  # a limiter that rejects all gets no responses and must try again
GOSSIP_FRACTION = 0.7  # of what peers can take in: all limiters together then fit into it


class Gateway(Retries, Results, GossipPublisher, GossipAggregation, CounterUpdates):
    """One gateway: hand it every event in order, and carry out the actions that it returns."""

    def __init__(self, settings: GatewaySettings, seed: int, initial_fill: float = INITIAL_FILL) -> None:
        super().__init__(settings, seed, initial_fill)
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestReceived: self.on_request,
            AttemptEnded: self.on_attempt_ended,
            TimerFired: self.on_timer,
            EndpointsChanged: self.on_endpoints_changed,
            GossipReceived: self.on_gossip,
            ClientDisconnected: self.on_client_disconnected,
            CounterReplied: self.on_counter_replied,
            ResponseStarted: self.on_response_started,
            RequestBodyStarted: self.on_request_body_started,
            SettingsChanged: self.on_settings_changed,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event; `now` is in seconds and never goes back."""
        self.now = now
        self.actions = []
        if self.started_at == -inf:
            self._start()
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        return self.actions

    def _start(self) -> None:
        self.started_at = self.now
        # Gateways that start together must not send gossip in step.
        self.set_timer(TICK_INTERVAL * self.rng.random(), TimerKind.TICK)
        if self.settings.discovery is DiscoveryMode.POLL:
            self.actions.append(SubscribeEndpoints())

    def on_endpoints_changed(self, event: EndpointsChanged) -> None:
        """Apply a change of the endpoint list; drains and losses count at once."""
        if event.kind is EndpointListKind.FAILED:
            self.set_timer(1.0 + self.rng.random(), TimerKind.SUBSCRIBE)
        elif event.kind is not EndpointListKind.DELTA:
            self.backends = {e.id: self.backends[e.id] for e in event.backends if e.id in self.backends}
        for endpoint in event.backends:
            backend = self.backends.pop(endpoint.id, None)
            if backend is None or endpoint.started > backend.endpoint.started:
                backend = BackendStats(endpoint, self.now, self.probe_interval)
            if endpoint.state is not BackendState.GONE:
                self.backends[endpoint.id] = backend
                backend.endpoint = endpoint
        self.count_warmed_up_backends()

    def on_settings_changed(self, event: SettingsChanged) -> None:
        """Take other settings into use; open requests keep the rules under which they were admitted."""
        has_other_size = event.settings.limiter_count != self.settings.limiter_count
        self.apply_settings(event.settings)
        for bucket in self.buckets.values():  # filled at the old rate until now; the level stays
            bucket.refresh(self.now)
            bucket.plan = self.plans.get(bucket.plan.name, bucket.plan)
            bucket.set_changed = bucket.set_changed or has_other_size

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Learn from an attempt's result, settle its units, and retry or finish its request."""
        pending = self.pending.get(event.id)
        if pending is None or event.attempt not in pending.in_flight():
            return
        attempt = pending.attempts[event.attempt]
        pending.results[event.attempt] = event.status
        if not pending.response_started:  # else its capacity was given back as its response began
            attempt.backend.in_flight -= 1
            self.in_flight -= 1
        pending.bucket.attempts_in_flight -= 1
        self.record_result(pending, attempt, event)
        if event.request_answered or pending.is_answered:
            self.finish_request(pending)
        elif not pending.in_flight() and not self.retry(pending):
            self.finish_unanswered(pending)

    def on_response_started(self, event: ResponseStarted) -> None:
        """Give back the backend's capacity: a client that reads slowly takes none of it."""
        pending = self.pending.get(event.id)
        if pending is not None:
            pending.is_streaming = True
            pending.response_started = True
            pending.attempts[event.attempt].backend.in_flight -= 1
            self.in_flight -= 1

    def on_request_body_started(self, event: RequestBodyStarted) -> None:
        """Note that a long body goes into the present attempt, so that there can be no other."""
        pending = self.pending.get(event.id)
        if pending is not None:
            pending.is_streaming = True

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """End the request; no answer is owed."""
        pending = self.pending.get(event.id)
        if pending is not None:
            pending.is_streaming = False
            self.finish_request(pending)

    def on_timer(self, event: TimerFired) -> None:
        """Serve a timer by the purpose that it was set for."""
        timer = self.timers.pop(event.token, None)
        if timer is None:
            return
        if timer.kind is TimerKind.TICK:
            self.on_tick()
        elif timer.kind is TimerKind.SUBSCRIBE:
            self.actions.append(SubscribeEndpoints())
        elif timer.kind is TimerKind.DEADLINE:
            pending = self.pending.get(timer.subject)
            if pending is not None and not pending.is_answered and not pending.is_streaming:
                self._on_deadline(pending)

    def _on_deadline(self, pending: RequestState) -> None:
        for number in pending.in_flight():  # no response to the end: the same evidence as a time-out
            backend, sent_at = pending.attempts[number]
            backend.record_no_response(pending.request_class.name, sent_at, self.now)
            self.observe_latency(1.0)
        self.finish_unanswered(pending)

    def on_tick(self) -> None:
        """Drop idle customers, let the pressure decay, and report what is due."""
        self.set_timer(TICK_INTERVAL, TimerKind.TICK)
        is_round = self.now - self.last_round_at >= ROUND_INTERVAL
        self.pressure *= exp(-TICK_INTERVAL / PRESSURE_MEMORY_SECONDS)
        self.count_warmed_up_backends()
        if is_round:
            self.last_round_at = self.now
            self._drop_idle_buckets()
        if self.limits.gossip:
            capacity = self.settings.information.max_gossip_per_second
            allowance = self.gossip_allowance + GOSSIP_FRACTION * capacity * TICK_INTERVAL
            self.gossip_allowance = min(capacity, allowance)
            self.publish_gossip(is_round)
        elif self.settings.information.counter:
            self.send_pending_updates(TICK_INTERVAL)

    def _drop_idle_buckets(self) -> None:
        self.buckets = {
            customer_id: bucket
            for customer_id, bucket in self.buckets.items()
            if self.now - bucket.last_seen_at <= IDLE_BUCKET_TTL or bucket.attempts_in_flight
        }
        # Most customers come once: what is cached of them must end, or memory and CPU time grow all day.
        updates = self.pending_updates | self.deferred_updates
        self.pending_updates = {customer_id: None for customer_id in updates if customer_id in self.buckets}
        self.deferred_updates = {}
