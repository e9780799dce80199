"""The status of an instance, in the form of `thymeflow status --json` and of reports to the supervisor.

The keys are a format that programs and earlier versions read.
"""

from __future__ import annotations

import os

from thymeflow.daemon.instance import Instance
from thymeflow.decision.types import BackendState
from thymeflow.handover.control_socket import Message
from thymeflow.handover.state_machine import SenderState
from thymeflow.limiter.phases import Phase
from thymeflow.runtime import clock


def build_status(instance: Instance, sender_state: SenderState) -> Message:
    """Return the present state of an instance."""
    limiter = instance.limiter
    now = clock.now()
    gateway = limiter.gateway
    phase = limiter.lifecycle.phase
    backends = list(gateway.backends.values())
    last_gossip_at = gateway.token_buckets.last_gossip_at
    ready = [backend for backend in backends if backend.endpoint.state is BackendState.READY]
    return {
        "name": instance.name,
        "life": instance.incarnation,
        "pid": os.getpid(),
        "phase": phase.value,
        "listen": limiter.lifecycle.listen_address,
        "uptime_s": round(now - instance.started_at, 3),
        "healthy": phase is Phase.SERVING and bool(ready),
        "index": gateway.settings.index,
        "gateways": gateway.settings.limiter_count,
        "list_version": instance.snapshots.version,
        "servers": {
            "ready": len(ready),
            "other": len(backends) - len(ready),
            "ejected": sum(not backend.is_healthy("", now) for backend in ready),
        },
        "open": limiter.dispatcher.open_count(),
        "user_agents": len(limiter.frontend.clients),
        "answers": {kind.value: count for kind, count in limiter.dispatcher.response_counts.items()},
        "customers": len(gateway.buckets),
        "pressure": round(gateway.registry.pressure, 3),
        "counter_heard_s": round(now - last_gossip_at, 3) if last_gossip_at > 0 else None,
        "snapshot": instance.snapshot_file.status(),
        "hand_over": sender_state.value,
        "log_lost": instance.log_handler.file.dropped_lines,
        "evidence": None if instance.ejections is None else instance.ejections.report(now),
        "part": instance.allocation.report(limiter.dispatcher),
    }
