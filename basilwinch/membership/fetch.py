"""Fetches of members and state from a peer over a stream."""

import zlib
from collections.abc import Callable

import trio

from basilwinch.exception import MALFORMED_PACKET, WRONG_DESTINATION, Failure
from basilwinch.membership.budget import STREAM_OVERHEAD, stream_bytes
from basilwinch.membership.codec import decode_body, encode_body
from basilwinch.membership.frame import (
    MAX_REPLY,
    MAX_REQUEST,
    receive_frame,
    send_frame,
    swap_frames,
)
from basilwinch.membership.message import Kind, Message
from basilwinch.membership.origin import OriginCheck
from basilwinch.membership.outbox import Outbox
from basilwinch.membership.packet import Packet, PacketReader
from basilwinch.membership.roster import Entry, Roster
from basilwinch.membership.spread import Spread
from basilwinch.membership.transport import Transport

__all__ = ["Fetcher"]

_SERVED_AT_ONCE = 4
_REQUEST_S = 5.0
_MAX_STATE = 64 * 1024 * 1024
# Compression yields to other tasks after this many bytes, about 2 ms of work.
_PIECE = 64 * 1024


class Fetcher:
    """Fetches from peers and serves their fetches.

    :param on_drop: called with the failure of each frame that is dropped
    """

    __slots__ = (
        "_cached",
        "_on_drop",
        "_origin",
        "_outbox",
        "_reader",
        "_roster",
        "_serving",
        "_spread",
        "_transport",
        "fetching",
    )

    def __init__(
        self,
        transport: Transport,
        reader: PacketReader,
        origin: OriginCheck,
        outbox: Outbox,
        roster: Roster,
        spread: Spread,
        on_drop: Callable[[Failure], None],
    ):
        self._transport = transport
        self._reader = reader
        self._origin = origin
        self._outbox = outbox
        self._roster = roster
        self._spread = spread
        self._on_drop = on_drop
        self._serving = 0
        self._cached = (None, b"")
        self.fetching = False

    def _open(self, data: bytes | Failure, limit: int) -> tuple[Packet, Message] | Failure:
        if isinstance(data, Failure):
            return data
        packet = self._reader.open(data, limit)
        if isinstance(packet, Failure):
            return packet
        failure = self._origin.check(packet, self._roster.entries.get(packet.sender))
        if failure is not None:
            return failure
        if packet.destination != self._roster.own.life & 0xFFFFFFFF:
            return WRONG_DESTINATION.because("a frame for another process")
        message = decode_body(packet.body, _MAX_STATE)
        return message if isinstance(message, Failure) else (packet, message)

    async def fetch(self, entry: Entry, members: bool) -> bool:
        """Fetch from a peer. Only one fetch runs at a time.

        :param members: whether to fetch the members too
        :returns: whether the peer answered
        """
        if self.fetching:
            return False
        self.fetching = True
        try:
            return await self._fetch(entry, members)
        finally:
            self.fetching = False

    async def _fetch(self, entry: Entry, members: bool) -> bool:
        request = self._outbox.header(Kind.FETCH_REQUEST)
        request.since, request.members = self._spread.revision, members
        data = self._outbox.seal(encode_body(request), entry.life)
        self._outbox.spend("sent", STREAM_OVERHEAD // 2 + stream_bytes(len(data)))
        self._outbox.traffic["fetches"] += 1
        reply = await swap_frames(self._transport, entry.address, data)
        received = 0 if isinstance(reply, Failure) else stream_bytes(len(reply))
        self._outbox.spend("received", STREAM_OVERHEAD // 2 + received)
        opened = self._open(reply, MAX_REPLY)
        if isinstance(opened, Failure):
            self._on_drop(opened)
            return False
        _, message = opened
        if message.kind is not Kind.FETCH_REPLY:
            self._on_drop(MALFORMED_PACKET.because(f"a {message.kind} in reply to a fetch"))
            return False
        now = trio.current_time()
        for update in message.updates:
            self._roster.absorb(update, now)
        if message.delta and message.revision > self._spread.revision:
            self._spread.absorb(message.delta, entry.name)
        self._spread.note_peer(entry.node, message, len(self._roster) - 1)
        return True

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer one request; more than a few at once are refused to bound memory."""
        async with stream:
            if self._serving >= _SERVED_AT_ONCE:
                return
            self._serving += 1
            try:
                with trio.move_on_after(_REQUEST_S):
                    await self._answer(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass  # The requester has gone; it tries another peer.
            finally:
                self._serving -= 1

    async def _answer(self, stream: trio.abc.Stream) -> None:
        opened = self._open(await receive_frame(stream, MAX_REQUEST), MAX_REQUEST)
        if isinstance(opened, Failure):
            self._on_drop(opened)
            return
        packet, request = opened
        if request.kind is not Kind.FETCH_REQUEST:
            self._on_drop(MALFORMED_PACKET.because(f"a {request.kind} on a stream"))
            return
        state = b""
        if request.since < self._spread.revision:
            state = await self._compress(request.since)
        # The revision may have moved on during the compression; the state says what it holds.
        reply = self._outbox.header(Kind.FETCH_REPLY)
        if request.members:
            reply.updates = tuple(self._roster.introductions())
        data = self._outbox.seal(encode_body(reply, state), packet.life)
        self._outbox.spend("received", STREAM_OVERHEAD // 2 + stream_bytes(len(packet.body)))
        self._outbox.spend("sent", STREAM_OVERHEAD // 2 + stream_bytes(len(data)))
        await send_frame(stream, data)

    async def _compress(self, since: int) -> bytes:
        """Return the changes after a revision, compressed; the last result is kept because nodes
        that restart together ask for the same."""
        key = (since, self._spread.revision)
        if self._cached[0] == key:
            return self._cached[1]
        plain = memoryview(self._spread.export(since))
        packer = zlib.compressobj(6, zlib.DEFLATED, -15)
        parts = []
        for start in range(0, len(plain), _PIECE):
            parts.append(packer.compress(plain[start : start + _PIECE]))
            await trio.lowlevel.checkpoint()
        data = b"".join((*parts, packer.flush()))
        self._cached = (key, data)
        return data
