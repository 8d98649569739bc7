"""The sections and options that a manifest may have.

Each kind of section and each option is declared here once. The parser, the
checks and the tables of docs/manifest.md are derived from it.
"""

import dataclasses

from bramleysill_kernel.common.registry import Registry
from bramleysill_kernel.config import manifest

section_kinds = Registry('section')

REQUIRED = object()
# The store accepts values of up to 1 MB. The rest is reserved for the header
# comment that sillctl adds.
MAX_TEXT_BYTES = 1_000_000
# A stored value of an ownership table holds a block of this many shards.
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
    """An option of a section.

    `type` is a name in `manifest_values.option_types`. `default` is the
    parsed value if the option is omitted, or REQUIRED. Numbers must lie
    between `low` and `high`, both included. `references` is the kind of
    section that the value names. `registry` is a module and the name of its
    registry in which the value must be registered.
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
        """Return whether the option must be set."""
        return self.default is REQUIRED


@dataclasses.dataclass(slots=True, frozen=True)
class SectionKind:
    """A kind of section and the names that its header must have.

    The header name `service` refers to a section of that kind; `name` and
    `key` can be chosen freely.
    """

    kind: str
    names: tuple
    description: str
    options: tuple

    @property
    def header(self):
        """Return the syntax of the header, such as `[upstream NAME]`."""
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
    'The region and the cell that the manifest is for.',
    Option('region', 'name', 'Name of the region.'),
    Option(
        'cell',
        'name',
        'Name of the cell; if empty, that of the region.',
        default='',
    ),
)
_register_section(
    'failure_domain',
    ('name',),
    'A part of the region whose machines may all fail at once.',
    Option(
        'drained',
        'yes_no',
        'Whether its upstreams are drained.',
        default=False,
    ),
)
_register_section(
    'service',
    ('name',),
    'A service, which callers reach under a path prefix.',
    Option(
        'kind',
        'choice',
        'Whether each key has one owner or any upstream takes any request.',
        choices=(manifest.KIND_KEYED, manifest.KIND_SHARED),
    ),
    Option('path', 'path', 'Path prefix; the longest matching one is used.'),
    Option(
        'key',
        'key_source',
        'Source of the key: the path segment after the prefix, or a header.',
        default='path',
    ),
    Option(
        'shards',
        'whole',
        'Number of shards for the keys that no range covers.',
        default=manifest.DEFAULT_SHARDS,
        low=1,
        high=MAX_SHARDS_PER_SERVICE,
    ),
    Option(
        'timeout_ms',
        'whole',
        'Maximum duration of a request.',
        default=int(manifest.DEFAULT_TIMEOUT_SECONDS * MS_PER_SECOND),
        unit='ms',
        low=1,
        high=MAX_TIMEOUT_MS,
    ),
    Option(
        'max_body_bytes',
        'whole',
        'Maximum size of a request body.',
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
        'Delay before a lost upstream of an unchecked service is replaced.',
        default=manifest.DEFAULT_SETTLE_SECONDS,
        unit='s',
        low=0.001,
        high=MAX_SETTLE_SECONDS,
    ),
    Option(
        'idempotency',
        'choice',
        'Which component stores idempotency keys.',
        default='dispatcher',
        choices=('dispatcher', 'upstream'),
    ),
    Option(
        'balancer',
        'variant',
        'Method by which a shared service selects an upstream.',
        default='power_of_two',
        registry=('bramleysill_kernel.load.balancer', 'balancers'),
    ),
    Option(
        'placement',
        'variant',
        'Method by which shards are assigned to upstreams.',
        default='bounded',
        registry=('bramleysill_kernel.units.placement', 'placements'),
    ),
    Option(
        'hedge',
        'yes_no',
        'Whether slow repeatable reads are hedged with a second attempt.',
        default=False,
    ),
    Option(
        'retry_ratio',
        'number',
        'Retry budget: retries per request, on average.',
        default=0.1,
        low=0,
        high=1,
    ),
)
_register_section(
    'route',
    ('service', 'name'),
    'Methods and a path below the key, with properties of their own.',
    Option('methods', 'methods', 'Methods, separated by commas.'),
    Option(
        'suffix',
        'suffix',
        'Path after the key, such as `openings`; if empty, the key alone.',
        default='',
    ),
    Option(
        'repeatable',
        'yes_no',
        'Whether a request may safely run twice; by default yes only if all '
        'methods are GET, HEAD or OPTIONS.',
        default=None,
    ),
    Option(
        'priority',
        'whole',
        'Priority in the queue of an upstream; higher is first.',
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
        'Share of requests that must succeed.',
        default=99.9,
        unit='percent',
        low=1,
        high=99.9999,
    ),
    Option(
        'latency_ms',
        'number',
        'Latency within which requests must be answered.',
        default=9.0,
        unit='ms',
        low=0.001,
        high=MAX_TIMEOUT_MS,
    ),
    Option(
        'latency_percentile',
        'number',
        'Share of requests that must meet `latency_ms`.',
        default=99.0,
        unit='percent',
        low=1,
        high=99.9999,
    ),
)
_register_section(
    'upstream',
    ('name',),
    'A server that owns keys or handles requests of a shared service.',
    Option(
        'service',
        'name',
        'The service that it belongs to.',
        references='service',
    ),
    Option(
        'failure_domain',
        'name',
        'The failure domain that it belongs to.',
        references='failure_domain',
    ),
    Option('address', 'address', 'IP address and port.'),
    Option(
        'slots',
        'whole',
        'Number of requests that it processes concurrently.',
        default=manifest.DEFAULT_SLOTS,
        low=1,
        high=MAX_SLOTS,
    ),
    Option(
        'connections',
        'whole',
        'Number of connections that it accepts.',
        default=manifest.DEFAULT_CONNECTIONS,
        low=1,
        high=MAX_CONNECTIONS,
    ),
    Option(
        'weight',
        'number',
        'Share of the load, relative to other upstreams.',
        default=1.0,
        low=0.001,
        high=MAX_WEIGHT,
    ),
    Option('drained', 'yes_no', 'Whether it is drained.', default=False),
)
_register_section(
    'range',
    ('service', 'name'),
    'A range of keys that only the listed upstreams may own.',
    Option(
        'first',
        'key',
        'First key of the range; if empty, unbounded.',
        default='',
    ),
    Option(
        'last',
        'key',
        'First key after the range; if empty, unbounded.',
        default='',
    ),
    Option(
        'upstreams',
        'names',
        'Upstreams, separated by commas.',
        references='upstream',
    ),
    Option(
        'shards',
        'whole',
        'Number of shards of the range.',
        default=64,
        low=1,
        high=MAX_SHARDS_PER_SERVICE,
    ),
)
_register_section(
    'key',
    ('service', 'key'),
    'A single key that only the listed upstreams may own.',
    Option(
        'upstreams',
        'names',
        'Upstreams, separated by commas.',
        references='upstream',
    ),
)
