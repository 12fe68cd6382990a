"""Sub-commands, one module each with ``add_parser(commands)`` and ``run(args, context)``."""
