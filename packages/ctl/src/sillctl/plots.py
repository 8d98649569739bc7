"""Coordinates of the plots in the HTML report, in pixels.

The plots are inline SVG, since a page that is passed on must not depend on
other files or scripts.
"""

WIDTH = 640
HEIGHT = 160
MARGIN = 46
# The axis of a plot ends between these burn rates. A higher rate is drawn at
# the upper edge, and its label has the number.
MAX_AXIS_BURN = 20.0
MIN_AXIS_BURN = 2.0


def axis_maximum(rates):
    """Return the highest burn rate on the axis of a plot."""
    known = [rate for rate in rates if rate is not None]
    return min(MAX_AXIS_BURN, max([MIN_AXIS_BURN, *known]))


def y_position(rate, top):
    """Return the y position of a burn rate; `top` is the axis maximum."""
    share = min(rate, top) / top
    return round(HEIGHT - MARGIN / 2 - share * (HEIGHT - MARGIN), 1)


def line_segments(points, field, top):
    """Return lists of (x, y) points, split where there is no data."""
    segments = [[]]
    span = max(len(points) - 1, 1)
    for number, point in enumerate(points):
        rate = point[field]
        if rate is None:
            segments.append([])
            continue
        x = round(MARGIN + number / span * (WIDTH - 2 * MARGIN), 1)
        segments[-1].append((x, y_position(rate, top)))
    return [segment for segment in segments if segment]


def window_bars(windows, field, top, offset):
    """Return the position, size and label of each window's bar.

    `offset` is the bar's place in its window's slot, as a share of the width.
    """
    slot = (WIDTH - 2 * MARGIN) / max(len(windows), 1)
    found = []
    for number, window in enumerate(windows):
        rate = window[field]
        y = y_position(rate or 0.0, top)
        found.append(
            {
                'x': round(MARGIN + (number + offset) * slot, 1),
                'y': y,
                'height': round(y_position(0.0, top) - y, 1),
                'width': round(slot * 0.3, 1),
                'label': 'no data' if rate is None else f'{rate:.2f}',
            }
        )
    return found


def service_plots(service):
    """Return the plots of a service as a dict for the HTML template."""
    windows, points = service['windows'], service['timeline']
    fields = ('burn', 'latency_burn')
    bar_top = axis_maximum([w[f] for w in windows for f in fields])
    line_top = axis_maximum([p[f] for p in points for f in fields])
    return {
        'bars': {
            f: window_bars(windows, f, bar_top, 0.15 + 0.35 * number)
            for number, f in enumerate(fields)
        },
        'bar_limit_y': y_position(1.0, bar_top),
        'bar_top': bar_top,
        'lines': {f: line_segments(points, f, line_top) for f in fields},
        'line_limit_y': y_position(1.0, line_top),
        'line_top': line_top,
        'is_clipped': line_top == MAX_AXIS_BURN,
        'zero_y': y_position(0.0, 1.0),
        'width': WIDTH,
        'height': HEIGHT,
        'margin': MARGIN,
    }
