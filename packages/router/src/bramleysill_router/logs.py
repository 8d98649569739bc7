"""Logs each event as one line of key=value pairs, with absl.logging."""

from absl import logging

_CHARACTERS_TO_QUOTE = (' ', '"', '=')


def _format_value(value):
    if isinstance(value, float):
        return f'{value:.3f}'
    text = str(value).replace('\n', ' ').replace('\r', ' ')
    if not text or any(c in text for c in _CHARACTERS_TO_QUOTE):
        return '"' + text.replace('"', "'") + '"'
    return text


def format_event(event, fields):
    """Return the log line of an event.

    Example::

        format_event('request', {'status': 200, 'peer': 'a b'})
        'event=request status=200 peer="a b"'
    """
    parts = [f'event={event}']
    parts += [f'{k}={_format_value(v)}' for k, v in fields.items()]
    return ' '.join(parts)


def log_event(event, **fields):
    """Log an event at level info."""
    if logging.level_info():
        logging.info('%s', format_event(event, fields))


def log_warning(event, **fields):
    """Log an event that may need an operator's attention."""
    logging.warning('%s', format_event(event, fields))


def log_request(**fields):
    """Log one hop of a request at level debug."""
    if logging.level_debug():
        logging.debug('%s', format_event('request', fields))
