"""The daemon ``basilwinchd``: one entry node."""

__all__: list[str] = []
