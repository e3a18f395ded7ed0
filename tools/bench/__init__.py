"""Benchmark scheduling policies under load and faults."""
