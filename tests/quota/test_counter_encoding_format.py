"""The encoding of counter amounts: limiters of two versions share the counter during a rolling restart."""

from __future__ import annotations

from tests.recorded_messages import Json, assert_as_recorded
from thymeflow.quota import counter_encoding


def test_counter_encoding_matches_the_recorded_values() -> None:
    results: list[Json] = []
    for customer, rate, burst in (("c", 10.0, 30.0), ("0xfeed", 0.01, 20.0), ("", 1e6, 1e9), ("é", 1e-12, 1e-12)):
        customer_id = counter_encoding.compute_customer_id(customer)
        for now in (0.0, 12345.678, 1764633600.25):
            name = counter_encoding.build_counter_name(customer_id, now, rate, burst)
            for requested, charged in ((0.0, 0.0), (3.0, 2.5), (1e12, 1e12), (-4.0, -7.0), (rate * 9.9, -burst)):
                amount = counter_encoding.encode(name, requested, charged)
                decoded = counter_encoding.decode(name, amount)
                results.append([customer_id, name, amount, *decoded, counter_encoding.is_impossible_increase(amount)])
            results.append(
                [
                    counter_encoding.compute_window_age(customer_id, now),
                    counter_encoding.compute_rendezvous_order(customer_id, 2, 5, 24),
                ]
            )
    assert_as_recorded("counter encoding", results)
