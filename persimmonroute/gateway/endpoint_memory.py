"""Decide which endpoints have the memory for a request.

Made for engines whose memory in tokens the configuration states, and for
requests whose sizes differ by a factor of ten: an engine that holds more than
its memory crashes with all requests in progress. A request counts with its
prompt and the most tokens that its response may have.
"""

from __future__ import annotations


def count_tokens(request):
    """Return the most tokens that a request may hold; 0 if not known."""
    return request.prompt_tokens + request.output_tokens


class EndpointMemory:
    """Compare what endpoints hold with their memory."""

    def __init__(self):
        # Tokens by service, where they are known.
        self._totals = {}

    def set_services(self, services):
        """Apply the memory that the configuration states."""
        self._totals = {s.name: s.kv_tokens for s in services if s.kv_tokens}

    def select(self, pending, views):
        """Return the endpoints that have the memory for a request.

        One that holds nothing takes any request: it is served nowhere else.
        """
        total = self._totals.get(pending.service)
        if total is None:
            return views
        most = total - count_tokens(pending.request)
        return [v for v in views if not v.load or v.held_tokens <= most]


def find_emptiest(views):
    """Return the endpoint that holds least, for a request without room."""
    return min(views, key=lambda view: (view.held_tokens, view.id))
