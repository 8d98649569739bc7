"""Declares how the fields of each message class are encoded.

A field is copied as it is unless it has functions to encode and decode its
value. A new message class needs an entry in FIELDS_BY_CLASS, a struct in
messages.capnp and a member of the same name in the union of its `Frame`.
"""

from bramleysill_kernel.common import messages
from bramleysill_wire import streams


class Field:
    """A field: its attribute, its name in the schema and its converters.

    `encode` and `decode` are None if the value is copied as it is.
    """

    __slots__ = ('attr', 'name', 'encode', 'decode')

    def __init__(self, attr, name, encode=None, decode=None):
        self.attr = attr
        self.name = name
        self.encode = encode
        self.decode = decode


def _to_camel_case(attr):
    first, *rest = attr.split('_')
    return first + ''.join(part.title() for part in rest)


def _plain_fields(*attrs):
    return [Field(a, _to_camel_case(a)) for a in attrs]


def _map_field(attr, encode_item, decode_item):
    return Field(
        attr,
        _to_camel_case(attr),
        lambda value: [encode_item(k, v) for k, v in value.items()],
        lambda items: dict(decode_item(i) for i in items),
    )


def _struct_list_field(attr, cls, fields):
    return Field(
        attr,
        _to_camel_case(attr),
        lambda value: [_to_dict(v, fields) for v in value],
        lambda items: [from_struct(cls, i, fields) for i in items],
    )


def _plain_list_fields(*attrs):
    return [Field(a, _to_camel_case(a), list, list) for a in attrs]


def _encode_unit(unit, assignment):
    if assignment is None:
        return {'unit': unit, 'removed': True}
    return {'unit': unit, 'owner': assignment[0], 'fence': assignment[1]}


def _decode_unit(item):
    if item.removed:
        return item.unit, None
    return item.unit, (item.owner, item.fence)


# Functions that convert an entry of a map to a struct, and back.
_NUMBER_CONVERTERS = (
    lambda k, v: {'name': k, 'value': v},
    lambda i: (i.name, i.value),
)
_HELD_CONVERTERS = (
    lambda k, v: {'upstream': k, 'term': v[0], 'number': v[1]},
    lambda i: (i.upstream, (i.term, i.number)),
)
_DISPATCHER_CONVERTERS = (
    lambda k, v: {
        'upstream': k,
        'router': v[0],
        'term': v[1],
        'number': v[2],
    },
    lambda i: (i.upstream, (i.router, i.term, i.number)),
)
_MEMBER_CONVERTERS = (
    lambda k, v: {'router': k, 'address': v},
    lambda i: (i.router, i.address),
)

_REPORT_FIELDS = _plain_fields('upstream', 'condition', 'load', 'rate', 'cold')
_REPORT_FIELDS.append(_map_field('hot_units', *_NUMBER_CONVERTERS))
_TABLE_FIELDS = _plain_fields('service', 'block', 'version', 'base', 'data')
_TABLE_FIELDS.append(_map_field('units', _encode_unit, _decode_unit))

_FEED_ITEM_FIELDS = _plain_fields(*messages.FeedItem.__slots__)
_LIMIT_ROW_FIELDS = _plain_fields(*messages.LimitRow.__slots__)
_HOLD_ROW_FIELDS = _plain_fields(*messages.HoldRow.__slots__)
_FRESHNESS_ROW_FIELDS = _plain_fields(*messages.FreshnessRow.__slots__)
_DEPARTURE_ROW_FIELDS = _plain_fields(*messages.DepartureRow.__slots__)

FIELDS_BY_CLASS = {
    messages.Hello: _plain_fields(
        'schema_version', 'router', 'cell', 'incarnation', 'address'
    ),
    messages.Heartbeat: _plain_fields(
        'router',
        'incarnation',
        'seq',
        'term',
        'echo',
        'address',
        'failure_domain',
        'promise',
        'store_ok',
        'leaving',
    )
    + [
        _map_field('held', *_HELD_CONVERTERS),
        _map_field('versions', *_NUMBER_CONVERTERS),
        _struct_list_field('reports', messages.UpstreamReport, _REPORT_FIELDS),
    ],
    messages.HeartbeatReply: _plain_fields(
        'coordinator', 'term', 'seq', 'stamp', 'accepted'
    ),
    messages.StateUpdate: _plain_fields(
        'coordinator', 'term', 'serial', 'manifest_version', 'manifest_text'
    )
    + [
        _struct_list_field('tables', messages.TableUpdate, _TABLE_FIELDS),
        _map_field('dispatchers', *_DISPATCHER_CONVERTERS),
        _map_field('members', *_MEMBER_CONVERTERS),
        *_plain_list_fields('candidates', 'drained'),
        _map_field('table_versions', *_NUMBER_CONVERTERS),
    ],
    messages.StateRequest: _plain_fields('router'),
    messages.Release: _plain_fields(
        'term', 'service', 'unit', 'fence', 'upstream'
    ),
    messages.Released: _plain_fields('service', 'unit', 'fence', 'upstream'),
    messages.Suspend: _plain_fields('term', 'upstream'),
    messages.Lapsed: _plain_fields('upstream')
    + [Field('generation', 'generation', list, tuple)],
    messages.Warm: _plain_fields('term', 'service', 'unit', 'upstream'),
    messages.ProbeRequest: _plain_fields('term', 'upstream'),
    messages.ProbeResult: _plain_fields('upstream', 'reachable'),
    messages.KeyLoads: _plain_fields('router', 'service')
    + _plain_list_fields(
        'keys', 'counts', 'upstreams', 'responses', 'busy_times'
    ),
    messages.StoreCopy: _plain_fields(*messages.StoreCopy.__slots__),
    messages.FeedRequest: _plain_fields('router', 'prefix', 'revision', 'era'),
    messages.StoreFeed: _plain_fields(
        'router', 'prefix', 'base', 'revision', 'era', 'age'
    )
    + [
        _struct_list_field('items', messages.FeedItem, _FEED_ITEM_FIELDS),
    ],
    messages.UpstreamLimits: _plain_fields('router')
    + [
        _struct_list_field('rows', messages.LimitRow, _LIMIT_ROW_FIELDS),
    ],
    messages.UpstreamDepartures: _plain_fields('router')
    + [
        _struct_list_field(
            'rows', messages.DepartureRow, _DEPARTURE_ROW_FIELDS
        ),
    ],
    messages.RangeNoticeList: _plain_fields('router', 'service', 'paused')
    + _plain_list_fields('firsts', 'lasts', 'fences', 'values'),
    messages.FormerTermHolds: _plain_fields(
        'router', 'service', 'era', 'table_revision', 'inherited'
    )
    + [
        _struct_list_field('rows', messages.HoldRow, _HOLD_ROW_FIELDS),
    ],
    messages.TakeoverRequest: _plain_fields(
        *messages.TakeoverRequest.__slots__
    ),
    messages.LeaderChange: _plain_fields(*messages.LeaderChange.__slots__),
    messages.PaceRequest: [
        *_plain_fields('number'),
        Field(
            'report',
            'report',
            lambda r: _to_dict(r, _LIMIT_ROW_FIELDS),
            lambda r: from_struct(messages.LimitRow, r, _LIMIT_ROW_FIELDS),
        ),
        *_plain_fields('max_wait'),
    ],
    messages.PaceReply: _plain_fields(*messages.PaceReply.__slots__),
    messages.FreshnessRequest: _plain_fields('number'),
    messages.FreshnessReply: _plain_fields('number', 'era')
    + [
        _struct_list_field(
            'rows', messages.FreshnessRow, _FRESHNESS_ROW_FIELDS
        ),
    ],
    messages.QuotaRequest: _plain_fields(*messages.QuotaRequest.__slots__),
    messages.QuotaReply: _plain_fields(*messages.QuotaReply.__slots__),
    streams.StreamOpen: _plain_fields(*streams.StreamOpen.__slots__),
    streams.StreamHead: _plain_fields(*streams.StreamHead.__slots__),
    streams.StreamData: _plain_fields(*streams.StreamData.__slots__),
    streams.StreamAdmitted: _plain_fields('stream'),
    streams.StreamWindow: _plain_fields('stream', 'credit'),
    streams.StreamReset: _plain_fields(*streams.StreamReset.__slots__),
}


def _to_dict(message, fields):
    result = {}
    for field in fields:
        value = getattr(message, field.attr)
        if field.encode is not None:
            value = field.encode(value)
        result[field.name] = value
    return result


def from_struct(cls, item, fields):
    """Return a message of a class, read from a struct of the schema."""
    kwargs = {}
    for field in fields:
        value = getattr(item, field.name)
        if field.decode is not None:
            value = field.decode(value)
        kwargs[field.attr] = value
    return cls(**kwargs)
