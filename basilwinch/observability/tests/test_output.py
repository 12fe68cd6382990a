"""Tests of the non-blocking log output."""

import json
import os

import pytest
import structlog

from basilwinch.observability import configure_logs
from basilwinch.observability.logs import REQUEST_END_EVENTS
from basilwinch.observability.output import BoundedOutput


class Clock:
    """A clock that tests advance."""

    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def output(pipe, clock):
    return BoundedOutput(pipe[1], clock)


@pytest.fixture
def log(output):
    """Return a logger that writes to the output."""
    config = structlog.get_config()
    configure_logs("json", "info", output)
    yield structlog.get_logger("test")
    structlog.configure(**config)


@pytest.fixture
def read_lines(pipe, output):
    """Return a function that empties the buffer and returns its lines, decoded."""

    def read():
        text = b""
        os.set_blocking(pipe[0], False)
        while True:
            output.flush()
            try:
                text += os.read(pipe[0], 1 << 20)
            except BlockingIOError:
                return [json.loads(line) for line in text.splitlines()]

    return read


def test_stalled_reader_does_not_block_the_writer(pipe):
    clock = Clock()
    output = BoundedOutput(pipe[1], clock)
    for _ in range(2000):
        clock.now += 0.01
        output.write("x" * 1000 + "\n")
    assert output.left_out > 0
    os.set_blocking(pipe[0], False)
    for _ in range(1000):
        clock.now += 0.01
        output.write("y\n")
        try:
            text = os.read(pipe[0], 1 << 20)
        except BlockingIOError:
            break
        if b"log lines left out" in text:
            break
    assert b"log lines left out" in text


def test_lines_beyond_the_rate_are_left_out_and_counted(pipe):
    clock = Clock()
    output = BoundedOutput(pipe[1], clock)
    for _ in range(3000):
        output.write("z\n")
    assert output.left_out == 2000
    clock.now += 1.0
    output.write("after\n")
    assert b'"count": 2000' in os.read(pipe[0], 1 << 20)


@pytest.mark.parametrize("event", sorted(REQUEST_END_EVENTS))
def test_line_that_ends_a_request_is_written_beyond_the_rate(log, read_lines, event):
    """Guards against a request of which the log does not tell how it ended."""
    for _ in range(1200):
        log.info("other")
    read_lines()
    for number in range(300):
        log.info(event, request=number)
    log.info("other")
    lines = read_lines()
    assert [line["request"] for line in lines if line["event"] == event] == list(range(300))
    assert not any(line["event"] == "other" for line in lines)


def test_other_lines_use_the_part_of_the_rate_that_request_ends_leave(log, read_lines):
    """Guards against a volume that is the sum of both kinds of lines at the full rate."""
    for _ in range(600):
        log.info("request ended")
    for _ in range(600):
        log.info("other")
    events = [line["event"] for line in read_lines()]
    assert events.count("request ended") == 600
    assert events.count("other") == 400


def test_other_lines_are_written_soon_after_many_requests_ended(log, read_lines, clock):
    """Guards against a log without warnings for a long time after an overload."""
    for _ in range(2000):
        log.info("request ended")
    clock.now += 1.0
    for _ in range(300):
        log.info("other")
    assert [line["event"] for line in read_lines()].count("other") == 200


def test_counts_of_lines_left_out_do_not_add_a_line_to_each_request_end(log, read_lines, clock):
    """Guards against an overload that doubles the number of lines."""
    for _ in range(1000):
        log.info("other")
    for _ in range(300):
        log.info("other")
        log.info("request ended")
    clock.now += 1.0
    log.info("request ended")
    counts = [line["count"] for line in read_lines() if line["event"] == "log lines left out"]
    assert counts == [1, 299]


def test_buffer_keeps_room_for_request_ends_while_the_reader_is_stalled(log, read_lines):
    """Guards against other lines that fill the buffer, so that the ends of requests are lost."""
    for _ in range(1000):
        log.info("other", text="x" * 1000)
    for number in range(1000):
        log.info("request ended", request=number, text="x" * 300)
    lines = read_lines()
    assert [line["request"] for line in lines if "request" in line] == list(range(1000))
    assert [line["event"] for line in lines].count("other") < 1000


def test_request_ends_beyond_that_room_are_counted_apart(log, read_lines, clock):
    """Guards against memory that grows while the reader is stalled, and a loss that is hidden."""
    for _ in range(10000):
        log.info("request ended", text="x" * 1000)
        log.info("other")
    lines = read_lines()
    clock.now += 2.0
    log.info("other")
    lines += read_lines()
    events = [line["event"] for line in lines]
    assert 500 < events.count("request ended") < 2000
    counts = [line for line in lines if line["event"] == "log lines left out"]
    assert sum(line["request_ends"] for line in counts) == 10000 - events.count("request ended")
    total = 20001 - events.count("request ended") - events.count("other")
    assert sum(line["count"] for line in counts) == total
