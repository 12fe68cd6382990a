"""Fan-out of the store's answers: a few nodes of each availability zone read it for the others."""

from basilwinch.fanout.reader_server import ReaderServer
from basilwinch.fanout.readers import Readers
from basilwinch.fanout.store import FanoutStore

__all__ = ["FanoutStore", "ReaderServer", "Readers"]
