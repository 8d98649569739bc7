"""The interface of an attempt to run a caller's request at an upstream.

The entry role submits a `RequestHead` either to a local dispatcher, which
returns a `LocalAttempt`, or over a peer link, as a `RemoteAttempt`. Both have
the methods `write(data)`, `end()`, `cancel()`, `pause()` and `resume()` and
the attribute `buffered`, the bytes of the request's body that the upstream has
not taken yet. They report to a sink:

- `on_admitted()`: the request has a slot, and its body may be streamed;
- `on_drain()`: more of the request's body may be written;
- `on_response_head(status, headers, length)`, `on_response_body(data)`,
  `on_response_end()`: parts of the response;
- `on_refused(refusal)`: the attempt has ended without a complete response.

A sink gets no calls after `on_response_end`, `on_refused` or `cancel`.
"""

# Bytes of a body that are buffered for each request and direction before the
# sender is paused.
WINDOW_BYTES = 256 * 1024


class RequestHead:
    """What an upstream's dispatcher needs to know about a request.

    `deadline` is in seconds on the local monotonic clock; `length` is the
    announced length of the body in bytes, or -1 for a chunked body. `route`
    is the name of the manifest's route, or empty without one.
    """

    __slots__ = (
        'request_id',
        'service',
        'upstream',
        'unit',
        'fence',
        'method',
        'target',
        'headers',
        'length',
        'deadline',
        'repeatable',
        'caller',
        'priority',
        'idempotency_key',
        'key',
        'route',
    )

    def __init__(
        self,
        request_id,
        service,
        upstream,
        unit,
        fence,
        method,
        target,
        headers,
        length,
        deadline,
        repeatable,
        caller,
        priority,
        idempotency_key,
        key,
        route='',
    ):
        self.request_id = request_id
        self.service = service
        self.upstream = upstream
        self.unit = unit
        self.fence = fence
        self.method = method
        self.target = target
        self.headers = headers
        self.length = length
        self.deadline = deadline
        self.repeatable = repeatable
        self.caller = caller
        self.priority = priority
        self.idempotency_key = idempotency_key
        self.key = key
        self.route = route
