"""Load reports between entry nodes."""

from basilwinch.peers.codec import decode_report, encode_report
from basilwinch.peers.exchange import PeerExchange

__all__ = ["PeerExchange", "decode_report", "encode_report"]
