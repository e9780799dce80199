"""Case 3: a planned restart cuts off the answers that clients are still reading."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Limiter, Platform, Record, Server, build_request, run_case, served  # noqa: E402

SERVERS = 2
CLIENTS = 4
VALUE_BYTES = 200 * 1024
READ_BYTES_PER_SECOND = 64 * 1024  # so that a value takes a little over three seconds
PIECE_SECONDS = 0.05
RECEIVE_BUFFER_BYTES = 16 * 1024
WORK_SECONDS = 0.2
WAIT_MS = 7500
TERM_AT = 0.5  # seconds after the first request
KILL_AFTER = 3.7  # seconds after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s


class Play:
    """Servers with long answers, and clients that take some seconds to read one."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.lost = 0

    async def answer(
        self, server: Server, command: list[bytes], writer: asyncio.StreamWriter, previous: asyncio.Task[None] | None
    ) -> None:
        """Answer a request with a long value."""
        await asyncio.sleep(WORK_SECONDS)
        if previous is not None and not previous.done():
            await asyncio.wait([previous])
        writer.write(served(command[2] * (VALUE_BYTES // len(command[2])), milliseconds=1000.0 * WORK_SECONDS))
        await writer.drain()
        self.record.write(f"made  {server.name} {command[2].decode()}, {VALUE_BYTES} bytes, all written")

    async def ask(self, number: int, port: int) -> None:
        """Send one request, and read its answer in pieces at a steady pace."""
        request_id, command = build_request("booking-view", WAIT_MS, customer=number)
        whole = b"$%d\r\n%b\r\n" % (VALUE_BYTES, request_id.encode() * (VALUE_BYTES // len(request_id)))
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            client.setblocking(False)
            await loop.sock_connect(client, (HOST, port))
            await loop.sock_sendall(client, command)
            sent_at = time.monotonic()
            self.record.write(f"sent  {request_id}")
            data = b""
            end = "read whole"
            while len(data) < len(whole):
                await asyncio.sleep(PIECE_SECONDS)
                try:
                    piece = await loop.sock_recv(client, int(READ_BYTES_PER_SECOND * PIECE_SECONDS))
                except ConnectionError as error:
                    end = type(error).__name__
                    break
                if not piece:
                    end = "the connection ended"
                    break
                data += piece
        seconds = time.monotonic() - sent_at
        self.record.say(f"answer {request_id} {len(data)} of {len(whole)} bytes in {seconds:.2f} s: {end}")
        if data != whole:
            self.lost += 1


async def stop_as_planned(record: Record, limiter: Limiter) -> None:
    """End a limiter as the platform does at a planned restart."""
    await asyncio.sleep(TERM_AT)
    limiter.send_signal(signal.SIGTERM)
    kill_at = time.monotonic() + KILL_AFTER
    while time.monotonic() < kill_at and not limiter.has_ended():
        await asyncio.sleep(0.01)
    record.say(
        f"the limiter {'has ended' if limiter.has_ended() else 'runs'} {time.monotonic() - kill_at:+.2f} s to SIGKILL"
    )
    limiter.send_signal(signal.SIGKILL)


async def play(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Let clients read long answers during a planned restart; return whether one of the answers was cut."""
    game = Play(record)
    servers = [Server(f"s{number}", record, game.answer) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    platform = Platform()
    await platform.start([server.entry() for server in servers])
    limiter = Limiter(record, folder, platform)
    try:
        await limiter.start()
        tasks = [game.ask(number, limiter.port) for number in range(CLIENTS)]
        if has_trouble:
            tasks.append(stop_as_planned(record, limiter))
        await asyncio.gather(*tasks)
    finally:
        limiter.stop()
    record.say(f"answers cut: {game.lost} of {CLIENTS}")
    return game.lost > 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
