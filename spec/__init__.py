"""Specify the protocols for the model checker."""
