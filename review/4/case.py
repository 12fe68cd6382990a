"""A watch of the store is cut, and shortly after a server leaves whose entry is simply removed."""

import itertools
import pathlib
import sys

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tools"))

import rig as rigs_  # noqa: E402
from rig import Rig, configuration, consumer_fields, is_trouble, route, run_script  # noqa: E402
from servers import Server  # noqa: E402

NODES = 6
DRAIN_S = 2.0  # drain-ms
SERVES_ON_S = 2.3  # the leaving server serves for drain-ms and a little longer, then exits
MARGIN_S = 0.05  # what the clock and the tasks of this script may add
CALM_S = 5.7  # longer than stable-ms; a round is then no multiple of what lies between orders
LEAVES_AFTER_CUT_S = 0.4
ROUNDS = 6
# Consumers of a machine send a few orders at once, every so often; the machines take turns.
ORDERS_AT_ONCE = 6
PERIOD_S = 2.7


class LeavingServer(Server):
    work_s = 0.3  # the site's orders take 60 ms on the mean, 450 ms at most

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.arrivals = {}  # time at which a request arrived, by its id

    async def run(self, stream, method, target, fields, body):
        self.arrivals[fields[b"x-request-id"]] = trio.current_time()
        await super().run(stream, method, target, fields, body)

    def register(self):
        if not hasattr(self, "left"):
            super().register()

    def leave(self):
        """End the entry without having reported ``draining``."""
        self.left = trio.current_time()
        self.is_leaving = True
        self.rig.platform.delete(f"servers/{self.id}")
        self.rig.record.write("entry removed, server serves on", id=self.id)


async def order(rig, node, request_id, answers):
    rig.record.write("sent", request=request_id.decode(), to=node.name)
    try:
        with trio.fail_after(5):
            status, _, _ = await rigs_.call(
                node.ip,
                node.front,
                b"POST",
                b"/puxa403/2f",
                consumer_fields(request_id),
                b'{"release": 1}',
            )
    except (OSError, trio.BrokenResourceError, trio.TooSlowError):
        status = 0
    answers[request_id] = status
    rig.record.write("answered", request=request_id.decode(), status=status)


async def consume(rig, node, numbers, answers, phase_s):
    await trio.sleep(phase_s)
    while True:
        for _ in range(ORDERS_AT_ONCE):
            request_id = f"9c41d07b{next(numbers):08}".encode()
            rig.nursery.start_soon(order, rig, node, request_id, answers)
        await trio.sleep(PERIOD_S)


async def main(nursery, record, folder, rigs):
    routes = [route("r-order", "/puxa403/", "non_idempotent", "depozit")]
    services = [{"name": "depozit", "health-path": "/healthz", "max-conns": 96, "protocol": "h1"}]
    rig = Rig(nursery, record, folder, configuration(routes, services))
    rigs.append(rig)
    await rig.start(NODES)
    servers = [LeavingServer(rig, f"i-7f3a91c{n}", "depozit") for n in range(3)]
    for server in servers:
        await server.start()
    await rig.wait_until_ready()
    numbers, answers = itertools.count(), {}
    for number, node in enumerate(rig.nodes):
        nursery.start_soon(consume, rig, node, numbers, answers, PERIOD_S * number / NODES)
    late_count = 0
    for number in range(ROUNDS):
        await trio.sleep(CALM_S)
        if is_trouble():
            while not (count := rig.platform.cut_watches()):
                await trio.sleep(0.05)  # a watch waits again 0.25 s after a change
            record.write("watches cut", count=count)
        await trio.sleep(LEAVES_AFTER_CUT_S)
        leaving = servers.pop(0)
        leaving.leave()
        await trio.sleep(SERVES_ON_S)
        record.write("leaving server exits", id=leaving.id)
        leaving.crash()
        late = {
            request_id: at - leaving.left
            for request_id, at in leaving.arrivals.items()
            if at - leaving.left > DRAIN_S + MARGIN_S
        }
        await trio.sleep(0.3)
        for request_id, after in late.items():
            record.write(
                "reached the server after drain-ms",
                request=request_id.decode(),
                seconds_after=round(after, 3),
                answered=answers.get(request_id, "none"),
            )
        if late:
            lost = sum(answers.get(request_id) != 200 for request_id in late)
            record.write("of these without the server's answer", count=lost)
        last = max((at - leaving.left for at in leaving.arrivals.values()), default=0.0)
        record.write("round", number=number, late=len(late), last_arrival_s=round(last, 3))
        late_count += len(late)
        if late_count:
            break
        servers.append(LeavingServer(rig, f"i-8a{number}", "depozit"))
        await servers[-1].start()
    record.write("rules", DRAIN="broken" if late_count else "held")
    return 1 if late_count else 0


if __name__ == "__main__":
    run_script(pathlib.Path(__file__).resolve().parent, main)
