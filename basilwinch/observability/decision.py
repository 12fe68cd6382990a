"""One log line and one counter for each routing or placement decision."""

import prometheus_client
import structlog

__all__ = ["DecisionLog"]


class DecisionLog:
    """Writes decisions to the log and counts them.

    :param registry: registry of the counter
    :param write_lines: whether to write log lines; benchmarks disable them
    """

    __slots__ = ("_counter", "_log", "write_lines")

    def __init__(self, registry: prometheus_client.CollectorRegistry, write_lines: bool = True):
        self._counter = prometheus_client.Counter(
            "basilwinch_decisions",
            "Decisions by kind and outcome",
            ["kind", "outcome"],
            registry=registry,
        )
        self._log = structlog.get_logger("decision")
        self.write_lines = write_lines

    @classmethod
    def for_benchmark(cls) -> "DecisionLog":
        """Return a decision log that only counts."""
        return cls(prometheus_client.CollectorRegistry(), write_lines=False)

    def record(self, kind: str, outcome: str, reason: str, **fields) -> None:
        """Record a decision.

        :param kind: kind of decision, e.g. ``route``, ``admit``, ``retry``, ``place``
        :param outcome: what was chosen; it is a metric label, so it must have few distinct values
        :param reason: why it was chosen
        :param fields: further values for the log line, such as candidates, ids and scores
        """
        self._counter.labels(kind, outcome).inc()
        if self.write_lines:
            self._log.info("decision", kind=kind, outcome=outcome, reason=reason, **fields)
