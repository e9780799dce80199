"""Case 2: a server dies in the middle of a long answer, and requests of the same client are never answered."""

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
BATCH = ("booking-make", "booking-view", "booking-make", "booking-make")  # what a client sends at once
LONG_PLACE = 1  # the place of the request with the long answer
MAX_SECONDS = 20.0
SECONDS_AFTER_DEATH = 5.0
DEATH_AT = 3.0  # seconds after the start, or the next moment that fits
TOLD_AFTER = 3.0  # seconds from the death until the list says so
LONG_BYTES = 400 * 1024
LONG_PIECES = 8
LONG_SECONDS = (0.3, 0.6)  # for writing a long answer
MEAN_WORK_SECONDS = 0.22
MAX_WORK_SECONDS = 1.0
WAIT_MS = 7500


class Batch:
    """The commands that a client sent at once on one connection, and what came back."""

    def __init__(self, number: int) -> None:
        self.requests = [
            build_request(name, WAIT_MS, customer=4 * number + place, body=None if place == LONG_PLACE else b"for two")
            for place, name in enumerate(BATCH)
        ]
        self.ids = [request_id for request_id, _ in self.requests]
        self.answered = 0
        self.is_long_begun = False  # a byte of the long answer has come


class Play:
    """Servers of which some answers are long, and clients that send a few commands at once."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.chance = random.Random(4614)
        self.batches: dict[str, Batch] = {}  # by the id of the request with the long answer
        self.in_middle: dict[str, str] = {}  # the server that is in the middle of a long answer, by request id
        self.ran: dict[str, str] = {}  # the server that ran a request, by its id
        self.counts = {"served": 0, "refused": 0, "failed": 0, "late": 0, "cut": 0}
        self.lost = 0  # never answered, though nothing of the long answer had gone to the client at the death
        self.lost_behind_begun = 0  # never answered, behind a long answer that had been begun before the death
        self.held_back: set[str] = set()  # long answers of which nothing had gone to the client at the death
        self.ends_at = 0.0

    async def answer(
        self, server: Server, command: list[bytes], writer: asyncio.StreamWriter, previous: asyncio.Task[None] | None
    ) -> None:
        """Work on a request, and answer it; some answers are long and written in pieces."""
        request_id = command[2].decode()
        self.ran[request_id] = server.name
        work = min(MAX_WORK_SECONDS, self.chance.expovariate(1.0 / MEAN_WORK_SECONDS))
        await asyncio.sleep(work)
        if previous is not None and not previous.done():
            await asyncio.wait([previous])
        if request_id in self.batches:
            reply = served(command[2] * (LONG_BYTES // len(command[2])), milliseconds=1000.0 * work)
            await self._write_in_pieces(server.name, request_id, writer, reply)
        else:
            writer.write(served(f"{server.name}:{request_id}".encode(), milliseconds=1000.0 * work))
        self.record.write(f"made  {server.name} {request_id}")

    async def _write_in_pieces(self, name: str, request_id: str, writer: asyncio.StreamWriter, reply: bytes) -> None:
        size = -(-len(reply) // LONG_PIECES)
        pause = self.chance.uniform(*LONG_SECONDS) / LONG_PIECES
        for number, start in enumerate(range(0, len(reply), size)):
            writer.write(reply[start : start + size])
            if 0 < number < LONG_PIECES - 2:
                self.in_middle[request_id] = name
            await asyncio.sleep(pause)
            self.in_middle.pop(request_id, None)
            await writer.drain()

    async def run_client(self, number: int, port: int) -> None:
        """Send batches of commands until the end of the case."""
        while time.monotonic() < self.ends_at:
            batch = Batch(number)
            self.batches[batch.ids[LONG_PLACE]] = batch
            await self._send_batch(batch, port)
            await asyncio.sleep(self.chance.uniform(0.05, 0.2))

    async def _send_batch(self, batch: Batch, port: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
        self.record.write(f"sent  {' '.join(batch.ids)} at once")
        writer.write(b"".join(command for _, command in batch.requests))
        try:
            for request_id in batch.ids:
                kind, _ = await asyncio.wait_for(read_reply(reader, lambda: self._on_begun(batch)), 9.0)
                batch.answered += 1
                self.counts[kind] += 1
                self.record.write(f"answer {request_id} {kind}")
        except TimeoutError:
            self.counts["late"] += 1
            self.record.write(f"answer {batch.ids[batch.answered]} did not come, and the connection is open")
        except (asyncio.IncompleteReadError, ConnectionError) as end:
            self._on_connection_ended(batch, end)
        finally:
            writer.close()

    @staticmethod
    def _on_begun(batch: Batch) -> None:
        batch.is_long_begun = batch.is_long_begun or batch.answered == LONG_PLACE

    def _on_connection_ended(self, batch: Batch, end: Exception) -> None:
        # The connection carried this batch alone, so that an end before its last answer is no end between requests.
        unanswered = batch.ids[batch.answered :]
        self.record.write(f"the connection ended with {len(unanswered)} requests open: {end!r:.90}")
        long_id = batch.ids[LONG_PLACE]
        is_begun = batch.answered > LONG_PLACE or long_id not in self.held_back
        self.counts["cut"] += batch.answered == LONG_PLACE
        for request_id in unanswered:
            if request_id == long_id:
                continue  # a value that was begun at some time and could not be finished, which the pages excuse
            self.lost += not is_begun
            self.lost_behind_begun += is_begun
            ran_by = self.ran.get(request_id, "no server")
            self.record.write(f"LOST  {request_id} was never answered, begun before: {is_begun}, run by {ran_by}")

    def _find_held_back(self, name: str) -> set[str]:
        # The long answers that a server is in the middle of while the client waits for an earlier answer.
        return {
            request_id
            for request_id, writer_name in self.in_middle.items()
            if writer_name == name and not self.batches[request_id].answered
        }

    async def kill_server(self, victim: Server, platform: Platform) -> None:
        """Let a server die in the middle of a long answer, and let the list say so some seconds later."""
        await asyncio.sleep(DEATH_AT)
        while not self._find_held_back(victim.name):
            await asyncio.sleep(0.01)
            if time.monotonic() > self.ends_at:
                message = "the server had no such long answer in hand"
                raise CaseError(message)
        self.held_back = {request_id for request_id, batch in self.batches.items() if not batch.is_long_begun}
        for request_id in self._find_held_back(victim.name):
            self.record.write(f"{victim.name} is in the middle of {request_id}, of which the client has no byte yet")
        victim.die()
        self.ends_at = time.monotonic() + SECONDS_AFTER_DEATH
        await asyncio.sleep(TOLD_AFTER)
        platform.remove(victim.entry())


async def play(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Let clients send a few commands at once, over and over; return whether a request was never answered."""
    game = Play(record)
    servers = [Server(f"s{number}", record, game.answer) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    platform = Platform()
    await platform.start([server.entry() for server in servers])
    limiter = Limiter(record, folder, platform)
    try:
        await limiter.start()
        game.ends_at = time.monotonic() + MAX_SECONDS
        tasks = [game.run_client(number, limiter.port) for number in range(CLIENTS)]
        if has_trouble:
            tasks.append(game.kill_server(servers[0], platform))
        await asyncio.gather(*tasks)
    finally:
        limiter.stop()
    record.say(
        f"answers {game.counts}; never answered, with nothing of the long answer begun at the death: {game.lost}; "
        f"behind a long answer begun before: {game.lost_behind_begun}"
    )
    return game.lost > 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
