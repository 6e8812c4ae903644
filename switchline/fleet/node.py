"""One gateway's end of the line: datagrams and time go in, datagrams and facts come out. Pure.

The caller hands in what came (`receive`, `exchanged`), lets time pass (`tick`), and takes what is to be sent
(`take`). All times are seconds on a clock that never steps; `wall` is milliseconds of wall time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from switchline.fleet.facts import Facts, key_of
from switchline.fleet.gossip_queue import GossipQueue
from switchline.fleet.hybrid_clock import HybridClock
from switchline.fleet.members import ANSWER_S, PROBE_S, SILENT_S, Address, Member, Members
from switchline.fleet.messages import (
    LIST,
    MOST_DATAGRAM,
    SPENDING,
    Datagram,
    Entry,
    Exchange,
    Incarnation,
    Kind,
    Listed,
    Refused,
    Rumor,
    Seal,
    Spent,
    State,
    Window,
)

HELPERS = 3  # asked to ping a member that has not answered
NEWS_S, NEWS_TO = 0.2, 2  # between two rounds of news of their own, and to how many; only while there are any
DENY_TO = 8  # members that a refutation is sent to at once
AT_ONCE_S = 0.03  # until the first round of what is new: a refutation has to outrun a suspicion's end
EXCHANGE_S = 12.0  # between two exchanges of all that is known, in a fleet of up to 32
JOIN_S = (0.5, 8.0)  # between two tries of the seeds: first and longest
REJOIN_S = 15.0  # between two tries of a seed or a dead member, so that a healed fleet finds itself
TIDY_S = 5.0
MOST_WINDOWS = 6_000  # senders whose numbers are remembered
NACK_PART = 0.8  # of the time for an answer: then a helper says that there is none
MOST_SEEN = 64  # pings under way


@dataclass(slots=True)
class Probe:
    """A ping that waits for its answer."""

    name: str
    direct_until: float
    until: float
    helpers: int = 0
    nacks: int = 0
    asked: bool = False


@dataclass(slots=True)
class Favour:
    """A ping on behalf of another."""

    seq: int
    asker: Address
    nack_at: float


class Node:
    """Owns the members and the facts as this gateway knows them."""

    def __init__(
        self,
        name: str,
        life: Incarnation,
        address: Address,
        seeds: tuple[Address, ...],
        seal: Seal,
        chance: random.Random,
        now: float,
        wall: float,
    ) -> None:
        self.seal, self.chance, self.seeds, self.address = seal, chance, seeds, address
        me = Rumor(name, life, 0, State.ALIVE, address[0], address[1])
        self.members = Members(me, chance)
        self.members.changed = self._news_of_member
        self.members.denied = self._tell_many
        self.members.began = lambda life: self.facts.begin(life)
        self.facts = Facts(name, life)
        self.facts.changed = self._news_of_fact
        self.order = HybridClock()  # what is recorded here is after all that was heard
        self.number = self.seq = 0
        self.out: list[tuple[Address, bytes]] = []
        self.ticked = now
        self.exchange_with: list[Address] = []  # whom the caller shall exchange with
        self.news = GossipQueue()
        self.probe: Probe | None = None
        self.favours: dict[int, Favour] = {}
        self.windows: dict[str, Window] = {}
        self.exchanged_with: set[str] = set()  # members whose whole state has come in this life
        self.refused: dict[str, int] = {}
        self.sent = self.sent_bytes = self.taken = 0
        self.probe_at = now + chance.uniform(0, PROBE_S)
        self.news_at, self.last_news, self.tidy_at = now, now, now + TIDY_S
        self.exchange_at = now + chance.uniform(0, EXCHANGE_S)
        self.rejoin_at = now + REJOIN_S
        self.join_at, self.join_wait = now, JOIN_S[0]
        self.told: Callable[[Entry], None] = lambda entry: None  # of each fact that is new here
        # What a gateway that has just begun wants of the others, the list it has, and what they answered.
        self.wants, self.list_seq = 0, -1
        self.learned: Callable[[Exchange], None] = lambda exchange: None
        self.wanted: Exchange | None = None  # the last exchange that came, until it is answered
        self.listed: Callable[[int], Listed | None] = lambda seq: None  # the list here, if newer than that
        self.spent: Callable[[], list[Spent] | None] = lambda: None
        self.wall = wall
        self._news_of_member(me)

    # ---- sending ----

    def take(self) -> list[tuple[Address, bytes]]:
        """What is to be sent now."""
        out, self.out = self.out, []
        return out

    def _send(self, to: Address, kind: Kind, **given: Any) -> None:
        if self.members.taken_over and kind is not Kind.ACK:
            return
        self.number += 1
        me = self.members.me
        rumors, entries = self.news.pick(self.members.size, given.pop("first", None))
        given |= {"rumors": rumors, "entries": entries, "stamp": self.order.last}
        message = Datagram(me.name, me.life, self.number, kind, **given)
        frame = self.seal.close(message)
        while len(frame) > MOST_DATAGRAM and (entries or rumors):
            del (entries or rumors)[-1:]  # longer than was reckoned: what is left out is told next time
            frame = self.seal.close(message)
        self.sent, self.sent_bytes = self.sent + 1, self.sent_bytes + len(frame)
        self.out.append((to, frame))

    def _news_of_member(self, rumor: Rumor) -> None:
        key = ("member", rumor.name) if not rumor.by else ("suspect", rumor.name, rumor.by)
        self._add_news(key, rumor)

    def _news_of_fact(self, entry: Entry) -> None:
        self._add_news(("fact", *key_of(entry)), entry)
        self.told(entry)

    def _tell_many(self) -> None:
        """A refutation has to reach everybody before the suspicion ends: it begins at several at once."""
        for member in self.members.some(DENY_TO):
            self._send(member.address, Kind.NEWS)

    def _add_news(self, key: Any, piece: Rumor | Entry) -> None:
        self.news.add(key, piece)
        self.news_at = min(self.news_at, max(self.ticked, self.last_news + AT_ONCE_S) + AT_ONCE_S)

    # ---- time ----

    def due(self, now: float) -> float:
        """When `tick` is to be called at the latest; what comes in may make it earlier."""
        due = min(self.probe_at, self.tidy_at, now + PROBE_S, self._probe_next())
        return min(due, self.news_at) if self.news else due

    def tick(self, now: float, wall: float) -> None:
        """Do what is due."""
        self.wall = wall
        if now - self.ticked > SILENT_S / 4:
            # This process stood still: its own probes were not answered in time through no fault of others.
            self.members.woke(now)
            self.probe = None
            self.probe_at = now + self.chance.uniform(0, PROBE_S)
        self.ticked = now
        self._favours_due(now)
        self._probe_due(now)
        self.members.expire(now)
        if now >= self.news_at:
            self.news_at, self.last_news = now + NEWS_S, now
            if self.news and not self.members.taken_over:
                for member in self.members.some(NEWS_TO):
                    self._send(member.address, Kind.NEWS)
        if now >= self.tidy_at:
            self.tidy_at = now + TIDY_S
            self.members.forget(now)
            self.facts.tidy(now, wall, self.members.life_of)
            for name in self.windows.keys() - self.members.others.keys():
                del self.windows[name]
        self._exchanges_due(now)

    def _probe_next(self) -> float:
        probe = self.probe
        due = min((favour.nack_at for favour in self.favours.values()), default=math.inf)
        if probe is None:
            return due
        return min(due, probe.until if probe.asked else probe.direct_until)

    def _patience(self) -> float:
        """Lifeguard: a member that is itself behind gives the others more time."""
        return 1.0 + self.members.health

    def _probe_due(self, now: float) -> None:
        probe = self.probe
        if probe is not None and not probe.asked and now >= probe.direct_until:
            probe.asked = True
            member = self.members.others.get(probe.name)
            if member is not None:
                host, port = member.address
                for helper in self.members.helpers(HELPERS, probe.name, now):
                    probe.helpers += 1
                    self._send(
                        helper.address, Kind.ASK, seq=self.seq, target=probe.name, host=host, port=port
                    )
        if probe is not None and now >= probe.until:
            self.probe = None
            # No word of the helpers either: more likely this one hears badly (Lifeguard's missing nacks).
            self.members.worse(max(0, probe.helpers - probe.nacks - 1) if probe.helpers else 0)
            self.members.suspect(probe.name, now)
        if self.probe is None and now >= self.probe_at:
            self.probe_at = now + PROBE_S * self._patience() * self.chance.uniform(0.9, 1.1)
            if not self.members.taken_over and (member := self.members.next_probe()) is not None:
                self._ping(member, now)

    def _ping(self, member: Member, now: float) -> None:
        self.seq += 1
        wait = ANSWER_S * self._patience()
        self.probe = Probe(member.rumor.name, now + wait, now + 2 * wait)
        # One that is suspected hears so first, to refute it at once (Lifeguard's buddy).
        first = member.rumor if member.state is State.SUSPECT else None
        self._send_ping(member.address, self.seq, member.rumor.name, first)

    def _send_ping(self, to: Address, seq: int, target: str, first: Rumor | None = None) -> None:
        host, port = self.address
        self._send(to, Kind.PING, seq=seq, target=target, host=host, port=port, first=first)

    def _favours_due(self, now: float) -> None:
        for seq, favour in list(self.favours.items()):
            if now >= favour.nack_at:
                del self.favours[seq]
                self._send(favour.asker, Kind.NACK, seq=favour.seq)

    def _exchanges_due(self, now: float) -> None:
        alone = not self.members.present
        if alone and now >= self.join_at and self.seeds:
            self.join_at = now + self.join_wait * self.chance.uniform(0.75, 1.25)
            self.join_wait = min(JOIN_S[1], self.join_wait * 2)
            seeds = [seed for seed in self.seeds if seed != self.address]
            self.exchange_with += self.chance.sample(seeds, min(2, len(seeds)))
        elif not alone and now >= self.exchange_at:
            scale = max(1.0, math.log2(self.members.size) - 4)
            self.exchange_at = now + EXCHANGE_S * scale * self.chance.uniform(0.75, 1.25)
            self.exchange_with += [member.address for member in self.members.some(1)]
        if not alone and now >= self.rejoin_at:
            self.rejoin_at = now + REJOIN_S * self.chance.uniform(0.75, 1.25)
            known = {member.address for member in self.members.here()}
            lost = [m.address for m in self.members.others.values() if m.state is State.DEAD]
            lost += [seed for seed in self.seeds if seed not in known and seed != self.address]
            if lost:
                self.exchange_with.append(self.chance.choice(lost))

    def ask_more(self, number: int) -> None:
        """Exchange soon with so many members, by chance, whose whole state has not come yet."""
        self.exchange_with += [m.address for m in self.members.some(number, without=self.exchanged_with)]

    def ask_of(self, addresses: list[Address]) -> None:
        """Exchange soon with these."""
        self.exchange_with += addresses

    def exchanges(self) -> list[Address]:
        """Whom to exchange all that is known with, now."""
        wanted, self.exchange_with = self.exchange_with, []
        return wanted

    # ---- receiving ----

    def refuse(self, reason: str) -> None:
        """Count something that was dropped."""
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def receive(self, now: float, wall: float, frame: bytes) -> bool:
        """Take a datagram; what is not of this fleet, is old or spoilt is counted and changes nothing."""
        self.wall = wall
        try:
            message = self.seal.datagram(frame)
            if (later := self._later(message.sender, message.life)) is not None:
                if message.kind is Kind.PING and message.host and message.port:
                    # A process that does not know that another has its name: the answer says so.
                    self._send((message.host, message.port), Kind.ACK, seq=message.seq, first=later)
                raise Refused("older")
            self._check(message.sender, message.life, message.number)
        except Refused as error:
            self.refuse(error.reason)
            return False
        self.taken += 1
        self.order.hear(message.stamp, wall)
        self._take(now, message.rumors, message.entries)
        self.members.heard(message.sender, message.life, now)
        member = self.members.others.get(message.sender)
        match message.kind:
            case Kind.PING:
                # Who is thought dead, or has yet to be met, is told so by the answer, and can say otherwise.
                known = member.rumor if member is not None and member.state is not State.ALIVE else None
                if any(r.name == self.members.me.name and r.state is not State.ALIVE for r in message.rumors):
                    known = self.members.me  # it was said of this one, and may have been refuted long ago
                if message.target == self.members.me.name and message.host and message.port:
                    self._send((message.host, message.port), Kind.ACK, seq=message.seq, first=known)
            case Kind.ACK:
                self._answered(now, message)
            case Kind.ASK:
                self._ask(now, message, member)
            case Kind.NACK:
                if self.probe is not None and message.seq == self.seq:
                    self.probe.nacks += 1
            case Kind.NEWS:
                pass
        return True

    def _later(self, sender: str, life: Incarnation) -> Rumor | None:
        """What is known of a later life of a sender."""
        if sender == self.members.me.name:
            return self.members.me if life < self.members.me.life else None
        member = self.members.others.get(sender)
        return member.rumor if member is not None and life < member.rumor.life else None

    def _check(self, sender: str, life: Incarnation, number: int) -> None:
        me = self.members.me
        if sender == me.name and life == me.life:
            raise Refused("own")
        window = self.windows.get(sender)
        if window is None:
            if len(self.windows) >= MOST_WINDOWS:
                raise Refused("full")
            window = self.windows[sender] = Window(life)
        if not window.fresh(life, number):
            raise Refused("replay")

    def _take(self, now: float, rumors: list[Rumor], entries: list[Entry]) -> None:
        for rumor in rumors:
            self.members.take(rumor, now)
        for entry in entries:
            if not self.members.taken_over:
                self.facts.merge(self.wall, entry)

    def _answered(self, now: float, message: Datagram) -> None:
        probe = self.probe
        if probe is not None and message.seq == self.seq and probe.name in (message.sender, message.target):
            self.probe = None
            self.members.better()
            return
        if (favour := self.favours.pop(message.seq, None)) is not None:
            self._send(favour.asker, Kind.ACK, seq=favour.seq, target=message.sender)

    def _ask(self, now: float, message: Datagram, asker: Member | None) -> None:
        if asker is None or self.members.taken_over or len(self.favours) >= MOST_SEEN:
            return
        if not (message.host and message.port):
            return
        # Favours have numbers of their own, which no ping of this one's has.
        seq = (1 << 62) + self.chance.getrandbits(60)
        self.favours[seq] = Favour(message.seq, asker.address, now + ANSWER_S * NACK_PART)
        self._send_ping((message.host, message.port), seq, message.target)

    # ---- exchanges ----

    def state(self, answer: bool) -> bytes:
        """All that is known here, as a frame for an exchange."""
        self.number += 1
        me = self.members.me
        rumors = [me, *(member.rumor for member in self.members.others.values())]
        entries = list(self.facts.entries())
        known = Exchange(me.name, me.life, self.number, answer, rumors, entries, stamp=self.order.last)
        if not answer:
            return self.seal.close(msgspec.structs.replace(known, wants=self.wants, seq=self.list_seq))
        wanted, self.wanted = self.wanted, None
        if wanted is not None and wanted.wants:
            listed = self.listed(wanted.seq) if wanted.wants & LIST else None
            spent = self.spent() if wanted.wants & SPENDING else None
            known = msgspec.structs.replace(known, listed=listed, spent=spent)
        return self.seal.close(known)

    def exchanged(self, now: float, wall: float, frame: bytes, answer: bool) -> bool:
        """Take the other side's state; whether it was one."""
        self.wall = wall
        try:
            message = self.seal.exchange(frame)
            if message.answer is not answer:
                raise Refused("replay")
            if self._later(message.sender, message.life) is not None:
                self.refuse("older")
                return not answer  # it is told what holds, and nothing of its own is taken
            if message.sender != self.members.me.name:
                self._check(message.sender, message.life, message.number)
        except Refused as error:
            self.refuse(error.reason)
            return False
        self.order.hear(message.stamp, wall)
        self._take(now, message.rumors, message.entries)
        self.members.heard(message.sender, message.life, now)
        self.exchanged_with &= self.members.others.keys()
        self.exchanged_with.add(message.sender)
        if not answer:
            self.wanted = message
        elif message.listed is not None or message.spent is not None:
            self.learned(message)
        self.join_wait = JOIN_S[0]
        return True

    # ---- this gateway's own word ----

    def tell(self, wall: float, kind: str, name: str, value: str | None) -> bool:
        """Tell a fact; whether it is new. Raises TooMuch."""
        return self.facts.tell(wall, kind, name, value) is not None

    def urge(self) -> None:
        """Send what is new to several at once: of what each moment's delay costs requests."""
        if not self.members.taken_over:
            self._tell_many()

    def leave(self, now: float) -> None:
        """Say goodbye to a few, who tell the rest."""
        self.members.leave()
        for member in self.members.some(4):
            self._send(member.address, Kind.NEWS)
