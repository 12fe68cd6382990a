"""Token frames and their checks."""

from basilwinch.exception import (
    WRONG_ATTEMPT,
    WRONG_LAYERS,
    WRONG_POSITION,
    WRONG_REQUEST,
    Failure,
)
from basilwinch.pipeline.chain import Chain, Stage
from basilwinch.record import Record

__all__ = ["FrameChecker", "LoadReport", "TokenFrame"]


class LoadReport(Record):
    """Load of one server as it reports it, with a lag.

    :param server: name of the server
    :param queued: sequences that wait for a batch
    :param running: sequences in the batch
    :param kv_free: free part of the KV cache, 0 to 1
    :param step_s: time of the last batch step in seconds
    """

    __slots__ = ("server", "queued", "running", "kv_free", "step_s")


class TokenFrame(Record):
    """One token of an answer.

    :param request: id of the request
    :param attempt: number of the attempt, from 1
    :param position: index of the token in the answer, from 0
    :param token: token id
    :param spans: stages as they ran for this token, a tuple of :class:`Stage`
    :param text: text of the token
    :param final: whether it is the last token
    :param load: tuple of :class:`LoadReport`, often empty
    """

    __slots__ = ("request", "attempt", "position", "token", "spans", "text", "final", "load")
    _defaults = {"text": "", "final": False, "load": ()}

    @classmethod
    def from_json_dict(cls, fields: dict) -> "TokenFrame":
        """Build a frame from its JSON form.

        :raises TypeError, ValueError, KeyError: on a malformed frame
        """
        return cls(
            fields["request"],
            fields["attempt"],
            fields["position"],
            fields["token"],
            tuple(Stage(*span) for span in fields["spans"]),
            fields.get("text", ""),
            fields.get("final", False),
            tuple(LoadReport(*report) for report in fields.get("load", ())),
        )

    def to_json_dict(self) -> dict:
        """Return the JSON form that :meth:`from_json_dict` reads."""
        fields = self.to_dict()
        fields["spans"] = [span.to_list() for span in self.spans]
        fields["load"] = [list(report.to_dict().values()) for report in self.load]
        return fields


class FrameChecker:
    """Checks the frames of one attempt: right request, right attempt, no token missing or doubled,
    every layer exactly once and in order.

    :param request: id of the request
    :param attempt: number of the attempt
    :param chain: the chain that the attempt runs on
    :param start: position of the first frame expected
    """

    __slots__ = ("request", "attempt", "chain", "position")

    def __init__(self, request: str, attempt: int, chain: Chain, start: int = 0):
        self.request = request
        self.attempt = attempt
        self.chain = chain
        self.position = start

    def check(self, frame: TokenFrame) -> Failure | None:
        """Check a frame and move on to the next position if it is right.

        :returns: None if the frame may go to the caller. Linear in the number of stages.
        """
        if frame.request != self.request:
            return WRONG_REQUEST.because(f"frame of {frame.request} in {self.request}")
        if frame.attempt != self.attempt:
            return WRONG_ATTEMPT.because(f"frame of attempt {frame.attempt} in {self.attempt}")
        if frame.position != self.position:
            return WRONG_POSITION.because(f"token {frame.position}, expected {self.position}")
        if frame.spans != self.chain.stages:
            return WRONG_LAYERS.because(f"token {frame.position} ran on {frame.spans}")
        self.position += 1
        return None
