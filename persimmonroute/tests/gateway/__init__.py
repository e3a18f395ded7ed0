"""Test the gateway role."""
