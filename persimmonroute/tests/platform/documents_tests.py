"""Test how rows of other writers are read."""

from __future__ import annotations

import json
import unittest

import hypothesis
from hypothesis import strategies

from persimmonroute import exceptions
from persimmonroute.platform import documents
from standins import gateway_deployment

SOUND = {
    'Service': 'llm',
    'Address': '10.1.0.7:8126',
    'Zone': 'riga-a',
    'Version': 'v1',
    'Slots': 4,
    'State': 'ready',
    'ColdRemainingMs': 0,
    'Sequence': 1,
    'born': 1_780_000_000_000,
}
# Largest row of the store, in bytes.
ROW_BYTES = 65_536
NESTED = b'[' * 60_000
HUGE = 10**400
ODD_VALUES = (
    None,
    True,
    [],
    {},
    '',
    -1,
    HUGE,
    -HUGE,
    1.5,
    float('nan'),
    float('inf'),
    'x' * 60_000,
    'a\nb',
    '\ud800',
    [[[[]]]],
)
ODD_ADDRESSES = (
    '10.1.0.7',
    '10.1.0.7:0',
    '10.1.0.7:65536',
    '10.1.0.7:-1',
    '10.1.0.7: 80',
    '10.1.0.7:8_0',
    f'10.1.0.7:{HUGE}',
    ':8126',
    'host name:8126',
    'a' * 300 + ':8126',
    '10.1.0.7\x00:8126',
    '10.1.0.7\r\nx: y:8126',
)
# Names in the documents of all tables.
FIELDS = (
    'Version',
    'Routes',
    'Services',
    'Limits',
    'Tenants',
    'Name',
    'Kind',
    'TimeoutMs',
    'ApiKeys',
    'RatePerS',
    'Engine',
    'address',
    'failure_domain',
    'cores',
    'service',
    'version',
    'kind',
    'name',
    'born',
)
ANY_VALUE = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(FIELDS), inner, max_size=3
        )
    ),
    max_leaves=8,
)
FIELDS_TO_USE = tuple(SOUND.keys() - {'ColdRemainingMs', 'Sequence'})


def encode(**changes):
    """Return the bytes of a registration."""
    return json.dumps({**SOUND, **changes}).encode()


class RunnerTests(unittest.TestCase):
    """Read registrations of endpoints."""

    def _assert_unreadable(self, data, runner_id='i-1'):
        with self.assertRaises(exceptions.DocumentError) as raised:
            documents.read_runner(runner_id, data)
        # A log line of a bounded size.
        self.assertLess(len(str(raised.exception)), 1000)

    def test_sound_registration(self):
        """All fields are read."""
        runner = documents.read_runner('i-1', encode())
        self.assertEqual(runner.address, '10.1.0.7:8126')
        self.assertEqual(runner.incarnation, ('i-1', SOUND['born']))

    def test_bytes_that_are_no_document(self):
        """Guards against nested brackets and numbers without an end."""
        for data in (
            b'',
            b'\xff\xfe\x00',
            b'null',
            b'3',
            NESTED,
            b'{"a":' * 10_000,
            b'{"Slots": ' + b'9' * 60_000 + b'}',
            encode().replace(b'"ready"', b'[' * 900 + b']' * 900),
        ):
            with self.subTest(data=data[:20]):
                self._assert_unreadable(data)

    def test_odd_values(self):
        """Guards against values that fail only where they are used."""
        for field in FIELDS_TO_USE:
            for value in ODD_VALUES:
                with self.subTest(field=field, value=str(value)[:20]):
                    self._assert_unreadable(encode(**{field: value}))

    def test_missing_fields(self):
        """Each field that tells what an endpoint is has to be there."""
        for field in SOUND:
            if field == 'born':
                continue
            document = {k: v for k, v in SOUND.items() if k != field}
            with self.subTest(field=field):
                self._assert_unreadable(json.dumps(document).encode())

    def test_rows_of_other_writers_name_no_endpoint(self):
        """Guards against requests that are sent to any web server."""
        for field in ('ColdRemainingMs', 'Sequence'):
            for value in (None, True, '1', [], {}):
                with self.subTest(field=field, value=value):
                    self._assert_unreadable(encode(**{field: value}))
        documents.read_runner('i-1', encode(ColdRemainingMs=12.5))

    def test_odd_addresses(self):
        """Guards against ports out of range and addresses that are names."""
        for address in ODD_ADDRESSES:
            with self.subTest(address=address[:30]):
                self._assert_unreadable(encode(Address=address))

    def test_odd_ids(self):
        """Ids are sent in a header."""
        for runner_id in ('', 'a\nb', 'a b', 'é', 'x' * 300):
            with self.subTest(id=runner_id[:10]):
                self._assert_unreadable(encode(), runner_id)

    def test_slots(self):
        """An endpoint without a slot serves nothing."""
        self._assert_unreadable(encode(Slots=0))

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_read_or_refused(self, data):
        """No other error leaves the reader."""
        try:
            documents.read_runner('i-1', data)
        except exceptions.DocumentError:
            return

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.sampled_from(sorted(SOUND)),
        ANY_VALUE,
    )
    def test_any_value_is_read_or_refused(self, field, value):
        """What is read has values in range."""
        try:
            runner = documents.read_runner('i-1', encode(**{field: value}))
        except exceptions.DocumentError:
            return
        self.assertGreater(runner.slots, 0)
        self.assertGreaterEqual(runner.started_at_ms, 0)
        self.assertLess(runner.started_at_ms, 2**53)
        for text in (runner.service, runner.failure_domain, runner.version):
            text.encode()


class ConfigurationTests(unittest.TestCase):
    """Read configurations that cannot be meant."""

    def test_unreadable_configurations(self):
        """All of them are refused with the same error."""
        route = {
            'Name': 'r',
            'Kind': 'streaming',
            'Service': 'llm',
            'Host': 'h',
            'Prefix': '/',
            'TimeoutMs': HUGE,
        }
        for data in (
            NESTED,
            b'{"Version": ' + b'9' * 60_000 + b'}',
            json.dumps({'Version': 1, 'Routes': [route]}).encode(),
        ):
            with self.subTest(data=data[:20]):
                with self.assertRaises(exceptions.DocumentError):
                    documents.read_configuration(data)


class OtherReaderTests(unittest.TestCase):
    """Read rows of gateways, versions, traits and instances."""

    READERS = (
        documents.read_configuration,
        documents.read_gateway,
        documents.read_version,
        documents.read_instance,
        documents.read_value,
    )

    def _read_all(self, data):
        for reader in self.READERS:
            with self.subTest(reader=reader.__name__):
                try:
                    reader(data)
                except exceptions.DocumentError as error:
                    self.assertLess(len(str(error)), 1000)
        documents.read_start(data)

    def test_bytes_that_are_no_document(self):
        """Nested brackets and long numbers are refused everywhere."""
        for data in (b'', NESTED, b'9' * 60_000, b'{"a":' * 10_000):
            with self.subTest(data=data[:10]):
                self._read_all(data)

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(FIELDS),
            ANY_VALUE,
        )
    )
    def test_any_document_is_read_or_refused(self, document):
        """No other error leaves a reader."""
        self._read_all(json.dumps(document).encode())

    def test_traits(self):
        """A trait fits into messages between gateways."""
        self.assertEqual(documents.read_trait('00000000000000ff'), 255)
        for key in ('', 'ff', 'g' * 16, 'f' * 17, '+' + 'f' * 15):
            with self.subTest(key=key):
                with self.assertRaises(exceptions.DocumentError):
                    documents.read_trait(key)


class StartTests(unittest.TestCase):
    """Read when an endpoint started from its report."""

    def test_odd_reports(self):
        """An unreadable report tells no start."""
        for data in (b'', NESTED, b'[]', b'{"born": 1e400}', b'{"born": -1}'):
            with self.subTest(data=data[:20]):
                self.assertIsNone(documents.read_start(data))


class ConfigurationFormTests(unittest.TestCase):
    """Read configurations in other forms of the same values."""

    def _read(self, document):
        return documents.read_configuration(json.dumps(document).encode())

    def test_whole_numbers_may_have_a_fraction_of_zero(self):
        """Guards against a change that one field keeps from all callers."""
        usual = gateway_deployment.configuration(7)
        other = json.loads(json.dumps(usual))
        other['Version'] = 7.0
        for route in other['Routes']:
            route['Priority'] = float(route['Priority'])
            route['MaxAttempts'] = float(route['MaxAttempts'])
        other['Services'][0]['MaxConnections'] = 50.0
        other['Limits']['MaxBodyBytes'] = 10_000.0
        self.assertEqual(self._read(other), self._read(usual))

    def test_null_counts_as_missing(self):
        """Guards against a change that one field keeps from all callers."""
        usual = gateway_deployment.configuration(7)
        other = json.loads(json.dumps(usual))
        for document in (usual, other):
            for route in document['Routes']:
                del route['Priority'], route['MaxAttempts']
            document['Limits'] = {}
        for route in other['Routes']:
            route['Priority'] = route['MaxAttempts'] = None
        other['Limits'] = {
            'MaxHeaderBytes': None,
            'MaxBodyBytes': None,
            'HeaderTimeoutMs': None,
            'IdleTimeoutMs': None,
        }
        self.assertEqual(self._read(other), self._read(usual))

    def test_parts_of_a_whole_are_refused(self):
        """Guards against versions that are rounded."""
        document = gateway_deployment.configuration(7.5)
        with self.assertRaises(exceptions.DocumentError):
            self._read(document)
