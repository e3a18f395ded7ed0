"""Parse and validate requests from callers."""

from __future__ import annotations

import math

import xxhash

from persimmonroute.entry import messages
from persimmonroute.entry import routing
from persimmonroute import exceptions
from persimmonroute import json_text

MAX_BODY_BYTES = 4 * 1024 * 1024
# An oversized body is read up to this size so the client sees the error.
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
BLOCK_CHARACTERS = routing.BLOCK_TOKENS * routing.BYTES_PER_TOKEN
DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 131072
WORKSPACE_HEADER = 'persimmon-workspace'
CLASS_HEADER = 'persimmon-class'
KEY_HEADER = 'idempotency-key'
MAX_KEY_CHARACTERS = 255


def read_completion(request_id, path, headers, body):
    """Return the Call of a completion, or raise BadRequestError."""
    document = _parse(body)
    prompt = extract_prompt(document)
    output_tokens = document.get('max_tokens', DEFAULT_OUTPUT_TOKENS)
    if (
        not isinstance(output_tokens, int)
        or isinstance(output_tokens, bool)
        or not 0 < output_tokens <= MAX_OUTPUT_TOKENS
    ):
        raise exceptions.InvalidBodyError(
            'max_tokens is not an integer in range',
            f'send max_tokens from 1 to {MAX_OUTPUT_TOKENS}',
        )
    return messages.Call(
        request_id=request_id,
        workspace=headers.get(WORKSPACE_HEADER, ''),
        class_name=headers.get(CLASS_HEADER, ''),
        key=read_key(headers),
        method='POST',
        path=path,
        body=body,
        stream=document.get('stream') is True,
        prompt_tokens=estimate_tokens(prompt),
        output_tokens=output_tokens,
        prefix_blocks=hash_blocks(prompt),
        fingerprint=fingerprint('POST', path, body),
    )


def read_service_call(request_id, method, path, headers, body):
    """Return the Call of a plain service, or raise BadRequestError."""
    return messages.Call(
        request_id=request_id,
        workspace=headers.get(WORKSPACE_HEADER, ''),
        class_name=headers.get(CLASS_HEADER, ''),
        key=read_key(headers),
        method=method,
        path=path,
        body=body,
        stream=False,
        prompt_tokens=0,
        output_tokens=0,
        prefix_blocks=(),
        fingerprint=fingerprint(method, path, body),
    )


def read_key(headers):
    """Return the idempotency key of a request, or None."""
    key = headers.get(KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise exceptions.MissingKeyError(
            'the idempotency key is empty or too long'
        )
    return key


def check_size(size):
    """Raise BodyTooLargeError for a body over MAX_BODY_BYTES."""
    if size > MAX_BODY_BYTES:
        raise exceptions.BodyTooLargeError(
            f'the body exceeds {MAX_BODY_BYTES} bytes',
            f'send at most {MAX_BODY_BYTES} bytes',
        )


def estimate_tokens(text):
    """Return the estimated number of tokens of a text."""
    return max(math.ceil(len(text) / routing.BYTES_PER_TOKEN), 1)


def hash_blocks(text):
    """Return the hash of each prefix of a prompt that ends at a full block."""
    hashes = []
    state = xxhash.xxh3_64()
    last = len(text) - BLOCK_CHARACTERS
    for start in range(0, last + 1, BLOCK_CHARACTERS):
        block = text[start : start + BLOCK_CHARACTERS]
        state.update(block.encode('utf-8', 'surrogatepass'))
        hashes.append(state.intdigest())
    return tuple(hashes)


def fingerprint(method, path, body):
    """Return the hex fingerprint of a request's method, path and body."""
    head = f'{method} {path}\n'.encode()
    return xxhash.xxh3_128_hexdigest(head + body)


def _parse(body):
    try:
        document = json_text.parse(body)
    except ValueError as error:
        raise exceptions.InvalidBodyError(
            f'the body is not valid JSON: {error}'
        )
    if not isinstance(document, dict):
        raise exceptions.InvalidBodyError('the body is not a JSON object')
    return document


def extract_prompt(document):
    """Return the prompt or the joined messages of a completion body."""
    prompt = document.get('prompt')
    if isinstance(prompt, str) and prompt:
        return prompt
    turns = document.get('messages')
    if not isinstance(turns, list) or not turns:
        raise exceptions.InvalidBodyError(
            'the body has neither a prompt nor messages'
        )
    try:
        return '\n'.join(f'{t["role"]}: {t["content"]}' for t in turns)
    except (TypeError, KeyError) as error:
        raise exceptions.InvalidBodyError(
            'a message has no role or content',
            'send messages as objects with role and content',
        ) from error
