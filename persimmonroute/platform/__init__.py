"""Clients of the platform: table service, endpoints and HTTP ingress."""
