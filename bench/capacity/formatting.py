"""Formats figures and Markdown tables, and names where slopes come from."""

from bench import slopes as slopes_bench

NOT_MEASURED = 'not measured'
SLOPES_SOURCE = f'`{slopes_bench.COMMAND}`'
CONTROL_SOURCE = f'{SLOPES_SOURCE}, 10 to 80 routers'
CODEC_SOURCE = f'{SLOPES_SOURCE}, 40 routers, 3 upstreams each'
DATA_PATH_SOURCE = '`make bench`, 2 routers, 1 upstream'


def table(header, rows):
    """Return a Markdown table of a header and rows, both lists of texts."""
    lines = [header, ['---'] * len(header), *rows]
    return '\n'.join('| ' + ' | '.join(line) + ' |' for line in lines)


def kb(value):
    """Return a number of bytes in KB of 1000 bytes."""
    return f'{value / 1000:.2f} KB'


def kb_per_s(value):
    """Return a number of bytes/s in KB/s."""
    return f'{kb(value)}/s'


def mb(value):
    """Return a number of bytes in MB of 1,000,000 bytes."""
    return f'{value / 1e6:.2f} MB'


def verdict(value, bound):
    """Return how a figure compares with its upper bound, as a text."""
    ratio = value / bound
    if ratio <= 1:
        return f'fits ({ratio:.2f} of the bound)'
    return f'**{ratio:.2f} times the bound**'
