"""Limits of all organisations on one node."""

import math

from basilwinch.admission.bucket import SharedBucket
from basilwinch.admission.config import AdmissionConfig, AdmitRequest, Usage
from basilwinch.catalog import Organisation
from basilwinch.exception import MODEL_NOT_ALLOWED, RATE_LIMITED, WRONG_KEY, Failure

__all__ = ["Limits"]

# Reports stay valid for this many report intervals, so that two lost reports in a row do no harm.
REPORT_VALIDITY_INTERVALS = 3.5
# A node whose smoothed rates are below this is left out of the sums.
MIN_PEER_RATE_PER_S = 0.005


class _OrganisationState:
    """Buckets of one organisation and the usage of the other nodes; created on first use."""

    __slots__ = ("buckets", "peer_usages", "last_used_at")

    def __init__(self, requests, tokens, now):
        self.buckets = (requests, tokens)
        self.peer_usages: dict[str, tuple] | None = None
        self.last_used_at = now


class Limits:
    """Decides whether an organisation may send a request now.

    :param config: :class:`AdmissionConfig`
    """

    __slots__ = (
        "_config",
        "_organisations",
        "_nodes",
        "_states",
        "_peer_reports",
        "_organisations_by_peer",
        "_report_interval_s",
        "_collected_at",
    )

    def __init__(self, config: AdmissionConfig):
        self._config = config
        self._organisations: dict[str, Organisation] = {}
        self._nodes = 1
        self._states: dict[str, _OrganisationState] = {}
        self._peer_reports: dict[str, tuple[float, int]] = {}
        self._organisations_by_peer: dict[str, tuple] = {}
        self._report_interval_s = config.min_report_interval_s
        self._collected_at = 0.0

    def update(self, organisations: dict, nodes: int, report_interval_s: float) -> None:
        """Set the rules, the number of nodes and the seconds between reports.

        The state of organisations that were changed or removed is dropped.
        """
        for name in list(self._states):
            if organisations.get(name) != self._organisations.get(name):
                del self._states[name]
        self._organisations = organisations
        self.set_nodes(nodes, report_interval_s)

    def set_nodes(self, nodes: int, report_interval_s: float) -> None:
        """Set the number of nodes and the seconds between reports."""
        self._nodes = max(1, nodes)
        self._report_interval_s = report_interval_s

    def forget_peer(self, node: str) -> None:
        """Drop the reports of a node that has ended."""
        self._peer_reports.pop(node, None)
        self._organisations_by_peer.pop(node, None)

    def set_request_rate(self, name: str, requests_per_s: float, now: float) -> None:
        """Add a limit of requests, or change its rate and keep what has been used of it."""
        rules = self._organisations.get(name) or Organisation(name, "")
        self._organisations[name] = rules.replace(requests_per_s=requests_per_s)
        state = self._states.get(name)
        if state is not None and state.buckets[0] is not None:
            bucket = state.buckets[0]
            bucket.refresh(self.compute_coverage(now), now)
            bucket.set_rate(requests_per_s, *self._compute_bounds(requests_per_s))

    def remove(self, name: str) -> None:
        """Remove the limits of an organisation, with their state."""
        self._organisations.pop(name, None)
        self._states.pop(name, None)

    def check_request(self, name: str, now: float) -> bool:
        """Return whether one request would be allowed now; one that is not counts as demand."""
        rules = self._organisations.get(name)
        if rules is None or not rules.requests_per_s:
            return True
        coverage = self.compute_coverage(now)
        state = self._get_state(rules, coverage, now)
        state.last_used_at = now
        bucket = state.buckets[0]
        bucket.refresh(coverage, now)
        if bucket.compute_wait(1.0, coverage) <= 0:
            return True
        bucket.record_demand(1.0)
        return False

    def organisation(self, name: str) -> Organisation | None:
        """Return the rules of an organisation, or None."""
        return self._organisations.get(name)

    def compute_coverage(self, now: float) -> float:
        """Return the fraction of the nodes whose reports arrive, this one included, 0 to 1."""
        if self._nodes == 1:
            return 1.0
        oldest_valid = now - self._report_interval_s * REPORT_VALIDITY_INTERVALS
        seen = sum(nodes for at, nodes in self._peer_reports.values() if at >= oldest_valid)
        return min(1.0, (1 + seen) / self._nodes)

    def charge(self, request: AdmitRequest, coverage: float, now: float) -> Failure | None:
        """Charge a request to its organisation if the limits allow it.

        :returns: None if the request is allowed, else ``RATE_LIMITED``, ``MODEL_NOT_ALLOWED`` or
            ``WRONG_KEY``. O(1).
        """
        rules = self._organisations.get(request.organisation)
        if rules is None:
            return WRONG_KEY.because(f"organisation {request.organisation} is not known")
        if rules.models and request.model not in rules.models:
            return MODEL_NOT_ALLOWED.because(f"{rules.name} may not use model {request.model}")
        if not rules.requests_per_s and not rules.tokens_per_s:
            return None
        state = self._get_state(rules, coverage, now)
        state.last_used_at = now
        waits = []
        amounts = (1.0, float(request.tokens))
        for bucket, amount, unit in zip(
            state.buckets, amounts, ("requests", "tokens"), strict=True
        ):
            if bucket is not None:
                bucket.refresh(coverage, now)
                bucket.record_demand(amount)
                waits.append((bucket.compute_wait(amount, coverage), unit, bucket.rate))
        wait_s, unit, limit = max(waits)
        if wait_s > 0:
            return RATE_LIMITED.because(
                f"{rules.name} is over its limit of {limit:g} {unit} per second",
                retry_after=round(wait_s, 3),
                limit=unit,
            )
        for bucket, amount in zip(state.buckets, amounts, strict=True):
            if bucket is not None:
                bucket.take(amount)
        return None

    def adjust_charge(self, organisation: str, tokens: float, requests: float = 0.0) -> None:
        """Correct the charge made at admission; negative amounts are returned."""
        state = self._states.get(organisation)
        if state is None:
            return
        for bucket, amount in zip(state.buckets, (requests, tokens), strict=True):
            if bucket is not None and amount:
                bucket.take(amount)

    def collect_usage(self, now: float) -> list[Usage]:
        """Return the rates of organisations with limits since the last call; drop idle state."""
        interval_s = max(now - self._collected_at, 1e-3)
        self._collected_at = now
        usages = []
        for name, state in list(self._states.items()):
            if now - state.last_used_at > self._config.idle_expiry_s:
                del self._states[name]
                continue
            rates = [
                bucket.collect_rates(interval_s) if bucket else (0.0, 0.0)
                for bucket in state.buckets
            ]
            (requests, wanted_requests), (tokens, wanted_tokens) = rates
            if wanted_requests or wanted_tokens or tokens:
                usage = Usage(name, requests, tokens, wanted_requests, wanted_tokens, interval_s)
                usages.append(usage)
        return usages

    def record_peer_usage(self, node: str, usages, now: float, nodes: int = 1) -> None:
        """Record the rates that another node reported, or those of ``nodes`` nodes under one name.

        An organisation that is missing from the report had no requests there in its interval.
        """
        last_report_at = self._peer_reports.get(node, (now, 1))[0]
        self._peer_reports[node] = now, nodes
        coverage = self.compute_coverage(now)
        interval_s = max((usage.interval_s for usage in usages), default=0.0)
        if not usages and nodes == 1:
            # An empty report of a single node covers the time since its previous report.
            interval_s = now - last_report_at
        by_name = {usage.organisation: usage for usage in usages}
        missing = [
            name
            for name in self._organisations_by_peer.get(node, ())
            if name not in by_name
            and (state := self._states.get(name))
            and node in (state.peer_usages or ())
        ]
        self._organisations_by_peer[node] = (*missing, *by_name)
        for name in missing:
            zero_usage = Usage(name, 0.0, 0.0, interval_s=interval_s)
            self._update_peer(self._states[name], node, zero_usage, coverage, now)
        for name, usage in by_name.items():
            rules = self._organisations.get(name)
            if rules is not None and (rules.requests_per_s or rules.tokens_per_s):
                state = self._get_state(rules, coverage, now)
                self._update_peer(state, node, usage, coverage, now)

    def _update_peer(self, state, node, usage, coverage, now) -> None:
        if state.peer_usages is None:
            state.peer_usages = {}
        previous_entry = state.peer_usages.pop(node, None)
        if usage.interval_s:
            self._correct_levels(state, previous_entry, usage, coverage, now)
            # The rates of a short interval vary widely; demand shares and assumed rates must not.
            smoothing_weight = 1 - math.exp(-usage.interval_s / self._demand_window_s())
            previous = previous_entry[0] if previous_entry else usage
            usage = usage.replace(
                **{
                    name: getattr(previous, name)
                    + smoothing_weight * (getattr(usage, name) - getattr(previous, name))
                    for name in ("requests", "tokens", "wanted_requests", "wanted_tokens")
                }
            )
        if max(usage.wanted_requests, usage.wanted_tokens, usage.tokens) > MIN_PEER_RATE_PER_S:
            state.peer_usages[node] = (usage, now)
        self._update_others_rates(state, coverage, now)

    def _correct_levels(self, state, previous_entry, usage, coverage, now) -> None:
        """Replace the usage assumed for the interval of a report by the usage counted in it.

        Otherwise the errors of the assumed rates add up, and the estimated level drifts away from
        the real one.
        """
        if not usage.interval_s:
            return
        previous, at = previous_entry or (usage.replace(requests=0.0, tokens=0.0), now)
        assumed_s = min(
            now - at, usage.interval_s, self._report_interval_s * REPORT_VALIDITY_INTERVALS
        )
        counted_rates = (usage.requests, usage.tokens)
        assumed_rates = (previous.requests, previous.tokens)
        for bucket, assumed_rate, counted_rate in zip(
            state.buckets, assumed_rates, counted_rates, strict=True
        ):
            if bucket is not None:
                bucket.refresh(coverage, now)
                bucket.correct_level(assumed_rate * assumed_s - counted_rate * usage.interval_s)

    def _update_others_rates(self, state: _OrganisationState, coverage: float, now: float) -> None:
        """Add up the rates of the other nodes."""
        validity_s = self._report_interval_s * REPORT_VALIDITY_INTERVALS
        for name, (_, at) in list(state.peer_usages.items()):
            if now - at > validity_s:
                del state.peer_usages[name]
        usages = [usage for usage, _ in state.peer_usages.values()]
        sums = (
            (sum(u.requests for u in usages), sum(u.wanted_requests for u in usages)),
            (sum(u.tokens for u in usages), sum(u.wanted_tokens for u in usages)),
        )
        for bucket, (granted, demand) in zip(state.buckets, sums, strict=True):
            if bucket is not None:
                bucket.refresh(coverage, now)
                bucket.set_others_rates(granted, demand, now + validity_s)

    def _demand_window_s(self) -> float:
        return max(self._config.demand_window_s, self._report_interval_s)

    def _get_state(self, rules: Organisation, coverage: float, now: float) -> _OrganisationState:
        state = self._states.get(rules.name)
        if state is None:
            requests = self._make_bucket(rules.requests_per_s, coverage, now)
            tokens = self._make_bucket(rules.tokens_per_s, coverage, now)
            state = self._states[rules.name] = _OrganisationState(requests, tokens, now)
        return state

    def _make_bucket(self, rate: float, coverage: float, now: float) -> SharedBucket | None:
        if not rate:
            return None
        burst, max_debt = self._compute_bounds(rate)
        return SharedBucket(
            rate,
            burst,
            coverage,
            self._demand_window_s(),
            max_debt,
            now,
            self._config.min_level,
        )

    def _compute_bounds(self, rate: float) -> tuple[float, float]:
        """Return the burst and the maximum debt of a limit."""
        config = self._config
        return max(rate * config.burst_s, config.min_burst), rate * config.max_debt_s
