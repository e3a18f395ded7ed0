"""Implement the entry role: core logic, I/O shell and HTTP API."""
