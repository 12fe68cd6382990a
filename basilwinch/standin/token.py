"""Deterministic tokens, from which tests recognise the correct response to a prompt."""

import zlib

from basilwinch.server import EngineCall

__all__ = ["CRASH_MARK", "count_prompt_tokens", "expected_tokens", "text_of", "token_at"]

#: A prompt with this text crashes each server that processes it.
CRASH_MARK = "[[crash]]"

_VOCABULARY_SIZE = 50021


def token_at(digest: int, position: int) -> int:
    """Return the token at a position of a response.

    :param digest: from :func:`response_digest`; CRC-32 of the prompt for a correct response
    """
    return (digest * 31 + position * 7919 + (digest ^ position) % 613) % _VOCABULARY_SIZE


def expected_tokens(prompt: str, count: int, first: int = 0) -> list[int]:
    """Return ``count`` tokens of the correct response to ``prompt``, from position ``first``.

    >>> expected_tokens("hello", 4)[2:] == expected_tokens("hello", 2, first=2)
    True
    """
    digest = zlib.crc32(prompt.encode())
    return [token_at(digest, position) for position in range(first, first + count)]


def text_of(token: int) -> str:
    """Return the text of a token."""
    return f"{token:x} "


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt: one per four characters, minimum one."""
    return max(1, len(prompt) // 4)


def response_digest(call: EngineCall) -> int:
    """Return the digest that determines the tokens of a call.

    If the replayed tokens of a resumed call are wrong, the digest differs from that of the correct
    response, so that tests notice.
    """
    digest = zlib.crc32(call.prompt.encode())
    replayed = list(call.tokens)
    if replayed != [token_at(digest, position) for position in range(len(replayed))]:
        digest ^= 0x5A5A5A5A
    return digest
