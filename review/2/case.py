"""Case 2: a server dies while it writes a long answer, and the requests behind that answer are never answered."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    CaseError,
    Limiter,
    Platform,
    Record,
    Server,
    build_request,
    read_reply,
    run_case,
    served,
)

SERVERS = 5  # one of them dies, which is a fifth
CLIENTS = 5
BATCH = ("booking-view", "booking-make", "booking-make", "booking-make")  # what a client sends at once
LONG_CLASS = "booking-view"
SECONDS = 8.0
DEATH_AT = 3.0  # seconds after the start, or the next moment at which the server is in the middle of a long answer
TOLD_AFTER = 3.0  # seconds from the death until the list says so
LONG_BYTES = 400 * 1024
LONG_PIECES = 8
LONG_SECONDS = (0.3, 0.6)  # for writing a long answer
WORK_SECONDS = (0.16, 0.28)
WAIT_MS = 7500


class Play:
    """Servers of which some answers are long, and clients that send a few commands at once."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.chance = random.Random(4614)
        self.in_middle = dict.fromkeys((f"s{number}" for number in range(SERVERS)), 0)  # long answers by server
        self.ran: dict[str, str] = {}  # the server that ran a request, by its id
        self.lost: list[str] = []
        self.counts = {"served": 0, "refused": 0, "failed": 0, "late": 0, "cut": 0}
        self.ends_at = time.monotonic() + SECONDS

    async def answer(
        self, server: Server, command: list[bytes], writer: asyncio.StreamWriter, previous: asyncio.Task[None] | None
    ) -> None:
        """Work on a request, and answer it; the answers of one class are long and written in pieces."""
        request_id = command[2].decode()
        self.ran[request_id] = server.name
        work = self.chance.uniform(*WORK_SECONDS)
        await asyncio.sleep(work)
        if previous is not None and not previous.done():
            await asyncio.wait([previous])
        if f"c={LONG_CLASS}".encode() in command[3]:
            reply = served(command[2] * (LONG_BYTES // len(command[2])), milliseconds=1000.0 * work)
            await self._write_in_pieces(server.name, writer, reply)
        else:
            writer.write(served(f"{server.name}:{request_id}".encode(), milliseconds=1000.0 * work))

    async def _write_in_pieces(self, name: str, writer: asyncio.StreamWriter, reply: bytes) -> None:
        size = -(-len(reply) // LONG_PIECES)
        pause = self.chance.uniform(*LONG_SECONDS) / LONG_PIECES
        for number, start in enumerate(range(0, len(reply), size)):
            writer.write(reply[start : start + size])
            await writer.drain()
            is_in_middle = 0 < number < LONG_PIECES - 2
            self.in_middle[name] += is_in_middle
            try:
                await asyncio.sleep(pause)
            finally:
                self.in_middle[name] -= is_in_middle

    async def run_client(self, number: int, port: int) -> None:
        """Send batches of commands until the end of the case."""
        while time.monotonic() < self.ends_at:
            await self._send_batch(number, port)
            await asyncio.sleep(self.chance.uniform(0.05, 0.2))

    async def _send_batch(self, number: int, port: int) -> None:
        requests = [
            build_request(
                name, WAIT_MS, customer=4 * number + place, body=None if name == LONG_CLASS else b"table for two"
            )
            for place, name in enumerate(BATCH)
        ]
        ids = [request_id for request_id, _ in requests]
        reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
        self.record.write(f"sent  {' '.join(ids)} at once")
        writer.write(b"".join(command for _, command in requests))
        answered = 0
        try:
            for request_id in ids:
                kind, _ = await asyncio.wait_for(read_reply(reader), WAIT_MS / 1000.0 + 1.0)
                answered += 1
                self.counts[kind] += 1
                self.record.write(f"answer {request_id} {kind}")
        except TimeoutError:
            self.counts["late"] += 1
            self.record.write(f"answer {ids[answered]} did not come in time, and the connection is open")
        except (asyncio.IncompleteReadError, ConnectionError) as end:
            self._on_connection_ended(ids[answered:], end)
        finally:
            writer.close()

    def _on_connection_ended(self, unanswered: list[str], end: Exception) -> None:
        # The first of them may be a value that was begun and could not be finished, which the pages excuse.
        cut, *behind = unanswered
        self.counts["cut"] += 1
        self.record.write(f"answer {cut} is not whole, and the connection ended: {end!r:.90}")
        for request_id in behind:
            self.lost.append(request_id)
            self.record.write(f"LOST  {request_id} was never answered; run by {self.ran.get(request_id, 'no server')}")

    async def kill_server(self, victim: Server, platform: Platform) -> None:
        """Let a server die in the middle of a long answer, and let the list say so some seconds later."""
        await asyncio.sleep(DEATH_AT)
        while not self.in_middle[victim.name]:
            await asyncio.sleep(0.01)
            if time.monotonic() > self.ends_at:
                message = "the server had no long answer in hand"
                raise CaseError(message)
        victim.die()
        await asyncio.sleep(TOLD_AFTER)
        platform.remove(victim.entry())


async def play(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Let clients send a few commands at once, over and over; return whether one behind a cut answer was lost."""
    game = Play(record)
    servers = [Server(f"s{number}", record, game.answer) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    platform = Platform()
    await platform.start([server.entry() for server in servers])
    limiter = Limiter(record, folder, platform)
    try:
        await limiter.start()
        game.ends_at = time.monotonic() + SECONDS
        tasks = [game.run_client(number, limiter.port) for number in range(CLIENTS)]
        if has_trouble:
            tasks.append(game.kill_server(servers[0], platform))
        await asyncio.gather(*tasks)
    finally:
        limiter.stop()
    run_count = sum(request_id in game.ran for request_id in game.lost)
    record.say(f"answers {game.counts}; never answered {len(game.lost)}, of which servers ran {run_count}")
    return bool(game.lost)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
