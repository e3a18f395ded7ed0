"""Test what the command line does with odd input."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import random
import tempfile
import unittest

from cryptography.hazmat.primitives.asymmetric import rsa
from cryptography.hazmat.primitives import serialization

from persimmonroute import cli
from persimmonroute.config import settings as settings_module
from persimmonroute import exceptions
from persimmonroute import operators
from standins import gateway_deployment as deployments

NESTED = '[' * 60_000
ODD_DOCUMENTS = {
    'empty': b'',
    'no text': b'\xff\xfe\x00',
    'nested': NESTED.encode(),
    'nothing': b'null',
    'number': b'9' * 6000,
    'list': b'[]',
    'surrogate': b'{"classes": {"\\ud800": {}}}',
    'odd class': b'{"classes": {"a": 5}}',
    'not a number': b'{"classes": {"a": {"target": NaN}}}',
}
ODD_VALUES = (
    None,
    True,
    -1,
    2**70,
    1.5,
    float('nan'),
    '',
    'zz',
    '00' * 32,
    '\ud800',
    'é' * 64,
    [],
    {},
    [[]],
)
FUZZ_ROUNDS = 3000


class CommandLineTests(unittest.TestCase):
    """Give odd files, keys and numbers to commands."""

    def setUp(self):
        """Create a folder for files."""
        folder = tempfile.TemporaryDirectory(prefix='cli-')
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        # Nothing listens there.
        self.platform = f'127.0.0.1:{deployments.free_port()}'

    def _write(self, data):
        path = self.folder / 'file'
        path.write_bytes(data)
        return str(path)

    def _assert_refused(self, *arguments):
        """Check that a command prints one error that names its remedy."""
        printed = io.StringIO()
        with contextlib.redirect_stderr(printed):
            status = cli.main([str(a) for a in arguments])
        self.assertEqual(status, 1)
        self.assertRegex(printed.getvalue(), '(?s)^error: .+; .+\n$')
        self.assertLess(len(printed.getvalue()), 2000)
        return printed.getvalue()

    def test_odd_declarations(self):
        """Guards against tracebacks in place of the name of the file."""
        for name, data in ODD_DOCUMENTS.items():
            for command in ('apply', 'diff'):
                with self.subTest(name=name, command=command):
                    path = self._write(data)
                    self._assert_refused(
                        command, path, '--platform', self.platform
                    )

    def test_files_that_cannot_be_used(self):
        """A folder and a missing file are named."""
        missing = self.folder / 'missing'
        for path in (self.folder, missing):
            for arguments in (
                ('apply', path, '--platform', self.platform),
                ('explain', 'r', missing),
                ('keygen', self.folder),
                ('keygen', missing / 'key'),
            ):
                with self.subTest(arguments=arguments):
                    self._assert_refused(*arguments)

    def test_odd_keys(self):
        """Only an unencrypted Ed25519 key signs."""
        own = operators.OperatorKey.generate()._private_key
        other = rsa.generate_private_key(public_exponent=65537, key_size=2048)
        pem = (
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
        )
        keys = {
            'empty': b'',
            'no text': b'\xff\x00',
            'declarations': b'{}',
            'other kind': other.private_bytes(
                *pem, serialization.NoEncryption()
            ),
            'encrypted': own.private_bytes(
                *pem, serialization.BestAvailableEncryption(b'x')
            ),
            'public': own.public_key().public_bytes(
                serialization.Encoding.PEM,
                serialization.PublicFormat.SubjectPublicKeyInfo,
            ),
        }
        for name, data in keys.items():
            with self.subTest(name=name):
                with self.assertRaises(exceptions.SettingsError):
                    operators.OperatorKey.load(self._write(data))

    def test_odd_public_keys_are_not_handed_over_to(self):
        """Guards against an operator role that nobody can use any more."""
        key = self._write(operators.OperatorKey.generate().to_pem())
        for public_key in ('', 'x', '00', 'é', 'zz' * 32, '0' * 63, ' '):
            with self.subTest(public_key=public_key):
                with self.assertRaises(exceptions.SettingsError):
                    operators.read_public_key(public_key)
        text = self._assert_refused(
            'handover', 'zz', '--key', key, '--platform', self.platform
        )
        self.assertIn('public key', text)

    def test_odd_addresses_and_numbers(self):
        """What cannot be meant is refused before anything is sent."""
        for address in ('x', '1.2.3.4', '1.2.3.4:x', '1.2.3.4:99999', ':1'):
            with self.subTest(address=address):
                self._assert_refused('show', '--platform', address)
        for wait in ('x', 'nan', 'inf', '-1', '9' * 6000):
            with self.subTest(wait=wait[:9]):
                text = self._assert_refused(
                    'status', f'--wait={wait}', '--platform', self.platform
                )
                self.assertIn('--wait', text)
        path = self._write(b'{}')
        for base in ('x', '1.5', '-1', '9' * 6000):
            with self.subTest(base=base[:9]):
                text = self._assert_refused(
                    'apply',
                    path,
                    f'--base={base}',
                    '--platform',
                    self.platform,
                )
                self.assertIn('--base', text)


class SettingsTests(unittest.TestCase):
    """Load odd settings files."""

    def test_odd_settings(self):
        """Whatever the file holds, the error names it."""
        documents = [
            *ODD_DOCUMENTS.values(),
            b'{"role": []}',
            b'{"role": "gateway", "revocation_s": NaN}',
        ]
        for data in documents:
            with self.subTest(data=data[:20]):
                with tempfile.NamedTemporaryFile() as file:
                    file.write(data)
                    file.flush()
                    with self.assertRaises(exceptions.SettingsError):
                        settings_module.load_settings(file.name)

    def test_numbers_that_are_none(self):
        """Guards against time limits that nothing ever reaches."""
        for value in (float('nan'), float('inf'), -1, 10**400):
            with self.subTest(value=str(value)[:9]):
                _, problems = settings_module.check_settings(
                    {'revocation_s': value}
                )
                self.assertTrue(
                    any('revocation_s' in str(p) for p in problems)
                )


class SignedRevisionTests(unittest.TestCase):
    """Verify revisions that anybody may have written."""

    def test_any_revision_is_verified_or_refused(self):
        """Guards against errors that nobody who verifies expects."""
        rng = random.Random(1)
        key = operators.OperatorKey.generate()
        for _ in range(FUZZ_ROUNDS):
            data = json.dumps(self._build(rng, key)).encode()
            verifier = operators.SignatureVerifier(key.public_key)
            for each in (verifier, operators.PermissiveVerifier()):
                with contextlib.suppress(exceptions.UntrustedRevisionError):
                    each.verify(3, data)

    def _build(self, rng, key):
        document = '{}'
        handover = key.sign_handover(2, key.public_key)._asdict()
        fields = {
            'number': 3,
            'document': document,
            'signature': key.sign_revision(3, document),
            'chain': [dict(handover) for _ in range(rng.randrange(3))],
        }
        for target in (fields, *fields['chain']):
            for name in list(target):
                if rng.random() < 0.2:
                    target[name] = rng.choice(ODD_VALUES)
                elif rng.random() < 0.02:
                    del target[name]
        if rng.random() < 0.05:
            return rng.choice(ODD_VALUES)
        return fields
