"""Runs the stand-ins as ``python -m basilwinch.standin``."""

from basilwinch.standin.program import main

if __name__ == "__main__":
    main()
