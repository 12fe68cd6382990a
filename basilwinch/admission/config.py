"""Settings and values of admission."""

from basilwinch.record import Record

__all__ = ["AdmissionConfig", "AdmitRequest", "Usage"]


class AdmissionConfig(Record):
    """Settings of admission.

    :param burst_s: seconds of an organisation's limit that may be used at once
    :param least_burst: least number of requests that may be used at once
    :param demand_window_s: time constant of the demand that shares between nodes follow
    :param report_s: least interval of usage reports
    :param report_s_per_peer: interval of usage reports for each peer that a node reports to
    :param most_debt_s: seconds of the limit that are paid back at most after nodes granted too much
        before they saw each other's reports
    :param queue_per_organisation: requests of one organisation that may wait for one model
    :param queue_total: requests that may wait for one model
    :param default_slots: requests in progress for a model before ``set_capacity`` is called
    :param forget_s: idle time after which the state of an organisation is dropped
    """

    __slots__ = (
        "burst_s",
        "least_burst",
        "demand_window_s",
        "report_s",
        "report_s_per_peer",
        "most_debt_s",
        "queue_per_organisation",
        "queue_total",
        "default_slots",
        "forget_s",
    )
    _defaults = {
        "burst_s": 4.0,
        "least_burst": 4.0,
        "demand_window_s": 10.0,
        "report_s": 2.0,
        "report_s_per_peer": 0.6,
        "most_debt_s": 300.0,
        "queue_per_organisation": 64,
        "queue_total": 1024,
        "default_slots": 16,
        "forget_s": 300.0,
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

    :param organisation: name
    :param requests: granted requests a second
    :param tokens: granted tokens a second
    :param wanted_requests: requests a second that were asked for, refused ones included
    :param wanted_tokens: tokens a second that were asked for
    :param seconds: time over which the rates were counted, 0 if it is not known
    """

    __slots__ = (
        "organisation",
        "requests",
        "tokens",
        "wanted_requests",
        "wanted_tokens",
        "seconds",
    )
    _defaults = {"wanted_requests": 0.0, "wanted_tokens": 0.0, "seconds": 0.0}
