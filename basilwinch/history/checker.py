"""Checkers of the seven invariants, independent of the code under test."""

from collections import Counter, defaultdict

from basilwinch.history.event import (
    Answered,
    AttemptSent,
    History,
    Invoked,
    LayersRan,
    NoteAccepted,
    NoteApplied,
    OrderRan,
    Outcome,
    ServerLeaving,
    ServerReturned,
    ServerStopped,
    TokenDelivered,
    Violation,
    VmStarted,
    VmStopped,
)

__all__ = ["CHECKERS", "check_history"]

# I5: time until nodes stop sending to a leaving server. I7: time until a note is in effect on all
# VMs.
LEAVING_LIMIT_S = 3.0
PROPAGATION_LIMIT_S = 3.0


def check_history(history: History) -> list[Violation]:
    """Check all invariants on a history.

    :param history: history of one run
    :returns: violations ordered by time, empty if every invariant holds
    """
    found = [violation for check in CHECKERS.values() for violation in check(history)]
    return sorted(found, key=lambda violation: violation.time)


def check_layers(history: History) -> list[Violation]:
    """I1: for each token, every layer runs exactly once and in order."""
    found = []
    for token in history.of(TokenDelivered):
        span_error = _describe_span_error(token.spans, token.layers)
        if span_error:
            found.append(Violation("I1", token.time, f"{_describe_token(token)}: {span_error}"))
    found += _check_server_layers(history)
    return found


def _describe_span_error(spans, layers: int) -> str:
    expected = 0
    for server, first, end in spans:
        if first != expected or end <= first:
            return f"{server} ran layers [{first}, {end}), expected a start at layer {expected}"
        expected = end
    return "" if expected == layers else f"ran {expected} of {layers} layers"


def _describe_token(token) -> str:
    return f"token {token.position} of {token.request} attempt {token.attempt}"


def _check_server_layers(history: History) -> list[Violation]:
    """Compare the layers that servers report with the spans in the frames."""
    ran = defaultdict(list)
    for event in history.of(LayersRan):
        ran[event.request, event.attempt, event.position].append(event)
    if not ran:
        return []
    found = []
    for token in history.of(TokenDelivered):
        events = ran[token.request, token.attempt, token.position]
        seen = [(event.server, event.first, event.end) for event in events]
        if seen != [tuple(span) for span in token.spans]:
            reason = f"{_describe_token(token)}: servers ran {seen}, frame has {token.spans}"
            found.append(Violation("I1", token.time, reason))
    return found


def check_responses(history: History) -> list[Violation]:
    """I2: a caller gets the complete response to its own request, each token once."""
    found = []
    expected = {event.request: event.expected for event in history.of(Invoked)}
    for answer in history.of(Answered):
        if answer.outcome is not Outcome.COMPLETE:
            continue
        if answer.request not in expected:
            found.append(
                Violation("I2", answer.time, f"answer to {answer.request}, which was never sent")
            )
        elif answer.content != expected[answer.request]:
            found.append(
                Violation(
                    "I2",
                    answer.time,
                    f"wrong response to {answer.request}: got {answer.content}, "
                    f"expected {expected[answer.request]}",
                )
            )
    for answer in _find_repeated_answers(history):
        found.append(Violation("I2", answer.time, f"second answer to {answer.request}"))
    positions = defaultdict(int)
    for token in history.of(TokenDelivered):
        if token.position != positions[token.request]:
            reason = f"{_describe_token(token)}: expected position {positions[token.request]}"
            found.append(Violation("I2", token.time, reason))
        positions[token.request] = token.position + 1
    return found


def _find_repeated_answers(history: History) -> list[Answered]:
    """Return the answers in excess of one per invocation."""
    invoked = Counter(event.request for event in history.of(Invoked))
    repeated = []
    for answer in history.of(Answered):
        invoked[answer.request] -= 1
        if invoked[answer.request] < 0:
            repeated.append(answer)
    return repeated


def check_orders_not_run(history: History) -> list[Violation]:
    """I3: an order that is reported to its caller as not run never runs."""
    ran = {event.order for event in history.of(OrderRan)}
    return [
        Violation("I3", answer.time, f"{answer.request} was reported as not run, but it ran")
        for answer in history.of(Answered)
        if answer.outcome is Outcome.NOT_RUN and answer.request in ran
    ]


def check_orders_at_most_once(history: History) -> list[Violation]:
    """I4: each order runs at most once."""
    seen, found = set(), []
    for event in history.of(OrderRan):
        if event.order in seen:
            found.append(Violation("I4", event.time, f"{event.order} ran again on {event.server}"))
        seen.add(event.order)
    return found


def check_leaving_servers(history: History) -> list[Violation]:
    """I5: a leaving server receives no new request after ``LEAVING_LIMIT_S``."""
    changes = history.of(ServerLeaving) + history.of(ServerReturned)
    by_server = defaultdict(list)
    for change in sorted(changes, key=lambda change: change.time):
        by_server[change.server].append(change)
    found = []
    for sent in history.of(AttemptSent):
        before = [c for c in by_server[sent.server] if c.time <= sent.time]
        if not before or isinstance(before[-1], ServerReturned):
            continue
        late_s = sent.time - before[-1].time
        if late_s > LEAVING_LIMIT_S:
            reason = (
                f"{sent.request} was sent to {sent.server} {late_s:.2f} s after it began to leave"
            )
            found.append(Violation("I5", sent.time, reason))
    return found


def check_graceful_shutdowns(history: History) -> list[Violation]:
    """I6: a graceful shutdown of a server interrupts no request in progress on it."""
    stops = [stop for stop in history.of(ServerStopped) if stop.graceful]
    ends = {answer.request: answer for answer in history.of(Answered)}
    found = []
    for stop in stops:
        for request in sorted(
            {s.request for s in history.of(AttemptSent) if s.server == stop.server}
        ):
            answer = ends.get(request)
            if answer is None:
                reason = f"{request}, sent to {stop.server}, has no answer"
                found.append(Violation("I6", stop.time, reason))
            elif answer.time >= stop.time and answer.outcome is Outcome.FAILED:
                reason = f"{request} failed after {stop.server} stopped"
                found.append(Violation("I6", answer.time, reason))
    return found


def check_notes(history: History) -> list[Violation]:
    """I7: an accepted note takes effect completely on every VM in time and never reverts."""
    return _check_reverts(history) + _check_digests(history) + _check_propagation(history)


def _check_reverts(history: History) -> list[Violation]:
    latest_revisions, found = {}, []
    for event in history.of(NoteApplied):
        if event.revision < latest_revisions.get(event.vm, 0):
            reason = (
                f"{event.vm} went from revision {latest_revisions[event.vm]} to {event.revision}"
            )
            found.append(Violation("I7", event.time, reason))
        latest_revisions[event.vm] = event.revision
    return found


def _check_digests(history: History) -> list[Violation]:
    accepted = {note.revision: note.digest for note in history.of(NoteAccepted)}
    return [
        Violation(
            "I7",
            event.time,
            f"{event.vm} has digest {event.digest} at revision {event.revision}, "
            "expected the digest of the accepted note",
        )
        for event in history.of(NoteApplied)
        if accepted.get(event.revision) != event.digest
    ]


def _check_propagation(history: History) -> list[Violation]:
    changes = sorted(history.of(VmStarted) + history.of(VmStopped), key=lambda change: change.time)
    found = []
    for note in history.of(NoteAccepted):
        limit = note.time + PROPAGATION_LIMIT_S
        for vm in _find_continuously_up_vms(changes, note.time, limit):
            done = any(
                event.vm == vm and event.revision >= note.revision and event.time <= limit
                for event in history.of(NoteApplied)
            )
            if not done:
                reason = (
                    f"{vm} did not apply revision {note.revision} within {PROPAGATION_LIMIT_S:g} s"
                )
                found.append(Violation("I7", limit, reason))
    return found


def _find_continuously_up_vms(changes, start: float, end: float) -> list[str]:
    """Return the VMs that were up all the time from ``start`` to ``end``."""
    up = set()
    for change in changes:
        if change.time > end:
            break
        if isinstance(change, VmStopped):
            up.discard(change.vm)
        elif change.time <= start:
            up.add(change.vm)
    return sorted(up)


CHECKERS = {
    "I1": check_layers,
    "I2": check_responses,
    "I3": check_orders_not_run,
    "I4": check_orders_at_most_once,
    "I5": check_leaving_servers,
    "I6": check_graceful_shutdowns,
    "I7": check_notes,
}
