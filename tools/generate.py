"""Generate the protobuf modules, or check that they are current.

Usage: python -m tools.generate [--check]
"""

from __future__ import annotations

import pathlib
import sys
import tempfile

from grpc_tools import protoc

PACKAGE = pathlib.Path(__file__).parent.parent / 'persimmonroute'
SOURCE = PACKAGE / 'proto'
TARGET = PACKAGE / 'generated'


def generate(target):
    """Write the generated modules into a folder."""
    status = protoc.main(
        [
            'protoc',
            f'--proto_path={SOURCE}',
            f'--python_out={target}',
            f'--pyi_out={target}',
            f'--grpc_python_out={target}',
            str(SOURCE / 'exchange.proto'),
            str(SOURCE / 'peers.proto'),
        ]
    )
    if status:
        raise SystemExit(f'protoc failed with status {status}')
    # peers.proto defines no service, so its gRPC module is unused.
    (pathlib.Path(target) / 'peers_pb2_grpc.py').unlink()
    grpc_module = pathlib.Path(target) / 'exchange_pb2_grpc.py'
    text = grpc_module.read_text()
    text = text.replace(
        'import exchange_pb2 as',
        'from persimmonroute.generated import exchange_pb2 as',
    )
    grpc_module.write_text(text)


def check():
    """Return the names of committed modules that differ from the output."""
    with tempfile.TemporaryDirectory() as folder:
        generate(folder)
        return [
            path.name
            for path in sorted(pathlib.Path(folder).iterdir())
            if path.read_text() != (TARGET / path.name).read_text()
        ]


def main():
    """Generate, or check with --check."""
    if '--check' not in sys.argv:
        generate(TARGET)
        return
    stale = check()
    if stale:
        raise SystemExit(
            f'stale generated code: {stale}; run python -m tools.generate'
        )


if __name__ == '__main__':
    main()
