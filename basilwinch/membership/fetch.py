"""Fetches of members and state from a peer over a stream."""

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
        message = decode_body(packet.body)
        return message if isinstance(message, Failure) else (packet, message)

    async def fetch(self, entry: Entry, members: bool, whole: bool = False) -> bool:
        """Fetch from a peer. Only one fetch runs at a time.

        :param members: whether to fetch the members too
        :param whole: whether to fetch the whole state even if changes would do
        :returns: whether the peer answered
        """
        if self.fetching:
            return False
        self.fetching = True
        try:
            return await self._fetch(entry, members, whole)
        finally:
            self.fetching = False

    async def _fetch(self, entry: Entry, members: bool, whole: bool) -> bool:
        request = self._outbox.header(Kind.FETCH_REQUEST)
        request.since, request.members = 0 if whole else self._spread.revision, members
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
        state = await self._export(request.since)
        reply = self._outbox.header(Kind.FETCH_REPLY, delta=state)
        if request.members:
            reply.updates = tuple(self._roster.introductions())
        data = self._outbox.seal(encode_body(reply), packet.life)
        self._outbox.spend("received", STREAM_OVERHEAD // 2 + stream_bytes(len(packet.body)))
        self._outbox.spend("sent", STREAM_OVERHEAD // 2 + stream_bytes(len(data)))
        await send_frame(stream, data)

    async def _export(self, since: int) -> bytes:
        """Return the changes after a revision; the last result is kept because nodes that restart
        together ask for the same."""
        while self._spread.warm():
            # A page takes about 2 ms at the design size, a whole state half a second.
            await trio.lowlevel.checkpoint()
        if since >= self._spread.revision:
            return b""
        key = (since, self._spread.revision)
        if self._cached[0] != key:
            self._cached = (key, self._spread.export(since))
        return self._cached[1]
