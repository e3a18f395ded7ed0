"""Test promises under injected faults."""
