"""Settings of crash attribution."""

from basilwinch.record import Record

__all__ = ["SuspectConfig"]


class SuspectConfig(Record):
    """Settings of crash attribution; times in seconds.

    :param node: name of this node
    :param suspect_s: how long a strike is kept
    :param convicted_s: how long a convicted request is refused
    :param slots: isolated runs of a node at once
    :param slot_wait_s: wait for a slot before a request with one strike runs without isolation
    :param test_s: an isolated run that has made no progress for this long counts as ended
    :param settle_s: wait between the claim of an isolated run and its start, so that two nodes do
        not both start one; covers one exchange between nodes
    :param announce_s: wait between a conviction and the answer to the caller, so that every node
        knows of it before the caller can send the request again
    :param strong: requests per death and node that are isolated at once
    :param strong_age_s: age on the dying server up to which a request is a likely cause
    :param mass_servers: more deaths than this within ``mass_s`` are a rack or zone loss, for which
        no request is a suspect; a single request costs at most three
    :param mass_s: window of ``mass_servers``
    :param same_event_s: strikes closer together than this come from one event
    :param limit: suspects kept at most; the ones that expire first are dropped
    """

    __slots__ = (
        "node",
        "suspect_s",
        "convicted_s",
        "slots",
        "slot_wait_s",
        "test_s",
        "settle_s",
        "announce_s",
        "strong",
        "strong_age_s",
        "mass_servers",
        "mass_s",
        "same_event_s",
        "limit",
    )
    _defaults = {
        "suspect_s": 120.0,
        "convicted_s": 600.0,
        "slots": 2,
        "slot_wait_s": 0.5,
        "test_s": 10.0,
        "settle_s": 0.1,
        "announce_s": 0.5,
        "strong": 2,
        "strong_age_s": 2.0,
        "mass_servers": 3,
        "mass_s": 2.0,
        "same_event_s": 0.15,
        "limit": 2000,
    }
