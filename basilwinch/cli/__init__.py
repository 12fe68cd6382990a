"""The command-line tool ``basilwinch``."""
