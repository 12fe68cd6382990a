"""Network connections of httpcore that tell the end of a reply from the loss of a connection."""

import httpcore

__all__ = ["ReplyEndBackend"]


class ReplyEndBackend(httpcore.TrioBackend):
    """Opens connections whose end counts as an end only if no write on them has failed.

    The system tells the loss of a connection once. httpcore ignores a failed write, as the server
    may have replied before it has read the whole request; the end that a read returns after it
    would make a cut reply without a length look whole.
    """

    async def connect_tcp(self, *args, **options) -> httpcore.AsyncNetworkStream:
        """Open a connection; the parameters are those of the base class."""
        return _Stream(await super().connect_tcp(*args, **options))


class _Stream(httpcore.AsyncNetworkStream):
    """A stream that remembers a failed write.

    :param stream: stream of the base class
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream):
        self._stream = stream
        self._is_write_failed = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._is_write_failed:
            raise httpcore.ReadError("the connection ended after a write on it had failed")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._is_write_failed = True
            raise

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str):
        return self._stream.get_extra_info(info)
