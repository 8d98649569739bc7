"""The table of the manifest's sections and options.

Each section kind and each option has one entry here; the parser, the
checks and docs/manifest.md all follow this table.
"""

import dataclasses

from bramleysill_kernel import manifest
from bramleysill_kernel.registry import Registry

section_kinds = Registry('section')

REQUIRED = object()
# The store takes values of up to 1 MB; the rest is left for the comment
# line that sillctl adds.
MAX_TEXT_BYTES = 1_000_000
# One value of the ownership table holds a block of this many shards.
MAX_SHARDS_PER_SERVICE = 4096
MAX_TIMEOUT_MS = 600_000
MAX_BODY_BYTES = 16 << 30
MAX_SETTLE_SECONDS = 3600
MAX_SLOTS = 1024
MAX_CONNECTIONS = 10_000
MAX_WEIGHT = 100
MAX_PRIORITY = 9
MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Option:
    """One allowed option.

    `default` is a value in the manifest's own form, or REQUIRED. Numbers
    lie between `low` and `high` (both included). `references` is the kind of
    section that the value names; `registry` is the module and the name of
    the registry that the value is looked up in.
    """

    name: str
    type: str
    description: str
    default: object = REQUIRED
    unit: str = ''
    low: float = 0
    high: float = 0
    choices: tuple = ()
    references: str = ''
    registry: tuple = ()

    @property
    def required(self):
        """Tell whether the option must be written."""
        return self.default is REQUIRED


@dataclasses.dataclass(slots=True, frozen=True)
class SectionKind:
    """One allowed kind of section and the names in its header.

    A header name `service` refers to a section of that kind; `name` and
    `key` are free.
    """

    kind: str
    names: tuple
    description: str
    options: tuple

    @property
    def header(self):
        """Return the form of the header, for example `[upstream NAME]`."""
        return f'[{" ".join((self.kind, *(n.upper() for n in self.names)))}]'

    def option(self, name):
        """Return an option by name, or None."""
        for option in self.options:
            if option.name == name:
                return option
        return None


def _register_section(kind, names, description, *options):
    section_kind = SectionKind(kind, names, description, options)
    section_kinds.register(kind)(section_kind)


_register_section(
    'manifest',
    (),
    'The region and the cell that the sheet is for.',
    Option('region', 'name', 'Name of the region.'),
    Option('cell', 'name', 'Name of the cell; empty: the region.', default=''),
)
_register_section(
    'failure_domain',
    ('name',),
    'A part of the region that fails as a whole.',
    Option('drained', 'yes_no', 'Take all its upstreams out.', default=False),
)
_register_section(
    'service',
    ('name',),
    'A service that callers reach under a path prefix.',
    Option(
        'kind',
        'choice',
        'Whether each key has one owner or any upstream takes any request.',
        choices=(manifest.KIND_KEYED, manifest.KIND_SHARED),
    ),
    Option('path', 'path', 'Path prefix; the longest prefix wins.'),
    Option(
        'key',
        'key_source',
        'Where the key is: the path segment after the prefix, or a header.',
        default='path',
    ),
    Option(
        'shards',
        'whole',
        'Shards of the keys that no range covers.',
        default=manifest.DEFAULT_SHARDS,
        low=1,
        high=MAX_SHARDS_PER_SERVICE,
    ),
    Option(
        'timeout_ms',
        'whole',
        'Longest time for one request.',
        default=int(manifest.DEFAULT_TIMEOUT_SECONDS * MS_PER_SECOND),
        unit='ms',
        low=1,
        high=MAX_TIMEOUT_MS,
    ),
    Option(
        'max_body_bytes',
        'whole',
        'Longest body of a request.',
        default=manifest.DEFAULT_MAX_BODY_BYTES,
        unit='bytes',
        low=1,
        high=MAX_BODY_BYTES,
    ),
    Option(
        'authority',
        'choice',
        'Whether the upstreams check grants and fences.',
        default='checked',
        choices=('checked', 'unchecked'),
    ),
    Option(
        'settle_s',
        'number',
        'Wait before an unchecked upstream that was lost is replaced.',
        default=manifest.DEFAULT_SETTLE_SECONDS,
        unit='s',
        low=0.001,
        high=MAX_SETTLE_SECONDS,
    ),
    Option(
        'idempotency',
        'choice',
        'Who remembers idempotency keys.',
        default='dispatcher',
        choices=('dispatcher', 'upstream'),
    ),
    Option(
        'balancer',
        'variant',
        'How a shared service picks an upstream.',
        default='power_of_two',
        registry=('bramleysill_kernel.balancer', 'balancers'),
    ),
    Option(
        'placement',
        'variant',
        'How shards are placed on upstreams.',
        default='bounded',
        registry=('bramleysill_kernel.placement', 'placements'),
    ),
    Option(
        'hedge',
        'yes_no',
        'Send a slow repeatable request a second time.',
        default=False,
    ),
    Option(
        'retry_ratio',
        'number',
        'Retries allowed for each request, on average.',
        default=0.1,
        low=0,
        high=1,
    ),
)
_register_section(
    'route',
    ('service', 'name'),
    'Methods and a path below the key, with their own properties.',
    Option('methods', 'methods', 'Methods, separated by commas.'),
    Option(
        'suffix',
        'suffix',
        'What follows the key, such as `openings`; empty: the key alone.',
        default='',
    ),
    Option(
        'repeatable',
        'yes_no',
        'Whether running a request twice does no harm; by default yes only '
        'if all methods are GET, HEAD or OPTIONS.',
        default=None,
    ),
    Option(
        'priority',
        'whole',
        'Rank in the queue of an upstream.',
        default=1,
        low=1,
        high=MAX_PRIORITY,
    ),
)
_register_section(
    'objective',
    ('service',),
    'The service-level objective of a service.',
    Option(
        'availability',
        'number',
        'Share of requests that are answered.',
        default=99.9,
        unit='percent',
        low=1,
        high=99.9999,
    ),
    Option(
        'latency_ms',
        'number',
        'Time within which requests are answered.',
        default=9.0,
        unit='ms',
        low=0.001,
        high=MAX_TIMEOUT_MS,
    ),
    Option(
        'latency_percentile',
        'number',
        'Share of requests that meet `latency_ms`.',
        default=99.0,
        unit='percent',
        low=1,
        high=99.9999,
    ),
)
_register_section(
    'upstream',
    ('name',),
    'A server that owns keys or takes shared work.',
    Option('service', 'name', 'Its service.', references='service'),
    Option(
        'failure_domain',
        'name',
        'Its failure domain.',
        references='failure_domain',
    ),
    Option('address', 'address', 'IP address and port.'),
    Option(
        'slots',
        'whole',
        'Requests that it runs at the same time.',
        default=manifest.DEFAULT_SLOTS,
        low=1,
        high=MAX_SLOTS,
    ),
    Option(
        'connections',
        'whole',
        'Connections that it accepts.',
        default=manifest.DEFAULT_CONNECTIONS,
        low=1,
        high=MAX_CONNECTIONS,
    ),
    Option(
        'weight',
        'number',
        'Share of work relative to the others.',
        default=1.0,
        low=0.001,
        high=MAX_WEIGHT,
    ),
    Option('drained', 'yes_no', 'Take it out.', default=False),
)
_register_section(
    'range',
    ('service', 'name'),
    'A range of keys that only the listed upstreams own.',
    Option('first', 'key', 'First key of the range; empty: open.', default=''),
    Option('last', 'key', 'First key after it; empty: open.', default=''),
    Option(
        'upstreams',
        'names',
        'Upstreams, separated by commas.',
        references='upstream',
    ),
    Option(
        'shards',
        'whole',
        'Shards of the range.',
        default=64,
        low=1,
        high=MAX_SHARDS_PER_SERVICE,
    ),
)
_register_section(
    'key',
    ('service', 'key'),
    'A single key that only the listed upstreams own.',
    Option(
        'upstreams',
        'names',
        'Upstreams, separated by commas.',
        references='upstream',
    ),
)
