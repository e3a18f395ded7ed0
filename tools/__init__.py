"""Provide development tools that stand beside the system."""
