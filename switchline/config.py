"""What the platform tells a gateway: the file named by LB_CONFIG."""

from __future__ import annotations

import hashlib
import json
import os
from dataclasses import dataclass, field, fields, replace
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

from switchline import __version__
from switchline.net.descriptors import Shares
from switchline.policy import interface as api
from switchline.simulator import read_settings

Address = tuple[str, int]
MEGABYTE = 1024 * 1024
HIGHEST_PORT = 65_535
LEAST_SHARE = 0.05  # of the descriptors, or of the clients' part; and as much is left to the rest
MOST_CONNECTS = 64  # handshakes under way to one backend that may be allowed
LONGEST_FLEET, MOST_SEEDS = 64, 64
SHUT_OUT_S, SHUT_OUT_RANGE = 15.0, (2.0, 3_600.0)  # of a gateway whose list stays behind
LEAST_SECRET, MOST_SECRET = 16, 4_096  # bytes
LONGEST_FOLDER = 1_024
STATE = "LB_STATE"  # goes before the file, likewise
OPERATOR = "LB_OPERATOR"  # goes before the file: each process of an upgrade has an address of its own


FLEET_NAMES = {"name", "listen", "advertise", "seeds", "secret", "shut_out_s"}


class ConfigError(Exception):
    """The configuration does not say what a gateway needs."""


@dataclass(frozen=True)
class FleetLink:
    """The line between gateways."""

    fleet: str  # its name: others are not heard
    listen: Address
    advertise: Address  # where the others reach this one
    seeds: tuple[Address, ...]  # some that are likely there, asked at the start
    secret: bytes = field(repr=False)
    shut_out_s: float = SHUT_OUT_S  # a list behind for so long: this gateway is shut out; 0: never


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
    audit: Path | None  # the folder of the audit's records; none: they are on no disk
    line: FleetLink | None  # between gateways; none: this one knows of no other
    release: str  # of the program
    digest: str  # of the file, without what each start has of its own
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
    names = {one.name for one in fields(Shares)}
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


def parse_audit(given: Any) -> Path | None:
    """The optional folder `audit`."""
    if given is None:
        return None
    if not isinstance(given, str) or not 1 <= len(given) <= LONGEST_FOLDER or "\0" in given:
        raise ValueError(f"audit: not the path of a folder: {given!r}")
    return Path(given)


def parse_line(given: Any) -> FleetLink | None:
    """The optional table `fleet`; without one nothing of the line is even imported."""
    if given is None:
        return None
    if not isinstance(given, dict):
        raise ValueError("fleet: not a table")
    if unknown := sorted(given.keys() - FLEET_NAMES):
        raise ValueError(f"fleet: unknown name {unknown[0]!r}")
    name, seeds, path = given.get("name"), given.get("seeds", []), given.get("secret")
    if not isinstance(name, str) or not 1 <= len(name) <= LONGEST_FLEET:
        raise ValueError(f"fleet: name can't be {name!r}")
    if not isinstance(seeds, list) or len(seeds) > MOST_SEEDS:
        raise ValueError(f"fleet: seeds: not a list of at most {MOST_SEEDS} addresses")
    if not isinstance(path, str) or not path or "\0" in path:
        raise ValueError("fleet: secret: not the path of a file")
    try:
        with open(path, "rb") as file:
            secret = file.read(MOST_SECRET + 1).strip()
    except OSError as error:
        raise ValueError(f"fleet: secret: {path}: {error.strerror}") from error
    if not LEAST_SECRET <= len(secret) <= MOST_SECRET:
        raise ValueError(f"fleet: secret: {path}: not {LEAST_SECRET} to {MOST_SECRET} bytes")
    listen = parse_address(given.get("listen", ""))
    advertise = parse_address(given["advertise"]) if "advertise" in given else listen
    if not (listen[1] and advertise[1]):
        raise ValueError("fleet: listen and advertise: no port")
    shut_out = given.get("shut_out_s", SHUT_OUT_S)
    good = type(shut_out) in (int, float) and SHUT_OUT_RANGE[0] <= shut_out <= SHUT_OUT_RANGE[1]
    if not good and shut_out != 0:
        raise ValueError(f"fleet: shut_out_s can't be {shut_out!r}")
    found = tuple(parse_address(seed) for seed in seeds)
    return FleetLink(name, listen, advertise, found, secret, float(shut_out))


def digest_of(raw: dict[str, Any]) -> str:
    """Of what gateways of a fleet are told alike: without names, addresses, the seed and the list."""
    own = {"name", "listen", "operator", "discovery", "counter", "seed", "known", "state", "fleet", "audit"}
    settings = {key: value for key, value in raw["settings"].items() if key not in ("selfIndex", "az")}
    alike = {key: value for key, value in raw.items() if key not in own} | {"settings": settings}
    return hashlib.blake2b(json.dumps(alike, sort_keys=True).encode(), digest_size=8).hexdigest()


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
            audit=parse_audit(raw.get("audit")),
            line=parse_line(raw.get("fleet")),
            release=__version__,
            digest=digest_of(raw) if raw.get("fleet") or raw.get("audit") else "",
            known=raw.get("known") or {},
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{type(error).__name__}: {error}") from error


def load_config(path: str) -> Config:
    try:
        return parse_config(json.loads(Path(path).read_text()))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
