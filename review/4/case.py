"""A watch of the store is cut, and shortly after a server leaves whose entry is simply removed."""

import itertools
import pathlib
import sys

import trio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tools"))

import rig as rigs_  # noqa: E402
from rig import Rig, configuration, consumer_fields, is_trouble, route, run_script  # noqa: E402
from servers import Server  # noqa: E402

DRAIN_S = 2.0  # drain-ms
SERVES_ON_S = 2.35  # the leaving server serves for drain-ms and a little longer, then exits
CALM_S = 5.0
CONSUMERS = 4  # at each node
LEAVES_AFTER_CUT_S = 0.4


class LeavingServer(Server):
    work_s = 0.25

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
        self.rig.platform.delete(f"servers/{self.id}")
        self.rig.record.write("entry removed, server serves on", id=self.id)


async def consume(rig, node, numbers, answers):
    while True:
        request_id = f"9c41d07b{next(numbers):08}".encode()
        rig.record.write("sent", request=request_id.decode())
        sent = trio.current_time()
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
        answers[request_id] = (sent, status)
        rig.record.write("answered", request=request_id.decode(), status=status)
        await trio.sleep(0.02)


async def main(nursery, record, folder, rigs):
    routes = [route("r-order", "/puxa403/", "non_idempotent", "depozit")]
    services = [{"name": "depozit", "health-path": "/healthz", "max-conns": 96, "protocol": "h1"}]
    rig = Rig(nursery, record, folder, configuration(routes, services))
    rigs.append(rig)
    await rig.start(4)
    servers = [LeavingServer(rig, f"i-7f3a91c{n}", "depozit") for n in range(3)]
    for server in servers:
        await server.start()
    await rig.wait_until_ready()
    numbers, answers = itertools.count(), {}
    for node in rig.nodes:
        for _ in range(CONSUMERS):
            nursery.start_soon(consume, rig, node, numbers, answers)
    await trio.sleep(CALM_S)
    if is_trouble():
        record.write("watches cut", count=rig.platform.cut_watches())
    await trio.sleep(LEAVES_AFTER_CUT_S)
    leaving = servers[0]
    leaving.leave()
    await trio.sleep(SERVES_ON_S)
    leaving.crash()
    await trio.sleep(3.0)
    late = {
        request_id: at - leaving.left
        for request_id, at in leaving.arrivals.items()
        if at - leaving.left > DRAIN_S
    }
    for request_id, after in late.items():
        record.write(
            "reached the server after drain-ms",
            request=request_id.decode(),
            seconds_after=round(after, 3),
            answered=answers.get(request_id, (0, "none"))[1],
        )
    last = max((at - leaving.left for at in leaving.arrivals.values()), default=0.0)
    broken_off = sum(answers.get(request_id, (0, 0))[1] == 502 for request_id in late)
    record.write(
        "counts",
        late=len(late),
        of_these_broken_off_by_the_exit=broken_off,
        last_arrival_s=round(last, 3),
    )
    record.write("rules", DRAIN="broken" if late else "held")
    return 1 if late else 0


if __name__ == "__main__":
    run_script(pathlib.Path(__file__).resolve().parent, main)
