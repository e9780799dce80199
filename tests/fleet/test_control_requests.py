"""Operation requests on the supervisor's control socket: which arguments are parsed, ignored or rejected."""

from __future__ import annotations

import pytest

from thymeflow.fleet.control_requests import (
    MAX_MEMBERS,
    MAX_PROGRAM_CHARACTERS,
    OperationRequest,
    parse_operation,
)
from thymeflow.fleet.events import OperationKind


def test_count_is_used_by_scale_and_ignored_by_other_operations_when_it_is_given() -> None:
    message = {"do": "scale", "count": 4}
    assert parse_operation(OperationKind.SCALE, message) == OperationRequest(OperationKind.SCALE, 4)
    assert parse_operation(OperationKind.RESTART, message) == OperationRequest(OperationKind.RESTART, 0)


def test_upgrade_has_its_program_when_one_is_given() -> None:
    assert parse_operation(OperationKind.UPGRADE, {}).program is None
    assert parse_operation(OperationKind.UPGRADE, {"program": "/bin/new --fast"}).program == "/bin/new --fast"


@pytest.mark.parametrize("count", [None, "many", 0, -1, 1.5, MAX_MEMBERS + 1])
def test_scale_is_rejected_when_its_count_is_invalid(count: object) -> None:
    with pytest.raises(ValueError, match="count: "):
        parse_operation(OperationKind.SCALE, {"count": count})


@pytest.mark.parametrize("program", [7, ["/bin/new"], "x" * (MAX_PROGRAM_CHARACTERS + 1)])
def test_upgrade_is_rejected_when_its_program_is_no_command_line(program: object) -> None:
    with pytest.raises(ValueError, match="program is no command line"):
        parse_operation(OperationKind.UPGRADE, {"program": program})
