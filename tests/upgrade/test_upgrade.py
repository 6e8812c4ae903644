"""A new process takes over from an old one: on one socket, and counted as one gateway."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from pathlib import Path

import pytest
from helpers import World as Decisions
from helpers import counts, entry, refusals, sends
from operator_calls import call
from upgrade_site import Site, site

from switchline.operators.overrides import private_file
from switchline.policy import interface as api
from switchline.policy.persistence.codec import decode_record, encode_record
from testbed.network.addresses import claimed_port
from testbed.network.sockets import LOCAL, Reply, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import in_loop, request


async def send_requests(made: Site, client: int, answers: list[object], over: asyncio.Event) -> None:
    """A client that keeps its connection, and sends a request a second time if a close crossed it."""
    peer = await made.client()
    number = 0
    while not over.is_set():
        number += 1
        peer.send(*request(b"c%dn%d" % (client, number), name=b"wipe"))
        answer = await peer.receive()
        if answer is None:
            peer = await made.client()
            peer.send(*request(b"c%dn%d" % (client, number), name=b"wipe"))
            answer = await peer.receive()
        answers.append(answer)
        await asyncio.sleep(0.002)
    peer.close()


def test_no_request_is_lost_and_the_old_process_leaves(tmp_path: Path) -> None:
    async def scenario() -> None:
        answers: list[object] = []
        over = asyncio.Event()

        async with site(tmp_path, Backend(), Backend()) as made:
            old = await made.start()
            clients = [asyncio.create_task(send_requests(made, n, answers, over)) for n in range(5)]
            await until(lambda: len(answers) > 50)
            idle = await made.client()
            idle.send(b"PING")
            assert await idle.receive() == b"PONG"
            await made.start()
            idle.send(b"PING")  # the gateway is not drained
            assert await idle.receive() == b"PONG"
            assert await old.wait() == 0  # by itself: nothing is left to do for it
            seen = len(answers)
            await until(lambda: len(answers) > seen + 50)
            over.set()
            await asyncio.gather(*clients)
            assert set(answers) == {b"value"}

    in_loop(scenario)


def test_requests_open_at_the_old_process_are_answered_by_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            if command[2] == b"r1":
                await go_on.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        backend = Backend(script)
        async with site(tmp_path, backend) as made:
            old = await made.start()
            peer = await made.client()
            peer.send(*request(b"r1", name=b"wipe"))
            await until(lambda: backend.got)
            await made.start()
            old.send_signal(signal.SIGTERM)
            late = await made.client()
            late.send(*request(b"r2", name=b"wipe"))
            assert await late.receive() == b"value"
            go_on.set()
            assert [await peer.receive(), await peer.receive()] == [b"value", None]
            assert await old.wait() == 0

    in_loop(scenario)


def test_quotas_and_overrides_pass_over(tmp_path: Path) -> None:
    async def scenario() -> None:
        backends = Backend(), Backend()
        async with site(tmp_path, *backends) as made:
            given = json.loads(made.config.read_text())
            given["settings"]["packages"][1]["rate"] = 0.01  # nothing comes back while the test runs
            given["settings"]["familyInfo"]["mayCount"] = False  # only what the old process tells counts
            made.config.write_text(json.dumps(given))
            await made.start()
            peer = await made.client()
            number = 0
            while await made.world.ask(peer, id=b"a%d" % number, plan=b"basic", name=b"wipe") == b"value":
                number += 1  # until the burst is spent
            assert number >= 2
            assert (await call(made.world, "POST", "/ops/backends/down", b'{"id": "h0"}'))[0] == 200
            await made.start()
            late = await made.client()
            assert "BUSY" in str(await made.world.ask(late, id=b"b1", plan=b"basic"))
            before = len(backends[0].got)
            for number in range(20):
                verb, _, *rest = request(b"d%d" % number, name=b"wipe")
                late.send(verb, b"%016x" % number, *rest)  # other customers, with quotas of their own
                assert await late.receive() == b"value"
            assert len(backends[0].got) == before

    in_loop(scenario)


@pytest.mark.parametrize("kind", ["file", "dead", "garbage", "silent"])
def test_nothing_in_the_old_process_s_place_harms_a_start(
    kind: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        place = private_file("n0", "beside.sock")
        found: asyncio.Server | None = None

        async def speak(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if kind == "garbage":
                writer.write(b'["gateway", "x"]\n["customer", 1]\n["spent"]\n[]\n{\n')

        if kind == "file":
            place.write_text("what")
        elif kind == "dead":
            with socket.socket(socket.AF_UNIX) as dead:
                dead.bind(os.fspath(place))
        else:
            found = await asyncio.start_unix_server(speak, place)
        async with site(tmp_path, Backend()) as made:
            await made.start()
            assert await made.world.ask(await made.client(), name=b"wipe") == b"value"
            if found is not None:
                found.close()
            await made.start()
            assert await made.world.ask(await made.client(), name=b"wipe") == b"value"

    in_loop(scenario)


def join(old: Decisions, new: Decisions) -> None:
    """Let the new gateway take over; `pass_on` carries what they tell each other."""
    old.give(api.PeerProcessJoined())
    pass_on(old, new)


def pass_on(one: Decisions, other: Decisions) -> None:
    for source, target in ((one, other), (other, one)):
        told = [a for _, a in source.log if isinstance(a, api.Replicate)]
        source.log.clear()
        for tell in told:
            target.give(
                api.PeerProcessMessage(decode_record(json.loads(json.dumps(encode_record(tell.record)))))
            )


def test_two_processes_share_buckets_and_ceilings() -> None:
    old, new = Decisions(seed=1), Decisions(seed=2)
    alone = Decisions(seed=3)
    for world in (old, alone):
        world.pass_time(2_000)
    new.now = old.now
    let_in = {"both": 0, "alone": 0}
    let_in["both"] += len(sends(old.ask(plan="firm")))
    let_in["alone"] += len(sends(alone.ask(plan="firm")))
    join(old, new)
    for turn in range(200):
        one = (old, new)[turn % 2]
        for world, name in ((one, "both"), (alone, "alone")):
            made = sends(world.ask(plan="firm"))
            let_in[name] += len(made)
            for send in made:
                world.end(send)
        pass_on(old, new)
    assert 0 < let_in["both"] <= let_in["alone"]
    mine, theirs = new.gateway.customers.by_key["c"], old.gateway.customers.by_key["c"]
    assert abs(mine.ceiling_tokens - theirs.ceiling_tokens) < 1e-6 and abs(mine.tokens - theirs.tokens) < 1e-6


def test_only_the_new_process_calls_the_counter_and_it_says_all_wants() -> None:
    old, new = Decisions(), Decisions()
    join(old, new)
    asked = [a for _ in range(5) for a in old.ask()]
    assert not counts(asked) and (sends(asked) or refusals(asked))
    pass_on(old, new)
    assert new.gateway.customers.by_key["c"].unreported_units == 5
    new.give(api.PeerProcessLeft())
    old.give(api.PeerProcessLeft())
    old.pass_time(1_000)
    assert counts(old.ask())


def test_a_malformed_record_of_a_peer_process_changes_nothing() -> None:
    world = Decisions([entry(1)])
    world.ask()
    for said in (
        ["spent", "c", "basic", 1, 0, float("nan"), 0, 0, 0],
        ["spent", "c", "nothing", 1, 0, 0, 0, 0, 0],
        ["customer", "d", "basic", 0, [1, 2]],
        ["gateway", 1],
        ["backend", 1, {"all": [1]}],
        ["what"],
    ):
        with pytest.raises((ValueError, TypeError)):
            world.give(api.PeerProcessMessage(decode_record(said)))
    assert list(world.gateway.customers.by_key) == ["c"]


def test_the_gossip_link_passes_to_the_new_process(tmp_path: Path) -> None:
    """The other gateways see one member all along: with the old incarnation, and then with the new one."""

    async def scenario() -> None:
        (tmp_path / "secret").write_text("a secret that is long enough")
        own, other = claimed_port(), claimed_port()

        def line(listen: int, seed: int) -> dict[str, object]:
            at, seeds = f"{LOCAL}:{listen}", [f"{LOCAL}:{seed}"]
            return {"name": "f", "listen": at, "seeds": seeds, "secret": str(tmp_path / "secret")}

        (tmp_path / "a").mkdir()
        (tmp_path / "b").mkdir()
        async with site(tmp_path / "a", Backend()) as place, site(tmp_path / "b", Backend()) as watcher:
            watcher.world.name = "n1"
            for which, table in ((place, line(own, other)), (watcher, line(other, own))):
                given = json.loads(which.config.read_text())
                which.config.write_text(json.dumps({**given, "name": which.world.name, "fleet": table}))
            await watcher.start()

            async def member_row() -> dict[str, object]:
                _, body = await call(watcher.world, "GET", "/ops/fleet")
                row = dict(json.loads(body)["members"].get("n0", {}))
                assert row.get("state") in (None, "alive", "suspect")
                return row

            old = await place.start()
            while not (first := await member_row()):
                await asyncio.sleep(0.05)
            await place.start()
            while (await member_row())["life"] <= first["life"]:  # type: ignore[operator]
                await asyncio.sleep(0.05)
            await old.wait()
            await asyncio.sleep(1.0)  # longer than an answer to a ping may take
            assert (await member_row())["state"] in ("alive", "suspect")

    in_loop(scenario)
