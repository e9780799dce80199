"""The two commands that carry requests: read from a user agent, written to an application server.

All that a user agent may get wrong is found here, before the core hears of it; what passes can be
written on with nothing changed but `d`.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from thymeflow.decision.events import RequestReceived
from thymeflow.decision.settings import GatewaySettings, Idempotency
from thymeflow.transport import resp
from thymeflow.transport.flow import Flow

QUERY, SUBMIT = b"SVC.QUERY", b"SVC.SUBMIT"
MOST_CUSTOMERS = 1 << 33  # numbers of customers are under this
_HEX = re.compile(rb"[0-9a-fA-F]{16}")
_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_WHOLE = re.compile(rb"[0-9]{1,9}")


class CallError(Exception):
    """The command cannot be served; the text is for the user agent."""


class Call(NamedTuple):
    """A request's command, ready to be written with another `d`."""

    verb: bytes
    customer: bytes
    id: bytes
    before: bytes  # the list up to the value of d, and from there on
    after: bytes
    body: bytes | None
    wait: int = 0  # ms that its sender waits from the last byte on
    flow: Flow | None = None  # a long body, in place of one that is held

    def write(self, wait: int) -> bytes:
        """The command for an application server; `wait` is how long we will wait, in milliseconds."""
        terms = b"%b%d%b" % (self.before, wait, self.after)
        if self.flow is not None:
            return resp.command_head(self.flow.length, self.verb, self.customer, self.id, terms)
        if self.body is None:
            return resp.command(self.verb, self.customer, self.id, terms)
        return resp.command(self.verb, self.customer, self.id, terms, self.body)


class Reader:
    """Reads calls under the site's classes and plans."""

    def __init__(self, settings: GatewaySettings) -> None:
        self._classes = {c.name.encode(): c for c in settings.classes}
        self._plans = {p.name.encode(): p.name for p in settings.plans}
        self._gateways, self._most_units = settings.limiter_count, settings.information.max_units

    def read(self, words: list[bytes]) -> tuple[Call, RequestReceived]:
        """The call and what the module is told of it."""
        verb = words[0].upper()
        if len(words) != (4 if verb == QUERY else 5):
            raise CallError(f"wrong number of arguments for '{verb.decode()}'")
        customer, name, text = words[1:4]
        if not _HEX.fullmatch(customer) or not _HEX.fullmatch(name):
            raise CallError("customer and id are 16 hex digits each")
        terms: dict[bytes, bytes] = {}
        for term in text.split(b","):
            key, mark, value = term.partition(b"=")
            if not mark or not key or key in terms:
                raise CallError("terms are name=value, each name once")
            terms[key] = value
        cls, plan = self._classes.get(terms.get(b"c", b"")), self._plans.get(terms.get(b"t", b""))
        if cls is None or plan is None:
            raise CallError("unknown class" if cls is None else "unknown plan")
        if (verb == QUERY) != (cls.idempotency is Idempotency.IDEMPOTENT):
            raise CallError(f"class {cls.name} is not served by {verb.decode()}")
        if cls.idempotency is Idempotency.WITH_KEY and not terms.get(b"k"):
            raise CallError("a keyed class needs k")
        if b"d" not in terms:
            raise CallError("d is missing")
        wait, units = self._number(terms, b"d", b""), self._number(terms, b"units", b"1")
        spread = int(self._number(terms, b"spread", b"1", _WHOLE))
        first = int(self._number(terms, b"first", b"0", _WHOLE))
        # More units than any request counts would be demand of a usual customer's, told to all limiters.
        if not 0 < units <= self._most_units or not 1 <= spread <= self._gateways or first >= self._gateways:
            raise CallError("units, spread or first out of range")
        if int(customer, 16) >= MOST_CUSTOMERS:
            raise CallError("no such customer")
        request = RequestReceived(
            name.decode(),
            cls.name,
            plan,
            customer.decode().lower(),
            wait / 1000.0,
            units,
            spread,
            first,
            terms.get(b"r") == b"1",
            verb == SUBMIT,
        )
        start = 2 if text.startswith(b"d=") else text.index(b",d=") + 3
        call = Call(
            verb,
            customer,
            name,
            text[:start],
            text[start + len(terms[b"d"]) :],
            words[4] if verb == SUBMIT else None,
            max(1, int(wait)),
        )
        return call, request

    @staticmethod
    def _number(terms: dict[bytes, bytes], key: bytes, default: bytes, form: re.Pattern[bytes] = _NUMBER) -> float:
        text = terms.get(key, default)
        if not form.fullmatch(text):
            raise CallError(f"bad number for {key.decode()}")
        return float(text)
