"""Set up mutual TLS between entries and sidecars.

Certificates name their role and deployment, as in `entry.baltkomponents`.
Files are read again for each connection, so that keys can be rotated by
replacing the files.
"""

from __future__ import annotations

import pathlib
import typing

import grpc

SUBJECT_NAMES = 'x509_subject_alternative_name'
NAME_OVERRIDE = 'grpc.ssl_target_name_override'


class TlsSettings(typing.NamedTuple):
    """List the TLS files of a process and name its deployment."""

    certificate: str
    key: str
    authority: str
    deployment: str


class _PemFiles(typing.NamedTuple):
    certificate: bytes
    key: bytes
    authority: bytes


def find_tls_settings(settings):
    """Return the TlsSettings of a process, or None if TLS is disabled."""
    if settings.tls_certificate is None:
        return None
    return TlsSettings(
        settings.tls_certificate,
        settings.tls_key,
        settings.tls_authority,
        settings.deployment,
    )


def server_credentials(tls):
    """Return server credentials that require a client certificate."""
    last_loaded = [_read(tls)]

    def fetch_configuration():
        current = _read(tls)
        if current == last_loaded[0]:
            return None
        last_loaded[0] = current
        return _server_configuration(current)

    return grpc.dynamic_ssl_server_credentials(
        _server_configuration(last_loaded[0]),
        fetch_configuration,
        require_client_authentication=True,
    )


def channel_credentials(tls):
    """Return client credentials from the current files."""
    pems = _read(tls)
    return grpc.ssl_channel_credentials(
        pems.authority, pems.key, pems.certificate
    )


def sidecar_name_option(tls):
    """Return the channel option that verifies the sidecar's name."""
    return (NAME_OVERRIDE, f'sidecar.{tls.deployment}')


def is_entry_of(tls, context):
    """Return whether a call comes from an entry of the deployment."""
    names = context.auth_context().get(SUBJECT_NAMES, [])
    return f'entry.{tls.deployment}'.encode() in names


def _server_configuration(pems):
    return grpc.ssl_server_certificate_configuration(
        [(pems.key, pems.certificate)], pems.authority
    )


def _read(tls):
    return _PemFiles(
        pathlib.Path(tls.certificate).read_bytes(),
        pathlib.Path(tls.key).read_bytes(),
        pathlib.Path(tls.authority).read_bytes(),
    )
