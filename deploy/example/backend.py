"""A stand-in for a backend, to try one gateway on one's own machine: it answers every request with "hello".

Usage: python deploy/example/backend.py [PORT]
"""

from __future__ import annotations

import asyncio
import sys

DEFAULT_PORT = 6410
# The value; the usage, in which a backend may name the true cost; metadata. The last two are null here.
ANSWER = b"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n"


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read RESP2 commands, arrays of bulk strings, and answer each of them."""
    while header := await reader.readline():
        for _ in range(int(header[1:])):
            length = int((await reader.readline())[1:])
            await reader.readexactly(length + len(b"\r\n"))
        writer.write(ANSWER)


async def main(port: int) -> None:
    """Accept connections of the gateway until interrupted."""
    server = await asyncio.start_server(serve, "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_PORT))
