"""Entry point of ``python -m basilwinch.standin``, which serves the stand-ins."""

from basilwinch.standin.program import main

if __name__ == "__main__":
    main()
