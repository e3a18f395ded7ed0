"""Implement the sidecar role."""
