"""Loopback addresses of one play: a network of its own, and ports that nobody else takes."""

from __future__ import annotations

import os
import socket

Address = tuple[str, int]

FIRST_NET, NETS = 32, 200  # 127.32.0.0/16 and on: far from 127.0.0.1, where other programs listen
CLAIM_PORT = 4_999
LISTEN, OPERATOR, LINE = 6_379, 8_080, 7_946  # of a gateway, on its own address
NEXT = 8_081  # where operators reach the new process of an upgrade
FIRST_PORT, LAST_PORT = 10_000, 32_000  # of the lab: under the range that the system gives ports from
CLAIM_HOST = "127.255.255.253"  # of claims to ports of 127.0.0.1
PORTS_APART = 64  # between the first ports that processes of neighbouring numbers try
A_ROW = 200  # hosts of one third byte
LAB_ROW = 250  # the third byte of the lab's own servers; of what belongs to a gateway: its row


class AddressError(Exception):
    """No network is free, or a port is taken by somebody else."""


class ClaimedPort:
    """A TCP port of 127.0.0.1 that is free, and that no other user of this class is given meanwhile.

    A port that was merely found free can be given to someone else before it is listened on, as a server's or
    as the near end of any connection. So it is taken from under the range that the system gives ports from,
    and a UDP socket of the same number on an address of its own is held as the claim to it.
    """

    def __init__(self) -> None:
        ports = range(FIRST_PORT, LAST_PORT)
        first = os.getpid() * PORTS_APART % len(ports)
        for offset in range(len(ports)):
            port = ports[(first + offset) % len(ports)]
            if self._claim(port):
                self.port = port
                return
        raise AddressError("no port of 127.0.0.1 is free")

    def _claim(self, port: int) -> bool:
        self.claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.claim.bind((CLAIM_HOST, port))
            with socket.create_server(("127.0.0.1", port)):
                return True
        except OSError:
            self.claim.close()
            return False

    def __enter__(self) -> int:
        return self.port

    def __exit__(self, *_: object) -> None:
        self.claim.close()


kept_claims: list[ClaimedPort] = []


def claimed_port() -> int:
    """A claimed port, for as long as this process lives."""
    kept_claims.append(ClaimedPort())
    return kept_claims[-1].port


class Net:
    """Owns a /16 of loopback for one play. A bound socket claims it: other plays take another."""

    def __init__(self) -> None:
        self.claim, self.number = self._claim()
        self.given: dict[str, int] = {}  # by host: the last port

    def _claim(self) -> tuple[socket.socket, int]:
        for offset in range(NETS):
            number = FIRST_NET + (os.getpid() + offset) % NETS
            claim = socket.socket()
            try:
                claim.bind((f"127.{number}.255.254", CLAIM_PORT))
            except OSError:
                claim.close()
                continue
            return claim, number
        raise AddressError(f"all {NETS} networks of loopback are in use by other plays")

    def gateway(self, index: int) -> str:
        """The host of a gateway, and of all links that are its own."""
        row, place = divmod(index, A_ROW)
        return f"127.{self.number}.{row}.{place + 1}"

    def lab(self) -> str:
        """The host of the lab's own servers."""
        return f"127.{self.number}.{LAB_ROW}.1"

    def port(self, host: str) -> int:
        """The next port of a host; raises AddressError once there are none."""
        port = self.given[host] = self.given.get(host, FIRST_PORT - 1) + 1
        if port > LAST_PORT:
            raise AddressError(f"{host}: no ports are left for links")
        return port

    def check(self, address: Address) -> None:
        """Raise AddressError if a port that a gateway is to have is taken."""
        with socket.socket() as trial:
            trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                trial.bind(address)
            except OSError as error:
                raise AddressError(f"{address[0]}:{address[1]} can't be had: {error.strerror}") from error

    def close(self) -> None:
        self.claim.close()
