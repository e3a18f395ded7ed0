"""Test the validation of declarations."""

from __future__ import annotations

import copy
import json
import pathlib
import unittest

from persimmonroute.config import declarations
from persimmonroute import exceptions

DEPLOY = pathlib.Path(__file__).parents[3] / 'deploy'
VALID = {
    'services': {
        'llm-pool': {'kind': 'model'},
        'trade-desk': {'kind': 'plain'},
    },
    'workspaces': ['riga-desk'],
    'classes': [
        {
            'name': 'counter-offer',
            'service': 'llm-pool',
            'tier': 1,
            'target': {'success': 0.99, 'first_token_s': 0.96},
        },
        {
            'name': 'purchase-order',
            'service': 'trade-desk',
            'tier': 1,
            'idempotent': False,
            'target': {'success': 0.99, 'answer_s': 2.0},
        },
    ],
}


class CheckDeclarationsTests(unittest.TestCase):
    """Validate declaration documents."""

    def _paths(self, document):
        _, problems = declarations.check_declarations(document)
        return {problem.path for problem in problems}

    def test_valid_document(self):
        """A valid document yields its classes by name."""
        checked, problems = declarations.check_declarations(VALID)
        self.assertEqual(problems, [])
        self.assertFalse(checked.classes['purchase-order'].idempotent)

    def test_every_problem_has_its_path(self):
        """Errors in several classes are all reported with their paths."""
        document = copy.deepcopy(VALID)
        document['classes'][0]['tier'] = 9
        document['classes'][0]['target'] = {'success': 0.99}
        document['classes'][1]['service'] = 'nowhere'
        document['classes'][1]['weight'] = 3
        self.assertEqual(
            self._paths(document),
            {
                'classes[0].tier',
                'classes[0].target.first_token_s',
                'classes[1].service',
                'classes[1].weight',
            },
        )

    def test_names_are_unique(self):
        """A class name that is declared twice is an error."""
        document = copy.deepcopy(VALID)
        document['classes'][1]['name'] = 'counter-offer'
        self.assertIn('classes[1].name', self._paths(document))

    def test_malformed_documents_yield_problems(self):
        """Any JSON value yields problems instead of an exception."""
        shapes = (None, 3, [], {}, {'classes': 3}, {'classes': [3]})
        for shape in (*shapes, {'services': [1], 'classes': [{}]}):
            with self.subTest(shape=shape):
                checked, problems = declarations.check_declarations(shape)
                self.assertIsNone(checked)
                self.assertTrue(problems)

    def test_invalid_json_raises_error_with_remedy(self):
        """Invalid JSON raises DeclarationError with its remedy."""
        with self.assertRaises(exceptions.DeclarationError) as caught:
            declarations.parse_declarations('{')
        self.assertIn('apply it again', str(caught.exception))

    def test_deployed_declarations_are_valid(self):
        """The declarations of all deployments are valid."""
        for path in DEPLOY.glob('*/declarations.json'):
            with self.subTest(path=path):
                document = json.loads(path.read_text())
                _, problems = declarations.check_declarations(document)
                self.assertEqual(problems, [])
