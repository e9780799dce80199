"""Stand-ins for what a limiter talks to, written from the protocol's public words; plain on purpose.

Application servers, a counter, discovery and user agents, all in one reactor on loopback, so that what each saw
can be held against what the others saw. They misbehave only when told to.
"""

from thymeflow.testkit.fakes.backend import Arrival, Meter, Server
from thymeflow.testkit.fakes.counter import Counter
from thymeflow.testkit.fakes.discovery import Discovery
from thymeflow.testkit.fakes.environment import World
from thymeflow.testkit.fakes.load_generator import Agents, Customer, Result

__all__ = ["Agents", "Arrival", "Counter", "Customer", "Discovery", "Meter", "Result", "Server", "World"]
