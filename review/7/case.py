"""A machine whose first registration was carried out late, then cut off from all servers."""

import asyncio
import collections
import contextlib
import os
import pathlib
import random
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "tools-2"))

import world  # noqa: E402
from world import now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")  # 0: none; cut: the second one alone
ZONES = ["cluj-centru", "cluj-centru", "cluj-somes", "cluj-somes", "cluj-somes", "cluj-manastur"]
JOINS = 4  # index of the machine that starts last
LATE_S = 5.9  # a lost write is done 1 to 6 s later
CUT_S = 8.0
STABLE_S = 3.0
RATE = 0.15  # seconds between requests of a consumer
CONSUMERS = 4  # on each machine


async def main() -> int:
    record = world.Record(HERE / "record.txt")
    store = world.Store(record)
    store.put("op/config", world.json.dumps(world.make_configuration()).encode())
    servers = [
        world.Server(store, record, f"i-{n}", "depozit", zone)
        for n, zone in enumerate(["cluj-centru", "cluj-somes", "cluj-manastur"])
    ]
    tries = []  # time, machine, status of each first try
    tasks = set()

    def spawn(coroutine):
        tasks.add(asyncio.create_task(coroutine))

    with tempfile.TemporaryDirectory() as folder:
        nodes = []
        for number, zone in enumerate(ZONES, 1):
            address = await store.open_port(f"machine-{number}")
            nodes.append(world.Node(number, zone, address, pathlib.Path(folder), sorted(set(ZONES))))
        peer_port = world._find_free_port("127.0.0.1")
        seeds = [f"{node.host}:{node.ports[2]}" for node in nodes[:3]]
        spawn(store.run())
        for server in servers:
            await server.start(1.2)
            spawn(server.run())
            spawn(server.run_expiry())
        try:
            for node in nodes:
                node.write_settings(peer_port, seeds)
                spawn(node.watch_ready())
            for node in nodes[:JOINS] + nodes[JOINS + 1 :]:
                await node.start()
            await asyncio.sleep(4.0)
            late = nodes[JOINS]
            if TROUBLE == "1":
                store.lose_next_write[f"machine-{JOINS + 1}"] = LATE_S
            record.write(f"{late.name} is started")
            await late.start()
            started = now()
            await wait_until_ready(nodes)
            for node in nodes:
                for number in range(CONSUMERS):
                    spawn(consume(record, nodes, node, number, tries))
            # The lease of the write that was done late, 12 s, ends in the meantime.
            await asyncio.sleep(max(0.0, started + 20.0 - now()))
            cut_at = now()
            if TROUBLE != "0":
                record.write(f"{late.name} is cut off from all servers")
                for server in servers:
                    server.cut_machine(late.host)
            await asyncio.sleep(CUT_S)
            for server in servers:
                server.cut.discard(late.host)
            record.write("the cut is over")
            end_at = now()
            await asyncio.sleep(1.0)
        except TimeoutError as error:
            record.write(f"could not run: {error}")
            return 2
        finally:
            for task in tasks:
                task.cancel()
            for node in nodes:
                await node.end()
    return judge(record, tries, late, cut_at, end_at)


async def wait_until_ready(nodes) -> None:
    limit = now() + 20.0
    while not all(node.is_ready for node in nodes):
        if now() > limit:
            raise TimeoutError("a machine does not get ready")
        await asyncio.sleep(0.1)


async def consume(record, nodes, node, number, tries) -> None:
    """Send requests, all first tries, on a connection that is kept; retry once elsewhere.

    Without a connection the platform chooses a machine that is in rotation.
    """
    rng = random.Random(f"{node.number}/{number}")
    connection, machine = None, node
    count = 0
    while True:
        await asyncio.sleep(RATE * rng.uniform(0.8, 1.2))
        count += 1
        id_ = f"{node.number:02x}{number:02x}{count:08x}"
        if connection is None or not connection.is_usable:
            machine = choose_machine(nodes, node, rng)
            connection = None
        sent_at = now()
        status = 0
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            if connection is None:
                connection = await world.Connection.open(machine.host, machine.ports[0])
            status, _, _ = await asyncio.wait_for(connection.call(*request(id_)), 4.5)
        if status == 0:
            connection = None
        tries.append((sent_at, machine.name, status))
        record.write(f"{id_} sent to {machine.name}: {status}")
        if status == 200:
            continue
        await asyncio.sleep(0.02)
        other = choose_machine(nodes, node, rng)
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            call = world.call(other.host, other.ports[0], *request(id_ + "aa"))
            status, _, _ = await asyncio.wait_for(call, 4.0)
            record.write(f"{id_}aa, a retry, sent to {other.name}: {status}")


def request(id_: str):
    headers = [
        ("Host", "h.example"),
        ("X-Request-Id", id_),
        ("X-Deadline-Ms", "4000"),
        ("X-Credential", "key-a-1"),
    ]
    return "GET", f"/check/{id_}", headers, b""


def choose_machine(nodes, node, rng):
    """Return a machine of the consumer's zone as the platform chooses it."""
    local = [n for n in nodes if n.zone == node.zone]
    ready = [n for n in local if n.is_ready]
    if ready:
        return rng.choice(ready if 2 * len(ready) >= len(local) else local)
    return rng.choice([n for n in nodes if n.is_ready] or nodes)


def judge(record, tries, late, cut_at, end_at) -> int:
    """RECOVER: first tries at the cut machine, from stable-ms after the cut began."""
    counts = collections.Counter()
    for sent_at, machine, status in tries:
        if cut_at + STABLE_S <= sent_at <= end_at - 0.5:
            counts[machine == late.name, status == 200] += 1
    cut_sent = counts[True, True] + counts[True, False]
    other_sent = counts[False, True] + counts[False, False]
    text = (
        f"first tries at {late.name}: {counts[True, True]} of {cut_sent} served; at the others: "
        f"{counts[False, True]} of {other_sent}"
    )
    record.write(text)
    print(text)
    if not other_sent or cut_sent < 5 and TROUBLE != "0":
        return 2
    cut_ratio = counts[True, True] / max(1, cut_sent)
    other_ratio = counts[False, True] / other_sent
    is_rare = cut_ratio < other_ratio * 2 / 3
    has_many = counts[True, False] > 10 + (cut_sent + other_sent) / 50
    print("RECOVER broken" if is_rare and has_many else "RECOVER held")
    return 1 if is_rare and has_many else 0


if __name__ == "__main__":
    world.run(main)
