"""Base slices and reservations: all limiters together never admit more units than one reference bucket."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import fleet, request, settings
from thymeflow.decision.actions import Action, AddToCounter, RejectRequest, SetTimer, StartAttempt
from thymeflow.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsChanged,
    Event,
    SettingsChanged,
    TimerFired,
)
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.reserved_admission import ReservedAdmission, create_reserving_gateway
from thymeflow.decision.settings import Information, Plan
from thymeflow.decision.types import EndpointListKind, Status
from thymeflow.quota import reservations
from thymeflow.quota.counter_reporter import PAUSE_AFTER_LOST_CALL_SECONDS
from thymeflow.quota.reservations import ReservationPool, split_quota
from thymeflow.quota.strict import StrictTokenBucket

RATE = 5.0
BURST = 20.0
PLAN = Plan("plain", rate=RATE, burst=BURST)
COUNTER = Information(max_units=4.0, counter=True, settles_units=True)


class ReferenceBucket:
    """A token bucket that may become negative and records its lowest level."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.refreshed_at = now
        self.lowest_level = 0.0

    def charge(self, units: float, now: float) -> None:
        self.level = min(self.burst, self.level + self.rate * (now - self.refreshed_at)) - units
        self.refreshed_at = now
        self.lowest_level = min(self.lowest_level, self.level)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["draw", "use", "time", "late", "lost", "sleep"]), st.integers(0, 2), st.floats(0.05, 6.0)
        ),
        max_size=60,
    ),
    st.integers(0, 999),
)
def test_pool_is_never_exceeded_when_limiters_reserve_in_any_order(
    steps: list[tuple[str, int, float]], number: int
) -> None:
    quota_split = split_quota(RATE, BURST)
    pools = [ReservationPool(quota_split, number) for _ in range(3)]
    totals = dict[int, float]()
    now = 1000.0
    reference = ReferenceBucket(quota_split.pool_rate, quota_split.window_units, now)
    late_replies = list[tuple[int, reservations.Reservation, float]]()
    for operation, limiter_index, amount in steps:
        pool = pools[limiter_index]
        if operation == "use":
            reference.charge(pool.use(amount, now), now)
        elif operation in ("time", "sleep"):  # No reply arrives, and the reservations do not change.
            now += amount if operation == "sleep" else amount / 20.0
        elif reservation := pool.plan_reservation(amount, amount, now):
            totals[reservation.window] = totals.get(reservation.window, 0.0) + reservation.units
            total = totals[reservation.window]
            if operation == "draw":
                pool.on_reserved(reservation.window, reservation.units, total, now)
            elif operation == "late":
                late_replies.append((limiter_index, reservation, total))
        if late_replies and operation == "sleep":
            limiter_index, reservation, total = late_replies.pop(0)
            pools[limiter_index].on_reserved(reservation.window, reservation.units, total, now)
        assert reference.lowest_level > -1e-6, (operation, reference.lowest_level)


@pytest.mark.parametrize(("rate", "burst"), [(0.0, 0.0), (5.0, 0.0), (1e-9, 4.0), (1e-3, 1e6), (400.0, 4.0)])
def test_base_and_pool_add_up_to_the_quota_when_it_is_split(rate: float, burst: float) -> None:
    for member_count in (1, 2, 200):
        quota_split = split_quota(rate, burst, member_count)
        assert quota_split.base_rate + quota_split.pool_rate == pytest.approx(rate)
        assert quota_split.base_burst + quota_split.window_units == pytest.approx(burst)
        assert quota_split.window_seconds > 0.0
        assert quota_split.base_burst >= 0.0
    assert split_quota(rate, burst, 1).pool_rate == 0.0


class ReservingSet:
    """Gateways with reservations, a counter, backends and a reference bucket, in virtual time."""

    def __init__(self, gateway_count: int, seed: int, lost_fraction: float = 0.0, reply_seconds: float = 0.02) -> None:
        self.rng = random.Random(seed)
        self.lost_fraction = lost_fraction
        self.reply_seconds = reply_seconds
        self.gateway_count = gateway_count
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()
        self.now = 100.0
        self.is_counter_up = True
        self.totals: dict[int, tuple[float, float]] = {}
        self.gateways = [self.start_gateway(n) for n in range(gateway_count)]
        self.reference = ReferenceBucket(RATE, BURST, self.now)
        self.final_actions = dict[str, Action]()
        self.call_count = 0

    def start_gateway(self, index: int) -> Gateway:
        """Return a gateway whose first event is at 0 s, long before the present time."""
        config = settings(index=index, limiter_count=self.gateway_count, plans=(PLAN,), information=COUNTER)
        gateway = create_reserving_gateway(config, index)
        self.handle(gateway, EndpointsChanged(EndpointListKind.FULL, fleet(50)), 0.0)
        return gateway

    def schedule(self, scheduled_at: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (scheduled_at, next(self.sequence_numbers), callback))

    def handle(self, gateway: Gateway, event: Event, now: float | None = None) -> None:
        """Pass an event to a gateway, and carry out the actions that it returns."""
        for action in gateway.handle(self.now if now is None else now, event):
            match action:
                case SetTimer(token, delay):
                    self.schedule(self.now + delay, lambda t=token: self.handle(gateway, TimerFired(t)))  # type: ignore[misc]
                case AddToCounter():
                    self.on_counter_call(gateway, action)
                case StartAttempt():
                    self.reference.charge(float(action.id.split()[1]), self.now)
                    self.final_actions[action.id] = action
                    ended = AttemptEnded(
                        action.id, 0, action.backend, Status.OK, 0.03, True, None, float(action.id.split()[1])
                    )
                    self.schedule(self.now + 0.03, lambda e=ended: self.handle(gateway, e))  # type: ignore[misc]
                case RejectRequest():
                    assert action.id not in self.final_actions
                    self.final_actions[action.id] = action

    def on_counter_call(self, gateway: Gateway, call: AddToCounter) -> None:
        self.call_count += 1
        total, expires_at = self.totals.get(call.name, (0.0, self.now + call.ttl))
        is_reply_lost = not self.is_counter_up or self.rng.random() < self.lost_fraction
        # The counter executes half of the calls whose reply is lost.
        if self.is_counter_up and (not is_reply_lost or self.rng.random() < 0.5):
            total = total if expires_at > self.now else 0.0
            self.totals[call.name] = (total + call.amount, expires_at if expires_at > self.now else self.now + call.ttl)
        reply = CounterReplied(
            call.name, Status.TIMEOUT if is_reply_lost else Status.OK, total + call.amount, self.reply_seconds
        )
        self.schedule(
            self.now + (0.4 if is_reply_lost else self.rng.uniform(0.0, 2 * self.reply_seconds)),
            lambda: self.handle(gateway, reply),
        )

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = until

    def sum_forwarded_units(self) -> float:
        return sum(float(name.split()[1]) for name, a in self.final_actions.items() if isinstance(a, StartAttempt))

    def run_demand(self, demand: float, seconds: float) -> float:
        """Run requests for some seconds and return the forwarded units.

        Most requests go to one gateway, which changes every 7 s.

        :param demand: requested units as a multiple of the quota.
        """
        demand_started_at = self.now
        number = 0
        ids = list[str]()
        units_before = self.sum_forwarded_units()
        while self.now < demand_started_at + seconds:
            self.run(self.now + self.rng.expovariate(demand * RATE / 2.0))
            units = self.rng.choice((1.0, 1.0, 2.0, 4.0))
            busy_index = int(self.now / 7.0) % self.gateway_count
            gateway_index = busy_index if self.rng.random() < 0.6 else self.rng.randrange(self.gateway_count)
            ids.append(f"{self.now:.6f} {units} {number}")
            number += 1
            self.handle(self.gateways[gateway_index], request(ids[-1], units, set_size=self.gateway_count))
        self.run(self.now + 1.0)
        assert all(n in self.final_actions for n in ids)  # Each request gets exactly one decision.
        return self.sum_forwarded_units() - units_before


@pytest.mark.parametrize(("demand", "min_fraction"), [(0.4, 0.97), (3.0, 0.9)])
def test_set_forwards_the_demand_up_to_the_quota_when_demand_is_low_or_high(demand: float, min_fraction: float) -> None:
    reserving_set = ReservingSet(3, 5)
    forwarded_units = reserving_set.run_demand(demand, 60.0)
    assert reserving_set.reference.lowest_level > -1e-6
    assert forwarded_units > min_fraction * min(1.0, demand) * RATE * 60.0


def test_forwarded_units_stay_within_the_quota_when_replies_are_lost_or_late() -> None:
    reserving_set = ReservingSet(4, 9, lost_fraction=0.2, reply_seconds=0.15)
    assert reserving_set.run_demand(3.0, 60.0) > 0.5 * RATE * 60.0
    assert reserving_set.reference.lowest_level > -1e-6


def test_base_slices_are_forwarded_with_few_calls_when_the_counter_is_down_for_a_while() -> None:
    reserving_set = ReservingSet(3, 7)
    reserving_set.run_demand(3.0, 10.0)
    reserving_set.is_counter_up = False
    call_count = reserving_set.call_count
    forwarded_units = reserving_set.run_demand(3.0, 40.0)
    base = reservations.BASE_RATE_FRACTION * RATE * 40.0
    assert 0.8 * base < forwarded_units < base + BURST
    assert reserving_set.call_count - call_count <= 3 * 40.0 / PAUSE_AFTER_LOST_CALL_SECONDS + 3
    reserving_set.is_counter_up = True
    assert reserving_set.run_demand(3.0, 20.0) > 0.85 * RATE * 20.0
    assert reserving_set.reference.lowest_level > -1e-6


def test_excess_is_at_most_the_units_of_one_window_when_the_counter_loses_its_totals() -> None:
    reserving_set = ReservingSet(3, 11)
    reserving_set.run_demand(3.0, 20.0)
    reserving_set.totals.clear()
    reserving_set.run_demand(3.0, 20.0)
    assert reserving_set.reference.lowest_level > -split_quota(RATE, BURST).window_units - 1e-6


def test_forwarded_units_stay_within_the_quota_when_gateways_restart() -> None:
    reserving_set = ReservingSet(3, 13)
    for number in range(3):
        reserving_set.run_demand(3.0, 6.0)
        gateway = reserving_set.start_gateway(number)
        reserving_set.gateways[number] = gateway
        gateway.token_buckets.initial_fill = 0.0
        gateway.context.started_at = reserving_set.now
    reserving_set.run_demand(3.0, 6.0)
    assert reserving_set.reference.lowest_level > -1e-6


def test_request_is_dropped_when_its_client_disconnects_and_rejected_when_its_limiter_is_outside_the_set() -> None:
    reserving_set = ReservingSet(3, 1)
    first = reserving_set.gateways[0]
    reserving_set.now = 200.0
    for number in range(8):
        reserving_set.handle(first, request(f"a 4.0 {number}", 4.0))
    assert isinstance(first.quota_admission, ReservedAdmission)
    (waiting,) = first.quota_admission.waiting.values()
    disconnected_ids = [entry[2].id for entry in waiting]
    for name in disconnected_ids:
        reserving_set.handle(first, ClientDisconnected(name))
    reserving_set.run(201.0)
    assert not any(name in reserving_set.final_actions for name in disconnected_ids)
    assert not first.quota_admission.waiting
    reserving_set.is_counter_up = False
    reserving_set.handle(reserving_set.gateways[2], request("b 1.0", 1.0, set_size=2))  # The set is limiters 0 and 1.
    reserving_set.run(202.0)
    assert isinstance(reserving_set.final_actions["b 1.0"], RejectRequest)


def test_level_does_not_rise_when_the_quota_changes() -> None:
    gateway = create_reserving_gateway(settings(plans=(PLAN,), information=COUNTER), 1)
    gateway.handle(0.0, EndpointsChanged(EndpointListKind.FULL, fleet(9)))
    gateway.handle(100.0, request("r1", 1.0))
    (bucket,) = gateway.buckets.values()
    assert isinstance(bucket, StrictTokenBucket)
    assert bucket.compute_missing_units(inf) == inf
    level_before = bucket.level
    for rate in (50.0, 5.0, 50.0):
        gateway.handle(100.0, SettingsChanged(settings(plans=(Plan("plain", rate, BURST),), information=COUNTER)))
        bucket.refresh(100.0)
        assert bucket.level <= level_before
