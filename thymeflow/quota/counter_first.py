"""Large sets: the counter is asked before a request is admitted on old knowledge. No I/O, no clock.

Where an even slice of a quota is under one request, a limiter of 200 sees a customer once in many seconds. What the
counter replies after a request has gone is too old for the next one; received before, the request is decided by it. So
the call that each such request costs is made first, with the request's units charged ahead in it, and the request
waits for the reply: for the counter's time-out at most, after which it is decided by the estimate. Requests that the
estimate alone rejects, and all for which no call is to be had, are decided at once.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from thymeflow.decision.actions import RejectRequest
from thymeflow.decision.admission import RETRY_MARGIN
from thymeflow.decision.events import ClientDisconnected, CounterReplied, TimerFired
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.gateway_state import INITIAL_FILL, TimerKind
from thymeflow.decision.request_state import RequestState
from thymeflow.decision.settings import GatewaySettings
from thymeflow.decision.types import Status
from thymeflow.quota.counter_updates import NO_CALL
from thymeflow.quota.token_bucket import MIN_CALL_INTERVAL, MIN_UNREPORTED_FRACTION, TokenBucket

CURRENT_SECONDS = 1.0  # in which the counter's reply on a customer counts as current
PAUSE_AFTER_LOST_CALL = 1.0  # s: in which no request waits for another call
MIN_REMAINING_SECONDS = 0.5  # that a request must have left, for the counter to be waited for
RESERVED_CALL_FRACTION = 0.9  # of a second's calls: kept for requests by calls that only report
# Growth of the rate of calls for each reply until the first late one: nothing tells what the counter can take, and by
# 5% a reply a set that starts would find it after most of a minute.
INITIAL_CALL_RATE_GROWTH = 1.3


class WaitingRequest(NamedTuple):
    """A request that waits for the counter, with its random sample."""

    pending: RequestState
    sample: float


class CounterFirstGateway(Gateway):
    """A gateway of a large set."""

    def __init__(self, settings: GatewaySettings, seed: int, initial_fill: float = INITIAL_FILL) -> None:
        super().__init__(settings, seed, initial_fill)
        self._steady_growth = self.call_rate_growth
        self.call_rate_growth = INITIAL_CALL_RATE_GROWTH
        self.counter_ignored_until = -inf
        self.waiting: dict[int, list[WaitingRequest]] = {}  # by customer id

    def waits_for_counter(self, pending: RequestState, sample: float) -> bool:
        """Let a request wait for the counter's reply, where it is needed and a call is to be had."""
        bucket = pending.bucket
        self.reserved_calls = RESERVED_CALL_FRACTION * max(1.0, self.call_rate)
        has_time = pending.deadline - self.now >= MIN_REMAINING_SECONDS
        if not bucket.has_small_slices() or not has_time or self.now < self.counter_ignored_until:
            return False
        waiting = self.waiting.get(bucket.customer_id)
        if waiting is not None:  # one reply serves both
            waiting.append(WaitingRequest(pending, sample))
            return True
        if not self._is_call_needed(bucket, pending.request.units, sample):
            return False
        bucket.charge(pending.request.units)  # ahead, so that others know of it from now on
        self.report_to_counter(bucket)
        bucket.charge(-pending.request.units)
        self.waiting[bucket.customer_id] = [WaitingRequest(pending, sample)]
        self.set_timer(self.settings.information.counter_timeout, TimerKind.COUNTER, str(bucket.customer_id))
        return True

    def _is_call_needed(self, bucket: TokenBucket, units: float, sample: float) -> bool:
        if self.now - bucket.counter_called_at < MIN_CALL_INTERVAL:
            # That call may be in flight, and the total of two under one name tells nothing.
            return False
        if self.now - bucket.last_update_at < CURRENT_SECONDS or self.call_credit < 1.0:
            return False
        is_known = bucket.last_update_at > -inf
        return not is_known or bucket.can_admit(units, sample)

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Decide the requests that waited for this reply."""
        customer_id = self.counter_calls.get(event.name, NO_CALL).customer_id
        if event.status is not Status.OK or event.latency > self.settings.information.counter_timeout:
            self.call_rate_growth = self._steady_growth
        super().on_counter_replied(event)
        if event.status in (Status.TIMEOUT, Status.CONNECT_FAILED):
            self.counter_ignored_until = self.now + PAUSE_AFTER_LOST_CALL
        elif event.status is Status.OK:
            self.counter_ignored_until = -inf
        self._decide_waiting(customer_id)

    def _decide_waiting(self, customer_id: int) -> None:
        waiting = self.waiting.pop(customer_id, [])
        for pending, sample in waiting:
            if pending.deadline - self.now <= RETRY_MARGIN:
                self.actions.append(RejectRequest(pending.request.id, reason="late"))
                continue
            pending.bucket.refresh(self.now)
            self.admit(pending, pending.bucket.can_admit(pending.request.units, sample))
        if waiting:
            bucket = waiting[0].pending.bucket
            unreported = abs(bucket.charged_units - bucket.counter_ledger.reported_charges)
            if unreported < MIN_UNREPORTED_FRACTION * bucket.plan.burst:
                self.pending_updates.pop(customer_id, None)  # all is reported already

    def on_timer(self, event: TimerFired) -> None:
        """Decide by the estimate the requests for which the counter's time is over."""
        timer = self.timers.get(event.token)
        super().on_timer(event)
        if timer is not None and timer.kind is TimerKind.COUNTER:
            self._decide_waiting(int(timer.subject))

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """End the request, also where it waits for the counter."""
        remaining = {
            customer_id: [row for row in rows if row.pending.request.id != event.id]
            for customer_id, rows in self.waiting.items()
        }
        self.waiting = {customer_id: rows for customer_id, rows in remaining.items() if rows}
        super().on_client_disconnected(event)
