"""What the platform tells a gateway: the file named by LB_CONFIG."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, fields, replace
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

from mintford import interface as api
from mintford.wirehost import read_settings

from .descriptors import Shares

Address = tuple[str, int]
MEGABYTE = 1024 * 1024
HIGHEST_PORT = 65_535
LEAST_SHARE = 0.05  # of the descriptors, or of the clients' part; and as much is left to the rest
MOST_CONNECTS = 64  # handshakes under way to one backend that may be allowed
STATE = "LB_STATE"  # goes before the file, likewise
OPERATOR = "LB_OPERATOR"  # goes before the file: each process of an upgrade has an address of its own


class ConfigError(Exception):
    """The configuration does not say what a gateway needs."""


@dataclass(frozen=True)
class Config:
    name: str
    listen: Address
    operator: Address | None  # where operators call; none: nowhere
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    memory: int  # bytes
    settings: api.Settings
    connect_timeout: float  # milliseconds, as all times here
    keepalive: float
    max_open: int
    shares: Shares  # of the descriptors
    state: Path | None  # the folder where state is kept on disk; none: nowhere
    known: dict[str, Any]  # the list of backends as this gateway last had it, in discovery's form


def parse_address(text: str) -> Address:
    """A numeric address: a name would have to be looked up, and there is no DNS."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not (port.isascii() and port.isdigit()) or int(port) > HIGHEST_PORT:
        raise ValueError(f"not an address: {text!r}")
    return str(IPv4Address(host)), int(port)


def parse_shares(given: Any) -> Shares:
    """The optional table `connections`; what it does not name stays as it is by default."""
    if given is None:
        return Shares()
    if not isinstance(given, dict):
        raise ValueError("connections: not a table")
    names = {field.name for field in fields(Shares)}
    if unknown := sorted(given.keys() - names):
        raise ValueError(f"connections: unknown name {unknown[0]!r}")
    for name, value in given.items():
        if name == "connects":
            good = type(value) is int and 1 <= value <= MOST_CONNECTS
        else:
            good = type(value) in (int, float) and LEAST_SHARE <= value <= 1 - LEAST_SHARE
        if not good:
            raise ValueError(f"connections: {name} can't be {value!r}")
    shares = Shares(**given)
    if shares.clients + shares.backends > 1 - LEAST_SHARE:
        raise ValueError("connections: clients and backends leave too little for the rest")
    return shares


def parse_regions(given: Any) -> tuple[tuple[str, str], ...]:
    """The optional table `regions`, region to zones, as pairs of zone and region."""
    if given is None:
        return ()
    if not isinstance(given, dict):
        raise ValueError("regions: not a table")
    regions: dict[str, str] = {}
    for region, zones in given.items():
        if not isinstance(zones, list) or not all(isinstance(zone, str) and zone for zone in zones):
            raise ValueError(f"regions: {region!r} is no list of zones")
        for zone in zones:
            if zone in regions:
                raise ValueError(f"regions: zone {zone!r} is named twice")
            regions[zone] = region
    return tuple(regions.items())


def parse_state(given: Any) -> Path | None:
    """The optional folder `state`; nothing is kept without one."""
    if given is not None and not isinstance(given, str):
        raise ValueError(f"state: not a string: {given!r}")
    if "\0" in (given or ""):
        raise ValueError("state: no folder has such a name")
    folder = os.environ.get(STATE) or given
    return Path(folder) if folder else None


def parse_config(raw: dict[str, Any]) -> Config:
    try:
        settings = raw["settings"]
        caps = settings.get("caps") or {}
        operator = os.environ.get(OPERATOR) or raw.get("operator")
        return Config(
            name=str(raw.get("name") or ""),
            listen=parse_address(raw["listen"]),
            operator=parse_address(operator) if operator else None,
            discovery=parse_address(raw["discovery"]),
            counter=parse_address(raw["counter"]) if raw.get("counter") else None,
            seed=int(str(raw.get("seed") or "0"), 16),
            sockets=int((raw.get("limits") or {}).get("sockets") or 1024),
            memory=int((raw.get("limits") or {}).get("memory_mb") or 64) * MEGABYTE,
            settings=replace(read_settings(settings), regions=parse_regions(raw.get("regions"))),
            connect_timeout=float(caps.get("connectTimeout") or 250),
            keepalive=float(caps.get("keepalive") or 15_000),
            max_open=int(caps.get("maxOpen") or 10_000),
            shares=parse_shares(raw.get("connections")),
            state=parse_state(raw.get("state")),
            known=raw.get("known") or {},
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{type(error).__name__}: {error}") from error


def load_config(path: str) -> Config:
    try:
        return parse_config(json.loads(Path(path).read_text()))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
