"""One attempt to run a caller's request at an upstream.

The entry role submits a `RequestHead` either to a local dispatcher or over a
peer link. Both return an attempt with `write(data)`, `end()`, `cancel()`,
`pause()`, `resume()` and `buffered` (bytes of the request's body that were
not taken yet), and report to a sink:

- `on_admitted()`: the request has a slot, and its body may be streamed;
- `on_drain()`: more of the request's body may be written;
- `on_answer_head(status, headers, length)`, `on_answer_body(data)`,
  `on_answer_end()`;
- `on_refused(refusal)`: the attempt has ended without a whole answer.

After `on_answer_end`, `on_refused` or `cancel` a sink hears nothing more.
"""

# Bytes of a body that are buffered per request and direction.
WINDOW_BYTES = 256 * 1024


class RequestHead:
    """What an upstream's dispatcher needs to know of a request.

    `deadline` is in seconds on the local monotonic clock; `length` is the
    announced body length, or -1 for a chunked body. `route` is the name of
    the manifest's route; it is not sent over peer links and is empty there.
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
