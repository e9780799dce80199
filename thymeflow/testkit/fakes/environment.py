"""All stand-ins round some limiters, and what is told of them from outside."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from thymeflow.runtime import clock
from thymeflow.testkit.fakes import site
from thymeflow.testkit.fakes.backend import Arrival, Keys, Meter, Server
from thymeflow.testkit.fakes.counter import Counter
from thymeflow.testkit.fakes.discovery import Discovery
from thymeflow.testkit.fakes.load_generator import Agents, Customer, Result

SLACK = 0.05  # s: on every limit of time (PROTOCOL, rules on sockets)


class TrueStore:
    """A customer's quota as one store over all limiters would hold it."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, now

    def now(self, now: float) -> float:
        """Its level."""
        self.level = min(self.burst, self.level + self.rate * max(0.0, now - self.at))
        self.at = max(self.at, now)
        return self.level

    def take(self, units: float, now: float) -> None:
        """Units were sent on; it does not go below empty, so that each refusal is judged by what there is."""
        self.level = max(0.0, self.now(now) - units)


class World:
    """Servers, counter, discovery and user agents in one reactor."""

    def __init__(
        self,
        reactor: Any,
        seed: int,
        servers: int = 6,
        plans: dict[str, tuple[float, float]] | None = None,
        capacity: float = 540.0,
    ) -> None:
        self.reactor, self.rng = reactor, random.Random(seed)
        self.plans = plans or site.PLANS
        self.deadlines = clock.Deadlines(reactor)
        self.meter = Meter({name: rate for name, (rate, _) in self.plans.items()})
        self.keys = Keys(site.WINDOW)
        self.servers = [
            Server(reactor, self.deadlines, n, self.meter, self.keys, random.Random(seed * 1000 + n))
            for n in range(servers)
        ]
        self.counter = Counter(reactor, self.deadlines, capacity)
        self.discovery = Discovery(reactor, self.deadlines)
        self.addresses: dict[int, tuple[str, int]] = {}
        self.agents = Agents(reactor, self.deadlines, random.Random(seed + 1), lambda n: self.addresses[n])
        self.agents.on_end = self._ended
        self.stores: dict[int, TrueStore] = {}
        self.refusals: list[tuple[float, Result, bool]] = []  # when, what was not served, and whether with room
        self.asked: list[tuple[float, Result]] = []

    def start(self) -> None:
        """Open all of them."""
        for server in self.servers:
            server.start()
        self.counter.start()
        self.discovery.start()
        self.discovery.put(*(s.endpoint() for s in self.servers))

    def config(self, gateways: int, memory_mb: int = 192, sockets: int = 1024) -> dict[str, Any]:
        """The platform's JSON for limiters of this world."""
        return {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "{}:{}".format(*self.discovery.address),
            "counter": "{}:{}".format(*self.counter.address),
            "seed": f"{self.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": self.discovery.whole(),
            "settings": site.settings(gateways, self.plans),
        }

    def store(self, customer: Customer) -> TrueStore:
        """The customer's quota."""
        store = self.stores.get(customer.number)
        if store is None:
            rate, burst = self.plans[customer.plan]
            store = self.stores[customer.number] = TrueStore(rate, burst, clock.now())
        return store

    def _ended(self, result: Result) -> None:
        store, now = self.store(result.customer), clock.now()
        self.asked.append((now, result))
        if result.verdict == "served":
            store.take(result.customer.units, result.begun)
        else:
            room = store.now(now) >= result.customer.units
            self.refusals.append((now, result, room))

    def arrivals(self) -> list[Arrival]:
        """All calls that reached a server whole, in the order of their times."""
        return sorted((a for s in self.servers for a in s.arrivals), key=lambda a: a.at)

    def unlawful(self, excused: Callable[[str], bool] = lambda request: False) -> list[str]:
        """Where a request came to servers as the rules forbid, in words; a keyed one may be repeated in its window.

        `excused`: requests on whose way something kept bytes back, so that servers saw them later than they were sent.
        """
        faults = [
            f"{request}: {count} effects"
            for request, count in self.keys.effects.items()
            if count > 1 and not excused(request)
        ]
        first: dict[str, Arrival] = {}
        before: dict[str, Arrival] = {}
        for arrival in self.arrivals():
            request, last = arrival.request, before.get(arrival.request)
            if excused(request):
                continue
            if last is not None and last.over > arrival.at + SLACK:
                faults.append(f"{request}: out at s{last.server} and s{arrival.server} at once")
            if arrival.keyed and arrival.since - first.setdefault(request, arrival).at > site.WINDOW + SLACK:
                faults.append(f"{request}: repeated {arrival.at - first[request].at:.2f} s after it was first sent")
            before[request] = arrival
        return faults

    def answered_twice(self) -> list[Result]:
        """Requests with more than one answer, or with another's."""
        return [r for r in self.agents.results if r.answers > 1 or r.wrong]

    def unanswered(self) -> list[Result]:
        """Requests that were taken and got no answer, those aside that a killed limiter held."""
        return [r for r in self.agents.results if r.verdict == "unanswered" and not r.killed]

    def room_share(self, limiters: set[int], since: float, until: float, without: str = "") -> float:
        """Of what was asked of some limiters in a span, the share not served though its customer had room."""

        def counts(at: float, result: Result) -> bool:
            return result.limiter in limiters and since <= at < until and result.customer.plan != without

        asked = sum(counts(at, result) for at, result in self.asked)
        refused = sum(room and counts(at, result) for at, result, room in self.refusals)
        return refused / asked if asked else 0.0

    def units_sent(self, customer: Customer, since: float = 0.0) -> float:
        """Units of a customer that reached servers, each request once."""
        seen = {a.request: a.units for a in self.arrivals() if a.customer == customer.name and a.at >= since}
        return sum(seen.values())
