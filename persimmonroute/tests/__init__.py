"""Hold tests."""
