"""The configuration: the JSON file named by `LB_CONFIG`, read at the start and at each SIGHUP.

`deploy/` has an example, and the README explains each key. The environment variables `LB_STATE` and
`LB_OPERATOR` take precedence over the keys `state` and `operator`.
"""

from __future__ import annotations

import hashlib
import json
import os
import socket
from dataclasses import dataclass, field, fields, replace
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
# The smallest share of the descriptors, or of the clients' part of them, that can be configured. At least as
# large a share is left for all other uses.
MIN_SHARE_RATIO = 0.05
MAX_HANDSHAKES = 64  # connections to one backend that are being established at once
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

# Keys of the file's `fleet` table.
FLEET_KEYS = {"name", "listen", "advertise", "seeds", "secret", "shut_out_s"}
# Keys of the file whose values may differ between gateways of one fleet. `OWN_SETTINGS`: such keys of its
# `settings` table.
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
    """The configuration lacks a value that a gateway needs, or has a bad one."""


class SettingError(ConfigError, ValueError):
    """The value of a setting is not allowed."""


@dataclass(frozen=True)
class FleetConfig:
    """The table `fleet`: the gossip between gateways.

    Attributes:
        name: name of the fleet; messages of gateways of another fleet are dropped.
        listen: address on which this gateway listens for gossip.
        advertise: address at which the other gateways reach this one.
        seeds: addresses of gateways that are asked for the members at the start.
        secret: key with which gateways of the fleet authenticate their messages.
        quarantine_after_s: how long the endpoint list may be stale before this gateway is quarantined; 0 for
            no quarantine.
    """

    name: str
    listen: Address
    advertise: Address
    seeds: tuple[Address, ...]
    secret: bytes = field(repr=False)
    quarantine_after_s: float = DEFAULT_QUARANTINE_AFTER_S


@dataclass(frozen=True)
class Config:
    """The configuration as it was read from the file once.

    Attributes:
        name: name of this gateway.
        listen: address on which clients are served.
        operator: address on which operators' calls are served; None for no such address.
        discovery: address of the discovery agent.
        counter: address of the counter; None if there is none.
        seed: seed of the random numbers.
        descriptor_limit: how many file descriptors the process may use.
        memory_bytes: memory limit of the process, a share of which is used for buffers.
        settings: settings of the decisions.
        connect_timeout_ms: how long connecting to a backend may take.
        keepalive_ms: how long an idle connection to a backend is kept open.
        max_requests_in_flight: how many requests may be in flight at once.
        descriptor_shares: how the descriptors are divided.
        state_folder: folder of the stored state; None if nothing is stored.
        audit_folder: folder of the audit's segments; None if they are not stored.
        fleet: the gossip between gateways; None if the configuration has no `fleet`.
        release: release of this program.
        digest: digest of the keys that all gateways of a fleet share; empty without `fleet` and `audit`.
        last_known_list: endpoint list as this gateway last received it, in discovery's form.
    """

    name: str
    listen: Address
    operator: Address | None
    discovery: Address
    counter: Address | None
    seed: int
    descriptor_limit: int
    memory_bytes: int
    settings: api.Settings
    connect_timeout_ms: float
    keepalive_ms: float
    max_requests_in_flight: int
    descriptor_shares: Shares
    state_folder: Path | None
    audit_folder: Path | None
    fleet: FleetConfig | None
    release: str
    digest: str
    last_known_list: dict[str, Any]


def load_config(path: str) -> Config:
    """Read the configuration file at `path`.

    Raises:
        ConfigError: The file can't be read, or is not a valid configuration.
    """
    try:
        return parse_config(json.loads(Path(path).read_text()))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error


def parse_config(raw: dict[str, Any]) -> Config:
    """Check the decoded JSON of the file, and return it as a configuration.

    Raises:
        ConfigError: A key is missing, or its value is not allowed.
    """
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
    """Return the hexadecimal digest of the configuration that all gateways of a fleet share.

    Keys in which they may differ are left out: names, addresses, the seed, the endpoint list and the like.
    """
    settings = {key: value for key, value in raw["settings"].items() if key not in OWN_SETTINGS}
    common = {key: value for key, value in raw.items() if key not in OWN_KEYS} | {"settings": settings}
    return hashlib.blake2b(json.dumps(common, sort_keys=True).encode(), digest_size=8).hexdigest()


def parse_address(text: str) -> Address:
    """Parse a numeric IPv4 address with a port, `HOST:PORT`.

    Host names are not allowed: they would have to be looked up, and there is no DNS.

    Raises:
        ValueError: The text is not such an address.
    """
    host, colon, port = str(text).rpartition(":")
    if not colon or not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise SettingError(f"not an address of the form IPV4:PORT: {text!r}")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise SettingError(f"not a numeric IPv4 address: {host!r}") from error
    return host, int(port)


def parse_shares(table: Any) -> Shares:
    """Read the optional table `connections`; a key that it lacks has its default.

    Raises:
        SettingError: It is not a table, or has an unknown key or a value that is not allowed.
    """
    if table is None:
        return Shares()
    if not isinstance(table, dict):
        raise SettingError("connections: expected a table (JSON object)")
    names = {share_field.name for share_field in fields(Shares)}
    if unknown := sorted(table.keys() - names):
        raise SettingError(f"connections: unknown key {unknown[0]!r}")
    for name, value in table.items():
        if not _is_share(name, value):
            raise SettingError(f"connections: {name} can't be {value!r}")
    shares = Shares(**table)
    if shares.clients + shares.backends > 1 - MIN_SHARE_RATIO:
        raise SettingError(
            "connections: the shares of clients and backends leave too little for all other uses"
        )
    return shares


def _is_share(name: str, value: Any) -> bool:
    if name == "connects":
        return type(value) is int and 1 <= value <= MAX_HANDSHAKES
    return type(value) in (int, float) and MIN_SHARE_RATIO <= value <= 1 - MIN_SHARE_RATIO


def parse_regions(table: Any) -> tuple[tuple[str, str], ...]:
    """Read the optional table `regions`, which has lists of zones by region, as pairs of zone and region.

    Raises:
        SettingError: It is not a table of lists of zones, or names a zone twice.
    """
    if table is None:
        return ()
    if not isinstance(table, dict):
        raise SettingError("regions: expected a table (JSON object)")
    regions: dict[str, str] = {}
    for region, zones in table.items():
        if not isinstance(zones, list) or not all(isinstance(zone, str) and zone for zone in zones):
            raise SettingError(f"regions: {region!r} must be a list of names of zones")
        for zone in zones:
            if zone in regions:
                raise SettingError(f"regions: zone {zone!r} is named twice")
            regions[zone] = region
    return tuple(regions.items())


def parse_state(folder_name: Any) -> Path | None:
    """Read the optional folder `state`; without one no state is stored.

    Raises:
        SettingError: It is not the name of a folder.
    """
    if folder_name is not None and not isinstance(folder_name, str):
        raise SettingError(f"state: not a string: {folder_name!r}")
    if "\0" in (folder_name or ""):
        raise SettingError("state: the name of a folder can't contain a null character")
    folder = os.environ.get(STATE_VARIABLE) or folder_name
    return Path(folder) if folder else None


def parse_audit(folder_name: Any) -> Path | None:
    """Read the optional folder `audit`; without one the audit's records are not stored.

    Raises:
        SettingError: It is not the path of a folder.
    """
    if folder_name is None:
        return None
    if (
        not isinstance(folder_name, str)
        or not 1 <= len(folder_name) <= MAX_FOLDER_LENGTH
        or "\0" in folder_name
    ):
        raise SettingError(f"audit: not the path of a folder: {folder_name!r}")
    return Path(folder_name)


def parse_fleet(table: Any) -> FleetConfig | None:
    """Read the optional table `fleet`; without one the modules of gossip are not imported.

    Raises:
        SettingError: It is not a table, has an unknown key or a value that is not allowed, or the file of its
            secret can't be read.
    """
    if table is None:
        return None
    if not isinstance(table, dict):
        raise SettingError("fleet: expected a table (JSON object)")
    if unknown := sorted(table.keys() - FLEET_KEYS):
        raise SettingError(f"fleet: unknown key {unknown[0]!r}")
    name, seeds = table.get("name"), table.get("seeds", [])
    if not isinstance(name, str) or not 1 <= len(name) <= MAX_FLEET_NAME_LENGTH:
        raise SettingError(f"fleet: name can't be {name!r}")
    if not isinstance(seeds, list) or len(seeds) > MAX_SEEDS:
        raise SettingError(f"fleet: seeds: not a list of at most {MAX_SEEDS} addresses")
    secret = _read_secret(table.get("secret"))
    listen = parse_address(table.get("listen", ""))
    advertise = parse_address(table["advertise"]) if "advertise" in table else listen
    if not (listen[1] and advertise[1]):
        raise SettingError("fleet: the addresses listen and advertise need a port other than 0")
    quarantine_after_s = _quarantine_after_s(table.get("shut_out_s", DEFAULT_QUARANTINE_AFTER_S))
    addresses = tuple(parse_address(seed) for seed in seeds)
    return FleetConfig(name, listen, advertise, addresses, secret, quarantine_after_s)


def _read_secret(path: Any) -> bytes:
    if not isinstance(path, str) or not path or "\0" in path:
        raise SettingError("fleet: secret: expected the path of a file")
    try:
        with open(path, "rb") as file:
            secret = file.read(MAX_SECRET_BYTES + 1).strip()
    except OSError as error:
        raise SettingError(f"fleet: secret: {path}: {error.strerror}") from error
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        raise SettingError(
            f"fleet: secret: {path}: the file must have {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes"
        )
    return secret


def _quarantine_after_s(seconds: Any) -> float:
    is_number = type(seconds) in (int, float)
    in_range = is_number and MIN_QUARANTINE_AFTER_S <= seconds <= MAX_QUARANTINE_AFTER_S
    if not in_range and seconds != 0:
        raise SettingError(f"fleet: shut_out_s can't be {seconds!r}")
    return float(seconds)
