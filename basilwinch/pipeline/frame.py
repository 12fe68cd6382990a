"""Token frames, load reports and the check of frames."""

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
    """Load that a server reports about itself; it reaches the nodes with a delay.

    :param server: name of the server
    :param queued: sequences that wait for a slot in the batch
    :param running: sequences in the batch
    :param kv_free: free share of the KV cache, 0 to 1
    :param step_s: duration of the last batch step in seconds
    """

    __slots__ = ("server", "queued", "running", "kv_free", "step_s")


class TokenFrame(Record):
    """One token of a response.

    :param request: id of the request
    :param attempt: number of the attempt, from 1
    :param position: index of the token in the response, from 0
    :param token: token id
    :param spans: tuple of :class:`Stage`, the stages that ran for this token, in order
    :param text: text of the token
    :param final: whether it is the last token
    :param load: tuple of :class:`LoadReport`, often empty
    """

    __slots__ = ("request", "attempt", "position", "token", "spans", "text", "final", "load")
    _defaults = {"text": "", "final": False, "load": ()}

    @classmethod
    def from_json_dict(cls, fields: dict) -> "TokenFrame":
        """Build a frame from its JSON form.

        :param fields: the JSON object
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
    """Checks the frames of one attempt.

    Each frame must have the id of the request, the number of the attempt and the next position, so
    that no token is missing or repeated, and must have run on the stages of the chain in order, so
    that every layer ran exactly once.

    :param request: id of the request
    :param attempt: number of the attempt
    :param chain: chain of the attempt
    :param start: position of the first expected frame
    """

    __slots__ = ("request", "attempt", "chain", "position")

    def __init__(self, request: str, attempt: int, chain: Chain, start: int = 0):
        self.request = request
        self.attempt = attempt
        self.chain = chain
        self.position = start

    def check(self, frame: TokenFrame) -> Failure | None:
        """Check a frame and advance to the next position if it is valid. Linear in the stages.

        :returns: None if the frame may be delivered to the caller; otherwise ``WRONG_REQUEST``,
            ``WRONG_ATTEMPT``, ``WRONG_POSITION`` or ``WRONG_LAYERS``
        """
        if frame.request != self.request:
            return WRONG_REQUEST.because(
                f"frame of request {frame.request}, expected request {self.request}"
            )
        if frame.attempt != self.attempt:
            return WRONG_ATTEMPT.because(
                f"frame of attempt {frame.attempt}, expected attempt {self.attempt}"
            )
        if frame.position != self.position:
            return WRONG_POSITION.because(
                f"token at position {frame.position}, expected position {self.position}"
            )
        if frame.spans != self.chain.stages:
            return WRONG_LAYERS.because(
                f"token at position {frame.position} ran on stages {frame.spans}, "
                f"expected {self.chain.stages}"
            )
        self.position += 1
        return None
