"""Encodes the head of a request for one upstream."""

from bramleysill_net.http_headers import end_to_end_fields


def encode_head(exchange, entry, seconds_left, framing_headers):
    """Return the head of a request that is sent to the upstream `entry`.

    Fields that concern one connection only are left out, and those of the
    platform are replaced.
    """
    adapter = exchange.frontend.adapter
    req = exchange.req
    left = max(1, int(seconds_left * 1000))
    lines = [f'{req.method} {req.target} HTTP/1.1']
    dropped = exchange.frontend.dropped_request_headers
    kept = end_to_end_fields(req.headers, dropped | exchange.dropped_fields)
    lines += [f'{name}: {value}' for name, value in kept]
    if exchange.organisation is not None:
        lines.append(
            f'{adapter.organisation_header}: {exchange.organisation.name}'
        )
    if exchange.request_id:
        lines.append(f'{adapter.request_id_header}: {exchange.request_id}')
    lines.append(f'{adapter.time_left_ms_header}: {left}')
    lines.append(f'{adapter.expected_upstream_header}: {entry.upstream}')
    lines += framing_headers
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
