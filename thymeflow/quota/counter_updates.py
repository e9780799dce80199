"""Counter calls of a gateway: which customers are reported, at which rate, and what the replies tell."""

from __future__ import annotations

from math import isfinite

from thymeflow.decision.events import CounterReplied
from thymeflow.decision.gateway_state import MAX_CALL_RATE, MIN_CALL_RATE, CounterCall, GatewayState
from thymeflow.decision.request_state import NOT_EXECUTED
from thymeflow.decision.types import Status
from thymeflow.quota.token_bucket import TokenBucket

CALL_RATE_DECREASE = 0.8  # for each counter reply that is late or missing
NO_CALL = CounterCall(-1, 0.0)


class CounterUpdates(GatewayState):
    """Paces counter calls by the counter's replies, as a crowded counter serves nobody."""

    def send_pending_updates(self, elapsed: float) -> None:
        """Report the customers that are unsent, those with the most unreported demand over their rate first."""
        # One call may always be saved up: a credit that never holds a complete call would end them for good.
        rate = min(self.call_rate, self.fleet_limit("calls"))
        self.call_credit = min(max(1.0, rate), self.call_credit + rate * elapsed)
        buckets = map(self.buckets.get, self.pending_updates)
        unsent = [bucket for bucket in buckets if bucket and bucket.needs_counter_update(self.now)]
        unsent.sort(key=_negative_unreported_ratio)
        for bucket in unsent[: max(0, int(self.call_credit - self.reserved_calls))]:
            self.report_to_counter(bucket)
            del self.pending_updates[bucket.customer_id]

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Adapt the rate of calls, and update the bucket that the call was about."""
        call = self.counter_calls.pop(event.name, NO_CALL)
        bucket = self.buckets.get(call.customer_id)
        is_ok = event.status is Status.OK
        is_in_time = is_ok and event.latency <= self.settings.information.counter_timeout
        factor = self.call_rate_growth if is_in_time else CALL_RATE_DECREASE
        self.call_rate = min(MAX_CALL_RATE, max(MIN_CALL_RATE, self.call_rate * factor))
        if bucket is None:
            return
        if event.status in NOT_EXECUTED:
            bucket.on_counter_rejected(event.name, call.amount)
            self.deferred_updates[call.customer_id] = None
        elif is_ok and isfinite(event.total):
            bucket.refresh(self.now)
            self.last_gossip_at = self.now
            bucket.last_update_at = self.now
            bucket.on_counter_total(event.name, call.amount, event.total, self.now)
        else:
            bucket.on_counter_uncertain(event.name, call.amount)


def _negative_unreported_ratio(bucket: TokenBucket) -> float:
    unreported = bucket.counter_ledger.reported_units - bucket.requested_units
    return unreported / max(bucket.plan.rate, 1e-9)
