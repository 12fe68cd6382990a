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
    :param min_attempt_age_s: if a server is reported dead sooner than this after the start of an
        attempt, and no attempt on it received a frame lately, it was dead before, and the attempt
        gets no strike; otherwise requests routed one after another to the servers of a lost zone
        would get strikes for their deaths
    :param mass_loss_servers: more deaths than this within ``mass_loss_window_s`` are a rack or zone
        loss, which makes no request a suspect; a single request costs at most three servers
    :param mass_loss_window_s: window of ``mass_loss_servers``
    :param same_event_window_s: strikes of a request within this time belong to one event
    :param event_s: strikes of a part within this time count once; nodes notice the loss of several
        servers at slightly different times
    :param request_event_s: the same for a request, which runs on one server at a time and may crash
        the next one sooner than that
    :param conviction_deaths: deaths after which a request is refused
    :param max_suspects: maximum number of suspects kept; those that expire first are dropped
    :param progress_frames: after this many frames a request is no longer a likely cause of a crash:
        crashes occur during the prefill or just after it, when the request enters the batch
    :param weak_strikes: whether a death also counts against requests that were not a likely cause
    :param part_history_s: time for which a part of a prompt counts as known to be harmless after a
        request with it has made progress
    :param max_known_parts: maximum number of such parts kept; the oldest are dropped
    :param part_hold_s: time after a strike for which the node that saw it refuses requests with an
        unknown part, before it tries one of them
    :param part_hold_elsewhere_s: shortest such time on the other nodes, so that one node tries
        first; each of them waits up to twice as long, by a hash of its name
    :param part_contrast_delay_s: time after a strike after which other nodes try a request that
        lacks one of the parts which share the strike; the node that saw it does so at once
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
        "min_attempt_age_s",
        "mass_loss_servers",
        "mass_loss_window_s",
        "same_event_window_s",
        "event_s",
        "request_event_s",
        "conviction_deaths",
        "max_suspects",
        "progress_frames",
        "weak_strikes",
        "part_history_s",
        "max_known_parts",
        "part_hold_s",
        "part_hold_elsewhere_s",
        "part_contrast_delay_s",
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
        "min_attempt_age_s": 0.03,
        "mass_loss_servers": 3,
        "mass_loss_window_s": 2.0,
        "same_event_window_s": 0.15,
        "event_s": 0.0,
        "request_event_s": 0.0,
        "conviction_deaths": 3,
        "max_suspects": 2000,
        "progress_frames": 8,
        "weak_strikes": True,
        "part_history_s": 300.0,
        "max_known_parts": 4096,
        "part_hold_s": 4.0,
        "part_hold_elsewhere_s": 12.0,
        "part_contrast_delay_s": 1.0,
    }
