"""Lists the events that cause a peak load."""

from bench.capacity.figures import CELLS
from bench.capacity.figures import MAX_STORE_READS_PER_S
from bench.capacity.figures import MAX_STORE_WRITES_PER_S
from bench.capacity.figures import ROUTERS_PER_CELL
from bench.capacity.figures import SHARDS
from bench.capacity.formatting import kb
from bench.capacity.formatting import table
from bench.capacity.formatting import verdict
from bramleysill_kernel.units import moves

# `f` holds the figures that `compute_figures` returns.


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
            f'of {kb(f["whole_update_bytes"])} and manifest, 39 updates of '
            f'roles, {kb(f["roles_bytes"] * 39)}',
            'no store writes unless a coordinator or candidate restarts',
            'graceful: no unavailable time expected (estimate)',
            'roles need no store write',
        ],
        [
            'the store is back after an hour',
            f'{f["open_watches"]} watches and {CELLS} reads of the manifest',
            f'{CELLS} renewals at once, then {f["renewals"]:.0f}/s; if all '
            f'coordinators were lost {f["all_polls"]:.0f} reads/s, '
            f'{verdict(f["all_polls"], MAX_STORE_READS_PER_S)}',
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
            f'{verdict(move_phase_writes, MAX_STORE_WRITES_PER_S)} with '
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
    return table(header, rows)
