"""Limits of all organisations on one node."""

from basilwinch.admission.bucket import SharedBucket
from basilwinch.admission.config import AdmissionConfig, AdmitRequest, Usage
from basilwinch.catalog import Organisation
from basilwinch.exception import MODEL_NOT_ALLOWED, RATE_LIMITED, WRONG_KEY, Failure

__all__ = ["Limits"]

# Reports stay valid for this many report intervals, so that two lost ones do no harm.
REPORTS_VALID = 3.5


class _State:
    """Limits of one organisation and the rates of the other nodes; created on first use."""

    __slots__ = ("requests", "tokens", "others", "used_at")

    def __init__(self, requests, tokens, now):
        self.requests = requests
        self.tokens = tokens
        self.others: dict[str, tuple] | None = None
        self.used_at = now


class Limits:
    """Decides whether an organisation may send a request now.

    :param config: :class:`AdmissionConfig`
    """

    __slots__ = ("_config", "_organisations", "_nodes", "_states", "_heard", "_report_s")

    def __init__(self, config: AdmissionConfig):
        self._config = config
        self._organisations: dict[str, Organisation] = {}
        self._nodes = 1
        self._states: dict[str, _State] = {}
        self._heard: dict[str, tuple[float, int]] = {}
        self._report_s = config.report_s

    def update(self, organisations: dict, nodes: int, report_s: float) -> None:
        """Set the rules, the number of nodes and the interval of reports.

        State of organisations whose limits changed or that are gone is dropped.
        """
        for name in list(self._states):
            if organisations.get(name) != self._organisations.get(name):
                del self._states[name]
        self._organisations = organisations
        self._nodes = max(1, nodes)
        self._report_s = report_s

    def organisation(self, name: str) -> Organisation | None:
        """Return the rules of an organisation, or None."""
        return self._organisations.get(name)

    def coverage(self, now: float) -> float:
        """Return the part of the nodes whose reports are seen, this one included."""
        if self._nodes == 1:
            return 1.0
        oldest = now - self._report_s * REPORTS_VALID
        seen = sum(nodes for at, nodes in self._heard.values() if at >= oldest)
        return min(1.0, (1 + seen) / self._nodes)

    def check(self, request: AdmitRequest, coverage: float, now: float) -> Failure | None:
        """Charge a request to its organisation.

        :returns: None if it may go on, else ``RATE_LIMITED``, ``MODEL_NOT_ALLOWED`` or
            ``WRONG_KEY``. O(1).
        """
        rules = self._organisations.get(request.organisation)
        if rules is None:
            return WRONG_KEY.because(f"organisation {request.organisation} is not known")
        if rules.models and request.model not in rules.models:
            return MODEL_NOT_ALLOWED.because(f"{rules.name} may not use model {request.model}")
        if not rules.requests_per_s and not rules.tokens_per_s:
            return None
        state = self._state(rules, coverage, now)
        state.used_at = now
        waits = []
        for bucket, amount, what in (
            (state.requests, 1.0, "requests"),
            (state.tokens, float(request.tokens), "tokens"),
        ):
            if bucket is not None:
                bucket.refresh(coverage, now)
                bucket.want(amount)
                waits.append((bucket.wait(amount, coverage), what, bucket.rate))
        longest, what, limit = max(waits)
        if longest > 0:
            return RATE_LIMITED.because(
                f"{rules.name} is over its limit of {limit:g} {what} a second",
                retry_after=round(longest, 3),
                limit=what,
            )
        if state.requests is not None:
            state.requests.take(1.0)
        if state.tokens is not None:
            state.tokens.take(float(request.tokens))
        return None

    def settle(self, organisation: str, tokens: float, requests: float = 0.0) -> None:
        """Charge what goes beyond the charge at admission; negative numbers give back."""
        state = self._states.get(organisation)
        if state is None:
            return
        if state.tokens is not None and tokens:
            state.tokens.take(tokens)
        if state.requests is not None and requests:
            state.requests.take(requests)

    def usage(self, now: float, least: float = 0.01) -> list[Usage]:
        """Return the rates on this node of organisations with limits; forget idle ones.

        :param least: rate below which an organisation is left out
        """
        found = []
        for name, state in list(self._states.items()):
            if now - state.used_at > self._config.forget_s:
                del self._states[name]
                continue
            rates = []
            for bucket in (state.requests, state.tokens):
                if bucket is None:
                    rates.append((0.0, 0.0))
                    continue
                bucket.refresh(self.coverage(now), now)
                rates.append((bucket.granted, bucket.wanted))
            (requests, wanted_requests), (tokens, wanted_tokens) = rates
            if max(wanted_requests, wanted_tokens) >= least:
                found.append(Usage(name, requests, tokens, wanted_requests, wanted_tokens))
        return found

    def absorb(self, node: str, usages, now: float, nodes: int = 1) -> None:
        """Take in the rates of another node, or of ``nodes`` others under one name."""
        self._heard[node] = now, nodes
        coverage = self.coverage(now)
        until = now + self._report_s * REPORTS_VALID
        for usage in usages:
            rules = self._organisations.get(usage.organisation)
            if rules is None or not (rules.requests_per_s or rules.tokens_per_s):
                continue
            state = self._state(rules, coverage, now)
            if state.others is None:
                state.others = {}
            state.others[node] = (usage, until)
            for name, (_, valid) in list(state.others.items()):
                if valid < now:
                    del state.others[name]
            reports = [report for report, _ in state.others.values()]
            if state.requests is not None:
                state.requests.refresh(coverage, now)
                granted = sum(report.requests for report in reports)
                wanted = sum(report.wanted_requests for report in reports)
                state.requests.set_others(granted, wanted, until)
            if state.tokens is not None:
                state.tokens.refresh(coverage, now)
                granted = sum(report.tokens for report in reports)
                wanted = sum(report.wanted_tokens for report in reports)
                state.tokens.set_others(granted, wanted, until)

    def _state(self, rules: Organisation, coverage: float, now: float) -> _State:
        state = self._states.get(rules.name)
        if state is None:
            requests = self._bucket(rules.requests_per_s, coverage, now)
            tokens = self._bucket(rules.tokens_per_s, coverage, now)
            state = self._states[rules.name] = _State(requests, tokens, now)
        return state

    def _bucket(self, rate: float, coverage: float, now: float) -> SharedBucket | None:
        if not rate:
            return None
        config = self._config
        burst = max(rate * config.burst_s, config.least_burst)
        debt = rate * config.most_debt_s
        return SharedBucket(rate, burst, coverage, config.demand_window_s, debt, now)
