"""The fields by which a message is shown."""

import collections
import dataclasses
import json

from bramleysill_kernel import messages
from bramleysill_kernel import ownership
from bramleysill_wire import streams

# A held request is tried again every 50 ms with the same refusal, and
# confirmations are repeated every second until they have an effect.
ROUTINE = (
    messages.Heartbeat,
    messages.HeartbeatReply,
    messages.Lapsed,
    messages.Released,
    streams.StreamOpen,
    streams.StreamReset,
)


def record_message(recorder, sender, receiver, message, requests):
    """Record a message between two routers.

    `requests` maps streams of links to request ids, which say more.
    """
    kind = type(message).__name__
    show = _SHOWN.get(type(message), _all_fields)
    fields = show(message)
    if hasattr(message, 'stream'):
        stream = (*sorted((sender, receiver)), message.stream)
        if isinstance(message, streams.StreamOpen):
            requests[stream] = streams.split_texts(message.names)[0]
        fields = {'id': requests[stream], **fields}
    routine = isinstance(message, ROUTINE)
    recorder.message(sender, receiver, kind, routine, **fields)


def names(found):
    """Return names in order, or a dash for none."""
    return ','.join(sorted(found)) or '-'


def table_fields(value):
    """Return the owners and fences of a table's units."""
    table = ownership.OwnershipTable.decode(value, 0)
    owned = collections.defaultdict(list)
    for unit, held in table.units():
        owned[held.owner or 'nobody'].append(f'{unit}/{held.fence}')
    return {o: ','.join(units) for o, units in sorted(owned.items())}


def store_fields(key, value):
    """Return what a store value says, by its key."""
    if '/table/' in key:
        return table_fields(value)
    if not value:
        return {}
    if key == 'manifest':
        text = value.decode()
        return {'upstreams': text.count('[upstream '), 'bytes': len(value)}
    found = json.loads(value)
    shown = {k: found[k] for k in ('term', 'holder') if k in found}
    lists = {k: v for k, v in found.items() if isinstance(v, list | dict)}
    return shown | {k: names(v) for k, v in lists.items()}


def _heartbeat(message):
    found = {'term': message.term, 'held': names(message.held)}
    found['promise'] = int(message.promise)
    found['store_ok'] = int(message.store_ok)
    if message.leaving:
        found['leaving'] = 1
    state = {r.upstream: r.condition for r in message.reports}
    odd = [f'{u}:{c}' for u, c in state.items() if c != messages.UPSTREAM_OK]
    if odd:
        found['reports'] = names(odd)
    return found


def _reply(message):
    found = {'term': message.term, 'accepted': int(message.accepted)}
    if not message.accepted:
        found['coordinator'] = message.coordinator or '-'
    return found


def _state_update(message):
    found = {'term': message.term, 'serial': message.serial}
    if message.manifest_text:
        found['manifest'] = message.manifest_version
    for table in message.tables:
        changed = 'whole' if table.data else names(table.units)
        found[table.service] = f'{table.version}:{changed}'
    roles = [f'{u}:{r[0] or "-"}' for u, r in message.dispatchers.items()]
    found['roles'] = names(roles)
    found['candidates'] = names(message.candidates)
    if message.drained:
        found['drained'] = names(message.drained)
    return found


def _select(*shown):
    """Return a function that shows some fields, and of bytes their number."""

    def show(message):
        found = {name: getattr(message, name) for name in shown}
        return {
            k: len(v) if isinstance(v, bytes) else v for k, v in found.items()
        }

    return show


def _stream_open(message):
    texts = streams.split_texts(message.names)
    found = dict(zip(streams.TEXT_FIELDS, texts, strict=True))
    shown = {name: found[name] for name in ('upstream', 'unit')}
    return shown | _select('fence', 'body', 'last')(message)


def _all_fields(message):
    found = dataclasses.asdict(message)
    return {k: str(v).replace(' ', '') for k, v in found.items()}


_SHOWN = {
    messages.Hello: _select('router'),
    messages.Heartbeat: _heartbeat,
    messages.HeartbeatReply: _reply,
    messages.StateUpdate: _state_update,
    streams.StreamOpen: _stream_open,
    streams.StreamHead: _select('status', 'body', 'last'),
    streams.StreamData: _select('data', 'last'),
    streams.StreamReset: _select('code', 'outcome'),
    streams.StreamAdmitted: _select(),
    streams.StreamWindow: _select('credit'),
}
