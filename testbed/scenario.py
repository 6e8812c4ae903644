"""Scenarios: TOML files that are checked in full before a play starts, and their timetables.

A scenario defines the fleet, its load and faults with their times. All random choices before a play (which
customer sends which request to which gateway, and when) are drawn here from the seed, so two plays of one
seed have the same timetable and the same digest.
"""

from __future__ import annotations

import errno
import hashlib
import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec
import numpy as np

from testbed import settings
from testbed.machine import DISK_ERRORS, LOOP_ERRORS, SOCKET_ERRORS, MachineFaults, failing

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"
MAX_GATEWAYS, MAX_BACKENDS, MAX_RATE_PER_S, MAX_DURATION_S = 400, 400, 2_000.0, 3_600.0
# A client's delays before its second and third try, and the number of its tries.
RETRY_BACKOFF_MS, MAX_TRIES = (200.0, 400.0), 3

Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
Names = Annotated[list[str], msgspec.Meta(min_length=1)]
DiskState = Annotated[str, msgspec.Meta(pattern="^(kept|lost|old|cut)$")]


class ScenarioError(Exception):
    """A scenario can't be played. The message names the file, the key and what was expected."""


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of all tables of a scenario: an unknown key is an error."""


class Fleet(Strict):
    gateways: Annotated[int, msgspec.Meta(ge=1, le=MAX_GATEWAYS)]
    zones: Names = msgspec.field(default_factory=lambda: ["a"])
    # Each gateway has a folder for its state.
    state: bool = False
    # Each gateway has a folder for its audit.
    audit: bool = False
    # The gateways exchange gossip.
    line: bool = False
    # Key `shut_out_s` of the gateways' `fleet` table; None: the gateways' default.
    shut_out_s: float | None = None
    # Number of gateways, the first ones, that are listed as seeds of the gossip.
    seeds: Annotated[int, msgspec.Meta(ge=0, le=64)] = 3
    memory_mb: Annotated[int, msgspec.Meta(ge=16, le=1024)] = 192
    sockets: Annotated[int, msgspec.Meta(ge=128, le=65_536)] = 1024
    # Value of `prices.crossZone` in the gateways' settings.
    cross_price: Ratio = 0.0
    # Time for each gateway to be ready after its start.
    ready_s: Seconds = 60.0
    # Time between readiness of all gateways and the start of the load.
    settle_s: Seconds = 0.0
    regions: dict[str, list[str]] = {}
    # Further tables of each gateway's configuration.
    extra: dict[str, Any] = {}
    # By gateway: alterations of its program (testbed/launch.py).
    altered: dict[str, list[str]] = {}
    # By gateway: offset of its wall clock at its start.
    clock_s: dict[str, float] = {}


class Backends(Strict):
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_BACKENDS)]
    cores: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    # Milliseconds of work that one core does in a millisecond.
    speed: Positive = 1.0
    queue: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 64
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 2_000
    # Number of racks in each zone.
    racks: Annotated[int, msgspec.Meta(ge=1, le=100)] = 2
    # Share of its capacity that a backend has at a cold start; it rises to 1 within `warm_s`.
    start_capacity: Ratio = 0.19
    # By backend: the rule that it breaks on purpose (repeats, value).
    breaks: dict[str, str] = {}
    warm_s: Seconds = 16.0


class CounterSettings(Strict):
    # Calls that the counter handles in a second, one after another.
    per_s: Positive = 500.0
    # Delay of an answer after its call was handled.
    call_ms: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1.0
    # Calls that may wait; further ones are rejected.
    queue: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 200


class Load(Strict):
    # First tries per second of all clients.
    rate: Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_S)]
    customers: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 60
    # Number of gateways that one customer uses.
    spread: Annotated[int, msgspec.Meta(ge=1, le=64)] = 3
    # Factor on the classes' mean work.
    work: Positive = 1.0
    retries: bool = True
    # Time until the front of the gateways notices that one has ended.
    notice_s: Seconds = 2.0
    ping_s: Annotated[float, msgspec.Meta(ge=0.02, le=60)] = 0.2


class Fault(Strict, tag_field="kind"):
    at_s: Seconds


class Kill(Fault, tag="kill"):
    """Kills gateways with SIGKILL. If `back_s` is given, they start again after it, `spacing_s` apart."""

    gateways: Names
    # Share of the named gateways that is killed; the seed decides which.
    part: Ratio = 1.0
    back_s: Seconds | None = None
    spacing_s: Seconds = 0.0
    order: Annotated[str, msgspec.Meta(pattern="^(given|reversed|chance)$")] = "given"


class Term(Fault, tag="term"):
    """Ends gateways with SIGTERM. If `back_s` is given, they start again after it."""

    gateways: Names
    back_s: Seconds | None = None
    # Time from SIGTERM to SIGKILL.
    patience_s: Seconds = 5.0


class Upgrade(Fault, tag="upgrade"):
    """Starts a new process beside the running one, on the same listening socket; it takes over.

    `undone_s`: the new process is killed this long after its start, before the upgrade is complete.
    """

    gateways: Names
    undone_s: Seconds | None = None


class Stop(Fault, tag="stop"):
    """Sends SIGSTOP, and SIGCONT after `for_s`.

    Up to `until_s`, this is repeated every `every_s`, each time with newly drawn gateways.
    """

    gateways: Names
    for_s: Seconds
    # Share of the named gateways that is stopped; at least one gateway.
    part: Ratio = 1.0
    every_s: Annotated[float, msgspec.Meta(ge=0.1, le=600)] = 5.0
    until_s: Seconds = 0.0


class Hup(Fault, tag="hup"):
    """Writes a configuration file with top-level keys changed or removed, and sends SIGHUP."""

    gateways: Names
    change: dict[str, Any] = {}
    remove: list[str] = []
    # Keys that an earlier fault changed or removed, and that get their original values again.
    restore: list[str] = []
    # Content of the whole file, in place of a valid configuration.
    text: str | None = None


class Clock(Fault, tag="clock"):
    """Steps the wall clock of gateways, for the running process and later ones."""

    gateways: Names
    step_s: Annotated[float, msgspec.Meta(ge=-1e6, le=1e6)]


class Calls(Fault, tag="calls"):
    """System calls of gateways fail at random, and some reads and writes transfer only one byte."""

    gateways: Names
    for_s: Seconds
    chance: Ratio
    # Names of errors by system call; empty: all of SOCKET_ERRORS in testbed/machine.py.
    errors: dict[str, list[str]] = {}
    # Probability that a read or write transfers only one byte.
    short: Ratio = 0.0
    # The fault is active also before the load begins.
    from_start: bool = False

    def machine_faults(self) -> MachineFaults:
        errors = {call: tuple(names) for call, names in self.errors.items()} or SOCKET_ERRORS
        return MachineFaults(calls=failing(errors, self.chance), short_chance=self.short)


class DiskFault(Fault, tag="disk"):
    """System calls on files in the state folder fail at random."""

    gateways: Names
    for_s: Seconds
    chance: Ratio
    # Names of errors by system call; empty: all of DISK_ERRORS in testbed/machine.py.
    errors: dict[str, list[str]] = {}

    def machine_faults(self) -> MachineFaults:
        errors = {call: tuple(names) for call, names in self.errors.items()} or DISK_ERRORS
        return MachineFaults(calls=failing(errors, self.chance, on_disk=True))


class Power(Fault, tag="power"):
    """Gateways and backends lose power.

    They are killed, $TMPDIR is emptied, and the state folders are as `disks` says.
    """

    gateways: list[str] = []
    backends: list[str] = []
    # Time until the gateways start again.
    back_s: Seconds = 1.0
    backends_back_s: Seconds = 1.0
    spacing_s: Seconds = 0.0
    order: Annotated[str, msgspec.Meta(pattern="^(given|reversed|chance)$")] = "given"
    # By gateway: state of its disk afterwards; `kept` for a gateway that is not named.
    disks: dict[str, DiskState] = {}
    # Time of the copy that a disk in state `old` is restored from.
    old_from_s: Seconds = 0.0
    # Bytes that a disk in state `cut` loses at the end of the file that was written last.
    cut_bytes: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 512
    # Time from the gateways' restart during which their agents stay silent.
    discovery_late_s: Seconds = 0.0


class Link(Fault, tag="link"):
    """Disturbs the paths between two groups for `for_s`."""

    between: Names
    and_: Names = msgspec.field(name="and")
    for_s: Seconds
    # Only the direction from `between` to `and` is affected.
    one_way: bool = False
    delay_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 0.0
    jitter_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 0.0
    loss: Ratio = 0.0
    duplicate: Ratio = 0.0
    reorder: Ratio = 0.0
    # Open connections stay silent, and new ones are never established.
    cut: bool = False
    # New connections are established, but all stay silent.
    stall: bool = False
    # Open connections are reset, and new ones are refused.
    refuse: bool = False
    # Open connections are reset at the beginning of the fault.
    reset: bool = False


class BackendFault(Fault, tag="backend"):
    """Makes backends faulty, or changes their entries in discovery.

    `die`: the process ends and connections are refused; `restart`: it ends and starts cold at once; `pause`:
    it stops working; `slow`: its speed changes by `factor`; `gone`: its machine becomes unreachable; `drain`
    and `remove`: discovery lists it so, and at the end of the fault it starts cold; `add`: it starts cold.
    """

    backends: Names
    what: Annotated[str, msgspec.Meta(pattern="^(die|restart|pause|slow|gone|drain|remove|add)$")]
    # Time until the fault ends; a backend that had ended or vanished then starts cold.
    for_s: Seconds | None = None
    # Factor on the speed, for `slow`.
    factor: Positive = 1.0
    # Discovery is notified of the restart.
    told: bool = True


class AgentFault(Fault, tag="agent"):
    """Makes the discovery agents of gateways faulty for `for_s`.

    `late`: changes reach the agent after `late_s`; `silent`: it accepts requests and sends nothing; `old`: it
    receives no changes until the fault ends; `empty`: it sends an empty list; `broken`: the connections of
    its watches are reset once.
    """

    gateways: Names
    what: Annotated[str, msgspec.Meta(pattern="^(late|silent|old|empty|broken)$")]
    for_s: Seconds
    late_s: Seconds = 1.0


class CounterFault(Fault, tag="counter"):
    """Makes the counter faulty for `for_s`.

    `silent`: it neither answers calls nor counts their units; `empty`: it loses all sums at once; `slow`:
    each call takes `factor` times as long; `busy`: it rejects all calls; `refuse`: connections to it are
    reset and refused.
    """

    what: Annotated[str, msgspec.Meta(pattern="^(silent|empty|slow|busy|refuse)$")]
    for_s: Seconds = 0.0
    factor: Positive = 4.0


OPERATOR_CALL_PATTERN = (
    "^((backends|zones)/(down|up)|drain/(start|stop)|fleet/(spare|unspare|floor|unfloor))$"
)


class OperatorCall(Fault, tag="operators"):
    """Makes operators' calls at gateways: disable or enable a backend or zone, drain, and others."""

    gateways: Names
    call: Annotated[
        str,
        msgspec.Meta(pattern=OPERATOR_CALL_PATTERN),
    ]
    id: str = ""
    # The call is for all gateways: only the named ones are called, and they publish it to the rest.
    fleet: bool = False


class View(Fault, tag="view"):
    """Not a fault: records the answers to `GET /ops/fleet` of gateways, every `every_s` for `for_s`."""

    gateways: Names
    for_s: Seconds = 0.0
    every_s: Annotated[float, msgspec.Meta(ge=0.05, le=60)] = 0.25


AnyFault = (
    Kill
    | Term
    | Upgrade
    | Stop
    | Hup
    | Clock
    | Calls
    | DiskFault
    | Power
    | Link
    | BackendFault
    | AgentFault
    | CounterFault
    | OperatorCall
    | View
)


class Expect(Strict):
    """Requirements on a play in addition to the rules: bounds of figures, by their names in the result."""

    at_least: dict[str, float] = {}
    at_most: dict[str, float] = {}
    # Rules that the program breaks in this scenario: their breaches are still reported and still exit with 1.
    breaks: list[str] = []


class Scenario(Strict):
    name: Annotated[str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9-]{0,40}$")]
    about: str
    # Duration of the load.
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]
    fleet: Fleet
    backends: Backends
    load: Load
    counter: CounterSettings = msgspec.field(default_factory=CounterSettings)
    # Delay of discovery's changes on the way to an agent.
    agent_late_s: Seconds = 0.05
    faults: list[AnyFault] = []
    expect: Expect = msgspec.field(default_factory=Expect)
    # Tolerance that the judge adds to every time limit, for the delay of sockets.
    slack_s: Seconds = 0.05
    # The play is void if the 99th percentile of the test bed's own lateness is higher.
    late_ms: Positive = 50.0
    # The play is void if the test bed's highest lateness is higher.
    stall_ms: Positive = 1000.0

    @property
    def gateway_names(self) -> list[str]:
        return [f"g{i}" for i in range(self.fleet.gateways)]

    @property
    def backend_names(self) -> list[str]:
        return [f"b{i}" for i in range(self.backends.count)]

    def zone_of(self, index: int) -> str:
        """Zone of the gateway or backend with this index: zones are assigned in turn."""
        return self.fleet.zones[index % len(self.fleet.zones)]

    def select(self, kind: str, words: list[str]) -> list[str]:
        """The gateways or backends that names, zone:NAME and `*` select, in their order.

        Raises ScenarioError for an unknown word.
        """
        names = self.gateway_names if kind == "gateways" else self.backend_names
        selected: dict[str, None] = {}
        for word in words:
            if word == "*":
                selected |= dict.fromkeys(names)
            elif word.startswith("zone:") and word[5:] in self.fleet.zones:
                selected |= {n: None for i, n in enumerate(names) if self.zone_of(i) == word[5:]}
            elif word in names:
                selected[word] = None
            else:
                last = names[-1]
                raise ScenarioError(f"{kind}: expected {names[0]} to {last}, zone:NAME or *, got {word!r}")
        return list(selected)

    @property
    def vanishing_backends(self) -> list[list[str]]:
        """By fault: the words that select backends which vanish."""
        by_power_loss = [fault.backends for fault in self.faults if isinstance(fault, Power)]
        backend_faults = (fault for fault in self.faults if isinstance(fault, BackendFault))
        return by_power_loss + [fault.backends for fault in backend_faults if fault.what == "gone"]

    def gateways_named_by(self, *kinds: type[Clock | Calls | DiskFault | Upgrade]) -> set[str]:
        """The gateways that are named by faults of some kinds."""
        names: set[str] = set()
        for fault in self.faults:
            if isinstance(fault, kinds):
                names.update(self.select("gateways", fault.gateways))
        return names

    @property
    def gateways_on_faulty_machines(self) -> set[str]:
        """The gateways whose system calls, disks or clocks are faulty in the play."""
        return self.gateways_named_by(Clock, Calls, DiskFault)

    @property
    def upgraded_gateways(self) -> set[str]:
        """The gateways that are upgraded in the play."""
        return self.gateways_named_by(Upgrade)

    def link_ends(self, words: list[str]) -> set[str]:
        """The ends of links that words select: gateways, backends, b2, zone:a, counter, agents, clients.

        Raises ScenarioError for an unknown word.
        """
        names: set[str] = set()
        for word in words:
            if word in ("counter", "agents", "clients"):
                names.add(word)
            elif word == "gateways":
                names |= set(self.gateway_names)
            elif word == "backends":
                names |= set(self.backend_names)
            elif word.startswith("zone:"):
                names |= {*self.select("gateways", [word]), *self.select("backends", [word])}
            elif word in self.gateway_names or word in self.backend_names:
                names.add(word)
            else:
                expected = "gateways, backends, counter, agents, clients, a name or zone:NAME"
                raise ScenarioError(f"expected {expected}, got {word!r}")
        return names


class Arrival(msgspec.Struct, frozen=True, array_like=True):
    """The first try of one request. `at_s`: seconds from the start of the load."""

    at_s: float
    customer: int
    class_index: int
    units: int
    # Index of the gateway among those of the customer.
    gateway_turn: int
    deadline_ms: int
    work_ms: float


class Timetable(msgspec.Struct, frozen=True):
    """All random choices of a play, and a digest of the scenario, the seed and these choices."""

    arrivals: list[Arrival]
    # By number of a kill or power fault: its gateways, in the order of their restart.
    targets: dict[int, list[str]]
    digest: str


def load(path: Path) -> Scenario:
    """Read and check a scenario. Raises ScenarioError with the file, the key and what was expected."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise ScenarioError(f"{path}: can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: not TOML: {error}") from error
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {error}") from error
    for number, fault in enumerate(scenario.faults):
        try:
            check_fault(scenario, fault)
        except ScenarioError as error:
            raise ScenarioError(f"{path}: $.faults[{number}].{error}") from error
    for table, names in (("altered", scenario.fleet.altered), ("clock_s", scenario.fleet.clock_s)):
        if unknown := sorted(set(names) - set(scenario.gateway_names)):
            raise ScenarioError(f"{path}: $.fleet.{table}: no gateway {unknown[0]!r}")
    return scenario


def check_fault(scenario: Scenario, fault: AnyFault) -> None:
    """Check the names in a fault, and that it begins and ends within the play. Raises ScenarioError."""
    last = f"duration_s ({scenario.duration_s:g})"
    if fault.at_s > scenario.duration_s:
        raise ScenarioError(f"at_s: expected at most {last}, got {fault.at_s:g}")
    for_s = getattr(fault, "for_s", None)
    if for_s is not None and fault.at_s + for_s > scenario.duration_s:
        raise ScenarioError(f"for_s: expected an end before {last}, got {fault.at_s + for_s:g}")
    if isinstance(fault, Stop) and fault.until_s > scenario.duration_s:
        raise ScenarioError(f"until_s: expected at most {last}, got {fault.until_s:g}")
    for kind in ("gateways", "backends"):
        if words := getattr(fault, kind, None):
            scenario.select(kind, words)
    if isinstance(fault, Link):
        for key, words in (("between", fault.between), ("and", fault.and_)):
            try:
                scenario.link_ends(words)
            except ScenarioError as error:
                raise ScenarioError(f"{key}: {error}") from error
    if isinstance(fault, Power):
        if unknown := sorted(set(fault.disks) - set(scenario.gateway_names)):
            raise ScenarioError(f"disks: expected names of gateways, got {unknown[0]!r}")
        if "old" in fault.disks.values() and fault.old_from_s > fault.at_s:
            at = f"at_s ({fault.at_s:g})"
            raise ScenarioError(f"old_from_s: expected at most {at}, got {fault.old_from_s:g}")
        if fault.disks and not scenario.fleet.state:
            raise ScenarioError("disks: expected fleet.state = true")
    if isinstance(fault, Calls | DiskFault):
        known_errors = DISK_ERRORS if isinstance(fault, DiskFault) else SOCKET_ERRORS | LOOP_ERRORS
        for call, names in fault.errors.items():
            if call not in known_errors:
                raise ScenarioError(f"errors: expected a call of {', '.join(known_errors)}, got {call!r}")
            if unknown := [name for name in names if not hasattr(errno, name)]:
                raise ScenarioError(f"errors.{call}: expected names of errors, got {unknown[0]!r}")
    if isinstance(fault, OperatorCall):
        if fault.call.startswith("backends/") and fault.id not in scenario.backend_names:
            raise ScenarioError(f"id: expected a backend's name, got {fault.id!r}")
        if fault.call.startswith("zones/") and fault.id not in scenario.fleet.zones:
            raise ScenarioError(f"id: expected a zone, got {fault.id!r}")


def customers(scenario: Scenario, seed: int) -> list[tuple[str, int, int]]:
    """By customer: its plan, the index of its first gateway, and the number of its gateways."""
    chance = np.random.default_rng([seed, 1])
    names, shares = list(settings.PLAN_SHARES), list(settings.PLAN_SHARES.values())
    plans = chance.choice(len(names), size=scenario.load.customers, p=shares)
    firsts = chance.integers(0, scenario.fleet.gateways, size=scenario.load.customers)
    spread = min(scenario.load.spread, scenario.fleet.gateways)
    return [(names[plan], int(first), spread) for plan, first in zip(plans, firsts, strict=True)]


def timetable(scenario: Scenario, seed: int) -> Timetable:
    """Draw all random choices of a play. Equal for equal scenarios and seeds, on any machine."""
    chance = np.random.default_rng([seed, 2])
    count = int(chance.poisson(scenario.load.rate * scenario.duration_s)) if scenario.load.rate else 0
    times = np.sort(chance.uniform(0, scenario.duration_s, size=count))
    rates = {plan["name"]: float(plan["rate"]) for plan in settings.PLANS}
    weights = np.array([rates[plan] for plan, _, _ in customers(scenario, seed)])
    weights = weights * chance.lognormal(0.0, 0.7, size=len(weights))  # a few customers send most requests
    customer_indices = chance.choice(len(weights), size=count, p=weights / weights.sum())
    shares = list(settings.CLASS_SHARES.values())
    class_indices = chance.choice(len(shares), size=count, p=shares)
    units = 1 + chance.binomial(settings.MAX_UNITS - 1, 0.2, size=count)
    turns = chance.integers(0, max(1, scenario.load.spread), size=count)
    deadline_factors = chance.uniform(0.5, 1.0, size=count)
    work_factors = chance.gamma(4.0, 0.25, size=count)
    arrivals = []
    for row in zip(
        times, customer_indices, class_indices, units, turns, deadline_factors, work_factors, strict=True
    ):
        at_s, customer, class_index, unit_count, turn, deadline_factor, work_factor = row
        request_class = settings.CLASSES[class_index]
        work_ms = settings.WORK_MS[request_class["name"]] * scenario.load.work * work_factor
        arrivals.append(
            Arrival(
                round(float(at_s), 6),
                int(customer),
                int(class_index),
                int(unit_count),
                int(turn),
                int(request_class["deadline"] * deadline_factor),
                round(float(work_ms), 3),
            )
        )
    targets = {}
    for number, fault in enumerate(scenario.faults):
        if isinstance(fault, Kill | Power):
            affected = scenario.select("gateways", fault.gateways) if fault.gateways else []
            if isinstance(fault, Kill) and fault.part < 1:
                affected = sorted(
                    chance.choice(affected, size=round(len(affected) * fault.part), replace=False).tolist(),
                    key=scenario.gateway_names.index,
                )
            if fault.order == "reversed":
                affected.reverse()
            elif fault.order == "chance":
                affected = [affected[i] for i in chance.permutation(len(affected))]
            targets[number] = affected
    content = msgspec.json.encode([msgspec.to_builtins(scenario), seed, arrivals, sorted(targets.items())])
    return Timetable(arrivals, targets, hashlib.blake2b(content, digest_size=16).hexdigest())


def shipped() -> list[Path]:
    """Paths of the scenarios that come with the test bed."""
    return sorted(SCENARIO_FOLDER.glob("*.toml"))


def find(name: str) -> Path:
    """Path of the scenario with the name of a shipped one or the path of a file. Raises ScenarioError."""
    path = SCENARIO_FOLDER / f"{name}.toml"
    if path in shipped():
        return path
    if Path(name).is_file():
        return Path(name)
    names = ", ".join(p.stem for p in shipped())
    raise ScenarioError(f"{name}: expected a file or one of {names}")
