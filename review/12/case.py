"""One answer of a model server never ends, in chunks of one byte; what others get meanwhile."""

import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tools-3"))

import stage  # noqa: E402
import trio  # noqa: E402

STREAM = {"timeout-ms": 20000, "slo-ms": 500, "gap-target-ms": 200, "can-resume": True}
CALLER_S = 4.0  # time limit of the callers, who leave then
ORDER_TIMEOUT_S = 1.0  # the route's timeout-ms
LATE_S = 0.5  # RULES, CONFIG: no answer half a second after it
ANSWERS_BEFORE = 60  # of the server; one bad answer of 61 is a share of 0.016
BLOCK = b"1\r\nx\r\n" * 4096  # chunks with one byte each
LENGTH_S = 26.0


def make_answer(server, record, trouble):
    """Return the handler of a model server; server m0 spoils one answer."""
    count = 0
    spoiled = not (trouble and server.id == "m0")

    async def answer(exchange):
        nonlocal count, spoiled
        count += 1
        request_id = exchange.headers[b"x-request-id"]
        server.runs.append(request_id)
        header = [(b"X-Request-Id", request_id), (b"X-Server-Stamp", server.id.encode())]
        if not spoiled and count > ANSWERS_BEFORE:
            spoiled = True
            record.write(f"m0 begins its answer {count}, to {request_id.decode()}, without end")
            await send_without_end(exchange._connection._stream, header, record)
            return
        await exchange.start(200, header)
        for number in range(1, 7):
            await trio.sleep(0.01)
            await exchange.send(b"id: %d\ndata: token\n\n" % number)
        await exchange.end()

    return answer


async def send_without_end(stream, header, record):
    """Send a body of bytes that are no answer until the caller closes."""
    fields = b"".join(name + b": " + value + b"\r\n" for name, value in header)
    sent = 0
    try:
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + fields + b"\r\n"
        )
        while True:
            await stream.send_all(BLOCK)
            sent += 4096
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        record.write("the connection of the answer without end was closed by the caller")
    finally:
        record.write(f"bytes of that answer that were sent: {sent}")


async def call(address, record, orders, new_id, pause_s):
    """Send orders one after the other on a kept connection, as a consumer does."""
    import h11

    while True:
        parser = h11.Connection(h11.CLIENT)
        try:
            async with await trio.open_tcp_stream(*address) as stream:
                while parser.our_state is not h11.MUST_CLOSE:
                    request_id = new_id()
                    data = stage.build_request("POST", "/puxa403/2f", request_id, 4000)
                    parser.send(h11.Request(method="POST", target="/", headers=[("Host", "x")]))
                    parser.send(h11.EndOfMessage())
                    sent_at = trio.current_time()
                    orders[request_id] = [sent_at, None, 0]
                    await stream.send_all(data)
                    while not isinstance(event := parser.next_event(), h11.EndOfMessage):
                        if event is h11.NEED_DATA:
                            with trio.fail_at(sent_at + CALLER_S):
                                parser.receive_data(await stream.receive_some(65536))
                        elif isinstance(event, h11.Response):
                            orders[request_id][2] = event.status_code
                        elif isinstance(event, h11.ConnectionClosed):
                            raise trio.BrokenResourceError("closed")
                    orders[request_id][1] = trio.current_time()
                    record.write(
                        f"order {request_id} at {address[0]}: status {orders[request_id][2]} "
                        f"after {trio.current_time() - sent_at:.3f} s"
                    )
                    await trio.sleep(pause_s)
                    if parser.their_state is not h11.DONE:
                        break
                    parser.start_next_cycle()
        except (
            OSError,
            trio.BrokenResourceError,
            trio.TooSlowError,
            h11.RemoteProtocolError,
        ) as error:
            record.write(f"order at {address[0]}: connection ended, {error!r}")
            await trio.sleep(pause_s)


async def case(trouble, record):
    routes = [
        stage.make_route("plan", "/lohu930/", "streaming", "huvo11a", **STREAM),
        stage.make_route(
            "release", "/puxa403/", "non_idempotent", "wuno96b", **{"timeout-ms": 1000}
        ),
    ]
    async with stage.run_stage(stage.make_configuration(routes), record) as site:
        for number in range(3):
            await site.add_server(f"p{number}", "wuno96b")
        for number in range(3):
            server = await site.add_server(f"m{number}", "huvo11a", "a100")
            server.answer = make_answer(server, record, trouble)
        site.add_nodes(3)
        await site.wait_until_ready()
        await site.wait_for_layers()
        orders = {}

        async def stream(node):
            request_id = site.new_id()
            header = [("X-Token-Count", "774,200"), ("X-Model", "daka510000")]
            data = stage.build_request("POST", "/lohu930/2f", request_id, 20000, header)
            answer = await stage.exchange(node.front, data)
            record.write(f"stream {request_id} at {node.name}: {answer}")

        async def check(node):
            while True:
                start = trio.current_time()
                status = await stage.read_ready(node, 10.0)
                if status != 200 or trio.current_time() - start > 0.5:
                    seconds = trio.current_time() - start
                    record.write(f"readiness of {node.name}: {status} after {seconds:.2f} s")
                await trio.sleep(1.0)

        async with trio.open_nursery() as nursery:
            for node in site.nodes:
                nursery.start_soon(check, node)
                for _ in range(4):
                    nursery.start_soon(call, node.front, record, orders, site.new_id, 0.3)
            # About 20 streams a second for 12 s, so that m0 gives over 60 answers.
            for number in range(240):
                nursery.start_soon(stream, site.nodes[number % 3])
                await trio.sleep(0.05)
            await trio.sleep(LENGTH_S)
            nursery.cancel_scope.cancel()
        return judge(orders, trio.current_time(), record)


def judge(orders, now, record):
    """CONFIG: of requests that last beyond their timeout, 8 and over a quarter lack an answer then."""
    limit_s = ORDER_TIMEOUT_S + LATE_S
    known = [(at, done) for at, done, _ in orders.values() if now - at > limit_s]
    unanswered = [(at, done) for at, done in known if done is None or done - at > ORDER_TIMEOUT_S]
    late = [(at, done) for at, done in unanswered if done is None or done - at > limit_s]
    record.write(
        f"{len(known)} orders; {len(unanswered)} unanswered at the route's timeout of 1 s, "
        f"{len(late)} of these still unanswered half a second later"
    )
    return len(late) < 8 or 4 * len(late) <= len(unanswered)


if __name__ == "__main__":
    stage.main(case, os.environ.get("TROUBLE", "1") != "0")
