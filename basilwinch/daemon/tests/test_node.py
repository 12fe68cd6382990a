"""Tests of a whole node over HTTP, with stand-ins for platform and servers."""

import json

import openai
import pytest
import trio

from basilwinch.standin import expected_tokens

KEY = "example-key-bharat-press"
MESSAGES = [{"role": "user", "content": "নকশা"}]
CHAT = "/v1/chat/completions"


def expect_text(count):
    return "".join(f"{token:x} " for token in expected_tokens("user: নকশা\n", count))


def chat_body(**changes):
    fields = {"model": "lekha-bn", "messages": MESSAGES, "max_tokens": 6}
    return json.dumps(fields | changes).encode()


@pytest.mark.parametrize("stream", [False, True])
def test_openai_client_works_unchanged(with_node, stream):
    """Guards against responses that an ordinary OpenAI client cannot read."""

    def ask(base):
        client = openai.OpenAI(base_url=base + "/v1", api_key=KEY, max_retries=0)
        assert {model.id for model in client.models.list()} == {"lekha-bn", "lekha-small"}
        answer = client.chat.completions.create(
            model="lekha-bn", messages=MESSAGES, max_tokens=6, stream=stream
        )
        if not stream:
            return answer.choices[0].message.content
        return "".join(part.choices[0].delta.content or "" for part in answer)

    async def check(client):
        return await trio.to_thread.run_sync(ask, client.base)

    assert with_node(check) == expect_text(6)


@pytest.mark.parametrize(
    ("path", "key", "body", "status", "code"),
    [
        (CHAT, KEY, b"{", 400, "malformed_request"),
        (CHAT, KEY, b"[]", 400, "malformed_request"),
        (CHAT, KEY, b"[" * 4000, 400, "malformed_request"),
        (CHAT, KEY, chat_body(model="none"), 404, "unknown_model"),
        (CHAT, KEY, chat_body(model="lekha-bn:none"), 404, "unknown_model"),
        (CHAT, "wrong", chat_body(), 401, "wrong_key"),
        (CHAT, "example-key-garia-journals", chat_body(), 403, "model_not_allowed"),
        (CHAT, KEY, b" " * 5000, 413, "body_too_large"),
        ("/services/none/x", KEY, b"", 404, "unknown_service"),
        ("/nothing", KEY, b"", 404, "not_found"),
    ],
)
def test_bad_input_gets_an_error_code(with_node, path, key, body, status, code):
    """Guards against errors without a stable code, and bad requests that break later ones."""

    async def check(client):
        reply = await client.request("POST", path, key, body)
        document = json.loads(reply.content)
        after = await client.request("POST", CHAT, body=chat_body())
        return reply.status, document["error"]["code"], after.status

    assert with_node(check, body_limit="4096") == (status, code, 200)


def test_slow_body_ends_with_a_timeout(with_node):
    """Guards against callers that hold connections by sending slowly."""

    async def check(client):
        port = int(client.base.rpartition(":")[2])
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            head = f"POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n"
            await stream.send_all(head.encode() + b"content-length: 100\r\n\r\n{")
            return await stream.receive_some()

    assert with_node(check, body_timeout="0.2").startswith(b"HTTP/1.1 408")


def test_disconnected_caller_frees_its_slot(with_node):
    """Guards against engine slots that stay in use after the caller has disconnected."""

    async def check(client):
        port = int(client.base.rpartition(":")[2])
        body = chat_body(max_tokens=30000, stream=True)
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            head = f"POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n"
            await stream.send_all(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
            await stream.receive_some()
            assert client.node.gateway.open_requests == 1
        while client.node.gateway.open_requests:
            await trio.sleep(0.01)
        return client.node.core.relay.in_progress

    assert with_node(check) == 0


def test_order_runs_once_and_lookup_is_routed(with_node):
    """Guards against an order that runs twice when its caller repeats it."""

    async def check(client):
        headers = [("idempotency-key", "order-1")]
        path = "/services/orderdesk/orders/1"
        first = await client.request("POST", path, body=b'{"n": 1}', headers=headers)
        again = await client.request("POST", path, body=b'{"n": 1}', headers=headers)
        look_up = await client.request("GET", path)
        asked = await client.request("GET", "/orders/order-1")
        runs = client.node.core.external.services.services.find_runs("order-1")
        return first, again, look_up, asked, len(runs)

    first, again, look_up, asked, runs = with_node(check)
    assert (first.status, again.status, look_up.status, asked.status) == (200, 200, 200, 200)
    assert first.content == again.content == asked.content
    assert look_up.content == b'{"n": 1}'
    assert runs == 1


def test_draining_node_is_unready_and_refuses(with_node):
    """Guards against a load balancer that keeps sending requests to a node that shuts down."""

    async def check(client):
        client.node.gateway.draining = True
        unready = await client.request("GET", "/readyz")
        served = await client.request("POST", CHAT, body=chat_body())
        client.node.gateway.refusing = True
        refused = await client.request("POST", CHAT, body=chat_body())
        return unready.status, served.status, json.loads(refused.content)["error"]["code"]

    assert with_node(check) == (503, 200, "draining")


def test_operator_endpoints(with_node):
    """Guards against metrics and state that operators cannot read."""

    async def check(client):
        await client.request("POST", CHAT, body=chat_body())
        metrics = await client.request("GET", "/metrics")
        state = await client.request("GET", "/admin/state")
        return metrics.content.decode(), json.loads(state.content)

    metrics, state = with_node(check)
    assert "basilwinch_tokens_total 6.0" in metrics
    assert 'basilwinch_decisions_total{kind="route",outcome="chosen"} 1.0' in metrics
    # Revision 1 is the note of the example, revision 2 that of its placement.
    assert (state["revision"], state["ready"]) == (2, True)


@pytest.mark.parametrize(
    "sent", [b"", b"GET /v1/mod", b"GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n"]
)
def test_gateway_outlives_connections_reset_before_they_are_accepted(
    with_node, reset_connections, sent
):
    """Guards against the error of one connection that ends the whole process."""

    async def check(client):
        host, port = client.base.removeprefix("http://").split(":")
        for _ in range(3):
            reset_connections(host, int(port), sent)
            response = await client.request("GET", "/v1/models")
            assert response.status == 200

    with_node(check)
