"""Scenarios: TOML files, checked whole before anything starts, and the timetable that a seed makes of one.

A scenario names the fleet, its load and faults at times. All that chance decides beforehand (who asks what of
whom and when) is drawn here from the seed, so two plays of one seed have the same timetable and one digest.
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

FOLDER = Path(__file__).parent / "scenarios"
MOST_GATEWAYS, MOST_BACKENDS, MOST_RATE, MOST_S = 400, 400, 2_000.0, 3_600.0
BACK_OFF_MS, TRIES = (200.0, 400.0), 3  # of a client: waits before its second and third try, and tries

Second = Annotated[float, msgspec.Meta(ge=0, le=MOST_S)]
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
Names = Annotated[list[str], msgspec.Meta(min_length=1)]
Disk = Annotated[str, msgspec.Meta(pattern="^(kept|lost|old|cut)$")]


class ScenarioError(Exception):
    """A scenario can't be played; says the file, the key and what was expected."""


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Unknown keys are mistakes."""


class Fleet(Strict):
    gateways: Annotated[int, msgspec.Meta(ge=1, le=MOST_GATEWAYS)]
    zones: Names = msgspec.field(default_factory=lambda: ["a"])
    state: bool = False  # each gateway has a folder for its state
    audit: bool = False  # and one for its audit
    line: bool = False  # the gateways have a line between them
    shut_out_s: float | None = None  # of that line's table; None: its default
    seeds: Annotated[int, msgspec.Meta(ge=0, le=64)] = 3  # the first gateways, of the line
    memory_mb: Annotated[int, msgspec.Meta(ge=16, le=1024)] = 192
    sockets: Annotated[int, msgspec.Meta(ge=128, le=65_536)] = 1024
    cross_price: Part = 0.0
    ready_s: Second = 60.0  # for all gateways to be ready before the load begins
    settle_s: Second = 0.0  # after that
    regions: dict[str, list[str]] = {}
    extra: dict[str, Any] = {}  # further tables of each gateway's configuration
    altered: dict[str, list[str]] = {}  # gateway: what is altered in its program (testbed/launch.py)
    clock_s: dict[str, float] = {}  # gateway: how far its wall clock is off at its start


class Backends(Strict):
    count: Annotated[int, msgspec.Meta(ge=1, le=MOST_BACKENDS)]
    cores: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    speed: Positive = 1.0
    queue: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 64
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 2_000
    racks: Annotated[int, msgspec.Meta(ge=1, le=100)] = 2  # of each zone
    start_capacity: Part = 0.19
    breaks: dict[str, str] = {}  # backend: the rule that it is told to break (repeats, value)
    warm_s: Second = 16.0


class CounterGiven(Strict):
    per_s: Positive = 500.0
    call_ms: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1.0
    queue: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 200


class Load(Strict):
    rate: Annotated[float, msgspec.Meta(ge=0, le=MOST_RATE)]  # first tries a second, of all clients
    customers: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 60
    spread: Annotated[int, msgspec.Meta(ge=1, le=64)] = 3  # gateways of a customer's set
    work: Positive = 1.0  # times the classes' usual work
    retries: bool = True
    notice_s: Second = 2.0  # the front notices a death so late
    ping_s: Annotated[float, msgspec.Meta(ge=0.02, le=60)] = 0.2


class Fault(Strict, tag_field="kind"):
    at_s: Second


class Kill(Fault, tag="kill"):
    """SIGKILL; each starts again after `back_s`, if that is given, `spacing_s` one after another."""

    gateways: Names
    part: Part = 1.0  # of those named, by the seed's lot
    back_s: Second | None = None
    spacing_s: Second = 0.0
    order: Annotated[str, msgspec.Meta(pattern="^(given|reversed|chance)$")] = "given"


class Term(Fault, tag="term"):
    gateways: Names
    back_s: Second | None = None
    patience_s: Second = 5.0  # then SIGKILL


class Upgrade(Fault, tag="upgrade"):
    """A new process beside the one that runs, on the platform's socket; it takes over, and the old one ends.

    `undone_s`: the new one is killed so long after its start, an upgrade half done.
    """

    gateways: Names
    undone_s: Second | None = None


class Stop(Fault, tag="stop"):
    """SIGSTOP, and SIGCONT after `for_s`; with `until_s` again every `every_s`, each time by a new lot."""

    gateways: Names
    for_s: Second
    part: Part = 1.0  # of those named, at least one
    every_s: Annotated[float, msgspec.Meta(ge=0.1, le=600)] = 5.0
    until_s: Second = 0.0


class Hup(Fault, tag="hup"):
    """A new configuration file, with these top-level keys changed or removed, and SIGHUP."""

    gateways: Names
    change: dict[str, Any] = {}
    remove: list[str] = []
    restore: list[str] = []  # keys that were changed or removed before: as the platform gave them
    text: str | None = None  # in place of a whole file: what it holds


class Clock(Fault, tag="clock"):
    """Steps the wall clock of gateways, of the process that runs and of those after it."""

    gateways: Names
    step_s: Annotated[float, msgspec.Meta(ge=-1e6, le=1e6)]


class Calls(Fault, tag="calls"):
    """System calls of gateways fail by chance, and some reads and writes move one byte alone."""

    gateways: Names
    for_s: Second
    chance: Part
    errors: dict[str, list[str]] = {}  # by call; none: all that testbed/machine.py lists
    short: Part = 0.0
    from_start: bool = False  # it strikes also before the load begins

    def machine_faults(self) -> MachineFaults:
        errors = {call: tuple(names) for call, names in self.errors.items()} or SOCKET_ERRORS
        return MachineFaults(calls=failing(errors, self.chance), short_chance=self.short)


class DiskFails(Fault, tag="disk"):
    """Calls on files in the folder of the state fail by chance."""

    gateways: Names
    for_s: Second
    chance: Part
    errors: dict[str, list[str]] = {}  # likewise

    def machine_faults(self) -> MachineFaults:
        errors = {call: tuple(names) for call, names in self.errors.items()} or DISK_ERRORS
        return MachineFaults(calls=failing(errors, self.chance, on_disk=True))


class Power(Fault, tag="power"):
    """Gateways and backends lose power: killed at once, $TMPDIR emptied, state folders as `disks` says."""

    gateways: list[str] = []
    backends: list[str] = []
    back_s: Second = 1.0  # gateways
    backends_back_s: Second = 1.0
    spacing_s: Second = 0.0
    order: Annotated[str, msgspec.Meta(pattern="^(given|reversed|chance)$")] = "given"
    disks: dict[str, Disk] = {}  # those not named: kept
    old_from_s: Second = 0.0  # `old`: the copy is of this moment
    cut_bytes: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 512  # `cut`: so much of the last file's end
    discovery_late_s: Second = 0.0  # agents are silent for so long from the gateways' return on


class Link(Fault, tag="link"):
    """What happens on the paths between two groups, for a while."""

    between: Names
    and_: Names = msgspec.field(name="and")
    for_s: Second
    one_way: bool = False  # only what goes from `between` to `and`
    delay_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 0.0
    jitter_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 0.0
    loss: Part = 0.0
    duplicate: Part = 0.0
    reorder: Part = 0.0
    cut: bool = False  # nothing is said: open connections are silent, new ones never come up
    stall: bool = False  # connections come up, and stay silent
    refuse: bool = False
    reset: bool = False  # open connections, at the beginning


class BackendDoes(Fault, tag="backend"):
    """`die`: its process ends (refused from then on); `restart`: it dies and is back cold at once."""

    backends: Names
    what: Annotated[str, msgspec.Meta(pattern="^(die|restart|pause|slow|gone|drain|remove|add)$")]
    for_s: Second | None = None  # then back, cold where it died or was gone
    factor: Positive = 1.0  # of its speed, for `slow`
    told: bool = True  # discovery learns of it


class AgentDoes(Fault, tag="agent"):
    gateways: Names
    what: Annotated[str, msgspec.Meta(pattern="^(late|silent|old|empty|broken)$")]
    for_s: Second
    late_s: Second = 1.0


class CounterDoes(Fault, tag="counter"):
    what: Annotated[str, msgspec.Meta(pattern="^(silent|empty|slow|busy|refuse)$")]
    for_s: Second = 0.0
    factor: Positive = 4.0


CALLS = "^((backends|zones)/(down|up)|drain/(start|stop)|fleet/(spare|unspare|floor|unfloor))$"


class Operators(Fault, tag="operators"):
    """Calls gateways' operator addresses: a backend or a zone out or back by hand, a drain."""

    gateways: Names
    call: Annotated[
        str,
        msgspec.Meta(pattern=CALLS),
    ]
    id: str = ""
    fleet: bool = False  # for all gateways: those named are called, and each tells the rest


class View(Fault, tag="view"):
    """No fault: asks gateways what they know of the fleet (`GET /ops/fleet`), every `every_s` for `for_s`."""

    gateways: Names
    for_s: Second = 0.0
    every_s: Annotated[float, msgspec.Meta(ge=0.05, le=60)] = 0.25


AnyFault = (
    Kill
    | Term
    | Upgrade
    | Stop
    | Hup
    | Clock
    | Calls
    | DiskFails
    | Power
    | Link
    | BackendDoes
    | AgentDoes
    | CounterDoes
    | Operators
    | View
)


class Expect(Strict):
    """What must hold of a play beside the rules; figures by the names of the result."""

    at_least: dict[str, float] = {}
    at_most: dict[str, float] = {}
    # Rules that the program as it is breaks here: named, they are still told and still exit 1.
    breaks: list[str] = []


class Scenario(Strict):
    name: Annotated[str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9-]{0,40}$")]
    about: str
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=MOST_S)]  # of the load
    fleet: Fleet
    backends: Backends
    load: Load
    counter: CounterGiven = msgspec.field(default_factory=CounterGiven)
    agent_late_s: Second = 0.05  # what discovery has to tell reaches an agent after so long
    faults: list[AnyFault] = []
    expect: Expect = msgspec.field(default_factory=Expect)
    slack_s: Second = 0.05  # by which sockets lengthen every limit
    late_ms: Positive = 50.0  # the lab's own lateness at the 99th percentile over which the play is void
    stall_ms: Positive = 1000.0  # likewise, its worst

    @property
    def gateway_names(self) -> list[str]:
        return [f"g{i}" for i in range(self.fleet.gateways)]

    @property
    def backend_names(self) -> list[str]:
        return [f"b{i}" for i in range(self.backends.count)]

    def zone_of(self, index: int) -> str:
        """Of a gateway or backend: zones take turns."""
        return self.fleet.zones[index % len(self.fleet.zones)]

    def pick(self, kind: str, given: list[str]) -> list[str]:
        """The gateways or backends that names, zones and `*` mean, in their order; raises ScenarioError."""
        names = self.gateway_names if kind == "gateways" else self.backend_names
        found: dict[str, None] = {}
        for word in given:
            if word == "*":
                found |= dict.fromkeys(names)
            elif word.startswith("zone:") and word[5:] in self.fleet.zones:
                found |= {n: None for i, n in enumerate(names) if self.zone_of(i) == word[5:]}
            elif word in names:
                found[word] = None
            else:
                last = names[-1]
                raise ScenarioError(f"{kind}: expected {names[0]} to {last}, zone:NAME or *, got {word!r}")
        return list(found)

    @property
    def vanishing(self) -> list[list[str]]:
        """By fault: the words for backends that vanish without a word."""
        power = [fault.backends for fault in self.faults if isinstance(fault, Power)]
        does = (fault for fault in self.faults if isinstance(fault, BackendDoes))
        return power + [fault.backends for fault in does if fault.what == "gone"]

    def named_by(self, *kinds: type[Clock | Calls | DiskFails | Upgrade]) -> set[str]:
        """The gateways that faults of some kinds name."""
        found: set[str] = set()
        for fault in self.faults:
            if isinstance(fault, kinds):
                found.update(self.pick("gateways", fault.gateways))
        return found

    @property
    def on_faulty_machines(self) -> set[str]:
        """The gateways whose system calls, disks or clocks go wrong in the play."""
        return self.named_by(Clock, Calls, DiskFails)

    @property
    def upgraded(self) -> set[str]:
        """The gateways of which a new process takes over in the play."""
        return self.named_by(Upgrade)

    def ends(self, words: list[str]) -> set[str]:
        """The ends of links that words mean, such as `gateways`, b2, zone:a, counter, agents, clients."""
        found: set[str] = set()
        for word in words:
            if word in ("counter", "agents", "clients"):
                found.add(word)
            elif word == "gateways":
                found |= set(self.gateway_names)
            elif word == "backends":
                found |= set(self.backend_names)
            elif word.startswith("zone:"):
                found |= {*self.pick("gateways", [word]), *self.pick("backends", [word])}
            elif word in self.gateway_names or word in self.backend_names:
                found.add(word)
            else:
                known = "gateways, backends, counter, agents, clients, a name or zone:NAME"
                raise ScenarioError(f"expected {known}, got {word!r}")
        return found


class Arrival(msgspec.Struct, frozen=True, array_like=True):
    """One first try: when (seconds from the start of the load), of whom, what and by which gateway."""

    at_s: float
    customer: int
    kind: int  # index of its class
    units: int
    turn: int  # which gateway of the customer's set
    wait_ms: int
    work_ms: float


class Timetable(msgspec.Struct, frozen=True):
    arrivals: list[Arrival]
    lots: dict[int, list[str]]  # by the fault's number: whom it strikes, in order
    digest: str


def load(path: Path) -> Scenario:
    """Read and check a scenario; raises ScenarioError that names file, key and what was expected."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise ScenarioError(f"{path}: can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: not TOML: {error}") from error
    try:
        found = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {error}") from error
    for number, fault in enumerate(found.faults):
        try:
            check(found, fault)
        except ScenarioError as error:
            raise ScenarioError(f"{path}: $.faults[{number}].{error}") from error
    for table, names in (("altered", found.fleet.altered), ("clock_s", found.fleet.clock_s)):
        if unknown := sorted(set(names) - set(found.gateway_names)):
            raise ScenarioError(f"{path}: $.fleet.{table}: no gateway {unknown[0]!r}")
    return found


def check(scenario: Scenario, fault: AnyFault) -> None:
    """Whether a fault can be played: whom it names, and that it begins and ends within the play."""
    last = f"duration_s ({scenario.duration_s:g})"
    if fault.at_s > scenario.duration_s:
        raise ScenarioError(f"at_s: expected at most {last}, got {fault.at_s:g}")
    ends = getattr(fault, "for_s", None)
    if ends is not None and fault.at_s + ends > scenario.duration_s:
        raise ScenarioError(f"for_s: expected an end before {last}, got {fault.at_s + ends:g}")
    if isinstance(fault, Stop) and fault.until_s > scenario.duration_s:
        raise ScenarioError(f"until_s: expected at most {last}, got {fault.until_s:g}")
    for kind in ("gateways", "backends"):
        if given := getattr(fault, kind, None):
            scenario.pick(kind, given)
    if isinstance(fault, Link):
        for key, words in (("between", fault.between), ("and", fault.and_)):
            try:
                scenario.ends(words)
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
    if isinstance(fault, Calls | DiskFails):
        all_ = DISK_ERRORS if isinstance(fault, DiskFails) else SOCKET_ERRORS | LOOP_ERRORS
        for call, names in fault.errors.items():
            if call not in all_:
                raise ScenarioError(f"errors: expected a call of {', '.join(all_)}, got {call!r}")
            if unknown := [name for name in names if not hasattr(errno, name)]:
                raise ScenarioError(f"errors.{call}: expected names of errors, got {unknown[0]!r}")
    if isinstance(fault, Operators):
        if fault.call.startswith("backends/") and fault.id not in scenario.backend_names:
            raise ScenarioError(f"id: expected a backend's name, got {fault.id!r}")
        if fault.call.startswith("zones/") and fault.id not in scenario.fleet.zones:
            raise ScenarioError(f"id: expected a zone, got {fault.id!r}")


def customers(scenario: Scenario, seed: int) -> list[tuple[str, int, int]]:
    """Each customer's plan, and the first gateway and the size of its set."""
    chance = np.random.default_rng([seed, 1])
    names, shares = list(settings.PLAN_SHARES), list(settings.PLAN_SHARES.values())
    plans = chance.choice(len(names), size=scenario.load.customers, p=shares)
    firsts = chance.integers(0, scenario.fleet.gateways, size=scenario.load.customers)
    spread = min(scenario.load.spread, scenario.fleet.gateways)
    return [(names[plan], int(first), spread) for plan, first in zip(plans, firsts, strict=True)]


def timetable(scenario: Scenario, seed: int) -> Timetable:
    """All that the seed decides before the play. Equal for equal scenarios and seeds, on any machine."""
    chance = np.random.default_rng([seed, 2])
    number = int(chance.poisson(scenario.load.rate * scenario.duration_s)) if scenario.load.rate else 0
    times = np.sort(chance.uniform(0, scenario.duration_s, size=number))
    rates = {plan["name"]: float(plan["rate"]) for plan in settings.PLANS}
    weights = np.array([rates[plan] for plan, _, _ in customers(scenario, seed)])
    weights = weights * chance.lognormal(0.0, 0.7, size=len(weights))  # few ask for much, most for little
    whose = chance.choice(len(weights), size=number, p=weights / weights.sum())
    shares = list(settings.SHARES.values())
    kinds = chance.choice(len(shares), size=number, p=shares)
    units = 1 + chance.binomial(settings.UNITS_TOP - 1, 0.2, size=number)
    turns = chance.integers(0, max(1, scenario.load.spread), size=number)
    waits = chance.uniform(0.5, 1.0, size=number)
    sizes = chance.gamma(4.0, 0.25, size=number)
    arrivals = []
    for row in zip(times, whose, kinds, units, turns, waits, sizes, strict=True):
        at, customer, kind, unit, turn, wait, size = row
        given = settings.CLASSES[kind]
        work = settings.WORK_MS[given["name"]] * scenario.load.work * size
        arrivals.append(
            Arrival(
                round(float(at), 6),
                int(customer),
                int(kind),
                int(unit),
                int(turn),
                int(given["deadline"] * wait),
                round(float(work), 3),
            )
        )
    lots = {}
    for place, fault in enumerate(scenario.faults):
        if isinstance(fault, Kill | Power):
            struck = scenario.pick("gateways", fault.gateways) if fault.gateways else []
            if isinstance(fault, Kill) and fault.part < 1:
                struck = sorted(
                    chance.choice(struck, size=round(len(struck) * fault.part), replace=False).tolist(),
                    key=scenario.gateway_names.index,
                )
            if fault.order == "reversed":
                struck.reverse()
            elif fault.order == "chance":
                struck = [struck[i] for i in chance.permutation(len(struck))]
            lots[place] = struck
    parts = msgspec.json.encode([msgspec.to_builtins(scenario), seed, arrivals, sorted(lots.items())])
    return Timetable(arrivals, lots, hashlib.blake2b(parts, digest_size=16).hexdigest())


def shipped() -> list[Path]:
    return sorted(FOLDER.glob("*.toml"))


def find(name: str) -> Path:
    """A shipped scenario's name, or the path of a file; raises ScenarioError."""
    path = FOLDER / f"{name}.toml"
    if path in shipped():
        return path
    if Path(name).is_file():
        return Path(name)
    names = ", ".join(p.stem for p in shipped())
    raise ScenarioError(f"{name}: expected a file or one of {names}")
