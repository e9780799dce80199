"""Fakes of what a limiter talks to: backends, a counter, discovery and clients, in one reactor on loopback.

They follow the protocol's pages, so that what each of them saw can be compared with what the others saw. They
misbehave only where a caller makes them.
"""

from thymeflow.testkit.fakes.backend import FakeBackend
from thymeflow.testkit.fakes.backend_records import ReceivedRequest
from thymeflow.testkit.fakes.counter import FakeCounter
from thymeflow.testkit.fakes.discovery import FakeDiscovery
from thymeflow.testkit.fakes.environment import Environment
from thymeflow.testkit.fakes.load_generator import LoadGenerator
from thymeflow.testkit.fakes.requests import Customer, RequestOutcome, RequestResult

__all__ = [
    "Customer",
    "Environment",
    "FakeBackend",
    "FakeCounter",
    "FakeDiscovery",
    "LoadGenerator",
    "ReceivedRequest",
    "RequestOutcome",
    "RequestResult",
]
