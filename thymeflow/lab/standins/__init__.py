"""Stand-ins for what a limiter talks to, written from the protocol's public words; plain on purpose.

Application servers, a counter, discovery and user agents, all in one reactor on loopback, so that what each saw
can be held against what the others saw. They misbehave only when told to.
"""

from thymeflow.lab.standins.agents import Agents, Customer, Result
from thymeflow.lab.standins.counter import Counter
from thymeflow.lab.standins.discovery import Discovery
from thymeflow.lab.standins.server import Arrival, Meter, Server
from thymeflow.lab.standins.world import World

__all__ = ["Agents", "Arrival", "Counter", "Customer", "Discovery", "Meter", "Result", "Server", "World"]
