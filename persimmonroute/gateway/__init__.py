"""Schedule callers' requests and forward them to endpoints."""
