"""Record by which a node registers in the store."""

import json

from basilwinch.document import Fields, parse_document, parse_ip
from basilwinch.exception import DocumentError, Failure
from basilwinch.record import Record

__all__ = ["Registration", "decode_registration", "encode_registration"]

_READS_VERSION = 1  # of the protocol in which a node reads the store for others


class Registration(Record):
    """What a node says of itself.

    :param ip: its IP address
    :param zone: its availability zone, empty if an older version does not name it
    :param is_reader_able: whether it answers reads of other nodes, in the protocol of this version
    """

    __slots__ = ("ip", "zone", "is_reader_able")


def encode_registration(ip: str, zone: str) -> bytes:
    """Return the record of a node of this version.

    >>> decode_registration(encode_registration("10.0.0.1", "a"))
    Registration(ip='10.0.0.1', zone='a', is_reader_able=True)
    """
    return json.dumps({"ip": ip, "zone": zone, "reads": _READS_VERSION}).encode()


def decode_registration(value: bytes) -> Registration | Failure:
    """Return the registration of a record, or ``MALFORMED_DOCUMENT``; ignores unknown fields."""
    try:
        fields = Fields(parse_document(value), "registration")
        ip, zone = parse_ip(fields.read_text("ip")), fields.read_text("zone", "")
        return Registration(ip, zone, fields.get("reads") == _READS_VERSION)
    except DocumentError as error:
        return error.failure
