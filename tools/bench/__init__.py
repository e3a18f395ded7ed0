"""Measure the policy under load and faults."""
