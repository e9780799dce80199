"""The backoff of the watch: it spreads attempts, and lets a change be received before it counts as notified."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from thymeflow.discovery.backoff import INITIAL_BACKOFF, MAX_BACKOFF, Backoff
from thymeflow.discovery.timeouts import CONNECT_TIMEOUT, FIRST_LIST_TIMEOUT, POLLED_IDLE_TIMEOUT

LIMITERS = 40


@given(st.sampled_from([1, 3, 30, 200, 1000]), st.booleans(), st.integers(0, 99))
def test_wait_stays_within_its_bound_when_attempts_fail(limiters: int, pushed: bool, seed: int) -> None:
    # Polled: a connect that hangs, the wait and the next first message have to end within the idle timeout of 6 s.
    # Pushed: changes count as notified at once, so the wait shortens the grace period of a drain.
    backoff = Backoff(limiters, seed, pushed)
    waits = [backoff.next_wait() for _ in range(30)]
    assert max(waits) <= (INITIAL_BACKOFF if pushed else MAX_BACKOFF)
    assert CONNECT_TIMEOUT + MAX_BACKOFF + FIRST_LIST_TIMEOUT <= POLLED_IDLE_TIMEOUT
    backoff.reset()
    assert backoff.next_wait() <= (INITIAL_BACKOFF if pushed else max(INITIAL_BACKOFF, 0.025 * limiters))


def test_attempts_of_forty_limiters_are_spread_within_the_bound_when_all_are_rejected() -> None:
    attempts: list[tuple[float, int]] = []
    for number in range(LIMITERS):
        backoff = Backoff(LIMITERS, number, False)
        now = 0.0
        while (now := now + backoff.next_wait()) < 60.0:  # All attempts are rejected for a minute.
            attempts.append((now, number))
    slots = Counter(int(attempted_at / 0.1) for attempted_at, _ in attempts)
    assert max(slots.values()) <= 12, "the first attempts are not spread"
    late_attempts = sum(count for slot, count in slots.items() if slot >= 150)
    assert late_attempts <= 45 * LIMITERS / (0.7 * MAX_BACKOFF), "later attempts do not back off"
    for number in range(LIMITERS):
        attempt_times = [attempted_at for attempted_at, limiter in attempts if limiter == number]
        assert max(later - earlier for earlier, later in pairwise(attempt_times)) <= MAX_BACKOFF
