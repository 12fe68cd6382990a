"""The entry node: the process between callers and backend servers."""
