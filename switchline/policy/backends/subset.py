"""The subset of backends that one gateway of a large fleet uses."""

from __future__ import annotations

import hashlib

from switchline.policy.backends.backend import Backend

# Number of backends that a gateway of a large fleet should use.
TARGET_SUBSET_SIZE = 8
# Number of gateways that should use each backend.
MIN_GATEWAYS_PER_BACKEND = 10


def slice_of_backend(round_number: int, backend: int, slice_count: int) -> int:
    """Return the slice of a backend, from 0, by a hash that differs between rounds of gateways."""
    digest = hashlib.blake2b(f"{round_number}:{backend}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % slice_count


def choose_subset(usable: list[Backend], index: int, gateways: int, is_multi_zone: bool) -> list[Backend]:
    """Return the subset of the usable backends for one gateway; in a small fleet, all of them.

    The subset is small, so that each of its backends gets enough requests to be judged. The gateways are
    numbered in rounds of as many gateways as there are slices. In each round the backends are divided among
    the gateways by hash, so each backend belongs to one gateway of a round, and a change of the list moves
    only the backends that changed. Where a slice has too few backends, fewer and larger slices are used.

    Args:
        usable: The backends that may get work.
        index: The number of this gateway, from 0.
        gateways: The number of gateways in the fleet.
        is_multi_zone: Whether the list names several zones; each zone must then be covered.
    """
    max_slice_count = min(gateways // MIN_GATEWAYS_PER_BACKEND, len(usable) // TARGET_SUBSET_SIZE)
    for slice_count in range(max_slice_count, 1, -1):
        round_number, position = divmod(index, slice_count)
        chosen = [
            backend
            for backend in usable
            if slice_of_backend(round_number, backend.id, slice_count) == position
        ]
        if len(chosen) >= TARGET_SUBSET_SIZE / 2:
            return chosen + uncovered_zones(usable, chosen, index) if is_multi_zone else chosen
    return usable


def uncovered_zones(usable: list[Backend], chosen: list[Backend], index: int) -> list[Backend]:
    """Return one backend of each zone that the chosen slice does not cover.

    It is the backend of that zone with the lowest hash, which differs between gateways.
    """
    covered = {backend.zone for backend in chosen}
    lowest_by_zone: dict[str, tuple[int, Backend]] = {}
    for backend in usable:
        if backend.zone not in covered:
            position = slice_of_backend(index, backend.id, 2**64)
            if backend.zone not in lowest_by_zone or position < lowest_by_zone[backend.zone][0]:
                lowest_by_zone[backend.zone] = (position, backend)
    return [backend for _, backend in lowest_by_zone.values()]
