"""Stand in for the platform, endpoints and callers."""
