"""Sign configuration revisions and verify their signatures.

One operator at a time may sign revisions. The operator role passes to
another key by a handover that the current operator signs. The chain of
handovers starts at the first operator's public key, which processes read
from their settings.
"""

from __future__ import annotations

import abc
import json
import typing

from cryptography import exceptions as crypto_exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.hazmat.primitives import serialization

from persimmonroute import exceptions
from persimmonroute import json_text


# An encrypted key raises TypeError.
KEY_ERRORS = (
    OSError,
    ValueError,
    TypeError,
    crypto_exceptions.UnsupportedAlgorithm,
)
MALFORMED_REVISION_ERRORS = (ValueError, TypeError, KeyError, AttributeError)
# Characters of an odd key that an error shows.
MAX_SHOWN = 100
MAX_PROBLEM_CHARACTERS = 300


class Handover(typing.NamedTuple):
    """Transfer the operator role to another public key.

    The handover is itself the revision with the given number. The new
    operator signs all later revisions.
    """

    revision: int
    public_key: str
    # Signature of the previous operator over revision and public key.
    signature: str


class SignedRevision(typing.NamedTuple):
    """Store a revision with its signature and the chain of handovers."""

    number: int
    document: str
    signature: str
    chain: tuple[Handover, ...]

    def to_bytes(self):
        """Encode the revision as JSON."""
        fields = self._asdict()
        fields['chain'] = [handover._asdict() for handover in self.chain]
        return json.dumps(fields).encode()


class OperatorKey:
    """Sign with one operator's private key."""

    def __init__(self, private_key):
        self._private_key = private_key

    @classmethod
    def generate(cls):
        """Generate a new key."""
        return cls(ed25519.Ed25519PrivateKey.generate())

    @classmethod
    def load(cls, path):
        """Load a key from a PEM file or raise SettingsError."""
        try:
            with open(path, 'rb') as file:
                key = serialization.load_pem_private_key(file.read(), None)
            if not isinstance(key, ed25519.Ed25519PrivateKey):
                raise ValueError('it is no Ed25519 key')
        except KEY_ERRORS as error:
            raise exceptions.SettingsError(
                f'cannot load the operator key {path}: {error}',
                'generate a key with persimmonroute keygen',
            )
        return cls(key)

    @property
    def public_key(self):
        """Return the raw public key in hexadecimal."""
        raw = self._private_key.public_key().public_bytes(
            serialization.Encoding.Raw, serialization.PublicFormat.Raw
        )
        return raw.hex()

    def to_pem(self):
        """Encode the private key as unencrypted PEM."""
        return self._private_key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )

    def sign_revision(self, number, document):
        """Return the signature of a revision in hexadecimal."""
        return self._private_key.sign(_encode_revision(number, document)).hex()

    def sign_handover(self, revision, public_key):
        """Return a signed Handover to a public key."""
        payload = _encode_handover(revision, public_key)
        return Handover(
            revision, public_key, self._private_key.sign(payload).hex()
        )


def parse_signed_revision(data):
    """Parse a SignedRevision from JSON or raise UntrustedRevisionError."""
    try:
        fields = json_text.parse(data)
        chain = tuple(
            Handover(
                _read_number(item['revision']),
                _read_text(item['public_key']),
                _read_text(item['signature']),
            )
            for item in fields['chain']
        )
        return SignedRevision(
            _read_number(fields['number']),
            _read_text(fields['document']),
            _read_text(fields['signature']),
            chain,
        )
    except MALFORMED_REVISION_ERRORS as error:
        raise exceptions.UntrustedRevisionError(
            f'not a signed revision: {error!r}'[:MAX_PROBLEM_CHARACTERS]
        )


def read_public_key(text):
    """Return a public key in hexadecimal, or raise SettingsError."""
    try:
        raw = bytes.fromhex(text)
        ed25519.Ed25519PublicKey.from_public_bytes(raw)
    except ValueError as error:
        raise exceptions.SettingsError(
            f'{text[:MAX_SHOWN]!r} is no public key: {error}',
            'pass what persimmonroute keygen printed for the new operator',
        )
    return raw.hex()


def _read_number(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'not an integer but {type(value)}')
    return value


def _read_text(value):
    if not isinstance(value, str):
        raise TypeError(f'not a string but {type(value)}')
    # Half characters cannot be signed.
    value.encode()
    return value


def verify_revision(revision, root_key):
    """Raise UntrustedRevisionError unless all signatures are valid.

    Each handover and the revision must be signed by the operator who was
    current at its number.
    """
    key = root_key
    last_handover = 0
    for handover in revision.chain:
        if handover.revision <= last_handover:
            raise exceptions.UntrustedRevisionError(
                'the revision numbers of the handovers do not increase'
            )
        last_handover = handover.revision
        payload = _encode_handover(handover.revision, handover.public_key)
        _verify_signature(key, handover.signature, payload)
        if revision.number > handover.revision:
            key = handover.public_key
    payload = _encode_revision(revision.number, revision.document)
    _verify_signature(key, revision.signature, payload)


def current_operator_key(chain, root_key):
    """Return the public key of the current operator."""
    return chain[-1].public_key if chain else root_key


class RevisionVerifier(abc.ABC):
    """Define how a process verifies a received revision."""

    # Whether unsigned revisions are rejected.
    checks_signatures = False

    @abc.abstractmethod
    def verify(self, number, data):
        """Return the document or raise UntrustedRevisionError."""


class PermissiveVerifier(RevisionVerifier):
    """Accept every revision, signed or not, without verification."""

    def verify(self, number, data):
        """Return the document, extracted if the revision is signed."""
        try:
            fields = json_text.parse(data)
        except ValueError:
            return data
        if isinstance(fields, dict) and 'signature' in fields:
            return parse_signed_revision(data).document.encode()
        return data


class SignatureVerifier(RevisionVerifier):
    """Accept only revisions signed by the operator current at their number.

    The chain of handovers must extend the last accepted chain, so an
    operator who has handed over cannot hand over a second time.
    """

    checks_signatures = True

    def __init__(self, root_key):
        self._root_key = root_key
        self._chain: tuple[Handover, ...] = ()

    def verify(self, number, data):
        """Verify number, chain and signatures and return the document."""
        revision = parse_signed_revision(data)
        if revision.number != number:
            raise exceptions.UntrustedRevisionError(
                f'revision {number} is signed as revision {revision.number}'
            )
        known_length = len(self._chain)
        if revision.chain[:known_length] != self._chain:
            raise exceptions.UntrustedRevisionError(
                'the handovers do not extend the chain accepted before'
            )
        verify_revision(revision, self._root_key)
        self._chain = revision.chain
        return revision.document.encode()


def _encode_revision(number, document):
    return f'revision\n{number}\n{document}'.encode()


def _encode_handover(revision, public_key):
    return f'handover\n{revision}\n{public_key}'.encode()


def _verify_signature(public_key, signature, payload):
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(
            bytes.fromhex(public_key)
        )
        key.verify(bytes.fromhex(signature), payload)
    except (ValueError, crypto_exceptions.InvalidSignature):
        raise exceptions.UntrustedRevisionError(
            'the signature does not match the public key of the operator'
        )
