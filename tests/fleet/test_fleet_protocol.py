"""The protocol between gateways: frames, facts, members, and complete fleets on a simulated clock."""

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


def ping(number: int = 1, **fields: Any) -> Datagram:
    return Datagram(
        "g1", INCARNATION, number, MessageKind.PING, seq=7, target="g0", host="127.0.0.1", port=7, **fields
    )


def test_a_damaged_foreign_or_oversized_frame_is_refused_with_the_matching_reason() -> None:
    frame = SEAL.encode(ping())
    assert SEAL.decode_datagram(frame) == ping()
    bad_frames = {
        "garbage": frame[:10],
        "version": bytes([PROTOCOL_VERSION + 1]) + frame[1:],
        "fleet": FrameCodec("other", b"a secret of the lab's own").encode(ping()),
        "key": FrameCodec("lab", b"another secret of theirs").encode(ping()),
        "oversize": frame + b"x" * MAX_DATAGRAM_BYTES,
    }
    for reason, bad_frame in bad_frames.items():
        with pytest.raises(FrameRefusedError) as error:
            SEAL.decode_datagram(bad_frame)
        assert error.value.reason == reason
    body = msgspec.msgpack.encode([1, 2, "not a message"])
    with pytest.raises(FrameRefusedError) as error:
        SEAL.decode_datagram(SEAL.prefix + SEAL.mac(body) + body)
    assert error.value.reason == "garbage"


def test_unknown_fields_at_the_end_of_a_message_are_ignored() -> None:
    body = msgspec.msgpack.encode([*msgspec.to_builtins(ping()), "a field of later", {"more": 1}])
    assert SEAL.decode_datagram(SEAL.prefix + SEAL.mac(body) + body) == ping()


def test_replay_window_accepts_each_number_once_in_any_order_and_no_older_incarnation() -> None:
    window = ReplayWindow((2, 0))
    assert [window.accept((2, 0), n) for n in (5, 3, 5, 4, 3, 100, 36, 37, 37)] == [
        *(True, True, False, True, False),
        *(True, False, True, False),
    ]
    assert not window.accept((1, 9), 1_000)
    assert window.accept((3, 0), 1) and not window.accept((2, 0), 101)


@settings(max_examples=300)
@given(st.binary(max_size=200), st.integers(0, 400), st.integers(0, 255))
def test_fuzzed_frames_raise_nothing_and_add_no_members(noise: bytes, position: int, byte: int) -> None:
    net = Net(1)
    node = net.add(0)
    frame = bytearray(
        SEAL.encode(ping(updates=[MemberUpdate("g2", (1, 1), 0, MemberState.ALIVE, "127.0.0.1", 9)]))
    )
    if position < len(frame):
        is_changed = frame[position] != byte
        frame[position] = byte
        assert node.receive_datagram(1.0, WALL_MS, bytes(frame)) is not is_changed
    assert not node.receive_datagram(1.0, WALL_MS, noise)
    assert not node.receive_exchange(1.0, WALL_MS, noise, False)
    authentic_noise = SEAL.prefix + SEAL.mac(noise) + noise
    node.receive_datagram(1.0, WALL_MS, authentic_noise)
    node.receive_exchange(1.0, WALL_MS, authentic_noise, True)
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


def merged_table(input_entries: list[Entry]) -> dict[Any, Entry]:
    facts = Facts("me", INCARNATION)
    for entry in input_entries:
        facts.merge(WALL_MS, entry)
    return {key: stored.entry for key, stored in facts.table.items()}


@settings(max_examples=400)
@given(st.lists(entries, max_size=12), st.randoms(use_true_random=False))
def test_merging_facts_in_any_order_and_repeatedly_gives_the_same_table(
    input_entries: list[Entry], rng: random.Random
) -> None:
    shuffled = [*input_entries, *rng.sample(input_entries, len(input_entries) // 2)]
    rng.shuffle(shuffled)
    assert merged_table(input_entries) == merged_table(shuffled)
    half = len(input_entries) // 2
    assert merged_table(
        [*merged_table(input_entries[:half]).values(), *merged_table(input_entries[half:]).values()]
    ) == merged_table(input_entries)


def overrides(facts: Facts) -> dict[str, tuple[str | None, float]]:
    """Return value and time of each known override of a backend, by the backend's name."""
    return {
        name: (stored.entry.value, stored.entry.at_ms)
        for (name, _), stored in facts.of_kind(FactKind.OVERRIDE_BACKEND).items()
    }


def test_newest_override_wins_one_from_too_far_ahead_is_refused_and_withdrawals_expire() -> None:
    facts = Facts("g0", INCARNATION)
    assert facts.publish(WALL_MS, FactKind.OVERRIDE_BACKEND, "b1", "down")
    assert (
        facts.publish(WALL_MS, FactKind.OVERRIDE_BACKEND, "b1", "down") is None
    )  # the override exists already
    call = Entry(FactKind.OVERRIDE_BACKEND, "b1", "g1", (9, 9), 1, WALL_MS + MAX_CLOCK_SKEW_MS + 1, "up")
    assert not facts.merge(WALL_MS, call) and facts.refused["clock"] == 1
    assert overrides(facts) == {"b1": ("down", WALL_MS)}
    assert facts.merge(WALL_MS, msgspec.structs.replace(call, at_ms=WALL_MS + 1))
    assert not facts.publish(
        WALL_MS, FactKind.OVERRIDE_BACKEND, "b1", "down"
    )  # refused, as the call is older than the one in the table
    assert overrides(facts) == {"b1": ("up", WALL_MS + 1)}
    assert facts.publish(WALL_MS, "ready", "", "yes") and facts.publish(WALL_MS, "ready", "", None)
    later = WALL_MS + WITHDRAWAL_TTL_MS + 1
    facts.expire(2, later, lambda name: INCARNATION)
    assert facts.value("ready", "", "g0") is None and ("ready", "", "g0") not in facts.table
    old = Entry("ready", "", "g1", INCARNATION, 1, WALL_MS, None)
    assert not facts.merge(
        later, old
    )  # an expired entry is not accepted again from a gateway that still has it


def test_facts_over_a_limit_are_refused_and_facts_of_a_gone_incarnation_expire() -> None:
    facts = Facts("g0", INCARNATION)
    for number in range(MAX_ENTRIES_OF_ORIGIN):
        facts.publish(WALL_MS, "x", str(number), "v")
    with pytest.raises(FactLimitError):
        facts.publish(WALL_MS, "x", "more", "v")
    with pytest.raises(FactLimitError):
        facts.publish(WALL_MS, "x", "0", "v" * 1000)
    too_many = [
        Entry("x", str(n), "g1", INCARNATION, 1, WALL_MS, "v") for n in range(MAX_ENTRIES_OF_ORIGIN + 9)
    ]
    assert sum(facts.merge(WALL_MS, entry) for entry in too_many) == MAX_ENTRIES_OF_ORIGIN
    assert facts.refused["full"] == 9
    incarnations = {"g1": INCARNATION}
    facts.expire(10, WALL_MS, incarnations.get)
    assert facts.count_by_origin["g1"] == MAX_ENTRIES_OF_ORIGIN
    incarnations["g1"] = (6, 1)  # a later incarnation: the facts of the earlier one expire
    facts.expire(20, WALL_MS, incarnations.get)
    facts.expire(100, WALL_MS, incarnations.get)
    assert "g1" not in facts.count_by_origin and facts.count_by_origin["g0"] == MAX_ENTRIES_OF_ORIGIN


# ---- members ----


def claim(
    name: str, incarnation: int, refutation: int, state: MemberState, suspected_by: str = ""
) -> MemberUpdate:
    return MemberUpdate(name, (incarnation, 0), refutation, state, "127.0.0.1", 7, suspected_by)


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
def test_merging_claims_in_any_order_gives_the_same_members(
    updates: list[MemberUpdate], rng: random.Random
) -> None:
    def merged_members(input_updates: list[MemberUpdate]) -> dict[str, Any]:
        members = Members(claim("g0", 1, 0, MemberState.ALIVE), random.Random(1))
        for update in input_updates:
            members.merge(update, 0.0)
        return {
            n: (m.update.incarnation, m.update.refutation, m.update.state) for n, m in members.others.items()
        }

    shuffled = [*updates, *updates[:3]]
    rng.shuffle(shuffled)
    assert merged_members(updates) == merged_members(shuffled)


def test_three_members_see_each_other_alive_after_any_loss_delay_or_duplication_of_five_datagrams() -> None:
    """Tries every combination of loss, delay and duplication of five datagrams of a running fleet."""
    for fates in itertools.product((0, 1, 2), repeat=5):
        net = Net(7, trip_s=0.01, jitter_s=0.0)
        for number in range(3):
            net.add(number, seeds=(0,))
        net.run(3.0)
        net.fates = list(fates)  # each of the next datagrams is lost (0), late (1) or duplicated (2)
        net.run(12.0)
        assert net.whole(), fates


def test_the_later_of_two_processes_with_one_name_wins_and_the_earlier_takes_over_when_it_dies() -> None:
    net = fleet(6, 1)
    earlier = net.nodes[address_of(3)]
    later = net.add(
        30, seeds=(0,), name="g3", incarnation=(earlier.members.me.incarnation[0] + 1, 1)
    )  # the same name at another address
    net.run(10)
    assert earlier.members.superseded and not later.members.superseded
    for node in net.nodes.values():
        if node.members.me.name != "g3":
            member = node.members.others["g3"]
            assert member.update.incarnation == later.members.me.incarnation and member.address == address_of(
                30
            )
    net.remove(30)  # the later process dies: the earlier one takes the name with an incarnation above it
    net.run(60)
    assert not earlier.members.superseded and earlier.members.me.incarnation > later.members.me.incarnation
    assert net.all_see("g3", {MemberState.ALIVE})


def test_a_restarted_member_has_a_higher_incarnation_and_its_old_facts_are_replaced() -> None:
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
def test_all_members_see_a_dead_member_dead_and_a_leaving_member_left(seed: int) -> None:
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
def test_members_see_each_other_alive_after_loss_of_30_percent_and_duplication_of_10_percent(
    seed: int,
) -> None:
    net = fleet(12, seed)
    net.loss, net.duplicate = 0.3, 0.1
    net.run(60)
    net.loss = 0.0
    assert net.run(30, net.whole)


def test_a_stalled_member_declares_nobody_dead_and_is_seen_alive_again() -> None:
    net = fleet(12, 3)
    for for_s in (1.0, 5.0, 20.0):
        died = net.nodes[address_of(4)].members.event_counts["died"]
        net.stop(4, for_s)
        net.run(for_s + 0.5)
        assert net.nodes[address_of(4)].members.event_counts["died"] == died
        assert net.run(40, net.whole)


def test_a_link_cut_in_one_direction_makes_no_member_dead() -> None:
    net = fleet(10, 4)
    net.cut = lambda a, b: (a, b) == (address_of(1), address_of(2))
    net.run(30)
    assert net.whole()  # indirect probes avoid the cut link


def test_a_partitioned_fleet_knows_its_minority_and_joins_again_after_the_partition() -> None:
    net = fleet(9, 5)
    minority = {address_of(n) for n in (6, 7, 8)}
    net.cut = lambda a, b: (a in minority) is not (b in minority)
    net.run(30)
    for address, node in net.nodes.items():
        assert node.members.size == (3 if address in minority else 6)
        assert node.members.minority is (address in minority)
    net.cut = lambda a, b: False
    assert net.run(60, net.whole)
    assert not any(node.members.minority for node in net.nodes.values())


def test_a_fleet_joins_with_a_wrong_seed_and_a_lone_member_is_no_minority() -> None:
    net = Net(6)
    for number in range(30):
        net.add(number, seeds=(90, 0, 1))
    assert net.run(20, net.whole)
    alone = Net(7)
    node = alone.add(0, seeds=(50,))
    alone.run(30)
    assert node.members.size == 1 and not node.members.minority


def test_when_70_percent_die_at_once_the_rest_sees_them_dead_and_knows_its_minority() -> None:
    net = fleet(60, 8)
    for number in range(42):
        net.remove(number)
    dead = {f"g{n}" for n in range(42)}
    # If dead members were asked for indirect probes as often as living ones, missing nacks would make each
    # member lengthen its own timeouts, and this would take 40 s and more.
    assert net.run(25, lambda: all(net.all_see(name, {MemberState.DEAD}) for name in dead))
    assert all(node.members.minority for node in net.nodes.values())
    assert net.whole()


def test_a_member_whose_clock_is_ahead_publishes_own_facts_but_its_overrides_are_refused() -> None:
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
        assert (
            node.facts.value("ready", "", "g2") == "yes"
        )  # a fact about itself is accepted without comparing clocks
        assert (node.facts.value(FactKind.OVERRIDE_BACKEND, "b0") == "down") is (address == address_of(2))


def test_the_list_number_in_an_exchange_is_independent_of_ping_sequence_numbers() -> None:
    net = fleet(3, 1)
    node = net.nodes[address_of(0)]
    node.wants, node.list_seq = Wanted.LIST, 41
    net.run(5.0)
    assert (
        SEAL.decode_exchange(node.exchange_frame(False)).list_seq == 41 and node.prober.seq > 5
    )  # the sequence number of pings never decreases


def test_publish_if_allowed_counts_and_drops_facts_over_the_limit_of_a_gateway() -> None:
    facts = Facts("g0", INCARNATION)
    for number in range(MAX_ENTRIES_OF_ORIGIN + 3):
        facts.publish_if_allowed(WALL_MS, "zone-met", str(number), "1")
    assert len(facts.table) == MAX_ENTRIES_OF_ORIGIN and facts.refused["own"] == 3


def test_a_replayed_datagram_an_own_datagram_and_an_unexpected_exchange_are_refused() -> None:
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
    assert not node.receive_exchange(
        net.now, WALL_MS, state, True
    )  # refused: a state that is no answer, where an answer is due
    assert isinstance(SEAL.decode_exchange(state), Exchange)


def test_a_datagram_stays_within_its_size_limit_with_much_gossip_queued() -> None:
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
    table = {"name": "f", "listen": "127.0.0.1:7946", "seeds": ["127.0.0.2:7946"], "secret": str(secret)}
    table |= changes
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": {"classes": [], "rules": {}},
        "fleet": {key: value for key, value in table.items() if value is not ...},
    }


def test_a_valid_fleet_table_is_parsed_and_its_absence_gives_none(tmp_path: Path) -> None:
    link = parse_config(config(tmp_path)).fleet
    assert link is not None and link.advertise == link.listen == ("127.0.0.1", 7946)
    assert "secret that" not in repr(link)
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
def test_a_malformed_fleet_table_is_a_config_error_on_one_line(
    tmp_path: Path, changes: dict[str, Any]
) -> None:
    with pytest.raises(ConfigError) as error:
        parse_config(config(tmp_path, **changes))
    assert "\n" not in str(error.value)
    json.dumps(str(error.value))


def test_a_member_that_restarts_repeatedly_ends_up_alive_with_its_last_incarnation() -> None:
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


class AnyFaultSequence(RuleBasedStateMachine):
    """Four members under any sequence of cuts, losses, stalls, deaths and restarts.

    After the faults end, all members see each other alive and have the same facts.
    """

    def __init__(self) -> None:
        super().__init__()
        self.net = fleet(4, 13)
        self.cuts: set[tuple[int, int]] = set()
        self.net.cut = lambda a, b: (number_of(a), number_of(b)) in self.cuts
        self.published = 0

    @rule(a=st.integers(0, 3), b=st.integers(0, 3))
    def cut_one_way(self, a: int, b: int) -> None:
        self.cuts.add((a, b))

    @rule()
    def heal(self) -> None:
        self.cuts.clear()

    @rule(loss=st.sampled_from([0.0, 0.3]), duplicate=st.sampled_from([0.0, 0.5]))
    def lose(self, loss: float, duplicate: float) -> None:
        self.net.loss, self.net.duplicate = loss, duplicate

    @rule(number=st.integers(0, 3), for_s=st.sampled_from([1.0, 6.0]))
    def stall(self, number: int, for_s: float) -> None:
        self.net.stop(number, for_s)

    @rule(number=st.integers(0, 3))
    def restart(self, number: int) -> None:
        self.net.run(0.01)
        self.net.add(number, seeds=(0, 1))

    @rule(number=st.integers(0, 3))
    def publish(self, number: int) -> None:
        self.published += 1
        node, address = self.net.nodes[address_of(number)], address_of(number)
        node.publish(self.net.wall(address), "x", str(number), str(self.published))

    @rule(for_s=st.sampled_from([0.3, 2.0, 8.0]))
    def pass_time(self, for_s: float) -> None:
        self.net.run(for_s)

    @invariant()
    def every_known_incarnation_was_started(self) -> None:
        for node in self.net.nodes.values():
            for member in node.members.others.values():
                current = self.net.nodes[member.address].members.me
                assert member.update.incarnation <= current.incarnation and member.update.name == current.name

    def teardown(self) -> None:
        self.cuts.clear()
        self.net.loss = self.net.duplicate = 0.0
        assert self.net.run(90, self.net.whole)
        self.net.run(60)  # time for exchanges, which deliver what gossip missed
        incarnations = {node.members.me.incarnation for node in self.net.nodes.values()}
        facts_of_members = [
            {(e.kind, e.name, e.value) for e in node.facts.entries() if e.incarnation in incarnations}
            for node in self.net.nodes.values()
        ]
        assert all(facts == facts_of_members[0] for facts in facts_of_members)


def number_of(address: tuple[str, int]) -> int:
    return int(address[0].rpartition(".")[2]) - 1


AnyFaultSequence.TestCase.settings = settings(max_examples=25, stateful_step_count=12)
TestAnyFaultSequence = AnyFaultSequence.TestCase
