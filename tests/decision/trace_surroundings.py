"""The surroundings of gateways in a recorded run, in virtual time: clients, backends, peers and a counter."""

from __future__ import annotations

import heapq
import io
import itertools
import json
import random
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from tests.decision.trace_sites import COUNTER_TIMEOUT
from tests.trace_digest import TraceDigest

OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT = range(1, 9)
GONE, READY, DRAINING = range(3)
DELTA, FULL_LIST, CACHED, FAILED = range(4)
START_SECONDS = 100.0
BATCH_SECONDS = 0.004
RUN_SECONDS = 30.0
Fields = dict[str, str]


class Call:
    """A request of a client, as its surroundings see it."""

    def __init__(self, instance: int, fields: Fields) -> None:
        self.instance = instance
        self.fields = fields
        self.answered = False
        self.attempts: dict[int, int] = {}
        self.over: set[int] = set()


class Surroundings:
    """Everything around the gateways, in virtual time."""

    def __init__(self, seed: int, instances: list[dict[str, Any]], rate: float, direct: bool = False) -> None:
        self.rng = random.Random(seed)
        self.instances = instances
        self.rate = rate
        self.direct = direct
        self.trace = TraceDigest()
        self.out = io.StringIO()
        self.now = START_SECONDS
        self.end = START_SECONDS + RUN_SECONDS
        self.queue: list[tuple[float, int, int, str]] = []
        self.order = itertools.count()
        self.requests = itertools.count(1)
        self.pages = itertools.count()
        self.calls: dict[str, Call] = {}
        self.totals: dict[int, float] = {}
        self.alive = set(range(len(instances)))
        self.endpoints = {number: [number, "ab"[number % 2], number % 3, READY, 0.0] for number in range(1, 11)}
        self.customers = [
            (f"k:{n}", instances[0]["tiers-of-service"][n % 5]["name"], 1 + n % len(instances), n % len(instances))
            for n in range(14)
        ]

    def add_scarce_customers(self, count: int) -> None:
        """Add customers whose quota is small and whose set is all of the gateways."""
        everywhere = len(self.instances)
        self.customers = [(f"s:{n}", "scarce", everywhere, n % everywhere) for n in range(count)] + self.customers

    def run(self, runner: Callable[[Iterator[str], TextIO], None]) -> TraceDigest:
        """Play until the end; the trace."""
        runner(self.script(), self.out)
        return self.trace

    def at(self, delay: float, instance: int, line: str) -> None:
        """Schedule a line for an instance; a line of several is taken in one batch."""
        heapq.heappush(self.queue, (self.now + delay, next(self.order), instance, line))

    def script(self) -> Iterator[str]:
        """The wire's lines, batch by batch; each batch is made when the reply to the one before is there."""
        for instance in sorted(self.alive):
            self.at(0.01 * instance, instance, "start")
        self.at(0.1, -1, "arrival")
        for moment in range(1, int(RUN_SECONDS)):
            self.at(moment + 0.003, -1, f"change {moment}")
        while self.queue and self.queue[0][0] < self.end:
            self.now = self.queue[0][0]
            yield f"clock wall={self.now:.6f}\n"
            speaking = None
            while self.queue and self.queue[0][0] <= self.now + BATCH_SECONDS:
                _, _, instance, text = heapq.heappop(self.queue)
                for line in self.lines(instance, text):
                    if instance >= 0 and instance != speaking:
                        yield f"at i={instance}\n"
                        speaking = instance
                    self.trace.events[line.partition(" ")[0]] += 1
                    yield line + "\n"
            yield "end\n"
            self.reply()

    def reply(self) -> None:
        text = self.out.getvalue()
        self.out.seek(0)
        self.out.truncate()
        self.trace.add_step(text)
        assert text.endswith("ready\n")
        instance = -1
        for line in text.splitlines()[:-1]:
            kind, _, rest = line.partition(" ")
            assert kind != "exception", line
            fields = dict(pair.split("=", 1) for pair in rest.split())
            if kind == "for":
                instance = int(fields["i"])
            else:
                self.trace.actions[kind] += 1
                getattr(self, f"on_{kind}")(instance, fields)

    def lines(self, instance: int, text: str) -> list[str]:  # noqa: PLR0911  # one for each kind of text
        """What a scheduled text comes to by now."""
        kind, _, rest = text.partition(" ")
        if kind == "arrival":
            self.arrive()
            return []
        if kind == "change":
            return self.change(int(rest))
        if kind == "start":
            settings = json.dumps(self.instances[instance])
            return [f"born salt={100 + instance} settings={settings}", *self.membership(CACHED)]
        if instance not in self.alive and kind != "halt":
            return []
        if kind == "attempt_end":
            return self.ended(text)
        if kind == "left":
            call = self.calls[rest.removeprefix("rid=")]
            if call.answered:
                return []
            call.answered = True
        if kind == "list":
            return self.membership(int(rest))
        return [text]

    # Clients.

    def arrive(self) -> None:
        elapsed = self.now - START_SECONDS
        crowd = 12.0 < elapsed < 12.5
        busy = 15.0 if crowd else 2.5 if 8.0 < elapsed < 16.0 else 1.0
        self.at(self.rng.expovariate(self.rate * busy), -1, "arrival")
        key, plan, spread, first = self.rng.choice(self.customers[: self.rng.choice((3, 14))])
        if crowd:
            plan = "free"
        instance = (first + self.rng.randrange(spread)) % len(self.instances)
        classes = [c["name"] for c in self.instances[0]["classes"]]
        if self.rng.random() < 0.02:
            plan = "none"
        fields = {
            "cls": "odd" if self.rng.random() < 0.02 else self.rng.choice(classes),
            "tier": plan,
            "user-key": key,
            "remaining": f"{self.rng.choice((0.01, 0.4, 1.0, 1.5, 2.0, 2.0)):.3f}",
            "weight": str(self.rng.choice((1, 1, 1, 1, 2, 2, 3, 4, 0))),
            "spread": str(spread),
            "first": str(first),
            "is-write": str(self.rng.randrange(2)),
        }
        self.send_request(instance, fields, 0.0)

    def send_request(self, instance: int, fields: Fields, delay: float) -> None:
        rid = f"{next(self.requests):016x}"
        self.calls[rid] = Call(instance, fields)
        self.at(delay, instance, f"incoming rid={rid} " + " ".join(f"{k}={v}" for k, v in fields.items()))
        if self.rng.random() < 0.05:
            self.at(delay + self.rng.choice((0.005, 0.3)), instance, f"left rid={rid}")
        if self.direct and self.rng.random() < 0.05:
            self.at(delay + self.rng.uniform(0.0, 0.1), instance, f"body rid={rid}")

    def on_bounce(self, instance: int, fields: Fields) -> None:
        call = self.calls[fields["rid"]]
        call.answered = True
        if "is-retry" not in call.fields and self.rng.random() < 0.4:
            wait = float(fields.get("not-before-for", "0.2")) + self.rng.uniform(0.0, 0.1)
            self.send_request(call.instance, {**call.fields, "is-retry": "1"}, wait)

    def on_error(self, instance: int, fields: Fields) -> None:
        self.calls[fields["rid"]].answered = True

    # Backends.

    def on_issue(self, instance: int, fields: Fields) -> None:
        rid = fields["rid"]
        backend = int(fields["backend"])
        limit = float(fields.get("try-for", "0"))
        call = self.calls[rid]
        number = len(call.attempts)
        call.attempts[number] = backend
        status, latency = self.outcome(backend)
        if limit and latency > limit:
            status = TIMEOUT
            latency = limit
        if call.fields["cls"] == "feed" and status == OK:
            text = f"head_received rid={rid} round-no={number} backend={backend} spent={0.5 * latency:.6f}"
            self.at(0.5 * latency, instance, text)
            latency *= 2.0
        if status == TIMEOUT and not limit and self.rng.random() < 0.7:
            return  # no response at all
        text = f"attempt_end rid={rid} round-no={number} backend={backend} reason={status} spent={latency:.6f}"
        self.at(latency, instance, text)

    def outcome(self, backend: int) -> tuple[int, float]:
        elapsed = self.now - START_SECONDS
        chance = self.rng.random()
        if backend in (1, 2, 3) and 10.0 < elapsed < 15.0:
            return (TIMEOUT, 0.6) if chance < 0.5 else (OK, self.rng.uniform(0.4, 1.0))
        if backend in (4, 5) and 5.0 < elapsed < 9.0:
            return CONNECT_FAILED if chance < 0.6 else RESET, self.rng.uniform(0.001, 0.05)
        if backend == 6 and 16.0 < elapsed < 20.0:
            return ERROR if chance < 0.8 else FULL, self.rng.uniform(0.001, 0.02)
        if chance < 0.06:
            return self.rng.choice((ERROR, FULL, TIMEOUT, RESET, CONNECT_FAILED, MOOT)), self.rng.uniform(0.005, 0.2)
        return OK, self.rng.uniform(0.02, 0.6 if 10.0 < elapsed < 15.0 else 0.2)

    def ended(self, text: str) -> list[str]:
        fields = dict(pair.split("=", 1) for pair in text.split()[1:])
        call = self.calls[fields["rid"]]
        number = int(fields["round-no"])
        if number in call.over:
            return []
        call.over.add(number)
        if fields["reason"] != str(OK):
            return [text]
        if not call.answered:
            call.answered = True
            billed = max(0.25, float(call.fields["weight"]) * self.rng.choice((0.5, 1.0, 1.0, 1.5)))
            text += f" over=1 billed={billed}"
        if self.rng.random() < 0.2:
            text += f" fleet-use={self.rng.randrange(1, 260)}"
        return [text + f" metrics=active:{self.rng.randrange(9)},avg_ms:{self.rng.randrange(200)}"]

    def on_call_off(self, instance: int, fields: Fields) -> None:
        rid = fields["rid"]
        number = int(fields["round-no"])
        backend = self.calls[rid].attempts[number]
        text = f"attempt_end rid={rid} round-no={number} backend={backend} reason={CANCELLED} spent=0.01"
        self.at(0.01, instance, text)

    # Discovery.

    def membership(self, kind: int, numbers: list[int] | None = None) -> list[str]:
        """A list of some endpoints, or of all that are not gone, on a page of its own."""
        shown = [self.endpoints[n] for n in numbers] if numbers else [e for e in self.endpoints.values() if e[3]]
        page = next(self.pages)
        if kind == FAILED:
            return [f"membership page={page} how={kind}"]
        rows = [
            f"backend backend={number} az={zone} group={cell} lifecycle={state} started-at={started:.3f} rating=1"
            for number, zone, cell, state, started in shown
        ]
        return [
            f"table page={page} nodes-list={len(rows)}",
            *rows,
            f"membership page={page} how={kind} revision={page}",
        ]

    def change(self, moment: int) -> list[str]:
        """What happens to the site at some second."""
        script: dict[int, tuple[int, int]] = {3: (7, DRAINING), 4: (7, GONE), 17: (9, DRAINING), 19: (9, READY)}
        if moment in script:
            number, state = script[moment]
            self.endpoints[number][3] = state
            self.announce(DELTA, [number])
        if moment in (5, 12, 21):
            number = 10 + moment
            self.endpoints[number] = [number, "ab"[moment % 2], moment % 3, READY, self.now - 0.5]
            self.announce(DELTA, [number])
        if moment in (7, 23):
            self.endpoints[3][4] = self.now  # a later incarnation
            self.announce(FULL_LIST if moment == 7 else DELTA, [3] if moment == 23 else None)
        if moment in (9, 18):
            self.announce(FAILED, None)
        if moment == 14:
            self.alive.discard(1)
            self.at(0.0, 1, "halt")
        if moment == 16:
            self.alive.add(1)
            self.at(0.0, 1, "start")
        if moment == 20:
            self.totals.clear()
        if moment == 26:
            self.at(0.0, 0, f"message sender=1 data={'00' * 6}")
            self.at(0.0, 0, "message sender=99 data=0300010001000000000100000000")
            self.at(0.0, 0, "probe_done backend=2 reason=1 spent=0.01")
            self.at(0.0, 0, "reminder cookie=1")
        if self.direct and moment in (11, 22):
            self.resize(0.5 if moment == 11 else 1.5)
        return []

    def announce(self, kind: int, numbers: list[int] | None) -> None:
        for instance in sorted(self.alive):
            for line in self.membership(kind, numbers):
                self.at(0.001 * instance, instance, line)

    def on_subscribe(self, instance: int, fields: Fields) -> None:
        self.at(0.02, instance, f"list {FULL_LIST}")

    def on_fetch(self, instance: int, fields: Fields) -> None:
        self.at(0.02, instance, f"list {CACHED}")

    def resize(self, factor: float) -> None:
        """Other settings come into force: quotas change, and the last plan goes or comes back."""
        for instance, before in enumerate(self.instances):
            plans = [
                {**plan, "refill": plan["refill"] * factor, "most-at-once": plan["most-at-once"] * factor}
                for plan in before["tiers-of-service"]
            ]
            after = {**before, "tiers-of-service": plans[:-1], "balancers": before["balancers"] + (factor > 1.0)}
            self.instances[instance] = after
            if instance in self.alive:
                self.at(0.0, instance, f"settings_changed settings={json.dumps(after)}")

    # Timers, peers and the counter.

    def on_arm(self, instance: int, fields: Fields) -> None:
        self.at(float(fields["from-now"]), instance, f"reminder cookie={fields['cookie']}")

    def on_share(self, instance: int, fields: Fields) -> None:
        peer = int(fields["whom"])
        text = f"message sender={instance} data={fields['data']}"
        for target in range(len(self.instances)) if peer < 0 else [peer]:
            if target < len(self.instances) and self.rng.random() < 0.95:
                self.at(self.rng.uniform(0.005, 0.08), target, text)
            if target < len(self.instances) and self.rng.random() < 0.03:
                self.at(self.rng.uniform(0.3, 0.9), target, text)

    def on_add(self, instance: int, fields: Fields) -> None:
        name = int(fields["book"])
        chance = self.rng.random()
        is_unresponsive = 9.0 < self.now - START_SECONDS < 10.5
        if chance < 0.03:
            status = FULL
            latency = 0.004
        elif chance < 0.06:
            status = CONNECT_FAILED
            latency = 0.004
        elif chance < 0.12 or is_unresponsive:
            status = TIMEOUT
            latency = COUNTER_TIMEOUT
        else:
            status = OK
            latency = self.rng.choice((0.002, 0.005, 0.01, 0.06))
        if status == OK or (status == TIMEOUT and self.rng.random() < 0.5):
            self.totals[name] = self.totals.get(name, 0.0) + float(fields["qty"])
        total = "nan" if self.rng.random() < 0.01 else f"{self.totals.get(name, 0.0):.9g}"
        text = f"ledger_reply book={name} reason={status} reading={total} spent={latency:.6f}"
        self.at(latency, instance, text)
