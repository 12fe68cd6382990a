"""Tests of the non-blocking log output."""

import os

import pytest

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
