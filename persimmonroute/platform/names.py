"""Define the HTTP header names of the platform's protocol."""

from __future__ import annotations

ATTEMPT_ID = b'attempt-id'
# Remaining milliseconds until the caller's deadline.
DEADLINE = b'deadline-remaining-ms'
# ID of the endpoint that the request is addressed to.
EXPECT_INSTANCE = b'expect-instance'
# Workspace name, added to requests to endpoints.
WORKSPACE = b'tenant'
AUTHORIZATION = b'authorization'
MODEL = b'model'
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_USAGE = b'token-usage'
LENGTH_HINT = b'length-hint'
# Prompt parts in order, as comma-separated ID:TOKENS.
PROMPT_PREFIX = b'prompt-prefix'
LAST_EVENT_ID = b'last-event-id'
# Attempt that brought the first event of a stream that is taken up again.
RESUMES = b'resumes'
# Written by the endpoint that ran the request.
SIGNATURE = b'upstream-signature'
# Present if the endpoint did not execute the request.
NOT_EXECUTED = b'not-executed'
# Running requests, waiting requests and slots, separated by commas. A fourth
# figure tells how long work takes at present, in percent of the usual.
RUNNER_LOAD = b'runner-load'
KEEP_ALIVE = b'keep-alive'
RETRY_AFTER = b'retry-after'
# Set to 1 in the responses of an endpoint that is leaving.
SERVER_LEAVING = b'server-leaving'
# Requests per second that an endpoint takes from all gateways together.
SERVER_LIMIT = b'server-limit'
# Number of times that the store was restored from an older copy.
STORE_ERA = b'store-era'

# Hop-by-hop headers, which are not forwarded.
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)
# Headers that only the gateway sets; values from callers are dropped.
SYSTEM_HEADERS = frozenset(
    (
        AUTHORIZATION,
        DEADLINE,
        EXPECT_INSTANCE,
        WORKSPACE,
        b'expect-version',
        b'hold',
        b'pin-ms',
        b'kv-backup',
        b'kv-from',
        b'kv-fetch',
        b'content-length',
    )
)
