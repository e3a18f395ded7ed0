"""List the names of the platform's wire that several modules use."""

from __future__ import annotations

ATTEMPT_ID = b'attempt-id'
# Milliseconds that the caller still waits.
DEADLINE = b'deadline-remaining-ms'
# Id of the endpoint that the request is meant for.
EXPECT_INSTANCE = b'expect-instance'
# Name of the workspace, on the way to endpoints.
WORKSPACE = b'tenant'
AUTHORIZATION = b'authorization'
MODEL = b'model'
# Prompt tokens and most output tokens, with a comma between.
TOKEN_USAGE = b'token-usage'
# Parts of the prompt in order, as ID:TOKENS with commas between.
PROMPT_PREFIX = b'prompt-prefix'
LAST_EVENT_ID = b'last-event-id'
# Present when an endpoint states that it did not run the request.
NOT_EXECUTED = b'not-executed'
# Running, waiting and slots of the endpoint, with commas between.
RUNNER_LOAD = b'runner-load'
KEEP_ALIVE = b'keep-alive'
RETRY_AFTER = b'retry-after'

# Headers that concern one connection only.
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
# Headers that are the system's to set, whatever a caller sends.
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
