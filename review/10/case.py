"""A server resets its connection in the middle of a long answer; the request behind it has to get its own answer."""

from __future__ import annotations

import asyncio

from standins import TROUBLE, Client, Server, World, main, make_settings

VALUE_BYTES = 200_000
PAUSE_SECONDS = 0.8  # between the halves of the long answer; DAYS: the rest may be held back for up to 2 s
WAIT_MS = 2000
WATCHED_SECONDS = 6.0


async def play(world: World) -> list[str]:
    """Send two requests behind one another, and return the second if it is not answered."""

    async def handle(server: Server, items: list[bytes], writer: asyncio.StreamWriter) -> None:
        if items[2].decode() != long_id:
            await asyncio.sleep(0.05)
            await server.answer(items, writer, b"tables for " + items[2])
            return
        half = b"v" * (VALUE_BYTES // 2)
        server.record.write(server.name, f"writes half of the answer to {long_id}")
        await server.write(writer, b"*3\r\n$%d\r\n%b" % (VALUE_BYTES, half))
        await asyncio.sleep(PAUSE_SECONDS)
        if TROUBLE:
            server.record.write(server.name, f"resets the connection of {long_id}")
            writer.transport.abort()
        else:
            await server.write(writer, half + b"\r\n$-1\r\n$-1\r\n")

    servers = [Server(f"s-5be2a07{number}", world.record, handle) for number in range(9)]
    await world.start(*servers)
    limiter = world.add_limiter(settings=make_settings())
    await limiter.start()
    client = Client(world, "client")
    await client.connect(limiter.port)
    long_id, long_data = world.make_request("table-check", "korporat", WAIT_MS)
    other_id, other_data = world.make_request("table-check", "korporat", WAIT_MS)
    client.send(long_data, long_id)
    client.send(other_data, other_id)
    await client.receive(long_id, WATCHED_SECONDS)
    answer = await client.receive(other_id, WATCHED_SECONDS)
    client.close()
    if answer.is_missing:
        return [f"lost: {other_id} was not answered, because the answer before it broke off"]
    return []


main(play, __file__)
