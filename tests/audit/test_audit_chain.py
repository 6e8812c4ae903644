"""Chains of records, and the order of their timestamps."""

from __future__ import annotations

import random

from audit_records import build_chain
from hypothesis import given, settings
from hypothesis import strategies as st

from switchline.audit.chain import decode_line, verify_chain
from switchline.fleet.hybrid_clock import MAX_AHEAD_MS, HybridClock


def test_a_chain_is_valid_over_segments_and_without_the_oldest_segment() -> None:
    lines, head = build_chain(12)
    parts = [("one", lines[:5]), ("two", lines[5:])]
    records, findings, last = verify_chain(parts, head)
    assert [r.number for r in records] == list(range(1, 13)) and not findings and last == head
    assert not verify_chain(parts[1:])[1]


@settings(max_examples=200, deadline=None)
@given(st.integers(2, 9), st.data())
def test_any_record_flipped_cut_swapped_or_dropped_is_detected(number: int, data: st.DataObject) -> None:
    lines, head = build_chain(number)
    place = data.draw(st.integers(0, number - 1))
    line = lines[place]
    match data.draw(st.sampled_from(["flip", "cut", "swap", "drop", "twice"])):
        case "flip":
            at = data.draw(st.integers(0, len(line) - 2))
            other = data.draw(st.sampled_from([c for c in "0aZ:{" if c != line[at]]))
            corrupted = [*lines[:place], line[:at] + other + line[at + 1 :], *lines[place + 1 :]]
        case "cut":
            corrupted = [
                *lines[:place],
                line[: data.draw(st.integers(0, len(line) - 1))],
                *lines[place + 1 :],
            ]
        case "swap":
            other = (place + 1) % number
            corrupted = list(lines)
            corrupted[place], corrupted[other] = lines[other], lines[place]
        case "drop":
            place = max(1, place)  # dropping the first record is not detected
            corrupted = [*lines[:place], *lines[place + 1 :]]
        case _:
            corrupted = [*lines[:place], line, *lines[place:]]
    assert verify_chain([("one", corrupted)], head)[1]


@given(st.text(max_size=80))
def test_decode_line_returns_none_for_arbitrary_text(text: str) -> None:
    assert decode_line(text) is None


def test_timestamps_are_in_causal_order_with_clocks_that_differ() -> None:
    """Random events: each timestamp is after all that its process had received, with clocks minutes apart."""
    rng = random.Random(5)
    clocks = [HybridClock() for _ in range(4)]
    off = [0.0, 120_000.0, -90_000.0, 60_000.0]
    before: list[set[tuple[int, int, int]]] = [set() for _ in clocks]
    for step in range(2_000):
        wall = 1e12 + step * rng.choice([0, 1, 3])
        one, other = rng.sample(range(4), 2)
        stamp = clocks[one].next(wall + off[one])
        assert all((at, count) < stamp for at, count, _ in before[one])
        before[one].add((*stamp, one))
        if rng.random() < 0.5:
            clocks[other].observe(clocks[one].last, wall + off[other])
            before[other] |= before[one]
        before[one] = set(sorted(before[one])[-50:])
    liar = clocks[0].last
    clocks[0].observe((int(1e15), 0), 1e12)
    assert clocks[0].last == liar and clocks[0].refused == 1 and MAX_AHEAD_MS == 300_000
