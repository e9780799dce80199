"""The message form of allocations.

Supervisor and members may run different versions of the program. If the form or an error text changed, a member of
another version would reject valid grants or report other errors.
"""

from __future__ import annotations

from tests.recorded_messages import ALLOCATION, Json, assert_as_recorded, rejection_text
from thymeflow.leases.holder import allocation_from_message, allocation_to_message


def allocation_values(message: Json) -> list[Json]:
    """Return the values of an allocation in the order of its fields."""
    allocation = allocation_from_message(message)
    return [
        allocation.epoch,
        allocation.number,
        list(allocation.base),
        list(allocation.lease),
        allocation.ends_at,
    ]


def test_allocation_has_the_same_form_when_it_is_read_and_written() -> None:
    allocation_of_two_resources = {**ALLOCATION, "base": [1, 2], "lease": [3, 4], "end": 7}
    assert_as_recorded(
        "allocation",
        [
            [allocation_values(message), allocation_to_message(allocation_from_message(message))]
            for message in (ALLOCATION, allocation_of_two_resources)
        ],
    )


def test_allocation_is_rejected_with_the_same_text_when_it_is_malformed() -> None:
    malformed: list[Json] = [
        None,
        {},
        {**ALLOCATION, "era": -1},
        {**ALLOCATION, "number": True},
        {**ALLOCATION, "end": "soon"},
        {**ALLOCATION, "base": [1]},
        {**ALLOCATION, "lease": [1, 2, 3, 4, 1_000_001]},
        {**ALLOCATION, "base": "1"},
    ]
    texts = [rejection_text(allocation_from_message, message) for message in malformed]
    assert_as_recorded("allocation refused", texts)
