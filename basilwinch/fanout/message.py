"""Messages between a reader and the nodes that it reads for, with Cap'n Proto."""

import pathlib

import capnp

from basilwinch.exception import MALFORMED_PACKET, Failure
from basilwinch.record import Record
from basilwinch.store import WatchEvent

__all__ = [
    "MAX_MESSAGE_BYTES",
    "READ_PROTOCOL_LINE",
    "ReadAnswer",
    "ReadRequest",
    "decode_answer",
    "decode_request",
    "encode_answer",
    "encode_request",
]

READ_PROTOCOL_LINE = b"READ/1\n"  # first line of a connection, before the messages
MAX_MESSAGE_BYTES = 1 << 18
_MAX_EVENTS = 1 << 14  # a list of empty rows takes no bytes, so its length must be bounded
_MAX_UINT32 = (1 << 32) - 1

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))


class ReadRequest(Record):
    """A question to a reader.

    :param after: revision after which changes are asked for, None to ask for the position up to
        which the reader is complete
    :param wait_s: longest wait for a change, in seconds
    """

    __slots__ = ("after", "wait_s")
    _defaults = {"after": None, "wait_s": 0.0}


class ReadAnswer(Record):
    """An answer of a reader.

    :param lineage: process of the reader and history of the store that the answer is from
    :param known: whether the reader can answer
    :param revision: revision up to which the reader was complete
    :param age_s: seconds between the query that showed this, and the answer
    :param events: list of :class:`~basilwinch.store.WatchEvent`
    :param era: era of that history, 0 if the reader does not know it for certain, or is of an older
        build
    :param is_relayed: whether the position came through a relay, as the store refuses the reader
    """

    __slots__ = ("lineage", "known", "revision", "age_s", "events", "era", "is_relayed")
    _defaults = {"revision": 0, "age_s": 0.0, "events": (), "era": 0, "is_relayed": False}


def encode_request(request: ReadRequest) -> bytes:
    """Encode a request.

    >>> decode_request(encode_request(ReadRequest(7, 1.5)))
    ReadRequest(after=7, wait_s=1.5)
    >>> decode_request(encode_request(ReadRequest()))
    ReadRequest(after=None, wait_s=0.0)
    """
    message = _schema.ReadRequest.new_message(
        changes=request.after is not None,
        after=request.after or 0,
        waitMs=round(request.wait_s * 1000),
    )
    return message.to_bytes()


def decode_request(data: bytes) -> ReadRequest | Failure:
    """Decode a request; returns ``MALFORMED_PACKET`` if it is malformed."""
    try:
        with _schema.ReadRequest.from_bytes(data) as message:
            return ReadRequest(message.after if message.changes else None, message.waitMs / 1000)
    except (capnp.KjException, ValueError) as error:
        return _malformed(error)


def encode_answer(answer: ReadAnswer) -> bytes:
    """Encode an answer.

    >>> event = WatchEvent("k", None, 8)
    >>> decode_answer(encode_answer(ReadAnswer("r1/0/", True, 8, 0.25, [event])))
    ReadAnswer(lineage='r1/0/', known=True, revision=8, age_s=0.25, events=[WatchEvent(key='k', \
value=None, mod_revision=8)], era=0, \
is_relayed=False)
    """
    message = _schema.ReadAnswer.new_message(
        lineage=answer.lineage,
        known=answer.known,
        revision=answer.revision,
        ageMs=min(_MAX_UINT32, max(0, round(answer.age_s * 1000))),
        era=answer.era,
        relayed=answer.is_relayed,
    )
    rows = message.init("events", len(answer.events))
    for row, event in zip(rows, answer.events, strict=True):
        row.key = event.key
        row.value = event.value or b""
        row.deleted = event.value is None
        row.revision = event.mod_revision
    return message.to_bytes()


def decode_answer(data: bytes) -> ReadAnswer | Failure:
    """Decode an answer; returns ``MALFORMED_PACKET`` if it is malformed."""
    try:
        with _schema.ReadAnswer.from_bytes(data) as message:
            if len(message.events) > _MAX_EVENTS:
                raise ValueError(f"answer has {len(message.events)} events")
            events = [
                WatchEvent(row.key, None if row.deleted else bytes(row.value), row.revision)
                for row in message.events
            ]
            return ReadAnswer(
                message.lineage,
                message.known,
                message.revision,
                message.ageMs / 1000,
                events,
                message.era,
                message.relayed,
            )
    except (capnp.KjException, ValueError) as error:
        return _malformed(error)


def _malformed(error: Exception) -> Failure:
    return MALFORMED_PACKET.because(str(error).splitlines()[0])
