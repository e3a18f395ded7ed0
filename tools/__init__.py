"""Provide development and measurement tools."""
