"""Starts the daemon with ``python -m basilwinch.daemon``."""

from basilwinch.daemon.program import main

if __name__ == "__main__":
    main()
