"""Secure the connections between entries and sidecars.

Certificates name their role and deployment, as in `entry.baltkomponents`.
Files are read anew for each connection, so that keys are rotated by
replacing them.
"""

from __future__ import annotations

import pathlib
import typing

import grpc

SUBJECT_NAMES = 'x509_subject_alternative_name'
NAME_OVERRIDE = 'grpc.ssl_target_name_override'


class TlsSettings(typing.NamedTuple):
    """Name the files of a process and the deployment it belongs to."""

    certificate: str
    key: str
    authority: str
    deployment: str


class _Pems(typing.NamedTuple):
    certificate: bytes
    key: bytes
    authority: bytes


def find_tls_settings(settings):
    """Return the TlsSettings of a process, or None without TLS."""
    if settings.tls_certificate is None:
        return None
    return TlsSettings(
        settings.tls_certificate,
        settings.tls_key,
        settings.tls_authority,
        settings.deployment,
    )


def server_credentials(tls):
    """Return credentials that ask for the client's certificate."""
    loaded = [_read(tls)]

    def fetch():
        present = _read(tls)
        if present == loaded[0]:
            return None
        loaded[0] = present
        return _server_configuration(present)

    return grpc.dynamic_ssl_server_credentials(
        _server_configuration(loaded[0]),
        fetch,
        require_client_authentication=True,
    )


def channel_credentials(tls):
    """Return credentials of the files as they are now."""
    pems = _read(tls)
    return grpc.ssl_channel_credentials(
        pems.authority, pems.key, pems.certificate
    )


def sidecar_name_option(tls):
    """Return the channel option that checks the sidecar's name."""
    return (NAME_OVERRIDE, f'sidecar.{tls.deployment}')


def is_entry_of(tls, context):
    """Tell whether a call comes from an entry of the deployment."""
    names = context.auth_context().get(SUBJECT_NAMES, [])
    return f'entry.{tls.deployment}'.encode() in names


def _server_configuration(pems):
    return grpc.ssl_server_certificate_configuration(
        [(pems.key, pems.certificate)], pems.authority
    )


def _read(tls):
    return _Pems(
        pathlib.Path(tls.certificate).read_bytes(),
        pathlib.Path(tls.key).read_bytes(),
        pathlib.Path(tls.authority).read_bytes(),
    )
