"""The store turns one machine away; another machine of its zone must follow all the same."""

import itertools
import json
import pathlib
import sys
import zlib

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tools"))

import rig as rigs_  # noqa: E402
from rig import Rig, configuration, consumer_fields, is_trouble, route, run_script  # noqa: E402
from servers import Server  # noqa: E402

APPLY_S = 2.0  # config-apply-ms
ROUNDS = 4
REFUSED_S = 4.0  # the store turns the machine away; the site's largest is 9 s
CALM_S = 7.0  # longer than stable-ms, and than a reader is left out
AFTER_CHECK_S = 0.1  # the cut comes so long after the machine has last asked for the revision
CONSUMERS = 8
SERVICES = ("depozit", "depozit-nou")


class TimedServer(Server):
    """Notes when a request was sent that it runs, by the consumer's note."""

    work_s = 0.02


def build(version, target):
    routes = [route("r-order", "/puxa403/", "non_idempotent", SERVICES[target])]
    services = [
        {"name": name, "health-path": "/healthz", "max-conns": 96, "protocol": "h1"}
        for name in SERVICES
    ]
    return configuration(routes, services, version)


async def consume(rig, node, numbers, sent_at):
    while True:
        request_id = f"9c41d07b{next(numbers):08}".encode()
        sent_at[request_id] = trio.current_time()
        rig.record.write("sent", request=request_id.decode())
        try:
            with trio.fail_after(5):
                status, fields, _ = await rigs_.call(
                    node.ip,
                    node.front,
                    b"POST",
                    b"/puxa403/2f",
                    consumer_fields(request_id),
                    b'{"release": 1}',
                )
            stamp = fields.get(b"x-server-stamp", b"").decode()
            rig.record.write("answered", request=request_id.decode(), status=status, stamp=stamp)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError):
            rig.record.write("no answer", request=request_id.decode())
        await trio.sleep(0.02)


async def main(nursery, record, folder, rigs):
    rig = Rig(nursery, record, folder, build(7, 0))
    rigs.append(rig)
    # Each node has a way to the store of its own, which the store can close.
    await rig.start(3, zone="z0", own_ways=True)
    servers = {name: [TimedServer(rig, f"i-{n}{k}", name) for n in range(2)] for k, name in enumerate(SERVICES)}
    for server in itertools.chain(*servers.values()):
        await server.start()
    await rig.wait_until_ready()
    # Two nodes of a zone read the store for the others, see basilwinch/fanout/readers.py.
    order = sorted(rig.nodes, key=lambda node: (zlib.crc32(node.name.encode()), node.name))
    follower = order[2]
    reader = order[zlib.crc32(follower.name.encode()) % 2]
    record.write("machines", follower=follower.name, it_asks=reader.name)
    numbers, sent_at = itertools.count(), {}
    for _ in range(CONSUMERS):
        nursery.start_soon(consume, rig, follower, numbers, sent_at)
    version, target, late = 7, 0, 0
    for number in range(ROUNDS):
        await trio.sleep(CALM_S)
        version, target = version + 3, 1 - target
        checked_at = reader.last_check()
        with trio.move_on_after(3.0):
            while reader.last_check() == checked_at:
                await trio.sleep(0.005)
        await trio.sleep(AFTER_CHECK_S)
        if is_trouble():
            reader.way.mode = "refuse"
            reader.way.reset_all()
            record.write("store turns a machine away", node=reader.name)
        rig.platform.put("op/config", json.dumps(build(version, target)).encode())
        acked = trio.current_time()
        record.write("configuration acked", version=version, service=SERVICES[target])
        await trio.sleep(REFUSED_S)
        reader.way.mode = "pass"
        old = servers[SERVICES[1 - target]]
        after = {
            request_id: sent_at[request_id] - acked
            for server in old
            for request_id in server.ran
            if request_id in sent_at and sent_at[request_id] > acked
        }
        too_late = {id: s for id, s in after.items() if s > APPLY_S}
        late += len(too_late)
        for request_id, seconds in too_late.items():
            record.write(
                "run by the old service",
                request=request_id.decode(),
                sent_s_after_the_ack=round(seconds, 3),
            )
        record.write(
            "round",
            number=number,
            last_run_by_the_old_service_s=round(max(after.values(), default=0.0), 3),
            later_than_the_bound=len(too_late),
        )
        if late:
            break
    record.write("log", line=follower.tail("reader left out")[:200])
    record.write("rules", CONFIG="broken" if late else "held")
    return 1 if late else 0


if __name__ == "__main__":
    run_script(pathlib.Path(__file__).resolve().parent, main)
