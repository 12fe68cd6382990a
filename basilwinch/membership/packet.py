"""Authenticated packets: keys, message authentication code (MAC) and replay protection."""

import hashlib
import hmac
import struct

import capnp

from basilwinch.exception import (
    INVALID_SETTING,
    MALFORMED_PACKET,
    OVERSIZED_PACKET,
    REPLAYED_PACKET,
    UNKNOWN_PACKET_KEY,
    UNSUPPORTED_VERSION,
    WRONG_CLUSTER,
    WRONG_MAC,
    Failure,
)
from basilwinch.membership.codec import schema
from basilwinch.record import Record

__all__ = ["Keyring", "MAX_DATAGRAM_BYTES", "Packet", "PacketReader", "ReplayWindow", "Sealer"]

VERSION = 1
# With IP and UDP headers this fits the minimum MTU of IPv6, 1280 bytes, so that no datagram is
# fragmented.
MAX_DATAGRAM_BYTES = 1200
_HEADER = struct.Struct("<BBIQQII")
_MAC = struct.Struct("<QQ")
_REPLAY_WINDOW_PACKETS = 64


class Packet(Record):
    """An authenticated packet; ``body`` is still encoded."""

    __slots__ = ("sender", "life", "sequence", "destination", "body")


class Keyring:
    """Keys of packets. The first one signs, and all of them verify.

    :param keys: secrets by key id (1 to 255), the signing key first
    """

    __slots__ = ("signing", "secrets")

    def __init__(self, keys: dict[int, bytes]):
        self.signing = next(iter(keys))
        self.secrets = dict(keys)

    @classmethod
    def from_setting(cls, text: str) -> "Keyring | Failure":
        """Read ``id:hex`` pairs separated by commas, the signing key first.

        :returns: a keyring, or ``INVALID_SETTING``

        >>> Keyring.from_setting("2:" + "ab" * 16 + ",1:" + "cd" * 16).signing
        2
        >>> Keyring.from_setting("1:abcd")
        Failure(invalid_setting: packet key 1 has fewer than 16 bytes)
        """
        keys = {}
        for pair in text.split(","):
            number, _, secret = pair.strip().partition(":")
            try:
                keys[int(number)] = bytes.fromhex(secret)
            except ValueError:
                return INVALID_SETTING.because("packet keys are not of the form id:hex,id:hex")
            if not 1 <= int(number) <= 255:
                return INVALID_SETTING.because(f"packet key id {number} is not within 1 to 255")
            if len(secret) < 32:
                return INVALID_SETTING.because(f"packet key {number} has fewer than 16 bytes")
        if len(keys) > 2:
            return INVALID_SETTING.because("more than two packet keys")
        return cls(keys)


def _derive_key(cluster: str, secret: bytes) -> bytes:
    return hmac.digest(secret, b"basilwinch packet\0" + cluster.encode(), "sha256")


def _cluster_digest(cluster: str) -> int:
    return int.from_bytes(hashlib.blake2b(cluster.encode(), digest_size=4).digest())


def _mac(key: bytes, header: bytes, body: bytes) -> tuple[int, int]:
    return _MAC.unpack_from(hmac.digest(key, header + body, "sha256"))


class Sealer:
    """Builds the authenticated packets of one node.

    :param cluster: name of the cluster; the MAC keys are derived from it
    :param keyring: :class:`Keyring`
    :param sender: id of the node
    :param life: start time of the process in microseconds
    """

    __slots__ = ("_cluster", "_cluster_name", "_key", "_key_id", "sender", "life", "sequence")

    def __init__(self, cluster: str, keyring: Keyring, sender: int, life: int):
        self._cluster_name = cluster
        self._cluster = _cluster_digest(cluster)
        self.sender = sender
        self.life = life
        self.sequence = 0
        self.use_keys(keyring)

    def use_keys(self, keyring: Keyring) -> None:
        """Sign with the first key of a keyring from now on."""
        self._key_id = keyring.signing
        self._key = _derive_key(self._cluster_name, keyring.secrets[keyring.signing])

    def seal(self, body: bytes, destination: int) -> bytes:
        """Return an authenticated packet.

        :param body: encoded message
        :param destination: life of the receiver, 0 if it is not known
        """
        self.sequence = (self.sequence + 1) & 0xFFFFFFFF
        destination &= 0xFFFFFFFF
        header = _HEADER.pack(
            VERSION,
            self._key_id,
            self._cluster,
            self.sender,
            self.life,
            self.sequence,
            destination,
        )
        high, low = _mac(self._key, header, body)
        return schema.Envelope.new_message(
            version=VERSION,
            keyId=self._key_id,
            cluster=self._cluster,
            sender=self.sender,
            life=self.life,
            sequence=self.sequence,
            destination=destination,
            macHigh=high,
            macLow=low,
            body=body,
        ).to_bytes_packed()


class PacketReader:
    """Decodes and authenticates packets.

    :param cluster: name of the cluster
    :param keyring: :class:`Keyring`
    """

    __slots__ = ("_cluster", "_cluster_name", "_keys")

    def __init__(self, cluster: str, keyring: Keyring):
        self._cluster_name = cluster
        self._cluster = _cluster_digest(cluster)
        self.use_keys(keyring)

    def use_keys(self, keyring: Keyring) -> None:
        """Accept only the keys of a keyring from now on."""
        self._keys = {
            number: _derive_key(self._cluster_name, secret)
            for number, secret in keyring.secrets.items()
        }

    def open(self, data: bytes, limit: int = MAX_DATAGRAM_BYTES) -> Packet | Failure:
        """Decode and authenticate a packet. Takes time linear in its size.

        :param limit: maximum size in bytes. Packed data can expand 1000-fold, so the limit also
            bounds the memory that a hostile packet takes.
        :returns: the packet, ``OVERSIZED_PACKET``, ``MALFORMED_PACKET``, ``UNSUPPORTED_VERSION``,
            ``WRONG_CLUSTER``, ``UNKNOWN_PACKET_KEY`` or ``WRONG_MAC``
        """
        if len(data) > limit:
            return OVERSIZED_PACKET.because(
                f"packet of {len(data)} bytes exceeds the limit of {limit} bytes"
            )
        try:
            envelope = schema.Envelope.from_bytes_packed(data)
            version = envelope.version
            key_id = envelope.keyId
            cluster = envelope.cluster
            packet = Packet(
                envelope.sender,
                envelope.life,
                envelope.sequence,
                envelope.destination,
                bytes(envelope.body),
            )
            mac = (envelope.macHigh, envelope.macLow)
        except (capnp.KjException, ValueError) as error:
            return MALFORMED_PACKET.because(
                f"packet envelope cannot be decoded: {str(error)[:200]}"
            )
        if version != VERSION:
            return UNSUPPORTED_VERSION.because(
                f"packet of version {version}, expected version {VERSION}"
            )
        if cluster != self._cluster:
            return WRONG_CLUSTER.because(
                f"packet of cluster digest {cluster:08x}, expected {self._cluster:08x}"
            )
        key = self._keys.get(key_id)
        if key is None:
            return UNKNOWN_PACKET_KEY.because(f"no key with id {key_id} in the keyring")
        header = _HEADER.pack(
            version,
            key_id,
            cluster,
            packet.sender,
            packet.life,
            packet.sequence,
            packet.destination,
        )
        if not hmac.compare_digest(_MAC.pack(*_mac(key, header, packet.body)), _MAC.pack(*mac)):
            return WRONG_MAC.because(f"the MAC does not match under key id {key_id}")
        return packet


class ReplayWindow:
    """Which of the 64 sequence numbers up to the largest one were received from one life of one
    sender.

    >>> window = ReplayWindow(7)
    >>> window.admit(5), window.admit(4)
    (None, None)
    >>> window.admit(5)
    Failure(replayed_packet: sequence 5 was received before, or is 64 or more behind the largest, 5)
    """

    __slots__ = ("life", "_largest", "_seen")

    def __init__(self, life: int):
        self.life = life
        self._largest = 0
        self._seen = 0

    def admit(self, sequence: int) -> Failure | None:
        """Record a sequence number.

        :returns: None if it is new, or ``REPLAYED_PACKET``
        """
        ahead = sequence - self._largest
        if ahead > 0:
            self._seen = (
                ((self._seen << ahead) | 1) & ((1 << _REPLAY_WINDOW_PACKETS) - 1)
                if ahead < _REPLAY_WINDOW_PACKETS
                else 1
            )
            self._largest = sequence
            return None
        if -ahead >= _REPLAY_WINDOW_PACKETS or self._seen >> -ahead & 1:
            return REPLAYED_PACKET.because(
                f"sequence {sequence} was received before, or is {_REPLAY_WINDOW_PACKETS} or more "
                f"behind the largest, {self._largest}"
            )
        self._seen |= 1 << -ahead
        return None
