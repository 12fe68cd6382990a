"""Limits of all organisations on one node."""

import math

from basilwinch.admission.bucket import SharedBucket
from basilwinch.admission.config import AdmissionConfig, AdmitRequest, Usage
from basilwinch.catalog import Organisation
from basilwinch.exception import MODEL_NOT_ALLOWED, RATE_LIMITED, WRONG_KEY, Failure

__all__ = ["Limits"]

# Reports stay valid for this many report intervals, so that two lost ones do no harm.
REPORTS_VALID = 3.5
# A node whose smoothed rate fell below this is left out of the sums.
LEAST_RATE = 0.005


class _State:
    """Limits of one organisation and the rates of the other nodes; created on first use."""

    __slots__ = ("buckets", "others", "used_at")

    def __init__(self, requests, tokens, now):
        self.buckets = (requests, tokens)
        self.others: dict[str, tuple] | None = None
        self.used_at = now


class Limits:
    """Decides whether an organisation may send a request now.

    :param config: :class:`AdmissionConfig`
    """

    __slots__ = (
        "_config",
        "_organisations",
        "_nodes",
        "_states",
        "_heard",
        "_reported",
        "_report_s",
        "_counted_at",
    )

    def __init__(self, config: AdmissionConfig):
        self._config = config
        self._organisations: dict[str, Organisation] = {}
        self._nodes = 1
        self._states: dict[str, _State] = {}
        self._heard: dict[str, tuple[float, int]] = {}
        self._reported: dict[str, tuple] = {}
        self._report_s = config.report_s
        self._counted_at = 0.0

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
        amounts = (1.0, float(request.tokens))
        for bucket, amount, what in zip(
            state.buckets, amounts, ("requests", "tokens"), strict=True
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
        for bucket, amount in zip(state.buckets, amounts, strict=True):
            if bucket is not None:
                bucket.take(amount)
        return None

    def settle(self, organisation: str, tokens: float, requests: float = 0.0) -> None:
        """Charge what goes beyond the charge at admission; negative numbers give back."""
        state = self._states.get(organisation)
        if state is None:
            return
        for bucket, amount in zip(state.buckets, (requests, tokens), strict=True):
            if bucket is not None and amount:
                bucket.take(amount)

    def usage(self, now: float) -> list[Usage]:
        """Return the rates since the last call of organisations with limits; forget idle ones."""
        seconds = max(now - self._counted_at, 1e-3)
        self._counted_at = now
        found = []
        for name, state in list(self._states.items()):
            if now - state.used_at > self._config.forget_s:
                del self._states[name]
                continue
            rates = [bucket.count(seconds) if bucket else (0.0, 0.0) for bucket in state.buckets]
            (requests, wanted_requests), (tokens, wanted_tokens) = rates
            if wanted_requests or wanted_tokens or tokens:
                usage = Usage(name, requests, tokens, wanted_requests, wanted_tokens, seconds)
                found.append(usage)
        return found

    def absorb(self, node: str, usages, now: float, nodes: int = 1) -> None:
        """Take in the rates of another node, or of ``nodes`` others under one name.

        An organisation that is missing in the report is not used there any more.
        """
        heard_at = self._heard.get(node, (now, 1))[0]
        self._heard[node] = now, nodes
        coverage = self.coverage(now)
        seconds = max((usage.seconds for usage in usages), default=0.0)
        if not usages and nodes == 1:
            # An empty report of one node covers the time since its last one.
            seconds = now - heard_at
        by_name = {usage.organisation: usage for usage in usages}
        missing = [
            name
            for name in self._reported.get(node, ())
            if name not in by_name
            and (state := self._states.get(name))
            and node in (state.others or ())
        ]
        self._reported[node] = (*missing, *by_name)
        for name in missing:
            silent = Usage(name, 0.0, 0.0, seconds=seconds)
            self._take_in(self._states[name], node, silent, coverage, now)
        for name, usage in by_name.items():
            rules = self._organisations.get(name)
            if rules is not None and (rules.requests_per_s or rules.tokens_per_s):
                state = self._state(rules, coverage, now)
                self._take_in(state, node, usage, coverage, now)

    def _take_in(self, state, node, usage, coverage, now) -> None:
        if state.others is None:
            state.others = {}
        last = state.others.pop(node, None)
        if usage.seconds:
            self._correct(state, last, usage, coverage, now)
            # The rates of a short interval jump; the shares and the assumed rates must not.
            part = 1 - math.exp(-usage.seconds / self._window())
            former = last[0] if last else usage
            usage = usage.replace(
                **{
                    name: getattr(former, name)
                    + part * (getattr(usage, name) - getattr(former, name))
                    for name in ("requests", "tokens", "wanted_requests", "wanted_tokens")
                }
            )
        if max(usage.wanted_requests, usage.wanted_tokens, usage.tokens) > LEAST_RATE:
            state.others[node] = (usage, now)
        self._apply(state, coverage, now)

    def _correct(self, state, last, usage, coverage, now) -> None:
        """Replace what was assumed for the interval of a report by what was counted in it.

        Without this, the errors of the assumed rates add up, and the estimated level walks away
        from the real one.
        """
        if not usage.seconds:
            return
        former, at = last or (usage.replace(requests=0.0, tokens=0.0), now)
        assumed_s = min(now - at, usage.seconds, self._report_s * REPORTS_VALID)
        counted = (usage.requests, usage.tokens)
        assumed = (former.requests, former.tokens)
        for bucket, was, real in zip(state.buckets, assumed, counted, strict=True):
            if bucket is not None:
                bucket.refresh(coverage, now)
                bucket.correct(was * assumed_s - real * usage.seconds)

    def _apply(self, state: _State, coverage: float, now: float) -> None:
        """Add up the rates of the other nodes."""
        valid = self._report_s * REPORTS_VALID
        for name, (_, at) in list(state.others.items()):
            if now - at > valid:
                del state.others[name]
        reports = [report for report, _ in state.others.values()]
        sums = (
            (sum(r.requests for r in reports), sum(r.wanted_requests for r in reports)),
            (sum(r.tokens for r in reports), sum(r.wanted_tokens for r in reports)),
        )
        for bucket, (granted, wanted) in zip(state.buckets, sums, strict=True):
            if bucket is not None:
                bucket.refresh(coverage, now)
                bucket.set_others(granted, wanted, now + valid)

    def _window(self) -> float:
        return max(self._config.demand_window_s, self._report_s)

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
        return SharedBucket(rate, burst, coverage, self._window(), debt, now)
