"""Benchmarks; each prints a table, then one line of JSON."""
