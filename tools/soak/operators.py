"""Change the configuration of the gateways as its operator."""

from __future__ import annotations

from standins import gateway_deployment as deployments
from tools.soak import callers
from tools.soak import records

# A share of the requests continues to use keys for a while after their
# revocation.
REVOKED_KEY_USE_S = 6.0
REVOKED_KEY_SHARE = 0.4
WORKSPACES = 4
# A service without endpoints, to which storms move routes.
SPARE_SERVICE = 'spare'
MAX_STORM_ROUTES = 4
TIMEOUT_MS = 2000
LONG_TIMEOUT_MS = 4000
# A storm lengthens the timeouts, or shortens those of long routes.
STORM_TIMEOUTS_MS = (2000, 3000)
STORM_LONG_TIMEOUTS_MS = (3000, 4000, 6000)


class Operator:
    """Write versions of the configuration and record them."""

    def __init__(self, platform, journal, rng, now):
        self._platform = platform
        self._journal = journal
        self._rng = rng
        self._now = now
        self._version = 1
        # Workspaces by key, also of revoked keys.
        self.workspaces = {f'key-{n}': f'desk-{n}' for n in range(WORKSPACES)}
        self._lasting_keys = tuple(self.workspaces)
        self._revoked_at = {}
        # Routes that versions added one by one; each is kept.
        self.probe_routes = []
        # Services of the routes that a storm added, by name.
        self._storm_services = {}
        self._route_count = 0
        self._timeout_ms = TIMEOUT_MS
        self._long_timeout_ms = LONG_TIMEOUT_MS

    @property
    def version(self):
        """Return the newest version of the configuration."""
        return self._version

    @property
    def storm_routes(self):
        """Return the names of the routes that a storm added and kept."""
        return list(self._storm_services)

    def choose_key(self):
        """Return the key of a request; some were revoked lately."""
        revoked = [
            key
            for key, since in self._revoked_at.items()
            if self._now() < since + REVOKED_KEY_USE_S
        ]
        if revoked and self._rng.random() < REVOKED_KEY_SHARE:
            return self._rng.choice(revoked)
        return self._rng.choice(
            [key for key in self.workspaces if key not in self._revoked_at]
        )

    def write(self):
        """Write the configuration to the store."""
        routes = [self._build_route(name) for name in callers.ROUTES]
        routes += [
            self._build_route(name, Service=service)
            for name, service in self._storm_services.items()
        ]
        routes += [
            deployments.route(name, Kind='idempotent')
            for name in self.probe_routes
        ]
        services = [
            {'Name': name, 'MaxConnections': 50}
            for name in (deployments.SERVICE, SPARE_SERVICE)
        ]
        document = deployments.configuration(
            self._version,
            Routes=routes,
            Services=services,
            Tenants=self._build_tenants(),
        )
        self._platform.put_row('op', 'config', document)

    def add_version(self):
        """Add a route that stays."""
        self._version += self._rng.randint(1, 5)
        name = f'v{self._version}'
        self.probe_routes.append(name)
        self.write()
        self._journal.changes.append(
            records.Change('version', name, self._now())
        )

    def revoke_key(self):
        """Revoke one of the keys, but not the last."""
        active = [k for k in self._lasting_keys if k not in self._revoked_at]
        if len(active) > 1:
            self._revoke(self._rng.choice(active))

    def change_at_random(self):
        """Make one of the changes of a storm."""
        change = self._rng.choice(
            (
                self._add_key,
                self._revoke_added_key,
                self._add_route,
                self._move_route,
                self._remove_route,
                self._change_timeouts,
            )
        )
        change()

    def _revoke(self, key):
        self._revoked_at[key] = self._now()
        self._write_next()
        self._journal.changes.append(
            records.Change('revoked', key, self._now())
        )

    def _add_key(self):
        workspace = f'desk-{self._rng.randrange(WORKSPACES)}'
        self.workspaces[f'key-{len(self.workspaces)}'] = workspace
        self._write_next()

    def _revoke_added_key(self):
        added = [
            key
            for key in self.workspaces
            if key not in self._lasting_keys and key not in self._revoked_at
        ]
        if added:
            self._revoke(self._rng.choice(added))

    def _add_route(self):
        if len(self._storm_services) >= MAX_STORM_ROUTES:
            self._remove_route()
        self._route_count += 1
        kind = self._rng.choice(callers.ROUTES)
        name = f'{kind}-{self._route_count}'
        self._storm_services[name] = deployments.SERVICE
        self._write_next()

    def _move_route(self):
        if self._storm_services:
            name = self._rng.choice(self.storm_routes)
            others = {deployments.SERVICE, SPARE_SERVICE}
            others.discard(self._storm_services[name])
            self._storm_services[name] = others.pop()
            self._write_next()

    def _remove_route(self):
        if self._storm_services:
            del self._storm_services[self._rng.choice(self.storm_routes)]
            self._write_next()

    def _change_timeouts(self):
        self._timeout_ms = self._rng.choice(STORM_TIMEOUTS_MS)
        self._long_timeout_ms = self._rng.choice(STORM_LONG_TIMEOUTS_MS)
        self._write_next()
        self._journal.timeouts.append(
            records.TimeoutChange(self._now(), self._long_timeout_ms / 1000)
        )

    def _write_next(self):
        self._version += 1
        self.write()

    def _build_route(self, name, **fields):
        kind = callers.kind_of(name)
        if kind in callers.STREAM_ROUTES:
            fields['Kind'] = 'streaming'
        elif kind not in callers.AT_MOST_ONCE_ROUTES:
            fields['Kind'] = 'idempotent'
        if kind == 'single':
            fields['MaxAttempts'] = 1
        long = kind in callers.LONG_ROUTES
        return deployments.route(
            name,
            StreamResume=kind in callers.RESUMABLE_ROUTES,
            TimeoutMs=self._long_timeout_ms if long else self._timeout_ms,
            **fields,
        )

    def _build_tenants(self):
        keys = {workspace: [] for workspace in self.workspaces.values()}
        for key, workspace in self.workspaces.items():
            if key not in self._revoked_at:
                keys[workspace].append(key)
        return [
            {'Name': workspace, 'ApiKeys': held, 'Priority': 1}
            for workspace, held in keys.items()
            if held
        ]
