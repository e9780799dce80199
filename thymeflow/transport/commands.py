"""Parses the two commands that carry requests from clients, and encodes them for backends.

A client's command is validated here, before the dispatcher receives the request. An accepted command is forwarded with
nothing changed but the term `d`, the time in milliseconds that the sender waits for the response.
"""
# ruff: noqa: EM101, EM102  # the texts are sent to the client, and each stands next to its check

from __future__ import annotations

import re
from typing import NamedTuple

from thymeflow.decision.events import RequestReceived
from thymeflow.decision.settings import GatewaySettings, Idempotency, RequestClass
from thymeflow.transport import TransportError, resp
from thymeflow.transport.value_stream import ValueStream

QUERY = b"SVC.QUERY"
SUBMIT = b"SVC.SUBMIT"
MAX_CUSTOMER_NUMBER = 1 << 33  # every customer's number is lower
_HEX = re.compile(rb"[0-9a-fA-F]{16}")
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_INTEGER = re.compile(rb"[0-9]{1,9}")


class CallError(TransportError):
    """The command cannot be served; the text is sent to the client."""


class Call(NamedTuple):
    """A request's command, which can be encoded with a new value for the term `d`."""

    verb: bytes
    customer: bytes
    id: bytes
    terms_before_wait: bytes  # the terms up to the value of d
    terms_after_wait: bytes  # the terms behind the value of d
    body: bytes | None
    wait_ms: int = 0  # milliseconds that the sender waits after the last byte
    body_stream: ValueStream | None = None  # a streamed body, in place of `body`

    def encode(self, wait_ms: int) -> bytes:
        """Return the command for a backend, which is told that the limiter waits `wait_ms` for the reply."""
        terms = b"%b%d%b" % (self.terms_before_wait, wait_ms, self.terms_after_wait)
        if self.body_stream is not None:
            return resp.command_head(self.body_stream.length, self.verb, self.customer, self.id, terms)
        if self.body is None:
            return resp.command(self.verb, self.customer, self.id, terms)
        return resp.command(self.verb, self.customer, self.id, terms, self.body)


class CallReader:
    """Parses calls, and validates them against the configured request classes and plans."""

    def __init__(self, settings: GatewaySettings) -> None:
        self._classes = {request_class.name.encode(): request_class for request_class in settings.classes}
        self._plans = {plan.name.encode(): plan.name for plan in settings.plans}
        self._limiter_count = settings.limiter_count
        self._max_units = settings.information.max_units

    def read(self, arguments: list[bytes]) -> tuple[Call, RequestReceived]:
        """Return the call and the event for the gateway.

        :raises CallError: if the command cannot be served.
        """
        verb = arguments[0].upper()
        if len(arguments) != (4 if verb == QUERY else 5):
            raise CallError(f"wrong number of arguments for '{verb.decode()}'")
        customer, name, text = arguments[1:4]
        if not _HEX.fullmatch(customer) or not _HEX.fullmatch(name):
            raise CallError("customer and id are 16 hex digits each")
        terms = _parse_terms(text)
        request_class = self._classes.get(terms.get(b"c", b""))
        plan = self._plans.get(terms.get(b"t", b""))
        if request_class is None or plan is None:
            raise CallError("unknown class" if request_class is None else "unknown plan")
        _check_class(verb, request_class, terms)
        wait_ms = _parse_decimal(terms, b"d", b"")
        units = _parse_decimal(terms, b"units", b"1")
        spread = _parse_integer(terms, b"spread", b"1")
        first = _parse_integer(terms, b"first", b"0")
        # A request with more units than any request may cost would count as demand of an ordinary customer, which is
        # published to all limiters.
        if not 0 < units <= self._max_units or not 1 <= spread <= self._limiter_count or first >= self._limiter_count:
            raise CallError("units, spread or first out of range")
        if int(customer, 16) >= MAX_CUSTOMER_NUMBER:
            raise CallError("no such customer")
        customer_name = customer.decode().lower()
        is_retry = terms.get(b"r") == b"1"
        is_write = verb == SUBMIT
        remaining = wait_ms / 1000.0
        request = RequestReceived(
            name.decode(), request_class.name, plan, customer_name, remaining, units, spread, first, is_retry, is_write
        )
        start = 2 if text.startswith(b"d=") else text.index(b",d=") + 3
        terms_after_wait = text[start + len(terms[b"d"]) :]
        body = arguments[4] if is_write else None
        return Call(verb, customer, name, text[:start], terms_after_wait, body, max(1, int(wait_ms))), request


def _parse_terms(text: bytes) -> dict[bytes, bytes]:
    terms: dict[bytes, bytes] = {}
    for term in text.split(b","):
        key, mark, value = term.partition(b"=")
        if not mark or not key or key in terms:
            raise CallError("terms are name=value, each name once")
        terms[key] = value
    return terms


def _check_class(verb: bytes, request_class: RequestClass, terms: dict[bytes, bytes]) -> None:
    if (verb == QUERY) != (request_class.idempotency is Idempotency.IDEMPOTENT):
        raise CallError(f"class {request_class.name} is not served by {verb.decode()}")
    if request_class.idempotency is Idempotency.WITH_KEY and not terms.get(b"k"):
        raise CallError("a keyed class needs k")
    if b"d" not in terms:
        raise CallError("d is missing")


def _parse_decimal(terms: dict[bytes, bytes], key: bytes, default: bytes) -> float:
    text = terms.get(key, default)
    if not _DECIMAL.fullmatch(text):
        raise CallError(f"bad number for {key.decode()}")
    return float(text)


def _parse_integer(terms: dict[bytes, bytes], key: bytes, default: bytes) -> int:
    text = terms.get(key, default)
    if not _INTEGER.fullmatch(text):
        raise CallError(f"bad number for {key.decode()}")
    return int(text)
