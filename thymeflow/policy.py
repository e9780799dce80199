"""Every decision of a gateway, after HIP-185. Types, events and actions: thymeflow/interface.py."""

from __future__ import annotations

import random
from collections.abc import Callable
from math import exp, inf, isfinite
from typing import Any

from thymeflow import counts, lots, notes, pressure, warmth
from thymeflow import interface as api
from thymeflow.account import Account
from thymeflow.job import NEVER_RAN, Job

FLOOR = 0.8            # of the declared units: least charge beyond quota under pressure (HIP-185)
DEMAND_PERIOD = 1.5    # s: memory of demand; some requests of a busy customer, shorter than most spells
FEW = 4.0              # limiters: in a larger set each sees less, and remembers its own demand for longer
PRIOR = 0.1            # of the rate: demand the set is thought to have at least; new customers split evenly
HEARD_FOR = 2.0        # s: carriers silent for longer are not believed and slices go back to even
SPARE = 0.4            # of the burst beyond a usual request: level at which the fleet is kept when all ask
CAUTION = 2.0          # times the quota is thought used, at least, where only demand is told and no level
HOLD = (5.0, 40.0)     # s: memory of told demand: one for each limiter of a set, as it is met that much less
START_LEVEL = 0.5      # of the burst: level after a start, for what earlier lives or peers may have spent
CALLS = (0.5, 120.0, 200.0, 1.05)  # counter calls a second: least, most, what all start with; growth
FORGET = 20.0          # s: idle customers are dropped (their stores are full again before); over a window
WORTH_TELLING = (0.05, 0.3)   # of the burst untold, or of the rate asked: from either a call is worth it
TICK = 0.1             # s: pace of notes and upkeep; well under the demand period
SPEAK_EVERY = 0.5      # s: least time between counter calls for one customer, and between notes unasked
ACTIVE = (15.0, 4.0)   # s: who asked within the first is told each round, the whole set every second
TELL_SHARE = 0.7       # of the intake: most notes sent a second; all gateways together then fit into it
BUSY = (0.5, 0.6)      # demand over rate from which, level over burst up to which, word changes answers
FADE = 6.0             # s: memory of pressure; who refuses all hears no answers and must try again
SMOOTH = 0.1           # weight of a new sample in running means (about the last 20 answers)
CROSS_ZONE = 0.5       # requests: how much shorter a line must be to be worth leaving the zone
SELDOM = 2.0           # s: a backend used less often says little by its line; one failure ejects it
FAILURES = 2           # failures in a row that eject a backend
TRIAL = 0.5            # of the aim: how long a suspect backend is waited for
EJECT_SHARE = 0.7      # of the fleet: most that may be ejected; beyond it nobody is (all are slow)
RETRY = (0.1, 30.0)    # further attempts that may run twice: earned per first one; saved up by all gateways
MARGIN = 0.02          # s: further attempts stop this long before a window or the client's time ends
MEETINGS = 2           # gateways of a customer's set that gather what the set asks and charges


class Store:
    """One customer's token bucket at this gateway, and what is known of the customer elsewhere."""

    def __init__(self, plan: api.Plan, number: int, now: float, born: float, start: float) -> None:
        self.plan, self.number, self.at, self.seen = plan, number, now, now
        self.own = self.others = 0.0                        # demand, units a second
        self.asked = self.charged = 0.0                     # units since made
        self.lump, self.spare, self.excess = 0.0, 0.0, CAUTION   # usual request; SPARE; metered use
        self.memory, self.gathers, self.heard, self.called = DEMAND_PERIOD, False, -inf, -inf
        self.account = Account(now)                         # what the counter was told, and told
        self.ahead = 0.0                                    # others' charges, taken before they are told
        self.met = -inf                                     # last word of this customer in particular
        self.open, self.heard_from = 0, dict[int, tuple[int, float, float, float]]()
        # A restart forgets what was spent: start part full and fill as if since the start of this life.
        fill = min(1.0, start + (now - born) * plan.rate / max(plan.burst, 1e-9))
        self.fleet, self.members, self.count, self.moved = plan.burst * fill, list[int](), 1, False
        self.level, self.guard, self.spread = 0.0, 0.0, -inf   # spread: when the whole set was last told

    def join(self, first: int, spread: int, gateways: int, born: float) -> None:
        before, self.moved = self.count if self.members else 0, False
        self.count = min(max(1, spread), gateways)
        self.members = counts.meeting_points(self.number, first, self.count, gateways)
        # In a set of another size the slice shrinks with the others' and never grows: nothing is minted.
        less = min(1.0, before / self.count)
        self.level = min(self.level, self.level * less) if before else self.fleet / self.count
        # One of a large set is met seldom: what was told then is all that the next request can go by.
        self.memory = self.memory if self.gathers else min(HOLD[1], max(HOLD[0], self.count))
        # The ceiling's guard is safe alone: an even slice of rate and depth, empty at each start.
        guard = min(self.plan.ceiling_burst, self.plan.ceiling_rate * (self.at - born)) / self.count
        self.guard = min(self.guard, self.guard * less) if before else guard

    @property
    def period(self) -> float:   # s: memory of own demand
        return DEMAND_PERIOD * max(1.0, self.count / FEW)

    def part(self, own: float) -> float:   # of the quota by demand; the even slice while nothing is heard
        prior = PRIOR * self.plan.rate + 1e-9
        heard = self.at - self.heard <= HEARD_FOR
        # Own demand rises before others are heard of: each would take the whole store for its own.
        known = (own + prior / self.count) / (own + self.others + prior) if heard else 1.0 / self.count
        return known if self.at - self.met <= HEARD_FOR else 0.5 * (known + 1.0 / self.count)

    def refresh(self, now: float) -> None:   # fill for the time passed; a moving part mints nothing
        dt, plan, own, self.at = max(0.0, now - self.at), self.plan, self.own, now
        fade = exp(-dt / self.period)
        self.own, self.others = own * fade, self.others * exp(-dt / self.memory)
        # What others admit is not known yet where they exceed the quota: they share what is left as we do.
        self.spare = SPARE * max(self.lump, plan.burst - self.lump) + 1e-9
        if self.gathers:   # what others charge is told late: till then they get what they ask, while it lasts
            ahead = min(self.others * dt, max(0.0, self.fleet))
            self.ahead, self.fleet = self.ahead + ahead, self.fleet + plan.rate * dt - ahead
        elif self.small():
            self.fleet = max(min(self.fleet, 0.0), self.fleet + (plan.rate - self.others) * dt)
        elif self.others <= plan.rate:
            self.fleet += (plan.rate - self.others) * dt
        else:
            step = (self.lump + self.spare - self.fleet) * (1.0 - exp(-dt * self.others / self.spare))
            self.fleet += min(plan.rate * (0.5 + 0.5 * self.part(own)) * dt, step)
        self.fleet = min(plan.burst, self.fleet)
        mean = own * (1.0 - fade) * self.period / dt if dt > 0 else own   # own demand over the time passed
        self.level += plan.rate * self.part(mean) * dt
        if now - self.heard <= HEARD_FOR:
            self.level += (self.part(self.own) * self.fleet - self.level) * (1.0 - fade)
        self.level = min(self.level, plan.burst * self.part(self.own))
        self.guard = min(plan.ceiling_burst / self.count, self.guard + plan.ceiling_rate / self.count * dt)

    def small(self) -> bool:   # whether an even slice is under a usual request and so decides nothing
        return self.count > FEW and self.plan.burst < self.lump * self.count

    def fair(self, units: float, chance: float) -> bool:   # small slices: by lot, as the set's demand has it
        # What was asked here before is told at once, and the others are likely asked as much each.
        before = max(0.0, self.own - units / self.period)
        demand = max(before + self.others, before * self.count)
        heard, told = self.at - self.heard <= HEARD_FOR, self.at <= self.met   # told: to this moment
        spare = max(0.0, self.fleet - units) if heard else 0.0
        held = units <= self.fleet or (heard and not self.plan.over_cost)   # else more costs nothing
        lean = 1.0 if told else lots.lean(self.plan.over_cost)
        return held and lots.drawn(chance, demand, self.plan.rate, spare, lean)

    def room(self, units: float, chance: float) -> bool:   # whether store, guard and open attempts admit it
        plan, part = self.plan, self.part(self.own)
        open_most = max(1, int(plan.open_limit * part)) if plan.open_limit else inf
        if self.open >= open_most or (plan.ceiling_rate > 0 and units > self.guard):
            return False
        if plan.rate <= 0 or units <= self.level:
            return True
        if self.small():
            return self.fair(units, chance)
        if self.at - self.heard > HEARD_FOR:   # an even slice that is full admits one; the rest is debt
            return min(units, plan.burst * part * 0.999) <= self.level
        # Small slices: what the fleet holds is lent by lot, so that not all lend the same units at once.
        lot = chance * self.excess * self.others / plan.rate * self.spare
        owes = self.excess > 1.0 and self.level <= 0.0   # no word of the level: debt is all there is to go by
        return lot <= self.fleet - units and not owes

    def telling(self, now: float) -> bool:   # whether a counter call would tell what matters
        untold, demand = self.asked - self.account.told, self.own + self.others
        matters = untold >= WORTH_TELLING[0] * self.plan.burst or demand >= WORTH_TELLING[1] * self.plan.rate
        return now - self.called >= SPEAK_EVERY and matters

    def counted(self, name: int, mine: float, total: float, now: float) -> None:   # rose beyond ours
        asked, charged, gap = self.account.reading(name, total, mine, now, self.number)
        self.others = (asked + self.others * DEMAND_PERIOD) / (gap + DEMAND_PERIOD)
        self.spend(charged - self.ahead)
        self.gathers, self.excess, self.ahead = True, 1.0, 0.0

    def uncounted(self, name: int, mine: float) -> None:   # nothing was added: say it again later
        self.account.take_back(name, mine)

    def unsure(self, name: int, mine: float) -> None:   # most likely added: our own units, not others'
        self.account.lost(name, mine)

    def spend(self, units: float) -> None:   # by others, told late: of what is not there nothing was taken
        self.fleet = min(self.plan.burst, max(min(self.fleet, 0.0), self.fleet - units))

    def charge(self, units: float) -> None:   # declared ahead or settled; an overrun becomes debt
        self.level, self.charged = self.level - units, self.charged + units
        self.fleet = min(self.plan.burst, self.fleet - units)


class Server:
    """What this gateway has seen of one backend in its present life."""

    def __init__(self, entry: api.Backend, now: float, rest: Callable[[], float]) -> None:
        self.entry, self.rest = entry, rest   # s: between trials, by what the whole set may try
        self.out, self.pace, self.since, self.gap = 0, 1.0, now, 0.0   # last send and time between sends
        # By class, "" for all: failures in a row and the end of the ejection; the last answer of any kind.
        self.health, self.heard = dict[str, tuple[int, float]](), dict[str, float]()

    def failed(self, name: str, now: float) -> None:   # outlier ejection, longer with each failure in a row
        count = self.health.get(name, (0, 0.0))[0] + (FAILURES if self.gap > SELDOM else 1)
        length = pressure.ejection(count - FAILURES, self.gap)
        self.health[name] = (count, now + max(length, self.rest()) if count >= FAILURES else -inf)

    def silent(self, name: str, sent: float, now: float) -> None:   # no answer to what was sent then
        # One that answers others is not down, and one that answers this class is not unfit for it.
        for part in ("", name):
            if self.heard.get(part, -inf) < sent:
                self.failed(part, now)

    def suspect(self, name: str) -> int:   # failures in a row that concern this class
        return max(self.health.get(part, (0, 0.0))[0] for part in ("", name))

    def fit(self, name: str, now: float) -> bool:   # not ejected for this class
        return all(self.health[part][1] <= now for part in ("", name) if part in self.health)

    def score(self, zone: str) -> float:   # expected wait: own line times pace
        load = self.out + 1.0 + (CROSS_ZONE if self.entry.zone != zone else 0.0)
        return load * max(0.1, self.pace) / max(0.01, self.entry.weight)


Work = Job[Server, Store]


class Gateway:
    """One gateway: hand it every event in order and carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int, start: float = START_LEVEL) -> None:
        self.rng = random.Random(seed)
        self.share: Callable[[str], float] = lambda kind: 1.0 / self.settings.gateways   # of all
        self.judge: Callable[..., list[Server]] = lambda ready, fit, name, now: fit   # who is left
        self.order: Callable[[Work, float], float] = lambda job, own: own   # how much of this is shed
        self.wholes = dict[str, float]()   # what all may do of a kind, where that is bounded
        self.make: Callable[[api.Plan, int, float, float, float], Store] = Store   # a customer's store
        self.adopt(settings)
        self.start = start   # of the burst: 0 for one that joins a running set, where all is given out
        self.servers, self.stores = dict[int, Server](), dict[int, Store]()   # stores by customer number
        self.jobs, self.timers = dict[str, Work](), dict[int, tuple[str, str]]()
        self.peers: dict[int, tuple[int, int]] = {}        # life, last sequence
        self.fresh, self.later = dict[int, None](), dict[int, None]()   # to be told now, in the next round
        self.owed: dict[int, dict[int, None]] = {}         # peers to be told of a customer
        self.calls: dict[int, tuple[int, float]] = {}      # customer and units called for, by name
        self.heard, self.allowance, self.budget = -inf, 1.0, self.saved()   # last word; notes, tries left
        self.call_rate = self.call_room = max(CALLS[0], min(CALLS[1], CALLS[2] / settings.gateways))
        self.born, self.now, self.present, self.actions = -inf, 0.0, 0.0, list[api.Action]()
        self.token, self.out, self.answered = 0, 0, -inf   # last timer; attempts out; last answer taken in
        self.kept_back, self.growth = 0.0, CALLS[3]   # calls that are left to who must know first
        self.pressure, self.usual = 0.0, pressure.PRESSED / 2.0   # mean answer times over the aim: late, long
        self.life, self.sequence, self.noted = self.rng.randrange(1 << 16), 0, -inf
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self.on_request, api.AttemptEnded: self.on_ended, api.TimerFired: self.on_timer,
            api.Membership: self.on_membership, api.PeerMessage: self.on_note, api.ClientLeft: self.on_passed,
            api.CounterReply: self.on_counter, api.ResponseStarted: self.on_passed,
            api.BodyBegun: self.on_passed, api.Resettled: self.on_resettled}

    def handle(self, now: float, event: api.Event) -> list[api.Action]:   # decide on one event
        self.now, self.actions = now, []
        if self.born == -inf:
            self.born = now
            self.arm(TICK * self.rng.random(), "tick")   # gateways started together must not speak in step
            self.actions.extend([api.Subscribe()] * (self.settings.discovery is api.Discovery.ASK))
        self.handlers.get(type(event), lambda _: None)(event)
        return self.actions

    def arm(self, delay: float, kind: str, name: str = "") -> None:   # set a timer with its purpose
        self.token += 1
        self.timers[self.token] = (kind, name)
        self.actions.append(api.SetTimer(self.token, max(0.0, delay)))

    def on_membership(self, event: api.Membership) -> None:   # drains and losses count at once
        if event.kind is api.ListKind.FAILED:
            self.arm(1.0 + self.rng.random(), "subscribe")
        elif event.kind is not api.ListKind.DELTA:
            self.servers = {b.id: self.servers[b.id] for b in event.backends if b.id in self.servers}
        for entry in event.backends:
            server = self.servers.pop(entry.id, None)
            if server is None or entry.started > server.entry.started:
                server = Server(entry, self.now, lambda: 1.0 / max(1e-9, self.bounded("trials")))
            if entry.state is not api.BackendState.GONE:
                self.servers[entry.id], server.entry = server, entry
        self.present = warmth.present([s.entry for s in self.servers.values()], self.now, self.settings.rules)

    def adopt(self, settings: api.Settings) -> None:   # all that is derived from them
        self.settings, self.limits = settings, settings.limits
        self.classes, self.plans = {c.name: c for c in settings.classes}, {p.name: p for p in settings.plans}

    def bounded(self, kind: str) -> float:   # what may be done here of a kind
        return self.wholes[kind] * self.share(kind) if kind in self.wholes else inf

    def saved(self) -> float:   # further attempts saved up at most
        return 1.0 + RETRY[1] * self.share("attempts")

    def on_resettled(self, event: api.Resettled) -> None:   # what is open keeps the rules it was taken under
        moved = event.settings.gateways != self.settings.gateways
        self.adopt(event.settings)
        for store in self.stores.values():   # filled at the old rate until now; its level stays
            store.refresh(self.now)
            store.plan, store.moved = self.plans.get(store.plan.name, store.plan), store.moved or moved

    def choose(self, job: Work) -> Server | None:   # the lawful backend with the least wait
        ready = [s for s in self.servers.values() if s.entry.state is api.BackendState.READY]
        most = self.bounded("connections")   # a server holds one for each attempt that is out
        ready = ready if most == inf else [s for s in ready if s.out + 1 <= most]
        pool = [s for s in ready if s.fit(job.cls.name, self.now)]
        pool = self.judge(ready, pool, job.cls.name, self.now)
        pool = pool if len(pool) >= (1.0 - EJECT_SHARE) * len(ready) else ready   # common cause: eject nobody
        ran, scope, tried = job.ran(), job.cls.scope, {s.entry.id for s, _ in job.attempts}
        if ran and job.cls.effect is api.Effect.KEYED and scope is not api.Scope.ALL:
            group = "zone" if scope is api.Scope.ZONE else "cell"
            pool = [s for s in pool if getattr(s.entry, group) == getattr(ran[0][0].entry, group)]
        cold = warmth.loads([s.entry for s in pool], self.now, self.settings.rules)
        # Slow start, drawn anew each time: budgets that hundreds of gateways save up are spent in step.
        load = 0.0 if job.attempts else sum(cold.values())
        if load and self.rng.random() * (max(1.0, len(ready) - len(cold)) + load) < load:
            return self.servers[self.rng.choices(list(cold), list(cold.values()))[0]]
        pool = [s for s in pool if s.entry.id not in tried and s.entry.id not in cold]
        # Few out: own lines tell little and all who rank alike herd, so rank only a few drawn by weight.
        if 2 + self.out < len(pool):
            pool = self.rng.choices(pool, [max(0.01, s.entry.weight) for s in pool], k=2 + self.out)
        return min(pool, key=lambda s: (s.score(self.settings.zone), self.rng.random()), default=None)

    def on_request(self, event: api.Request) -> None:   # charge and send at once, or refuse at once
        plan, sane = self.plans.get(event.plan), isfinite(event.units) and event.units > 0
        if plan is None or not sane or event.remaining <= MARGIN:
            self.actions.append(api.Refuse(event.id, reason="absurd"))
            return
        unknown = api.RequestClass(event.class_name, event.remaining, event.remaining)   # as unsafe
        store = self.store(plan, event)
        cls = self.classes.get(event.class_name, unknown)
        # An answer after the aim is worth nothing here: what it would hold is better given to another.
        most = cls.aim if cls.late_worth <= 0.0 and not cls.aim_stretch and not cls.stream else inf
        job = Work(event, cls, store, self.now + min(event.remaining, most), self.limits.max_attempts)
        if not event.retry:   # a client's repeat is the same demand again, not more of it
            store.own, store.asked = store.own + event.units / store.period, store.asked + event.units
        if not self.asks(job, chance := self.rng.random()):
            self.admit(job, store.room(event.units, chance))

    def asks(self, job: Work, chance: float) -> bool:   # whether `admit` comes after the counter's word
        return False

    def admit(self, job: Work, fits: bool) -> None:   # charge and send at once, or refuse at once
        event, store = job.request, job.store
        why = self.crowded(job, store) if fits else "quota"
        server = None if why else self.choose(job)
        (self.later if server is None else self.fresh)[store.number] = None
        if server is None:
            self.actions.append(api.Refuse(event.id, self.advice(store, event.units), why or "no server"))
            return
        store.asked += event.units if event.retry else 0.0
        store.charge(event.units)
        store.guard -= event.units    # the ceiling goes by the guess and is not settled
        self.budget = min(self.saved(), self.budget + RETRY[0])
        self.jobs[event.id] = job
        self.arm(job.end - self.now - 2.0 * self.settings.tick, "deadline", event.id)
        self.send(job, server)

    def advice(self, store: Store, units: float) -> float:   # how long until the store has the units
        wait = max(TICK, (units - store.level) / max(1e-9, store.plan.rate * store.part(store.own)))
        return min(wait, self.limits.max_retry_after) if self.limits.retry_after else 0.0

    def crowded(self, job: Work, store: Store) -> str:   # why not; full stores may use all, emptier less
        full = max(job.request.units, store.plan.burst * store.part(store.own))
        lack = 1.0 - min(1.0, max(0.0, store.level / full)) if store.plan.rate else 0.0
        if self.out >= pressure.places(self.present * self.share("places"), lack, self.pressure):
            return "places"
        return "pressure" if self.rng.random() < self.order(job, pressure.shed(lack, self.pressure)) else ""

    def send(self, job: Work, server: Server, within: float = inf) -> None:   # start an attempt
        job.attempts.append((server, self.now))
        server.out, server.gap, server.since = server.out + 1, self.now - server.since, self.now
        self.out, job.store.open = self.out + 1, job.store.open + 1
        failures, wait = server.suspect(job.cls.name), 0.0
        if failures:   # one trial at a time, cut short while there is time for another backend
            wait = TRIAL * min(job.cls.aim, job.end - self.now)
            server.health.update({part: (n, self.now + wait) for part, (n, _) in server.health.items()
                                  if part in ("", job.cls.name) and n >= FAILURES})
        self.actions.append(api.Send(job.request.id, server.entry.id, wait, within))

    def further(self, job: Work) -> bool:   # one more, if rules, time and budget allow it
        ran, effect = job.ran(), job.cls.effect
        end = min(job.end, ran[0][1] + job.cls.window) if ran and effect is api.Effect.KEYED else job.end
        barred = ran and (effect is api.Effect.UNSAFE or self.budget < 1.0)
        barred = barred or job.streaming or len(job.attempts) >= job.most
        server = None if barred or self.now > end - MARGIN else self.choose(job)
        if server is not None:
            self.budget -= float(bool(ran))
            self.send(job, server, end - MARGIN - self.now)   # a repeat counts when it arrives
        return server is not None

    def on_ended(self, event: api.AttemptEnded) -> None:   # learn, settle, see to the request
        job = self.jobs.get(event.id)
        if job is None or event.attempt not in job.out():
            return
        server, job.ended[event.attempt] = job.attempts[event.attempt][0], event.status
        held = int(not job.begun)   # else its place was given back as its answer began
        server.out, self.out, job.store.open = server.out - held, self.out - held, job.store.open - 1
        self.learn(job, server, event, job.attempts[event.attempt][1])
        if event.closed or job.done:
            self.finish(job, answer=False)
        elif not job.out() and not self.further(job):
            self.finish(job, answer=True)

    def learn(self, job: Work, server: Server, event: api.AttemptEnded, sent: float) -> None:
        store, status, slow = job.store, event.status, event.latency / max(job.cls.aim, 1e-3)
        if status in (api.Status.OK, api.Status.ERROR, api.Status.FULL):
            server.heard.update({"": self.now, job.cls.name: self.now})
        if status is api.Status.OK:
            if event.closed and event.units:   # the first good answer settles
                store.refresh(self.now)
                beyond = store.own + store.others > store.plan.rate and self.pressure > pressure.PRESSED
                least = FLOOR * job.request.units if beyond else 0.0
                store.charge(max(event.units, least) - job.request.units)
                self.later.update({store.number: None} if self.limits.peers else {})
            server.health.pop("", None)
            server.health.pop(job.cls.name, None)
            weight, ratio = SMOOTH * (1.0 + min(3.0, server.gap / SELDOM)), slow / max(1e-3, self.usual)
            server.pace += weight * (min(10.0, ratio) - server.pace)
            self.usual += 0.5 * SMOOTH * (slow - self.usual)
        elif status is api.Status.ERROR:   # quick to fail, it would look the least busy of all
            server.failed(job.cls.name, self.now)
        elif status is api.Status.CONNECT_FAILED:
            server.failed("", self.now)
        elif status in (api.Status.TIMEOUT, api.Status.RESET):
            server.silent(job.cls.name, sent, self.now)
        if status in (api.Status.OK, api.Status.FULL, api.Status.TIMEOUT):
            self.strained(slow if status is api.Status.OK else max(slow, 1.0))
        if event.used is not None:   # what was used was asked
            self.heard = store.met = self.now
            store.excess = max(CAUTION, event.used)
            if store.account.name < 0 or self.now - store.account.read > HEARD_FOR:   # the counter is newer
                store.others = max(store.others, event.used * store.plan.rate - store.own)

    def strained(self, slow: float) -> None:   # an answer time over the aim; rare ones tell more
        weight = max(SMOOTH, min(0.25, 0.5 * (self.now - self.answered)))
        self.pressure, self.answered = self.pressure + weight * (min(1.0, slow) - self.pressure), self.now

    def finish(self, job: Work, answer: bool) -> None:   # one answer; the rest is called off
        if answer:
            harmless = not job.ran() or job.cls.effect is api.Effect.SAFE
            # Its units are charged and back ends failed it, not its quota: it may come back soon.
            again = api.Refuse(job.request.id, TICK if self.limits.retry_after else 0.0, "passes")
            self.actions.append(again if harmless else api.Fail(job.request.id))
        if not job.done and self.limits.cancel and not job.streaming:
            self.actions.extend(api.Cancel(job.request.id, n) for n in job.out())
        job.done = True
        if not job.out():
            self.jobs.pop(job.request.id, None)

    def on_passed(self, event: api.ResponseStarted | api.BodyBegun | api.ClientLeft) -> None:
        if job := self.jobs.get(event.id):
            job.streaming = not isinstance(event, api.ClientLeft)
        if job and isinstance(event, api.ResponseStarted):   # its server is done: a slow reader crowds nobody
            server, job.begun = job.attempts[event.attempt][0], True
            server.out, self.out = server.out - 1, self.out - 1
        if job and not job.streaming:
            self.finish(job, answer=False)

    def on_timer(self, event: api.TimerFired) -> None:   # deadlines, lists and upkeep
        kind, name = self.timers.pop(event.token, ("", ""))
        job = self.jobs.get(name)
        if kind == "tick":
            self.upkeep()
        elif kind == "subscribe":
            self.actions.append(api.Subscribe())
        elif kind == "deadline" and job and not job.done and not job.streaming:
            for number in job.out():   # silent to the end: the same evidence as a time-out
                job.attempts[number][0].silent(job.cls.name, job.attempts[number][1], self.now)
                self.strained(1.0)
            self.finish(job, answer=True)

    def store(self, plan: api.Plan, event: api.Request) -> Store:   # brought up to now
        store = self.known(counts.number(event.customer), plan)
        store.heard = self.heard   # carriers that are heard speak of those who matter
        store.refresh(self.now)
        if not store.members or store.moved:
            store.join(event.first, event.spread, self.settings.gateways, self.born)
        store.lump += SMOOTH * (event.units - store.lump) if store.lump else event.units
        return store

    def known(self, number: int, plan: api.Plan) -> Store:   # by its number
        store = self.stores.get(number) or self.make(plan, number, self.now, self.born, self.start)
        self.stores[number], store.seen = store, self.now
        return store

    def upkeep(self) -> None:   # drop idle customers, speak of those asked for
        self.arm(TICK, "tick")
        intake, beat = self.settings.information.peer_intake, self.now - self.noted >= SPEAK_EVERY
        self.pressure *= exp(-TICK / FADE)
        self.present = warmth.present([s.entry for s in self.servers.values()], self.now, self.settings.rules)
        if beat:
            self.noted = self.now
            self.stores = {n: s for n, s in self.stores.items() if self.now - s.seen <= FORGET or s.open}
            # Most customers come once: what is kept of them must have an end, or memory and CPU grow all day.
            self.fresh, self.later = {n: None for n in self.fresh | self.later if n in self.stores}, {}
        if self.limits.peers:
            self.allowance = min(intake, self.allowance + TELL_SHARE * intake * TICK)
            self.speak(beat)
        elif self.settings.information.counter:
            # A crowded counter serves nobody: calls are paced by its answers, the most telling ones first.
            # One may always be saved up: a room that never holds a whole call would end them for good.
            rate = min(self.call_rate, self.bounded("calls"))
            self.call_room = min(max(1.0, rate), self.call_room + rate * TICK)
            due = [s for s in map(self.stores.get, self.fresh) if s and s.telling(self.now)]
            due.sort(key=lambda s: (s.account.told - s.asked) / max(s.plan.rate, 1e-9))
            for store in due[:max(0, int(self.call_room - self.kept_back))]:
                name = counts.name(store.number, self.now, store.plan.rate, store.plan.burst)
                amount = store.account.tell(name, store.asked, store.charged)
                self.actions.append(api.Count(name, amount, 2.0 * counts.WINDOW))
                self.calls[name], store.called = (store.number, amount), self.now
                self.call_room -= 1.0
                del self.fresh[store.number]

    def speak(self, beat: bool) -> None:   # of what was asked here, and gathered
        said: dict[int, list[notes.Entry]] = {}

        def say(peer: int, store: Store, told: bool, first: float, second: float) -> None:
            if store.plan in self.settings.plans:   # else it was dropped: peers have no name for it
                kind = self.settings.plans.index(store.plan)
                said.setdefault(peer, []).append(notes.Entry(store.number, kind, told, first, second))

        for store in [self.stores[n] for n in self.fresh if n in self.stores]:
            for peer in store.members[:MEETINGS]:
                say(peer, store, False, store.asked, store.charged)
        spare = self.allowance > 0.0   # what was gathered waits for the budget, reports do not
        for store in [s for s in self.stores.values() if s.heard_from] if beat and spare else ():
            peers = [p for p, heard in store.heard_from.items() if self.now - heard[3] < ACTIVE[0]]
            first = store.members[:1] == [self.settings.index] and self.now - store.spread >= ACTIVE[1]
            if first and store.own + store.others > store.plan.rate:   # also those who have not met it yet
                store.spread, peers = self.now, store.members
            self.owed.setdefault(store.number, {}).update(dict.fromkeys(peers))
        for store in [self.stores[n] for n in self.owed if n in self.stores and spare]:
            store.refresh(self.now)
            demand = store.own + store.others
            busy = demand > BUSY[0] * store.plan.rate or store.fleet < BUSY[1] * store.plan.burst
            for peer in self.owed[store.number] if busy else ():
                say(peer, store, True, store.fleet, demand)
        self.fresh, self.owed = {}, {}
        for _ in range(MEETINGS if beat else 0):   # silence means that nobody is busy only while some speak
            said.setdefault(self.rng.randrange(self.settings.gateways), [])
        said.pop(self.settings.index, None)
        for peer, entries in said.items():
            for part in notes.chunks(entries):
                self.sequence, self.allowance = (self.sequence + 1) & 0xFFFF, self.allowance - 1.0
                note = notes.Note(self.life, self.sequence, self.pressure, part)
                self.actions.append(api.Tell(peer, notes.pack(note)))

    def on_note(self, event: api.PeerMessage) -> None:   # what is foreign, old or absurd changes nothing
        sender, note = event.sender, notes.unpack(event.data)
        known, last = self.peers.get(sender, (-1, 0))
        if note is None or not 0 <= sender < self.settings.gateways or (
                known == note.life and not 0 < (note.sequence - last) & 0xFFFF < 0x8000):
            return
        self.peers[sender], self.heard = (note.life, note.sequence), self.now
        self.pressure += SMOOTH * (note.pressure - self.pressure)
        for entry in [e for e in note.entries if e.plan < len(self.settings.plans)]:
            store = self.known(entry.number, self.settings.plans[entry.plan])
            store.refresh(self.now)
            store.met = self.now
            if not entry.told:
                self.gather(store, sender, note.life, entry)
            elif not store.gathers and (not store.members or sender in store.members[:MEETINGS]):
                store.fleet, store.memory, store.excess = min(store.plan.burst, entry.first), HOLD[0], 1.0
                store.others = max(0.0, entry.second - store.own)

    def gather(self, store: Store, sender: int, life: int, entry: notes.Entry) -> None:
        most, before = self.settings.information.max_units, store.heard_from.get(sender, (-1, 0.0, 0.0, 0.0))
        new = before[0] != life
        units = notes.rise(entry.first, 0.0 if new else before[1])
        spent = notes.change(entry.second, 0.0 if new else before[2])
        store.heard_from[sender] = (life, entry.first, entry.second, self.now)
        self.owed.setdefault(store.number, {})[sender] = None
        if units <= (2.0 * most if new else 10.0 * max(store.plan.burst, most)):
            store.gathers, store.memory, store.excess = True, DEMAND_PERIOD, 1.0
            store.others += units / DEMAND_PERIOD
            store.spend(spent)   # beyond its quota a customer makes no debt elsewhere

    def on_counter(self, event: api.CounterReply) -> None:   # carriers are heard, the store is told
        number, mine = self.calls.pop(event.name, (-1, 0.0))
        store, good = self.stores.get(number), event.status is api.Status.OK
        soon = good and event.latency <= self.settings.information.counter_timeout   # else it is crowded
        self.call_rate = min(CALLS[1], max(CALLS[0], self.call_rate * (self.growth if soon else 0.8)))
        if store and event.status in NEVER_RAN:
            store.uncounted(event.name, mine)
            self.later[number] = None
        elif store and good and isfinite(event.total):
            store.refresh(self.now)
            self.heard = store.met = self.now
            store.counted(event.name, mine, event.total, self.now)
        elif store:
            store.unsure(event.name, mine)
