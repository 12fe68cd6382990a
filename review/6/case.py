"""One machine is cut off from the other machines, with resets; what becomes of the others."""

import asyncio
import collections
import contextlib
import os
import pathlib
import random
import sys
import tempfile
import zlib

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "tools-2"))

import world  # noqa: E402
from world import now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["cluj-centru", "cluj-centru", "cluj-somes", "cluj-somes", "cluj-somes", "cluj-manastur"]
CUT_S = 5.5
PAUSE_S = 8.0  # between two cuts
CUTS = 2
STABLE_S = 3.0
RESTART_S = 0.5  # after a process has ended by itself
CONSUMERS = 8  # on each machine of the zone of three, one on each other
WORK_S = 0.25


async def main() -> int:
    record = world.Record(HERE / "record.txt")
    store = world.Store(record)
    store.put("op/config", world.json.dumps(world.make_configuration()).encode())
    servers = []
    for number, zone in enumerate(2 * sorted(set(ZONES))):
        server = world.Server(store, record, f"i-{number}", "depozit", zone)
        server.work_s = WORK_S
        servers.append(server)
    lost = []  # time, machine, id
    ends = []  # time, machine, exit code
    tasks = set()

    def spawn(coroutine):
        tasks.add(asyncio.create_task(coroutine))

    with tempfile.TemporaryDirectory() as folder:
        nodes = []
        for number, zone in enumerate(ZONES, 1):
            address = await store.open_port(f"machine-{number}")
            nodes.append(world.Node(number, zone, address, pathlib.Path(folder), sorted(set(ZONES))))
        # The one of the zone of three that asks the two others for what they read of the store.
        trio = [node for node in nodes if node.zone == "cluj-somes"]
        cut = max(trio, key=lambda node: zlib.crc32(node.name.encode()))
        others = [node for node in nodes if node is not cut]
        common_port = world._find_free_port("127.0.0.1")
        port = world._find_free_port("127.0.0.1")
        link = world.Link(record, cut, others, port, common_port)
        seeds = [f"{node.host}:{node.ports[2]}" for node in nodes[:3]]
        spawn(store.run())
        for server in servers:
            await server.start(1.2)
            spawn(server.run())
            spawn(server.run_expiry())
        try:
            await link.start()
            for node in nodes:
                node.write_settings(port if node is cut else common_port, seeds)
                spawn(node.watch_ready())
                spawn(keep_running(record, node, ends))
            limit = now() + 20.0
            while not all(node.is_ready for node in nodes):
                if now() > limit:
                    record.write("could not run: a machine does not get ready")
                    return 2
                await asyncio.sleep(0.1)
            for node in others:
                for number in range(CONSUMERS if node in trio else 1):
                    spawn(consume(record, node, number, lost))
            await asyncio.sleep(STABLE_S + 3.0)
            for _ in range(CUTS):
                if TROUBLE:
                    record.write(f"{cut.name} is cut off from the other machines, with resets")
                    link.cut()
                await asyncio.sleep(CUT_S)
                link.heal()
                record.write("the cut is over")
                await asyncio.sleep(PAUSE_S)
        finally:
            for task in tasks:
                task.cancel()
            for node in nodes:
                await node.end()
    return judge(record, servers, lost, ends, cut)


async def keep_running(record, node, ends) -> None:
    """Start a process, and start it again when it has ended by itself, as the platform does."""
    while True:
        await node.start()
        code = await node.process.wait()
        ends.append((now(), node.name, code))
        lines = node.log.read_text(errors="replace").rstrip().splitlines()
        error = next((line.strip(" |") for line in reversed(lines) if "Error" in line), "")
        record.write(f"{node.name} has ended by itself with code {code}: {error}")
        node.is_ready = False
        await asyncio.sleep(RESTART_S)


async def consume(record, node, number, lost) -> None:
    """Send orders that must not repeat, one after the other, on a connection that is kept."""
    rng = random.Random(f"{node.number}/{number}")
    connection, count, is_kept = None, 0, False
    while True:
        await asyncio.sleep(rng.uniform(0.0, 0.05))
        count += 1
        id_ = f"{node.number:02x}{number:02x}{count:08x}"
        headers = [
            ("Host", "h.example"),
            ("X-Request-Id", id_),
            ("X-Deadline-Ms", "4000"),
            ("X-Credential", "key-a-1"),
        ]
        try:
            if connection is None or not connection.is_usable:
                connection, is_kept = await world.Connection.open(node.host, node.ports[0]), False
            call = connection.call("POST", f"/release/{id_}", headers, b"order")
            status, _, _ = await asyncio.wait_for(call, 4.5)
        except (OSError, asyncio.TimeoutError):
            connection = None
            await asyncio.sleep(0.1)
            continue
        record.write(f"{id_} sent to {node.name}: {status or 'connection closed, no answer'}")
        if status == 0:
            if is_kept:
                lost.append((now(), node.name, id_))
            connection = None
        is_kept = True


def judge(record, servers, lost, ends, cut) -> int:
    """LOST, for each machine but the one that is cut: more than three requests that a server ran.

    Each was sent on a connection that had carried an answer before.
    """
    ran = set().union(*(server.ran for server in servers))
    counts = collections.Counter(name for _, name, id_ in lost if id_ in ran)
    del counts[cut.name]
    for name, count in sorted(counts.items()):
        times = sum(other == name for _, other, _ in ends)
        text = f"{name}: {count} requests lost that a server ran, {times} ends by itself"
        record.write(text)
        print(text)
    is_broken = any(count > 3 for count in counts.values())
    print("LOST broken" if is_broken else "LOST held")
    return 1 if is_broken else 0


if __name__ == "__main__":
    world.run(main)
