"""Sign revisions as an operator, and check who may sign which.

The operation passes from one operator to the next by a handover, which the
leaving operator signs. The chain of handovers starts at the first operator's
public key, which processes know from their settings.
"""

from __future__ import annotations

import abc
import json
import typing

from cryptography import exceptions as crypto_exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.hazmat.primitives import serialization

from persimmonroute import exceptions


class Handover(typing.NamedTuple):
    """Give the operation to the holder of a key.

    The handover is the revision with its number; the new operator signs
    all later ones.
    """

    revision: int
    public_key: str
    # By the key of the operator before, over revision and public key.
    signature: str


class SignedRevision(typing.NamedTuple):
    """Hold a revision with its signature and the chain of handovers."""

    number: int
    document: str
    signature: str
    chain: tuple[Handover, ...]

    def to_bytes(self):
        """Return the revision as JSON."""
        fields = self._asdict()
        fields['chain'] = [handover._asdict() for handover in self.chain]
        return json.dumps(fields).encode()


class OperatorKey:
    """Sign on behalf of one operator."""

    def __init__(self, private_key):
        self._private_key = private_key

    @classmethod
    def generate(cls):
        """Return a new key."""
        return cls(ed25519.Ed25519PrivateKey.generate())

    @classmethod
    def load(cls, path):
        """Return the key of a PEM file or raise SettingsError."""
        try:
            with open(path, 'rb') as file:
                key = serialization.load_pem_private_key(file.read(), None)
        except (OSError, ValueError) as error:
            raise exceptions.SettingsError(
                f'cannot read the key {path}: {error}',
                'make a key with persimmonroute keygen',
            )
        return cls(key)

    @property
    def public_key(self):
        """Return the public key in hexadecimal."""
        raw = self._private_key.public_key().public_bytes(
            serialization.Encoding.Raw, serialization.PublicFormat.Raw
        )
        return raw.hex()

    def to_pem(self):
        """Return the private key in PEM."""
        return self._private_key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )

    def sign_revision(self, number, document):
        """Return the signature of a revision."""
        return self._private_key.sign(_revision_text(number, document)).hex()

    def sign_handover(self, revision, public_key):
        """Return a Handover to the holder of a public key."""
        text = _handover_text(revision, public_key)
        return Handover(
            revision, public_key, self._private_key.sign(text).hex()
        )


def parse_signed_revision(data):
    """Return the SignedRevision of JSON or raise UntrustedRevisionError."""
    try:
        fields = json.loads(data)
        chain = tuple(Handover(**item) for item in fields.pop('chain'))
        return SignedRevision(chain=chain, **fields)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise exceptions.UntrustedRevisionError(
            f'the revision is not signed: {error!r}'
        )


def verify_revision(revision, root_key):
    """Raise UntrustedRevisionError unless the right operator signed."""
    key = root_key
    last = 0
    for handover in revision.chain:
        if handover.revision <= last:
            raise exceptions.UntrustedRevisionError(
                'the handovers are not in order'
            )
        last = handover.revision
        text = _handover_text(handover.revision, handover.public_key)
        _verify_signature(key, handover.signature, text)
        if revision.number > handover.revision:
            key = handover.public_key
    text = _revision_text(revision.number, revision.document)
    _verify_signature(key, revision.signature, text)


def find_operator_key(chain, root_key):
    """Return the public key of the operator after all handovers."""
    return chain[-1].public_key if chain else root_key


class RevisionVerifier(abc.ABC):
    """Decide whether to trust a revision."""

    # Whether only signed revisions are trusted.
    checks_signatures = False

    @abc.abstractmethod
    def verify(self, number, data):
        """Return the document inside or raise UntrustedRevisionError."""


class PermissiveVerifier(RevisionVerifier):
    """Trust every revision, signed or not."""

    def verify(self, number, data):
        """Return the document."""
        try:
            fields = json.loads(data)
        except ValueError:
            return data
        if isinstance(fields, dict) and 'signature' in fields:
            return parse_signed_revision(data).document.encode()
        return data


class SignatureVerifier(RevisionVerifier):
    """Trust what the operator of each revision signed.

    A chain that does not continue the one known is not trusted, so an
    operator who has handed over cannot do so a second time.
    """

    checks_signatures = True

    def __init__(self, root_key):
        self._root_key = root_key
        self._chain: tuple[Handover, ...] = ()

    def verify(self, number, data):
        """Return the document after all checks."""
        revision = parse_signed_revision(data)
        if revision.number != number:
            raise exceptions.UntrustedRevisionError(
                f'revision {number} is signed as {revision.number}'
            )
        known = len(self._chain)
        if revision.chain[:known] != self._chain:
            raise exceptions.UntrustedRevisionError(
                'the handovers differ from those that are known'
            )
        verify_revision(revision, self._root_key)
        self._chain = revision.chain
        return revision.document.encode()


def _revision_text(number, document):
    return f'revision\n{number}\n{document}'.encode()


def _handover_text(revision, public_key):
    return f'handover\n{revision}\n{public_key}'.encode()


def _verify_signature(public_key, signature, text):
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(
            bytes.fromhex(public_key)
        )
        key.verify(bytes.fromhex(signature), text)
    except (ValueError, crypto_exceptions.InvalidSignature):
        raise exceptions.UntrustedRevisionError(
            'the signature is not by the operator of this revision'
        )
