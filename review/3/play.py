"""Backends reset some connections within a long value, while clients have sent several commands at once."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from pathlib import Path

from standins import platform, resp

SECONDS = 20.0
CLIENTS = 6
COMMANDS = 6  # sent at once on one connection; the first asks for a long value
LONG_VALUE = 1024 * 1024
RESET_RATIO = 0.2  # the share of the long values that are cut by a reset
SERVICE_MS = (5.0, 15.0)
PAUSE_MS = (100.0, 200.0)
DEADLINE_MS = 8000
GRACE_S = 1.0  # waited for after the last deadline


class Play:
    """The backends and the clients, and what they saw."""

    def __init__(self, record: platform.Record) -> None:
        self.record = record
        self.random = random.Random(1)
        self.trouble = platform.has_trouble()
        self.counts = {"commands": 0, "served": 0, "refused": 0, "failed": 0, "resets": 0, "cut values": 0}
        self.long: set[bytes] = set()  # requests whose value is long
        self.cut: set[bytes] = set()  # requests whose value a backend has begun and cut by a reset
        self.ran: set[bytes] = set()  # requests whose last byte has come to a backend
        self.lost: list[str] = []
        self.end_s = 0.0

    # ---- backends ----

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, in order."""
        while True:
            words = await resp.read_value(reader)
            request = words[2]
            self.ran.add(request)
            name = resp.attributes(words)[b"c"]
            self.record.line(f"run {request.decode()} {name.decode()}")
            await asyncio.sleep(self.random.uniform(*SERVICE_MS) / 1000)
            if request not in self.long:
                writer.write(resp.served(b"done " + request))
                continue
            answer = resp.served(request * (LONG_VALUE // len(request)))
            if not (self.trouble and self.random.random() < RESET_RATIO):
                writer.write(answer)
                await writer.drain()
                continue
            writer.write(answer[: len(answer) // 2])
            await writer.drain()
            await asyncio.sleep(0.02)
            self.counts["resets"] += 1
            self.cut.add(request)
            self.record.line(f"reset within the value of {request.decode()}")
            connection: socket.socket = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            return

    # ---- clients ----

    async def ask(self, port: int, number: int) -> None:
        """Send several commands at once, and the next ones after their answers."""
        reader, writer = await asyncio.open_connection(platform.HOST, port)
        serial = 0
        while self.record.seconds() < self.end_s:
            requests = []
            for position in range(COMMANDS):
                serial += 1
                request = b"%08x%08x" % (number, serial)
                requests.append(request)
                name = b"lanelofte" if position % 2 else b"kalkyl"
                customer, names = platform.customer_words(self.random, name, DEADLINE_MS)
                if name == b"kalkyl":
                    writer.write(resp.command(b"API.READ", customer, request, names))
                else:
                    writer.write(resp.command(b"API.WRITE", customer, request, names, b"body"))
                if position == 0:
                    self.long.add(request)
                self.record.line(f"sent {request.decode()} {name.decode()} on connection {number}")
            self.counts["commands"] += COMMANDS
            waiting = list(requests)
            begun = asyncio.Event()  # bytes of the answer that is due have come
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000 + GRACE_S):
                    while waiting:
                        begun.clear()
                        value = await self.read_answer(reader, begun)
                        self.judge_answer(waiting.pop(0), value)
            except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
                self.judge_end(waiting, begun.is_set(), error)
                writer.close()
                reader, writer = await asyncio.open_connection(platform.HOST, port)
            await asyncio.sleep(self.random.uniform(*PAUSE_MS) / 1000)
        writer.close()

    async def read_answer(self, reader: asyncio.StreamReader, begun: asyncio.Event) -> object:
        """Read one answer; note when its first bytes have come."""
        line = await reader.readuntil(b"\r\n")
        begun.set()
        if line[:1] != b"$":
            return resp.Line(line[:-2])
        return (await reader.readexactly(int(line[1:]) + 2))[:-2]

    def judge_answer(self, request: bytes, value: object) -> None:
        """Count an answer."""
        if not isinstance(value, resp.Line):
            kind = "served"
        else:
            kind = "refused" if value.startswith(b"-BUSY") else "failed"
        self.counts[kind] += 1
        self.record.line(f"answer to {request.decode()}: {kind}")

    def judge_end(self, waiting: list[bytes], begun: bool, error: Exception) -> None:
        """Judge the requests that got no answer on a connection that the gateway ended, or that fell silent.

        A value that was begun and could not be finished has failed; it is not lost. Of the others, those
        count as lost that the gateway had certainly read: their last byte has come to a backend.
        """
        silent = isinstance(error, TimeoutError)
        self.record.line(f"{'silence' if silent else 'closed by the gateway'}: {len(waiting)} answers due")
        if begun and not silent:
            self.counts["cut values"] += 1
            self.record.line(f"answer to {waiting[0].decode()} cut")
            waiting = waiting[1:]
        for request in waiting:
            if request in self.ran - self.cut:
                self.lost.append(request.decode())
                self.record.line(f"LOST {request.decode()}: it ran at a backend and got no answer")


async def play(record: platform.Record) -> int:
    """Play, and return the exit code."""
    scene = Play(record)
    limits = {"memory_mb": 64, "sockets": 512}
    async with platform.deployment(Path(__file__).parent, record, scene.serve, limits) as gateways:
        scene.end_s = record.seconds() + SECONDS
        ports = [gateway.port for gateway in gateways]
        await asyncio.gather(*(scene.ask(ports[number % len(ports)], number) for number in range(CLIENTS)))
    record.say(f"{scene.counts}")
    if scene.counts["served"] < scene.counts["commands"] / 2:
        raise platform.CannotRunError("under half of the commands were served")
    record.say(
        f"requests that ran and got no answer, as the gateway closed their connection: {len(scene.lost)}"
    )
    return 1 if scene.lost else 0


if __name__ == "__main__":
    platform.main(play, Path(__file__).parent)
