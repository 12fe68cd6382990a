"""Encoding of load reports with Cap'n Proto."""

import pathlib

import capnp

from basilwinch.chains.load import NodeReport, RequestLoad
from basilwinch.exception import MALFORMED_USAGE, Failure

__all__ = ["decode_report", "encode_report"]

_MAX_UINT32 = (1 << 32) - 1

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))


def encode_report(node: str, sequence: int, report: NodeReport, suspects: bytes = b"") -> bytes:
    """Encode a report; numbers above the maximum of a 32-bit field are sent as that maximum.

    :param node: name of the reporting node
    :param sequence: sequence number of the report
    :param report: load that the node reports
    :param suspects: entries of suspects

    >>> data = encode_report("n1", 7, NodeReport({5: RequestLoad(1, 800)}, {9: 0.5}), b"x")
    >>> node, sequence, report, suspects = decode_report(data)
    >>> node, sequence, report.shares[5].token_layers, report.avoided, suspects
    ('n1', 7, 800, {9: 0.5}, b'x')
    """
    message = _schema.LoadReport.new_message(node=node, sequence=sequence, suspects=suspects)
    rows = message.init("shares", len(report.shares))
    for row, (server_hash, share) in zip(rows, report.shares.items(), strict=True):
        row.server = server_hash
        row.requests = min(_MAX_UINT32, share.requests)
        row.tokenLayers = min(_MAX_UINT32, share.token_layers)
    rows = message.init("avoided", len(report.avoided))
    for row, (server_hash, remaining_s) in zip(rows, report.avoided.items(), strict=True):
        row.server = server_hash
        row.forMs = min(_MAX_UINT32, max(0, round(remaining_s * 1000)))
    return message.to_bytes_packed()


def decode_report(data: bytes) -> tuple[str, int, NodeReport, bytes] | Failure:
    """Decode a report.

    :returns: node, sequence number, report and entries of suspects, or ``MALFORMED_USAGE``
    """
    try:
        message = _schema.LoadReport.from_bytes_packed(data)
        shares = {row.server: RequestLoad(row.requests, row.tokenLayers) for row in message.shares}
        avoided = {row.server: row.forMs / 1000 for row in message.avoided}
        report = NodeReport(shares, avoided)
        return message.node, message.sequence, report, bytes(message.suspects)
    except capnp.KjException as error:
        return MALFORMED_USAGE.because(str(error).splitlines()[0])
