"""An entry of another writer under servers/ that can't be read, and what the nodes do with it."""

import pathlib
import sys

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tools"))
import os

import rig as rigs_  # noqa: E402
from rig import KEY, Rig, configuration, consumer_fields, is_trouble, route, run_script  # noqa: E402
from servers import Server  # noqa: E402

NODES = 3
CONSUMERS = 8  # kept connections to each node
CALM_S = 4.0  # longer than stable-ms, so that all machines are in touch
WATCH_S = 12.0

# What another writer may leave under servers/: "bytes that can't be read".
ENTRIES = {
    "nested": b"[" * 2000,
    "infinite": b'{"service":"depozit","address":"127.0.0.1:9","zone":"z0","slots":6,'
    b'"state":"ready","sequence":4,"born":1,"layers":{"from":0,"to":1e999}}',
    "port": b'{"service":"depozit","address":"127.0.0.1:80800","zone":"z0","slots":6,'
    b'"state":"ready","sequence":4,"born":1}',
}


class Counts:
    def __init__(self):
        self.sent = self.served = self.refused = self.failed = 0
        self.lost = {}  # by machine: requests of kept connections, see LOST
        self.sent_late = self.served_late = 0


async def consume(rig, node, number, servers, counts, state):
    """Send requests one after another on a kept connection, opened again if it ends."""
    stream, requests, is_kept = None, 0, False
    while True:
        request_id = f"{node.name}-{number}-{requests:04}".encode()
        requests += 1
        late = state["late"]
        counts.sent += 1
        counts.sent_late += late
        rig.record.write("sent", request=request_id.decode())
        try:
            if stream is None:
                is_kept = False
                stream = await trio.open_tcp_stream(node.ip, node.front)
            header = [(b"Host", rigs_.HOST.encode()), *consumer_fields(request_id)]
            await stream.send_all(
                rigs_.encode_request(b"POST", b"/puxa403/2f", header, b'{"release": 1}')
            )
            with trio.fail_after(5):
                status, _, _ = await rigs_.read_answer(stream)
            rig.record.write("answered", request=request_id.decode(), status=status)
            is_kept = True
            counts.served += status == 200
            counts.served_late += late and status == 200
            counts.refused += status != 200
        except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
            stream = None
            ran = any(request_id in server.ran for server in servers)
            rig.record.write(
                "no answer", request=request_id.decode(), ran=ran, error=type(error).__name__
            )
            counts.failed += 1
            if ran and is_kept and not isinstance(error, trio.TooSlowError):
                counts.lost[node.name] = counts.lost.get(node.name, 0) + 1
            await trio.sleep(0.2)
        await trio.sleep(0.02)


async def main(nursery, record, folder, rigs):
    routes = [route("r-order", "/puxa403/", "non_idempotent", "depozit")]
    services = [{"name": "depozit", "health-path": "/healthz", "max-conns": 96, "protocol": "h1"}]
    rig = Rig(nursery, record, folder, configuration(routes, services))
    rigs.append(rig)
    await rig.start(NODES)
    servers = [Server(rig, f"i-7f3a91c{n}", "depozit") for n in range(3)]
    for server in servers:
        await server.start()
    await rig.wait_until_ready()
    counts, state = Counts(), {"late": False}
    for node in rig.nodes:
        for number in range(CONSUMERS):
            nursery.start_soon(consume, rig, node, number, servers, counts, state)
    await trio.sleep(CALM_S)
    counts.lost.clear()
    if is_trouble():
        kind = os.environ.get("ENTRY", "nested")
        rig.platform.put("servers/odd-1", ENTRIES[kind])
        record.write("entry of another writer put under servers/odd-1", kind=kind)
    await trio.sleep(2.0)
    state["late"] = True
    await trio.sleep(WATCH_S)
    ends = {node.name: len(node.own_ends) for node in rig.nodes}
    for node in rig.nodes:
        record.write("last error", node=node.name, line=node.tail("Error")[:200])
    record.write(
        "counts",
        sent=counts.sent,
        served=counts.served,
        refused=counts.refused,
        no_answer=counts.failed,
        lost_on_kept_connections=counts.lost,
        sent_from_2_s_after=counts.sent_late,
        served_from_2_s_after=counts.served_late,
        ends_by_themselves=ends,
    )
    is_lost = any(count > 3 for count in counts.lost.values())
    is_fault = sum(count >= 3 for count in ends.values()) >= 2
    record.write("rules", LOST="broken" if is_lost else "held", Fault="broken" if is_fault else "held")
    return 1 if is_lost or is_fault else 0


if __name__ == "__main__":
    run_script(pathlib.Path(__file__).resolve().parent, main)
