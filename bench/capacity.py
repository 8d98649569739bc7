"""Computes the tables of docs/CAPACITY.md from measured slopes.

A slope is the cost per router, message, shard or upstream that bench.slopes
measures in one process; the tables extrapolate it to the target size.

`python -m bench.capacity` reads bench/results/slopes.json and, if it exists,
bench/results/latest.json, and replaces the page's text between its markers::

    <!-- begin fit -->
    <!-- end fit -->
"""

import json
import pathlib
import re

from bench import slopes as slopes_bench
from bramleysill_kernel.common import lease
from bramleysill_kernel.election import election
from bramleysill_kernel.units import moves
from bramleysill_router import control_loop
from bramleysill_router import store_client

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'CAPACITY.md'
BENCH_RESULTS = ROOT / 'bench' / 'results' / 'latest.json'

# Target size from sections 1.5 and 2 of docs/design.md.
NODES = 1700
REQUESTS_PER_S = 7_000_000
CELLS = 43
ROUTERS_PER_CELL = 40
UPSTREAMS = 5100
SHARDS = 82_000
FAILURE_DOMAINS = 10
REGIONS = 4
CHANGES_PER_DAY = 8300
ROUTER_RESTARTS_PER_DAY = 480
CANDIDATES_PER_CELL = 3
SERVICES_PER_CELL = 1
WATCHES_PER_COORDINATOR = 2
SHARDS_PER_BLOCK = 4096
DAY_SECONDS = 86_400
# Followers wait between 0.5 and 1 times POLL_INTERVAL_SECONDS.
MEAN_POLL_INTERVAL_FACTOR = 0.75

# Bounds from sections 1.5 and 1.6 of docs/design.md. "Several hundred" store
# writes per second are taken as 300.
MAX_CONTROL_BYTES_PER_S = 3000
MAX_CONTROL_CORE_SHARE = 0.011
MAX_MEMORY_BYTES = 128e6
MAX_STORE_WRITES_PER_S = 300
MAX_STORE_READS_PER_S = 2000

NOT_MEASURED = 'not measured'
_SLOPES_SOURCE = f'`{slopes_bench.COMMAND}`'
_CONTROL_SOURCE = f'{_SLOPES_SOURCE}, 10 to 80 routers'
_CODEC_SOURCE = f'{_SLOPES_SOURCE}, 40 routers, 3 upstreams each'
_DATA_PATH_SOURCE = '`make bench`, 2 routers, 1 upstream'


def load_measurements():
    """Return the committed slopes and the data path figures, if any."""
    slopes = json.loads(slopes_bench.RESULTS_FILE.read_text())
    if not BENCH_RESULTS.exists():
        return slopes, None
    path = json.loads(BENCH_RESULTS.read_text()).get('data_path') or {}
    return slopes, path.get('ways')


def _add_data_path(figures, paths):
    figures['node_rps'] = REQUESTS_PER_S / NODES
    figures['processes'] = None
    if not paths or 'forwarded' not in paths:
        return
    forwarded = paths['forwarded']
    figures['served_rps'] = forwarded['requests_per_s']
    figures['request_us'] = forwarded['cpu_us_per_request']
    figures['processes'] = figures['node_rps'] / forwarded['requests_per_s']


def _add_control_traffic(figures, slopes):
    codec = slopes['codec']
    heartbeat = codec['Heartbeat']
    reply = codec['HeartbeatReply']
    roles = codec['StateUpdate, roles']
    cell = next(r for r in slopes['cells'] if r['routers'] == ROUTERS_PER_CELL)
    heartbeats_per_s = 1 / lease.HEARTBEAT_INTERVAL_SECONDS
    peers = ROUTERS_PER_CELL - 1
    upstreams = UPSTREAMS / NODES
    manifest = slopes['manifest']
    cell_upstreams = UPSTREAMS / CELLS
    text_bytes = manifest['bytes'] / manifest['upstreams'] * cell_upstreams
    changes = CHANGES_PER_DAY / DAY_SECONDS
    push_bytes = roles['bytes'] + text_bytes
    pair_bytes = heartbeat['bytes'] + reply['bytes']
    figures.update(
        heartbeats_per_s=peers * heartbeats_per_s,
        agent_heartbeat_bytes=heartbeats_per_s * pair_bytes,
        cell_heartbeat_bytes=peers * heartbeats_per_s * pair_bytes,
        grant_bytes=upstreams
        / lease.GRANT_RENEW_INTERVAL_SECONDS
        * slopes['grant_bytes'],
        grants_per_s=upstreams / lease.GRANT_RENEW_INTERVAL_SECONDS,
        changes_per_s=changes,
        manifest_text_bytes=text_bytes,
        push_bytes=push_bytes,
        agent_push_bytes=changes * push_bytes,
        cell_push_bytes=changes * peers * push_bytes,
        kernel_core=cell['coordinator_core'],
        codec_core=peers
        * heartbeats_per_s
        * (heartbeat['decode_us'] + reply['encode_us'])
        / 1e6,
        push_core=changes * peers * roles['encode_us'] / 1e6,
        agent_core=cell['agent_core']
        + heartbeats_per_s
        * (heartbeat['encode_us'] + reply['decode_us'])
        / 1e6,
    )
    figures['agent_bytes'] = (
        figures['agent_heartbeat_bytes']
        + figures['grant_bytes']
        + figures['agent_push_bytes']
    )
    figures['coordinator_bytes'] = (
        figures['cell_heartbeat_bytes']
        + figures['cell_push_bytes']
        + figures['grant_bytes']
    )
    figures['coordinator_core'] = (
        figures['kernel_core'] + figures['codec_core'] + figures['push_core']
    )


def _add_memory(figures, slopes):
    state_bytes = {r['shards']: r['state_bytes'] for r in slopes['memory']}
    whole_state = state_bytes[SHARDS]
    figures.update(
        cell_shards=SHARDS / CELLS,
        cell_state=whole_state / SHARDS * (SHARDS / CELLS),
        whole_state=whole_state,
        rss=slopes['loaded_rss_bytes'],
    )
    figures['node_memory'] = figures['rss'] + figures['cell_state']


def _add_store_calls(figures):
    followers = CANDIDATES_PER_CELL - 1
    poll_seconds = election.POLL_INTERVAL_SECONDS * MEAN_POLL_INTERVAL_FACTOR
    region_cells = CELLS / REGIONS
    figures.update(
        renewals=CELLS / lease.LEADER_RENEW_INTERVAL_SECONDS,
        probes=CELLS * followers / election.STORE_PROBE_INTERVAL_SECONDS,
        open_watches=CELLS * WATCHES_PER_COORDINATOR,
        watch_renewals=CELLS
        * WATCHES_PER_COORDINATOR
        / store_client.WATCH_WAIT_SECONDS,
        vm_lists=NODES / control_loop.VM_LIST_INTERVAL_SECONDS,
        change_reads=CHANGES_PER_DAY / DAY_SECONDS * CELLS,
        cell_polls=(ROUTERS_PER_CELL - 1) / poll_seconds,
        region_cells=region_cells,
    )
    figures['writes'] = figures['renewals'] + figures['changes_per_s']
    figures['reads'] = (
        figures['probes'] + figures['watch_renewals'] + figures['change_reads']
    )


def _add_load_peaks(figures, slopes):
    planning = {r['upstreams']: r['worst_s'] for r in slopes['planning']}
    rounds = round(SHARDS / UPSTREAMS) / moves.MAX_MOVES_PER_UPSTREAM
    lost_cells = CELLS / FAILURE_DOMAINS
    figures.update(
        plan_cell=planning[120],
        plan_region=planning[480],
        plan_whole=planning[5100],
        lost_routers=NODES / FAILURE_DOMAINS,
        lost_upstreams=UPSTREAMS / FAILURE_DOMAINS,
        lost_shards=SHARDS / FAILURE_DOMAINS,
        lost_coordinators=lost_cells,
        lost_polls=lost_cells * figures['cell_polls'],
        all_polls=CELLS * figures['cell_polls'],
        restarts=ROUTER_RESTARTS_PER_DAY / DAY_SECONDS,
        whole_update_bytes=slopes['codec']['StateUpdate, whole']['bytes'],
        delta_bytes=slopes['codec']['StateUpdate, one shard']['bytes'],
        roles_bytes=slopes['codec']['StateUpdate, roles']['bytes'],
        rounds=rounds,
        move_writes=CELLS * SERVICES_PER_CELL / lease.TICK_INTERVAL_SECONDS,
        move_messages=SHARDS * 3,
    )


def compute_figures(slopes, paths):
    """Return all figures at the target size by name."""
    figures = {}
    _add_data_path(figures, paths)
    _add_control_traffic(figures, slopes)
    _add_memory(figures, slopes)
    _add_store_calls(figures)
    _add_load_peaks(figures, slopes)
    return figures


def _table(header, rows):
    lines = [header, ['---'] * len(header), *rows]
    return '\n'.join('| ' + ' | '.join(line) + ' |' for line in lines)


def _kb(value):
    return f'{value / 1000:.2f} KB'


def _kb_per_s(value):
    return f'{_kb(value)}/s'


def _mb(value):
    return f'{value / 1e6:.2f} MB'


def _verdict(value, bound):
    ratio = value / bound
    if ratio <= 1:
        return f'fits ({ratio:.2f} of the bound)'
    return f'**{ratio:.2f} times the bound**'


# In the table functions, `f` holds the figures that `compute_figures`
# returns.


def fit_table(f):
    """Return the table that compares the figures with their bounds."""
    other_cells = (CELLS - 1) / CELLS
    served = NOT_MEASURED
    verdict = NOT_MEASURED
    if f['processes']:
        served = f'{f["served_rps"]} requests/s'
        verdict = f'**{f["processes"]:.1f} processes per VM**'
    rows = [
        ['requests/s per node', f'{f["node_rps"]:.0f}', served, verdict],
    ]
    for name, value, format_value, bound, text in (
        (
            'control bytes, coordinator node',
            f['coordinator_bytes'],
            _kb_per_s,
            MAX_CONTROL_BYTES_PER_S,
            '3 KB/s',
        ),
        (
            'control bytes, any other node',
            f['agent_bytes'],
            _kb_per_s,
            MAX_CONTROL_BYTES_PER_S,
            '3 KB/s',
        ),
        (
            'the same, coordinator node, each change to one cell only',
            f['coordinator_bytes'] - f['cell_push_bytes'] * other_cells,
            _kb_per_s,
            MAX_CONTROL_BYTES_PER_S,
            '3 KB/s',
        ),
        (
            'the same, any other node, each change to one cell only',
            f['agent_bytes'] - f['agent_push_bytes'] * other_cells,
            _kb_per_s,
            MAX_CONTROL_BYTES_PER_S,
            '3 KB/s',
        ),
        (
            'control bytes of heartbeats alone, other node',
            f['agent_heartbeat_bytes'],
            _kb_per_s,
            MAX_CONTROL_BYTES_PER_S,
            '3 KB/s',
        ),
        (
            'control processor time, coordinator node',
            f['coordinator_core'],
            '{:.2%} of a core'.format,
            MAX_CONTROL_CORE_SHARE,
            '1.1%',
        ),
        (
            'control processor time, any other node, without grants',
            f['agent_core'],
            '{:.3%} of a core'.format,
            MAX_CONTROL_CORE_SHARE,
            '1.1%',
        ),
        (
            'memory of a node, without requests in flight',
            f['node_memory'],
            _mb,
            MAX_MEMORY_BYTES,
            '128 MB',
        ),
        (
            'memory of a node that holds the tables of all cells',
            f['rss'] + f['whole_state'],
            _mb,
            MAX_MEMORY_BYTES,
            '128 MB',
        ),
        (
            'store writes/s, steady',
            f['writes'],
            '{:.1f}'.format,
            MAX_STORE_WRITES_PER_S,
            '300 (reading of "several hundred")',
        ),
        (
            'store reads/s, steady',
            f['reads'],
            '{:.1f}'.format,
            MAX_STORE_READS_PER_S,
            '2,000',
        ),
        (
            'store reads/s and VM lists together',
            f['reads'] + f['vm_lists'],
            '{:.1f}'.format,
            MAX_STORE_READS_PER_S,
            '2,000',
        ),
        (
            'store reads/s, all coordinators lost',
            f['all_polls'],
            '{:.0f}'.format,
            MAX_STORE_READS_PER_S,
            '2,000',
        ),
        (
            'store writes/s, all cells move shards',
            f['move_writes'] + f['renewals'],
            '{:.0f}'.format,
            MAX_STORE_WRITES_PER_S,
            '300',
        ),
        (
            'planning for one cell of 120 upstreams',
            f['plan_cell'],
            '{:.3f} s'.format,
            lease.TICK_INTERVAL_SECONDS,
            'one tick, 0.1 s',
        ),
        (
            'planning for 5,100 upstreams in one process',
            f['plan_whole'],
            '{:.2f} s'.format,
            3.0,
            '3 s',
        ),
    ):
        rows.append([name, format_value(value), text, _verdict(value, bound)])
    return _table(['what', 'at the target', 'bound', 'verdict'], rows)


def _entry_rows(f):
    request_us = f.get('request_us')
    cpu = NOT_MEASURED
    result = NOT_MEASURED
    if request_us:
        cpu = f'{request_us} us per request, both routers; {_DATA_PATH_SOURCE}'
        result = f'{f["node_rps"] * request_us / 1e6:.2f} cores per node'
    rate = f'{f["node_rps"]:.0f}'
    return [
        [
            'entry',
            'messages',
            'requests/s / nodes',
            'given',
            f'{rate}/s in, {rate}/s answered',
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
            f'{_SLOPES_SOURCE}, 82,000 shards',
            _mb(f['cell_state']),
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
            f'{f["grants_per_s"]:.1f} grants/s out and as many answers',
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
            f'{_SLOPES_SOURCE}, 16 shards',
            f'{_kb(f["grant_bytes"])}/s without answers',
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
            _CONTROL_SOURCE,
            f'{f["heartbeats_per_s"]:.1f}/s in, '
            f'{f["heartbeats_per_s"]:.1f}/s out',
            'cells of 40',
        ],
        [
            'coordinator',
            'bytes',
            '39 / 0.4 s x (heartbeat + reply)',
            _CODEC_SOURCE,
            f'{_kb(f["cell_heartbeat_bytes"])}/s',
            'cells of 40',
        ],
        [
            'coordinator',
            'processor time, decisions',
            'measured at 40',
            _CONTROL_SOURCE,
            f'{f["kernel_core"]:.2%} of a core',
            'cells of 40',
        ],
        [
            'coordinator',
            'processor time, codec',
            '39 / 0.4 s x (decode heartbeat + encode reply)',
            _CODEC_SOURCE,
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
            f'{_SLOPES_SOURCE}, 82,000 shards',
            f'{_mb(f["cell_state"])} besides its '
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
            _CODEC_SOURCE,
            f'{_kb(f["agent_heartbeat_bytes"])}/s',
            'one heartbeat for all roles',
        ],
        [
            'any router',
            'processor time',
            'agent + (encode + decode) / 0.4 s',
            _CODEC_SOURCE,
            f'{f["agent_core"]:.3%} of a core',
            'one heartbeat for all roles',
        ],
        [
            'any router',
            'memory',
            'loaded process + state of the cell',
            f'{_SLOPES_SOURCE}, 1 process',
            _mb(f['node_memory']),
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
            f'{_CODEC_SOURCE}; text: 36 upstreams, linear estimate',
            f'{_kb(f["cell_push_bytes"])}/s out of a '
            f'coordinator, {_kb(f["agent_push_bytes"])}/s into a router',
            'deltas of tables; the manifest is sent whole',
        ],
        [
            'distribution',
            'processor time',
            'changes/s x 39 x encode roles',
            _CODEC_SOURCE,
            f'{f["push_core"]:.2%} of a core; parsing is not measured',
            'tree',
        ],
        [
            'distribution',
            'state',
            'the newest update',
            'none',
            f'{_kb(f["push_bytes"])} per change',
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
            f'{_SLOPES_SOURCE}, 82,000 shards',
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
    return _table([*header, 'at the target', 'carried by'], rows)


def remedies_table(f):
    """Return the table of the estimated effect of each remedy."""
    peers = ROUTERS_PER_CELL - 1
    idle_bytes = f['agent_heartbeat_bytes'] / 3
    peers_within_bound = int(
        MAX_CONTROL_BYTES_PER_S / f['agent_heartbeat_bytes']
    )
    rows = [
        [
            'several router processes per VM, callers spread over them by the '
            'balancer',
            'requests/s per node',
            'see the first row above; each '
            'process is a router, so cells and peer links grow alike',
        ],
        [
            'heartbeats of idle routers every 1.2 s with a lease of 3.6 s',
            'bytes, coordinator',
            f'{_kb(f["cell_heartbeat_bytes"])}/s to '
            f'{_kb(idle_bytes * peers)}/s if all are idle; recovery gets '
            'slower, so only for routers without roles',
        ],
        [
            'smaller cells',
            'bytes, coordinator',
            f'heartbeats alone allow '
            f'{peers_within_bound} peer(s) per coordinator in 3 KB/s: '
            'no remedy by itself',
        ],
        [
            'an aggregating level of 6 routers that each sum up 6 others',
            'bytes, coordinator',
            f'{_kb(f["cell_heartbeat_bytes"])}/s to '
            f'{_kb(f["cell_heartbeat_bytes"] * 6 / peers)}/s if a sum is as '
            'long as a heartbeat; each of the 6 then bears as much',
        ],
        [
            'reports and versions only when they change',
            'bytes, all nodes',
            'a heartbeat without them is not measured; at the length of a '
            f'reply: {_kb(f["agent_heartbeat_bytes"])}/s to '
            f'{_kb(2 * f["reply_bytes_per_s"])}/s per router, coordinator '
            f'{_kb(2 * f["reply_bytes_per_s"] * peers)}/s',
        ],
        [
            'grants that name a digest of the shards',
            'bytes, all nodes',
            f'at half the length: {_kb(f["grant_bytes"])}/s to '
            f'{_kb(f["grant_bytes"] / 2)}/s',
        ],
        [
            'deltas of the manifest, or changes only to the cell concerned',
            'bytes, all nodes',
            f'{_kb(f["agent_push_bytes"])}/s to '
            f'{_kb(f["agent_push_bytes"] / CELLS)}/s per router, if each '
            'change concerns one cell',
        ],
        [
            'bound on batches to one per second and cell while all move',
            'store writes',
            f'{f["move_writes"] + f["renewals"]:.0f}/s to '
            f'{CELLS + f["renewals"]:.0f}/s',
        ],
        [
            'only candidates poll after the loss of a coordinator',
            'store reads',
            f'{f["all_polls"]:.0f}/s to '
            f'{f["all_polls"] * 2 / peers:.0f}/s with all cells',
        ],
    ]
    return _table(['remedy', 'concerns', 'estimated effect'], rows)


def load_peaks_table(f):
    """Return the table of events that cause a peak load."""
    cells = f['region_cells']
    move_phase_writes = f['move_writes'] + f['renewals']
    rows = [
        [
            'a failure domain lost at peak',
            f'{f["lost_routers"]:.0f} routers, {f["lost_upstreams"]:.0f} '
            f'upstreams, {f["lost_shards"]:.0f} shards; '
            f'{f["lost_coordinators"]:.1f} coordinators',
            f'estimate: one batch per cell of the region, {cells:.1f} writes '
            f'and {f["lost_coordinators"]:.1f} elections; '
            f'{f["lost_polls"]:.0f} reads/s while coordinators are missing',
            f'leases 1.0 s + 1.2 s, planning {f["plan_cell"]:.3f} s per cell',
            'one batch of writes per cell; leases',
        ],
        [
            '480 restarts a day',
            f'{f["restarts"]:.4f}/s; each: a whole state '
            f'of {_kb(f["whole_update_bytes"])} and manifest, 39 updates of '
            f'roles, {_kb(f["roles_bytes"] * 39)}',
            'no store writes unless a coordinator or candidate restarts',
            'graceful: no unavailable time expected (estimate)',
            'roles need no store write',
        ],
        [
            'the store is back after an hour',
            f'{f["open_watches"]} watches and {CELLS} reads of the manifest',
            f'{CELLS} renewals at once, then {f["renewals"]:.0f}/s; if all '
            f'coordinators were lost {f["all_polls"]:.0f} reads/s, '
            f'{_verdict(f["all_polls"], MAX_STORE_READS_PER_S)}',
            f'estimate: {f["all_polls"] / MAX_STORE_READS_PER_S:.1f} s of '
            'work for the store per second of such polling',
            'retry after 0.3 s; jitter of polls',
        ],
        [
            'a region rejoins',
            f'{cells:.1f} cells, {cells * ROUTERS_PER_CELL:.0f} routers',
            f'{cells:.1f} renewals and {cells * 2:.1f} watches at once; '
            'pending changes of ownership, one batch per cell',
            "estimate: below 1 s of the store's writes",
            'cells act alone; compare-and-swap',
        ],
        [
            'a manifest that moves everything',
            f'{SHARDS} shards x (Warm, Release, Released) = '
            f'{f["move_messages"]}',
            f'{f["move_writes"]:.0f} writes/s if each cell writes once per '
            f'tick (estimate), '
            f'{_verdict(move_phase_writes, MAX_STORE_WRITES_PER_S)} with '
            'the renewals',
            f'{f["rounds"]:.0f} rounds of '
            f'{moves.MAX_MOVES_PER_UPSTREAM} per upstream; '
            f'{f["rounds"] * 2:.0f} s if a '
            'move takes the 2 s for which callers are held (estimate)',
            f'{moves.MAX_MOVES_PER_UPSTREAM} moves per giving and receiving '
            'upstream',
        ],
    ]
    header = ['storm', 'messages', 'store calls', 'time', 'bounded by']
    return _table(header, rows)


def page_parts(slopes, paths):
    """Return the parts of the page by the names of their markers."""
    f = compute_figures(slopes, paths)
    reply_bytes = slopes['codec']['HeartbeatReply']['bytes']
    f['reply_bytes_per_s'] = reply_bytes / lease.HEARTBEAT_INTERVAL_SECONDS
    basis = (
        f'Slopes: `{slopes["command"]}`, {slopes["date"]}, '
        f'{slopes["processors"]} processors, load average '
        f'{slopes["load_average"]} at the end.'
    )
    return {
        'basis': basis,
        'fit': fit_table(f),
        'remedies': remedies_table(f),
        'roles': roles_table(f),
        'storms': load_peaks_table(f),
        'slopes': slopes_table(slopes),
    }


def slopes_table(slopes):
    """Return the table of measured slopes."""
    rows = []
    for row in slopes['cells']:
        rows.append(
            [
                f'{row["routers"]} routers',
                f'coordinator '
                f'{row["coordinator_core"]:.2%} of a core, agent '
                f'{row["agent_core"]:.4%}, {row["messages_per_s"]:.0f} '
                f'messages/s, {row["bytes_per_s"]:.0f} bytes/s',
            ]
        )
    for name, row in slopes['codec'].items():
        rows.append(
            [
                name,
                f'{row["bytes"]} bytes, encode {row["encode_us"]:.0f} us, '
                f'decode {row["decode_us"]:.0f} us',
            ]
        )
    for row in slopes['memory']:
        rows.append(
            [
                f'{row["shards"]} shards',
                f'table {_mb(row["table_bytes"])}, '
                f'state {_mb(row["state_bytes"])}, stored '
                f'{_kb(row["stored_bytes"])}',
            ]
        )
    for row in slopes['planning']:
        rows.append(
            [
                f'{row["upstreams"]} upstreams',
                f'planning at most {row["worst_s"]:.4f} s',
            ]
        )
    rows.extend(_growth_rows(slopes))
    return _table(['size or message', 'measured'], rows)


def _growth_rows(slopes):
    rows = []
    for part, size, value, title in (
        ('cells', 'routers', 'coordinator_core', 'coordinator time'),
        ('memory', 'shards', 'state_bytes', 'state'),
        ('planning', 'upstreams', 'worst_s', 'planning time'),
    ):
        first, *_, last = slopes[part]
        sizes = last[size] / first[size]
        values = last[value] / first[value]
        rows.append(
            [
                f'{last[size]} against {first[size]} {size}',
                f'{title} grows {values:.1f} times for {sizes:.1f} times '
                f'the {size}',
            ]
        )
    return rows


def render(page, parts):
    """Return the page with the text between its markers replaced."""
    for name, text in parts.items():
        begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
        pattern = re.escape(begin) + '.*?' + re.escape(end)
        if not re.search(pattern, page, re.S):
            raise ValueError(f'{PAGE} has no marker {begin}')
        block = f'{begin}\n\n{text}\n\n{end}'
        page = re.sub(pattern, lambda _, b=block: b, page, flags=re.S)
    return page


def main():
    """Rewrite the tables of the page."""
    page = render(PAGE.read_text(), page_parts(*load_measurements()))
    PAGE.write_text(page)


if __name__ == '__main__':
    main()
