"""Puts the tables into docs/CAPACITY.md.

Each one replaces the text between its two markers::

    <!-- begin fit -->
    <!-- end fit -->
"""

import pathlib
import re

from bench.capacity.figures import compute_figures
from bench.capacity.fit import fit_table
from bench.capacity.measurements import slopes_table
from bench.capacity.peaks import load_peaks_table
from bench.capacity.remedies import remedies_table
from bench.capacity.roles import roles_table
from bramleysill_kernel.common import lease

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PAGE = ROOT / 'docs' / 'CAPACITY.md'


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
