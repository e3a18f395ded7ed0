"""Test what odd numbers of callers, peers and settings do to messages."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from persimmonroute.gateway import admission
from persimmonroute.gateway import admission_codec
from persimmonroute.gateway import admission_messages as messages
from persimmonroute.gateway import model
from persimmonroute.gateway import peer_link
from persimmonroute.generated import peers_pb2 as pb
from persimmonroute import logs
from persimmonroute.platform import ingress
from standins import gateway_fixtures as fixtures
from standins import report_fuzzer

MAX_UINT32 = 2**32 - 1
ODD_NUMBERS = (0.0, -1.0, 1e12, 1e300, float('inf'), -float('inf'))
HUGE = b'9' * 6000
FUZZ_SEEDS = 8
FUZZ_MESSAGES = 400


def build_offer(**changes):
    """Return an offer; changes override fields."""
    built = messages.Offer(
        offer_id=1,
        service=fixtures.SERVICE,
        region='riga',
        route='draft',
        tier=1,
        objective_s=0.5,
        due_s=0.5,
        remaining_s=4.0,
        age_s=0.0,
        prompt=(),
        excluded=(),
        redirected=False,
    )
    return built._replace(**changes)


class CallerTests(unittest.TestCase):
    """Read odd headers of callers."""

    def test_odd_deadlines(self):
        """No deadline is later than a day or not a number."""
        for value in (b'1e12', b'inf', b'nan', b'-inf', b'1e999', HUGE):
            with self.subTest(value=value[:10]):
                deadline = ingress._read_deadline(value)
                if deadline is not None:
                    self.assertLessEqual(deadline, 86_400.0)
                    self.assertGreaterEqual(deadline, 0.0)

    def test_odd_token_counts(self):
        """Counts fit into messages between gateways."""
        for value in (b'99999999999', HUGE, b'0'):
            with self.subTest(value=value[:10]):
                for part in ingress._read_prompt(b'a:' + value):
                    self.assertLessEqual(part.tokens, MAX_UINT32)
                prompt, output, _ = ingress._read_usage(value + b',1')
                self.assertLessEqual(prompt + output, MAX_UINT32)

    def test_long_deadline_makes_no_other_request_old(self):
        """Guards against offers of a whole route that cannot be sent."""
        ages = admission.RetryAges()
        route = fixtures.route()
        ages.find(route, fixtures.request(remaining_s=1e7))
        age_s = ages.find(route, fixtures.request(remaining_s=4.0))
        self.assertLessEqual(age_s, admission.MAX_RETRY_AGE_S)


class EncodingTests(unittest.TestCase):
    """Send messages with numbers that no field takes."""

    def test_any_number_is_encoded(self):
        """Guards against an error that loses the messages beside it."""
        for number in ODD_NUMBERS:
            tokens = int(min(max(number, 0.0), 1e300))
            with self.subTest(number=number):
                admission_codec.encode(
                    [
                        build_offer(
                            tier=tokens,
                            objective_s=number,
                            due_s=number,
                            remaining_s=number,
                            age_s=number,
                            prompt=(model.PromptPart('a', tokens),),
                            output_tokens=tokens,
                        ),
                        messages.Refusal(1, 'x', number),
                        messages.OfferEnd(1, model.Ending.ANSWERED, number),
                        messages.OfferEnd(
                            1,
                            model.Ending.ANSWERED,
                            load=model.RunnerLoad(tokens, -1, tokens, tokens),
                        ),
                        messages.GroupSummary('llm', 'riga', {tokens: number}),
                    ]
                )

    def test_message_that_cannot_be_encoded_loses_no_other(self):
        """The messages to other gateways are sent whatever fails."""
        board = fixtures.board(name='own')
        for name in ('a', 'b'):
            board.peers.update_peer(name, f'{name}:1', 0.0, 'riga-b', 1.0)
        link = peer_link.PeerLink(
            board,
            fixtures.scheduler(board),
            '127.0.0.1:1',
            fixtures.LOCALITY,
            None,
            1.0,
        )
        sent = []
        link._transport = transport = mock.Mock()
        transport.is_closing.return_value = False
        transport.sendto = lambda data, address: sent.append(address[0])

        async def send():
            link.send_admission('a', messages.Queued('not a number'))
            link.send_admission('b', messages.Queued(1))
            await asyncio.sleep(0)

        asyncio.run(send())
        self.assertEqual(sent, ['b'])


class ReadingTests(unittest.TestCase):
    """Receive messages of peers with any values."""

    def test_any_message_of_a_peer_does_no_harm(self):
        """Guards against numbers and texts that fail where they are used."""
        for seed in range(FUZZ_SEEDS):
            findings = report_fuzzer.fuzz(seed, FUZZ_MESSAGES)
            self.assertEqual(findings, [], f'seed {seed}')

    def _receive(self, board, *parts, **fields):
        link = peer_link.PeerLink(
            board,
            fixtures.scheduler(board),
            '127.0.0.1:1',
            fixtures.LOCALITY,
            mock.Mock(),
            1.0,
        )
        report = pb.GatewayReport(
            name='peer',
            address='127.0.0.1:2',
            incarnation=1,
            sequence=len(board.unreadable_parts.counts) + 1,
            failure_domain='riga-b',
            cores=1.0,
            **fields,
        )
        for part in parts:
            report.MergeFrom(part)
        link.datagram_received(report.SerializeToString(), None)

    def test_unreadable_parts_are_passed_over(self):
        """The other parts are used; each kind is logged once."""
        board = fixtures.board(name='own')
        odd = pb.GatewayReport()
        odd.endpoints.add(id='r1', in_flight=2)
        odd.endpoints.add(id='x' * 60_000, in_flight=1)
        odd.endpoints.add(id='r2', in_flight=2**32 - 1)
        odd.waiting.add(service='llm', rank=float('nan'), requests=1)
        odd.used.add(workspace='desk', units=float('inf'))
        odd.limits.add(id='r1', per_s=-1.0)
        with mock.patch.object(logs.EventLog, 'emit') as emit:
            self._receive(board, odd)
        (view,) = board.runner_registry
        self.assertEqual(view.peer_in_flight, {'peer': 2})
        self.assertEqual(board.peers.higher_tier_demand('llm', 5, 0.0)[0], 0)
        counts = {'endpoint': 2, 'waiting work': 1, 'usage': 1, 'limit': 1}
        self.assertEqual(board.unreadable_parts.counts, counts)
        self.assertEqual(emit.call_count, 4)
        for call in emit.call_args_list:
            self.assertLess(len(str(call)), 1000)

    def test_report_out_of_range_changes_nothing(self):
        """The last report that could be read stays in force."""
        for field, most in (
            ('configuration_version', 2**64 - 1),
            ('registrations_version', 2**64 - 1),
            ('store_era', 2**32 - 1),
        ):
            with self.subTest(field=field):
                board = fixtures.board(name='own')
                self._receive(board, **{field: most})
                self.assertEqual(board.newest_reported_version, 0)
                self.assertIsNone(board.store_era)
                self.assertIsNone(board.peers.find('peer'))
