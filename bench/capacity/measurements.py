"""Reads the committed measurements and lists the slopes."""

import json
import pathlib

from bench import slopes as slopes_bench
from bench.capacity.formatting import kb
from bench.capacity.formatting import mb
from bench.capacity.formatting import table

BENCH_RESULTS = (
    pathlib.Path(__file__).resolve().parent.parent / 'results' / 'latest.json'
)


def load_measurements():
    """Return the committed slopes and the data path figures, if any."""
    slopes = json.loads(slopes_bench.RESULTS_FILE.read_text())
    if not BENCH_RESULTS.exists():
        return slopes, None
    path = json.loads(BENCH_RESULTS.read_text()).get('data_path') or {}
    return slopes, path.get('ways')


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
                f'table {mb(row["table_bytes"])}, '
                f'state {mb(row["state_bytes"])}, stored '
                f'{kb(row["stored_bytes"])}',
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
    return table(['size or message', 'measured'], rows)


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
