"""Runs all scenarios, and random ones, over many seeds; prints how to repeat a failed run."""

import argparse
import concurrent.futures
import logging
import multiprocessing
import pathlib
import random
import sys
import tempfile

import structlog

from basilwinch.scenario import read_scenario, run_scenario

__all__ = ["main", "render_random_scenario"]

WORKER_PROCESSES = 4
# Steps of the faults in random scenarios; each fault ends itself or leaves enough servers.
_FAULT_STEPS = (
    ("kill busiest server",),
    ("kill server p1", "wait 3", "revive server p1"),
    ("leave server s2",),
    ("slow server s3 by 5",),
    ("degrade link s4 s5 by 20",),
    ("stop server s6",),
    ("platform down", "wait 13", "platform up"),
    ("platform slow 0.3", "wait 5", "platform slow 0"),
    ("platform loses 5 answers",),
    ("lose 3 replies of p2",),
    ("kill vm n1",),
    ("cut vm n2", "wait 4", "heal"),
    ("start vm n7",),
    ("lose packets 0.1", "duplicate packets 0.1"),
    ("publish organisation org-{number}",),
    ("publish server p3 leaving",),
    ("ask bad{number} crashing via any",),
)


def render_random_scenario(seed: int) -> str:
    """Return a scenario with a few faults in random order at random times.

    :param seed: seed of the faults and their times
    """
    rng = random.Random(seed)
    lines = [
        f"# Random faults, seed {seed}",
        "start 18 servers 3 plain 5 vms",
        "wait 2",
        "requests 8 tokens 25 for 30",
        "orders 5 for 30 duplicates 0.3",
    ]
    for number, fault in enumerate(rng.sample(_FAULT_STEPS, 5)):
        lines.append(f"wait {rng.uniform(0.5, 4):.2f}")
        lines += [step.format(number=number) for step in fault]
    return "\n".join([*lines, "wait 40", "expect unknown at most 0.2", ""])


def _run(path: str, seed: int) -> tuple[str, int, bool, str]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    verdict = run_scenario(read_scenario(path), seed)
    return path, seed, verdict.passed, verdict.render()


def main() -> int:
    """Run the soak and return 1 if a run failed."""
    parser = argparse.ArgumentParser("make soak")
    parser.add_argument("--seeds", type=int, default=5, help="seeds of each scenario")
    parser.add_argument("--random", type=int, default=20, help="number of random scenarios")
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.gettempdir()) / "basilwinch-soak"
    folder.mkdir(exist_ok=True)
    jobs = [
        (str(path), seed)
        for path in sorted(pathlib.Path("scenarios").glob("*.txt"))
        for seed in range(1, args.seeds + 1)
    ]
    for seed in range(1, args.random + 1):
        path = folder / f"random-{seed}.txt"
        path.write_text(render_random_scenario(seed), encoding="utf-8")
        jobs.append((str(path), seed))
    context = multiprocessing.get_context("spawn")
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES, mp_context=context) as pool:
        for path, seed, passed, text in pool.map(_run, *zip(*jobs, strict=True)):
            if not passed:
                failed += 1
                command = f"PYTHONHASHSEED=0 basilwinch scenario run {path} --seed {seed}"
                print(f"{text}\nrepeat: {command}\n")
    print(f"{len(jobs) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
