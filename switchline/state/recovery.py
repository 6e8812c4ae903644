"""Joins the state on disk to the parts it is of: reads it at a start, and keeps it while the process runs."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from pathlib import Path
from typing import Any

from switchline.clock import now_ms
from switchline.discovery.client import Discovery, DiscoveryError, read_list
from switchline.operators.overrides import BACK_MS, OperatorOverrides
from switchline.policy import interface as api
from switchline.service.driver import Driver
from switchline.state.store import HELD, LOCK_S, Found, Store

log = logging.getLogger(__name__)

LOAD_S = 1.0  # for the files to be read, and again for the first commit: then the gateway starts without
HAND_S = 0.8  # for an operator's call to be committed: its answer is due within 1 s
AGAIN_S = 1.0  # after a fault, until a new file is tried
MOST_HOSTS = 4_096  # of a list that are kept
ACT, MOST_ACTS = "zone-act", 256  # kind of rows: the fleet's decisions on zones
ACT_PARTS, ACT_MS = 6, 86_400_000.0  # of one; it ends after a day, as on the line
MOST_DOWN_S = 600.0  # a downtime after which these say nothing
FIELDS = ("host", "dial", "site", "block", "health", "born_ms")  # of a host


def holds(act: Any) -> bool:
    """Whether a decision as it is kept (its time is the fifth of six) is one, and is not over."""
    try:
        return isinstance(act, list) and len(act) == ACT_PARTS and now_ms() - float(act[4]) < ACT_MS
    except (TypeError, ValueError):
        return False


class Recovery:
    """Owns the store from the start to the end of the process, through faults and upgrades."""

    def __init__(
        self,
        folder: Path,
        name: str,
        driver: Driver,
        discovery: Discovery,
        hands: dict[str, OperatorOverrides],
    ) -> None:
        self.folder, self.name = folder, name
        self.driver, self.discovery, self.hands = driver, discovery, hands
        self.loop = asyncio.get_running_loop()
        self.store: Store | None = None
        self.found: Found | None = None
        self.hosts: dict[str, dict[str, Any]] = {}  # the last list, as far as it is kept
        self.acts: dict[str, list[Any]] = {}  # the fleet's decisions on zones, as they are kept
        self.partial = False  # some of it is not kept: until the next whole list, this one is of no use
        self.again: asyncio.TimerHandle | None = None
        self.trying: Store | None = None  # a new file that is being made, after a fault
        self.ready = asyncio.Event()  # the first commit of this life has come, or never will
        self.held = False  # another process has them
        self.served = False  # a second gateway of a folder never has it; this one had it, or will
        self.off_since: float | None = None  # by the monotonic clock: nothing is kept since then
        self.off_s = 0.0  # for so long nothing was kept, in all gaps that are over
        self.failures = self.restored = self.dropped = self.commits = 0
        self.restore_ms = 0
        driver.persist, discovery.keep = self.keep, self.keep_list

    # ---- at a start ----

    async def load(self) -> None:
        """Read what an earlier life has left; the list and what is out by hand are taken over at once."""
        began, self.held = time.monotonic(), False
        self.store = self.make()
        try:
            async with asyncio.timeout(LOAD_S):
                self.found = await asyncio.shield(self.store.found)
        except TimeoutError:
            self.store.abandon("it takes too long to read")
        except asyncio.CancelledError:
            if self.store is not None:
                raise  # not the store's end, but this task's
        if self.found is not None:
            self.take_list(self.found)
            self.take_hands(self.found)
            self.take_acts(self.found)
        self.restore_ms += round((time.monotonic() - began) * 1000)

    def down_s(self) -> float:
        """How long this gateway was down, by its own clock; NaN where its disk tells of no earlier life."""
        if self.found is None or not self.found.restarts:
            return math.nan
        return max(0.0, now_ms() - self.found.alive) / 1000

    def listed(self) -> list[dict[str, Any]] | None:
        """The list of backends as it is kept, if all of it is."""
        return None if self.partial or not self.hosts else list(self.hosts.values())

    async def restore(self, took_over: bool, whole: bool = True) -> None:
        """Before clients are taken: give the module what was found, and have all of it committed anew.

        A process that has taken over from another one knows better, and waits for that one's files. `whole`:
        not known to be an older copy.
        """
        began = time.monotonic()
        if self.held and not took_over:
            await self.load()  # whoever held the files may have died before it told what it knows
        if self.found is not None and not took_over:
            self.take_rows(self.found, whole)
        self.found = None
        if self.store is not None:
            self.begin(self.store)
            try:
                async with asyncio.timeout(LOAD_S):
                    await self.ready.wait()
            except TimeoutError:
                if self.store is not None:
                    self.store.abandon("its first commit takes too long")
        self.restore_ms += round((time.monotonic() - began) * 1000)

    def take_list(self, found: Found) -> None:
        rows = {row.kind: row for row in found.rows if row.kind == "list"}
        hosts = [row.said for row in found.rows if row.kind == "host"]
        if "list" not in rows:
            return
        try:
            if len(hosts) != rows["list"].said["hosts"]:
                raise DiscoveryError("it is not whole")  # and what is missing would not be told again
            known = read_list({"seq": rows["list"].said["seq"], "whole": True, "hosts": hosts})
        except (DiscoveryError, KeyError, TypeError) as error:
            self.dropped += 1
            return log.info("the list on disk is left out: %s", error)
        if self.discovery.version is None or known.version > self.discovery.version:
            self.driver.apply_list(api.ListScope.SAVED, known.members)
            self.discovery.version = known.version
            self.hosts, self.partial = {str(host["host"]): host for host in hosts}, False
            self.restored += len(hosts)

    def take_hands(self, found: Found) -> None:
        for kind, bans in self.hands.items():
            told: dict[str, tuple[bool, float]] = {}
            for row in found.rows:
                if row.kind == kind:
                    try:
                        told[row.name] = bool(row.said["out"]), float(row.said["at"])
                    except (KeyError, TypeError, ValueError):
                        self.dropped += 1
            if told:
                self.restored += len(told)
                try:
                    bans.recover(told)
                except OSError as error:
                    log.warning("what is out by hand can't be written: %s", error)

    def take_acts(self, found: Found) -> None:
        """The fleet's decisions on zones; of a gateway that was down for long they say nothing."""
        if self.down_s() <= MOST_DOWN_S:
            rows = [row for row in found.rows if row.kind == ACT and holds(row.said)]
            self.acts = {row.name: row.said for row in rows[:MOST_ACTS]}

    def take_rows(self, found: Found, whole: bool) -> None:
        """Customers first: where one is missing, the age of the gateway would promise it too much."""
        if not found.restarts:
            return
        self.driver.give(api.StateFileFound(found.alive, found.restarts, whole))
        self.dropped += found.dropped
        for kind in ("customer", "backend", "gateway"):
            for row in found.rows:
                if row.kind != kind or (kind == "gateway" and self.dropped):
                    continue
                if self.driver.restore_record(row.said, row.at):
                    self.restored += 1
                else:
                    self.dropped += 1
        log.info("%d rows of state restored, %d dropped", self.restored, self.dropped)

    # ---- while it runs ----

    def make(self, fresh: bool = False, wait: float = 0.0) -> Store:
        return Store(self.folder, self.name, now_ms, self.on_kept, self.on_failed, fresh, wait)

    def begin(self, store: Store) -> None:
        """Keep all there is, in place of whatever the files hold."""
        self.store, self.served = store, True
        log.info("state is kept in %s", self.folder)
        for name, host in self.hosts.items():
            store.put("host", name, host)
        if self.discovery.version is not None:
            store.put("list", "seq", self.list_row(self.discovery.version))
        for kind, bans in self.hands.items():
            for name, at in bans.out.items():
                store.put(kind, name, {"out": True, "at": at})
            for name, at in bans.back.items():
                if now_ms() - at < BACK_MS:
                    store.put(kind, name, {"out": False, "at": at})
        for name, said in self.acts.items():
            store.put(ACT, name, said)
        self.driver.give(api.PersistenceChanged(True))
        store.begin()

    def on_kept(self, serial: int) -> None:
        self.ready.set()
        if self.off_since is not None:
            gap_s, self.off_since = time.monotonic() - self.off_since, None
            self.off_s += gap_s
            log.warning("state is kept again, after %.1f s in which it was not", gap_s)
        self.driver.give(api.RecordsPersisted(serial))

    def on_failed(self, reason: str) -> None:
        self.retire()
        if self.off_since is None:
            self.off_since = time.monotonic()
        self.held = reason == HELD
        self.failures += not self.held
        self.ready.set()
        self.driver.give(api.PersistenceChanged(False))
        if self.served or not self.held:
            self.again = self.loop.call_later(AGAIN_S, self.start_anew)

    def start_anew(self) -> None:
        """Try a new file; all there is goes into it once the folder lets it be made."""
        self.again = None
        self.trying = store = self.make(fresh=True)

        def opened(found: asyncio.Future[Found]) -> None:
            self.trying = None
            if not found.cancelled() and not store.over:
                log.info("state on disk is begun anew")
                self.begin(store)

        store.found.add_done_callback(opened)

    def retire(self) -> None:
        if self.trying is not None:
            self.trying.close()
            self.trying = None
        if self.store is not None:
            self.commits += self.store.commits
            self.store = None

    def keep(self, serial: int, said: list[Any]) -> None:
        """A row of the module."""
        if self.store is None:
            return
        match said:
            case ["forget", kind, name]:
                self.store.put(kind, name, None, serial)
            case ["gateway", *_]:
                self.store.put("gateway", "", said, serial)
            case [kind, name, *_]:
                self.store.put(kind, str(name), said, serial)

    def keep_list(self, raw: dict[str, Any]) -> None:
        """What discovery told. The version comes last, with the number of hosts that it is of."""
        told = {str(host["host"]): host for host in raw.get("hosts") or ()}
        gone = {name for name, host in told.items() if host["health"] == "removed"}
        if raw.get("whole"):
            gone |= self.hosts.keys() - told.keys()
        for name in gone & self.hosts.keys():
            del self.hosts[name]
            if self.store is not None:
                self.store.put("host", name, None)
        for name in told.keys() - gone:
            if name in self.hosts or len(self.hosts) < MOST_HOSTS:
                self.hosts[name] = {field: told[name][field] for field in FIELDS if field in told[name]}
                if self.store is not None:
                    self.store.put("host", name, self.hosts[name])
        missed = not (told.keys() - gone) <= self.hosts.keys()
        self.partial = missed or (self.partial and not raw.get("whole"))
        if self.store is not None:
            self.store.put("list", "seq", self.list_row(int(raw["seq"])))

    def list_row(self, version: int) -> dict[str, int]:
        return {"seq": version, "hosts": -1 if self.partial else len(self.hosts)}

    def keep_act(self, name: str, said: list[Any]) -> None:
        """A decision of the fleet on a zone."""
        if name in self.acts or len(self.acts) < MOST_ACTS:
            self.acts[name] = said
            if self.store is not None:
                self.store.put(ACT, name, said)

    def keep_hand(self, kind: str, name: str, out: bool, since: float) -> int:
        return self.store.put(kind, name, {"out": out, "at": since}) if self.store is not None else 0

    async def commit_hand(self, kind: str, name: str, out: bool) -> bool:
        """Whether an operator's word is on disk; if not, it is taken back there."""
        if self.store is None:
            return self.held  # another process has the files; a folder that fails keeps no word
        try:
            async with asyncio.timeout(HAND_S):
                return await self.store.committed(self.keep_hand(kind, name, out, now_ms()))
        except TimeoutError:
            self.take_back(kind, name)
            return False

    def take_back(self, kind: str, name: str) -> None:
        bans = self.hands[kind]
        self.keep_hand(kind, name, name in bans.out, now_ms())

    # ---- upgrades and the end ----

    def hand_over(self) -> None:
        """Another process serves from now on: it is to have the files."""
        if self.again is not None:
            self.again.cancel()
            self.again = None
        if self.store is not None:
            self.store.close()
        self.retire()
        self.driver.give(api.PersistenceChanged(False))

    def take_files(self) -> None:
        """The other process lets go of the files, or is gone."""
        if self.store is None and self.again is None and self.trying is None:
            self.begin(self.make(wait=LOCK_S))

    def close(self) -> None:
        if self.again is not None:
            self.again.cancel()
        if self.trying is not None:
            self.trying.close()
        if self.store is not None:
            store = self.store
            self.driver.give(api.PersistenceChanged(False, last=True))
            store.close()
            store.join()

    # ---- figures ----

    def gauges(self) -> dict[str, int]:
        on = self.store is not None
        age = (time.monotonic() - self.store.committed_at) * 1000 if self.store is not None else 0
        off_s = self.off_s + (time.monotonic() - self.off_since if self.off_since is not None else 0.0)
        gauges = {"state.on": int(on), "state.age_ms": round(age), "state.restore_ms": self.restore_ms}
        return gauges | {"state.off_ms": round(off_s * 1000)}

    def counts(self) -> dict[str, int]:
        commits = self.commits + (self.store.commits if self.store is not None else 0)
        counts = {"commits": commits, "failures": self.failures}
        counts |= {"restored": self.restored, "dropped": self.dropped}
        return {f"state.{name}": n for name, n in counts.items()}
