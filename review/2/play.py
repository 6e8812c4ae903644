"""Clients send many commands at once and read their answers slowly; the platform holds the memory limit."""

from __future__ import annotations

import asyncio
import random
import socket
from pathlib import Path

from standins import platform, resp

MEMORY_MB = 64
SOCKETS = 512
CLIENTS = 128  # connections, half of them to each gateway; a third of its descriptors would be 170
COMMANDS = 32  # sent at once on one connection
ROUNDS = 2
START_S = 4.0  # the clients begin within this time, one after another
VALUE = 60 * 1024  # under the 64 KiB that a value holds at most
SLOW_BYTES_S = 100 * 1024  # the pace at which a slow line brings answers
SEGMENT_BYTES = 1460  # the largest segment on an Ethernet; on loopback it would be 64 KiB
RECEIVE_BYTES = 32 * 1024  # the receive buffer of a client with a slow line
SERVICE_MS = (5.0, 15.0)
DEADLINE_MS = 8000


class Play:
    """The backends and the clients, and what they saw."""

    def __init__(self, record: platform.Record) -> None:
        self.record = record
        self.random = random.Random(1)
        self.trouble = platform.has_trouble()
        self.counts = {"commands": 0, "served": 0, "refused": 0, "failed": 0}
        self.unanswered = 0  # commands without an answer when the gateway was killed
        self.peak_mb = 0.0
        self.killed = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, in order, with a value of under 64 KiB."""
        while True:
            words = await resp.read_value(reader)
            await asyncio.sleep(self.random.uniform(*SERVICE_MS) / 1000)
            writer.write(resp.served((words[2] * (VALUE // len(words[2]) + 1))[:VALUE]))
            self.record.line(f"run {words[2].decode()}")
            await writer.drain()

    async def ask(self, gateway: platform.Gateway, number: int) -> None:
        """Send some commands at once and read their answers at the pace of the client's line; then again."""
        await asyncio.sleep(number * START_S / CLIENTS)
        client = socket.socket()
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        if self.trouble:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        client.setblocking(False)
        waiting: list[bytes] = []
        try:
            await asyncio.get_running_loop().sock_connect(client, (platform.HOST, gateway.port))
            reader, writer = await asyncio.open_connection(sock=client, limit=RECEIVE_BYTES)
            for turn in range(ROUNDS):
                for position in range(COMMANDS):
                    waiting.append(b"%08x%08x" % (number, turn * COMMANDS + position))
                    self.send(writer, number, waiting[-1])
                while waiting:
                    kind = await self.read_answer(reader)
                    self.counts[kind] += 1
                    self.record.line(f"answer to {waiting.pop(0).decode()}: {kind}")
        except (asyncio.IncompleteReadError, ConnectionError):
            self.record.line(f"connection {number} ended, {len(waiting)} answers due")
            self.unanswered += len(waiting)
        finally:
            client.close()

    def send(self, writer: asyncio.StreamWriter, number: int, request: bytes) -> None:
        """Send one command."""
        customer, names = platform.customer_words(self.random, b"kalkyl", DEADLINE_MS)
        writer.write(resp.command(b"API.READ", customer, request, names))
        self.counts["commands"] += 1
        self.record.line(f"sent {request.decode()} on connection {number}")

    async def read_answer(self, reader: asyncio.StreamReader) -> str:
        """Read one answer, piece by piece, and return its kind."""
        line = await reader.readuntil(b"\r\n")
        if line[:1] != b"$":
            return "refused" if line.startswith(b"-BUSY") else "failed"
        left = int(line[1:]) + 2
        while left:
            piece = await reader.read(min(left, 8 * 1024))
            if not piece:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(piece)
            if self.trouble:
                await asyncio.sleep(len(piece) / SLOW_BYTES_S)
        return "served"

    async def hold_limit(self, gateway: platform.Gateway) -> None:
        """Kill the gateway once it is over its memory limit, as the platform does."""
        while True:
            memory_mb = gateway.memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            self.record.line(f"memory of {gateway.name}: {memory_mb:.1f} MB")
            if memory_mb > MEMORY_MB:
                self.killed = True
                self.record.say(f"gateway {gateway.name} is killed: {memory_mb:.1f} MB of {MEMORY_MB}")
                gateway.kill()
                return
            await asyncio.sleep(0.05)


async def play(record: platform.Record) -> int:
    """Play, and return the exit code."""
    scene = Play(record)
    limits = {"memory_mb": MEMORY_MB, "sockets": SOCKETS}
    async with platform.deployment(Path(__file__).parent, record, scene.serve, limits) as gateways:
        watches = [asyncio.create_task(scene.hold_limit(gateway)) for gateway in gateways]
        await asyncio.gather(*(scene.ask(gateways[n % len(gateways)], n) for n in range(CLIENTS)))
        for watch in watches:
            watch.cancel()
    record.say(f"{scene.counts}, at most {scene.peak_mb:.1f} MB of anonymous memory")
    record.say(f"commands without an answer at the gateway's end: {scene.unanswered}")
    return 1 if scene.killed else 0


if __name__ == "__main__":
    platform.main(play, Path(__file__).parent)
