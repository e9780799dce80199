"""Passes events to the deciding components (HIP-185) and returns their actions. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from thymeflow.decision.actions import Action, SubscribeEndpoints
from thymeflow.decision.admission import AdmissionPolicy
from thymeflow.decision.balancing import LoadBalancer
from thymeflow.decision.context import DecisionContext, TimerKind
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
from thymeflow.decision.fleet_bounds import FleetBounds
from thymeflow.decision.open_requests import OpenRequests
from thymeflow.decision.outcomes import AttemptOutcomes
from thymeflow.decision.quota_admission import ImmediateAdmission, QuotaAdmission, QuotaAdmissionFactory
from thymeflow.decision.retries import RetryPolicy
from thymeflow.decision.settings import DiscoveryMode, GatewaySettings
from thymeflow.decision.types import EndpointListKind
from thymeflow.gossip.aggregator import GossipAggregator
from thymeflow.gossip.publisher import GossipPublisher
from thymeflow.health.backend_registry import BackendRegistry
from thymeflow.health.backend_stats import BackendStats
from thymeflow.quota.buckets import (
    INITIAL_FILL_FRACTION,
    BucketFactory,
    ReportQueue,
    TokenBuckets,
    create_token_bucket,
)
from thymeflow.quota.counter_reporter import CounterReporter
from thymeflow.quota.token_bucket import TokenBucket

TICK_INTERVAL_SECONDS = 0.1  # Much shorter than the time for which demand is remembered.
REPORT_ROUND_INTERVAL_SECONDS = 0.5  # Interval between rounds of reports to peers or the counter.


class Gateway:
    """One gateway. The caller passes it every event in order, and carries out the actions that it returns."""

    def __init__(
        self,
        settings: GatewaySettings,
        seed: int,
        initial_fill: float = INITIAL_FILL_FRACTION,
        create_quota_admission: QuotaAdmissionFactory = ImmediateAdmission,
        create_bucket: BucketFactory = create_token_bucket,
    ) -> None:
        """Create a gateway that has received no event yet.

        :param initial_fill: level that new buckets are assumed to have had at the gateway's start, as a
            fraction of the burst; 0 for a limiter that joins a running set.
        """
        context = DecisionContext(settings, seed)
        self.context = context
        self.timers = context.timers
        self.registry = BackendRegistry(context.compute_probe_interval)
        self.token_buckets = TokenBuckets(context, create_bucket, initial_fill)
        self.reports = ReportQueue()
        self.reporter = CounterReporter(context, self.token_buckets, self.reports)
        self._publisher = GossipPublisher(context, self.token_buckets, self.reports, self.registry)
        self.aggregator = GossipAggregator(context, self.token_buckets, self.registry, self._publisher)
        self.balancer = LoadBalancer(context, self.registry)
        self._requests = OpenRequests(context, self.registry)
        self.pending = self._requests.by_id
        self.retries = RetryPolicy(context, self.balancer, self._requests)
        self._outcomes = AttemptOutcomes(context, self.registry, self.token_buckets, self.reports)
        admission = AdmissionPolicy(
            context,
            self.token_buckets,
            self.reports,
            self.registry,
            self.balancer,
            self._requests,
            self.retries,
        )
        self.quota_admission = create_quota_admission(context, admission, self.token_buckets, self.reporter)
        self._last_round_at = -inf
        self._handlers = self._build_handlers(self.quota_admission)

    def _build_handlers(self, quota_admission: QuotaAdmission) -> dict[type, Callable[..., None]]:
        return {
            RequestReceived: quota_admission.on_request,
            AttemptEnded: self._on_attempt_ended,
            TimerFired: self._on_timer,
            EndpointsChanged: self._on_endpoints_changed,
            GossipReceived: self.aggregator.on_gossip,
            ClientDisconnected: self._on_client_disconnected,
            CounterReplied: quota_admission.on_counter_replied,
            ResponseStarted: self._on_response_started,
            RequestBodyStarted: self._on_request_body_started,
            SettingsChanged: self._on_settings_changed,
        }

    @property
    def settings(self) -> GatewaySettings:
        """Settings in force."""
        return self.context.settings

    @property
    def backends(self) -> dict[int, BackendStats]:
        """Backends of the endpoint list by id."""
        return self.registry.backends

    @property
    def buckets(self) -> dict[int, TokenBucket]:
        """Token buckets by customer id."""
        return self.token_buckets.by_customer

    def set_fleet_bounds(self, fleet_bounds: FleetBounds) -> None:
        """Replace the fleet bounds that apply to all later decisions."""
        self.context.set_fleet_bounds(fleet_bounds)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the actions decided; `now` is in seconds and never decreases."""
        actions = self.context.begin_event(now)
        if self.context.started_at == -inf:
            self._start()
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return actions

    def take_cancelled_timers(self) -> list[int]:
        """Return the tokens of timers that need not fire any more and were not returned before."""
        return self.context.take_cancelled_timers()

    def _start(self) -> None:
        context = self.context
        context.started_at = context.now
        # A random first delay, so that gateways that start together do not send gossip at the same time.
        context.set_timer(TICK_INTERVAL_SECONDS * context.rng.random(), TimerKind.TICK)
        if context.settings.discovery is DiscoveryMode.POLL:
            context.emit(SubscribeEndpoints())

    def _on_endpoints_changed(self, event: EndpointsChanged) -> None:
        context = self.context
        if event.kind is EndpointListKind.FAILED:
            context.set_timer(1.0 + context.rng.random(), TimerKind.SUBSCRIBE)
        self.registry.apply_endpoints(event, context.now, context.settings.rules)

    def _on_settings_changed(self, event: SettingsChanged) -> None:
        # Open requests keep the settings under which they were admitted.
        is_limiter_count_changed = event.settings.limiter_count != self.context.settings.limiter_count
        self.context.apply_settings(event.settings)
        self.token_buckets.apply_plans(is_limiter_count_changed)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        """Record the result of an attempt, settle its units, and retry or close the request."""
        pending = self.pending.get(event.id)
        if pending is None or event.attempt not in pending.find_attempts_in_flight():
            return
        attempt = pending.attempts[event.attempt]
        pending.results[event.attempt] = event.status
        # If the response has begun, `_on_response_started` has released the backend's capacity.
        if not pending.is_capacity_released:
            self.registry.release_attempt(attempt.backend)
        pending.bucket.attempts_in_flight -= 1
        self._outcomes.record(pending, attempt, event)
        if event.request_answered or pending.is_answered:
            self._requests.close(pending)
        elif not pending.find_attempts_in_flight() and not self.retries.start_retry(pending):
            self._requests.reject_or_fail(pending)

    def _on_response_started(self, event: ResponseStarted) -> None:
        """Release the backend's capacity, because a client that reads slowly does not occupy the backend."""
        pending = self.pending.get(event.id)
        if pending is not None:
            pending.is_streaming = True
            pending.is_capacity_released = True
            self.registry.release_attempt(pending.attempts[event.attempt].backend)

    def _on_request_body_started(self, event: RequestBodyStarted) -> None:
        """Mark a request as streaming, so that it is not retried and its deadline timer does not end it.

        Its body is not buffered and cannot be sent with another attempt.
        """
        pending = self.pending.get(event.id)
        if pending is not None:
            pending.is_streaming = True

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Close the request of a client that has disconnected, because it needs no response."""
        self.quota_admission.on_client_disconnected(event.id)
        pending = self.pending.get(event.id)
        if pending is not None:
            pending.is_streaming = False  # Otherwise `close` would not cancel its attempts.
            self._requests.close(pending)

    def _on_timer(self, event: TimerFired) -> None:
        """Handle a timer according to its purpose."""
        timer = self.timers.pop(event.token, None)
        if timer is None:
            return
        if timer.kind is TimerKind.DEADLINE:
            pending = self.pending.get(timer.subject)
            if pending is not None and not pending.is_answered and not pending.is_streaming:
                self._outcomes.record_missed_deadline(pending)
                self._requests.reject_or_fail(pending)
        elif timer.kind is TimerKind.TICK:
            self._on_tick()
        elif timer.kind is TimerKind.SUBSCRIBE:
            self.context.emit(SubscribeEndpoints())
        else:
            self.quota_admission.on_counter_timeout(int(timer.subject))

    def _on_tick(self) -> None:
        """Decay the pressure, drop buckets of idle customers, and send reports to peers or the counter."""
        context = self.context
        context.set_timer(TICK_INTERVAL_SECONDS, TimerKind.TICK)
        is_round = context.now - self._last_round_at >= REPORT_ROUND_INTERVAL_SECONDS
        self.registry.decay_pressure(TICK_INTERVAL_SECONDS)
        self.registry.update_ready_capacity(context.now, context.settings.rules)
        if is_round:
            self._last_round_at = context.now
            self.token_buckets.drop_idle()
            self.reports.begin_round(self.token_buckets.by_customer)
        if context.limits.gossip:
            self._publisher.publish(is_round, TICK_INTERVAL_SECONDS)
        elif context.settings.information.counter:
            self.reporter.send_pending(TICK_INTERVAL_SECONDS)
