"""Runs all benchmarks and prints their most important figures as one line of JSON."""

import json
import subprocess
import sys

__all__ = ["main"]

# Keys of each benchmark's JSON line that the summary includes.
_SUMMARY_KEYS = {
    "bench.throughput": ("throughput_ratio",),
    "bench.recovery": ("recovery_p95_s", "orders_run_twice"),
    "bench.control": ("config_spread_max_s", "control_bytes_per_node_s"),
    "bench.gateway": ("tokens_per_core_s", "added_first_token_p95_ms"),
}


def main() -> int:
    """Run the benchmarks one after another; return 1 if one missed a target."""
    summary, failed = {}, False
    for module, names in _SUMMARY_KEYS.items():
        run = subprocess.run([sys.executable, "-m", module], stdout=subprocess.PIPE, text=True)
        print(run.stdout, end="", flush=True)
        failed = failed or run.returncode != 0
        try:
            line = json.loads(run.stdout.splitlines()[-1])
        except (IndexError, ValueError):
            line = {}
        summary |= {name: line.get(name) for name in names}
    print(json.dumps(summary))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
