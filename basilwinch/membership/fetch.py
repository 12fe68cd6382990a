"""Fetches of the members and the release state from a peer over a stream."""

from collections.abc import Callable

import trio

from basilwinch.exception import MALFORMED_PACKET, WRONG_DESTINATION, Failure
from basilwinch.membership.budget import CONNECTION_OVERHEAD_BYTES, stream_bytes
from basilwinch.membership.codec import decode_body, encode_body
from basilwinch.membership.frame import (
    MAX_REPLY_BYTES,
    MAX_REQUEST_BYTES,
    receive_frame,
    send_frame,
    send_request,
)
from basilwinch.membership.message import Message, MessageKind
from basilwinch.membership.origin import OriginCheck
from basilwinch.membership.outbox import Outbox
from basilwinch.membership.packet import Packet, PacketReader
from basilwinch.membership.revision_sync import RevisionSync
from basilwinch.membership.roster import Entry, Roster
from basilwinch.membership.transport import Transport

__all__ = ["Fetcher"]

_MAX_CONCURRENT_REQUESTS = 4
_ANSWER_TIMEOUT_S = 5.0


class Fetcher:
    """Fetches members and release state from peers, and answers their fetch requests.

    :param on_drop: called with the failure of each dropped frame and of each failed fetch
    """

    __slots__ = (
        "_cached",
        "_on_drop",
        "_origin",
        "_outbox",
        "_reader",
        "_roster",
        "_open_requests",
        "_revision_sync",
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
        revision_sync: RevisionSync,
        on_drop: Callable[[Failure], None],
    ):
        self._transport = transport
        self._reader = reader
        self._origin = origin
        self._outbox = outbox
        self._roster = roster
        self._revision_sync = revision_sync
        self._on_drop = on_drop
        self._open_requests = 0
        self._cached = (None, b"")
        self.fetching = False

    def _open_frame(self, data: bytes | Failure, limit: int) -> tuple[Packet, Message] | Failure:
        if isinstance(data, Failure):
            return data
        packet = self._reader.open(data, limit)
        if isinstance(packet, Failure):
            return packet
        failure = self._origin.check(packet, self._roster.entries.get(packet.sender))
        if failure is not None:
            return failure
        if packet.destination != self._roster.own.life & 0xFFFFFFFF:
            return WRONG_DESTINATION.because(
                f"frame with destination {packet.destination}, expected "
                f"{self._roster.own.life & 0xFFFFFFFF}, the low 32 bits of the life of this process"
            )
        message = decode_body(packet.body)
        return message if isinstance(message, Failure) else (packet, message)

    async def fetch(self, entry: Entry, members: bool, whole_state: bool = False) -> bool:
        """Fetch from a peer, unless another fetch is running.

        :param members: whether to fetch the members as well
        :param whole_state: whether to fetch the whole state, or all changes since revision 0 if the
            peer still keeps them, instead of the changes since the revision held
        :returns: whether the peer answered
        """
        if self.fetching:
            return False
        self.fetching = True
        try:
            return await self._fetch(entry, members, whole_state)
        finally:
            self.fetching = False

    async def _fetch(self, entry: Entry, members: bool, whole_state: bool) -> bool:
        request = self._outbox.new_message(MessageKind.FETCH_REQUEST)
        request.since, request.members = 0 if whole_state else self._revision_sync.revision, members
        data = self._outbox.seal(encode_body(request), entry.life)
        self._outbox.spend("sent", CONNECTION_OVERHEAD_BYTES // 2 + stream_bytes(len(data)))
        self._outbox.traffic["fetches"] += 1
        reply = await send_request(self._transport, entry.address, data)
        received = 0 if isinstance(reply, Failure) else stream_bytes(len(reply))
        self._outbox.spend("received", CONNECTION_OVERHEAD_BYTES // 2 + received)
        opened = self._open_frame(reply, MAX_REPLY_BYTES)
        if isinstance(opened, Failure):
            self._on_drop(opened)
            return False
        _, message = opened
        if message.kind is not MessageKind.FETCH_REPLY:
            self._on_drop(
                MALFORMED_PACKET.because(
                    f"expected a fetchReply to a fetch request, got {message.kind}"
                )
            )
            return False
        now = trio.current_time()
        for update in message.updates:
            self._roster.merge(update, now)
        if message.delta and message.revision > self._revision_sync.revision:
            self._revision_sync.apply_export(message.delta, entry.name)
        self._revision_sync.record_peer(entry.node, message, len(self._roster) - 1)
        return True

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer one request. Concurrent requests above a limit are closed unanswered, which bounds
        the memory."""
        async with stream:
            if self._open_requests >= _MAX_CONCURRENT_REQUESTS:
                return
            self._open_requests += 1
            try:
                with trio.move_on_after(_ANSWER_TIMEOUT_S):
                    await self._answer(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass  # The requester has closed the stream; it will try another peer.
            finally:
                self._open_requests -= 1

    async def _answer(self, stream: trio.abc.Stream) -> None:
        opened = self._open_frame(await receive_frame(stream, MAX_REQUEST_BYTES), MAX_REQUEST_BYTES)
        if isinstance(opened, Failure):
            self._on_drop(opened)
            return
        packet, request = opened
        if request.kind is not MessageKind.FETCH_REQUEST:
            self._on_drop(
                MALFORMED_PACKET.because(f"expected a fetchRequest on a stream, got {request.kind}")
            )
            return
        state = await self._export(request.since)
        reply = self._outbox.new_message(MessageKind.FETCH_REPLY, delta=state)
        if request.members:
            reply.updates = tuple(self._roster.introductions())
        data = self._outbox.seal(encode_body(reply), packet.life)
        self._outbox.spend(
            "received", CONNECTION_OVERHEAD_BYTES // 2 + stream_bytes(len(packet.body))
        )
        self._outbox.spend("sent", CONNECTION_OVERHEAD_BYTES // 2 + stream_bytes(len(data)))
        await send_frame(stream, data)

    async def _export(self, since: int) -> bytes:
        """Return the changes after a revision. The last result is cached, because nodes that
        restart together request the same changes."""
        while self._revision_sync.warm():
            # Other tasks run between pages: at 33,000 entries a page takes about 2 ms, and the
            # whole state 0.5 s.
            await trio.lowlevel.checkpoint()
        if since >= self._revision_sync.revision:
            return b""
        key = (since, self._revision_sync.revision)
        if self._cached[0] != key:
            self._cached = (key, self._revision_sync.export(since))
        return self._cached[1]
