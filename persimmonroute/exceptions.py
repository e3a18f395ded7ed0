"""Define the errors of the project and their remedies."""

from __future__ import annotations


class PersimmonRouteError(Exception):
    """Serve as the base class of all errors of the project."""

    remedy = 'see the log of the process for details'

    def __init__(self, problem, remedy=None):
        super().__init__(problem)
        self.problem = problem
        self.remedy = remedy or self.remedy

    def __str__(self):
        return f'{self.problem}; {self.remedy}'


class SettingsError(PersimmonRouteError):
    """Report settings that fail validation."""

    remedy = 'correct the settings file and check it with --check-config'


class DeclarationError(PersimmonRouteError):
    """Report declarations that fail validation."""

    remedy = 'correct the declarations file and apply it again'


class RevisionConflictError(PersimmonRouteError):
    """Report that another operator changed the declarations first."""

    remedy = 'rebase on the current revision and apply again'


class RevisionLagError(PersimmonRouteError):
    """Report instances that have not applied the current revision."""

    remedy = 'check that these instances are running and can reach an entry'


class UntrustedRevisionError(PersimmonRouteError):
    """Report a revision without a valid signature of its operator."""

    remedy = 'ask the current operator to apply it with their own key'


class NotOperatorError(PersimmonRouteError):
    """Report a command that was not issued by the current operator."""

    remedy = 'use the key of the current operator, or ask for a handover'


class PlatformUnavailableError(PersimmonRouteError):
    """Report that the platform is unavailable or sent an invalid response."""

    remedy = 'wait for the platform and repeat the command; it is idempotent'


class EndpointUnreachableError(PersimmonRouteError):
    """Report that connecting to the endpoint failed."""

    remedy = 'check that the endpoint listens on the configured address'


class StreamHandoverError(PersimmonRouteError):
    """Report that a stream was broken off because its gateway stops."""

    remedy = 'take the stream up again; another gateway goes on with it'


class EndpointRefusedError(EndpointUnreachableError):
    """Report that nothing listens on the endpoint's address."""

    remedy = 'check that the endpoint runs'


class ResourcesExhaustedError(EndpointUnreachableError):
    """Report that this process has no descriptors or memory left."""

    remedy = 'raise the limit of open files of this process'


class EndpointBrokenError(PersimmonRouteError):
    """Report an endpoint that failed after a request was sent."""

    remedy = 'check the log of the endpoint'


class StreamMismatchError(PersimmonRouteError):
    """Report a response that does not go on with the stream that began."""

    remedy = 'check the log of the endpoint'


class EndpointReplacedError(PersimmonRouteError):
    """Report that another incarnation responds at an endpoint's address."""

    remedy = 'wait until the new incarnation has registered'


class ResponseIncompleteError(PersimmonRouteError):
    """Report a response that broke off after a part of it was sent."""

    remedy = 'look up the outcome of the request, or send it again if it may'


class BadRequestError(PersimmonRouteError):
    """Report an invalid request of a caller."""

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
    """Report an idempotency key reused for a different request."""

    status = 422
    kind = 'idempotency_key_reused'
    remedy = 'use a new Idempotency-Key for a different request'


class BodyTooLargeError(BadRequestError):
    """Report a request body over the size limit."""

    status = 413
    kind = 'body_too_large'


class InvalidBodyError(BadRequestError):
    """Report a request body that cannot be parsed."""

    kind = 'invalid_body'
    remedy = 'send a JSON object with a prompt or messages'


class WrongServiceError(BadRequestError):
    """Report a class whose service differs from that of the called path."""

    kind = 'wrong_service'
    remedy = 'call the path of the service that the class names'


class EntryStoppingError(PersimmonRouteError):
    """Report a request that an entry no longer passes on while it stops."""

    status = 503
    kind = 'not-run'
    remedy = 'send the request again after the time in Retry-After'


class NoMemoryError(PersimmonRouteError):
    """Report a request whose body the entry has no memory for."""

    status = 503
    kind = 'not-run'
    remedy = 'send the request again after the time in Retry-After'


class DocumentError(PersimmonRouteError):
    """Report a document of the platform's store that cannot be parsed."""

    remedy = (
        'correct the document at its source; the last valid one stays in use'
    )


class HistoryLostError(PersimmonRouteError):
    """Report that the store no longer has the requested changes."""

    remedy = 'reload the whole table and watch its changes from there'


class LogFileError(PersimmonRouteError):
    """Report a log file that cannot be read."""

    remedy = 'pass the files that contain the standard output of the processes'


class GatewayQueryError(PersimmonRouteError):
    """Report that a gateway did not answer an operator's question."""

    remedy = 'pass the metrics address of a running gateway'
