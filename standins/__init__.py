"""Stand in for the platform, the endpoints and the callers in tests."""
