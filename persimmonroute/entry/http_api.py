"""Implement the HTTP API for callers."""

from __future__ import annotations

import asyncio
import json
import math
import uuid

from starlette import applications
from starlette import datastructures
from starlette import middleware
from starlette import responses
from starlette import routing

from persimmonroute import caller_account
from persimmonroute import clock
from persimmonroute.entry import intake
from persimmonroute.entry import messages
from persimmonroute.entry.messages import Outcome
from persimmonroute.entry import response_queue
from persimmonroute.entry import stopping
from persimmonroute import event_stream
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs
from persimmonroute import metrics_text

log = logs.EventLog(__name__)

OUTCOME_HEADER = 'Persimmon-Outcome'
REQUEST_ID_HEADER = 'Persimmon-Request-Id'
STATUS_CLIENT_CLOSED_REQUEST = 499
CALLER_DISCONNECTED = messages.ResponseEnded(
    '',
    Outcome.UNKNOWN,
    STATUS_CLIENT_CLOSED_REQUEST,
    problem='caller disconnected',
)
STREAM_TYPE = 'text/event-stream'
NO_MEMORY = 'no memory for the body of the request'
NO_MEMORY_RETRY_S = 1
METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']


class CloseWhenStopping:
    """Ask callers to close their connections while the entry stops."""

    def __init__(self, app, board):
        self._app = app
        self._board = board

    async def __call__(self, scope, receive, send):
        """Serve one request."""

        async def send_closing(message):
            if message['type'] == 'http.response.start':
                if self._board.stopping:
                    headers = datastructures.MutableHeaders(scope=message)
                    headers['Connection'] = 'close'
            await send(message)

        await self._app(scope, receive, send_closing)


class HttpApi:
    """Translate between HTTP requests and the entry's shell."""

    def __init__(self, shell):
        self._shell = shell

    def build_app(self):
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/completions', self._complete, methods=['POST']
                ),
                routing.Route(
                    '/v1/chat/completions', self._complete, methods=['POST']
                ),
                routing.Route(
                    '/services/{service}/{path:path}',
                    self._call_service,
                    methods=METHODS,
                ),
                routing.Route('/ready', self._ready),
                routing.Route('/metrics', self._metrics),
                routing.Route('/admin/v1/status', self._status),
                routing.Route(
                    '/admin/v1/configuration/{number:int}',
                    self._receive_revision,
                    methods=['POST'],
                ),
            ],
            exception_handlers={
                exceptions.BadRequestError: self._refuse_bad_request,
                exceptions.EntryStoppingError: self._refuse_late_body,
                exceptions.NoMemoryError: self._refuse_without_memory,
            },
            middleware=[
                middleware.Middleware(
                    CloseWhenStopping, board=self._shell.core.board
                )
            ],
        )

    async def _complete(self, request):
        body = await self._read_body(request)
        call = intake.read_completion(
            uuid.uuid4().hex, request.url.path, request.headers, body
        )
        return await self._serve(request, call)

    async def _call_service(self, request):
        body = await self._read_body(request)
        path = _read_service_path(request.scope['raw_path'])
        if request.url.query:
            path += f'?{request.url.query}'
        call = intake.read_service_call(
            uuid.uuid4().hex, request.method, path, request.headers, body
        )
        work_class = self._shell.core.validate_call(call)
        service = request.path_params['service']
        if work_class.service != service:
            raise exceptions.WrongServiceError(
                f'class {call.class_name!r} belongs to service'
                f' {work_class.service!r}, not {service!r}'
            )
        return await self._serve(request, call)

    async def _read_body(self, request):
        """Return a body, or raise EntryStoppingError at the end of a stop."""
        try:
            async with asyncio.timeout(None) as limit:
                with self._shell.core.board.open_requests.hold(limit):
                    return await self._read_parts(request)
        except TimeoutError as error:
            log.emit(Event.REQUEST_ENDED_BY_STOP, may_have_run=False)
            raise exceptions.EntryStoppingError(stopping.STOPPING) from error

    async def _read_parts(self, request):
        body, size = bytearray(), 0
        holding = caller_account.find_holding(request.scope)
        async for part in request.stream():
            size += len(part)
            # A client that is still sending would not read an early response.
            if size <= intake.MAX_BODY_BYTES:
                if not holding.take_body(len(part), clock.now_s()):
                    raise exceptions.NoMemoryError(NO_MEMORY)
                body += part
            elif size > intake.MAX_DISCARDED_BYTES:
                break
        intake.check_size(size)
        return bytes(body)

    async def _serve(self, request, call):
        holding = caller_account.find_holding(request.scope)
        queue = response_queue.ResponseQueue(holding)
        self._shell.submit(call, queue)
        first = await self._wait_first(request, call, queue)
        if call.stream and isinstance(first, messages.ResponseData):
            if first.streamed:
                return self._stream_response(call, first, queue)
        return await self._collect_response(call, first, queue)

    async def _wait_first(self, request, call, queue):
        disconnect = asyncio.create_task(_wait_disconnect(request))
        first = asyncio.create_task(queue.get())
        try:
            await asyncio.wait(
                (disconnect, first), return_when=asyncio.FIRST_COMPLETED
            )
            if not first.done():
                self._shell.disconnect(call.request_id)
                return CALLER_DISCONNECTED
            return first.result()
        finally:
            disconnect.cancel()
            first.cancel()

    async def _collect_response(self, call, first, queue):
        parts = []
        item = first
        while isinstance(item, messages.ResponseData):
            parts.append(item.data)
            item = await queue.get()
        return self._final_response(call, item, b''.join(parts))

    def _stream_response(self, call, first, queue):
        headers = {REQUEST_ID_HEADER: call.request_id}
        return responses.StreamingResponse(
            self._stream(call, first, queue),
            media_type=STREAM_TYPE,
            headers=headers,
        )

    async def _stream(self, call, first, queue):
        """Yield the events of a response and then its outcome.

        Raises ResponseIncompleteError if the response broke off, so that the
        server closes the connection before the body is complete.
        """
        splitter = event_stream.EventSplitter()
        item = first
        try:
            while isinstance(item, messages.ResponseData):
                for event in splitter.feed(item.data):
                    yield event.data
                item = await queue.get()
            completed = item.outcome is Outcome.COMPLETED
            if completed and splitter.rest:
                yield splitter.rest
            yield _outcome_event(item)
        finally:
            self._shell.disconnect(call.request_id)
        if not completed:
            raise exceptions.ResponseIncompleteError(item.problem)

    def _final_response(self, call, ended, body):
        headers = {
            OUTCOME_HEADER: ended.outcome.value,
            REQUEST_ID_HEADER: call.request_id,
        }
        if ended.retry_after_s is not None:
            headers['Retry-After'] = str(math.ceil(ended.retry_after_s))
        if ended.outcome is Outcome.COMPLETED:
            return responses.Response(
                body,
                ended.status,
                headers,
                media_type=ended.content_type or None,
            )
        return responses.JSONResponse(
            _error_body(ended), ended.status, headers
        )

    async def _refuse_bad_request(self, request, error):
        return _refuse(error, {})

    async def _refuse_late_body(self, request, error):
        retry_after_s = math.ceil(stopping.STOPPING_RETRY_S)
        return _refuse(error, {'Retry-After': str(retry_after_s)})

    async def _refuse_without_memory(self, request, error):
        return _refuse(error, {'Retry-After': str(NO_MEMORY_RETRY_S)})

    async def _ready(self, request):
        stopping = self._shell.core.board.stopping
        return responses.PlainTextResponse(
            'stopping' if stopping else 'ready', 503 if stopping else 200
        )

    async def _receive_revision(self, request):
        body = await self._read_body(request)
        self._shell.receive_revision(request.path_params['number'], body)
        return responses.JSONResponse({})

    async def _metrics(self, request):
        text = metrics_text.format_metrics(self._shell.metrics)
        return responses.PlainTextResponse(text)

    async def _status(self, request):
        board = self._shell.core.board
        return responses.JSONResponse(
            {
                'instance': board.name,
                'revision': board.revision,
                'in_progress': len(board.calls),
                'classes': self._report_classes(board),
                'sidecars': {
                    name: {
                        'linked': view.linked,
                        'usable': view.usable,
                        'revision': view.revision,
                        'running': view.load.running,
                        'queued': view.load.queued,
                        'limit': view.load.limit,
                    }
                    for name, view in sorted(board.sidecars.items())
                },
            }
        )

    def _report_classes(self, board):
        measured = self._shell.metrics.classes
        return {
            name: {
                'target': work_class.target.success,
                'reached': measured[name].success_share,
                'ended': measured[name].ended,
            }
            for name, work_class in sorted(board.declarations.classes.items())
        }


def _refuse(error, headers):
    """Return the response to a request that has not run."""
    headers = {OUTCOME_HEADER: Outcome.NOT_RUN.value, **headers}
    body = {'error': {'type': error.kind, 'message': str(error)}}
    return responses.JSONResponse(body, error.status, headers)


def _read_service_path(raw_path):
    """Return the path below that of a service, as the caller encoded it."""
    return '/' + raw_path.decode('ascii').split('/', 3)[3]


async def _wait_disconnect(request):
    while True:
        message = await request.receive()
        if message['type'] == 'http.disconnect':
            return


def _outcome_event(ended):
    fields = {'outcome': ended.outcome.value, 'problem': ended.problem}
    event = f': persimmon-outcome {json.dumps(fields)}\n\n'
    if ended.outcome is not Outcome.COMPLETED:
        event = f'data: {json.dumps(_error_body(ended))}\n\n{event}'
    return event.encode()


def _error_body(ended):
    return {'error': {'type': ended.outcome.value, 'message': ended.problem}}
