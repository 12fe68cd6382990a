"""Checkers of the seven invariants; they know nothing of the router's code."""

from collections import Counter, defaultdict

from basilwinch.history.event import (
    Answered,
    History,
    Invoked,
    LayersRan,
    NoteAccepted,
    NoteApplied,
    OrderRan,
    Outcome,
    Sent,
    ServerLeaving,
    ServerReturned,
    ServerStopped,
    TokenDelivered,
    Violation,
    VmStarted,
    VmStopped,
)

__all__ = ["CHECKERS", "check_history"]

# Limits of the invariants in seconds.
LEAVING_LIMIT_S = 3.0
SPREAD_LIMIT_S = 3.0


def check_history(history: History) -> list[Violation]:
    """Run all checkers over a history.

    :param history: the history of one run
    :returns: all violations, ordered by time; empty if every invariant holds
    """
    found = [violation for check in CHECKERS.values() for violation in check(history)]
    return sorted(found, key=lambda violation: violation.time)


def check_layers(history: History) -> list[Violation]:
    """I1: for every token every layer ran exactly once, in order."""
    found = []
    for token in history.of(TokenDelivered):
        problem = _find_span_problem(token.spans, token.layers)
        if problem:
            found.append(Violation("I1", token.time, f"{_name_token(token)}: {problem}"))
    found += _check_ran_layers(history)
    return found


def _find_span_problem(spans, layers: int) -> str:
    expected = 0
    for server, first, end in spans:
        if first != expected or end <= first:
            return f"{server} ran layers {first} to {end}, expected a start at {expected}"
        expected = end
    return "" if expected == layers else f"ran {expected} of {layers} layers"


def _name_token(token) -> str:
    return f"token {token.position} of {token.request} attempt {token.attempt}"


def _check_ran_layers(history: History) -> list[Violation]:
    """Compare what servers saw with the spans that the frames claim."""
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
            reason = f"{_name_token(token)}: servers ran {seen}"
            found.append(Violation("I1", token.time, reason))
    return found


def check_responses(history: History) -> list[Violation]:
    """I2: a caller gets the whole response to its own request, each token once."""
    found = []
    expected = {event.request: event.expected for event in history.of(Invoked)}
    for answer in history.of(Answered):
        if answer.outcome is not Outcome.COMPLETE:
            continue
        if answer.request not in expected:
            found.append(Violation("I2", answer.time, f"{answer.request} was never sent"))
        elif answer.content != expected[answer.request]:
            found.append(Violation("I2", answer.time, f"wrong response to {answer.request}"))
    for answer in _find_repeated_answers(history):
        found.append(Violation("I2", answer.time, f"second answer to {answer.request}"))
    positions = defaultdict(int)
    for token in history.of(TokenDelivered):
        if token.position != positions[token.request]:
            reason = f"{_name_token(token)}: expected {positions[token.request]}"
            found.append(Violation("I2", token.time, reason))
        positions[token.request] = token.position + 1
    return found


def _find_repeated_answers(history: History) -> list[Answered]:
    """Return answers beyond the first one of each invocation."""
    invoked = Counter(event.request for event in history.of(Invoked))
    repeated = []
    for answer in history.of(Answered):
        invoked[answer.request] -= 1
        if invoked[answer.request] < 0:
            repeated.append(answer)
    return repeated


def check_not_run(history: History) -> list[Violation]:
    """I3: an order that a caller was told was not run did not run, before or after."""
    ran = {event.order for event in history.of(OrderRan)}
    return [
        Violation("I3", answer.time, f"{answer.request} was called not run, but it ran")
        for answer in history.of(Answered)
        if answer.outcome is Outcome.NOT_RUN and answer.request in ran
    ]


def check_at_most_once(history: History) -> list[Violation]:
    """I4: an order runs at most once."""
    seen, found = set(), []
    for event in history.of(OrderRan):
        if event.order in seen:
            found.append(Violation("I4", event.time, f"{event.order} ran again on {event.server}"))
        seen.add(event.order)
    return found


def check_leaving(history: History) -> list[Violation]:
    """I5: a leaving server gets no new request after ``LEAVING_LIMIT_S``."""
    changes = history.of(ServerLeaving) + history.of(ServerReturned)
    by_server = defaultdict(list)
    for change in sorted(changes, key=lambda change: change.time):
        by_server[change.server].append(change)
    found = []
    for sent in history.of(Sent):
        before = [c for c in by_server[sent.server] if c.time <= sent.time]
        if not before or isinstance(before[-1], ServerReturned):
            continue
        late_s = sent.time - before[-1].time
        if late_s > LEAVING_LIMIT_S:
            reason = f"{sent.request} went to {sent.server} {late_s:.2f} s after it began to leave"
            found.append(Violation("I5", sent.time, reason))
    return found


def check_graceful(history: History) -> list[Violation]:
    """I6: no request in progress on a server is cut by its graceful shutdown."""
    stops = [stop for stop in history.of(ServerStopped) if stop.graceful]
    ends = {answer.request: answer for answer in history.of(Answered)}
    found = []
    for stop in stops:
        for request in sorted({s.request for s in history.of(Sent) if s.server == stop.server}):
            answer = ends.get(request)
            if answer is None:
                reason = f"{request} on {stop.server} has no answer"
                found.append(Violation("I6", stop.time, reason))
            elif answer.time >= stop.time and answer.outcome is Outcome.FAILED:
                reason = f"{request} failed after {stop.server} stopped"
                found.append(Violation("I6", answer.time, reason))
    return found


def check_notes(history: History) -> list[Violation]:
    """I7: an accepted note is in effect on every VM in time, whole, and never reverts."""
    return _check_reverts(history) + _check_digests(history) + _check_spread(history)


def _check_reverts(history: History) -> list[Violation]:
    held, found = {}, []
    for event in history.of(NoteApplied):
        if event.revision < held.get(event.vm, 0):
            reason = f"{event.vm} went from revision {held[event.vm]} to {event.revision}"
            found.append(Violation("I7", event.time, reason))
        held[event.vm] = event.revision
    return found


def _check_digests(history: History) -> list[Violation]:
    accepted = {note.revision: note.digest for note in history.of(NoteAccepted)}
    return [
        Violation("I7", event.time, f"{event.vm} holds another state at {event.revision}")
        for event in history.of(NoteApplied)
        if accepted.get(event.revision) != event.digest
    ]


def _check_spread(history: History) -> list[Violation]:
    changes = sorted(history.of(VmStarted) + history.of(VmStopped), key=lambda change: change.time)
    found = []
    for note in history.of(NoteAccepted):
        limit = note.time + SPREAD_LIMIT_S
        for vm in _find_steady_vms(changes, note.time, limit):
            done = any(
                event.vm == vm and event.revision >= note.revision and event.time <= limit
                for event in history.of(NoteApplied)
            )
            if not done:
                reason = f"{vm} lacks revision {note.revision} after {SPREAD_LIMIT_S:g} s"
                found.append(Violation("I7", limit, reason))
    return found


def _find_steady_vms(changes, start: float, end: float) -> list[str]:
    """Return the VMs that were up from ``start`` to ``end``."""
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
    "I3": check_not_run,
    "I4": check_at_most_once,
    "I5": check_leaving,
    "I6": check_graceful,
    "I7": check_notes,
}
