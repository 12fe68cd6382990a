"""The daemon ``basilwinchd``, which runs one entry node."""

__all__: list[str] = []
