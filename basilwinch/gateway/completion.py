"""OpenAI-compatible chat completions: request validation and response rendering."""

import datetime
import hashlib
import json

from basilwinch.exception import MALFORMED_REQUEST, CallerError, Failure
from basilwinch.record import Record

__all__ = ["ChunkWriter", "CompletionRequest", "render_completion"]

DEFAULT_COMPLETION_TOKENS = 256
# Limit of the field ``max_tokens`` of a request.
MAX_COMPLETION_TOKENS = 32_768
# The cache key is a digest of the system and developer messages or, if there are none, of this many
# leading characters of the prompt. Requests with equal keys can reuse the KV cache of that prefix.
CACHE_PREFIX_CHARACTERS = 256
ROLES = ("system", "developer", "user", "assistant", "tool")


class CompletionRequest(Record):
    """A validated chat completion request.

    :param model: name of the model, without the adapter of ``model:adapter``
    :param adapter: name of the adapter, empty for none
    :param prompt: roles and texts of all messages
    :param max_tokens: maximum number of generated tokens
    :param stream: whether to respond with server-sent events
    :param include_usage: whether a stream ends with a chunk of token counts
    :param cache_key: digest of the prompt prefix; requests with equal keys can reuse its KV cache
    """

    __slots__ = ("model", "adapter", "prompt", "max_tokens", "stream", "include_usage", "cache_key")

    @classmethod
    def from_document(cls, document: dict) -> "CompletionRequest":
        """Validate a JSON document.

        :raises CallerError: ``MALFORMED_REQUEST`` with the name of the field
        """
        model = _require(document, "model", str)
        name, _, adapter = model.partition(":")
        messages = [_read_message(message) for message in _require(document, "messages", list)]
        if not messages:
            raise _malformed("messages", "must contain at least one message, got none")
        prompt = "".join(f"{role}: {text}\n" for role, text in messages)
        options = document.get("stream_options", {})
        if options is None:
            options = {}
        if not isinstance(options, dict):
            raise _malformed("stream_options", "must be an object")
        return cls(
            name,
            adapter,
            prompt,
            _read_max_tokens(document),
            _require(document, "stream", bool, False),
            bool(options.get("include_usage", False)),
            _compute_cache_key(messages, prompt),
        )


def _malformed(field: str, requirement: str) -> CallerError:
    return CallerError(MALFORMED_REQUEST.because(f"field {field!r} {requirement}", field=field))


def _require(document: dict, field: str, kind: type, default=None):
    value = document.get(field)
    if value is None:
        value = default
    if not isinstance(value, kind):
        raise _malformed(field, f"must be of type {kind.__name__}")
    return value


def _read_message(message) -> tuple[str, str]:
    if not isinstance(message, dict):
        raise _malformed("messages", "must contain objects only")
    role = _require(message, "role", str)
    if role not in ROLES:
        raise _malformed("role", f"must be one of {', '.join(ROLES)}, got {role!r:.40}")
    content = message.get("content", "")
    if isinstance(content, list):
        content = "".join(map(_read_part, content))
    if not isinstance(content, str):
        raise _malformed("content", "must be a string or a list of text parts")
    return role, content


def _read_part(part) -> str:
    if not isinstance(part, dict) or not isinstance(part.get("text"), str):
        raise _malformed("content", "must contain text parts only")
    return part["text"]


def _read_max_tokens(document: dict) -> int:
    value = document.get("max_completion_tokens") or document.get("max_tokens")
    if value is None:
        return DEFAULT_COMPLETION_TOKENS
    if (
        not isinstance(value, int)
        or isinstance(value, bool)
        or not 1 <= value <= MAX_COMPLETION_TOKENS
    ):
        raise _malformed("max_tokens", f"must be an integer from 1 to {MAX_COMPLETION_TOKENS}")
    return value


def _compute_cache_key(messages, prompt: str) -> str:
    system = "".join(text for role, text in messages if role in ("system", "developer"))
    prefix = system or prompt[:CACHE_PREFIX_CHARACTERS]
    return hashlib.sha256(prefix.encode("utf-8", "surrogatepass")).hexdigest()[:16]


class ChunkWriter:
    """Renders the events of one streamed response.

    The constant parts of a chunk are rendered once, because there is one chunk per token.

    :param completion_id: id of the completion, repeated in each chunk
    :param model: name of the model
    """

    __slots__ = ("_head", "_tail")

    def __init__(self, completion_id: str, model: str):
        fields = {
            "id": completion_id,
            "object": "chat.completion.chunk",
            "created": _now(),
            "model": model,
        }
        fixed = json.dumps(fields, ensure_ascii=False)[:-1]
        self._head = f'data: {fixed}, "choices": [{{"index": 0, "delta": {{"content": '
        self._tail = '}, "finish_reason": null}]}\n\n'

    def render_role(self) -> bytes:
        """Return the first chunk, which contains the role and no text."""
        head = self._head.replace('"content": ', '"role": "assistant", "content": ')
        return f'{head}""{self._tail}'.encode()

    def render_token(self, text: str) -> bytes:
        """Return the chunk of one token."""
        return f"{self._head}{json.dumps(text)}{self._tail}".encode()

    def render_end(self, reason: str) -> bytes:
        """Return the last chunk with a choice, which contains the finish reason.

        :param reason: ``stop`` or ``length``
        """
        head = self._head.replace('"content": ', "")
        return f"{head}{self._tail.replace('null', json.dumps(reason))}".encode()

    def render_usage(self, prompt_tokens: int, tokens: int) -> bytes:
        """Return the chunk with the token counts, which has no choices."""
        head = self._head.partition(', "choices"')[0]
        usage = json.dumps(_usage(prompt_tokens, tokens))
        return f'{head}, "choices": [], "usage": {usage}}}\n\n'.encode()

    @staticmethod
    def render_failure(failure: Failure) -> bytes:
        """Return the error event that ends an incomplete stream."""
        document = {"error": {"type": "server_error", **failure.to_dict()}}
        return f"data: {json.dumps(document, ensure_ascii=False)}\n\n".encode()


def render_completion(
    completion_id: str, model: str, text: str, reason: str, prompt_tokens: int, tokens: int
) -> dict:
    """Return the JSON document of a response that is not streamed.

    :param reason: ``stop`` or ``length``
    """
    message = {"role": "assistant", "content": text}
    return {
        "id": completion_id,
        "object": "chat.completion",
        "created": _now(),
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": reason}],
        "usage": _usage(prompt_tokens, tokens),
    }


def _usage(prompt_tokens: int, tokens: int) -> dict:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


def _now() -> int:
    return int(datetime.datetime.now(datetime.UTC).timestamp())
