"""Test the sidecar."""
