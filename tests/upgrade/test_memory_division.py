"""How the memory limit of a gateway is divided between its processes: decisions, without processes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from switchline.units import MEBIBYTE
from switchline.upgrade.memory_division import (
    MAX_WAIT_S,
    MIN_CLIENT_BYTES,
    START_RESERVE_BYTES,
    MemoryDivision,
    ProcessNeed,
)
from switchline.upgrade.memory_messages import MemoryMessageError, decode_grant, encode_grant

LIMIT_BYTES = 32 * MEBIBYTE
IDLE_BYTES = 13 * MEBIBYTE


def need(client_mb: float = 0.0, connections: int = 0) -> ProcessNeed:
    client_bytes = int(client_mb * MEBIBYTE)
    return ProcessNeed(IDLE_BYTES, IDLE_BYTES + client_bytes, client_bytes, connections)


def test_a_process_alone_leaves_room_for_the_first_steps_of_a_next_one() -> None:
    division = MemoryDivision(LIMIT_BYTES)
    assert division.own_limit_bytes(need()) == LIMIT_BYTES - START_RESERVE_BYTES
    assert division.grant(need()) is None


def test_nothing_is_granted_before_the_program_of_the_next_process_fits() -> None:
    division = MemoryDivision(LIMIT_BYTES)
    division.on_successor_asks()
    assert division.grant(need(client_mb=8)) is None
    granted_bytes = division.grant(need(client_mb=2))
    assert granted_bytes is not None and granted_bytes >= IDLE_BYTES


def test_a_process_that_can_give_back_no_more_grants_what_there_is() -> None:
    division = MemoryDivision(LIMIT_BYTES)
    division.on_successor_asks()
    kept_bytes = IDLE_BYTES + 8 * MEBIBYTE
    assert division.grant(ProcessNeed(IDLE_BYTES, kept_bytes, 0, 0, MAX_WAIT_S / 2)) is None
    assert division.grant(ProcessNeed(IDLE_BYTES, kept_bytes, 2 * MEBIBYTE, 0, MAX_WAIT_S)) is None
    assert division.grant(ProcessNeed(IDLE_BYTES, kept_bytes, 0, 0, MAX_WAIT_S)) is not None


def test_a_new_process_may_take_what_it_is_granted_and_the_whole_once_the_old_one_has_ended() -> None:
    division = MemoryDivision(LIMIT_BYTES, granted_bytes=15 * MEBIBYTE)
    assert division.own_limit_bytes(need()) == 15 * MEBIBYTE
    division.on_grant(17 * MEBIBYTE)
    assert division.own_limit_bytes(need()) == 17 * MEBIBYTE
    division.on_predecessor_left()
    assert division.own_limit_bytes(need()) == LIMIT_BYTES - START_RESERVE_BYTES


def test_an_old_process_takes_its_memory_back_if_the_new_one_has_ended() -> None:
    division = MemoryDivision(LIMIT_BYTES)
    division.on_successor_asks()
    division.grant(need())
    division.on_handed_over(10)
    division.on_successor_left()
    assert division.own_limit_bytes(need()) == LIMIT_BYTES - START_RESERVE_BYTES


def test_after_the_hand_over_an_old_process_keeps_less_with_each_connection() -> None:
    division = MemoryDivision(LIMIT_BYTES)
    division.on_successor_asks()
    first_bytes = division.grant(need(connections=10))
    division.on_handed_over(10)
    assert division.grant(need(connections=10)) is None
    later_bytes = division.grant(need(connections=5))
    assert first_bytes is not None and later_bytes is not None and later_bytes > first_bytes
    assert division.own_limit_bytes(need(connections=0)) == IDLE_BYTES + MIN_CLIENT_BYTES


# Guards against: a share that one process counts on before the other one has given it back (review case 7).
@given(
    limit_mb=st.integers(28, 256),
    steps=st.lists(
        st.tuples(st.floats(0, 64), st.integers(0, 340), st.sampled_from(["look", "hand over", "left"])),
        max_size=20,
    ),
)
def test_both_processes_together_never_get_more_than_the_limit(
    limit_mb: int, steps: list[tuple[float, int, str]]
) -> None:
    limit_bytes = limit_mb * MEBIBYTE
    division = MemoryDivision(limit_bytes)
    division.on_successor_asks()
    granted_bytes = 0
    for client_mb, connections, event in steps:
        present = need(client_mb, connections)
        own_bytes = division.own_limit_bytes(present)
        further_bytes = division.grant(present)
        if further_bytes is not None:
            assert further_bytes > granted_bytes
            granted_bytes = further_bytes
            assert present.present_bytes + IDLE_BYTES < limit_bytes
        if granted_bytes:
            assert granted_bytes + own_bytes + division.margin_bytes <= limit_bytes
        if event == "hand over" and granted_bytes:
            division.on_handed_over(connections)
        if event == "left":
            division.on_successor_left()
            division.on_successor_asks()
            granted_bytes = 0


@pytest.mark.parametrize("line", [b"", b"memory granted ", b"memory granted -1", b"memory granted x"])
def test_a_line_that_grants_nothing_is_refused(line: bytes) -> None:
    with pytest.raises(MemoryMessageError):
        decode_grant(line)
    assert decode_grant(encode_grant(5)) == 5
