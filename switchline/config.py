"""The configuration: the JSON file named by `LB_CONFIG`, read at the start and at each SIGHUP.

`deploy/` has an example, and the README what each key means. `LB_STATE` and `LB_OPERATOR` go before the keys
`state` and `operator`.
"""

from __future__ import annotations

import hashlib
import json
import os
from dataclasses import dataclass, field, fields, replace
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

from switchline import __version__
from switchline.errors import StartError
from switchline.net.descriptors import Shares
from switchline.policy import interface as api
from switchline.settings import read_settings

Address = tuple[str, int]

MEGABYTE = 1024 * 1024
MAX_PORT = 65_535
MIN_SHARE_RATIO = 0.05  # of the descriptors, or of the clients' part; and as much is left to the rest
MAX_HANDSHAKES = 64  # under way to one backend
MAX_FLEET_NAME_LENGTH = 64
MAX_SEEDS = 64
DEFAULT_QUARANTINE_AFTER_S = 15.0
MIN_QUARANTINE_AFTER_S = 2.0
MAX_QUARANTINE_AFTER_S = 3_600.0
MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 4_096
MAX_FOLDER_LENGTH = 1_024
DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 64
DEFAULT_CONNECT_TIMEOUT_MS = 250
DEFAULT_KEEPALIVE_MS = 15_000
DEFAULT_MAX_OPEN = 10_000
STATE_VARIABLE = "LB_STATE"
OPERATOR_VARIABLE = "LB_OPERATOR"  # each process of an upgrade has an operators' address of its own

FLEET_KEYS = {"name", "listen", "advertise", "seeds", "secret", "shut_out_s"}
# Keys, and keys of the settings, in which gateways of one fleet may differ.
OWN_KEYS = {
    "name",
    "listen",
    "operator",
    "discovery",
    "counter",
    "seed",
    "known",
    "state",
    "fleet",
    "audit",
}
OWN_SETTINGS = {"selfIndex", "az"}


class ConfigError(StartError):
    """The configuration does not say what a gateway needs."""


class SettingError(ConfigError, ValueError):
    """A setting can't have its value."""


@dataclass(frozen=True)
class FleetConfig:
    """The table `fleet`: the gossip between gateways."""

    name: str  # its name: messages of others are dropped
    listen: Address
    advertise: Address  # where the others reach this one
    seeds: tuple[Address, ...]  # some that are likely there, asked at the start
    secret: bytes = field(repr=False)
    quarantine_after_s: float = DEFAULT_QUARANTINE_AFTER_S  # a list behind for so long: quarantine; 0: never


@dataclass(frozen=True)
class Config:
    """One reading of the configuration."""

    name: str
    listen: Address
    operator: Address | None  # where operators call; none: nowhere
    discovery: Address
    counter: Address | None
    seed: int
    descriptor_limit: int
    memory_bytes: int
    settings: api.Settings
    connect_timeout_ms: float
    keepalive_ms: float
    max_requests_in_flight: int  # requests at once
    descriptor_shares: Shares  # of the descriptors
    state_folder: Path | None  # the folder of the state on disk; none: nothing is persisted
    audit_folder: Path | None  # the folder of the audit's records; none: they are on no disk
    fleet: FleetConfig | None  # none: this gateway knows of no other
    release: str  # of the program
    digest: str  # of what gateways of a fleet have in common
    last_known_list: dict[str, Any]  # the list of backends as this gateway last had it, in discovery's form


def load_config(path: str) -> Config:
    """Read the file at `path`; raises ConfigError."""
    try:
        return parse_config(json.loads(Path(path).read_text()))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error


def parse_config(raw: dict[str, Any]) -> Config:
    """Check and convert the file's JSON; raises ConfigError."""
    try:
        return _convert(raw)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{type(error).__name__}: {error}") from error


def _convert(raw: dict[str, Any]) -> Config:
    settings = raw["settings"]
    caps = settings.get("caps") or {}
    limits = raw.get("limits") or {}
    operator = os.environ.get(OPERATOR_VARIABLE) or raw.get("operator")
    return Config(
        name=str(raw.get("name") or ""),
        listen=parse_address(raw["listen"]),
        operator=parse_address(operator) if operator else None,
        discovery=parse_address(raw["discovery"]),
        counter=parse_address(raw["counter"]) if raw.get("counter") else None,
        seed=int(str(raw.get("seed") or "0"), 16),
        descriptor_limit=int(limits.get("sockets") or DEFAULT_DESCRIPTORS),
        memory_bytes=int(limits.get("memory_mb") or DEFAULT_MEMORY_MB) * MEGABYTE,
        settings=replace(read_settings(settings), regions=parse_regions(raw.get("regions"))),
        connect_timeout_ms=float(caps.get("connectTimeout") or DEFAULT_CONNECT_TIMEOUT_MS),
        keepalive_ms=float(caps.get("keepalive") or DEFAULT_KEEPALIVE_MS),
        max_requests_in_flight=int(caps.get("maxOpen") or DEFAULT_MAX_OPEN),
        descriptor_shares=parse_shares(raw.get("connections")),
        state_folder=parse_state(raw.get("state")),
        audit_folder=parse_audit(raw.get("audit")),
        fleet=parse_fleet(raw.get("fleet")),
        release=__version__,
        digest=digest_of(raw) if raw.get("fleet") or raw.get("audit") else "",
        last_known_list=raw.get("known") or {},
    )


def digest_of(raw: dict[str, Any]) -> str:
    """Of what gateways of a fleet have in common: without names, addresses, the seed and the list."""
    settings = {key: value for key, value in raw["settings"].items() if key not in OWN_SETTINGS}
    common = {key: value for key, value in raw.items() if key not in OWN_KEYS} | {"settings": settings}
    return hashlib.blake2b(json.dumps(common, sort_keys=True).encode(), digest_size=8).hexdigest()


def parse_address(text: str) -> Address:
    """A numeric address: a name would have to be looked up, and there is no DNS. Raises ValueError."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise SettingError(f"not an address: {text!r}")
    return str(IPv4Address(host)), int(port)


def parse_shares(given: Any) -> Shares:
    """The optional table `connections`; what it does not name keeps its default. Raises SettingError."""
    if given is None:
        return Shares()
    if not isinstance(given, dict):
        raise SettingError("connections: not a table")
    names = {one.name for one in fields(Shares)}
    if unknown := sorted(given.keys() - names):
        raise SettingError(f"connections: unknown name {unknown[0]!r}")
    for name, value in given.items():
        if not _is_share(name, value):
            raise SettingError(f"connections: {name} can't be {value!r}")
    shares = Shares(**given)
    if shares.clients + shares.backends > 1 - MIN_SHARE_RATIO:
        raise SettingError("connections: clients and backends leave too little for the rest")
    return shares


def _is_share(name: str, value: Any) -> bool:
    if name == "connects":
        return type(value) is int and 1 <= value <= MAX_HANDSHAKES
    return type(value) in (int, float) and MIN_SHARE_RATIO <= value <= 1 - MIN_SHARE_RATIO


def parse_regions(given: Any) -> tuple[tuple[str, str], ...]:
    """The optional table `regions`, region to zones, as pairs of zone and region. Raises SettingError."""
    if given is None:
        return ()
    if not isinstance(given, dict):
        raise SettingError("regions: not a table")
    regions: dict[str, str] = {}
    for region, zones in given.items():
        if not isinstance(zones, list) or not all(isinstance(zone, str) and zone for zone in zones):
            raise SettingError(f"regions: {region!r} is no list of zones")
        for zone in zones:
            if zone in regions:
                raise SettingError(f"regions: zone {zone!r} is named twice")
            regions[zone] = region
    return tuple(regions.items())


def parse_state(given: Any) -> Path | None:
    """The optional folder `state`; without one nothing is persisted. Raises SettingError."""
    if given is not None and not isinstance(given, str):
        raise SettingError(f"state: not a string: {given!r}")
    if "\0" in (given or ""):
        raise SettingError("state: no folder has such a name")
    folder = os.environ.get(STATE_VARIABLE) or given
    return Path(folder) if folder else None


def parse_audit(given: Any) -> Path | None:
    """The optional folder `audit`. Raises SettingError."""
    if given is None:
        return None
    if not isinstance(given, str) or not 1 <= len(given) <= MAX_FOLDER_LENGTH or "\0" in given:
        raise SettingError(f"audit: not the path of a folder: {given!r}")
    return Path(given)


def parse_fleet(given: Any) -> FleetConfig | None:
    """The optional table `fleet`; without one nothing of the gossip is imported. Raises SettingError."""
    if given is None:
        return None
    if not isinstance(given, dict):
        raise SettingError("fleet: not a table")
    if unknown := sorted(given.keys() - FLEET_KEYS):
        raise SettingError(f"fleet: unknown name {unknown[0]!r}")
    name, seeds = given.get("name"), given.get("seeds", [])
    if not isinstance(name, str) or not 1 <= len(name) <= MAX_FLEET_NAME_LENGTH:
        raise SettingError(f"fleet: name can't be {name!r}")
    if not isinstance(seeds, list) or len(seeds) > MAX_SEEDS:
        raise SettingError(f"fleet: seeds: not a list of at most {MAX_SEEDS} addresses")
    secret = _read_secret(given.get("secret"))
    listen = parse_address(given.get("listen", ""))
    advertise = parse_address(given["advertise"]) if "advertise" in given else listen
    if not (listen[1] and advertise[1]):
        raise SettingError("fleet: listen and advertise: no port")
    quarantine_after_s = _quarantine_after_s(given.get("shut_out_s", DEFAULT_QUARANTINE_AFTER_S))
    addresses = tuple(parse_address(seed) for seed in seeds)
    return FleetConfig(name, listen, advertise, addresses, secret, quarantine_after_s)


def _read_secret(path: Any) -> bytes:
    if not isinstance(path, str) or not path or "\0" in path:
        raise SettingError("fleet: secret: not the path of a file")
    try:
        with open(path, "rb") as file:
            secret = file.read(MAX_SECRET_BYTES + 1).strip()
    except OSError as error:
        raise SettingError(f"fleet: secret: {path}: {error.strerror}") from error
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        raise SettingError(f"fleet: secret: {path}: not {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes")
    return secret


def _quarantine_after_s(given: Any) -> float:
    is_number = type(given) in (int, float)
    in_range = is_number and MIN_QUARANTINE_AFTER_S <= given <= MAX_QUARANTINE_AFTER_S
    if not in_range and given != 0:
        raise SettingError(f"fleet: shut_out_s can't be {given!r}")
    return float(given)
