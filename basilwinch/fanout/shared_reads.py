"""What a reader has read of the store, and tells the nodes that it reads for, without I/O."""

import trio

from basilwinch.fanout.change_log import ChangeLog
from basilwinch.fanout.message import ReadAnswer, ReadRequest
from basilwinch.store import Position, StoreHistory

__all__ = ["SharedReads"]

_MAX_WAIT_S = 30.0


class SharedReads:
    """Answers reads from the changes and the position that this node's own watcher has read.

    A position is told with its age, so that a node that asks knows from when it is: the answer is
    made after the question was sent. Nothing is told of a history that has ended.

    :param history: :class:`~basilwinch.store.StoreHistory` of the store
    :param process: text that no other process of this fleet uses, nor this node after a restart
    :param clock: function that returns the time in seconds, including time of suspension
    """

    __slots__ = (
        "_history",
        "_process",
        "_clock",
        "_log",
        "_position",
        "_asked_at",
        "_is_relayed",
        "_changed",
    )

    def __init__(self, history: StoreHistory, process: str, clock):
        self._history = history
        self._process = process
        self._clock = clock
        self._log = ChangeLog()
        self._position: Position | None = None
        self._asked_at = float("-inf")
        self._is_relayed = False
        self._changed = trio.Event()
        history.subscribe(self._begin_history)

    def record_changes(self, after: Position, events) -> None:
        """Record the answer of a watch.

        :param after: position after which the watch was asked for changes
        """
        if after.history != self._history.number:
            return
        self._log.extend(after.revision, events)
        if events:
            self._notify()

    def record_confirmed(
        self, position: Position, asked_at: float, is_relayed: bool = False
    ) -> None:
        """Record that this node has applied all changes up to a position of the store.

        :param asked_at: time at which the query of the position was sent, in seconds
        :param is_relayed: whether it came through a relay
        """
        self._position, self._asked_at = position, asked_at
        self._is_relayed = is_relayed

    async def answer(self, request: ReadRequest) -> ReadAnswer:
        """Answer a node; a request for changes waits until there are some."""
        if request.after is None:
            return self._answer_position()
        with trio.move_on_after(min(request.wait_s, _MAX_WAIT_S)):
            while self._log.list_after(request.after) == []:
                await self._changed.wait()
        events = self._log.list_after(request.after)
        era = self._history.certain_era
        return ReadAnswer(self._lineage, events is not None, events=events or [], era=era)

    def _answer_position(self) -> ReadAnswer:
        position = self._position
        if position is None or position.history != self._history.number:
            return ReadAnswer(self._lineage, False)
        age_s = self._clock() - self._asked_at
        era = self._history.certain_era
        return ReadAnswer(
            self._lineage, True, position.revision, age_s, era=era, is_relayed=self._is_relayed
        )

    @property
    def _lineage(self) -> str:
        return f"{self._process}/{self._history.number}/{self._history.label}"

    def _begin_history(self) -> None:
        self._log.clear()
        self._position = None
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
