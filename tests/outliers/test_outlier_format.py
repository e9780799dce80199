"""The message forms of ejections, outlier reports and admission thresholds.

Supervisor and members may run different versions of the program. If a form or an error text changed, a process of
another version would reject valid messages or report other errors.
"""

from __future__ import annotations

from tests.helpers import fleet, request, sends, settings
from tests.recorded_messages import Json, assert_as_recorded, rejection_text
from thymeflow.decision.events import AttemptEnded, EndpointsChanged
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.types import EndpointListKind, Status
from thymeflow.outliers import member
from thymeflow.shedding.threshold import LoadShedder

FAILING_BACKEND = 4
STEPS = 40


def ejection_values(messages: Json) -> list[list[Json]]:
    """Return the values of the ejections that a member parses from a message."""
    return [
        [
            *ejection.key,
            ejection.number,
            ejection.probe_permit,
            ejection.is_admitted,
            ejection.is_recovered,
            ejection.ends_at,
        ]
        for ejection in member.ejections_from_message(messages)
    ]


def collect_reports_of_a_failed_backend() -> list[Json]:
    """Return a member's report after a backend has failed, and its report after a successful half-open probe."""
    gateway = Gateway(settings(), 1)
    gateway.handle(0.0, EndpointsChanged(EndpointListKind.CACHED, fleet()))
    reporter = member.MemberEjections(gateway)
    first_report: dict[str, Json] = {}
    for step in range(STEPS):
        now = 0.05 * (step + 1)
        for attempt in sends(gateway.handle(now, request(f"r{step}"))):
            status = Status.ERROR if attempt.backend == FAILING_BACKEND else Status.OK
            ended = AttemptEnded(attempt.id, 0, attempt.backend, status, 0.01, request_answered=True)
            gateway.handle(now + 0.01, ended)
            report = reporter.report(now + 0.01)
            first_report = first_report or (report if report["against"] else {})
    permits = member.ejections_from_message([[FAILING_BACKEND, "read", 1, 17, False, False, 9.0]])
    reporter.on_ejections(permits, 2.1, 2.1)
    for step in range(STEPS):
        now = 2.2 + 0.01 * step
        for attempt in sends(gateway.handle(now, request(f"s{step}"))):
            ended = AttemptEnded(attempt.id, 0, attempt.backend, Status.OK, 0.005, request_answered=True)
            gateway.handle(now + 0.005, ended)
    return [first_report, reporter.report(2.7)]


def test_ejections_have_the_same_form_when_they_are_read() -> None:
    messages = [
        [4, "read", 1, 17, False, False, 9.0],
        [-1, "zone-a", 2, 0, True, True, 3],
        [0, "", 0, 0, False, True, 1.5],
    ]
    written = [member.ejection_to_row(ejection) for ejection in member.ejections_from_message(messages)]
    assert_as_recorded("ejections", [ejection_values(messages), written])


def test_overload_messages_are_rejected_with_the_same_text_when_they_are_malformed() -> None:
    valid: list[Json] = [4, "read", 1, 17, False, False, 9.0]
    load_shedder = LoadShedder(Gateway(settings(), 1))
    ejections: list[Json] = [None, [7], [valid[:6]], [[*valid[:6], True]]]
    keys: list[Json] = [None, [7], [[-1, ""]], [[1, 2]]]
    zones: list[Json] = [[], {"a": 1}, {"a": ["x"]}]
    probes: list[Json] = [[], {"x": True}, {"1": 1}]
    thresholds: list[Json] = [None, True, 1.5, "0.5"]
    texts = [rejection_text(member.ejections_from_message, value) for value in ejections]
    texts += [rejection_text(member.keys_from_message, value) for value in keys]
    texts += [rejection_text(member.zones_from_message, value) for value in zones]
    texts += [rejection_text(member.probes_from_message, value) for value in probes]
    texts += [rejection_text(lambda value: load_shedder.on_threshold(value, 0.0, 0.0), value) for value in thresholds]
    assert_as_recorded("overload refused", texts)


def test_report_has_the_same_form_when_a_backend_has_failed() -> None:
    assert_as_recorded("evidence", collect_reports_of_a_failed_backend())
