"""Forwarding of requests to backend servers."""
