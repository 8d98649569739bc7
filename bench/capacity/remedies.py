"""Lists remedies where a bound is exceeded."""

from bench.capacity.figures import CELLS
from bench.capacity.figures import MAX_CONTROL_BYTES_PER_S
from bench.capacity.figures import ROUTERS_PER_CELL
from bench.capacity.formatting import kb
from bench.capacity.formatting import table

# `f` holds the figures that `compute_figures` returns.


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
            f'{kb(f["cell_heartbeat_bytes"])}/s to '
            f'{kb(idle_bytes * peers)}/s if all are idle; recovery gets '
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
            f'{kb(f["cell_heartbeat_bytes"])}/s to '
            f'{kb(f["cell_heartbeat_bytes"] * 6 / peers)}/s if a sum is as '
            'long as a heartbeat; each of the 6 then bears as much',
        ],
        [
            'reports and versions only when they change',
            'bytes, all nodes',
            'a heartbeat without them is not measured; at the length of a '
            f'reply: {kb(f["agent_heartbeat_bytes"])}/s to '
            f'{kb(2 * f["reply_bytes_per_s"])}/s per router, coordinator '
            f'{kb(2 * f["reply_bytes_per_s"] * peers)}/s',
        ],
        [
            'grants that name a digest of the shards',
            'bytes, all nodes',
            f'at half the length: {kb(f["grant_bytes"])}/s to '
            f'{kb(f["grant_bytes"] / 2)}/s',
        ],
        [
            'deltas of the manifest, or changes only to the cell concerned',
            'bytes, all nodes',
            f'{kb(f["agent_push_bytes"])}/s to '
            f'{kb(f["agent_push_bytes"] / CELLS)}/s per router, if each '
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
    return table(['remedy', 'concerns', 'estimated effect'], rows)
