"""One gateway in service: joins its parts, answers the operators' calls, and drains at the end."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import hashlib
import json
import logging
import math
import random
from collections.abc import Iterator
from functools import partial
from typing import TYPE_CHECKING, Any

from switchline.backends.pool import BackendPool
from switchline.clients.server import BACKLOG, ClientServer
from switchline.clock import Timers, now_ms
from switchline.config import Config
from switchline.counter.client import Counter
from switchline.discovery.client import Discovery
from switchline.discovery.endpoint_list import Member, read_list
from switchline.discovery.poll_schedule import poll_spread_s
from switchline.guard import Guard
from switchline.net.descriptors import FLEET_DESCRIPTORS, PROCESS_DESCRIPTORS, STATE_DESCRIPTORS, Budget
from switchline.net.listen import inherited_listener, listen_with_retries
from switchline.net.streams import BufferBudget
from switchline.operators.calls import DeferredReply, OperatorCalls, Reply
from switchline.operators.metrics import Metrics, OutcomeKind
from switchline.operators.overrides import OperatorOverrides, private_file
from switchline.operators.server import OperatorServer
from switchline.policy import interface as api
from switchline.policy.leases import PERIOD_MS
from switchline.service.driver import Driver
from switchline.upgrade.handover import HandoverEvents, UpgradeHandover

if TYPE_CHECKING:
    from switchline.audit.recorder import Audit
    from switchline.fleet.messages import Entry, Exchange
    from switchline.fleet.quarantine import Quarantine
    from switchline.fleet.staleness import VersionDivergence
    from switchline.fleet_runtime.list_repair import ListRepair
    from switchline.fleet_runtime.recovery import FleetRecovery
    from switchline.fleet_runtime.transport import Peers, Word
    from switchline.operators.fleet_calls import FleetCalls
    from switchline.state.persistence import StatePersistence
    from switchline.zones.coordination import ZoneCoordinator

log = logging.getLogger(__name__)

NOTICE_S = 0.45  # on a drain, connections go on coming for this long: the front asks and notices
# SIGKILL comes after SIGTERM no sooner than the longest deadline, counted as so long at most, and this.
LONGEST_DEADLINE_S, KILLED_AFTER_S = 3.0, 0.7
LAST_ANSWERS_S = 0.3  # before SIGKILL could come: what is open then is ended, which would be lost by it
CLOSING_S = 0.15  # for these answers to leave
LISTEN_WITHIN_S = 25.0  # to get the clients' address: the platform allows 30 s for a start
NEWS_S = 0.25  # for discovery's first word before clients are taken; it says nothing if nothing changed
HOLDS_S = 0.05  # between two tellings of the descriptors that are held
MOST_TOLD = 32  # backends, or zones, out by hand or just back that the other gateways are told of
HOST, ZONE, SPARE = "held-host", "held-zone", "held-spare"  # kinds of rows on disk, and of facts
FLOOR = "held-floor"
# Of each kind: its file in $TMPDIR, and in the audit the kind of its records and what they say.
HANDS = {
    HOST: ("bans.json", "ban", "down", "up"),
    ZONE: ("zones.json", "zone ban", "down", "up"),
    SPARE: ("spare.json", "spare", "set", "ended"),
    FLOOR: ("floor.json", "floor", "set", "ended"),
}
LEASED = f"leased, periods of {PERIOD_MS / 1000:.0f} s"  # how quotas are shared out, in the audit
YES = Reply(200, "yes\n")


class Service:
    """Owns the parts of one gateway from its start to its end."""

    def __init__(self, config: Config, stop: asyncio.Event) -> None:
        self.config, self.loop = config, asyncio.get_running_loop()
        self.stop = stop  # set when this process shall end
        self.guard = Guard()
        self.timers = Timers(self.loop, self.guard)
        self.figures = Metrics([kind.name for kind in config.settings.classes])
        self.room = BufferBudget(config.memory)
        self.budget = Budget(config.sockets, config.shares, self.own(config))
        self.backends = BackendPool(
            self.loop,
            self.timers,
            config.connect_timeout,
            config.keepalive,
            self.budget,
            self.figures,
            self.room,
        )
        wait = config.settings.counter_call_ms
        self.counter = (
            Counter(self.loop, self.timers, config.counter, wait, self.budget) if config.counter else None
        )
        self.driver = Driver(
            config.settings,
            config.seed,
            self.timers,
            self.backends,
            self.counter,
            config.max_open,
            self.figures,
            self.room,
            self.tell,
        )
        version = None
        if config.known:
            known = read_list(config.known)
            version = known.version
            self.driver.members(api.ListScope.SAVED, known.members)
        apart = poll_spread_s(config.settings.gateways) if config.settings.must_follow_list else 0.0
        chance = random.Random(config.seed)
        self.discovery = Discovery(config.discovery, version, self.on_list, chance, self.budget, apart)
        self.audit: Audit | None = None  # the versions acted on, with `fleet` or `audit`
        self.persistence: StatePersistence | None = None  # of the state on disk, if there is a folder for it
        self.hands: dict[str, OperatorOverrides] = {}  # what operators call, by kind
        for kind, (file, *_) in HANDS.items():
            if kind in (HOST, ZONE) or config.line is not None:
                changed = partial(self.on_held, kind)
                self.hands[kind] = OperatorOverrides(private_file(config.name, file), self.timers, changed)
        if config.state is not None:
            from switchline.state.persistence import StatePersistence

            self.persistence = StatePersistence(
                config.state, config.name, self.driver, self.discovery, self.hands
            )
            if config.known:
                self.persistence.save_list(config.known)
        self.clients = ClientServer(self.driver, self.budget, self.room, self.figures, self.guard)
        self.operators = OperatorServer(self.calls(), self.budget)
        self.upgrade = UpgradeHandover(
            private_file(config.name, "beside.sock"),
            HandoverEvents(
                joined=partial(self.driver.give, api.PeerProcessJoined()),
                record_received=lambda said: self.driver.give(api.PeerProcessMessage(said)),
                serving=self.hand_over,
                left=self.beside_left,
                descriptors_reported=self.share,
            ),
        )
        self.peers: Peers | None = None  # the other gateways, if there is a line to them
        self.fleet_calls: FleetCalls | None = None  # what operators call for all of them
        self.fleet_recovery: FleetRecovery | None = None  # what was taken from them at the start
        self.quarantine: Quarantine | None = None  # whether it is shut out, as its list stays behind
        self.lags = ""  # what this gateway acts on that is behind
        self.drained = False  # by an operator
        self.divergence: VersionDivergence | None = None  # what most others have another version of
        self.list_repair: ListRepair | None = None  # whether the list here is behind theirs
        self.zone_coordinator: ZoneCoordinator | None = None  # zones as one act of the fleet
        self.emptying: asyncio.Task[None] | None = None  # until nothing is left of a hand-over
        self.driver.states = self.states

    def on_list(self, scope: api.ListScope, members: tuple[Member, ...]) -> None:
        """Discovery told a list, or a change of it."""
        self.driver.members(scope, members, self.discovery.held_until)

    # ---- what operators call ----

    def calls(self) -> OperatorCalls:
        return OperatorCalls(
            gets={
                "/ops/readiness": self.readiness,
                "/ops/stats": self.stats,
                "/ops/fleet": self.fleet,
                "/ops/audit": self.audited,
            },
            posts={"/ops/drain/start": self.drain_start, "/ops/drain/stop": self.drain_stop},
            id_posts={
                "/ops/backends/down": partial(self.hold, HOST, True),
                "/ops/backends/up": partial(self.hold, HOST, False),
                "/ops/zones/down": partial(self.hold, ZONE, True),
                "/ops/zones/up": partial(self.hold, ZONE, False),
                "/ops/fleet/spare": partial(self.hold, SPARE, True),
                "/ops/fleet/unspare": partial(self.hold, SPARE, False),
                "/ops/fleet/floor": partial(self.hold, FLOOR, True),
                "/ops/fleet/unfloor": partial(self.hold, FLOOR, False),
            },
        )

    def readiness(self) -> Reply:
        return YES if self.clients.takes_clients else Reply(503, "no\n")

    def stats(self) -> Reply:
        gauges = self.driver.gauges() | self.connections()
        counts = self.guard.counts()
        counts |= self.persistence.counts() if self.persistence is not None else {}
        return Reply(200, self.figures.render(gauges, self.driver.zones(), counts))

    def connections(self) -> dict[str, int]:
        """The connections by state, and what is held of the descriptors."""
        of_state = self.persistence.gauges() if self.persistence is not None else {}
        of_line = self.peers.gauges() if self.peers is not None else {}
        of_line |= self.fleet_recovery.gauges() if self.fleet_recovery is not None else {}
        of_line |= self.list_repair.gauges() if self.list_repair is not None else {}
        of_line |= self.zone_coordinator.gauges() if self.zone_coordinator is not None else {}
        of_line |= {"fleet.differs": len(self.divergence.shown)} if self.divergence is not None else {}
        of_line |= {"fleet.shut_out": int(self.quarantine.out)} if self.quarantine is not None else {}
        of_line |= self.audit.gauges() if self.audit is not None else {}
        return self.clients.gauges() | self.backends.gauges() | self.budget.gauges() | of_state | of_line

    def states(self) -> dict[str, int]:
        """For the log: the connections now, and what became of others since the start."""
        of_state = self.persistence.counts() if self.persistence is not None else {}
        return self.connections() | self.figures.connection_counts() | self.guard.counts() | of_state

    def fleet(self) -> Reply:
        """The other gateways as this one knows them."""
        if self.peers is None:
            return Reply(404, "no such path\n")
        shown = self.peers.shown()
        if self.fleet_recovery is not None:
            shown["recovery"] = self.fleet_recovery.shown()
        if self.zone_coordinator is not None:
            shown["zones"] = self.zone_coordinator.shown()
        return Reply(200, json.dumps(shown) + "\n")

    def audited(self) -> Reply:
        """The versions that this process acts on, and its last records."""
        return (
            Reply(200, self.audit.to_json() + "\n")
            if self.audit is not None
            else Reply(404, "no such path\n")
        )

    def acts(self) -> dict[str, int]:
        """Acts on requests since the start, for the audit."""
        ended = self.figures.requests.items()
        found = {state.value: sum(n for (one, _), n in ended if one is state) for state in OutcomeKind}
        return found | {"forwards": self.figures.forwards}

    def note(self, kind: str, of: str = "", version: str = "", cause: str = "") -> None:
        """Something that this process acts on has another version, or it did what follows from one."""
        if self.audit is not None:
            self.audit.record(kind, of, version, cause)

    def note_list(self) -> None:
        if self.audit is not None:
            known = sorted((b.id, b.ready, b.started) for b in self.driver.gateway.backends.values())
            digest = hashlib.blake2b(repr(known).encode(), digest_size=4).hexdigest()
            self.note("list", "", f"{self.discovery.version} {digest}", f"discovery: {len(known)} backends")

    def note_config(self, cause: str) -> None:
        """The configuration, and of it the settings, which a gateway keeps from its start on."""
        self.note("config", "", self.config.digest, cause)

    def hold(self, kind: str, out: bool, name: str, fleet: bool) -> Reply | DeferredReply:
        """Take a backend or a zone out, or put it back; here, or at all gateways."""
        if fleet and self.fleet_calls is None:
            return Reply(503, "there is no line to other gateways\n")
        said = self.hold_here(kind, out, name)
        return self.hold_all(said, kind, out, name) if fleet else said

    async def hold_all(self, said: Reply | DeferredReply, kind: str, out: bool, name: str) -> Reply:
        """First here, then at the others."""
        here = said if isinstance(said, Reply) else await said
        if here is not YES or self.fleet_calls is None:
            return here
        from switchline.fleet.fact_kinds import FLEET_WIDE

        return await self.fleet_calls.propagate(FLEET_WIDE[kind], name, out)

    def hold_here(self, kind: str, out: bool, name: str) -> Reply | DeferredReply:
        if kind not in self.hands:
            return Reply(404, "no such path\n")
        bans = self.hands[kind]
        knows = {HOST: self.driver.knows, ZONE: self.driver.knows_zone, SPARE: self.knows_gateway}
        known = knows.get(kind, self.is_floor)
        if not (known(name) or name in bans.active):
            return Reply(404, "no such name\n")
        if self.persistence is not None:
            return self.hold_kept(self.persistence, kind, bans, out, name)
        return self.set_hand(bans, out, name)

    def set_hand(self, bans: OperatorOverrides, out: bool, name: str) -> Reply:
        try:
            bans.set(name, out)
        except OSError as error:
            log.error("what is out by hand can't be written: %s", error)
            self.budget.relieve(error)
            return Reply(503, "it could not be kept\n")
        return YES

    async def hold_kept(
        self, recovery: StatePersistence, kind: str, bans: OperatorOverrides, out: bool, name: str
    ) -> Reply:
        """A yes is given once it is on disk."""
        if not out and name not in bans.active:
            return YES  # calls may be repeated
        if not await recovery.commit_override(kind, name, out):
            return Reply(503, "it could not be kept on disk\n")
        said = self.set_hand(bans, out, name)
        if said is not YES:
            recovery.revert_override(kind, name)
        return said

    def on_held(self, kind: str, name: str, out: bool, since: float) -> None:
        """Operators took something out, spare a gateway, or set a floor; or they took that back."""
        if kind == HOST:
            self.driver.hold(name, out, since)
        elif kind == ZONE:
            self.driver.hold_zone(name, out, since)
        _, noted, on, off = HANDS[kind]
        self.note(noted, name, f"{on if out else off} {since:.0f}", "by hand")
        if self.persistence is not None:
            self.persistence.save_override(kind, name, out, since)

    def is_floor(self, name: str) -> bool:
        from switchline.fleet.staleness import parse_floors

        return bool(parse_floors([name]))

    def knows_gateway(self, name: str) -> bool:
        return self.peers is not None and name in (self.config.name, *self.peers.node.members.others)

    def drain_start(self) -> Reply:
        self.drained = True
        log.info("an operator sends clients away")
        self.clients.drain(NOTICE_S)
        return YES

    def drain_stop(self) -> Reply:
        if self.clients.shutting_down:
            return Reply(503, "this process is about to end\n")
        self.drained = False
        log.info("an operator has clients come back")
        self.clients.undrain()
        return YES

    # ---- its life ----

    async def load(self) -> None:
        """Read the state on disk, if there is any; the list in it may be newer than the known one."""
        self.begin_audit()
        if self.persistence is not None:
            await self.persistence.load()
            if self.config.line is not None:
                from switchline.fleet_runtime.list_repair import ListRepair
                from switchline.fleet_runtime.recovery import FleetRecovery

                index = self.config.settings.index
                self.fleet_recovery = FleetRecovery(
                    self.hands, self.persistence, self.driver, self.discovery, index
                )
                chance = random.Random(f"{self.config.seed} level")
                self.list_repair = ListRepair(self.driver, self.discovery, self.persistence, chance)
                self.fleet_recovery.noted = self.list_repair.noted = self.note

    def begin_audit(self) -> None:
        config = self.config
        if config.line is None and config.audit is None:
            return
        from switchline.audit.recorder import Audit, build_digest
        from switchline.fleet.frames import PROTOCOL_VERSION

        life = int(now_ms()), random.Random(f"{config.seed} audit").getrandbits(40)
        self.audit = Audit(config.name, life, config.audit, self.acts)
        self.note("program", "", f"{config.release} {build_digest()}", "start")
        self.note("format", "", str(PROTOCOL_VERSION), "start")
        self.note("quota", "", LEASED, "start")
        self.note_config("start")
        self.note_list()
        self.discovery.took = self.note_list

    async def open(self) -> int:
        """Begin to serve; gives the port."""
        await self.hear_discovery()
        await self.upgrade.take_over()
        took_over = self.upgrade.state_received.is_set()
        if self.fleet_recovery is not None:
            await self.hear_fleet(self.fleet_recovery, took_over)
        if self.persistence is not None:
            await self.persistence.restore(
                took_over, self.fleet_recovery is None or not self.fleet_recovery.verdict.old
            )
        if self.config.operator is not None:
            self.operators.listen_soon(self.config.operator)
        if self.fleet_recovery is not None and not took_over:
            await self.fleet_recovery.catch_up()
        listener = inherited_listener() or await listen_with_retries(
            self.config.listen, BACKLOG, LISTEN_WITHIN_S
        )
        port = self.clients.listen(listener)
        gc.collect()
        gc.freeze()  # what was loaded stays: no pause to look at it again
        log.info("%s serves at %s:%d", self.config.name, self.config.listen[0], port)
        self.upgrade.announce_serving()
        if self.persistence is not None and took_over:
            self.persistence.acquire()
        await self.upgrade.listen()
        await self.join()
        return port

    @staticmethod
    def own(config: Config) -> int:
        """Descriptors of the process itself, with those of the parts that are on."""
        return (
            PROCESS_DESCRIPTORS
            + (STATE_DESCRIPTORS if config.state else 0)
            + (FLEET_DESCRIPTORS if config.line else 0)
        )

    # ---- the line to other gateways ----

    async def hear_fleet(self, recovery: FleetRecovery, took_over: bool) -> None:
        """Before clients: what the others know that a lost or an old disk does not."""
        if took_over:
            return recovery.settle()  # the line is the other process's for a moment yet
        await self.join()
        if self.peers is not None:
            await recovery.hear(self.peers)

    async def join(self) -> None:
        """Take part in the fleet, if the configuration names one."""
        if self.config.line is None or self.peers is not None:
            return
        from switchline.fleet.fact_kinds import FLEET_WIDE
        from switchline.fleet.staleness import VersionDivergence
        from switchline.fleet_runtime.transport import Peers, next_life
        from switchline.operators.fleet_calls import FleetCalls
        from switchline.zones.coordination import ZoneCoordinator

        chance = random.Random(f"{self.config.seed} line")
        life = next_life(self.config.state, chance)
        self.peers = Peers(self.config.name, self.config.line, life, chance, self.words)
        if self.fleet_calls is None:
            self.fleet_calls = FleetCalls({FLEET_WIDE[kind]: bans for kind, bans in self.hands.items()})
        self.fleet_calls.attach(self.peers)
        if self.fleet_recovery is not None:
            self.fleet_recovery.attach(self.peers)
        if self.zone_coordinator is None:
            self.zone_coordinator = ZoneCoordinator(self.driver, random.Random(f"{self.config.seed} zones"))
            self.zone_coordinator.noted = self.note
        if self.audit is not None:
            self.audit.join_fleet(self.peers.node.clock, life)
        self.zone_coordinator.attach(self.peers)
        if self.persistence is not None:
            if (
                not self.upgrade.state_received.is_set()
            ):  # else the other process knows better, and has told the others
                self.zone_coordinator.recall(self.persistence.zone_decisions)
            self.zone_coordinator.keep = self.persistence.save_zone_decision
        self.divergence = VersionDivergence()
        self.peers.node.fact_changed = self.heard
        self.peers.node.answered = self.learn
        self.peers.looked = self.look
        await self.peers.open()

    def look(self) -> None:
        """Called now and then, while there is a line."""
        if self.fleet_calls is not None:
            self.fleet_calls.tick()
        if self.fleet_recovery is not None:
            self.fleet_recovery.look()
        if self.peers is not None and self.divergence is not None:
            self.compare(self.peers, self.divergence)
        out = self.quarantine is not None and self.quarantine.out
        if self.list_repair is not None and self.peers is not None and (self.clients.takes_clients or out):
            self.list_repair.look(self.peers)
            self.shut(self.list_repair, self.peers)
        self.note("ready", "", "yes" if self.clients.takes_clients else "no")

    def compare(self, peers: Peers, divergence: VersionDivergence) -> None:
        """Tell staff where most other gateways have another configuration or program than this one."""
        node, own = peers.node, {"config": self.config.digest, "release": self.config.release}
        for kind, mine in own.items():
            others = [node.facts.value(kind, "", name) for name in node.members.present]
            if divergence.update(self.loop.time(), kind, mine, others):
                theirs = divergence.shown.get(kind)
                said = f"most have {theirs}" if theirs else "most have the same now"
                log.warning("the %s here is %s: %s", kind, mine, said)
                self.note("differs" if theirs else "alike", kind, "", said)

    def shut(self, list_repair: ListRepair, peers: Peers) -> None:
        """Go out, or come back, as its list stays behind the others' and most of them grant it."""
        from switchline.fleet.quarantine import Quarantine, StalenessView
        from switchline.fleet.staleness import parse_floors

        if self.quarantine is None:
            self.quarantine = Quarantine(peers.line.shut_out_s, self.loop.time())
        was, one = self.quarantine.out, self.quarantine
        spared, floors = (self.hands[kind].active if kind in self.hands else () for kind in (SPARE, FLOOR))
        view = StalenessView(list_repair.own(), list_repair.is_behind, spared, parse_floors(floors))
        out = one.evaluate(peers.node, self.loop.time(), now_ms(), view)
        self.lag(one.kind)
        if out == was or self.clients.shutting_down:
            return
        log.warning("%s: %s", "shut out" if out else "no more shut out", one.why)
        self.note("shut out" if out else "taken back", one.kind, "", one.why)
        if out:
            self.clients.drain(NOTICE_S)
        elif not self.drained:
            self.clients.undrain()

    def lag(self, kind: str) -> None:
        """Something that this gateway acts on is behind, or nothing is any more: quotas by the safe share."""
        if kind != self.lags:
            if bool(kind) != bool(self.lags):
                self.driver.give(api.StalenessChanged(bool(kind)))
            self.lags = kind
            said = ("even share", f"its {kind} is behind") if kind else (LEASED, "level again")
            self.note("quota", "", *said)

    def heard(self, entry: Entry) -> None:
        """A fact is new here."""
        if self.fleet_calls is not None:
            self.fleet_calls.on_fact(entry)
        if self.zone_coordinator is not None:
            self.zone_coordinator.heard(entry)

    def learn(self, told: Exchange) -> None:
        """Another gateway told what it was asked for."""
        if self.fleet_recovery is not None:
            self.fleet_recovery.learn(told)
        if self.list_repair is not None:
            self.list_repair.learn(told)

    def part(self, leave: bool) -> None:
        """Take part no more; said to the others where this gateway ends, and not only this process."""
        if self.peers is not None:
            if leave:
                self.peers.leave()
            self.peers.close()
            self.peers = self.fleet_calls = None
        if self.zone_coordinator is not None:
            self.zone_coordinator.close()
            self.zone_coordinator = self.divergence = None
        if self.quarantine is not None:
            if self.quarantine.out and not (self.drained or self.clients.shutting_down):
                self.clients.undrain()
            self.quarantine = None
            self.lag("")

    def words(self) -> Iterator[Word]:
        """What this gateway tells the others of itself, and of what operators had it do."""
        from switchline.fleet_runtime.transport import Word

        regions = dict(self.config.settings.regions)
        zone = self.config.settings.zone
        yield Word("zone", "", zone)
        yield Word("region", "", regions.get(zone, ""))
        yield Word("release", "", self.config.release)
        yield Word("config", "", self.config.digest)
        yield Word("list", "", str(self.discovery.version))
        yield Word("ready", "", "yes" if self.clients.takes_clients else "no")
        yield Word("index", "", str(self.config.settings.index))
        if self.audit is not None and self.audit.writing:
            yield Word("audit", "", f"{self.audit.head.n} {self.audit.head.sum}")
        if self.fleet_recovery is not None:
            yield from self.fleet_recovery.words()
        for kind, bans in self.hands.items():
            for name, at in list(bans.active.items())[-MOST_TOLD:]:
                yield Word(kind, name, "down", at)
            for name, at in list(bans.cleared.items())[-MOST_TOLD:]:
                yield Word(kind, name, "up", at)

    async def hear_discovery(self) -> None:
        """The list as last known may be old, and a backend in it cold or gone: wait a moment for the news."""
        if self.discovery.first_wait > NEWS_S:
            return
        try:
            async with asyncio.timeout(NEWS_S):
                await self.discovery.heard.wait()
        except TimeoutError:
            log.info("discovery has told nothing yet")

    # ---- beside another process of this gateway, in an upgrade ----

    def tell(self, said: list[Any]) -> None:
        self.upgrade.send(said)

    def hand_over(self) -> None:
        """The new process takes clients: what is open here ends, and then this process does."""
        log.info("another process takes the clients")
        self.clients.hand_over()
        self.budget.freeze()
        self.part(leave=False)  # the new process has this name now
        if self.persistence is not None:
            self.persistence.release()
        if self.emptying is None:
            self.emptying = self.loop.create_task(self.empty())

    async def empty(self) -> None:
        """Tell how many descriptors are held, until nothing is left to do here."""
        while self.clients.holds_clients or self.driver.requests:
            self.upgrade.report_descriptors(self.budget.total)
            await asyncio.sleep(HOLDS_S)
        self.stop.set()

    def beside_left(self) -> None:
        self.driver.give(api.PeerProcessLeft())
        self.share(0)
        if self.emptying is not None:
            self.emptying.cancel()
            self.emptying = None
            self.budget.unfreeze()
            self.clients.take_back()
            if self.persistence is not None:
                self.persistence.acquire()
            self.joining = self.loop.create_task(self.join())

    def share(self, held: int) -> None:
        """Both processes hold their descriptors together."""
        self.budget.peer_process_descriptors = max(0, held)

    async def follow(self, changes: asyncio.Queue[Config]) -> None:
        """Take over what may change while a gateway runs: addresses of discovery and counter, connections."""
        while True:
            config = await changes.get()
            try:
                await self.change(config)
            except Exception:
                self.guard.caught("a new configuration")

    async def change(self, config: Config) -> None:
        """Act on a new configuration."""
        self.budget.configured_limit, self.budget.shares = config.sockets, config.shares
        if config.settings.regions != self.config.settings.regions:
            self.driver.give(api.RegionsChanged(config.settings.regions))
        moved = config.line != self.config.line
        self.config = config
        self.note_config("SIGHUP")
        self.budget.process_descriptors = self.own(config)
        if moved:
            self.part(leave=True)
            await self.join()
        self.discovery.move(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.move(config.counter)

    async def drain(self) -> None:
        """The last drain: nothing is accepted any more once the front has noticed, and what is open ends."""
        log.info("draining")
        self.note("ending", "", "", "SIGTERM")
        self.guard.call("leaving the fleet", self.part, not self.clients.handed_over)
        last_answers = self.loop.time() + self.longest_drain()
        self.clients.shut_down(NOTICE_S)
        if not self.clients.handed_over:
            await asyncio.sleep(NOTICE_S)
        self.clients.stop_accepting()
        try:
            async with asyncio.timeout_at(last_answers):
                await self.clients.wait_until_empty()
        except TimeoutError:
            log.warning("%d requests open at the end", len(self.driver.requests))
            self.driver.end_all()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLOSING_S):
                    await self.clients.wait_until_empty()

    def longest_drain(self) -> float:
        """Seconds after SIGTERM until what is still open is ended, before SIGKILL would lose it."""
        longest = max((kind.deadline_ms for kind in self.config.settings.classes), default=math.inf)
        return min(longest / 1000, LONGEST_DEADLINE_S) + KILLED_AFTER_S - LAST_ANSWERS_S

    def close(self) -> None:
        """Let go of all parts; one that fails to close keeps no other from it."""
        if self.emptying is not None:
            self.emptying.cancel()
        self.guard.call("leaving the fleet", self.part, False)
        self.guard.call("closing the hand-over", self.upgrade.close)
        self.guard.call("closing the operators' address", self.operators.close)
        self.guard.call("closing clients' connections", self.clients.close)
        self.guard.call("closing backends' connections", self.backends.close)
        if self.counter is not None:
            self.guard.call("closing the counter's connections", self.counter.close)
        if self.persistence is not None:
            self.guard.call("closing the state on disk", self.persistence.close)
        if self.audit is not None:
            self.guard.call("closing the audit", self.audit.close)
        self.guard.call("closing the spare descriptor", self.budget.close)
