"""The status of an instance, and its message for `thymeflow status --json` and for the supervisor.

The keys of the message are a format that other programs and earlier versions read; only this module writes them.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass

from thymeflow.core.types import ResponseKind
from thymeflow.daemon.instance import Instance
from thymeflow.decision.gateway import Gateway
from thymeflow.decision.types import BackendState
from thymeflow.handover.control_socket import Message
from thymeflow.handover.state_machine import SenderState
from thymeflow.limiter.phases import Phase
from thymeflow.runtime import clock


@dataclass(frozen=True, slots=True)
class BackendCounts:
    """The numbers of backends of the endpoint list by state."""

    ready: int
    other: int
    ejected: int  # The ejected backends among the ready ones.


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """The state of an instance at one time."""

    name: str
    incarnation: str
    pid: int
    phase: Phase
    listen_address: str
    uptime_seconds: float
    index: int
    limiter_count: int
    endpoint_list_version: int
    backends: BackendCounts
    open_requests: int
    clients: int
    response_counts: Mapping[ResponseKind, int]
    customers: int
    pressure: float
    seconds_since_gossip: float | None  # None before the first report of a peer or the counter.
    snapshot: Message
    handover_state: SenderState
    dropped_log_lines: int
    outlier_report: Message | None
    allocation_report: Message | None

    @property
    def is_healthy(self) -> bool:
        """Whether the instance serves and has a ready backend."""
        return self.phase is Phase.SERVING and self.backends.ready > 0


def build_status(instance: Instance, handover_state: SenderState) -> InstanceStatus:
    """Return the current status of an instance."""
    limiter = instance.limiter
    gateway = limiter.gateway
    now = clock.now()
    last_remote_report_at = gateway.token_buckets.last_remote_report_at
    return InstanceStatus(
        name=instance.name,
        incarnation=instance.incarnation,
        pid=os.getpid(),
        phase=limiter.lifecycle.phase,
        listen_address=limiter.lifecycle.listen_address,
        uptime_seconds=now - instance.started_at,
        index=gateway.settings.index,
        limiter_count=gateway.settings.limiter_count,
        endpoint_list_version=instance.snapshots.version,
        backends=_count_backends(gateway, now),
        open_requests=limiter.dispatcher.open_count(),
        clients=len(limiter.frontend.clients),
        response_counts=limiter.dispatcher.response_counts,
        customers=len(gateway.buckets),
        pressure=gateway.registry.pressure,
        seconds_since_gossip=now - last_remote_report_at if last_remote_report_at > 0 else None,
        snapshot=instance.snapshot_file.build_status_message(),
        handover_state=handover_state,
        dropped_log_lines=instance.log_handler.file.dropped_lines,
        outlier_report=None if instance.ejections is None else instance.ejections.report(now),
        allocation_report=instance.allocation.build_report(limiter.dispatcher),
    )


def _count_backends(gateway: Gateway, now: float) -> BackendCounts:
    backends = list(gateway.backends.values())
    ready = [backend for backend in backends if backend.endpoint.state is BackendState.READY]
    ejected = sum(not backend.is_healthy("", now) for backend in ready)
    return BackendCounts(len(ready), len(backends) - len(ready), ejected)


def status_to_message(status: InstanceStatus) -> Message:
    """Return a status as the message that is printed and sent."""
    since_gossip = status.seconds_since_gossip
    return {
        "name": status.name,
        "life": status.incarnation,
        "pid": status.pid,
        "phase": status.phase.value,
        "listen": status.listen_address,
        "uptime_s": round(status.uptime_seconds, 3),
        "healthy": status.is_healthy,
        "index": status.index,
        "gateways": status.limiter_count,
        "list_version": status.endpoint_list_version,
        "servers": {
            "ready": status.backends.ready,
            "other": status.backends.other,
            "ejected": status.backends.ejected,
        },
        "open": status.open_requests,
        "user_agents": status.clients,
        "answers": {kind.value: count for kind, count in status.response_counts.items()},
        "customers": status.customers,
        "pressure": round(status.pressure, 3),
        "counter_heard_s": None if since_gossip is None else round(since_gossip, 3),
        "snapshot": status.snapshot,
        "hand_over": status.handover_state.value,
        "log_lost": status.dropped_log_lines,
        "evidence": status.outlier_report,
        "part": status.allocation_report,
    }
