"""Simulated environment of gateways in a recorded run, in virtual time: clients, backends, peers and a counter."""

from __future__ import annotations

import heapq
import io
import itertools
import json
import random
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from tests.decision.trace_settings import COUNTER_TIMEOUT
from tests.trace_digest import TraceDigest

OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT = range(1, 9)
GONE, READY, DRAINING = range(3)
DELTA, FULL_LIST, CACHED, FAILED = range(4)
START_SECONDS = 100.0
BATCH_SECONDS = 0.004
RUN_SECONDS = 30.0
Fields = dict[str, str]


class ClientRequest:
    """State of a client's request and its attempts in the environment."""

    def __init__(self, instance: int, fields: Fields) -> None:
        self.instance = instance
        self.fields = fields
        self.is_answered = False
        self.attempts: dict[int, int] = {}
        self.ended_attempts: set[int] = set()


class SimulatedEnvironment:
    """Generates events for the gateways in virtual time, and carries out their actions."""

    def __init__(
        self, seed: int, gateway_settings: list[dict[str, Any]], rate: float, has_extra_events: bool = False
    ) -> None:
        self.rng = random.Random(seed)
        self.gateway_settings = gateway_settings
        self.rate = rate
        self.has_extra_events = has_extra_events
        self.trace = TraceDigest()
        self.out = io.StringIO()
        self.now = START_SECONDS
        self.end = START_SECONDS + RUN_SECONDS
        self.queue: list[tuple[float, int, int, str]] = []
        self.sequence_numbers = itertools.count()
        self.request_numbers = itertools.count(1)
        self.page_numbers = itertools.count()
        self.client_requests: dict[str, ClientRequest] = {}
        self.totals: dict[int, float] = {}
        self.running = set(range(len(gateway_settings)))
        self.endpoints = {number: [number, "ab"[number % 2], number % 3, READY, 0.0] for number in range(1, 11)}
        self.customers = [
            (
                f"k:{n}",
                gateway_settings[0]["tiers-of-service"][n % 5]["name"],
                1 + n % len(gateway_settings),
                n % len(gateway_settings),
            )
            for n in range(14)
        ]

    def add_scarce_customers(self, count: int) -> None:
        """Add customers with a small quota whose set consists of all gateways."""
        full_size = len(self.gateway_settings)
        self.customers = [(f"s:{n}", "scarce", full_size, n % full_size) for n in range(count)] + self.customers

    def run(self, runner: Callable[[Iterator[str], TextIO], None]) -> TraceDigest:
        """Run the simulation until its end and return the trace."""
        runner(self.generate_lines(), self.out)
        return self.trace

    def schedule(self, delay: float, instance: int, entry: str) -> None:
        """Schedule an entry for an instance after a delay in seconds; instance -1 is the environment itself."""
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence_numbers), instance, entry))

    def generate_lines(self) -> Iterator[str]:
        """Yield the lines for the adapter in batches; each batch depends on the reply to the previous batch."""
        for instance in sorted(self.running):
            self.schedule(0.01 * instance, instance, "start")
        self.schedule(0.1, -1, "arrival")
        for second in range(1, int(RUN_SECONDS)):
            self.schedule(second + 0.003, -1, f"change {second}")
        while self.queue and self.queue[0][0] < self.end:
            self.now = self.queue[0][0]
            yield f"clock wall={self.now:.6f}\n"
            current_instance = None
            while self.queue and self.queue[0][0] <= self.now + BATCH_SECONDS:
                _, _, instance, entry = heapq.heappop(self.queue)
                for line in self.carry_out_entry(instance, entry):
                    if instance >= 0 and instance != current_instance:
                        yield f"at i={instance}\n"
                        current_instance = instance
                    self.trace.events[line.partition(" ")[0]] += 1
                    yield line + "\n"
            yield "end\n"
            self.process_reply()

    def process_reply(self) -> None:
        text = self.out.getvalue()
        self.out.seek(0)
        self.out.truncate()
        self.trace.add_step(text)
        assert text.endswith("ready\n")
        instance = -1
        for line in text.splitlines()[:-1]:
            kind, _, arguments = line.partition(" ")
            assert kind != "exception", line
            fields = dict(pair.split("=", 1) for pair in arguments.split())
            if kind == "for":
                instance = int(fields["i"])
            else:
                self.trace.actions[kind] += 1
                getattr(self, f"on_{kind}")(instance, fields)

    def carry_out_entry(self, instance: int, entry: str) -> list[str]:  # noqa: PLR0911  # One return for each kind.
        """Carry out a scheduled entry that is due, and return the lines to send to the adapter."""
        kind, _, arguments = entry.partition(" ")
        if kind == "arrival":
            self.generate_arrival()
            return []
        if kind == "change":
            return self.apply_change(int(arguments))
        if kind == "start":
            settings = json.dumps(self.gateway_settings[instance])
            return [f"born salt={100 + instance} settings={settings}", *self.build_endpoint_list_lines(CACHED)]
        if instance not in self.running and kind != "halt":
            return []
        if kind == "attempt_end":
            return self.end_attempt(entry)
        if kind == "left":
            client_request = self.client_requests[arguments.removeprefix("rid=")]
            if client_request.is_answered:
                return []
            client_request.is_answered = True
        if kind == "list":
            return self.build_endpoint_list_lines(int(arguments))
        return [entry]

    # Clients.

    def generate_arrival(self) -> None:
        elapsed = self.now - START_SECONDS
        is_burst = 12.0 < elapsed < 12.5
        rate_factor = 15.0 if is_burst else 2.5 if 8.0 < elapsed < 16.0 else 1.0
        self.schedule(self.rng.expovariate(self.rate * rate_factor), -1, "arrival")
        customer, plan, set_size, first_limiter = self.rng.choice(self.customers[: self.rng.choice((3, 14))])
        if is_burst:
            plan = "free"
        instance = (first_limiter + self.rng.randrange(set_size)) % len(self.gateway_settings)
        classes = [c["name"] for c in self.gateway_settings[0]["classes"]]
        if self.rng.random() < 0.02:
            plan = "none"
        fields = {
            "cls": "odd" if self.rng.random() < 0.02 else self.rng.choice(classes),
            "tier": plan,
            "user-key": customer,
            "remaining": f"{self.rng.choice((0.01, 0.4, 1.0, 1.5, 2.0, 2.0)):.3f}",
            "weight": str(self.rng.choice((1, 1, 1, 1, 2, 2, 3, 4, 0))),
            "spread": str(set_size),
            "first": str(first_limiter),
            "is-write": str(self.rng.randrange(2)),
        }
        self.send_request(instance, fields, 0.0)

    def send_request(self, instance: int, fields: Fields, delay: float) -> None:
        request_id = f"{next(self.request_numbers):016x}"
        self.client_requests[request_id] = ClientRequest(instance, fields)
        self.schedule(delay, instance, f"incoming rid={request_id} " + " ".join(f"{k}={v}" for k, v in fields.items()))
        if self.rng.random() < 0.05:
            self.schedule(delay + self.rng.choice((0.005, 0.3)), instance, f"left rid={request_id}")
        if self.has_extra_events and self.rng.random() < 0.05:
            self.schedule(delay + self.rng.uniform(0.0, 0.1), instance, f"body rid={request_id}")

    def on_bounce(self, instance: int, fields: Fields) -> None:
        client_request = self.client_requests[fields["rid"]]
        client_request.is_answered = True
        if "is-retry" not in client_request.fields and self.rng.random() < 0.4:
            delay_seconds = float(fields.get("not-before-for", "0.2")) + self.rng.uniform(0.0, 0.1)
            self.send_request(client_request.instance, {**client_request.fields, "is-retry": "1"}, delay_seconds)

    def on_error(self, instance: int, fields: Fields) -> None:
        self.client_requests[fields["rid"]].is_answered = True

    # Backends.

    def on_issue(self, instance: int, fields: Fields) -> None:
        request_id = fields["rid"]
        backend = int(fields["backend"])
        timeout = float(fields.get("try-for", "0"))
        client_request = self.client_requests[request_id]
        number = len(client_request.attempts)
        client_request.attempts[number] = backend
        status, latency = self.draw_outcome(backend)
        if timeout and latency > timeout:
            status = TIMEOUT
            latency = timeout
        if client_request.fields["cls"] == "feed" and status == OK:
            text = f"head_received rid={request_id} round-no={number} backend={backend} spent={0.5 * latency:.6f}"
            self.schedule(0.5 * latency, instance, text)
            latency *= 2.0
        if status == TIMEOUT and not timeout and self.rng.random() < 0.7:
            return  # The attempt gets no response.
        text = f"attempt_end rid={request_id} round-no={number} backend={backend} reason={status} spent={latency:.6f}"
        self.schedule(latency, instance, text)

    def draw_outcome(self, backend: int) -> tuple[int, float]:
        elapsed = self.now - START_SECONDS
        sample = self.rng.random()
        if backend in (1, 2, 3) and 10.0 < elapsed < 15.0:
            return (TIMEOUT, 0.6) if sample < 0.5 else (OK, self.rng.uniform(0.4, 1.0))
        if backend in (4, 5) and 5.0 < elapsed < 9.0:
            return CONNECT_FAILED if sample < 0.6 else RESET, self.rng.uniform(0.001, 0.05)
        if backend == 6 and 16.0 < elapsed < 20.0:
            return ERROR if sample < 0.8 else FULL, self.rng.uniform(0.001, 0.02)
        if sample < 0.06:
            return self.rng.choice((ERROR, FULL, TIMEOUT, RESET, CONNECT_FAILED, MOOT)), self.rng.uniform(0.005, 0.2)
        return OK, self.rng.uniform(0.02, 0.6 if 10.0 < elapsed < 15.0 else 0.2)

    def end_attempt(self, text: str) -> list[str]:
        fields = dict(pair.split("=", 1) for pair in text.split()[1:])
        client_request = self.client_requests[fields["rid"]]
        number = int(fields["round-no"])
        if number in client_request.ended_attempts:
            return []
        client_request.ended_attempts.add(number)
        if fields["reason"] != str(OK):
            return [text]
        if not client_request.is_answered:
            client_request.is_answered = True
            actual_units = max(0.25, float(client_request.fields["weight"]) * self.rng.choice((0.5, 1.0, 1.0, 1.5)))
            text += f" over=1 billed={actual_units}"
        if self.rng.random() < 0.2:
            text += f" fleet-use={self.rng.randrange(1, 260)}"
        return [text + f" metrics=active:{self.rng.randrange(9)},avg_ms:{self.rng.randrange(200)}"]

    def on_call_off(self, instance: int, fields: Fields) -> None:
        request_id = fields["rid"]
        number = int(fields["round-no"])
        backend = self.client_requests[request_id].attempts[number]
        text = f"attempt_end rid={request_id} round-no={number} backend={backend} reason={CANCELLED} spent=0.01"
        self.schedule(0.01, instance, text)

    # Discovery.

    def build_endpoint_list_lines(self, kind: int, numbers: list[int] | None = None) -> list[str]:
        """Return the lines of an endpoint list with the endpoints in `numbers`, or by default with all not gone."""
        listed_endpoints = (
            [self.endpoints[n] for n in numbers] if numbers else [e for e in self.endpoints.values() if e[3]]
        )
        page = next(self.page_numbers)
        if kind == FAILED:
            return [f"membership page={page} how={kind}"]
        rows = [
            f"backend backend={number} az={zone} group={cell} lifecycle={state} started-at={started:.3f} rating=1"
            for number, zone, cell, state, started in listed_endpoints
        ]
        return [
            f"table page={page} nodes-list={len(rows)}",
            *rows,
            f"membership page={page} how={kind} revision={page}",
        ]

    def apply_change(self, second: int) -> list[str]:
        """Apply the changes to the environment that are scripted for a second of the run."""
        scripted_states: dict[int, tuple[int, int]] = {
            3: (7, DRAINING),
            4: (7, GONE),
            17: (9, DRAINING),
            19: (9, READY),
        }
        if second in scripted_states:
            number, state = scripted_states[second]
            self.endpoints[number][3] = state
            self.announce_endpoints(DELTA, [number])
        if second in (5, 12, 21):
            number = 10 + second
            self.endpoints[number] = [number, "ab"[second % 2], second % 3, READY, self.now - 0.5]
            self.announce_endpoints(DELTA, [number])
        if second in (7, 23):
            self.endpoints[3][4] = self.now  # A later incarnation.
            self.announce_endpoints(FULL_LIST if second == 7 else DELTA, [3] if second == 23 else None)
        if second in (9, 18):
            self.announce_endpoints(FAILED, None)
        if second == 14:
            self.running.discard(1)
            self.schedule(0.0, 1, "halt")
        if second == 16:
            self.running.add(1)
            self.schedule(0.0, 1, "start")
        if second == 20:
            self.totals.clear()
        if second == 26:
            self.schedule(0.0, 0, f"message sender=1 data={'00' * 6}")
            self.schedule(0.0, 0, "message sender=99 data=0300010001000000000100000000")
            self.schedule(0.0, 0, "probe_done backend=2 reason=1 spent=0.01")
            self.schedule(0.0, 0, "reminder cookie=1")
        if self.has_extra_events and second in (11, 22):
            self.change_settings(0.5 if second == 11 else 1.5)
        return []

    def announce_endpoints(self, kind: int, numbers: list[int] | None) -> None:
        for instance in sorted(self.running):
            for line in self.build_endpoint_list_lines(kind, numbers):
                self.schedule(0.001 * instance, instance, line)

    def on_subscribe(self, instance: int, fields: Fields) -> None:
        self.schedule(0.02, instance, f"list {FULL_LIST}")

    def on_fetch(self, instance: int, fields: Fields) -> None:
        self.schedule(0.02, instance, f"list {CACHED}")

    def change_settings(self, factor: float) -> None:
        """Put changed settings in force: quotas are multiplied by the factor, and the last plan is removed."""
        for instance, current in enumerate(self.gateway_settings):
            plans = [
                {**plan, "refill": plan["refill"] * factor, "most-at-once": plan["most-at-once"] * factor}
                for plan in current["tiers-of-service"]
            ]
            changed = {**current, "tiers-of-service": plans[:-1], "balancers": current["balancers"] + (factor > 1.0)}
            self.gateway_settings[instance] = changed
            if instance in self.running:
                self.schedule(0.0, instance, f"settings_changed settings={json.dumps(changed)}")

    # Timers, peers and the counter.

    def on_arm(self, instance: int, fields: Fields) -> None:
        self.schedule(float(fields["from-now"]), instance, f"reminder cookie={fields['cookie']}")

    def on_share(self, instance: int, fields: Fields) -> None:
        peer = int(fields["whom"])
        text = f"message sender={instance} data={fields['data']}"
        for target in range(len(self.gateway_settings)) if peer < 0 else [peer]:
            if target < len(self.gateway_settings) and self.rng.random() < 0.95:
                self.schedule(self.rng.uniform(0.005, 0.08), target, text)
            if target < len(self.gateway_settings) and self.rng.random() < 0.03:
                self.schedule(self.rng.uniform(0.3, 0.9), target, text)

    def on_add(self, instance: int, fields: Fields) -> None:
        name = int(fields["book"])
        sample = self.rng.random()
        is_unresponsive = 9.0 < self.now - START_SECONDS < 10.5
        if sample < 0.03:
            status = FULL
            latency = 0.004
        elif sample < 0.06:
            status = CONNECT_FAILED
            latency = 0.004
        elif sample < 0.12 or is_unresponsive:
            status = TIMEOUT
            latency = COUNTER_TIMEOUT
        else:
            status = OK
            latency = self.rng.choice((0.002, 0.005, 0.01, 0.06))
        if status == OK or (status == TIMEOUT and self.rng.random() < 0.5):
            self.totals[name] = self.totals.get(name, 0.0) + float(fields["qty"])
        total = "nan" if self.rng.random() < 0.01 else f"{self.totals.get(name, 0.0):.9g}"
        text = f"ledger_reply book={name} reason={status} reading={total} spent={latency:.6f}"
        self.schedule(latency, instance, text)
