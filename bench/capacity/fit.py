"""Compares the figures with their bounds."""

from bench.capacity.figures import CELLS
from bench.capacity.figures import MAX_CONTROL_BYTES_PER_S
from bench.capacity.figures import MAX_CONTROL_CORE_SHARE
from bench.capacity.figures import MAX_MEMORY_BYTES
from bench.capacity.figures import MAX_STORE_READS_PER_S
from bench.capacity.figures import MAX_STORE_WRITES_PER_S
from bench.capacity.formatting import NOT_MEASURED
from bench.capacity.formatting import kb_per_s
from bench.capacity.formatting import mb
from bench.capacity.formatting import table
from bench.capacity.formatting import verdict
from bramleysill_kernel.common import lease

# `f` holds the figures that `compute_figures` returns.


def fit_table(f):
    """Return the table that compares the figures with their bounds."""
    other_cells = (CELLS - 1) / CELLS
    served = NOT_MEASURED
    processes = NOT_MEASURED
    if f['processes']:
        served = f'{f["served_rps"]} requests/s'
        processes = f'**{f["processes"]:.1f} processes per VM**'
    rows = [
        ['requests/s per node', f'{f["node_rps"]:.0f}', served, processes],
    ]
    for name, value, format_value, bound, text in (
        (
            'control bytes, coordinator node',
            f['coordinator_bytes'],
            kb_per_s,
            MAX_CONTROL_BYTES_PER_S,
            '3 KB/s',
        ),
        (
            'control bytes, any other node',
            f['agent_bytes'],
            kb_per_s,
            MAX_CONTROL_BYTES_PER_S,
            '3 KB/s',
        ),
        (
            'the same, coordinator node, each change to one cell only',
            f['coordinator_bytes'] - f['cell_push_bytes'] * other_cells,
            kb_per_s,
            MAX_CONTROL_BYTES_PER_S,
            '3 KB/s',
        ),
        (
            'the same, any other node, each change to one cell only',
            f['agent_bytes'] - f['agent_push_bytes'] * other_cells,
            kb_per_s,
            MAX_CONTROL_BYTES_PER_S,
            '3 KB/s',
        ),
        (
            'control bytes of heartbeats alone, other node',
            f['agent_heartbeat_bytes'],
            kb_per_s,
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
            mb,
            MAX_MEMORY_BYTES,
            '128 MB',
        ),
        (
            'memory of a node that holds the tables of all cells',
            f['rss'] + f['whole_state'],
            mb,
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
        rows.append([name, format_value(value), text, verdict(value, bound)])
    return table(['what', 'at the target', 'bound', 'verdict'], rows)
