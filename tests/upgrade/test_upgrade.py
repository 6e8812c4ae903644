"""An upgrade: a new process takes over from an old one, on the same socket and as the same gateway."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from pathlib import Path

import pytest
from helpers import GatewayHarness as PolicyWorld
from helpers import counter_calls, entry, rejections, sends
from operator_calls import call
from upgrade_site import UpgradeSite, running_site

from switchline.config import parse_config
from switchline.policy import interface as api
from switchline.policy.persistence.codec import decode_record, encode_record
from switchline.private_files import private_file
from switchline.service.service import Service
from switchline.service.upgrade import HAND_OVER_TIMEOUT_S
from switchline.upgrade.messages import DescriptorsInUse, Serving, StateSent, decode, encode
from switchline.upgrade.start_grant import StartGrant
from testbed.network.addresses import claimed_port
from testbed.network.sockets import LOCAL, Reply, until
from testbed.stand_ins.backends import Backend
from testbed.stand_ins.single_gateway import World, in_loop, request


async def send_requests(
    site: UpgradeSite, client: int, answers: list[object], stopped: asyncio.Event
) -> None:
    """Send requests on one connection; if it closes before the reply, send the request again on a new one."""
    peer = await site.client()
    number = 0
    while not stopped.is_set():
        number += 1
        peer.send(*request(b"c%dn%d" % (client, number), name=b"wipe"))
        answer = await peer.receive()
        if answer is None:
            peer = await site.client()
            peer.send(*request(b"c%dn%d" % (client, number), name=b"wipe"))
            answer = await peer.receive()
        answers.append(answer)
        await asyncio.sleep(0.002)
    peer.close()


def test_an_upgrade_loses_no_request_and_the_old_process_ends(tmp_path: Path) -> None:
    async def scenario() -> None:
        answers: list[object] = []
        stopped = asyncio.Event()

        async with running_site(tmp_path, Backend(), Backend()) as site:
            old = await site.start()
            clients = [asyncio.create_task(send_requests(site, n, answers, stopped)) for n in range(5)]
            await until(lambda: len(answers) > 50)
            idle = await site.client()
            idle.send(b"PING")
            assert await idle.receive() == b"PONG"
            await site.start()
            idle.send(b"PING")  # the gateway is not drained
            assert await idle.receive() == b"PONG"
            assert await old.wait() == 0  # it ends by itself, as it has no client or request any more
            seen = len(answers)
            await until(lambda: len(answers) > seen + 50)
            stopped.set()
            await asyncio.gather(*clients)
            assert set(answers) == {b"value"}

    in_loop(scenario)


def test_the_old_process_answers_its_requests_in_flight(tmp_path: Path) -> None:
    async def scenario() -> None:
        release_reply = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            if command[2] == b"r1":
                await release_reply.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        backend = Backend(script)
        async with running_site(tmp_path, backend) as site:
            old = await site.start()
            peer = await site.client()
            peer.send(*request(b"r1", name=b"wipe"))
            await until(lambda: backend.got)
            await site.start()
            old.send_signal(signal.SIGTERM)
            late_client = await site.client()
            late_client.send(*request(b"r2", name=b"wipe"))
            assert await late_client.receive() == b"value"
            release_reply.set()
            assert [await peer.receive(), await peer.receive()] == [b"value", None]
            assert await old.wait() == 0

    in_loop(scenario)


# Guards against: idle connections to backends of the old process take descriptors that the new one lacks.
def test_the_old_process_closes_connections_to_backends_that_its_clients_do_not_need(tmp_path: Path) -> None:
    async def scenario() -> None:
        release_reply = asyncio.Event()
        held = [b"held%d" % number for number in range(6)]

        async def script(command: list[bytes]) -> Reply:
            if command[2] in held:
                await release_reply.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        backend = Backend(script)
        async with running_site(tmp_path, backend) as site:
            old = await site.start()
            peers = [await site.client() for _ in held]
            for peer, id in zip(peers, held, strict=True):
                peer.send(*request(id, name=b"wipe"))
            await until(lambda: len(backend.got) == len(held))
            release_reply.set()
            assert [await peer.receive() for peer in peers] == [b"value"] * len(held)
            release_reply.clear()
            held.append(b"last")
            peers[0].send(*request(b"last", name=b"wipe"))
            await until(lambda: backend.got[-1][2] == b"last")
            assert len(backend.open) >= len(peers)
            await site.start()
            async with asyncio.timeout(1):
                await until(lambda: len(backend.open) <= 1)
            release_reply.set()
            assert await peers[0].receive() == b"value"
            assert await old.wait() == 0

    in_loop(scenario)


def test_spent_quotas_and_overrides_are_handed_over(tmp_path: Path) -> None:
    async def scenario() -> None:
        backends = Backend(), Backend()
        async with running_site(tmp_path, *backends) as site:
            config = json.loads(site.config.read_text())
            # The rate is so low that no unit is refilled during the test, and the counter is not read.
            config["settings"]["packages"][1]["rate"] = 0.01
            config["settings"]["familyInfo"]["mayCount"] = False
            site.config.write_text(json.dumps(config))
            await site.start()
            peer = await site.client()
            number = 0
            while await site.world.ask(peer, id=b"a%d" % number, plan=b"basic", name=b"wipe") == b"value":
                number += 1  # until the burst is spent
            assert number >= 2
            assert (await call(site.world, "POST", "/ops/backends/down", b'{"id": "h0"}'))[0] == 200
            await site.start()
            late_client = await site.client()
            assert "BUSY" in str(await site.world.ask(late_client, id=b"b1", plan=b"basic"))
            before = len(backends[0].got)
            for number in range(20):
                verb, _, *rest = request(b"d%d" % number, name=b"wipe")
                late_client.send(verb, b"%016x" % number, *rest)  # other customers, with quotas of their own
                assert await late_client.receive() == b"value"
            assert len(backends[0].got) == before

    in_loop(scenario)


@pytest.mark.parametrize("kind", ["file", "dead", "garbage", "silent"])
def test_a_start_succeeds_with_a_broken_or_silent_peer_socket(
    kind: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        socket_path = private_file("n0", "beside.sock")
        server: asyncio.Server | None = None

        async def reply_as_old_process(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if kind == "garbage":
                writer.write(b'["gateway", "x"]\n["customer", 1]\n["spent"]\n[]\n{\n')

        if kind == "file":
            socket_path.write_text("what")
        elif kind == "dead":
            with socket.socket(socket.AF_UNIX) as dead:
                dead.bind(os.fspath(socket_path))
        else:
            server = await asyncio.start_unix_server(reply_as_old_process, socket_path)
        async with running_site(tmp_path, Backend()) as site:
            await site.start()
            assert await site.world.ask(await site.client(), id=b"r1", name=b"wipe") == b"value"
            if server is not None:
                server.close()
            await site.start()
            assert await site.world.ask(await site.client(), id=b"r2", name=b"wipe") == b"value"

    in_loop(scenario)


def test_a_new_process_accepts_no_client_before_it_has_notified_the_old_one(tmp_path: Path) -> None:
    """Until then the old process accepts clients too, and would close their connections after one answer."""

    async def scenario() -> None:
        notified = asyncio.Event()
        to_old_process, of_old_process = socket.socketpair()
        config = parse_config(World(Backend()).config())
        service = Service(config, asyncio.Event(), StartGrant(to_old_process, 64 * 1024 * 1024))
        service.upgrade.handover.notify_serving = notified.set  # type: ignore[method-assign]
        await service.load()
        opening = asyncio.create_task(service.open())
        try:
            while not notified.is_set():
                assert not service.parts.clients.takes_clients
                await asyncio.sleep(0)
            await opening
            assert service.parts.clients.takes_clients
        finally:
            service.close()
            of_old_process.close()

    in_loop(scenario)


@pytest.mark.parametrize("old_process", ["hands over", "ends", "is halted"])
def test_a_new_process_is_ready_once_the_old_one_accepts_no_client(old_process: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        serving_received = asyncio.Event()
        may_react = asyncio.Event()

        async def act_as_old_process(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(encode(StateSent()))
            assert decode(await reader.readline()) == Serving()
            serving_received.set()
            await may_react.wait()
            if old_process == "hands over":
                writer.write(encode(DescriptorsInUse(20)))
                await reader.read()
            writer.close()

        server = await asyncio.start_unix_server(act_as_old_process, private_file("n0", "beside.sock"))
        service = Service(parse_config(World(Backend()).config()), asyncio.Event())
        await service.load()
        try:
            await service.open()
            opened_at_s = asyncio.get_running_loop().time()
            await serving_received.wait()
            assert service.parts.clients.takes_clients and service.status.readiness().status == 503
            if old_process != "is halted":
                may_react.set()
            await until(lambda: service.status.readiness().status == 200)
            waited_s = asyncio.get_running_loop().time() - opened_at_s
            assert (waited_s >= HAND_OVER_TIMEOUT_S - 0.1) == (old_process == "is halted")
        finally:
            may_react.set()
            service.close()
            server.close()

    in_loop(scenario)


# Guards against: a request that the old process has sent runs again at the new one (rule on lost requests,
# picture c).
def test_a_request_that_the_old_process_has_sent_does_not_run_again_at_the_new_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        may_answer = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await may_answer.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        backend = Backend(script)
        async with running_site(tmp_path, backend) as site:
            await site.start()
            before, during = await site.client(), await site.client()
            before.send(*request(b"before", name=b"wipe"))
            await until(lambda: backend.got)
            await site.start()
            during.send(*request(b"during", name=b"wipe"))  # on a connection of the old process
            await until(lambda: len(backend.got) == 2)
            before.close()
            during.close()
            await asyncio.sleep(0.05)
            peer = await site.client()
            for id in (b"before", b"during"):
                assert str(await site.world.ask(peer, id=id, name=b"wipe")) == "ERR failed"
            assert [command[2] for command in backend.got] == [b"before", b"during"]

    in_loop(scenario)


def hand_over_state(old: PolicyWorld, new: PolicyWorld) -> None:
    """Replicate the state of the old gateway to the new one."""
    old.give(api.PeerProcessJoined())
    exchange_messages(old, new)


def exchange_messages(first: PolicyWorld, second: PolicyWorld) -> None:
    for source, target in ((first, second), (second, first)):
        replicated = [a for _, a in source.log if isinstance(a, api.Replicate)]
        source.log.clear()
        for action in replicated:
            target.give(
                api.PeerProcessMessage(decode_record(json.loads(json.dumps(encode_record(action.record)))))
            )


def test_two_processes_share_buckets_and_ceilings() -> None:
    old, new = PolicyWorld(seed=1), PolicyWorld(seed=2)
    alone = PolicyWorld(seed=3)
    for world in (old, alone):
        world.pass_time(2_000)
    new.now_ms = old.now_ms
    admitted_requests = {"both": 0, "alone": 0}
    admitted_requests["both"] += len(sends(old.ask(plan="firm")))
    admitted_requests["alone"] += len(sends(alone.ask(plan="firm")))
    hand_over_state(old, new)
    for turn in range(200):
        one = (old, new)[turn % 2]
        for world, name in ((one, "both"), (alone, "alone")):
            sent = sends(world.ask(plan="firm"))
            admitted_requests[name] += len(sent)
            for send in sent:
                world.end_attempt(send)
        exchange_messages(old, new)
    assert 0 < admitted_requests["both"] <= admitted_requests["alone"]
    mine, theirs = new.gateway.customers.by_key["c"], old.gateway.customers.by_key["c"]
    assert abs(mine.ceiling_tokens - theirs.ceiling_tokens) < 1e-6 and abs(mine.tokens - theirs.tokens) < 1e-6


def test_only_the_new_process_calls_the_counter_and_reports_the_demand_of_both() -> None:
    old, new = PolicyWorld(), PolicyWorld()
    hand_over_state(old, new)
    asked = [a for _ in range(5) for a in old.ask()]
    assert not counter_calls(asked) and (sends(asked) or rejections(asked))
    exchange_messages(old, new)
    assert new.gateway.customers.by_key["c"].unreported_units == 5
    new.give(api.PeerProcessLeft())
    old.give(api.PeerProcessLeft())
    old.pass_time(1_000)
    assert counter_calls(old.ask())


def test_a_malformed_record_of_a_peer_process_changes_nothing() -> None:
    world = PolicyWorld([entry(1)])
    world.ask()
    for message in (
        ["spent", "c", "basic", 1, 0, float("nan"), 0, 0, 0],
        ["spent", "c", "nothing", 1, 0, 0, 0, 0, 0],
        ["customer", "d", "basic", 0, [1, 2]],
        ["gateway", 1],
        ["backend", 1, {"all": [1]}],
        ["what"],
    ):
        with pytest.raises((ValueError, TypeError)):
            world.give(api.PeerProcessMessage(decode_record(message)))
    assert list(world.gateway.customers.by_key) == ["c"]


def test_the_new_process_takes_over_the_fleet_member(tmp_path: Path) -> None:
    """The other gateways see a single member, first with the old incarnation and then with the new one."""

    async def scenario() -> None:
        (tmp_path / "secret").write_text("a secret that is long enough")
        own, other = claimed_port(), claimed_port()

        def fleet_settings(listen: int, seed: int) -> dict[str, object]:
            at, seeds = f"{LOCAL}:{listen}", [f"{LOCAL}:{seed}"]
            return {"name": "f", "listen": at, "seeds": seeds, "secret": str(tmp_path / "secret")}

        (tmp_path / "a").mkdir()
        (tmp_path / "b").mkdir()
        async with (
            running_site(tmp_path / "a", Backend()) as site,
            running_site(tmp_path / "b", Backend()) as watcher,
        ):
            watcher.world.name = "n1"
            for which, table in ((site, fleet_settings(own, other)), (watcher, fleet_settings(other, own))):
                config = json.loads(which.config.read_text())
                which.config.write_text(json.dumps({**config, "name": which.world.name, "fleet": table}))
            await watcher.start()

            async def member_row() -> dict[str, object]:
                _, body = await call(watcher.world, "GET", "/ops/fleet")
                row = dict(json.loads(body)["members"].get("n0", {}))
                assert row.get("state") in (None, "alive", "suspect")
                return row

            old = await site.start()
            while not (first := await member_row()):
                await asyncio.sleep(0.05)
            await site.start()
            while (await member_row())["life"] <= first["life"]:  # type: ignore[operator]
                await asyncio.sleep(0.05)
            await old.wait()
            await asyncio.sleep(1.0)  # longer than the timeout of a ping
            assert (await member_row())["state"] in ("alive", "suspect")

    in_loop(scenario)
