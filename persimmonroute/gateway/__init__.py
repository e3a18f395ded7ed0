"""Carry callers' requests straight to endpoints."""
