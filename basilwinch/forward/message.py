"""Values that the forwarding of requests works with."""

from basilwinch.record import Record

__all__ = ["CallerRequest", "ServerLoad"]


class CallerRequest(Record):
    """What the header of a request says.

    :param id: id of the request
    :param deadline_s: seconds that the caller waits, or None
    :param key: key of the organisation, empty if there is none
    :param prompt_tokens: tokens of the prompt, 0 if unknown
    :param max_output_tokens: most tokens of the response, 0 if unknown
    :param output_hint: the caller's estimate of the tokens of the response, or None
    :param last_event_id: event after which a response goes on, or empty
    """

    __slots__ = (
        "id",
        "deadline_s",
        "key",
        "prompt_tokens",
        "max_output_tokens",
        "output_hint",
        "last_event_id",
    )


class ServerLoad(Record):
    """Running and waiting requests, and slots, of a server."""

    __slots__ = ("running", "waiting", "slots")
