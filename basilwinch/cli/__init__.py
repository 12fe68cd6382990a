"""The command-line tool ``basilwinch``, with which operators publish and inspect notes."""
