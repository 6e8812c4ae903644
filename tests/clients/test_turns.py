"""Turns of connections in the event loop, without connections or an event loop."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from switchline.clients import turns
from switchline.clients.turns import ITERATION_S, SLICE_S, Turns
from switchline.guard import Guard

FLOODS = 300
COMMAND_S = SLICE_S / 4  # of a connection that floods


class Clock:
    """A clock that moves only as connections work."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def perf_counter(self) -> float:
        return self.now_s


class WorkingConnection:
    """A connection with commands of `command_s` each; its backlog is what is left of them."""

    def __init__(self, queue: Turns, clock: Clock, command_s: float, commands: int) -> None:
        self.waits_for_turn = False
        self.has_backlog = False
        self.continues_command = False
        self.virtual_time_s = 0.0
        self.is_charged = False
        self.turns, self.clock = queue, clock
        self.command_s, self.commands = command_s, commands
        self.done = 0

    @property
    def is_pipelining(self) -> bool:
        return False

    def pump(self) -> None:
        if not self.commands or self.waits_for_turn or not self.turns.begin_slice(self):
            return
        while self.commands and not self.has_backlog:
            self.commands -= 1
            self.done += 1
            self.clock.now_s += self.command_s
            self.has_backlog = self.turns.uses_up_slice(is_within_command=False) and self.commands > 0
        self.turns.end_slice(self)


class AnsweredConnection(WorkingConnection):
    """A connection that processes its next command once the one before it is answered."""

    @property
    def is_pipelining(self) -> bool:
        return self.commands > 0

    def pump(self) -> None:
        if not self.commands or self.waits_for_turn or not self.turns.begin_slice(self):
            return
        self.commands -= 1
        self.done += 1
        self.clock.now_s += self.command_s
        self.turns.end_slice(self)


class Scene:
    """A queue with connections that flood it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = Clock()
        monkeypatch.setattr(turns, "time", self.clock)
        self.next_iteration: list[Callable[[], None]] = []
        self.turns = Turns(Guard(), self.next_iteration.append)
        self.floods = [self.connection(COMMAND_S, 10**6) for _ in range(FLOODS)]
        for flood in self.floods:
            flood.pump()
        while not all(
            flood.done for flood in self.floods
        ):  # none is known to be a flood before its first turn
            self.run_iteration()

    def connection(self, command_s: float, commands: int) -> WorkingConnection:
        return WorkingConnection(self.turns, self.clock, command_s, commands)

    def run_iteration(self) -> None:
        self.next_iteration.pop(0)()


def test_a_quiet_connection_has_its_turn_in_the_next_iteration(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    for _ in range(100):
        scene.run_iteration()
        quiet = scene.connection(COMMAND_S, 1)
        quiet.pump()
        scene.run_iteration()
        assert quiet.done == 1


# Guards against: connections with commands beyond those that await their answers have turns like quiet ones.
def test_a_quiet_connection_goes_ahead_of_those_whose_further_commands_await_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = Clock()
    monkeypatch.setattr(turns, "time", clock)
    next_iteration: list[Callable[[], None]] = []
    queue = Turns(Guard(), next_iteration.append)
    floods = [AnsweredConnection(queue, clock, COMMAND_S, 10**6) for _ in range(FLOODS)]
    for iteration in range(2 * FLOODS):
        for flood in floods:
            flood.pump()  # the answer to its command has come
        quiet = WorkingConnection(queue, clock, COMMAND_S, 1)
        quiet.pump()
        next_iteration.pop(0)()
        assert quiet.done == 1 or iteration * ITERATION_S < 2 * FLOODS * COMMAND_S  # as none had two turns


# Guards against: a connection in whose turn the process was held up waits until all others have used as much.
def test_a_long_turn_of_a_quiet_connection_does_not_delay_its_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    quiet = scene.connection(100 * SLICE_S, 1)
    quiet.pump()
    scene.run_iteration()
    assert quiet.done == 1
    quiet.commands = 1
    quiet.pump()
    scene.run_iteration()
    assert quiet.done == 2


def test_floods_have_equal_turns_and_an_iteration_has_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch)
    for _ in range(FLOODS):
        begun_s = scene.clock.now_s
        scene.run_iteration()
        assert scene.clock.now_s - begun_s <= ITERATION_S + SLICE_S + COMMAND_S
    done = [flood.done for flood in scene.floods]
    assert max(done) - min(done) <= 8  # two slices


def test_connections_that_use_little_are_never_deferred(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    monkeypatch.setattr(turns, "time", clock)
    queue = Turns(Guard(), lambda callback: callback())
    for _ in range(1_000):
        connection = WorkingConnection(queue, clock, SLICE_S / 20, 1)
        connection.pump()
        assert connection.done == 1 and not queue.waiting
