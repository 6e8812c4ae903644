"""Replies of the counter to the calls of a lease."""

from __future__ import annotations

from helpers import GatewayHarness

from switchline.policy import interface as api


def answer(
    world: GatewayHarness, call: api.AddToCounter, reading: float, outcome: api.Outcome = api.Outcome.OK
) -> None:
    world.give(api.CounterReplied(call.name, outcome, reading))
