"""Define the errors of the project, each naming its remedy."""

from __future__ import annotations


class PersimmonRouteError(Exception):
    """Serve as the root of all errors of the project."""

    remedy = 'see the log of the process'

    def __init__(self, problem, remedy=None):
        super().__init__(problem)
        self.problem = problem
        self.remedy = remedy or self.remedy

    def __str__(self):
        return f'{self.problem}; {self.remedy}'


class SettingsError(PersimmonRouteError):
    """Report settings that fail validation."""

    remedy = 'mend the settings file and check it with --check-config'


class DeclarationError(PersimmonRouteError):
    """Report declarations that fail validation."""

    remedy = 'mend the declarations file and apply it again'


class RevisionConflictError(PersimmonRouteError):
    """Report that another operator changed the declarations first."""

    remedy = 'rebase on the revision in force and apply again'


class RevisionLagError(PersimmonRouteError):
    """Report processes that do not have the current revision in force."""

    remedy = 'check whether these instances are alive and reach an entry'


class UntrustedRevisionError(PersimmonRouteError):
    """Report a revision that its operator did not sign."""

    remedy = 'have the present operator apply it with their own key'


class NotOperatorError(PersimmonRouteError):
    """Report a command of somebody who does not hold the operation."""

    remedy = 'use the key of the present operator, or ask for a handover'


class PlatformUnavailableError(PersimmonRouteError):
    """Report that the platform's service gave no usable answer."""

    remedy = 'wait for the platform and repeat the command; it is idempotent'


class EndpointUnreachableError(PersimmonRouteError):
    """Report that no connection to the endpoint came about."""

    remedy = 'check that the endpoint listens at the configured address'


class EndpointBrokenError(PersimmonRouteError):
    """Report that an endpoint broke off after a request was sent."""

    remedy = 'check the log of the endpoint'


class BadRequestError(PersimmonRouteError):
    """Report a request of a caller that cannot be accepted."""

    status = 400
    kind = 'bad_request'
    remedy = 'correct the request and send it again'


class UnknownClassError(BadRequestError):
    """Report a missing or undeclared class."""

    kind = 'unknown_class'
    remedy = 'name a declared class in the Persimmon-Class header'


class UnknownWorkspaceError(BadRequestError):
    """Report a missing or undeclared workspace."""

    status = 403
    kind = 'unknown_workspace'
    remedy = 'name a declared workspace in the Persimmon-Workspace header'


class MissingKeyError(BadRequestError):
    """Report a non-idempotent request without an idempotency key."""

    kind = 'missing_idempotency_key'
    remedy = 'send a unique Idempotency-Key header with each new request'


class MismatchedKeyError(BadRequestError):
    """Report a key that was used before for a different request."""

    status = 422
    kind = 'idempotency_key_reused'
    remedy = 'use a new Idempotency-Key for a different request'


class BodyTooLargeError(BadRequestError):
    """Report a body over the limit."""

    status = 413
    kind = 'body_too_large'


class InvalidBodyError(BadRequestError):
    """Report a body that cannot be read."""

    kind = 'invalid_body'
    remedy = 'send a JSON object with a prompt or messages'


class WrongServiceError(BadRequestError):
    """Report a class that does not belong to the called path."""

    kind = 'wrong_service'
    remedy = 'call the path of the service that the class names'


class DocumentError(PersimmonRouteError):
    """Report a document of the platform's store that cannot be read."""

    remedy = 'have its writer mend it; the last readable one stays in force'


class HistoryLostError(PersimmonRouteError):
    """Report that the store no longer has the changes asked for."""

    remedy = 'read the table whole and follow it from there'


class LogFileError(PersimmonRouteError):
    """Report a log file that cannot be read."""

    remedy = 'give the files with the standard output of the processes'
