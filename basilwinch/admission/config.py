"""Settings and values of admission."""

from basilwinch.record import Record

__all__ = ["AdmissionConfig", "AdmitRequest", "Usage"]


class AdmissionConfig(Record):
    """Settings of admission; times in seconds.

    :param burst_s: seconds of an organisation's limit that may be used at once
    :param min_burst: smallest burst, in requests or tokens according to the limit
    :param demand_window_s: time constant of the smoothed demand, which sets the demand shares of
        the nodes
    :param min_report_interval_s: shortest interval between usage reports
    :param report_interval_per_peer_s: seconds of report interval for each peer that a node reports
        to, if that gives more than ``min_report_interval_s``
    :param max_debt_s: largest excess over the limit that later grants make up for, in seconds of
        the limit. Nodes can exceed the limit until they receive each other's reports.
    :param min_level: units in the fleet-wide bucket below which no node grants anything, see
        :class:`~basilwinch.admission.bucket.SharedBucket`
    :param max_queued_per_organisation: largest number of queued requests of one organisation for a
        model
    :param max_queued: largest number of queued requests of one model
    :param default_slots: requests in progress for a model until ``set_capacity`` is called
    :param idle_expiry_s: idle time after which the state of an organisation is dropped
    """

    __slots__ = (
        "burst_s",
        "min_burst",
        "demand_window_s",
        "min_report_interval_s",
        "report_interval_per_peer_s",
        "max_debt_s",
        "min_level",
        "max_queued_per_organisation",
        "max_queued",
        "default_slots",
        "idle_expiry_s",
    )
    _defaults = {
        "burst_s": 4.0,
        "min_burst": 4.0,
        "demand_window_s": 10.0,
        "min_report_interval_s": 2.0,
        "report_interval_per_peer_s": 0.6,
        "max_debt_s": 300.0,
        "min_level": float("-inf"),
        "max_queued_per_organisation": 64,
        "max_queued": 1024,
        "default_slots": 16,
        "idle_expiry_s": 300.0,
    }


class AdmitRequest(Record):
    """A request for admission.

    :param request: id of the request
    :param organisation: name of the organisation
    :param model: name of the model
    :param tokens: tokens that the response is expected to have
    :param deadline_s: seconds until the response must be complete, None for no deadline
    """

    __slots__ = ("request", "organisation", "model", "tokens", "deadline_s")
    _defaults = {"tokens": 1, "deadline_s": None}


class Usage(Record):
    """Usage of an organisation on one or more nodes, as rates, so that a lost report does no harm.

    :param organisation: name of the organisation
    :param requests: granted requests per second
    :param tokens: granted tokens per second
    :param wanted_requests: requests per second received, refused ones included
    :param wanted_tokens: tokens per second of the requests received, refused ones included
    :param interval_s: seconds over which the rates were counted, 0 if unknown
    """

    __slots__ = (
        "organisation",
        "requests",
        "tokens",
        "wanted_requests",
        "wanted_tokens",
        "interval_s",
    )
    _defaults = {"wanted_requests": 0.0, "wanted_tokens": 0.0, "interval_s": 0.0}
