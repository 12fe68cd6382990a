"""Tests of the ports that tests use."""

import subprocess
import sys

from basilwinch.standin import port as ports
from basilwinch.standin.port import find_free_port

DRAWS = 300
SCRIPT = f"""
from basilwinch.standin.port import find_free_port
print(*[find_free_port() for _ in range({DRAWS})], flush=True)
input()
"""


def test_no_port_is_returned_twice(monkeypatch):
    """Guards against two servers of a test that are given one port."""
    monkeypatch.setattr(ports, "_FIRST_PORT", 32000)  # 768 ports, so that draws repeat
    drawn = [find_free_port() for _ in range(DRAWS)]
    assert len(set(drawn)) == DRAWS


def test_no_port_is_returned_to_two_processes(monkeypatch):
    """Guards against runs of the tests side by side that take each other's ports."""
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(4)
    ]
    try:
        drawn = [line for p in processes for line in p.stdout.readline().split()]
        assert len(set(drawn)) == DRAWS * len(processes)
    finally:
        for process in processes:
            process.communicate("\n")
