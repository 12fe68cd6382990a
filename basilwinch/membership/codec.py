"""Encoding of messages in the packed format of Cap'n Proto."""

import pathlib

import capnp

from basilwinch.exception import MALFORMED_PACKET, Failure
from basilwinch.membership.message import MemberState, Message, MessageKind, Update

__all__ = ["decode_body", "encode_body", "schema"]

schema = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))

# 64 MB in words of 8 bytes. A whole release state of 33,000 entries takes about 6 MB.
_TRAVERSAL_LIMIT_WORDS = 8 * 1024 * 1024
_STATES = {state.value: state for state in MemberState}
_KINDS = {kind.value: kind for kind in MessageKind}


def _write_updates(builders, updates) -> None:
    for builder, update in zip(builders, updates, strict=True):
        builder.node = update.node
        builder.life = update.life
        builder.incarnation = update.incarnation
        builder.state = int(update.state)
        builder.leaving = update.leaving
        if update.name:
            builder.name = update.name
            builder.address = update.address
            builder.zone = update.zone
            builder.region = update.region


def _read_update(reader) -> Update:
    name = reader.name
    details = (name, reader.address, reader.zone, reader.region) if name else ()
    state = _STATES[reader.state]
    return Update(reader.node, reader.life, reader.incarnation, state, reader.leaving, *details)


def encode_body(message: Message) -> bytes:
    """Return the encoded message. Takes time linear in its size."""
    body = schema.Body.new_message()
    body.revision = message.revision
    body.ready = message.ready
    body.roster = message.roster
    if message.large:
        body.large = True
    kind = message.kind
    if kind is MessageKind.FETCH_REPLY:
        reply = body.init("fetchReply")
        _write_updates(reply.init("members", len(message.updates)), message.updates)
        reply.state = message.delta
        return body.to_bytes_packed()
    if message.updates:
        _write_updates(body.init("updates", len(message.updates)), message.updates)
    if message.delta:
        body.delta = message.delta
    if message.payloads:
        builders = body.init("payloads", len(message.payloads))
        for builder, (number, data) in zip(builders, message.payloads, strict=True):
            builder.kind = number
            builder.data = data
    if kind is MessageKind.PING:
        body.init("ping").probe = message.probe
    elif kind is MessageKind.ACK:
        ack = body.init("ack")
        ack.probe = message.probe
        if message.about:
            ack.about = message.about
    elif kind is MessageKind.PING_REQ:
        request = body.init("pingReq")
        request.probe = message.probe
        request.target = message.about
    elif kind is MessageKind.FETCH_REQUEST:
        request = body.init("fetchRequest")
        request.since = message.since
        request.members = message.members
    return body.to_bytes_packed()


def decode_body(data: bytes) -> Message | Failure:
    """Decode a message. Takes time linear in its size.

    :returns: the message, or ``MALFORMED_PACKET``
    """
    try:
        return _decode(data)
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        return MALFORMED_PACKET.because(f"message body cannot be decoded: {str(error)[:200]}")


def _decode(data: bytes) -> Message:
    body = schema.Body.from_bytes_packed(data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS)
    kind = _KINDS[str(body.which())]
    message = Message(kind, body.revision, body.ready, body.large, body.roster)
    if kind is MessageKind.FETCH_REPLY:
        reply = body.fetchReply
        message.updates = tuple(map(_read_update, reply.members))
        message.delta = bytes(reply.state)
    else:
        # Most messages lack these fields, and a check is faster than building an empty list.
        if body._has("updates"):
            message.updates = tuple(map(_read_update, body.updates))
        if body._has("payloads"):
            message.payloads = tuple((item.kind, bytes(item.data)) for item in body.payloads)
        if body._has("delta"):
            message.delta = bytes(body.delta)
    if kind is MessageKind.PING:
        message.probe = body.ping.probe
    elif kind is MessageKind.ACK:
        message.probe = body.ack.probe
        message.about = body.ack.about
    elif kind is MessageKind.PING_REQ:
        message.probe = body.pingReq.probe
        message.about = body.pingReq.target
    elif kind is MessageKind.FETCH_REQUEST:
        message.since = body.fetchRequest.since
        message.members = body.fetchRequest.members
    return message
