"""Parse JSON that anybody may have written."""

from __future__ import annotations

import json


def parse(data):
    """Return the value of a JSON document, or raise ValueError."""
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError('the document is nested too deeply') from error
