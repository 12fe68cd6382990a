"""Encoding of load reports with Cap'n Proto."""

import math
import pathlib
import struct

import capnp

from basilwinch.chains.load import NodeReport, RequestLoad, ZoneLoad
from basilwinch.chains.server_limits import ServerUsage
from basilwinch.exception import MALFORMED_USAGE, Failure
from basilwinch.peers.packing import unpack

__all__ = ["decode_report", "encode_report"]

# A list of empty rows takes no bytes, so a damaged message may claim any number of them.
_MAX_ROWS = 1 << 14
_MAX_UINT32 = (1 << 32) - 1
_MAX_UINT64 = (1 << 64) - 1
_SHARE_ROW = struct.Struct("<III")  # server, requests, token layers

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))
# The library finds the field of an attribute by name at each access, which takes three times as
# long as an access by field. Reports have many rows of shares.
_SERVER, _REQUESTS, _TOKEN_LAYERS = (
    _schema.LoadReport.Share.schema.fields[name] for name in ("server", "requests", "tokenLayers")
)


def encode_report(
    node: str,
    sequence: int,
    report: NodeReport,
    suspects: bytes = b"",
    usage=None,
    version: int = 0,
    asking: bool = False,
) -> bytes:
    """Encode a report; numbers above the maximum of a 32-bit field are sent as that maximum.

    :param node: name of the reporting node
    :param sequence: sequence number of the report
    :param report: load that the node reports
    :param suspects: entries of suspects
    :param usage: seconds covered, and :class:`~basilwinch.chains.server_limits.ServerUsage` by hash
        of the server, or None
    :param version: version of the configuration that is in force, 0 for none
    :param asking: whether the node waits for the versions of others

    >>> data = encode_report("n1", 7, NodeReport({5: RequestLoad(1, 800)}, {9: 0.5}), b"x")
    >>> node, sequence, report, suspects, usage, version, asking = decode_report(data)
    >>> node, sequence, report.shares[5].token_layers, report.avoided, suspects, usage, version
    ('n1', 7, 800, {9: 0.5}, b'x', None, 0)
    """
    message = _schema.LoadReport.new_message(
        node=node,
        sequence=sequence,
        suspects=suspects,
        version=min(_MAX_UINT64, max(0, version)),
        asking=asking,
        disconnected=report.disconnected,
        gathered=report.is_gathered,
    )
    rows = message.init("shares", len(report.shares))
    for row, (server_hash, share) in zip(rows, report.shares.items(), strict=True):
        row.server = server_hash
        row.requests = min(_MAX_UINT32, share.requests)
        row.tokenLayers = min(_MAX_UINT32, share.token_layers)
    rows = message.init("zoneLoads", len(report.zone_loads))
    for row, (zone, load) in zip(rows, report.zone_loads.items(), strict=True):
        row.zone = zone
        row.ageMs = min(_MAX_UINT32, max(0, round(load.age_s * 1000)))
        row.shares = _pack_shares(load.shares)
    rows = message.init("avoided", len(report.avoided))
    for row, (server_hash, remaining_s) in zip(rows, report.avoided.items(), strict=True):
        row.server = server_hash
        row.forMs = min(_MAX_UINT32, max(0, round(remaining_s * 1000)))
    if usage is not None:
        _encode_usage(message, *usage)
    return message.to_bytes_packed()


def _pack_shares(shares: dict[int, RequestLoad]) -> bytes:
    return b"".join(
        _SHARE_ROW.pack(
            server, min(_MAX_UINT32, share.requests), min(_MAX_UINT32, share.token_layers)
        )
        for server, share in shares.items()
    )


def _unpack_shares(data: bytes) -> dict[int, RequestLoad]:
    if len(data) % _SHARE_ROW.size or len(data) > _MAX_ROWS * _SHARE_ROW.size:
        raise ValueError(f"load of a zone has {len(data)} bytes")
    return {
        server: RequestLoad(requests, token_layers)
        for server, requests, token_layers in _SHARE_ROW.iter_unpack(data)
    }


def _encode_usage(message, interval_s: float, by_server: dict[int, ServerUsage]) -> None:
    message.usageMs = max(1, round(interval_s * 1000))
    rows = message.init("limited", len(by_server))
    for row, (server_hash, usage) in zip(rows, by_server.items(), strict=True):
        row.server = server_hash
        row.limitPerS = usage.limit_per_s
        row.ageMs = round(usage.age_s * 1000)
        row.requestsPerS = usage.requests_per_s
        row.wantedPerS = usage.wanted_per_s


def decode_report(data: bytes) -> tuple | Failure:
    """Decode a report.

    :returns: node, sequence number, report, entries of suspects, usage of servers with a limit or
        None, version of the configuration, and whether the node asks for those of others; or
        ``MALFORMED_USAGE``
    """
    try:
        with _schema.LoadReport.from_bytes(unpack(data)) as message:
            return _read_message(message)
    except (capnp.KjException, ValueError) as error:
        return MALFORMED_USAGE.because(str(error).splitlines()[0])


def _read_message(message) -> tuple:
    for rows in (message.shares, message.avoided, message.limited, message.zoneLoads):
        if len(rows) > _MAX_ROWS:
            raise ValueError(f"report has a list of {len(rows)} rows, at most {_MAX_ROWS} allowed")
    shares = {
        row._get_by_field(_SERVER): RequestLoad(
            row._get_by_field(_REQUESTS), row._get_by_field(_TOKEN_LAYERS)
        )
        for row in message.shares
    }
    avoided = {row.server: row.forMs / 1000 for row in message.avoided}
    zone_loads = {
        row.zone: ZoneLoad(_unpack_shares(row.shares), row.ageMs / 1000)
        for row in message.zoneLoads
    }
    report = NodeReport(shares, avoided, message.disconnected, message.gathered, zone_loads)
    usage = _decode_usage(message) if message.usageMs else None
    return (
        message.node,
        message.sequence,
        report,
        bytes(message.suspects),
        usage,
        message.version,
        message.asking,
    )


def _decode_usage(message) -> tuple[float, dict[int, ServerUsage]]:
    """Return the seconds covered and the usage by server, without rows of impossible values."""
    by_server = {}
    for row in message.limited:
        rates = (row.limitPerS, row.requestsPerS, row.wantedPerS)
        # The comparison is false for NaN.
        if all(rate >= 0 for rate in rates) and max(rates[1:]) < math.inf:
            usage = ServerUsage(row.limitPerS, row.ageMs / 1000, *rates[1:])
            by_server[row.server] = usage
    return message.usageMs / 1000, by_server
