"""Sub-commands, one module each, with ``add_parser(commands)`` and ``async run(args, context)``."""
