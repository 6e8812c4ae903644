"""The subset of backends that one gateway of a large fleet uses."""

from __future__ import annotations

import hashlib

from switchline.policy.backends.backend import Backend

SUBSET_BACKENDS = 8  # that a gateway of a large fleet uses
COVERING_GATEWAYS = 10  # that each backend needs


def slice_of(turn: int, backend: int, slices: int) -> int:
    """Give the slice of a backend, by a hash of its own for each turn of gateways."""
    digest = hashlib.blake2b(f"{turn}:{backend}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % slices


def choose_subset(usable: list[Backend], index: int, gateways: int, is_multi_zone: bool) -> list[Backend]:
    """Choose few enough backends to meet each often and judge it; all of them in a small fleet.

    A turn of gateways shares the backends out by hash, so each is covered once a turn and a change moves no
    backend but its own. Where a slice is short, its gateway takes wider ones.

    Args:
        usable: The backends that may get work.
        index: This gateway's number.
        gateways: How many gateways there are.
        is_multi_zone: Whether the list names several zones: each must then be covered.
    """
    most_slices = min(gateways // COVERING_GATEWAYS, len(usable) // SUBSET_BACKENDS)
    for slices in range(most_slices, 1, -1):
        turn, place = divmod(index, slices)
        chosen = [backend for backend in usable if slice_of(turn, backend.id, slices) == place]
        if len(chosen) >= SUBSET_BACKENDS / 2:
            return chosen + uncovered_zones(usable, chosen, index) if is_multi_zone else chosen
    return usable


def uncovered_zones(usable: list[Backend], chosen: list[Backend], index: int) -> list[Backend]:
    """Choose a backend of each zone that a slice has none of, the first by a hash of this gateway's own."""
    covered = {backend.zone for backend in chosen}
    first: dict[str, tuple[int, Backend]] = {}
    for backend in usable:
        if backend.zone not in covered:
            place = slice_of(index, backend.id, 2**64)
            if backend.zone not in first or place < first[backend.zone][0]:
                first[backend.zone] = (place, backend)
    return [backend for _, backend in first.values()]
