"""The status of a fleet as JSON: the responses to `status`, `budgets` and `overload` on the control socket.

Only this module knows the keys and values of these messages. `thymeflow ... --json` prints them, and programs of other
versions read them.
"""

from __future__ import annotations

import os

from thymeflow.fleet.controller import FleetController
from thymeflow.fleet.member_runs import MemberRuns
from thymeflow.fleet.member_sockets import MemberSockets
from thymeflow.fleet.member_state import Member, MemberState
from thymeflow.fleet.registry import FleetNames
from thymeflow.leases.issuer import LeaseIssuer
from thymeflow.leases.resources import BASE_POINTS, LEASED_POINTS, TOTAL_POINTS, Resource
from thymeflow.outliers.coordinator import OutlierCoordinator
from thymeflow.outliers.ejection import EjectionKey, EjectionRecord, EjectionState
from thymeflow.shedding.threshold import AdmissionThreshold

SERVING_STATES = (MemberState.READY, MemberState.REPLACING)
FRACTION_DECIMALS = 3
TIME_DECIMALS = 2

JsonObject = dict[str, object]


def build_fleet_status(
    controller: FleetController, names: FleetNames, runs: MemberRuns, sockets: MemberSockets
) -> JsonObject:
    """Return the status of a fleet and of each member."""
    members = controller.members
    return {
        "wanted": controller.wanted_count,
        "ready": sum(member.state in SERVING_STATES for member in members.values()),
        "working": controller.describe_operation(),
        "pid": os.getpid(),
        "members": [_build_member_status(member, names, runs, sockets) for _, member in sorted(members.items())],
    }


def _build_member_status(member: Member, names: FleetNames, runs: MemberRuns, sockets: MemberSockets) -> JsonObject:
    run = runs.get(member.run_id)
    return {
        "name": names.name(member.number),
        "state": member.state.value,
        "why": member.last_crash_reason,
        "crashes": len(member.crash_times),
        "pid": run.pid if run else None,
        "listen": sockets.address_text(member.number),
        "told": run.last_status if run else {},
    }


def build_lease_status(issuer: LeaseIssuer, write_error: str, now: float) -> JsonObject:
    """Return the fleet's limits, their unallocated amounts and each member's allocation; all amounts are in points."""
    return {
        "whole": TOTAL_POINTS,
        "base": BASE_POINTS,
        "pool": LEASED_POINTS,
        "era": issuer.epoch,
        "fault": write_error,
        "free": {
            resource.value: {
                "base": issuer.base[index].free(now),
                "pool": issuer.leased[index].free(now),
            }
            for index, resource in enumerate(Resource)
        },
        "members": {name: _build_holder_status(issuer, name, now) for name in sorted(issuer.records)},
    }


def _build_holder_status(issuer: LeaseIssuer, name: str, now: float) -> JsonObject:
    record = issuer.records[name]
    return {
        "state": record.state.value,
        "number": record.number,
        "told": list(record.reported),
        "ends_in_s": round(max(0.0, record.lease_ends_at - now), TIME_DECIMALS),
        "demand": list(record.demand),
        "base": {resource.value: issuer.base[index].outstanding(name, now) for index, resource in enumerate(Resource)},
        "lease": {
            resource.value: issuer.leased[index].outstanding(name, now) for index, resource in enumerate(Resource)
        },
    }


def build_outlier_status(coordinator: OutlierCoordinator, threshold: AdmissionThreshold, now: float) -> JsonObject:
    """Return the admission threshold, and the ejections with the members that reported them."""
    return {
        "level": round(threshold.value, FRACTION_DECIMALS),
        "pressure": round(threshold.pressure, FRACTION_DECIMALS),
        "every_s": coordinator.probe_interval,
        "left_out": coordinator.invalid_reports,
        "members": sorted(coordinator.reports),
        "cases": [_build_ejection_status(key, record, now) for key, record in sorted(coordinator.ejections.items())],
    }


def _build_ejection_status(key: EjectionKey, record: EjectionRecord, now: float) -> JsonObject:
    return {
        "server": key.backend,
        "class": "" if key.is_zone() else key.name,
        "zone": key.name if key.is_zone() else "",
        "state": record.state.value,
        "for_s": round(now - record.ejected_at, TIME_DECIMALS),
        "words": sorted(record.reported_by),
        "trial": record.probing_member if record.state is EjectionState.EJECTED else "",
        "let_in": record.admitted_count,
    }
