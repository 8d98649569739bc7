"""The fields of messages and stored values that a session records."""

import collections
import dataclasses
import json

from bramleysill_kernel.common import messages
from bramleysill_kernel.units import ownership
from bramleysill_wire import streams

# Messages that are repeated without change: a held request is retried every
# 50 ms and refused for the same reason, and confirmations are repeated every
# second until they take effect.
ROUTINE_MESSAGES = (
    messages.Heartbeat,
    messages.HeartbeatReply,
    messages.Lapsed,
    messages.Released,
    streams.StreamOpen,
    streams.StreamReset,
)


def record_message(recorder, sender, receiver, message, requests):
    """Record a message between two routers.

    `requests` maps the streams of a link to request ids, which are recorded
    instead of stream numbers.
    """
    kind = type(message).__name__
    show = _FIELDS_BY_MESSAGE.get(type(message), _all_fields)
    fields = show(message)
    if hasattr(message, 'stream'):
        stream = (*sorted((sender, receiver)), message.stream)
        if isinstance(message, streams.StreamOpen):
            requests[stream] = streams.split_texts(message.names)[0]
        fields = {'id': requests[stream], **fields}
    routine = isinstance(message, ROUTINE_MESSAGES)
    recorder.message(sender, receiver, kind, routine, **fields)


def join_names(names):
    """Return the names, sorted and joined by commas, or a dash."""
    return ','.join(sorted(names)) or '-'


def table_fields(value):
    """Return the units and fences of each owner in a table."""
    table = ownership.OwnershipTable.decode(value, 0)
    owned = collections.defaultdict(list)
    for unit, held in table.units():
        owned[held.owner or 'nobody'].append(f'{unit}/{held.fence}')
    return {o: ','.join(units) for o, units in sorted(owned.items())}


def store_fields(key, value):
    """Return the fields to record for a stored value, by its key."""
    if '/table/' in key:
        return table_fields(value)
    if not value:
        return {}
    if key == 'manifest':
        text = value.decode()
        return {'upstreams': text.count('[upstream '), 'bytes': len(value)}
    document = json.loads(value)
    shown = {k: document[k] for k in ('term', 'holder') if k in document}
    lists = {k: v for k, v in document.items() if isinstance(v, list | dict)}
    return shown | {k: join_names(v) for k, v in lists.items()}


def _heartbeat(message):
    fields = {'term': message.term, 'held': join_names(message.held)}
    fields['promise'] = int(message.promise)
    fields['store_ok'] = int(message.store_ok)
    if message.leaving:
        fields['leaving'] = 1
    state = {r.upstream: r.condition for r in message.reports}
    unusual = [
        f'{u}:{c}' for u, c in state.items() if c != messages.UPSTREAM_OK
    ]
    if unusual:
        fields['reports'] = join_names(unusual)
    return fields


def _heartbeat_reply(message):
    fields = {'term': message.term, 'accepted': int(message.accepted)}
    if not message.accepted:
        fields['coordinator'] = message.coordinator or '-'
    return fields


def _state_update(message):
    fields = {'term': message.term, 'serial': message.serial}
    if message.manifest_text:
        fields['manifest'] = message.manifest_version
    for table in message.tables:
        changed = 'whole' if table.data else join_names(table.units)
        fields[table.service] = f'{table.version}:{changed}'
    roles = [f'{u}:{r[0] or "-"}' for u, r in message.dispatchers.items()]
    fields['roles'] = join_names(roles)
    fields['candidates'] = join_names(message.candidates)
    if message.drained:
        fields['drained'] = join_names(message.drained)
    return fields


def _show_fields(*field_names):
    """Return a function that returns the named fields of a message.

    A field of bytes is replaced by its length.
    """

    def show(message):
        values = {name: getattr(message, name) for name in field_names}
        return {
            k: len(v) if isinstance(v, bytes) else v for k, v in values.items()
        }

    return show


def _stream_open(message):
    texts = streams.split_texts(message.names)
    values = dict(zip(streams.TEXT_FIELDS, texts, strict=True))
    shown = {name: values[name] for name in ('upstream', 'unit')}
    return shown | _show_fields('fence', 'body', 'last')(message)


def _all_fields(message):
    fields = dataclasses.asdict(message)
    return {k: str(v).replace(' ', '') for k, v in fields.items()}


_FIELDS_BY_MESSAGE = {
    messages.Hello: _show_fields('router'),
    messages.Heartbeat: _heartbeat,
    messages.HeartbeatReply: _heartbeat_reply,
    messages.StateUpdate: _state_update,
    streams.StreamOpen: _stream_open,
    streams.StreamHead: _show_fields('status', 'body', 'last'),
    streams.StreamData: _show_fields('data', 'last'),
    streams.StreamReset: _show_fields('code', 'outcome'),
    streams.StreamAdmitted: _show_fields(),
    streams.StreamWindow: _show_fields('credit'),
}
