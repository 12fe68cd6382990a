"""Tests of the datagrams of the peer exchange on loopback."""

import errno

import trio

from basilwinch.chains.load import NodeReport, RequestLoad
from basilwinch.peers.codec import encode_report
from basilwinch.peers.exchange import PeerExchange, _send_datagram


async def _open_socket():
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(("127.0.0.1", 0))
    return sock


class _Blocked:
    """A socket of which the first direct sends find the buffer full."""

    def __init__(self, sock, error):
        self._real, self._error = sock, error
        self.waited = 0

    @property
    def _sock(self):
        return self

    def sendto(self, data, address):
        if self._error is not None:
            error, self._error = self._error, None
            raise error
        self.waited += 1
        return self._real.sendto(data, address)


def test_datagram_that_finds_the_buffer_full_is_sent_when_it_is_not():
    """Guards against reports dropped because a send would have to wait."""

    async def test():
        with await _open_socket() as sender, await _open_socket() as receiver:
            blocked = _Blocked(sender, BlockingIOError(errno.EAGAIN, "full"))
            with trio.fail_after(10):
                await _send_datagram(blocked, b"report", receiver.getsockname())
                assert (await receiver.recvfrom(100))[0] == b"report"
            assert blocked.waited == 1

    trio.run(test)


class _Recorder:
    """Stands for the other parts of a node; records the reports and the log lines."""

    version = 0
    report_interval_s = 1.0

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *args, **fields: self.calls.append((name, args))


def test_reports_are_received_after_malformed_ones():
    """Guards against a receiver that stops, or misses reports that are there at once."""

    async def test():
        exchange = PeerExchange.__new__(PeerExchange)
        exchange._peers = {}
        exchange._name = "n1"
        exchange._view = exchange._load = exchange._carriers = exchange._log = _Recorder()
        with await _open_socket() as sender, await _open_socket() as receiver:
            address = receiver.getsockname()
            for number in range(20):
                await _send_datagram(sender, b"malformed", address)
                report = NodeReport({number: RequestLoad(1, 1)}, {})
                await _send_datagram(sender, encode_report("n2", number, report), address)
            recorder = exchange._load
            with trio.move_on_after(10):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(exchange._receive, receiver)
                    while sum(name == "apply_report" for name, _ in recorder.calls) < 20:
                        await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()
        applied = [args[1] for name, args in recorder.calls if name == "apply_report"]
        assert [list(report.shares) for report in applied] == [[n] for n in range(20)]
        assert sum(name == "warning" for name, _ in recorder.calls) == 20

    trio.run(test)


def test_error_of_the_socket_does_not_end_the_receiver():
    """Guards against a node without reports after one error that the system passes on."""

    async def test():
        exchange = PeerExchange.__new__(PeerExchange)
        exchange._peers = {}
        exchange._name = "n1"
        recorder = exchange._view = exchange._load = exchange._carriers = _Recorder()
        exchange._log = recorder
        receiver, other = await _open_socket(), await _open_socket()
        address = other.getsockname()
        other.close()
        with receiver, trio.fail_after(10):
            await receiver.connect(address)
            await receiver.send(b"refused")  # the answer becomes an error of the next read
            with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sender:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(exchange._receive, receiver)
                    while not any(name == "info" for name, _ in recorder.calls):
                        await trio.sleep(0.01)
                    await sender.bind(address)
                    report = NodeReport({5: RequestLoad(1, 1)}, {})
                    data = encode_report("n2", 1, report)
                    await _send_datagram(sender, data, receiver.getsockname())
                    while not any(name == "apply_report" for name, _ in recorder.calls):
                        await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()

    trio.run(test)
