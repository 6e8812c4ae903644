"""A backend breaks off one long answer; the answer before it on the connection has to arrive whole."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
from bed import Backend, Bed, Call, Gateway, encode_command, plan, read_value, reply_of, run_case

CLIENTS = 6
VALUE_BYTES = 600_000
BYTES_PER_S = 85_000  # so that the answer is whole well within the client's time
READ_BYTES = 4096
WAIT_S = 8.0  # the client's time, `d`; what comes later is not judged
SEGMENT_BYTES = 1400  # as over a network, where a frame of an Ethernet holds no more
PART_BYTES = 150_000  # of the second answer, before its backend resets the connection
RESET_S = 0.5  # after that part
THIRD_S = 0.2  # the third command is sent so long after the second one has come to a backend
ATTRIBUTES = "c={},t=stor,d=8000,k=k1,units=1,spread=1,first=0"
FIRST, SECOND, THIRD = "lanelofte", "spara", "kalkyl"  # the classes of the three requests of a client


class BreakingBackend(Backend):
    """A backend that resets the connection within the long answer to the second request."""

    breaks = True

    def __init__(self, bed: Bed, name: str, second_came: dict[str, asyncio.Event]) -> None:
        super().__init__(bed.record, name)
        self.breaks = bed.trouble
        self.second_came = second_came  # by customer

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                call = Call(self, await read_value(reader), self.record.now())
                kind = call.attributes["c"]
                self.record.add(self.name, f"got {call.verb} {call.id} of {call.customer} {kind}")
                reply = reply_of(b"short" if kind == THIRD else b"." * VALUE_BYTES)
                if kind == SECOND:
                    self.second_came[call.customer].set()
                    if self.breaks:
                        writer.write(reply[:PART_BYTES])
                        await asyncio.sleep(RESET_S)
                        self.record.add(self.name, f"resets the connection within the answer to {call.id}")
                        writer.transport.abort()
                        return
                writer.write(reply)
                await writer.drain()
        writer.close()


async def send(bed: Bed, client: socket.socket, number: int, kind: str) -> str:
    """Send one request; return its id."""
    verb = "API.READ" if kind == THIRD else "API.WRITE"
    request = bed.new_id()
    command = encode_command(verb, f"{number:016x}", request, ATTRIBUTES.format(kind))
    await asyncio.get_running_loop().sock_sendall(client, command)
    bed.record.add("client", f"{number}: {verb} {request} {kind} sent")
    return request


async def send_others(bed: Bed, client: socket.socket, number: int, second_came: asyncio.Event) -> None:
    """Send the second request behind the first, and the third once the second is being answered."""
    await asyncio.sleep(0.2)
    await send(bed, client, number, SECOND)
    await second_came.wait()
    await asyncio.sleep(THIRD_S)
    with contextlib.suppress(OSError):
        await send(bed, client, number, THIRD)


async def read_first(
    bed: Bed, gateway: Gateway, number: int, second_came: dict[str, asyncio.Event]
) -> str | None:
    """Send three requests and read the answer to the first; return what was wrong with that answer."""
    client = socket.socket()
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, ("127.0.0.1", gateway.port))
    request = await send(bed, client, number, FIRST)
    others = asyncio.create_task(send_others(bed, client, number, second_came[f"{number:016x}"]))
    missing = len(b"$%d\r\n" % VALUE_BYTES) + VALUE_BYTES + 2
    begun = time.monotonic()
    received = 0
    why = "end of the stream"
    while missing and time.monotonic() - begun < WAIT_S:
        try:
            data = await loop.sock_recv(client, min(READ_BYTES, missing))
        except ConnectionError as error:
            data = b""
            why = type(error).__name__
        if not data:
            break
        if not received and not data.startswith(b"$"):
            bed.record.add("client", f"{number}: {request} refused or failed: {data!r}")
            break
        received += len(data)
        missing -= len(data)
        ahead_s = received / BYTES_PER_S - (time.monotonic() - begun)
        if ahead_s > 0:
            await asyncio.sleep(ahead_s)
    others.cancel()
    client.close()
    text = f"{number}: {request} {received} bytes in {time.monotonic() - begun:.1f} s"
    bed.record.add("client", text + (f", {why} with {missing} bytes missing" if missing else ", whole"))
    if not received or time.monotonic() - begun >= WAIT_S:
        return None  # it was not served, or not in its time
    return f"the first answer of client {text}, then {why} with {missing} bytes missing" if missing else None


async def play(bed: Bed) -> list[str]:
    """Let all clients send and read."""
    second_came = {f"{number:016x}": asyncio.Event() for number in range(CLIENTS)}
    backends: list[Backend] = [BreakingBackend(bed, f"s-{number}", second_came) for number in range(4)]
    await bed.open(backends, 1, [plan("stor", 1000.0, 1000.0)])
    (gateway,) = bed.gateways
    results = await asyncio.gather(
        *(read_first(bed, gateway, number, second_came) for number in range(CLIENTS))
    )
    return [result for result in results if result is not None]


sys.exit(run_case(Path(__file__).resolve().parent, play))
