"""Tell where a request would go now, without sending it."""

from __future__ import annotations

import typing

from persimmonroute.gateway import groups
from persimmonroute.gateway import messages
from persimmonroute.gateway import model


MAX_COUNT = 1_000_000_000
# Digits of a number that are read.
MAX_TEXT = 12


class Query(typing.NamedTuple):
    """Describe a request that is not sent."""

    host: str
    path: str
    workspace: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt: tuple[model.PromptPart, ...] = ()
    remaining_s: float | None = None


def read_query(parameters):
    """Return the Query of an HTTP request's parameters.

    Raises ValueError for one that cannot be read.
    """
    remaining_ms = parameters.get('remaining_ms')
    remaining_s = None
    if remaining_ms is not None:
        remaining_s = _read_count(remaining_ms) / 1000
    return Query(
        host=parameters.get('host', ''),
        path=parameters.get('path', ''),
        workspace=parameters.get('workspace', ''),
        prompt_tokens=_read_count(parameters.get('prompt_tokens', '0')),
        output_tokens=_read_count(parameters.get('output_tokens', '0')),
        prompt=tuple(
            _read_part(part)
            for part in parameters.get('prompt', '').split(',')
            if part
        ),
        remaining_s=remaining_s,
    )


class Preview:
    """Answer queries with what a gateway believes at this moment.

    The host of a group decides, so its view is the exact one; another gateway
    tells what it knows of the endpoints, and who the host is.
    """

    def __init__(self, board, admission, scheduler, offers, directory, host):
        self._board = board
        self._admission = admission
        self._scheduler = scheduler
        self._offers = offers
        self._directory = directory
        self._host = host

    def explain(self, query, now):
        """Return what would happen to a request, as a JSON object."""
        admitted = self._admission.preview(self._build_request(query), now)
        found = {
            'gateway': self._board.name,
            'configuration': self._board.version,
            'configuration_age_s': _round(
                self._board.configuration_freshness.age_s(now)
            ),
        }
        if isinstance(admitted, model.Rejection):
            return {**found, 'rejected': _describe_rejection(admitted)}
        services = admitted.route.destinations
        return {
            **found,
            'route': admitted.route.name,
            'tier': admitted.tier,
            'objective_s': admitted.route.objective_s,
            'services': [
                self._describe_service(admitted, destination, now)
                for destination in services
            ],
        }

    def _build_request(self, query):
        return model.Request(
            attempt='preview',
            method='POST',
            host=query.host.lower(),
            path=query.path,
            target=query.path,
            headers=(),
            body=b'',
            key=self._find_key(query.workspace),
            remaining_s=query.remaining_s,
            prompt_tokens=query.prompt_tokens,
            output_tokens=query.output_tokens,
            states_tokens=bool(query.prompt_tokens or query.output_tokens),
            prompt=query.prompt,
            last_event_id=None,
        )

    def _find_key(self, name):
        """Return a key of a workspace, since operators name no keys."""
        if self._board.route_table is None:
            return None
        for workspace in self._board.route_table.configuration.workspaces:
            if workspace.name == name and workspace.keys:
                return workspace.keys[0]
        return None

    def _describe_service(self, admitted, destination, now):
        pending = messages.PendingRequest(
            admitted.request,
            admitted.route,
            destination.service,
            admitted.workspace,
            now,
        )
        found = self._offers.find_groups(pending.service)
        return {
            'service': destination.service,
            'weight': destination.weight,
            'groups': [
                self._describe_group(pending, group, now) for group in found
            ],
        }

    def _describe_group(self, pending, group, now):
        host = self._directory.find_host(group, (), now)
        hosted = self._host.find(group)
        exact = host == self._board.name and hosted is not None
        described = {'region': group.region, 'host': host, 'exact': exact}
        if exact:
            scheduler, registry = hosted.scheduler, hosted.runner_registry
        else:
            scheduler, registry = (
                self._scheduler,
                self._board.runner_registry,
            )
        views = [
            view
            for view in registry.of_service(pending.service)
            if exact or self._find_group(view) == group
        ]
        free = [v for v in scheduler.find_free(pending, now) if v in views]
        placement = scheduler.placement
        chosen = placement.choose(pending, free, scheduler.limit_of, now)
        costs = placement.find_costs(pending, views, scheduler.limit_of, now)
        described['queued'] = scheduler.queue_length(pending.service)
        described['expected_wait_s'] = {
            str(tier): _round(wait_s)
            for tier, wait_s in scheduler.expected_waits(
                pending.service, now
            ).items()
        }
        described['endpoint'] = None if chosen is None else chosen.id
        described['endpoints'] = [
            {
                **_describe_view(view, scheduler, view in free, now),
                'cost_ms': round(costs[view.id], 1),
                'cached_tokens': view.cached_tokens(
                    pending.request.prompt, now
                ),
            }
            for view in views
        ]
        return described

    def _find_group(self, view):
        region = self._offers.locality.region_of(view.record.failure_domain)
        return groups.Group(view.record.service, region)


def _describe_view(view, scheduler, free, now):
    described = {
        'id': view.id,
        'failure_domain': view.record.failure_domain,
        'version': view.record.version,
        'in_flight': view.load,
        'limit': scheduler.limit_of(view),
        'free': free,
        'problem': _find_problem(view, scheduler, free, now),
    }
    load = view.reported_load
    if load is not None:
        described['reported'] = {
            **load._asdict(),
            'age_s': _round(now - view.load_reported_at),
        }
    return described


def _find_problem(view, scheduler, free, now):
    """Return why nothing would be sent to an endpoint, or None."""
    if free:
        return None
    if view.leaving:
        return 'leaving'
    if view.paused_until > now:
        return f'paused for {view.paused_until - now:.3f} s'
    if view.load >= scheduler.limit_of(view):
        return 'full'
    if not view.usable(now):
        return 'not usable after a failure'
    return 'not allowed for this request now'


def _describe_rejection(rejection):
    return {
        'status': rejection.status,
        'reason': rejection.reason,
        'retry_after_s': rejection.retry_after_s,
        'detail': rejection.detail,
    }


def _read_part(text):
    name, _, tokens = text.partition(':')
    return model.PromptPart(name, _read_count(tokens))


def _read_count(text):
    count = int(text[:MAX_TEXT])
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f'{count} is out of range')
    return count


def _round(seconds):
    return round(min(seconds, 1e9), 3)
