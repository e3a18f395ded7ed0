"""Issue TLS certificates for tests."""

from __future__ import annotations

import datetime
import pathlib

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid

from persimmonroute import tls

ONE_DAY = datetime.timedelta(days=1)


class Authority:
    """Issue certificates to the processes of deployments."""

    def __init__(self, name='authority'):
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _name(name)
        now = datetime.datetime.now(datetime.UTC)
        self._certificate = (
            x509.CertificateBuilder()
            .subject_name(self._name)
            .issuer_name(self._name)
            .public_key(self._key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - 10 * ONE_DAY)
            .not_valid_after(now + 10 * ONE_DAY)
            .add_extension(x509.BasicConstraints(True, None), True)
            .sign(self._key, hashes.SHA256())
        )

    def write(self, folder, role, deployment, expired=False):
        """Write a process's key and certificates; return its TlsSettings."""
        folder = pathlib.Path(folder)
        folder.mkdir(parents=True, exist_ok=True)
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(key, f'{role}.{deployment}', expired)
        paths = [folder / n for n in ('certificate', 'key', 'authority')]
        paths[0].write_bytes(_to_pem(certificate))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        paths[2].write_bytes(_to_pem(self._certificate))
        return tls.TlsSettings(*(str(path) for path in paths), deployment)

    def _sign(self, key, name, expired):
        now = datetime.datetime.now(datetime.UTC)
        end = now - ONE_DAY if expired else now + ONE_DAY
        names = x509.SubjectAlternativeName([x509.DNSName(name)])
        return (
            x509.CertificateBuilder()
            .subject_name(_name(name))
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - 5 * ONE_DAY)
            .not_valid_after(end)
            .add_extension(names, False)
            .sign(self._key, hashes.SHA256())
        )


def _name(text):
    attribute = x509.NameAttribute(oid.NameOID.COMMON_NAME, text)
    return x509.Name([attribute])


def _to_pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
