"""Fields of the etcd v3 JSON protocol: bytes in base64, 64-bit numbers as strings."""

import base64

from basilwinch.store.interface import KeyValue, WatchEvent

__all__ = ["decode", "decode_events", "decode_pair", "encode", "prefix_end"]


def encode(value: str | bytes) -> str:
    """Return the base64 form of a key or a value.

    >>> encode("foo")
    'Zm9v'
    """
    return base64.b64encode(value.encode() if isinstance(value, str) else value).decode()


def decode(text: str) -> bytes:
    """Return the bytes of a base64 field."""
    return base64.b64decode(text)


def prefix_end(prefix: str) -> bytes:
    r"""Return the exclusive end of the range of all keys with a prefix.

    >>> prefix_end("a/"), prefix_end("")
    (b'a0', b'\x00')
    """
    key = prefix.encode().rstrip(b"\xff")
    return key[:-1] + bytes([key[-1] + 1]) if key else b"\0"


def decode_pair(fields: dict) -> KeyValue:
    """Decode a JSON ``KeyValue``, in which fields with zero values are absent."""
    return KeyValue(
        decode(fields["key"]).decode(),
        decode(fields.get("value", "")),
        int(fields.get("mod_revision", 0)),
        int(fields.get("lease", 0)),
    )


def decode_events(result: dict) -> list[WatchEvent]:
    """Decode the events of a JSON ``WatchResponse``; the type ``PUT`` is absent as it is zero."""
    events = []
    for event in result.get("events", ()):
        pair = decode_pair(event["kv"])
        value = None if event.get("type") == "DELETE" else pair.value
        events.append(WatchEvent(pair.key, value, pair.mod_revision))
    return events
