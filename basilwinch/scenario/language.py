"""Parser of the scenario language, in which each line is one step."""

import shlex

from basilwinch.exception import SCENARIO_MALFORMED, Failure
from basilwinch.record import Record

__all__ = ["Pattern", "Scenario", "Step", "parse_scenario"]

_FLOAT_ARGUMENTS = ("SECONDS", "RATE", "FACTOR", "SHARE")
_INTEGER_ARGUMENTS = ("COUNT", "TOKENS")


class Pattern(Record):
    """Syntax of one kind of step.

    Lower-case words are literal, upper-case words are arguments: ``COUNT`` and ``TOKENS`` accept
    integers, ``SECONDS``, ``RATE``, ``FACTOR`` and ``SHARE`` numbers, all others any text.

    :param words: tuple of words
    :param action: function that carries the step out, called with the
        :class:`~basilwinch.scenario.actions.ScenarioContext` and the arguments
    """

    __slots__ = ("words", "action")

    def match(self, words: list[str]) -> list | None:
        """Return the converted arguments if the words match this pattern, else None.

        >>> Pattern(("kill", "server", "NAME"), None).match(["kill", "server", "s1"])
        ['s1']
        >>> Pattern(("wait", "SECONDS"), None).match(["wait", "long"]) is None
        True
        """
        if len(words) != len(self.words):
            return None
        arguments = []
        for expected, word in zip(self.words, words, strict=True):
            if not expected.isupper():
                if word != expected:
                    return None
                continue
            value = _convert(expected, word)
            if value is None:
                return None
            arguments.append(value)
        return arguments


class Step(Record):
    """One step of a scenario.

    :param line: line number
    :param text: text of the line
    :param pattern: :class:`Pattern` that the line matches
    :param arguments: tuple of converted arguments
    """

    __slots__ = ("line", "text", "pattern", "arguments")


class Scenario(Record):
    """Parsed scenario; ``title`` is the text of its first comment line."""

    __slots__ = ("title", "steps")


def parse_scenario(text: str, patterns) -> "Scenario | Failure":
    """Parse a scenario.

    :param text: content of the file
    :param patterns: all :class:`Pattern` values of the language, in order of preference
    :returns: scenario, or ``SCENARIO_MALFORMED`` with the line and the expected syntax
    """
    title, steps = "", []
    for number, line in enumerate(text.splitlines(), start=1):
        if line.startswith("#") and not title:
            title = line.lstrip("# ").strip()
        try:
            words = shlex.split(line, comments=True)
        except ValueError as error:
            return SCENARIO_MALFORMED.because(f"line {number}: {error}", line=number)
        if not words:
            continue
        step = _match_step(number, line, words, patterns)
        if isinstance(step, Failure):
            return step
        steps.append(step)
    return Scenario(title, tuple(steps))


def _match_step(number: int, line: str, words: list[str], patterns) -> Step | Failure:
    for pattern in patterns:
        arguments = pattern.match(words)
        if arguments is not None:
            return Step(number, line.strip(), pattern, tuple(arguments))
    syntaxes = [" ".join(pattern.words) for pattern in patterns if pattern.words[0] == words[0]]
    if not syntaxes:
        allowed = ", ".join(sorted({pattern.words[0] for pattern in patterns}))
        reason = f"line {number}: unknown word {words[0]!r}; expected one of {allowed}"
    else:
        reason = f"line {number}: {line.strip()!r}; expected {' or '.join(map(repr, syntaxes))}"
    return SCENARIO_MALFORMED.because(reason, line=number)


def _convert(argument: str, word: str):
    try:
        if argument in _INTEGER_ARGUMENTS:
            return int(word)
        if argument in _FLOAT_ARGUMENTS:
            return float(word)
    except ValueError:
        return None
    return word
