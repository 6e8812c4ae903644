"""Each part of the test bed by itself: scenarios, links, stand-ins, the judge, the record."""

from __future__ import annotations

import asyncio
import random
import resource
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from testbed import scenario
from testbed.network.addresses import AddressError, Net
from testbed.network.links import Flow, Ills, Joint, TcpLink, UdpLink, Way
from testbed.network.links import Path as LinkPath
from testbed.network.sockets import Peer, Server, until
from testbed.play.play import Play, PlayError
from testbed.scenario import Backends, CounterSettings, ScenarioError
from testbed.stand_ins.agents import Agent, Catalog, host
from testbed.stand_ins.backends import Machine, Rack
from testbed.stand_ins.counters import MeteredCounter
from testbed.stand_ins.single_gateway import in_loop
from testbed.verdict.capacity_use import CapacityUse
from testbed.verdict.judge import Judge
from testbed.verdict.records import FILE, RecordError, Records, read

VALID_SCENARIO = """
name = "good"
about = "A scenario."
duration_s = 10
[fleet]
gateways = 3
zones = ["a", "b"]
[backends]
count = 2
[load]
rate = 20
"""


def scenario_with_fault(text: str) -> str:
    return VALID_SCENARIO + "[[faults]]\n" + text


@pytest.mark.parametrize(
    ("text", "key", "expected"),
    [
        ("name = ", "not TOML", ""),
        (VALID_SCENARIO.replace("gateways = 3", "gateways = 0"), "$.fleet.gateways", ">= 1"),
        (VALID_SCENARIO.replace("rate = 20", "rate = 'x'"), "$.load.rate", "float"),
        (VALID_SCENARIO + "colour = 1", "$.load", "unknown field `colour`"),
        (VALID_SCENARIO.replace("about", "abuot"), "`abuot`", "unknown field"),
        (scenario_with_fault("kind = 'kill'\nat_s = 1\ngateways = ['g7']"), "faults[0].gateways", "g0 to g2"),
        (scenario_with_fault("kind = 'kill'\nat_s = -1\ngateways = ['g1']"), "$.faults[0].at_s", ">= 0"),
        (
            scenario_with_fault("kind = 'stop'\nat_s = 1\nfor_s = 20\ngateways = ['*']"),
            "faults[0].for_s",
            "duration_s",
        ),
        (
            scenario_with_fault("kind = 'kill'\nat_s = 11\ngateways = ['g1']"),
            "faults[0].at_s",
            "at most duration_s",
        ),
        (scenario_with_fault("kind = 'ruin'\nat_s = 1"), "$.faults[0].kind", "ruin"),
        (
            scenario_with_fault("kind = 'link'\nat_s = 1\nfor_s = 1\nbetween = ['x']\nand = ['b0']"),
            "between",
            "got 'x'",
        ),
        (
            scenario_with_fault("kind = 'power'\nat_s = 1\ngateways = ['*']\ndisks = {g1 = 'lost'}"),
            "disks",
            "= true",
        ),
        (
            scenario_with_fault(
                "kind = 'operators'\nat_s = 1\ngateways=['*']\ncall='backends/down'\nid='b9'"
            ),
            "id",
            "b9",
        ),
    ],
)
def test_the_error_of_an_invalid_scenario_names_file_key_and_expected_value(
    tmp_path: Path, text: str, key: str, expected: str
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError) as error:
        scenario.load(path)
    assert str(path) in str(error.value) and key in str(error.value) and expected in str(error.value)


def test_shipped_scenarios_are_valid_and_equal_seeds_give_equal_timetables(tmp_path: Path) -> None:
    names = {path.stem for path in scenario.shipped()}
    assert names >= {"calm", "kill-seven-in-ten", "zone-lost", "split", "power-loss", "straggler"}
    for path in scenario.shipped():
        loaded = scenario.load(path)
        assert loaded.name == path.stem
    digests = [scenario.timetable(scenario.load(scenario.find("split")), seed).digest for seed in (1, 1, 2)]
    assert digests[0] == digests[1] != digests[2]
    with pytest.raises(ScenarioError):
        scenario.find("no-such")
    kill = msgspec.convert(
        {"kind": "kill", "at_s": 1, "gateways": ["*"], "part": 0.7, "order": "chance"}, scenario.AnyFault
    )
    calm = scenario.load(scenario.find("calm"))
    calm.faults.append(kill)
    affected = scenario.timetable(calm, 5).targets[0]
    assert len(affected) == 4 == len(set(affected)) and affected == scenario.timetable(calm, 5).targets[0]


# ---- links ----


class Echo(Server):
    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(4096):
            writer.write(data)


@asynccontextmanager
async def echo_link() -> AsyncIterator[tuple[TcpLink, LinkPath, Echo]]:
    net, echo, path = Net(), Echo(), LinkPath("a", "b")
    await echo.start()
    joints: dict[Any, Joint] = {}
    host_of = net.lab()
    address, at = (host_of, net.port(host_of)), ("127.0.0.1", echo.port)
    link = TcpLink(address, at, lambda _: path, random.Random(1), joints)
    link.own(path)
    link.listen()
    try:
        yield link, path, echo
    finally:
        link.close()
        await echo.stop()
        net.close()
        await until(lambda: not joints)


async def connect(link: TcpLink) -> Peer:
    return Peer(*await asyncio.open_connection(*link.address))


async def receive_or_none(peer: Peer, within_s: float = 0.15) -> bytes | None:
    """The bytes received within `within_s`, or None if there are none."""
    try:
        async with asyncio.timeout(within_s):
            return await peer.reader.read(100)
    except TimeoutError:
        return None


def test_a_cut_delays_sent_bytes_until_its_end_and_blocks_new_connections() -> None:
    async def run() -> None:
        async with echo_link() as (link, path, echo):
            peer = await connect(link)
            peer.writer.write(b"one")
            assert await peer.reader.readexactly(3) == b"one"
            for way in (path.there, path.back):
                way.put(1, Ills(held=True))
            path.close(1, "cut")
            peer.writer.write(b"two")
            assert await receive_or_none(peer) is None
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await connect(link)
            accepted = echo.accepted
            path.open(1)
            path.there.put(1, None)
            path.back.put(1, None)
            assert await peer.reader.readexactly(3) == b"two"
            again = await connect(link)
            again.writer.write(b"new")
            assert await again.reader.readexactly(3) == b"new" and echo.accepted == accepted + 1
            peer.close()
            again.close()

    in_loop(run)


def test_connections_from_one_port_to_two_targets_are_distinguished() -> None:
    """The system reuses a local port for another target; requests were attributed to the wrong gateway."""

    class FakeTransport:
        def __init__(self, target: int) -> None:
            self.extra_info = {"sockname": ("127.0.0.1", 40_000), "peername": ("127.9.250.1", target)}

        def get_extra_info(self, name: str) -> tuple[str, int]:
            return self.extra_info[name]

    async def run() -> None:
        async with echo_link() as (link, path, _):
            joints = [Joint(link, path), Joint(link, path)]
            for joint, target in zip(joints, (10_001, 10_002), strict=True):
                joint.far.connection_made(cast(Any, FakeTransport(target)))
            keys = [(("127.0.0.1", 40_000), ("127.9.250.1", target)) for target in (10_001, 10_002)]
            assert [link.sources[key] for key in keys] == joints
            link.forget(joints[0])
            assert list(link.sources) == keys[1:]
            link.forget(joints[1])

    in_loop(run)


def test_a_block_of_one_direction_does_not_block_the_other() -> None:
    async def run() -> None:
        async with echo_link() as (link, path, echo):
            peer = await connect(link)
            path.back.put(1, Ills(held=True))
            peer.writer.write(b"in")
            await until(lambda: path.carried == 4)  # both the request and its echo have arrived at the link
            assert await receive_or_none(peer) is None
            path.back.put(1, None)
            assert await peer.reader.readexactly(2) == b"in"
            peer.close()

    in_loop(run)


def test_a_link_refuses_and_resets_connections_and_forwards_half_closes() -> None:
    async def run() -> None:
        async with echo_link() as (link, path, echo):
            peer = await connect(link)
            peer.writer.write(b"x")
            assert await peer.reader.readexactly(1) == b"x"
            path.close(1, "refuse")
            path.reset()
            with pytest.raises(ConnectionResetError):
                await peer.reader.readexactly(1)
            with pytest.raises(ConnectionRefusedError):
                await connect(link)
            path.open(1)
            peer = await connect(link)
            peer.writer.write(b"last")
            peer.writer.write_eof()
            # The half-close arrived at the server, and its own end here.
            assert await peer.reader.read() == b"last"
            peer.close()
            await until(lambda: not link.joints)  # no descriptor of the connection remains in use

    in_loop(run)


@settings(max_examples=20)
@given(st.lists(st.integers(0, 255), min_size=1, max_size=30), st.integers(0, 1000))
def test_a_stream_keeps_its_order_under_any_delay_and_loss(pieces: list[int], seed: int) -> None:
    async def run() -> None:
        received: list[bytes | None] = []
        way = Way()
        flow = Flow(way, random.Random(seed), received.append)
        for number, piece in enumerate(pieces):
            if number == len(pieces) // 2:
                way.put(1, Ills(delay_s=0.001, jitter_s=0.003, loss=0.05))
            flow.feed(bytes([piece]))
        way.put(1, None)
        flow.feed(None)
        await until(lambda: received and received[-1] is None)
        assert received[:-1] == [bytes([piece]) for piece in pieces]

    in_loop(run)


def test_loss_duplication_and_reordering_of_datagrams_follow_the_path_of_the_sender() -> None:
    async def run() -> None:
        net = Net()
        loop, received = asyncio.get_running_loop(), list[bytes]()

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: Any) -> None:
                received.append(data)

        target = (net.lab(), net.port(net.lab()))
        receiver, _ = await loop.create_datagram_endpoint(Receiver, local_addr=target)
        paths = {net.gateway(0): LinkPath("g0", "x"), net.gateway(1): LinkPath("g1", "x")}
        link = UdpLink(target, paths.get, random.Random(3))
        link_address = (net.lab(), net.port(net.lab()))
        await loop.create_datagram_endpoint(lambda: link, local_addr=link_address)
        senders = []
        for host_of in (*paths, net.gateway(2)):
            sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sender.bind((host_of, 0))
            senders.append(sender)
        paths[net.gateway(0)].there.put(1, Ills(loss=1.0))
        paths[net.gateway(1)].there.put(1, Ills(duplicate=1.0))
        for sender in senders:  # the third one has no path
            sender.sendto(b"%d" % senders.index(sender), link_address)
        await until(lambda: len(received) == 2 and link.counts["taken"] == 3)
        assert received == [b"1", b"1"] and link.counts["lost"] == 1
        paths[net.gateway(1)].there.put(1, Ills(reorder=0.5))
        for number in range(40):
            senders[1].sendto(b"%02d" % number, link_address)
        await until(lambda: len(received) == 42)
        assert sorted(received[2:]) == [b"%02d" % n for n in range(40)] != received[2:]
        for closing in (*senders, receiver, link, net):
            closing.close()

    in_loop(run)


# ---- stand-ins ----


class MemoryRecords(Records):
    """Keeps events in memory and writes no file."""

    def __init__(self) -> None:
        self.recorded: list[dict[str, Any]] = []
        self.load_started_at_s = time.monotonic()

    def add(self, event_name: str, /, **fields: Any) -> None:
        self.recorded.append({"e": event_name, **fields})


def test_a_cold_machine_warms_up_linearly_and_fails_under_too_much_work() -> None:
    machine = Machine(Backends(count=1, cores=4, start_capacity=0.2, warm_s=10.0))
    assert machine.warmth(0.0) == 1.0 and machine.pressed(0.0, 1e9, "g0") is None
    machine.start(100.0)
    assert [round(machine.warmth(at), 2) for at in (100.0, 105.0, 110.0)] == [0.2, 0.6, 1.0]
    assert machine.capacity(100.0) == pytest.approx(800.0)
    # Three times its capacity during three seconds, and the slack.
    max_work_ms = 3.0 * 800.0 * 3 + 400.0
    assert machine.pressed(100.0, max_work_ms - 1, "g0") is None and not machine.fallen
    assert machine.pressed(100.1, 200.0, "g1") == {"g0": max_work_ms - 1, "g1": 200.0} and machine.fallen
    machine.start(200.0)
    assert not machine.fallen and machine.pressed(200.0, 100.0, "g0") is None


def test_a_rack_forgets_a_key_after_its_window() -> None:
    rack = Rack()
    assert rack.took("k", b"first", 10.0, 5.0) is None
    assert rack.took("k", b"second", 14.9, 5.0) == b"first"
    assert rack.took("k", b"third", 15.1, 5.0) is None
    assert len(rack.seen) == 1


def test_the_counter_rejects_calls_beyond_its_rate_and_restarts_empty() -> None:
    async def run() -> None:
        counter = MeteredCounter(CounterSettings(per_s=10.0, queue=3), MemoryRecords(), lambda source: "g0")
        answers = [counter.call([b"tally", b"n", b"2", b"4000"])[1] for _ in range(6)]
        assert answers[:3] == [b"ok 2\r\n", b"ok 4\r\n", b"ok 6\r\n"] and answers[-1] == b"busy\r\n"
        assert counter.call([b"ping"])[1] == b"pong\r\n" and counter.call([b"tally"])[1] == b"error\r\n"
        counter.empty()
        counter.free_at = 0.0
        assert counter.call([b"tally", b"n", b"1", b"4000"])[1] == b"ok 1\r\n"
        counter.silent = True
        assert counter.call([b"tally", b"n", b"1", b"4000"])[0] == float("inf")
        await counter.start()
        peers = [await asyncio.open_connection("127.0.0.1", counter.port) for _ in range(33)]
        for _, writer in peers[:32]:
            writer.write(b"ping\r\n")
        assert [await reader.readline() for reader, _ in peers[:32]] == [b"pong\r\n"] * 32
        with pytest.raises(ConnectionError):
            await peers[32][0].readexactly(1)
        for _, writer in peers:
            writer.close()
        await counter.stop()

    in_loop(run)


def test_an_agent_can_send_stale_or_empty_lists_and_end_its_streams() -> None:
    async def run() -> None:
        records = MemoryRecords()
        catalog = Catalog(records)
        catalog.set_hosts([host("b0", 1), host("b1", 2)])
        agent = Agent("g0", catalog, records, 0.0, lambda name: "127.0.0.1:1")
        await agent.start()

        async def lines(target: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
            reader, writer = await asyncio.open_connection("127.0.0.1", agent.port)
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return reader, writer

        async def change(reader: asyncio.StreamReader) -> dict[str, Any]:
            while True:
                line = await reader.readline()
                if line.startswith(b"{"):
                    return dict(msgspec.json.decode(line))

        reader, writer = await lines("/catalog/members?stream=1&index=1")
        await until(lambda: agent.watches)
        catalog.change("b0", health="draining")
        first = await change(reader)
        assert first["seq"] == 2 and first["hosts"][0]["health"] == "draining" and not first["whole"]
        agent.set_stuck(True)
        catalog.change("b1", health="removed")
        await until(lambda: agent.delayed_changes)
        assert agent.seq == 2
        agent.set_stuck(False)
        assert (await change(reader))["seq"] == 3
        agent.set_empty(True)
        assert (await change(reader))["hosts"] == []
        agent.set_empty(False)
        assert [one["host"] for one in (await change(reader))["hosts"]] == ["b0"]
        agent.reset_watches()
        with pytest.raises(ConnectionError):
            await reader.readexactly(100_000)
        again, writer = await lines("/catalog/members?stream=1&index=1")
        # The whole list, with the changes that the client missed.
        assert {one["host"] for one in (await change(again))["hosts"]} == {"b0", "b1"}
        told = [e for e in records.recorded if e["e"] == "told"]
        assert [e["seq"] for e in told] == [2, 3, 3, 3, 3]
        writer.close()
        await agent.stop()

    in_loop(run)


# ---- the judge ----

# The functions below make events of a record; each has the name of its event, and `fell` is a `back` event.

BACKENDS = [["b0", "a", "r"], ["b1", "a", "s"]]
PLAY = {"t": -1.0, "e": "play", "gateways": ["g0", "g1", "g2"], "backends": BACKENDS}


def ask(at: float, cls: str = "kalkyl", **more: Any) -> dict[str, Any]:
    defaults = {"id": "1", "g": "g0", "c": "c", "cls": cls, "plan": "bas", "units": 1, "d": 1000, "k": 0}
    return {"t": at, "e": "ask", **defaults, **more}


def ans(at: float, how: str, **more: Any) -> dict[str, Any]:
    return {"t": at, "e": "ans", "id": "1", "g": "g0", "how": how, **more}


def got(at: float, n: int = 1, b: str = "b0", cls: str = "kalkyl", **more: Any) -> dict[str, Any]:
    defaults = {"id": "1", "g": "g0", "c": "c", "cls": cls, "plan": "bas", "units": 1, "key": "", "ago": 0.0}
    defaults["d"] = 100
    return {"t": at, "e": "got", "b": b, "n": n, **defaults, **more}


def end(at: float, how: str, n: int = 1, b: str = "b0") -> dict[str, Any]:
    return {"t": at, "e": "end", "b": b, "n": n, "id": "1", "how": how}


def told(at: float, health: str, born: float = 0.0, whole: bool = False) -> dict[str, Any]:
    return {"t": at, "e": "told", "g": "g0", "seq": 2, "whole": whole, "hosts": {"b0": [health, born]}}


def op(at: float, how: str, way: str = "down") -> dict[str, Any]:
    return {"t": at, "e": "op", "g": "g0", "call": f"backends/{way}", "id": "b0", "how": how, "status": 200}


def life(at: float, what: str, **more: Any) -> dict[str, Any]:
    return {"t": at, "e": "life", "g": "g0", "life": 1, "what": what, **more}


def fell(**parts: float) -> dict[str, Any]:
    return {"t": 1, "e": "back", "b": "b0", "what": "fell", "parts": parts}


VALUE = "made-by-b0-for-1"
STOR_REQUEST = {"plan": "stor", "units": 4}
# Units of plan stor beyond which the ceiling is broken: hard burst, slack, and 150 ms at the ceiling's rate.
CEILING_LIMIT_UNITS = 50 + 5 + 0.15 * 25


@pytest.mark.parametrize(
    ("events", "rules"),
    [
        ([ask(0), got(0.1), end(0.2, "served"), ans(0.2, "served", value=VALUE)], []),
        ([ask(0), ans(0.2, "served", value="made-by-b0-for-2")], ["made-up"]),
        ([ask(0), ans(0.2, "served", value="x")], ["made-up"]),
        ([ask(0), got(0.1, id="2"), end(0.2, "full")], ["garbled"]),
        ([ask(0), got(0.1, c="d"), end(0.2, "full")], ["garbled"]),
        ([ask(0), got(0.1, d=1_090), end(0.2, "full")], []),  # within its slack
        ([ask(0), got(0.1, d=1_110), end(0.2, "full")], ["deadlines"]),
        ([ask(0), ans(0.1, "refused"), ans(0.2, "refused")], ["answers"]),
        ([ask(0), ans(1.52, "failed")], []),  # late, but not late enough for a breach
        ([ask(0), ans(1.56, "failed")], ["answers"]),
        ([ask(0), ans(2.0, "silent")], ["answers"]),
        ([ask(0), life(0.5, "stop"), ans(2.0, "silent")], []),
        ([life(0.5, "stop"), life(0.7, "cont"), ask(3), ans(5, "silent")], ["answers"]),
        ([ask(0), got(0.1), ans(0.2, "broken", fresh=True)], ["answers"]),
        ([ask(0), ans(0.2, "broken", fresh=True)], []),  # first request of its connection, and not forwarded
        ([ask(0), ans(0.2, "broken", fresh=False)], ["answers"]),
        ([ask(0), {"t": 0.1, "e": "cut", "g": "g0", "until": 1.0}, ans(0.2, "broken", fresh=False)], []),
        (
            [
                ask(0, "lanelofte"),
                got(0.1, cls="lanelofte"),
                end(0.2, "full"),
                got(0.3, 2, "b1", "lanelofte"),
            ],
            [],
        ),
        (
            [
                ask(0, "lanelofte"),
                got(0.1, cls="lanelofte"),
                end(0.2, "left"),
                got(0.3, 2, "b1", "lanelofte"),
            ],
            ["repeats"],
        ),
        ([ask(0, "lanelofte"), got(0.1, cls="lanelofte"), got(0.3, 2, "b1", "lanelofte")], ["repeats"]),
        ([ask(0), got(0.1), got(0.3, 2, "b1")], []),  # safe to repeat
        ([ask(0, "spara"), got(0.1, cls="spara"), got(0.3, 2, "b0", "spara")], []),
        ([ask(0, "spara"), got(0.1, cls="spara"), got(0.3, 2, "b1", "spara")], ["repeats"]),
        ([ask(0, "spara", d=9_000), got(0.1, cls="spara"), got(5.2, 2, "b0", "spara")], ["repeats"]),
        (
            [ask(0, "lanelofte"), got(0.1, cls="lanelofte"), end(0.2, "left"), ans(0.3, "refused")],
            ["refusals"],
        ),
        ([ask(0, "lanelofte"), got(0.1, cls="lanelofte"), end(0.2, "full"), ans(0.3, "refused")], []),
        ([ask(0), got(0.1), ans(0.3, "refused")], []),
        ([told(0, "draining"), got(0.54)], []),
        ([told(0, "draining"), got(0.56)], ["drains"]),
        ([told(0, "draining"), got(0.9, ago=0.4)], []),  # the time of its first byte counts
        ([told(0, "draining"), told(0.3, "up"), got(0.9)], []),
        ([told(0, "draining"), life(0.5, "start"), got(0.9)], []),  # a new process has not received it
        ([told(0, "up"), {**told(0, "up", whole=True), "hosts": {}}, got(0.9)], ["drains"]),
        ([op(0, "called"), op(0.1, "yes"), got(0.7)], ["bans"]),
        (
            [op(0, "called"), op(0.1, "yes"), life(1, "start"), got(2)],
            ["bans"],
        ),  # the override stays in force after a restart
        ([op(0, "called"), op(0.1, "no"), got(0.7)], []),
        ([op(0, "called"), op(1.0, "none"), got(1.4)], []),
        ([op(0, "called"), op(1.0, "none"), got(1.6)], ["bans"]),
        ([op(0, "called"), op(0.1, "yes"), op(0.3, "called", "up"), got(2)], []),
        ([told(0, "up", 5.0), fell(g0=7, g1=3)], ["cold"]),
        ([told(0, "up", 5.0), fell(g0=6, g1=4)], []),
        ([life(0, "exit", code=1, expected=False, log="boom")], ["crash"]),
        ([life(0, "exit", code=0, expected=True, log="")], []),
        ([life(0, "exit", code=1, expected=True, log="")], ["crash"]),
        ([life(0, "beside"), ask(0.5), ans(0.6, "broken"), life(1, "handed")], []),  # on an idle connection
        ([life(0, "beside"), ask(0.5), got(0.55), ans(0.6, "broken")], ["answers"]),
        ([life(0, "beside"), life(1, "handed"), ask(4), ans(4.1, "broken")], ["answers"]),
        ([life(0, "beside"), ask(0.5), life(0.6, "undone"), ans(0.6, "broken")], []),
        ([life(0, "unready")], ["start"]),
        ([life(0, "forced")], ["ends"]),
        (
            [
                e
                for i in range(14)
                for e in (ask(0, id=str(i), **STOR_REQUEST), got(0, i, id=str(i), **STOR_REQUEST))
            ],
            [],
        ),
        (
            [
                e
                for i in range(15)
                for e in (ask(0, id=str(i), **STOR_REQUEST), got(0, i, id=str(i), **STOR_REQUEST))
            ],
            ["ceilings"],
        ),
    ],
)
def test_the_judge_reports_exactly_the_rules_that_are_broken(
    events: list[dict[str, Any]], rules: list[str]
) -> None:
    judge = Judge()
    for event in [PLAY, *events]:
        judge.feed(event)
    assert [breach.rule for breach in judge.finish()] == rules
    assert 14 * 4 < CEILING_LIMIT_UNITS < 15 * 4
    for breach in judge.breaches:
        assert breach.line() and (breach.gateways or breach.backend)


def test_a_key_that_runs_twice_in_a_rack_is_a_breach_and_sends_by_a_stale_list_are_counted() -> None:
    judge = Judge()
    attempts = [
        ask(0, "spara"),
        got(0, cls="spara", key="k"),
        ask(1, "spara", id="2"),
        got(1, 2, cls="spara", id="2", key="k"),
    ]
    runs = [{"t": n, "e": "run", "b": "b0", "n": n, "id": str(n)} for n in (1, 2)]
    for event in [PLAY, *attempts, *runs]:
        judge.feed(event)
    assert [breach.rule for breach in judge.breaches] == ["repeats"]
    judge = Judge()
    judge.feed(PLAY)
    judge.feed({"t": 0, "e": "list", "seq": 2, "b": "b0", "health": "draining", "born": 0})
    for gateway in ("g1", "g2"):
        judge.feed({**told(0.5, "draining"), "g": gateway})
    judge.feed(ask(0, d=3_000))
    for at in (2.4, 2.6):
        judge.feed(got(at))
    assert judge.finish() == [] and judge.figures()["sends on an old list"] == 1


# ---- the record and the limits ----


def test_an_incomplete_last_line_of_a_record_is_skipped_and_other_bad_lines_are_errors(
    tmp_path: Path,
) -> None:
    records = Records(tmp_path, lambda event: None)
    records.add("one", x=1)
    records.begin()
    records.add("two")
    records.close()
    whole = (tmp_path / FILE).read_bytes()
    assert [e["e"] for e in read(tmp_path)] == ["one", "two"]
    assert [e["t"] < 0 for e in read(tmp_path)] == [True, False]
    (tmp_path / FILE).write_bytes(whole[:-5])
    assert [e["e"] for e in read(tmp_path)] == ["one"]
    (tmp_path / FILE).write_bytes(b"{}\n" + whole)
    with pytest.raises(RecordError):
        list(read(tmp_path))
    with pytest.raises(RecordError):
        list(read(tmp_path / "none"))


def test_a_port_in_use_and_too_few_descriptors_are_errors_before_the_play(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    net = Net()
    other = Net()
    assert other.number != net.number  # two plays side by side
    with socket.create_server((net.gateway(0), 6379)), pytest.raises(AddressError):
        net.check((net.gateway(0), 6379))
    net.check((net.gateway(0), 6379))
    net.close()
    other.close()
    monkeypatch.setattr(resource, "getrlimit", lambda which: (256, 256))

    async def begin() -> None:
        calm = scenario.load(scenario.find("calm"))
        play = Play(calm, 1, tmp_path)
        with pytest.raises(PlayError, match="ulimit -n"):
            await play.run()

    in_loop(begin)


def test_capacity_use_is_the_used_share_of_usable_capacity_after_a_power_loss() -> None:
    """Half of the capacity is used while demand exceeds it; then two thirds of a demand below capacity."""
    capacity_use = CapacityUse(1.0)
    assert capacity_use.figures() == {}
    for gateway in ("g0", "g1"):
        capacity_use.feed({"t": 5.0, "e": "life", "g": gateway, "what": "power"})
    capacity_use.feed({"t": 6.0, "e": "life", "g": "g0", "what": "start"})
    capacity_use.feed({"t": 5.5, "e": "op", "g": "g0", "call": "backends/down", "id": "b9", "how": "yes"})
    for tick in range(int(10 / 0.1)):
        at = 6.05 + tick / 10
        used, capacity = (1000.0, 2000.0) if tick < 50 else (2000.0, 9000.0)
        capacity_use.feed({"t": at, "e": "load", "of": {"b0": [used, capacity, 0], "b9": [0.0, 5000.0, 0]}})
        for _ in range(1 if tick % 2 else 2):  # 15 a second of 200 ms: 3 cores' work
            capacity_use.feed({"t": at, "e": "ask", "cls": "kalkyl", "k": 0})
        capacity_use.feed({"t": at, "e": "ask", "cls": "kalkyl", "k": 1})  # a retry adds no demand
        capacity_use.feed({"t": at, "e": "ans", "how": "refused"})
    share, usable, refused = capacity_use.shares()
    assert share[4:10] == pytest.approx([0.5] * 6) and usable[4:10] == pytest.approx([2000.0] * 6)
    assert share[12:18] == pytest.approx([2 / 3] * 6, abs=0.02)
    assert sum(refused[:20]) == pytest.approx(100, abs=6)
    figures = capacity_use.figures()
    assert figures["s to 0.5 of what is borne"] <= 2.5 and figures["s to 0.9 of what is borne"] <= 2.0
    assert 0.5 < figures["share borne from 3 s on"] < 0.7
