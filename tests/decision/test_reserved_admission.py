"""Units by base and reservations: all limiters together never admit more than one reference bucket."""

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
    """A token bucket that records how far below empty it was brought."""

    def __init__(self, rate: float, depth: float, now: float) -> None:
        self.rate = rate
        self.depth = depth
        self.level = depth
        self.at = now
        self.worst = 0.0

    def take(self, units: float, now: float) -> None:
        self.level = min(self.depth, self.level + self.rate * (now - self.at)) - units
        self.at = now
        self.worst = min(self.worst, self.level)


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
    of = split_quota(RATE, BURST)
    pools = [ReservationPool(of, number) for _ in range(3)]
    counts = dict[int, float]()
    now = 1000.0
    reference = ReferenceBucket(of.pool_rate, of.window_units, now)
    late_replies = list[tuple[int, reservations.Reservation, float]]()
    for what, who, amount in steps:
        pool = pools[who]
        if what == "use":
            reference.take(pool.use(amount, now), now)
        elif what in ("time", "sleep"):  # meanwhile no reply arrives, and reservations stay as they are
            now += amount if what == "sleep" else amount / 20.0
        elif draw := pool.plan_reservation(amount, amount, now):
            counts[draw.window] = counts.get(draw.window, 0.0) + draw.units
            total = counts[draw.window]
            if what == "draw":
                pool.on_reserved(draw.window, draw.units, total, now)
            elif what == "late":
                late_replies.append((who, draw, total))
        if late_replies and what == "sleep":
            who, draw, total = late_replies.pop(0)
            pools[who].on_reserved(draw.window, draw.units, total, now)
        assert reference.worst > -1e-6, (what, reference.worst)


@pytest.mark.parametrize(("rate", "burst"), [(0.0, 0.0), (5.0, 0.0), (1e-9, 4.0), (1e-3, 1e6), (400.0, 4.0)])
def test_base_and_pool_add_up_to_the_quota_when_it_is_split(rate: float, burst: float) -> None:
    for limiters in (1, 2, 200):
        found = split_quota(rate, burst, limiters)
        assert found.base_rate + found.pool_rate == pytest.approx(rate)
        assert found.base_burst + found.window_units == pytest.approx(burst)
        assert found.window_seconds > 0.0
        assert found.base_burst >= 0.0
    assert split_quota(rate, burst, 1).pool_rate == 0.0


class ReservingSet:
    """Gateways with reservations, a counter and backends under a virtual clock, beside a reference bucket."""

    def __init__(self, count: int, seed: int, lost: float = 0.0, slow: float = 0.02) -> None:
        self.rng = random.Random(seed)
        self.lost = lost
        self.slow = slow
        self.count = count
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.now = 100.0
        self.up = True
        self.names: dict[int, tuple[float, float]] = {}
        self.gateways = [self.start_gateway(n) for n in range(count)]
        self.reference = ReferenceBucket(RATE, BURST, self.now)
        self.answers = dict[str, Action]()
        self.calls = 0

    def start_gateway(self, index: int) -> Gateway:
        """Return a gateway that started long ago."""
        site = settings(index=index, limiter_count=self.count, plans=(PLAN,), information=COUNTER)
        gateway = create_reserving_gateway(site, index)
        self.handle(gateway, EndpointsChanged(EndpointListKind.FULL, fleet(50)), 0.0)
        return gateway

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), what))

    def handle(self, gateway: Gateway, event: Event, now: float | None = None) -> None:
        """Hand over an event, and carry out the actions."""
        for action in gateway.handle(self.now if now is None else now, event):
            match action:
                case SetTimer(token, delay):
                    self.at(self.now + delay, lambda t=token: self.handle(gateway, TimerFired(t)))  # type: ignore[misc]
                case AddToCounter():
                    self.on_counter_call(gateway, action)
                case StartAttempt():
                    self.reference.take(float(action.id.split()[1]), self.now)
                    self.answers[action.id] = action
                    end = AttemptEnded(
                        action.id, 0, action.backend, Status.OK, 0.03, True, None, float(action.id.split()[1])
                    )
                    self.at(self.now + 0.03, lambda e=end: self.handle(gateway, e))  # type: ignore[misc]
                case RejectRequest():
                    assert action.id not in self.answers
                    self.answers[action.id] = action

    def on_counter_call(self, gateway: Gateway, call: AddToCounter) -> None:
        self.calls += 1
        total, end = self.names.get(call.name, (0.0, self.now + call.ttl))
        gone = not self.up or self.rng.random() < self.lost
        if self.up and (not gone or self.rng.random() < 0.5):  # some calls without a reply are added all the same
            total = total if end > self.now else 0.0
            self.names[call.name] = (total + call.amount, end if end > self.now else self.now + call.ttl)
        reply = CounterReplied(call.name, Status.TIMEOUT if gone else Status.OK, total + call.amount, self.slow)
        self.at(self.now + (0.4 if gone else self.rng.uniform(0.0, 2 * self.slow)), lambda: self.handle(gateway, reply))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = until

    def sent(self) -> float:
        return sum(float(name.split()[1]) for name, a in self.answers.items() if isinstance(a, StartAttempt))

    def load(self, demand: float, seconds: float) -> float:
        """Run demand of so many times the quota, mostly at one gateway that changes; return the units forwarded."""
        begun = self.now
        number = 0
        ids = list[str]()
        before = self.sent()
        while self.now < begun + seconds:
            self.run(self.now + self.rng.expovariate(demand * RATE / 2.0))
            units = self.rng.choice((1.0, 1.0, 2.0, 4.0))
            favourite = int(self.now / 7.0) % self.count
            where = favourite if self.rng.random() < 0.6 else self.rng.randrange(self.count)
            ids.append(f"{self.now:.6f} {units} {number}")
            number += 1
            self.handle(self.gateways[where], request(ids[-1], units, set_size=self.count))
        self.run(self.now + 1.0)
        assert all(n in self.answers for n in ids)  # each is decided on, once
        return self.sent() - before


@pytest.mark.parametrize(("demand", "min_fraction"), [(0.4, 0.97), (3.0, 0.9)])
def test_gateways_together_forward_the_quota_and_no_more_when_demand_varies(demand: float, min_fraction: float) -> None:
    reserving_set = ReservingSet(3, 5)
    sent = reserving_set.load(demand, 60.0)
    assert reserving_set.reference.worst > -1e-6
    assert sent > min_fraction * min(1.0, demand) * RATE * 60.0


def test_no_units_are_created_when_replies_are_lost_or_late() -> None:
    reserving_set = ReservingSet(4, 9, lost=0.2, slow=0.15)
    assert reserving_set.load(3.0, 60.0) > 0.5 * RATE * 60.0
    assert reserving_set.reference.worst > -1e-6


def test_base_is_left_and_few_requests_wait_when_the_counter_is_down() -> None:
    reserving_set = ReservingSet(3, 7)
    reserving_set.load(3.0, 10.0)
    reserving_set.up = False
    calls = reserving_set.calls
    sent = reserving_set.load(3.0, 40.0)
    base = reservations.BASE_RATE_FRACTION * RATE * 40.0
    assert 0.8 * base < sent < base + BURST
    assert reserving_set.calls - calls <= 3 * 40.0 / PAUSE_AFTER_LOST_CALL_SECONDS + 3
    reserving_set.up = True
    assert reserving_set.load(3.0, 20.0) > 0.85 * RATE * 20.0
    assert reserving_set.reference.worst > -1e-6


def test_no_more_than_one_window_is_handed_out_again_when_the_counter_loses_its_totals() -> None:
    reserving_set = ReservingSet(3, 11)
    reserving_set.load(3.0, 20.0)
    reserving_set.names.clear()
    reserving_set.load(3.0, 20.0)
    assert reserving_set.reference.worst > -split_quota(RATE, BURST).window_units - 1e-6


def test_no_units_are_created_when_gateways_restart() -> None:
    reserving_set = ReservingSet(3, 13)
    for number in range(3):
        reserving_set.load(3.0, 6.0)
        gateway = reserving_set.start_gateway(number)
        reserving_set.gateways[number] = gateway
        gateway.token_buckets.initial_fill = 0.0
        gateway.context.started_at = reserving_set.now
    reserving_set.load(3.0, 6.0)
    assert reserving_set.reference.worst > -1e-6


def test_waiting_request_is_forgotten_when_its_client_disconnects_and_no_base_exists_outside_the_set() -> None:
    reserving_set = ReservingSet(3, 1)
    first = reserving_set.gateways[0]
    reserving_set.now = 200.0
    for number in range(8):
        reserving_set.handle(first, request(f"a 4.0 {number}", 4.0))
    assert isinstance(first.quota_admission, ReservedAdmission)
    (waiting,) = first.quota_admission.waiting.values()
    left = [row[2].id for row in waiting]
    for name in left:
        reserving_set.handle(first, ClientDisconnected(name))
    reserving_set.run(201.0)
    assert not any(name in reserving_set.answers for name in left)
    assert not first.quota_admission.waiting
    reserving_set.up = False
    reserving_set.handle(reserving_set.gateways[2], request("b 1.0", 1.0, set_size=2))  # its set is 0 and 1
    reserving_set.run(202.0)
    assert isinstance(reserving_set.answers["b 1.0"], RejectRequest)


def test_no_units_are_created_when_the_quota_changes() -> None:
    gateway = create_reserving_gateway(settings(plans=(PLAN,), information=COUNTER), 1)
    gateway.handle(0.0, EndpointsChanged(EndpointListKind.FULL, fleet(9)))
    gateway.handle(100.0, request("r1", 1.0))
    (store,) = gateway.buckets.values()
    assert isinstance(store, StrictTokenBucket)
    assert store.compute_missing_units(inf) == inf
    before = store.level
    for rate in (50.0, 5.0, 50.0):
        gateway.handle(100.0, SettingsChanged(settings(plans=(Plan("plain", rate, BURST),), information=COUNTER)))
        store.refresh(100.0)
        assert store.level <= before
