"""Reach the platform's table service, object store and instance list."""
