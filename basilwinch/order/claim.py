"""The durable record of an order."""

import base64
import enum
import hashlib
import json

from basilwinch.exception import MALFORMED_REQUEST, ProtocolError
from basilwinch.record import Record
from basilwinch.server import ServiceCall, ServiceReply

__all__ = ["Claim", "ClaimState", "digest_call", "make_key"]


class ClaimState(enum.StrEnum):
    """What is known of a claimed order."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"


class Claim(Record):
    """The record of an order in the key-value service.

    :param id: unique for each claim, so that its writer recognises it
    :param state: :class:`ClaimState`
    :param time: wall-clock seconds of the claim's first write
    :param digest: digest of the call
    :param service: name of the service
    :param path: path of the call, for a query
    :param reason: why it was not run
    :param reply: reply of the service if done
    """

    __slots__ = ("id", "state", "time", "digest", "service", "path", "reason", "reply")
    _defaults = {"digest": "", "service": "", "path": "", "reason": "", "reply": None}

    @classmethod
    def from_bytes(cls, data: bytes) -> "Claim":
        """Read a record.

        :raises ProtocolError: on malformed bytes
        """
        try:
            fields = json.loads(data)
            reply = fields.pop("reply", None)
            claim = cls(**fields)
            claim.state = ClaimState(claim.state)
            if reply is not None:
                status, headers, body = reply
                pairs = tuple((name.encode("latin-1"), v.encode("latin-1")) for name, v in headers)
                claim.reply = ServiceReply(status, pairs, base64.b64decode(body))
        except (ValueError, TypeError, AttributeError) as error:
            failure = MALFORMED_REQUEST.because(f"order record cannot be read: {error}")
            raise ProtocolError(failure) from error
        return claim

    def to_bytes(self) -> bytes:
        """Return the stored form; empty fields are left out. About 150 bytes without a reply."""
        fields = {name: value for name, value in self.to_dict().items() if value not in ("", None)}
        if self.reply is not None:
            headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in self.reply.headers]
            fields["reply"] = [
                self.reply.status,
                headers,
                base64.b64encode(self.reply.body).decode(),
            ]
        return json.dumps(fields, separators=(",", ":"), ensure_ascii=False).encode()


def make_key(prefix: str, organisation: str, order_id: str) -> str:
    """Return the key of an order's record; a digest, because names come in any script."""
    identity = json.dumps([organisation, order_id]).encode()
    return prefix + hashlib.blake2b(identity, digest_size=16).hexdigest()


def digest_call(service: str, call: ServiceCall) -> str:
    """Return the digest by which a duplicate is told from another call under the same id."""
    parts = json.dumps([service, call.method, call.path]).encode() + b"\0" + call.body
    return hashlib.blake2b(parts, digest_size=8).hexdigest()
