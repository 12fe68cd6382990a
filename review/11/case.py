"""One part of a prompt crashes servers; the requests with it come several at a time."""

import collections
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tools-3"))

import stage  # noqa: E402
import trio  # noqa: E402

BAD = "91bd3f06"  # the part that crashes servers
COMMON = "5c1e07a2"  # first part of all requests
SERVERS = 8
PREFILL_S = 0.04
EVENTS = 20
EVENT_S = 0.03
BACK_S = 3.0  # a crashed server is back after this time
SILENCE_S = 3 * stage.HEARTBEAT_S  # after which the entry of a server is removed
BATCH = 7  # requests with the part that a caller sends at once
BATCH_INTERVAL_S = 8.0
BATCHES = 6
STABLE_S = 3.0
SOUND_INTERVAL_S = 0.06


class Fleet:
    """Model servers that crash when they begin to write an answer on the part."""

    def __init__(self, site, record):
        self._site = site
        self._record = record
        self._boots = collections.Counter()
        self.crashed_at = []
        self.bad_arrivals = []  # time and id of each request with the part that reached a server

    async def add(self, name):
        server = await self._site.add_server(f"{name}-0", "huvo11a", "a100")
        server.answer = self._make_answer(server, name)

    def _make_answer(self, server, name):
        async def answer(exchange):
            request_id = exchange.headers[b"x-request-id"]
            parts = exchange.headers.get(b"x-prompt-prefix", b"").decode().split(",")
            is_bad = any(part.partition(":")[0] == BAD for part in parts)
            if is_bad:
                self.bad_arrivals.append((trio.current_time(), request_id.decode()))
                self._record.write(f"{server.id} gets {request_id.decode()} with the part")
            await trio.sleep(PREFILL_S)
            if is_bad:
                self._crash(server, name)
                await trio.sleep_forever()
            server.runs.append(request_id)
            header = [(b"X-Request-Id", request_id), (b"X-Server-Stamp", server.id.encode())]
            start = int(exchange.headers.get(b"last-event-id", b"0")) + 1
            await exchange.start(200, header)
            for number in range(start, EVENTS + 1):
                await exchange.send(b"id: %d\ndata: token\n\n" % number)
                await trio.sleep(EVENT_S)
            await exchange.end()

        return answer

    def _crash(self, server, name):
        if server.has_crashed:
            return
        self._record.write(f"{server.id} crashes")
        self.crashed_at.append(trio.current_time())
        self._site.beating.discard(server)
        server.crash()
        self._site.nursery.start_soon(self._come_back, server, name, trio.current_time())

    async def _come_back(self, server, name, crashed_at):
        await trio.sleep_until(crashed_at + BACK_S)
        self._boots[name] += 1
        new_id = f"{name}-{self._boots[name]}"
        new = await self._site.add_server_at(server.port, new_id, "huvo11a", "a100")
        new.answer = self._make_answer(new, name)
        await trio.sleep_until(crashed_at + SILENCE_S)
        self._site.platform.delete(f"servers/{server.id}")


async def case(trouble, record):
    fields = {"timeout-ms": 20000, "slo-ms": 500, "gap-target-ms": 200, "can-resume": True}
    routes = [
        stage.make_route("plan", "/lohu930/", "streaming", "huvo11a", **fields),
        stage.make_route("look", "/cufi504/", "idempotent", "wuno96b"),
    ]
    async with stage.run_stage(stage.make_configuration(routes), record) as site:
        fleet = Fleet(site, record)
        for number in range(3):
            await site.add_server(f"p{number}", "wuno96b")
        for number in range(SERVERS):
            await fleet.add(f"m{number}")
        site.add_nodes(3)
        await site.wait_until_ready()
        await site.wait_for_layers()
        sound, bad = [], collections.Counter()

        async def send(node, parts, is_bad):
            request_id = site.new_id()
            header = [
                ("X-Model", "daka510000"),
                ("X-Token-Count", "774,60"),
                ("X-Prompt-Prefix", ",".join(parts)),
            ]
            path = f"/lohu930/{request_id}"
            data = stage.build_request("POST", path, request_id, 20000, header)
            sent_at = trio.current_time()
            answer = await stage.exchange(node.front, data)
            if is_bad:
                bad[answer.status] += 1
            else:
                is_whole = answer.status == 200 and answer.body.count(b"\n\n") == EVENTS
                sound.append((sent_at, answer.status if is_whole else 0))

        async def press():
            number = 0
            while True:
                number += 1
                parts = [f"{COMMON}:40", f"{number:x}0:700"]
                nursery.start_soon(send, site.nodes[number % 3], parts, False)
                await trio.sleep(SOUND_INTERVAL_S)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(press)
            await trio.sleep(4.0)
            for batch in range(BATCHES):
                # One caller, so one node: the platform chooses it by a hash of the caller.
                for number in range(BATCH if trouble else 0):
                    parts = [f"{COMMON}:40", f"{BAD}:400", f"{batch:x}{number:x}f1:300"]
                    nursery.start_soon(send, site.nodes[batch % 3], parts, True)
                await trio.sleep(BATCH_INTERVAL_S)
            nursery.cancel_scope.cancel()
        whole = sum(status == 200 for _, status in sound)
        record.write(f"sound streams: {len(sound)}, {whole} of them served whole")
        record.write(f"answers to requests with the part: {dict(bad)}")
        record.write(f"servers that crashed: {len(fleet.crashed_at)}")
        if len(fleet.crashed_at) < 5:
            return True
        limit = fleet.crashed_at[4] + STABLE_S
        late = {request_id for at, request_id in fleet.bad_arrivals if at > limit}
        record.write(
            f"requests with the part that reached servers later than stable-ms after the fifth "
            f"crash: {len(late)}"
        )
        return len(late) <= 3


if __name__ == "__main__":
    stage.main(case, os.environ.get("TROUBLE", "1") != "0")
