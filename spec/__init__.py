"""Specify the protocols and verify their promises with z3."""
