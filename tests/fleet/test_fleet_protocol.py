"""The protocol between gateways: frames, facts, members, and complete fleets on a hand-set clock."""

from __future__ import annotations

import itertools
import json
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from switchline.config import ConfigError, parse_config
from switchline.fleet.endpoint import ProtocolEndpoint
from switchline.fleet.fact_kinds import FactKind
from switchline.fleet.facts import (
    MAX_CLOCK_SKEW_MS,
    MAX_ENTRIES_OF_ORIGIN,
    WITHDRAWAL_TTL_MS,
    FactLimitError,
    Facts,
)
from switchline.fleet.frames import PROTOCOL_VERSION, FrameCodec, FrameRefusedError, ReplayWindow
from switchline.fleet.membership.members import Members
from switchline.fleet.membership.suspicion import DEAD_MEMBER_TTL_S
from switchline.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    Entry,
    Exchange,
    MemberState,
    MemberUpdate,
    MessageKind,
    Wanted,
)
from testbed.network.fleet_link import SEAL, WALL_MS, Net, address_of, fleet

INCARNATION = (5, 1)


# ---- frames ----


def ping(number: int = 1, **given: Any) -> Datagram:
    return Datagram(
        "g1", INCARNATION, number, MessageKind.PING, seq=7, target="g0", host="127.0.0.1", port=7, **given
    )


def test_what_is_spoilt_foreign_or_too_long_is_refused_by_its_reason() -> None:
    frame = SEAL.encode(ping())
    assert SEAL.decode_datagram(frame) == ping()
    spoilt = {
        "garbage": frame[:10],
        "version": bytes([PROTOCOL_VERSION + 1]) + frame[1:],
        "fleet": FrameCodec("other", b"a secret of the lab's own").encode(ping()),
        "key": FrameCodec("lab", b"another secret of theirs").encode(ping()),
        "oversize": frame + b"x" * MAX_DATAGRAM_BYTES,
    }
    for reason, bad in spoilt.items():
        with pytest.raises(FrameRefusedError) as error:
            SEAL.decode_datagram(bad)
        assert error.value.reason == reason
    body = msgspec.msgpack.encode([1, 2, "not a message"])
    with pytest.raises(FrameRefusedError) as error:
        SEAL.decode_datagram(SEAL.prefix + SEAL.mac(body) + body)
    assert error.value.reason == "garbage"


def test_a_newer_message_is_read_as_far_as_it_is_known() -> None:
    body = msgspec.msgpack.encode([*msgspec.to_builtins(ping()), "a field of later", {"more": 1}])
    assert SEAL.decode_datagram(SEAL.prefix + SEAL.mac(body) + body) == ping()


def test_numbers_are_accepted_once_in_any_order_and_an_older_incarnation_never() -> None:
    window = ReplayWindow((2, 0))
    assert [window.accept((2, 0), n) for n in (5, 3, 5, 4, 3, 100, 36, 37, 37)] == [
        *(True, True, False, True, False),
        *(True, False, True, False),
    ]
    assert not window.accept((1, 9), 1_000)
    assert window.accept((3, 0), 1) and not window.accept((2, 0), 101)


@settings(max_examples=300)
@given(st.binary(max_size=200), st.integers(0, 400), st.integers(0, 255))
def test_fuzzed_frames_change_nothing_and_raise_nothing(noise: bytes, place: int, byte: int) -> None:
    net = Net(1)
    node = net.add(0)
    frame = bytearray(
        SEAL.encode(ping(updates=[MemberUpdate("g2", (1, 1), 0, MemberState.ALIVE, "127.0.0.1", 9)]))
    )
    if place < len(frame):
        changed = frame[place] != byte
        frame[place] = byte
        assert node.receive_datagram(1.0, WALL_MS, bytes(frame)) is not changed
    assert not node.receive_datagram(1.0, WALL_MS, noise)
    assert not node.receive_exchange(1.0, WALL_MS, noise, False)
    sealed = SEAL.prefix + SEAL.mac(noise) + noise
    node.receive_datagram(1.0, WALL_MS, sealed)
    node.receive_exchange(1.0, WALL_MS, sealed, True)
    assert set(node.members.others) <= {"g1", "g2"}


# ---- facts ----

names = st.sampled_from(["a", "b"])
entries = st.builds(
    Entry,
    kind=st.sampled_from(["ready", FactKind.OVERRIDE_BACKEND]),
    name=names,
    origin=st.sampled_from(["g0", "g1", "g2"]),
    incarnation=st.tuples(st.integers(1, 2), st.integers(0, 1)),
    version=st.integers(1, 3),
    at_ms=st.sampled_from([WALL_MS, WALL_MS - 5, WALL_MS + 10 * MAX_CLOCK_SKEW_MS]),
    value=st.sampled_from([None, "down", "up"]),
)


def merged(some: list[Entry]) -> dict[Any, Entry]:
    facts = Facts("me", INCARNATION)
    for entry in some:
        facts.merge(WALL_MS, entry)
    return {key: stored.entry for key, stored in facts.table.items()}


@settings(max_examples=400)
@given(st.lists(entries, max_size=12), st.randoms(use_true_random=False))
def test_a_merge_is_the_same_in_any_order_and_any_number_of_times(
    some: list[Entry], lot: random.Random
) -> None:
    other = [*some, *lot.sample(some, len(some) // 2)]
    lot.shuffle(other)
    assert merged(some) == merged(other)
    half = len(some) // 2
    assert merged([*merged(some[:half]).values(), *merged(some[half:]).values()]) == merged(some)


def overrides(facts: Facts) -> dict[str, tuple[str | None, float]]:
    """The overrides of backends that are known."""
    return {
        name: (stored.entry.value, stored.entry.at_ms)
        for (name, _), stored in facts.of_kind(FactKind.OVERRIDE_BACKEND).items()
    }


def test_the_newest_call_wins_a_clock_too_far_ahead_is_not_believed_and_deletions_end() -> None:
    facts = Facts("g0", INCARNATION)
    assert facts.publish(WALL_MS, FactKind.OVERRIDE_BACKEND, "b1", "down")
    assert facts.publish(WALL_MS, FactKind.OVERRIDE_BACKEND, "b1", "down") is None  # nothing new
    call = Entry(FactKind.OVERRIDE_BACKEND, "b1", "g1", (9, 9), 1, WALL_MS + MAX_CLOCK_SKEW_MS + 1, "up")
    assert not facts.merge(WALL_MS, call) and facts.refused["clock"] == 1
    assert overrides(facts) == {"b1": ("down", WALL_MS)}
    assert facts.merge(WALL_MS, msgspec.structs.replace(call, at_ms=WALL_MS + 1))
    assert not facts.publish(
        WALL_MS, FactKind.OVERRIDE_BACKEND, "b1", "down"
    )  # an older call than the one that holds
    assert overrides(facts) == {"b1": ("up", WALL_MS + 1)}
    assert facts.publish(WALL_MS, "ready", "", "yes") and facts.publish(WALL_MS, "ready", "", None)
    later = WALL_MS + WITHDRAWAL_TTL_MS + 1
    facts.expire(2, later, lambda name: INCARNATION)
    assert facts.value("ready", "", "g0") is None and ("ready", "", "g0") not in facts.table
    old = Entry("ready", "", "g1", INCARNATION, 1, WALL_MS, None)
    assert not facts.merge(later, old)  # what has ended is not brought back by who still tells it


def test_bounds_are_refused_at_the_origin_and_orphans_are_forgotten() -> None:
    facts = Facts("g0", INCARNATION)
    for number in range(MAX_ENTRIES_OF_ORIGIN):
        facts.publish(WALL_MS, "x", str(number), "v")
    with pytest.raises(FactLimitError):
        facts.publish(WALL_MS, "x", "more", "v")
    with pytest.raises(FactLimitError):
        facts.publish(WALL_MS, "x", "0", "v" * 1000)
    greedy = [
        Entry("x", str(n), "g1", INCARNATION, 1, WALL_MS, "v") for n in range(MAX_ENTRIES_OF_ORIGIN + 9)
    ]
    assert sum(facts.merge(WALL_MS, entry) for entry in greedy) == MAX_ENTRIES_OF_ORIGIN
    assert facts.refused["full"] == 9
    incarnations = {"g1": INCARNATION}
    facts.expire(10, WALL_MS, incarnations.get)
    assert facts.count_by_origin["g1"] == MAX_ENTRIES_OF_ORIGIN
    incarnations["g1"] = (6, 1)  # a later one: the facts of the earlier end
    facts.expire(20, WALL_MS, incarnations.get)
    facts.expire(100, WALL_MS, incarnations.get)
    assert "g1" not in facts.count_by_origin and facts.count_by_origin["g0"] == MAX_ENTRIES_OF_ORIGIN


# ---- members ----


def claim(name: str, incarnation: int, refutation: int, state: MemberState, by: str = "") -> MemberUpdate:
    return MemberUpdate(name, (incarnation, 0), refutation, state, "127.0.0.1", 7, by)


claims = st.builds(
    claim,
    st.sampled_from(["g1", "g2"]),
    st.integers(1, 2),
    st.integers(0, 2),
    st.sampled_from(list(MemberState)),
    st.sampled_from(["", "g3"]),
)


@settings(max_examples=400)
@given(st.lists(claims, max_size=12), st.randoms(use_true_random=False))
def test_what_is_known_of_members_does_not_depend_on_the_order_of_claims(
    some: list[MemberUpdate], lot: random.Random
) -> None:
    def known(given: list[MemberUpdate]) -> dict[str, Any]:
        members = Members(claim("g0", 1, 0, MemberState.ALIVE), random.Random(1))
        for one in given:
            members.merge(one, 0.0)
        return {
            n: (m.update.incarnation, m.update.refutation, m.update.state) for n, m in members.others.items()
        }

    other = [*some, *some[:3]]
    lot.shuffle(other)
    assert known(some) == known(other)


def test_three_members_under_every_order_and_loss_of_few_messages() -> None:
    """Exhaustive: after any fate of its first messages a member that lives and is reachable is seen alive."""
    for fates in itertools.product((0, 1, 2), repeat=5):
        net = Net(7, trip_s=0.01, jitter_s=0.0)
        for number in range(3):
            net.add(number, seeds=(0,))
        net.run(3.0)
        net.fates = list(fates)  # lost, late or doubled
        net.run(12.0)
        assert net.whole(), fates


def test_two_incarnations_of_one_name_never_merge_and_the_later_one_holds() -> None:
    net = fleet(6, 1)
    first = net.nodes[address_of(3)]
    other = net.add(
        30, seeds=(0,), name="g3", incarnation=(first.members.me.incarnation[0] + 1, 1)
    )  # at another address
    net.run(10)
    assert first.members.superseded and not other.members.superseded
    for node in net.nodes.values():
        if node.members.me.name != "g3":
            member = node.members.others["g3"]
            assert member.update.incarnation == other.members.me.incarnation and member.address == address_of(
                30
            )
    net.remove(30)  # the later one dies: the first has its name again, above it
    net.run(60)
    assert not first.members.superseded and first.members.me.incarnation > other.members.me.incarnation
    assert net.all_see("g3", {MemberState.ALIVE})


def test_a_name_that_returns_has_a_higher_incarnation_and_facts_of_the_old_one_end() -> None:
    net = fleet(5, 2)
    old = net.nodes[address_of(4)]
    old.publish(net.wall(address_of(4)), "ready", "", "yes")
    net.run(3)
    net.remove(4)
    new = net.add(4, seeds=(0,))
    net.run(5)
    assert net.all_see("g4", {MemberState.ALIVE}) and new.members.me.incarnation > old.members.me.incarnation
    new.publish(net.wall(address_of(4)), "ready", "", "no")
    net.run(3)
    assert {n.facts.value("ready", "", "g4") for n in net.nodes.values()} == {"no"}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_death_is_known_to_all_and_leaving_is_not_a_death(seed: int) -> None:
    net = fleet(20, seed)
    net.remove(7)
    assert net.run(10, lambda: net.all_see("g7", {MemberState.DEAD}))
    leaver = net.nodes[address_of(8)]
    leaver.leave()
    net.carry(address_of(8), leaver)
    net.remove(8)
    assert net.run(10, lambda: net.all_see("g8", {MemberState.LEFT}))
    net.run(DEAD_MEMBER_TTL_S + 30)
    assert not any("g7" in node.members.others for node in net.nodes.values())


@pytest.mark.parametrize("seed", [1, 2])
def test_with_thirty_in_a_hundred_lost_and_doubled_the_living_are_seen(seed: int) -> None:
    net = fleet(12, seed)
    net.loss, net.duplicate = 0.3, 0.1
    net.run(60)
    net.loss = 0.0
    assert net.run(30, net.whole)


def test_one_that_stood_still_kills_nobody_and_is_seen_again() -> None:
    net = fleet(12, 3)
    for for_s in (1.0, 5.0, 20.0):
        died = net.nodes[address_of(4)].members.event_counts["died"]
        net.stop(4, for_s)
        net.run(for_s + 0.5)
        assert net.nodes[address_of(4)].members.event_counts["died"] == died
        assert net.run(40, net.whole)


def test_asymmetric_links_do_not_drive_anybody_out() -> None:
    net = fleet(10, 4)
    net.cut = lambda a, b: (a, b) == (address_of(1), address_of(2))
    net.run(30)
    assert net.whole()  # the others ask on each one's behalf


def test_halves_that_declared_each_other_dead_find_each_other_and_know_who_is_few() -> None:
    net = fleet(9, 5)
    few = {address_of(n) for n in (6, 7, 8)}
    net.cut = lambda a, b: (a in few) is not (b in few)
    net.run(30)
    for address, node in net.nodes.items():
        assert node.members.size == (3 if address in few else 6)
        assert node.members.minority is (address in few)
    net.cut = lambda a, b: False
    assert net.run(60, net.whole)
    assert not any(node.members.minority for node in net.nodes.values())


def test_seeds_dead_or_wrong_and_a_whole_fleet_at_once() -> None:
    net = Net(6)
    for number in range(30):
        net.add(number, seeds=(90, 0, 1))
    assert net.run(20, net.whole)
    alone = Net(7)
    node = alone.add(0, seeds=(50,))
    alone.run(30)
    assert node.members.size == 1 and not node.members.minority


def test_seventy_in_a_hundred_die_at_once_and_the_rest_knows() -> None:
    net = fleet(60, 8)
    for number in range(42):
        net.remove(number)
    dead = {f"g{n}" for n in range(42)}
    # With the dead asked for help as often as the living, each seems unwell to itself: 40 s and more.
    assert net.run(25, lambda: all(net.all_see(name, {MemberState.DEAD}) for name in dead))
    assert all(node.members.minority for node in net.nodes.values())
    assert net.whole()


def test_clocks_minutes_apart_and_a_table_at_its_bound() -> None:
    net = Net(9)
    net.clocks[address_of(2)] = 600_000.0
    for number in range(5):
        net.add(number)
    assert net.run(10, net.whole)
    ahead = net.nodes[address_of(2)]
    ahead.publish(net.wall(address_of(2)), "ready", "", "yes")
    ahead.publish(net.wall(address_of(2)), FactKind.OVERRIDE_BACKEND, "b0", "down")
    net.run(15)
    for address, node in net.nodes.items():
        assert node.facts.value("ready", "", "g2") == "yes"  # of itself: no clocks are compared
        assert (node.facts.value(FactKind.OVERRIDE_BACKEND, "b0") == "down") is (address == address_of(2))


def test_pings_and_the_number_of_the_list_that_is_asked_for_are_apart() -> None:
    net = fleet(3, 1)
    node = net.nodes[address_of(0)]
    node.wants, node.list_seq = Wanted.LIST, 41
    net.run(5.0)
    assert (
        SEAL.decode_exchange(node.exchange_frame(False)).list_seq == 41 and node.prober.seq > 5
    )  # of pings: it never goes back


def test_a_fact_over_the_bound_of_its_gateway_is_left_out_where_it_is_only_offered() -> None:
    facts = Facts("g0", INCARNATION)
    for number in range(MAX_ENTRIES_OF_ORIGIN + 3):
        facts.publish_if_allowed(WALL_MS, "zone-met", str(number), "1")
    assert len(facts.table) == MAX_ENTRIES_OF_ORIGIN and facts.refused["own"] == 3


def test_a_replayed_datagram_and_one_of_its_own_change_nothing() -> None:
    net = fleet(3, 10)
    node, other = net.nodes[address_of(0)], net.nodes[address_of(1)]
    other.publish(net.wall(address_of(1)), "x", "", "1")
    other.outbox.send(address_of(0), MessageKind.GOSSIP)
    frame = other.take_datagrams()[-1][1]
    assert node.receive_datagram(net.now, WALL_MS, frame) and not node.receive_datagram(
        net.now, WALL_MS, frame
    )
    assert node.refused["replay"] == 1
    assert not other.receive_datagram(net.now, WALL_MS, frame) and other.refused["own"] == 1
    state = other.exchange_frame(False)
    assert not node.receive_exchange(net.now, WALL_MS, state, True)  # not the answer that was waited for
    assert isinstance(SEAL.decode_exchange(state), Exchange)


def test_a_datagram_stays_under_its_bound_however_much_there_is_to_tell() -> None:
    net = fleet(4, 11)
    node: ProtocolEndpoint = net.nodes[address_of(0)]
    for number in range(MAX_ENTRIES_OF_ORIGIN):
        node.publish(WALL_MS, "kind" * 10, "n" * 50 + str(number), "\u20ac" * 400)
    for _ in range(30):
        node.outbox.send(address_of(1), MessageKind.GOSSIP)
    assert max(len(frame) for _, frame in node.take_datagrams()) <= MAX_DATAGRAM_BYTES


# ---- the configuration ----


def config(tmp_path: Path, **changes: Any) -> dict[str, Any]:
    secret = tmp_path / "secret"
    secret.write_text("a secret that is long enough")
    given = {"name": "f", "listen": "127.0.0.1:7946", "seeds": ["127.0.0.2:7946"], "secret": str(secret)}
    given |= changes
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": {"classes": [], "rules": {}},
        "fleet": {key: value for key, value in given.items() if value is not ...},
    }


def test_a_good_table_is_read_and_none_is_none(tmp_path: Path) -> None:
    line = parse_config(config(tmp_path)).fleet
    assert line is not None and line.advertise == line.listen == ("127.0.0.1", 7946)
    assert "secret that" not in repr(line)
    assert parse_config({**config(tmp_path), "fleet": None}).fleet is None


@pytest.mark.parametrize(
    "changes",
    [
        {"name": ""},
        {"name": 7},
        {"listen": ...},
        {"listen": "here"},
        {"listen": "127.0.0.1:0"},
        {"advertise": "127.0.0.1"},
        {"seeds": "127.0.0.1:1"},
        {"seeds": ["nowhere"]},
        {"secret": ...},
        {"secret": "/no/such/file"},
        {"secret": "/dev/null"},
        {"colour": "blue"},
    ],
)
def test_a_malformed_table_refuses_the_start(tmp_path: Path, changes: dict[str, Any]) -> None:
    with pytest.raises(ConfigError) as error:
        parse_config(config(tmp_path, **changes))
    assert "\n" not in str(error.value)
    json.dumps(str(error.value))


def test_a_member_that_flaps_is_at_the_end_what_it_is() -> None:
    net = fleet(8, 12)
    for _ in range(6):
        net.remove(3)
        net.run(2.2)
        net.add(3, seeds=(0,))
        net.run(1.3)
    assert net.run(20, net.whole)
    incarnations = {
        node.members.others["g3"].update.incarnation for a, node in net.nodes.items() if a != address_of(3)
    }
    assert incarnations == {net.nodes[address_of(3)].members.me.incarnation}


class AnyPlay(RuleBasedStateMachine):
    """Four members under any order of cuts, losses, stops, deaths, returns; at the end all is well."""

    def __init__(self) -> None:
        super().__init__()
        self.net = fleet(4, 13)
        self.cuts: set[tuple[int, int]] = set()
        self.net.cut = lambda a, b: (place_of(a), place_of(b)) in self.cuts
        self.told = 0

    @rule(a=st.integers(0, 3), b=st.integers(0, 3))
    def cut_one_way(self, a: int, b: int) -> None:
        self.cuts.add((a, b))

    @rule()
    def heal(self) -> None:
        self.cuts.clear()

    @rule(loss=st.sampled_from([0.0, 0.3]), duplicate=st.sampled_from([0.0, 0.5]))
    def lose(self, loss: float, duplicate: float) -> None:
        self.net.loss, self.net.duplicate = loss, duplicate

    @rule(who=st.integers(0, 3), for_s=st.sampled_from([1.0, 6.0]))
    def stop(self, who: int, for_s: float) -> None:
        self.net.stop(who, for_s)

    @rule(who=st.integers(0, 3))
    def start_again(self, who: int) -> None:
        self.net.run(0.01)
        self.net.add(who, seeds=(0, 1))

    @rule(who=st.integers(0, 3))
    def tell(self, who: int) -> None:
        self.told += 1
        node, at = self.net.nodes[address_of(who)], address_of(who)
        node.publish(self.net.wall(at), "x", str(who), str(self.told))

    @rule(for_s=st.sampled_from([0.3, 2.0, 8.0]))
    def pass_time(self, for_s: float) -> None:
        self.net.run(for_s)

    @invariant()
    def no_incarnation_is_known_that_never_was(self) -> None:
        for node in self.net.nodes.values():
            for member in node.members.others.values():
                alive = self.net.nodes[member.address].members.me
                assert member.update.incarnation <= alive.incarnation and member.update.name == alive.name

    def teardown(self) -> None:
        self.cuts.clear()
        self.net.loss = self.net.duplicate = 0.0
        assert self.net.run(90, self.net.whole)
        self.net.run(60)  # exchanges: whatever was missed is repaired
        incarnations = {node.members.me.incarnation for node in self.net.nodes.values()}
        of_living = [
            {(e.kind, e.name, e.value) for e in node.facts.entries() if e.incarnation in incarnations}
            for node in self.net.nodes.values()
        ]
        assert all(one == of_living[0] for one in of_living)


def place_of(address: tuple[str, int]) -> int:
    return int(address[0].rpartition(".")[2]) - 1


AnyPlay.TestCase.settings = settings(max_examples=25, stateful_step_count=12)
TestAnyPlay = AnyPlay.TestCase
