"""Encoding of load reports."""

import pathlib

import capnp

from basilwinch.chains.load import Share
from basilwinch.exception import MALFORMED_USAGE, Failure

__all__ = ["decode_report", "encode_report"]

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))


def encode_report(node: str, sequence: int, shares: dict[str, Share]) -> bytes:
    """Return the bytes of a report.

    >>> decode_report(encode_report("n1", 7, {}))
    ('n1', 7, {})
    """
    message = _schema.LoadReport.new_message(node=node, sequence=sequence)
    rows = message.init("shares", len(shares))
    for row, (server_id, share) in zip(rows, shares.items(), strict=True):
        row.server = server_id
        row.requests = share.requests
        row.tokenLayers = share.token_layers
    return message.to_bytes_packed()


def decode_report(data: bytes) -> tuple[str, int, dict[str, Share]] | Failure:
    """Return node, sequence number and shares by server, or a failure."""
    try:
        message = _schema.LoadReport.from_bytes_packed(data)
        shares = {row.server: Share(row.requests, row.tokenLayers) for row in message.shares}
        return message.node, message.sequence, shares
    except capnp.KjException as error:
        return MALFORMED_USAGE.because(str(error).splitlines()[0])
