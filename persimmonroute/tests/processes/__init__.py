"""Test deployments of real processes."""
