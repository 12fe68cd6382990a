"""Tests of validating chat completion requests and rendering chunks."""

import json

import pytest

from basilwinch.exception import MALFORMED_REQUEST, STAGE_DIED, CallerError
from basilwinch.gateway.completion import ChunkWriter, CompletionRequest

MESSAGES = [{"role": "user", "content": "নমস্কার"}]


@pytest.fixture
def writer():
    return ChunkWriter("chatcmpl-1", 'odd "content": name')


def read_event(event):
    assert event.startswith(b"data: ")
    assert event.endswith(b"\n\n")
    return json.loads(event[6:])


@pytest.mark.parametrize(
    "changes",
    [
        {"model": None},
        {"model": 7},
        {"messages": "hello"},
        {"messages": []},
        {"messages": ["hello"]},
        {"messages": [{"role": "king", "content": ""}]},
        {"messages": [{"role": "user", "content": [{"image": 1}]}]},
        {"max_tokens": -1},
        {"max_tokens": True},
        {"max_tokens": 1 << 40},
        {"stream": "yes"},
        {"stream_options": []},
    ],
)
def test_wrong_field_is_refused_by_name(changes):
    """Guards against invalid requests that fail only inside the router."""
    with pytest.raises(CallerError) as caught:
        CompletionRequest.from_document({"model": "m", "messages": MESSAGES} | changes)
    assert caught.value.failure.kind is MALFORMED_REQUEST


def test_adapter_and_cache_key_are_read():
    """Guards against requests with the same system prompt that get different cache keys."""
    system = [{"role": "system", "content": "You draft proofs."}]
    first = CompletionRequest.from_document({"model": "m:bn", "messages": system + MESSAGES})
    other = CompletionRequest.from_document({"model": "m", "messages": system})
    assert (first.model, first.adapter) == ("m", "bn")
    assert first.cache_key == other.cache_key


def test_chunks_are_valid_events(writer):
    """Guards against chunks that are invalid JSON because of characters in a text or a name."""
    role = read_event(writer.render_role())["choices"][0]
    assert role["delta"] == {"role": "assistant", "content": ""}
    token = read_event(writer.render_token('"}\n\nডেটা'))
    assert token["choices"][0]["delta"] == {"content": '"}\n\nডেটা'}
    assert token["model"] == 'odd "content": name'
    end = read_event(writer.render_end("stop"))["choices"][0]
    assert (end["delta"], end["finish_reason"]) == ({}, "stop")
    assert read_event(writer.render_usage(3, 4))["usage"]["total_tokens"] == 7
    failure = read_event(writer.render_failure(STAGE_DIED.because("s1")))
    assert failure["error"]["code"] == "stage_died"
