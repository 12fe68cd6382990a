"""Values decoded from the headers of requests and responses."""

from basilwinch.record import Record

__all__ = ["CallerRequest", "ServerLoad"]


class CallerRequest(Record):
    """Decoded header of a caller's request.

    :param id: id of the request
    :param deadline_s: seconds that the caller waits for the response, or None
    :param key: API key of the organisation, empty if there is none
    :param prompt_tokens: tokens of the prompt, 0 if unknown
    :param max_output_tokens: maximum number of tokens of the response, 0 if unknown
    :param output_hint: the caller's estimate of the tokens of the response, or None
    :param last_event_id: id of the event after which the response resumes, or empty
    :param shared_parts: ids of the parts of the prompt that other requests may share, in order;
        empty if the request names none
    """

    __slots__ = (
        "id",
        "deadline_s",
        "key",
        "prompt_tokens",
        "max_output_tokens",
        "output_hint",
        "last_event_id",
        "shared_parts",
    )


class ServerLoad(Record):
    """Number of running requests, waiting requests and slots, as a server reports them."""

    __slots__ = ("running", "waiting", "slots")
