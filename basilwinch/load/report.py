"""Latency histograms and error counts of a load run."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from basilwinch.record import Record

__all__ = ["LoadReporter", "Sample"]

# Histograms cover 10 microseconds to 10 minutes; values outside are clamped.
_HISTOGRAM_UNIT_S = 1e-5
_HISTOGRAM_MAX_UNITS = 60_000_000
_HISTOGRAM_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 95.0, 99.0)
OK = "ok"


class Sample(Record):
    """Outcome and times of one call.

    :param kind: ``stream`` or ``order``
    :param code: ``ok`` or a failure code
    :param total_s: time to the end of the response in seconds
    :param first_token_s: time to the first token in seconds, None without a token
    :param token_gaps_s: tuple of the times between tokens in seconds
    """

    __slots__ = ("kind", "code", "total_s", "first_token_s", "token_gaps_s")
    _defaults = {"first_token_s": None, "token_gaps_s": ()}


class LoadReporter:
    """Collects samples and renders the report.

    >>> reporter = LoadReporter()
    >>> reporter.add(Sample("order", "ok", 0.25))
    >>> reporter.to_dict(1.0)["answered_per_s"]
    1.0
    """

    __slots__ = ("codes", "tokens", "_histograms")

    def __init__(self):
        self.codes: Counter = Counter()
        self.tokens = 0
        self._histograms: dict[str, HdrHistogram] = {}

    def add(self, sample: Sample) -> None:
        """Add one sample; failed calls are counted but excluded from the histograms."""
        self.codes[sample.code] += 1
        if sample.code != OK:
            return
        self._record(f"{sample.kind}_total", sample.total_s)
        if sample.first_token_s is None:
            return
        self.tokens += 1 + len(sample.token_gaps_s)
        self._record("first_token", sample.first_token_s)
        for gap_s in sample.token_gaps_s:
            self._record("token_gap", gap_s)

    def _record(self, name: str, seconds: float) -> None:
        if name not in self._histograms:
            self._histograms[name] = HdrHistogram(
                1, _HISTOGRAM_MAX_UNITS, _HISTOGRAM_SIGNIFICANT_DIGITS
            )
        self._histograms[name].record_value(
            min(_HISTOGRAM_MAX_UNITS, max(1, round(seconds / _HISTOGRAM_UNIT_S)))
        )

    def to_dict(self, elapsed_s: float) -> dict:
        """Return the report as a JSON document; times are in milliseconds.

        :param elapsed_s: duration of the run in seconds
        """
        elapsed_s = max(elapsed_s, 1e-9)
        latencies = {
            name: {
                f"p{percentile:g}_ms": round(
                    histogram.get_value_at_percentile(percentile) * _HISTOGRAM_UNIT_S * 1000, 2
                )
                for percentile in _PERCENTILES
            }
            for name, histogram in sorted(self._histograms.items())
        }
        return {
            "elapsed_s": round(elapsed_s, 3),
            "calls": sum(self.codes.values()),
            "answered_per_s": round(self.codes[OK] / elapsed_s, 3),
            "tokens_per_s": round(self.tokens / elapsed_s, 1),
            "codes": dict(sorted(self.codes.items())),
            "latencies": latencies,
        }

    def render_table(self, elapsed_s: float) -> str:
        """Return the report as a text table.

        :param elapsed_s: duration of the run in seconds
        """
        document = self.to_dict(elapsed_s)
        lines = [f"{'measure':<14}{'p50 ms':>10}{'p95 ms':>10}{'p99 ms':>10}"]
        for name, row in document["latencies"].items():
            lines.append(f"{name:<14}" + "".join(f"{value:>10.2f}" for value in row.values()))
        lines += [f"{'code':<28}{'calls':>10}"]
        lines += [f"{code:<28}{count:>10}" for code, count in document["codes"].items()]
        lines.append(
            f"{document['calls']} calls in {document['elapsed_s']:g} s, "
            f"{document['answered_per_s']:g} answered/s, {document['tokens_per_s']:g} tokens/s"
        )
        return "\n".join(lines)
