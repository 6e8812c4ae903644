"""Chains of records, and the order that they are stamped with."""

from __future__ import annotations

import random

from audit_records import chain
from hypothesis import given, settings
from hypothesis import strategies as st

from switchline.audit.chain import decode_line, verify_chain
from switchline.fleet.hybrid_clock import MAX_AHEAD_MS, HybridClock


def test_a_whole_chain_is_good_over_segments_and_from_where_the_oldest_gave_way() -> None:
    made, head = chain(12)
    parts = [("one", made[:5]), ("two", made[5:])]
    records, wrong, last = verify_chain(parts, head)
    assert [r.number for r in records] == list(range(1, 13)) and not wrong and last == head
    assert not verify_chain(parts[1:])[1]


@settings(max_examples=200, deadline=None)
@given(st.integers(2, 9), st.data())
def test_any_one_record_flipped_cut_swapped_or_dropped_shows(number: int, data: st.DataObject) -> None:
    made, head = chain(number)
    place = data.draw(st.integers(0, number - 1))
    line = made[place]
    match data.draw(st.sampled_from(["flip", "cut", "swap", "drop", "twice"])):
        case "flip":
            at = data.draw(st.integers(0, len(line) - 2))
            other = data.draw(st.sampled_from([c for c in "0aZ:{" if c != line[at]]))
            spoilt = [*made[:place], line[:at] + other + line[at + 1 :], *made[place + 1 :]]
        case "cut":
            spoilt = [*made[:place], line[: data.draw(st.integers(0, len(line) - 1))], *made[place + 1 :]]
        case "swap":
            other = (place + 1) % number
            spoilt = list(made)
            spoilt[place], spoilt[other] = made[other], made[place]
        case "drop":
            place = max(1, place)  # the oldest may give way
            spoilt = [*made[:place], *made[place + 1 :]]
        case _:
            spoilt = [*made[:place], line, *made[place:]]
    assert verify_chain([("one", spoilt)], head)[1]


@given(st.text(max_size=80))
def test_what_is_no_line_is_none(text: str) -> None:
    assert decode_line(text) is None


def test_the_order_respects_cause_whatever_the_clocks() -> None:
    """Random plays: each stamp is above all that its process had heard, with clocks minutes apart."""
    chance = random.Random(5)
    clocks = [HybridClock() for _ in range(4)]
    off = [0.0, 120_000.0, -90_000.0, 60_000.0]
    before: list[set[tuple[int, int, int]]] = [set() for _ in clocks]
    for step in range(2_000):
        wall = 1e12 + step * chance.choice([0, 1, 3])
        one, other = chance.sample(range(4), 2)
        stamp = clocks[one].next(wall + off[one])
        assert all((at, count) < stamp for at, count, _ in before[one])
        before[one].add((*stamp, one))
        if chance.random() < 0.5:
            clocks[other].observe(clocks[one].last, wall + off[other])
            before[other] |= before[one]
        before[one] = set(sorted(before[one])[-50:])
    liar = clocks[0].last
    clocks[0].observe((int(1e15), 0), 1e12)
    assert clocks[0].last == liar and clocks[0].refused == 1 and MAX_AHEAD_MS == 300_000
