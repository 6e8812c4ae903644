"""Sends five requests of one customer to a gateway and prints the answers.

Usage: python deploy/example/client.py [PORT]
"""

from __future__ import annotations

import secrets
import socket
import sys

DEFAULT_PORT = 6400
REQUESTS = 5
CUSTOMER = b"00000000b4d65521"
# The class, the plan, the client's deadline in ms, the units, and the gateways that serve this customer.
ATTRIBUTES = b"c=view,t=free,d=3000,units=1,spread=1,first=0"


def encode(*arguments: bytes) -> bytes:
    """Write a RESP2 command: an array of bulk strings."""
    strings = b"".join(b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments)
    return b"*%d\r\n%b" % (len(arguments), strings)


def main(port: int) -> None:
    """Send the requests on one connection, each after the answer to the one before."""
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as connection:
        for _ in range(REQUESTS):
            request_id = secrets.token_hex(8).encode()
            connection.sendall(encode(b"API.READ", CUSTOMER, request_id, ATTRIBUTES))
            print(connection.recv(4096))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_PORT)
