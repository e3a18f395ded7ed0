"""Test the parsing of requests from callers."""

from __future__ import annotations

import json
import unittest

import hypothesis
from hypothesis import strategies

from persimmonroute.entry import intake
from persimmonroute import exceptions


def read(body, **headers):
    """Parse the body of a completion request."""
    return intake.read_completion('r', '/v1/completions', headers, body)


class ReadCompletionTests(unittest.TestCase):
    """Parse valid and invalid bodies."""

    def test_prompt_and_messages(self):
        """Both a prompt and a list of messages are accepted."""
        plain = read(json.dumps({'prompt': 'x' * 400}).encode())
        self.assertEqual(plain.prompt_tokens, 100)
        self.assertEqual(len(plain.prefix_blocks), 1)
        turns = [{'role': 'user', 'content': 'hello'}]
        chat = read(json.dumps({'messages': turns}).encode())
        self.assertGreater(chat.prompt_tokens, 0)

    def test_shared_prefix_shares_blocks(self):
        """Prompts with a common prefix share the hashes of its blocks."""
        shared = 'a' * 600
        first = intake.hash_blocks(shared + 'b' * 600)
        second = intake.hash_blocks(shared + 'c' * 600)
        self.assertEqual(first[:2], second[:2])
        self.assertNotEqual(first[2], second[2])

    def test_bad_bodies(self):
        """Invalid bodies raise InvalidBodyError."""
        bodies = (
            b'',
            b'{',
            b'[' * 60_000,
            b'[]',
            b'{}',
            b'{"prompt": ""}',
            b'{"prompt": 3}',
            b'{"messages": [3]}',
            b'{"messages": [{}]}',
            b'{"prompt": "x", "max_tokens": 0}',
            b'{"prompt": "x", "max_tokens": true}',
            b'{"prompt": "x", "max_tokens": "9"}',
        )
        for body in bodies:
            with self.subTest(body=body):
                with self.assertRaises(exceptions.InvalidBodyError):
                    read(body)

    def test_long_key(self):
        """A key over the length limit is rejected."""
        with self.assertRaises(exceptions.MissingKeyError):
            intake.read_key({intake.KEY_HEADER: 'k' * 300})

    @hypothesis.given(strategies.binary(max_size=200))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_any_bytes_are_read_or_refused(self, body):
        """Arbitrary bytes are parsed or raise a typed error."""
        try:
            read(body)
        except exceptions.BadRequestError:
            pass
