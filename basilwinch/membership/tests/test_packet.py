"""Tests of packets: authentication, replay protection, hostile bytes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwinch.exception import Failure
from basilwinch.membership.codec import decode_body, encode_body
from basilwinch.membership.message import MemberState, Message, MessageKind, Update, node_id
from basilwinch.membership.packet import Keyring, PacketReader, ReplayWindow, Sealer

FIXED = settings(derandomize=True, max_examples=300, deadline=None, database=None)
OLD, NEW = b"o" * 32, b"n" * 32


@pytest.fixture
def sealer():
    """Return a sealer of node ``a``."""
    return Sealer("test", Keyring({1: OLD}), node_id("a"), 77)


@pytest.fixture
def reader():
    """Return a reader of the same cluster."""
    return PacketReader("test", Keyring({1: OLD}))


def test_packet_round_trip_keeps_all_fields(sealer, reader):
    """Guards against fields that the envelope does not carry."""
    packet = reader.open(sealer.seal(b"body", 5))
    assert (packet.sender, packet.life, packet.sequence) == (node_id("a"), 77, 1)
    assert (packet.destination, packet.body) == (5, b"body")


@pytest.mark.parametrize(
    ("cluster", "keys", "code"),
    [
        ("other", {1: OLD}, "wrong_cluster"),
        ("test", {2: OLD}, "unknown_packet_key"),
        ("test", {1: NEW}, "wrong_mac"),
    ],
)
def test_unauthenticated_packet_is_dropped_with_its_failure_code(reader, cluster, keys, code):
    """Guards against accepting packets without the key or from another cluster."""
    assert reader.open(Sealer(cluster, Keyring(keys), 1, 1).seal(b"x", 0)).code == code


def test_rotation_accepts_two_keys_and_then_rejects_the_old_one():
    """Guards against packets dropped during a rotation and against an old key that stays valid."""
    old_first = Sealer("test", Keyring({1: OLD, 2: NEW}), 1, 1)
    reader = PacketReader("test", Keyring({1: OLD, 2: NEW}))
    assert reader.open(old_first.seal(b"x", 0)).body == b"x"
    old_first.use_keys(Keyring({2: NEW, 1: OLD}))
    assert reader.open(old_first.seal(b"x", 0)).body == b"x"
    reader.use_keys(Keyring({2: NEW}))
    assert reader.open(old_first.seal(b"x", 0)).body == b"x"
    old_first.use_keys(Keyring({1: OLD}))
    assert reader.open(old_first.seal(b"x", 0)).code == "unknown_packet_key"


def test_oversized_packet_is_not_parsed(reader):
    """Guards against the memory that a large hostile packet would take."""
    assert reader.open(bytes(1201)).code == "oversized_packet"


@FIXED
@given(st.binary(max_size=300))
def test_random_bytes_give_a_failure(data):
    """Guards against an exception of the codec that would end the receiving task."""
    assert isinstance(PacketReader("test", Keyring({1: OLD})).open(data), Failure)
    body = decode_body(data)
    assert isinstance(body, (Failure, Message))


@FIXED
@given(st.data())
def test_changed_packet_gives_a_failure(data):
    """Guards against a changed byte that passes the MAC check, and against exceptions of the codec
    on nearly valid data."""
    body = encode_body(Message(MessageKind.PING, 9, True, probe=4, payloads=((1, b"abc"),)))
    packet = bytearray(Sealer("test", Keyring({1: OLD}), node_id("a"), 77).seal(body, 5))
    position = data.draw(st.integers(0, len(packet) - 1))
    flip = data.draw(st.integers(1, 255))
    packet[position] ^= flip
    opened = PacketReader("test", Keyring({1: OLD})).open(bytes(packet))
    # A change in the unused bits of the encoding leaves the content as it was.
    assert isinstance(opened, Failure) or (opened.body, opened.sequence) == (body, 1)
    changed = bytearray(body)
    changed[position % len(body)] ^= flip
    assert isinstance(decode_body(bytes(changed)), (Failure, Message))


updates = st.builds(
    Update,
    st.integers(1, 2**64 - 1),
    st.integers(0, 2**52),
    st.integers(0, 2**16),
    st.sampled_from(MemberState),
    st.booleans(),
    st.just("entry-কলকাতা"),
    st.just("[::1]:7400"),
    st.text(max_size=8),
    st.text(max_size=8),
)


@FIXED
@given(
    st.builds(
        Message,
        st.sampled_from([MessageKind.PING, MessageKind.DIGEST]),
        st.integers(0, 2**63),
        st.booleans(),
        st.booleans(),
        st.integers(0, 2**32 - 1),
        st.lists(updates, max_size=4).map(tuple),
        st.binary(max_size=200),
        st.lists(st.tuples(st.integers(1, 255), st.binary(max_size=40)), max_size=3).map(tuple),
    )
)
def test_message_round_trip_keeps_all_fields(message):
    """Guards against fields that the codec loses, including text in non-Latin scripts."""
    assert decode_body(encode_body(message)) == message


def test_packed_zeros_are_refused(reader):
    """Guards against the memory that packed zeros would take, as they expand 1000-fold."""
    assert isinstance(reader.open(b"\x00\xff" * 600), Failure)


@FIXED
@given(st.lists(st.integers(1, 200), max_size=80))
def test_replay_window_never_admits_twice(sequences):
    """Guards against replayed packets that are accepted, in any order of arrival."""
    window, admitted = ReplayWindow(1), []
    for sequence in sequences:
        if window.admit(sequence) is None:
            admitted.append(sequence)
        elif sequence not in admitted:
            assert sequence <= max(admitted) - 64
    assert len(admitted) == len(set(admitted))
