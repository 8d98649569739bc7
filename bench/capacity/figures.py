"""Figures at the target size, computed from measured slopes.

Rates are per second, sizes in bytes and times in seconds.
"""

from bramleysill_kernel.common import lease
from bramleysill_kernel.election import election
from bramleysill_kernel.units import moves
from bramleysill_router import control_loop
from bramleysill_router import store_client

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
