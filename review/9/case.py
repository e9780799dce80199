"""SIGTERM comes; a client that has a request out sends another one on its connection, which stays open."""

from __future__ import annotations

import asyncio
import signal

from standins import TROUBLE, Client, Server, World, main, make_settings

WORK_SECONDS = 1.5  # the brief: some requests cost 6.5 to 30 times the usual work, which is 160 to 280 ms
FIRST_AT, SECOND_AT = 0.2, 1.0  # seconds after SIGTERM
WAIT_MS = 2000
CROSSING_SECONDS = 0.3  # a request sent this long before the end of its connection did not cross the close
WATCHED_SECONDS = 6.0


async def play(world: World) -> list[str]:
    """Send two requests on a connection that is open, and return those that are not answered."""

    async def handle(server: Server, items: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_SECONDS)
        await server.answer(items, writer, b"tables for " + items[2])

    servers = [Server(f"s-5be2a07{number}", world.record, handle) for number in range(9)]
    await world.start(*servers)
    limiter = world.add_limiter(settings=make_settings())
    await limiter.start()
    loop = asyncio.get_running_loop()
    client = Client(world, "client")
    await client.connect(limiter.port)
    if TROUBLE:
        limiter.send_signal(signal.SIGTERM)
    begun_at = loop.time()
    sent: list[tuple[str, float]] = []
    for moment in (FIRST_AT, SECOND_AT):
        await asyncio.sleep(begun_at + moment - loop.time())
        if client.has_ended():
            break  # the limiter has closed between requests
        request_id, data = world.make_request("table-check", "korporat", WAIT_MS)
        client.send(data, request_id)
        sent.append((request_id, loop.time()))
    breaks = []
    for request_id, sent_at in sent:
        answer = await client.receive(request_id, WATCHED_SECONDS)
        seconds = loop.time() - sent_at
        # A close over unread bytes resets the connection: after one that does not, the request has been read.
        if answer.kind in ("ended", "late") and seconds > CROSSING_SECONDS:
            breaks.append(
                f"lost: {request_id} was not answered; its connection ended {seconds:.2f} s after it was sent"
            )
    client.close()
    return breaks


main(play, __file__)
