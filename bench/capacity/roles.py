"""Lists the resources that each role uses at the target size."""

from bench.capacity.figures import CELLS
from bench.capacity.figures import NODES
from bench.capacity.figures import ROUTERS_PER_CELL
from bench.capacity.figures import SHARDS
from bench.capacity.figures import SHARDS_PER_BLOCK
from bench.capacity.figures import UPSTREAMS
from bench.capacity.formatting import CODEC_SOURCE
from bench.capacity.formatting import CONTROL_SOURCE
from bench.capacity.formatting import DATA_PATH_SOURCE
from bench.capacity.formatting import NOT_MEASURED
from bench.capacity.formatting import SLOPES_SOURCE
from bench.capacity.formatting import kb
from bench.capacity.formatting import mb
from bench.capacity.formatting import table
from bramleysill_kernel.common import lease

# `f` holds the figures that `compute_figures` returns.


def _entry_rows(f):
    request_us = f.get('request_us')
    cpu = NOT_MEASURED
    result = NOT_MEASURED
    if request_us:
        cpu = f'{request_us} us per request, both routers; {DATA_PATH_SOURCE}'
        result = f'{f["node_rps"] * request_us / 1e6:.2f} cores per node'
    rate = f'{f["node_rps"]:.0f}'
    return [
        [
            'entry',
            'messages',
            'requests/s / nodes',
            'given',
            f'{rate}/s in, as many responses',
            'balancer spreads callers',
        ],
        [
            'entry',
            'processor time',
            'requests/s / nodes x time per request',
            cpu,
            result,
            'several processes per VM',
        ],
        [
            'entry',
            'state',
            'bytes(82,000 shards) / cells',
            f'{SLOPES_SOURCE}, 82,000 shards',
            mb(f['cell_state']),
            'shard table, no record per key',
        ],
        [
            'entry',
            'memory',
            'requests in flight x at most 2 x 256 KB',
            NOT_MEASURED,
            NOT_MEASURED,
            'back-pressure: 256 KB per direction',
        ],
        [
            'entry',
            'connections',
            'routers of the cell - 1',
            'none',
            f'{ROUTERS_PER_CELL - 1} peer links in its cell',
            'cells',
        ],
        [
            'entry',
            'store calls',
            'none',
            'none',
            '0 per request',
            'state is pushed',
        ],
    ]


def _dispatcher_rows(f):
    return [
        [
            'dispatcher',
            'state',
            'upstreams / nodes',
            'none',
            f'{UPSTREAMS / NODES:.0f} upstreams per router, 48 shards',
            'soft, rebuilt',
        ],
        [
            'dispatcher',
            'messages',
            'upstreams / nodes / 0.3 s',
            'none',
            f'{f["grants_per_s"]:.1f} grants/s out and as many responses',
            'one grant per upstream, not per shard',
        ],
        [
            'dispatcher',
            'messages',
            'requests/s / nodes x 39 / 40',
            'none',
            f'{f["node_rps"] * 39 / 40:.0f} forwarded requests/s in and out '
            'of each node, if owners are spread evenly over one cell',
            'one stream per request on a peer link',
        ],
        [
            'dispatcher',
            'bytes',
            'grants/s x bytes of a POST',
            f'{SLOPES_SOURCE}, 16 shards',
            f'{kb(f["grant_bytes"])}/s without responses',
            'one grant per upstream',
        ],
        [
            'dispatcher',
            'processor time',
            'grants',
            NOT_MEASURED,
            NOT_MEASURED,
            '-',
        ],
        [
            'dispatcher',
            'memory',
            'per request in flight, idempotency keys',
            NOT_MEASURED,
            NOT_MEASURED,
            'bounded queues, 256 KB credit',
        ],
        [
            'dispatcher',
            'connections',
            'upstreams per router x 120 to 130',
            'design 1.4',
            f'at most {3 * 130}',
            'one dispatcher per upstream',
        ],
        ['dispatcher', 'store calls', 'none', 'none', '0', 'router lease'],
    ]


def _coordinator_rows(f):
    return [
        [
            'coordinator',
            'messages',
            '39 / 0.4 s',
            CONTROL_SOURCE,
            f'{f["heartbeats_per_s"]:.1f}/s in, '
            f'{f["heartbeats_per_s"]:.1f}/s out',
            'cells of 40',
        ],
        [
            'coordinator',
            'bytes',
            '39 / 0.4 s x (heartbeat + reply)',
            CODEC_SOURCE,
            f'{kb(f["cell_heartbeat_bytes"])}/s',
            'cells of 40',
        ],
        [
            'coordinator',
            'processor time, decisions',
            'measured at 40',
            CONTROL_SOURCE,
            f'{f["kernel_core"]:.2%} of a core',
            'cells of 40',
        ],
        [
            'coordinator',
            'processor time, codec',
            '39 / 0.4 s x (decode heartbeat + encode reply)',
            CODEC_SOURCE,
            f'{f["codec_core"]:.2%} of a core',
            'cells of 40',
        ],
        [
            'coordinator',
            'state',
            'shards / cells',
            'none',
            f'{f["cell_shards"]:.0f} shards, 40 routers, 119 upstreams',
            'soft but for the table',
        ],
        [
            'coordinator',
            'memory',
            'bytes(82,000 shards) / cells',
            f'{SLOPES_SOURCE}, 82,000 shards',
            f'{mb(f["cell_state"])} besides its '
            'own board, which is not measured',
            'cells of 40',
        ],
        [
            'coordinator',
            'connections',
            'routers of the cell - 1',
            'none',
            f'{ROUTERS_PER_CELL - 1} peer links, 1 store',
            'cells of 40',
        ],
        [
            'coordinator',
            'store calls',
            '1 / 0.3 s + changes of ownership',
            'none',
            f'{1 / lease.LEADER_RENEW_INTERVAL_SECONDS:.2f} writes/s',
            'one batch per block',
        ],
        [
            'any router',
            'bytes',
            '(heartbeat + reply) / 0.4 s',
            CODEC_SOURCE,
            f'{kb(f["agent_heartbeat_bytes"])}/s',
            'one heartbeat for all roles',
        ],
        [
            'any router',
            'processor time',
            'agent + (encode + decode) / 0.4 s',
            CODEC_SOURCE,
            f'{f["agent_core"]:.3%} of a core',
            'one heartbeat for all roles',
        ],
        [
            'any router',
            'memory',
            'loaded process + state of the cell',
            f'{SLOPES_SOURCE}, 1 process',
            mb(f['node_memory']),
            'cells of 40',
        ],
    ]


def _distribution_rows(f):
    return [
        [
            'distribution',
            'messages',
            'changes/day / 86,400 x 39',
            'none',
            f'{f["changes_per_s"] * 39:.2f}/s per coordinator, if every '
            'change goes to every cell',
            'tree of coordinator and routers',
        ],
        [
            'distribution',
            'bytes',
            'changes/s x 39 x (roles + manifest text of 119 upstreams)',
            f'{CODEC_SOURCE}; text: 36 upstreams, linear estimate',
            f'{kb(f["cell_push_bytes"])}/s out of a '
            f'coordinator, {kb(f["agent_push_bytes"])}/s into a router',
            'deltas of tables; the manifest is sent whole',
        ],
        [
            'distribution',
            'processor time',
            'changes/s x 39 x encode roles',
            CODEC_SOURCE,
            f'{f["push_core"]:.2%} of a core; parsing is not measured',
            'tree',
        ],
        [
            'distribution',
            'state',
            'the newest update',
            'none',
            f'{kb(f["push_bytes"])} per change',
            'versions',
        ],
        [
            'distribution',
            'connections',
            'cells x 2 watches',
            'none',
            f'{f["open_watches"]} waiting watches',
            'only coordinators watch',
        ],
        [
            'distribution',
            'store calls',
            'cells x 2 / 10 s + changes/s x cells',
            'none',
            f'{f["watch_renewals"] + f["change_reads"]:.1f} reads/s',
            'only coordinators watch',
        ],
    ]


def _tool_and_store_rows(f):
    return [
        [
            "operators' tool",
            'store calls',
            'changes/day / 86,400',
            'none',
            f'{f["changes_per_s"]:.3f} writes/s and as many reads/s',
            'compare-and-swap',
        ],
        [
            "operators' tool",
            'processor time, memory',
            'per command',
            NOT_MEASURED,
            NOT_MEASURED,
            'ends with the command',
        ],
        [
            'store',
            'writes',
            'cells / 0.3 s + changes/s',
            'none',
            f'{f["writes"]:.1f}/s',
            'a lease per cell, not per router',
        ],
        [
            'store',
            'reads',
            'cells x 2 candidates / 1 s + watches',
            'none',
            f'{f["reads"]:.1f}/s',
            'only 2 candidates per cell probe',
        ],
        [
            'store',
            'VM lists (platform)',
            'nodes / 5 s',
            'none',
            f'{f["vm_lists"]:.0f}/s',
            'none: every router reads it',
        ],
        [
            'store',
            'state',
            'tables',
            f'{SLOPES_SOURCE}, 82,000 shards',
            f'at least {-(-SHARDS // SHARDS_PER_BLOCK)} blocks by size, '
            f'{CELLS} by cells',
            'blocks of 4,096',
        ],
        [
            'store',
            'connections',
            'one or more per router',
            NOT_MEASURED,
            f'at least {NODES}',
            'VM list keeps one open',
        ],
    ]


def roles_table(f):
    """Return the table of resources used by each role."""
    rows = [
        *_entry_rows(f),
        *_dispatcher_rows(f),
        *_coordinator_rows(f),
        *_distribution_rows(f),
        *_tool_and_store_rows(f),
    ]
    header = ['role', 'resource', 'formula', 'slope measured by, at']
    return table([*header, 'at the target', 'carried by'], rows)
