"""Settings of crash attribution."""

from basilwinch.record import Record

__all__ = ["SuspectConfig"]


class SuspectConfig(Record):
    """Settings of crash attribution; times in seconds.

    :param node: name of this node
    :param suspect_ttl_s: time after its last strike for which a request is a suspect
    :param quarantine_s: time for which a convicted request is refused
    :param isolation_slots: maximum concurrent isolated attempts on a node
    :param isolation_slot_wait_s: maximum wait for a slot before a retry with one strike runs
        without isolation
    :param isolation_timeout_s: time after which the isolation of an attempt without enough frames
        counts as ended
    :param claim_delay_s: wait between the claim of an isolation and the start of its attempt, so
        that two nodes do not both start one; covers one exchange between nodes
    :param refusal_delay_s: wait between a conviction and the refusal to the caller, so that all
        nodes know of the conviction before the caller can send the request again
    :param max_strong_strikes: maximum strong strikes per death and node; a strong strike isolates
        the next attempt of its request
    :param strong_max_age_s: maximum age of an attempt at the death of its server for a strong
        strike
    :param mass_loss_servers: more deaths than this within ``mass_loss_window_s`` are a rack or zone
        loss, which makes no request a suspect; a single request costs at most three servers
    :param mass_loss_window_s: window of ``mass_loss_servers``
    :param same_event_window_s: strikes of a request within this time belong to one event
    :param max_suspects: maximum number of suspects kept; those that expire first are dropped
    """

    __slots__ = (
        "node",
        "suspect_ttl_s",
        "quarantine_s",
        "isolation_slots",
        "isolation_slot_wait_s",
        "isolation_timeout_s",
        "claim_delay_s",
        "refusal_delay_s",
        "max_strong_strikes",
        "strong_max_age_s",
        "mass_loss_servers",
        "mass_loss_window_s",
        "same_event_window_s",
        "max_suspects",
    )
    _defaults = {
        "suspect_ttl_s": 120.0,
        "quarantine_s": 600.0,
        "isolation_slots": 2,
        "isolation_slot_wait_s": 0.5,
        "isolation_timeout_s": 10.0,
        "claim_delay_s": 0.1,
        "refusal_delay_s": 0.5,
        "max_strong_strikes": 2,
        "strong_max_age_s": 2.0,
        "mass_loss_servers": 3,
        "mass_loss_window_s": 2.0,
        "same_event_window_s": 0.15,
        "max_suspects": 2000,
    }
