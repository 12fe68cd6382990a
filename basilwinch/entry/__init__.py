"""The entry node: the process that routes requests from callers to backend servers."""
