"""Bad clients send much at once and go; the requests of the other clients have to be answered all the same."""

from __future__ import annotations

import asyncio
import random
import time

from standins import TROUBLE, Client, Server, World, main, make_settings

SECONDS = 75.0
GOOD_CLIENTS = 3
REQUESTS_AT_ONCE = 40  # of a good client; STANDING: "clients send many commands at once"
BAD_CLIENTS = 4
WAIT_MS = 2000
# An answer is lost half a second past its time, to which every time limit adds 50 ms. The time in which an answer waits
# for those before it does not count, so each answer has all of this from the one before it.
LOST_SECONDS = WAIT_MS / 1000.0 + 0.5 + 0.05
WATCHED_SECONDS = 3.0 * LOST_SECONDS


async def play(world: World) -> list[str]:
    """Send rounds of requests, and return those that are not answered."""
    rng = random.Random(7)
    breaks: list[str] = []

    async def handle(server: Server, items: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.01)
        await server.answer(items, writer, b"tables for " + items[2])

    async def send_and_go(name: str) -> None:
        client = Client(world, name)
        await client.connect(limiter.port)
        # Commands that nobody can serve: the units are out of range.
        count = rng.choice((60, 100, 200))
        commands = (world.make_request("table-check", "korporat", WAIT_MS)[1] for _ in range(count))
        world.record.write(name, f"sends {count} commands that are not valid, and goes")
        client.writer.write(b"".join(data.replace(b"units=1", b"units=0") for data in commands))
        client.close()

    async def call(client: Client) -> None:
        requests = [world.make_request("table-check", "korporat", WAIT_MS) for _ in range(REQUESTS_AT_ONCE)]
        for request_id, data in requests:
            client.send(data, request_id)
        for request_id, _ in requests:
            asked_at = time.monotonic()
            answer = await client.receive(request_id, WATCHED_SECONDS)
            seconds = time.monotonic() - asked_at
            if answer.is_missing or seconds > LOST_SECONDS:
                breaks.append(
                    f"lost: {request_id} of {client.name}: {answer} {seconds:.1f} s after the answer before it"
                )
                return

    servers = [Server(f"s-5be2a07{number}", world.record, handle) for number in range(9)]
    await world.start(*servers)
    limiter = world.add_limiter(settings=make_settings())
    await limiter.start()
    clients = [Client(world, f"client {number}") for number in range(GOOD_CLIENTS)]
    for client in clients:
        await client.connect(limiter.port)
    ends_at = time.monotonic() + SECONDS
    while time.monotonic() < ends_at and not breaks:
        bad = [send_and_go(f"bad client {number}") for number in range(BAD_CLIENTS)] if TROUBLE else []
        await asyncio.gather(*bad, *(call(client) for client in clients))
        await asyncio.sleep(0.1)
    for client in clients:
        client.close()
    return breaks


main(play, __file__)
