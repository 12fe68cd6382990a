"""Checks of limits that contradict each other."""

from collections.abc import Iterator

from basilwinch.lint.draft import Draft, format_time
from basilwinch.lint.finding import Finding
from basilwinch.view import RouteKind

__all__ = ["check_attempts", "check_caller_limits", "check_gap_targets", "check_times"]

# Clients of a stream without a gap target leave after the longer of these two; see
# ``Context.compute_leave_time`` in basilwinch/forward/context.py.
MIN_LEAVE_GAP_S = 2.0
LEAVE_OBJECTIVES = 4


def check_times(draft: Draft) -> Iterator[Finding]:
    """Report time-outs of 0, and objectives above the time-out, which no response can miss."""
    for entry in draft.routes:
        route = entry.value
        if route.timeout_s == 0:
            text = f"route {route.name} answers no request in time: its time-out is 0"
            yield Finding.error("timeout-zero", draft.find_place(entry, "timeout_s"), text)
        elif route.objective_s > route.timeout_s:
            text = (
                f"the objective of route {route.name}, {format_time(route.objective_s)}, is above "
                f"its time-out of {format_time(route.timeout_s)}"
            )
            place = draft.find_place(entry, "objective_s")
            yield Finding.error("objective-above-timeout", place, text)


def check_gap_targets(draft: Draft) -> Iterator[Finding]:
    """Report gap targets and resumption that can't take effect."""
    for entry in draft.routes:
        route = entry.value
        place = draft.find_place(entry, "gap_s")
        if route.kind != RouteKind.STREAMING:
            if route.gap_s:
                text = f"route {route.name} is no stream, so its gap target has no effect"
                yield Finding.warning("gap-target-without-stream", place, text)
            if route.resumable:
                text = f"route {route.name} is no stream, so it never resumes"
                place = draft.find_place(entry, "resumable")
                yield Finding.warning("resumption-without-stream", place, text)
            continue
        wait_s = max(MIN_LEAVE_GAP_S, LEAVE_OBJECTIVES * route.objective_s)
        if route.gap_s > wait_s:
            text = (
                f"the gap target of route {route.name}, {format_time(route.gap_s)}, is longer than "
                f"clients are willing to wait with its objective, {format_time(wait_s)}"
            )
            yield Finding.warning("gap-target-above-wait", place, text)
        if route.gap_s > route.timeout_s:
            text = (
                f"the gap target of route {route.name}, {format_time(route.gap_s)}, is above its "
                f"time-out of {format_time(route.timeout_s)}"
            )
            yield Finding.error("gap-target-above-timeout", place, text)


def check_attempts(draft: Draft) -> Iterator[Finding]:
    """Report numbers of attempts that can't be reached."""
    for entry in draft.routes:
        route = entry.value
        place = draft.find_place(entry, "max_attempts")
        if route.max_attempts == 0:
            text = f"route {route.name} allows no attempt; give at least 1"
            yield Finding.error("attempts-zero", place, text)
        # A request that isn't idempotent runs at most once, whatever the route says.
        if route.kind == RouteKind.NON_IDEMPOTENT and route.max_attempts > 1:
            text = (
                f"route {route.name} is not idempotent: a request runs at most once, whatever the "
                f"{route.max_attempts} attempts"
            )
            yield Finding.warning("attempts-not-idempotent", place, text)
        counts = [draft.server_counts.get(service) for service, _ in route.targets]
        if counts and None not in counts and route.max_attempts > sum(counts):
            text = (
                f"route {route.name} allows {route.max_attempts} attempts, but its services have "
                f"only {sum(counts)} servers"
            )
            yield Finding.warning("attempts-above-servers", place, text)


def check_caller_limits(draft: Draft) -> Iterator[Finding]:
    """Report limits of callers that leave no room for a request, or end one before its time-out.

    The time-out of a stream is left out: its client receives events long before.
    """
    limits = draft.limits
    for field in ("header_bytes", "body_bytes", "header_s", "idle_s"):
        if getattr(limits, field) == 0:
            text = "the limit is 0, so every request that it applies to is refused"
            yield Finding.error("limit-zero", draft.find_limit_place(field), text)
    if limits.header_s > limits.idle_s:
        text = (
            f"a header may take {format_time(limits.header_s)}, but a connection may be idle for "
            f"{format_time(limits.idle_s)} only"
        )
        yield Finding.warning("header-time-above-idle", draft.find_limit_place("header_s"), text)
    for entry in draft.routes:
        route = entry.value
        if route.kind == RouteKind.STREAMING or not 0 < limits.idle_s < route.timeout_s:
            continue
        text = (
            f"the time-out of route {route.name}, {format_time(route.timeout_s)}, is above the "
            f"{format_time(limits.idle_s)} for which a client's connection may be idle"
        )
        place = draft.find_place(entry, "timeout_s")
        yield Finding.warning("timeout-above-idle-limit", place, text)
