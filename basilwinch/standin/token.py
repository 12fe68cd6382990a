"""Deterministic tokens, so that a test can tell the right response from any other."""

import zlib

from basilwinch.server import EngineCall

__all__ = ["CRASH_MARK", "count_prompt_tokens", "expected_tokens", "text_of", "token_at"]

#: A prompt that contains this text kills each server that runs it.
CRASH_MARK = "[[crash]]"

_VOCABULARY = 50021


def token_at(digest: int, position: int) -> int:
    """Return the token at a position of the response to a prompt.

    :param digest: CRC-32 of the prompt
    """
    return (digest * 31 + position * 7919 + (digest ^ position) % 613) % _VOCABULARY


def expected_tokens(prompt: str, count: int, first: int = 0) -> list[int]:
    """Return the tokens that a right response to ``prompt`` consists of.

    >>> expected_tokens("hello", 4)[2:] == expected_tokens("hello", 2, first=2)
    True
    """
    digest = zlib.crc32(prompt.encode())
    return [token_at(digest, position) for position in range(first, first + count)]


def text_of(token: int) -> str:
    """Return the text of a token."""
    return f"{token:x} "


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt: one for four characters, at least one."""
    return max(1, len(prompt) // 4)


def response_digest(call: EngineCall) -> int:
    """Return the digest from which the call's tokens follow.

    A resumed call whose replayed tokens are wrong gets other tokens than the right response.
    """
    digest = zlib.crc32(call.prompt.encode())
    replayed = list(call.tokens)
    if replayed != [token_at(digest, position) for position in range(len(replayed))]:
        digest ^= 0x5A5A5A5A
    return digest
