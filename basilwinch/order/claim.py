"""The durable record of an order."""

import base64
import enum
import hashlib
import json

from basilwinch.exception import MALFORMED_REQUEST, ProtocolError
from basilwinch.record import Record
from basilwinch.server import ServiceCall, ServiceReply

__all__ = ["Claim", "ClaimState", "digest_call", "make_claim_key"]


class ClaimState(enum.StrEnum):
    """State of an order's record."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"


class Claim(Record):
    """The record of an order in the key-value service.

    :param id: unique for each claim, so that its writer can recognise it
    :param state: :class:`ClaimState`
    :param time: wall-clock seconds of the claim's first write
    :param digest: digest of the call
    :param service: name of the service
    :param path: path of the call, used in the query for its outcome
    :param reason: why the order was not run
    :param reply: reply of the service if the order is done
    """

    __slots__ = ("id", "state", "time", "digest", "service", "path", "reason", "reply")
    _defaults = {"digest": "", "service": "", "path": "", "reason": "", "reply": None}

    @classmethod
    def from_bytes(cls, data: bytes) -> "Claim":
        """Decode a record.

        :raises ProtocolError: on malformed bytes
        """
        try:
            fields = json.loads(data)
            reply = fields.pop("reply", None)
            claim = cls(**fields)
            claim.state = ClaimState(claim.state)
            if reply is not None:
                status, headers, body = reply
                pairs = tuple(
                    (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
                )
                claim.reply = ServiceReply(status, pairs, base64.b64decode(body))
        except (ValueError, TypeError, AttributeError) as error:
            failure = MALFORMED_REQUEST.because(f"order record cannot be decoded: {error}")
            raise ProtocolError(failure) from error
        return claim

    def to_bytes(self) -> bytes:
        """Encode the record without its empty fields; about 150 bytes if it has no reply."""
        fields = {name: value for name, value in self.to_dict().items() if value not in ("", None)}
        if self.reply is not None:
            headers = [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in self.reply.headers
            ]
            fields["reply"] = [
                self.reply.status,
                headers,
                base64.b64encode(self.reply.body).decode(),
            ]
        return json.dumps(fields, separators=(",", ":"), ensure_ascii=False).encode()


def make_claim_key(prefix: str, organisation: str, order_id: str) -> str:
    """Return the key of an order's record: a digest, as names may use any script."""
    identity = json.dumps([organisation, order_id]).encode()
    return prefix + hashlib.blake2b(identity, digest_size=16).hexdigest()


def digest_call(service: str, call: ServiceCall) -> str:
    """Return the digest that distinguishes a duplicate from another call with the same id."""
    parts = json.dumps([service, call.method, call.path]).encode() + b"\0" + call.body
    return hashlib.blake2b(parts, digest_size=8).hexdigest()
