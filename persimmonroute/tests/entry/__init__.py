"""Test the entry role."""
