"""``basilwinch scenario run``: runs scenarios on the virtual clock."""

import argparse

from basilwinch.cli.arguments import add_setting, add_switch
from basilwinch.cli.output import ExitCode
from basilwinch.exception import Failure
from basilwinch.scenario import read_scenario, run_scenario

__all__ = ["add_parser", "run"]


def add_parser(commands) -> None:
    """Add the sub-command."""
    parser = commands.add_parser("scenario", help="Run scenarios.", description=__doc__)
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    action = actions.add_parser(
        "run",
        help="Run scenario files on the virtual clock.",
        epilog="Exit codes: 0 all passed, 1 some failed, 3 a file cannot be read.",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    action.add_argument("files", nargs="+", help="Scenario files.")
    add_setting(action, "--seed", "1", "Seed of all random choices.", int)
    add_switch(action, "--json", "Print one JSON object.")
    # The runner starts its own event loop with a virtual clock, so it must run outside the event
    # loop of the tool.
    action.set_defaults(main=run)


def run(args, context) -> int:
    """Run the sub-command.

    :returns: exit code
    """
    verdicts = []
    for path in args.files:
        scenario = read_scenario(path)
        if isinstance(scenario, Failure):
            context.output.fail(scenario)
            return ExitCode.INVALID
        verdicts.append(run_scenario(scenario, args.seed))
    text = "\n\n".join(verdict.render() for verdict in verdicts)
    failed = [verdict.title for verdict in verdicts if not verdict.passed]
    context.output.succeed(text, passed=len(verdicts) - len(failed), failed=failed, seed=args.seed)
    return ExitCode.FAILED if failed else ExitCode.DONE
