"""Hold tests on real processes."""
